// Command firstline checks that a message is over once an endpoint has written a first line with 200 for it to the
// dispatcher, also when the rest of the answer never comes.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) all
// answers are whole.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"curlewmux/review/standin"
)

const (
	messages = 100
	interval = 150 * time.Millisecond
	spoil    = 5 // one of so many answers is spoilt
	slack    = 100 * time.Millisecond
)

func main() {
	broken, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(root, dir string, trouble bool) (broken bool, err error) {
	record, err := standin.NewRecord(dir)
	if err != nil {
		return false, err
	}
	record.Add("TROUBLE=%v", trouble)
	agent, err := standin.NewAgent(record)
	if err != nil {
		return false, err
	}
	defer agent.Close()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 2))
	delivered := map[string]time.Time{} // when the first line with 200 was written
	runs := map[string]int{}
	late := map[string]int{} // calls after that
	e, err := standin.NewEndpoint("s-1", 1, standin.SingleKind, func(c *standin.Call) bool {
		id := c.Messages[0].ID
		time.Sleep(30 * time.Millisecond)
		mu.Lock()
		runs[id]++
		spoilt := trouble && random.IntN(spoil) == 0
		if at, over := delivered[id]; over && c.First.After(at.Add(slack)) {
			late[id]++
			record.AddAt(c.First, "BROKEN: %s comes again %.3f s after the first line with 200", id, c.First.Sub(at).Seconds())
		}
		mu.Unlock()
		first := func() {
			mu.Lock()
			if delivered[id].IsZero() {
				delivered[id] = time.Now()
			}
			mu.Unlock()
		}
		if !spoilt {
			record.Add("s-1 ran %s (request %d on connection %d), answers 200", id, c.Nth, c.Conn.Number)
			defer first()
			return c.Reply(200, nil, nil)
		}
		record.Add("s-1 ran %s (request %d on connection %d), writes a first line with 200 and nothing more", id, c.Nth, c.Conn.Number)
		if c.Conn.Write([]byte("HTTP/1.1 200 OK\r\n")) == nil {
			first()
		}
		c.Conn.WaitGone(10 * time.Second)
		return false
	})
	if err != nil {
		return false, err
	}
	defer e.Close()
	agent.Set(e.Member("active", 20))
	d, err := standin.NewDispatcher(root, record, standin.Config{
		Name: "n0", Discovery: agent.Addr(), Settings: standin.Settings(), MemoryMB: 192, Sockets: 1024, DiskMB: 3,
	})
	if err != nil {
		return false, err
	}
	defer d.Remove()
	if err := d.Start(); err != nil {
		return false, err
	}
	client := &standin.Client{Addr: d.Config.Listen, Record: record}
	defer client.Close()
	for n := range messages {
		client.Submit(standin.Submission{
			ID: fmt.Sprintf("%016x", n+1), Class: []string{"build-status", "release-upload"}[n%2], Dest: 1, Expires: 5 * time.Second, Body: []byte("status"),
		})
		time.Sleep(interval)
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, at := range delivered {
		for _, n := range agent.Notices(id) {
			record.Add("notice %s for %s, delivered %.3f s before", n.Status, id, n.At.Sub(at).Seconds())
		}
	}
	if len(runs) < messages/2 {
		return false, fmt.Errorf("only %d messages ran", len(runs))
	}
	record.Add("%d messages ran; %d came again after their first line with 200", len(runs), len(late))
	fmt.Printf("messages that came again after a first line with 200: %d\n", len(late))
	return len(late) > 0, nil
}

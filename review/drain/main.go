// Command drain checks that a dispatcher sends nothing to an endpoint once it counts as told, for longer than the grace,
// that the endpoint drains: also when it was killed, and is started again while discovery is down.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) neither
// the outage of discovery nor the kill takes place.
package main

import (
	"fmt"
	"os"
	"time"

	"curlewmux/review/standin"
)

const (
	grace     = time.Second           // rules.stop-sending-within
	slack     = 50 * time.Millisecond // each time limit is that much longer on sockets
	outage    = 8 * time.Second       // of discovery, at most
	downTime  = 600 * time.Millisecond
	drainTime = 5500 * time.Millisecond // the site has 3.2 to 5.7 s
	interval  = 100 * time.Millisecond  // between two messages
	beginning = 2 * time.Second         // before the kill and the change of the list
	end       = 14 * time.Second
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
	var endpoints []*standin.Endpoint
	for _, id := range []string{"s-1", "s-2"} {
		draining := id == "s-1"
		e, err := standin.NewEndpoint(id, 1, standin.SingleKind, func(c *standin.Call) bool {
			status := 200
			if _, revision := agent.List(); draining && revision > 2 { // it finishes what it has and turns away what is new
				status = 503
			}
			record.AddAt(c.First, "%s got %s, answered %d", id, c.IDs(), status)
			time.Sleep(20 * time.Millisecond)
			return c.Reply(status, nil, nil)
		})
		if err != nil {
			return false, err
		}
		defer e.Close()
		endpoints = append(endpoints, e)
		agent.Set(e.Member("active", 20))
	}
	known, revision := agent.List()
	d, err := standin.NewDispatcher(root, record, standin.Config{
		Name: "n0", Discovery: agent.Addr(), Known: known, KnownRevision: revision, Settings: standin.Settings(),
		MemoryMB: 192, Sockets: 1024, DiskMB: 3,
	})
	if err != nil {
		return false, err
	}
	defer d.Remove()
	if err := d.Start(); err != nil {
		return false, err
	}

	start := time.Now()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		client := &standin.Client{Addr: d.Config.Listen, Record: record}
		defer client.Close()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			client.Submit(standin.Submission{
				ID: fmt.Sprintf("%016x", n+1), Class: "build-status", Dest: 1, Expires: 5 * time.Second, Body: []byte("status"),
			})
		}
	}()
	time.Sleep(beginning)
	var told time.Time
	if trouble {
		d.Kill()
		time.Sleep(downTime / 3)
	}
	leaving := agent.Set(endpoints[0].Member("leaving", 20))
	time.AfterFunc(drainTime, func() {
		record.Add("s-1 has drained and ends")
		endpoints[0].Close()
	})
	if trouble {
		time.Sleep(downTime / 3)
		agent.Silence(true)
		silentSince := time.Now()
		time.Sleep(downTime / 3)
		told = time.Now() // what the agent has counts as told from the first moment of the new process
		if err := d.Start(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(silentSince.Add(outage)))
		agent.Silence(false)
	} else {
		time.Sleep(500 * time.Millisecond)
		var ok bool
		if told, ok = agent.Told(leaving); !ok {
			return false, fmt.Errorf("the dispatcher has no watch")
		}
	}
	time.Sleep(time.Until(start.Add(end)))
	close(stop)
	<-stopped

	late := 0
	for _, c := range endpoints[0].Calls() {
		if c.First.After(told.Add(grace + slack)) {
			late++
			record.Add("BROKEN: s-1 got %s %.3f s after it counts as told that s-1 drains", c.IDs(), c.First.Sub(told).Seconds())
		}
	}
	before := 0
	for _, c := range endpoints[0].Calls() {
		if c.First.Before(told) {
			before++
		}
	}
	if before == 0 {
		return false, fmt.Errorf("the endpoints got nothing before the change")
	}
	record.Add("calls to s-2: %d; to s-1: %d before the change, %d too late", len(endpoints[1].Calls()), before, late)
	fmt.Printf("calls to the draining endpoint after the grace: %d\n", late)
	return late > 0, nil
}

// Command stuck checks that dispatchers whose small folders fill up while a destination hangs go on by themselves.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) no
// destination hangs.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/review/standin"
)

const (
	dispatchers  = 30
	destinations = 4 // one hangs: a quarter of the traffic
	clients      = 8 // of each dispatcher
	rate         = 90.0
	mostBody     = 11000
	diskMB       = 0.2
	calm         = 4 * time.Second
	hang         = 23 * time.Second
	settle       = 12 * time.Second // after the hang
	watched      = 10 * time.Second // at the end
	leastAsked   = 100              // messages that a dispatcher got in the time watched
)

const operator = "[journal]\nsync = \"interval\"\nevery_ms = 200\n[ledger]\n"

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

// node is a dispatcher and what was seen of it in the time watched.
type node struct {
	*standin.Dispatcher
	asked, taken, calls atomic.Int64
}

func run(root, dir string, trouble bool) (broken bool, err error) {
	record, err := standin.NewRecord(dir)
	if err != nil {
		return false, err
	}
	record.Add("TROUBLE=%v", trouble)
	var hangs, watching atomic.Bool
	var nodes []*node
	var endpoints []*standin.Endpoint
	for k := range destinations {
		e, err := standin.NewEndpoint(fmt.Sprint("s-", k+1), k+1, standin.SingleKind, func(c *standin.Call) bool {
			if watching.Load() {
				var n int
				if _, err := fmt.Sscanf(c.Messages[0].ID, "%04x", &n); err == nil && n < len(nodes) {
					nodes[n].calls.Add(1)
				}
			}
			if k == 0 && hangs.Load() {
				c.Conn.WaitGone(40 * time.Second)
				return false
			}
			time.Sleep(120*time.Millisecond + time.Duration(rand.Int64N(int64(90*time.Millisecond))))
			return c.Reply(200, nil, nil)
		})
		if err != nil {
			return false, err
		}
		defer e.Close()
		endpoints = append(endpoints, e)
	}
	defer func() {
		for _, n := range nodes {
			n.Remove()
		}
	}()
	for k := range dispatchers {
		agent, err := standin.NewAgent(record)
		if err != nil {
			return false, err
		}
		defer agent.Close()
		for _, e := range endpoints {
			agent.Set(e.Member("active", 6000))
		}
		settings := standin.Settings()
		settings["instances"], settings["me"] = dispatchers, k
		settings["extra"].(map[string]any)["slots"] = 40
		d, err := standin.NewDispatcher(root, record, standin.Config{
			Name: fmt.Sprint("n", k), Discovery: agent.Addr(), Settings: settings, MemoryMB: 192, Sockets: 1024, DiskMB: diskMB,
		})
		if err != nil {
			return false, err
		}
		d.Operator = operator
		nodes = append(nodes, &node{Dispatcher: d})
		if err := d.Start(); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k, n := range nodes {
		for i := range clients {
			wg.Go(func() {
				client := &standin.Client{Addr: n.Config.Listen, Record: record}
				defer client.Close()
				for m := 0; ; m++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.ExpFloat64() * clients / rate * float64(time.Second))):
					}
					s := standin.Submission{
						ID: fmt.Sprintf("%04x%02x%010x", k, i, m), Dest: 1 + rand.IntN(destinations), Body: make([]byte, rand.IntN(mostBody)),
						Expires: time.Second + time.Duration(rand.Int64N(int64(6*time.Second))),
					}
					switch rand.IntN(3) {
					case 0:
						s.Class, s.Key = "sync-request", "key"+s.ID
					case 1:
						s.Class = "build-status"
					default:
						s.Class = "release-upload"
					}
					status := client.Submit(s)
					if watching.Load() {
						n.asked.Add(1)
						if status == 202 {
							n.taken.Add(1)
						}
					}
				}
			})
		}
	}
	time.Sleep(calm)
	hangs.Store(trouble)
	record.Add("destination 1 hangs: %v", trouble)
	time.Sleep(hang)
	hangs.Store(false)
	record.Add("destination 1 is well")
	time.Sleep(settle)
	watching.Store(true)
	record.Add("from here on it is watched what dispatchers take and send")
	time.Sleep(watched)
	watching.Store(false)
	close(stop)
	wg.Wait()
	stuck := 0
	for k, n := range nodes {
		if n.asked.Load() < leastAsked {
			return false, fmt.Errorf("dispatcher n%d got only %d messages", k, n.asked.Load())
		}
		if n.taken.Load() == 0 && n.calls.Load() == 0 {
			stuck++
			record.Add("BROKEN: n%d took none of %d messages in the last %v and made no call, %v after all was well", k, n.asked.Load(), watched, settle)
		}
	}
	record.Add("%d of %d dispatchers were stuck", stuck, dispatchers)
	fmt.Printf("dispatchers that were stuck: %d of %d\n", stuck, dispatchers)
	return stuck > 0, nil
}

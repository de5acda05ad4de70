// Command stuck checks that of dispatchers whose small folders fill up while a destination hangs at most one in ten rejects
// all that it gets, with no attempt, long after the destination is well again.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) no
// destination hangs.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/review/standin"
)

const (
	dispatchers = 30
	clients     = 8    // of each dispatcher
	rate        = 30.0 // messages a second of each dispatcher
	calm        = 4 * time.Second
	hang        = 22500 * time.Millisecond // at most 23 s
	settle      = 40 * time.Second         // after the hang: all that was held has ended by then, and its id is forgotten
	watched     = 10 * time.Second         // at the end
	leastAsked  = 100                      // messages that a dispatcher got in the time watched; the rule asks for 15 in 4 s
	oneIn       = 10                       // at most one dispatcher in so many may be stuck
)

const (
	mostBody = 11000
	diskMB   = 0.3
	operator = "[journal]\nsync = \"interval\"\nevery_ms = 5000\n[ledger]\n"
)

// destinations are the destinations: the first one hangs. Only big-archives get release-uploads.
var destinations = []struct {
	kind    string
	uploads float64 // share of the release-uploads
	others  float64 // share of all else
}{
	{standin.BatchKind, 0.5, 0.14}, {standin.BatchKind, 0.5, 0.14}, {standin.SingleKind, 0, 0.18},
	{standin.SingleKind, 0, 0.18}, {standin.SingleKind, 0, 0.18}, {standin.SingleKind, 0, 0.18},
}

// draw draws a class by the site's shares and a destination for it. The first destination gets a quarter of all messages.
func draw() (class string, expires time.Duration, dest int) {
	upload := false
	switch p := rand.Float64(); {
	case p < 0.37:
		class, expires = "sync-request", 24*time.Second
	case p < 0.71:
		class, expires = "build-status", 5*time.Second
	default:
		class, expires, upload = "release-upload", 28*time.Second, true
	}
	p := rand.Float64()
	for k, d := range destinations {
		share := d.others
		if upload {
			share = d.uploads
		}
		if p -= share; p < 0 {
			return class, expires, k + 1
		}
	}
	return class, expires, 1 + rand.IntN(2)
}

func main() { standin.Main(run) }

// node is a dispatcher and what was seen of it in the time watched.
type node struct {
	*standin.Dispatcher
	asked, rejected, calls atomic.Int64
}

func run(root, dir string, trouble bool) (broken bool, err error) {
	record, err := standin.NewRecord(dir)
	if err != nil {
		return false, err
	}
	record.Add("TROUBLE=%v", trouble)
	var hangs, watching atomic.Bool
	well := make(chan struct{})
	var nodes []*node
	var endpoints []*standin.Endpoint
	for k, d := range destinations {
		id := fmt.Sprint("s-", k+1)
		e, err := standin.NewEndpoint(id, k+1, d.kind, func(c *standin.Call) bool {
			if watching.Load() {
				var n int
				if _, err := fmt.Sscanf(c.Messages[0].ID, "%04x", &n); err == nil && n < len(nodes) {
					nodes[n].calls.Add(1)
				}
			}
			if k == 0 && hangs.Load() {
				select { // what it took meanwhile it answers once it is well
				case <-c.Conn.Ended():
					record.AddAt(c.Last, "%s got %s, and was given up unanswered", id, c.IDs())
					return false
				case <-well:
				}
			}
			time.Sleep(120*time.Millisecond + time.Duration(rand.Int64N(int64(90*time.Millisecond))))
			record.AddAt(c.Last, "%s got %s, ran it and answers 200", id, c.IDs())
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
			agent.Set(e.Member("active", map[string]float64{standin.BatchKind: 400, standin.SingleKind: 250}[e.Kind]))
		}
		settings := standin.Settings()
		settings["instances"], settings["me"] = dispatchers, k
		settings["tenants"].([]any)[0].(map[string]any)["quota-per-s"] = dispatchers * rate
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
					s := standin.Submission{ID: fmt.Sprintf("%04x%02x%010x", k, i, m), Body: make([]byte, rand.IntN(mostBody))}
					if s.Class, s.Expires, s.Dest = draw(); s.Class == "sync-request" {
						s.Key = "key" + s.ID
					}
					status := client.Submit(s)
					if watching.Load() {
						n.asked.Add(1)
						if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
							n.rejected.Add(1)
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
	close(well)
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
		if n.rejected.Load() == n.asked.Load() && n.calls.Load() == 0 {
			stuck++
			record.Add("STUCK: n%d rejected all of %d messages in the last %v and made no call, %v after all was well", k, n.asked.Load(), watched, settle)
		}
	}
	record.Add("%d of %d dispatchers were stuck", stuck, dispatchers)
	if stuck*oneIn > dispatchers {
		record.Add("BROKEN: more than one in %d", oneIn)
	}
	fmt.Printf("dispatchers that were stuck: %d of %d\n", stuck, dispatchers)
	return stuck*oneIn > dispatchers, nil
}

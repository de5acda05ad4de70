// Command failback checks that a dispatcher does not push over a destination that returns cold after it has failed most
// of its calls for 10 s.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) the
// destination does not fail and is not cold.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/review/standin"
)

const (
	capacity  = 40.0 // calls a second that the destination takes when it is warm: the list's size
	load      = 0.9  // messages a second, as a share of that
	calm      = 10 * time.Second
	failing   = 10 * time.Second
	watched   = 15 * time.Second
	coldFrom  = 0.19
	warmUp    = 10 * time.Second
	tip       = 2.0
	span      = 2 * time.Second
	clients   = 12
	endpoints = 2
	workers   = 4 // behind each endpoint, which deals its calls out to them in turn; while it fails all but one are down
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

// share is what part of its calls the destination can take a time after its return.
func share(since time.Duration) float64 {
	if since >= warmUp {
		return 1
	}
	return coldFrom + (1-coldFrom)*since.Seconds()/warmUp.Seconds()
}

// allowed is how many calls a span may bring that ends a time after the return, with the slack for chance.
func allowed(end time.Duration) (n, most float64) {
	const steps = 1000
	for i := range steps {
		at := end - span + span*time.Duration(2*i+1)/(2*steps)
		n += tip * capacity * share(max(at, 0)) * span.Seconds() / steps
	}
	if n < 30 {
		return n, n + 3*math.Sqrt(n) + 3
	}
	return n, n + 2*math.Sqrt(n) + 2
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
	var fails, fell atomic.Bool
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(3, 4))
	failed, answered := 0, 0
	var list []*standin.Endpoint
	for n := range endpoints {
		id, turn := fmt.Sprint("s-", n+1), 0
		e, err := standin.NewEndpoint(id, 1, standin.SingleKind, func(c *standin.Call) bool {
			mu.Lock()
			turn++
			bad := fails.Load() && turn%workers != 0
			work := 120*time.Millisecond + time.Duration(random.Int64N(int64(90*time.Millisecond)))
			if bad {
				failed++
				work = 30 * time.Millisecond
			} else if fails.Load() {
				answered++
			}
			mu.Unlock()
			status := 200
			switch {
			case bad:
				status = 500
			case fell.Load():
				status, work = 503, 0
			}
			time.Sleep(work)
			record.AddAt(c.First, "%s got %s, answered %d", id, c.IDs(), status)
			return c.Reply(status, nil, nil)
		})
		if err != nil {
			return false, err
		}
		defer e.Close()
		list = append(list, e)
		agent.Set(e.Member("active", capacity))
	}
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

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range clients {
		wg.Go(func() {
			client := &standin.Client{Addr: d.Config.Listen, Record: record}
			defer client.Close()
			source := rand.New(rand.NewPCG(5, uint64(k)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(source.ExpFloat64() * clients / (capacity * load) * float64(time.Second))):
				}
				m := standin.Submission{ID: fmt.Sprintf("%08x%08x", k+1, n+1), Dest: 1, Body: []byte("status")}
				switch p := source.Float64(); {
				case p < 0.37:
					m.Class, m.Expires, m.Key = "sync-request", 24*time.Second, "key"+m.ID
				case p < 0.71:
					m.Class, m.Expires = "build-status", 5*time.Second
				default:
					m.Class, m.Expires = "release-upload", 28*time.Second
				}
				client.Submit(m)
			}
		})
	}
	time.Sleep(calm)
	fails.Store(trouble)
	record.Add("the destination begins to fail: %v", trouble)
	time.Sleep(failing)
	fails.Store(false)
	back := time.Now()
	record.Add("the destination is back, cold: %v", trouble)
	worst, worstN, worstMost, worstAt := 0, 0.0, 0.0, time.Duration(0)
	// The budget is checked while the calls come, as a destination that has fallen stays down.
	for time.Since(back) < watched {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		since := now.Sub(back)
		if !trouble || since > warmUp+span || since < span {
			continue
		}
		calls := 0
		for _, e := range list {
			for _, c := range e.Calls() {
				if c.Last.After(back) && c.Last.After(now.Add(-span)) && !c.Last.After(now) {
					calls++
				}
			}
		}
		n, most := allowed(since)
		if float64(calls) > most && !fell.Load() {
			fell.Store(true)
			record.Add("BROKEN: the destination falls %.2f s after its return: %d calls in %v, N = %.1f, at most %.1f", since.Seconds(), calls, span, n, most)
			broken = true
		}
		if float64(calls)/most > float64(worst)/max(worstMost, 1) && !broken {
			worst, worstN, worstMost, worstAt = calls, n, most, since
		}
	}
	close(stop)
	wg.Wait()
	record.Add("while it failed: %d calls failed, %d were answered 200; fullest span before a fall: %d calls %.2f s after the return, N = %.1f, at most %.1f", failed, answered, worst, worstAt.Seconds(), worstN, worstMost)
	fmt.Printf("pushed over: %v (failed %d, ok %d, fullest %d of %.1f)\n", broken, failed, answered, worst, worstMost)
	return broken, nil
}

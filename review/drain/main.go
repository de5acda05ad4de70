// Command drain checks that a dispatcher sends nothing to an endpoint once it counts as told, for longer than the grace,
// that the endpoint drains: also when it was killed, and is started again while discovery is down. Two of three are.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) neither
// the outage of discovery nor the kill takes place.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/review/standin"
)

const (
	dispatchers = 3
	killed      = 2                       // of them: at most seven in ten
	grace       = time.Second             // rules.stop-sending-within
	slack       = 50 * time.Millisecond   // each time limit is that much longer on sockets
	outage      = 7900 * time.Millisecond // of discovery: at most 8 s
	downTime    = 600 * time.Millisecond
	drainTime   = 5600 * time.Millisecond // the site has 3.2 to 5.7 s
	listLate    = 1700 * time.Millisecond // how long after the drain began the list tells it: the site has 1.6 to 4 s
	interval    = 100 * time.Millisecond  // between two messages of a client
	beginning   = 2500 * time.Millisecond // before the drain begins
	end         = 14 * time.Second
	leastCalls  = 10 // to the endpoint that drains, before that, or the run has shown nothing
)

func main() { standin.Main(run) }

func run(root, dir string, trouble bool) (broken bool, err error) {
	record, err := standin.NewRecord(dir)
	if err != nil {
		return false, err
	}
	record.Add("TROUBLE=%v", trouble)
	var list []*standin.Dispatcher
	var agents []*standin.Agent
	defer func() {
		for _, d := range list {
			d.Remove()
		}
		for _, a := range agents {
			a.Close()
		}
	}()
	var drains atomic.Bool
	// Destination 1 has s-1, which drains, and s-2; s-7 replaces s-1. The others are there so that one endpoint is no more
	// than a fifth of all.
	var endpoints []*standin.Endpoint
	for k, dest := range []int{1, 1, 2, 2, 3, 3, 1} {
		id := fmt.Sprint("s-", k+1)
		e, err := standin.NewEndpoint(id, dest, standin.SingleKind, func(c *standin.Call) bool {
			status := 200
			if k == 0 && drains.Load() { // it finishes what it has and turns away what is new
				status = 503
			}
			record.AddAt(c.First, "%s got %s, answered %d", id, c.IDs(), status)
			if status == 200 {
				time.Sleep(120*time.Millisecond + time.Duration(rand.Int64N(int64(90*time.Millisecond))))
			}
			return c.Reply(status, nil, nil)
		})
		if err != nil {
			return false, err
		}
		defer e.Close()
		endpoints = append(endpoints, e)
	}
	for k := range dispatchers {
		agent, err := standin.NewAgent(record)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
		for _, e := range endpoints[:6] {
			agent.Set(e.Member("active", 60))
		}
		known, revision := agent.List()
		settings := standin.Settings()
		settings["instances"], settings["me"] = dispatchers, k
		d, err := standin.NewDispatcher(root, record, standin.Config{
			Name: fmt.Sprint("n", k), Discovery: agent.Addr(), Known: known, KnownRevision: revision, Settings: settings,
			MemoryMB: 192, Sockets: 1024, DiskMB: 3,
		})
		if err != nil {
			return false, err
		}
		list = append(list, d)
		if err := d.Start(); err != nil {
			return false, err
		}
	}

	start := time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for k, d := range list {
		clients.Go(func() {
			client := &standin.Client{Addr: d.Config.Listen, Record: record}
			defer client.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				client.Submit(standin.Submission{
					ID: fmt.Sprintf("%04x%012x", k, n+1), Class: "build-status", Dest: 1, Expires: 5 * time.Second, Body: []byte("status"),
				})
			}
		})
	}
	time.Sleep(beginning)
	drains.Store(true)
	record.Add("s-1 begins to drain")
	time.AfterFunc(drainTime, func() {
		record.Add("s-1 has drained and ends")
		endpoints[0].Close()
	})
	time.Sleep(listLate - downTime/3)
	if trouble {
		for _, d := range list[:killed] {
			d.Kill()
		}
	}
	time.Sleep(downTime / 3)
	told := make([]time.Time, dispatchers)
	for k, a := range agents {
		a.Set(endpoints[6].Member("active", 60), endpoints[0].Member("leaving", 60))
		told[k] = time.Now()
	}
	time.Sleep(downTime / 3)
	if trouble {
		for _, a := range agents {
			a.Silence(true)
		}
		silentSince := time.Now()
		time.Sleep(downTime / 3)
		errs := make(chan error, killed)
		for _, d := range list[:killed] {
			go func() { errs <- d.Start() }()
		}
		for range killed {
			if err := <-errs; err != nil {
				return false, err
			}
		}
		for k, d := range list[:killed] {
			told[k] = d.Began // what its agent has counts as told from the first moment of the new process
		}
		time.Sleep(time.Until(silentSince.Add(outage)))
		for _, a := range agents {
			a.Silence(false)
		}
	}
	time.Sleep(time.Until(start.Add(end)))
	close(stop)
	clients.Wait()

	before, late := 0, 0
	for _, c := range endpoints[0].Calls() {
		var k int
		if _, err := fmt.Sscanf(c.IDs(), "%04x", &k); err != nil || k >= dispatchers {
			return false, fmt.Errorf("a call with an unknown message: %s", c.IDs())
		}
		switch since := c.First.Sub(told[k]); {
		case c.First.Before(start.Add(beginning)):
			before++
		case since > grace+slack:
			late++
			record.Add("BROKEN: s-1 got %s of n%d %.3f s after that counts as told that s-1 drains", c.IDs(), k, since.Seconds())
		}
	}
	if before < leastCalls {
		return false, fmt.Errorf("s-1 got only %d calls before the change", before)
	}
	record.Add("calls to s-1: %d before the change, %d too late", before, late)
	fmt.Printf("calls to the draining endpoint after the grace: %d\n", late)
	return late > 0, nil
}

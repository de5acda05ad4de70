package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowd }

const (
	crowdIdle   = 960             // idle clients: they connect and say nothing, and come again a second after they are shut out
	crowdBad    = 150             // bad clients: they send requests that name an unknown class, one at a time
	crowdSound  = 6               // connections of the sound client
	crowdNew    = 2 * time.Second // a new destination comes this often, and the list has it so much later
	crowdLength = 20 * time.Second
)

// crowd: many bad clients come; a sound client's requests have to get their final answers all the same.
func crowd(l *lab) {
	a := startAgent(l.rec)
	e := startEndpoint(l.rec, "s-1", func(*call) answer { return answer{status: 200, after: 20 * time.Millisecond} })
	a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: 40})
	d := newDispatcher(l.rec, l.root, l.folder, a)
	l.start(d)

	over := make(chan struct{})
	var all sync.WaitGroup
	var answered, shut atomic.Int64
	if l.trouble {
		for i := range crowdIdle {
			all.Go(func() { idleClient(d.addr, i, over) })
		}
		for i := range crowdBad {
			all.Go(func() { wrongClient(d.addr, i, over, &answered, &shut) })
		}
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	until := begin.Add(crowdLength)
	newest := func() int { return 2 + int(time.Since(begin)/crowdNew) } // its clients know it, the list has not got it yet
	all.Go(func() {
		for dest := 2; time.Now().Before(until); dest++ {
			time.Sleep(crowdNew)
			a.set(member{ID: fmt.Sprintf("s-%d", dest), HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: dest, Phase: "active", Size: 40})
			l.rec.line("the list has destination", dest)
		}
	})
	var sent, refused, taken, late, lost, crossed atomic.Int64
	var mu sync.Mutex
	for i := range crowdSound {
		all.Go(func() {
			k := &clientConn{to: d.addr}
			defer k.close()
			for n := 0; time.Now().Before(until); n++ {
				dest := 1
				if n%2 == 1 {
					dest = newest()
				}
				m := &request{id: fmt.Sprintf("c%d-%d", i, n), class: "build-status", tenant: "core", dest: dest, expires: 4 * time.Second, body: []byte("built")}
				o := k.send(m.text())
				sent.Add(1)
				l.rec.line("request", m.id, "dest", m.dest, "status", o.status, "ended", o.ended, "reset", o.reset, "after", o.after, "kept", o.kept, "refused", o.refused)
				if o.ended && (o.reset || o.after < 20*time.Millisecond) { // it may have crossed the close: once more, on a new connection
					crossed.Add(1)
					o = k.send(m.text())
					l.rec.line("request", m.id, "once more: status", o.status, "ended", o.ended, "reset", o.reset, "after", o.after, "kept", o.kept, "refused", o.refused)
				}
				mu.Lock()
				switch {
				case o.status == 202:
					taken.Add(1)
				case o.status == 503 || o.status == 429:
					refused.Add(1)
				case o.ended && !o.reset && o.after >= 20*time.Millisecond:
					lost.Add(1)
					l.broke("request %s was read, and its connection ended with no answer %v after its last byte", m.id, o.after.Round(time.Millisecond))
				case o.ended || o.refused: // shut unread
					crossed.Add(1)
				default:
					late.Add(1)
				}
				mu.Unlock()
				time.Sleep(600 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(until) + time.Second)
	close(over)
	all.Wait()
	fmt.Printf("sound requests %d: taken %d, refused %d, shut unread or crossed %d, no answer in time %d, ended with no answer %d; wrong requests answered %d, shut %d\n",
		sent.Load(), taken.Load(), refused.Load(), crossed.Load(), late.Load(), lost.Load(), answered.Load(), shut.Load())
	l.rec.line("sent", sent.Load(), "taken", taken.Load(), "refused", refused.Load(), "crossed", crossed.Load(), "late", late.Load(), "lost", lost.Load())
	if taken.Load() == 0 {
		cannot("no message was taken on")
	}
}

// idleClient keeps a connection and says nothing.
func idleClient(to string, n int, over chan struct{}) {
	time.Sleep(time.Duration(n) * time.Millisecond)
	for {
		c, err := net.DialTimeout("tcp", to, time.Second)
		if err == nil {
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			ended := make(chan struct{})
			go func() { c.Read(make([]byte, 1)); close(ended) }()
			select {
			case <-ended:
			case <-over:
			}
			c.Close()
		}
		select {
		case <-over:
			return
		case <-time.After(time.Second):
		}
	}
}

// wrongClient sends requests whose class is unknown, one at a time.
func wrongClient(to string, n int, over chan struct{}, answered, shut *atomic.Int64) {
	k := &clientConn{to: to}
	defer k.close()
	for i := 0; ; i++ {
		m := &request{id: fmt.Sprintf("w%d-%d", n, i), class: "none", tenant: "core", dest: 1, expires: time.Second}
		if o := k.send(m.text()); o.status >= 400 {
			answered.Add(1)
		} else {
			shut.Add(1)
		}
		select {
		case <-over:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

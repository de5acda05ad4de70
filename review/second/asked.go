package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["asked"] = asked }

// asked: changes of the list come to those that ask, and discovery takes 6.5 s to answer. An endpoint begins to drain.
func asked(l *lab) {
	const (
		slow   = 6500 * time.Millisecond
		told   = 6 * time.Second         // "counts as told 6 s later at the latest"
		grace  = 1050 * time.Millisecond // rules.stop-sending-within, and 50 ms
		spare  = 200 * time.Millisecond  // for the scheduling of this machine
		before = 3 * time.Second
		length = 25 * time.Second
	)
	var mu sync.Mutex
	var drains time.Time
	calls := map[string]int{}
	a := startAgent(l.rec)
	for _, name := range []string{"s-1", "s-2"} {
		e := startEndpoint(l.rec, name, func(k *call) answer {
			mu.Lock()
			defer mu.Unlock()
			calls[name]++
			if name == "s-1" && !drains.IsZero() && k.at.After(drains.Add(told+grace+spare)) {
				l.broke("%v is sent to s-1 %v after the list had it as leaving", k.ids, k.at.Sub(drains).Round(time.Millisecond))
			}
			return answer{status: 200, after: 50 * time.Millisecond}
		})
		a.set(member{ID: name, HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: 20})
	}
	if l.trouble {
		a.slow = slow
	}
	d := newDispatcher(l.rec, l.root, l.folder, a)
	d.settings["membership-mode"] = "subscribe"
	l.start(d)
	begin := time.Now()
	k := &clientConn{to: d.addr}
	defer k.close()
	taken := 0
	for n := 0; time.Since(begin) < before+length; n++ {
		if time.Since(begin) > before && drains.IsZero() {
			m := a.members[0]
			m.Phase = "leaving"
			mu.Lock()
			drains = time.Now()
			mu.Unlock()
			a.set(m)
			l.rec.line("s-1 is leaving")
		}
		m := &request{id: fmt.Sprintf("c-%d", n), class: "build-status", tenant: "core", dest: 1, expires: 4 * time.Second, body: []byte("built")}
		o := k.send(m.text())
		l.rec.line("request", m.id, "status", o.status)
		if o.status == 202 {
			taken++
		}
		time.Sleep(150 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Println("taken", taken, "calls", calls)
	if taken == 0 || calls["s-1"] == 0 {
		cannot("nothing was sent to s-1")
	}
}

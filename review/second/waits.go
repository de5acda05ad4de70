package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["waits"] = waits }

// waits: an endpoint turns calls away above its limit and tells how long to wait. Until the wait is over the dispatcher
// sends nothing to that destination.
func waits(l *lab) {
	const (
		rate   = 3.0                    // calls a second that are left for this dispatcher
		wait   = 900 * time.Millisecond // told
		letBy  = 150 * time.Millisecond // 100 ms behind the answer are let through; each limit is 50 ms longer
		length = 25 * time.Second
	)
	fields := "Via: HTTP/1.1 gateway-1\r\n"
	if os.Getenv("FIELD") == "0" { // to compare: the same without the field
		fields = ""
	}
	var mu sync.Mutex
	tokens, at := rate, time.Now()
	var told time.Time // when the last wait was written
	var end time.Time
	calls, refused, heard := 0, 0, 0
	e := startEndpoint(l.rec, "s-1", func(k *call) answer {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if k.at.After(told.Add(letBy)) && k.at.Before(end) {
			l.broke("call of %v came %v after a wait of %v was told", k.ids, k.at.Sub(told).Round(time.Millisecond), wait)
		}
		tokens, at = min(tokens+rate*k.at.Sub(at).Seconds(), rate), k.at
		if tokens >= 1 || !l.trouble {
			tokens--
			return answer{status: 200, fields: fields}
		}
		refused++
		if refused%2 == 0 { // half of the refusals tell a wait
			return answer{status: 503, fields: fields}
		}
		heard++
		tokens = max(tokens, 0)
		if now := time.Now(); now.Add(wait).After(end) {
			told, end = now, now.Add(wait)
		}
		return answer{status: 429, wait: wait, fields: fields}
	})
	a := startAgent(l.rec)
	a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: 8})
	d := newDispatcher(l.rec, l.root, l.folder, a)
	l.start(d)
	k := &clientConn{to: d.addr}
	defer k.close()
	taken := 0
	for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
		m := &request{id: fmt.Sprintf("c-%d", n), class: "build-status", tenant: "core", dest: 1, expires: 4 * time.Second, body: []byte("built")}
		o := k.send(m.text())
		l.rec.line("request", m.id, "status", o.status)
		if o.status == 202 {
			taken++
		}
		time.Sleep(150 * time.Millisecond)
	}
	fmt.Printf("taken %d, calls %d, turned away %d, waits told %d\n", taken, calls, refused, heard)
	if taken == 0 || l.trouble && heard == 0 {
		cannot("nothing was taken on, or no wait was told")
	}
}

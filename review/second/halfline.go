package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["halfline"] = halfline }

// halfline: a class keeps its order. The connection of a call ends behind half a line of its answer, so the call may still be
// running: the next message with its key waits for the time that the settings name.
func halfline(l *lab) {
	const (
		settle = time.Second            // rules.settle-after-doubt
		spare  = 100 * time.Millisecond // between the two clocks and for the scheduling of this machine
		work   = 300 * time.Millisecond // a call runs so long
		pairs  = 10
	)
	var mu sync.Mutex
	ended := map[string]time.Time{} // when the connection of a first message ended, by key
	ran := map[string]time.Time{}
	seconds, early, turned := 0, 0, 0
	e := startEndpoint(l.rec, "s-1", func(k *call) answer {
		mu.Lock()
		defer mu.Unlock()
		id := k.ids[0]
		key, first := id[2:], id[0] == 'a'
		if first {
			if l.trouble {
				end := time.Now()
				ended[key] = end
				time.AfterFunc(work, func() {
					mu.Lock()
					defer mu.Unlock()
					ran[id] = time.Now()
					l.rec.line("ran", id)
				})
				return answer{half: "HTTP/1.1 2"}
			}
			ran[id] = time.Now()
			return answer{status: 200}
		}
		seconds++
		ran[id] = time.Now()
		l.rec.line("ran", id)
		if at := ended[key]; !at.IsZero() && k.at.Before(at.Add(settle-spare)) {
			early++
			l.broke("%s is sent %v after the connection of the call with a-%s ended; its key rests for %v", id, k.at.Sub(at).Round(time.Millisecond), key, settle)
		}
		if _, done := ran["a-"+key]; !done {
			turned++
		}
		return answer{status: 200}
	})
	a := startAgent(l.rec)
	a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: 20})
	d := newDispatcher(l.rec, l.root, l.folder, a)
	d.settings["classes"].([]any)[2].(map[string]any)["by-arrival"] = true
	d.settings["rules"].(map[string]any)["settle-after-doubt"] = settle.Microseconds()
	l.start(d)
	k := &clientConn{to: d.addr}
	defer k.close()
	taken := 0
	for n := range pairs {
		for _, which := range []string{"a", "b"} {
			m := &request{id: fmt.Sprintf("%s-%d", which, n), class: "release-upload", tenant: "core", key: fmt.Sprintf("row-%d", n), dest: 1, expires: 10 * time.Second, body: []byte("signed")}
			o := k.send(m.text())
			l.rec.line("request", m.id, "key", m.key, "status", o.status)
			if o.status == 202 {
				taken++
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("taken on %d; second messages sent %d, %d of them while the key rests, %d before the first one ran\n", taken, seconds, early, turned)
	if seconds == 0 {
		cannot("no second message was sent")
	}
}

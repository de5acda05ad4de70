package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["halfline"] = halfline }

// halfline: a class keeps its order. An answer breaks off in its first line: either the connection ends behind it, or nothing
// more comes until the dispatcher gives the call up. The call may still be running, so the next message with its key waits for
// the time that the settings name.
func halfline(l *lab) {
	const (
		settle = time.Second            // rules.settle-after-doubt
		spare  = 100 * time.Millisecond // for the scheduling of this machine
		pairs  = 10
	)
	var mu sync.Mutex
	spoilt := map[string]bool{}     // the keys whose first message has had its spoilt answer
	ended := map[string]time.Time{} // when that call's connection had ended, by key
	early, seconds := map[bool]int{}, 0
	e := startEndpoint(l.rec, "s-1", func(k *call) answer {
		mu.Lock()
		defer mu.Unlock()
		id := k.ids[0]
		key := id[2:]
		never := (key[0]-'0')%2 == 1
		if id[0] == 'a' {
			if !l.trouble || spoilt[key] {
				return answer{status: 200}
			}
			spoilt[key] = true
			return answer{half: "HTTP/1.1 2", hold: never, ended: func() {
				mu.Lock()
				defer mu.Unlock()
				ended[key] = time.Now()
			}}
		}
		seconds++
		if at := ended[key]; !at.IsZero() && k.at.Before(at.Add(settle-spare)) {
			early[never]++
			l.broke("%s is sent %v after the connection of the call with a-%s ended (never ends: %v); its key rests for %v", id, k.at.Sub(at).Round(time.Millisecond), key, never, settle)
		}
		return answer{status: 200}
	})
	a := startAgent(l.rec)
	a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: 20})
	d := newDispatcher(l.rec, l.root, l.folder, a)
	d.settings["classes"].([]any)[0].(map[string]any)["by-arrival"] = true
	d.settings["rules"].(map[string]any)["settle-after-doubt"] = settle.Microseconds()
	l.start(d)
	k := &clientConn{to: d.addr}
	defer k.close()
	taken := 0
	for n := range pairs {
		for _, which := range []string{"a", "b"} {
			m := &request{id: fmt.Sprintf("%s-%d", which, n), class: "sync-request", tenant: "core", key: fmt.Sprintf("row-%d", n), dest: 1, expires: 10 * time.Second, body: []byte("sync")}
			o := k.send(m.text())
			l.rec.line("request", m.id, "key", m.key, "status", o.status)
			if o.status == 202 {
				taken++
			}
		}
		time.Sleep(3 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("taken on %d; second messages sent %d; while the key rests: %d behind a connection that ended, %d behind an answer that never ends\n", taken, seconds, early[false], early[true])
	if seconds == 0 || l.trouble && len(ended) == 0 {
		cannot("no second message was sent, or no answer was spoilt")
	}
}

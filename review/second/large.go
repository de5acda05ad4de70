package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

func init() { cases["large"] = large }

const (
	bodyMost   = 64 << 10 // "Bodies hold at most 64 KiB"
	largeBody  = 56 << 10
	usualBody  = 40 << 10
	largeCount = 12
	largeAgain = 3 // times that a client hands a message in again after a refusal
)

// large: clients hand in messages whose bodies are within the limit, for a destination that takes several messages in a call.
// Nothing else happens: the endpoint delivers whatever request it can read.
func large(l *lab) {
	size := usualBody
	if l.trouble {
		size = largeBody
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	over := 0
	e := startEndpoint(l.rec, "s-1", func(k *call) answer {
		mu.Lock()
		defer mu.Unlock()
		if k.size > bodyMost {
			if over++; over <= 3 {
				l.broke("a request of the dispatcher has a body of %d bytes; allowed: %d", k.size, bodyMost)
			}
			return answer{status: 400} // a body that can't be read
		}
		for _, id := range k.ids {
			ran[id] = true
		}
		return answer{status: 200, after: 100 * time.Millisecond}
	})
	a := startAgent(l.rec)
	a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "big-archives", Cell: 1, Phase: "active", Size: 10})
	d := newDispatcher(l.rec, l.root, l.folder, a)
	l.start(d)
	var all sync.WaitGroup
	var taken, delivered, given int
	for i := range largeCount {
		time.Sleep(500 * time.Millisecond)
		all.Go(func() {
			k := &clientConn{to: d.addr}
			defer k.close()
			body, times := bytes.Repeat([]byte{byte(i)}, size), 0
			for n := 0; n <= largeAgain; n++ {
				m := &request{id: fmt.Sprintf("u%d-%d", i, n), class: "release-upload", tenant: "core", dest: 1, expires: 8 * time.Second, body: body}
				o := k.send(m.text())
				l.rec.line("request", m.id, "bytes", size, "status", o.status)
				if o.status != 202 {
					time.Sleep(time.Second)
					continue
				}
				times++
				mu.Lock()
				taken++
				mu.Unlock()
				for until := time.Now().Add(9 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
					mu.Lock()
					done := ran[m.id]
					if done {
						delivered++
					}
					mu.Unlock()
					status, _ := a.notice(m.id)
					if done || status == "undeliverable" {
						return
					}
					if status == "deferred" {
						break
					}
				}
				time.Sleep(time.Second)
			}
			mu.Lock()
			given++
			mu.Unlock()
			l.rec.line("message", i, "was taken on", times, "times and never delivered")
		})
	}
	all.Wait()
	fmt.Printf("messages %d of %d bytes: taken on %d times, delivered %d, given up %d; requests over %d bytes: %d\n", largeCount, size, taken, delivered, given, bodyMost, over)
	if taken == 0 {
		cannot("nothing was taken on")
	}
}

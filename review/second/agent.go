package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// member is one endpoint in discovery's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// agent is discovery's agent: the list, its watch, and the notices.
type agent struct {
	addr string

	mu       sync.Mutex
	revision int64
	members  []member
	changed  chan struct{}
	slow     time.Duration     // until a list is answered
	notices  map[string]string // id: status of its first notice
	noticeAt map[string]time.Time
}

func startAgent(rec *record) *agent {
	l := listen()
	a := &agent{addr: l.Addr().String(), revision: 1, changed: make(chan struct{}), notices: map[string]string{}, noticeAt: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.targets)
	mux.HandleFunc("POST /reports", func(w http.ResponseWriter, r *http.Request) {
		for s := bufio.NewScanner(r.Body); s.Scan(); {
			var n struct{ ID, Status string }
			if json.Unmarshal(s.Bytes(), &n) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			a.mu.Lock()
			if a.notices[n.ID] == "" {
				a.notices[n.ID], a.noticeAt[n.ID] = n.Status, time.Now()
			}
			a.mu.Unlock()
			rec.line("notice", n.ID, n.Status)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	go http.Serve(l, mux)
	return a
}

// set puts a member on the list, or changes it.
func (a *agent) set(m member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.members = append(slices.DeleteFunc(a.members, func(o member) bool { return o.ID == m.ID }), m)
	a.revision++
	close(a.changed)
	a.changed = make(chan struct{})
}

// targets answers with the whole list; a watch waits until there is something newer.
func (a *agent) targets(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	watch := err == nil
	ms, _ := strconv.Atoi(r.FormValue("wait_ms"))
	until := time.NewTimer(time.Duration(min(ms, 60000)) * time.Millisecond)
	defer until.Stop()
	for waits := watch; waits; {
		a.mu.Lock()
		changed := a.changed
		waits = a.revision <= after
		a.mu.Unlock()
		if !waits {
			break
		}
		select {
		case <-changed:
		case <-until.C:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if watch && a.revision <= after {
		fmt.Fprintf(w, `{"revision":%d,"complete":false,"members":[]}`, a.revision)
		return
	}
	text, _ := json.Marshal(map[string]any{"revision": a.revision, "complete": true, "members": a.members})
	w.Write(text)
}

// notice returns the status of a message's first notice, "" for none.
func (a *agent) notice(id string) (string, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notices[id], a.noticeAt[id]
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("listen: %v", err)
	}
	return l
}

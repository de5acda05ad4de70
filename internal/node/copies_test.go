package node

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"curlewmux/internal/standin/faultproxy"
)

// copyDelay is the time between a request and the copy, as seen in the incident.
const copyDelay = 3 * time.Millisecond

// lateCopyProxy starts a proxy that repeats the first response on a path shortly after the next request on its connection.
func lateCopyProxy(t *testing.T, target, path string, copies bool) *faultproxy.Proxy {
	rate := 0.0
	if copies {
		rate = 1
	}
	p, err := faultproxy.New(faultproxy.Settings{
		Target: target, Rate: rate, Faults: []faultproxy.Fault{faultproxy.LateCopy}, Limit: 1, Path: path, CopyDelay: copyDelay,
	})
	must(t, err)
	t.Cleanup(func() { p.Close() })
	return p
}

// refusalTime is how long an endpoint takes to refuse a call, as seen in the incident.
const refusalTime = 75 * time.Millisecond

// slowly responds after refusalTime, so that a copy comes first.
func slowly(status int) http.HandlerFunc {
	return func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(refusalTime)
		rw.WriteHeader(status)
	}
}

// scriptedEndpoint responds to the calls of each message with its statuses, then with 200, and counts those with 200.
type scriptedEndpoint struct {
	mu       sync.Mutex
	statuses map[string][]int
	ran      map[string]int
}

func (s *scriptedEndpoint) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	status := http.StatusOK
	s.mu.Lock()
	if list := s.statuses[id]; len(list) > 0 {
		status, s.statuses[id] = list[0], list[1:]
	}
	if status == http.StatusOK {
		s.ran[id]++
	}
	s.mu.Unlock()
	slowly(status)(rw, r)
}

func (s *scriptedEndpoint) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// A late copy of the previous response on a connection must not decide what becomes of the next message.
func TestLateCopyOfAResponseIsNotTheNextResponse(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first  int    // response to an earlier message, which is copied; 0: the copy is of the first response to the message itself
		class  string // of the message
		status []int  // responses to the message, before 200
		silent bool   // no copy is sent
	}{
		"refused, without a copy":         {200, "keyed", []int{503}, true},
		"delivered, then refused":         {200, "keyed", []int{503}, false},
		"delivered, then above the limit": {200, "unsafe", []int{429}, false},
		"delivered, then not sent":        {200, "unsafe", []int{504}, false},
		"delivered, then error":           {200, "free", []int{500}, false},
		"over, then refused":              {410, "keyed", []int{503}, false},
		"refused, then delivered":         {0, "unsafe", []int{503}, false},
		"not sent, then delivered":        {0, "unsafe", []int{504}, false},
		"error, then refused":             {0, "free", []int{500, 503}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			script := &scriptedEndpoint{statuses: map[string][]int{"first": {c.first}, "next": c.status}, ran: map[string]int{}}
			entry := w.endpoint("copied", 1, "hooks", script.ServeHTTP)
			proxy := lateCopyProxy(t, entry.HostPort, "/v1/messages", !c.silent)
			entry.HostPort = proxy.Addr()
			w.setEntry(entry)
			cmd := w.spawn()
			if c.first != 0 {
				w.submit("free", "first", 1)
				w.awaitEmpty()
			}
			w.submit(c.class, "next", 1)
			w.awaitEmpty()
			time.Sleep(2 * refusalTime) // for a call that is still out
			w.kill(cmd)
			if proxy.Copies() == 0 && !c.silent {
				t.Fatal("the proxy has sent no copy")
			}
			runs, notified := script.runs("next"), w.noticed("next")
			if runs != 1 && !(runs == 0 && notified) {
				t.Errorf("the message ran %d times, notified: %t", runs, notified)
			}
		})
	}
}

// noticed reports whether discovery was notified of a message.
func (w *testEnv) noticed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.notices[id]) > 0
}

// copyTime is the time in which a late copy arrives.
const copyTime = 50 * time.Millisecond

// A late copy of discovery's response to a notice must not acknowledge the next notice.
func TestLateCopyOfAResponseDoesNotAcknowledgeANotice(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.agentAddr = lateCopyProxy(t, w.agentAddr, "/reports", true).Addr()
	w.endpoint("failing", 1, "hooks", respond(500))
	cmd := w.spawn()
	w.submit("unsafe", "first", 1)
	w.awaitNotice("first", "undeliverable")
	w.awaitEmpty()
	w.update(func() { w.rejectNotices = true })
	w.submit("unsafe", "next", 1)
	waitFor(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.rejected > 0
	})
	time.Sleep(copyTime)
	w.update(func() { w.rejectNotices = false })
	w.awaitEmpty()
	w.kill(cmd)
	if !w.noticed("next") {
		t.Error("the journal holds no notice any more, and discovery got none")
	}
}

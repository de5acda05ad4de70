// Package archive is a stand-in package archive for tests and measurements: it takes messages as an endpoint does, does
// with each call what its script says, and can be asked whether a message took effect. It keeps what took effect, by body,
// so that the same upload is counted under whatever id it comes. It runs on a host, a real or a simulated one, and shares
// no code with the program that it is to judge.
package archive

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"curlewmux/internal/host"
)

// Item is one message of a call.
type Item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// Act is what becomes of a call. The zero value takes effect and answers 200.
type Act struct {
	NoEffect bool
	After    time.Duration // it takes effect only then, whatever has become of the connection
	Delay    time.Duration // before the answer
	Status   int           // of the answer, 0: 200
	Wait     time.Duration // told by Retry-After
	Hang     bool          // no answer: the connection stays until the caller ends it
	Drop     bool          // no answer: the connection ends
	Raw      string        // these bytes in place of the answer, and the end of the connection
	States   []string      // of a batch, by item: what took effect is "delivered" or "failed"
}

// Lie is what becomes of an inquiry. The zero value answers it truly.
type Lie struct {
	Hang   bool
	Status int           // of the answer, 0: 200
	Wait   time.Duration // told by Retry-After
	Effect string        // said in place of the truth
	Raw    string        // the body in place of JSON
	Late   time.Duration // the answer is what is true now, and is written only then
}

// Server is an archive. Its exported fields are set before Serve.
type Server struct {
	Host      host.Host
	Script    func(items []Item, batch bool) Act // nil: all as usual; called one at a time
	Answers   func(ids []string, key string) Lie // nil: the truth
	KeyMemory time.Duration                      // a key that comes again within this takes no effect; 0: none is remembered
	Forgets   time.Duration                      // what took effect so long ago is answered "no"; 0: never

	mu       sync.Mutex
	effects  map[string]int       // by body
	ids      map[string]time.Time // what took effect, when
	keys     map[string]time.Time
	calls    int
	asked    int
	arrivals []time.Time
	open     map[net.Conn]bool
	closed   bool
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.open == nil {
			s.open = map[net.Conn]bool{}
		}
		s.open[nc] = true
		closed := s.closed
		s.mu.Unlock()
		s.Host.Go(func() {
			if !closed {
				s.session(nc)
			}
			nc.Close()
			s.mu.Lock()
			delete(s.open, nc)
			s.mu.Unlock()
		})
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for nc := range s.open {
		nc.Close()
	}
}

// Effects is how often each body took effect.
func (s *Server) Effects() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

// Effect is how often a body took effect.
func (s *Server) Effect(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[body]
}

// Total is how many bodies took effect.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.effects)
}

// Counts are how many calls and inquiries came.
func (s *Server) Counts() (calls, asked int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.asked
}

// Arrivals are when calls came.
func (s *Server) Arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

func (s *Server) session(nc net.Conn) {
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		if err != nil {
			return
		}
		if !s.request(exchange{nc, r.Close}, r, body) || r.Close {
			return
		}
	}
}

// request answers one request and tells whether another may follow.
func (s *Server) request(nc exchange, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/v1/messages":
		return s.call(nc, []Item{{ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body}}, false)
	case "/v1/messages:batch":
		var items []Item
		if json.Unmarshal(body, &items) != nil || len(items) == 0 {
			return answer(nc, http.StatusBadRequest, 0, nil)
		}
		return s.call(nc, items, true)
	case "/v1/effects":
		return s.inquiry(nc, body)
	}
	return answer(nc, http.StatusNotFound, 0, nil)
}

func (s *Server) call(nc exchange, items []Item, batch bool) bool {
	s.mu.Lock()
	var a Act
	if s.Script != nil {
		a = s.Script(items, batch)
	}
	s.calls++
	s.arrivals = append(s.arrivals, s.Host.Now())
	var ran []Item
	for i, it := range items {
		if a.States != nil && a.States[i] != "delivered" && a.States[i] != "failed" {
			continue
		}
		if !a.NoEffect {
			ran = append(ran, it)
		}
	}
	if a.After == 0 {
		s.effect(ran)
	}
	s.mu.Unlock()
	if a.After > 0 {
		s.Host.AfterFunc(a.After, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.effect(ran)
		})
	}
	switch {
	case a.Hang:
		io.Copy(io.Discard, nc)
		return false
	case a.Drop:
		return false
	case a.Delay > 0:
		s.pause(a.Delay)
	}
	if a.Raw != "" {
		io.WriteString(nc, a.Raw)
		return false
	}
	status := max(a.Status, http.StatusOK)
	var text []byte
	if batch && status == http.StatusOK {
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		list := make([]state, len(items))
		for i, it := range items {
			list[i] = state{it.ID, "delivered"}
			if a.States != nil {
				list[i].State = a.States[i]
			}
		}
		text, _ = json.Marshal(list) // strings alone: it can't fail
	}
	return answer(nc, status, a.Wait, text)
}

func (s *Server) pause(d time.Duration) {
	s.Host.NewInbox().Take(nil, s.Host.Now().Add(d))
}

// effect carries messages out; the lock is held.
func (s *Server) effect(items []Item) {
	if s.effects == nil {
		s.effects, s.ids, s.keys = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	}
	now := s.Host.Now()
	for _, it := range items {
		if at, known := s.keys[it.Key]; known && it.Key != "" && s.KeyMemory > 0 && now.Sub(at) < s.KeyMemory {
			continue
		}
		s.effects[string(it.Body)]++
		s.ids[it.ID] = now
		if it.Key != "" {
			s.keys[it.Key] = now
		}
	}
}

func (s *Server) inquiry(nc exchange, body []byte) bool {
	var q struct {
		IDs []string `json:"ids"`
		Key string   `json:"key"`
	}
	if json.Unmarshal(body, &q) != nil {
		return answer(nc, http.StatusBadRequest, 0, nil)
	}
	s.mu.Lock()
	var lie Lie
	if s.Answers != nil {
		lie = s.Answers(q.IDs, q.Key)
	}
	s.asked++
	now, said := s.Host.Now(), "no"
	knows := func(at time.Time, ok bool) bool { return ok && (s.Forgets == 0 || now.Sub(at) < s.Forgets) }
	for _, id := range q.IDs {
		if at, ok := s.ids[id]; knows(at, ok) {
			said = "yes"
		}
	}
	if at, ok := s.keys[q.Key]; q.Key != "" && knows(at, ok) {
		said = "yes"
	}
	s.mu.Unlock()
	if lie.Effect != "" {
		said = lie.Effect
	}
	switch {
	case lie.Hang:
		io.Copy(io.Discard, nc)
		return false
	case lie.Late > 0:
		s.pause(lie.Late)
	}
	text := []byte(lie.Raw)
	if lie.Raw == "" {
		text, _ = json.Marshal(map[string]string{"effect": said})
	}
	return answer(nc, max(lie.Status, http.StatusOK), lie.Wait, text)
}

// exchange is the connection of one request.
type exchange struct {
	net.Conn
	closes bool // the request asks to close the connection
}

func answer(nc exchange, status int, wait time.Duration, body []byte) bool {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if nc.closes {
		b = append(b, "Connection: close\r\n"...)
	}
	if wait > 0 {
		b = fmt.Appendf(b, "Retry-After: %s\r\n", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	_, err := nc.Write(append(append(b, "\r\n"...), body...))
	return err == nil
}

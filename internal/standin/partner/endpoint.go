package partner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	bodyMost   = 64 << 10 // what a body may hold
	headerTime = 5 * time.Second
)

// Endpoint is one address of a partner. Its methods are safe for concurrent use.
type Endpoint struct {
	id      string
	partner *Partner

	mu     sync.Mutex
	addr   string
	script Script
	server *http.Server  // nil while down
	gone   chan struct{} // closed when it goes down
}

// Endpoint starts an endpoint on a free port of 127.0.0.1. A nil script is OK(0).
func (p *Partner) Endpoint(id string, s Script) (*Endpoint, error) {
	e := &Endpoint{id: id, partner: p, addr: "127.0.0.1:0"}
	e.Do(s)
	if err := e.Up(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints = append(p.endpoints, e)
	return e, nil
}

// ID is the endpoint's name in the list.
func (e *Endpoint) ID() string { return e.id }

// Addr is where the endpoint is found ("host:port").
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Do sets what becomes of calls whose last byte comes from now on. A nil script is OK(0).
func (e *Endpoint) Do(s Script) {
	if s == nil {
		s = OK(0)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = s
}

// Down ends all connections, and new ones are refused.
func (e *Endpoint) Down() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	close(e.gone)
	s := e.server
	e.server = nil
	if err := s.Close(); err != nil {
		return fmt.Errorf("endpoint %s: %w", e.id, err)
	}
	return nil
}

// Up listens again after Down, at the same address. It fails if another has taken that since.
func (e *Endpoint) Up() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.id, err)
	}
	e.addr, e.gone = l.Addr().String(), make(chan struct{})
	e.server = &http.Server{
		Handler: e, ReadHeaderTimeout: headerTime, IdleTimeout: e.partner.opt.Idle,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, nc)
		},
	}
	go e.server.Serve(listener{l, e.partner}) // ends with ErrServerClosed
	return nil
}

// listener times what comes on the connections that it accepts.
type listener struct {
	net.Listener
	partner *Partner
}

func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err // as it is: the server waits out what is temporary
	}
	return &conn{Conn: nc, number: l.partner.connected()}, nil
}

type connKey struct{}

// conn is a connection that knows when the bytes of the request at hand came.
type conn struct {
	net.Conn
	number int

	mu          sync.Mutex
	first, last time.Time
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.mu.Lock()
		if c.first.IsZero() {
			c.first = now
		}
		c.last = now
		c.mu.Unlock()
	}
	return n, err
}

// times are when the request's first and its newest byte came. What comes from now on is the next request.
func (c *conn) times() (first, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, last = c.first, c.last
	c.first = time.Time{}
	return first, last
}

// ServeHTTP takes one call: it is read, recorded, given to the script, and answered.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	nc, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		http.Error(w, "not on an endpoint's own listener", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	c := &Call{Endpoint: e.id, Conn: nc.number}
	c.First, c.Last = nc.times()
	var long *http.MaxBytesError
	if err != nil && !errors.As(err, &long) { // the rest of it never came
		c.Last, c.Ending, c.End = time.Time{}, Broken, time.Now()
		e.partner.began(c)
		return
	}
	req := &Request{Endpoint: e.id, At: c.Last}
	status := http.StatusRequestEntityTooLarge
	if err == nil {
		status, err = e.read(req, r, body)
	}
	if err != nil { // it is no call
		e.partner.unread()
		http.Error(w, err.Error(), status)
		return
	}
	c.Expires = req.Expires
	for _, m := range req.Messages {
		c.Items = append(c.Items, Item{ID: m.ID, Key: m.Key})
	}
	e.mu.Lock()
	script, gone := e.script, e.gone
	e.mu.Unlock()
	reply := script(req)
	reply.Wait = (reply.Wait + time.Millisecond - 1).Truncate(time.Millisecond) // as it is told
	e.partner.decided(c, &reply, c.Last)                                        // of this call alone: nobody else has it yet
	e.partner.began(c)
	r.Body = io.NopCloser(bytes.NewReader(body))
	(&answering{e.partner, c, req, &reply, gone}).serve(w, r, nc)
}

// read reads a call, or tells the status and the error to answer.
func (e *Endpoint) read(req *Request, r *http.Request, body []byte) (status int, err error) {
	if r.URL.Path != "/v1/messages" && r.URL.Path != "/v1/messages:batch" {
		return http.StatusNotFound, errors.New("no such path")
	}
	if r.Method != http.MethodPost {
		return http.StatusMethodNotAllowed, errors.New("method: want POST")
	}
	if s := r.Header.Get("X-Expires-In-Ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return http.StatusBadRequest, fmt.Errorf("X-Expires-In-Ms: %q is no time", s)
		}
		req.Expires = time.Duration(ms) * time.Millisecond
	}
	if r.URL.Path == "/v1/messages" {
		m := Message{ID: r.Header.Get("X-Trace-Id"), Key: r.Header.Get("Idempotency-Key"), Body: body}
		if m.ID == "" {
			return http.StatusBadRequest, errors.New("X-Trace-Id: missing")
		}
		req.Messages = []Message{m}
		return 0, nil
	}
	req.Batch = true
	if req.Messages, err = parseBatch(body); err != nil {
		return http.StatusBadRequest, err
	}
	if n := len(req.Messages); n > max(e.partner.opt.Batch, 1) {
		return http.StatusRequestEntityTooLarge, fmt.Errorf("%d messages in a call: at most %d", n, max(e.partner.opt.Batch, 1))
	}
	return 0, nil
}

// parseBatch reads the body of a batch. Errors name the message at fault by its place.
func parseBatch(body []byte) ([]Message, error) {
	var list []struct {
		ID   string `json:"id"`
		Key  string `json:"key"`
		Body []byte `json:"body"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("batch: %w", err)
	}
	if len(list) == 0 {
		return nil, errors.New("batch: empty")
	}
	out := make([]Message, len(list))
	seen := make(map[string]bool, len(list))
	for i, l := range list {
		if l.ID == "" || seen[l.ID] {
			return nil, fmt.Errorf("batch: message %d: id %q is missing or named twice", i, l.ID)
		}
		seen[l.ID] = true
		out[i] = Message(l)
	}
	return out, nil
}

// answering is a call whose reply is known.
type answering struct {
	partner *Partner
	call    *Call
	req     *Request
	reply   *Reply
	gone    <-chan struct{} // closed when the endpoint goes down
}

func (a *answering) serve(w http.ResponseWriter, r *http.Request, nc *conn) {
	ctx := r.Context()
	if a.reply.Delay > 0 {
		timer := time.NewTimer(a.reply.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			a.left()
			return
		}
	}
	if a.reply.Handler != nil {
		ending := Cut // by a panic, which ends the connection
		defer func() { a.partner.over(a.call, ending, 0) }()
		a.reply.Handler(w, r)
		if ending = Answered; ctx.Err() != nil {
			ending = a.end()
		}
		return
	}
	switch a.reply.Instead {
	case Answer:
		a.answer(w)
	case Hang:
		<-ctx.Done()
		a.left()
	default:
		a.hijack(w, nc)
	}
}

// left records that the connection has ended before an answer.
func (a *answering) left() { a.partner.over(a.call, a.end(), 0) }

// end tells who ended a connection on which no answer was written.
func (a *answering) end() Ending {
	select {
	case <-a.gone:
		return Cut
	default:
		return Dropped
	}
}

// content is the answer's head and body.
func (a *answering) content() (http.Header, []byte) {
	h := http.Header{}
	for k, v := range a.reply.Header {
		h[k] = v
	}
	if a.reply.Wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(a.reply.Wait.Seconds(), 'f', 3, 64))
	}
	var body []byte
	if a.req.Batch && a.reply.status() == http.StatusOK {
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		list := make([]state, len(a.req.Messages))
		for i, m := range a.req.Messages {
			list[i].ID = m.ID
			list[i].State, _ = a.reply.state(m.ID)
		}
		body, _ = json.Marshal(list) // strings alone: it can't fail
		h.Set("Content-Type", "application/json")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return h, body
}

func (a *answering) answer(w http.ResponseWriter) {
	head, body := a.content()
	for k, v := range head {
		w.Header()[k] = v
	}
	a.partner.over(a.call, Answered, a.reply.status())
	w.WriteHeader(a.reply.status())
	_, err := w.Write(body)
	if len(body) == 0 {
		err = nil // some statuses allow no body
	}
	if err = errors.Join(err, http.NewResponseController(w).Flush()); err != nil {
		a.left()
	}
}

// hijack gives what no server of HTTP would.
func (a *answering) hijack(w http.ResponseWriter, nc *conn) {
	raw, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		a.left()
		return
	}
	defer raw.Close()
	switch a.reply.Instead {
	case Reset:
		if tcp, ok := nc.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // unsent bytes are dropped and the close is a reset
		}
		a.partner.over(a.call, Cut, 0)
	case Close:
		a.partner.over(a.call, Cut, 0)
	case Spoil:
		a.partner.over(a.call, Cut, a.reply.Status)
		raw.Write(a.reply.Raw) // whoever left early gets nothing
	case Trickle:
		a.trickle(raw)
	}
}

// trickle writes the answer byte by byte. It counts as answered from its first line on, and as dropped if the caller
// goes away before that.
func (a *answering) trickle(raw net.Conn) {
	head, body := a.content()
	var text bytes.Buffer
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", a.reply.status(), http.StatusText(a.reply.status()))
	line := text.Len()
	head.Write(&text) // into memory: it can't fail
	text.WriteString("Connection: close\r\n\r\n")
	text.Write(body)
	timer := time.NewTicker(max(a.reply.Gap, time.Microsecond))
	defer timer.Stop()
	for i, b := range text.Bytes() {
		if i == line-1 {
			a.partner.over(a.call, Answered, a.reply.status())
		}
		if _, err := raw.Write([]byte{b}); err != nil {
			if i < line {
				a.left()
			}
			return
		}
		select {
		case <-timer.C:
		case <-a.gone:
			if i < line {
				a.left()
			}
			return
		}
	}
}

// Package rpcpartner is a stand-in for partners that are called over gRPC: endpoints that speak HTTP/2 frame by frame,
// so that a script can do what no server of gRPC would, and that record every call as it crossed the wire. It is no part
// of what the plug-in serves with.
package rpcpartner

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
)

// Ending is how a call ended, as the endpoint saw it.
type Ending uint8

// Endings.
const (
	Out      Ending = iota // it has not: its caller is still waiting
	Answered               // with Code
	Broken                 // its last byte never came: it never ran
	Dropped                // its caller went away before an answer was written
	Cut                    // the endpoint ended the stream or the connection without a whole answer
	Refused                // the endpoint ended the stream as one that it has not processed
)

func (e Ending) String() string {
	return [...]string{"out", "answered", "broken", "dropped", "cut", "refused"}[e]
}

// Call is the record of one stream.
type Call struct {
	Endpoint string
	Conn     int // number of its connection at this partner, from 1
	Stream   uint32
	Method   string
	ID, Key  string // x-trace-id and idempotency-key
	Attempts string // grpc-previous-rpc-attempts, empty where gRPC sends nothing again
	First    time.Time
	Last     time.Time // when its last byte came; zero if it never did
	Ending   Ending
	Code     codes.Code // of the answer
	Ran      bool       // the partner carried it out
	Effect   bool       // and it took effect: false for a key that is remembered
	End      time.Time
}

// Request is a call as a script sees it.
type Request struct {
	Endpoint, Method, ID, Key string
	Body                      []byte // the message; nil where not all of it has come
	Timeout                   string // grpc-timeout
	N                         int    // calls of this id whose last byte has come, this one counted
}

// Script says what becomes of a call. It is called from many goroutines at once and must not block.
type Script func(r *Request) Reply

// Reply is what becomes of a call.
type Reply struct {
	Delay    time.Duration // before anything of the answer is written
	Ran      bool          // the call was carried out
	Body     []byte        // the reply's bytes, for codes.OK
	Code     codes.Code
	Message  string
	Wait     time.Duration // told by google.rpc.RetryInfo; 0 tells none
	Pushback string        // grpc-retry-pushback-ms; empty tells none
	Trailer  [2]string     // one more field of the trailers
	Only     bool          // a status without headers of its own (trailers-only)
	Instead  Instead
	RST      uint32 // for ResetStream: the code
}

// Instead is what a caller gets in place of an answer.
type Instead uint8

// What a caller gets.
const (
	Answer       Instead = iota // the answer
	Hang                        // nothing, until it goes away
	CutConn                     // a reset of the connection
	ResetStream                 // RST_STREAM with the reply's code
	RefuseStream                // RST_STREAM with REFUSED_STREAM
	GoAway                      // GOAWAY below the stream, then the end of the connection
	Calm                        // GOAWAY with ENHANCE_YOUR_CALM that counts the stream in, then the end of the connection
	HeadersHang                 // headers and then nothing
	HeadersCut                  // headers and then a reset of the connection
	HalfCut                     // headers and half of the reply, and then a reset of the connection
)

// Options are what the endpoints of one partner have in common.
type Options struct {
	KeyMemory  time.Duration                           // how long a key is remembered from when it first took effect
	Listen     func(addr string) (net.Listener, error) // nil: TCP on loopback
	MaxStreams uint32                                  // told in SETTINGS; 0: none is told
	Wrap       func(net.Conn) (net.Conn, error)        // TLS and the like; nil: none
}

// Partner is one destination. Its methods are safe for concurrent use.
type Partner struct {
	opt Options

	mu        sync.Mutex
	endpoints []*Endpoint
	changed   chan struct{}
	calls     []*Call
	keys      map[string]time.Time
	came      map[string]int
	conns     int
}

// New makes a partner without endpoints.
func New(o Options) *Partner {
	if o.Listen == nil {
		o.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	return &Partner{opt: o, keys: map[string]time.Time{}, came: map[string]int{}}
}

// Close takes all endpoints down and waits until their goroutines have ended.
func (p *Partner) Close() {
	p.mu.Lock()
	list := slices.Clone(p.endpoints)
	p.mu.Unlock()
	for _, e := range list {
		e.Down()
	}
}

// Calls are the records of the calls so far, in the order of their first bytes.
func (p *Partner) Calls() []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Call, len(p.calls))
	for i, c := range p.calls {
		out[i] = *c
	}
	return out
}

// Of are the records of one id's calls.
func (p *Partner) Of(id string) (out []Call) {
	for _, c := range p.Calls() {
		if c.ID == id {
			out = append(out, c)
		}
	}
	return out
}

// Conns is how many connections there were.
func (p *Partner) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns
}

// Changed is closed when a call begins or ends. Whoever waits takes it before looking.
func (p *Partner) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// change changes a record; the partner's lock is held meanwhile.
func (p *Partner) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// ran notes that a call is carried out; the lock is held.
func (p *Partner) ran(c *Call) {
	c.Ran = true
	at, known := p.keys[c.Key]
	if c.Key != "" && known && time.Since(at) < p.opt.KeyMemory {
		return
	}
	c.Effect = true
	if c.Key != "" {
		p.keys[c.Key] = time.Now()
	}
}

// Endpoint is one endpoint of a partner.
type Endpoint struct {
	partner *Partner
	id      string

	mu       sync.Mutex
	addr     string
	script   Script
	early    func(r *Request) *Reply
	listener net.Listener
	conns    map[*conn]struct{}
	done     sync.WaitGroup
}

// Endpoint starts an endpoint at an address; "127.0.0.1:0" is a free one on loopback.
func (p *Partner) Endpoint(id, addr string, s Script) (*Endpoint, error) {
	e := &Endpoint{partner: p, id: id, addr: addr, script: s, conns: map[*conn]struct{}{}}
	if err := e.Up(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.endpoints = append(p.endpoints, e)
	p.mu.Unlock()
	return e, nil
}

// ID is the endpoint's name.
func (e *Endpoint) ID() string { return e.id }

// Addr is where it is found.
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Do sets what becomes of calls whose last byte comes from now on.
func (e *Endpoint) Do(s Script) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.script = s
}

// Early sets what becomes of calls whose headers come from now on, before the rest of them has; a nil reply lets a call
// go on. For one with a reply the flow-control window is withheld, so that a request over 64 KiB can't come whole.
func (e *Endpoint) Early(f func(r *Request) *Reply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.early = f
}

// Up listens, again after Down, at the same address.
func (e *Endpoint) Up() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		return nil
	}
	l, err := e.partner.opt.Listen(e.addr)
	if err != nil {
		return fmt.Errorf("endpoint %s: %w", e.id, err)
	}
	e.addr, e.listener = l.Addr().String(), l
	e.done.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			e.accept(l, nc)
		}
	})
	return nil
}

func (e *Endpoint) accept(l net.Listener, nc net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != l {
		nc.Close()
		return
	}
	e.partner.mu.Lock()
	e.partner.conns++
	c := &conn{endpoint: e, raw: nc, nc: nc, number: e.partner.conns, streams: map[uint32]*stream{}, gone: make(chan struct{})}
	e.partner.mu.Unlock()
	e.conns[c] = struct{}{}
	e.done.Go(func() {
		c.serve()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	})
}

// Down resets all connections, and new ones are refused. It waits until all goroutines have ended.
func (e *Endpoint) Down() {
	e.mu.Lock()
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	for c := range e.conns {
		c.reset()
	}
	e.mu.Unlock()
	e.done.Wait()
}

// OK carries each call out and replies after a delay.
func OK(delay time.Duration) Script { return Same(Reply{Delay: delay, Ran: true}) }

// Same gives every call the same reply.
func Same(r Reply) Script { return func(*Request) Reply { return r } }

// InTurn gives the first call of an id the first reply, the next one the next, and all further ones the last.
func InTurn(list ...Reply) Script {
	return func(r *Request) Reply { return list[min(r.N, len(list))-1] }
}

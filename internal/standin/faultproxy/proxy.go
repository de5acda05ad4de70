// Package faultproxy is an HTTP/1.1 proxy on loopback that breaks exchanges as a seed says. It stands between real
// programs: a dispatcher and its endpoints, or a dispatcher and discovery.
package faultproxy

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxSlowTime  = 1500 * time.Millisecond // of a slow response
	maxIdleTime  = 300 * time.Millisecond  // before an idle connection breaks
	maxCopyDelay = 5 * time.Millisecond    // between a request and a late copy
	trickleGap   = time.Millisecond        // between two bytes of a response that trickles
	endlessGap   = 5 * time.Millisecond    // between two parts of a response that never ends
	endlessPart  = 4 << 10
)

// Exchange is a request with the response that was forwarded for it.
type Exchange struct {
	Request *http.Request
	Body    []byte // of the request
	Status  int    // of the response
	Whole   bool   // all of the response was written, not only its status line

	length int // of the response, in bytes
}

// Settings configure a proxy.
type Settings struct {
	Target string  // host:port to which requests are forwarded
	Seed   uint64  // determines the faults, for the same order of requests
	Rate   float64 // share of the exchanges with a fault
	Faults []Fault // that may occur; nil: all
	Limit  int     // largest number of faults; 0: no limit
	Path   string  // only requests with this path meet faults; "": all

	// CopyDelay is the time between a request and a late copy; 0: drawn anew each time, up to 5 ms.
	CopyDelay time.Duration

	// Responded is called when the status line of a response was written to the caller, and perhaps once more when all of it
	// was; may be nil. It is called on any goroutine.
	Responded func(Exchange)
}

// Proxy is a running proxy.
type Proxy struct {
	settings Settings
	listener net.Listener

	mu      sync.Mutex
	random  *rand.Rand
	conns   map[net.Conn]bool
	closed  bool
	counts  [faultCount]int
	total   int // of counts
	copies  int // late copies that were sent
	serving sync.WaitGroup
}

// New starts a proxy on a free loopback port.
func New(s Settings) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if s.Faults == nil {
		s.Faults = All()
	}
	p := &Proxy{settings: s, listener: l, random: rand.New(rand.NewPCG(s.Seed, 0)), conns: map[net.Conn]bool{}}
	p.serving.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Counts returns how often each fault occurred.
func (p *Proxy) Counts() map[Fault]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[Fault]int{}
	for f, n := range p.counts {
		if n > 0 {
			out[Fault(f)] = n
		}
	}
	return out
}

// Copies returns how many late copies were sent.
func (p *Proxy) Copies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.copies
}

func (p *Proxy) countCopy() {
	p.mu.Lock()
	p.copies++
	p.mu.Unlock()
}

// Close closes all connections and waits for the goroutines to end.
func (p *Proxy) Close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.serving.Wait()
	return err
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.add(near) {
			p.serving.Go(func() { p.serve(near) })
		}
	}
}

// add registers a connection. It closes the connection and returns false if the proxy is closed.
func (p *Proxy) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) remove(c net.Conn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// draw returns the fault of an exchange, None for most.
func (p *Proxy) draw(path string) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.settings
	if s.Path != "" && s.Path != path || s.Limit > 0 && p.total == s.Limit || p.random.Float64() >= s.Rate {
		return None
	}
	f := s.Faults[p.random.IntN(len(s.Faults))]
	p.counts[f]++
	p.total++
	return f
}

// randomTime returns a random duration below the limit.
func (p *Proxy) randomTime(limit time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(limit)))
}

func (p *Proxy) copyDelay() time.Duration {
	if p.settings.CopyDelay > 0 {
		return p.settings.CopyDelay
	}
	return p.randomTime(maxCopyDelay)
}

// randomPart returns a part of a text from its beginning on, perhaps nothing but never all of it.
func (p *Proxy) randomPart(text []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return text[:p.random.IntN(len(text))]
}

func (p *Proxy) serve(near net.Conn) {
	defer p.remove(near)
	far, err := net.Dial("tcp", p.settings.Target)
	if err != nil || !p.add(far) {
		return
	}
	defer p.remove(far)
	c := &connection{proxy: p, near: near, far: far, requests: bufio.NewReader(near), responses: bufio.NewReader(far)}
	for c.exchange() {
	}
}

// connection is a connection of a caller with that to the target.
type connection struct {
	proxy     *Proxy
	near, far net.Conn
	requests  *bufio.Reader
	responses *bufio.Reader
	lateCopy  []byte // is written after the next request
}

// exchange forwards one request and its response. It returns false if the connection can't go on.
func (c *connection) exchange() bool {
	request, err := http.ReadRequest(c.requests)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	fault := c.proxy.draw(request.URL.Path)
	if fault == ResetBeforeRequest {
		c.reset()
		return false
	}
	if c.lateCopy != nil {
		time.Sleep(c.proxy.copyDelay())
		if _, err := c.near.Write(c.lateCopy); err != nil {
			return false
		}
		c.lateCopy = nil
		c.proxy.countCopy()
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	if err := request.Write(c.far); err != nil {
		return false
	}
	response, err := http.ReadResponse(c.responses, request)
	if err != nil {
		return false
	}
	text, err := encode(response)
	if err != nil {
		return false
	}
	return c.respond(fault, Exchange{Request: request, Body: body, Status: response.StatusCode, length: len(text)}, text) && !response.Close
}

// encode returns a response as it goes over the wire, with its body in one piece.
func encode(r *http.Response) ([]byte, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
	var b bytes.Buffer
	err = r.Write(&b)
	return b.Bytes(), err
}

// forward writes the beginning of a response, or all of it, and reports the exchange if the status line was written.
func (c *connection) forward(e Exchange, text []byte) bool {
	if _, err := c.near.Write(text); err != nil {
		return false
	}
	c.responded(e, text)
	return true
}

// responded reports an exchange of which this much of the response was written.
func (c *connection) responded(e Exchange, text []byte) {
	if bytes.IndexByte(text, '\n') >= 0 && c.proxy.settings.Responded != nil {
		e.Whole = len(text) >= e.length
		c.proxy.settings.Responded(e)
	}
}

// reset closes the caller's connection so that it is reset.
func (c *connection) reset() {
	if tcp, ok := c.near.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.near.Close()
}

// awaitEnd waits until the caller has closed its connection.
func (c *connection) awaitEnd() { io.Copy(io.Discard, c.near) }

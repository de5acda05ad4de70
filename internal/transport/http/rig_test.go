package httptransport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

const testTimeout = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// waitFor waits until ok returns true.
func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true in time")
		}
	}
}

// within returns the next value from a channel.
func within[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("no value arrived in time")
	}
	return v
}

// rig is a host with real sockets and a clock that a test can advance, speed up or stop.
type rig struct {
	host.System
	start time.Time
	speed time.Duration // factor to the real time; 0: the clock stands still

	mu     sync.Mutex
	offset time.Duration
	timers []*rigTimer
	conns  []*rigConn
	dial   func(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) // replaces the dial of host.System if set
}

func newRig() *rig { return &rig{start: time.Now(), speed: 1} }

func (r *rig) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now()
}

func (r *rig) now() time.Time { return r.start.Add(time.Since(r.start)*r.speed + r.offset) }

// systemTime converts a time of the rig's clock to the system's.
func (r *rig) systemTime(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return time.Now().Add(r.wait(at.Sub(r.now())))
}

// wait converts a duration on the rig's clock to real time.
func (r *rig) wait(d time.Duration) time.Duration {
	switch {
	case r.speed > 0:
		return d / r.speed
	case d > 0:
		return time.Hour
	}
	return d
}

// advance moves the clock forward. Deadlines and timers that it reaches take effect.
func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset += d
	for _, c := range r.conns {
		c.Conn.SetReadDeadline(r.systemTime(c.read))
		c.Conn.SetWriteDeadline(r.systemTime(c.write))
	}
	for _, t := range r.timers {
		if t.Stop() {
			t.Reset(time.Until(r.systemTime(t.at)))
		}
	}
}

// rigTimer is a timer on the rig's clock.
type rigTimer struct {
	*time.Timer
	at time.Time
}

func (r *rig) AfterFunc(d time.Duration, f func()) host.Timer {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &rigTimer{time.AfterFunc(r.wait(d), f), r.now().Add(d)}
	r.timers = append(r.timers, t)
	return t
}

func (r *rig) Dial(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
	dial := r.dial
	if dial == nil {
		dial = r.System.Dial
	}
	nc, err := dial(addr, limit, abort)
	if err != nil {
		return nil, err
	}
	c := &rigConn{Conn: nc, rig: r}
	r.mu.Lock()
	r.conns = append(r.conns, c)
	r.mu.Unlock()
	return c, nil
}

// dialUnreachable simulates a dial to an unreachable machine: it blocks until its limit or an abort.
func (r *rig) dialUnreachable(_ string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
	aborted, over := make(chan bool), make(chan bool)
	abort.On(func() { close(aborted) })
	defer abort.On(nil)
	if limit > 0 {
		r.AfterFunc(limit, func() { close(over) })
	}
	select {
	case <-aborted:
		return nil, host.ErrAborted
	case <-over:
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
}

// rigConn is a connection whose deadlines are on the rig's clock. It counts its writes.
type rigConn struct {
	net.Conn
	rig         *rig
	read, write time.Time // deadlines
	writes      atomic.Int32
}

func (c *rigConn) Readable() bool { return host.Readable(c.Conn) }

func (c *rigConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(b)
}

func (c *rigConn) SetReadDeadline(at time.Time) error {
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	c.read = at
	return c.Conn.SetReadDeadline(c.rig.systemTime(at))
}

func (c *rigConn) SetWriteDeadline(at time.Time) error {
	c.rig.mu.Lock()
	defer c.rig.mu.Unlock()
	c.write = at
	return c.Conn.SetWriteDeadline(c.rig.systemTime(at))
}

// harness is a transport on a rig, with methods that make calls.
type harness struct {
	*rig
	*Transport
	t     *testing.T
	calls atomic.Uint64
}

func newHarness(t *testing.T) *harness {
	return newHarnessWith(t, Settings{ConnectTimeout: time.Second, EndpointIdleTimeout: 5 * time.Second, MaxIdle: 8, ReportFields: []string{"x0", "x1"}})
}

func newHarnessWith(t *testing.T, s Settings) *harness {
	r := newRig()
	b := &harness{rig: r, Transport: New(r, engine.Clock{Start: r.start}, s), t: t}
	t.Cleanup(func() {
		if err := b.Close(testTimeout); err != nil {
			t.Error(err)
		}
	})
	return b
}

// items returns messages with a deadline in one hour.
func (b *harness) items(ids ...string) (out []engine.Item) {
	for _, id := range ids {
		out = append(out, engine.Item{ID: id, Key: "k-" + id, Body: []byte("body " + id), Deadline: b.in(time.Hour)})
	}
	return out
}

// in returns the engine time after a duration from now.
func (b *harness) in(d time.Duration) engine.Time { return b.clock.At(b.Now().Add(d)) }

// testCall is a call that was started. It records its events.
type testCall struct {
	*engine.Call
	t     *testing.T
	may   func() []bool         // answer to MayWrite; nil: all items may be written
	lines chan bool             // one value for each FirstLine event: whether it was for this call
	ends  chan []engine.Outcome // the outcomes of each Ended event
	mu    sync.Mutex
	order []engine.Outcome // all outcomes, as they were reported
	done  chan bool        // closed when all items have ended
}

func (o *testCall) MayWrite(engine.CallID) []bool {
	if o.may == nil {
		return slices.Repeat([]bool{true}, len(o.Items))
	}
	return o.may()
}

func (o *testCall) FirstLine(id engine.CallID) { o.lines <- id == o.ID }

func (o *testCall) Ended(id engine.CallID, outs []engine.Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, u := range outs {
		if id != o.ID || slices.ContainsFunc(o.order, func(e engine.Outcome) bool { return e.Item == u.Item }) {
			o.t.Errorf("call %d, item %d: ended twice, or reported to another call", id, u.Item)
		}
	}
	o.order = append(o.order, outs...)
	o.ends <- outs
	if len(o.order) == len(o.Items) {
		close(o.done)
	}
}

// start starts a call to endpoint 1 at an address.
func (b *harness) start(addr string, may func() []bool, items ...engine.Item) *testCall {
	return b.startTo(1, addr, may, items...)
}

// startTo starts a call to an endpoint. If may is set, it answers MayWrite.
func (b *harness) startTo(ep control.Endpoint, addr string, may func() []bool, items ...engine.Item) *testCall {
	o := &testCall{
		Call: &engine.Call{ID: engine.CallID(b.calls.Add(1)), Endpoint: ep, Addr: addr, Items: items}, t: b.t, may: may,
		lines: make(chan bool, 1), ends: make(chan []engine.Outcome, len(items)), done: make(chan bool),
	}
	b.Start(o.Call, o)
	return o
}

// wait waits until all items have ended and returns their outcomes, ordered by item.
func (o *testCall) wait() []engine.Outcome {
	o.t.Helper()
	within(o.t, o.done)
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.SortedFunc(slices.Values(o.order), func(a, b engine.Outcome) int { return a.Item - b.Item })
}

// run makes a call to endpoint 1 and returns its outcomes.
func (b *harness) run(addr string, items ...engine.Item) []engine.Outcome {
	b.t.Helper()
	return b.start(addr, nil, items...).wait()
}

// idleAt returns the idle connections to an endpoint.
func (b *harness) idleAt(ep control.Endpoint, addr string) []*conn {
	b.Transport.mu.Lock()
	defer b.Transport.mu.Unlock()
	if p := b.peers[endpointAddress{ep, addr}]; p != nil {
		return slices.Clone(p.idle)
	}
	return nil
}

func (b *harness) idleCount() int {
	b.Transport.mu.Lock()
	defer b.Transport.mu.Unlock()
	return b.idle.count
}

// testEndpoint is an endpoint on a loopback socket that records requests and responds as its test says.
type testEndpoint struct {
	addr  string
	dials atomic.Int32
	seen  chan *receivedRequest
}

// receivedRequest is a request that a testEndpoint received, with its body.
type receivedRequest struct {
	*http.Request
	body string
}

// newTestEndpoint starts an endpoint that responds with the result of do. An empty result closes the connection.
func newTestEndpoint(t testing.TB, do func(conn net.Conn, r *receivedRequest) string) *testEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &testEndpoint{addr: l.Addr().String(), seen: make(chan *receivedRequest, 100)}
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			s.dials.Add(1)
			go s.serve(c, do)
		}
	}()
	return s
}

func (s *testEndpoint) serve(c net.Conn, do func(conn net.Conn, r *receivedRequest) string) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		q := &receivedRequest{r, string(body)}
		s.seen <- q
		answer := do(c, q)
		if r.Close {
			answer = confirmClose(answer)
		}
		if _, err := io.WriteString(c, answer); err != nil || answer == "" || r.Close {
			return
		}
	}
}

// confirmClose adds the close option to the final response of a text, as a server does when the request has it.
func confirmClose(text string) string {
	at := max(strings.LastIndex(text, "HTTP/1.1 "), 0)
	return text[:at] + strings.Replace(text[at:], "\r\n", "\r\nConnection: close\r\n", 1)
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// always returns a function for newTestEndpoint that gives the same response to every request.
func always(answer string) func(net.Conn, *receivedRequest) string {
	return func(net.Conn, *receivedRequest) string { return answer }
}

// status returns a response without a body.
func status(line string, headers ...string) string {
	return "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n" + strings.Join(append(headers, "\r\n"), "\r\n")
}

// newBlockingEndpoint starts an endpoint that responds to a call with the next text sent to release. gone receives a value
// when the caller closes a connection.
func newBlockingEndpoint(t *testing.T) (s *testEndpoint, release chan string, gone chan bool) {
	release, gone = make(chan string), make(chan bool, 100)
	s = newTestEndpoint(t, func(c net.Conn, _ *receivedRequest) string {
		end := make(chan bool)
		go func() {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				close(end)
			}
		}()
		select {
		case a := <-release:
			return a
		case <-end:
			gone <- true
			return ""
		}
	})
	return s, release, gone
}

package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"whinrun/control"
)

const generous = 20 * time.Second // what a test waits for at most

// script is an endpoint on a loopback socket that does as it is told with each request it reads.
type script struct {
	addr  string
	dials atomic.Int32
	seen  chan *seen
}

type seen struct {
	*http.Request
	body string
}

// newScript answers with what do returns; an empty answer ends the connection.
func newScript(t *testing.T, do func(conn net.Conn, r *seen) string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := &script{addr: l.Addr().String(), seen: make(chan *seen, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			go func() {
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
					q := &seen{r, string(body)}
					s.seen <- q
					answer := do(c, q)
					if _, err := io.WriteString(c, answer); err != nil || answer == "" {
						return
					}
				}
			}()
		}
	}()
	return s
}

const ok200 = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func always(answer string) func(net.Conn, *seen) string {
	return func(net.Conn, *seen) string { return answer }
}

func status(line string, headers ...string) string {
	return "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n" + strings.Join(append(headers, "\r\n"), "\r\n")
}

func testPool() *pool {
	return newPool(&control.Settings{ConnectTimeout: control.Second, ConnIdle: 5 * control.Second}, []string{"x0", "x1"}, 8)
}

func items(ids ...string) (out []item) {
	for _, id := range ids {
		out = append(out, item{id: id, key: "k-" + id, body: []byte("body " + id), due: time.Now().Add(generous)})
	}
	return out
}

func runCall(t *testing.T, p *pool, ctx context.Context, addr string, may func() []bool, its []item) map[int]outcome {
	t.Helper()
	outs := map[int]outcome{}
	if may == nil {
		may = func() []bool { return slices.Repeat([]bool{true}, len(its)) }
	}
	p.run(ctx, &call{addr: addr, items: its, hooks: callHooks{may: may, ends: func(l []outcome) {
		for _, o := range l {
			if _, twice := outs[o.index]; twice {
				t.Errorf("item %d ended twice", o.index)
			}
			outs[o.index] = o
		}
	}}})
	if len(outs) != len(its) {
		t.Fatalf("%d of %d items ended", len(outs), len(its))
	}
	return outs
}

func (s *script) next(t *testing.T) *seen {
	t.Helper()
	select {
	case r := <-s.seen:
		return r
	case <-time.After(generous):
		t.Fatal("no request came")
		return nil
	}
}

func TestCallGoesOutAsTheProtocolSays(t *testing.T) {
	s := newScript(t, always(ok200))
	p := testPool()
	out := runCall(t, p, t.Context(), s.addr, nil, items("a"))[0]
	r := s.next(t)
	if out.result != control.OK || r.Method != "POST" || r.URL.Path != "/v1/messages" || r.body != "body a" ||
		r.Header.Get("X-Trace-Id") != "a" || r.Header.Get("Idempotency-Key") != "k-a" || r.Header.Get("X-Expires-In-Ms") == "" {
		t.Errorf("outcome %+v of %s %s %v %q", out, r.Method, r.URL, r.Header, r.body)
	}
	bare := items("b")
	bare[0].key, bare[0].body = "", nil
	runCall(t, p, t.Context(), s.addr, nil, bare)
	if r = s.next(t); r.body != "" || r.ContentLength != 0 || len(r.Header["Idempotency-Key"]) != 0 {
		t.Errorf("an empty message went out as %v %q", r.Header, r.body)
	}
	if n := s.dials.Load(); n != 1 {
		t.Errorf("%d connections for two calls in turn, want one", n)
	}
}

func TestEachAnswerIsAnOutcomeOfItsOwn(t *testing.T) {
	for _, c := range []struct {
		answer string
		want   outcome
	}{
		{ok200, outcome{result: control.OK}},
		{status("500 x"), outcome{result: control.Errored}},
		{status("418 x"), outcome{result: control.Errored}},
		{status("429 x", "Retry-After: 0.25"), outcome{result: control.Full, wait: 250 * time.Millisecond}},
		{status("503 x"), outcome{result: control.Full}},
		{status("503 x", "Retry-After: 2"), outcome{result: control.Full, wait: 2 * time.Second}},
		{status("503 x", "Slots-Taken: 1"), outcome{result: control.Moot}},
		{status("504 x"), outcome{result: control.Moot}},
		{status("410 x"), outcome{result: control.Moot, over: true}},
		{status("503 x", "Endpoint-Load-Metrics: TEXT x0=0.5, x1=25"), outcome{result: control.Full, report: []float32{0.5, 25}}},
		{"", outcome{result: control.Reset}},
		{"garbage\r\n\r\n", outcome{result: control.Reset}},
		{"HTTP/1.1 200 OK\r\nContent-Le", outcome{result: control.Reset}},
	} {
		s := newScript(t, func(conn net.Conn, _ *seen) string {
			if strings.HasSuffix(c.answer, "\n") || c.answer == ok200 {
				return c.answer
			}
			io.WriteString(conn, c.answer)
			return ""
		})
		got := runCall(t, testPool(), t.Context(), s.addr, nil, items("a"))[0]
		if got.result != c.want.result || got.wait != c.want.wait || got.over != c.want.over || !slices.Equal(got.report, c.want.report) {
			t.Errorf("%q: %+v, want %+v", c.answer, got, c.want)
		}
	}
}

func TestBatchStates(t *testing.T) {
	body := `[{"id":"a","state":"delivered"},{"id":"b","state":"failed"},{"id":"c","state":"refused"},
		{"id":"d","state":"over"},{"id":"e","state":"spent"}]`
	for _, c := range []struct {
		name, answer string
		want         []control.Result
	}{
		{"each its own", "", []control.Result{control.OK, control.Errored, control.Full, control.Moot, control.Moot, control.Errored}},
		{"unreadable", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{]", slices.Repeat([]control.Result{control.Errored}, 6)},
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n[", slices.Repeat([]control.Result{control.Errored}, 6)},
		{"all full", status("429 x", "Retry-After: 1.5"), slices.Repeat([]control.Result{control.Full}, 6)},
		{"all failed", status("500 x"), slices.Repeat([]control.Result{control.Errored}, 6)},
		{"not read", status("400 x"), slices.Repeat([]control.Result{control.Moot}, 6)},
	} {
		answer := c.answer
		if answer == "" {
			answer = "HTTP/1.1 200 OK\r\nRetry-After: 1.5\r\nConnection: close\r\n\r\n" + body
		}
		s := newScript(t, func(conn net.Conn, _ *seen) string {
			io.WriteString(conn, answer)
			return ""
		})
		its := items("a", "b", "c", "d", "e", "f")
		outs := runCall(t, testPool(), t.Context(), s.addr, nil, its)
		for i, want := range c.want {
			if outs[i].result != want {
				t.Errorf("%s: item %d: %v, want %v", c.name, i, outs[i].result, want)
			}
		}
		if c.name == "each its own" && (!outs[3].over || outs[4].over || outs[0].wait != 1500*time.Millisecond) {
			t.Errorf("%s: %+v", c.name, outs)
		}
		r := s.next(t)
		var lines []struct {
			ID, Key string
			Body    []byte
		}
		if err := json.Unmarshal([]byte(r.body), &lines); err != nil || r.URL.Path != "/v1/messages:batch" || len(lines) != 6 ||
			lines[1].ID != "b" || lines[1].Key != "k-b" || string(lines[1].Body) != "body b" {
			t.Errorf("%s: batch %s %q", c.name, r.URL, r.body)
		}
	}
}

// A library that sends a request again by itself, as http.Transport does with an Idempotency-Key, makes a second
// copy that the module knows nothing of.
func TestABrokenCallIsNotSentAgain(t *testing.T) {
	s := newScript(t, func(_ net.Conn, r *seen) string {
		if r.Header.Get("X-Trace-Id") == "warm" {
			return ok200
		}
		return ""
	})
	p := testPool()
	runCall(t, p, t.Context(), s.addr, nil, items("warm"))
	s.next(t)
	if o := runCall(t, p, t.Context(), s.addr, nil, items("a"))[0]; o.result != control.Reset {
		t.Errorf("outcome %v, want a reset", o.result)
	}
	s.next(t)
	runCall(t, p, t.Context(), s.addr, nil, items("warm")) // all that was sent before has been read by now
	if r := s.next(t); r.Header.Get("X-Trace-Id") != "warm" {
		t.Error("the call was sent twice")
	}
}

func TestNobodyThereIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	must(t, l.Close())
	if o := runCall(t, testPool(), t.Context(), l.Addr().String(), nil, items("a"))[0]; o.result != control.ConnectFailed {
		t.Errorf("outcome %v", o.result)
	}
}

// vanished is an address where a connection never comes up, as at a machine that is cut off.
func vanished(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	must(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(t, syscall.Listen(fd, 0))
	sa, err := syscall.Getsockname(fd)
	must(t, err)
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 8 { // fill its backlog
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("the backlog of a socket can't be filled here")
	return ""
}

func TestADialThatNeverEnds(t *testing.T) {
	addr := vanished(t)
	if o := runCall(t, testPool(), t.Context(), addr, nil, items("a"))[0]; o.result != control.ConnectFailed {
		t.Errorf("outcome %v, want connect failed after its time-out", o.result)
	}
	// Called off by us, it says nothing of the endpoint, and it never ran.
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if o := runCall(t, testPool(), ctx, addr, nil, items("a"))[0]; o.result != control.Moot {
		t.Errorf("outcome %v, want moot", o.result)
	}
}

// A dial may take long. What changed meanwhile must stop the send: an end, a drain, a wait.
func TestNothingIsWrittenWhenTheMessageIsNotWantedAfterADial(t *testing.T) {
	s := newScript(t, always(ok200))
	p := testPool()
	if o := runCall(t, p, t.Context(), s.addr, func() []bool { return []bool{false} }, items("a"))[0]; o.result != control.Moot {
		t.Errorf("outcome %v, want moot", o.result)
	}
	its := items("b", "c")
	outs := runCall(t, p, t.Context(), s.addr, func() []bool { panic("asked without a dial") }, its[:1])
	if r := s.next(t); outs[0].result != control.OK || r.Header.Get("X-Trace-Id") != "b" || s.dials.Load() != 1 {
		t.Errorf("the first request was %v, outcome %v", r.Header, outs[0].result)
	}
	outs = runCall(t, testPool(), t.Context(), s.addr, func() []bool { return []bool{false, true} }, its)
	if r := s.next(t); outs[0].result != control.Moot || outs[1].result != control.OK || r.Header.Get("X-Trace-Id") != "c" {
		t.Errorf("of two one was wanted: %v, sent %v", outs, r.Header)
	}
}

// held is an endpoint that keeps its calls until it is told; gone tells when a connection was ended by the caller.
func held(t *testing.T) (s *script, release chan string, gone chan struct{}) {
	release, gone = make(chan string), make(chan struct{}, 10)
	s = newScript(t, func(c net.Conn, _ *seen) string {
		end := make(chan struct{})
		go func() {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				close(end)
			}
		}()
		select {
		case a := <-release:
			return a
		case <-end:
			gone <- struct{}{}
			return ""
		case <-time.After(generous):
			return ""
		}
	})
	return s, release, gone
}

func awaitClosed(t *testing.T, gone chan struct{}) {
	t.Helper()
	select {
	case <-gone:
	case <-time.After(generous):
		t.Fatal("the connection stays open")
	}
}

func TestTimeOutAndCancelCloseTheConnection(t *testing.T) {
	s, _, gone := held(t)
	p := testPool()
	its := items("a")
	its[0].due = time.Now().Add(100 * time.Millisecond)
	if o := runCall(t, p, t.Context(), s.addr, nil, its)[0]; o.result != control.TimedOut {
		t.Errorf("outcome %v, want timed out", o.result)
	}
	awaitClosed(t, gone)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-s.seen
		<-s.seen
		cancel()
	}()
	if o := runCall(t, p, ctx, s.addr, nil, items("a"))[0]; o.result != control.Cancelled {
		t.Errorf("outcome %v, want cancelled", o.result)
	}
	awaitClosed(t, gone)
}

func TestOneOfABatchTimesOutAndTheOthersKeepTheirCall(t *testing.T) {
	s, release, _ := held(t)
	its := items("a", "b")
	its[0].due = time.Now().Add(100 * time.Millisecond)
	var order []int
	outs := map[int]outcome{}
	testPool().run(t.Context(), &call{addr: s.addr, items: its, hooks: callHooks{
		may: func() []bool { return []bool{true, true} },
		ends: func(l []outcome) {
			for _, o := range l {
				order, outs[o.index] = append(order, o.index), o
			}
			if len(order) == 1 {
				body := `[{"id":"a","state":"delivered"},{"id":"b","state":"delivered"}]`
				go func() { release <- fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) }()
			}
		},
	}})
	if !slices.Equal(order, []int{0, 1}) || outs[0].result != control.TimedOut || outs[1].result != control.OK {
		t.Errorf("order %v, outcomes %v", order, outs)
	}
}

// Guards against a request written to a connection that the endpoint has closed, which would end in doubt.
func TestAConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	p := testPool()
	for name, answer := range map[string]string{
		"said so":        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"just closed":    ok200,
		"talks unbidden": ok200 + ok200,
	} {
		s := newScript(t, func(c net.Conn, _ *seen) string {
			io.WriteString(c, answer)
			return ""
		})
		runCall(t, p, t.Context(), s.addr, nil, items("a"))
		waitFor(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.ready[s.addr]) == 0 })
		if o := runCall(t, p, t.Context(), s.addr, nil, items("b"))[0]; o.result != control.OK || s.dials.Load() != 2 {
			t.Errorf("%s: outcome %v over %d connections", name, o.result, s.dials.Load())
		}
	}
}

func TestIdleConnectionsAreGivenUpBeforeTheEndpointDoes(t *testing.T) {
	s, release, _ := held(t)
	p := testPool()
	p.idle = 100 * time.Millisecond
	go func() { release <- ok200 }()
	runCall(t, p, t.Context(), s.addr, nil, items("a"))
	waitFor(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.count == 0 && len(p.ready) == 0 })
	if d := newPool(&control.Settings{ConnIdle: 5 * control.Second}, nil, 1).idle; d >= 5*time.Second || d < 4*time.Second {
		t.Errorf("idle for %v where the endpoint closes after 5 s", d)
	}
}

// The module's Close, and silence on a connection beside them, end the idle ones; the pool holds only so many.
func TestIdleConnectionsEnd(t *testing.T) {
	s, release, _ := held(t)
	p := testPool()
	p.most, p.idle = 2, time.Hour
	done := make(chan bool)
	for range 3 {
		go func() { runCall(t, p, t.Context(), s.addr, nil, items("a")); done <- true }()
	}
	for range 3 {
		s.next(t)
	}
	for range 3 {
		release <- ok200
	}
	for range 3 {
		<-done
	}
	p.mu.Lock()
	n := p.count
	p.mu.Unlock()
	if n != 2 {
		t.Errorf("%d idle connections, want the two that fit", n)
	}
	its := items("b")
	its[0].due = time.Now().Add(100 * time.Millisecond)
	runCall(t, p, t.Context(), s.addr, nil, its)
	waitFor(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.count == 0 && len(p.ready) == 0 })
}

// A connection may end between its answer and its return to the pool.
func TestAConnectionThatEndedDoesNotBecomeIdle(t *testing.T) {
	s := newScript(t, func(c net.Conn, _ *seen) string { return "" })
	p := testPool()
	c, _, err := p.get(t.Context(), s.addr)
	must(t, err)
	must(t, c.Close())
	<-c.dead
	p.put(c)
	if p.count != 0 {
		t.Error("a dead connection is kept for the next call")
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(generous); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain")
		}
	}
}

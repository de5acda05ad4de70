package httptransport

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

// A call is sent in the form that the protocol states. Two calls one after the other use the same connection.
func TestRequestFormat(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	out := b.run(s.addr, b.items("a")...)[0]
	r := within(t, s.seen)
	if out.Result != control.OK || r.Method != "POST" || r.URL.Path != "/v1/messages" || r.body != "body a" || r.Host != s.addr ||
		r.Header.Get("X-Trace-Id") != "a" || r.Header.Get("Idempotency-Key") != "k-a" {
		t.Errorf("outcome %+v of request %s %s with header %v and body %q", out, r.Method, r.URL, r.Header, r.body)
	}
	var ms int
	if _, err := fmt.Sscan(r.Header.Get("X-Expires-In-Ms"), &ms); err != nil || ms > 3_600_000 || ms < 3_500_000 {
		t.Errorf("X-Expires-In-Ms is %s, want an hour or slightly less", r.Header.Get("X-Expires-In-Ms"))
	}
	bare := b.items("b")
	bare[0].Key, bare[0].Body = "", nil
	b.run(s.addr, bare...)
	if r = within(t, s.seen); r.body != "" || r.ContentLength != 0 || len(r.Header["Idempotency-Key"]) != 0 {
		t.Errorf("an empty message was sent with header %v and body %q", r.Header, r.body)
	}
	if n := s.dials.Load(); n != 1 {
		t.Errorf("%d connections for two calls one after the other, want 1", n)
	}
}

func TestResponseOutcomes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		answer string
		want   engine.Outcome
	}{
		{ok200, engine.Outcome{Result: control.OK}},
		{status("500 x"), engine.Outcome{Result: control.Errored}},
		{status("418 x"), engine.Outcome{Result: control.Errored}},
		{status("400 x"), engine.Outcome{Result: control.Errored}},
		{status("429 x", "Retry-After: 0.25"), engine.Outcome{Result: control.Refused, RetryAfter: 250 * time.Millisecond}},
		{status("503 x"), engine.Outcome{Result: control.Refused}},
		{status("503 x", "Retry-After: 2"), engine.Outcome{Result: control.Refused, RetryAfter: 2 * time.Second}},
		{status("503 x", "Slots-Taken: 1"), engine.Outcome{Result: control.Moot}},
		{status("504 x"), engine.Outcome{Result: control.Moot}},
		{status("410 x"), engine.Outcome{Result: control.Moot, Closed: true}},
		{status("503 x", "Endpoint-Load-Metrics: TEXT x0=0.5, x1=25"), engine.Outcome{Result: control.Refused, LoadReport: []float32{0.5, 25}}},
		{"", engine.Outcome{Result: control.Reset}},
		{"garbage\r\n\r\n", engine.Outcome{Result: control.Unreadable}},
		{"HTTP/1.1 200 OK\r\nContent-Le", engine.Outcome{Result: control.OK}},
	} {
		s := newTestEndpoint(t, func(conn net.Conn, _ *receivedRequest) string {
			if strings.HasSuffix(c.answer, "\n") || c.answer == ok200 {
				return c.answer
			}
			io.WriteString(conn, c.answer)
			return ""
		})
		b := newHarness(t)
		got := b.run(s.addr, b.items("a")...)[0]
		if got.Result != c.want.Result || got.RetryAfter != c.want.RetryAfter || got.Closed != c.want.Closed || got.CallOpen ||
			!slices.Equal(got.LoadReport, c.want.LoadReport) || (got.At != 0) != (got.Result == control.OK) {
			t.Errorf("response %q: outcome %+v, want %+v", c.answer, got, c.want)
		}
	}
}

func TestBatchStates(t *testing.T) {
	t.Parallel()
	body := `[{"id":"a","state":"delivered"},{"id":"b","state":"failed"},{"id":"c","state":"refused"},
		{"id":"d","state":"over"},{"id":"e","state":"spent"}]`
	for _, c := range []struct {
		name, answer string
		want         []control.Result
	}{
		{"each its own", "", []control.Result{control.OK, control.Errored, control.Refused, control.Moot, control.Moot, control.Unreadable}},
		{"invalid JSON", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{]", slices.Repeat([]control.Result{control.Unreadable}, 6)},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n[", slices.Repeat([]control.Result{control.Unreadable}, 6)},
		{"all refused", status("429 x", "Retry-After: 1.5"), slices.Repeat([]control.Result{control.Refused}, 6)},
		{"all failed", status("500 x"), slices.Repeat([]control.Result{control.Errored}, 6)},
		{"bad request", status("400 x"), slices.Repeat([]control.Result{control.Moot}, 6)},
		{"too large", status("413 x"), slices.Repeat([]control.Result{control.Moot}, 6)},
	} {
		answer := c.answer
		if answer == "" {
			answer = "HTTP/1.1 200 OK\r\nRetry-After: 1.5\r\nConnection: close\r\n\r\n" + body
		}
		s := newTestEndpoint(t, func(conn net.Conn, _ *receivedRequest) string {
			io.WriteString(conn, answer)
			return ""
		})
		b := newHarness(t)
		b.speed = 0 // so that the limit of 400 ms for a response does not pass on a busy machine
		items := b.items("a", "b", "c", "d", "e", "f")
		items[2].Key = `"odd\ kéy`
		outs := b.run(s.addr, items...)
		for i, want := range c.want {
			if outs[i].Result != want {
				t.Errorf("%s: item %d: outcome %v, want %v", c.name, i, outs[i].Result, want)
			}
		}
		if c.name == "each its own" && (!outs[3].Closed || outs[4].Closed || outs[0].RetryAfter != 1500*time.Millisecond) {
			t.Errorf("%s: Closed or RetryAfter is wrong in %+v", c.name, outs)
		}
		r := within(t, s.seen)
		var lines []struct {
			ID, Key string
			Body    []byte
		}
		if err := json.Unmarshal([]byte(r.body), &lines); err != nil || r.URL.Path != "/v1/messages:batch" || len(lines) != 6 ||
			lines[1].ID != "b" || lines[1].Key != "k-b" || string(lines[1].Body) != "body b" || lines[2].Key != items[2].Key {
			t.Errorf("%s: the batch was sent to %s with body %q", c.name, r.URL, r.body)
		}
	}
}

// Guards against a client library that sends a request again by itself, as http.Transport does for requests with an
// Idempotency-Key. The decision module would not know of the second copy.
func TestBrokenCallIsNotRepeated(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, func(_ net.Conn, r *receivedRequest) string {
		if r.Header.Get("X-Trace-Id") == "warm" {
			return ok200
		}
		return ""
	})
	b := newHarness(t)
	b.run(s.addr, b.items("warm")...)
	within(t, s.seen)
	if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.Reset {
		t.Errorf("outcome %v, want reset", o.Result)
	}
	within(t, s.seen)
	b.run(s.addr, b.items("warm")...) // any repeated request has been read before this one
	if r := within(t, s.seen); r.Header.Get("X-Trace-Id") != "warm" {
		t.Error("the call was sent twice")
	}
}

func TestRefusedConnectionIsConnectFailed(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	must(t, l.Close())
	b := newHarness(t)
	if o := b.run(l.Addr().String(), b.items("a")...)[0]; o.Result != control.ConnectFailed {
		t.Errorf("outcome %v, want connect failed", o.Result)
	}
}

// A dial that never completes ends at its timeout, at the message's deadline or by an abort.
func TestUnreachableEndpoint(t *testing.T) {
	t.Parallel()
	dialling := make(chan bool, 1)
	b := newHarness(t)
	b.dial = func(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
		dialling <- true
		return b.dialUnreachable(addr, limit, abort)
	}
	call := func(due time.Duration, end func(o *testCall)) control.Result {
		items := b.items("a")
		items[0].Deadline = b.in(due)
		o := b.start("cut.off:1", nil, items...)
		within(t, dialling)
		end(o)
		return o.wait()[0].Result
	}
	letTimePass := func(*testCall) { // repeatedly, because the dial sets its limit some time after it has begun
		go func() {
			for range 100 {
				b.advance(50 * time.Millisecond)
				time.Sleep(time.Millisecond)
			}
		}()
	}
	if r := call(time.Hour, letTimePass); r != control.ConnectFailed {
		t.Errorf("outcome %v after the dial timeout, want connect failed", r)
	}
	// A dial that was aborted, or ended by the message's deadline, says nothing about the endpoint, and the call never ran.
	if r := call(time.Hour, func(o *testCall) { b.Abort(o.ID) }); r != control.Moot {
		t.Errorf("outcome %v after an abort, want moot", r)
	}
	if r := call(900*time.Millisecond, letTimePass); r != control.Moot {
		t.Errorf("outcome %v after the message's deadline, want moot", r)
	}
	// A dial may return slightly before its limit.
	b.dial = func(string, time.Duration, *host.Abort) (net.Conn, error) {
		dialling <- true
		return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	}
	for due, want := range map[time.Duration]control.Result{900 * time.Millisecond: control.Moot, time.Hour: control.ConnectFailed} {
		b.rig.mu.Lock()
		b.speed = 0
		b.rig.mu.Unlock()
		if r := call(due, func(*testCall) {}); r != want {
			t.Errorf("outcome %v of a dial that returned early, message deadline in %v, want %v", r, due, want)
		}
	}
}

// A call that is aborted while it asks whether it may be written is not written. Its new connection is kept for the next
// call.
func TestAbortDuringMayWriteIsMoot(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	asked, answer := make(chan bool), make(chan bool)
	o := b.start(s.addr, func() []bool { asked <- true; <-answer; return []bool{true} }, b.items("a")...)
	within(t, asked)
	b.Abort(o.ID)
	answer <- true
	if u := o.wait()[0]; u.Result != control.Moot || b.idleCount() != 1 || len(s.seen) > 0 {
		t.Errorf("outcome %+v, %d idle connections, %d requests; want moot, 1 and 0", u, b.idleCount(), len(s.seen))
	}
}

// Guards against sending a message that is no longer wanted. During a long dial the message may end, its
// endpoint may start to drain, or the destination may ask to wait.
func TestMayWriteIsAskedAfterDial(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	for _, denied := range [][]bool{{false}, nil} {
		if o := b.start(s.addr, func() []bool { return denied }, b.items("a")...).wait()[0]; o.Result != control.Moot {
			t.Errorf("outcome %v, want moot", o.Result)
		}
		b.CloseIdle(&engine.CloseIdle{Endpoint: 1, Addr: s.addr})
	}
	b.start(s.addr, func() []bool { return []bool{false} }, b.items("a")...).wait()
	items := b.items("b", "c")
	outs := b.start(s.addr, func() []bool { panic("asked without a dial") }, items[:1]...).wait()
	if r := within(t, s.seen); outs[0].Result != control.OK || r.Header.Get("X-Trace-Id") != "b" || s.dials.Load() != 3 {
		t.Errorf("the first request has header %v, outcome %v", r.Header, outs[0].Result)
	}
	o := b.startTo(2, s.addr, func() []bool { return []bool{false, true} }, items...)
	outs = o.wait()
	if r := within(t, s.seen); outs[0].Result != control.Moot || outs[1].Result != control.OK || r.Header.Get("X-Trace-Id") != "c" {
		t.Errorf("one of two items may be written: outcomes %v, sent %v", outs, r.Header)
	}
	if len(o.lines) > 0 { // the event would mark the first item of the call as delivered
		t.Error("a first line is reported for a call with two items")
	}
}

func TestTimeoutAndAbortCloseConnection(t *testing.T) {
	t.Parallel()
	s, _, gone := newBlockingEndpoint(t)
	b := newHarness(t)
	o := b.start(s.addr, nil, b.items("a")...)
	within(t, s.seen)
	b.advance(time.Hour)
	if u := o.wait()[0]; u.Result != control.TimedOut || u.CallOpen {
		t.Errorf("outcome %+v, want timed out", u)
	}
	within(t, gone)
	o = b.start(s.addr, nil, b.items("a")...)
	within(t, s.seen)
	b.Abort(o.ID)
	if u := o.wait()[0]; u.Result != control.Cancelled {
		t.Errorf("outcome %v, want cancelled", u.Result)
	}
	within(t, gone)
	b.Abort(o.ID) // aborting a call that has ended has no effect
}

// An endpoint handles a batch as a whole and is given the deadline of the first message to expire. A response after that
// deadline counts for none of the messages. Guards against waiting longer and counting the others as delivered.
func TestEarliestDeadlineEndsBatch(t *testing.T) {
	t.Parallel()
	s, _, gone := newBlockingEndpoint(t)
	b := newHarness(t)
	items := b.items("a", "b", "c")
	items[1].Deadline = b.in(time.Minute)
	o := b.start(s.addr, nil, items...)
	r := within(t, s.seen)
	if ms, err := strconv.Atoi(r.Header.Get("X-Expires-In-Ms")); err != nil || ms > 60_000 {
		t.Errorf("X-Expires-In-Ms is %d (%v), but the first deadline is in a minute", ms, err)
	}
	b.advance(time.Minute)
	within(t, gone)
	for i, out := range o.wait() {
		if out.Result != control.TimedOut || out.CallOpen {
			t.Errorf("message %d: outcome %+v, want timed out", i, out)
		}
	}
}

// Guards against sending a request after the message's deadline, which would put it in doubt for no benefit.
func TestExpiredItemIsNotWritten(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	items := b.items("a", "b")
	items[0].Deadline = b.in(-time.Second)
	outs := b.run(s.addr, items...)
	if r := within(t, s.seen); outs[0].Result != control.Moot || outs[1].Result != control.OK || r.Header.Get("X-Trace-Id") != "b" {
		t.Errorf("outcomes %+v, sent %v", outs, r.Header)
	}
	if o := b.run(s.addr, items[0])[0]; o.Result != control.Moot || len(s.seen) > 0 {
		t.Errorf("over an idle connection: outcome %+v, want moot", o)
	}
}

// Aborting a write says nothing about the endpoint. An endpoint that does not read until the deadline counts as a failed
// connection.
func TestBlockedWriteOutcomes(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // never read from
	must(t, err)
	t.Cleanup(func() { l.Close() })
	b := newHarness(t)
	for want, end := range map[control.Result]func(o *testCall){
		control.Moot:          func(o *testCall) { b.Abort(o.ID) },
		control.ConnectFailed: func(o *testCall) { b.advance(time.Hour) },
	} {
		items := b.items("a")
		items[0].Body = make([]byte, 16<<20) // more than the sockets' buffers hold
		n := len(b.conns)
		o := b.start(l.Addr().String(), nil, items...)
		waitFor(t, func() bool {
			b.rig.mu.Lock()
			defer b.rig.mu.Unlock()
			return len(b.conns) > n && b.conns[n].writes.Load() > 0
		})
		end(o)
		if u := o.wait()[0]; u.Result != want {
			t.Errorf("outcome %v, want %v", u.Result, want)
		}
	}
}

// The protocol limits a body to 64 KiB, and endpoints do not read more. Items that do not fit are not sent.
func TestBatchSizeLimit(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(status("500 x")))
	b := newHarness(t)
	for _, c := range []struct {
		sizes []int // of the bodies before Base64, which adds a third
		path  string
		sent  []bool
	}{
		{[]int{20 << 10, 20 << 10, 20 << 10, 100}, "/v1/messages:batch", []bool{true, true, false, true}},
		{[]int{48 << 10, 48 << 10}, "/v1/messages", []bool{true, false}},
		{[]int{60 << 10, 100}, "/v1/messages", []bool{true, false}},
	} {
		items := b.items("a", "b", "c", "d")[:len(c.sizes)]
		for i, size := range c.sizes {
			items[i].Body = make([]byte, size)
		}
		outs := b.run(s.addr, items...)
		r := within(t, s.seen)
		if r.URL.Path != c.path || len(r.body) > 64<<10 {
			t.Errorf("request to %s with %d bytes", r.URL.Path, len(r.body))
		}
		for i, sent := range c.sent {
			if want := map[bool]control.Result{true: control.Errored, false: control.Moot}[sent]; outs[i].Result != want {
				t.Errorf("item %d of sizes %v: outcome %v, want %v", i, c.sizes, outs[i].Result, want)
			}
		}
	}
}

// An invalid response means that the attempt may have run. Nothing in it is trusted, except a status line with 200 to a
// call with one message: that message is delivered, whatever follows. In both cases the connection closes soon.
func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	endless := func(c net.Conn, head, piece string) {
		io.WriteString(c, head)
		for {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}
	wait := "Retry-After: 5\r\nSlots-Taken: 1\r\nEndpoint-Load-Metrics: TEXT x0=0.5, x1=3\r\n"
	for name, c := range map[string]struct {
		head, piece string // piece is sent repeatedly; if empty, the connection stays open and silent
		single      control.Result
	}{
		"noise":                 {"\x7f\x00\x01\x02", "", control.Unreadable},
		"endless noise":         {"H", "TTTTTTTTTTTTTTTTTTTTTTTTTTTTTTT", control.Unreadable},
		"half a status line":    {"HTTP/1.1 20", "", control.Unreadable},
		"no status code":        {"HTTP/1.1 OK\r\n\r\n", "", control.Unreadable},
		"head without end":      {"HTTP/1.1 503 x\r\n" + wait, "X-A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n", control.Unreadable},
		"incomplete head":       {"HTTP/1.1 429 x\r\n" + wait, "", control.Unreadable},
		"negative length":       {"HTTP/1.1 429 x\r\n" + wait + "Content-Length: -3\r\n\r\n", "", control.Unreadable},
		"short body":            {"HTTP/1.1 503 x\r\n" + wait + "Content-Length: 30\r\n\r\nabc", "", control.Unreadable},
		"3 GB body":             {"HTTP/1.1 503 x\r\n" + wait + "Content-Length: 3000000000\r\n\r\n", strings.Repeat("x", 1000), control.Unreadable},
		"endless 1xx":           {"", "HTTP/1.1 102 x\r\n\r\n", control.Unreadable},
		"200, noise":            {"HTTP/1.1 200 OK\r\n\x00\x01 : \r\n\r\n", "", control.OK},
		"200, head without end": {"HTTP/1.1 200 OK\r\n" + wait, "X-A: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n", control.OK},
		"200, short body":       {"HTTP/1.1 200 OK\r\n" + wait + "Content-Length: 30\r\n\r\nabc", "", control.OK},
		"200, 3 GB body":        {"HTTP/1.1 200 OK\r\n" + wait + "Content-Length: 3000000000\r\n\r\n", strings.Repeat("x", 1000), control.OK},
		"200, endless chunks":   {"HTTP/1.1 200 OK\r\n" + wait + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", control.OK},
		"1xx, 200, no head end": {"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\n" + wait, "", control.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gone := make(chan bool, 2)
			s := newTestEndpoint(t, func(conn net.Conn, _ *receivedRequest) string {
				if io.WriteString(conn, c.head); c.piece != "" {
					endless(conn, "", c.piece)
				} else {
					conn.Read(make([]byte, 1)) // blocks until the caller closes the connection
				}
				gone <- true
				return ""
			})
			b := newHarness(t)
			b.speed = 20
			if o := b.run(s.addr, b.items("a")...)[0]; o.Result != c.single || o.RetryAfter != 0 || o.LoadReport != nil || o.Closed {
				t.Errorf("call with one message: outcome %+v, want %v and no other field set", o, c.single)
			}
			for _, o := range b.run(s.addr, b.items("b", "c")...) {
				if o.Result != control.Unreadable || o.RetryAfter != 0 || o.LoadReport != nil || o.At != 0 {
					t.Errorf("batch: outcome %+v, want %v and no other field set", o, control.Unreadable)
				}
			}
			within(t, gone)
			within(t, gone)
			if b.idleCount() > 0 {
				t.Error("a connection is kept after an invalid response")
			}
		})
	}
}

// A status line must be reported at once, so that the delivery can be stored before the rest of the response arrives.
func TestFirstLineIsReportedAtOnce(t *testing.T) {
	t.Parallel()
	reported := make(chan bool)
	s := newTestEndpoint(t, func(c net.Conn, _ *receivedRequest) string {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		<-reported
		return "Retry-After: 1.5\r\nContent-Length: 0\r\n\r\n"
	})
	b := newHarness(t)
	o := b.start(s.addr, nil, b.items("a")...)
	if !within(t, o.lines) {
		t.Error("the first line was reported for another call")
	}
	reported <- true
	if u := o.wait()[0]; u.Result != control.OK || u.At == 0 || u.RetryAfter != 1500*time.Millisecond || b.idleCount() != 1 {
		t.Errorf("outcome %+v, %d idle connections", u, b.idleCount())
	}
}

// A delivered message stays delivered if its deadline passes or its call is aborted before the response is complete.
func TestDeliveredMessageStaysDelivered(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, func(c net.Conn, _ *receivedRequest) string {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		c.Read(make([]byte, 1))
		return ""
	})
	b := newHarness(t)
	for name, end := range map[string]func(o *testCall){
		"deadline": func(*testCall) { b.advance(time.Hour) }, "abort": func(o *testCall) { b.Abort(o.ID) },
	} {
		o := b.start(s.addr, nil, b.items("a")...)
		within(t, o.lines)
		end(o)
		if u := o.wait()[0]; u.Result != control.OK || u.At == 0 {
			t.Errorf("%s: outcome %+v, want OK", name, u)
		}
	}
}

// The response to a delivered message is read on past the deadline, because a Retry-After in the rest of it counts, too.
func TestDeliveredResponseIsReadPastDeadline(t *testing.T) {
	t.Parallel()
	first, rest := make(chan bool), make(chan bool)
	s := newTestEndpoint(t, func(c net.Conn, _ *receivedRequest) string {
		<-first
		io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		<-rest
		return "Retry-After: 1.5\r\nContent-Length: 0\r\n\r\n"
	})
	b := newHarness(t)
	b.speed = 0
	o := b.start(s.addr, nil, b.items("a")...)
	within(t, s.seen)
	b.advance(time.Hour - 100*time.Millisecond)
	first <- true
	within(t, o.lines)
	b.advance(200 * time.Millisecond)
	time.Sleep(5 * time.Millisecond) // gives a faulty call time to stop waiting
	rest <- true
	if u := o.wait()[0]; u.Result != control.OK || u.RetryAfter != 1500*time.Millisecond || b.idleCount() != 1 {
		t.Errorf("outcome %+v, %d idle connections", u, b.idleCount())
	}
}

// Valid responses may follow 1xx responses and may carry load reports that can't be parsed.
func TestInterimResponsesAndLoadReports(t *testing.T) {
	t.Parallel()
	early := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 3)
	s := newTestEndpoint(t, always(early+status("429 x", "Retry-After: 0.25", "Endpoint-Load-Metrics: TEXT x0=NaN, x1=7")))
	b := newHarness(t)
	for range 2 {
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.Refused || o.RetryAfter != 250*time.Millisecond || o.LoadReport != nil {
			t.Errorf("outcome %+v, want refused with a Retry-After of 250 ms and no load report", o)
		}
	}
	if s.dials.Load() != 1 {
		t.Error("the connection was not kept")
	}
	for text, want := range map[string][]float32{
		"TEXT x0=0.5, x1=25": {0.5, 25}, "TEXT x1=3": {0, 3}, "TEXT x0=0.5, y=1": {0.5, 0},
		"TEXT x0=Inf": nil, "TEXT x0=-1": nil, "TEXT x0": nil, "TEXT x0=1e99": nil, "x0=1": nil, "TEXT": nil, "TEXT x0=0.5,,": nil,
	} {
		if got := loadReport(text, []string{"x0", "x1"}); !slices.Equal(got, want) {
			t.Errorf("load report %q: got %v, want %v", text, got, want)
		}
	}
	for text, want := range map[string]time.Duration{"NaN": 0, "Inf": 0, "-1": 0, "1e30": 0, "0.5": time.Second / 2, "x": 0, "": 0} {
		if got := retryAfter(text); got != want {
			t.Errorf("Retry-After %s: got %v", text, got)
		}
	}
}

// recordedEvents records the events of a call.
type recordedEvents struct {
	lines int
	outs  []engine.Outcome
}

func (*recordedEvents) MayWrite(engine.CallID) []bool { return nil }
func (e *recordedEvents) FirstLine(engine.CallID)     { e.lines++ }
func (e *recordedEvents) Ended(_ engine.CallID, outs []engine.Outcome) {
	e.outs = append(e.outs, outs...)
}

// FuzzAnswer checks that, whatever an endpoint writes, a call ends with one outcome for each item and no forbidden events.
func FuzzAnswer(f *testing.F) {
	for _, a := range []string{ok200, status("429 x", "Retry-After: 1"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 100 x\r\n\r\n" + ok200, ok200 + ok200, "noise", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx",
		"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n" + `[{"id":"a","state":"delivered"},{"id":"b","state":"refused"}]`} {
		f.Add([]byte(a), false)
		f.Add([]byte(a), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, batch bool) {
		here, there := net.Pipe()
		defer here.Close()
		go func() {
			there.Write(text)
			there.Close()
		}()
		tr := New(host.System{}, engine.Clock{Start: time.Now()}, Settings{MaxIdle: 1})
		defer tr.Close(testTimeout)
		due := engine.Epoch + 60*control.Second
		spec := &engine.Call{Items: []engine.Item{{ID: "a", Deadline: due}, {ID: "b", Deadline: due}}}
		if !batch {
			spec.Items = spec.Items[:1]
		}
		e := &recordedEvents{}
		k := newCall(tr, spec, e)
		k.peer, k.batch = &peer{}, batch
		k.awaitResponse(&conn{Conn: http1.NewConn(tr.host, here), peer: k.peer})
		if len(e.outs) != len(spec.Items) || e.lines > 1 || e.lines > 0 && batch {
			t.Fatalf("first line reported %d times, outcomes %+v", e.lines, e.outs)
		}
		for i, o := range e.outs {
			switch {
			case o.Item != i || o.CallOpen || o.RetryAfter < 0:
				t.Errorf("outcomes %+v", e.outs)
			case !batch && (o.Result == control.OK) != (e.lines > 0):
				t.Error("the first line was reported without the outcome OK, or the other way round")
			case (o.Result == control.Reset || o.Result == control.Unreadable && k.pendingCount > 0) && (o.RetryAfter != 0 || o.Closed):
				t.Errorf("an invalid response was trusted: outcome %+v", o)
			case o.Result == control.TimedOut || o.Result == control.Cancelled || o.Result == control.ConnectFailed:
				t.Errorf("outcome %v, but the endpoint responded or reset the connection", o.Result)
			}
		}
	})
}

// FuzzStates checks that an item of a batch counts as delivered only if the response says so for its id.
func FuzzStates(f *testing.F) {
	for _, b := range []string{`[{"id":"a","state":"delivered"},{"id":"b","state":"over"}]`, `[{"ID":"a","State":"spent"}]`, `[]`, `null`, `{`, ""} {
		f.Add([]byte(b))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		e := &recordedEvents{}
		tr := New(host.System{}, engine.Clock{}, Settings{})
		k := newCall(tr, &engine.Call{Items: []engine.Item{{ID: "a"}, {ID: "b"}, {ID: "c"}}}, e)
		k.batch = true
		k.handleBatchStates(body, engine.Outcome{})
		if len(e.outs) != 3 || !json.Valid(body) && slices.ContainsFunc(e.outs, func(o engine.Outcome) bool { return o.Result != control.Unreadable }) {
			t.Fatalf("body %q: outcomes %+v", body, e.outs)
		}
		for i, o := range e.outs {
			if id := fmt.Sprintf("%q", k.Items[i].ID); o.Item != i || o.Result == control.OK &&
				(!strings.Contains(string(body), id) && !strings.Contains(string(body), `\u`) || !strings.Contains(string(body), "d")) {
				t.Errorf("body %q: outcome %+v", body, o)
			}
			if o.Closed && o.Result != control.Moot {
				t.Errorf("body %q: outcome %+v", body, o)
			}
		}
	})
}

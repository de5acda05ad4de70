package httptransport

import (
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// Guards against writing a request to a connection that the endpoint has closed, which would put it in doubt.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	t.Parallel()
	b := newHarness(t)
	for name, answer := range map[string]string{
		"Connection: close":     "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"closed without notice": ok200,
		"surplus response":      ok200 + ok200,
	} {
		s := newTestEndpoint(t, func(c net.Conn, _ *receivedRequest) string {
			io.WriteString(c, answer)
			return ""
		})
		b.run(s.addr, b.items("a")...)
		idle := b.idleAt(1, s.addr)
		waitFor(t, func() bool { return !slices.ContainsFunc(idle, func(c *conn) bool { return c.IsIdle() }) })
		if o := b.run(s.addr, b.items("b")...)[0]; o.Result != control.OK || s.dials.Load() != 2 {
			t.Errorf("%s: outcome %v, %d connections dialled", name, o.Result, s.dials.Load())
		}
	}
}

// An idle connection is closed before the endpoint would close it.
func TestIdleConnectionsCloseBeforeEndpointTimeout(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	b.run(s.addr, b.items("a")...)
	b.advance(3 * time.Second)
	for range 2 { // the second request on the first connection, and the first on another
		b.run(s.addr, b.items("a")...)
	}
	b.advance(3 * time.Second)
	if n := b.idleCount(); n != 1 {
		t.Errorf("%d idle connections after 3 s of 5 s, want 1", n)
	}
	b.advance(1800 * time.Millisecond) // 4.8 s in all
	waitFor(t, func() bool { return b.idleCount() == 0 })
	if d := b.maxIdleTime; d >= 5*time.Second || d < 4*time.Second {
		t.Errorf("maximum idle time is %v, want at least 4 s and less than the endpoint's 5 s", d)
	}
	waitFor(t, func() bool {
		b.Transport.mu.Lock()
		defer b.Transport.mu.Unlock()
		return len(b.peers) == 0 && len(b.Transport.calls) == 0
	})
}

// CloseIdle, and a call without a response to the same endpoint, close idle connections. The pool holds a limited
// number.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	release := make(chan string)
	s := newTestEndpoint(t, func(c net.Conn, r *receivedRequest) string {
		if r.Header.Get("X-Trace-Id") == "silent" {
			c.Read(make([]byte, 1))
			return ""
		}
		return <-release
	})
	b := newHarnessWith(t, Settings{MaxIdle: 2})
	threeCalls := func() {
		var outs []*testCall
		for range 3 {
			outs = append(outs, b.start(s.addr, nil, b.items("a")...))
		}
		for range 3 {
			within(t, s.seen)
		}
		for range 3 {
			release <- ok200
		}
		for _, o := range outs {
			o.wait()
		}
	}
	threeCalls()
	if n := b.idleCount(); n != 2 {
		t.Errorf("%d idle connections, want 2, the maximum", n)
	}
	for name, end := range map[string]func(o *testCall){
		"deadline": func(*testCall) { b.advance(time.Hour) }, "abort": func(o *testCall) { b.Abort(o.ID) },
	} {
		o := b.start(s.addr, nil, b.items("silent")...)
		within(t, s.seen)
		end(o)
		o.wait()
		if n := b.idleCount(); n != 0 {
			t.Errorf("%s: %d idle connections after a call without a response, want 0", name, n)
		}
		threeCalls()
	}
	b.CloseIdle(&engine.CloseIdle{Endpoint: 2, Addr: s.addr})
	if n := b.idleCount(); n != 2 {
		t.Errorf("%d idle connections after those of another endpoint were closed, want 2", n)
	}
	b.distrust(b.idleAt(1, s.addr)[0].peer) // its connections may not be used yet, but they close
	b.CloseIdle(&engine.CloseIdle{Endpoint: 1, Addr: s.addr})
	if n := b.idleCount(); n != 0 {
		t.Errorf("%d idle connections after CloseIdle, want 0", n)
	}
}

// A full pool closes the connection that was idle for longest: its endpoint would close that one next anyway, while the
// newest is in use.
func TestFullPoolClosesLongestIdleConnection(t *testing.T) {
	t.Parallel()
	b := newHarnessWith(t, Settings{MaxIdle: 2})
	var all []*testEndpoint
	for range 3 {
		s := newTestEndpoint(t, always(ok200))
		all = append(all, s)
		b.run(s.addr, b.items("a")...)
	}
	for i, want := range []int{0, 1, 1} {
		if n := len(b.idleAt(1, all[i].addr)); n != want {
			t.Errorf("endpoint %d has %d idle connections, want %d", i, n, want)
		}
	}
	for range 2 { // the connection of 1 is replaced, so that of 2 is now the one idle for longest
		b.run(all[1].addr, b.items("a")...)
	}
	b.run(all[0].addr, b.items("a")...)
	if len(b.idleAt(1, all[1].addr)) != 1 || len(b.idleAt(1, all[2].addr)) != 0 || b.idleCount() != 2 {
		t.Error("the connection that was closed was not the one idle for longest")
	}
	none := newHarnessWith(t, Settings{})
	none.run(all[0].addr, none.items("a")...)
	if none.idleCount() != 0 {
		t.Error("an idle connection is kept although MaxIdle is 0")
	}
}

// Guards against taking surplus data after a response for the next response. The data may arrive before the next
// call or just before its first byte.
func TestSurplusDataIsNotNextResponse(t *testing.T) {
	t.Parallel()
	for name, extra := range map[string]string{"another response": status("500 x"), "noise": "\x00\x01noise", "half a line": "HTTP/1.1 5"} {
		b := newHarness(t)
		more, sent := make(chan bool), make(chan bool)
		serve := func(c net.Conn, r *receivedRequest) string {
			switch r.Header.Get("X-Trace-Id") {
			case "at once":
				return ok200 + extra
			case "later":
				go func() {
					<-more
					io.WriteString(c, extra)
					sent <- true
				}()
			}
			return ok200
		}
		s := newTestEndpoint(t, serve)
		b.run(s.addr, b.items("at once")...)
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.OK || s.dials.Load() != 2 {
			t.Errorf("%s: outcome %v, %d connections dialled", name, o.Result, s.dials.Load())
		}
		// For a while a connection must stay idle between two calls. Then it is used again.
		begun := time.Now()
		o := b.run(s.addr, b.items("a")...)[0]
		if o.Result != control.OK || s.dials.Load() != 3 && time.Since(begun) < distrustedSettleTime/2 {
			t.Errorf("%s, call without a pause: outcome %v, %d connections dialled", name, o.Result, s.dials.Load())
		}
		dials := s.dials.Load()
		b.Transport.mu.Lock()
		for _, c := range b.peers[endpointAddress{1, s.addr}].idle {
			c.idleSince = c.idleSince.Add(-distrustedSettleTime)
		}
		b.Transport.mu.Unlock()
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.OK || s.dials.Load() != dials {
			t.Errorf("%s, call after a pause: outcome %v, %d connections dialled", name, o.Result, s.dials.Load())
		}
		s = newTestEndpoint(t, serve)
		b.run(s.addr, b.items("later")...)
		idle := b.idleAt(1, s.addr)
		if len(idle) != 1 || !idle[0].IsIdle() {
			t.Fatalf("%s: %d connections, want one that is idle", name, len(idle))
		}
		more <- true
		<-sent
		waitFor(t, func() bool { return !idle[0].IsIdle() })
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.OK || s.dials.Load() != 2 {
			t.Errorf("%s, data before the next call: outcome %v, %d connections dialled", name, o.Result, s.dials.Load())
		}
	}
}

// A connection carries two requests, and the second one asks the endpoint to close it.
func TestSecondRequestOnAConnectionIsItsLast(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	for n, want := range []struct {
		closes bool
		dials  int32
	}{{false, 1}, {true, 1}, {false, 2}, {true, 2}} {
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != control.OK {
			t.Errorf("request %d: outcome %v", n, o.Result)
		}
		if got := within(t, s.seen); got.Close != want.closes || s.dials.Load() != want.dials {
			t.Errorf("request %d: asks to close: %t, on connection %d; want %t, %d", n, got.Close, s.dials.Load(), want.closes, want.dials)
		}
	}
}

// An endpoint that closes a connection without the close option leaves its last response in doubt. For a while its
// connections carry one request only, also those that are idle then.
func TestUnconfirmedCloseIsInDoubt(t *testing.T) {
	t.Parallel()
	release := make(chan bool)
	s := newTestEndpoint(t, func(c net.Conn, r *receivedRequest) string {
		if r.Header.Get("X-Trace-Id") == "held" {
			<-release
		}
		if !r.Close {
			return ok200
		}
		io.WriteString(c, ok200)
		return ""
	})
	b := newHarness(t)
	held := b.start(s.addr, nil, b.items("held")...)
	within(t, s.seen)
	b.run(s.addr, b.items("a")...)
	release <- true
	held.wait()
	if n := b.idleCount(); n != 2 {
		t.Fatalf("%d idle connections, want 2", n)
	}
	for n, want := range []control.Result{control.Reset, control.OK, control.OK} {
		if o := b.run(s.addr, b.items("a")...)[0]; o.Result != want {
			t.Errorf("request %d: outcome %v, want %v", n, o.Result, want)
		}
		b.advance(distrustedSettleTime)
	}
	if n := s.dials.Load(); n != 4 {
		t.Errorf("%d connections, want 2 before the doubt and 2 after it", n)
	}
	b.advance(singleUseTime)
	for range 2 {
		b.run(s.addr, b.items("a")...)
	}
	if n := s.dials.Load(); n != 5 {
		t.Errorf("%d connections after the restriction, want 5", n)
	}
	if got := b.Counters(); got.Dials != 5 || got.Reused != 2 || got.Surplus != 2 {
		t.Errorf("counters %+v", got)
	}
}

// A removed endpoint keeps no connection, and another endpoint at its address gets its own.
func TestConnectionsBelongToTheirEndpoint(t *testing.T) {
	t.Parallel()
	s, release, _ := newBlockingEndpoint(t)
	b := newHarness(t)
	call := func(ep control.Endpoint) *testCall {
		o := b.startTo(ep, s.addr, nil, b.items("a")...)
		within(t, s.seen)
		return o
	}
	first := call(1)
	release <- ok200
	first.wait()
	newcomer := call(2)
	if s.dials.Load() != 2 {
		t.Error("the new endpoint was called over the connection of the other")
	}
	release <- ok200
	newcomer.wait()
	late := call(3)
	b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: s.addr})
	b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 3, Addr: s.addr})
	release <- ok200 // the call in progress continues, and its connection closes after it
	if o := late.wait()[0]; o.Result != control.OK {
		t.Errorf("outcome %v of a call that was out when its endpoint was removed", o.Result)
	}
	if one, two := b.idleAt(1, s.addr), b.idleAt(2, s.addr); len(one) != 0 || len(two) != 1 || b.idleCount() != 1 {
		t.Errorf("%d and %d idle connections, %d counted; want 0, 1 and 1", len(one), len(two), b.idleCount())
	}
}

// The connection used last is taken first, unless it became idle only a moment ago and may be about to close.
func TestChoiceOfIdleConnection(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarnessWith(t, Settings{MaxIdle: 8})
	p := &peer{endpointAddress: endpointAddress{1, s.addr}}
	var list []*conn
	for _, age := range []time.Duration{3 * time.Hour, 2 * time.Hour, 0, 0} {
		nc, err := b.Dial(s.addr, time.Second, &host.Abort{})
		must(t, err)
		c := newConn(b, nc, p)
		b.putIdle(c)
		c.idleSince = b.Now().Add(time.Hour - age) // the last two are never settled while the test runs
		list = append(list, c)
	}
	for i, want := range []int{1, 0, 2, 3} {
		c := b.takeIdle(p)
		if c != list[want] {
			t.Fatalf("choice %d is not connection %d", i, want)
		}
		c.Close()
	}
}

// A dial that completes after its endpoint was removed may reach another endpoint that now has the address.
func TestLateDialToRemovedEndpointIsNotWritten(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	for _, when := range []string{"dialling", "asking"} {
		b := newHarness(t)
		dialling, up, asking, answer := make(chan bool, 1), make(chan bool), make(chan bool, 1), make(chan bool)
		b.dial = func(addr string, limit time.Duration, _ *host.Abort) (net.Conn, error) { // ignores the abort, as if it came too late
			dialling <- true
			<-up
			return b.System.Dial(addr, limit, &host.Abort{})
		}
		o := b.start(s.addr, func() []bool {
			asking <- true
			<-answer
			return []bool{true}
		}, b.items("a")...)
		within(t, dialling)
		if when == "dialling" {
			b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: s.addr})
		}
		up <- true
		within(t, asking)
		if when == "asking" {
			b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: s.addr})
		}
		answer <- true
		if u := o.wait()[0]; u.Result != control.Moot || len(s.seen) > 0 || b.idleCount() > 0 {
			t.Errorf("removed while %s: outcome %v, %d requests, %d idle connections", when, u.Result, len(s.seen), b.idleCount())
		}
	}
}

func TestRemoveEndpointEndsDiallingCalls(t *testing.T) {
	t.Parallel()
	b := newHarness(t)
	dialling := make(chan bool, 2)
	b.dial = func(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
		dialling <- true
		return b.dialUnreachable(addr, 0, abort)
	}
	leaves, stays := b.startTo(1, "cut.off:1", nil, b.items("a")...), b.startTo(2, "cut.off:1", nil, b.items("b")...)
	within(t, dialling)
	within(t, dialling)
	b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: "cut.off:2"})
	b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: "cut.off:1"})
	if o := leaves.wait()[0]; o.Result != control.Moot {
		t.Errorf("outcome %v at the removed endpoint, want moot", o.Result)
	}
	b.Abort(stays.ID)
	if o := stays.wait()[0]; o.Result != control.Moot || len(stays.ends) != 1 {
		t.Errorf("outcome %v at the other endpoint, want moot from the abort, reported once", o.Result)
	}
}

func TestCloseEndsCallsAndConnections(t *testing.T) {
	t.Parallel()
	s, release, gone := newBlockingEndpoint(t)
	b := newHarness(t)
	before := b.startTo(1, s.addr, nil, b.items("a")...)
	within(t, s.seen)
	release <- ok200
	before.wait()
	idle := b.idleAt(1, s.addr)
	out := b.startTo(2, s.addr, nil, b.items("b")...)
	within(t, s.seen)
	must(t, b.Close(testTimeout))
	if o := out.order; len(o) != 1 || o[0].Result != control.Cancelled { // no waiting: Close returns after all outcomes were reported
		t.Errorf("outcomes %+v of a call that was out, want one, cancelled", o)
	}
	within(t, gone)
	if len(idle) != 1 || idle[0].IsIdle() || b.idleCount() != 0 {
		t.Error("want one idle connection before Close, and none after")
	}
	if o := b.run(s.addr, b.items("c")...)[0]; o.Result != control.Moot || len(s.seen) > 0 {
		t.Errorf("outcome %v of a call after Close, want moot", o.Result)
	}
	must(t, b.Close(testTimeout))
}

func TestCloseReportsCallsThatDoNotEnd(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, always(ok200))
	b := newHarness(t)
	asked, answer := make(chan bool), make(chan bool)
	o := b.start(s.addr, func() []bool { asked <- true; <-answer; return nil }, b.items("a")...)
	within(t, asked)
	if err := b.Close(time.Millisecond); err == nil || !strings.Contains(err.Error(), "1 calls") {
		t.Errorf("error %v, want one that says 1 calls", err)
	}
	answer <- true
	o.wait()
	if n := b.idleCount(); n != 0 {
		t.Errorf("%d connections became idle after Close", n)
	}
}

// delivered returns the response to a batch that delivers these messages.
func delivered(ids ...string) string {
	body := `[{"id":"` + strings.Join(ids, `","state":"delivered"},{"id":"`) + `","state":"delivered"}]`
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Batches share a connection until a response is not a 200 that delivers all. A copy of an earlier response does not name
// the messages of the batch, and is skipped.
func TestBatchesShareAConnection(t *testing.T) {
	t.Parallel()
	s := newTestEndpoint(t, func(c net.Conn, r *receivedRequest) string {
		switch {
		case strings.Contains(r.body, `"late"`):
			return delivered("early") + delivered("late")
		case strings.Contains(r.body, `"refused"`):
			return delivered("early") + status("503 x")
		case strings.Contains(r.body, `"partly"`):
			return strings.Replace(delivered("partly"), "delivered", "refused..", 1)
		}
		return delivered("early")
	})
	b := newHarnessWith(t, Settings{MaxIdle: 8, BatchKinds: []bool{true}})
	for _, c := range []struct {
		id     string
		want   control.Result
		dials  int32
		closes bool
	}{
		{"early", control.OK, 1, false}, {"late", control.OK, 1, false}, {"early", control.OK, 1, false},
		{"refused", control.Refused, 1, false}, {"early", control.OK, 1, true},
		{"partly", control.Unreadable, 2, false}, {"early", control.OK, 2, true},
	} {
		o := b.run(s.addr, b.items(c.id)...)[0]
		r := within(t, s.seen)
		if o.Result != c.want || s.dials.Load() != c.dials || r.Close != c.closes || r.URL.Path != "/v1/messages:batch" {
			t.Errorf("%s: outcome %v on connection %d, %s asks to close: %t; want %v, %d, %t",
				c.id, o.Result, s.dials.Load(), r.URL.Path, r.Close, c.want, c.dials, c.closes)
		}
		b.advance(distrustedSettleTime)
	}
}

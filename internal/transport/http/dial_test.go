package httptransport

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// dialCounter counts the dials that begin.
type dialCounter struct {
	mu sync.Mutex
	n  int
}

func (d *dialCounter) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.n
}

// countDials makes the host of a harness count its dials.
func countDials(b *harness) *dialCounter {
	d := &dialCounter{}
	b.dial = func(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
		d.mu.Lock()
		d.n++
		d.mu.Unlock()
		return b.rig.System.Dial(addr, limit, abort)
	}
	return d
}

// After a restart every call needs a connection. Guards against dialling them all at once: only DialBurst dials begin
// immediately.
func TestDialsArePaced(t *testing.T) {
	t.Parallel()
	const burst, all = 4, 8 // a connection carries two requests
	release := make(chan string)
	s := newTestEndpoint(t, func(net.Conn, *receivedRequest) string { return <-release })
	b := newHarnessWith(t, Settings{MaxIdle: 64, DialBurst: burst, DialInterval: time.Hour})
	d := countDials(b)
	var outs []*testCall
	for i := range all {
		items := b.items(fmt.Sprint(i))
		items[0].Deadline = b.in(100 * time.Hour)
		outs = append(outs, b.start(s.addr, nil, items...))
	}
	for range burst {
		within(t, s.seen)
	}
	waitFor(t, func() bool { // the others wait for their turn
		b.Transport.mu.Lock()
		defer b.Transport.mu.Unlock()
		return len(b.peers[endpointAddress{1, s.addr}].waitingToDial) == all-burst
	})
	if n := d.count(); n != burst {
		t.Errorf("%d dials began at once, want %d", n, burst)
	}
	// Waiting calls use connections that become idle before their turn to dial.
	for range all {
		release <- ok200
	}
	for _, o := range outs {
		if got := o.wait(); got[0].Result != control.OK {
			t.Errorf("call %d: outcome %v, want OK", o.ID, got[0].Result)
		}
	}
	if n := d.count(); n != burst {
		t.Errorf("%d dials for %d calls, want %d", n, all, burst)
	}
}

// Much may change while a call waits for its turn to dial. It must ask whether it may still be written, also if it then
// uses a connection that became idle.
func TestMayWriteIsAskedAfterDialWait(t *testing.T) {
	t.Parallel()
	release := make(chan string)
	s := newTestEndpoint(t, func(net.Conn, *receivedRequest) string { return <-release })
	b := newHarnessWith(t, Settings{MaxIdle: 8, DialBurst: 1, DialInterval: time.Hour})
	first := b.start(s.addr, nil, b.items("first")...)
	within(t, s.seen)
	second := b.start(s.addr, func() []bool { return []bool{false} }, b.items("second")...)
	waitFor(t, func() bool {
		b.Transport.mu.Lock()
		defer b.Transport.mu.Unlock()
		return len(b.peers[endpointAddress{1, s.addr}].waitingToDial) == 1
	})
	release <- ok200
	first.wait()
	if got := second.wait(); got[0].Result != control.Moot || len(s.seen) != 0 {
		t.Errorf("outcome %v of a call that may not be written, and the endpoint received %d requests", got[0].Result, len(s.seen))
	}
}

// A call that waits for its turn to dial ends like one that dials: when it is aborted, when its endpoint is removed, and
// when its deadline passes.
func TestCallWaitingToDialEnds(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(b *harness, o *testCall){
		"abort": func(b *harness, o *testCall) { b.Abort(o.ID) },
		"leave": func(b *harness, o *testCall) { b.RemoveEndpoint(&engine.RemoveEndpoint{Endpoint: 1, Addr: o.Addr}) },
		"time":  func(b *harness, _ *testCall) {},
	} {
		s := newTestEndpoint(t, always(ok200))
		b := newHarnessWith(t, Settings{DialBurst: 1, DialInterval: time.Hour})
		d := countDials(b)
		b.run(s.addr, b.items("first")...) // its connection is not kept
		items := b.items("second")
		if name == "time" {
			items[0].Deadline = b.in(20 * time.Millisecond)
		}
		o := b.start(s.addr, nil, items...)
		if name != "time" {
			waitFor(t, func() bool {
				b.Transport.mu.Lock()
				defer b.Transport.mu.Unlock()
				p := b.peers[endpointAddress{1, s.addr}]
				return p != nil && len(p.waitingToDial) == 1
			})
		}
		end(b, o)
		if got := o.wait(); got[0].Result != control.Moot || d.count() != 1 {
			t.Errorf("%s: outcome %v after %d dials, want moot after 1", name, got[0].Result, d.count())
		}
	}
}

// A burst of calls to one endpoint must not displace the idle connections of the others.
func TestEndpointKeepsAtMostHalfOfThePool(t *testing.T) {
	t.Parallel()
	const maxIdle = 24
	release := make(chan string)
	s := newTestEndpoint(t, func(net.Conn, *receivedRequest) string { return <-release })
	other := newTestEndpoint(t, func(net.Conn, *receivedRequest) string { return <-release })
	b := newHarnessWith(t, Settings{MaxIdle: maxIdle})
	burst := func(s *testEndpoint, n int) {
		var outs []*testCall
		for i := range n {
			outs = append(outs, b.start(s.addr, nil, b.items(fmt.Sprint(i))...))
		}
		for range n {
			within(t, s.seen)
		}
		for range n {
			release <- ok200
		}
		for _, o := range outs {
			o.wait()
		}
	}
	burst(other, 6)
	burst(s, maxIdle)
	b.Transport.mu.Lock()
	defer b.Transport.mu.Unlock()
	if n := len(b.peers[endpointAddress{1, s.addr}].idle); n != maxIdle/2 {
		t.Errorf("one endpoint has %d idle connections, want %d", n, maxIdle/2)
	}
	if n := len(b.peers[endpointAddress{1, other.addr}].idle); n != 6 {
		t.Errorf("the other endpoint has %d idle connections, want 6", n)
	}
}

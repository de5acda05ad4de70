// Package httptransport makes the engine's calls over HTTP/1.1, as the section "Dispatchers to endpoints" of the protocol
// page specifies. It never sends a request again by itself, uses one goroutine for each call, and runs on any host.Host.
package httptransport

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// Settings configure a transport.
type Settings struct {
	ConnectTimeout      time.Duration // limit for a dial; 0: only the deadlines of the messages apply
	EndpointIdleTimeout time.Duration // endpoints close a connection that has been idle this long; 0: never
	// Limit for idle connections over all endpoints; 0: none are kept. One endpoint may have half of them, or 8 if that
	// is more.
	MaxIdle      int
	DialBurst    int           // dials that may begin at once
	DialInterval time.Duration // time between the dials after a burst; 0: dials are not limited
	BatchKinds   []bool        // by kind of endpoint: it takes batches
	ReportFields []string      // names of the load report fields, in the order of engine.Outcome.LoadReport
	Log          *slog.Logger  // nil: nothing is logged
}

// idleMargin is how much earlier than the endpoint the transport closes an idle connection, so that no request crosses the
// endpoint's close.
const idleMargin = 300 * time.Millisecond

// Transport makes calls. It implements engine.Transport. Use New to create one.
type Transport struct {
	host        host.Host
	clock       engine.Clock
	settings    Settings
	maxIdleTime time.Duration // how long a connection may be idle; 0: no limit
	log         *slog.Logger
	logsCalls   bool // each call is logged
	counters    counters

	mu         sync.Mutex
	calls      map[engine.CallID]*call
	peers      map[endpointAddress]*peer
	idle       idleList
	idleTimer  host.Timer // runs closeExpired; nil if not set
	dialQueue  dialQueue  // calls that wait to dial
	closed     bool
	callsEnded host.Inbox // created by Close; receives a value when the last call has ended

	lastConnection uint64    // number of the newest connection
	surplusLogged  time.Time // when surplus data was last logged
}

var _ engine.Transport = (*Transport)(nil)

// endpointAddress identifies an endpoint at an address. Another endpoint may use the address after it is removed.
type endpointAddress struct {
	endpoint control.Endpoint
	addr     string
}

// peer is an endpoint at an address, for as long as it has calls or connections. The transport's lock guards all of its
// fields but endpointAddress.
type peer struct {
	endpointAddress
	removed       bool    // the endpoint was removed: connections close when their calls end
	calls         int     // number of calls in progress
	unwritten     []*call // calls of which nothing is written yet
	idle          []*conn // connections without a call, longest idle first
	waitingToDial []*call // calls that wait for their turn to dial, oldest first

	// Until this time a connection must stay idle for distrustedSettleTime before it is used again. The endpoint has
	// sent more than its responses. Copies of responses are told apart, but other data ahead of a response makes it unreadable.
	distrustedUntil time.Time

	// Until this time a connection carries one request only. The endpoint did not confirm that it closes a connection.
	singleUseUntil time.Time
}

// distrustTime is how long an endpoint is distrusted after it has sent more than its responses.
const distrustTime = 10 * time.Second

// distrust makes connections to an endpoint stay idle for a while between two calls, so that surplus data behind a response
// shows up before the next request. A new connection for each call would also protect against later data, but would cost
// the endpoint a handshake for each call, all day even if it sends surplus data only rarely.
func (t *Transport) distrust(p *peer) {
	t.mu.Lock()
	p.distrustedUntil = t.host.Now().Add(distrustTime)
	t.mu.Unlock()
}

// singleUseTime is how long an endpoint's connections carry one request only after it failed to confirm a close.
const singleUseTime = 10 * time.Minute

// avoidReuse makes each connection to an endpoint carry one request only for a while.
func (t *Transport) avoidReuse(p *peer) {
	t.mu.Lock()
	p.singleUseUntil = t.host.Now().Add(singleUseTime)
	t.mu.Unlock()
	t.closeIdle(p)
}

// New returns a transport on a host. The clock converts the host's time to the engine's.
func New(h host.Host, clock engine.Clock, s Settings) *Transport {
	t := &Transport{host: h, clock: clock, settings: s, calls: map[engine.CallID]*call{}, peers: map[endpointAddress]*peer{}}
	t.setLog(s.Log)
	if s.EndpointIdleTimeout > 0 {
		t.maxIdleTime = max(s.EndpointIdleTimeout-idleMargin, s.EndpointIdleTimeout/2)
	}
	return t
}

// Start starts a call on its own goroutine. After Close, all items of the call end as Moot.
func (t *Transport) Start(c *engine.Call, on engine.CallEvents) {
	k := newCall(t, c, on)
	at := endpointAddress{c.Endpoint, c.Addr}
	t.mu.Lock()
	if k.peer = t.peers[at]; k.peer == nil {
		k.peer = &peer{endpointAddress: at}
		t.peers[at] = k.peer
	}
	k.peer.calls++
	k.peer.unwritten = append(k.peer.unwritten, k)
	t.calls[c.ID] = k
	closed := t.closed
	t.mu.Unlock()
	if closed {
		k.abort.Do()
	}
	t.host.Go(k.run)
}

// commitWrite is called just before the first byte of a call is written. It reports whether the call may be written, which
// it may not once it was aborted or its endpoint removed. After it returns true, RemoveEndpoint lets the call finish.
func (t *Transport) commitWrite(k *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.abort.Done() {
		return false
	}
	k.removeFromUnwritten()
	return true
}

// finish removes a call whose items have all ended.
func (t *Transport) finish(k *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.removeFromUnwritten()
	k.peer.calls--
	t.forgetUnused(k.peer)
	delete(t.calls, k.ID)
	if t.closed && len(t.calls) == 0 {
		t.callsEnded.Put(nil)
	}
}

// forgetUnused removes a peer that has neither calls nor connections nor a restriction. The lock must be held.
func (t *Transport) forgetUnused(p *peer) {
	now := t.host.Now()
	restricted := p.distrustedUntil.After(now) || p.singleUseUntil.After(now)
	if p.calls == 0 && len(p.idle) == 0 && t.peers[p.endpointAddress] == p && !restricted {
		delete(t.peers, p.endpointAddress)
	}
}

// Abort stops waiting for a call. The connection is closed before Abort returns.
func (t *Transport) Abort(id engine.CallID) {
	t.mu.Lock()
	k := t.calls[id]
	t.mu.Unlock()
	if k != nil {
		k.abort.Do()
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (t *Transport) CloseIdle(c *engine.CloseIdle) {
	t.mu.Lock()
	p := t.peers[endpointAddress{c.Endpoint, c.Addr}]
	t.mu.Unlock()
	if p != nil {
		t.closeIdle(p)
	}
}

// RemoveEndpoint forgets an endpoint at an address. Its idle connections close, calls of which nothing is written yet end
// as Moot, and the other calls continue until they end. A later call to it starts with no state.
func (t *Transport) RemoveEndpoint(l *engine.RemoveEndpoint) {
	at := endpointAddress{l.Endpoint, l.Addr}
	t.mu.Lock()
	p := t.peers[at]
	if p == nil {
		t.mu.Unlock()
		return
	}
	p.removed = true
	delete(t.peers, at)
	for _, k := range p.unwritten { // under the lock, so that each commitWrite comes entirely before or after the aborts
		k.abort.Do()
	}
	t.mu.Unlock()
	t.closeIdle(p)
}

// Close aborts all calls, closes the idle connections and waits up to limit for the calls to end. The error says how many
// have not ended. MayWrite, FirstLine and Ended must not block in the meantime.
func (t *Transport) Close(limit time.Duration) error {
	until := t.host.Now().Add(limit)
	t.mu.Lock()
	if !t.closed {
		t.closed, t.callsEnded = true, t.host.NewInbox()
	}
	if t.idleTimer != nil {
		t.idleTimer.Stop()
		t.idleTimer = nil
	}
	if t.dialQueue.timer != nil {
		t.dialQueue.timer.Stop()
		t.dialQueue.timer = nil
	}
	ids := slices.Sorted(maps.Keys(t.calls))
	var idle []*conn
	for c := t.idle.first; c != nil; c = t.idle.first {
		t.removeIdle(c)
		idle = append(idle, c)
	}
	t.mu.Unlock()
	for _, id := range ids {
		t.Abort(id)
	}
	for _, c := range idle {
		c.Close()
	}
	for {
		t.mu.Lock()
		n := len(t.calls)
		t.mu.Unlock()
		switch {
		case n == 0:
			return nil
		case !t.host.Now().Before(until):
			return fmt.Errorf("%d calls have not ended within %v", n, limit)
		}
		t.callsEnded.Take(nil, until)
	}
}

// Package httptransport makes the engine's calls over HTTP/1.1, as the protocol's page has it under "Dispatchers to
// endpoints". It sends a request once and never again by itself, waits on one goroutine for each call, and runs on any
// host.Host.
package httptransport

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// Settings are what a deployment says of calls.
type Settings struct {
	ConnectTimeout      time.Duration // a dial takes no longer; 0: as long as the call's messages are waited for
	EndpointIdleTimeout time.Duration // an endpoint closes a connection that has been idle so long; 0: never
	MaxIdle             int           // idle connections kept over all endpoints, half of them, or 8, to one; 0: none
	DialBurst           int           // dials that may begin at once ...
	DialInterval        time.Duration // ... and so long after each of them the next; 0: as calls need them
	ReportFields        []string      // fields of the reports that answers hold, in the order of engine.Outcome.Report
}

// idleMargin keeps a request from crossing the endpoint's own close of an idle connection.
const idleMargin = 300 * time.Millisecond

// Transport makes calls. It is an engine.Transport; New makes one.
type Transport struct {
	host  host.Host
	clock engine.Clock
	set   Settings
	span  time.Duration // a connection is idle no longer; 0: for ever

	mu     sync.Mutex
	calls  map[engine.CallID]*call
	peers  map[place]*peer
	idle   idleList
	timer  host.Timer // closes idle connections as their time comes; nil: none is set
	turns  turns      // to dial
	closed bool
	ended  host.Inbox // gets a value once no call is out, from Close on
}

var _ engine.Transport = (*Transport)(nil)

// place is where an endpoint is. Another endpoint may take over its address when it has gone.
type place struct {
	endpoint control.Endpoint
	addr     string
}

// peer is an endpoint at an address, for as long as it has calls or connections. All but its place is under the
// transport's lock.
type peer struct {
	place
	gone      bool    // its connections close as their calls end
	calls     int     // out
	unwritten []*call // those of which nothing is written yet
	idle      []*conn // without a call, those that became idle first ahead
	waiting   []*call // for their turn to dial, oldest first

	// Until then a connection rests before it is used again: the endpoint has sent more than its answers, and what comes
	// late can't be told from the answer to the next call.
	untidy time.Time
}

// untidySpan is how long an endpoint that has sent more than its answers is not trusted to be over with a call.
const untidySpan = 10 * time.Second

// distrust has connections to an endpoint rest between two calls for a while: what came behind an answer by then shows.
// A connection for each call would be safer against what is later still, but costs the endpoint a handshake a call, and
// endpoints that send too much seldom would pay it all day.
func (t *Transport) distrust(p *peer) {
	t.mu.Lock()
	p.untidy = t.host.Now().Add(untidySpan)
	t.mu.Unlock()
}

// New makes a transport on a host, whose time the clock turns into the engine's.
func New(h host.Host, clock engine.Clock, s Settings) *Transport {
	t := &Transport{host: h, clock: clock, set: s, calls: map[engine.CallID]*call{}, peers: map[place]*peer{}}
	if s.EndpointIdleTimeout > 0 {
		t.span = max(s.EndpointIdleTimeout-idleMargin, s.EndpointIdleTimeout/2)
	}
	return t
}

// Start starts a call on a goroutine of its own. After Close all its items end as Moot.
func (t *Transport) Start(c *engine.Call, on engine.CallEvents) {
	k := newCall(t, c, on)
	at := place{c.Endpoint, c.Addr}
	t.mu.Lock()
	if k.peer = t.peers[at]; k.peer == nil {
		k.peer = &peer{place: at}
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

// mayCommit tells, just before the first byte of a call is written, that neither its endpoint has left nor anybody called
// it off. From then on Leave lets it finish.
func (t *Transport) mayCommit(k *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.abort.Completed() {
		return false
	}
	k.committed()
	return true
}

// finish forgets a call whose items have all ended.
func (t *Transport) finish(k *call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.committed()
	k.peer.calls--
	t.tidy(k.peer)
	delete(t.calls, k.ID)
	if t.closed && len(t.calls) == 0 {
		t.ended.Put(nil)
	}
}

// tidy forgets a peer that has neither calls nor connections; the lock is held.
func (t *Transport) tidy(p *peer) {
	if p.calls == 0 && len(p.idle) == 0 && t.peers[p.place] == p && !p.untidy.After(t.host.Now()) {
		delete(t.peers, p.place)
	}
}

// Abort stops waiting for a call: its connection closes before Abort returns.
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
	p := t.peers[place{c.Endpoint, c.Addr}]
	t.mu.Unlock()
	if p != nil {
		t.closeIdle(p)
	}
}

// Leave forgets an endpoint at an address: its idle connections close, calls of which nothing is written yet end as
// Moot, and the others go on until they end. A later call there begins anew.
func (t *Transport) RemoveEndpoint(l *engine.RemoveEndpoint) {
	at := place{l.Endpoint, l.Addr}
	t.mu.Lock()
	p := t.peers[at]
	if p == nil {
		t.mu.Unlock()
		return
	}
	p.gone = true
	delete(t.peers, at)
	for _, k := range p.unwritten { // under the lock, so that mayCommit is asked either before or behind it
		k.abort.Do()
	}
	t.mu.Unlock()
	t.closeIdle(p)
}

// Close aborts all calls, closes the idle connections and waits until the calls have ended, no longer than limit. An
// error says how many have not. Meanwhile MayWrite, FirstLine and Ended must be answered.
func (t *Transport) Close(limit time.Duration) error {
	until := t.host.Now().Add(limit)
	t.mu.Lock()
	if !t.closed {
		t.closed, t.ended = true, t.host.NewInbox()
	}
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
	if t.turns.timer != nil {
		t.turns.timer.Stop()
		t.turns.timer = nil
	}
	ids := slices.Sorted(maps.Keys(t.calls))
	var idle []*conn
	for c := t.idle.first; c != nil; c = t.idle.first {
		t.remove(c)
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
		t.ended.Take(nil, until)
	}
}

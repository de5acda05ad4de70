// Package mailtransport makes the engine's calls over SMTP (RFC 5321) and LMTP (RFC 2033). An item is one mail for one
// recipient (mail.Envelope); those of a call that have sender and content in common share a transaction. It never sends
// a mail again by itself once the last byte of the mail may have left, waits on one goroutine for each call, and runs on
// any host.Host.
package mailtransport

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

// TLS is the policy by which connections to a partner are encrypted.
type TLS uint8

// Policies.
const (
	TLSOff           TLS = iota
	TLSOpportunistic     // STARTTLS where the server offers it, with any certificate, and plain text where that fails
	TLSRequired          // STARTTLS with a certificate that is verified, or nothing is sent
	TLSImplicit          // the same from the first byte on
)

// Partner is what the endpoints of a kind speak, and how they are to be spoken to.
type Partner struct {
	Protocol       mail.Protocol
	TLS            TLS
	Config         *tls.Config   // nil: the system's; a server's name is the host of its address unless ServerName is set
	User, Password string        // for AUTH, which is done only over TLS that was verified; "": none
	PerConnection  int           // mails over one connection, 0: 100
	BusyWait       time.Duration // wait that 421 tells, 0: none
	GreyWait       time.Duration // the same for 450 and 451
}

// Settings are what a deployment says of calls.
type Settings struct {
	Name           string          // of this machine, for EHLO and for trace fields
	Partners       map[int]Partner // by the number of the endpoints' kind
	ConnectTimeout time.Duration   // a dial takes no longer; 0: as long as the call's messages are waited for
	ConnIdle       time.Duration   // a connection is idle no longer; 0: 60 s
	MostIdle       int             // idle connections kept over all endpoints; 0: none
	Log            *slog.Logger
}

const (
	defaultIdle          = 60 * time.Second
	defaultPerConnection = 100
	warnGap              = 10 * time.Second // between two log lines about one endpoint
)

// Transport makes calls. It is an engine.Transport; New makes one.
type Transport struct {
	host  host.Host
	clock engine.Clock
	set   Settings

	mu     sync.Mutex
	calls  map[engine.CallID]*call
	peers  map[place]*peer
	idle   int        // connections without a call
	timer  host.Timer // closes idle connections as their time comes; nil: none is set
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
	unwritten []*call // those of which no MAIL is written yet
	idle      []*conn // without a call, those that became idle first ahead
	warned    time.Time
}

// New makes a transport on a host, whose time the clock turns into the engine's.
func New(h host.Host, clock engine.Clock, s Settings) *Transport {
	if s.ConnIdle <= 0 {
		s.ConnIdle = defaultIdle
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	return &Transport{host: h, clock: clock, set: s, calls: map[engine.CallID]*call{}, peers: map[place]*peer{}}
}

// Speaks tells whether calls to endpoints of a kind are this transport's.
func (t *Transport) Speaks(kind int) bool {
	_, ok := t.set.Partners[kind]
	return ok
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

// mayCommit tells, just before the MAIL of a transaction is written, that neither its endpoint has left nor anybody called
// it off. From the first on Leave lets the call finish what it has begun.
func (t *Transport) mayCommit(k *call) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.abort.Done() || k.peer.gone {
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
	if p.calls == 0 && len(p.idle) == 0 && t.peers[p.place] == p {
		delete(t.peers, p.place)
	}
}

// warn logs what is wrong with an endpoint, now and then.
func (t *Transport) warn(p *peer, text string, args ...any) {
	t.mu.Lock()
	now := t.host.Now()
	quiet := !p.warned.IsZero() && now.Sub(p.warned) < warnGap
	if !quiet {
		p.warned = now
	}
	t.mu.Unlock()
	if !quiet {
		t.set.Log.Warn(text, append([]any{"address", p.addr}, args...)...)
	}
}

// Abort stops waiting for a call: its connection closes before Abort returns, and with it a mail whose end has not been
// written is void.
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

// Leave forgets an endpoint at an address: its idle connections close, calls of which no MAIL is written yet end as Moot,
// and the others end their transaction. A later call there begins anew.
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
// error says how many have not. Meanwhile MayWrite and Ended must be answered.
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
	ids := slices.Sorted(maps.Keys(t.calls))
	var idle []*conn
	for _, p := range t.inOrder() {
		idle = append(idle, p.idle...)
		t.idle -= len(p.idle)
		p.idle = nil
	}
	t.mu.Unlock()
	for _, id := range ids {
		t.Abort(id)
	}
	for _, c := range idle {
		c.quit()
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

// ---- idle connections ----

// pop takes the idle connection that was used last, so that those not needed run out.
func (t *Transport) pop(p *peer) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	t.idle--
	return c
}

// put makes a connection idle, or closes it where there are enough.
func (t *Transport) put(c *conn) {
	if !t.keep(c) {
		c.quit()
	}
}

func (t *Transport) keep(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.peer.gone || t.closed || t.idle >= t.set.MostIdle {
		return false
	}
	c.used = t.host.Now()
	c.peer.idle = append(c.peer.idle, c)
	t.idle++
	if t.timer == nil {
		t.timer = t.host.AfterFunc(t.set.ConnIdle, t.expire)
	}
	return true
}

// expire closes the connections whose time to be idle is up, and comes again for the next.
func (t *Transport) expire() {
	var over []*conn
	t.mu.Lock()
	t.timer = nil
	now, next := t.host.Now(), time.Duration(-1)
	for _, p := range t.inOrder() {
		n := 0
		for n < len(p.idle) && now.Sub(p.idle[n].used) >= t.set.ConnIdle {
			n++
		}
		over = append(over, p.idle[:n]...)
		p.idle = slices.Delete(p.idle, 0, n)
		t.idle -= n
		if len(p.idle) > 0 {
			if rest := t.set.ConnIdle - now.Sub(p.idle[0].used); next < 0 || rest < next {
				next = rest
			}
		}
		t.tidy(p)
	}
	if next >= 0 && !t.closed {
		t.timer = t.host.AfterFunc(next, t.expire)
	}
	t.mu.Unlock()
	for _, c := range over {
		c.quit()
	}
}

// inOrder lists the peers: on a simulated machine the order shows. The lock is held.
func (t *Transport) inOrder() []*peer {
	list := slices.Collect(maps.Values(t.peers))
	slices.SortFunc(list, func(a, b *peer) int {
		if a.endpoint != b.endpoint {
			return int(a.endpoint) - int(b.endpoint)
		}
		return strings.Compare(a.addr, b.addr)
	})
	return list
}

// closeIdle closes the idle connections to an endpoint.
func (t *Transport) closeIdle(p *peer) {
	for c := t.pop(p); c != nil; c = t.pop(p) {
		c.quit()
	}
	t.mu.Lock()
	t.tidy(p)
	t.mu.Unlock()
}

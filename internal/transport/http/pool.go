package httptransport

import (
	"net"
	"slices"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	// An endpoint that closes a connection right after a response has done so within this time.
	settleTime = 100 * time.Millisecond
	// Idle connections that each endpoint may have, within the limit for all endpoints.
	minIdlePerEndpoint = 8
	// Replaces settleTime for a distrusted endpoint. A lost packet is retransmitted in less time.
	distrustedSettleTime = 300 * time.Millisecond
	// Largest request buffer that a connection keeps for its next request, in bytes.
	maxKeptBuffer = 4 << 10
)

// conn is a connection to an endpoint.
type conn struct {
	*http1.Conn
	peer          *peer
	number        uint64 // identifies it in the log
	requests      int    // requests that were written to it, including the current one
	closeFunc     func() // closes the connection; created once to avoid an allocation for each call
	last          bool   // the current request is its last one
	requestBuffer []byte // reused for requests

	// A response was something else than a 200 that delivered all messages, so that a copy of it could end a later call.
	hasOtherResponse bool
	idleSince        time.Time // when it became idle

	prev, next *conn // in the idleList
}

func newConn(h host.Host, nc net.Conn, p *peer) *conn {
	c := &conn{Conn: http1.NewConn(h, nc), peer: p}
	c.closeFunc = func() { c.Close() }
	return c
}

// isLast reports whether the next request on the connection has to be its last one. batch says that it is a batch.
//
// HTTP/1.1 matches responses to requests by their order alone, so a late copy of an earlier response, which faulty endpoints
// and proxies send, may be taken for the next response. Three kinds of request are safe from that:
//   - the first one on a connection, as no response came before it;
//   - the last one, which asks the endpoint to close the connection: only a response that says so counts;
//   - a batch while each response on the connection was a 200 that delivered all messages: a 200 names the messages of its
//     batch, and any other status can't be a copy.
func (c *conn) isLast(batch bool) bool { return c.isUsed() && (!batch || c.hasOtherResponse) }

// isUsed reports whether a request was written to the connection.
func (c *conn) isUsed() bool { return c.requests > 0 }

// idleList holds the idle connections to all endpoints, longest idle first. The transport's lock guards it.
type idleList struct {
	first, last *conn
	count       int
}

// takeIdle removes and returns an idle connection to a peer, or returns nil. It prefers the one that was used last, so that
// surplus connections expire. It avoids connections that became idle only a moment ago: some endpoints close a connection
// right after a response, and that close may still be in transit. If there are only such connections, it takes the oldest,
// or none if the endpoint is distrusted, since surplus data may be in transit as well.
func (t *Transport) takeIdle(p *peer) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.settledCount(p)
	if !t.hasUsableIdle(p, n) {
		return nil
	}
	c := p.idle[max(n-1, 0)]
	t.removeIdle(c)
	return c
}

// settledCount returns how many idle connections to a peer have been idle for at least the settle time. The lock must be
// held.
func (t *Transport) settledCount(p *peer) int {
	since := t.host.Now().Add(-settleTime)
	if p.distrustedUntil.After(t.host.Now()) {
		since = since.Add(settleTime - distrustedSettleTime)
	}
	n, _ := slices.BinarySearchFunc(p.idle, since, func(c *conn, since time.Time) int {
		if c.idleSince.After(since) {
			return 1
		}
		return -1
	})
	return n
}

// hasUsableIdle reports whether a call may take an idle connection to a peer, given the number of settled ones. The lock
// must be held.
func (t *Transport) hasUsableIdle(p *peer, settled int) bool {
	return settled > 0 || len(p.idle) > 0 && !p.distrustedUntil.After(t.host.Now())
}

// putIdle makes a connection idle. If there are too many, it closes the one that was idle for longest.
func (t *Transport) putIdle(c *conn) {
	if surplus := t.addIdle(c); surplus != nil {
		surplus.Close()
	}
}

// addIdle adds a connection to the idle ones. It returns a connection that has to be closed because of a limit, which may
// be c itself, or nil.
func (t *Transport) addIdle(c *conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.peer.removed || t.closed || c.isUsed() && c.peer.singleUseUntil.After(t.host.Now()) {
		return c
	}
	c.idleSince = t.host.Now()
	c.peer.idle = append(c.peer.idle, c)
	if t.hasUsableIdle(c.peer, 0) {
		t.offerIdle(c.peer)
	}
	if c.prev = t.idle.last; c.prev != nil {
		c.prev.next = c
	} else {
		t.idle.first = c
	}
	t.idle.last = c
	t.idle.count++
	if t.maxIdleTime > 0 && t.idleTimer == nil {
		t.idleTimer = t.host.AfterFunc(t.maxIdleTime, t.closeExpired)
	}
	longest := t.idle.first
	switch {
	case t.idle.count > t.settings.MaxIdle:
	case len(c.peer.idle) > max(t.settings.MaxIdle/2, minIdlePerEndpoint): // other endpoints keep theirs
		longest = c.peer.idle[0]
	default:
		return nil
	}
	t.removeIdle(longest)
	t.forgetUnused(longest.peer)
	return longest
}

// removeIdle removes a connection from the idle ones. The lock must be held.
func (t *Transport) removeIdle(c *conn) {
	p := c.peer
	i, _ := slices.BinarySearchFunc(p.idle, c, func(o, c *conn) int { return o.idleSince.Compare(c.idleSince) })
	for p.idle[i] != c { // several may have become idle at the same time
		i++
	}
	p.idle = slices.Delete(p.idle, i, i+1)
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		t.idle.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		t.idle.last = c.prev
	}
	c.prev, c.next = nil, nil
	t.idle.count--
}

// closeExpired closes the connections that have been idle for too long, and sets the timer for the next one.
func (t *Transport) closeExpired() {
	var over []*conn
	t.mu.Lock()
	t.idleTimer = nil
	now := t.host.Now()
	for c := t.idle.first; c != nil; c = t.idle.first {
		if rest := t.maxIdleTime - now.Sub(c.idleSince); rest > 0 {
			t.idleTimer = t.host.AfterFunc(rest, t.closeExpired)
			break
		}
		t.removeIdle(c)
		t.forgetUnused(c.peer)
		over = append(over, c)
	}
	t.mu.Unlock()
	for _, c := range over {
		c.Close()
	}
}

// closeIdle closes the idle connections to an endpoint.
func (t *Transport) closeIdle(p *peer) {
	t.mu.Lock()
	list := slices.Clone(p.idle)
	for _, c := range list {
		t.removeIdle(c)
	}
	t.forgetUnused(p)
	t.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

package httptransport

import (
	"net"
	"slices"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	settled    = 100 * time.Millisecond // after so long an answer's connection is not about to be closed any more
	fewIdle    = 8                      // idle connections that one endpoint may always have, if all may have as many
	rested     = 300 * time.Millisecond // the same at an endpoint that is not trusted: a lost packet comes again in less
	bufferMost = 4 << 10                // bytes of a request's buffer that a connection keeps for its next one
)

// conn is a connection to an endpoint.
type conn struct {
	*http1.Conn
	peer *peer
	stop func()    // closes it; made once
	buf  []byte    // for requests
	used time.Time // when it became idle

	prev, next *conn // in the idleList
}

func newConn(h host.Host, nc net.Conn, p *peer) *conn {
	c := &conn{Conn: http1.NewConn(h, nc), peer: p}
	c.stop = func() { c.Close() }
	return c
}

// idleList holds the idle connections to all endpoints, those idle for longest ahead. The transport's lock guards it.
type idleList struct {
	first, last *conn
	count       int
}

// pop takes the idle connection that was used last, so that those not needed run out, but for those used a moment ago:
// some endpoints close a connection right after an answer, and that may still be under way. Of these it takes the oldest,
// or none at an endpoint that is not trusted: there more may be under way than an end.
func (t *Transport) pop(p *peer) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.settled(p)
	if !t.usable(p, n) {
		return nil
	}
	c := p.idle[max(n-1, 0)]
	t.remove(c)
	return c
}

// settled is how many of the idle connections to a peer were not used a moment ago; the lock is held.
func (t *Transport) settled(p *peer) int {
	since := t.host.Now().Add(-settled)
	if p.untidy.After(t.host.Now()) {
		since = since.Add(settled - rested)
	}
	n, _ := slices.BinarySearchFunc(p.idle, since, func(c *conn, since time.Time) int {
		if c.used.After(since) {
			return 1
		}
		return -1
	})
	return n
}

// usable tells whether a call may take an idle connection to a peer, of which so many are settled; the lock is held.
func (t *Transport) usable(p *peer, settled int) bool {
	return settled > 0 || len(p.idle) > 0 && !p.untidy.After(t.host.Now())
}

// put makes a connection idle, in place of the one idle for longest if there are too many.
func (t *Transport) put(c *conn) {
	if surplus := t.keep(c); surplus != nil {
		surplus.Close()
	}
}

// keep puts a connection with the idle ones and returns one that must close for it, perhaps c itself.
func (t *Transport) keep(c *conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.peer.gone || t.closed {
		return c
	}
	c.used = t.host.Now()
	c.peer.idle = append(c.peer.idle, c)
	if t.usable(c.peer, 0) {
		t.lend(c.peer)
	}
	if c.prev = t.idle.last; c.prev != nil {
		c.prev.next = c
	} else {
		t.idle.first = c
	}
	t.idle.last = c
	t.idle.count++
	if t.span > 0 && t.timer == nil {
		t.timer = t.host.AfterFunc(t.span, t.expire)
	}
	longest := t.idle.first
	switch {
	case t.idle.count > t.set.MaxIdle:
	case len(c.peer.idle) > max(t.set.MaxIdle/2, fewIdle): // the others keep theirs
		longest = c.peer.idle[0]
	default:
		return nil
	}
	t.remove(longest)
	t.tidy(longest.peer)
	return longest
}

// remove takes an idle connection out; the lock is held.
func (t *Transport) remove(c *conn) {
	p := c.peer
	i, _ := slices.BinarySearchFunc(p.idle, c, func(o, c *conn) int { return o.used.Compare(c.used) })
	for p.idle[i] != c { // some became idle at the same moment
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

// expire closes the connections whose time to be idle is up, and comes again for the next.
func (t *Transport) expire() {
	var over []*conn
	t.mu.Lock()
	t.timer = nil
	now := t.host.Now()
	for c := t.idle.first; c != nil; c = t.idle.first {
		if rest := t.span - now.Sub(c.used); rest > 0 {
			t.timer = t.host.AfterFunc(rest, t.expire)
			break
		}
		t.remove(c)
		t.tidy(c.peer)
		over = append(over, c)
	}
	t.mu.Unlock()
	for _, c := range over {
		c.Close()
	}
}

// closeIdle closes the idle connections to an endpoint.
func (t *Transport) closeIdle(p *peer) {
	for c := t.pop(p); c != nil; c = t.pop(p) {
		c.Close()
	}
	t.mu.Lock()
	t.tidy(p)
	t.mu.Unlock()
}

package httpfront

import (
	"cmp"
	"time"

	"curlewmux/internal/host"
)

const (
	mayClose        = 2 * time.Second        // a connection without a request may be closed after this
	silentAfter     = 250 * time.Millisecond // one that said nothing for so long after it came is a silent one
	slowAfter       = clientPatience         // a request that is incomplete for longer gives way where others need the room, ...
	slowAfterIfFull = clientPatience / 4     // ... and after this where there is no room at all
)

// evictOne closes the connection that is of least use, if there is one of no use, and tells whether it did.
func (t *connectionTable) evictOne() bool {
	now := t.host.Now()
	t.mu.Lock()
	out := t.leastUseful(now)
	if out != nil {
		t.drop(out)
	}
	t.mu.Unlock()
	if out != nil {
		t.closeForRoom(out)
	}
	return out != nil
}

// received says that the client's request has been read completely.
func (t *connectionTable) received(c *client) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.whole = true
}

// preempt ends the request that has been incomplete for longest, if it is a slow one, and reports whether there was one. Its
// client is turned away by its own goroutine.
func (t *connectionTable) preempt() bool {
	now := t.host.Now()
	t.mu.Lock()
	c := t.preemptSlowest(now, slowAfter)
	t.mu.Unlock()
	t.logPreempted(c)
	return c != nil
}

// preemptSlowest is preempt for requests that have been incomplete for a time. It returns the client, nil for none. The lock
// is held.
func (t *connectionTable) preemptSlowest(now time.Time, after time.Duration) *client {
	var slowest *client
	for c := range t.open {
		if !c.open || c.whole || c.refused || now.Sub(c.begun) < after || c.preempted.Load() {
			continue
		}
		if slowest != nil && cmp.Or(c.begun.Compare(slowest.begun), cmp.Compare(c.n, slowest.n)) > 0 {
			continue
		}
		if !host.Readable(c.Conn) { // else its goroutine had no time to read what has come
			slowest = c
		}
	}
	if slowest != nil {
		slowest.preempted.Store(true)
		slowest.SetReadDeadline(now) // if it fails, so does the read
		t.counters.preempted.Add(1)
	}
	return slowest
}

// logPreempted logs that a request was ended, unless there was none. Lines may have to wait, so no lock is held.
func (t *connectionTable) logPreempted(c *client) {
	if c != nil {
		t.log.Warn("a request of a client is ended", "why", "it is slow and others need the room", "client", c.RemoteAddr())
	}
}

// leastUseful picks the connection to close: one whose request was refused, then silent new ones, then the longest idle,
// then new ones that have said nothing yet. None has a request that may be taken on. The lock is held.
func (t *connectionTable) leastUseful(now time.Time) *client {
	var best *client
	rank := 0
	for c := range t.open {
		age, r := now.Sub(c.since), 0
		switch {
		case c.refused:
			r = 4
		case c.open || c.heard:
		case !c.spoke && age >= silentAfter:
			r = 3
		case c.spoke && age >= mayClose:
			r = 2
		case !c.spoke:
			r = 1
		}
		if r == 0 || r < rank || r == rank && cmp.Or(c.since.Compare(best.since), cmp.Compare(c.n, best.n)) >= 0 {
			continue
		}
		if c.refused || !host.Readable(c.Conn) { // a request may have come that nobody has read yet
			best, rank = c, r
		}
	}
	return best
}

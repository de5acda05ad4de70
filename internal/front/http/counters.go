package httpfront

import (
	"net/http"
	"sync/atomic"
)

// Counters describe the connections of clients. Open, Incomplete and InputBytes are current values; the others count from
// the start.
type Counters struct {
	Accepted      uint64 // connections that were accepted
	ClosedForRoom uint64 // connections that were closed to make room for others
	Rejected      uint64 // connections that were closed unread, as no other one could make room
	TimedOut      uint64 // requests that did not end in time
	Preempted     uint64 // slow requests that were ended to make room for others
	Left          uint64 // messages that were not submitted, as their clients had closed the connection
	ClientErrors  uint64 // responses that refuse a request for good
	TurnedAway    uint64 // responses with 503

	Open       uint64 // connections that are open
	Incomplete uint64 // requests that have begun and are not answered
	InputBytes uint64 // bytes of memory that requests hold until they are answered
}

// counters are the Counters that count from the start.
type counters struct {
	accepted, closedForRoom, rejected, timedOut, preempted, left, clientErrors, turnedAway atomic.Uint64
}

// Counters returns the current values. It may be called from any goroutine.
func (f *Front) Counters() Counters {
	open, incomplete := f.table.count()
	c := &f.table.counters
	return Counters{
		Accepted: c.accepted.Load(), ClosedForRoom: c.closedForRoom.Load(), Rejected: c.rejected.Load(),
		TimedOut: c.timedOut.Load(), Preempted: c.preempted.Load(), Left: c.left.Load(), ClientErrors: c.clientErrors.Load(), TurnedAway: c.turnedAway.Load(),
		Open: uint64(open), Incomplete: uint64(incomplete), InputBytes: uint64(f.transit.taken()),
	}
}

// count returns the number of connections, and of those with a request that has begun.
func (t *connectionTable) count() (open, incomplete int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.open {
			incomplete++
		}
	}
	return len(t.open), incomplete
}

// answered counts a response.
func (c *counters) answered(a *reply) {
	switch {
	case a.status == http.StatusServiceUnavailable:
		c.turnedAway.Add(1)
	case a.status >= http.StatusBadRequest:
		c.clientErrors.Add(1)
	}
}

package httptransport

import "sync/atomic"

// Counters count what happened on the connections to endpoints since the start.
type Counters struct {
	Dials       uint64 // connections that were opened
	DialsFailed uint64 // dials that failed
	Reused      uint64 // requests that were written to a connection that had carried one before
	Surplus     uint64 // connections on which an endpoint sent data that was no response to a request
}

// counters are the Counters while the transport runs.
type counters struct {
	dials, dialsFailed, reused, surplus atomic.Uint64
}

// Counters returns the current values. It may be called from any goroutine.
func (t *Transport) Counters() Counters {
	return Counters{
		Dials: t.counters.dials.Load(), DialsFailed: t.counters.dialsFailed.Load(), Reused: t.counters.reused.Load(),
		Surplus: t.counters.surplus.Load(),
	}
}

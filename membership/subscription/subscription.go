// Package subscription decides when a discovery that tells nothing unless it is asked is asked: at the start, and again
// after a call that failed or a subscription that broke. It does no I/O and reads no clock: the caller hands in the time
// and asks when told to.
package subscription

import "time"

// Pauses after calls that failed. Discovery may be one service for all dispatchers that takes calls one after another:
// every call that it turns away, or that is given up while it waits, takes time from those of others. So the pause grows
// quickly; but until a call succeeds it isn't known who drains, so it does not grow far.
const (
	MinPause = 50 * time.Millisecond // before the second call ...
	MaxPause = time.Second           // ... and, after doublings, before any other; a drawn half of each is left out
)

// Subscription is one dispatcher's standing at one discovery. The zero value is not subscribed and may ask at once.
// It is not safe for concurrent use.
type Subscription struct {
	// Random gives numbers from 0 up to 1; without it nothing is left out of a pause. Dispatchers that were turned away
	// together should not come back together.
	Random func() float64

	state state
	pause time.Duration
	due   time.Time
}

type state uint8

const (
	idle       state = iota // nothing is out; the next call may go when due
	asking                  // a call is out
	subscribed              // changes come by themselves
)

// StartCall tells whether to ask for changes now. If so it counts as done, and Answered or Failed must follow.
func (s *Subscription) StartCall(now time.Time) bool {
	if s.state != idle || now.Before(s.due) {
		return false
	}
	s.state = asking
	return true
}

// CallSucceeded takes an answer to a call, or a change that came by itself.
func (s *Subscription) CallSucceeded() { s.state, s.pause = subscribed, 0 }

// CallFailed takes the failure of a call, or the end of a subscription, and tells when to ask again.
func (s *Subscription) CallFailed(now time.Time) time.Time {
	if s.state == idle { // one cause may be told twice
		return s.due
	}
	s.state = idle
	s.pause = min(max(2*s.pause, MinPause), MaxPause)
	pause := s.pause
	if s.Random != nil {
		pause -= time.Duration(s.Random() * float64(pause) / 2)
	}
	s.due = now.Add(pause)
	return s.due
}

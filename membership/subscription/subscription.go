// Package subscription decides when to subscribe to a discovery service that sends changes only to subscribers: at the
// start, and again after a failed call or a broken subscription. It does no I/O and reads no clock. The caller passes in
// the time and makes the calls.
package subscription

import "time"

// Limits of the pause after a failed call. One discovery service may serve all dispatchers and take their calls one after
// another. Each call that it rejects, or that its caller abandons, then takes time from the calls of others, so the pause
// grows quickly. Its maximum is short, since the dispatcher doesn't learn which endpoints drain until a call succeeds.
const (
	// MinPause is the pause after the first failure. It doubles with each further one. With Subscription.Random up to half
	// of a pause is left out at random.
	MinPause = 50 * time.Millisecond
	// MaxPause is the longest pause.
	MaxPause = time.Second
)

// Subscription tracks whether one dispatcher is subscribed to one discovery service. The zero value is not subscribed and
// may start a call at once. It is not safe for concurrent use.
type Subscription struct {
	// Random returns random numbers from 0 to below 1, which shorten the pauses by up to half, so that dispatchers that were
	// rejected at the same time don't retry at the same time. If it is nil, pauses are not shortened.
	Random func() float64

	state state
	pause time.Duration
	due   time.Time
}

type state uint8

const (
	idle       state = iota // no call is open; the next one may start when due
	asking                  // a call is open
	subscribed              // discovery sends changes
)

// StartCall reports whether to start a call now. If so, the call counts as started, and CallSucceeded or CallFailed must
// follow.
func (s *Subscription) StartCall(now time.Time) bool {
	if s.state != idle || now.Before(s.due) {
		return false
	}
	s.state = asking
	return true
}

// CallSucceeded records the response to a call, or a change that discovery has sent.
func (s *Subscription) CallSucceeded() { s.state, s.pause = subscribed, 0 }

// CallFailed records the failure of a call or the end of a subscription. It returns the time of the next call.
func (s *Subscription) CallFailed(now time.Time) time.Time {
	if s.state == idle { // the same failure may be reported twice
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

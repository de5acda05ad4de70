// Package pace provides a token bucket whose rate may change linearly with time. Such a rate describes the share of a
// demand that grows back after a reduction, or the ramp after an outage. The package has no clock and does no I/O: its user
// passes the time and sets the rate.
//
// Between two changes, everything that a Bucket returns depends on the time alone. Reading a Bucket does not modify
// it, so what it permits does not depend on how often or when it is read. A change (SetRate, Take, PutBack, Cap) adds
// the tokens that have come since the last change, which rounds as float64 does: after n changes, a level of up to m
// tokens is off by at most n x m x 2^-50 (checked by TestAnyCutGivesTheSame).
package pace

import "math"

// Time is an instant on the caller's clock, or a duration, in microseconds.
type Time int64

// Units of Time, and a time that is never reached.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
	Never       Time = math.MaxInt64
)

// Seconds returns a duration in seconds.
func (t Time) Seconds() float64 { return float64(t) / float64(Second) }

// Since returns the time that has passed since from: 0 if t is not later, and Never where the difference overflows.
func (t Time) Since(from Time) Time {
	if t <= from {
		return 0
	}
	if elapsed := t - from; elapsed > 0 {
		return elapsed
	}
	return Never
}

// After returns the time a duration later, and Never where the sum overflows.
func (t Time) After(duration Time) Time {
	if duration > 0 && t > Never-duration {
		return Never
	}
	return t + duration
}

// Rate is a rate in tokens a second that may change linearly with time. It starts at From, changes by Rise each
// second until it reaches End, and stays there. A negative Rise lowers it. If Rise leads away from End, the rate is
// End from the start. The zero Rate permits nothing. Neither From nor End may be negative.
type Rate struct{ From, Rise, End float64 }

// Constant returns a rate that does not change.
func Constant(r float64) Rate { return Rate{From: r, End: r} }

// changeDuration returns the number of seconds until the rate stops changing.
func (r Rate) changeDuration() float64 {
	if change := r.End - r.From; change*r.Rise > 0 {
		return change / r.Rise
	} else if r.Rise == 0 && change > 0 {
		return math.Inf(1) // it never reaches End
	}
	return 0
}

// At returns the rate after the given number of seconds.
func (r Rate) At(seconds float64) float64 {
	if seconds >= r.changeDuration() {
		return r.End
	}
	return r.From + r.Rise*seconds
}

// Tokens returns the number of tokens that come in the given number of seconds from the start.
func (r Rate) Tokens(seconds float64) float64 {
	changeSeconds := r.changeDuration()
	if seconds <= changeSeconds {
		return seconds * (r.From + r.Rise*seconds/2)
	}
	return changeSeconds*(r.From+r.End)/2 + (seconds-changeSeconds)*r.End
}

// SecondsUntil returns the number of seconds after which that many tokens have come, +Inf if they never do.
func (r Rate) SecondsUntil(tokens float64) float64 {
	if tokens <= 0 {
		return 0
	}
	changeSeconds := r.changeDuration()
	tokensDuringChange := changeSeconds * (r.From + r.End) / 2
	if changeSeconds > 0 && tokens <= tokensDuringChange {
		// Solves tokens = From x s + Rise x s x s / 2 for s, in the form that loses no digits when Rise is close to 0.
		return 2 * tokens / (r.From + math.Sqrt(max(r.From*r.From+2*r.Rise*tokens, 0)))
	}
	if r.End <= 0 {
		return math.Inf(1)
	}
	return changeSeconds + (tokens-tokensDuringChange)/r.End
}

// Bucket is a token bucket: tokens come at a rate, up to its capacity. One token permits one call. The level is
// negative after more tokens were taken than there were. The zero Bucket is empty and stays so.
type Bucket struct {
	level, capacity float64
	updatedAt       Time
	rate            Rate // from updatedAt on
}

// NewBucket returns a Bucket with a level. No tokens come until SetRate gives it a rate.
func NewBucket(now Time, level float64) Bucket {
	return Bucket{level: level, capacity: max(level, 1), updatedAt: now}
}

// SetRate sets the capacity, and the rate from the time from on. The bucket keeps the tokens that have come until
// now, up to the new capacity. If from is later than now, the tokens that come at the initial rate until then are
// added at once: a user that has to wait until from finds them there when the wait ends. They are not added again if
// an earlier SetRate did so for the same time.
func (b *Bucket) SetRate(now, from Time, rate Rate, capacity float64) {
	b.advance(now)
	if wait := from.Since(b.updatedAt); wait > 0 {
		b.level = max(b.level, min(b.level+rate.At(0)*wait.Seconds(), capacity))
		b.updatedAt = from
	}
	b.level = min(b.level, capacity)
	b.rate, b.capacity = rate, capacity
}

// Level returns the number of tokens at a time.
func (b *Bucket) Level(now Time) float64 {
	if now <= b.updatedAt {
		return b.level
	}
	return min(b.level+b.rate.Tokens(now.Since(b.updatedAt).Seconds()), max(b.capacity, b.level))
}

// Full reports whether the bucket holds as many tokens as it can.
func (b *Bucket) Full(now Time) bool { return b.Level(now) >= b.capacity }

// HasToken reports whether there is a token for a call.
func (b *Bucket) HasToken(now Time) bool { return b.Level(now) >= 1 }

// Take removes n tokens, even if there are fewer: the level is negative then.
func (b *Bucket) Take(now Time, n float64) {
	b.advance(now)
	b.level -= n
}

// PutBack puts n tokens back, up to the capacity.
func (b *Bucket) PutBack(now Time, n float64) {
	b.advance(now)
	b.level = max(b.level, min(b.level+n, b.capacity))
}

// Cap lowers the level to at most the given one.
func (b *Bucket) Cap(now Time, level float64) {
	b.advance(now)
	b.level = min(b.level, level)
}

// advance adds the tokens that have come until now, and makes the rate start from its present value.
func (b *Bucket) advance(now Time) {
	if now <= b.updatedAt {
		return
	}
	b.level = b.Level(now)
	b.rate.From = b.rate.At(now.Since(b.updatedAt).Seconds())
	b.updatedAt = now
}

// NextAt returns the first time, now or later, at which there is a token if nothing changes until then. It returns
// Never if there will be none.
func (b *Bucket) NextAt(now Time) Time {
	if b.HasToken(now) {
		return now
	}
	if b.capacity < 1 {
		return Never
	}
	seconds := b.rate.SecondsUntil(1 - b.level)
	if !(seconds < float64(Never/2)/float64(Second)) {
		return Never
	}
	at := max(now, b.updatedAt.After(Time(seconds*float64(Second))))
	// SecondsUntil and Tokens may round differently in their last bits, so at may be slightly off. Steps of doubling
	// length find the exact microsecond.
	step := Time(1)
	for !b.HasToken(at) {
		if at == Never || step > Second {
			return at
		}
		at, step = at.After(step), 2*step
	}
	for step = 1; at > now && b.HasToken(at-1); {
		earlier := max(now, at-step)
		if step *= 2; !b.HasToken(earlier) {
			step = 1
			earlier = at - 1
		}
		at = earlier
	}
	return at
}

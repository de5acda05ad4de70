// Package pace reckons how many calls may have gone by a moment, where what permits them is a function of time: a token
// bucket, a share of a demand that grows back, a ramp after an outage. It has no clock, does no I/O and decides nothing:
// its user says which rate holds from when on.
//
// All that is asked of a Bucket between two changes is a function of the moment alone: looking at one changes nothing, so
// that what it permits does not depend on how often, or when, anybody looked. A change (Set, Take, Give) settles what has
// gathered by then. A settlement rounds as float64 does: after n of them a level of up to m tokens is off by no more than
// n x m x 2^-50 (TestAnyCutGivesTheSame holds it to that).
package pace

import "math"

// Time is an instant on the caller's clock, or a span, in microseconds.
type Time int64

// Units of Time, and one that is later than any other.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
	Never       Time = math.MaxInt64
)

// Seconds is a span in seconds.
func (t Time) Seconds() float64 { return float64(t) / float64(Second) }

// Since is the span from one moment to another, 0 if the other is not later, and no more than a number holds.
func (t Time) Since(from Time) Time {
	if t <= from {
		return 0
	}
	if span := t - from; span > 0 {
		return span
	}
	return Never
}

// After is the moment a span later, Never if no number holds it.
func (t Time) After(span Time) Time {
	if span > 0 && t > Never-span {
		return Never
	}
	return t + span
}

// Rate is one that may change evenly with time: From at first, then Rise more with each second (less, if that is
// negative) until it comes to End, where it stays. Where End lies on the other side of From it is End from the first on.
// The zero Rate permits nothing. Rates are in tokens a second; neither From nor End is negative.
type Rate struct{ From, Rise, End float64 }

// Constant is a rate that does not change.
func Constant(r float64) Rate { return Rate{From: r, End: r} }

// changes is for how many seconds it does.
func (r Rate) changes() float64 {
	if way := r.End - r.From; way*r.Rise > 0 {
		return way / r.Rise
	} else if r.Rise == 0 && way > 0 {
		return math.Inf(1) // it never comes to its end
	}
	return 0
}

// At is the rate so many seconds on.
func (r Rate) At(s float64) float64 {
	if s >= r.changes() {
		return r.End
	}
	return r.From + r.Rise*s
}

// Tokens is how many tokens come in the first s seconds.
func (r Rate) Tokens(s float64) float64 {
	turn := r.changes()
	if s <= turn {
		return s * (r.From + r.Rise*s/2)
	}
	return turn*(r.From+r.End)/2 + (s-turn)*r.End
}

// SecondsUntil is after how many seconds n tokens have come; +Inf if they never do.
func (r Rate) SecondsUntil(n float64) float64 {
	if n <= 0 {
		return 0
	}
	turn := r.changes()
	before := turn * (r.From + r.End) / 2
	if turn > 0 && n <= before {
		// n = From x s + Rise x s x s / 2, in the form that loses no digits where the rate hardly changes
		return 2 * n / (r.From + math.Sqrt(max(r.From*r.From+2*r.Rise*n, 0)))
	}
	if r.End <= 0 {
		return math.Inf(1)
	}
	return turn + (n-before)/r.End
}

// Bucket holds tokens that come at a rate, a certain number at most. One token permits one call. The level may be below
// zero where more was taken than was there. The zero Bucket is empty and stays so.
type Bucket struct {
	level, most float64
	at          Time
	rate        Rate // from at on
}

// NewBucket returns one with a level, and nothing coming in until Set says so.
func NewBucket(now Time, level float64) Bucket {
	return Bucket{level: level, most: max(level, 1), at: now}
}

// SetRate changes the rate and the most tokens that are held, from a moment on. What has gathered by now stays, as far as it
// may. Where from is later than now, what the rate gives at first is credited for the time in between at once, as far as
// that was not done before: a user who can't take anything before from (a wait binds it) has it when that comes.
func (b *Bucket) SetRate(now, from Time, r Rate, most float64) {
	b.settle(now)
	if ahead := from.Since(b.at); ahead > 0 {
		b.level = max(b.level, min(b.level+r.At(0)*ahead.Seconds(), most))
		b.at = from
	}
	b.level = min(b.level, most)
	b.rate, b.most = r, most
}

// Level is how many tokens are there at a moment.
func (b *Bucket) Level(now Time) float64 {
	if now <= b.at {
		return b.level
	}
	return min(b.level+b.rate.Tokens(now.Since(b.at).Seconds()), max(b.most, b.level))
}

// Full tells that no more tokens are held.
func (b *Bucket) Full(now Time) bool { return b.Level(now) >= b.most }

// HasToken tells whether a call may go.
func (b *Bucket) HasToken(now Time) bool { return b.Level(now) >= 1 }

// Take takes n tokens, whether they are there or not.
func (b *Bucket) Take(now Time, n float64) {
	b.settle(now)
	b.level -= n
}

// PutBack puts n tokens back, as far as they may be held.
func (b *Bucket) PutBack(now Time, n float64) {
	b.settle(now)
	b.level = max(b.level, min(b.level+n, b.most))
}

// Cap takes away what is above a level.
func (b *Bucket) Cap(now Time, level float64) {
	b.settle(now)
	b.level = min(b.level, level)
}

// settle makes now the moment from which on all is reckoned.
func (b *Bucket) settle(now Time) {
	if now <= b.at {
		return
	}
	b.level = b.Level(now)
	b.rate.From = b.rate.At(now.Since(b.at).Seconds())
	b.at = now
}

// NextAt is the first moment, now or later, at which Has tells true while nothing changes; Never if there is none.
func (b *Bucket) NextAt(now Time) Time {
	if b.HasToken(now) {
		return now
	}
	if b.most < 1 {
		return Never
	}
	s := b.rate.SecondsUntil(1 - b.level)
	if !(s < float64(Never/2)/float64(Second)) {
		return Never
	}
	at := max(now, b.at.After(Time(s*float64(Second))))
	// The root and the sum may differ in their last bits: by so much at most, which a few steps of doubled length bridge.
	step := Time(1)
	for !b.HasToken(at) {
		if at == Never || step > Second {
			return at
		}
		at, step = at.After(step), 2*step
	}
	for step = 1; at > now && b.HasToken(at-1); {
		back := max(now, at-step)
		if step *= 2; !b.HasToken(back) {
			step = 1
			back = at - 1
		}
		at = back
	}
	return at
}

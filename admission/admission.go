// Package admission limits new messages while the process itself is overloaded, that is, while its work waits for a CPU
// core. It knows nothing of the messages, reads no clock, does no I/O and starts no goroutine. The caller reports the
// measured delays, the number of completed messages and each request for admission.
//
// While the process keeps up, every message is admitted. Once all measured delays have been too long for a while, each
// completed message admits about one new message: fewer than one while delays are long, more than one while they are
// short. This keeps as many messages in the process as the core can handle, without a configured rate. When no message
// has been rejected for a while, the limit ends.
package admission

import "curlewmux/control"

// Time is an instant or a span, in microseconds.
type Time = control.Time

// Settings configures a Gate. A field that is 0 means its default.
type Settings struct {
	LateAfter      Time    // delays up to this are normal
	SustainedAfter Time    // all delays must have been longer than Late for this time before messages are rejected
	MinRate        float64 // messages a second that are always admitted, since so few don't cause an overload
}

// Defaults of the settings.
const (
	defaultLate    = 20 * control.Millisecond
	defaultLasting = 200 * control.Millisecond
	defaultFloor   = 250
)

const (
	often    = 3                         // consecutive long delays before messages are rejected; a single one is a pause of the process
	stale    = 2 * control.Second        // a longer gap between two long delays means that they are separate pauses
	interval = 100 * control.Millisecond // between two evaluations of completed and rejected messages
	loose    = 10                        // consecutive intervals without a rejection after which the limit ends
	bank     = 64                        // tokens that can be saved up, which limits a burst, or ...
	share    = 1.0 / 10                  // ... this part of the messages completed in the last interval if that is more
	again    = control.Second            // retry delay for a rejected message
)

// Gate decides on admission for one process. It is created by New. It is not safe for concurrent use.
type Gate struct {
	set     Settings
	limited bool
	tokens  float64 // messages that may be admitted now
	per     float64 // tokens added for each completed message
	at      Time    // when the tokens of the minimum rate were last added
	most    float64 // limit of tokens

	// Since the last normal delay:

	row   int  // number of consecutive long delays
	began Time // when the first of them started
	last  Time // when the last of them was reported

	// In the current interval:

	since  Time // its start
	done   int  // completed messages
	turned int  // rejected messages

	calm int // consecutive intervals without a rejection
}

// New creates a gate. It admits every message until long delays are reported.
func New(s Settings) *Gate {
	if s.LateAfter == 0 {
		s.LateAfter = defaultLate
	}
	if s.SustainedAfter == 0 {
		s.SustainedAfter = defaultLasting
	}
	if s.MinRate == 0 {
		s.MinRate = defaultFloor
	}
	return &Gate{set: s, most: bank}
}

// ObserveDelay records how long something that was ready to run has waited for a core.
func (g *Gate) ObserveDelay(now, by Time) {
	g.roll(now)
	g.per = g.allow(by)
	if by <= g.set.LateAfter {
		g.row = 0
		return
	}
	if g.row == 0 || now-by-g.last > stale {
		g.row, g.began = 0, now-by
	}
	g.row, g.last = g.row+1, now
	if !g.limited && g.row >= often && now-g.began >= g.set.SustainedAfter {
		g.limited, g.at, g.tokens, g.calm = true, now, bank, 0
	}
}

// allow returns the number of tokens for each completed message at the given delay.
func (g *Gate) allow(late Time) float64 {
	t := g.set.LateAfter
	switch {
	case late <= t/4:
		return 2
	case late <= t/2:
		return 1.2
	case late <= t:
		return 1.02
	case late <= 2*t:
		return 0.9
	}
	return 0.6
}

// Completed records that n accepted messages have ended with any other disposition than refused.
func (g *Gate) Completed(now Time, n int) {
	g.roll(now)
	g.done += n
	if g.limited {
		g.tokens = min(g.tokens+float64(n)*g.per, g.most)
	}
}

// Admit decides whether a message is admitted. If not, after is the time that the client should wait before it retries.
func (g *Gate) Admit(now Time) (ok bool, after Time) {
	g.roll(now)
	if !g.limited {
		return true, 0
	}
	if gone := now - g.at; gone > 0 {
		g.tokens = min(g.tokens+g.set.MinRate*seconds(gone), g.most)
		g.at = now
	}
	if g.tokens < 1 {
		g.turned++
		return false, again
	}
	g.tokens--
	return true, 0
}

// Limited reports whether messages may be rejected at present.
func (g *Gate) Limited() bool { return g.limited }

// roll evaluates the interval if it has ended, and starts the next one.
func (g *Gate) roll(now Time) {
	if now-g.since < interval {
		return
	}
	g.most = max(bank, float64(g.done)*share)
	if g.turned > 0 {
		g.calm = 0
	} else if g.calm++; g.calm >= loose {
		g.limited = false
	}
	g.since, g.done, g.turned = now, 0, 0
}

func seconds(t Time) float64 { return float64(t) / float64(control.Second) }

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
	SustainedAfter Time    // all delays must have been longer than LateAfter for this time before messages are rejected
	MinRate        float64 // messages a second that are always admitted, since so few don't cause an overload
}

// Defaults of the settings.
const (
	defaultLateAfter      = 20 * control.Millisecond
	defaultSustainedAfter = 200 * control.Millisecond
	defaultMinRate        = 250
)

const (
	minLongDelays      = 3                         // consecutive long delays before messages are rejected; a single one is a pause of the process
	maxDelayGap        = 2 * control.Second        // a longer gap between two long delays means that they are separate pauses
	evaluationInterval = 100 * control.Millisecond // between two evaluations of completed and rejected messages
	calmIntervalsToEnd = 10                        // consecutive intervals without a rejection after which the limit ends
	minTokenLimit      = 64                        // minimum of the limit on saved-up tokens; that limit bounds a burst
	tokenShare         = 1.0 / 10                  // that limit, as a part of the messages completed in the last interval, if that is more
	retryAfter         = control.Second            // retry delay for a rejected message
)

// Gate decides on admission for one process. It is created by New. It is not safe for concurrent use.
type Gate struct {
	settings            Settings
	limited             bool
	tokens              float64 // messages that may be admitted now
	tokensPerCompletion float64 // tokens added for each completed message
	refilledAt          Time    // when the tokens of the minimum rate were last added
	maxTokens           float64 // limit of tokens

	// Since the last normal delay:

	longDelays    int  // number of consecutive long delays
	delayedSince  Time // when the first of them started
	lastLongDelay Time // when the last of them was reported

	// In the current interval:

	intervalStart Time // its start
	completed     int  // completed messages
	rejected      int  // rejected messages

	calmIntervals int // consecutive intervals without a rejection
}

// New creates a gate. It admits every message until long delays are reported.
func New(s Settings) *Gate {
	if s.LateAfter == 0 {
		s.LateAfter = defaultLateAfter
	}
	if s.SustainedAfter == 0 {
		s.SustainedAfter = defaultSustainedAfter
	}
	if s.MinRate == 0 {
		s.MinRate = defaultMinRate
	}
	return &Gate{settings: s, maxTokens: minTokenLimit}
}

// ObserveDelay records how long something that was ready to run has waited for a core.
func (g *Gate) ObserveDelay(now, delay Time) {
	g.endInterval(now)
	g.tokensPerCompletion = g.tokensFor(delay)
	if delay <= g.settings.LateAfter {
		g.longDelays = 0
		return
	}
	if g.longDelays == 0 || now-delay-g.lastLongDelay > maxDelayGap {
		g.longDelays, g.delayedSince = 0, now-delay
	}
	g.longDelays, g.lastLongDelay = g.longDelays+1, now
	if !g.limited && g.longDelays >= minLongDelays && now-g.delayedSince >= g.settings.SustainedAfter {
		g.limited, g.refilledAt, g.tokens, g.calmIntervals = true, now, minTokenLimit, 0
	}
}

// tokensFor returns the number of tokens for each completed message at the given delay.
func (g *Gate) tokensFor(late Time) float64 {
	t := g.settings.LateAfter
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
	g.endInterval(now)
	g.completed += n
	if g.limited {
		g.tokens = min(g.tokens+float64(n)*g.tokensPerCompletion, g.maxTokens)
	}
}

// Admit decides whether a message is admitted. If not, after is the time that the client should wait before it retries.
func (g *Gate) Admit(now Time) (ok bool, after Time) {
	g.endInterval(now)
	if !g.limited {
		return true, 0
	}
	if elapsed := now - g.refilledAt; elapsed > 0 {
		g.tokens = min(g.tokens+g.settings.MinRate*seconds(elapsed), g.maxTokens)
		g.refilledAt = now
	}
	if g.tokens < 1 {
		g.rejected++
		return false, retryAfter
	}
	g.tokens--
	return true, 0
}

// Limited reports whether messages may be rejected at present.
func (g *Gate) Limited() bool { return g.limited }

// endInterval evaluates the interval if it has ended, and starts the next one.
func (g *Gate) endInterval(now Time) {
	if now-g.intervalStart < evaluationInterval {
		return
	}
	g.maxTokens = max(minTokenLimit, float64(g.completed)*tokenShare)
	if g.rejected > 0 {
		g.calmIntervals = 0
	} else if g.calmIntervals++; g.calmIntervals >= calmIntervalsToEnd {
		g.limited = false
	}
	g.intervalStart, g.completed, g.rejected = now, 0, 0
}

func seconds(t Time) float64 { return float64(t) / float64(control.Second) }

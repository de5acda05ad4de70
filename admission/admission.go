// Package admission decides whether new work is taken while the process itself is what is late: whether there is a core
// for it. It knows nothing of messages, and has no clock, no I/O and no goroutines: it is told how late things are, what
// has ended, and who asks.
//
// As long as the process keeps up nobody is turned away. Once everything has been late for a while, what ends lets new
// work in: about one for one, less where all is late, more where it is not. So as much is held as lets the core do what it
// can, without a rate that would have to be guessed. When nobody has been turned away for a while the process keeps up
// again.
package admission

import "curlewmux/control"

// Time is an instant or a span, in microseconds.
type Time = control.Time

// Settings are told once, at the start. Where one is 0 its default counts.
type Settings struct {
	LateAfter      Time    // what waits no longer for a core is in time
	SustainedAfter Time    // lateness counts if all that is told for so long is late: shorter ones are pauses
	MinRate        float64 // so many a second are always taken: they are not what makes the process late
}

// Defaults of the settings.
const (
	defaultLate    = 20 * control.Millisecond
	defaultLasting = 200 * control.Millisecond
	defaultFloor   = 250
)

const (
	often    = 3                         // late ones in a row, at least, before anybody is turned away: one is a pause
	stale    = 2 * control.Second        // what was told so long ago tells nothing of now
	interval = 100 * control.Millisecond // after which what has ended and who was turned away is looked at ...
	loose    = 10                        // ... and after so many without anybody turned away all are taken
	bank     = 64                        // may come at once, or
	share    = 1.0 / 10                  // this part of what ended in the last interval, if that is more
	again    = control.Second            // what those are told to wait who are turned away
)

// Gate decides for one process. New makes one. It is not safe for concurrent use.
type Gate struct {
	set     Settings
	limited bool
	tokens  float64 // how many may come
	per     float64 // new ones for each that ends
	at      Time    // when the floor's tokens were reckoned
	most    float64 // tokens

	// Since the last that was in time.
	row   int  // how often something was late
	began Time // since when the first of these waited
	last  Time // when the last was told

	// Of the interval at hand.
	since  Time
	done   int
	turned int
	calm   int // intervals in a row in which nobody was turned away
}

// New makes a gate that takes everything until it is told of lateness.
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

// ObserveDelay tells how long something that was to run at once has waited for a core.
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

// allow is how many may come for each that ends, where things are so late.
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

// Completed tells that so many messages have ended otherwise than by being handed back.
func (g *Gate) Completed(now Time, n int) {
	g.roll(now)
	g.done += n
	if g.limited {
		g.tokens = min(g.tokens+float64(n)*g.per, g.most)
	}
}

// Admit tells whether one more message may be taken, and if not, after how long it may come again.
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

// Limited tells whether anybody may be turned away.
func (g *Gate) Limited() bool { return g.limited }

// roll looks at the interval that is over.
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

package control

import (
	"cmp"
	"math"
	"slices"
)

// This file schedules the timeout scans of the calls that are out, and finds the destination with the message that is
// worth least. It makes no decision: destinations that it leaves out are those that watch would not change, or that shed
// would not choose.

// lookout schedules for each destination with calls out the next time at which watch may have something to do. The times
// are computed with a response timeout that is never longer than the actual one. When the actual one becomes shorter than
// planned, all destinations are scanned and scheduled again.
type lookout struct {
	calm   order[Time] // scan times while no message waits for a slot
	rushed order[Time] // scan times while messages wait for slots, when timeouts are shorter
	due    []*dest     // destinations to scan in this round
	top    float64     // share of lost responses that the plan assumes
	devs   float64     // deviations of the latency that the plan assumes
}

// Margins of the plan. They make it rarely necessary to compute it again, and change no decision.
const (
	topMargin = 2.5
	topSlack  = 6
	lowMargin = 0.9
	lowSlack  = 1.25
)

func newLookout() lookout {
	l := lookout{}
	l.calm.no, l.rushed.no = inCalm, inRushed
	return l
}

// watches scans the calls out for timeouts, in the order in which their destinations became active.
func (d *Dispatcher) watches() {
	d.due = d.due[:0]
	if d.shorter() {
		d.allOut(0)
	} else {
		o := &d.calm
		if d.short {
			o = &d.rushed
		}
		for len(d.due) < looksAtOnce && o.isDue(d.now) {
			d.due = append(d.due, o.due(d.now))
		}
		d.more = d.more || o.isDue(d.now)
		slices.SortFunc(d.due, func(a, b *dest) int { return cmp.Compare(a.seq, b.seq) })
	}
	for i := 0; i < len(d.due); i++ {
		t := d.due[i]
		d.rouse(t)
		d.watch(t)
		d.weigh(t)
		d.expect(t)
		if d.shorter() {
			d.allOut(t.seq)
			i = -1
		}
	}
	clear(d.due)
}

// allOut makes all destinations with calls out due that became active after a given one. The others, and those that are too
// many for one Step, are due in the next round.
func (d *Dispatcher) allOut(after uint64) {
	d.due = d.due[:0]
	for i := range d.turns.list {
		if t := d.turns.list[i].t; t.w > 0 && t.seq > after {
			d.due = append(d.due, t)
		} else if t.w > 0 {
			d.watchBy(t, 0)
		}
	}
	slices.SortFunc(d.due, func(a, b *dest) int { return cmp.Compare(a.seq, b.seq) })
	if len(d.due) > looksAtOnce {
		for _, t := range d.due[looksAtOnce:] {
			d.watchBy(t, 0)
		}
		clear(d.due[looksAtOnce:])
		d.due = d.due[:looksAtOnce]
		d.more = true
	}
}

// watchBy schedules a scan of a destination for a time, unless one is scheduled sooner.
func (d *Dispatcher) watchBy(t *dest, at Time) {
	if t.w == 0 {
		d.calm.drop(t)
		d.rushed.drop(t)
		return
	}
	d.calm.sooner(t, at, t.seq)
	d.rushed.sooner(t, at, t.seq)
}

// expect schedules the next scan of a destination for the time at which watch may have something to do.
func (d *Dispatcher) expect(t *dest) {
	calm, short := d.nextLook(t)
	if d.calm.drop(t); calm < never {
		d.calm.put(t, calm, t.seq)
	}
	if d.rushed.drop(t); short < never {
		d.rushed.put(t, short, t.seq)
	}
}

// nextLook returns the times before which watch has nothing to do at a destination if no event comes: one for the case that
// no message waits for a slot, and one for the case that messages do.
func (d *Dispatcher) nextLook(t *dest) (calm, short Time) {
	calm, short = never, never
	low := t.kind.low
	if t.lat.n > 0 {
		low = silent(t.lat.mean, t.lat.dev, d.lookout.devs, t.lat.n)
	}
	after := func(c *call, patience float64) Time { return c.sent + Time(float64(low)*patience) }
	once := min(1, sureLost*d.top)
	for _, ep := range t.eps {
		if len(ep.calls) == 0 {
			continue
		}
		// For a suspect endpoint an older call may still show that it went down earlier.
		if old := ep.calls[0]; !ep.suspect || old.sent >= ep.failedAt || max(old.sent, ep.heard) < ep.downAt {
			at := max(old.sent, ep.heard) + low
			calm, short = min(calm, at), min(short, at)
		}
		for _, c := range ep.calls {
			if c.asked || !d.set.MayCancel || ep.okSent <= c.sent && !ep.suspect {
				continue
			}
			patience := stuckAfter - once
			rushed := max(1, patience-2/float64(d.set.Slots))
			if c.trial {
				patience = float64(1 + min(ep.bad, failStreak))
				rushed = patience
			}
			if c.bound(d.set.MaxTries) {
				short = min(short, after(c, rushed*(stuckAfter-once)))
			} else {
				calm, short = min(calm, after(c, patience)), min(short, after(c, rushed))
			}
		}
	}
	return calm, short
}

// shorter updates the plan, and reports whether response timeouts may have become shorter than it assumed.
func (d *Dispatcher) shorter() (anew bool) {
	if d.lost > d.top || d.lost < d.top/topSlack {
		anew = d.lost > d.top
		d.top = min(1, d.lost*topMargin)
		d.lookout.devs = min(devs, lostDevs-math.Log(d.top))
	}
	for _, k := range d.kinds {
		mean, dev := k.latency()
		if now := silent(mean, dev, d.lookout.devs, 0); now < k.low || float64(now) > lowSlack*float64(k.low) {
			anew = anew || now < k.low
			k.low = max(leastSilent, Time(float64(now)*lowMargin))
		}
	}
	return anew
}

// ---- the least worth ----

// values orders the destinations with queued messages by a lower bound of what their least valuable message is worth. The
// bound holds for a while, so only the first destinations have to be evaluated to find the least valuable message of all.
type values struct {
	worths   order[float64]    // by lower bound
	valued   order[Time]       // by the time until which the bound holds
	seen     []ranked[float64] // entries that a search has taken out of worths, to be put back
	shedding bool              // the orders are kept up to date: messages were shed not long ago
	shedAt   Time              // time of the last search
}

// valueFor is the longest time for which a lower bound is used.
const valueFor = Second / 2

func newValues() values {
	v := values{}
	v.worths.no, v.valued.no = inWorths, inValued
	return v
}

// revalue discards the lower bound of a destination, as its messages have changed.
func (d *Dispatcher) revalue(t *dest) {
	if !d.shedding {
		return
	}
	t.worstIn = 0
	if t.held > 0 {
		d.valued.put(t, 0, t.seq)
	} else {
		d.valued.drop(t)
		d.worths.drop(t)
	}
}

// worst returns the message that is worth least, the first one if several are worth the same, or nil if none may be shed.
func (d *Dispatcher) worst() *message {
	if d.shedAt = d.now; !d.shedding {
		d.shedding = true
		for i := range d.turns.list {
			d.revalue(d.turns.list[i].t)
		}
	}
	for {
		t := d.valued.due(d.now)
		if t == nil {
			break
		}
		until := d.now + valueFor/2 + Time(t.seq%64)*valueFor/128 // spread, so that not all expire at the same time
		_, now := d.cheapest(t, d.now)
		_, then := d.cheapest(t, until) // between the two times it is at least the lesser of the two
		d.worths.put(t, min(now, then), t.seq)
		d.valued.put(t, until, t.seq)
	}
	var worst *message
	least := ranked[float64]{key: math.Inf(1)}
	for len(d.worths.list) > 0 && d.worths.list[0].before(&least) {
		x := d.worths.list[0]
		t := x.t
		if t.worstIn != d.round {
			t.worstIn = d.round
			t.worst, t.worstAt = d.cheapest(t, d.now)
		}
		if v := (ranked[float64]{t.worstAt, t.seq, t}); t.worst != nil && v.before(&least) {
			worst, least = t.worst, v
		}
		d.worths.drop(t)
		d.seen = append(d.seen, x)
	}
	for _, x := range d.seen {
		d.worths.put(x.t, x.key, x.seq)
	}
	clear(d.seen)
	d.seen = d.seen[:0]
	return worst
}

// noShed drops the orders if nothing was shed for some time.
func (d *Dispatcher) noShed() {
	if d.shedding && d.now-d.shedAt >= seldom {
		d.shedding = false
		d.worths.clear()
		d.valued.clear()
	}
}

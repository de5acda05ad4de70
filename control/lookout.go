package control

import (
	"cmp"
	"math"
	"slices"
)

// When the calls that are out have to be judged next, and which destination has the least to lose. Nothing is decided
// here: a destination that is left out is one that watch would leave as it is, or one that shed would pass over.

// timeoutScan knows when watch can do something at all. What it is told are times before which it can't, reckoned with a
// silence that is no longer than the true one; where that gets shorter than was reckoned with, all are looked at anew.
type timeoutScan struct {
	normalScans       destinationHeap[Time] // while messages don't wait for slots
	shortageScans     destinationHeap[Time] // while they do: then patience is shorter
	dueScans          []*destination
	plannedLoss       float64 // share of lost answers reckoned with
	plannedDeviations float64 // deviations of latency reckoned with
}

// Margins of what is reckoned with, so that it seldom has to be reckoned anew. They change no decision.
const (
	lossMargin    = 2.5
	lossSlack     = 6
	timeoutMargin = 0.9
	timeoutSlack  = 1.25
)

func newTimeoutScan() timeoutScan {
	l := timeoutScan{}
	l.normalScans.index, l.shortageScans.index = normalScanHeap, shortageScanHeap
	return l
}

// scanTimeouts judges the calls out, in the order in which their destinations came into use.
func (d *Dispatcher) scanTimeouts() {
	d.dueScans = d.dueScans[:0]
	if d.replanTimeouts() {
		d.scanAll(0)
	} else {
		o := &d.normalScans
		if d.slotsShort {
			o = &d.shortageScans
		}
		for len(d.dueScans) < maxScansPerStep && o.isDue(d.now) {
			d.dueScans = append(d.dueScans, o.popDue(d.now))
		}
		d.moreWork = d.moreWork || o.isDue(d.now)
		slices.SortFunc(d.dueScans, func(a, b *destination) int { return cmp.Compare(a.activation, b.activation) })
	}
	for i := 0; i < len(d.dueScans); i++ {
		t := d.dueScans[i]
		d.wakeDestination(t)
		d.checkCalls(t)
		d.countUnhealthyCalls(t)
		d.rescheduleScan(t)
		if d.replanTimeouts() {
			d.scanAll(t.activation)
			i = -1
		}
	}
	clear(d.dueScans)
}

// scanAll makes all destinations with calls out due that came into use after one; the others are in the next round.
func (d *Dispatcher) scanAll(after uint64) {
	d.dueScans = d.dueScans[:0]
	for i := range d.active.entries {
		if t := d.active.entries[i].destination; t.callsOut > 0 && t.activation > after {
			d.dueScans = append(d.dueScans, t)
		} else if t.callsOut > 0 {
			d.scheduleScan(t, 0)
		}
	}
	slices.SortFunc(d.dueScans, func(a, b *destination) int { return cmp.Compare(a.activation, b.activation) })
	if len(d.dueScans) > maxScansPerStep {
		for _, t := range d.dueScans[maxScansPerStep:] {
			d.scheduleScan(t, 0)
		}
		clear(d.dueScans[maxScansPerStep:])
		d.dueScans = d.dueScans[:maxScansPerStep]
		d.moreWork = true
	}
}

// scheduleScan has a destination watched at a time, or sooner.
func (d *Dispatcher) scheduleScan(t *destination, at Time) {
	if t.callsOut == 0 {
		d.normalScans.remove(t)
		d.shortageScans.remove(t)
		return
	}
	d.normalScans.lowerKey(t, at, t.activation)
	d.shortageScans.lowerKey(t, at, t.activation)
}

// rescheduleScan has a destination watched when watch may do something there.
func (d *Dispatcher) rescheduleScan(t *destination) {
	calm, short := d.nextScan(t)
	if d.normalScans.remove(t); calm < never {
		d.normalScans.set(t, calm, t.activation)
	}
	if d.shortageScans.remove(t); short < never {
		d.shortageScans.set(t, short, t.activation)
	}
}

// nextScan is a time before which watch can do nothing at a destination of which nothing is heard.
func (d *Dispatcher) nextScan(t *destination) (calm, short Time) {
	calm, short = never, never
	low := t.kind.timeoutFloor
	if t.latencyStats.samples > 0 {
		low = timeoutFor(t.latencyStats.mean, t.latencyStats.deviation, d.timeoutScan.plannedDeviations, t.latencyStats.samples)
	}
	after := func(c *call, patience float64) Time { return c.sentAt + Time(float64(low)*patience) }
	once := min(1, failuresPerLostShare*d.plannedLoss)
	for _, ep := range t.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		// Of a suspect one an older call can still tell that it was down sooner.
		if old := ep.calls[0]; !ep.suspect || old.sentAt >= ep.lastFailureAt || max(old.sentAt, ep.lastResponseAt) < ep.downSince {
			at := max(old.sentAt, ep.lastResponseAt) + low
			calm, short = min(calm, at), min(short, at)
		}
		for _, c := range ep.calls {
			if c.cancelRequested || !d.settings.MayCancel || ep.lastOKSentAt <= c.sentAt && !ep.suspect {
				continue
			}
			patience := stuckTimeouts - once
			rushed := max(1, patience-2/float64(d.settings.Slots))
			if c.trial {
				patience = float64(1 + min(ep.failureStreak, errorStreakLimit))
				rushed = patience
			}
			if c.unrepeatable(d.settings.MaxTries) {
				short = min(short, after(c, rushed*(stuckTimeouts-once)))
			} else {
				calm, short = min(calm, after(c, patience)), min(short, after(c, rushed))
			}
		}
	}
	return calm, short
}

// replanTimeouts tells whether silences may be shorter than was reckoned with, and reckons anew.
func (d *Dispatcher) replanTimeouts() (anew bool) {
	if d.lostShare > d.plannedLoss || d.lostShare < d.plannedLoss/lossSlack {
		anew = d.lostShare > d.plannedLoss
		d.plannedLoss = min(1, d.lostShare*lossMargin)
		d.timeoutScan.plannedDeviations = min(timeoutDeviations, lostDeviations-math.Log(d.plannedLoss))
	}
	for _, k := range d.kinds {
		mean, dev := k.latency()
		if now := timeoutFor(mean, dev, d.timeoutScan.plannedDeviations, 0); now < k.timeoutFloor || float64(now) > timeoutSlack*float64(k.timeoutFloor) {
			anew = anew || now < k.timeoutFloor
			k.timeoutFloor = max(minResponseTimeout, Time(float64(now)*timeoutMargin))
		}
	}
	return anew
}

// ---- the least worth ----

// worthIndex are the destinations with messages held by the least that one of their messages is worth, or will be within a
// while: the true least is among the first.
type worthIndex struct {
	byWorth     destinationHeap[float64]
	worthExpiry destinationHeap[Time] // until when that counts
	examined    []heapEntry[float64]
	shedding    bool
	lastShedAt  Time
}

// worthValidFor is how long what is reckoned of a destination's least worth counts, at most.
const worthValidFor = Second / 2

func newWorthIndex() worthIndex {
	v := worthIndex{}
	v.byWorth.index, v.worthExpiry.index = worthHeap, worthExpiryHeap
	return v
}

// invalidateWorth notes that what a destination's messages are worth may have changed.
func (d *Dispatcher) invalidateWorth(t *destination) {
	if !d.shedding {
		return
	}
	t.leastWorthRound = 0
	if t.queued > 0 {
		d.worthExpiry.set(t, 0, t.activation)
	} else {
		d.worthExpiry.remove(t)
		d.byWorth.remove(t)
	}
}

// leastWorthMessage is the message that is worth least, the first of those that are worth the same; nil if none may be handed back.
func (d *Dispatcher) leastWorthMessage() *message {
	if d.lastShedAt = d.now; !d.shedding {
		d.shedding = true
		for i := range d.active.entries {
			d.invalidateWorth(d.active.entries[i].destination)
		}
	}
	for {
		t := d.worthExpiry.popDue(d.now)
		if t == nil {
			break
		}
		until := d.now + worthValidFor/2 + Time(t.activation%64)*worthValidFor/128 // not all at the same time again
		_, now := d.leastValuable(t, d.now)
		_, then := d.leastValuable(t, until) // between the two it is no less than at one of them
		d.byWorth.set(t, min(now, then), t.activation)
		d.worthExpiry.set(t, until, t.activation)
	}
	var worst *message
	least := heapEntry[float64]{key: math.Inf(1)}
	for len(d.byWorth.entries) > 0 && d.byWorth.entries[0].less(&least) {
		x := d.byWorth.entries[0]
		t := x.destination
		if t.leastWorthRound != d.round {
			t.leastWorthRound = d.round
			t.leastWorthMessage, t.leastWorth = d.leastValuable(t, d.now)
		}
		if v := (heapEntry[float64]{t.leastWorth, t.activation, t}); t.leastWorthMessage != nil && v.less(&least) {
			worst, least = t.leastWorthMessage, v
		}
		d.byWorth.remove(t)
		d.examined = append(d.examined, x)
	}
	for _, x := range d.examined {
		d.byWorth.set(x.destination, x.key, x.seq)
	}
	clear(d.examined)
	d.examined = d.examined[:0]
	return worst
}

// stopShedding forgets what was reckoned, if nothing was shed for long.
func (d *Dispatcher) stopShedding() {
	if d.shedding && d.now-d.lastShedAt >= cleanupInterval {
		d.shedding = false
		d.byWorth.clear()
		d.worthExpiry.clear()
	}
}

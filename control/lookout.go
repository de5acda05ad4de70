package control

import (
	"cmp"
	"math"
	"slices"
)

// This file schedules the timeout scans of the calls that are out, and finds the destination with the message that is
// worth least. It makes no decision: it only leaves out destinations that checkCalls would not change, or that shed would
// not choose.

// timeoutScan schedules for each destination with calls out the next time at which checkCalls may have something to do. The
// times are computed with a response timeout that is never longer than the actual one. When the actual one becomes shorter
// than planned, all destinations are scanned and scheduled again.
type timeoutScan struct {
	normalScans       destinationHeap[Time] // scan times while no message waits for a slot
	shortageScans     destinationHeap[Time] // scan times while messages wait for slots, when timeouts are shorter
	dueScans          []*destination        // destinations to scan in this round
	plannedLoss       float64               // share of lost responses that the plan assumes
	plannedDeviations float64               // deviations of the latency that the plan assumes
}

// Margins of the plan. They make it rarely necessary to compute it again, and change no decision.
const (
	lossMargin    = 2.5  // the plan assumes this many times the current share of lost responses
	lossSlack     = 6    // it is renewed when the share falls below the assumed one by this factor
	timeoutMargin = 0.9  // the plan assumes this part of the current response timeout
	timeoutSlack  = 1.25 // it is renewed when the timeout exceeds the assumed one by this factor
)

func newTimeoutScan() timeoutScan {
	l := timeoutScan{}
	l.normalScans.index, l.shortageScans.index = normalScanHeap, shortageScanHeap
	return l
}

// scanTimeouts scans the calls out for timeouts, in the order in which their destinations became active.
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

// scanAll makes all destinations with calls out due that became active after a given one. The others, and those that are too
// many for one Step, are due in the next round.
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

// scheduleScan schedules a scan of a destination for a time, unless one is scheduled sooner.
func (d *Dispatcher) scheduleScan(t *destination, at Time) {
	if t.callsOut == 0 {
		d.normalScans.remove(t)
		d.shortageScans.remove(t)
		return
	}
	d.normalScans.lowerKey(t, at, t.activation)
	d.shortageScans.lowerKey(t, at, t.activation)
}

// rescheduleScan schedules the next scan of a destination for the time at which checkCalls may have something to do.
func (d *Dispatcher) rescheduleScan(t *destination) {
	calm, short := d.nextScan(t)
	if d.normalScans.remove(t); calm < never {
		d.normalScans.set(t, calm, t.activation)
	}
	if d.shortageScans.remove(t); short < never {
		d.shortageScans.set(t, short, t.activation)
	}
}

// nextScan returns the times before which checkCalls has nothing to do at a destination if no event comes: one for the case that
// no message waits for a slot, and one for the case that messages do.
func (d *Dispatcher) nextScan(t *destination) (normal, shortage Time) {
	normal, shortage = never, never
	timeout := t.kind.timeoutFloor
	if t.latencyStats.samples > 0 {
		timeout = timeoutFor(t.latencyStats.mean, t.latencyStats.deviation, d.timeoutScan.plannedDeviations, t.latencyStats.samples)
	}
	after := func(c *call, patience float64) Time { return c.sentAt + Time(float64(timeout)*patience) }
	once := min(1, failuresPerLostShare*d.plannedLoss)
	for _, ep := range t.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		// For a suspect endpoint an older call may still show that it went down earlier.
		if old := ep.calls[0]; !ep.suspect || old.sentAt >= ep.lastFailureAt || max(old.sentAt, ep.lastResponseAt) < ep.downSince {
			at := max(old.sentAt, ep.lastResponseAt) + timeout
			normal, shortage = min(normal, at), min(shortage, at)
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
				shortage = min(shortage, after(c, rushed*(stuckTimeouts-once)))
			} else {
				normal, shortage = min(normal, after(c, patience)), min(shortage, after(c, rushed))
			}
		}
	}
	return normal, shortage
}

// replanTimeouts updates the plan, and reports whether response timeouts may have become shorter than it assumed.
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

// worthIndex orders the destinations with queued messages by a lower bound of what their least valuable message is worth.
// The bound holds for a while, so only the first destinations have to be evaluated to find the least valuable message.
type worthIndex struct {
	byWorth     destinationHeap[float64] // by lower bound
	worthExpiry destinationHeap[Time]    // by the time until which the bound holds
	examined    []heapEntry[float64]     // entries that a search has taken out of byWorth, to be put back
	shedding    bool                     // the heaps are kept up to date: messages were shed not long ago
	lastShedAt  Time                     // time of the last search
}

// worthValidFor is the longest time for which a lower bound is used.
const worthValidFor = Second / 2

func newWorthIndex() worthIndex {
	v := worthIndex{}
	v.byWorth.index, v.worthExpiry.index = worthHeap, worthExpiryHeap
	return v
}

// invalidateWorth discards the lower bound of a destination, as its messages have changed.
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

// leastWorthMessage returns the message that is worth least, the first one if several are worth the same, or nil if none may be shed.
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
		until := d.now + worthValidFor/2 + Time(t.activation%64)*worthValidFor/128 // spread, so that not all expire at the same time
		_, now := d.leastValuable(t, d.now)
		_, then := d.leastValuable(t, until) // between the two times it is at least the lesser of the two
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

// stopShedding clears the heaps if nothing was shed for some time.
func (d *Dispatcher) stopShedding() {
	if d.shedding && d.now-d.lastShedAt >= cleanupInterval {
		d.shedding = false
		d.byWorth.clear()
		d.worthExpiry.clear()
	}
}

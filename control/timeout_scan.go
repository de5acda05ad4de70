package control

import (
	"cmp"
	"math"
	"slices"
)

// This file schedules the timeout scans of the calls that are out, and finds the queued message that is worth least. It
// makes no decision. It only leaves out destinations that checkCalls would not change, or that shed would not choose.

// timeoutScan schedules, for each destination with calls out, the next time at which checkCalls may have something to
// do. The times are computed with a planned response timeout that is never longer than the actual one. When the
// actual one falls below the planned one, all destinations are scanned and scheduled again.
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
	lossSlack     = 6    // the plan is renewed when the share falls below the assumed one by this factor
	timeoutMargin = 0.9  // the plan assumes this share of the current response timeout
	timeoutSlack  = 1.25 // the plan is renewed when the timeout exceeds the assumed one by this factor
)

func newTimeoutScan() timeoutScan {
	scan := timeoutScan{}
	scan.normalScans.index, scan.shortageScans.index = normalScanHeap, shortageScanHeap
	return scan
}

// scanTimeouts scans the calls out for timeouts, in the order in which their destinations became active.
func (d *Dispatcher) scanTimeouts() {
	d.dueScans = d.dueScans[:0]
	if d.replanTimeouts() {
		d.scanAll(0)
	} else {
		scans := &d.normalScans
		if d.slotsShort {
			scans = &d.shortageScans
		}
		for len(d.dueScans) < maxScansPerStep && scans.isDue(d.now) {
			d.dueScans = append(d.dueScans, scans.popDue(d.now))
		}
		d.moreWork = d.moreWork || scans.isDue(d.now)
		slices.SortFunc(d.dueScans, func(a, b *destination) int { return cmp.Compare(a.activation, b.activation) })
	}
	for i := 0; i < len(d.dueScans); i++ {
		dest := d.dueScans[i]
		d.wakeDestination(dest)
		d.checkCalls(dest)
		d.countUnhealthyCalls(dest)
		d.rescheduleScan(dest)
		if d.replanTimeouts() {
			d.scanAll(dest.activation)
			i = -1
		}
	}
	clear(d.dueScans)
}

// scanAll puts the destinations with calls out that became active after the given one into dueScans. The other ones
// with calls out, and those beyond maxScansPerStep, are scheduled for the next round.
func (d *Dispatcher) scanAll(after uint64) {
	d.dueScans = d.dueScans[:0]
	for i := range d.active.entries {
		if dest := d.active.entries[i].destination; dest.callsOut > 0 && dest.activation > after {
			d.dueScans = append(d.dueScans, dest)
		} else if dest.callsOut > 0 {
			d.scheduleScan(dest, 0)
		}
	}
	slices.SortFunc(d.dueScans, func(a, b *destination) int { return cmp.Compare(a.activation, b.activation) })
	if len(d.dueScans) > maxScansPerStep {
		for _, dest := range d.dueScans[maxScansPerStep:] {
			d.scheduleScan(dest, 0)
		}
		clear(d.dueScans[maxScansPerStep:])
		d.dueScans = d.dueScans[:maxScansPerStep]
		d.moreWork = true
	}
}

// scheduleScan schedules a scan of a destination for the given time, unless an earlier one is scheduled.
func (d *Dispatcher) scheduleScan(dest *destination, at Time) {
	if dest.callsOut == 0 {
		d.normalScans.remove(dest)
		d.shortageScans.remove(dest)
		return
	}
	d.normalScans.lowerKey(dest, at, dest.activation)
	d.shortageScans.lowerKey(dest, at, dest.activation)
}

// rescheduleScan schedules the next scan of a destination for the time at which checkCalls may have something to do.
func (d *Dispatcher) rescheduleScan(dest *destination) {
	normal, shortage := d.nextScan(dest)
	if d.normalScans.remove(dest); normal < never {
		d.normalScans.set(dest, normal, dest.activation)
	}
	if d.shortageScans.remove(dest); shortage < never {
		d.shortageScans.set(dest, shortage, dest.activation)
	}
}

// nextScan returns the times before which checkCalls has nothing to do at a destination if no event comes: normal holds
// while no message waits for a slot, shortage while messages wait for slots.
func (d *Dispatcher) nextScan(dest *destination) (normal, shortage Time) {
	normal, shortage = never, never
	timeout := dest.kind.timeoutFloor
	if dest.latencyStats.samples > 0 {
		timeout = timeoutFor(dest.latencyStats.mean, dest.latencyStats.deviation,
			d.timeoutScan.plannedDeviations, dest.latencyStats.samples)
	}
	timeoutsAfter := func(c *call, timeouts float64) Time { return c.sentAt + Time(float64(timeout)*timeouts) }
	lossReduction := min(1, failuresPerLostShare*d.plannedLoss)
	for _, ep := range dest.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		// For a suspect endpoint an older call may still show that it went down earlier.
		if oldest := ep.calls[0]; !ep.suspect || oldest.sentAt >= ep.lastFailureAt ||
			max(oldest.sentAt, ep.lastResponseAt) < ep.downSince {
			at := max(oldest.sentAt, ep.lastResponseAt) + timeout
			normal, shortage = min(normal, at), min(shortage, at)
		}
		for _, call := range ep.calls {
			if call.cancelRequested || !d.settings.MayCancel || ep.lastOKSentAt <= call.sentAt && !ep.suspect {
				continue
			}
			timeouts := stuckTimeouts - lossReduction
			shortageTimeouts := max(1, timeouts-2/float64(d.settings.Slots))
			if call.trial {
				timeouts = float64(1 + min(ep.failureStreak, errorStreakLimit))
				shortageTimeouts = timeouts
			}
			if call.unrepeatable(d.settings.MaxTries) {
				shortage = min(shortage, timeoutsAfter(call, shortageTimeouts*(stuckTimeouts-lossReduction)))
			} else {
				normal, shortage = min(normal, timeoutsAfter(call, timeouts)),
					min(shortage, timeoutsAfter(call, shortageTimeouts))
			}
		}
	}
	return normal, shortage
}

// replanTimeouts updates the plan, and reports whether response timeouts may have become shorter than the plan assumed.
func (d *Dispatcher) replanTimeouts() (shorter bool) {
	if d.lostShare > d.plannedLoss || d.lostShare < d.plannedLoss/lossSlack {
		shorter = d.lostShare > d.plannedLoss
		d.plannedLoss = min(1, d.lostShare*lossMargin)
		d.timeoutScan.plannedDeviations = min(timeoutDeviations, lostDeviations-math.Log(d.plannedLoss))
	}
	for _, kind := range d.kinds {
		mean, deviation := kind.latency()
		if timeout := timeoutFor(mean, deviation, d.timeoutScan.plannedDeviations, 0); timeout < kind.timeoutFloor ||
			float64(timeout) > timeoutSlack*float64(kind.timeoutFloor) {
			shorter = shorter || timeout < kind.timeoutFloor
			kind.timeoutFloor = max(minResponseTimeout, Time(float64(timeout)*timeoutMargin))
		}
	}
	return shorter
}

// worthIndex orders the destinations with queued messages by a lower bound of what their least valuable message is
// worth. The bound holds for a while, so only the first destinations have to be evaluated to find that message.
type worthIndex struct {
	byWorth     destinationHeap[float64] // by lower bound
	worthExpiry destinationHeap[Time]    // by the time until which the bound holds
	examined    []heapEntry[float64]     // entries that a search has taken out of byWorth and puts back at its end
	shedding    bool                     // the heaps are kept up to date, as messages were shed not long ago
	lastShedAt  Time                     // time of the last search
}

// worthValidFor is the longest time for which a lower bound is used.
const worthValidFor = Second / 2

func newWorthIndex() worthIndex {
	index := worthIndex{}
	index.byWorth.index, index.worthExpiry.index = worthHeap, worthExpiryHeap
	return index
}

// invalidateWorth discards the lower bound of a destination, as its messages have changed.
func (d *Dispatcher) invalidateWorth(dest *destination) {
	if !d.shedding {
		return
	}
	dest.leastWorthRound = 0
	if dest.queued > 0 {
		d.worthExpiry.set(dest, 0, dest.activation)
	} else {
		d.worthExpiry.remove(dest)
		d.byWorth.remove(dest)
	}
}

// leastWorthMessage returns the message that is worth least, the first one if several are worth the same, or nil if
// none may be shed.
func (d *Dispatcher) leastWorthMessage() *message {
	if d.lastShedAt = d.now; !d.shedding {
		d.shedding = true
		for i := range d.active.entries {
			d.invalidateWorth(d.active.entries[i].destination)
		}
	}
	for {
		dest := d.worthExpiry.popDue(d.now)
		if dest == nil {
			break
		}
		// The bounds expire at different times, so that they are not all computed again in one round.
		until := d.now + worthValidFor/2 + Time(dest.activation%64)*worthValidFor/128
		_, worthNow := d.leastValuable(dest, d.now)
		_, worthThen := d.leastValuable(dest, until) // in between it is worth at least the lesser of the two
		d.byWorth.set(dest, min(worthNow, worthThen), dest.activation)
		d.worthExpiry.set(dest, until, dest.activation)
	}
	var worst *message
	least := heapEntry[float64]{key: math.Inf(1)}
	for len(d.byWorth.entries) > 0 && d.byWorth.entries[0].less(&least) {
		entry := d.byWorth.entries[0]
		dest := entry.destination
		if dest.leastWorthRound != d.round {
			dest.leastWorthRound = d.round
			dest.leastWorthMessage, dest.leastWorth = d.leastValuable(dest, d.now)
		}
		if candidate := (heapEntry[float64]{dest.leastWorth, dest.activation, dest}); dest.leastWorthMessage != nil &&
			candidate.less(&least) {
			worst, least = dest.leastWorthMessage, candidate
		}
		d.byWorth.remove(dest)
		d.examined = append(d.examined, entry)
	}
	for _, entry := range d.examined {
		d.byWorth.set(entry.destination, entry.key, entry.seq)
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

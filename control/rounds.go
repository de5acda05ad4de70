package control

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// This file selects the destinations that a round evaluates. A destination that cannot send sleeps until something that
// matters to it may have changed: an event of its own, a time that can be computed in advance (the end of a wait, the next
// trial call, the next call that its rate limit or ramp permits), or free calls in the share of unhealthy destinations.
//
// It makes no decision. An evaluation that is left out would have sent nothing, and an evaluation has no side effects, so
// the actions do not depend on how many there are.

// never is later than any time.
const never = pace.Never

// Indexes of the heaps in destination.heapPositions.
const (
	activeHeap = iota
	runnableHeap
	roomHeap
	wakeupHeap
	normalScanHeap
	shortageScanHeap
	worthHeap
	worthExpiryHeap
	heapCount
)

// roundState tells what a destination waits for.
type roundState uint8

const (
	stateIdle     roundState = iota // nothing: no message is queued, or it was just woken
	stateRunnable                   // its turn to send
	stateAsleep                     // an event, a time or room for calls
)

// turnBefore reports whether the turn of a destination is before that of another.
func (t *destination) turnBefore(o *destination) bool {
	return t.virtualTime < o.virtualTime || t.virtualTime == o.virtualTime && t.activation < o.activation
}

// rounds holds the active destinations (those with messages queued or calls out), by what they wait for.
type rounds struct {
	active         destinationHeap[float64] // all active destinations, by turn
	runnable       destinationHeap[float64] // those that may be able to send
	waitingForRoom destinationHeap[float64] // sleeping ones that wait for free calls in the share of unhealthy destinations
	wakeups        destinationHeap[Time]    // sleeping ones that wake at a known time
	woken          []*destination           // woken, but not in runnable yet
	emptied        []*destination           // without messages queued or calls out since the last round
	lastActivation uint64                   // number of the destination that became active last
	unhealthyCalls int                      // calls out to unhealthy destinations, which fail or are slow
	lossLevel      int                      // additional failures that confirm an outage because responses get lost
}

func newRounds() rounds {
	r := rounds{}
	r.active.index, r.runnable.index, r.waitingForRoom.index, r.wakeups.index = activeHeap, runnableHeap, roomHeap, wakeupHeap
	return r
}

// updateHeaps updates the heaps after a change of a destination's messages, calls or turn.
func (d *Dispatcher) updateHeaps(t *destination) {
	d.updateRates(t)
	d.invalidateWorth(t)
	if !t.active && t.queued > 0 {
		d.lastActivation++
		t.active, t.activation = true, d.lastActivation
	}
	if t.queued == 0 && t.callsOut == 0 {
		d.active.remove(t)
		d.emptied = append(d.emptied, t)
	} else {
		d.active.set(t, t.virtualTime, t.activation)
	}
	if t.queued == 0 {
		d.runnable.remove(t)
		t.state = stateIdle
	} else if t.state == stateRunnable {
		d.runnable.set(t, t.virtualTime, t.activation)
	}
}

// leastVirtualTime returns the turn of the first of the other active destinations, 0 if there are none. If t is
// first itself, the next one is a child of it in the heap.
func (d *Dispatcher) leastVirtualTime(t *destination) float64 {
	l := d.active.entries
	if len(l) > 0 && l[0].destination != t {
		return l[0].key
	}
	acc := math.Inf(1)
	for i := 1; i < min(len(l), 3); i++ {
		acc = min(acc, l[i].key)
	}
	if math.IsInf(acc, 1) {
		return 0
	}
	return acc
}

// deactivateEmptied marks destinations without messages and calls as no longer active.
func (d *Dispatcher) deactivateEmptied() {
	for _, t := range d.emptied {
		if t.queued == 0 && t.callsOut == 0 {
			t.active = false
		}
	}
	clear(d.emptied)
	d.emptied = d.emptied[:0]
}

// countUnhealthyCalls updates the number of calls out to unhealthy destinations.
func (d *Dispatcher) countUnhealthyCalls(t *destination) {
	d.unhealthyCalls -= t.unhealthyCalls
	if t.unhealthyCalls = 0; t.callsOut > 0 && d.destinationUnhealthy(t) {
		t.unhealthyCalls = t.callsOut
	}
	d.unhealthyCalls += t.unhealthyCalls
}

// wakeDestination makes the next round evaluate a destination. It is called before the destination's state changes.
func (d *Dispatcher) wakeDestination(t *destination) {
	if t.state == stateAsleep {
		d.wakeups.remove(t)
		d.waitingForRoom.remove(t)
	}
	if t.state != stateRunnable {
		t.state = stateIdle
		if !t.wakePending {
			t.wakePending = true
			d.woken = append(d.woken, t)
		}
	}
}

// wakeAll makes the next round evaluate all active destinations.
func (d *Dispatcher) wakeAll() {
	for i := range d.active.entries {
		if t := d.active.entries[i].destination; t.state == stateAsleep {
			d.wakeDestination(t)
		}
	}
}

// beginRound begins a round: it wakes the destinations whose time has come.
func (d *Dispatcher) beginRound() {
	for range maxScansPerStep {
		t := d.wakeups.popDue(d.now)
		if t == nil {
			break
		}
		d.wakeDestination(t)
	}
	d.moreWork = d.moreWork || d.wakeups.isDue(d.now)
	if level := int(failuresPerLostShare * d.lostShare); level != d.lossLevel {
		d.wakeAll() // the number of failures that confirm an outage has changed
		d.lossLevel = level
	}
}

// nextDestination returns the destination whose turn is first among those to evaluate, nil if there is none.
func (d *Dispatcher) nextDestination() *destination {
	kept := d.woken[:0]
	for _, t := range d.woken {
		switch {
		case t.state != stateIdle || t.queued == 0:
			t.wakePending = false
		case t.blockedRound == d.round:
			kept = append(kept, t)
		default:
			t.wakePending = false
			t.state = stateRunnable
			d.runnable.set(t, t.virtualTime, t.activation)
		}
	}
	clear(d.woken[len(kept):])
	d.woken = kept
	best := d.runnable.first()
	if t := d.waitingForRoom.first(); t != nil && d.unhealthyCalls < d.maxUnhealthyCalls() && (best == nil || t.turnBefore(best)) {
		best = t
		d.wakeDestination(t) // in this round already
		t.state = stateRunnable
		d.runnable.set(t, t.virtualTime, t.activation)
	}
	return best
}

// blockReason tells why a destination cannot send.
type blockReason uint8

const (
	notBlocked blockReason = iota // it can
	noEndpoint                    // no endpoint may be called now
	noWindow                      // its calls out fill the window
	noMessage                     // none of its messages may be sent now
)

// putToSleep puts a destination that cannot send to sleep until something that matters to it may have changed.
func (d *Dispatcher) putToSleep(t *destination, why blockReason, ep *endpoint, trial bool) {
	t.blockedRound = d.round
	if t.state == stateRunnable {
		d.runnable.remove(t)
	}
	if t.queued == 0 {
		t.state = stateIdle
		return
	}
	t.state = stateAsleep
	until := never
	if why != noWindow { // only events change the window
		for _, e := range t.endpoints {
			if at := d.nextSendAt(e); at > d.now {
				until = min(until, at)
			}
		}
	}
	switch {
	case why == noMessage && trial && d.allRisky(t, ep):
		if d.settings.RiskAfter > 0 {
			until = min(until, ep.nextTrialAt.After(d.settings.RiskAfter))
		}
	case why == noMessage:
		until = min(until, d.unblocksAt(t))
	}
	if until < never {
		d.wakeups.set(t, until, t.activation)
	}
	if why == noWindow && t.callsOut < min(t.window, d.maxWindow()) {
		d.waitingForRoom.set(t, t.virtualTime, t.activation)
	}
}

// unblocksAt returns when to evaluate a destination again of which no message may be sent now: when the wait of an order
// key ends, when the time in which repeats are dropped ends, or when the oldest message that can still meet its aim no
// longer can, as another message is considered then.
func (d *Dispatcher) unblocksAt(t *destination) Time {
	at := never
	mean, _ := d.latency(t)
	for i := range t.queues {
		l := t.queues[i].all()
		if len(l) == 0 {
			continue
		}
		fresh, _ := slices.BinarySearchFunc(l, d.now+Time(mean), compareAim)
		if fresh < len(l) {
			at = min(at, l[fresh].submittedAt+l[fresh].class.Aim-Time(mean))
		}
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			if m.key != nil && m.key.blockedUntil > d.now {
				at = min(at, m.key.blockedUntil)
			}
			if m.inDoubt && m.class.Effect == Guarded {
				at = min(at, m.doubtSince+m.class.Window-d.settings.Tick)
				if m.class.ZoneGroup && len(t.endpoints) > 1 { // calls of other messages may change which endpoint is chosen
					return d.now + 1
				}
			}
		}
	}
	return max(at, d.now+1)
}

// allRisky reports whether no queued message may be used for this trial call, however late it is.
func (d *Dispatcher) allRisky(t *destination, ep *endpoint) bool {
	for i := range t.queues {
		if t.queues[i].len() > 0 && !d.tooRiskyForTrial(&d.settings.Classes[i/2], ep) {
			return false
		}
	}
	return true
}

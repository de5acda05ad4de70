package control

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// Which destinations a round has to look at. A destination that can't send sleeps until something can have changed: an
// event of its own, a moment that can be reckoned (the end of a wait, a trial that comes due, the next call that its limit
// or ramp lets go), room among the sick. Nothing is decided here: a look that is left out is one that would have sent
// nothing, and a look changes nothing, so that no decision can tell how many there were.

// never is later than any time.
const never = pace.Never

// Orders that a destination has a place in.
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

// roundState is what a destination waits for.
type roundState uint8

const (
	stateIdle     roundState = iota // nothing is held, or it is among those that were roused
	stateRunnable                   // its turn
	stateAsleep                     // something that is known
)

// turnBefore tells that a destination's turn is before another's.
func (t *destination) turnBefore(o *destination) bool {
	return t.virtualTime < o.virtualTime || t.virtualTime == o.virtualTime && t.activation < o.activation
}

// rounds are the destinations with messages held or out, by what they wait for.
type rounds struct {
	active         destinationHeap[float64] // all of them, by counter
	runnable       destinationHeap[float64] // those that may go
	waitingForRoom destinationHeap[float64] // those asleep that want room among the sick
	wakeups        destinationHeap[Time]    // those asleep that a time wakes
	woken          []*destination           // woken, not in ready yet
	emptied        []*destination
	lastActivation uint64 // of the last destination that came into use
	unhealthyCalls int    // calls out to those that fail or are slow
	lossLevel      int    // of the share of lost answers, as far as it tells what is sure
}

func newRounds() rounds {
	r := rounds{}
	r.active.index, r.runnable.index, r.waitingForRoom.index, r.wakeups.index = activeHeap, runnableHeap, roomHeap, wakeupHeap
	return r
}

// updateHeaps keeps the orders true after a change of what a destination holds or has out, or of its counter.
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

// leastVirtualTime is the smallest counter of the others with messages held or out, 0 if there are none.
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

// deactivateEmptied takes destinations with nothing held or out out of use.
func (d *Dispatcher) deactivateEmptied() {
	for _, t := range d.emptied {
		if t.queued == 0 && t.callsOut == 0 {
			t.active = false
		}
	}
	clear(d.emptied)
	d.emptied = d.emptied[:0]
}

// countUnhealthyCalls keeps the number of calls out to those that fail or are slow.
func (d *Dispatcher) countUnhealthyCalls(t *destination) {
	d.unhealthyCalls -= t.unhealthyCalls
	if t.unhealthyCalls = 0; t.callsOut > 0 && d.destinationUnhealthy(t) {
		t.unhealthyCalls = t.callsOut
	}
	d.unhealthyCalls += t.unhealthyCalls
}

// wakeDestination lets the next round look at a destination, before anything of it changes.
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

// wakeAll lets the next round look at all.
func (d *Dispatcher) wakeAll() {
	for i := range d.active.entries {
		if t := d.active.entries[i].destination; t.state == stateAsleep {
			d.wakeDestination(t)
		}
	}
}

// beginRound begins a round: those whose time has come are woken.
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
		d.wakeAll() // what counts as sure has changed
		d.lossLevel = level
	}
}

// nextDestination is the destination with the smallest counter of those that are to be looked at, nil if there is none.
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
		d.wakeDestination(t) // and at once
		t.state = stateRunnable
		d.runnable.set(t, t.virtualTime, t.activation)
	}
	return best
}

// blockReason is why a destination can't send.
type blockReason uint8

const (
	notBlocked blockReason = iota // it can
	noEndpoint
	noWindow
	noMessage
)

// putToSleep puts a destination that can't send to sleep until something can have changed.
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
	if why != noWindow { // that opens by events alone
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

// unblocksAt is when a destination of which no message may go has to be looked at again: at the end of a key's rest or of
// the time in which repeats are dropped, and when the oldest message that is still in time no longer is.
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
				if m.class.ZoneGroup && len(t.endpoints) > 1 { // which of them is chosen changes with calls elsewhere, too
					return d.now + 1
				}
			}
		}
	}
	return max(at, d.now+1)
}

// allRisky tells that all held messages are too risky for this trial, whatever the time.
func (d *Dispatcher) allRisky(t *destination, ep *endpoint) bool {
	for i := range t.queues {
		if t.queues[i].len() > 0 && !d.tooRiskyForTrial(&d.settings.Classes[i/2], ep) {
			return false
		}
	}
	return true
}

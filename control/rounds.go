package control

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// This file selects the destinations that a round evaluates. A destination that cannot send sleeps until one of these:
//
//   - an event that concerns it;
//   - a time that can be computed in advance (the end of a wait, the next trial call, the next call that its rate limit
//     or ramp permits);
//   - unhealthy destinations have fewer calls out than they may have together, and it is one of them.
//
// This file makes no decision. An evaluation that is left out would have sent nothing, and evaluations have no side
// effects, so the actions do not depend on how many there are.

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
func (dest *destination) turnBefore(other *destination) bool {
	return dest.virtualTime < other.virtualTime ||
		dest.virtualTime == other.virtualTime && dest.activation < other.activation
}

// rounds holds the active destinations (those with messages queued or calls out), by what they wait for.
type rounds struct {
	active         destinationHeap[float64] // all active destinations, by turn
	runnable       destinationHeap[float64] // those that may be able to send
	waitingForRoom destinationHeap[float64] // sleeping ones that wait until unhealthy destinations have fewer calls out
	wakeups        destinationHeap[Time]    // sleeping ones that wake at a known time
	woken          []*destination           // those that were woken and are not in runnable yet
	emptied        []*destination           // those left without messages and calls since the last round
	lastActivation uint64                   // number of the destination that became active last
	unhealthyCalls int                      // calls out to unhealthy destinations, which fail or are slow
	lossLevel      int                      // failures needed on top to confirm an outage, as responses get lost
}

func newRounds() rounds {
	r := rounds{}
	r.active.index, r.runnable.index, r.waitingForRoom.index, r.wakeups.index =
		activeHeap, runnableHeap, roomHeap, wakeupHeap
	return r
}

// updateHeaps updates the heaps after a destination's messages, calls or turn have changed.
func (d *Dispatcher) updateHeaps(dest *destination) {
	d.updateRates(dest)
	d.invalidateWorth(dest)
	if !dest.active && dest.queued > 0 {
		d.lastActivation++
		dest.active, dest.activation = true, d.lastActivation
	}
	if dest.queued == 0 && dest.callsOut == 0 {
		d.active.remove(dest)
		d.emptied = append(d.emptied, dest)
	} else {
		d.active.set(dest, dest.virtualTime, dest.activation)
	}
	if dest.queued == 0 {
		d.runnable.remove(dest)
		dest.state = stateIdle
	} else if dest.state == stateRunnable {
		d.runnable.set(dest, dest.virtualTime, dest.activation)
	}
}

// leastVirtualTime returns the least virtual time of the other active destinations, 0 if there are none. If the given
// destination is the root of the heap, the least of the others is one of the root's children.
func (d *Dispatcher) leastVirtualTime(dest *destination) float64 {
	entries := d.active.entries
	if len(entries) > 0 && entries[0].destination != dest {
		return entries[0].key
	}
	least := math.Inf(1)
	for i := 1; i < min(len(entries), 3); i++ {
		least = min(least, entries[i].key)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// deactivateEmptied marks destinations without messages and calls as no longer active.
func (d *Dispatcher) deactivateEmptied() {
	for _, dest := range d.emptied {
		if dest.queued == 0 && dest.callsOut == 0 {
			dest.active = false
		}
	}
	clear(d.emptied)
	d.emptied = d.emptied[:0]
}

// countUnhealthyCalls updates the number of calls out to unhealthy destinations.
func (d *Dispatcher) countUnhealthyCalls(dest *destination) {
	d.unhealthyCalls -= dest.unhealthyCalls
	if dest.unhealthyCalls = 0; dest.callsOut > 0 && d.destinationUnhealthy(dest) {
		dest.unhealthyCalls = dest.callsOut
	}
	d.unhealthyCalls += dest.unhealthyCalls
}

// wakeDestination makes the next round evaluate a destination. It is called before the destination's state changes.
func (d *Dispatcher) wakeDestination(dest *destination) {
	if dest.state == stateAsleep {
		d.wakeups.remove(dest)
		d.waitingForRoom.remove(dest)
	}
	if dest.state != stateRunnable {
		dest.state = stateIdle
		if !dest.wakePending {
			dest.wakePending = true
			d.woken = append(d.woken, dest)
		}
	}
}

// wakeAll makes the next round evaluate all active destinations.
func (d *Dispatcher) wakeAll() {
	for i := range d.active.entries {
		if dest := d.active.entries[i].destination; dest.state == stateAsleep {
			d.wakeDestination(dest)
		}
	}
}

// beginRound wakes the destinations whose wake-up time has come.
func (d *Dispatcher) beginRound() {
	for range maxScansPerStep {
		dest := d.wakeups.popDue(d.now)
		if dest == nil {
			break
		}
		d.wakeDestination(dest)
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
	for _, dest := range d.woken {
		switch {
		case dest.state != stateIdle || dest.queued == 0:
			dest.wakePending = false
		case dest.blockedRound == d.round:
			kept = append(kept, dest)
		default:
			dest.wakePending = false
			dest.state = stateRunnable
			d.runnable.set(dest, dest.virtualTime, dest.activation)
		}
	}
	clear(d.woken[len(kept):])
	d.woken = kept
	best := d.runnable.first()
	if dest := d.waitingForRoom.first(); dest != nil && d.unhealthyCalls < d.maxUnhealthyCalls() &&
		(best == nil || dest.turnBefore(best)) {
		best = dest
		d.wakeDestination(dest) // it is evaluated in this round
		dest.state = stateRunnable
		d.runnable.set(dest, dest.virtualTime, dest.activation)
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
func (d *Dispatcher) putToSleep(dest *destination, reason blockReason, ep *endpoint, trial bool) {
	dest.blockedRound = d.round
	if dest.state == stateRunnable {
		d.runnable.remove(dest)
	}
	if dest.queued == 0 {
		dest.state = stateIdle
		return
	}
	dest.state = stateAsleep
	until := never
	if reason != noWindow { // only events change the window
		for _, sibling := range dest.endpoints {
			if at := d.nextSendAt(sibling); at > d.now {
				until = min(until, at)
			}
		}
	}
	switch {
	case reason == noMessage && trial && d.allRisky(dest, ep):
		if d.settings.RiskAfter > 0 {
			until = min(until, ep.nextTrialAt.After(d.settings.RiskAfter))
		}
	case reason == noMessage:
		until = min(until, d.unblocksAt(dest))
	}
	if until < never {
		d.wakeups.set(dest, until, dest.activation)
	}
	if reason == noWindow && dest.callsOut < min(dest.window, d.maxWindow()) {
		d.waitingForRoom.set(dest, dest.virtualTime, dest.activation)
	}
}

// unblocksAt returns when to evaluate a destination again if none of its messages may be sent now. That is when the
// wait of an order key ends, when the time in which repeats are dropped ends, or when the oldest message that can
// still meet its aim no longer can, because another message is considered then.
func (d *Dispatcher) unblocksAt(dest *destination) Time {
	at := never
	mean, _ := d.latency(dest)
	for i := range dest.queues {
		messages := dest.queues[i].all()
		if len(messages) == 0 {
			continue
		}
		firstInTime, _ := slices.BinarySearchFunc(messages, d.now+Time(mean), compareAim)
		if firstInTime < len(messages) {
			at = min(at, messages[firstInTime].submittedAt+messages[firstInTime].class.Aim-Time(mean))
		}
		for _, msg := range [2]*message{messages[0], messages[min(firstInTime, len(messages)-1)]} {
			if msg.key != nil && msg.key.blockedUntil > d.now {
				at = min(at, msg.key.blockedUntil)
			}
			if msg.inDoubt && msg.class.Effect == Guarded {
				at = min(at, msg.doubtSince+msg.class.Window-d.settings.Tick)
				if msg.class.ZoneGroup && len(dest.endpoints) > 1 {
					return d.now + 1 // calls of other messages may change which endpoint is chosen
				}
			}
		}
	}
	return max(at, d.now+1)
}

// allRisky reports whether no queued message may be used for a trial call to an endpoint, however late the message is.
func (d *Dispatcher) allRisky(dest *destination, ep *endpoint) bool {
	for i := range dest.queues {
		if dest.queues[i].len() > 0 && !d.tooRiskyForTrial(&d.settings.Classes[i/2], ep) {
			return false
		}
	}
	return true
}

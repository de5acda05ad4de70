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

// Numbers of the orders, by which a destination stores its position in each of them.
const (
	inTurns = iota
	inReady
	inShut
	inWakes
	inCalm
	inRushed
	inWorths
	inValued
	orders
)

// standing tells what a destination waits for.
type standing uint8

const (
	idle   standing = iota // nothing: no message is queued, or it was just woken
	ready                  // its turn to send
	asleep                 // an event, a time or room for calls
)

// before reports whether the turn of a destination is before that of another.
func (t *dest) before(o *dest) bool { return t.acc < o.acc || t.acc == o.acc && t.seq < o.seq }

// rounds holds the active destinations (those with messages queued or calls out), by what they wait for.
type rounds struct {
	turns   order[float64] // all active destinations, by turn
	ready   order[float64] // those that may be able to send
	shut    order[float64] // sleeping ones that wait for free calls in the share of unhealthy destinations
	wakes   order[Time]    // sleeping ones that wake at a known time
	roused  []*dest        // woken, but not in ready yet
	emptied []*dest        // without messages queued or calls out since the last round
	seq     uint64         // number of the destination that became active last
	sickOut int            // calls out to unhealthy destinations, which fail or are slow
	level   int            // additional failures that confirm an outage because responses get lost
}

func newRounds() rounds {
	r := rounds{}
	r.turns.no, r.ready.no, r.shut.no, r.wakes.no = inTurns, inReady, inShut, inWakes
	return r
}

// use updates the orders after a change of a destination's messages, calls or turn.
func (d *Dispatcher) use(t *dest) {
	d.repace(t)
	d.revalue(t)
	if !t.live && t.held > 0 {
		d.seq++
		t.live, t.seq = true, d.seq
	}
	if t.held == 0 && t.w == 0 {
		d.turns.drop(t)
		d.emptied = append(d.emptied, t)
	} else {
		d.turns.put(t, t.acc, t.seq)
	}
	if t.held == 0 {
		d.ready.drop(t)
		t.standing = idle
	} else if t.standing == ready {
		d.ready.put(t, t.acc, t.seq)
	}
}

// least returns the turn of the first of the other active destinations, 0 if there are none. If t is
// first itself, the next one is a child of it in the heap.
func (d *Dispatcher) least(t *dest) float64 {
	l := d.turns.list
	if len(l) > 0 && l[0].t != t {
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

// rest marks destinations without messages and calls as no longer active.
func (d *Dispatcher) rest() {
	for _, t := range d.emptied {
		if t.held == 0 && t.w == 0 {
			t.live = false
		}
	}
	clear(d.emptied)
	d.emptied = d.emptied[:0]
}

// weigh updates the number of calls out to unhealthy destinations.
func (d *Dispatcher) weigh(t *dest) {
	d.sickOut -= t.weighed
	if t.weighed = 0; t.w > 0 && d.sick(t) {
		t.weighed = t.w
	}
	d.sickOut += t.weighed
}

// rouse makes the next round evaluate a destination. It is called before the destination's state changes.
func (d *Dispatcher) rouse(t *dest) {
	if t.standing == asleep {
		d.wakes.drop(t)
		d.shut.drop(t)
	}
	if t.standing != ready {
		t.standing = idle
		if !t.rousing {
			t.rousing = true
			d.roused = append(d.roused, t)
		}
	}
}

// rouseAll makes the next round evaluate all active destinations.
func (d *Dispatcher) rouseAll() {
	for i := range d.turns.list {
		if t := d.turns.list[i].t; t.standing == asleep {
			d.rouse(t)
		}
	}
}

// openRound begins a round: it wakes the destinations whose time has come.
func (d *Dispatcher) openRound() {
	for range looksAtOnce {
		t := d.wakes.due(d.now)
		if t == nil {
			break
		}
		d.rouse(t)
	}
	d.more = d.more || d.wakes.isDue(d.now)
	if level := int(sureLost * d.lost); level != d.level {
		d.rouseAll() // the number of failures that confirm an outage has changed
		d.level = level
	}
}

// next returns the destination whose turn is first among those to evaluate, nil if there is none.
func (d *Dispatcher) next() *dest {
	kept := d.roused[:0]
	for _, t := range d.roused {
		switch {
		case t.standing != idle || t.held == 0:
			t.rousing = false
		case t.blocked == d.round:
			kept = append(kept, t)
		default:
			t.rousing = false
			t.standing = ready
			d.ready.put(t, t.acc, t.seq)
		}
	}
	clear(d.roused[len(kept):])
	d.roused = kept
	best := d.ready.first()
	if t := d.shut.first(); t != nil && d.sickOut < d.sickRoom() && (best == nil || t.before(best)) {
		best = t
		d.rouse(t) // in this round already
		t.standing = ready
		d.ready.put(t, t.acc, t.seq)
	}
	return best
}

// stop tells why a destination cannot send.
type stop uint8

const (
	goes       stop = iota // it can
	noEndpoint             // no endpoint may be called now
	noWindow               // its calls out fill the window
	noMessage              // none of its messages may be sent now
)

// lay puts a destination that cannot send to sleep until something that matters to it may have changed.
func (d *Dispatcher) lay(t *dest, why stop, ep *endpoint, trial bool) {
	t.blocked = d.round
	if t.standing == ready {
		d.ready.drop(t)
	}
	if t.held == 0 {
		t.standing = idle
		return
	}
	t.standing = asleep
	until := never
	if why != noWindow { // only events change the window
		for _, e := range t.eps {
			if at := d.opensAt(e); at > d.now {
				until = min(until, at)
			}
		}
	}
	switch {
	case why == noMessage && trial && d.allRisky(t, ep):
		if d.set.RiskAfter > 0 {
			until = min(until, ep.trialAt.After(d.set.RiskAfter))
		}
	case why == noMessage:
		until = min(until, d.unlocksAt(t))
	}
	if until < never {
		d.wakes.put(t, until, t.seq)
	}
	if why == noWindow && t.w < min(t.wmax, d.ceiling()) {
		d.shut.put(t, t.acc, t.seq)
	}
}

// unlocksAt returns when to evaluate a destination again of which no message may be sent now: when the wait of an order
// key ends, when the time in which repeats are dropped ends, or when the oldest message that can still meet its aim no
// longer can, as another message is considered then.
func (d *Dispatcher) unlocksAt(t *dest) Time {
	at := never
	mean, _ := d.latency(t)
	for i := range t.lanes {
		l := t.lanes[i].all()
		if len(l) == 0 {
			continue
		}
		fresh, _ := slices.BinarySearchFunc(l, d.now+Time(mean), byAim)
		if fresh < len(l) {
			at = min(at, l[fresh].born+l[fresh].class.Aim-Time(mean))
		}
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			if m.key != nil && m.key.rest > d.now {
				at = min(at, m.key.rest)
			}
			if m.doubt && m.class.Effect == Guarded {
				at = min(at, m.doubtAt+m.class.Window-d.set.Tick)
				if m.class.ZoneGroup && len(t.eps) > 1 { // calls of other messages may change which endpoint is chosen
					return d.now + 1
				}
			}
		}
	}
	return max(at, d.now+1)
}

// allRisky reports whether no queued message may be used for this trial call, however late it is.
func (d *Dispatcher) allRisky(t *dest, ep *endpoint) bool {
	for i := range t.lanes {
		if t.lanes[i].len() > 0 && !d.risky(&d.set.Classes[i/2], ep) {
			return false
		}
	}
	return true
}

package httptransport

import (
	"slices"
	"time"

	"curlewmux/internal/host"
)

// Dials are paced. After a restart, or when a list of new endpoints comes, each call needs a connection of its own: so
// many dials begin at once, and the others at their pace, in the order of the calls. A call that waits for its turn takes
// a connection to its endpoint that becomes idle meanwhile.

// grantGap is how long the timer for the next turns is set at least.
const grantGap = 2 * time.Millisecond

// turns are the calls that wait to dial, over all endpoints, oldest first; the transport's lock guards them.
type turns struct {
	at      time.Time // when the last dial that has begun was due
	waiting []*call   // nil: one that has left
	timer   host.Timer
}

// awaitTurn waits for the call's turn to dial, and tells whether to look again first: a connection to its endpoint may
// have become idle, or the call is over.
func (k *call) awaitTurn() (again bool) {
	t := k.t
	if t.set.DialInterval <= 0 {
		return false
	}
	t.mu.Lock()
	if len(t.turns.waiting) == 0 && t.mayDial() {
		t.mu.Unlock()
		return false
	}
	if t.usable(k.peer, t.settled(k.peer)) || k.peer.gone || t.closed {
		t.mu.Unlock()
		return true // where there is nothing to wait for, its abort is done and tells the rest
	}
	if k.turn == nil {
		k.turn = t.host.NewInbox()
	}
	k.peer.waiting = append(k.peer.waiting, k)
	t.turns.waiting = append(t.turns.waiting, k)
	t.arm()
	t.mu.Unlock()
	k.abort.On(func() { k.turn.Put(false) })
	got := k.turn.Take(nil, t.clock.Time(k.last()))
	k.abort.On(nil)
	if slices.Contains(got, any(true)) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k.leaveTurns()
	return true
}

// leaveTurns takes a call off those that wait; the lock is held.
func (k *call) leaveTurns() {
	if i := slices.Index(k.peer.waiting, k); i >= 0 {
		k.peer.waiting = slices.Delete(k.peer.waiting, i, i+1)
	}
	if i := slices.Index(k.t.turns.waiting, k); i >= 0 {
		k.t.turns.waiting[i] = nil
	}
}

// mayDial tells whether a dial may begin now, and counts it; the lock is held.
func (t *Transport) mayDial() bool {
	now := t.host.Now()
	if free := now.Add(-time.Duration(t.set.DialBurst) * t.set.DialInterval); t.turns.at.Before(free) {
		t.turns.at = free
	}
	next := t.turns.at.Add(t.set.DialInterval)
	if next.After(now) {
		return false
	}
	t.turns.at = next
	return true
}

// arm sets the timer for the next turn, if anybody waits; the lock is held.
func (t *Transport) arm() {
	if t.turns.timer != nil || len(t.turns.waiting) == 0 || t.closed {
		return
	}
	wait := t.turns.at.Add(t.set.DialInterval).Sub(t.host.Now())
	t.turns.timer = t.host.AfterFunc(max(wait, grantGap), t.grant)
}

// grant gives those their turn whose it is.
func (t *Transport) grant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turns.timer = nil
	n := 0
	for ; n < len(t.turns.waiting); n++ {
		k := t.turns.waiting[n]
		if k == nil {
			continue
		}
		if !t.mayDial() {
			break
		}
		t.turns.waiting[n] = nil
		k.peer.waiting = slices.DeleteFunc(k.peer.waiting, func(o *call) bool { return o == k })
		k.turn.Put(true)
	}
	if t.turns.waiting = t.turns.waiting[n:]; len(t.turns.waiting) == 0 {
		t.turns.waiting = nil
	}
	t.arm()
}

// lend tells a call that waits to dial to a peer that a connection there is idle; the lock is held.
func (t *Transport) lend(p *peer) {
	if len(p.waiting) > 0 {
		k := p.waiting[0]
		k.leaveTurns()
		k.turn.Put(false)
	}
}

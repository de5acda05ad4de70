package httptransport

import (
	"slices"
	"time"

	"curlewmux/internal/host"
)

// Dials are rate limited. After a restart, or when a list of new endpoints arrives, each call needs a new connection.
// Settings.DialBurst dials may begin at once. The others follow at intervals of Settings.DialInterval, in the order of the
// calls. A call that waits for its turn uses a connection to its endpoint that becomes idle in the meantime.

// minGrantDelay is the shortest delay of the timer that grants dial turns.
const minGrantDelay = 2 * time.Millisecond

// dialQueue holds the calls that wait to dial, over all endpoints, oldest first. The transport's lock guards it.
type dialQueue struct {
	lastDialDue time.Time // when the latest dial was due by the rate limit, which may be before it began
	waiting     []*call   // nil entries are calls that no longer wait
	timer       host.Timer
}

// awaitDialTurn waits for the call's turn to dial. It returns true if the caller has to start over before it dials: a
// connection to the endpoint may have become idle, or the call may have ended.
func (k *call) awaitDialTurn() (again bool) {
	t := k.t
	if t.settings.DialInterval <= 0 {
		return false
	}
	t.mu.Lock()
	if len(t.dialQueue.waiting) == 0 && t.mayDial() {
		t.mu.Unlock()
		return false
	}
	if t.hasUsableIdle(k.peer, t.settledCount(k.peer)) || k.peer.removed || t.closed {
		t.mu.Unlock()
		return true // if the endpoint or the transport is gone, the call is aborted and the caller ends it
	}
	if k.dialTurn == nil {
		k.dialTurn = t.host.NewInbox()
	}
	k.peer.waitingToDial = append(k.peer.waitingToDial, k)
	t.dialQueue.waiting = append(t.dialQueue.waiting, k)
	t.armDialTimer()
	t.mu.Unlock()
	k.abort.On(func() { k.dialTurn.Put(false) })
	got := k.dialTurn.Take(nil, t.clock.Time(k.lastDeadline()))
	k.abort.On(nil)
	if slices.Contains(got, any(true)) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	k.leaveDialQueue()
	return true
}

// leaveDialQueue removes a call from the calls that wait to dial. The lock must be held.
func (k *call) leaveDialQueue() {
	if i := slices.Index(k.peer.waitingToDial, k); i >= 0 {
		k.peer.waitingToDial = slices.Delete(k.peer.waitingToDial, i, i+1)
	}
	if i := slices.Index(k.t.dialQueue.waiting, k); i >= 0 {
		k.t.dialQueue.waiting[i] = nil
	}
}

// mayDial reports whether a dial may begin now, and counts it if so. The lock must be held.
func (t *Transport) mayDial() bool {
	now := t.host.Now()
	if free := now.Add(-time.Duration(t.settings.DialBurst) * t.settings.DialInterval); t.dialQueue.lastDialDue.Before(free) {
		t.dialQueue.lastDialDue = free
	}
	next := t.dialQueue.lastDialDue.Add(t.settings.DialInterval)
	if next.After(now) {
		return false
	}
	t.dialQueue.lastDialDue = next
	return true
}

// armDialTimer sets the timer for the next turn if any call waits. The lock must be held.
func (t *Transport) armDialTimer() {
	if t.dialQueue.timer != nil || len(t.dialQueue.waiting) == 0 || t.closed {
		return
	}
	wait := t.dialQueue.lastDialDue.Add(t.settings.DialInterval).Sub(t.host.Now())
	t.dialQueue.timer = t.host.AfterFunc(max(wait, minGrantDelay), t.grantDialTurns)
}

// grantDialTurns lets as many waiting calls dial as the rate limit allows.
func (t *Transport) grantDialTurns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dialQueue.timer = nil
	n := 0
	for ; n < len(t.dialQueue.waiting); n++ {
		k := t.dialQueue.waiting[n]
		if k == nil {
			continue
		}
		if !t.mayDial() {
			break
		}
		t.dialQueue.waiting[n] = nil
		k.peer.waitingToDial = slices.DeleteFunc(k.peer.waitingToDial, func(o *call) bool { return o == k })
		k.dialTurn.Put(true)
	}
	if t.dialQueue.waiting = t.dialQueue.waiting[n:]; len(t.dialQueue.waiting) == 0 {
		t.dialQueue.waiting = nil
	}
	t.armDialTimer()
}

// offerIdle wakes the oldest call that waits to dial to a peer, because a connection to that peer is idle. The lock must
// be held.
func (t *Transport) offerIdle(p *peer) {
	if len(p.waitingToDial) > 0 {
		k := p.waitingToDial[0]
		k.leaveDialQueue()
		k.dialTurn.Put(false)
	}
}

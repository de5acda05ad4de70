package driver

import (
	"sync"
	"time"

	"curlewmux/engine"
)

// sharedRounds lets the goroutines that call a driver make its rounds themselves. This saves the switch to another
// goroutine, whose thread may have to be woken first. Run makes the remaining rounds: those at times that the engine
// asked for, and those for callers that must not be delayed.
type sharedRounds struct {
	shared bool

	turn        sync.Mutex     // held by the goroutine that makes rounds; guards the next three fields
	sleepsUntil time.Time      // Run sleeps until then unless it is woken; zero before Run has begun
	taken       []any          // buffer for the values that a round handles
	notes       []*engine.Note // for Run to log

	mu      sync.Mutex
	queue   []any // values that no round has taken yet
	stopped bool  // the driver has stopped: nothing is queued any more
	crowded bool  // more than crowdedAbove messages were open at the newest round
}

// ShareRounds lets callers of SubmitAsync, Withdraw, Ended and MayWrite make rounds. They must not hold a lock that the
// driver's components take. It must be called before all other methods, and only for a driver without a store, because a
// round must not block.
func (d *Driver) ShareRounds() { d.shared = true }

// crowdedAbove is the number of open messages above which Run alone makes rounds. One round for the values of many
// callers costs less than a round for each.
const crowdedAbove = 16

// maxRoundsPerCaller is the number of rounds that one caller makes at most. All but the first are mostly for others.
const maxRoundsPerCaller = 4

// wakeRun is put into the inbox to wake Run, which then handles the queue.
type wakeRun struct{}

// enqueue queues a value for Run. It returns false if the driver has stopped.
func (d *Driver) enqueue(v any) bool {
	if !d.shared {
		return d.inbox.Put(v)
	}
	ok, _ := d.addToQueue(v)
	return ok && d.inbox.Put(wakeRun{})
}

// runOrEnqueue queues a value and makes the round that handles it, unless another goroutine is making rounds. It returns
// false if the driver has stopped.
func (d *Driver) runOrEnqueue(v any) bool {
	if !d.shared {
		return d.inbox.Put(v)
	}
	ok, crowded := d.addToQueue(v)
	if !ok || crowded {
		return ok && d.inbox.Put(wakeRun{})
	}
	// A caller that finds the turn taken leaves its value to the holder, who checks the queue again after releasing the turn.
	// The same holds for values that components queue from within a round.
	for n := 1; d.hasQueued() && d.turn.TryLock(); n++ {
		handOver := d.makeRounds() || n == maxRoundsPerCaller
		wakeEarlier := d.sleepsUntil.IsZero() || d.nextRound().Before(d.sleepsUntil) || len(d.notes) > 0 // Run would sleep too long
		d.turn.Unlock()
		if handOver || wakeEarlier {
			d.inbox.Put(wakeRun{})
		}
		if handOver {
			break
		}
	}
	return true
}

func (d *Driver) addToQueue(v any) (ok, crowded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return false, false
	}
	d.queue = append(d.queue, v)
	return true, d.crowded
}

func (d *Driver) hasQueued() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue) > 0
}

// makeRounds makes a round for the values in the queue. The caller holds turn. It returns true once the driver has ended.
func (d *Driver) makeRounds() (over bool) {
	d.mu.Lock()
	if d.stopped {
		d.mu.Unlock()
		return true
	}
	d.taken, d.queue = d.queue, d.taken[:0]
	d.crowded = d.engine.OpenMessages() > crowdedAbove
	d.mu.Unlock()
	return d.makeRound(d.taken)
}

// runShared is Run for a driver whose rounds are shared.
func (d *Driver) runShared() {
	var list []any
	for {
		d.turn.Lock()
		over := d.makeRounds()
		until := d.nextRound()
		d.sleepsUntil = until
		notes := d.notes
		d.notes = nil
		d.turn.Unlock()
		for _, f := range notes { // outside of the round, as the logger may belong to the program and block
			d.note(f)
		}
		if over {
			return
		}
		if !d.hasQueued() { // values may have been queued while the turn was taken
			list = d.inbox.Take(list[:0], until)
		}
	}
}

// closeQueue stops queueing and returns the values that no round has taken.
func (d *Driver) closeQueue() []any {
	if !d.shared {
		return d.inbox.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	left := d.queue
	d.stopped, d.queue = true, nil
	return left
}

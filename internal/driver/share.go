package driver

import (
	"sync"
	"time"

	"curlewmux/engine"
)

// share lets the goroutines that tell a driver something make its rounds themselves: a caller who can be answered at once
// hands over to no other goroutine, whose thread may first have to be woken. Run makes the rounds that nobody else does:
// those at times that the engine names, and those of what is told by callers who must not be kept.
type share struct {
	shared bool

	turn   sync.Mutex     // held by whoever makes rounds
	sleeps time.Time      // under turn: Run waits until then unless it is woken; zero: it has not begun
	taken  []any          // under turn: room for what a round takes
	notes  []*engine.Note // under turn: for Run to log

	mu    sync.Mutex
	queue []any // of no round yet
	over  bool  // nothing is taken any more
	crowd bool  // as of the newest round
}

// ShareRounds lets callers of Offer, Withdraw, Ended and MayWrite make rounds, so these must hold no lock then that the seams
// take. It is called before all else, and where there is no store: in a round nothing may block.
func (d *Driver) ShareRounds() { d.shared = true }

// crowded is from how many open messages on rounds are Run's alone: it takes what many have told in one of them, which
// costs them less together than a round for each.
const crowded = 16

// passes bounds the rounds that one caller makes, most of them for others.
const passes = 4

// woken is put into the inbox to wake Run, which then takes from the queue.
type woken struct{}

// put leaves something to Run. It returns false once the driver has stopped.
func (d *Driver) put(v any) bool {
	if !d.shared {
		return d.inbox.Put(v)
	}
	ok, _ := d.add(v)
	return ok && d.inbox.Put(woken{})
}

// serve makes the round that takes something up, unless somebody else is at it. It returns false once the driver has
// stopped.
func (d *Driver) serve(v any) bool {
	if !d.shared {
		return d.inbox.Put(v)
	}
	ok, crowd := d.add(v)
	if !ok || crowd {
		return ok && d.inbox.Put(woken{})
	}
	// Who finds the turn taken leaves it to the holder, who looks into the queue again once the turn is given back. That is
	// so for what the seams tell from within a round, too.
	for n := 1; d.waiting() && d.turn.TryLock(); n++ {
		leave := d.makeRounds() || n == passes
		late := d.sleeps.IsZero() || d.until().Before(d.sleeps) || len(d.notes) > 0 // Run would sleep too long
		d.turn.Unlock()
		if leave || late {
			d.inbox.Put(woken{})
		}
		if leave {
			break
		}
	}
	return true
}

func (d *Driver) add(v any) (ok, crowd bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over {
		return false, false
	}
	d.queue = append(d.queue, v)
	return true, d.crowd
}

func (d *Driver) waiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queue) > 0
}

// makeRounds makes a round of what is in the queue, by whoever has the turn. It returns true once the driver has ended.
func (d *Driver) makeRounds() (over bool) {
	d.mu.Lock()
	if d.over {
		d.mu.Unlock()
		return true
	}
	d.taken, d.queue = d.queue, d.taken[:0]
	d.crowd = d.e.OpenMessages() > crowded
	d.mu.Unlock()
	return d.makeRound(d.taken)
}

// runShared is Run where rounds are shared.
func (d *Driver) runShared() {
	var list []any
	for {
		d.turn.Lock()
		over := d.makeRounds()
		until := d.until()
		d.sleeps = until
		notes := d.notes
		d.notes = nil
		d.turn.Unlock()
		for _, f := range notes { // the logger may be a program's: what it does is no part of a round
			d.note(f)
		}
		if over {
			return
		}
		if !d.waiting() { // by somebody who found the turn taken
			list = d.inbox.Take(list[:0], until)
		}
	}
}

// shut takes nothing more, and returns what is of no round.
func (d *Driver) shut() []any {
	if !d.shared {
		return d.inbox.Close()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	left := d.queue
	d.over, d.queue = true, nil
	return left
}

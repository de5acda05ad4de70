package engine

import (
	"slices"

	"curlewmux/control"
)

// store is what the engine knows of its store: what is on the way there, and what it still has to be told.
type store struct {
	last      Batch // number of the newest batch
	confirmed Batch // up to here all is in the store that did not fail
	records   []Record
	keepers   []keeper // whose records these are, one for each
	sending   []*call  // whose attempts are among them
	place     int      // where among the effects the Append of this event goes
	pending   []*batch // not answered yet, oldest first
	down      bool     // it takes nothing: no attempt is made
	retry     Time     // when it is asked again
	dirty     []keeper // those whose account in the store is not the true one

	known  bool // a wall time has been seen
	offset Time // wall time less the engine's, as the store's stamps go by
	shift  Time // step of the wall clock that could not be recorded
}

// restored is the batch of all that an earlier process recorded.
const restored Batch = 0

const (
	retryGap    = 100 * control.Millisecond // between two looks whether the store takes records again
	steppedOver = 100 * control.Millisecond // a wall clock that is off by less is let be: what stamps may be off by
	mostDirty   = 500                       // records of accounts that are written anew at once, about
)

// batch is one on its way to the store.
type batch struct {
	no      Batch
	at      Time
	taken   []*message // all that it takes
	calls   []*call
	keepers []keeper
	shift   Time
	given   bool // given up: the store was silent for too long
}

// keeper is what has an account in the store: a message, or the id of one that ended.
type keeper interface {
	book() *account
	// write records the true account.
	write(e *Engine)
}

// account is where something's records are.
type account struct {
	taken, last Batch // of its first and newest record
	dirty       bool
	missing     bool // the first record is not in the store (any more)
}

func (a *account) book() *account { return a }

// ---- to the store ----

// begin makes ready for the records of one event: all of them go into one batch.
func (e *Engine) begin() {
	clear(e.keepers)
	e.records, e.keepers, e.sending = nil, e.keepers[:0], nil // the records belong to the Append
	e.place = len(e.out)
}

// record adds a record to the batch of this event, whose number it returns: 0 without a store.
func (e *Engine) record(r Record, k keeper) Batch {
	if !e.set.HasStore {
		return 0
	}
	if e.records == nil && e.books != nil {
		e.records = make([]Record, 0, 3) // a leaf follows
	}
	e.records = append(e.records, r)
	if k != nil {
		e.keepers = append(e.keepers, k)
		k.book().last = e.last + 1
	}
	return e.last + 1
}

// needs is the batch of this event, 0 if it has none.
func (e *Engine) needs() Batch {
	if len(e.records) == 0 {
		return 0
	}
	return e.last + 1
}

// commit puts the records of this event on their way, ahead of the effects that need them.
func (e *Engine) commit() {
	if len(e.records) == 0 {
		return
	}
	e.last++
	b := &batch{no: e.last, at: e.now.At, calls: e.sending, keepers: append([]keeper(nil), e.keepers...)}
	for _, r := range e.records {
		if t, ok := r.(*RecAccepted); ok {
			if m := e.byName[t.Message.ID]; m != nil && m.phase == arriving {
				b.taken = append(b.taken, m)
			}
		}
	}
	e.pending = append(e.pending, b)
	e.out = append(e.out, nil)
	copy(e.out[e.place+1:], e.out[e.place:])
	e.out[e.place] = &Append{Batch: b.no, Records: e.records}
}

// clock follows the two clocks. Stamps go by one offset between them; a step of the wall clock is recorded, so that the
// stamps before it stay true.
func (e *Engine) clock(now Now) {
	offset := Time(now.Wall) - now.At
	e.now = now
	if !e.known {
		e.known, e.offset = true, offset
		return
	}
	if by := offset - e.offset; by > steppedOver || by < -steppedOver {
		e.offset = offset
		e.shift += by
	}
	e.recordShift()
}

// recordShift puts a step of the wall clock on its way, in a batch of its own: no want of room for a message may take it
// along.
func (e *Engine) recordShift() {
	if e.shift != 0 && e.set.HasStore && !e.down {
		e.last++
		e.pending = append(e.pending, &batch{no: e.last, at: e.now.At, shift: e.shift})
		e.effect(&Append{Batch: e.last, Records: []Record{&RecClockStep{By: int64(e.shift)}}})
		e.shift = 0
		e.place = len(e.out)
	}
}

// stamp is a moment as records keep it.
func (e *Engine) stamp(t Time) Timestamp { return Timestamp(t + e.offset) }

// ---- from the store ----

// stored takes up what is in the store now.
func (e *Engine) stored(b Batch) {
	if b <= e.confirmed {
		return
	}
	e.confirmed = b
	for len(e.pending) > 0 && e.pending[0].no <= b {
		p := e.pending[0]
		e.pending[0] = nil
		e.pending = e.pending[1:]
		for _, c := range p.calls {
			c.stored = true
		}
		for _, k := range p.keepers {
			if past, ok := k.(*ended); ok {
				past.done = nil
			}
		}
		for _, m := range p.taken {
			switch {
			case m.phase != arriving:
			case m.dropped:
				m.phase = held
				e.bookTaken(m)
				e.end(m, Withdrawn, 0)
			default:
				m.phase = held
				e.bookTaken(m)
				e.admit(m, false)
			}
		}
	}
	if e.down && !slices.ContainsFunc(e.pending, func(p *batch) bool { return p.given }) {
		e.down = false
		e.tell(control.Event{Kind: control.Pause})
	}
	e.writeDirty()
}

// failed takes up that a batch is not in the store.
func (e *Engine) failed(no Batch, full bool) {
	for i, p := range e.pending {
		if p.no != no {
			continue
		}
		e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
		if p.given { // what it stood for was taken back then, and is written anew
			return
		}
		e.soilLeaves(no, no)
		for _, m := range p.taken {
			if m.phase == arriving {
				why := "the store takes nothing"
				if full {
					why = "the store has no room"
				}
				e.notTaken(m, Verdict{Kind: Busy, RetryAfter: Duration(turnedAway), Reason: why})
			}
		}
		if full && len(p.taken) > 0 {
			return
		}
		e.unwritten(p)
		return
	}
	if no <= e.confirmed && no > 0 { // told as stored before
		e.lost(no - 1)
	}
}

// notTaken forgets a message that never got into the store.
func (e *Engine) notTaken(m *message, v Verdict) {
	for _, t := range m.tickets {
		e.effect(&Answer{Ticket: t, Verdict: v})
	}
	e.bookForgone(m)
	e.close(m)
	e.books.removed(m)
	e.remove(m)
	if m.earlier != nil {
		e.ended.add(m.earlier)
	}
}

// unwritten takes back what a batch that is not in the store stood for, as far as it can be taken back; the rest is
// written anew when the store takes records again. Until then no attempt is made.
func (e *Engine) unwritten(p *batch) {
	if !e.down {
		e.down = true
		e.tell(control.Event{Kind: control.Pause, Paused: true})
		e.note(noteStore, "the store takes nothing: no message is taken on, and no attempt is made")
	}
	e.retry = e.now.At + retryGap
	e.shift += p.shift
	for _, c := range p.calls {
		e.unsent(c)
	}
	for _, k := range p.keepers {
		if m, ok := k.(*message); ok {
			m.missing = m.missing || m.taken == p.no
			if m.phase == owing && m.tell == p.no {
				// Its end waits for the record, but no longer than for its time to be up.
				m.told = false
				e.timers.push(timer{at: max(m.deadline, e.now.At)}, m)
			}
		}
		e.soil(k)
	}
}

// soil notes that an account has to be written anew.
func (e *Engine) soil(k keeper) {
	a := k.book()
	if m, ok := k.(*message); ok && (m.phase == over || m.phase == arriving) {
		return // its id has an account of its own; it never was in the store
	}
	if !a.dirty {
		a.dirty = true
		e.dirty = append(e.dirty, k)
	}
}

// lost takes up that the store has no more than the batches up to this one: what changed since is written anew.
func (e *Engine) lost(kept Batch) {
	if kept >= e.confirmed {
		return
	}
	for m := e.oldest; m != nil; m = m.behind {
		if m.phase != arriving && m.last > kept {
			m.missing = m.missing || m.taken > kept
			e.soil(m)
		}
	}
	for _, list := range e.ended.soon {
		for _, p := range list {
			if p.last > kept {
				e.soil(p)
			}
		}
	}
	e.soilLeaves(kept+1, e.last)
	e.note(noteStore, "the store lost records; what they said is written anew")
	if !e.down {
		e.writeDirty()
	}
}

// inStore tells that the newest record of an account is in the store.
func (e *Engine) inStore(k keeper) bool { return !k.book().dirty && k.book().last <= e.confirmed }

// writeDirty writes accounts that are not the true ones, some at a time: the next when these are stored.
func (e *Engine) writeDirty() {
	for len(e.dirty) > 0 && len(e.records) < mostDirty {
		k := e.dirty[0]
		e.dirty[0] = nil
		e.dirty = e.dirty[1:]
		k.book().dirty = false
		k.write(e)
	}
}

func (m *message) write(e *Engine) {
	if m.phase == over || m.phase == arriving {
		return
	}
	anew := m.missing
	if anew {
		m.missing, m.taken = false, e.last+1
		if m.anew { // what the store lost may be the end of the earlier life: that one must not go on
			e.record(&RecEnded{ID: m.ID, Disposition: Refused}, m)
		}
		e.record(&RecAccepted{Message: m.Message, Deadline: e.stamp(m.deadline)}, m)
	}
	if m.tries > 0 || m.maybe.set || !anew { // also where there are none: the store may have an attempt that was taken back
		r := &RecState{ID: m.ID, Tries: m.tries, Settled: m.maybe.set || m.out == nil}
		if d := m.doubtful(); d.set {
			r.DoubtAt, r.DoubtZone = e.stamp(d.at), d.zone
		}
		e.record(r, m)
	}
	if m.phase == owing {
		b := e.record(&RecPendingResult{ID: m.ID, PendingResult: m.owed, Undelivered: m.tale.again()}, m)
		if !m.told {
			e.timers.drop(m)
			e.effect(e.done(m, b))
		}
	}
}

func (p *ended) write(e *Engine) {
	b := e.record(p.record(e), p)
	if p.done != nil {
		p.done = &Done{ID: p.done.ID, Disposition: p.done.Disposition, InDoubt: p.done.InDoubt, needs: b}
		e.effect(p.done)
	}
}

// tellAnyway tells an end that could not be recorded. Its time is up: after a restart the message would be given up at
// once, and never sent.
func (e *Engine) tellAnyway(m *message) {
	if !m.told {
		e.effect(e.done(m, 0))
	}
}

// ---- a store that is silent ----

// patience tells when a store that has not answered counts as down, or when one that is down is asked again.
func (e *Engine) patience() (Time, bool) {
	for _, p := range e.pending {
		if p.shift == 0 && !p.given {
			return p.at + e.set.StoreTimeout, true
		}
	}
	return e.retry, e.down && len(e.pending) == 0
}

// overdue gives up waiting for batches that the store has not answered for too long, and looks whether one that was down
// takes records again.
func (e *Engine) overdue() {
	for _, p := range e.pending {
		if p.shift != 0 || p.given {
			continue
		}
		if e.now.At < p.at+e.set.StoreTimeout {
			break
		}
		p.given = true
		e.effect(&Discard{Batch: p.no})
		for _, m := range p.taken {
			if m.phase != arriving {
				continue
			}
			// It may get into the store yet: then it is ended there. Nobody may hand it in again meanwhile.
			for _, t := range m.tickets {
				e.effect(&Answer{Ticket: t, Verdict: Verdict{Kind: Unconfirmed, Reason: "the store does not answer"}})
			}
			e.bookForgone(m)
			e.close(m)
			m.doubt = true
			m.deadline = 0 // whoever comes again hears the truth, not that it is taken
			e.conclude(m, Withdrawn)
		}
		e.soilLeaves(p.no, p.no)
		e.unwritten(p)
	}
	// A store that owes answers is silent still: theirs will tell.
	if e.down && e.now.At >= e.retry && len(e.pending) == 0 {
		e.retry = e.now.At + retryGap
		if e.writeDirty(); len(e.records) == 0 {
			e.record(&RecNoop{}, nil)
		}
	}
}

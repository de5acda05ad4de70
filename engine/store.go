package engine

import (
	"slices"

	"curlewmux/control"
)

// store is the engine's view of its store: batches being written, and records that still have to be written.
type store struct {
	last      Batch    // number of the newest batch
	confirmed Batch    // all batches up to this one are in the store, except those that failed
	records   []Record // of the event that is being handled
	keepers   []keeper // the owners of these records, one for each
	sending   []*call  // the calls whose attempts are among these records
	place     int      // index among the effects where the Append of this event goes
	pending   []*batch // not answered yet, oldest first
	down      bool     // the store accepts nothing, so no attempt is made
	retry     Time     // when it is tried again
	dirty     []keeper // owners whose records in the store are wrong and have to be rewritten

	known  bool // the offset is set
	offset Time // wall time minus the engine's time, as used for timestamps in records
	shift  Time // step of the wall clock that is not recorded yet
}

// restored stands for the batches of all records of earlier processes.
const restored Batch = 0

const (
	retryGap    = 100 * control.Millisecond // between two attempts to write to a store that is down
	steppedOver = 100 * control.Millisecond // smaller offsets of the wall clock are ignored; so this is the error of a timestamp
	mostDirty   = 500                       // approximate number of records that are rewritten in one batch
)

// batch is a batch that the store has not answered yet.
type batch struct {
	no      Batch
	at      Time
	taken   []*message // messages that it accepts
	calls   []*call
	keepers []keeper
	shift   Time
	given   bool // the store did not answer in time
}

// keeper owns records in the store: a message, or the id of an ended one.
type keeper interface {
	book() *account
	// write records the current state.
	write(e *Engine)
}

// account tells which batches hold the records of an owner.
type account struct {
	taken, last Batch // of its first and newest record
	dirty       bool  // the records have to be rewritten
	missing     bool  // the first record is not in the store, or no longer
}

func (a *account) book() *account { return a }

// ---- writing to the store ----

// begin prepares for the records of one event: they all go into one batch.
func (e *Engine) begin() {
	clear(e.keepers)
	e.records, e.keepers, e.sending = nil, e.keepers[:0], nil // the Append owns the records
	e.place = len(e.out)
}

// record adds a record to the batch of this event and returns the batch's number, 0 without a store.
func (e *Engine) record(r Record, k keeper) Batch {
	if !e.set.HasStore {
		return 0
	}
	if e.records == nil && e.books != nil {
		e.records = make([]Record, 0, 3) // a ledger leaf follows
	}
	e.records = append(e.records, r)
	if k != nil {
		e.keepers = append(e.keepers, k)
		k.book().last = e.last + 1
	}
	return e.last + 1
}

// needs returns the batch of this event, 0 if it has none.
func (e *Engine) needs() Batch {
	if len(e.records) == 0 {
		return 0
	}
	return e.last + 1
}

// commit emits the Append of this event's records, before the effects that require it.
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

// clock updates the two clocks. Timestamps use one offset between them. A step of the wall clock is recorded, so that
// earlier timestamps stay correct.
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

// recordShift records a step of the wall clock, in a batch of its own, so that it is not lost with a message for which the
// store has no room.
func (e *Engine) recordShift() {
	if e.shift != 0 && e.set.HasStore && !e.down {
		e.last++
		e.pending = append(e.pending, &batch{no: e.last, at: e.now.At, shift: e.shift})
		e.effect(&Append{Batch: e.last, Records: []Record{&RecClockStep{By: int64(e.shift)}}})
		e.shift = 0
		e.place = len(e.out)
	}
}

// stamp converts a time of the engine to a timestamp.
func (e *Engine) stamp(t Time) Timestamp { return Timestamp(t + e.offset) }

// ---- answers of the store ----

// stored handles that all batches up to b are in the store.
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

// failed handles that a batch is not in the store.
func (e *Engine) failed(no Batch, full bool) {
	for i, p := range e.pending {
		if p.no != no {
			continue
		}
		e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
		if p.given { // it was rolled back when it timed out, and is being rewritten
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
	if no <= e.confirmed && no > 0 { // reported as stored before
		e.lost(no - 1)
	}
}

// notTaken rejects and removes a message that never got into the store.
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

// unwritten rolls back what a failed batch recorded, as far as possible. The rest is rewritten when the store accepts
// records again. Until then no attempt is made.
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
				// Its Done waits for the record, but no longer than until its deadline.
				m.told = false
				e.timers.push(timer{at: max(m.deadline, e.now.At)}, m)
			}
		}
		e.soil(k)
	}
}

// soil marks an owner's records to be rewritten.
func (e *Engine) soil(k keeper) {
	a := k.book()
	if m, ok := k.(*message); ok && (m.phase == over || m.phase == arriving) {
		return // finished: the id has its own records; storing: it never was in the store
	}
	if !a.dirty {
		a.dirty = true
		e.dirty = append(e.dirty, k)
	}
}

// lost handles that the store has only the batches up to kept: what changed since is rewritten.
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

// inStore reports whether the newest record of an owner is in the store.
func (e *Engine) inStore(k keeper) bool { return !k.book().dirty && k.book().last <= e.confirmed }

// writeDirty rewrites the records of dirty owners, some at a time: the next ones when these are stored.
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
		if m.anew { // the store may have lost the end of the earlier message with this id, which must not be resumed
			e.record(&RecEnded{ID: m.ID, Disposition: Refused}, m)
		}
		e.record(&RecAccepted{Message: m.Message, Deadline: e.stamp(m.deadline)}, m)
	}
	if m.tries > 0 || m.maybe.set || !anew { // without tries, too: the store may have an attempt that was rolled back
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

// tellAnyway emits the Done of an end that could not be recorded. The message's deadline has passed, so that after a
// restart it would expire at once and never be sent.
func (e *Engine) tellAnyway(m *message) {
	if !m.told {
		e.effect(e.done(m, 0))
	}
}

// ---- a store that does not answer ----

// patience returns when a store that has not answered counts as down, or when one that is down is tried again.
func (e *Engine) patience() (Time, bool) {
	for _, p := range e.pending {
		if p.shift == 0 && !p.given {
			return p.at + e.set.StoreTimeout, true
		}
	}
	return e.retry, e.down && len(e.pending) == 0
}

// overdue stops waiting for batches that the store has not answered in time, and tests whether a store that is down
// accepts records again.
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
			// It may still get into the store: then its end is recorded there, too. Nobody may submit it again until then.
			for _, t := range m.tickets {
				e.effect(&Answer{Ticket: t, Verdict: Verdict{Kind: Unconfirmed, Reason: "the store does not answer"}})
			}
			e.bookForgone(m)
			e.close(m)
			m.doubt = true
			m.deadline = 0 // a repeated submission must not be answered as accepted
			e.conclude(m, Withdrawn)
		}
		e.soilLeaves(p.no, p.no)
		e.unwritten(p)
	}
	// A store with unanswered batches still does not respond: its answers will show when it does.
	if e.down && e.now.At >= e.retry && len(e.pending) == 0 {
		e.retry = e.now.At + retryGap
		if e.writeDirty(); len(e.records) == 0 {
			e.record(&RecNoop{}, nil)
		}
	}
}

package engine

import (
	"slices"

	"curlewmux/control"
)

// store is the engine's view of its store: batches being written, and records that still have to be written.
type store struct {
	lastBatch         Batch         // number of the newest batch
	storedUpTo        Batch         // all batches up to this one are in the store, except those that failed
	records           []Record      // of the event that is being handled
	recordOwners      []recordOwner // the owners of these records, one for each
	recordedCalls     []*call       // the calls whose attempts are among these records
	appendIndex       int           // index among the effects where the Append of this event goes
	unansweredBatches []*batch      // not answered yet, oldest first
	storeDown         bool          // the store accepts nothing, so no attempt is made
	storeRetryAt      Time          // when it is tried again
	dirtyOwners       []recordOwner // owners whose records in the store are wrong and have to be rewritten

	wallOffsetKnown bool // the offset is set
	wallOffset      Time // wall time minus the engine's time, as used for timestamps in records
	clockStep       Time // step of the wall clock that is not recorded yet
}

// restoredBatch stands for the batches of all records of earlier processes.
const restoredBatch Batch = 0

const (
	storeRetryInterval  = 100 * control.Millisecond // between two attempts to write to a store that is down
	clockTolerance      = 100 * control.Millisecond // smaller deviations of the wall clock are ignored, so a timestamp may be wrong by this much
	maxRewrittenRecords = 500                       // approximate number of records that are rewritten in one batch
)

// batch is a batch that the store has not answered yet.
type batch struct {
	number     Batch
	appendedAt Time
	accepted   []*message // messages that it accepts
	calls      []*call
	owners     []recordOwner
	clockStep  Time
	timedOut   bool // the store did not answer in time
}

// recordOwner owns records in the store: a message, or the id of an ended one.
type recordOwner interface {
	state() *recordState
	// write records the current state.
	write(e *Engine)
}

// recordState says which batches contain the records of an owner.
type recordState struct {
	firstBatch, lastBatch Batch // of its first and newest record
	dirty                 bool  // the records have to be rewritten
	firstMissing          bool  // the first record is not in the store, or no longer
}

func (a *recordState) state() *recordState { return a }

// beginBatch prepares for the records of one event: they all go into one batch.
func (e *Engine) beginBatch() {
	clear(e.recordOwners)
	e.records, e.recordOwners, e.recordedCalls = nil, e.recordOwners[:0], nil // the Append owns the records
	e.appendIndex = len(e.effects)
}

// record adds a record to the batch of this event and returns the batch's number, 0 without a store.
func (e *Engine) record(r Record, k recordOwner) Batch {
	if !e.settings.HasStore {
		return 0
	}
	if e.records == nil && e.ledger != nil {
		e.records = make([]Record, 0, 3) // a ledger leaf follows
	}
	e.records = append(e.records, r)
	if k != nil {
		e.recordOwners = append(e.recordOwners, k)
		k.state().lastBatch = e.lastBatch + 1
	}
	return e.lastBatch + 1
}

// currentBatch returns the batch of this event, 0 if it has none.
func (e *Engine) currentBatch() Batch {
	if len(e.records) == 0 {
		return 0
	}
	return e.lastBatch + 1
}

// commitBatch emits the Append of this event's records, before the effects that require it.
func (e *Engine) commitBatch() {
	if len(e.records) == 0 {
		return
	}
	e.lastBatch++
	b := &batch{number: e.lastBatch, appendedAt: e.now.At, calls: e.recordedCalls, owners: append([]recordOwner(nil), e.recordOwners...)}
	for _, r := range e.records {
		if t, ok := r.(*RecAccepted); ok {
			if m := e.messageByID[t.Message.ID]; m != nil && m.phase == storing {
				b.accepted = append(b.accepted, m)
			}
		}
	}
	e.unansweredBatches = append(e.unansweredBatches, b)
	e.effects = append(e.effects, nil)
	copy(e.effects[e.appendIndex+1:], e.effects[e.appendIndex:])
	e.effects[e.appendIndex] = &Append{Batch: b.number, Records: e.records}
}

// updateClock updates the two clocks. Timestamps use one offset between them. A step of the wall clock is recorded,
// so that earlier timestamps stay correct.
func (e *Engine) updateClock(now Now) {
	offset := Time(now.Wall) - now.At
	e.now = now
	if !e.wallOffsetKnown {
		e.wallOffsetKnown, e.wallOffset = true, offset
		return
	}
	if by := offset - e.wallOffset; by > clockTolerance || by < -clockTolerance {
		e.wallOffset = offset
		e.clockStep += by
	}
	e.recordClockStep()
}

// recordClockStep records a step of the wall clock, in a batch of its own, so that it is not lost with a message for
// which the store has no room.
func (e *Engine) recordClockStep() {
	if e.clockStep != 0 && e.settings.HasStore && !e.storeDown {
		e.lastBatch++
		e.unansweredBatches = append(e.unansweredBatches, &batch{number: e.lastBatch, appendedAt: e.now.At, clockStep: e.clockStep})
		e.effect(&Append{Batch: e.lastBatch, Records: []Record{&RecClockStep{By: int64(e.clockStep)}}})
		e.clockStep = 0
		e.appendIndex = len(e.effects)
	}
}

// timestamp converts a time of the engine to a timestamp.
func (e *Engine) timestamp(t Time) Timestamp { return Timestamp(t + e.wallOffset) }

// batchesStored handles that all batches up to b are in the store.
func (e *Engine) batchesStored(b Batch) {
	if b <= e.storedUpTo {
		return
	}
	e.storedUpTo = b
	for len(e.unansweredBatches) > 0 && e.unansweredBatches[0].number <= b {
		p := e.unansweredBatches[0]
		e.unansweredBatches[0] = nil
		e.unansweredBatches = e.unansweredBatches[1:]
		for _, c := range p.calls {
			c.stored = true
		}
		for _, k := range p.owners {
			if past, ok := k.(*endedMessage); ok {
				past.pendingDone = nil
			}
		}
		for _, m := range p.accepted {
			switch {
			case m.phase != storing:
			case m.withdrawn:
				m.phase = dispatching
				e.postAcceptance(m)
				e.end(m, Withdrawn, 0)
			default:
				m.phase = dispatching
				e.postAcceptance(m)
				e.enqueue(m, false)
			}
		}
	}
	if e.storeDown && !slices.ContainsFunc(e.unansweredBatches, func(p *batch) bool { return p.timedOut }) {
		e.storeDown = false
		e.queueEvent(control.Event{Kind: control.Pause})
	}
	e.writeDirty()
}

// batchFailed handles that a batch is not in the store.
func (e *Engine) batchFailed(no Batch, full bool) {
	for i, p := range e.unansweredBatches {
		if p.number != no {
			continue
		}
		e.unansweredBatches = append(e.unansweredBatches[:i:i], e.unansweredBatches[i+1:]...)
		if p.timedOut { // it was rolled back when it timed out, and is being rewritten
			return
		}
		e.markLeavesDirty(no, no)
		for _, m := range p.accepted {
			if m.phase == storing {
				why := "the store takes nothing"
				if full {
					why = "the store has no room"
				}
				e.rejectUnstored(m, Verdict{Kind: Busy, RetryAfter: Duration(rejectedRetryAfter), Reason: why})
			}
		}
		if full && len(p.accepted) > 0 {
			return
		}
		e.rollBackBatch(p)
		return
	}
	if no <= e.storedUpTo && no > 0 { // reported as stored before
		e.batchesLost(no - 1)
	}
}

// rejectUnstored rejects and removes a message that never got into the store.
func (e *Engine) rejectUnstored(m *message, v Verdict) {
	for _, t := range m.tickets {
		e.effect(&Answer{Ticket: t, Verdict: v})
	}
	e.dropAcceptance(m)
	e.closeMessage(m)
	e.ledger.messageRemoved(m)
	e.removeMessage(m)
	if m.earlierEnd != nil {
		e.endedIDs.add(m.earlierEnd)
	}
}

// rollBackBatch rolls back what a failed batch recorded, as far as possible. The rest is rewritten when the store accepts
// records again. Until then no attempt is made.
func (e *Engine) rollBackBatch(p *batch) {
	if !e.storeDown {
		e.storeDown = true
		e.queueEvent(control.Event{Kind: control.Pause, Paused: true})
		e.note(noteStore, "the store accepts no records: no message is accepted and no attempt is made")
	}
	e.storeRetryAt = e.now.At + storeRetryInterval
	e.clockStep += p.clockStep
	for _, c := range p.calls {
		e.rollBackCall(c)
	}
	for _, k := range p.owners {
		if m, ok := k.(*message); ok {
			m.firstMissing = m.firstMissing || m.firstBatch == p.number
			if m.phase == notifying && m.doneBatch == p.number {
				// Its Done waits for the record, but no longer than until its deadline.
				m.doneEmitted = false
				e.timers.push(timer{at: max(m.deadline, e.now.At)}, m)
			}
		}
		e.markDirty(k)
	}
}

// markDirty marks an owner's records to be rewritten.
func (e *Engine) markDirty(k recordOwner) {
	a := k.state()
	if m, ok := k.(*message); ok && (m.phase == finished || m.phase == storing) {
		return // finished: the id has its own records; storing: it never was in the store
	}
	if !a.dirty {
		a.dirty = true
		e.dirtyOwners = append(e.dirtyOwners, k)
	}
}

// batchesLost handles that the store has only the batches up to kept: what changed since is rewritten.
func (e *Engine) batchesLost(kept Batch) {
	if kept >= e.storedUpTo {
		return
	}
	for m := e.oldestMessage; m != nil; m = m.next {
		if m.phase != storing && m.lastBatch > kept {
			m.firstMissing = m.firstMissing || m.firstBatch > kept
			e.markDirty(m)
		}
	}
	for _, list := range e.endedIDs.heaps {
		for _, p := range list {
			if p.lastBatch > kept {
				e.markDirty(p)
			}
		}
	}
	e.markLeavesDirty(kept+1, e.lastBatch)
	e.note(noteStore, "the store lost records; they are written again")
	if !e.storeDown {
		e.writeDirty()
	}
}

// inStore reports whether the newest record of an owner is in the store.
func (e *Engine) inStore(k recordOwner) bool {
	return !k.state().dirty && k.state().lastBatch <= e.storedUpTo
}

// writeDirty rewrites the records of dirty owners, some at a time. The next ones follow when these are stored.
func (e *Engine) writeDirty() {
	for len(e.dirtyOwners) > 0 && len(e.records) < maxRewrittenRecords {
		k := e.dirtyOwners[0]
		e.dirtyOwners[0] = nil
		e.dirtyOwners = e.dirtyOwners[1:]
		k.state().dirty = false
		k.write(e)
	}
}

func (m *message) write(e *Engine) {
	if m.phase == finished || m.phase == storing {
		return
	}
	firstMissing := m.firstMissing
	if firstMissing {
		m.firstMissing, m.firstBatch = false, e.lastBatch+1
		if m.reusesID { // the store may have lost the end of the earlier message with this id, which must not be resumed
			e.record(&RecEnded{ID: m.ID, Disposition: Refused}, m)
		}
		e.record(&RecAccepted{Message: m.Message, Deadline: e.timestamp(m.deadline)}, m)
	}
	if m.tries > 0 || m.firstDoubt.set || !firstMissing { // without tries, too: the store may have an attempt that was rolled back
		r := &RecState{ID: m.ID, Tries: m.tries, Settled: m.firstDoubt.set || m.inFlight == nil}
		if d := m.firstPossibleRun(); d.set {
			r.DoubtAt, r.DoubtZone = e.timestamp(d.at), d.zone
		}
		e.record(r, m)
	}
	if m.phase == notifying {
		b := e.record(&RecPendingResult{ID: m.ID, PendingResult: m.pending, Undelivered: m.history.rewritten()}, m)
		if !m.doneEmitted {
			e.timers.drop(m)
			e.effect(e.doneEffect(m, b))
		}
	}
}

func (p *endedMessage) write(e *Engine) {
	b := e.record(p.record(e), p)
	if p.pendingDone != nil {
		p.pendingDone = &Done{ID: p.pendingDone.ID, Disposition: p.pendingDone.Disposition, InDoubt: p.pendingDone.InDoubt, requiredBatch: b}
		e.effect(p.pendingDone)
	}
}

// emitUnrecordedDone emits the Done of an end that could not be recorded. The message's deadline has passed, so that
// after a restart it would expire at once and never be sent.
func (e *Engine) emitUnrecordedDone(m *message) {
	if !m.doneEmitted {
		e.effect(e.doneEffect(m, 0))
	}
}

// nextStoreCheck returns when a store that has not answered counts as down, or when one that is down is tried again.
func (e *Engine) nextStoreCheck() (Time, bool) {
	for _, p := range e.unansweredBatches {
		if p.clockStep == 0 && !p.timedOut {
			return p.appendedAt + e.settings.StoreTimeout, true
		}
	}
	return e.storeRetryAt, e.storeDown && len(e.unansweredBatches) == 0
}

// checkStore stops waiting for batches that the store has not answered in time, and tests whether a store that is down
// accepts records again.
func (e *Engine) checkStore() {
	for _, p := range e.unansweredBatches {
		if p.clockStep != 0 || p.timedOut {
			continue
		}
		if e.now.At < p.appendedAt+e.settings.StoreTimeout {
			break
		}
		p.timedOut = true
		e.effect(&Discard{Batch: p.number})
		for _, m := range p.accepted {
			if m.phase != storing {
				continue
			}
			// It may still get into the store: then its end is recorded there, too. Nobody may submit it again until then.
			for _, t := range m.tickets {
				e.effect(&Answer{Ticket: t, Verdict: Verdict{Kind: Unconfirmed, Reason: "the store does not answer"}})
			}
			e.dropAcceptance(m)
			e.closeMessage(m)
			m.inDoubt = true
			m.deadline = 0 // a repeated submission must not be answered as accepted
			e.conclude(m, Withdrawn)
		}
		e.markLeavesDirty(p.number, p.number)
		e.rollBackBatch(p)
	}
	// A store with unanswered batches still does not respond: its answers will show when it does.
	if e.storeDown && e.now.At >= e.storeRetryAt && len(e.unansweredBatches) == 0 {
		e.storeRetryAt = e.now.At + storeRetryInterval
		if e.writeDirty(); len(e.records) == 0 {
			e.record(&RecNoop{}, nil)
		}
	}
}

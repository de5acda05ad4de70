package engine

import (
	"fmt"

	"curlewmux/control"
)

const (
	rejectedRetryAfter = control.Second      // retry-after of a submission rejected for lack of room, store or endpoint list
	cleanupInterval    = 10 * control.Second // time between two cleanups of ids and endpoints that are no longer needed
	noteInterval       = control.Second      // minimum time between two notes of one kind

	// Long work is split into parts, one per tick, so that nothing waits long for it: a part takes less than a millisecond.
	maxPerPart       = 500  // endpoints of a list, or endpoints or ids to remove, per part
	maxTimersPerPart = 1000 // timers that fire per tick, or 1/maxTimerParts of all timers if that is more
	maxTimerParts    = 32   // so each message past its deadline ends within 32 ticks
)

// Engine holds one dispatcher's messages from their submission to their end. It is not safe for concurrent use.
type Engine struct {
	settings Settings
	module   *control.Dispatcher
	now      Now
	effects  []Effect // of the event that is being handled

	messages              // message.go
	ids                   // ids.go
	calls                 // call.go
	members               // member.go
	store                 // store.go
	ledger   *ledgerState // books.go; nil if no ledger is kept

	events            []control.Event // for the decision module's next Step
	actions           []control.Action
	stepDue           Time // when the Step that handles events is due
	lastStep          Time // time of the last Step
	timers            timers
	stopped           bool
	lastCleanup       Time
	expiringIDs       bool // more ids have to expire than fit into one part
	removingEndpoints bool // more endpoints have to be removed than fit into one part
	lastNotes         [noteKinds]Time
}

// New returns an engine, or an error that names the invalid setting.
func New(s Settings) (*Engine, error) {
	if err := s.setDefaults(); err != nil {
		return nil, err
	}
	mod, err := control.New(s.Control, s.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &Engine{settings: s, module: mod, messages: newMessages(), ids: newIDs(), calls: newCalls(), members: newMembers()}
	if e.ledger, err = newLedgerState(s.Ledger); err != nil {
		return nil, fmt.Errorf("engine: setting Ledger: %w", err)
	}
	return e, nil
}

// Handle handles one event and returns the effects, which are to be carried out in this order. The caller owns the
// effects, but the slice is valid only until the next call. An Append comes before the effects that require it.
func (e *Engine) Handle(now Now, ev Event) []Effect {
	now.At = max(now.At, e.now.At)
	e.effects = e.effects[:0]
	e.updateClock(now)
	if e.ledger != nil {
		e.ledger.SetWallTime(int64(e.now.Wall))
	}
	e.beginBatch()
	switch ev := ev.(type) {
	case *Submit:
		e.submit(ev)
	case *SubmitAll:
		e.submitAll(ev)
	case *Withdraw:
		e.withdraw(ev.ID)
	case *RestoredLedger:
		e.restoreLedger(ev)
	case *RestoredMessage:
		e.restoring = append(e.restoring, ev)
	case *RestoredEnd:
		e.restoreEnd(ev)
	case *RestoreComplete:
		e.reconcileLedger()
		e.restore(ev.LatestTimestamp)
	case *Members:
		e.receiveReport(ev)
	case *Stored:
		e.batchesStored(ev.Batch)
	case *StoreFailed:
		e.batchFailed(ev.Batch, ev.Full)
	case *StoreLost:
		e.batchesLost(ev.LastKept)
	case *MayWrite:
		e.mayWrite(ev.Call)
	case *FirstLine:
		e.firstLine(ev.Call)
	case *Ended:
		e.outcomes(ev)
	case *Notified:
		e.notified(ev.IDs)
	case *RequestLedger:
		e.snapshotLedger(ev.Ticket)
	case *Stop:
		e.stopped = true
		if e.ledger != nil {
			e.ledger.writeLeaves = true
		}
	case *Fleet:
		e.queueEvent(control.Event{Kind: control.FleetSize, Instances: ev.Instances})
	case *Wake: // only Wake does this work, so that a batch that accepts a message contains nothing else
		e.checkStore()
		e.endWaits()
		if at, ok := e.nextStep(); ok && at <= e.now.At {
			e.step()
		}
		e.processReports()
		e.cleanUp()
	}
	e.audit()
	e.recordLedger()
	e.commitBatch()
	return e.effects
}

// NextWake returns when the engine wants to be woken if no other event comes.
func (e *Engine) NextWake() (Time, bool) {
	at, ok := e.nextStep()
	if t, waits := e.nextStoreCheck(); waits && (!ok || t < at) {
		at, ok = t, true
	}
	if !ok {
		at = e.lastCleanup + cleanupInterval
	}
	for _, ep := range e.waitingEndpoints {
		at = min(at, ep.waitUntil)
	}
	if t, ok := e.nextLedgerEvent(); ok {
		at = min(at, t)
	}
	if soon := e.now.At + e.settings.Control.Tick; soon < at && (e.expiringIDs || e.removingEndpoints || len(e.reports) > 0) {
		at = soon
	}
	return at, true
}

// OpenMessages is the number of messages that are accepted, or about to be, and have not ended.
func (e *Engine) OpenMessages() int { return e.open }

// Condition returns the condition of a destination and this dispatcher's share of its listed rate, in calls a second, 0
// if none is listed. It does not change the engine.
func (e *Engine) Condition(dest int) (control.Condition, float64) {
	if e.storeDown || e.stopped || !e.isNamed(dest) {
		return control.Unavailable, 0
	}
	return e.module.Condition(e.now.At, dest)
}

// CallsOut is the number of calls out.
func (e *Engine) CallsOut() int { return len(e.callByID) }

// Endpoints is the number of endpoints that are known and not gone.
func (e *Engine) Endpoints() (n int) {
	for _, ep := range e.allEndpoints {
		if ep.phase != Gone {
			n++
		}
	}
	return n
}

// nextStep returns when the next Step is wanted. Steps come at multiples of the tick, so that all events of one tick are
// decided together and messages to one endpoint share a call.
func (e *Engine) nextStep() (Time, bool) {
	timer, waits := e.timers.next()
	if e.stopped || len(e.events) == 0 && !waits {
		return 0, false
	}
	tick := e.settings.Control.Tick
	at := e.stepDue
	if waits {
		if t := (timer + tick - 1) / tick * tick; len(e.events) == 0 || t < at {
			at = t
		}
	}
	if e.settings.Prompt && len(e.events) > 0 {
		return at, true
	}
	return max(at, (e.lastStep/tick+1)*tick), true
}

// queueEvent queues an event for the module's next Step.
func (e *Engine) queueEvent(ev control.Event) {
	at := e.now.At
	if !e.settings.Prompt || e.open == 0 { // with no open message, nobody waits for the Step's decisions
		at = (e.now.At/e.settings.Control.Tick + 1) * e.settings.Control.Tick
	}
	if len(e.events) == 0 || at < e.stepDue {
		e.stepDue = at
	}
	e.events = append(e.events, ev)
}

// step runs one Step of the module and carries out its actions.
func (e *Engine) step() {
	e.lastStep = e.now.At
	for range max(maxTimersPerPart, len(e.timers.list)/maxTimerParts) {
		t, ok := e.timers.pop(e.now.At)
		if !ok {
			break
		}
		if t.message != nil && t.message.phase == notifying { // its deadline has passed and its end could not be recorded
			e.emitUnrecordedDone(t.message)
			continue
		}
		e.events = append(e.events, control.Event{Kind: control.Tick, TimerID: t.mark})
	}
	for i := range e.events {
		if ev := &e.events[i]; ev.Kind == control.Arrival { // durations count from now, after the wait for this Step
			ev.TimeLeft = 0
			if m := e.messageByNumber[ev.Message]; m != nil {
				ev.TimeLeft = m.deadline - e.now.At
				if m.firstDoubt.set {
					ev.DoubtAge, ev.DoubtZone = max(e.now.At-m.firstDoubt.at, 1), m.firstDoubt.zone
				}
			}
		}
	}
	e.actions = e.module.Step(e.now.At, e.events, e.actions[:0])
	clear(e.events)
	e.events = e.events[:0]
	var calls []*call
	for _, a := range e.actions {
		switch a.Kind {
		case control.Send:
			calls = e.addAttempt(calls, a)
		case control.Refuse, control.Fail:
			if m := e.messageByNumber[a.Message]; m != nil {
				how := Failed
				if a.Kind == control.Refuse {
					how = Refused
				}
				e.end(m, how, Duration(a.After))
			}
		case control.Cancel:
			e.cancelAttempt(a.Message, a.Attempt)
		case control.Timer:
			e.timers.push(timer{at: e.now.At + a.After, mark: a.TimerID}, e.messageByNumber[a.Message])
		case control.Close:
			if ep := e.endpointByNumber[a.Endpoint]; ep != nil {
				e.effect(&CloseIdle{Endpoint: ep.number, Addr: ep.addr})
			}
		case control.Note:
			e.effect(&Note{Text: "module: " + a.Text})
		case control.Probe: // the module never requests one
		}
	}
	e.launch(calls)
}

func (e *Engine) effect(f Effect) { e.effects = append(e.effects, f) }

// Kinds of notes.
const (
	noteStore = iota
	noteUnknown
	noteMembers
	noteKinds
)

// note logs a lasting fault for operators, at most once every noteInterval for each kind.
func (e *Engine) note(kind int, format string, args ...any) {
	if at := e.lastNotes[kind]; at != 0 && e.now.At-at < noteInterval {
		return
	}
	e.lastNotes[kind] = e.now.At
	e.effect(&Note{Fault: true, Text: fmt.Sprintf(format, args...)})
}

// cleanUp removes ids and endpoints that are no longer needed, in parts.
func (e *Engine) cleanUp() {
	if e.now.At-e.lastCleanup >= cleanupInterval {
		e.lastCleanup, e.expiringIDs, e.removingEndpoints = e.now.At, true, true
	}
	if e.removingEndpoints && len(e.reports) == 0 { // while reports are processed, the indexes into allEndpoints must not shift
		e.removingEndpoints = e.removeGone(maxPerPart)
	}
	if e.expiringIDs {
		e.expiringIDs = e.expireIDs(maxPerPart)
	}
}

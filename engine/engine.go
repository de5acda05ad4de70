package engine

import (
	"fmt"

	"curlewmux/control"
)

const (
	turnedAway = control.Second      // what those are told to wait who find no room, store or list
	seldom     = 10 * control.Second // how often what is of no more use is looked for
	noteGap    = control.Second      // between two notes of one kind

	// What takes long is done in parts, one a tick, so that nothing waits for it: a part takes less than a millisecond.
	atOnce       = 500  // endpoints of a list, or that are forgotten, or ids
	timersAtOnce = 1000 // messages whose time is up, and the module's other timers; or
	timerParts   = 32   // one part in so many of all, if that is more: each end is told within 32 ticks
)

// Engine is one dispatcher's messages from being handed in to their ends. It is not safe for concurrent use.
type Engine struct {
	set Settings
	mod *control.Dispatcher
	now Now
	out []Effect // of the event being handled

	messages        // message.go
	ids             // ids.go
	calls           // call.go
	members         // member.go
	store           // store.go
	books    *books // books.go; nil: none are kept

	events     []control.Event // for the module, at its next Step
	actions    []control.Action
	first      Time // when the Step is due that handles events
	stepped    Time // when the last Step was
	timers     timers
	stopped    bool
	tidied     Time
	tidying    bool // there was more to forget than is done at once: ids
	forgetting bool // the same: endpoints
	noted      [noteKinds]Time
}

// New returns an engine, or an error that names the setting at fault.
func New(s Settings) (*Engine, error) {
	if err := s.fill(); err != nil {
		return nil, err
	}
	mod, err := control.New(s.Control, s.Seed)
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	e := &Engine{set: s, mod: mod, messages: newMessages(), ids: newIDs(), calls: newCalls(), members: newMembers()}
	if e.books, err = newBooks(s.Ledger); err != nil {
		return nil, fmt.Errorf("engine: setting Ledger: %w", err)
	}
	return e, nil
}

// Handle takes one event and returns what is to be done, in this order. The effects are the caller's; the slice is good
// until the next call. An Append comes before the effects that need it.
func (e *Engine) Handle(now Now, ev Event) []Effect {
	now.At = max(now.At, e.now.At)
	e.out = e.out[:0]
	e.clock(now)
	if e.books != nil {
		e.books.SetWallTime(int64(e.now.Wall))
	}
	e.begin()
	switch ev := ev.(type) {
	case *Submit:
		e.handIn(ev)
	case *SubmitAll:
		e.handInAll(ev)
	case *Withdraw:
		e.withdraw(ev.ID)
	case *RestoredLedger:
		e.restoreLedger(ev)
	case *RestoredMessage:
		e.restoring = append(e.restoring, ev)
	case *RestoredEnd:
		e.restoreEnd(ev)
	case *RestoreComplete:
		e.restoreBooks()
		e.restore(ev.LatestTimestamp)
	case *Members:
		e.tellMembers(ev)
	case *Stored:
		e.stored(ev.Batch)
	case *StoreFailed:
		e.failed(ev.Batch, ev.Full)
	case *StoreLost:
		e.lost(ev.LastKept)
	case *MayWrite:
		e.mayWrite(ev.Call)
	case *FirstLine:
		e.firstLine(ev.Call)
	case *Ended:
		e.outcomes(ev)
	case *Notified:
		e.through(ev.IDs)
	case *RequestLedger:
		e.ask(ev.Ticket)
	case *Stop:
		e.stopped = true
		if e.books != nil {
			e.books.force = true
		}
	case *Fleet:
		e.tell(control.Event{Kind: control.FleetSize, Instances: ev.Instances})
	case *Wake: // nothing else is done here, so that a batch that takes a message holds nothing else
		e.overdue()
		e.letOn()
		if at, ok := e.due(); ok && at <= e.now.At {
			e.step()
		}
		e.takeLists()
		e.tidy()
	}
	e.sweep()
	e.keepBooks()
	e.commit()
	return e.out
}

// NextWake tells when the engine wants to be woken, if nothing else comes.
func (e *Engine) NextWake() (Time, bool) {
	at, ok := e.due()
	if t, waits := e.patience(); waits && (!ok || t < at) {
		at, ok = t, true
	}
	if !ok {
		at = e.tidied + seldom
	}
	for _, ep := range e.held {
		at = min(at, ep.held)
	}
	if t, ok := e.booksDue(); ok {
		at = min(at, t)
	}
	if soon := e.now.At + e.set.Control.Tick; soon < at && (e.tidying || e.forgetting || len(e.listings) > 0) {
		at = soon
	}
	return at, true
}

// OpenMessages is how many messages are held: taken, or about to be, and without an end.
func (e *Engine) OpenMessages() int { return e.open }

// Condition tells how a destination does, and the calls a second that are listed for it as this dispatcher's part, 0 if
// none are. It changes nothing.
func (e *Engine) Condition(dest int) (control.Condition, float64) {
	if e.down || e.stopped || !e.isNamed(dest) {
		return control.Unavailable, 0
	}
	return e.mod.Condition(e.now.At, dest)
}

// CallsOut is how many calls are out.
func (e *Engine) CallsOut() int { return len(e.byCall) }

// Endpoints is how many endpoints are known and not gone.
func (e *Engine) Endpoints() (n int) {
	for _, ep := range e.all {
		if ep.phase != Gone {
			n++
		}
	}
	return n
}

// due tells when the next Step is wanted: on the grid of ticks, so that what comes within one tick is decided together
// and messages to one endpoint share a call.
func (e *Engine) due() (Time, bool) {
	timer, waits := e.timers.next()
	if e.stopped || len(e.events) == 0 && !waits {
		return 0, false
	}
	tick := e.set.Control.Tick
	at := e.first
	if waits {
		if t := (timer + tick - 1) / tick * tick; len(e.events) == 0 || t < at {
			at = t
		}
	}
	if e.set.Prompt && len(e.events) > 0 {
		return at, true
	}
	return max(at, (e.stepped/tick+1)*tick), true
}

// tell queues what the module is told at the next Step.
func (e *Engine) tell(ev control.Event) {
	at := e.now.At
	if !e.set.Prompt || e.open == 0 { // with nothing held nobody waits for what the Step decides
		at = (e.now.At/e.set.Control.Tick + 1) * e.set.Control.Tick
	}
	if len(e.events) == 0 || at < e.first {
		e.first = at
	}
	e.events = append(e.events, ev)
}

// step is one round of the module.
func (e *Engine) step() {
	e.stepped = e.now.At
	for range max(timersAtOnce, len(e.timers.list)/timerParts) {
		t, ok := e.timers.pop(e.now.At)
		if !ok {
			break
		}
		if t.message != nil && t.message.phase == owing { // its time is up while its end could not be recorded
			e.tellAnyway(t.message)
			continue
		}
		e.events = append(e.events, control.Event{Kind: control.Tick, TimerID: t.mark})
	}
	for i := range e.events {
		if ev := &e.events[i]; ev.Kind == control.Arrival { // its spans end now, after the wait for this Step
			ev.TimeLeft = 0
			if m := e.byNum[ev.Message]; m != nil {
				ev.TimeLeft = m.deadline - e.now.At
				if m.maybe.set {
					ev.DoubtAge, ev.DoubtZone = max(e.now.At-m.maybe.at, 1), m.maybe.zone
				}
			}
		}
	}
	e.actions = e.mod.Step(e.now.At, e.events, e.actions[:0])
	clear(e.events)
	e.events = e.events[:0]
	var calls []*call
	for _, a := range e.actions {
		switch a.Kind {
		case control.Send:
			calls = e.send(calls, a)
		case control.Refuse, control.Fail:
			if m := e.byNum[a.Message]; m != nil {
				how := Failed
				if a.Kind == control.Refuse {
					how = Refused
				}
				e.end(m, how, Duration(a.After))
			}
		case control.Cancel:
			e.cancel(a.Message, a.Attempt)
		case control.Timer:
			e.timers.push(timer{at: e.now.At + a.After, mark: a.TimerID}, e.byNum[a.Message])
		case control.Close:
			if ep := e.byNumber[a.Endpoint]; ep != nil {
				e.effect(&CloseIdle{Endpoint: ep.num, Addr: ep.addr})
			}
		case control.Note:
			e.effect(&Note{Text: "module: " + a.Text})
		case control.Probe: // the module asks for none
		}
	}
	e.launch(calls)
}

func (e *Engine) effect(f Effect) { e.out = append(e.out, f) }

// Kinds of note.
const (
	noteStore = iota
	noteUnknown
	noteMembers
	noteKinds
)

// note tells operators of a lasting fault, now and then.
func (e *Engine) note(kind int, format string, args ...any) {
	if at := e.noted[kind]; at != 0 && e.now.At-at < noteGap {
		return
	}
	e.noted[kind] = e.now.At
	e.effect(&Note{Fault: true, Text: fmt.Sprintf(format, args...)})
}

// tidy forgets what is of no more use, in parts.
func (e *Engine) tidy() {
	if e.now.At-e.tidied >= seldom {
		e.tidied, e.tidying, e.forgetting = e.now.At, true, true
	}
	if e.forgetting && len(e.listings) == 0 { // else their places among all would shift
		e.forgetting = e.forgetGone(atOnce)
	}
	if e.tidying {
		e.tidying = e.expire(atOnce)
	}
}

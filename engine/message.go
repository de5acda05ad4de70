package engine

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/ledger"
)

// message is a message from its submission until its end is recorded and its client notified.
type message struct {
	Message
	number      control.MessageID
	class       *control.Class
	classIndex  int
	tenantIndex int
	fingerprint uint64
	deadline    Time
	addedAt     Time // when this process got it
	uniqueID    bool // its id need not be remembered after its end
	phase       phase
	tickets     []Ticket      // storing: submissions that wait for the answer
	reusesID    bool          // an earlier, ended message had its id
	earlierEnd  *endedMessage // that earlier message; it is remembered again if this one never gets into the store
	withdrawn   bool          // storing: to be withdrawn once it is in the store
	timerIndex  int           // index plus 1 of its timer, 0 for none: the module's, or that of an end that is not recorded yet

	// Its attempts so far. An attempt may have run from its record on, unless its outcome shows that it never ran.
	tries      int
	firstDoubt attemptStart // the first attempt that may have run, among those whose outcome is known
	inFlight   *item        // the attempt that has no outcome yet

	pending     PendingResult   // notifying: the result
	inDoubt     bool            // notifying: it may have taken effect
	reason      string          // notifying: Done.Reason
	doneEmitted bool            // notifying: Done was emitted
	doneBatch   Batch           // notifying: the batch that this Done requires
	history     *attemptHistory // nil if undelivered messages are not kept

	ledgerAccount *ledger.Account // nil if no ledger is kept
	resentFrom    *ledger.Key     // storing: the account of the undelivered message that it resends
	auditRound    uint32          // the last audit that counted it

	recordState    // the state of its records in the store
	previous, next *message
}

// phase is the progress of a message.
type phase uint8

const (
	storing     phase = iota // its record is being written to the store
	dispatching              // the decision module has it
	notifying                // its end is decided, and its client has not confirmed the notification
	finished                 // it has ended and is no longer in the table
)

// attemptStart holds the time at which an attempt was sent and the zone that it was sent to.
type attemptStart struct {
	at   Time
	zone int
	set  bool
}

// firstPossibleRun returns the send of the first attempt that may have run, including the one in flight.
func (m *message) firstPossibleRun() attemptStart {
	if !m.firstDoubt.set && m.inFlight != nil {
		return attemptStart{at: m.inFlight.call.sentAt, zone: m.inFlight.call.endpoint.zone, set: true}
	}
	return m.firstDoubt
}

// messages holds all messages that have not ended, by id, by number and in the order of acceptance.
type messages struct {
	messageByID                  map[string]*message
	messageByNumber              map[control.MessageID]*message
	oldestMessage, newestMessage *message
	lastNumber                   control.MessageID
	open                         int // storing or dispatching
	notifying                    int
	bodyBytes                    int                   // of the bodies of open messages
	endCounts                    [Withdrawn + 1]uint64 // number of ended messages by disposition
	restoring                    []*RestoredMessage
}

func newMessages() messages {
	return messages{messageByID: map[string]*message{}, messageByNumber: map[control.MessageID]*message{}}
}

// addMessage adds a message to the table and gives it a new number.
func (l *messages) addMessage(m *message) {
	l.lastNumber++
	m.number = l.lastNumber
	l.messageByID[m.ID], l.messageByNumber[m.number] = m, m
	if m.previous = l.newestMessage; l.newestMessage != nil {
		l.newestMessage.next = m
	} else {
		l.oldestMessage = m
	}
	l.newestMessage = m
	l.open++
	l.bodyBytes += len(m.Body)
}

// closeMessage counts a message as no longer open and frees its body. The message stays in the table.
func (l *messages) closeMessage(m *message) {
	l.open--
	l.bodyBytes -= len(m.Body)
	m.Body = nil
}

// removeMessage removes a message from the table.
func (l *messages) removeMessage(m *message) {
	m.phase = finished
	delete(l.messageByID, m.ID)
	delete(l.messageByNumber, m.number)
	if m.previous != nil {
		m.previous.next = m.next
	} else {
		l.oldestMessage = m.next
	}
	if m.next != nil {
		m.next.previous = m.previous
	} else {
		l.newestMessage = m.previous
	}
	m.previous, m.next = nil, nil
}

func (e *Engine) submit(submission *Submit) {
	m, v := e.decide(submission, reservation{})
	if m != nil {
		e.answer(submission.Ticket, v, e.accept(submission.Ticket, m))
		return
	}
	old := e.messageByID[submission.Message.ID]
	if v.Kind == Accepted && old != nil && old.phase == storing {
		old.tickets = append(old.tickets, submission.Ticket)
		e.answer(submission.Ticket, v, old.firstBatch)
		return
	}
	e.answer(submission.Ticket, v, 0)
}

// submitAll accepts all messages or none.
func (e *Engine) submitAll(h *SubmitAll) {
	var list []*message
	var group reservation
	worst := Verdict{Kind: Accepted}
	for i := range h.Submissions {
		one := &h.Submissions[i]
		var v Verdict
		if at := slices.IndexFunc(list, func(o *message) bool { return o.ID == one.Message.ID }); at >= 0 {
			if v = conflict; sameMessage(list[at].fingerprint, one.Message.Fingerprint()) {
				continue
			}
		} else {
			var m *message
			m, v = e.decide(one, group)
			if m != nil {
				list = append(list, m)
				group.messages++
				group.bytes += len(m.Body)
			} else if old := e.messageByID[one.Message.ID]; v.Kind == Accepted && old != nil && old.phase == storing {
				// Its record is in a batch of its own, which may fail: one answer would depend on two batches.
				v = Verdict{Kind: Busy, RetryAfter: Duration(rejectedRetryAfter), Reason: "id: its message is on its way to the store"}
			}
		}
		if v.Kind != Accepted && (worst.Kind == Accepted || permanent(v.Kind) && !permanent(worst.Kind)) {
			worst = v
		}
	}
	var b Batch
	if worst.Kind == Accepted {
		for i, m := range list {
			if i == 0 { // all are in one batch, so the ticket of one answers for all
				b = e.accept(h.Ticket, m)
			} else {
				e.accept(0, m)
			}
		}
	}
	e.answer(h.Ticket, worst, b)
}

// permanent reports whether submitting the same again would get the same verdict.
func permanent(k VerdictKind) bool { return k == Conflict || k == AlreadyEnded || k == Invalid }

var conflict = Verdict{Kind: Conflict, Reason: "id: another message has it"}

func (e *Engine) answer(t Ticket, v Verdict, needs Batch) {
	e.effect(&Answer{Ticket: t, Verdict: v, requiredBatch: needs})
}

// reservation counts the messages, and the bytes of their bodies, that would be accepted in the same batch.
type reservation struct{ messages, bytes int }

// decide decides on a submission. It returns a message only if a new one is to be accepted.
func (e *Engine) decide(submission *Submit, group reservation) (*message, Verdict) {
	reject := func(kind VerdictKind, why string) (*message, Verdict) {
		v := Verdict{Kind: kind, Reason: why}
		if kind == Busy || kind == UnknownDestination {
			v.RetryAfter = Duration(rejectedRetryAfter)
		}
		if past := e.endedIDs.byID[submission.Message.ID]; past != nil && kind == Accepted {
			v.Disposition = past.disposition
		}
		return nil, v
	}
	m, why := e.newMessage(submission)
	if why != "" {
		return reject(Invalid, why)
	}
	if old := e.messageByID[m.ID]; old != nil {
		switch {
		case !sameMessage(old.fingerprint, m.fingerprint):
			return nil, conflict
		case old.phase == storing && old.withdrawn:
			return reject(Busy, "id: a message of it is being taken back")
		case old.phase == notifying && e.settings.Prompt: // Done was emitted once; a client that waits for it would wait for ever
			return nil, Verdict{Kind: Accepted, Disposition: old.pending.Disposition, RetryAfter: old.pending.RetryAfter}
		}
		return reject(Accepted, "") // a client that lost the response repeated its request
	}
	if old := e.endedIDs.byID[m.ID]; old != nil {
		m.reusesID, m.earlierEnd = true, old
		switch {
		case old.inFlight != nil && !old.inFlight.done:
			return reject(Busy, "id: an attempt of its earlier life is still out") // a new attempt would be a second copy
		case old.reusable:
		case !sameMessage(old.fingerprint, m.fingerprint):
			return reject(Conflict, "id: another message had it")
		case old.disposition == Delivered || old.disposition == Closed:
			return reject(Accepted, "") // a client that lost the response repeated its request
		case old.disposition != Refused:
			return reject(AlreadyEnded, "id: its message ended, and may have taken effect")
		case e.now.At <= old.deadline: // the client got a time from which to submit it again, with a new id
			return reject(Busy, "id: its message was handed back a moment ago")
		}
		if !e.inStore(old) { // if the end were recorded late, it would end the new message in the store
			return reject(Busy, "id: the end of its earlier life is on its way to the store")
		}
	}
	if e.settings.CheckUndelivered != nil && !submission.Resent {
		if kind, why := e.settings.CheckUndelivered(&m.Message); kind != Accepted {
			return reject(kind, why)
		}
	}
	switch {
	case len(e.namedDestinations) == 0:
		return reject(Busy, "no list of endpoints is at hand yet")
	case !e.isNamed(m.Destination):
		return reject(UnknownDestination, fmt.Sprintf("destination %d: no list names it yet", m.Destination))
	case e.open+group.messages >= e.settings.Control.MaxOpen:
		return reject(Busy, "holding as many messages as it may")
	case e.bodyBytes+group.bytes+len(m.Body) > e.settings.MaxBytes:
		return reject(Busy, "no memory is left for bodies")
	case !e.hasRoomForID(group.messages):
		return reject(Busy, "as many messages as may be remembered ended of late")
	case e.storeDown:
		return reject(Busy, "the store takes nothing")
	}
	return m, Verdict{Kind: Accepted}
}

// accept writes a message to the store and returns its batch.
func (e *Engine) accept(t Ticket, m *message) Batch {
	e.endedIDs.remove(m.earlierEnd)
	e.addMessage(m)
	e.ledger.messageAdded(m)
	m.phase = storing
	if t != 0 {
		m.tickets = append(m.tickets, t)
	}
	e.awaitAcceptance(m)
	if !e.settings.HasStore {
		e.postAcceptance(m)
		e.enqueue(m, false)
		return 0
	}
	m.firstBatch = e.record(&RecAccepted{Message: m.Message, Deadline: e.timestamp(m.deadline)}, m)
	if m.firstDoubt.set {
		e.record(&RecState{ID: m.ID, DoubtAt: e.timestamp(m.firstDoubt.at), DoubtZone: m.firstDoubt.zone, Settled: true}, m)
	}
	return m.firstBatch
}

// newMessage checks a submission; reason names the invalid field.
func (e *Engine) newMessage(submission *Submit) (m *message, reason string) {
	m = &message{Message: submission.Message, addedAt: e.now.At, classIndex: -1, tenantIndex: -1}
	for i := range e.settings.Control.Classes {
		if e.settings.Control.Classes[i].Name == m.Class {
			m.class, m.classIndex = &e.settings.Control.Classes[i], i
		}
	}
	for i := range e.settings.Control.Tenants {
		if e.settings.Control.Tenants[i].Name == m.Tenant {
			m.tenantIndex = i
		}
	}
	switch {
	case m.ID == "":
		return nil, "id: missing"
	case m.class == nil:
		return nil, fmt.Sprintf("class: %q is unknown", m.Class)
	case m.tenantIndex < 0 && len(e.settings.Control.Tenants) > 0:
		return nil, fmt.Sprintf("tenant: %q is unknown", m.Tenant)
	case m.Destination < 0 || m.Destination > math.MaxUint16:
		return nil, fmt.Sprintf("destination: %d is out of range", m.Destination)
	case m.class.Effect == control.Guarded && m.Key == "":
		return nil, fmt.Sprintf("key: missing, class %q needs it", m.Class)
	case submission.ExpiresIn <= 0:
		return nil, "expiry: no time is left"
	}
	if m.uniqueID = submission.UniqueID && !e.settings.HasStore; !m.uniqueID { // otherwise nobody submits its id again
		m.fingerprint = m.Fingerprint()
	}
	// Past the class's deadline a message gains nothing by waiting on: it would only take up room.
	m.deadline = e.now.At + min(submission.ExpiresIn, m.class.Deadline)
	if submission.DoubtAge > 0 {
		m.firstDoubt = attemptStart{at: e.now.At - submission.DoubtAge, zone: submission.DoubtZone, set: true}
	}
	if e.settings.CheckUndelivered != nil {
		m.history = &attemptHistory{resent: submission.Resent}
	}
	m.resentFrom = submission.ResentFrom
	return m, ""
}

// enqueue passes a message that is in the store to the module. The Step adds what depends on the time.
func (e *Engine) enqueue(m *message, restored bool) {
	m.phase, m.tickets, m.earlierEnd = dispatching, nil, nil
	ev := control.Event{
		Kind: control.Arrival, Message: m.number, Class: m.classIndex, Tenant: m.tenantIndex, Destination: m.Destination, Tries: m.tries,
		Restored: restored,
	}
	if m.class.InOrder && m.Key != "" {
		h := fnv.New64a()
		h.Write([]byte(m.Key))
		ev.Key = max(h.Sum64(), 1) // 0 is no key
	}
	ev.Resent = m.history != nil && m.history.resent
	e.queueEvent(ev)
}

// restore takes over the messages that the store has from an earlier process.
func (e *Engine) restore(written Timestamp) {
	// If the clock shows less than the records, ages are unknown: whatever may have run counts as outside its key's window.
	// No time counts as passed since the last record, so that no message gets more time than it had then.
	behind := e.now.Wall < written-Timestamp(clockTolerance)
	var by Timestamp
	if behind {
		by = e.now.Wall - written
		e.clockStep += Time(by)
		e.recordClockStep()
	}
	if len(e.restoring) > 0 || e.endedIDs.len() > 0 || written > 0 {
		e.queueEvent(control.Event{Kind: control.Restarted})
	}
	for _, r := range e.restoring {
		m, _ := e.newMessage(&Submit{Message: r.Message, ExpiresIn: 1})
		if m == nil { // its class or tenant is no longer in the settings, so the module can't handle it
			m = &message{Message: r.Message, addedAt: e.now.At, tenantIndex: -1, classIndex: -1}
			m.fingerprint = m.Fingerprint()
		}
		m.tries, m.phase = r.Tries, dispatching
		m.firstBatch, m.lastBatch = restoredBatch, restoredBatch
		left := Time(r.Deadline + by - e.now.Wall)
		if m.class != nil {
			left = min(left, m.class.Deadline)
		}
		m.deadline = e.now.At + left
		if r.DoubtAt != 0 {
			age := Time(e.now.Wall-r.DoubtAt) + clockTolerance
			if behind || age < 0 {
				age = e.now.At // longer than any key's window
			}
			m.firstDoubt = attemptStart{at: e.now.At - age, zone: r.DoubtZone, set: true}
		}
		if e.messageByID[m.ID] != nil {
			continue // a store reports each message once; a duplicate would never end
		}
		e.addMessage(m)
		e.ledger.messageAdded(m)
		if e.ledger != nil {
			m.ledgerAccount = r.account
		}
		e.nameDestination(m.Destination)
		if m.history == nil && e.settings.CheckUndelivered != nil {
			m.history = &attemptHistory{}
		}
		switch {
		case r.Pending != nil:
			m.fingerprint &^= bodyMask // the store need not keep the body if the result is pending
			e.closeMessage(m)
			m.phase, m.pending, m.inDoubt, m.fingerprint = notifying, *r.Pending, m.firstDoubt.set, r.Pending.Fingerprint
			e.notifying++
			e.effect(e.doneEffect(m, 0))
		case m.class == nil:
			e.effect(&Note{Fault: true, Text: "a message's class is unknown, and it is given up", Message: m.ID, Class: m.Class})
			how := Refused
			if m.firstDoubt.set {
				how = Failed
			}
			e.end(m, how, 0)
		default:
			e.enqueue(m, true)
			if m.firstDoubt.set && m.class.Effect == control.Guarded {
				e.markDirty(m) // record its age as used now; otherwise the error of timestamps would add up over restarts
			}
		}
	}
	e.restoring = nil
	e.writeDirty()
}

// end is the only place where a message ends, by a decision of the module, a response or a withdrawal. It has no effect
// on a message that has ended.
func (e *Engine) end(m *message, disposition Disposition, retryAfter time.Duration) {
	switch m.phase {
	case storing: // before it is in the store, nobody can know that it was accepted
		m.withdrawn = true
		return
	case notifying, finished:
		return
	}
	e.timers.drop(m)
	given := e.undelivered(m, disposition)
	e.ledger.messageClosed(m)
	e.closeMessage(m)
	e.endCounts[disposition]++
	e.postEnd(m, disposition)
	m.inDoubt = disposition != Delivered && m.firstPossibleRun().set
	if disposition == Refused || disposition == Failed {
		m.phase, m.pending = notifying, PendingResult{Disposition: disposition, RetryAfter: retryAfter, Fingerprint: m.fingerprint}
		e.notifying++
		b := e.record(&RecPendingResult{ID: m.ID, PendingResult: m.pending, Undelivered: given}, m)
		e.effect(e.doneEffect(m, b))
		return
	}
	past := e.conclude(m, disposition)
	done := &Done{ID: m.ID, Disposition: disposition, InDoubt: m.inDoubt, requiredBatch: e.currentBatch()}
	if past != nil {
		past.pendingDone = done
	}
	e.effect(done)
}

// doneEffect returns the effect that reports a pending result.
func (e *Engine) doneEffect(m *message, b Batch) *Done {
	m.doneEmitted, m.doneBatch = true, b
	return &Done{ID: m.ID, Disposition: m.pending.Disposition, InDoubt: m.inDoubt, RetryAfter: m.pending.RetryAfter, Reason: m.reason, requiredBatch: b}
}

// conclude records that a message has ended with no notification pending. Its id is remembered for a while, unless nobody
// else can submit it: then it is forgotten at once, and conclude returns nil.
func (e *Engine) conclude(m *message, disposition Disposition) *endedMessage {
	e.ledger.messageRemoved(m)
	if m.uniqueID {
		e.removeMessage(m)
		return nil
	}
	past := &endedMessage{id: m.ID, disposition: disposition, fingerprint: m.fingerprint, deadline: m.deadline, inFlight: m.inFlight.leaveOpen()}
	past.forgetAt = max(past.deadline, e.now.At) + e.rememberTime(m.classIndex)
	past.harmless = m.class != nil && m.class.Effect == control.Free
	if disposition == Refused && m.inDoubt && !past.harmless {
		past.disposition = Failed // so a late repetition of the id gets AlreadyEnded: only the client knows its key's window
	}
	e.removeMessage(m)
	if disposition == Withdrawn && !m.inDoubt { // it never ran
		past.harmless, past.reusable = true, true
	}
	e.endedIDs.add(past)
	e.record(past.record(e), past)
	return past
}

// notified concludes the messages whose clients have been notified.
func (e *Engine) notified(list []string) {
	for _, id := range list {
		m := e.messageByID[id]
		if m == nil || m.phase != notifying {
			continue
		}
		e.timers.drop(m)
		e.notifying--
		e.conclude(m, m.pending.Disposition)
	}
}

// withdraw ends a message at its client's request.
func (e *Engine) withdraw(id string) {
	m := e.messageByID[id]
	if m == nil {
		return
	}
	if m.phase == dispatching {
		e.queueEvent(control.Event{Kind: control.Withdrawn, Message: m.number})
		if m.inFlight != nil {
			e.abandon(m.inFlight)
		}
	}
	e.end(m, Withdrawn, 0)
}

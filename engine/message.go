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
	num      control.MessageID
	class    *control.Class
	classNo  int
	tenant   int
	print    uint64
	deadline Time
	since    Time // when this process got it
	once     bool // its id need not be remembered after its end
	phase    phase
	tickets  []Ticket // storing: submissions that wait for the answer
	anew     bool     // an earlier, ended message had its id ...
	earlier  *ended   // ... which is remembered again if this one never gets into the store
	dropped  bool     // storing: to be withdrawn once it is in the store
	timer    int      // index plus 1 of its timer, 0 for none: the module's, or that of an end that is not recorded yet

	// Its attempts so far. An attempt may have run from its record on, unless its outcome shows that it never ran.
	tries int
	maybe instant // the first attempt that may have run, among those whose outcome is known
	out   *item   // the attempt that has no outcome yet

	owed  PendingResult // notifying: the result
	doubt bool          // notifying: it may have taken effect
	why   string        // notifying: Done.Reason
	told  bool          // notifying: Done was emitted ...
	tell  Batch         // ... and requires this batch
	tale  *tale         // nil if undelivered messages are not kept

	acct  *ledger.Account // nil if no ledger is kept
	from  *ledger.Key     // storing: the account of the undelivered message that it resends
	swept uint32          // the last audit that counted it

	account        // the state of its records in the store
	before, behind *message
}

// phase is the progress of a message.
type phase uint8

const (
	arriving phase = iota // its record is being written to the store
	held                  // the decision module has it
	owing                 // its end is decided, and its client has not confirmed the notification
	over                  // it has ended and is no longer in the table
)

// instant is when and to which zone an attempt was sent.
type instant struct {
	at   Time
	zone int
	set  bool
}

// doubtful returns the send of the first attempt that may have run, including the one in flight.
func (m *message) doubtful() instant {
	if !m.maybe.set && m.out != nil {
		return instant{at: m.out.call.sent, zone: m.out.call.ep.zone, set: true}
	}
	return m.maybe
}

// messages holds all messages that have not ended, by id, by number and in the order of acceptance.
type messages struct {
	byName      map[string]*message
	byNum       map[control.MessageID]*message
	oldest, new *message
	lastNum     control.MessageID
	open        int // storing or dispatching
	owing       int
	bytes       int                   // of the bodies of open messages
	ends        [Withdrawn + 1]uint64 // number of ended messages by disposition
	restoring   []*RestoredMessage
}

func newMessages() messages {
	return messages{byName: map[string]*message{}, byNum: map[control.MessageID]*message{}}
}

// add adds a message to the table and gives it a new number.
func (l *messages) add(m *message) {
	l.lastNum++
	m.num = l.lastNum
	l.byName[m.ID], l.byNum[m.num] = m, m
	if m.before = l.new; l.new != nil {
		l.new.behind = m
	} else {
		l.oldest = m
	}
	l.new = m
	l.open++
	l.bytes += len(m.Body)
}

// close counts a message as no longer open and frees its body. The message stays in the table.
func (l *messages) close(m *message) {
	l.open--
	l.bytes -= len(m.Body)
	m.Body = nil
}

// remove removes a message from the table.
func (l *messages) remove(m *message) {
	m.phase = over
	delete(l.byName, m.ID)
	delete(l.byNum, m.num)
	if m.before != nil {
		m.before.behind = m.behind
	} else {
		l.oldest = m.behind
	}
	if m.behind != nil {
		m.behind.before = m.before
	} else {
		l.new = m.before
	}
	m.before, m.behind = nil, nil
}

// ---- submission ----

func (e *Engine) handIn(h *Submit) {
	m, v := e.judge(h, room{})
	if m != nil {
		e.answer(h.Ticket, v, e.take(h.Ticket, m))
		return
	}
	old := e.byName[h.Message.ID]
	if v.Kind == Accepted && old != nil && old.phase == arriving {
		old.tickets = append(old.tickets, h.Ticket)
		e.answer(h.Ticket, v, old.taken)
		return
	}
	e.answer(h.Ticket, v, 0)
}

// submitAll accepts all messages or none.
func (e *Engine) handInAll(h *SubmitAll) {
	var list []*message
	var group room
	worst := Verdict{Kind: Accepted}
	for i := range h.Submissions {
		one := &h.Submissions[i]
		var v Verdict
		if at := slices.IndexFunc(list, func(o *message) bool { return o.ID == one.Message.ID }); at >= 0 {
			if v = conflict; sameMessage(list[at].print, one.Message.Fingerprint()) {
				continue
			}
		} else {
			var m *message
			m, v = e.judge(one, group)
			if m != nil {
				list = append(list, m)
				group.messages++
				group.bytes += len(m.Body)
			} else if old := e.byName[one.Message.ID]; v.Kind == Accepted && old != nil && old.phase == arriving {
				// Its record is in a batch of its own, which may fail: one answer would depend on two batches.
				v = Verdict{Kind: Busy, RetryAfter: Duration(turnedAway), Reason: "id: its message is on its way to the store"}
			}
		}
		if v.Kind != Accepted && (worst.Kind == Accepted || lasting(v.Kind) && !lasting(worst.Kind)) {
			worst = v
		}
	}
	var b Batch
	if worst.Kind == Accepted {
		for i, m := range list {
			if i == 0 { // all are in one batch, so the ticket of one answers for all
				b = e.take(h.Ticket, m)
			} else {
				e.take(0, m)
			}
		}
	}
	e.answer(h.Ticket, worst, b)
}

// lasting reports whether submitting the same again would get the same verdict.
func lasting(k VerdictKind) bool { return k == Conflict || k == AlreadyEnded || k == Invalid }

var conflict = Verdict{Kind: Conflict, Reason: "id: another message has it"}

func (e *Engine) answer(t Ticket, v Verdict, needs Batch) {
	e.effect(&Answer{Ticket: t, Verdict: v, needs: needs})
}

// room is what the messages take that would be accepted in the same batch.
type room struct{ messages, bytes int }

// judge decides on a submission. It returns a message only if a new one is to be accepted.
func (e *Engine) judge(h *Submit, with room) (*message, Verdict) {
	no := func(kind VerdictKind, why string) (*message, Verdict) {
		v := Verdict{Kind: kind, Reason: why}
		if kind == Busy || kind == UnknownDestination {
			v.RetryAfter = Duration(turnedAway)
		}
		if past := e.ended.byID[h.Message.ID]; past != nil && kind == Accepted {
			v.Disposition = past.how
		}
		return nil, v
	}
	m, why := e.message(h)
	if why != "" {
		return no(Invalid, why)
	}
	if old := e.byName[m.ID]; old != nil {
		switch {
		case !sameMessage(old.print, m.print):
			return nil, conflict
		case old.phase == arriving && old.dropped:
			return no(Busy, "id: a message of it is being taken back")
		case old.phase == owing && e.set.Prompt: // Done was emitted once; a client that waits for it would wait for ever
			return nil, Verdict{Kind: Accepted, Disposition: old.owed.Disposition, RetryAfter: old.owed.RetryAfter}
		}
		return no(Accepted, "") // a client that lost the response repeated its request
	}
	if old := e.ended.byID[m.ID]; old != nil {
		m.anew, m.earlier = true, old
		switch {
		case old.out != nil && !old.out.done:
			return no(Busy, "id: an attempt of its earlier life is still out") // a new attempt would be a second copy
		case old.free:
		case !sameMessage(old.print, m.print):
			return no(Conflict, "id: another message had it")
		case old.how == Delivered || old.how == Closed:
			return no(Accepted, "") // a client that lost the response repeated its request
		case old.how != Refused:
			return no(AlreadyEnded, "id: its message ended, and may have taken effect")
		case e.now.At <= old.due: // the client was told when to submit it again, with a new id
			return no(Busy, "id: its message was handed back a moment ago")
		}
		if !e.inStore(old) { // if the end were recorded late, it would end the new message in the store
			return no(Busy, "id: the end of its earlier life is on its way to the store")
		}
	}
	if e.set.CheckUndelivered != nil && !h.Resent {
		if kind, why := e.set.CheckUndelivered(&m.Message); kind != Accepted {
			return no(kind, why)
		}
	}
	switch {
	case len(e.named) == 0:
		return no(Busy, "no list of endpoints is at hand yet")
	case !e.isNamed(m.Destination):
		return no(UnknownDestination, fmt.Sprintf("destination %d: no list names it yet", m.Destination))
	case e.open+with.messages >= e.set.Control.MaxOpen:
		return no(Busy, "holding as many messages as it may")
	case e.bytes+with.bytes+len(m.Body) > e.set.MaxBytes:
		return no(Busy, "no memory is left for bodies")
	case !e.roomForID(with.messages):
		return no(Busy, "as many messages as may be remembered ended of late")
	case e.down:
		return no(Busy, "the store takes nothing")
	}
	return m, Verdict{Kind: Accepted}
}

// accept writes a message to the store and returns its batch.
func (e *Engine) take(t Ticket, m *message) Batch {
	e.ended.remove(m.earlier)
	e.add(m)
	e.books.added(m)
	m.phase = arriving
	if t != 0 {
		m.tickets = append(m.tickets, t)
	}
	e.bookTaking(m)
	if !e.set.HasStore {
		e.bookTaken(m)
		e.admit(m, false)
		return 0
	}
	m.taken = e.record(&RecAccepted{Message: m.Message, Deadline: e.stamp(m.deadline)}, m)
	if m.maybe.set {
		e.record(&RecState{ID: m.ID, DoubtAt: e.stamp(m.maybe.at), DoubtZone: m.maybe.zone, Settled: true}, m)
	}
	return m.taken
}

// newMessage checks a submission; reason names the invalid field.
func (e *Engine) message(h *Submit) (m *message, why string) {
	m = &message{Message: h.Message, since: e.now.At, classNo: -1, tenant: -1}
	for i := range e.set.Control.Classes {
		if e.set.Control.Classes[i].Name == m.Class {
			m.class, m.classNo = &e.set.Control.Classes[i], i
		}
	}
	for i := range e.set.Control.Tenants {
		if e.set.Control.Tenants[i].Name == m.Tenant {
			m.tenant = i
		}
	}
	switch {
	case m.ID == "":
		return nil, "id: missing"
	case m.class == nil:
		return nil, fmt.Sprintf("class: %q is unknown", m.Class)
	case m.tenant < 0 && len(e.set.Control.Tenants) > 0:
		return nil, fmt.Sprintf("tenant: %q is unknown", m.Tenant)
	case m.Destination < 0 || m.Destination > math.MaxUint16:
		return nil, fmt.Sprintf("destination: %d is out of range", m.Destination)
	case m.class.Effect == control.Guarded && m.Key == "":
		return nil, fmt.Sprintf("key: missing, class %q needs it", m.Class)
	case h.ExpiresIn <= 0:
		return nil, "expiry: no time is left"
	}
	if m.once = h.UniqueID && !e.set.HasStore; !m.once { // otherwise nobody submits its id again
		m.print = m.Fingerprint()
	}
	// Past the class's deadline a message gains nothing by waiting on: it would only take up room.
	m.deadline = e.now.At + min(h.ExpiresIn, m.class.Deadline)
	if h.DoubtAge > 0 {
		m.maybe = instant{at: e.now.At - h.DoubtAge, zone: h.DoubtZone, set: true}
	}
	if e.set.CheckUndelivered != nil {
		m.tale = &tale{resent: h.Resent}
	}
	m.from = h.ResentFrom
	return m, ""
}

// admit passes a message that is in the store to the module. The Step adds what depends on the time.
func (e *Engine) admit(m *message, restored bool) {
	m.phase, m.tickets, m.earlier = held, nil, nil
	ev := control.Event{
		Kind: control.Arrival, Message: m.num, Class: m.classNo, Tenant: m.tenant, Destination: m.Destination, Tries: m.tries,
		Restored: restored,
	}
	if m.class.InOrder && m.Key != "" {
		h := fnv.New64a()
		h.Write([]byte(m.Key))
		ev.Key = max(h.Sum64(), 1) // 0 is no key
	}
	ev.Resent = m.tale != nil && m.tale.resent
	e.tell(ev)
}

// ---- restart ----

// restore takes over the messages that the store has from an earlier process.
func (e *Engine) restore(written Timestamp) {
	// If the clock shows less than the records, ages are unknown: whatever may have run counts as outside its key's window.
	// No time counts as passed since the last record, so that no message gets more time than it had then.
	behind := e.now.Wall < written-Timestamp(steppedOver)
	var by Timestamp
	if behind {
		by = e.now.Wall - written
		e.shift += Time(by)
		e.recordShift()
	}
	if len(e.restoring) > 0 || e.ended.len() > 0 || written > 0 {
		e.tell(control.Event{Kind: control.Restarted})
	}
	for _, r := range e.restoring {
		m, _ := e.message(&Submit{Message: r.Message, ExpiresIn: 1})
		if m == nil { // its class or tenant is no longer in the settings, so the module can't handle it
			m = &message{Message: r.Message, since: e.now.At, tenant: -1, classNo: -1}
			m.print = m.Fingerprint()
		}
		m.tries, m.phase = r.Tries, held
		m.taken, m.last = restored, restored
		left := Time(r.Deadline + by - e.now.Wall)
		if m.class != nil {
			left = min(left, m.class.Deadline)
		}
		m.deadline = e.now.At + left
		if r.DoubtAt != 0 {
			age := Time(e.now.Wall-r.DoubtAt) + steppedOver
			if behind || age < 0 {
				age = e.now.At // longer than any key's window
			}
			m.maybe = instant{at: e.now.At - age, zone: r.DoubtZone, set: true}
		}
		if e.byName[m.ID] != nil {
			continue // a store reports each message once; a duplicate would never end
		}
		e.add(m)
		e.books.added(m)
		if e.books != nil {
			m.acct = r.acct
		}
		e.name(m.Destination)
		if m.tale == nil && e.set.CheckUndelivered != nil {
			m.tale = &tale{}
		}
		switch {
		case r.Pending != nil:
			m.print &^= bodyPrint // the store need not keep the body if the result is pending
			e.close(m)
			m.phase, m.owed, m.doubt, m.print = owing, *r.Pending, m.maybe.set, r.Pending.Fingerprint
			e.owing++
			e.effect(e.done(m, 0))
		case m.class == nil:
			e.effect(&Note{Fault: true, Text: "a message's class is unknown, and it is given up", Message: m.ID, Class: m.Class})
			how := Refused
			if m.maybe.set {
				how = Failed
			}
			e.end(m, how, 0)
		default:
			e.admit(m, true)
			if m.maybe.set && m.class.Effect == control.Guarded {
				e.soil(m) // record its age as used now; otherwise the error of timestamps would add up over restarts
			}
		}
	}
	e.restoring = nil
	e.writeDirty()
}

// ---- end ----

// end is the only place where a message ends, by a decision of the module, a response or a withdrawal. It has no effect
// on a message that has ended.
func (e *Engine) end(m *message, how Disposition, again time.Duration) {
	switch m.phase {
	case arriving: // before it is in the store, nobody can know that it was accepted
		m.dropped = true
		return
	case owing, over:
		return
	}
	e.timers.drop(m)
	given := e.givenUp(m, how)
	e.books.leaves(m)
	e.close(m)
	e.ends[how]++
	e.bookEnd(m, how)
	m.doubt = how != Delivered && m.doubtful().set
	if how == Refused || how == Failed {
		m.phase, m.owed = owing, PendingResult{Disposition: how, RetryAfter: again, Fingerprint: m.print}
		e.owing++
		b := e.record(&RecPendingResult{ID: m.ID, PendingResult: m.owed, Undelivered: given}, m)
		e.effect(e.done(m, b))
		return
	}
	past := e.conclude(m, how)
	done := &Done{ID: m.ID, Disposition: how, InDoubt: m.doubt, needs: e.needs()}
	if past != nil {
		past.done = done
	}
	e.effect(done)
}

// done returns the effect that reports a pending result.
func (e *Engine) done(m *message, b Batch) *Done {
	m.told, m.tell = true, b
	return &Done{ID: m.ID, Disposition: m.owed.Disposition, InDoubt: m.doubt, RetryAfter: m.owed.RetryAfter, Reason: m.why, needs: b}
}

// conclude records that a message has ended with no notification pending. Its id is remembered for a while, unless nobody
// else can submit it: then it is forgotten at once, and conclude returns nil.
func (e *Engine) conclude(m *message, how Disposition) *ended {
	e.books.removed(m)
	if m.once {
		e.remove(m)
		return nil
	}
	past := &ended{id: m.ID, how: how, print: m.print, due: m.deadline, out: m.out}
	past.until = max(past.due, e.now.At) + e.remember(m.classNo)
	past.harmless = m.class != nil && m.class.Effect == control.Free
	if how == Refused && m.doubt && !past.harmless {
		past.how = Failed // for a late repetition of the id: only the client knows its key's window
	}
	e.remove(m)
	if how == Withdrawn && !m.doubt { // it never ran
		past.harmless, past.free = true, true
	}
	e.ended.add(past)
	e.record(past.record(e), past)
	return past
}

// notified concludes the messages whose clients have been notified.
func (e *Engine) through(list []string) {
	for _, id := range list {
		m := e.byName[id]
		if m == nil || m.phase != owing {
			continue
		}
		e.timers.drop(m)
		e.owing--
		e.conclude(m, m.owed.Disposition)
	}
}

// withdraw ends a message at its client's request.
func (e *Engine) withdraw(id string) {
	m := e.byName[id]
	if m == nil {
		return
	}
	if m.phase == held {
		e.tell(control.Event{Kind: control.Withdrawn, Message: m.num})
		if m.out != nil {
			e.unwanted(m.out)
		}
	}
	e.end(m, Withdrawn, 0)
}

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

// message is one from its hand-in until its end is through.
type message struct {
	Message
	num      control.MessageID
	class    *control.Class
	classNo  int
	tenant   int
	print    uint64
	deadline Time
	since    Time // when it came into this process
	once     bool // its id need not be remembered
	phase    phase
	tickets  []Ticket // arriving: who waits for the answer
	anew     bool     // its id had an earlier life ...
	earlier  *ended   // ... which counts again if this one never gets into the store
	dropped  bool     // arriving: withdrawn, or its hand-in was answered without waiting for the store
	timer    int      // place from 1 of the module's timer, or of that of an end that is not recorded yet

	// What it has behind it. An attempt may have run from its record on, until its outcome shows that it never ran.
	tries int
	maybe instant // the first attempt that may have run, of those whose outcome is known
	out   *item   // the attempt whose outcome is not known yet

	owed  PendingResult // owing
	doubt bool          // owing: it may have taken effect
	why   string        // owing: Done.Why
	told  bool          // owing: the end was told, or will be when this batch is stored
	tell  Batch
	tale  *tale // nil: undelivered messages are not kept

	acct  *ledger.Account // nil: no ledger is kept
	from  *ledger.Key     // arriving: of the message that it was, which has ended
	swept uint32          // the newest sweep that came by

	account        // what the store has of it
	before, behind *message
}

// phase is how far a message has come.
type phase uint8

const (
	arriving phase = iota // its record is on the way to the store
	held                  // the module has it
	owing                 // its end is decided and not through yet
	over                  // it has ended, and this is of no more use
)

// instant is the send of an attempt.
type instant struct {
	at   Time
	zone int
	set  bool
}

// doubtful is the send of the first attempt that may have run, that which is out counted.
func (m *message) doubtful() instant {
	if !m.maybe.set && m.out != nil {
		return instant{at: m.out.call.sent, zone: m.out.call.ep.zone, set: true}
	}
	return m.maybe
}

// messages are all that have not ended, by id, by number and in the order in which they were taken.
type messages struct {
	byName      map[string]*message
	byNum       map[control.MessageID]*message
	oldest, new *message
	lastNum     control.MessageID
	open        int // arriving or held
	owing       int
	bytes       int                   // of bodies
	ends        [Withdrawn + 1]uint64 // messages that ended, by how
	restoring   []*RestoredMessage
}

func newMessages() messages {
	return messages{byName: map[string]*message{}, byNum: map[control.MessageID]*message{}}
}

// add makes a message known; its number is new.
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

// close takes a message that ends out of what is held; its id stays known.
func (l *messages) close(m *message) {
	l.open--
	l.bytes -= len(m.Body)
	m.Body = nil
}

// remove forgets a message.
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

// ---- hand-in ----

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

// handInAll takes all or none.
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
				// Its record goes its own way to the store and may fail there: two fates would hang on one answer.
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
			if i == 0 { // they have one batch and so one fate: one of them answers for all
				b = e.take(h.Ticket, m)
			} else {
				e.take(0, m)
			}
		}
	}
	e.answer(h.Ticket, worst, b)
}

// lasting tells that handing the same in again would bring the same verdict.
func lasting(k VerdictKind) bool { return k == Conflict || k == AlreadyEnded || k == Invalid }

var conflict = Verdict{Kind: Conflict, Reason: "id: another message has it"}

func (e *Engine) answer(t Ticket, v Verdict, needs Batch) {
	e.effect(&Answer{Ticket: t, Verdict: v, needs: needs})
}

// room is what those take that would be taken along.
type room struct{ messages, bytes int }

// judge tells what becomes of a hand-in, and returns the message where it is to be taken anew.
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
		case old.phase == owing && e.set.Prompt: // who waits for the Done would wait for ever: it is told once
			return nil, Verdict{Kind: Accepted, Disposition: old.owed.Disposition, RetryAfter: old.owed.RetryAfter}
		}
		return no(Accepted, "") // a client that lost the answer sent the same request again
	}
	if old := e.ended.byID[m.ID]; old != nil {
		m.anew, m.earlier = true, old
		switch {
		case old.out != nil && !old.out.done:
			return no(Busy, "id: an attempt of its earlier life is still out") // another would be a second copy
		case old.free:
		case !sameMessage(old.print, m.print):
			return no(Conflict, "id: another message had it")
		case old.how == Delivered || old.how == Closed:
			return no(Accepted, "") // a client that lost the answer sent the same request again
		case old.how != Refused:
			return no(AlreadyEnded, "id: its message ended, and may have taken effect")
		case e.now.At <= old.due: // whoever handed it in has been told when to come again, with a new id
			return no(Busy, "id: its message was handed back a moment ago")
		}
		if !e.inStore(old) { // that end, recorded late, would end the further life in the store
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

// take puts a message on its way to the store and returns its batch.
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

// message checks what was handed in; why names the field at fault.
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
	if m.once = h.UniqueID && !e.set.HasStore; !m.once { // else nobody comes with its id again
		m.print = m.Fingerprint()
	}
	// Past the hard limit a message is worth no more than there: it would only fill the hold.
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

// admit tells the module of a message that is in the store; what depends on the time is told as of the Step.
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

// restore takes up what the store has from an earlier process.
func (e *Engine) restore(written Timestamp) {
	// With a clock that shows less than the records bear no age can be told: whatever may have run is then out of its
	// key's window. No time counts as gone by since the last record, so that no message gets more than it had then.
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
		if m == nil { // a class or tenant is no longer among the settings: the module can't judge it
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
				age = e.now.At // longer than any window
			}
			m.maybe = instant{at: e.now.At - age, zone: r.DoubtZone, set: true}
		}
		if e.byName[m.ID] != nil {
			continue // the store tells each once; a second one would never end
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
			m.print &^= bodyPrint // the store need not keep the body of one that is owed
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
				e.soil(m) // what its age counts as is recorded: else what stamps are off by would add up over restarts
			}
		}
	}
	e.restoring = nil
	e.writeDirty()
}

// ---- end ----

// end is the one place where a message ends. What the module decided, what an answer told and what a caller wants all
// come here; a message that has ended already is left as it is.
func (e *Engine) end(m *message, how Disposition, again time.Duration) {
	switch m.phase {
	case arriving: // until it is in the store nobody can know that it was taken
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

// done is the effect that tells an end which is owed.
func (e *Engine) done(m *message, b Batch) *Done {
	m.told, m.tell = true, b
	return &Done{ID: m.ID, Disposition: m.owed.Disposition, InDoubt: m.doubt, RetryAfter: m.owed.RetryAfter, Reason: m.why, needs: b}
}

// conclude records that nothing more is owed for a message; its id stays known for a while.
// An id that nobody else has is forgotten at once: then there is nothing to return.
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
		past.how = Failed // to whom the id comes again late: only its client knows its key's window
	}
	e.remove(m)
	if how == Withdrawn && !m.doubt { // it never ran
		past.harmless, past.free = true, true
	}
	e.ended.add(past)
	e.record(past.record(e), past)
	return past
}

// through ends the messages whose ends have been told.
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

// withdraw ends a message that nobody wants any more.
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

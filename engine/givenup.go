package engine

import "curlewmux/control"

// Undelivered is what the store of undelivered messages gets about a message that was refused or failed, beside its
// disposition.
type Undelivered struct {
	Message     Message // without Body if Rewritten
	Rewritten   bool    // the record is written again
	At          Time
	Cause       Cause
	Reason      string // in the partner's words, "" if it gave none
	Tries       int
	Attempts    []Attempt // those of this process, oldest first
	DoubtAt     Time      // when the first attempt that may have run was sent, 0 if there is none
	DoubtZone   int       // zone which that attempt went to
	CallsOverAt Time      // from then on none of its calls is out
	Resent      bool
}

// Attempt is one attempt at a message that ended.
type Attempt struct {
	Sent, End  Time   // End is 0 if it is still out
	Endpoint   string // the endpoint's id
	Addr       string
	Zone       int
	Result     control.Result
	RetryAfter Time // how long the destination asked not to be called, 0 for none
}

// Cause is why a message was not delivered.
type Cause string

// Causes.
const (
	CauseDeadline     Cause = "time"   // its deadline passed
	CauseTries        Cause = "tries"  // it used all its tries
	CauseDoubt        Cause = "doubt"  // it may have run and must not run twice
	CausePermanent    Cause = "never"  // the partner says that no further attempt can succeed
	CauseUnknownClass Cause = "class"  // its class is no longer in the settings
	CauseDisplaced    Cause = "crowds" // it was shed in favour of other messages
)

// tale is the attempt history of a message, nil if undelivered messages are not kept.
type tale struct {
	resent   bool
	attempts []Attempt
	given    *Undelivered // without Body
}

// add adds an attempt that ended.
func (t *tale) add(e *Engine, it *item, o *Outcome) {
	if t == nil || o.Result == control.Unsent {
		return
	}
	at := o.At
	if at == 0 {
		at = e.now.At
	}
	t.attempts = append(t.attempts, attemptAt(it, at, o))
}

func attemptAt(it *item, end Time, o *Outcome) Attempt {
	a := Attempt{Sent: it.call.sent, End: end, Endpoint: it.call.ep.id, Addr: it.call.addr, Zone: it.call.ep.zone}
	if o != nil {
		a.Result, a.RetryAfter = o.Result, Time(o.RetryAfter.Microseconds())
	}
	return a
}

// again returns what a record that is written again contains.
func (t *tale) again() *Undelivered {
	if t == nil {
		return nil
	}
	return t.given
}

// givenUp describes a message that is about to be refused or to fail, for the store of undelivered messages. It returns nil
// for other dispositions, or if undelivered messages are not kept.
func (e *Engine) givenUp(m *message, how Disposition) *Undelivered {
	if m.tale == nil || how != Refused && how != Failed {
		return nil
	}
	g := &Undelivered{
		Message: m.Message, At: e.now.At, Reason: m.why, Tries: m.tries, Attempts: m.tale.attempts, CallsOverAt: e.now.At,
		Resent: m.tale.resent,
	}
	if d := m.doubtful(); d.set {
		g.DoubtAt, g.DoubtZone = max(d.at, 1), d.zone
	}
	if m.out != nil { // its call may go on until the last deadline of its items
		g.Attempts = append(g.Attempts[:len(g.Attempts):len(g.Attempts)], attemptAt(m.out, 0, nil))
		for _, it := range m.out.call.items {
			g.CallsOverAt = max(g.CallsOverAt, it.due)
		}
	}
	last := 2*e.set.Control.Tick + control.Millisecond
	switch {
	case m.class == nil:
		g.Cause = CauseUnknownClass
	case m.why != "":
		g.Cause = CausePermanent
	case e.now.At+last >= m.deadline:
		g.Cause = CauseDeadline
	case m.tries >= e.set.Control.MaxTries:
		g.Cause = CauseTries
	case g.DoubtAt != 0 && m.class.Effect != control.Free:
		g.Cause = CauseDoubt
	default:
		g.Cause = CauseDisplaced
	}
	short := *g
	short.Message.Body, short.Rewritten = nil, true
	m.tale.given = &short
	return g
}

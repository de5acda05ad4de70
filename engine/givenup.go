package engine

import "curlewmux/control"

// Undelivered describes a message that was refused or failed, for the store of undelivered messages. It does not contain
// the disposition.
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

// attemptHistory is the attempt history of a message, nil if undelivered messages are not kept.
type attemptHistory struct {
	resent      bool
	attempts    []Attempt
	undelivered *Undelivered // without Body
}

// add adds an attempt that ended.
func (t *attemptHistory) add(e *Engine, it *item, o *Outcome) {
	if t == nil || o.Result == control.Unsent {
		return
	}
	at := o.At
	if at == 0 {
		at = e.now.At
	}
	t.attempts = append(t.attempts, newAttempt(it, at, o))
}

func newAttempt(it *item, end Time, o *Outcome) Attempt {
	a := Attempt{Sent: it.call.sentAt, End: end, Endpoint: it.call.endpoint.id, Addr: it.call.addr, Zone: it.call.endpoint.zone}
	if o != nil {
		a.Result, a.RetryAfter = o.Result, Time(o.RetryAfter.Microseconds())
	}
	return a
}

// rewritten returns the description for a record that is written again. It has no body.
func (t *attemptHistory) rewritten() *Undelivered {
	if t == nil {
		return nil
	}
	return t.undelivered
}

// undelivered describes a message that is about to be refused or to fail, for the store of undelivered messages. It
// returns nil for other dispositions, or if undelivered messages are not kept.
func (e *Engine) undelivered(m *message, disposition Disposition) *Undelivered {
	if m.history == nil || disposition != Refused && disposition != Failed {
		return nil
	}
	g := &Undelivered{
		Message: m.Message, At: e.now.At, Reason: m.reason, Tries: m.tries, Attempts: m.history.attempts, CallsOverAt: e.now.At,
		Resent: m.history.resent,
	}
	if d := m.firstPossibleRun(); d.set {
		g.DoubtAt, g.DoubtZone = max(d.at, 1), d.zone
	}
	if m.inFlight != nil { // its call may go on until the last deadline of its items
		g.Attempts = append(g.Attempts[:len(g.Attempts):len(g.Attempts)], newAttempt(m.inFlight, 0, nil))
		for _, it := range m.inFlight.call.items {
			g.CallsOverAt = max(g.CallsOverAt, it.deadline)
		}
	}
	last := 2*e.settings.Control.Tick + control.Millisecond
	switch {
	case m.class == nil:
		g.Cause = CauseUnknownClass
	case m.reason != "":
		g.Cause = CausePermanent
	case e.now.At+last >= m.deadline:
		g.Cause = CauseDeadline
	case m.tries >= e.settings.Control.MaxTries:
		g.Cause = CauseTries
	case g.DoubtAt != 0 && m.class.Effect != control.Free:
		g.Cause = CauseDoubt
	default:
		g.Cause = CauseDisplaced
	}
	short := *g
	short.Message.Body, short.Rewritten = nil, true
	m.history.undelivered = &short
	return g
}

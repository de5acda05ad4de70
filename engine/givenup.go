package engine

import "curlewmux/control"

// Undelivered is what a keeper of undelivered messages is told of one that is given up, beside its end.
type Undelivered struct {
	Message     Message // without Body if Again
	Rewritten   bool    // the record is written a second time
	At          Time
	Cause       Cause
	Reason      string // in the partner's words, if it said any
	Tries       int
	Attempts    []Attempt // those of this process, oldest first
	DoubtAt     Time      // send of the first attempt that may have run, 0 if there is none
	DoubtZone   int       // which it went to
	CallsOverAt Time      // from then on no call of it is out
	Resent      bool
}

// Attempt is one attempt at a message that ended.
type Attempt struct {
	Sent, End  Time   // End 0: it is still out
	Endpoint   string // id
	Addr       string
	Zone       int
	Result     control.Result
	RetryAfter Time // told wait
}

// Cause is why a message is given up.
type Cause string

// Causes.
const (
	CauseDeadline     Cause = "time"   // its time is up
	CauseTries        Cause = "tries"  // it had all its tries
	CauseDoubt        Cause = "doubt"  // it may have run, and may not run again
	CausePermanent    Cause = "never"  // the partner says that no try can go better
	CauseUnknownClass Cause = "class"  // its class is no longer among the settings
	CauseDisplaced    Cause = "crowds" // it gave way to others
)

// tale is what a message has behind it, where undelivered messages are kept; nil where they are not.
type tale struct {
	resent   bool
	attempts []Attempt
	given    *Undelivered // without Body
}

// add notes an attempt that ended.
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

// again is what a record that is written a second time has.
func (t *tale) again() *Undelivered {
	if t == nil {
		return nil
	}
	return t.given
}

// givenUp is what a keeper is told of a message that is about to end so, nil where none wants to know.
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
	if m.out != nil { // its call goes on as long as anybody waits for it
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

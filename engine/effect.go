package engine

import (
	"time"

	"curlewmux/control"
	"curlewmux/ledger"
)

// Effect is something the engine wants done. Only the types of this package are effects. Those that need a batch must
// not be carried out before it is in the store; if that batch fails they must never be.
type Effect interface {
	// RequiredBatch is the batch that must be in the store first, 0 for none.
	RequiredBatch() Batch
}

// Batch numbers what goes into the store together: 1, 2, 3 and so on. 0 is none.
type Batch uint64

// Append puts records into the store, all or none. It is answered by Stored or StoreFailed.
type Append struct {
	Batch   Batch
	Records []Record
}

// Discard says that the effects which need this batch must never be carried out, whatever the store tells later.
type Discard struct{ Batch Batch }

// Answer answers a Submit or a SubmitAll.
type Answer struct {
	Ticket Ticket
	Verdict
	needs Batch
}

// Verdict is what becomes of a Submit or a SubmitAll.
type Verdict struct {
	Kind        VerdictKind
	RetryAfter  time.Duration // Busy, Unnamed, and Taken whose end was Refused: come again after so long
	Reason      string        // of what is not Taken, for people
	Disposition Disposition   // Taken: its message ended so before, and no Done follows; 0: one does
}

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// Kinds of verdict.
const (
	Accepted           VerdictKind = iota + 1 // its end is owed from now on, or was already; the message may be delivered by now
	Busy                                      // not taken; handing it in again is harmless
	UnknownDestination                        // the same: no list names the destination yet
	Conflict                                  // not taken: its id is another message's
	AlreadyEnded                              // not taken: the id came before and ended, perhaps after taking effect
	Unconfirmed                               // the store is silent: nothing is promised, and only a restart could still send it
	Invalid                                   // not taken: a field is wrong, Why names it
)

// Call makes a call. Whoever makes it asks MayWrite after a dial, and tells each item's end once by Ended.
type Call struct {
	ID         CallID
	Endpoint   control.Endpoint
	EndpointID string // the endpoint's id
	Addr       string // host:port
	Kind       int    // the endpoint's, as the settings number them, -1 if unknown
	Items      []Item
	needs      Batch
	one        [1]Item // the room of Items where there is one
}

// CallID names a call.
type CallID uint64

// Item is one message of a call.
type Item struct {
	ID, Key  string
	Body     []byte
	Deadline Time // it is waited for no longer than this
	Skip     bool // it must not be written any more, and has its outcome
}

// Permit answers MayWrite: the items that may be written. The others end as Moot.
type Permit struct {
	Call  CallID
	Items []bool
}

// Abort stops waiting for a call: its connection closes, and what had no outcome ends as Cancelled, or as Moot where no
// last byte was written.
type Abort struct{ Call CallID }

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct {
	Endpoint control.Endpoint
	Addr     string
}

// RemoveEndpoint says that an endpoint has gone from an address: its connections close as their calls end.
type RemoveEndpoint struct {
	Endpoint control.Endpoint
	Addr     string
}

// Done is a message's end; each message that was taken has one. What is Refused or Failed is owed: whoever waits for it
// is told, and then Through says so. A restart before that tells it again. The other ends need no Through.
type Done struct {
	ID          string
	Disposition Disposition
	InDoubt     bool          // it may have taken effect
	RetryAfter  time.Duration // for Refused: come again after so long
	Reason      string        // for Failed by Outcome.Never: its Why, unless a restart came between
	needs       Batch
}

// Disposition is the way a message ended.
type Disposition uint8

// Ways to end.
const (
	Delivered Disposition = iota + 1
	Refused               // never ran, or may be repeated: handing it in again is harmless
	Failed                // nothing is promised
	Closed                // the endpoint says that nothing more is owed
	Withdrawn             // nobody wants it any more
)

// LedgerBreach says that figures of the books do not add up, or, where Healed is set, that they do again.
type LedgerBreach struct{ ledger.Breach }

// LedgerSnapshot answers RequestLedger with one consistent cut, which is whoever asked's. It waits until the store has what it shows,
// so that no crash takes figures back that were seen, but where it is Provisional. Snapshot is nil where no books
// are kept, or the store has not told yet what it has of them.
type LedgerSnapshot struct {
	Ticket   Ticket
	Snapshot *ledger.Snapshot
	needs    Batch
}

// Note is a line for operators. The engine keeps their number down.
type Note struct {
	Fault bool // something is wrong here
	Text  string

	// Which message it is about, "" for none: fields of the line.
	Message string `json:",omitempty"`
	Class   string `json:",omitempty"`
}

func (*Append) RequiredBatch() Batch           { return 0 }
func (*LedgerBreach) RequiredBatch() Batch     { return 0 }
func (s *LedgerSnapshot) RequiredBatch() Batch { return s.needs }
func (*Discard) RequiredBatch() Batch          { return 0 }
func (e *Answer) RequiredBatch() Batch         { return e.needs }
func (e *Call) RequiredBatch() Batch           { return e.needs }
func (*Permit) RequiredBatch() Batch           { return 0 }
func (*Abort) RequiredBatch() Batch            { return 0 }
func (*CloseIdle) RequiredBatch() Batch        { return 0 }
func (*RemoveEndpoint) RequiredBatch() Batch   { return 0 }
func (e *Done) RequiredBatch() Batch           { return e.needs }
func (*Note) RequiredBatch() Batch             { return 0 }

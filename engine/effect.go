package engine

import (
	"time"

	"curlewmux/control"
	"curlewmux/ledger"
)

// Effect is an action that the engine wants carried out. Only the types of this package are effects. An effect that
// requires a batch must not be carried out before that batch is in the store, and never if the batch fails.
type Effect interface {
	// RequiredBatch returns the batch that must be in the store first, 0 for none.
	RequiredBatch() Batch
}

// Batch is the number of a batch of records that are stored together: 1, 2, 3 and so on. 0 means none.
type Batch uint64

// Append puts records into the store, all or none. It is answered by Stored or StoreFailed.
type Append struct {
	Batch   Batch
	Records []Record
}

// Discard says that the effects that require this batch must never be carried out, whatever the store reports later.
type Discard struct{ Batch Batch }

// Answer answers a Submit or a SubmitAll.
type Answer struct {
	Ticket Ticket
	Verdict
	requiredBatch Batch
}

// Verdict is the decision on a Submit or a SubmitAll.
type Verdict struct {
	Kind        VerdictKind
	RetryAfter  time.Duration // for Busy, UnknownDestination, and Accepted with Disposition Refused: submit again after this time
	Reason      string        // why it is not Accepted, human-readable
	Disposition Disposition   // for Accepted: how the message has already ended, so that no Done follows; 0 if a Done follows
}

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// Kinds of verdicts.
const (
	Accepted           VerdictKind = iota + 1 // accepted now or earlier: the client gets a result, and the message may already be delivered
	Busy                                      // not accepted; submitting it again is harmless
	UnknownDestination                        // not accepted; no list names the destination yet, and submitting it again is harmless
	Conflict                                  // not accepted: its id belongs to another message
	AlreadyEnded                              // not accepted: a message with this id has ended, perhaps after taking effect
	Unconfirmed                               // the store does not respond: nothing is promised, and only a restart could still send the message
	Invalid                                   // not accepted: a field is wrong, and Reason names it
)

// Call makes a call. The transport asks MayWrite after a dial, and reports each item's outcome once by Ended.
type Call struct {
	ID            CallID
	Endpoint      control.Endpoint
	EndpointID    string // the endpoint's id
	Addr          string // host:port
	Kind          int    // the endpoint's kind, an index into the settings, -1 if unknown
	Items         []Item
	requiredBatch Batch
	itemsBuffer   [1]Item // backs Items if there is only one
}

// CallID identifies a call.
type CallID uint64

// Item is one message of a call.
type Item struct {
	ID, Key  string
	Body     []byte
	Deadline Time // the call waits no longer than this for its outcome
	Skip     bool // it must no longer be written; its outcome is reported already
}

// Permit answers MayWrite: Items says of each item whether it may be written. Those that may not end as Moot.
type Permit struct {
	Call  CallID
	Items []bool
}

// Abort stops waiting for a call. Its connection closes, and items without an outcome end as Cancelled, or as Moot if
// their last byte was not written.
type Abort struct{ Call CallID }

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct {
	Endpoint control.Endpoint
	Addr     string
}

// RemoveEndpoint says that an endpoint is no longer at an address. Its connections close as their calls end.
type RemoveEndpoint struct {
	Endpoint control.Endpoint
	Addr     string
}

// Done is the result of a message. Each accepted message gets one. The client must be notified of Refused and Failed, and
// a Notified event must confirm it. If the process restarts before that, the Done is repeated. Other results need no
// Notified.
type Done struct {
	ID            string
	Disposition   Disposition
	InDoubt       bool          // the message may have taken effect
	RetryAfter    time.Duration // for Refused: submit again after this time
	Reason        string        // for Failed by Outcome.Permanent: the outcome's Reason, unless the process restarted since
	requiredBatch Batch
}

// Disposition is how a message ended.
type Disposition uint8

// Dispositions.
const (
	Delivered Disposition = iota + 1
	Refused               // never ran, or may be repeated: submitting it again is harmless
	Failed                // may have run or not
	Closed                // the endpoint says that nothing more has to be sent
	Withdrawn             // withdrawn by the client
)

// LedgerBreach says that counts of the ledger do not add up, or, if ResolvedAt is set, that they do again.
type LedgerBreach struct{ ledger.Breach }

// LedgerSnapshot answers RequestLedger with one consistent snapshot, which the requester owns. Unless the snapshot is
// Provisional, the effect waits until the store has the counts it shows, so that no crash takes back counts that someone
// has seen. Snapshot is nil if no ledger is kept, or if the ledger has not been restored yet.
type LedgerSnapshot struct {
	Ticket        Ticket
	Snapshot      *ledger.Snapshot
	requiredBatch Batch
}

// Note is a log line for operators. The engine limits their number.
type Note struct {
	Fault bool // logged as a fault
	Text  string

	// The message it is about, "" for none; fields of the log line.
	Message string `json:",omitempty"`
	Class   string `json:",omitempty"`
}

func (*Append) RequiredBatch() Batch           { return 0 }
func (*LedgerBreach) RequiredBatch() Batch     { return 0 }
func (s *LedgerSnapshot) RequiredBatch() Batch { return s.requiredBatch }
func (*Discard) RequiredBatch() Batch          { return 0 }
func (e *Answer) RequiredBatch() Batch         { return e.requiredBatch }
func (e *Call) RequiredBatch() Batch           { return e.requiredBatch }
func (*Permit) RequiredBatch() Batch           { return 0 }
func (*Abort) RequiredBatch() Batch            { return 0 }
func (*CloseIdle) RequiredBatch() Batch        { return 0 }
func (*RemoveEndpoint) RequiredBatch() Batch   { return 0 }
func (e *Done) RequiredBatch() Batch           { return e.requiredBatch }
func (*Note) RequiredBatch() Batch             { return 0 }

package engine

import (
	"time"

	"curlewmux/control"
	"curlewmux/ledger"
)

// Time is an instant on a monotonic clock, or a duration, in microseconds. The clock restarts with each process, and
// steps of the wall clock don't change it.
type Time = control.Time

// Timestamp is a wall time as records keep it: Unix time in microseconds, 0 for none.
type Timestamp int64

// Now is the moment at which an event is handled, on both clocks. At never goes back.
type Now struct {
	At   Time
	Wall Timestamp
}

// Event is an input of the engine. Only the types of this package are events.
type Event interface{ event() }

// Ticket identifies a submission until it is answered. The caller chooses it, and the engine only returns it.
type Ticket uint64

// Submit submits a message for delivery. It is answered by one Answer with its Ticket.
type Submit struct {
	Ticket    Ticket
	Message   Message
	ExpiresIn Time // how long it may still be delivered from now on; the class's Deadline bounds it
	UniqueID  bool // nobody else can submit this id: without a store it need not be remembered after the message's end

	// For a message that is resent from the store of undelivered messages (Settings.CheckUndelivered):
	Resent     bool        // it has lower priority than others, and CheckUndelivered is not asked about it
	DoubtAge   Time        // age of the first attempt, under an earlier id, that may have run; 0 for none
	DoubtZone  int         // zone which that attempt went to
	ResentFrom *ledger.Key // the account in which that message ended, nil if it is not counted in the ledger
}

// SubmitAll submits several messages that are accepted all or none, in one batch of the store. It is answered by one
// Answer with its Ticket: Accepted, or the verdict on the first message that can't be accepted. A verdict that a repeated
// submission would get again takes precedence over a temporary one.
type SubmitAll struct {
	Ticket      Ticket
	Submissions []Submit // their own tickets are ignored
}

// Message is a message as the client submits it. The engine never changes it and keeps Body without a copy.
type Message struct {
	ID          string
	Class       string
	Tenant      string
	Destination int
	Key         string // idempotency key, or the order key of an ordered class
	Body        []byte
}

// Withdraw says that nobody wants the message any more. Its call is aborted and its Done says Withdrawn; the message may
// have run. It has no effect on a message that is unknown or has ended.
type Withdraw struct{ ID string }

// RestoredLedger is what the store had of the ledger (Settings.Ledger) at the start. It comes before all RestoredMessage
// events.
type RestoredLedger struct {
	Leaves      []ledger.Leaf
	ResetReason string // why counts may be lost (ledger.ReasonDamage, ...), so that a new epoch begins; "": the stored epoch continues
}

// RequestLedger asks for a snapshot of the ledger. It is answered by one LedgerSnapshot, unless a batch fails that the
// snapshot waits for.
type RequestLedger struct{ Ticket Ticket }

// RestoredMessage is a message that the store had at the start, with its attempts and doubt so far. These events come in
// the order in which the messages were accepted, before any Submit.
type RestoredMessage struct {
	Message   Message
	Deadline  Timestamp
	Tries     int
	DoubtAt   Timestamp // when the first attempt that may have run was sent, 0 if there is none
	DoubtZone int
	Pending   *PendingResult // set if its end was decided and the client may not know yet; Message.Body may then be missing

	account *ledger.Account // set by the engine
}

// PendingResult is the result of a message whose client has yet to be notified.
type PendingResult struct {
	Disposition Disposition
	RetryAfter  time.Duration // for Refused: submit again after this time
	Fingerprint uint64        // Message.Fingerprint, as the body is no longer kept
}

// RestoredEnd is a message that had ended. Its id is still remembered, so that a repeated submission is recognised.
type RestoredEnd struct {
	ID          string
	Disposition Disposition
	Until       Timestamp // from then on the id may be forgotten
	Fingerprint uint64    // Message.Fingerprint
}

// RestoreComplete ends the restore. LatestTimestamp is the latest wall time in any record. If the clock shows less, the
// ages of attempts are unknown, and messages in doubt count as outside their key's window. A RecClockStep record then
// adjusts the records' timestamps to the clock.
type RestoreComplete struct{ LatestTimestamp Timestamp }

// Members is a report of one source about endpoints: a full list, or changes to its last list. The worst claim counts
// (gone, leaving, active) of all sources that ever reported the endpoint. A full list that omits an endpoint of that
// source's earlier lists claims that it is gone. A source that never reported an endpoint makes no claim about it.
type Members struct {
	Source   string
	FullList bool
	Cached   bool // with FullList: from before this process started, so perhaps out of date
	Failed   bool // the source can't be reached; its earlier claims stay, and List is empty
	// Unconfirmed says that endpoints may have begun to drain that the source's last list has as active. They get no new
	// calls until its next full list. List is empty.
	Unconfirmed bool
	List        []Member
}

// Member is one endpoint as a source reports it.
type Member struct {
	ID          string
	Addr        string // host:port
	Destination int    // an id that comes with a new destination is a new endpoint
	Zone        int    // index into the settings, -1 if unknown
	Kind        int    // index into the settings, -1 if unknown
	Phase       Phase
	Weight      float64 // calls a second that the destination accepts, 0 if not reported
	Started     int64   // when its process started, Unix time in ms; 0 if long ago, or not reported
}

// Phase is the state of an endpoint as a source claims it.
type Phase uint8

// Phases, from the worst to the best.
const (
	Gone    Phase = iota // takes no more calls
	Leaving              // finishes the calls it has and takes no new one
	Active
)

// Stored says that all batches up to this one are in the store, except those that failed before. A number lower
// than one reported before changes nothing.
type Stored struct{ Batch Batch }

// StoreFailed says that a batch is not in the store and never will be.
type StoreFailed struct {
	Batch Batch
	Full  bool // no room: messages can't be accepted, but those accepted before have the room that they need
}

// StoreLost says that the store lost batches that it had reported as stored. LastKept is the last one it still has.
type StoreLost struct{ LastKept Batch }

// MayWrite asks, just before the first byte of a call is written, which of its items may still be written. It is answered
// by one Permit.
type MayWrite struct{ Call CallID }

// FirstLine says that the response to a call with one item has begun, and that the item is delivered.
type FirstLine struct{ Call CallID }

// Ended reports the outcomes of items of a call. Each item has exactly one.
type Ended struct {
	Call     CallID
	Outcomes []Outcome
}

// Outcome is how the attempt at one item of a call ended.
type Outcome struct {
	Item       int // its index in the call
	Result     control.Result
	Closed     bool          // the endpoint says that the message is closed: nothing more has to be sent
	Permanent  bool          // set only if the attempt never ran: no further attempt can succeed, so the message fails now
	Reason     string        // for Permanent, human-readable
	RetryAfter time.Duration // how long the destination asked not to be called, 0 for none
	CallOpen   bool          // timed out, and the call goes on for its other items
	At         Time          // when the outcome was known, if earlier than this event, else 0
	LoadReport []float32     // the endpoint's load report
}

// Notified says that the clients have been notified of the results (Done) of these messages.
type Notified struct{ IDs []string }

// Fleet says how many dispatchers there are from now on, including this one. It is at least 1.
type Fleet struct{ Instances int }

// Stop begins a planned stop: no new call starts, everything else goes on.
type Stop struct{}

// Wake comes at the time that NextWake returned, or later.
type Wake struct{}

func (*Submit) event()          {}
func (*SubmitAll) event()       {}
func (*Withdraw) event()        {}
func (*RestoredLedger) event()  {}
func (*RequestLedger) event()   {}
func (*RestoredMessage) event() {}
func (*RestoredEnd) event()     {}
func (*RestoreComplete) event() {}
func (*Members) event()         {}
func (*Stored) event()          {}
func (*StoreFailed) event()     {}
func (*StoreLost) event()       {}
func (*MayWrite) event()        {}
func (*FirstLine) event()       {}
func (*Ended) event()           {}
func (*Notified) event()        {}
func (*Stop) event()            {}
func (*Fleet) event()           {}
func (*Wake) event()            {}

package engine

import (
	"time"

	"curlewmux/control"
	"curlewmux/ledger"
)

// Time is an instant on a clock that no step of the wall clock changes, or a span, in microseconds. It starts anew with
// each process.
type Time = control.Time

// Timestamp is wall time as records keep it: microseconds since 1970 (Unix), 0 for none.
type Timestamp int64

// Now is the moment at which an event is handled. At never goes back.
type Now struct {
	At   Time
	Wall Timestamp
}

// Event is something the engine is told. Only the types of this package are events.
type Event interface{ event() }

// Ticket names one hand-in until it is answered. Whoever hands in chooses it; the engine only gives it back.
type Ticket uint64

// Submit is a message that someone wants delivered. It is answered by one Answer with its Ticket.
type Submit struct {
	Ticket    Ticket
	Message   Message
	ExpiresIn Time // how long it may still be delivered, from now on; the class's hard limit bounds it
	UniqueID  bool // nobody else can hand its id in: without a store it need not be remembered once the message ended

	// Of a message that is sent again from the store of undelivered ones (Settings.Kept):
	Resent     bool // it gives way to others, and Kept is not asked about it
	DoubtAge   Time // how long ago the first attempt at an earlier life was sent that may have run, 0: none was
	DoubtZone  int
	ResentFrom *ledger.Key // the account in which that message ended, where it is counted
}

// SubmitAll is several messages that are taken all or none, in one batch of the store. It is answered by one Answer with
// its Ticket: Taken, or what speaks against the first that can't be taken, those ahead that never could.
type SubmitAll struct {
	Ticket      Ticket
	Submissions []Submit // their own tickets do not count
}

// Message is what a message brings along. The engine never changes it and keeps Body as it is, without a copy.
type Message struct {
	ID          string
	Class       string
	Tenant      string
	Destination int
	Key         string // idempotency key, or what a class in order goes by
	Body        []byte
}

// Withdraw says that nobody wants the message any more. Its Done says Withdrawn, and its call is aborted; it may have
// run. A message that is not there, or has ended, is left as it is.
type Withdraw struct{ ID string }

// RestoredLedger is what the store had of the books (Settings.Ledger) at the start. It comes ahead of all Restored.
type RestoredLedger struct {
	Leaves      []ledger.Leaf
	ResetReason string // why figures may be lost (ledger.WhyDamage, ...): an epoch begins anew; "": the one that the store has goes on
}

// RequestLedger asks for a snapshot of the books. It is answered by one Shown, unless a batch fails that it waits for.
type RequestLedger struct{ Ticket Ticket }

// RestoredMessage is a message that the store had at the start, with what it has behind it. They come in the order in which
// they were taken, before any Submit.
type RestoredMessage struct {
	Message   Message
	Deadline  Timestamp
	Tries     int
	DoubtAt   Timestamp // send of the first attempt that may have run, 0 if there is none
	DoubtZone int
	Pending   *PendingResult // its end was decided, and whoever waits for it may not know yet; Message.Body need not be known

	acct *ledger.Account // the engine's
}

// PendingResult is an end that is still to be told.
type PendingResult struct {
	Disposition Disposition
	RetryAfter  time.Duration // for Refused: come again after so long
	Fingerprint uint64        // Message.Print, as the body is kept no longer
}

// RestoredEnd is a message that had ended: its id still counts.
type RestoredEnd struct {
	ID          string
	Disposition Disposition
	Until       Timestamp
	Fingerprint uint64 // Message.Print
}

// RestoreComplete is the last of the restored: Written is the latest wall time that any record bears. Where the clock shows
// less, the ages of attempts can't be told, and messages in doubt count as out of their key's window; a RecClockStep then
// brings the records' stamps down to the clock.
type RestoreComplete struct{ LatestTimestamp Timestamp }

// Members is what one source tells of endpoints. A source tells a whole list or changes to its last one. An endpoint is
// only as usable as the worst that the sources say which ever told of it (gone, leaving, active): a whole list without
// an endpoint of its earlier ones says that it is gone. A source that never told of an endpoint says nothing of it.
type Members struct {
	Source   string
	FullList bool
	Cached   bool // with Whole: from before this process began, so perhaps old
	Failed   bool // the source can't be asked; what it told stays, and List is empty
	List     []Member
}

// Member is one endpoint as a source tells of it.
type Member struct {
	ID          string
	Addr        string // host:port
	Destination int    // an id that comes with another one is another endpoint
	Zone        int    // as the settings number them, -1 if unknown
	Kind        int    // the same
	Phase       Phase
	Weight      float64 // calls a second that the destination takes, 0 if not told
}

// Phase is what a source says of an endpoint.
type Phase uint8

// Phases, the worst first.
const (
	Gone    Phase = iota // takes nothing more
	Leaving              // finishes what it has
	Active
)

// HasStore says that all batches up to this one are in the store, but for those that failed before. Lower numbers than
// were told before change nothing.
type Stored struct{ Batch Batch }

// StoreFailed says that a batch is not in the store and never will be.
type StoreFailed struct {
	Batch Batch
	Full  bool // for want of room: messages can't be taken, but what was taken has the room that it needs
}

// StoreLost says that the store has lost batches that it told as stored, down to Kept, the last it still has.
type StoreLost struct{ LastKept Batch }

// MayWrite asks, just before the first byte of a call is written, which of its items may still be. It is answered by one
// Permit.
type MayWrite struct{ Call CallID }

// FirstLine says that the answer to a call with one item has begun, and that it is delivered.
type FirstLine struct{ Call CallID }

// Disposition tells outcomes of items of a call. Each item has one.
type Ended struct {
	Call     CallID
	Outcomes []Outcome
}

// Outcome is how the attempt at one item of a call ended.
type Outcome struct {
	Item       int // its place in the call
	Result     control.Result
	Closed     bool          // the endpoint says that the message is over
	Permanent  bool          // with a result that never ran: no try can go better, so the message fails now
	Reason     string        // of Never, for people
	RetryAfter time.Duration // told wait, 0 for none
	CallOpen   bool          // timed out, and the call goes on for its other items
	At         Time          // when it was known, if earlier than it is told, else 0
	LoadReport []float32     // what the endpoint told of its load
}

// Notified says that the ends of these messages have been told (Done) to whoever waits for them.
type Notified struct{ IDs []string }

// Fleet says how many dispatchers there are from now on, this one counted; it is at least 1.
type Fleet struct{ Instances int }

// Stop begins a planned stop: no call starts any more; all else goes on.
type Stop struct{}

// Wake comes when Next said, or later.
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

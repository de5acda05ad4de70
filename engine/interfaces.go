package engine

import (
	"errors"
	"time"
)

// The interfaces between the engine and the other components. A runtime connects one engine, one store, transports,
// fronts, sources and a sink: it handles events on one goroutine (the driver's) and carries out effects there. No method
// called on the driver's goroutine may block, except for the store's writes to its disk.

// ErrFull is returned by Store.Append when there is no room for a batch that accepts messages.
var ErrFull = errors.New("the store has no room")

// Store keeps records.
type Store interface {
	// Append adds one batch to those that the next Flush writes; called by the driver. An error means that the batch is
	// not stored and never will be. ErrFull means that there was no room for it.
	Append(b Batch, records []Record) error

	// Flush writes all appended batches at once; called by the driver at the end of each of its rounds. It returns the
	// number up to which all appended batches are stored. If it returns an error, the batches after that number are not
	// stored and never will be. Otherwise they are still being written, and the store reports them later, in a way that
	// each implementation defines.
	Flush() (Batch, error)
}

// ExpiringStore is a Store that deletes expired records. The driver passes it the wall time in each of its rounds, after
// the round's appends and before its Flush.
type ExpiringStore interface {
	Tick(now Timestamp)
}

// Transport makes calls.
type Transport interface {
	// Start starts a call; called by the driver. The transport reports to on from other goroutines.
	Start(c *Call, on CallEvents)

	// Abort stops waiting for a call; called by the driver. It has no effect on a call that has ended.
	Abort(id CallID)

	// CloseIdle closes the idle connections to an endpoint; called by the driver.
	CloseIdle(c *CloseIdle)

	// RemoveEndpoint removes an endpoint at an address; called by the driver. Idle connections close at once, the others
	// when their calls end.
	RemoveEndpoint(l *RemoveEndpoint)
}

// CallEvents receives what a transport reports about one call, from any goroutine.
type CallEvents interface {
	// MayWrite asks which items may still be written. It blocks until the engine has answered. It returns nil if the
	// driver has stopped; then no item may be written.
	MayWrite(id CallID) []bool

	// FirstLine reports that the first line of the response to a call with one item says that the item is delivered.
	FirstLine(id CallID)

	// Ended reports the outcomes. Each item of a call has exactly one.
	Ended(id CallID, outs []Outcome)
}

// Sink receives the results of messages.
type Sink interface {
	// Completed takes the result of a message. The driver calls it. Once the client has been notified, the sink acknowledges
	// with a Notified event, from any goroutine.
	Completed(d *Done)
}

// Intake takes messages that fronts submit.
type Intake interface {
	// Submit submits a message that may be delivered until the deadline (the host's time). Called by fronts, from any
	// goroutine. It blocks until there is a verdict, which is Busy if the driver has stopped.
	Submit(m *Message, deadline time.Time) Verdict
}

// GroupIntake takes several messages at a time, for fronts whose clients submit several at once.
type GroupIntake interface {
	// SubmitEach submits messages independently of each other, with their deadlines (the host's time). Called by fronts,
	// from any goroutine. It blocks until there is a verdict on each message, and returns them in the order of the
	// messages.
	SubmitEach(list []*Message, deadlines []time.Time) []Verdict

	// SubmitAll submits messages that are accepted all or none, with one verdict for all (see the event SubmitAll).
	SubmitAll(list []*Message, deadlines []time.Time) Verdict
}

// MembershipReceiver takes what sources report about endpoints.
type MembershipReceiver interface {
	// Members passes on the report of one source, from any goroutine. It does not block. It returns false once the driver
	// has stopped.
	Members(m *Members) bool
}

package engine

import (
	"errors"
	"time"
)

// The seams round the engine. A runtime puts one engine, one store, transports, fronts, sources and a sink together: it
// handles events on one goroutine (the driver's) and carries out effects there. No method called on the driver's
// goroutine may block, but for the store's writing to its disk.

// ErrFull is what Store.Append returns when there is no room for a batch that takes messages.
var ErrFull = errors.New("the store has no room")

// Store keeps records.
type Store interface {
	// Append adds one batch to what the next Flush writes, called by the driver. An error says that the batch is not
	// stored and never will be; ErrFull that it is for want of room.
	Append(b Batch, records []Record) error

	// Flush writes what was appended, all in one, called by the driver at the end of each of its rounds. It returns the
	// last batch up to which all that Append took are stored. With an error the batches behind that one are not stored
	// and never will be. Without one they are still on their way, and the store tells later (as its maker says how).
	Flush() (Batch, error)
}

// ExpiringStore is a Store that forgets what has expired. The driver tells it the wall time in each of its rounds, behind what the
// round appended and before its Flush.
type ExpiringStore interface {
	Tick(now Timestamp)
}

// Transport makes calls.
type Transport interface {
	// Start starts a call, called by the driver. What becomes of it is told from other goroutines.
	Start(c *Call, on CallEvents)

	// Abort stops waiting for a call, called by the driver; one that has ended is left as it is.
	Abort(id CallID)

	// CloseIdle closes the idle connections to an endpoint, called by the driver.
	CloseIdle(c *CloseIdle)

	// RemoveEndpoint forgets an endpoint at an address, called by the driver: idle connections close, those with calls as these
	// end.
	RemoveEndpoint(l *RemoveEndpoint)
}

// CallEvents is what a transport tells of one call, from any goroutine.
type CallEvents interface {
	// MayWrite asks which items may still be written. It blocks until the engine has answered; nil if the driver has
	// stopped, and then none may.
	MayWrite(id CallID) []bool

	// FirstLine tells that the first line of the answer to a call with one item says that it is delivered.
	FirstLine(id CallID)

	// Disposition tells outcomes; each item of a call has one.
	Ended(id CallID, outs []Outcome)
}

// Sink is told the ends of messages.
type Sink interface {
	// Done takes an end, called by the driver. It answers with Through, from any goroutine, once whoever waits has been
	// told.
	Completed(d *Done)
}

// Intake takes what fronts hand in.
type Intake interface {
	// Submit hands a message in, which may be delivered until the deadline (the host's time). Called by fronts, from any
	// goroutine; it blocks until there is an answer. A driver that has stopped answers Busy.
	Submit(m *Message, deadline time.Time) Verdict
}

// GroupIntake takes several messages at a time from fronts whose clients hand them in so.
type GroupIntake interface {
	// SubmitEach hands messages in, each for itself, which may be delivered until their deadlines (the host's time).
	// Called by fronts, from any goroutine; it blocks until there are all answers, in the order of the messages.
	SubmitEach(list []*Message, deadlines []time.Time) []Verdict

	// SubmitAll is the same with one answer: they are taken all or none (engine.SubmitAll).
	SubmitAll(list []*Message, deadlines []time.Time) Verdict
}

// MembershipReceiver takes what sources tell of endpoints.
type MembershipReceiver interface {
	// Members passes on what one source tells, from any goroutine; it does not block. It returns false once the driver
	// has stopped.
	Members(m *Members) bool
}

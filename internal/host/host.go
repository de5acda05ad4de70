// Package host abstracts the machine for the network code: clocks, goroutines, the network, and inboxes to wait on. System is
// the real machine. A simulated one (internal/vnet) runs the same code on a virtual clock.
//
// Code that runs on both follows these rules:
//   - It blocks only at a Conn, a Listener, a Dial, an Inbox or a file, and starts goroutines only with Go.
//   - It holds a mutex only for short work in memory, never while it blocks.
//   - It gets its random numbers from its caller.
//   - After a temporary error of Accept (EMFILE) it waits at an Inbox before it accepts again.
//   - It tolerates a panic wherever it blocks: a simulated process is killed that way. What deferred functions do then has no
//     effect on the simulation.
package host

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrAborted is returned by an aborted Dial.
var ErrAborted = errors.New("aborted")

// Host is one machine. All its methods are safe for concurrent use.
type Host interface {
	// Now returns the time of the machine with a monotonic reading, which steps of the wall clock do not change. It is for
	// measuring time and for the deadlines of connections.
	Now() time.Time

	// Wall returns the time of the machine's wall clock, which may be stepped forwards or backwards at any moment.
	Wall() time.Time

	// Go runs f on a goroutine of its own.
	Go(f func())

	// AfterFunc runs f on a goroutine of its own once d has passed, unless the timer is stopped first.
	AfterFunc(d time.Duration, f func()) Timer

	// Dial connects to addr ("host:port") over TCP. It blocks until the connection is established or refused, limit has
	// passed (0: no limit of its own) or abort is done, which returns ErrAborted.
	Dial(addr string, limit time.Duration, abort *Abort) (net.Conn, error)

	// Listen listens on addr ("host:port") over TCP. Errors name the address.
	Listen(addr string) (net.Listener, error)

	// NewInbox returns an empty inbox.
	NewInbox() Inbox
}

// Timer is a function that is scheduled to run.
type Timer interface {
	// Stop cancels the run. It returns false if the function has started already.
	Stop() bool
}

// Inbox is an unbounded queue from which one goroutine takes the values that others put.
type Inbox interface {
	// Put adds v without blocking. It returns false and adds nothing if the inbox is closed.
	Put(v any) bool

	// Take appends all values to into, oldest first, and returns the result. If there are none it waits for the first one,
	// until the given time (zero: forever) or until Close, and then returns into as it is. Only one goroutine at a time may
	// call Take.
	Take(into []any, until time.Time) []any

	// Close ends the current and all later waits, and returns the values that were not taken.
	Close() []any
}

// Abort cancels an operation. The operation registers with On how it is cancelled. The zero value is ready for use and must
// not be copied.
type Abort struct {
	mu     sync.Mutex
	done   bool
	cancel func()
}

// Do cancels the operation: it runs the function that On set last, on the caller's goroutine. A second call does nothing.
func (a *Abort) Do() {
	a.mu.Lock()
	f := a.cancel
	if a.done {
		f = nil
	}
	a.done, a.cancel = true, nil
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// On sets the function that Do runs, in place of an earlier one. If Do was called already, On runs f at once. nil removes the
// earlier function. f must not block and must not call methods of a.
func (a *Abort) On(f func()) {
	a.mu.Lock()
	done := a.done
	if !done {
		a.cancel = f
	}
	a.mu.Unlock()
	if done && f != nil {
		f()
	}
}

// Done reports whether Do was called.
func (a *Abort) Done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

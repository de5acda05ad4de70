// Package host is the machine as the network code sees it: a clock, goroutines, a network, and inboxes to wait at. The
// real one is System; a simulated one (internal/vnet) runs the same code on a virtual clock.
//
// Code that is to run on both keeps to this:
//   - It waits nowhere else than at a Conn, a Listener, a Dial, an Inbox or a file, and starts goroutines with Go alone.
//   - It holds a mutex only for short work in memory, never over one of these.
//   - It takes its random numbers from outside.
//   - An error of Accept that passes (EMFILE) is waited out at an Inbox, not tried again at once.
//   - It bears a panic at any wait: so a simulated process is killed, wherever it is. Nothing that a deferred function
//     does then reaches the world any more.
package host

import (
	"errors"
	"net"
	"sync"
	"time"
)

// ErrAborted is what an aborted Dial returns.
var ErrAborted = errors.New("aborted")

// Host is one machine. All its methods are safe for concurrent use.
type Host interface {
	// Now is the time on the machine's clock, with a reading that steps of the wall clock do not change: differences
	// between two of them are true, and the deadlines of connections are set by them.
	Now() time.Time

	// Wall is what the machine's wall clock shows, which may be stepped either way at any moment.
	Wall() time.Time

	// Go runs f on a goroutine of its own.
	Go(f func())

	// AfterFunc runs f on a goroutine of its own once d has passed, unless the timer is stopped first.
	AfterFunc(d time.Duration, f func()) Timer

	// Dial connects to addr ("host:port") over TCP. It blocks until the connection is up, it is refused, limit has
	// passed (0: no limit of its own) or abort is done, which gives ErrAborted.
	Dial(addr string, limit time.Duration, abort *Abort) (net.Conn, error)

	// Listen listens on addr ("host:port") over TCP. Errors name the address.
	Listen(addr string) (net.Listener, error)

	// NewInbox makes an inbox.
	NewInbox() Inbox
}

// Timer is a function that is yet to run.
type Timer interface {
	// Stop keeps the function from being run and tells whether it came in time for that.
	Stop() bool
}

// Inbox is where one goroutine waits for what others put there.
type Inbox interface {
	// Put adds v and never blocks. After Close nothing is added, and Put returns false.
	Put(v any) bool

	// Take moves all that has been put, oldest first, behind into and returns it. With nothing there it waits for the
	// first, until the moment given (zero: for ever) or until Close, and returns into as it was. One goroutine at a time
	// may be here.
	Take(into []any, until time.Time) []any

	// Close ends every wait, now and later, and returns what nobody has taken.
	Close() []any
}

// Abort calls off what is under way. Whoever waits sets by On what is to be done then. The zero value is ready for use;
// it must not be copied.
type Abort struct {
	mu   sync.Mutex
	done bool
	f    func()
}

// Do aborts: it runs, on the caller's goroutine, what On set last. A second call does nothing.
func (a *Abort) Do() {
	a.mu.Lock()
	f := a.f
	if a.done {
		f = nil
	}
	a.done, a.f = true, nil
	a.mu.Unlock()
	if f != nil {
		f()
	}
}

// On sets what Do does, in place of what was set before, or runs f at once if it is done already. nil sets nothing. f
// must not block and must not call a.
func (a *Abort) On(f func()) {
	a.mu.Lock()
	done := a.done
	if !done {
		a.f = f
	}
	a.mu.Unlock()
	if done && f != nil {
		f()
	}
}

// Done tells whether Do was called.
func (a *Abort) Done() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

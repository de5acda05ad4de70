package partnerlist

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	minRetryPause = 50 * time.Millisecond // pause after the first failure; doubles with each further one ...
	maxRetryPause = time.Second           // ... up to this
)

// agent is a client with one persistent connection to discovery's agent. A single goroutine makes the calls and waits.
// Other goroutines may change the address and end that goroutine.
type agent struct {
	host  host.Host
	inbox host.Inbox // input of the goroutine; nil only interrupts a wait
	done  host.Inbox // closed once the goroutine has ended

	mu      sync.Mutex
	current *address // current address, nil once closed
	started bool

	// Used only by the goroutine:

	conn        *http1.Conn // nil if there is none
	connectedTo *address    // address that conn is connected to
	received    []any       // buffer for what is taken from the inbox
}

// address is an address of the agent.
type address struct {
	addr     string
	replaced host.Abort // done when another address is set, or the agent is closed
}

func newAgent(h host.Host, addr string) *agent {
	return &agent{host: h, inbox: h.NewInbox(), done: h.NewInbox(), current: &address{addr: addr}}
}

// start starts the goroutine, unless it was started before or the agent is closed.
func (a *agent) start(run func()) {
	a.mu.Lock()
	starts := a.current != nil && !a.started
	a.started = a.started || starts
	a.mu.Unlock()
	if !starts {
		return
	}
	a.host.Go(func() {
		defer a.done.Close()
		defer a.disconnect()
		run()
	})
}

// setAddress sets the address and aborts a call to the old one. It reports whether the address is a different one.
func (a *agent) setAddress(addr string) bool {
	a.mu.Lock()
	old := a.current
	if old == nil || old.addr == addr {
		a.mu.Unlock()
		return false
	}
	a.current = &address{addr: addr}
	a.mu.Unlock()
	old.replaced.Do()
	a.inbox.Put(nil)
	return true
}

// close ends the goroutine and waits for it.
func (a *agent) close() {
	a.mu.Lock()
	old, started := a.current, a.started
	a.current = nil
	a.mu.Unlock()
	if old != nil {
		old.replaced.Do()
	}
	a.inbox.Close()
	if started {
		a.done.Take(nil, time.Time{})
	}
}

// currentAddress returns the current address, nil if the goroutine must end.
func (a *agent) currentAddress() *address {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// wait blocks until the given time, or until the address is no longer the current one. Values that arrive in the inbox
// meanwhile go to keep.
func (a *agent) wait(at *address, until time.Time, keep func(any)) {
	for a.currentAddress() == at && a.host.Now().Before(until) {
		a.receive(until, keep)
	}
}

// receive waits for values in the inbox, at most until the given time (zero: without a limit), and passes them to keep.
func (a *agent) receive(until time.Time, keep func(any)) {
	a.received = a.inbox.Take(a.received[:0], until)
	for _, v := range a.received {
		if v != nil {
			keep(v)
		}
	}
	clear(a.received)
}

// call sends a request and returns the response. It fails after the time limit, or when the address is no longer the current
// one. The agent may have closed a persistent connection in the meantime. The request is then sent again on a new one, which
// is safe because all requests here are idempotent.
func (a *agent) call(at *address, request []byte, limit time.Duration, body int) (http1.Response, error) {
	until := a.host.Now().Add(limit)
	if a.connectedTo != at || a.conn != nil && !a.conn.IsIdle() {
		a.disconnect()
	}
	for {
		reused := a.conn != nil
		if !reused {
			if err := a.dial(at, until); err != nil {
				return http1.Response{}, err
			}
		}
		answer, err := a.exchange(at, request, http1.Limits{Deadline: until, MaxBody: body})
		if err != nil || !answer.Reusable {
			a.disconnect()
		}
		if err != nil && reused && !errors.Is(err, http1.ErrTimeout) && !errors.Is(err, http1.ErrInvalidResponse) {
			continue
		}
		return answer, err
	}
}

func (a *agent) dial(at *address, until time.Time) error {
	limit := until.Sub(a.host.Now())
	if limit <= 0 { // Dial takes 0 as no limit
		return os.ErrDeadlineExceeded
	}
	nc, err := a.host.Dial(at.addr, limit, &at.replaced)
	if err != nil {
		return err
	}
	a.conn, a.connectedTo = http1.NewConn(a.host, nc), at
	return nil
}

func (a *agent) exchange(at *address, request []byte, limits http1.Limits) (http1.Response, error) {
	conn := a.conn
	at.replaced.On(func() { conn.Close() })
	defer at.replaced.On(nil)
	if err := conn.Write(request, limits.Deadline); err != nil {
		return http1.Response{}, fmt.Errorf("request: %w", err)
	}
	return conn.Read(limits)
}

// disconnect closes the persistent connection.
func (a *agent) disconnect() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.conn, a.connectedTo = nil, nil
}

// pacer limits a rate: it allows a burst of paceBurst actions, and otherwise one for each paceInterval.
type pacer struct{ nextAt time.Time }

const (
	paceInterval = 50 * time.Millisecond // between two actions in the long run
	paceBurst    = 20                    // actions in a burst
)

// next returns the time from which the next action is allowed.
func (p *pacer) next(now time.Time) time.Time {
	if free := now.Add(-paceBurst * paceInterval); p.nextAt.Before(free) {
		p.nextAt = free
	}
	p.nextAt = p.nextAt.Add(paceInterval)
	return p.nextAt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

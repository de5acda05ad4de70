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
	retryLeast = 50 * time.Millisecond // pause after the first failure; doubles with each further one ...
	retryMost  = time.Second           // ... up to this
)

// agent is a client with one persistent connection to discovery's agent. A single goroutine makes the calls and waits.
// Other goroutines may change the address and end that goroutine.
type agent struct {
	host  host.Host
	inbox host.Inbox // input of the goroutine; nil only interrupts a wait
	ended host.Inbox // closed once the goroutine has ended

	mu      sync.Mutex
	at      *place // current address, nil once closed
	started bool

	// Used only by the goroutine:

	conn *http1.Conn // nil if there is none
	to   *place      // address that conn is connected to
	got  []any       // buffer for what is taken from the inbox
}

// place is an address of the agent.
type place struct {
	addr string
	left host.Abort // done when another address is set, or the agent is closed
}

func newAgent(h host.Host, addr string) *agent {
	return &agent{host: h, inbox: h.NewInbox(), ended: h.NewInbox(), at: &place{addr: addr}}
}

// start starts the goroutine, unless it was started before or the agent is closed.
func (a *agent) start(run func()) {
	a.mu.Lock()
	may := a.at != nil && !a.started
	a.started = a.started || may
	a.mu.Unlock()
	if !may {
		return
	}
	a.host.Go(func() {
		defer a.ended.Close()
		defer a.hangUp()
		run()
	})
}

// move sets the address and aborts a call to the old one. It reports whether the address is a different one.
func (a *agent) move(addr string) bool {
	a.mu.Lock()
	old := a.at
	if old == nil || old.addr == addr {
		a.mu.Unlock()
		return false
	}
	a.at = &place{addr: addr}
	a.mu.Unlock()
	old.left.Do()
	a.inbox.Put(nil)
	return true
}

// close ends the goroutine and waits for it.
func (a *agent) close() {
	a.mu.Lock()
	old, started := a.at, a.started
	a.at = nil
	a.mu.Unlock()
	if old != nil {
		old.left.Do()
	}
	a.inbox.Close()
	if started {
		a.ended.Take(nil, time.Time{})
	}
}

// place returns the current address, nil if the goroutine must end.
func (a *agent) place() *place {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at
}

// wait blocks until the given time, or until the address is no longer the current one. Values that arrive in the inbox
// meanwhile go to keep.
func (a *agent) wait(at *place, until time.Time, keep func(any)) {
	for a.place() == at && a.host.Now().Before(until) {
		a.take(until, keep)
	}
}

// take waits for values in the inbox, at most until the given time (zero: without a limit), and passes them to keep.
func (a *agent) take(until time.Time, keep func(any)) {
	a.got = a.inbox.Take(a.got[:0], until)
	for _, v := range a.got {
		if v != nil {
			keep(v)
		}
	}
	clear(a.got)
}

// ask sends a request and returns the response. It fails after the time limit, or when the address is no longer the current
// one. The agent may have closed a persistent connection in the meantime. The request is then sent again on a new one, which
// is safe because all requests here are idempotent.
func (a *agent) ask(at *place, request []byte, limit time.Duration, body int) (http1.Answer, error) {
	until := a.host.Now().Add(limit)
	if a.to != at || a.conn != nil && !a.conn.Clean() {
		a.hangUp()
	}
	for {
		kept := a.conn != nil
		if !kept {
			if err := a.dial(at, until); err != nil {
				return http1.Answer{}, err
			}
		}
		answer, err := a.exchange(at, request, http1.Limits{Until: until, Body: body})
		if err != nil || !answer.Keep {
			a.hangUp()
		}
		if err != nil && kept && !errors.Is(err, http1.ErrLate) && !errors.Is(err, http1.ErrSpoilt) {
			continue
		}
		return answer, err
	}
}

func (a *agent) dial(at *place, until time.Time) error {
	limit := until.Sub(a.host.Now())
	if limit <= 0 { // Dial takes 0 as no limit
		return os.ErrDeadlineExceeded
	}
	nc, err := a.host.Dial(at.addr, limit, &at.left)
	if err != nil {
		return err
	}
	a.conn, a.to = http1.NewConn(a.host, nc), at
	return nil
}

func (a *agent) exchange(at *place, request []byte, limits http1.Limits) (http1.Answer, error) {
	conn := a.conn
	at.left.On(func() { conn.Close() })
	defer at.left.On(nil)
	if err := conn.Write(request, limits.Until); err != nil {
		return http1.Answer{}, fmt.Errorf("request: %w", err)
	}
	return conn.Read(limits)
}

// hangUp closes the kept connection.
func (a *agent) hangUp() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.conn, a.to = nil, nil
}

// pacer limits a rate: it allows a burst of paceFree actions, and otherwise one for each paceGap.
type pacer struct{ at time.Time }

const (
	paceGap  = 50 * time.Millisecond // between two actions in the long run
	paceFree = 20                    // actions in a burst
)

// next returns the time from which the next action is allowed.
func (p *pacer) next(now time.Time) time.Time {
	if free := now.Add(-paceFree * paceGap); p.at.Before(free) {
		p.at = free
	}
	p.at = p.at.Add(paceGap)
	return p.at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

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
	retryLeast = 50 * time.Millisecond // the pause after a failure, which doubles up to
	retryMost  = time.Second
)

// agent is one kept connection to discovery's agent. One goroutine asks and waits; the address may be moved, and the
// goroutine ended, from any other.
type agent struct {
	host  host.Host
	inbox host.Inbox // of the goroutine: what it has to do, and nil to look up from a wait
	ended host.Inbox // closed once the goroutine has ended

	mu      sync.Mutex
	at      *place // nil once closed
	started bool

	// Of the goroutine:
	conn *http1.Conn // nil if there is none
	to   *place      // where conn goes
	got  []any
}

// place is one address of the agent.
type place struct {
	addr string
	left host.Abort // done when another place counts, or none
}

func newAgent(h host.Host, addr string) *agent {
	return &agent{host: h, inbox: h.NewInbox(), ended: h.NewInbox(), at: &place{addr: addr}}
}

// start runs the goroutine, once.
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

// move makes another address count and drops the call to the old one; it tells whether it is another.
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

// close ends the goroutine and waits until it has ended.
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

// place is the address that counts now, nil when the goroutine has to end.
func (a *agent) place() *place {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.at
}

// wait waits until the moment given, but no longer than a place counts. What is put into the inbox meanwhile goes to
// keep.
func (a *agent) wait(at *place, until time.Time, keep func(any)) {
	for a.place() == at && a.host.Now().Before(until) {
		a.take(until, keep)
	}
}

// take waits for something in the inbox, at most until the moment given (zero: for ever).
func (a *agent) take(until time.Time, keep func(any)) {
	a.got = a.inbox.Take(a.got[:0], until)
	for _, v := range a.got {
		if v != nil {
			keep(v)
		}
	}
	clear(a.got)
}

// ask sends a request to a place and returns the answer, within a time limit and by the place still counting. A
// connection that was kept may have been closed from afar: then the request goes once more on a new one, since no request
// here does harm twice.
func (a *agent) ask(at *place, request []byte, limit time.Duration, body int) (http1.Response, error) {
	until := a.host.Now().Add(limit)
	if a.to != at || a.conn != nil && !a.conn.IsIdle() {
		a.hangUp()
	}
	for {
		kept := a.conn != nil
		if !kept {
			if err := a.dial(at, until); err != nil {
				return http1.Response{}, err
			}
		}
		answer, err := a.exchange(at, request, http1.Limits{Deadline: until, MaxBody: body})
		if err != nil || !answer.Reusable {
			a.hangUp()
		}
		if err != nil && kept && !errors.Is(err, http1.ErrTimeout) && !errors.Is(err, http1.ErrInvalidResponse) {
			continue
		}
		return answer, err
	}
}

func (a *agent) dial(at *place, until time.Time) error {
	limit := until.Sub(a.host.Now())
	if limit <= 0 { // 0 would be no limit
		return os.ErrDeadlineExceeded
	}
	nc, err := a.host.Dial(at.addr, limit, &at.left)
	if err != nil {
		return err
	}
	a.conn, a.to = http1.NewConn(a.host, nc), at
	return nil
}

func (a *agent) exchange(at *place, request []byte, limits http1.Limits) (http1.Response, error) {
	conn := a.conn
	at.left.On(func() { conn.Close() })
	defer at.left.On(nil)
	if err := conn.Write(request, limits.Deadline); err != nil {
		return http1.Response{}, fmt.Errorf("request: %w", err)
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

// pacer bounds how often something is done: many times at once, but no more than so many a second for long.
type pacer struct{ at time.Time }

const (
	paceGap  = 50 * time.Millisecond // what is done often comes at this pace ...
	paceFree = 20                    // ... but for so many times at once
)

// next is when it may be done once more.
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

package httpfront

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"curlewmux/internal/host"
)

const (
	drainQuiet     = 10 * time.Millisecond  // a listener that is to close has no more connections when none came for so long
	drainMost      = 300 * time.Millisecond // ... and is closed after this in any case
	roomWait       = 150 * time.Millisecond // a newcomer waits so long for the room of a slow request ...
	roomPause      = 2 * time.Millisecond   // ... and looks for it at this pace
	reserveDivisor = 8                      // this part (1/n) of the connections is kept for those that come
	drainMisses    = 2                      // looks in vain, but the last
)

// connectionTable knows the connections of clients, keeps their number down by closing those that are of least use, and lets
// them all go in the end. Nothing waits under its lock.
type connectionTable struct {
	host     host.Host
	most     int
	refusals pacer      // of refusals that nothing will change
	busy     pacer      // of those for want of room
	halt     host.Inbox // closed by stop, for who waits before the next accept
	log      *slog.Logger

	counters counters

	mu       sync.Mutex
	open     map[*client]bool
	came     uint64 // connections so far
	running  int    // goroutines, that of Serve included
	empty    []host.Inbox
	listener net.Listener
	stopping bool
	until    time.Time // when the listener closes in any case, once stopping
	closed   bool      // nobody comes in any more
}

func newConnectionTable(h host.Host, most int) *connectionTable {
	return &connectionTable{
		host: h, most: most, halt: h.NewInbox(), log: slog.New(slog.DiscardHandler), open: map[*client]bool{},
		refusals: pacer{interval: refusalInterval, burst: refusalBurst, maxWait: refusalMaxWait},
		busy:     pacer{interval: busyInterval, burst: busyBurst, maxWait: busyMaxWait},
	}
}

// opens takes note of the listener and tells whether there is one to be: not once all was stopped.
func (t *connectionTable) opens(l net.Listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	t.listener = l
	t.running++
	return true
}

// deadliner is a listener that can stop accepting and stay open. The one of a simulated machine can't.
type deadliner interface{ SetDeadline(time.Time) error }

// errStopped says that nobody is to be accepted any more.
var errStopped = errors.New("the front has stopped")

// accept waits for a connection. Once all stops, those that are up are still taken, where the listener allows it (to
// close it would reset them), and then comes errStopped.
func (t *connectionTable) accept(l net.Listener) (net.Conn, error) {
	for misses := 0; ; {
		t.mu.Lock()
		stopping := t.stopping
		if dl, ok := l.(deadliner); ok && stopping {
			at := t.host.Now().Add(drainQuiet)
			if at.After(t.until) {
				at = t.until
			}
			dl.SetDeadline(at) // if it fails, so does Accept
		}
		t.mu.Unlock()
		nc, err := l.Accept()
		switch {
		case err == nil:
			return nc, nil
		case stopping:
			// A process that got no time between setting the deadline and Accept has not looked: it looks again.
			if misses++; misses > drainMisses || errors.Is(err, net.ErrClosed) {
				return nil, errStopped
			}
		case !t.stops():
			return nil, err
		}
	}
}

func (t *connectionTable) stops() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// enter lets a connection in: it returns the client, whose goroutine must leave. With no room for it another one goes, or,
// within a moment, a slow request, or else the newcomer itself, and enter returns nil.
func (t *connectionTable) enter(nc net.Conn) *client {
	for until := t.host.Now().Add(roomWait); ; {
		c, room := t.admit(nc)
		switch now := t.host.Now(); {
		case c != nil:
			return c
		case !room && now.Before(until) && !t.stops():
			t.halt.Take(nil, now.Add(roomPause))
			continue
		case !room:
			t.counters.rejected.Add(1)
			t.log.Warn("a connection of a client is closed unread", "why", "no other one can make room", "client", nc.RemoteAddr())
		}
		nc.Close()
		return nil
	}
}

// admit is enter without a wait. It returns no client if there is no room, or if nobody is let in any more.
func (t *connectionTable) admit(nc net.Conn) (c *client, room bool) {
	c, evicted, slow, room := t.makeRoom(nc)
	t.logPreempted(slow)
	if evicted != nil {
		t.closeForRoom(evicted)
	}
	return c, room
}

// makeRoom adds a connection to the table. It returns the one that was taken out for that, which has to be closed, and the one
// whose request gives way, nil for none.
func (t *connectionTable) makeRoom(nc net.Conn) (c, evicted, slow *client, room bool) {
	now := t.host.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, nil, nil, true
	}
	if len(t.open) >= t.most-t.most/reserveDivisor {
		slow = t.preemptSlowest(now, slowAfter)
	}
	if len(t.open) >= t.most {
		if evicted = t.leastUseful(now); evicted == nil {
			if slow == nil {
				slow = t.preemptSlowest(now, slowAfterIfFull)
			}
			return nil, nil, slow, false
		}
		t.drop(evicted)
	}
	t.counters.accepted.Add(1)
	t.came++
	c = newClient(t, nc, t.came, now)
	t.open[c] = true
	t.running++
	return c, evicted, slow, true
}

// closeForRoom closes a connection that was taken out.
func (t *connectionTable) closeForRoom(c *client) {
	t.counters.closedForRoom.Add(1)
	t.log.Warn("a connection of a client is closed", "why", "room is needed", "client", c.RemoteAddr())
	c.hangUp()
}

// drop takes a client out and tells whether it was still there; whoever did that hangs up. The lock is held.
func (t *connectionTable) drop(c *client) bool {
	was := !c.gone
	c.gone = true
	delete(t.open, c)
	return was
}

// hangUp closes the connection and ends all waits of its goroutine.
func (c *client) hangUp() {
	c.Conn.Close()
	if c.turn != nil {
		c.turn.Close()
	}
}

func (t *connectionTable) close(c *client) {
	t.mu.Lock()
	was := t.drop(c)
	t.mu.Unlock()
	if was {
		c.hangUp()
	}
}

// leave says that a goroutine has ended.
func (t *connectionTable) leave() {
	t.mu.Lock()
	var told []host.Inbox
	if t.running--; t.running == 0 {
		told, t.empty = t.empty, nil
	}
	t.mu.Unlock()
	for _, b := range told {
		b.Put(nil)
	}
}

// await waits until all goroutines have ended, or until the time given, and tells whether they have.
func (t *connectionTable) await(until time.Time) bool {
	t.mu.Lock()
	if t.running == 0 {
		t.mu.Unlock()
		return true
	}
	told := t.host.NewInbox()
	t.empty = append(t.empty, told)
	t.mu.Unlock()
	return len(told.Take(nil, until)) > 0
}

// stop begins to let all go: the listener, and connections once no request is open on them.
func (t *connectionTable) stop() {
	now := t.host.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return
	}
	t.stopping, t.until = true, now.Add(drainMost)
	t.halt.Close()
	switch l := t.listener.(type) {
	case nil:
	case deadliner:
		l.SetDeadline(now) // Accept comes back and sets its own
	default:
		l.Close()
	}
	for _, c := range t.inOrder() {
		if !c.open {
			c.SetReadDeadline(t.owed(c, now))
		}
	}
}

// clear ends every connection and lets nobody in any more.
func (t *connectionTable) clear() {
	now := t.host.Now()
	t.mu.Lock()
	t.closed, t.until = true, now
	list := t.inOrder()
	for _, c := range list {
		t.drop(c)
	}
	t.mu.Unlock()
	for _, c := range list {
		c.hangUp()
	}
}

// inOrder lists the clients as they came: on a simulated machine the order shows. The lock is held.
func (t *connectionTable) inOrder() []*client {
	list := make([]*client, 0, len(t.open))
	for c := range t.open {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *client) int { return cmp.Compare(a.n, b.n) })
	return list
}

// owed is until when a client without a request is waited for. The lock is held.
func (t *connectionTable) owed(c *client, now time.Time) time.Time {
	switch {
	case t.stopping && c.spoke:
		return now
	case t.stopping: // its first request may be under way
		return c.since.Add(silentAfter)
	case c.spoke:
		return now.Add(clientIdle)
	}
	return c.since.Add(requestTime)
}

// idle says that no request is open, and sets until when one is waited for.
func (t *connectionTable) idle(c *client) {
	now := t.host.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.spoke {
		c.since = now
	}
	c.open, c.refused = false, false
	c.limit = t.owed(c, now)
	c.SetReadDeadline(c.limit) // under the lock, so that it does not undo what stop sets; if it fails, so does the read
	c.armed = c.limit
}

// heard says whether bytes have come on which no request has begun yet, and tells whether the connection is still there.
func (t *connectionTable) heard(c *client, has bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.heard = has
	return !c.gone
}

// begin says that a request has begun, unless the connection was closed meanwhile: then it returns false.
func (t *connectionTable) begin(c *client) bool {
	now := t.host.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	from := now
	if !c.spoke {
		from = c.since
	}
	c.spoke, c.open, c.begun, c.whole = true, true, now, false
	c.preempted.Store(false)
	c.limit, c.armed = from.Add(requestTime), time.Time{}
	return !c.gone
}

// refused says that the client's request is of no use any more, and returns where its goroutine may wait, nil if the
// connection was closed.
func (t *connectionTable) refused(c *client) host.Inbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.gone {
		return nil
	}
	c.refused = true
	return c.inbox()
}

// turn returns where a client's goroutine may wait, nil if the connection was closed.
func (t *connectionTable) turn(c *client) host.Inbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.gone {
		return nil
	}
	return c.inbox()
}

// inbox is where the client's goroutine waits; the lock is held.
func (c *client) inbox() host.Inbox {
	if c.turn == nil {
		c.turn = c.table.host.NewInbox()
	}
	return c.turn
}

func (t *connectionTable) isGone(c *client) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.gone
}

// last tells that connections should end with their answers: all do at a stop, and what stays idle may not be closed soon
// enough where many clients come and each keeps its connection.
func (t *connectionTable) last() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping || len(t.open) > t.most*3/4
}

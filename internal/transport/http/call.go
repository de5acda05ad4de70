package httptransport

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	responseTimeout = 400 * time.Millisecond // a response that has begun must be complete within this time
	maxBody         = 64 << 10               // largest body that the protocol allows, in bytes
)

// call is one call in progress. Only its own goroutine uses it, except for abort.
type call struct {
	*engine.Call
	t        *Transport
	events   engine.CallEvents
	peer     *peer
	abort    host.Abort
	dialTurn host.Inbox // receives its turn to dial; nil if it never had to wait for one

	pending      []bool           // by item: it has no outcome yet
	pendingCount int              // number of pending items
	outcomes     []engine.Outcome // of the other items, in the order in which they ended
	notified     int              // number of outcomes that were passed to events
	batch        bool             // the request is a batch, perhaps of one item
	status       int              // status of the response; 0: there was none
	err          error            // why there was none; for the log
	deliveredAt  engine.Time      // when a status line with 200 arrived for a request with one item; 0: none has

	singlePending [1]bool           // backs pending for the usual call with one item, without an allocation
	singleOutcome [1]engine.Outcome // backs outcomes likewise
}

func newCall(t *Transport, c *engine.Call, events engine.CallEvents) *call {
	k := &call{Call: c, t: t, events: events, pendingCount: len(c.Items)}
	k.pending, k.outcomes = k.singlePending[:], k.singleOutcome[:0]
	if len(c.Items) != 1 {
		k.pending, k.outcomes = make([]bool, len(c.Items)), make([]engine.Outcome, 0, len(c.Items))
	}
	for i := range k.pending {
		if k.pending[i] = !c.Items[i].Skip; !k.pending[i] {
			k.pendingCount--
		}
	}
	return k
}

// removeFromUnwritten removes a call from its peer's list of unwritten calls. The transport's lock must be held.
func (k *call) removeFromUnwritten() {
	if i := slices.Index(k.peer.unwritten, k); i >= 0 {
		k.peer.unwritten = slices.Delete(k.peer.unwritten, i, i+1)
	}
}

// run makes the call and reports the outcome of each item exactly once.
func (k *call) run() {
	if c, request := k.prepare(); c != nil {
		k.abort.On(c.closeFunc)
		if err := c.Write(request, k.t.clock.Time(k.lastDeadline())); err == nil {
			k.awaitResponse(c)
		} else { // the last byte was not written, so the call never ran
			c.Close()
			k.err = err
			k.endUnwritten()
		}
	}
	k.t.finish(k)
}

// endUnwritten ends a call whose write failed, either because of the endpoint or because the call was aborted.
func (k *call) endUnwritten() {
	if k.abort.Done() {
		k.endAll(control.Moot)
	} else {
		k.endAll(control.ConnectFailed)
	}
}

// prepare finds a connection on which nothing has arrived since its last call, and encodes the request for the items that
// may still be written. If it returns no connection, all items have ended.
func (k *call) prepare() (*conn, []byte) {
	waited := false // for a turn to dial
	for {
		now := k.t.clock.At(k.t.host.Now())
		for i := range k.pending {
			if k.Items[i].Deadline <= now {
				k.addOutcome(i, engine.Outcome{Result: control.Moot})
			}
		}
		if k.pendingCount == 0 || k.abort.Done() {
			k.endAll(control.Moot)
			return nil, nil
		}
		c := k.t.takeIdle(k.peer)
		fresh := c == nil
		if fresh {
			if k.awaitDialTurn() {
				waited = true
				continue
			}
			if c = k.dial(); c == nil {
				return nil, nil
			}
		}
		if fresh || waited {
			mayWrite := k.events.MayWrite(k.ID) // much may have changed during a long wait or dial
			for i := range k.pending {
				if i >= len(mayWrite) || !mayWrite[i] {
					k.addOutcome(i, engine.Outcome{Result: control.Moot})
				}
			}
		}
		request := k.appendRequest(c.requestBuffer[:0], c)
		if cap(request) <= maxKeptBuffer {
			c.requestBuffer = request
		}
		switch {
		case !fresh && !c.IsIdle():
			if c.HasData() {
				k.surplus(c, "while the connection was idle")
			}
			c.Close()
		case k.pendingCount == 0 || !k.t.commitWrite(k):
			k.t.putIdle(c)
			k.endAll(control.Moot)
			return nil, nil
		default:
			k.notify()
			if c.requests++; c.requests > 1 {
				k.t.counters.reused.Add(1)
			}
			k.logStart(c)
			return c, request
		}
	}
}

// dial opens a connection. If that fails, it ends all items and returns nil.
func (k *call) dial() *conn {
	last := k.t.clock.Time(k.lastDeadline())
	limit, remaining := k.t.settings.ConnectTimeout, max(last.Sub(k.t.host.Now()), 1)
	limitedByDeadline := limit <= 0 || remaining < limit
	if limitedByDeadline {
		limit = remaining
	}
	nc, err := k.t.host.Dial(k.Addr, limit, &k.abort)
	if err != nil {
		k.err = err
		k.t.counters.dialsFailed.Add(1)
	}
	var timeout net.Error
	switch {
	case err == nil:
		return k.newConn(nc)
	case k.abort.Done(), limitedByDeadline && errors.As(err, &timeout) && timeout.Timeout(), !k.t.host.Now().Before(last), host.IsShortage(err):
		k.endAll(control.Moot) // this failure says nothing about the endpoint
	default:
		k.endAll(control.ConnectFailed)
	}
	return nil
}

// newConn wraps a connection that was opened.
func (k *call) newConn(nc net.Conn) *conn {
	k.t.counters.dials.Add(1)
	c := newConn(k.t.host, nc, k.peer)
	k.t.mu.Lock()
	k.t.lastConnection++
	c.number = k.t.lastConnection
	k.t.mu.Unlock()
	return c
}

// surplus handles data that an endpoint has sent and that is no response to a request.
func (k *call) surplus(c *conn, when string) {
	k.t.counters.surplus.Add(1)
	k.logSurplus(c, when)
	k.t.distrust(k.peer)
}

// awaitResponse waits for the response to a request that was written.
func (k *call) awaitResponse(c *conn) {
	response, err := c.Read(http1.Limits{
		Deadline: k.t.clock.Time(k.firstDeadline()), ResponseTimeout: responseTimeout, MaxBody: maxBody, DiscardBody: !k.batch, Progress: k,
		RequireClose: c.last, Accept: k.acceptOn(c),
	})
	k.abort.On(nil)
	aborted := k.abort.Done() // if so, the connection is closed or about to be
	k.status, k.err = response.Status, err
	if response.Skipped > 0 {
		k.surplus(c, "ahead of a response")
		if err != nil {
			k.t.avoidReuse(k.peer)
		}
	}
	switch {
	case err == nil:
		if response.ExtraData {
			k.surplus(c, "right behind a response")
		}
		c.hasOtherResponse = c.hasOtherResponse || !k.deliversAll(&response)
		if response.Reusable && !aborted {
			k.t.putIdle(c)
		} else {
			c.Close()
		}
		k.handleResponse(&response)
	case aborted:
		k.t.closeUnresponsive(c)
		k.endAll(control.Cancelled)
	case errors.Is(err, http1.ErrTimeout):
		k.t.closeUnresponsive(c)
		k.endAll(control.TimedOut)
	case errors.Is(err, http1.ErrUnsolicited): // the call may be running, but its response can no longer be recognised
		c.Close()
		k.surplus(c, "sooner than a response can arrive")
		k.endAll(control.Reset)
	case errors.Is(err, http1.ErrInvalidResponse): // the endpoint is reachable, and may still be running the call
		c.Close()
		k.endAll(control.Unreadable)
	default:
		c.Close()
		k.endAll(control.Reset)
	}
}

// StatusLine implements http1.Progress. A status line with 200 means that a single item is delivered.
func (k *call) StatusLine(status int) {
	if status == http.StatusOK && !k.batch {
		k.deliveredAt = k.t.clock.At(k.t.host.Now())
		if len(k.Items) == 1 { // with more items the event would not say which of them was delivered
			k.events.FirstLine(k.ID)
		}
	}
}

// DeadlineReached implements http1.Progress. It is called when the deadline of the first pending item has passed. This
// ends a batch for all of its items: the endpoint handles the batch as a whole, and a response after the deadline of one
// item counts for none of them.
func (k *call) DeadlineReached() time.Time {
	if k.deliveredAt != 0 { // delivered: the deadline no longer applies, only the time limit for the response
		return k.t.host.Now().Add(2 * responseTimeout)
	}
	return time.Time{}
}

// closeUnresponsive closes a connection that gave no response, and the idle connections to the same endpoint. If the
// machine has vanished, those are dead as well, and a request written to one of them would end in doubt when the machine
// is back.
func (t *Transport) closeUnresponsive(c *conn) {
	c.Close()
	t.closeIdle(c.peer)
}

// firstDeadline returns the earliest deadline of the pending items.
func (k *call) firstDeadline() (at engine.Time) {
	for i, l := range k.pending {
		if l && (at == 0 || k.Items[i].Deadline < at) {
			at = k.Items[i].Deadline
		}
	}
	return at
}

// lastDeadline returns the latest deadline of the pending items.
func (k *call) lastDeadline() (at engine.Time) {
	for i, l := range k.pending {
		if l {
			at = max(at, k.Items[i].Deadline)
		}
	}
	return at
}

// addOutcome records the outcome of an item that has none yet. An item that a status line has reported as delivered stays
// delivered, whatever happens to the rest of the response.
func (k *call) addOutcome(i int, outcome engine.Outcome) {
	if !k.pending[i] {
		return
	}
	if k.deliveredAt != 0 {
		outcome.Result, outcome.At = control.OK, k.deliveredAt
	}
	outcome.Item = i
	k.pending[i] = false
	k.pendingCount--
	k.outcomes = append(k.outcomes, outcome)
	k.logOutcome(&outcome)
}

// notify reports the outcomes that were added since the last notification.
func (k *call) notify() {
	if outs := k.outcomes[k.notified:len(k.outcomes):len(k.outcomes)]; len(outs) > 0 {
		k.notified = len(k.outcomes)
		k.events.Ended(k.ID, outs)
	}
}

// endAll ends all pending items with the same result.
func (k *call) endAll(result control.Result) {
	for i := range k.pending {
		k.addOutcome(i, engine.Outcome{Result: result})
	}
	k.notify()
}

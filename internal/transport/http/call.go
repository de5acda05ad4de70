package httptransport

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	answerSpan = 400 * time.Millisecond // an answer that has begun must end within this
	answerBody = 64 << 10               // what the protocol lets a body hold
)

// call is one call out. But for abort, only its goroutine uses it.
type call struct {
	*engine.Call
	t     *Transport
	on    engine.CallEvents
	peer  *peer
	abort host.Abort
	turn  host.Inbox // where it waits for its turn to dial; nil: it never did

	left  []bool           // items without an outcome
	open  int              // their number
	outs  []engine.Outcome // of the others, in the order in which they were told
	told  int              // how many of them were
	batch bool             // written with several items
	line  engine.Time      // when the first line came that says of the only item that it is delivered

	oneLeft [1]bool // room for the usual call
	oneOut  [1]engine.Outcome
}

func newCall(t *Transport, c *engine.Call, on engine.CallEvents) *call {
	k := &call{Call: c, t: t, on: on, open: len(c.Items)}
	k.left, k.outs = k.oneLeft[:], k.oneOut[:0]
	if len(c.Items) != 1 {
		k.left, k.outs = make([]bool, len(c.Items)), make([]engine.Outcome, 0, len(c.Items))
	}
	for i := range k.left {
		if k.left[i] = !c.Items[i].Skip; !k.left[i] {
			k.open--
		}
	}
	return k
}

// committed takes a call off the list of those of which nothing is written; the transport's lock is held.
func (k *call) committed() {
	if i := slices.Index(k.peer.unwritten, k); i >= 0 {
		k.peer.unwritten = slices.Delete(k.peer.unwritten, i, i+1)
	}
}

// run makes the call and tells the outcome of each item exactly once.
func (k *call) run() {
	if c, request := k.board(); c != nil {
		k.abort.On(c.stop)
		if err := c.Write(request, k.t.clock.Time(k.last())); err == nil {
			k.await(c)
		} else { // the call's last byte was not written: it never ran
			c.Close()
			k.unwritten()
		}
	}
	k.t.finish(k)
}

// unwritten ends a call whose write failed: at the endpoint, or because we broke it off.
func (k *call) unwritten() {
	if k.abort.Completed() {
		k.end(control.Moot)
	} else {
		k.end(control.ConnectFailed)
	}
}

// board finds a connection on which nothing has come since its last call, and makes the request for the items that may
// still be written. Without a connection all items have ended.
func (k *call) board() (*conn, []byte) {
	waited := false // for a turn to dial
	for {
		now := k.t.clock.At(k.t.host.Now())
		for i := range k.left {
			if k.Items[i].Deadline <= now {
				k.add(i, engine.Outcome{Result: control.Moot})
			}
		}
		if k.open == 0 || k.abort.Completed() {
			k.end(control.Moot)
			return nil, nil
		}
		c := k.t.pop(k.peer)
		fresh := c == nil
		if fresh {
			if k.awaitTurn() {
				waited = true
				continue
			}
			if c = k.dial(); c == nil {
				return nil, nil
			}
		}
		if fresh || waited {
			may := k.on.MayWrite(k.ID) // it may have taken long: much can have changed
			for i := range k.left {
				if i >= len(may) || !may[i] {
					k.add(i, engine.Outcome{Result: control.Moot})
				}
			}
		}
		request := k.request(c.buf[:0])
		if cap(request) <= bufferMost {
			c.buf = request
		}
		switch {
		case !fresh && !c.IsIdle():
			if c.HasData() {
				k.t.distrust(k.peer)
			}
			c.Close()
		case k.open == 0 || !k.t.mayCommit(k):
			k.t.put(c)
			k.end(control.Moot)
			return nil, nil
		default:
			k.tell()
			return c, request
		}
	}
}

// dial makes a connection, or ends all items.
func (k *call) dial() *conn {
	last := k.t.clock.Time(k.last())
	limit, rest := k.t.set.ConnectTimeout, max(last.Sub(k.t.host.Now()), 1)
	due := limit <= 0 || rest < limit
	if due {
		limit = rest
	}
	nc, err := k.t.host.Dial(k.Addr, limit, &k.abort)
	var timeout net.Error
	switch {
	case err == nil:
		return newConn(k.t.host, nc, k.peer)
	case k.abort.Completed(), due && errors.As(err, &timeout) && timeout.Timeout(), !k.t.host.Now().Before(last), ours(err):
		k.end(control.Moot) // it says nothing about the endpoint
	default:
		k.end(control.ConnectFailed)
	}
	return nil
}

// ours tells that a dial failed for want of something on this side.
func ours(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// await waits for the answer to a call that has been written.
func (k *call) await(c *conn) {
	a, err := c.Read(http1.Limits{
		Deadline: k.t.clock.Time(k.due()), ResponseTimeout: answerSpan, MaxBody: answerBody, DiscardBody: !k.batch, Progress: k,
	})
	k.abort.On(nil)
	called := k.abort.Completed() // then its connection is closed, or is about to be
	switch {
	case err == nil:
		if a.ExtraData {
			k.t.distrust(k.peer)
		}
		if a.Reusable && !called {
			k.t.put(c)
		} else {
			c.Close()
		}
		k.answered(&a)
	case called:
		k.t.silent(c)
		k.end(control.Cancelled)
	case errors.Is(err, http1.ErrTimeout):
		k.t.silent(c)
		k.end(control.TimedOut)
	case errors.Is(err, http1.ErrUnsolicited): // the call is under way, and nobody will hear of its end
		c.Close()
		k.t.distrust(k.peer)
		k.end(control.Reset)
	case errors.Is(err, http1.ErrInvalidResponse): // the endpoint is there and has run the call, or may have
		c.Close()
		k.end(control.Errored)
	default:
		c.Close()
		k.end(control.Reset)
	}
}

// FirstLine hears that an answer has begun (http1.Progress).
func (k *call) StatusLine(status int) {
	if status == http.StatusOK && !k.batch {
		k.line = k.t.clock.At(k.t.host.Now())
		if len(k.Items) == 1 { // else it would not say which of them
			k.on.FirstLine(k.ID)
		}
	}
}

// Late hears that the time of the next item is up (http1.Progress). A call with several items ends then for all of them:
// it has one fate at its endpoint, and an answer that comes after the time of one item counts for none.
func (k *call) DeadlineReached() time.Time {
	if k.line != 0 { // delivered: its time no longer counts, and the answer ends by its span
		return k.t.host.Now().Add(2 * answerSpan)
	}
	return time.Time{}
}

// silent closes a connection that gave no answer, and the idle ones beside it: if the machine has vanished they are
// as dead, and a request written to one of them would end in doubt when it is back.
func (t *Transport) silent(c *conn) {
	c.Close()
	t.closeIdle(c.peer)
}

// due is when the next item is given up, last when the last is.
func (k *call) due() (at engine.Time) {
	for i, l := range k.left {
		if l && (at == 0 || k.Items[i].Deadline < at) {
			at = k.Items[i].Deadline
		}
	}
	return at
}

func (k *call) last() (at engine.Time) {
	for i, l := range k.left {
		if l {
			at = max(at, k.Items[i].Deadline)
		}
	}
	return at
}

// add notes an item's outcome, if it has none yet. What a first line said of an only item stays true, whatever came
// of the rest.
func (k *call) add(i int, o engine.Outcome) {
	if !k.left[i] {
		return
	}
	if k.line != 0 {
		o.Result, o.At = control.OK, k.line
	}
	o.Item = i
	k.left[i] = false
	k.open--
	k.outs = append(k.outs, o)
}

// tell tells the outcomes that were noted since it last did.
func (k *call) tell() {
	if outs := k.outs[k.told:len(k.outs):len(k.outs)]; len(outs) > 0 {
		k.told = len(k.outs)
		k.on.Ended(k.ID, outs)
	}
}

// end gives all items left the same result.
func (k *call) end(r control.Result) {
	for i := range k.left {
		k.add(i, engine.Outcome{Result: r})
	}
	k.tell()
}

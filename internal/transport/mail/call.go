package mailtransport

import (
	"errors"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

// call is one call out. But for abort, only its goroutine uses it.
type call struct {
	*engine.Call
	t     *Transport
	on    engine.CallEvents
	peer  *peer
	abort host.Abort

	mails []mail.Envelope
	kinds []mail.Content   // what their contents need
	left  []bool           // items without an outcome
	open  int              // their number
	outs  []engine.Outcome // of the others, in the order in which they were told
	told  int              // how many of them were

	anew bool // idle connections are not to be trusted: one of them had ended
}

func newCall(t *Transport, c *engine.Call, on engine.CallEvents) *call {
	n := len(c.Items)
	k := &call{
		Call: c, t: t, on: on, open: n, mails: make([]mail.Envelope, n), kinds: make([]mail.Content, n),
		left: make([]bool, n), outs: make([]engine.Outcome, 0, n),
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
	k.read()
	for k.open > 0 {
		c := k.board()
		if c == nil {
			break
		}
		for k.deliver(c) && k.open > 0 {
		}
		k.abort.On(nil)
	}
	k.t.finish(k)
}

// read reads the mails. What holds none, or one that may not be sent as it is, will never do better.
func (k *call) read() {
	for i, l := range k.left {
		if !l {
			continue
		}
		var err error
		if k.mails[i], err = mail.ParseEnvelope(k.Items[i].Body); err == nil {
			k.kinds[i].Write(k.mails[i].Content)
			err = k.kinds[i].Err()
		}
		if err != nil {
			k.never(i, err.Error())
		}
	}
	k.tell()
}

// sweep ends the items whose time is up, of which nothing is under way, and tells whether any is left.
func (k *call) sweep() bool {
	now := k.t.clock.At(k.t.host.Now())
	for i, l := range k.left {
		if l && k.Items[i].Deadline <= now {
			k.add(i, engine.Outcome{Result: control.Moot})
		}
	}
	if k.abort.Done() {
		k.end(engine.Outcome{Result: control.Moot})
	}
	k.tell()
	return k.open > 0
}

// board finds a connection on which a transaction may begin. Without one all items have ended.
func (k *call) board() *conn {
	for k.sweep() {
		if c := k.t.pop(k.peer); c != nil {
			if c.kind == k.Kind && !k.anew && c.clean() {
				k.abort.On(c.stop)
				return c
			}
			c.quit()
			continue
		}
		c := k.connect()
		if c == nil || !k.permitted() { // connecting may have taken long: much can have changed
			if c != nil {
				k.abort.On(nil)
				k.t.put(c)
			}
			continue
		}
		return c
	}
	return nil
}

// permitted asks which items may still be written, and tells whether any may.
func (k *call) permitted() bool {
	may := k.on.MayWrite(k.ID)
	for i := range k.left {
		if i >= len(may) || !may[i] {
			k.add(i, engine.Outcome{Result: control.Moot})
		}
	}
	k.tell()
	return k.open > 0
}

// due is when the next of the items given is given up, last when the last of all is.
func (k *call) due(items []int) (at engine.Time) {
	for _, i := range items {
		if k.left[i] && (at == 0 || k.Items[i].Deadline < at) {
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

// ---- outcomes ----

// add notes an item's outcome, if it has none yet.
func (k *call) add(i int, o engine.Outcome) {
	if !k.left[i] {
		return
	}
	o.Item = i
	k.left[i] = false
	k.open--
	k.outs = append(k.outs, o)
}

// never notes that an item can't be delivered, now or later.
func (k *call) never(i int, why string) {
	k.add(i, engine.Outcome{Result: control.Moot, Permanent: true, Reason: why})
}

// no notes what a reply says by which a server refuses an item: it has not run.
func (k *call) no(i int, stage string, r *mail.Reply) {
	if r.Kind() == 5 {
		k.never(i, stage+": "+r.String())
		return
	}
	p := k.t.set.Partners[k.Kind]
	k.add(i, engine.Outcome{Result: control.Refused, RetryAfter: p.wait(r.Code)})
}

// tell tells the outcomes that were noted since it last did. What was delivered comes first: the first outcome of a call
// is what the module learns of the endpoint, and one recipient that was refused says less than one that was served.
func (k *call) tell() {
	if outs := k.outs[k.told:len(k.outs):len(k.outs)]; len(outs) > 0 {
		slices.SortStableFunc(outs, func(a, b engine.Outcome) int { return served(b) - served(a) })
		k.told = len(k.outs)
		k.on.Ended(k.ID, outs)
	}
}

func served(o engine.Outcome) int {
	if o.Result == control.OK {
		return 1
	}
	return 0
}

// end gives all items left the same outcome.
func (k *call) end(o engine.Outcome) {
	for i := range k.left {
		k.add(i, o)
	}
	k.tell()
}

// lost ends the items of a transaction whose connection is of no more use, by how far it had come; those of other
// transactions are left. committed says that the last byte of the mail may have been written.
func (k *call) lost(items []int, committed bool, err error) {
	var r control.Result
	switch {
	case !committed && k.abort.Done():
		r = control.Moot
	case !committed:
		r = control.ConnectFailed
	case k.abort.Done():
		r = control.Cancelled
	case errors.Is(err, errSlow):
		r = control.TimedOut
	case errors.Is(err, mail.ErrReply):
		r = control.Unreadable
	default:
		r = control.Reset
	}
	for _, i := range items {
		k.add(i, engine.Outcome{Result: r})
	}
	k.tell()
}

// lateFor ends, as they come due, items of a transaction that goes on for others of it.
func (k *call) lateFor(items []int, limit time.Time) func() time.Time {
	return func() time.Time {
		now := max(k.t.clock.At(k.t.host.Now()), k.due(items))
		waiting := 0
		for _, i := range items {
			if k.left[i] && k.Items[i].Deadline > now {
				waiting++
			}
		}
		if waiting == 0 || !k.t.host.Now().Before(limit) {
			return time.Time{}
		}
		for _, i := range items {
			if k.left[i] && k.Items[i].Deadline <= now { // its mail may yet be delivered with the others'
				k.add(i, engine.Outcome{Result: control.TimedOut, CallOpen: true})
			}
		}
		k.tell()
		return k.until(items, limit)
	}
}

// until is a time limit, bounded by the time of the next item to come due.
func (k *call) until(items []int, limit time.Time) time.Time {
	if at := k.t.clock.Time(k.due(items)); at.Before(limit) {
		return at
	}
	return limit
}

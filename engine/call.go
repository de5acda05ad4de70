package engine

import (
	"slices"

	"curlewmux/control"
)

// call is one out, or about to be.
type call struct {
	id     CallID
	ep     *endpoint
	addr   string // of the endpoint when the call was made
	items  []*item
	size   int // bytes of the call, about, as it is sent
	left   int // items without an outcome
	late   int // items that timed out while the call goes on
	sent   Time
	batch  Batch
	stored bool // its attempts are in the store, or there is none

	only item // the room of its first item, and of the list of items: most calls have one
	one  [1]*item
}

// item is one attempt.
type item struct {
	call      *call
	place     int
	message   *message
	attempt   int
	due       Time
	cancelled bool
	done      bool
	late      *Outcome // timed out, and its call is still open: no second copy may go out before that is over
}

// calls are those out, by id.
type calls struct {
	byCall   map[CallID]*call
	lastCall CallID
	newest   *call // of the Send before, in this Step
}

func newCalls() calls { return calls{byCall: map[CallID]*call{}} }

const (
	itemBytes = 48 // what an item takes beside its id, key and body in a call with several
)

// bytesOf is what a message takes in a call with several, where bodies travel as Base64.
func bytesOf(m *message) int {
	return (len(m.Body)+2)/3*4 + len(m.ID) + len(m.Key) + itemBytes
}

// send adds an attempt to the calls of this Step: those to one endpoint share one, up to the limit of its kind and to
// what a body may hold. One that the module has in a call with the Send before it goes there or back, so that no more
// calls are out than the module reckons with.
func (e *Engine) send(list []*call, a control.Action) []*call {
	m, ep := e.byNum[a.Message], e.byNumber[a.Endpoint]
	if m == nil || ep == nil || m.phase != held || m.out != nil {
		// The module and the table here have come apart. Without an outcome its slot would be lost.
		e.note(noteUnknown, "the module sends message %d to endpoint %d, which can't be", a.Message, a.Endpoint)
		tries := 0
		if m != nil {
			tries = m.tries
		}
		e.unsentAt(a, tries)
		return list
	}
	most := 1
	if ep.kind >= 0 && ep.kind < len(e.set.Control.Kinds) {
		most = e.set.Control.Kinds[ep.kind].Batch
	}
	size, room := bytesOf(m), e.set.CallBytes
	if ep.kind >= 0 && ep.kind < len(e.set.KindBytes) && e.set.KindBytes[ep.kind] > 0 {
		room = e.set.KindBytes[ep.kind]
	}
	fits := func(c *call) bool {
		return c.ep == ep && len(c.items) < most && c.size+size <= room
	}
	var c *call
	switch {
	case !a.SameCall:
		if at := slices.IndexFunc(ep.begun, fits); at >= 0 {
			c = ep.begun[at]
		} else {
			c = &call{ep: ep, addr: ep.addr, sent: e.now.At}
			c.items = c.one[:0]
			list = append(list, c)
			ep.begun = append(ep.begun, c)
		}
	case e.newest != nil && fits(e.newest):
		c = e.newest
	default:
		e.unsentAt(a, m.tries)
		return list
	}
	e.newest = c
	it := &c.only
	if len(c.items) > 0 {
		it = &item{}
	}
	*it = item{call: c, place: len(c.items), message: m, attempt: m.tries, due: m.deadline}
	if a.After > 0 {
		it.due = min(it.due, e.now.At+a.After)
	}
	c.items = append(c.items, it)
	c.size += size
	m.out = it
	m.tries++
	return list
}

// unsentAt gives an attempt back that can't be made.
func (e *Engine) unsentAt(a control.Action, attempt int) {
	e.tell(control.Event{
		Kind: control.Outcome, Message: a.Message, Attempt: attempt, Endpoint: a.Endpoint, Result: control.Unsent,
	})
}

// launch records the attempts of a Step and makes its calls once they are in the store.
func (e *Engine) launch(list []*call) {
	e.newest = nil
	if len(list) == 0 {
		return
	}
	var b Batch
	if e.set.HasStore {
		r := &RecAttempts{At: e.stamp(e.now.At)}
		for _, c := range list {
			for _, it := range c.items {
				r.List = append(r.List, RecAttempt{ID: it.message.ID, Zone: it.call.ep.zone})
			}
		}
		b = e.record(r, nil)
	}
	if b != 0 {
		e.sending = list
		for _, c := range list {
			for _, it := range c.items {
				it.message.last = b
			}
		}
	}
	for _, c := range list {
		clear(c.ep.begun)
		c.ep.begun = c.ep.begun[:0]
		e.lastCall++
		c.id, c.batch, c.stored, c.left = e.lastCall, b, b == 0, len(c.items)
		e.byCall[c.id] = c
		c.ep.calls++
		f := &Call{ID: c.id, Endpoint: c.ep.num, EndpointID: c.ep.id, Addr: c.addr, Kind: c.ep.kind, needs: b}
		if f.Items = f.one[:]; len(c.items) > 1 {
			f.Items = make([]Item, len(c.items))
		}
		for i, it := range c.items {
			e.bookSent(it)
			f.Items[i] = Item{ID: it.message.ID, Key: it.message.Key, Body: it.message.Body, Deadline: it.due}
		}
		e.effect(f)
	}
}

// mayWrite tells which items of a call may still be written.
func (e *Engine) mayWrite(id CallID) {
	p := &Permit{Call: id}
	if c := e.byCall[id]; c != nil {
		p.Items = make([]bool, len(c.items))
		for i, it := range c.items {
			p.Items[i] = !e.stopped && !it.done && it.late == nil && !it.cancelled && it.message.phase == held &&
				c.ep.addr == c.addr && c.ep.phase == Active && e.now.At >= c.ep.held && e.now.At < it.due &&
				e.mod.MayWrite(e.now.At, it.message.num, it.attempt)
		}
	}
	e.effect(p)
}

// firstLine ends the only message of a call, which is delivered; its outcome comes when the answer is whole.
func (e *Engine) firstLine(id CallID) {
	if c := e.byCall[id]; c != nil && len(c.items) == 1 && !c.items[0].done {
		e.end(c.items[0].message, Delivered, 0)
	}
}

// outcomes takes up how items of a call ended.
func (e *Engine) outcomes(ev *Ended) {
	c := e.byCall[ev.Call]
	if c == nil {
		return // dropped: its attempts are over
	}
	for i := range ev.Outcomes {
		o := &ev.Outcomes[i]
		if o.Item < 0 || o.Item >= len(c.items) {
			continue
		}
		it := c.items[o.Item]
		switch {
		case it.done || it.late != nil:
		case o.CallOpen && c.left-c.late > 1:
			late := *o
			late.CallOpen = false
			it.late = &late
			c.late++
		default:
			e.outcome(it, o)
		}
	}
	if c.left > 0 && c.left == c.late { // the call is over: now its late ones may go again
		for _, it := range c.items {
			if it.late != nil && !it.done {
				e.outcome(it, it.late)
			}
		}
	}
	e.over(c)
}

// outcome is how an attempt ended, told to the module and, if it shows that the attempt never ran, to the store.
func (e *Engine) outcome(it *item, o *Outcome) {
	m, c := it.message, it.call
	it.done = true
	e.bookOutcome(it, o.Result)
	c.left--
	m.tale.add(e, it, o)
	first := !m.maybe.set
	closed := m.phase != held
	m.out = nil
	switch {
	case o.Result == control.Unsent:
		m.tries--
	case !control.NeverRan(o.Result) && o.Result != control.OK && first:
		m.maybe = instant{at: c.sent, zone: c.ep.zone, set: true}
	case control.NeverRan(o.Result) && first && m.phase == held:
		e.record(&RecNeverRan{ID: m.ID}, m)
	}
	if o.Result == control.OK || o.Closed {
		how := Delivered
		if o.Closed {
			how = Closed
		}
		e.bookDoubt(m, first)
		e.end(m, how, 0)
		closed = true
	} else if e.bookDoubt(m, first); o.Permanent && m.phase == held {
		m.why = o.Reason
		e.end(m, Failed, 0)
		closed = true
	}
	at := o.At
	if at == 0 {
		at = e.now.At
	}
	if o.RetryAfter > 0 {
		e.waitsAt(c.ep, c.addr, Time(o.RetryAfter.Microseconds()))
	}
	e.tell(control.Event{
		Kind: control.Outcome, Message: m.num, Attempt: it.attempt, Endpoint: c.ep.num, Result: o.Result, Closed: closed,
		Latency: max(at-c.sent, 0), RetryAfter: Time(o.RetryAfter.Microseconds()), Report: o.LoadReport,
	})
}

// over forgets a call without items left.
func (e *Engine) over(c *call) {
	if c.left > 0 || e.byCall[c.id] == nil {
		return
	}
	delete(e.byCall, c.id)
	c.ep.calls--
}

// unsent takes a call back whose attempts are not in the store: none was made.
func (e *Engine) unsent(c *call) {
	if e.byCall[c.id] == nil {
		return
	}
	for _, it := range c.items {
		if !it.done {
			it.message.out = nil
			e.outcome(it, &Outcome{Item: it.place, Result: control.Unsent})
		}
		e.soil(it.message)
	}
	e.over(c)
}

// cancel calls an attempt off.
func (e *Engine) cancel(num control.MessageID, attempt int) {
	if m := e.byNum[num]; m != nil && m.out != nil && m.out.attempt == attempt {
		e.unwanted(m.out)
	}
}

// unwanted stops waiting for an attempt. One that shares its call with others that go on keeps it: at the endpoint it is
// still out, and its outcome, when the call ends, is the true one.
func (e *Engine) unwanted(it *item) {
	c := it.call
	it.cancelled = true
	for _, o := range c.items {
		if !o.done && !o.cancelled {
			return
		}
	}
	if c.stored { // else it has not been started, and MayWrite keeps it from that
		e.effect(&Abort{Call: c.id})
	}
}

package engine

import (
	"slices"

	"curlewmux/control"
)

// call is a call that is out or about to start.
type call struct {
	id        CallID
	endpoint  *endpoint
	addr      string // the endpoint's address when the call was made
	items     []*item
	size      int // approximate encoded size in bytes
	remaining int // items without an outcome
	timedOut  int // items that timed out while the call goes on
	sentAt    Time
	batch     Batch
	stored    bool // its attempts are in the store, or there is no store

	firstItem   item // these back the first item and the list: most calls have one item
	itemsBuffer [1]*item
}

// item is the attempt at one message of a call.
type item struct {
	call      *call
	index     int
	message   *message
	attempt   int
	deadline  Time
	cancelled bool
	done      bool
	ended     *openAttempt // told when the attempt ends, if its message has ended before; nil otherwise
	timeout   *Outcome     // its outcome if it timed out and the call goes on; a second copy may go out only when the call has ended
}

// openAttempt is the last attempt of a message that has ended while the attempt was still out. It holds nothing of the
// message or the call.
type openAttempt struct{ done bool }

// leaveOpen returns the state of an attempt whose message ends now, nil if there is none out.
func (it *item) leaveOpen() *openAttempt {
	if it == nil || it.done {
		return nil
	}
	if it.ended == nil {
		it.ended = &openAttempt{}
	}
	return it.ended
}

// calls holds the calls that are out.
type calls struct {
	callByID map[CallID]*call
	lastCall CallID
	lastSend *call // the call of the previous Send action in this Step
}

func newCalls() calls { return calls{callByID: map[CallID]*call{}} }

const (
	itemOverheadBytes = 48 // overhead of an item beside its id, key and body in a call with several
)

// encodedSize returns the encoded size of a message in a call with several, where bodies are Base64.
func encodedSize(m *message) int {
	return (len(m.Body)+2)/3*4 + len(m.ID) + len(m.Key) + itemOverheadBytes
}

// addAttempt adds an attempt to the calls of this Step. Attempts at one endpoint share a call, up to the limits of
// its kind on items and bytes. An attempt that the module joins to the previous Send's call goes into that call or is
// returned unsent, so that no more calls are out than the module counts.
func (e *Engine) addAttempt(list []*call, a control.Action) []*call {
	m, ep := e.messageByNumber[a.Message], e.endpointByNumber[a.Endpoint]
	if m == nil || ep == nil || m.phase != dispatching || m.inFlight != nil {
		// The module's state differs from the engine's. Without an outcome the slot would be lost.
		e.note(noteUnknown, "the module sends message %d to endpoint %d, which can't be", a.Message, a.Endpoint)
		tries := 0
		if m != nil {
			tries = m.tries
		}
		e.reportUnsent(a, tries)
		return list
	}
	maxItems := 1
	if ep.kind >= 0 && ep.kind < len(e.settings.Control.Kinds) {
		maxItems = e.settings.Control.Kinds[ep.kind].Batch
	}
	size, maxBytes := encodedSize(m), e.settings.CallBytes
	if ep.kind >= 0 && ep.kind < len(e.settings.KindBytes) && e.settings.KindBytes[ep.kind] > 0 {
		maxBytes = e.settings.KindBytes[ep.kind]
	}
	fits := func(c *call) bool {
		return c.endpoint == ep && len(c.items) < maxItems && c.size+size <= maxBytes
	}
	var c *call
	switch {
	case !a.SameCall:
		if at := slices.IndexFunc(ep.stepCalls, fits); at >= 0 {
			c = ep.stepCalls[at]
		} else {
			c = &call{endpoint: ep, addr: ep.addr, sentAt: e.now.At}
			c.items = c.itemsBuffer[:0]
			list = append(list, c)
			ep.stepCalls = append(ep.stepCalls, c)
		}
	case e.lastSend != nil && fits(e.lastSend):
		c = e.lastSend
	default:
		e.reportUnsent(a, m.tries)
		return list
	}
	e.lastSend = c
	it := &c.firstItem
	if len(c.items) > 0 {
		it = &item{}
	}
	*it = item{call: c, index: len(c.items), message: m, attempt: m.tries, deadline: m.deadline}
	if a.After > 0 {
		it.deadline = min(it.deadline, e.now.At+a.After)
	}
	c.items = append(c.items, it)
	c.size += size
	m.inFlight = it
	m.tries++
	return list
}

// reportUnsent reports an attempt to the module as unsent because it can't be made.
func (e *Engine) reportUnsent(a control.Action, attempt int) {
	e.queueEvent(control.Event{
		Kind: control.Outcome, Message: a.Message, Attempt: attempt, Endpoint: a.Endpoint, Result: control.Unsent,
	})
}

// launch records the attempts of a Step and emits its calls, which wait until the records are in the store.
func (e *Engine) launch(list []*call) {
	e.lastSend = nil
	if len(list) == 0 {
		return
	}
	var b Batch
	if e.settings.HasStore {
		r := &RecAttempts{At: e.timestamp(e.now.At)}
		for _, c := range list {
			for _, it := range c.items {
				r.List = append(r.List, RecAttempt{ID: it.message.ID, Zone: it.call.endpoint.zone})
			}
		}
		b = e.record(r, nil)
	}
	if b != 0 {
		e.recordedCalls = list
		for _, c := range list {
			for _, it := range c.items {
				it.message.lastBatch = b
			}
		}
	}
	for _, c := range list {
		clear(c.endpoint.stepCalls)
		c.endpoint.stepCalls = c.endpoint.stepCalls[:0]
		e.lastCall++
		c.id, c.batch, c.stored, c.remaining = e.lastCall, b, b == 0, len(c.items)
		e.callByID[c.id] = c
		c.endpoint.calls++
		f := &Call{ID: c.id, Endpoint: c.endpoint.number, EndpointID: c.endpoint.id, Addr: c.addr, Kind: c.endpoint.kind, requiredBatch: b}
		if f.Items = f.itemsBuffer[:]; len(c.items) > 1 {
			f.Items = make([]Item, len(c.items))
		}
		for i, it := range c.items {
			e.postSent(it)
			f.Items[i] = Item{ID: it.message.ID, Key: it.message.Key, Body: it.message.Body, Deadline: it.deadline}
		}
		e.effect(f)
	}
}

// mayWrite answers which items of a call may still be written.
func (e *Engine) mayWrite(id CallID) {
	p := &Permit{Call: id}
	if c := e.callByID[id]; c != nil {
		p.Items = make([]bool, len(c.items))
		for i, it := range c.items {
			p.Items[i] = !e.stopped && !it.done && it.timeout == nil && !it.cancelled && it.message.phase == dispatching &&
				c.endpoint.addr == c.addr && c.endpoint.phase == Active && e.now.At >= c.endpoint.waitUntil && e.now.At < it.deadline &&
				e.module.MayWrite(e.now.At, it.message.number, it.attempt)
		}
	}
	e.effect(p)
}

// firstLine ends the only message of a call as delivered. The attempt's outcome comes with the complete response.
func (e *Engine) firstLine(id CallID) {
	if c := e.callByID[id]; c != nil && len(c.items) == 1 && !c.items[0].done {
		e.end(c.items[0].message, Delivered, 0)
	}
}

// outcomes handles the outcomes of items of a call.
func (e *Engine) outcomes(ev *Ended) {
	c := e.callByID[ev.Call]
	if c == nil {
		return // rolled back: its attempts have ended
	}
	for i := range ev.Outcomes {
		o := &ev.Outcomes[i]
		if o.Item < 0 || o.Item >= len(c.items) {
			continue
		}
		it := c.items[o.Item]
		switch {
		case it.done || it.timeout != nil:
		case o.CallOpen && c.remaining-c.timedOut > 1:
			late := *o
			late.CallOpen = false
			it.timeout = &late
			c.timedOut++
		default:
			e.endAttempt(it, o)
		}
	}
	if c.remaining > 0 && c.remaining == c.timedOut { // the call has ended: now its timed-out items may be retried
		for _, it := range c.items {
			if it.timeout != nil && !it.done {
				e.endAttempt(it, it.timeout)
			}
		}
	}
	e.removeCall(c)
}

// endAttempt ends an attempt. It informs the module and, if the attempt never ran, the store.
func (e *Engine) endAttempt(it *item, o *Outcome) {
	m, c := it.message, it.call
	it.done = true
	if it.ended != nil {
		it.ended.done = true
	}
	e.postOutcome(it, o.Result)
	c.remaining--
	m.history.add(e, it, o)
	first := !m.firstDoubt.set
	closed := m.phase != dispatching
	m.inFlight = nil
	switch {
	case o.Result == control.Unsent:
		m.tries--
	case !control.NeverRan(o.Result) && o.Result != control.OK && first:
		m.firstDoubt = attemptStart{at: c.sentAt, zone: c.endpoint.zone, set: true}
	case control.NeverRan(o.Result) && first && m.phase == dispatching:
		e.record(&RecNeverRan{ID: m.ID}, m)
	}
	if o.Result == control.OK || o.Closed {
		how := Delivered
		if o.Closed {
			how = Closed
		}
		e.postDoubt(m, first)
		e.end(m, how, 0)
		closed = true
	} else if e.postDoubt(m, first); o.Permanent && m.phase == dispatching {
		m.reason = o.Reason
		e.end(m, Failed, 0)
		closed = true
	}
	at := o.At
	if at == 0 {
		at = e.now.At
	}
	if o.RetryAfter > 0 {
		e.applyWait(c.endpoint, c.addr, Time(o.RetryAfter.Microseconds()))
	}
	e.queueEvent(control.Event{
		Kind: control.Outcome, Message: m.number, Attempt: it.attempt, Endpoint: c.endpoint.number, Result: o.Result, Closed: closed,
		Latency: max(at-c.sentAt, 0), RetryAfter: Time(o.RetryAfter.Microseconds()), Report: o.LoadReport,
	})
}

// removeCall removes a call whose items all have outcomes.
func (e *Engine) removeCall(c *call) {
	if c.remaining > 0 || e.callByID[c.id] == nil {
		return
	}
	delete(e.callByID, c.id)
	c.endpoint.calls--
}

// rollBackCall rolls back a call whose attempts are not in the store: none was made.
func (e *Engine) rollBackCall(c *call) {
	if e.callByID[c.id] == nil {
		return
	}
	for _, it := range c.items {
		if !it.done {
			it.message.inFlight = nil
			e.endAttempt(it, &Outcome{Item: it.index, Result: control.Unsent})
		}
		e.markDirty(it.message)
	}
	e.removeCall(c)
}

// cancelAttempt cancels an attempt.
func (e *Engine) cancelAttempt(num control.MessageID, attempt int) {
	if m := e.messageByNumber[num]; m != nil && m.inFlight != nil && m.inFlight.attempt == attempt {
		e.abandon(m.inFlight)
	}
}

// abandon stops waiting for an attempt. The call is aborted only if none of its items is wanted. Otherwise the attempt
// stays in flight at the endpoint, and its outcome comes when the call ends.
func (e *Engine) abandon(it *item) {
	c := it.call
	it.cancelled = true
	for _, o := range c.items {
		if !o.done && !o.cancelled {
			return
		}
	}
	if c.stored { // otherwise it has not started, and MayWrite prevents it from being written
		e.effect(&Abort{Call: c.id})
	}
}

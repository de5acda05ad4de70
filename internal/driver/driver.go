// Package driver runs an engine on one goroutine, or on one goroutine at a time (see Driver.ShareRounds). It takes events
// from an inbox and carries out the engine's effects through the engine's interfaces: store, transport and sink. An effect
// that depends on a record waits until the store has it. Every runtime uses this package. All decisions are the engine's.
package driver

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"curlewmux/admission"
	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// Driver runs an engine. Its exported methods may be called from any goroutine unless they say otherwise.
type Driver struct {
	host  host.Host
	clock engine.Clock
	log   *slog.Logger
	e     *engine.Engine
	Components

	inbox host.Inbox
	pool  replies
	share
	door door // admission of new messages

	// The fields from here on belong to the driver's goroutine, or to whoever holds turn (share.go).
	gate     engine.Gate
	now      engine.Now
	round    uint64
	made     map[engine.CallID]uint64 // calls that wait for the store, with the round in which the engine made them
	appended engine.Batch             // newest batch that the store has accepted
	answered engine.Batch             // newest batch that the store has reported as stored or failed
	refused  []engine.Batch           // batches that the store did not accept in this round
	full     bool                     // the store refused the newest of them for lack of room
	tickets  map[engine.Ticket]host.Inbox
	ticket   engine.Ticket
	permits  map[engine.CallID]host.Inbox
	permit   []bool       // the newest permit that no other goroutine waits for
	idle     []host.Inbox // callers of WaitIdle
	later    later
	load     load
	cuts     cuts // ledger.go

	// OnBreach is called with each breach of the ledger that is found or resolved, on the driver's goroutine. It must not
	// block, and must be set before the first event.
	OnBreach func(ledger.Breach)
}

// Components implement the engine's interfaces. Store is nil for an engine without one.
type Components struct {
	Store     engine.Store
	Transport engine.Transport
	Sink      engine.Sink
}

var (
	_ engine.Intake             = (*Driver)(nil)
	_ engine.GroupIntake        = (*Driver)(nil)
	_ engine.MembershipReceiver = (*Driver)(nil)
	_ engine.CallEvents         = (*Driver)(nil)
)

// New returns a driver for an engine that has handled no event yet. The clock's Start must not be later than any time that
// the host returns from now on.
func New(h host.Host, clock engine.Clock, e *engine.Engine, log *slog.Logger) *Driver {
	return &Driver{
		host: h, clock: clock, log: log, e: e, inbox: h.NewInbox(), pool: replies{host: h},
		door:    door{gate: admission.New(admission.Settings{})},
		made:    map[engine.CallID]uint64{},
		tickets: map[engine.Ticket]host.Inbox{}, permits: map[engine.CallID]host.Inbox{},
	}
}

// Requests that are put into the inbox beside events.
type (
	handIn struct {
		engine.Submit
		deadline time.Time
		reply    host.Inbox
	}
	handInAll struct {
		engine.SubmitAll
		deadlines []time.Time
		reply     host.Inbox
	}
	mayWrite struct {
		call  engine.CallID
		reply host.Inbox
	}
	whenIdle struct{ reply host.Inbox }
)

// HandIn implements engine.Intake.
func (d *Driver) Submit(m *engine.Message, deadline time.Time) engine.Verdict {
	in := &handIn{Submit: engine.Submit{Message: *m}, deadline: deadline, reply: d.pool.get()}
	return d.verdict(d.put(in), in.reply)
}

// HandInEach implements engine.GroupIntake.
func (d *Driver) SubmitEach(list []*engine.Message, deadlines []time.Time) []engine.Verdict {
	replies, put := make([]host.Inbox, len(list)), make([]bool, len(list))
	for i, m := range list {
		replies[i] = d.pool.get()
		put[i] = d.put(&handIn{Submit: engine.Submit{Message: *m}, deadline: deadlines[i], reply: replies[i]})
	}
	out := make([]engine.Verdict, len(list))
	for i := range list {
		out[i] = d.verdict(put[i], replies[i])
	}
	return out
}

// HandInAll implements engine.GroupIntake.
func (d *Driver) SubmitAll(list []*engine.Message, deadlines []time.Time) engine.Verdict {
	in := &handInAll{deadlines: deadlines, reply: d.pool.get()}
	for _, m := range list {
		in.Submissions = append(in.Submissions, engine.Submit{Message: *m})
	}
	return d.verdict(d.put(in), in.reply)
}

// verdict waits for the verdict on a request. put tells whether the request got into the inbox.
func (d *Driver) verdict(put bool, reply host.Inbox) engine.Verdict {
	stopped := engine.Verdict{Kind: engine.Busy, RetryAfter: time.Second, Reason: "stopping"}
	if !put {
		return stopped
	}
	v, ok := take(reply, time.Time{}).(*engine.Verdict)
	if !ok {
		return stopped
	}
	d.pool.put(reply)
	return *v
}

// SubmitAsync submits a message without blocking. The verdict (*engine.Verdict) is put into reply once, before the first call
// of the message starts and before its engine.Done. A driver that stops without a verdict closes reply. once promises that
// nobody else submits the same id. SubmitAsync returns false if the driver has stopped, and reply is not used then.
func (d *Driver) SubmitAsync(m *engine.Message, deadline time.Time, once bool, reply host.Inbox) bool {
	return d.serve(&handIn{Submit: engine.Submit{Message: *m, UniqueID: once}, deadline: deadline, reply: reply})
}

// Withdraw tells the engine that the client no longer wants a message.
func (d *Driver) Withdraw(id string) { d.serve(&engine.Withdraw{ID: id}) }

// Members implements engine.Listing.
func (d *Driver) Members(m *engine.Members) bool { return d.put(m) }

// Notified reports that the clients were notified of how these messages ended.
func (d *Driver) Notified(ids []string) { d.put(&engine.Notified{IDs: ids}) }

// Stored is called by a store that writes asynchronously. All batches up to b are stored. With an error, the later ones up
// to the newest appended batch are not.
func (d *Driver) Stored(b engine.Batch, err error) { d.put(&storeTold{b, err}) }

type storeTold struct {
	batch engine.Batch
	err   error
}

// MayWrite implements engine.CallEvents.
func (d *Driver) MayWrite(id engine.CallID) []bool {
	q := &mayWrite{call: id, reply: d.pool.get()}
	if !d.serve(q) {
		return nil
	}
	ok, _ := take(q.reply, time.Time{}).([]bool)
	d.pool.put(q.reply)
	return ok
}

// FirstLine implements engine.CallEvents.
func (d *Driver) FirstLine(id engine.CallID) { d.put(&engine.FirstLine{Call: id}) }

// Ended implements engine.CallEvents.
func (d *Driver) Ended(id engine.CallID, outs []engine.Outcome) {
	d.serve(&engine.Ended{Call: id, Outcomes: outs})
}

// Post queues an event for the engine behind all earlier ones.
func (d *Driver) Post(ev engine.Event) { d.put(ev) }

// Resend submits a message from the store of undelivered messages without blocking. told is called once with the verdict, on
// the driver's goroutine. A driver that stops may never call it.
func (d *Driver) Resend(in *engine.Submit, deadline time.Time, told func(engine.Verdict)) {
	d.put(&handIn{Submit: *in, deadline: deadline, reply: tell(told)})
}

// tell is an inbox that passes its only value to a function at once.
type tell func(engine.Verdict)

func (f tell) Put(v any) bool {
	f(*v.(*engine.Verdict))
	return true
}
func (tell) Take(into []any, _ time.Time) []any { return into }
func (tell) Close() []any                       { return nil }

// Do runs f on the driver's goroutine between two events. f may read the engine. It must not block, except for writes of the
// driver's own store. Do returns false if the driver has stopped. f is not run then, nor if the driver stops before its turn.
func (d *Driver) Do(f func()) bool { return d.put(do(f)) }

type do func()

// Stop begins a planned stop: no further call starts.
func (d *Driver) Stop() { d.put(&engine.Stop{}) }

// WaitIdle waits until no call is under way, or until the given time. It reports whether no call was left.
func (d *Driver) WaitIdle(until time.Time) bool {
	q := &whenIdle{d.host.NewInbox()}
	if !d.put(q) {
		return true
	}
	return take(q.reply, until) != nil
}

// Quit ends Run. Submissions without a verdict are answered that the driver is stopping.
func (d *Driver) Quit() { d.put(quit{}) }

type quit struct{}

// Run handles events until Quit. Events from before Run are given to Handle.
func (d *Driver) Run() {
	if d.load.probe != nil {
		defer d.load.probe.Close()
	}
	if d.shared {
		d.runShared()
		return
	}
	var list []any
	for {
		list = d.inbox.Take(list[:0], d.until())
		if d.makeRound(list) {
			return
		}
	}
}

// makeRound handles the values that were taken from the inbox. It returns true after a quit: the driver has ended then.
func (d *Driver) makeRound(list []any) (over bool) {
	d.begin()
	took := 0
	for i, v := range list {
		list[i] = nil
		switch v := v.(type) {
		case quit:
			d.finish(append(d.later.take(len(d.later.list)), list[i+1:]...))
			return true
		case *handIn, *handInAll:
			if took == newWork || len(d.later.list) > 0 {
				d.later.add(v)
				continue
			}
			took++
		case *engine.Withdraw:
			if d.later.has(v.ID) {
				d.later.add(v)
				continue
			}
		}
		d.take(v)
	}
	if len(d.later.list) > 0 {
		d.wake()
		for _, v := range d.later.take(newWork - took) {
			d.take(v)
		}
	}
	d.wake()
	d.flush()
	d.measure()
	if len(d.idle) > 0 && d.e.CallsOut() == 0 {
		for _, r := range d.idle {
			r.Put(true)
		}
		d.idle = nil
	}
	return false
}

// until returns the time at which the next round is due even if nothing arrives. Zero means never.
func (d *Driver) until() time.Time {
	switch at, ok := d.e.NextWake(); {
	case len(d.later.list) > 0:
		return d.clock.Start // is past: do not wait
	case len(d.load.waiting) > 0:
		return d.clock.Time(engine.Time(d.load.sent.Load())).Add(probeLost)
	case ok:
		return d.clock.Time(at)
	}
	return time.Time{}
}

// wake lets the engine do what is due. It waits until all calls of the engine's last step have started. Otherwise the engine
// would make ever more calls that wait here, and would count them as calls under way.
func (d *Driver) wake() {
	if len(d.load.waiting) > 0 {
		return
	}
	if at, ok := d.e.NextWake(); ok && at <= d.now.At {
		d.handle(&engine.Wake{})
	}
}

// Handle handles events before Run, on the goroutine that will call Run.
func (d *Driver) Handle(events ...engine.Event) {
	d.turn.Lock() // events that the components report meanwhile wait for Run
	defer d.turn.Unlock()
	d.begin()
	for _, ev := range events {
		d.handle(ev)
	}
	d.flush()
	d.measure()
}

// Engine returns the engine, for reading it before or after Run.
func (d *Driver) Engine() *engine.Engine { return d.e }

// begin starts a round. The clocks are read once for the whole round.
func (d *Driver) begin() {
	d.round++
	d.now = engine.Now{At: d.clock.At(d.host.Now()), Wall: engine.TimestampOf(d.host.Wall())}
}

// take handles one value from the inbox.
func (d *Driver) take(v any) {
	switch v := v.(type) {
	case *handIn:
		d.load.handIns++
		d.ticket++
		d.tickets[d.ticket] = v.reply
		v.Ticket, v.ExpiresIn = d.ticket, d.clock.At(v.deadline)-d.now.At
		d.handle(&v.Submit)
	case *handInAll:
		d.ticket++
		d.tickets[d.ticket] = v.reply
		v.Ticket = d.ticket
		for i := range v.Submissions {
			v.Submissions[i].ExpiresIn = d.clock.At(v.deadlines[i]) - d.now.At
		}
		d.handle(&v.SubmitAll)
	case *mayWrite:
		d.permits[v.call] = v.reply
		d.handle(&engine.MayWrite{Call: v.call})
	case *probeBack:
		d.back(v)
	case *whenIdle:
		d.idle = append(d.idle, v.reply)
	case *whenCut:
		d.cut(v.reply)
	case *storeTold:
		d.told(v.batch, v.err)
	case do:
		v()
	case engine.Event:
		d.handle(v)
	}
}

// handle gives the engine an event and carries out the effects that need not wait for the store.
func (d *Driver) handle(ev engine.Event) {
	var buf [8]engine.Effect
	free := buf[:0]
	for _, f := range d.e.Handle(d.now, ev) {
		switch f := f.(type) {
		case *engine.Append:
			if err := d.Store.Append(f.Batch, f.Records); err != nil {
				d.refused = append(d.refused, f.Batch)
				d.full = errors.Is(err, engine.ErrFull)
				continue
			}
			d.appended = f.Batch
		case *engine.Call:
			if f.RequiredBatch() > d.answered {
				d.made[f.ID] = d.round
			}
			free = d.gate.Pass(free, []engine.Effect{f})
		default:
			free = d.gate.Pass(free, []engine.Effect{f})
		}
	}
	d.carryOut(free)
	for len(d.refused) > 0 {
		b, full := d.refused[0], d.full
		d.refused = d.refused[1:]
		d.gate.Failed(b)
		d.handle(&engine.StoreFailed{Batch: b, Full: full})
	}
}

// flush lets the store write what this round appended and handles its result, until nothing further is appended.
func (d *Driver) flush() {
	if s, ok := d.Store.(engine.ExpiringStore); ok {
		s.Tick(d.now.Wall)
	}
	for d.Store != nil && d.appended > d.answered {
		newest := d.appended
		b, err := d.Store.Flush()
		d.told(b, err)
		if err == nil && b < newest {
			return // the store calls Stored later
		}
	}
}

// told handles a report of the store: batches up to b are stored, and with an error all later ones failed.
func (d *Driver) told(b engine.Batch, err error) {
	if b > d.answered {
		d.answered = b
		d.handle(&engine.Stored{Batch: b})
		var buf [8]engine.Effect
		d.carryOut(d.gate.Stored(buf[:0], b))
	}
	if err == nil {
		return
	}
	d.log.Debug("store write failed", "error", err)
	last := d.appended
	for lost := d.answered + 1; lost <= last; lost++ {
		d.gate.Failed(lost)
		d.handle(&engine.StoreFailed{Batch: lost})
	}
	d.answered = max(d.answered, last)
}

// carryOut carries out effects.
func (d *Driver) carryOut(effects []engine.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case *engine.Answer:
			if r := d.tickets[f.Ticket]; r != nil {
				delete(d.tickets, f.Ticket)
				r.Put(&f.Verdict)
			}
		case *engine.Permit:
			if r := d.permits[f.Call]; r != nil {
				delete(d.permits, f.Call)
				r.Put(f.Items)
			} else {
				d.permit = f.Items
			}
		case *engine.Call:
			d.start(f)
		case *engine.Abort:
			d.Transport.Abort(f.Call)
		case *engine.CloseIdle:
			d.Transport.CloseIdle(f)
		case *engine.RemoveEndpoint:
			d.Transport.RemoveEndpoint(f)
		case *engine.Done:
			if f.Disposition != engine.Refused {
				d.load.done++
			}
			d.Sink.Completed(f)
		case *engine.LedgerBreach:
			d.breached(f)
		case *engine.LedgerSnapshot:
			d.shown(f)
		case *engine.Note:
			if d.shared {
				d.notes = append(d.notes, f)
			} else {
				d.note(f)
			}
		}
	}
}

func (d *Driver) note(f *engine.Note) {
	var fields []any
	if f.Message != "" {
		fields = []any{"message", f.Message, "class", f.Class}
	}
	if f.Fault {
		d.log.Error(f.Text, fields...)
	} else {
		d.log.Info(f.Text, fields...)
	}
}

// call starts a call. A call that waited beyond the round that made it needs a new permit of the engine first, because its
// endpoint or its messages may have changed meanwhile.
func (d *Driver) call(c *engine.Call) {
	made, waited := d.made[c.ID]
	delete(d.made, c.ID)
	if !waited || made == d.round {
		d.Transport.Start(c, d)
		return
	}
	ok := d.ask(c.ID)
	var outs []engine.Outcome
	for i := range c.Items {
		if i >= len(ok) || !ok[i] {
			c.Items[i].Skip = true
			outs = append(outs, moot(i))
		}
	}
	if len(outs) < len(c.Items) {
		d.Transport.Start(c, d)
	}
	if len(outs) > 0 {
		d.handle(&engine.Ended{Call: c.ID, Outcomes: outs})
	}
}

// ask returns the engine's permit for each item of a call. It is for the driver's own goroutine.
func (d *Driver) ask(id engine.CallID) []bool {
	d.permit = nil
	d.handle(&engine.MayWrite{Call: id})
	return d.permit
}

// finish ends the driver and answers all who still wait. left are values from the inbox that no round has handled.
func (d *Driver) finish(left []any) {
	d.handle(&engine.Stop{}) // records a step of the wall clock since the last event, which the next process could not notice
	d.flush()
	left = append(left, d.shut()...)
	for _, v := range left {
		switch v := v.(type) {
		case *handIn:
			v.reply.Close()
		case *handInAll:
			v.reply.Close()
		case *mayWrite:
			v.reply.Close()
		case *whenIdle:
			v.reply.Put(true)
		case *whenCut:
			v.reply.Close()
		case engine.Event: // still recorded if possible
			d.handle(v)
		}
	}
	d.flush()
	for _, t := range slices.Sorted(maps.Keys(d.tickets)) {
		// Its record may still get into the store, so nothing can be promised.
		d.tickets[t].Put(&engine.Verdict{Kind: engine.Unconfirmed, Reason: "stopping while the store has not answered"})
		delete(d.tickets, t)
	}
	for _, r := range d.idle {
		r.Put(true)
	}
	d.cuts.close()
}

func take(b host.Inbox, until time.Time) any {
	if list := b.Take(nil, until); len(list) > 0 {
		return list[0]
	}
	return nil
}

// replies is a pool of inboxes that receive one reply at a time.
type replies struct {
	host host.Host
	mu   sync.Mutex
	free []host.Inbox
}

const mostReplies = 64 // inboxes that the pool keeps

func (p *replies) get() host.Inbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free) - 1; last >= 0 {
		b := p.free[last]
		p.free = p.free[:last]
		return b
	}
	return p.host.NewInbox()
}

func (p *replies) put(b host.Inbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) < mostReplies {
		p.free = append(p.free, b)
	}
}

func moot(item int) engine.Outcome { return engine.Outcome{Item: item, Result: control.Moot} }

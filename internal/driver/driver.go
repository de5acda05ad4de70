// Package driver runs one engine, on one goroutine or on one at a time (Share): it takes events from an inbox, carries
// out effects by the seams of package engine, and keeps those that wait for the store until it has what they need. Every
// runtime uses it; it decides nothing.
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

// Driver runs an engine. Its exported methods may be called from any goroutine, unless they say otherwise.
type Driver struct {
	host  host.Host
	clock engine.Clock
	log   *slog.Logger
	e     *engine.Engine
	Components

	inbox host.Inbox
	pool  replies
	share
	door door // what new work is asked at

	// Of the driver's goroutine, or of whoever has the turn (share.go).
	gate     engine.Gate
	now      engine.Now
	round    uint64
	made     map[engine.CallID]uint64 // calls that wait for the store, with the round that made them
	appended engine.Batch             // newest batch that the store has taken and not answered for
	answered engine.Batch
	refused  []engine.Batch // batches that the store did not take in this round
	full     bool
	tickets  map[engine.Ticket]host.Inbox
	ticket   engine.Ticket
	permits  map[engine.CallID]host.Inbox
	permit   []bool       // the newest that nobody else waits for
	idle     []host.Inbox // who waits until no call is out
	later    later
	load     load
	cuts     cuts // ledger.go

	// OnBreach, where set before the first event, is told of each breach of the ledger that is found, or has healed, on the
	// driver's goroutine; it must not block.
	OnBreach func(ledger.Breach)
}

// Components are what a driver puts together. Store is nil for an engine without one.
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

// New makes a driver for an engine that has handled nothing yet. The clock's Start must be not later than any time that
// the host tells from now on.
func New(h host.Host, clock engine.Clock, e *engine.Engine, log *slog.Logger) *Driver {
	return &Driver{
		host: h, clock: clock, log: log, e: e, inbox: h.NewInbox(), pool: replies{host: h},
		door:    door{gate: admission.New(admission.Settings{})},
		made:    map[engine.CallID]uint64{},
		tickets: map[engine.Ticket]host.Inbox{}, permits: map[engine.CallID]host.Inbox{},
	}
}

// What is put into the inbox beside events.
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

// HandIn is engine.Intake's.
func (d *Driver) Submit(m *engine.Message, deadline time.Time) engine.Verdict {
	in := &handIn{Submit: engine.Submit{Message: *m}, deadline: deadline, reply: d.pool.get()}
	return d.verdict(d.put(in), in.reply)
}

// HandInEach is engine.GroupIntake's.
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

// HandInAll is engine.GroupIntake's.
func (d *Driver) SubmitAll(list []*engine.Message, deadlines []time.Time) engine.Verdict {
	in := &handInAll{deadlines: deadlines, reply: d.pool.get()}
	for _, m := range list {
		in.Submissions = append(in.Submissions, engine.Submit{Message: *m})
	}
	return d.verdict(d.put(in), in.reply)
}

// verdict waits for the answer to what was put into the inbox.
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

// SubmitAsync hands a message in and does not block: the verdict (*engine.Verdict) is put into reply, once, before its
// message's first call starts and before its Done; a driver that stops without one closes reply. once says that nobody
// else can hand in the id. Offer returns false once the driver has stopped, and then nothing follows.
func (d *Driver) SubmitAsync(m *engine.Message, deadline time.Time, once bool, reply host.Inbox) bool {
	return d.serve(&handIn{Submit: engine.Submit{Message: *m, UniqueID: once}, deadline: deadline, reply: reply})
}

// Withdraw says that nobody wants a message any more.
func (d *Driver) Withdraw(id string) { d.serve(&engine.Withdraw{ID: id}) }

// Members is engine.Listing's.
func (d *Driver) Members(m *engine.Members) bool { return d.put(m) }

// Notified says that the ends of messages have been told.
func (d *Driver) Notified(ids []string) { d.put(&engine.Notified{IDs: ids}) }

// Stored says, for a store that answers later, up to which batch all is stored; with an error, that the batches behind
// it up to the newest appended are not.
func (d *Driver) Stored(b engine.Batch, err error) { d.put(&storeTold{b, err}) }

type storeTold struct {
	batch engine.Batch
	err   error
}

// MayWrite is engine.CallEvents'.
func (d *Driver) MayWrite(id engine.CallID) []bool {
	q := &mayWrite{call: id, reply: d.pool.get()}
	if !d.serve(q) {
		return nil
	}
	ok, _ := take(q.reply, time.Time{}).([]bool)
	d.pool.put(q.reply)
	return ok
}

// FirstLine is engine.CallEvents'.
func (d *Driver) FirstLine(id engine.CallID) { d.put(&engine.FirstLine{Call: id}) }

// Ended is engine.CallEvents'.
func (d *Driver) Ended(id engine.CallID, outs []engine.Outcome) {
	d.serve(&engine.Ended{Call: id, Outcomes: outs})
}

// Post gives the engine an event, behind all that was told before.
func (d *Driver) Post(ev engine.Event) { d.put(ev) }

// Resend hands in a message that is sent again from the store of undelivered ones. It does not block: told is called with
// the verdict, once, on the driver's goroutine; a driver that stops may never call it.
func (d *Driver) Resend(in *engine.Submit, deadline time.Time, told func(engine.Verdict)) {
	d.put(&handIn{Submit: *in, deadline: deadline, reply: tell(told)})
}

// tell is an inbox whose only value is taken at once.
type tell func(engine.Verdict)

func (f tell) Put(v any) bool {
	f(*v.(*engine.Verdict))
	return true
}
func (tell) Take(into []any, _ time.Time) []any { return into }
func (tell) Close() []any                       { return nil }

// Do runs f on the driver's goroutine, between two events. f may look at the engine and must not block, but for what the
// driver's own store writes. Do returns false once the driver has stopped: then f is not run, nor where it stops first.
func (d *Driver) Do(f func()) bool { return d.put(do(f)) }

type do func()

// Stop begins a planned stop: no call starts any more.
func (d *Driver) Stop() { d.put(&engine.Stop{}) }

// WaitIdle waits until no call is out, but no longer than until the moment given, and tells whether it came to that.
func (d *Driver) WaitIdle(until time.Time) bool {
	q := &whenIdle{d.host.NewInbox()}
	if !d.put(q) {
		return true
	}
	return take(q.reply, until) != nil
}

// Quit ends Run. What was handed in and not answered is told that the driver stops.
func (d *Driver) Quit() { d.put(quit{}) }

type quit struct{}

// Run handles what comes until Quit. Before it is called, Handle may be.
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

// makeRound handles what has come. It returns true once it has met Quit, and then the driver has ended.
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

// until is how long to wait for something to come.
func (d *Driver) until() time.Time {
	switch at, ok := d.e.NextWake(); {
	case len(d.later.list) > 0:
		return d.clock.Start // not at all
	case len(d.load.waiting) > 0:
		return d.clock.Time(engine.Time(d.load.sent.Load())).Add(probeLost)
	case ok:
		return d.clock.Time(at)
	}
	return time.Time{}
}

// wake lets the engine do what is due, once all calls of its last Step have started: else it would go on making calls
// that wait here, and would reckon with them as if they were out.
func (d *Driver) wake() {
	if len(d.load.waiting) > 0 {
		return
	}
	if at, ok := d.e.NextWake(); ok && at <= d.now.At {
		d.handle(&engine.Wake{})
	}
}

// Handle handles events before Run, on the goroutine that will call it.
func (d *Driver) Handle(events ...engine.Event) {
	d.turn.Lock() // what the seams tell meanwhile waits for Run
	defer d.turn.Unlock()
	d.begin()
	for _, ev := range events {
		d.handle(ev)
	}
	d.flush()
	d.measure()
}

// Engine is the engine, for figures before Run and after it.
func (d *Driver) Engine() *engine.Engine { return d.e }

// begin starts a round: one look at the clocks serves for all of it.
func (d *Driver) begin() {
	d.round++
	d.now = engine.Now{At: d.clock.At(d.host.Now()), Wall: engine.TimestampOf(d.host.Wall())}
}

// take handles what came out of the inbox.
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

// handle gives the engine one event and carries out what may be at once.
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

// flush lets the store write what this round appended and takes up what it says, until nothing new is appended.
func (d *Driver) flush() {
	if s, ok := d.Store.(engine.ExpiringStore); ok {
		s.Tick(d.now.Wall)
	}
	for d.Store != nil && d.appended > d.answered {
		newest := d.appended
		b, err := d.Store.Flush()
		d.told(b, err)
		if err == nil && b < newest {
			return // it answers later
		}
	}
}

// told takes up what the store says.
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
	d.log.Debug("the store could not write", "error", err)
	last := d.appended
	for lost := d.answered + 1; lost <= last; lost++ {
		d.gate.Failed(lost)
		d.handle(&engine.StoreFailed{Batch: lost})
	}
	d.answered = max(d.answered, last)
}

// carryOut does what the engine wants done.
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

// call starts a call. One that waited for the store for more than its own round asks first whether it still may: much
// can have changed.
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

// ask asks the engine for a permit on the driver's own goroutine.
func (d *Driver) ask(id engine.CallID) []bool {
	d.permit = nil
	d.handle(&engine.MayWrite{Call: id})
	return d.permit
}

// finish ends the driver: who still waits is told so.
func (d *Driver) finish(left []any) {
	d.handle(&engine.Stop{}) // it sees a step of the wall clock that came while all was idle: the next process could not
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
		case engine.Event: // what has happened is recorded, if it can be
			d.handle(v)
		}
	}
	d.flush()
	for _, t := range slices.Sorted(maps.Keys(d.tickets)) {
		// Its record may be on the way to the store: nothing can be promised.
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

// replies are inboxes for one answer each, used again and again.
type replies struct {
	host host.Host
	mu   sync.Mutex
	free []host.Inbox
}

const mostReplies = 64

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

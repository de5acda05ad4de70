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
	host     host.Host
	clock    engine.Clock
	log      *slog.Logger
	messages messageLog
	engine   *engine.Engine
	Components

	inbox   host.Inbox
	replies inboxPool
	sharedRounds
	admission admissionGate // admission of new messages

	// The fields from here on belong to the driver's goroutine, or to whoever holds turn (share.go).
	gate           engine.Gate
	now            engine.Now
	round          uint64
	madeInRound    map[engine.CallID]uint64 // calls that wait for the store, with the round in which the engine made them
	appended       engine.Batch             // newest batch that the store has accepted
	settled        engine.Batch             // newest batch that the store has reported as stored or failed
	refusedBatches []engine.Batch           // batches that the store did not accept in this round
	storeFull      bool                     // the store refused the newest of them for lack of room
	verdictWaiters map[engine.Ticket]host.Inbox
	lastTicket     engine.Ticket
	permitWaiters  map[engine.CallID]host.Inbox
	lastPermit     []bool       // the newest answer to requestPermit
	idleWaiters    []host.Inbox // callers of WaitIdle
	deferred       deferredWork
	load           load
	snapshots      snapshotReaders // ledger.go

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
func New(machine host.Host, clock engine.Clock, e *engine.Engine, log *slog.Logger) *Driver {
	return &Driver{
		host: machine, clock: clock, log: log, messages: newMessageLog(log), engine: e, inbox: machine.NewInbox(), replies: inboxPool{host: machine},
		admission:      admissionGate{gate: admission.New(admission.Settings{})},
		madeInRound:    map[engine.CallID]uint64{},
		verdictWaiters: map[engine.Ticket]host.Inbox{}, permitWaiters: map[engine.CallID]host.Inbox{},
	}
}

// Requests that are put into the inbox beside events.
type (
	submission struct {
		engine.Submit
		deadline time.Time
		reply    host.Inbox
	}
	groupSubmission struct {
		engine.SubmitAll
		deadlines []time.Time
		reply     host.Inbox
	}
	permitRequest struct {
		call  engine.CallID
		reply host.Inbox
	}
	idleRequest struct{ reply host.Inbox }
)

// Submit implements engine.Intake.
func (d *Driver) Submit(m *engine.Message, deadline time.Time) engine.Verdict {
	in := &submission{Submit: engine.Submit{Message: *m}, deadline: deadline, reply: d.replies.get()}
	return d.verdict(d.enqueue(in), in.reply)
}

// SubmitEach implements engine.GroupIntake.
func (d *Driver) SubmitEach(list []*engine.Message, deadlines []time.Time) []engine.Verdict {
	replies, put := make([]host.Inbox, len(list)), make([]bool, len(list))
	for i, m := range list {
		replies[i] = d.replies.get()
		put[i] = d.enqueue(&submission{Submit: engine.Submit{Message: *m}, deadline: deadlines[i], reply: replies[i]})
	}
	out := make([]engine.Verdict, len(list))
	for i := range list {
		out[i] = d.verdict(put[i], replies[i])
	}
	return out
}

// SubmitAll implements engine.GroupIntake.
func (d *Driver) SubmitAll(list []*engine.Message, deadlines []time.Time) engine.Verdict {
	in := &groupSubmission{deadlines: deadlines, reply: d.replies.get()}
	for _, m := range list {
		in.Submissions = append(in.Submissions, engine.Submit{Message: *m})
	}
	return d.verdict(d.enqueue(in), in.reply)
}

// verdict waits for the verdict on a request. put says whether the request got into the inbox.
func (d *Driver) verdict(put bool, reply host.Inbox) engine.Verdict {
	stopped := engine.Verdict{Kind: engine.Busy, RetryAfter: time.Second, Reason: "stopping"}
	if !put {
		return stopped
	}
	v, ok := takeOne(reply, time.Time{}).(*engine.Verdict)
	if !ok {
		return stopped
	}
	d.replies.put(reply)
	return *v
}

// SubmitAsync submits a message without blocking. The verdict (*engine.Verdict) is put into reply once, before the first call
// of the message starts and before its engine.Done. A driver that stops without a verdict closes reply. once promises that
// nobody else submits the same id. SubmitAsync returns false if the driver has stopped, and reply is not used then.
func (d *Driver) SubmitAsync(m *engine.Message, deadline time.Time, once bool, reply host.Inbox) bool {
	return d.runOrEnqueue(&submission{Submit: engine.Submit{Message: *m, UniqueID: once}, deadline: deadline, reply: reply})
}

// Withdraw tells the engine that the client no longer wants a message.
func (d *Driver) Withdraw(id string) { d.runOrEnqueue(&engine.Withdraw{ID: id}) }

// Members implements engine.MembershipReceiver.
func (d *Driver) Members(m *engine.Members) bool { return d.enqueue(m) }

// Notified reports that the clients were notified of how these messages ended.
func (d *Driver) Notified(ids []string) { d.enqueue(&engine.Notified{IDs: ids}) }

// Stored is called by a store that writes asynchronously. All batches up to b are stored. With an error, the later ones up
// to the newest appended batch are not.
func (d *Driver) Stored(b engine.Batch, err error) { d.enqueue(&storeReport{b, err}) }

type storeReport struct {
	batch engine.Batch
	err   error
}

// MayWrite implements engine.CallEvents.
func (d *Driver) MayWrite(call engine.CallID) []bool {
	request := &permitRequest{call: call, reply: d.replies.get()}
	if !d.runOrEnqueue(request) {
		return nil
	}
	permit, _ := takeOne(request.reply, time.Time{}).([]bool)
	d.replies.put(request.reply)
	return permit
}

// FirstLine implements engine.CallEvents.
func (d *Driver) FirstLine(id engine.CallID) { d.enqueue(&engine.FirstLine{Call: id}) }

// Ended implements engine.CallEvents.
func (d *Driver) Ended(id engine.CallID, outs []engine.Outcome) {
	d.runOrEnqueue(&engine.Ended{Call: id, Outcomes: outs})
}

// Post queues an event for the engine behind all earlier ones.
func (d *Driver) Post(ev engine.Event) { d.enqueue(ev) }

// Resend submits a message from the store of undelivered messages without blocking. notify is called once with the verdict,
// on the driver's goroutine. A driver that stops may never call it.
func (d *Driver) Resend(in *engine.Submit, deadline time.Time, notify func(engine.Verdict)) {
	d.enqueue(&submission{Submit: *in, deadline: deadline, reply: verdictFunc(notify)})
}

// verdictFunc is an inbox that passes its only value to a function at once.
type verdictFunc func(engine.Verdict)

func (f verdictFunc) Put(v any) bool {
	f(*v.(*engine.Verdict))
	return true
}
func (verdictFunc) Take(into []any, _ time.Time) []any { return into }
func (verdictFunc) Close() []any                       { return nil }

// Do runs f on the driver's goroutine between two events. f may read the engine. It must not block, except for writes of the
// driver's own store. Do returns false if the driver has stopped. f is not run then, nor if the driver stops before its turn.
func (d *Driver) Do(f func()) bool { return d.enqueue(doRequest(f)) }

type doRequest func()

// Stop begins a planned stop: no further call starts.
func (d *Driver) Stop() { d.enqueue(&engine.Stop{}) }

// WaitIdle waits until no call is under way, or until the given time. It reports whether no call was left.
func (d *Driver) WaitIdle(until time.Time) bool {
	request := &idleRequest{d.host.NewInbox()}
	if !d.enqueue(request) {
		return true
	}
	return takeOne(request.reply, until) != nil
}

// Quit ends Run. Submissions without a verdict get one that says that the driver is stopping.
func (d *Driver) Quit() { d.enqueue(quitRequest{}) }

type quitRequest struct{}

// Run handles events until Quit. Events from before Run are given to Handle.
func (d *Driver) Run() {
	if d.load.probe != nil {
		defer d.load.probe.Close()
	}
	if d.shared {
		d.runShared()
		return
	}
	var values []any
	for {
		values = d.inbox.Take(values[:0], d.nextRound())
		if d.makeRound(values) {
			return
		}
	}
}

// makeRound handles the values that were taken from the inbox. It returns true after a quit: the driver has ended then.
func (d *Driver) makeRound(list []any) (over bool) {
	d.beginRound()
	submissions := 0
	for i, v := range list {
		list[i] = nil
		switch v := v.(type) {
		case quitRequest:
			d.finish(append(d.deferred.take(len(d.deferred.list)), list[i+1:]...))
			return true
		case *submission, *groupSubmission:
			if submissions == maxSubmissionsPerRound || len(d.deferred.list) > 0 {
				d.deferred.add(v)
				continue
			}
			submissions++
		case *engine.Withdraw:
			if d.deferred.has(v.ID) {
				d.deferred.add(v)
				continue
			}
		}
		d.handleValue(v)
	}
	if len(d.deferred.list) > 0 {
		d.wake()
		for _, v := range d.deferred.take(maxSubmissionsPerRound - submissions) {
			d.handleValue(v)
		}
	}
	d.wake()
	d.flush()
	d.endRound()
	if len(d.idleWaiters) > 0 && d.engine.CallsOut() == 0 {
		for _, r := range d.idleWaiters {
			r.Put(true)
		}
		d.idleWaiters = nil
	}
	return false
}

// nextRound returns the time at which the next round is due even if nothing arrives. Zero means never.
func (d *Driver) nextRound() time.Time {
	switch at, ok := d.engine.NextWake(); {
	case len(d.deferred.list) > 0:
		return d.clock.Start // is past: do not wait
	case len(d.load.queuedCalls) > 0:
		return d.clock.Time(engine.Time(d.load.probeSent.Load())).Add(probeTimeout)
	case ok:
		return d.clock.Time(at)
	}
	return time.Time{}
}

// wake lets the engine do its due work. It waits until all calls of the engine's last step have started. Otherwise the engine
// would make ever more calls that wait here, and would count them as calls under way.
func (d *Driver) wake() {
	if len(d.load.queuedCalls) > 0 {
		return
	}
	if at, ok := d.engine.NextWake(); ok && at <= d.now.At {
		d.handle(&engine.Wake{})
	}
}

// Handle handles events before Run, on the goroutine that will call Run.
func (d *Driver) Handle(events ...engine.Event) {
	d.turn.Lock() // events that the components report meanwhile wait for Run
	defer d.turn.Unlock()
	d.beginRound()
	for _, ev := range events {
		d.handle(ev)
	}
	d.flush()
	d.endRound()
}

// Engine returns the engine, for reading it before or after Run.
func (d *Driver) Engine() *engine.Engine { return d.engine }

// beginRound starts a round. The clocks are read once for the whole round.
func (d *Driver) beginRound() {
	d.round++
	d.now = engine.Now{At: d.clock.At(d.host.Now()), Wall: engine.TimestampOf(d.host.Wall())}
}

// handleValue handles one value from the inbox.
func (d *Driver) handleValue(v any) {
	switch v := v.(type) {
	case *submission:
		d.load.submissions++
		d.lastTicket++
		d.verdictWaiters[d.lastTicket] = v.reply
		v.Ticket, v.ExpiresIn = d.lastTicket, d.clock.At(v.deadline)-d.now.At
		d.messages.addSubmission(v.Ticket, &v.Message)
		d.handle(&v.Submit)
	case *groupSubmission:
		d.lastTicket++
		d.verdictWaiters[d.lastTicket] = v.reply
		v.Ticket = d.lastTicket
		for i := range v.Submissions {
			v.Submissions[i].ExpiresIn = d.clock.At(v.deadlines[i]) - d.now.At
			d.messages.addSubmission(v.Ticket, &v.Submissions[i].Message)
		}
		d.handle(&v.SubmitAll)
	case *permitRequest:
		d.permitWaiters[v.call] = v.reply
		d.handle(&engine.MayWrite{Call: v.call})
	case *probeReturn:
		d.probeReturned(v)
	case *idleRequest:
		d.idleWaiters = append(d.idleWaiters, v.reply)
	case *snapshotRequest:
		d.addSnapshotReader(v.reply)
	case *storeReport:
		d.handleStoreReport(v.batch, v.err)
	case doRequest:
		v()
	case engine.Event:
		d.handle(v)
	}
}

// handle gives the engine an event and carries out the effects that need not wait for the store.
func (d *Driver) handle(ev engine.Event) {
	var buf [8]engine.Effect
	free := buf[:0]
	for _, f := range d.engine.Handle(d.now, ev) {
		switch f := f.(type) {
		case *engine.Append:
			if err := d.Store.Append(f.Batch, f.Records); err != nil {
				d.refusedBatches = append(d.refusedBatches, f.Batch)
				d.storeFull = errors.Is(err, engine.ErrFull)
				continue
			}
			d.appended = f.Batch
		case *engine.Call:
			if f.RequiredBatch() > d.settled {
				d.madeInRound[f.ID] = d.round
			}
			free = d.gate.Pass(free, []engine.Effect{f})
		default:
			free = d.gate.Pass(free, []engine.Effect{f})
		}
	}
	d.carryOut(free)
	for len(d.refusedBatches) > 0 {
		batch, full := d.refusedBatches[0], d.storeFull
		d.refusedBatches = d.refusedBatches[1:]
		d.gate.Failed(batch)
		d.handle(&engine.StoreFailed{Batch: batch, Full: full})
	}
}

// flush lets the store write what this round appended and handles its result, until nothing further is appended.
func (d *Driver) flush() {
	if s, ok := d.Store.(engine.ExpiringStore); ok {
		s.Tick(d.now.Wall)
	}
	for d.Store != nil && d.appended > d.settled {
		newest := d.appended
		batch, err := d.Store.Flush()
		d.handleStoreReport(batch, err)
		if err == nil && batch < newest {
			return // the store calls Stored later
		}
	}
}

// handleStoreReport handles a report of the store: batches up to b are stored, and with an error all later ones failed.
func (d *Driver) handleStoreReport(b engine.Batch, err error) {
	if b > d.settled {
		d.settled = b
		d.handle(&engine.Stored{Batch: b})
		var buf [8]engine.Effect
		d.carryOut(d.gate.Stored(buf[:0], b))
	}
	if err == nil {
		return
	}
	d.log.Debug("store write failed", "error", err)
	last := d.appended
	for lost := d.settled + 1; lost <= last; lost++ {
		d.gate.Failed(lost)
		d.handle(&engine.StoreFailed{Batch: lost})
	}
	d.settled = max(d.settled, last)
}

// carryOut carries out effects.
func (d *Driver) carryOut(effects []engine.Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case *engine.Answer:
			d.messages.logVerdict(f)
			if r := d.verdictWaiters[f.Ticket]; r != nil {
				delete(d.verdictWaiters, f.Ticket)
				r.Put(&f.Verdict)
			}
		case *engine.Permit:
			if r := d.permitWaiters[f.Call]; r != nil {
				delete(d.permitWaiters, f.Call)
				r.Put(f.Items)
			} else {
				d.lastPermit = f.Items
			}
		case *engine.Call:
			d.startOrQueue(f)
		case *engine.Abort:
			d.Transport.Abort(f.Call)
		case *engine.CloseIdle:
			d.Transport.CloseIdle(f)
		case *engine.RemoveEndpoint:
			d.Transport.RemoveEndpoint(f)
		case *engine.Done:
			if f.Disposition != engine.Refused {
				d.load.endedMessages++
			}
			d.messages.logEnd(f)
			d.Sink.Completed(f)
		case *engine.LedgerBreach:
			d.reportBreach(f)
		case *engine.LedgerSnapshot:
			d.deliverSnapshot(f)
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

// startCall starts a call. A call that waited beyond the round that made it needs a new permit of the engine first, because
// its endpoint or its messages may have changed meanwhile.
func (d *Driver) startCall(call *engine.Call) {
	round, waited := d.madeInRound[call.ID]
	delete(d.madeInRound, call.ID)
	if !waited || round == d.round {
		d.Transport.Start(call, d)
		return
	}
	permit := d.requestPermit(call.ID)
	var skipped []engine.Outcome
	for i := range call.Items {
		if i >= len(permit) || !permit[i] {
			call.Items[i].Skip = true
			skipped = append(skipped, mootOutcome(i))
		}
	}
	if len(skipped) < len(call.Items) {
		d.Transport.Start(call, d)
	}
	if len(skipped) > 0 {
		d.handle(&engine.Ended{Call: call.ID, Outcomes: skipped})
	}
}

// requestPermit returns the engine's permit for each item of a call. It is for the driver's own goroutine.
func (d *Driver) requestPermit(id engine.CallID) []bool {
	d.lastPermit = nil
	d.handle(&engine.MayWrite{Call: id})
	return d.lastPermit
}

// finish ends the driver and answers everyone who still waits. unhandled are values from the inbox that no round has handled.
func (d *Driver) finish(unhandled []any) {
	d.handle(&engine.Stop{}) // records a step of the wall clock since the last event, which the next process could not notice
	d.flush()
	unhandled = append(unhandled, d.closeQueue()...)
	for _, v := range unhandled {
		switch v := v.(type) {
		case *submission:
			v.reply.Close()
		case *groupSubmission:
			v.reply.Close()
		case *permitRequest:
			v.reply.Close()
		case *idleRequest:
			v.reply.Put(true)
		case *snapshotRequest:
			v.reply.Close()
		case engine.Event: // still recorded if possible
			d.handle(v)
		}
	}
	d.flush()
	for _, t := range slices.Sorted(maps.Keys(d.verdictWaiters)) {
		// Its record may still get into the store, so nothing can be promised.
		d.verdictWaiters[t].Put(&engine.Verdict{Kind: engine.Unconfirmed, Reason: "stopping while the store has not answered"})
		delete(d.verdictWaiters, t)
	}
	for _, r := range d.idleWaiters {
		r.Put(true)
	}
	d.snapshots.close()
}

func takeOne(inbox host.Inbox, deadline time.Time) any {
	if list := inbox.Take(nil, deadline); len(list) > 0 {
		return list[0]
	}
	return nil
}

// inboxPool is a pool of inboxes that receive one reply at a time.
type inboxPool struct {
	host host.Host
	mu   sync.Mutex
	free []host.Inbox
}

const maxPooledInboxes = 64 // inboxes that the pool keeps

func (p *inboxPool) get() host.Inbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.free) - 1; last >= 0 {
		b := p.free[last]
		p.free = p.free[:last]
		return b
	}
	return p.host.NewInbox()
}

func (p *inboxPool) put(b host.Inbox) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) < maxPooledInboxes {
		p.free = append(p.free, b)
	}
}

func mootOutcome(item int) engine.Outcome { return engine.Outcome{Item: item, Result: control.Moot} }

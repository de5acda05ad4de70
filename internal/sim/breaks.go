package sim

import (
	"bytes"
	"io/fs"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/driver"
	"curlewmux/internal/host"
	"curlewmux/internal/journal"
	"curlewmux/internal/node"
	"curlewmux/ledger"
)

// Break is a rule that is broken on purpose, by what is put round a dispatcher's parts. Each hook is called at each start
// of a dispatcher.
type Break struct {
	Name  string
	Rule  string // the judge's name of it
	About string

	Host    func(*Dispatcher, host.Host) host.Host
	Dir     func(*Dispatcher, journal.Dir) journal.Dir
	Intake  func(*Dispatcher, engine.Intake) engine.Intake
	Listing func(*Dispatcher, engine.MembershipReceiver) engine.MembershipReceiver
	Seams   func(*Dispatcher, driver.Components) driver.Components
	Config  func(*node.Config)
	Posting func(*dice) func(ledger.Posting) []ledger.Posting // what is posted in place of what is to be: see ledger.Settings
}

// The judge's names of the rules.
const (
	missing   = "nothing goes missing"
	twice     = "no effect lands twice"
	drains    = "drains are honoured"
	returning = "a returning destination is not pushed over"
	order     = "order is kept where a class asks for it"
	waits     = "waits are heeded"

	figures = "figures add up" // the dispatcher itself says that they do not
	counted = "figures are those that clients and partners counted"
	inTime  = "a breach is found within a second"
)

// Breaks are all that can be broken on purpose.
func Breaks() []Break {
	return []Break{
		{Name: "taken-though-busy", Rule: missing, About: "a client is told that its message is taken when it is not", Intake: takenThoughBusy},
		{Name: "record-not-written", Rule: missing, About: "one message in four is taken on without its record", Seams: records(notTaken)},
		{Name: "end-not-told", Rule: missing, About: "one notice in ten is dropped", Seams: sink(notTold)},
		{Name: "folder-forgotten", Rule: missing, About: "a start finds an empty folder", Dir: emptyAtStart},
		{Name: "delivery-imagined", Rule: missing, About: "a refusal is taken for a delivery", Seams: outcomes(imagined)},

		{Name: "resend-after-doubt", Rule: twice, About: "a reset or time-out counts as never sent", Seams: outcomes(certain)},
		{Name: "attempt-not-recorded", Rule: twice, About: "attempts leave no record", Seams: records(notAttempts)},
		{Name: "wrong-call", Rule: twice, About: "an answer is given to the call that ended before it", Seams: swapped},
		{Name: "second-copy", Rule: twice, About: "one call in ten is made twice", Seams: copied},
		{Name: "deferred-in-doubt", Rule: twice, About: "a client is told to come again after a failure", Seams: sink(deferred)},
		{Name: "doubt-settled", Rule: twice, About: "an attempt in doubt is recorded as one that never ran", Seams: settled},

		{Name: "drain-unheard", Rule: drains, About: "an endpoint that leaves is taken for an active one", Listing: unheard},
		{Name: "take-over-unseen", Rule: drains, About: "starts of endpoints are not looked at", Listing: startless},
		{Name: "drain-late", Rule: drains, About: "changes of the list are heeded 2.5 s late", Listing: late},
		{Name: "addresses-kept", Rule: drains, About: "a drained endpoint's calls wait for 1.5 s before they dial", Seams: slowStart},

		{Name: "ramp-forgotten", Rule: returning, About: "a cold endpoint gets full load at once", Config: func(c *node.Config) {
			c.Settings.ColdFrom, c.Settings.WarmUp, c.Settings.TipMultiple = 1, 1, 1000
		}},
		{Name: "errors-unlearnt", Rule: returning, About: "answers with an error teach nothing of an outage", Seams: outcomes(unreadable)},
		{Name: "outage-unseen", Rule: returning, About: "refused connections and refusals teach nothing", Seams: outcomes(unlearnt)},

		{Name: "order-forgotten", Rule: order, About: "a class that asks for order gets none", Config: func(c *node.Config) {
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].InOrder = false
			}
		}},
		{Name: "rest-forgotten", Rule: order, About: "a key does not rest after doubt", Config: func(c *node.Config) { c.Settings.SettleAfterDoubt = 0 }},
		{Name: "time-out-as-error", Rule: order, About: "a time-out counts as an answer with an error", Seams: outcomes(errored)},
		{Name: "unreadable-as-error", Rule: order, About: "an answer that can't be read counts as one with an error", Seams: outcomes(errorRead)},

		{Name: "wait-dropped", Rule: waits, About: "told waits are not passed on", Seams: outcomes(noWait)},
		{Name: "wait-halved", Rule: waits, About: "half of a told wait is waited", Seams: outcomes(halfWait)},

		{Name: "taken-not-posted", Rule: figures, About: "now and then a message that is taken is not posted", Posting: posts(left, ledger.Accepted)},
		{Name: "taken-posted-twice", Rule: figures, About: "now and then it is posted twice", Posting: posts(double, ledger.Accepted)},
		{Name: "taken-for-another", Rule: figures, About: "now and then it is posted to another account", Posting: posts(elsewhere, ledger.Accepted)},
		{Name: "end-not-posted", Rule: figures, About: "now and then an end is not posted", Posting: posts(left, ledger.Delivered, ledger.Refused, ledger.Failed)},
		{Name: "end-posted-twice", Rule: figures, About: "now and then it is posted twice", Posting: posts(double, ledger.Delivered, ledger.Refused, ledger.Failed)},
		{Name: "end-for-another", Rule: figures, About: "now and then it is posted to another account", Posting: posts(elsewhere, ledger.Delivered, ledger.Refused, ledger.Failed)},
		{Name: "end-misnamed", Rule: figures, About: "now and then a delivery is posted as a failure", Posting: posts(as(ledger.Failed), ledger.Delivered)},
		{Name: "attempt-not-posted", Rule: figures, About: "now and then an attempt is not posted", Posting: posts(left, ledger.AttemptSent)},
		{Name: "attempt-posted-twice", Rule: figures, About: "now and then it is posted twice", Posting: posts(double, ledger.AttemptSent)},
		{Name: "outcome-not-posted", Rule: figures, About: "now and then how an attempt ended is not posted", Posting: posts(left, ledger.AttemptAnswered)},
		{Name: "outcome-for-another", Rule: figures, About: "now and then it is posted to another account", Posting: posts(elsewhere, ledger.AttemptAnswered)},
		{Name: "leaf-not-written", Rule: figures, About: "of every other account only the first leaf reaches the journal: figures are lost over a restart", Seams: leaves(false)},
		{Name: "leaf-of-before", Rule: figures, About: "every other account is written as it was at first", Seams: leaves(true)},
	}
}

// ---- the ledger ----

// Ways to post wrongly.
func left(ledger.Posting) []ledger.Posting     { return nil }
func double(p ledger.Posting) []ledger.Posting { return []ledger.Posting{p, p} }
func elsewhere(p ledger.Posting) []ledger.Posting {
	p.Key = ledger.Key{Class: "elsewhere"}
	return []ledger.Posting{p}
}
func as(what ledger.Entry) func(p ledger.Posting) []ledger.Posting {
	return func(p ledger.Posting) []ledger.Posting {
		p.Entry = what
		return []ledger.Posting{p}
	}
}

// posts changes one in ten of the postings of some kinds.
func posts(wrong func(ledger.Posting) []ledger.Posting, kinds ...ledger.Entry) func(*dice) func(ledger.Posting) []ledger.Posting {
	return func(d *dice) func(ledger.Posting) []ledger.Posting {
		return func(p ledger.Posting) []ledger.Posting {
			if slices.Contains(kinds, p.Entry) && d.chance(0.1) {
				return wrong(p)
			}
			return []ledger.Posting{p}
		}
	}
}

// leaves drops all that is written of every other leaf on its way to the journal, or puts its first text in its place.
func leaves(before bool) func(*Dispatcher, driver.Components) driver.Components {
	return func(d *Dispatcher, s driver.Components) driver.Components {
		dice, old, lost := stream(d.f.seed, "break", d.starts), map[uint64][]byte{}, map[uint64]bool{}
		s.Store = &store{s.Store, func(r engine.Record) engine.Record {
			l, ok := r.(*engine.RecLedgerLeaf)
			if !ok {
				return r
			}
			was, again := old[l.Number]
			if !again {
				old[l.Number], lost[l.Number] = l.Text, dice.chance(0.5)
				return r
			}
			switch {
			case !lost[l.Number] || bytes.Equal(was, l.Text):
			case before:
				d.injected()
				return &engine.RecLedgerLeaf{Number: l.Number, Text: was}
			default:
				d.injected()
				return nil
			}
			return r
		}}
		return s
	}
}

// ---- intake ----

type intake func(m *engine.Message, deadline time.Time) engine.Verdict

func (f intake) Submit(m *engine.Message, deadline time.Time) engine.Verdict { return f(m, deadline) }

func takenThoughBusy(_ *Dispatcher, next engine.Intake) engine.Intake {
	return intake(func(m *engine.Message, deadline time.Time) engine.Verdict {
		v := next.Submit(m, deadline)
		if v.Kind == engine.Busy {
			v = engine.Verdict{Kind: engine.Accepted}
		}
		return v
	})
}

// ---- listing ----

type listing func(m *engine.Members) bool

func (f listing) Members(m *engine.Members) bool { return f(m) }

func unheard(_ *Dispatcher, next engine.MembershipReceiver) engine.MembershipReceiver {
	return listing(func(m *engine.Members) bool {
		for i := range m.List {
			m.List[i].Phase = engine.Active
		}
		return next.Members(m)
	})
}

func startless(_ *Dispatcher, next engine.MembershipReceiver) engine.MembershipReceiver {
	return listing(func(m *engine.Members) bool {
		for i := range m.List {
			m.List[i].Started = 0
		}
		return next.Members(m)
	})
}

func late(d *Dispatcher, next engine.MembershipReceiver) engine.MembershipReceiver {
	return listing(func(m *engine.Members) bool {
		if m.FullList || m.Failed {
			return next.Members(m)
		}
		d.p.AfterFunc(2500*ms, func() { next.Members(m) })
		return true
	})
}

// ---- store ----

type store struct {
	engine.Store
	keep func(r engine.Record) engine.Record // nil drops it
}

func (s *store) Append(b engine.Batch, list []engine.Record) error {
	var kept []engine.Record
	for _, r := range list {
		if r = s.keep(r); r != nil {
			kept = append(kept, r)
		}
	}
	if len(kept) == 0 {
		kept = append(kept, &engine.RecNoop{})
	}
	return s.Store.Append(b, kept)
}

// records wraps the store by a filter that is made anew for each process.
func records(filter func(*dice) func(engine.Record) engine.Record) func(*Dispatcher, driver.Components) driver.Components {
	return func(d *Dispatcher, s driver.Components) driver.Components {
		s.Store = &store{s.Store, filter(stream(d.f.seed, "break", d.starts))}
		return s
	}
}

func notTaken(d *dice) func(engine.Record) engine.Record {
	gone := map[string]bool{}
	return func(r engine.Record) engine.Record {
		switch r := r.(type) {
		case *engine.RecAccepted:
			if d.chance(0.25) {
				gone[r.Message.ID] = true
				return nil
			}
		case *engine.RecNeverRan:
			return unlessGone(gone, r.ID, r)
		case *engine.RecState:
			return unlessGone(gone, r.ID, r)
		case *engine.RecPendingResult:
			return unlessGone(gone, r.ID, r)
		case *engine.RecEnded:
			return unlessGone(gone, r.ID, r)
		case *engine.RecAttempts:
			kept := *r
			kept.List = nil
			for _, a := range r.List {
				if !gone[a.ID] {
					kept.List = append(kept.List, a)
				}
			}
			if len(kept.List) == 0 {
				return nil
			}
			return &kept
		}
		return r
	}
}

func unlessGone(gone map[string]bool, id string, r engine.Record) engine.Record {
	if gone[id] {
		return nil
	}
	return r
}

func notAttempts(*dice) func(engine.Record) engine.Record {
	return func(r engine.Record) engine.Record {
		switch r.(type) {
		case *engine.RecAttempts, *engine.RecNeverRan:
			return nil
		}
		return r
	}
}

// settled records behind each attempt that it never ran.
func settled(_ *Dispatcher, s driver.Components) driver.Components {
	s.Store = &settledStore{s.Store}
	return s
}

type settledStore struct{ engine.Store }

func (s *settledStore) Append(b engine.Batch, list []engine.Record) error {
	var out []engine.Record
	for _, r := range list {
		out = append(out, r)
		if a, ok := r.(*engine.RecAttempts); ok {
			for _, at := range a.List {
				out = append(out, &engine.RecNeverRan{ID: at.ID})
			}
		}
	}
	return s.Store.Append(b, out)
}

// ---- sink ----

type sinkFunc func(d *engine.Done)

func (f sinkFunc) Completed(d *engine.Done) { f(d) }

func sink(wrap func(d *dice, next engine.Sink) engine.Sink) func(*Dispatcher, driver.Components) driver.Components {
	return func(d *Dispatcher, s driver.Components) driver.Components {
		s.Sink = wrap(stream(d.f.seed, "break", d.starts), s.Sink)
		return s
	}
}

func notTold(dice *dice, next engine.Sink) engine.Sink {
	return sinkFunc(func(d *engine.Done) {
		if !dice.chance(0.1) {
			next.Completed(d)
		}
	})
}

func deferred(_ *dice, next engine.Sink) engine.Sink {
	return sinkFunc(func(d *engine.Done) {
		if d.Disposition == engine.Failed {
			told := *d
			told.Disposition = engine.Refused
			d = &told
		}
		next.Completed(d)
	})
}

// ---- transport ----

type transport struct {
	engine.Transport
	start func(next engine.Transport, c *engine.Call, on engine.CallEvents)
}

func (t *transport) Start(c *engine.Call, on engine.CallEvents) { t.start(t.Transport, c, on) }

type callEvents struct {
	engine.CallEvents
	ended func(next engine.CallEvents, id engine.CallID, outs []engine.Outcome)
}

func (e *callEvents) Ended(id engine.CallID, outs []engine.Outcome) { e.ended(e.CallEvents, id, outs) }

// outcomes changes each outcome that a transport tells.
func outcomes(change func(o *engine.Outcome)) func(*Dispatcher, driver.Components) driver.Components {
	return func(_ *Dispatcher, s driver.Components) driver.Components {
		s.Transport = &transport{s.Transport, func(next engine.Transport, c *engine.Call, on engine.CallEvents) {
			next.Start(c, &callEvents{on, func(on engine.CallEvents, id engine.CallID, outs []engine.Outcome) {
				for i := range outs {
					change(&outs[i])
				}
				on.Ended(id, outs)
			}})
		}}
		return s
	}
}

func imagined(o *engine.Outcome) {
	if o.Result == control.Refused {
		o.Result, o.RetryAfter = control.OK, 0
	}
}

func certain(o *engine.Outcome) {
	if !o.CallOpen && (o.Result == control.TimedOut || o.Result == control.Reset) {
		o.Result = control.ConnectFailed
	}
}

func unlearnt(o *engine.Outcome) {
	if o.Result == control.ConnectFailed || o.Result == control.Refused {
		o.Result, o.RetryAfter = control.Moot, 0
	}
}

func errored(o *engine.Outcome) {
	if o.Result == control.TimedOut || o.Result == control.Reset || o.Result == control.Cancelled {
		o.Result = control.Errored
	}
}

func errorRead(o *engine.Outcome) {
	if o.Result == control.Unreadable {
		o.Result = control.Errored
	}
}

func unreadable(o *engine.Outcome) {
	if o.Result == control.Errored {
		o.Result = control.Unreadable
	}
}

func noWait(o *engine.Outcome)   { o.RetryAfter = 0 }
func halfWait(o *engine.Outcome) { o.RetryAfter /= 2 }

// swapped gives a call the outcome of the one that ended before it, where each has one message.
func swapped(_ *Dispatcher, s driver.Components) driver.Components {
	last := engine.Outcome{Result: control.OK}
	s.Transport = &transport{s.Transport, func(next engine.Transport, c *engine.Call, on engine.CallEvents) {
		single := len(c.Items) == 1
		next.Start(c, &callEvents{on, func(on engine.CallEvents, id engine.CallID, outs []engine.Outcome) {
			if single && len(outs) == 1 {
				outs[0], last = last, outs[0]
				outs[0].At = 0
			}
			on.Ended(id, outs)
		}})
	}}
	return s
}

// copied makes one call in ten twice.
func copied(d *Dispatcher, s driver.Components) driver.Components {
	dice := stream(d.f.seed, "break", d.starts)
	s.Transport = &transport{s.Transport, func(next engine.Transport, c *engine.Call, on engine.CallEvents) {
		next.Start(c, on)
		if dice.chance(0.1) {
			again := *c
			again.ID |= 1 << 60
			again.Items = append([]engine.Item(nil), c.Items...)
			next.Start(&again, deaf{len(c.Items)})
		}
	}}
	return s
}

// deaf hears nothing of a call and lets all of it be written.
type deaf struct{ items int }

func (d deaf) MayWrite(engine.CallID) []bool {
	out := make([]bool, d.items)
	for i := range out {
		out[i] = true
	}
	return out
}
func (deaf) FirstLine(engine.CallID)               {}
func (deaf) Ended(engine.CallID, []engine.Outcome) {}

// slowStart starts calls late, and asks nobody any more whether they may still be written.
func slowStart(d *Dispatcher, s driver.Components) driver.Components {
	p := d.m.Process()
	s.Transport = &transport{s.Transport, func(next engine.Transport, c *engine.Call, on engine.CallEvents) {
		if d.f.leaving[c.EndpointID] {
			p.AfterFunc(1500*ms, func() { next.Start(c, &willing{on, len(c.Items)}) })
			return
		}
		next.Start(c, on)
	}}
	return s
}

type willing struct {
	engine.CallEvents
	items int
}

func (w *willing) MayWrite(id engine.CallID) []bool { return deaf{w.items}.MayWrite(id) }

// ---- folder ----

// emptyAtStart hides what is in the folder while the journal reads it.
func emptyAtStart(_ *Dispatcher, dir journal.Dir) journal.Dir { return &emptyDir{Dir: dir} }

type emptyDir struct{ journal.Dir }

func (e *emptyDir) List() ([]string, error) {
	names, err := e.Dir.List()
	for _, n := range names {
		if err := e.Dir.Remove(n); err != nil && n == "" {
			return nil, err
		}
	}
	return nil, err
}

func (e *emptyDir) Open(string) (journal.File, error) { return nil, fs.ErrNotExist }

package engine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"curlewmux/control"
	"curlewmux/ledger"
)

// bookWorld is a world with books, whose figures are compared with the engine's tables at each event.
type bookWorld struct {
	*world
	shown, before *ledger.Snapshot
	breaches      []ledger.Breach
	figures       map[string]int
}

func runBooks(seed uint64, steps int, change func(*LedgerSettings)) (b *bookWorld, fault string) {
	b = &bookWorld{figures: map[string]int{}}
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(broken)
			if !ok {
				panic(p)
			}
			fault = f.text
		}
	}()
	newWorld(seedDice{rand.New(rand.NewPCG(seed, 5))}, true, nil, func(w *world) {
		b.world = w
		s := &LedgerSettings{ // parts are small, so that messages come and go within a sweep
			Settings: ledger.Settings{Instance: "d", MaxAccounts: 3 + int(seed%8)}, Epoch: ledger.NewEpoch(seed, 1, ledger.ReasonNoLedger, ""),
			AuditPart: 1 + int(seed%3), AuditInterval: control.Millisecond,
		}
		if change != nil {
			change(s)
		}
		w.set.Ledger, w.also = s, b.hear
	})
	for range steps {
		b.step()
		b.check()
	}
	b.finish()
	b.check()
	return b, ""
}

func (b *bookWorld) hear(f Effect) {
	switch f := f.(type) {
	case *LedgerBreach:
		if f.ResolvedAt == 0 {
			b.breaches = append(b.breaches, f.Breach)
		}
	case *LedgerSnapshot:
		b.shown = f.Snapshot
	}
}

// check compares a snapshot with what is live, and with the one before.
func (b *bookWorld) check() {
	b.handle(&RequestLedger{})
	s := b.shown
	live := map[ledger.Key]ledger.Counts{}
	for m := b.e.oldest; m != nil; m = m.behind {
		if k := m.acct.Key(); m.phase == held {
			f := live[k]
			f.Open++
			if m.maybe.set {
				f.Doubt.Open++
			}
			live[k] = f
		}
	}
	for _, c := range b.e.byCall {
		for _, it := range c.items {
			if !it.done {
				f := live[it.message.acct.Key()]
				f.Attempts.Out++
				live[it.message.acct.Key()] = f
			}
		}
	}
	for _, l := range s.Accounts {
		f := live[l.Key]
		if !b.lost && !b.reordered && (f.Open != l.Open || f.Doubt.Open != l.Doubt.Open || f.Attempts.Out != l.Attempts.Out) {
			b.fail("account %v: %d open, %d in doubt, %d out; the books have %+v", l.Key, f.Open, f.Doubt.Open, f.Attempts.Out, l.Counts)
		}
		delete(live, l.Key)
		l.Each(func(name string, v ledger.Count, _ bool) {
			b.figures[name] += int(v)
		})
	}
	if b.lost || b.reordered { // the store lost what it had told as stored
		b.before, b.breaches = nil, nil
		b.figures["lost"]++
		return
	}
	if len(live) > 0 {
		b.fail("without an account: %+v", live)
	}
	b.figures["compared"]++
	if len(b.breaches) > 0 {
		b.fail("breaches: %+v", b.breaches)
	}
	if bad := s.Check(); len(bad) > 0 {
		b.fail("snapshot: %+v", bad)
	}
	if b.before != nil {
		if d, err := ledger.Diff(b.before, s); err != nil || d.EpochChanged || len(d.Decreases) > 0 {
			b.fail("%v, %+v\n%+v\n%+v", err, d.Decreases, b.before, s)
		}
	}
	if !s.Provisional && len(b.waiting) == 0 {
		b.before = s
	}
}

func TestTheBooksAgreeWithWhatIsLiveWhateverHappens(t *testing.T) {
	t.Parallel()
	figures := map[string]int{}
	for seed := range uint64(100) {
		b, fault := runBooks(seed, 300, nil)
		if fault != "" {
			t.Fatalf("seed %d: %s", seed, fault)
		}
		for name, n := range b.figures {
			figures[name] += n
		}
	}
	t.Logf("%d states compared, %d behind a loss", figures["compared"], figures["lost"])
	for _, name := range []string{"taken", "served", "refused", "failed", "open", "attempts.answered", "attempts.refused", "attempts.silent", "attempts.out", "doubt.twice", "doubt.unsure", "doubt.open"} {
		if figures[name] == 0 {
			t.Errorf("no %s: the test proves nothing of it", name)
		}
	}
}

// Each kind of posting, left out, made twice or to a wrong account, is found by the sweep within a second.
func TestWrongPostingsAreFoundWithinASecond(t *testing.T) {
	t.Parallel()
	wrong := ledger.Key{Class: "wrong"}
	for name, tamper := range map[string]func(ledger.Posting) []ledger.Posting{
		"left out":         func(ledger.Posting) []ledger.Posting { return nil },
		"made twice":       func(p ledger.Posting) []ledger.Posting { return []ledger.Posting{p, p} },
		"to another place": func(p ledger.Posting) []ledger.Posting { return []ledger.Posting{{Key: wrong, Entry: p.Entry}} },
	} {
		for _, entry := range []ledger.Entry{ledger.Accepted, ledger.Delivered, ledger.Refused, ledger.Failed, ledger.AttemptSent, ledger.AttemptAnswered, ledger.DoubtOpened, ledger.DoubtUnresolved} {
			t.Run(fmt.Sprint(entry, " ", name), func(t *testing.T) {
				t.Parallel()
				found := 0
				for seed := uint64(0); found < 5; seed++ {
					if seed == 400 {
						t.Fatal("it was found in too few of 400 runs")
					}
					if late := errorRun(seed, entry, tamper); late == "found" {
						found++
					} else if late != "" {
						t.Fatalf("seed %d: %s", seed, late)
					}
				}
			})
		}
	}
}

// errorRun makes one wrong posting and tells whether it was found in time; "" where it did not come to that.
func errorRun(seed uint64, entry ledger.Entry, tamper func(ledger.Posting) []ledger.Posting) (out string) {
	var w *world
	var at Time
	found := false
	defer func() {
		if p := recover(); p != nil {
			out = ""
		}
	}()
	newWorld(seedDice{rand.New(rand.NewPCG(seed, 6))}, true, nil, func(v *world) {
		w = v
		w.set.Ledger = &LedgerSettings{Epoch: ledger.NewEpoch(1, 1, "", ""), Settings: ledger.Settings{InterceptPost: func(p ledger.Posting) []ledger.Posting {
			if p.Entry == entry && at == 0 && w.now.At > Epoch+control100ms {
				at = w.now.At
				return tamper(p)
			}
			return []ledger.Posting{p}
		}}}
		w.also = func(f Effect) {
			if _, ok := f.(*LedgerBreach); ok && at != 0 {
				found = true
			}
		}
	})
	boots := w.tally["restart"]
	for range 400 {
		if at == 0 {
			w.step()
			boots = w.tally["restart"]
			continue
		}
		next, _ := w.e.NextWake() // as a driver does
		if next > at+control.Second && !found {
			return fmt.Sprintf("not found a second later: %+v", w.e.books.Snapshot(0))
		}
		by := max(next-w.now.At, 1)
		w.now.At, w.now.Wall = w.now.At+by, w.now.Wall+Timestamp(by)
		w.handle(&Wake{})
		w.flush()
		if found {
			return "found"
		}
	}
	if at == 0 || boots != w.tally["restart"] {
		return ""
	}
	return "not found"
}

const control100ms = 100 * control.Millisecond

// A cut shows what the store has, and waits for what it shows.
func TestACutWaitsForWhatItShows(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.HasStore, s.Ledger = true, &LedgerSettings{Settings: ledger.Settings{Instance: "d"}, Epoch: ledger.NewEpoch(1, 1, "", "")}
	e, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	now := Now{At: Epoch, Wall: testWall}
	ask := func() *LedgerSnapshot {
		now.At++
		for _, f := range e.Handle(now, &RequestLedger{Ticket: 7}) {
			if s, ok := f.(*LedgerSnapshot); ok && s.Ticket == 7 {
				return s
			}
		}
		t.Fatal("no answer")
		return nil
	}
	if f := ask(); f.Snapshot != nil {
		t.Errorf("before the store has told what it has: %+v", f.Snapshot)
	}
	e.Handle(now, &RestoredLedger{})
	e.Handle(now, &RestoreComplete{})
	e.Handle(now, &Stored{Batch: e.last})
	e.Handle(now, &Members{Source: "s", FullList: true, List: []Member{{ID: "e", Addr: "h:1", Destination: 1, Phase: Active}}})
	e.Handle(now, &Wake{})
	m := messageOf("m0")
	m.Destination, m.Class, m.Key = 1, "free", ""
	e.Handle(now, &Submit{Ticket: 1, Message: m, ExpiresIn: control.Second})
	taken := e.last
	if f := ask(); f.Snapshot.Total.Accepted != 0 || f.RequiredBatch() < taken || f.Snapshot.Provisional {
		t.Errorf("on its way: %d taken, needs batch %d of %d", f.Snapshot.Total.Accepted, f.RequiredBatch(), taken)
	}
	e.Handle(now, &Stored{Batch: e.last})
	now.At += 10 * control.Millisecond
	var out *Call
	for _, f := range e.Handle(now, &Wake{}) {
		if c, ok := f.(*Call); ok {
			out = c
		}
	}
	e.Handle(now, &Stored{Batch: e.last})
	if f := ask(); f.Snapshot.Total.Accepted != 1 || f.Snapshot.Total.Attempts.Out != 1 || f.RequiredBatch() != 0 {
		t.Errorf("%+v needs %d", f.Snapshot.Total, f.RequiredBatch())
	}
	before := e.last
	e.Handle(now, &Ended{Call: out.ID, Outcomes: []Outcome{{Result: control.TimedOut}}}) // of which there is no record
	if f := ask(); f.Snapshot.Total.Attempts.Unanswered != 1 || f.RequiredBatch() <= before {
		t.Errorf("%+v needs %d, and %d was stored", f.Snapshot.Total, f.RequiredBatch(), before)
	}
	now.At += control.Second // the store is silent
	e.Handle(now, &Wake{})
	if f := ask(); !f.Snapshot.Provisional || f.RequiredBatch() != 0 {
		t.Errorf("with a silent store: %+v", f)
	}
}

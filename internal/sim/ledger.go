package sim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/node"
	"curlewmux/internal/vnet"
	"curlewmux/internal/wire"
	"curlewmux/ledger"
)

const (
	scrapeEvery  = 250 * ms
	compareEvery = 8 // scrapes
	foundWithin  = time.Second
)

// ledgerOf is what a dispatcher is told of its ledger; nil where the seed has none.
func (d *Dispatcher) ledgerOf() *node.Ledger {
	b := &d.f.opt.Break
	dice := stream(d.f.seed, "keeps books", d.n)
	if !d.f.script.Books || dice.chance(0.3) && b.Rule != figures {
		return nil
	}
	l := &node.Ledger{BootID: fmt.Sprint("boot ", len(d.losses)), OnBreach: d.breached}
	if b.Rule != figures && dice.chance(0.3) { // else a wrong account may be the right one
		l.MaxAccounts = dice.in(1, 8)
	}
	if b.Posting != nil {
		post := b.Posting(stream(d.f.seed, "break", d.starts))
		l.InterceptPost = func(p ledger.Posting) []ledger.Posting {
			out := post(p)
			if len(out) != 1 || out[0] != p {
				d.injected()
			}
			return out
		}
	}
	return l
}

// injected notes that an error was put into the books of this process.
func (d *Dispatcher) injected() {
	d.f.count("error put into the books")
	if d.wrong == 0 {
		d.wrong = d.f.w.Now()
		p, at := d.p, d.wrong
		d.f.w.After(foundWithin, func() { d.overdue(p, at) })
	}
}

// overdue looks whether an error was found in time. A process that was stopped meanwhile gets that time back.
func (d *Dispatcher) overdue(p *vnet.Process, at time.Duration) {
	if d.p != p || p.Dead() || d.wrong == 0 || d.wrong != at {
		return
	}
	if d.paused || d.pausedAt > at {
		d.wrong = d.f.w.Now()
		again := d.wrong
		d.f.w.After(foundWithin, func() { d.overdue(p, again) })
		return
	}
	if s := d.shown; s != nil && slices.ContainsFunc(s.Breaches, func(b ledger.Breach) bool { return b.Check == ledger.CheckStore && b.ResolvedAt == 0 }) {
		return // the same as in the process before, which is on record and stands
	}
	d.f.violation(inTime, "%s: an error that was put into its books at %v was not found", d.name, at)
	d.wrong = 0
}

// breached is told of a breach that a dispatcher found, or that has healed.
func (d *Dispatcher) breached(b ledger.Breach) {
	if d.wrong > 0 && b.ResolvedAt == 0 {
		d.f.count("breach found")
		d.wrong = -1 // it stays found: what comes on top may cancel it
	}
	if b.ResolvedAt == 0 && !d.lostSome(&b) {
		d.f.violation(figures, "%s: %v: %s: books %d, counted %d", d.name, b.Key, b.Check, b.Booked, b.Counted)
	}
}

// lostSome tells that a breach is of messages that a power failure took: then it is true.
func (d *Dispatcher) lostSome(b *ledger.Breach) bool {
	if len(d.losses) == 0 || b.Check != ledger.CheckRestart && b.Check != ledger.CheckLiveDoubt {
		return false
	}
	d.f.count("what a power failure took is told as a breach")
	return true
}

// tally is what is known from outside of the messages of one id.
type tally struct {
	key       ledger.Key
	handIns   int
	taken     time.Duration // its client was told so then, 0: never; the same for what has time.Duration below
	refused   int           // hand-ins that its client was told of as not taken
	unclear   bool          // it may have had a further life, or was handed in by somebody else
	served    bool          // an endpoint's answer says so
	deferred  time.Duration // a notice said so
	undeliver time.Duration
}

func (f *Farm) tallyOf(id string) *tally {
	t := f.tallies[id]
	if t == nil {
		t = &tally{}
		f.tallies[id] = t
	}
	return t
}

// reckon notes what concerns the figures.
func (f *Farm) reckon(e judge.Event) {
	switch e := e.(type) {
	case judge.HandIn:
		t := f.tallyOf(e.ID)
		t.handIns++
		if m := f.byID[e.ID]; m != nil {
			t.key = ledger.Key{Class: wire.Plain(m.Class.Name), Destination: m.Dest, Tenant: wire.Plain(m.Tenant)}
		}
	case judge.ClientAnswer:
		switch t := f.tallyOf(e.ID); e.Status {
		case 200, 202:
			t.taken = cmp.Or(t.taken, f.w.Now())
		case 429, 503:
			t.refused++
		}
	case judge.Notice:
		t := f.tallyOf(e.ID)
		if e.Deferred {
			t.deferred = cmp.Or(t.deferred, f.w.Now())
		} else {
			t.undeliver = cmp.Or(t.undeliver, f.w.Now())
		}
	}
}

// bounds are what an account's figures may be by what is known from outside.
type bounds struct{ least, most ledger.Counts }

// add adds what is known of one id. What became known after the moment given need not be in the figures yet.
func (b *bounds) add(t *tally, at time.Duration, over bool) {
	may := t.taken > 0 || t.refused < t.handIns
	if !may && !t.unclear {
		return
	}
	lives := ledger.Count(1)
	if t.unclear {
		lives = 8
	}
	b.most.Accepted += lives
	if t.taken > 0 && t.taken < at {
		b.least.Accepted++
	}
	if t.served {
		b.most.Delivered += lives
		if over && t.taken > 0 && t.deferred == 0 && t.undeliver == 0 && !t.unclear {
			b.least.Delivered++
		}
	}
	if !over || t.deferred > 0 || t.unclear {
		b.most.Refused += lives
	}
	if !over || t.undeliver > 0 || t.unclear {
		b.most.Failed += lives
	}
	if t.deferred > 0 && t.deferred < at {
		b.least.Refused++
	}
	if t.undeliver > 0 && t.undeliver < at {
		b.least.Failed++
	}
}

// scrape asks a dispatcher for its figures now and then, for as long as a process of it runs.
func (d *Dispatcher) scrape(p *vnet.Process) {
	if d.p != p || p.Dead() {
		return
	}
	d.f.w.After(scrapeEvery, func() { d.scrape(p) })
	d.scrapes++
	if d.ready && !d.paused {
		all := d.scrapes%compareEvery == 0
		at := d.f.w.Now() - 10*ms // a cut may be as old
		d.node.LedgerAsync(func(s *ledger.Snapshot) {
			if d.scraped(s); all && !s.Provisional && d.f.opt.Break.Rule != figures {
				d.compare(s, at, false)
			}
		})
	}
}

// scraped takes up a snapshot.
func (d *Dispatcher) scraped(s *ledger.Snapshot) {
	f := d.f
	f.count("scrape")
	if f.opt.Break.Rule == figures {
		return // the dispatcher itself is to find it
	}
	bad := slices.DeleteFunc(s.Check(), func(b ledger.Breach) bool { return d.lostSome(&b) })
	if len(bad) > 0 {
		f.violation(figures, "%s: in a scrape: %+v", d.name, bad[0])
	}
	if old := d.shown; old == nil && len(d.losses) > 0 || old != nil && old.Epoch != s.Epoch {
		f.count("an epoch begins anew")
		d.anew = true
	} else if old != nil && !old.Provisional {
		switch diff, err := ledger.Diff(old, s); {
		case err != nil:
			f.violation(figures, "%s: %v", d.name, err)
		case len(diff.Decreases) > 0:
			f.violation(figures, "%s: figures step back: %+v", d.name, diff.Decreases[0])
		}
	}
	d.shown = s
}

// compare compares figures with what clients and partners counted, account by account. What they can't know widens what
// may be. Over says that all has ended.
func (d *Dispatcher) compare(s *ledger.Snapshot, at time.Duration, over bool) {
	f := d.f
	if d.anew { // part of the messages was counted in another epoch
		return
	}
	list, other := map[ledger.Key]*bounds{}, false
	for _, a := range s.Accounts {
		list[a.Key] = &bounds{}
		other = other || a.Key.Other
	}
	for id, t := range f.tallies {
		m := f.byID[id]
		if m == nil || m.Dispatcher != d.n {
			continue
		}
		b := list[t.key]
		if b == nil && other {
			b = list[ledger.Key{Other: true}]
		}
		switch {
		case b != nil:
			b.add(t, at, over)
		case t.taken > 0 && t.taken < at:
			f.violation(counted, "%s: %s is in no account", d.name, id)
		}
	}
	for _, a := range s.Accounts {
		b := list[a.Key]
		same := true
		for _, c := range []struct {
			name              string
			least, most, have ledger.Count
		}{
			{"taken", b.least.Accepted, b.most.Accepted, a.Accepted}, {"served", b.least.Delivered, b.most.Delivered, a.Delivered},
			{"refused", b.least.Refused, b.most.Refused, a.Refused}, {"failed", b.least.Failed, b.most.Failed, a.Failed},
		} {
			if c.have < c.least || c.have > c.most {
				f.violation(counted, "%s: %v: %d %s; clients and partners counted %d to %d", d.name, a.Key, c.have, c.name, c.least, c.most)
			}
			same = same && c.least == c.most
		}
		switch {
		case !over:
		case a.Open > 0:
			f.violation(counted, "%s: %v: %d open, though all has ended", d.name, a.Key, a.Open)
		case same:
			f.count("an account whose clients know all")
		default:
			f.count("an account whose clients can't know all")
		}
	}
	if over {
		f.count("figures compared at the end")
	}
}

// lastCut compares what an idle dispatcher shows in the end.
func (d *Dispatcher) lastCut() {
	d.node.LedgerAsync(func(s *ledger.Snapshot) {
		d.scraped(s)
		d.final = s
		if d.f.opt.Break.Rule != figures {
			d.compare(s, d.f.w.Now(), true)
		}
	})
}

// leafs compares what a folder at rest has with what its dispatcher showed last.
func (d *Dispatcher) leafs(list []ledger.Leaf) {
	if d.final == nil || d.f.opt.Break.Rule == figures {
		return
	}
	l, err := ledger.Restore(ledger.Settings{Instance: d.name}, list, ledger.Epoch{})
	if err != nil {
		d.f.violation(figures, "%s: the folder's ledger: %v", d.name, err)
		return
	}
	if s := l.Snapshot(d.final.Wall); s.Total != d.final.Total || s.Epoch != d.final.Epoch {
		d.f.violation(figures, "%s: the folder has %+v of %+v, and it showed %+v of %+v", d.name, s.Total, s.Epoch, d.final.Total, d.final.Epoch)
	}
}

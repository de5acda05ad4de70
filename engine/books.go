package engine

import (
	"curlewmux/control"
	"curlewmux/ledger"
)

// LedgerSettings has an engine keep figures that add up, and check them against its own tables.
type LedgerSettings struct {
	ledger.Settings
	Epoch ledger.Epoch // which begins where the store has no ledger, or one that can't be gone on with

	AuditPart     int  // messages that one part of a sweep counts at most, 0 for 1,000; there is one part a tick at most
	AuditInterval Time // from the begin of a sweep to that of the next, 0 for 300 ms; there is none while nothing changes

	// StoredLeaf, where set, is asked for what the store has of a leaf, nil for none. It is called on the engine's goroutine for
	// leaves whose batch is stored, and must not block.
	StoredLeaf func(number uint64) []byte
}

const (
	sweepPart  = 1000
	sweepEvery = 300 * control.Millisecond
	sweepLeast = 100                      // messages of a part
	sweepParts = 32                       // about, where they are no larger than allowed
	mostOut    = 1000                     // calls out that a sweep looks at; beyond, their items are not counted
	leafGap    = 20 * control.Millisecond // between batches that hold nothing but leaves
	leavesEach = 64                       // accounts that are written in a batch at most
)

// books are the ledger of an engine, and how far a sweep has come. All posting is done in this file, called from where a
// message is taken, admitted or not, moved and ended (message.go), and where an attempt begins and ends (call.go).
type books struct {
	set LedgerSettings
	*ledger.Ledger
	anew  string  // why the epoch that the store had ends
	open  bool    // what the store had is known: before that nothing may be written there
	wrote []Batch // by leaf: of its newest text
	lone  Time    // when a batch held nothing but leaves, last
	force bool    // leaves are written in this event, whatever else is
	gone  uint64  // messages that came into what is open, or left it

	sweeping bool
	round    uint32
	cursor   *message // the next to be counted
	stage    int      // behind the messages: what is compared next
	began    Time
	parted   Time
	seen     [2]uint64 // gone and posts, when the newest sweep began
}

// Stages of a sweep behind the messages.
const (
	sweepMessages = iota
	sweepCalls
	sweepLeaves
)

func newBooks(s *LedgerSettings) (*books, error) {
	if s == nil {
		return nil, nil
	}
	b := &books{set: *s}
	if b.set.AuditPart <= 0 {
		b.set.AuditPart = sweepPart
	}
	if b.set.AuditInterval <= 0 {
		b.set.AuditInterval = sweepEvery
	}
	var err error
	b.Ledger, err = ledger.New(s.Settings, s.Epoch)
	return b, err
}

func (m *Message) account() ledger.Key {
	return ledger.Key{Class: m.Class, Destination: m.Destination, Tenant: m.Tenant}
}

// ---- messages ----

// bookTaking notes that a message is on its way into the store. It counts once it is there.
func (e *Engine) bookTaking(m *message) {
	if e.books == nil {
		return
	}
	m.acct = e.books.Account(m.Message.account())
	e.ofTaking(m, e.books.PostPending)
}

// bookTaken posts a message that is in the store.
func (e *Engine) bookTaken(m *message) {
	if e.books == nil {
		return
	}
	e.ofTaking(m, e.books.ConfirmPending)
	if m.from != nil {
		e.books.CompareTransfers()
	}
	e.books.came(m)
}

// bookForgone forgets a message that never got into the store.
func (e *Engine) bookForgone(m *message) {
	if e.books != nil {
		e.ofTaking(m, e.books.DropPending)
	}
}

// ofTaking calls do with all that is posted for a message that is taken.
func (e *Engine) ofTaking(m *message, do func(*ledger.Account, ledger.Entry)) {
	if m.from == nil {
		do(m.acct, ledger.Accepted)
	} else { // the one that it was has ended: it leaves that end
		do(e.books.Account(*m.from), ledger.Reopened)
		do(m.acct, ledger.MovedIn)
	}
	if m.maybe.set {
		do(m.acct, ledger.DoubtOpened)
	}
}

// bookEnd posts the end of a message that was held.
func (e *Engine) bookEnd(m *message, how Disposition) {
	if e.books == nil {
		return
	}
	end, doubt := ledger.Failed, ledger.DoubtUnresolved
	switch how {
	case Delivered:
		end, doubt = ledger.Delivered, ledger.DoubtTwice
	case Closed:
		end = ledger.Delivered
	case Refused, Withdrawn:
		end = ledger.Refused
	}
	e.books.Post(m.acct, end)
	switch {
	case m.maybe.set:
		e.books.Post(m.acct, doubt)
	case how != Delivered && m.doubtful().set: // its attempt is out still
		e.books.Post(m.acct, ledger.DoubtOpened)
		e.books.Post(m.acct, ledger.DoubtUnresolved)
	}
}

// bookDoubt posts that a message may have taken effect from now on, where an outcome says so; first tells that none said
// so before.
func (e *Engine) bookDoubt(m *message, first bool) {
	if e.books != nil && first && m.maybe.set && m.phase == held {
		e.books.Post(m.acct, ledger.DoubtOpened)
		if b := e.books; b.sweeping && m.swept == b.round {
			m.acct.CountDoubt(1)
		}
	}
}

// ---- attempts ----

func (e *Engine) bookSent(it *item) {
	if e.books != nil {
		e.books.Post(it.message.acct, ledger.AttemptSent)
	}
}

func (e *Engine) bookOutcome(it *item, r control.Result) {
	if e.books == nil {
		return
	}
	how := ledger.AttemptAnswered
	switch {
	case control.NeverRan(r):
		how = ledger.AttemptRefused
	case r == control.TimedOut, r == control.Reset, r == control.Cancelled:
		how = ledger.AttemptUnanswered
	}
	e.books.Post(it.message.acct, how)
}

// ---- the store ----

// restoreLedger takes up what the store had.
func (e *Engine) restoreLedger(r *RestoredLedger) {
	b := e.books
	if b == nil {
		return
	}
	l, err := ledger.Restore(b.set.Settings, r.Leaves, b.set.Epoch)
	if err != nil {
		e.effect(&Note{Fault: true, Text: "the ledger in the store can't be read, and begins anew: " + err.Error()})
		b.anew = ledger.ReasonDamage
		return
	}
	if b.Ledger, b.anew = l, r.ResetReason; r.ResetReason == "" && l.Rebooted() {
		b.anew = ledger.ReasonReboot
	}
	l.SetWallTime(int64(e.now.Wall))
}

// restoreBooks compares the ledger that the store had with the messages that it had, or begins one with these.
func (e *Engine) restoreBooks() {
	b := e.books
	if b == nil {
		return
	}
	b.open = true
	b.SetWallTime(int64(e.now.Wall))
	b.BeginAudit()
	find := func() {
		for _, r := range e.restoring {
			r.acct = b.Account(r.Message.account())
		}
	}
	find()
	if b.Restored() {
		for _, r := range e.restoring {
			if a := r.acct; r.Pending == nil {
				a.CountOpen(1)
				if r.DoubtAt != 0 {
					a.CountDoubt(1)
				}
			}
		}
		b.ReconcileRestart()
		if b.anew == "" {
			return
		}
	}
	if b.anew != "" {
		next := b.set.Epoch
		next.Reason = b.anew
		if l, err := b.NextEpoch(b.set.Settings, next); err == nil { // the settings were good before
			b.Ledger = l
			b.SetWallTime(int64(e.now.Wall))
			find()
		}
	}
	for _, r := range e.restoring {
		if a := r.acct; r.Pending == nil {
			b.Post(a, ledger.CarriedOver)
			if r.DoubtAt != 0 {
				b.Post(a, ledger.DoubtOpened)
			}
		}
	}
}

// keepBooks puts what was posted into the batch of this event, and tells of breaches. What comes without other records
// waits a moment for some.
func (e *Engine) keepBooks() {
	b := e.books
	if b == nil {
		return
	}
	for _, f := range b.TakeNewBreaches() {
		e.effect(&LedgerBreach{Breach: f})
	}
	if !e.set.HasStore || !b.open || !b.Dirty() {
		return
	}
	if len(e.records) == 0 && (e.down || !b.force && e.now.At < b.lone+leafGap) {
		return
	}
	if len(e.records) == 0 {
		b.lone = e.now.At
	}
	for !b.WriteLeaves(leavesEach, func(l ledger.Leaf) {
		e.records = append(e.records, &RecLedgerLeaf{Number: l.Number, Text: l.Text})
		for uint64(len(b.wrote)) <= l.Number {
			b.wrote = append(b.wrote, 0)
		}
		b.wrote[l.Number] = e.last + 1
	}) && b.force {
	}
	b.force = false
}

// soilLeaves has those leaves written anew whose newest text is in one of the batches given.
func (e *Engine) soilLeaves(from, to Batch) {
	if e.books == nil {
		return
	}
	for n, b := range e.books.wrote {
		if b >= from && b <= to {
			e.books.wrote[n] = 0
			e.books.MarkUnwritten(uint64(n))
		}
	}
}

// ask answers with a snapshot, once the store has what it shows.
func (e *Engine) ask(t Ticket) {
	b := e.books
	if b == nil || e.set.HasStore && !b.open { // what an earlier process counted is not known yet
		e.effect(&LedgerSnapshot{Ticket: t})
		return
	}
	s := b.Snapshot(int64(e.now.Wall))
	b.force = !e.down
	e.keepBooks()
	f := &LedgerSnapshot{Ticket: t, Snapshot: s}
	if e.set.HasStore {
		if s.Provisional = e.down || b.Dirty(); !s.Provisional {
			if n := len(e.pending); n > 0 {
				f.needs = e.pending[n-1].no
			}
			f.needs = max(f.needs, e.needs())
		}
	}
	e.effect(f)
}

// ---- the sweep ----

// came notes that a message is among the open ones from now on.
func (b *books) came(m *message) {
	b.gone++
	if b.sweeping && m.swept == b.round {
		m.acct.CountOpen(1)
		if m.maybe.set {
			m.acct.CountDoubt(1)
		}
	}
}

// leaves notes that an open message is none any more. It is called where the table of messages changes.
func (b *books) leaves(m *message) {
	if b == nil || m.phase != held {
		return
	}
	b.gone++
	if b.sweeping && m.swept == b.round {
		m.acct.CountOpen(-1)
		if m.maybe.set {
			m.acct.CountDoubt(-1)
		}
	}
}

// added has the sweep go on with a message that came while it stood behind the last one, as those there have gone.
func (b *books) added(m *message) {
	if b != nil && b.sweeping && b.stage == sweepMessages && b.cursor == nil {
		b.cursor = m
	}
}

// removed keeps the sweep going past a message that is no longer there.
func (b *books) removed(m *message) {
	if b != nil && b.cursor == m {
		b.cursor = m.behind
	}
}

// wanted tells when the sweep goes on.
func (b *books) wanted(tick Time) (Time, bool) {
	switch {
	case b.sweeping:
		return b.parted + tick, true
	case b.seen != [2]uint64{b.gone, b.PostingCount()}:
		return b.began + b.set.AuditInterval, true
	}
	return 0, false
}

// sweep counts a part of what is live.
func (e *Engine) sweep() {
	b := e.books
	if b == nil {
		return
	}
	at, ok := b.wanted(e.set.Control.Tick)
	if !ok || e.now.At < at {
		return
	}
	b.parted = e.now.At
	if !b.sweeping {
		b.sweeping, b.stage, b.began, b.cursor = true, sweepMessages, e.now.At, e.oldest
		b.seen = [2]uint64{b.gone, b.PostingCount()}
		b.round++
		b.BeginAudit()
	}
	switch b.stage {
	case sweepMessages:
		for range min(b.set.AuditPart, max(sweepLeast, len(e.byNum)/sweepParts)) {
			m := b.cursor
			if m == nil {
				break
			}
			if m.swept = b.round; m.phase == held {
				m.acct.CountOpen(1)
				if m.maybe.set {
					m.acct.CountDoubt(1)
				}
			}
			b.cursor = m.behind
		}
		if b.cursor == nil { // who comes now comes behind all that was counted
			b.FinishAudit()
			b.CompareDispositions(e.ends[Delivered]+e.ends[Closed], e.ends[Refused]+e.ends[Withdrawn], e.ends[Failed])
			b.stage = sweepCalls
		}
	case sweepCalls:
		if len(e.byCall) <= mostOut {
			for _, c := range e.byCall {
				for _, it := range c.items {
					if !it.done {
						it.message.acct.CountOut()
					}
				}
			}
			b.FinishAttemptAudit()
		}
		b.stage = sweepLeaves
		if b.set.StoredLeaf == nil || !e.set.HasStore {
			b.sweeping = false
		}
	case sweepLeaves:
		for i := range b.Accounts() {
			b.CompareStored(i, func(n uint64) bool {
				return n < uint64(len(b.wrote)) && b.wrote[n] > 0 && b.wrote[n] <= e.confirmed
			}, b.set.StoredLeaf)
		}
		b.sweeping = false
	}
}

// booksDue is when the books want an event.
func (e *Engine) booksDue() (at Time, ok bool) {
	b := e.books
	if b == nil {
		return 0, false
	}
	at, ok = b.wanted(e.set.Control.Tick)
	if e.set.HasStore && b.open && !e.down && b.Dirty() && (!ok || b.lone+leafGap < at) {
		return b.lone + leafGap, true
	}
	return at, ok
}

package engine

import (
	"curlewmux/control"
	"curlewmux/ledger"
)

// LedgerSettings configure the ledger, whose counts an engine keeps and audits against its own tables.
type LedgerSettings struct {
	ledger.Settings
	Epoch ledger.Epoch // begins if the store has no ledger, or one that can't be continued

	AuditPart     int  // maximum number of messages in one part of an audit, 0 for 1,000; there is at most one part per tick
	AuditInterval Time // from the start of an audit to that of the next, 0 for 300 ms; there is none while nothing changes

	// StoredLeaf, if set, returns the stored text of a leaf, nil for none. It is called on the engine's goroutine, for
	// leaves whose batch is stored, and must not block.
	StoredLeaf func(number uint64) []byte
}

const (
	sweepPart  = 1000
	sweepEvery = 300 * control.Millisecond
	sweepLeast = 100                      // messages per part, at least
	sweepParts = 32                       // approximate number of parts, while these are within the maximum
	mostOut    = 1000                     // with more calls out, an audit does not count their items
	leafGap    = 20 * control.Millisecond // between batches that hold only leaves
	leavesEach = 64                       // maximum number of accounts per batch
)

// books holds the ledger of an engine and the progress of its audit. All postings are made in this file. It is called
// where a message is accepted, stored or rejected, resent and ended (message.go), and where an attempt begins and ends
// (call.go).
type books struct {
	set LedgerSettings
	*ledger.Ledger
	anew  string  // why the stored epoch ends, "" if it continues
	open  bool    // the stored ledger has been restored: before that nothing may be written to the store
	wrote []Batch // by leaf: the batch of its newest text
	lone  Time    // time of the last batch that held only leaves
	force bool    // write leaves in this event, even without other records
	gone  uint64  // number of messages that became open or ceased to be

	sweeping bool
	round    uint32
	cursor   *message // the next message to count
	stage    int      // what is compared next
	began    Time
	parted   Time
	seen     [2]uint64 // message changes and postings at the start of the last audit
}

// Stages of an audit.
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

// bookTaking registers the postings of a message that is being written to the store. They count once it is stored.
func (e *Engine) bookTaking(m *message) {
	if e.books == nil {
		return
	}
	m.acct = e.books.Account(m.Message.account())
	e.ofTaking(m, e.books.PostPending)
}

// bookTaken posts a message that was accepted and is in the store.
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

// bookForgone drops the postings of a message that never got into the store.
func (e *Engine) bookForgone(m *message) {
	if e.books != nil {
		e.ofTaking(m, e.books.DropPending)
	}
}

// ofTaking calls do with each posting for the acceptance of a message.
func (e *Engine) ofTaking(m *message, do func(*ledger.Account, ledger.Entry)) {
	if m.from == nil {
		do(m.acct, ledger.Accepted)
	} else { // resent: the undelivered message leaves the account in which it ended
		do(e.books.Account(*m.from), ledger.Reopened)
		do(m.acct, ledger.MovedIn)
	}
	if m.maybe.set {
		do(m.acct, ledger.DoubtOpened)
	}
}

// bookEnd posts the end of an open message.
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
	case how != Delivered && m.doubtful().set: // its attempt is still out
		e.books.Post(m.acct, ledger.DoubtOpened)
		e.books.Post(m.acct, ledger.DoubtUnresolved)
	}
}

// bookDoubt posts that a message is in doubt from now on, if its latest outcome left it so. first says that it was not in
// doubt before that outcome.
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

// restoreLedger restores the ledger that the store had.
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

// restoreBooks audits the restored ledger against the restored messages, or begins a new epoch with these messages.
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
		if l, err := b.NextEpoch(b.set.Settings, next); err == nil { // the settings were valid before
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

// keepBooks adds changed leaves to the batch of this event and reports breaches. Without other records in the batch, leaves
// wait a short time for some.
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

// soilLeaves marks the leaves whose newest text is in one of these batches to be rewritten.
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

// ask answers with a snapshot, which waits until the store has the counts it shows.
func (e *Engine) ask(t Ticket) {
	b := e.books
	if b == nil || e.set.HasStore && !b.open { // the counts of earlier processes are not known yet
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

// ---- the audit ----

// came notes that a message became open.
func (b *books) came(m *message) {
	b.gone++
	if b.sweeping && m.swept == b.round {
		m.acct.CountOpen(1)
		if m.maybe.set {
			m.acct.CountDoubt(1)
		}
	}
}

// leaves notes that a message ceases to be open. It is called before the table of messages changes.
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

// added continues the audit with a new message if the cursor ran off the list because all messages left were removed.
func (b *books) added(m *message) {
	if b != nil && b.sweeping && b.stage == sweepMessages && b.cursor == nil {
		b.cursor = m
	}
}

// removed moves the audit's cursor past a message that is being removed.
func (b *books) removed(m *message) {
	if b != nil && b.cursor == m {
		b.cursor = m.behind
	}
}

// wanted returns when the next part of an audit, or the next audit, is due.
func (b *books) wanted(tick Time) (Time, bool) {
	switch {
	case b.sweeping:
		return b.parted + tick, true
	case b.seen != [2]uint64{b.gone, b.PostingCount()}:
		return b.began + b.set.AuditInterval, true
	}
	return 0, false
}

// sweep runs one part of an audit.
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
		if b.cursor == nil { // all were counted; messages added from now on are counted as they come
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

// booksDue returns when the ledger wants an event.
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

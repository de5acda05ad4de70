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
	defaultAuditPart     = 1000
	defaultAuditInterval = 300 * control.Millisecond
	minAuditPart         = 100                      // messages per part, at least
	maxAuditParts        = 32                       // approximate number of parts of an audit, unless they would exceed AuditPart
	maxAuditedCalls      = 1000                     // with more calls out, an audit does not count their items
	leafInterval         = 20 * control.Millisecond // between batches that hold only leaves
	maxAccountsPerBatch  = 64                       // maximum number of accounts per batch
)

// ledgerState holds the ledger of an engine and the progress of its audit. All postings are made in this file. Its
// functions are called where a message is accepted, stored or rejected, resent and ended (message.go), and where an
// attempt begins and ends (call.go).
type ledgerState struct {
	settings LedgerSettings
	*ledger.Ledger
	resetReason       string  // why the stored epoch ends, "" if it continues
	restored          bool    // the stored ledger has been restored: before that nothing may be written to the store
	leafBatches       []Batch // by leaf: the batch of its newest text
	lastLeafOnlyBatch Time    // time of the last batch that held only leaves
	writeLeaves       bool    // write leaves in this event, even without other records
	messageChanges    uint64  // number of messages that became open or ceased to be open

	auditing       bool
	auditRound     uint32
	cursor         *message // the next message to count
	auditStage     int      // the comparison to make next
	auditStarted   Time
	lastAuditPart  Time
	auditedChanges [2]uint64 // message changes and postings at the start of the last audit
}

// Stages of an audit.
const (
	auditMessages = iota
	auditCalls
	auditLeaves
)

func newLedgerState(s *LedgerSettings) (*ledgerState, error) {
	if s == nil {
		return nil, nil
	}
	b := &ledgerState{settings: *s}
	if b.settings.AuditPart <= 0 {
		b.settings.AuditPart = defaultAuditPart
	}
	if b.settings.AuditInterval <= 0 {
		b.settings.AuditInterval = defaultAuditInterval
	}
	var err error
	b.Ledger, err = ledger.New(s.Settings, s.Epoch)
	return b, err
}

func (m *Message) ledgerKey() ledger.Key {
	return ledger.Key{Class: m.Class, Destination: m.Destination, Tenant: m.Tenant}
}

// awaitAcceptance registers the postings of a message that is being written to the store. They count once it is stored.
func (e *Engine) awaitAcceptance(m *message) {
	if e.ledger == nil {
		return
	}
	m.ledgerAccount = e.ledger.Account(m.Message.ledgerKey())
	e.eachAcceptancePosting(m, e.ledger.PostPending)
}

// postAcceptance posts a message that was accepted and is in the store.
func (e *Engine) postAcceptance(m *message) {
	if e.ledger == nil {
		return
	}
	e.eachAcceptancePosting(m, e.ledger.ConfirmPending)
	if m.resentFrom != nil {
		e.ledger.CompareTransfers()
	}
	e.ledger.messageOpened(m)
}

// dropAcceptance drops the postings of a message that never got into the store.
func (e *Engine) dropAcceptance(m *message) {
	if e.ledger != nil {
		e.eachAcceptancePosting(m, e.ledger.DropPending)
	}
}

// eachAcceptancePosting calls do with each posting for the acceptance of a message.
func (e *Engine) eachAcceptancePosting(m *message, do func(*ledger.Account, ledger.Entry)) {
	if m.resentFrom == nil {
		do(m.ledgerAccount, ledger.Accepted)
	} else { // resent: the undelivered message leaves the account in which it ended
		do(e.ledger.Account(*m.resentFrom), ledger.Reopened)
		do(m.ledgerAccount, ledger.MovedIn)
	}
	if m.firstDoubt.set {
		do(m.ledgerAccount, ledger.DoubtOpened)
	}
}

// postEnd posts the end of an open message.
func (e *Engine) postEnd(m *message, disposition Disposition) {
	if e.ledger == nil {
		return
	}
	end, doubt := ledger.Failed, ledger.DoubtUnresolved
	switch disposition {
	case Delivered:
		end, doubt = ledger.Delivered, ledger.DoubtTwice
	case Closed:
		end = ledger.Delivered
	case Refused, Withdrawn:
		end = ledger.Refused
	}
	e.ledger.Post(m.ledgerAccount, end)
	switch {
	case m.firstDoubt.set:
		e.ledger.Post(m.ledgerAccount, doubt)
	case disposition != Delivered && m.firstPossibleRun().set: // its attempt is still out
		e.ledger.Post(m.ledgerAccount, ledger.DoubtOpened)
		e.ledger.Post(m.ledgerAccount, ledger.DoubtUnresolved)
	}
}

// postDoubt posts that a message is in doubt from now on, if its latest outcome left it so. first says that it was not in
// doubt before that outcome.
func (e *Engine) postDoubt(m *message, first bool) {
	if e.ledger != nil && first && m.firstDoubt.set && m.phase == dispatching {
		e.ledger.Post(m.ledgerAccount, ledger.DoubtOpened)
		if b := e.ledger; b.auditing && m.auditRound == b.auditRound {
			m.ledgerAccount.CountDoubt(1)
		}
	}
}

func (e *Engine) postSent(it *item) {
	if e.ledger != nil {
		e.ledger.Post(it.message.ledgerAccount, ledger.AttemptSent)
	}
}

func (e *Engine) postOutcome(it *item, r control.Result) {
	if e.ledger == nil {
		return
	}
	how := ledger.AttemptAnswered
	switch {
	case control.NeverRan(r):
		how = ledger.AttemptRefused
	case r == control.TimedOut, r == control.Reset, r == control.Cancelled:
		how = ledger.AttemptUnanswered
	}
	e.ledger.Post(it.message.ledgerAccount, how)
}

// restoreLedger restores the ledger that the store had.
func (e *Engine) restoreLedger(r *RestoredLedger) {
	state := e.ledger
	if state == nil {
		return
	}
	l, err := ledger.Restore(state.settings.Settings, r.Leaves, state.settings.Epoch)
	if err != nil {
		e.effect(&Note{Fault: true, Text: "the ledger in the store can't be read; a new epoch begins: " + err.Error()})
		state.resetReason = ledger.ReasonDamage
		return
	}
	if state.Ledger, state.resetReason = l, r.ResetReason; r.ResetReason == "" && l.Rebooted() {
		state.resetReason = ledger.ReasonReboot
	}
	l.SetWallTime(int64(e.now.Wall))
}

// reconcileLedger audits the restored ledger against the restored messages, or begins a new epoch with these messages.
func (e *Engine) reconcileLedger() {
	state := e.ledger
	if state == nil {
		return
	}
	state.restored = true
	state.SetWallTime(int64(e.now.Wall))
	state.BeginAudit()
	find := func() {
		for _, r := range e.restoring {
			r.account = state.Account(r.Message.ledgerKey())
		}
	}
	find()
	if state.Restored() {
		for _, r := range e.restoring {
			if a := r.account; r.Pending == nil {
				a.CountOpen(1)
				if r.DoubtAt != 0 {
					a.CountDoubt(1)
				}
			}
		}
		state.ReconcileRestart()
		if state.resetReason == "" {
			return
		}
	}
	if state.resetReason != "" {
		next := state.settings.Epoch
		next.Reason = state.resetReason
		if l, err := state.NextEpoch(state.settings.Settings, next); err == nil { // the settings were valid before
			state.Ledger = l
			state.SetWallTime(int64(e.now.Wall))
			find()
		}
	}
	for _, r := range e.restoring {
		if a := r.account; r.Pending == nil {
			state.Post(a, ledger.CarriedOver)
			if r.DoubtAt != 0 {
				state.Post(a, ledger.DoubtOpened)
			}
		}
	}
}

// recordLedger adds changed leaves to the batch of this event and reports breaches. Without other records in the
// batch, leaves wait up to leafInterval for some.
func (e *Engine) recordLedger() {
	state := e.ledger
	if state == nil {
		return
	}
	for _, f := range state.TakeNewBreaches() {
		e.effect(&LedgerBreach{Breach: f})
	}
	if !e.settings.HasStore || !state.restored || !state.Dirty() {
		return
	}
	if len(e.records) == 0 && (e.storeDown || !state.writeLeaves && e.now.At < state.lastLeafOnlyBatch+leafInterval) {
		return
	}
	if len(e.records) == 0 {
		state.lastLeafOnlyBatch = e.now.At
	}
	for !state.WriteLeaves(maxAccountsPerBatch, func(l ledger.Leaf) {
		e.records = append(e.records, &RecLedgerLeaf{Number: l.Number, Text: l.Text})
		for uint64(len(state.leafBatches)) <= l.Number {
			state.leafBatches = append(state.leafBatches, 0)
		}
		state.leafBatches[l.Number] = e.lastBatch + 1
	}) && state.writeLeaves {
	}
	state.writeLeaves = false
}

// markLeavesDirty marks the leaves whose newest text is in one of these batches to be rewritten.
func (e *Engine) markLeavesDirty(from, to Batch) {
	if e.ledger == nil {
		return
	}
	for n, b := range e.ledger.leafBatches {
		if b >= from && b <= to {
			e.ledger.leafBatches[n] = 0
			e.ledger.MarkUnwritten(uint64(n))
		}
	}
}

// snapshotLedger answers with a snapshot, which waits until the store has the counts it shows.
func (e *Engine) snapshotLedger(t Ticket) {
	state := e.ledger
	if state == nil || e.settings.HasStore && !state.restored { // the counts of earlier processes are not known yet
		e.effect(&LedgerSnapshot{Ticket: t})
		return
	}
	s := state.Snapshot(int64(e.now.Wall))
	state.writeLeaves = !e.storeDown
	e.recordLedger()
	f := &LedgerSnapshot{Ticket: t, Snapshot: s}
	if e.settings.HasStore {
		if s.Provisional = e.storeDown || state.Dirty(); !s.Provisional {
			if n := len(e.unansweredBatches); n > 0 {
				f.requiredBatch = e.unansweredBatches[n-1].number
			}
			f.requiredBatch = max(f.requiredBatch, e.currentBatch())
		}
	}
	e.effect(f)
}

// messageOpened notes that a message became open.
func (b *ledgerState) messageOpened(m *message) {
	b.messageChanges++
	if b.auditing && m.auditRound == b.auditRound {
		m.ledgerAccount.CountOpen(1)
		if m.firstDoubt.set {
			m.ledgerAccount.CountDoubt(1)
		}
	}
}

// messageClosed notes that a message ceases to be open. It is called before the table of messages changes.
func (b *ledgerState) messageClosed(m *message) {
	if b == nil || m.phase != dispatching {
		return
	}
	b.messageChanges++
	if b.auditing && m.auditRound == b.auditRound {
		m.ledgerAccount.CountOpen(-1)
		if m.firstDoubt.set {
			m.ledgerAccount.CountDoubt(-1)
		}
	}
}

// messageAdded continues the audit with a new message if the cursor ran off the list because all remaining
// messages were removed.
func (b *ledgerState) messageAdded(m *message) {
	if b != nil && b.auditing && b.auditStage == auditMessages && b.cursor == nil {
		b.cursor = m
	}
}

// messageRemoved moves the audit's cursor past a message that is being removed.
func (b *ledgerState) messageRemoved(m *message) {
	if b != nil && b.cursor == m {
		b.cursor = m.next
	}
}

// nextAudit returns when the next part of an audit, or the next audit, is due.
func (b *ledgerState) nextAudit(tick Time) (Time, bool) {
	switch {
	case b.auditing:
		return b.lastAuditPart + tick, true
	case b.auditedChanges != [2]uint64{b.messageChanges, b.PostingCount()}:
		return b.auditStarted + b.settings.AuditInterval, true
	}
	return 0, false
}

// audit runs one part of an audit.
func (e *Engine) audit() {
	state := e.ledger
	if state == nil {
		return
	}
	at, ok := state.nextAudit(e.settings.Control.Tick)
	if !ok || e.now.At < at {
		return
	}
	state.lastAuditPart = e.now.At
	if !state.auditing {
		state.auditing, state.auditStage, state.auditStarted, state.cursor = true, auditMessages, e.now.At, e.oldestMessage
		state.auditedChanges = [2]uint64{state.messageChanges, state.PostingCount()}
		state.auditRound++
		state.BeginAudit()
	}
	switch state.auditStage {
	case auditMessages:
		for range min(state.settings.AuditPart, max(minAuditPart, len(e.messageByNumber)/maxAuditParts)) {
			m := state.cursor
			if m == nil {
				break
			}
			if m.auditRound = state.auditRound; m.phase == dispatching {
				m.ledgerAccount.CountOpen(1)
				if m.firstDoubt.set {
					m.ledgerAccount.CountDoubt(1)
				}
			}
			state.cursor = m.next
		}
		if state.cursor == nil { // all were counted; messages added from now on are counted as they come
			state.FinishAudit()
			state.CompareDispositions(e.endCounts[Delivered]+e.endCounts[Closed], e.endCounts[Refused]+e.endCounts[Withdrawn], e.endCounts[Failed])
			state.auditStage = auditCalls
		}
	case auditCalls:
		if len(e.callByID) <= maxAuditedCalls {
			for _, c := range e.callByID {
				for _, it := range c.items {
					if !it.done {
						it.message.ledgerAccount.CountOut()
					}
				}
			}
			state.FinishAttemptAudit()
		}
		state.auditStage = auditLeaves
		if state.settings.StoredLeaf == nil || !e.settings.HasStore {
			state.auditing = false
		}
	case auditLeaves:
		for i := range state.Accounts() {
			state.CompareStored(i, func(n uint64) bool {
				return n < uint64(len(state.leafBatches)) && state.leafBatches[n] > 0 && state.leafBatches[n] <= e.storedUpTo
			}, state.settings.StoredLeaf)
		}
		state.auditing = false
	}
}

// nextLedgerEvent returns when the ledger wants an event.
func (e *Engine) nextLedgerEvent() (at Time, ok bool) {
	state := e.ledger
	if state == nil {
		return 0, false
	}
	at, ok = state.nextAudit(e.settings.Control.Tick)
	if e.settings.HasStore && state.restored && !e.storeDown && state.Dirty() && (!ok || state.lastLeafOnlyBatch+leafInterval < at) {
		return state.lastLeafOnlyBatch + leafInterval, true
	}
	return at, ok
}

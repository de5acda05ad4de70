package ledger

// A sweep counts live messages anew, a part at a time, while messages come and go: whoever owns them tells what changes
// about those that were counted already. At its end the counts are compared with the books.

// BeginAudit begins a sweep.
func (l *Ledger) BeginAudit() {
	for _, a := range l.list {
		a.open, a.doubt = 0, 0
	}
}

// CountOpen counts a live message, or with by -1 takes one back that was counted. Doubt is the same for those that may have
// taken effect.
func (a *Account) CountOpen(by int) { a.open += Count(by) }

// CountDoubt is Count for messages that may have taken effect.
func (a *Account) CountDoubt(by int) { a.doubt += Count(by) }

// CountOut counts an attempt that is out.
func (a *Account) CountOut() { a.out++ }

// FinishAudit compares what a sweep counted with the books.
func (l *Ledger) FinishAudit() {
	for _, a := range l.list {
		l.Compare(a.key, CheckLiveOpen, a.now.Open, a.open)
		l.Compare(a.key, CheckLiveDoubt, a.now.Doubt.Open, a.doubt)
	}
	l.CompareTransfers()
}

// CompareDispositions compares how many messages ended in which way since this process began, as counted where they end, with the books:
// a posting to a wrong figure leaves all equations as they are.
func (l *Ledger) CompareDispositions(served, refused, failed uint64) {
	l.Compare(Key{}, CheckDelivered, l.total.Delivered-l.base.Delivered, Count(served))
	l.Compare(Key{}, CheckRefused, l.total.Refused-l.base.Refused, Count(refused))
	l.Compare(Key{}, CheckFailed, l.total.Failed-l.base.Failed, Count(failed))
}

// FinishAttemptAudit compares the attempts that were counted with the books, and forgets their counts.
func (l *Ledger) FinishAttemptAudit() {
	for _, a := range l.list {
		l.Compare(a.key, CheckLiveAttempts, a.now.Attempts.Out, a.out)
		a.out = 0
	}
}

// ReconcileRestart compares the books with the live messages that the store had, as Count told of them since Begin, and settles what
// a process leaves: attempts that were out are silent, and messages with such an attempt are in doubt from now on.
func (l *Ledger) ReconcileRestart() {
	for _, a := range l.list {
		l.Compare(a.key, CheckRestart, a.now.Open, a.open)
		for a.now.Attempts.Out > 0 {
			l.Post(a, AttemptUnanswered)
		}
		for a.now.Doubt.Open < a.doubt {
			l.Post(a, DoubtOpened)
		}
		l.Compare(a.key, CheckLiveDoubt, a.now.Doubt.Open, a.doubt)
	}
}

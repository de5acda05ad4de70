package ledger

// An audit recounts the live messages, a part at a time, while messages come and go. Their owner reports every change to a
// message that has been counted already. At the end the results are compared with the ledger.

// BeginAudit begins an audit.
func (l *Ledger) BeginAudit() {
	for _, a := range l.accounts {
		a.open, a.doubt = 0, 0
	}
}

// CountOpen counts a live message. With by = -1 it removes one that was counted.
func (a *Account) CountOpen(by int) { a.open += Count(by) }

// CountDoubt counts a live message that may have taken effect. With by = -1 it removes one that was counted.
func (a *Account) CountDoubt(by int) { a.doubt += Count(by) }

// CountOut counts an attempt that is under way.
func (a *Account) CountOut() { a.out++ }

// FinishAudit compares the messages that the audit counted with the ledger.
func (l *Ledger) FinishAudit() {
	for _, a := range l.accounts {
		l.Compare(a.key, CheckLiveOpen, a.counts.Open, a.open)
		l.Compare(a.key, CheckLiveDoubt, a.counts.Doubt.Open, a.doubt)
	}
	l.CompareTransfers()
}

// CompareDispositions compares how many messages ended in each way since this process began, as the caller counted them,
// with the ledger. It finds an end that was posted as another kind of end, which leaves all accounts in balance.
func (l *Ledger) CompareDispositions(served, refused, failed uint64) {
	l.Compare(Key{}, CheckDelivered, l.total.Delivered-l.startTotal.Delivered, Count(served))
	l.Compare(Key{}, CheckRefused, l.total.Refused-l.startTotal.Refused, Count(refused))
	l.Compare(Key{}, CheckFailed, l.total.Failed-l.startTotal.Failed, Count(failed))
}

// FinishAttemptAudit compares the attempts that the audit counted with the ledger, and resets their counts.
func (l *Ledger) FinishAttemptAudit() {
	for _, a := range l.accounts {
		l.Compare(a.key, CheckLiveAttempts, a.counts.Attempts.Out, a.out)
		a.out = 0
	}
}

// ReconcileRestart compares the ledger with the live messages that the store had, counted since BeginAudit, and closes what
// the previous process left open: attempts under way become unanswered, and their messages are in doubt from now on.
func (l *Ledger) ReconcileRestart() {
	for _, a := range l.accounts {
		l.Compare(a.key, CheckRestart, a.counts.Open, a.open)
		for a.counts.Attempts.Out > 0 {
			l.Post(a, AttemptUnanswered)
		}
		for a.counts.Doubt.Open < a.doubt {
			l.Post(a, DoubtOpened)
		}
		l.Compare(a.key, CheckLiveDoubt, a.counts.Doubt.Open, a.doubt)
	}
}

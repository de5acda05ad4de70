package ledger

// Checks that a breach can be about. Breach.Booked is the first value named here, Breach.Counted the second.
const (
	CheckMessages     = "messages"          // what came in; what ended, moved out or is open
	CheckAttempts     = "attempts"          // sent; answered, refused, unanswered or out
	CheckDoubt        = "doubt"             // opened; twice, unresolved or open
	CheckTransfers    = "moves"             // moved into accounts; moved out of accounts or reopened
	CheckLiveOpen     = "open messages"     // open in the ledger; live messages counted by the audit
	CheckLiveDoubt    = "open doubt"        // in doubt in the ledger; live messages in doubt counted by the audit
	CheckLiveAttempts = "attempts out"      // out in the ledger; items of calls under way counted by the audit
	CheckRestart      = "open at the start" // open in the stored ledger; live messages in the store
	CheckDelivered    = "served"            // ends posted by this process; ends counted by the engine; the same for the next two
	CheckRefused      = "refused"
	CheckFailed       = "failed"
	CheckStore        = "store"  // the first count that differs: as written; as stored
	CheckTotals       = "totals" // the total of a snapshot; the sum of its accounts
)

// Breach is a failed check of the ledger: two values that must be equal and are not.
type Breach struct {
	Key        Key    `json:"account"`
	Check      string `json:"what"`
	Booked     Count  `json:"books"`
	Counted    Count  `json:"counted"`
	FoundAt    int64  `json:"at,string"`               // when it was found: wall time in microseconds since 1970
	ResolvedAt int64  `json:"healed,string,omitempty"` // when the values agreed again or changed; 0 until then
}

// comparison identifies what a check compares: a check of an account, or of all accounts if the key is zero.
type comparison struct {
	key   Key
	check string
}

// Compare checks two values that must be equal and records a breach if they are not. A standing breach with the same
// difference is left as it is. If the difference has changed, the old breach is resolved and a new one recorded. Resolved
// breaches stay on record.
func (l *Ledger) Compare(key Key, check string, booked, counted Count) {
	if booked == counted && len(l.standing) == 0 && len(l.unrecorded) == 0 {
		return
	}
	compared := comparison{key, check}
	if difference, known := l.unrecorded[compared]; known && difference == booked-counted {
		return
	}
	delete(l.unrecorded, compared)
	index, stands := l.standing[compared]
	if stands {
		b := &l.breaches[index]
		if booked != counted && booked-counted == b.Booked-b.Counted {
			return
		}
		b.ResolvedAt = max(l.wall, 1)
		if booked == counted {
			l.newBreaches = append(l.newBreaches, *b)
		}
		delete(l.standing, compared)
		l.storedBreaches = min(l.storedBreaches, index)
	}
	if booked == counted {
		return
	}
	b := Breach{Key: key, Check: check, Booked: booked, Counted: counted, FoundAt: l.wall}
	if len(l.newBreaches) < maxBreaches {
		l.newBreaches = append(l.newBreaches, b)
	}
	if len(l.breaches) == maxBreaches {
		l.moreBreaches++
		l.epochDirty = true
		l.unrecorded[compared] = booked - counted
		return
	}
	l.standing[compared] = len(l.breaches)
	l.breaches = append(l.breaches, b)
}

// TakeNewBreaches returns the breaches that were found or resolved since the last call.
func (l *Ledger) TakeNewBreaches() []Breach {
	out := l.newBreaches
	l.newBreaches = nil
	return out
}

// StandingBreaches returns the number of breaches that are not resolved.
func (l *Ledger) StandingBreaches() int { return len(l.standing) + len(l.unrecorded) }

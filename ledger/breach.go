package ledger

// What a breach is of. The first figure is the books', the second the other side's.
const (
	CheckMessages     = "messages"          // what came in, and what went out or is open
	CheckAttempts     = "attempts"          // sent, and answered, refused, silent or out
	CheckDoubt        = "doubt"             // opened, and twice, unsure or open
	CheckTransfers    = "moves"             // what came in from other accounts, and what left them
	CheckLiveOpen     = "open messages"     // open in the books, and live messages counted
	CheckLiveDoubt    = "open doubt"        // in doubt in the books, and live messages counted that are
	CheckLiveAttempts = "attempts out"      // out in the books, and items counted of calls that are out
	CheckRestart      = "open at the start" // open in the books that the store had, and live messages that it had
	CheckDelivered    = "served"            // posted by this process, and messages that ended so, counted; the same for the next two
	CheckRefused      = "refused"
	CheckFailed       = "failed"
	CheckStore        = "store"  // the first figure that differs, as it was written and as the store has it
	CheckTotals       = "totals" // of a snapshot: its total, and its accounts
)

// Breach is figures that do not add up, and since when.
type Breach struct {
	Key        Key    `json:"account"`
	Check      string `json:"what"`
	Booked     Count  `json:"books"`
	Counted    Count  `json:"counted"`
	FoundAt    int64  `json:"at,string"`               // wall time in microseconds since 1970, like Healed
	ResolvedAt int64  `json:"healed,string,omitempty"` // 0: it stands
}

// place is where a breach may be.
type place struct {
	key  Key
	what string
}

// Compare takes up two figures that must be equal. A breach that stands and has not changed is left as it is; one that
// has is a further one; one that has gone stays on record.
func (l *Ledger) Compare(k Key, what string, books, counted Count) {
	if books == counted && len(l.standing) == 0 && len(l.beyond) == 0 {
		return
	}
	p := place{k, what}
	if off, told := l.beyond[p]; told && off == books-counted {
		return
	}
	delete(l.beyond, p)
	at, stands := l.standing[p]
	if stands {
		b := &l.breaches[at]
		if books != counted && books-counted == b.Booked-b.Counted {
			return
		}
		b.ResolvedAt = max(l.wall, 1)
		if books == counted {
			l.fresh = append(l.fresh, *b)
		}
		delete(l.standing, p)
		l.stored = min(l.stored, at)
	}
	if books == counted {
		return
	}
	b := Breach{Key: k, Check: what, Booked: books, Counted: counted, FoundAt: l.wall}
	if len(l.fresh) < mostBreaches {
		l.fresh = append(l.fresh, b)
	}
	if len(l.breaches) == mostBreaches {
		l.more++
		l.head = true
		l.beyond[p] = books - counted
		return
	}
	l.standing[p] = len(l.breaches)
	l.breaches = append(l.breaches, b)
}

// TakeNewBreaches are the breaches that were found or healed since it was last called.
func (l *Ledger) TakeNewBreaches() []Breach {
	out := l.fresh
	l.fresh = nil
	return out
}

// StandingBreaches is how many breaches there are now.
func (l *Ledger) StandingBreaches() int { return len(l.standing) + len(l.beyond) }

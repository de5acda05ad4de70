package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Format is the version of the snapshot format.
const Format = 1

// Epoch is a span in which counts never go back. It lasts until the folder with the ledger is lost or damaged, or postings
// may have been lost in a reboot.
type Epoch struct {
	ID       string `json:"id"`               // drawn at random, 16 hexadecimal digits
	Began    int64  `json:"began,string"`     // wall time in microseconds since 1970
	Reason   string `json:"why"`              // why the epoch began: ReasonNoLedger, ReasonDamage or ReasonReboot
	Previous string `json:"before,omitempty"` // id of the epoch that ended with it, if one is known
}

// Reasons why an epoch began.
const (
	ReasonNoLedger = "no ledger was found"
	ReasonDamage   = "the folder was damaged"
	ReasonReboot   = "the machine started anew, and what was not synced may be lost"
)

// NewEpoch returns an epoch with the given number as its id.
func NewEpoch(id uint64, began int64, reason, previous string) Epoch {
	return Epoch{ID: fmt.Sprintf("%016x", id), Began: began, Reason: reason, Previous: previous}
}

// AccountCounts is an account in a snapshot.
type AccountCounts struct {
	Key
	Counts
}

// Snapshot is a consistent copy of a ledger at one moment.
type Snapshot struct {
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	Epoch    Epoch  `json:"epoch"`
	Wall     int64  `json:"wall,string"` // when it was made, in microseconds since 1970

	// Provisional says that some of the postings are not stored yet, so that a crash may undo them.
	Provisional bool `json:"provisional,omitempty"`

	Accounts     []AccountCounts `json:"accounts"` // sorted by Key.Compare
	Total        Counts          `json:"total"`
	Breaches     []Breach        `json:"breaches"`      // on record, oldest first
	MoreBreaches Count           `json:"more_breaches"` // counted and not recorded
}

// Snapshot copies the ledger. wall is the current wall time in microseconds since 1970.
func (l *Ledger) Snapshot(wall int64) *Snapshot {
	s := &Snapshot{
		Format: Format, Instance: l.settings.Instance, Epoch: l.epoch, Wall: wall, Total: l.total, MoreBreaches: l.moreBreaches,
		Accounts: make([]AccountCounts, 0, len(l.accounts)), Breaches: append([]Breach{}, l.breaches...),
	}
	for _, a := range l.accounts {
		s.Accounts = append(s.Accounts, AccountCounts{a.key, a.counts})
	}
	slices.SortFunc(s.Accounts, func(a, b AccountCounts) int { return a.Key.Compare(b.Key) })
	return s
}

// Errors of ReadSnapshot.
var (
	ErrFormat = errors.New("not a ledger snapshot of a known format")
)

// maxSnapshotBytes is the largest snapshot in bytes that is read. It has room for MaxAccountsLimit accounts and their
// breaches.
const maxSnapshotBytes = 64 << 20

// ReadSnapshot reads a snapshot as JSON. The error wraps ErrFormat if the input is something else or of another format.
func ReadSnapshot(r io.Reader) (*Snapshot, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(text) > maxSnapshotBytes {
		return nil, fmt.Errorf("snapshot: over %d bytes: %w", maxSnapshotBytes, ErrFormat)
	}
	s := &Snapshot{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrFormat, err)
	}
	if _, err := strconv.ParseUint(s.Epoch.ID, 16, 64); s.Format != Format || err != nil {
		return nil, fmt.Errorf("snapshot: format %d, epoch %q: %w", s.Format, s.Epoch.ID, ErrFormat)
	}
	return s, nil
}

// Check returns the recorded breaches that are not resolved and those that a recalculation of the snapshot finds.
func (s *Snapshot) Check() []Breach {
	l, err := New(Settings{MaxAccounts: MaxAccountsLimit}, s.Epoch)
	if err != nil {
		return nil // unreachable: these settings are valid
	}
	l.wall = s.Wall
	var breaches []Breach
	for _, b := range s.Breaches {
		if b.ResolvedAt == 0 {
			breaches = append(breaches, b)
			l.standing[comparison{b.Key, b.Check}] = len(l.breaches)
			l.breaches = append(l.breaches, b)
		}
	}
	recorded := len(l.breaches)
	seen := map[Key]bool{}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if seen[a.Key] {
			l.breaches = append(l.breaches, Breach{Key: a.Key, Check: CheckTotals, Booked: 1, Counted: 2, FoundAt: s.Wall})
		}
		seen[a.Key] = true
		l.total.Add(&a.Counts)
		l.checkBalance(&Account{key: a.Key, counts: a.Counts})
	}
	l.CompareTransfers()
	sum, total := l.total.fields(), s.Total.fields()
	for i := range sum {
		l.Compare(Key{}, CheckTotals+": "+countNames[i], *total[i], *sum[i])
	}
	for _, b := range l.breaches[recorded:] {
		breaches = append(breaches, b)
	}
	return breaches
}

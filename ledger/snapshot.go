package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Format is the number of the snapshot's format.
const Format = 1

// Epoch is a time in which figures never step back: from when a ledger began anew until its folder is lost, or damaged.
type Epoch struct {
	ID       string `json:"id"`               // drawn at random, 16 hexadecimal digits
	Began    int64  `json:"began,string"`     // wall time in microseconds since 1970
	Reason   string `json:"why"`              // see ReasonNoLedger and the others
	Previous string `json:"before,omitempty"` // the epoch that ended with it, if one is known
}

// Why an epoch began.
const (
	ReasonNoLedger = "no ledger was found"
	ReasonDamage   = "the folder was damaged"
	ReasonReboot   = "the machine started anew, and what was not synced may be lost"
)

// NewEpoch is an epoch with the number given as its id.
func NewEpoch(id uint64, began int64, why, before string) Epoch {
	return Epoch{ID: fmt.Sprintf("%016x", id), Began: began, Reason: why, Previous: before}
}

// AccountCounts is an account in a snapshot.
type AccountCounts struct {
	Key
	Counts
}

// Snapshot is one consistent cut through a ledger.
type Snapshot struct {
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	Epoch    Epoch  `json:"epoch"`
	Wall     int64  `json:"wall,string"` // of the cut, microseconds since 1970

	// Provisional says that the store does not have all of these postings: a crash may take some back.
	Provisional bool `json:"provisional,omitempty"`

	Accounts     []AccountCounts `json:"accounts"` // sorted by Key.Compare
	Total        Counts          `json:"total"`
	Breaches     []Breach        `json:"breaches"` // all on record, oldest first
	MoreBreaches Count           `json:"more_breaches"`
}

// Snapshot is a copy of all that is in the books, with the wall time of the cut (microseconds since 1970).
func (l *Ledger) Snapshot(wall int64) *Snapshot {
	s := &Snapshot{
		Format: Format, Instance: l.set.Instance, Epoch: l.epoch, Wall: wall, Total: l.total, MoreBreaches: l.more,
		Accounts: make([]AccountCounts, 0, len(l.list)), Breaches: append([]Breach{}, l.breaches...),
	}
	for _, a := range l.list {
		s.Accounts = append(s.Accounts, AccountCounts{a.key, a.now})
	}
	slices.SortFunc(s.Accounts, func(a, b AccountCounts) int { return a.Key.Compare(b.Key) })
	return s
}

// Errors of Read.
var (
	ErrFormat = errors.New("not a ledger snapshot that this program knows")
)

// mostSnapshot is how many bytes Read reads at most: MaxAccountsLimit accounts and their breaches.
const mostSnapshot = 64 << 20

// ReadSnapshot reads a snapshot as JSON. An error wraps ErrFormat where it is JSON of something else or of a newer format.
func ReadSnapshot(r io.Reader) (*Snapshot, error) {
	text, err := io.ReadAll(io.LimitReader(r, mostSnapshot+1))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if len(text) > mostSnapshot {
		return nil, fmt.Errorf("snapshot: over %d bytes: %w", mostSnapshot, ErrFormat)
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

// Check tells what in a snapshot does not add up now: breaches on record that stand, and what is found by adding up anew.
func (s *Snapshot) Check() []Breach {
	l, err := New(Settings{MaxAccounts: MaxAccountsLimit}, s.Epoch)
	if err != nil {
		return nil // the settings are this package's own
	}
	l.wall = s.Wall
	var out []Breach
	for _, b := range s.Breaches {
		if b.ResolvedAt == 0 {
			out = append(out, b)
			l.standing[place{b.Key, b.Check}] = len(l.breaches)
			l.breaches = append(l.breaches, b)
		}
	}
	known := len(l.breaches)
	seen := map[Key]bool{}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		if seen[a.Key] {
			l.breaches = append(l.breaches, Breach{Key: a.Key, Check: CheckTotals, Booked: 1, Counted: 2, FoundAt: s.Wall})
		}
		seen[a.Key] = true
		l.total.Add(&a.Counts)
		l.audit(&Account{key: a.Key, now: a.Counts})
	}
	l.CompareTransfers()
	sum, total := l.total.all(), s.Total.all()
	for i := range sum {
		l.Compare(Key{}, CheckTotals+": "+columnNames[i], *total[i], *sum[i])
	}
	for _, b := range l.breaches[known:] {
		out = append(out, b)
	}
	return out
}

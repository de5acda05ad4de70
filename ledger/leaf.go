package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// Leaf is one record of the ledger as the store keeps it: the epoch, an account or a breach. The newest text of a number
// counts. A text has at most MaxLeafBytes bytes.
type Leaf struct {
	Number uint64
	Text   []byte
}

// Numbers of leaves: the epoch, then breaches, then accounts.
const (
	epochLeaf         = 1
	firstBreach       = 2
	firstAccount      = firstBreach + maxStoredBreaches
	maxStoredBreaches = 16 // breaches that are kept across restarts
)

// ErrLeaf is wrapped by the error that Restore returns for a leaf that can't be read.
var ErrLeaf = errors.New("malformed leaf")

// WriteLeaves calls put with each leaf that changed since it was last written, with at most maxAccounts accounts, and
// regards them as written. Pending postings are included. The caller calls MarkUnwritten with the number of each leaf
// that the store does not accept. It returns false if accounts are left to be written.
func (l *Ledger) WriteLeaves(maxAccounts int, put func(Leaf)) bool {
	if l.epochDirty {
		l.epochDirty = false
		put(Leaf{epochLeaf, l.epochText()})
	}
	for ; l.storedBreaches < min(len(l.breaches), maxStoredBreaches); l.storedBreaches++ {
		put(Leaf{firstBreach + uint64(l.storedBreaches), l.breachText(&l.breaches[l.storedBreaches])})
	}
	for n := len(l.dirty); n > 0 && maxAccounts > 0; n = len(l.dirty) {
		a := l.dirty[n-1]
		l.dirty = l.dirty[:n-1]
		a.dirty = false
		maxAccounts--
		put(Leaf{a.number, l.accountText(a)})
	}
	return len(l.dirty) == 0
}

// Dirty reports whether a leaf has to be written.
func (l *Ledger) Dirty() bool {
	return l.epochDirty || len(l.dirty) > 0 || l.storedBreaches < min(len(l.breaches), maxStoredBreaches)
}

// MarkUnwritten notes that the store does not have a leaf, so that it is written again.
func (l *Ledger) MarkUnwritten(number uint64) {
	switch {
	case number == epochLeaf:
		l.epochDirty = true
	case number < firstAccount:
		l.storedBreaches = min(l.storedBreaches, int(number-firstBreach))
	case number-firstAccount < uint64(len(l.accounts)):
		l.markDirty(l.accounts[number-firstAccount])
	}
}

// CompareStored compares the stored leaf of an account with the ledger. index is from 0 to Accounts()-1.
// Accounts whose newest leaf the store does not have yet, as upToDate reports, are skipped.
func (l *Ledger) CompareStored(index int, upToDate func(number uint64) bool, stored func(number uint64) []byte) {
	a := l.accounts[index]
	if a.dirty || !upToDate(a.number) {
		return
	}
	var have Counts
	if text := stored(a.number); text != nil {
		if k, f, err := l.readAccount(text); err == nil && k == a.key {
			have = f
		}
	}
	want := a.counts
	want.Add(&a.pending)
	wanted, found := want.fields(), have.fields()
	for i := range wanted { // each count by itself, because the sums balance even if the posting of an end is missing
		if *wanted[i] != *found[i] {
			l.Compare(a.key, CheckStore, *wanted[i], *found[i])
			return
		}
	}
	l.Compare(a.key, CheckStore, 0, 0)
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendKey(b []byte, k Key) []byte {
	if k.Other {
		return append(b, 1)
	}
	return binary.AppendVarint(appendText(appendText(append(b, 0), k.Class), k.Tenant), int64(k.Destination))
}

// accountText encodes an account as a leaf. It begins with the mark of its epoch, so that leaves of earlier epochs are
// ignored.
func (l *Ledger) accountText(a *Account) []byte {
	f := a.counts
	if a.pending != (Counts{}) {
		f.Add(&a.pending)
	}
	b := appendKey(binary.LittleEndian.AppendUint32(make([]byte, 0, 64), l.epochMark), a.key)
	all, mask := f.fields(), uint64(0) // bit i is set if count i is not 0; only these follow
	for i, c := range all {
		if *c != 0 {
			mask |= 1 << i
		}
	}
	b = binary.AppendUvarint(b, mask)
	for _, c := range all {
		if *c != 0 {
			b = binary.AppendUvarint(b, uint64(*c))
		}
	}
	return b
}

func (l *Ledger) epochText() []byte {
	b := binary.AppendVarint(appendText(nil, l.epoch.ID), l.epoch.Began)
	b = appendText(appendText(appendText(b, l.epoch.Reason), l.epoch.Previous), l.settings.BootID)
	if l.settings.Durable {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(l.settings.MaxAccounts)), uint64(l.moreBreaches))
}

func (l *Ledger) breachText(b *Breach) []byte {
	t := appendText(appendKey(nil, b.Key), b.Check)
	t = binary.AppendUvarint(binary.AppendUvarint(t, uint64(b.Booked)), uint64(b.Counted))
	return binary.AppendVarint(binary.AppendVarint(t, b.FoundAt), b.ResolvedAt)
}

// reader decodes fields. After a short read bad is set and all further fields are zero.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) take(n int) {
	if n <= 0 {
		r.rest, r.bad = nil, true
		return
	}
	r.rest = r.rest[n:]
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	r.take(n)
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.rest)
	r.take(n)
	return v
}

func (r *reader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.rest, r.bad = nil, true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func (r *reader) key() (k Key) {
	if len(r.rest) == 0 {
		r.bad = true
		return k
	}
	k.Other, r.rest = r.rest[0] == 1, r.rest[1:]
	if !k.Other {
		k.Class, k.Tenant = r.text(), r.text()
		k.Destination = int(r.varint())
	}
	return k
}

func (r *reader) finish(what string) error {
	if r.bad || len(r.rest) > 0 {
		return fmt.Errorf("%s: %w", what, ErrLeaf)
	}
	return nil
}

// mark returns the 32 bits that identify the epoch in leaves of accounts.
func (e *Epoch) mark() uint32 {
	v, _ := strconv.ParseUint(e.ID, 16, 64)
	return uint32(v>>32 ^ v)
}

var errOldEpoch = errors.New("leaf of an earlier epoch")

func (l *Ledger) readAccount(text []byte) (k Key, f Counts, err error) {
	if len(text) < 4 {
		return k, f, ErrLeaf
	}
	if binary.LittleEndian.Uint32(text) != l.epochMark {
		return k, f, errOldEpoch
	}
	r := &reader{rest: text[4:]}
	k = r.key()
	mask := r.uvarint()
	for i, c := range f.fields() {
		if mask&(1<<i) != 0 {
			*c = Count(r.uvarint())
		}
	}
	return k, f, r.finish("account")
}

// Restore rebuilds a ledger from the leaves that a store had. Without the leaf of an epoch it returns an empty ledger in the
// epoch fallback. The limit of accounts stays what it was when the epoch began: with a higher one, messages counted in the
// shared account would now find an account of their own. An error about a leaf wraps ErrLeaf.
func Restore(settings Settings, leaves []Leaf, fallback Epoch) (*Ledger, error) {
	l, err := New(settings, fallback)
	if err != nil {
		return nil, err
	}
	epochAt := slices.IndexFunc(leaves, func(f Leaf) bool { return f.Number == epochLeaf })
	if epochAt < 0 {
		return l, nil
	}
	l.epochDirty, l.restored = false, true
	r := &reader{rest: leaves[epochAt].Text}
	l.epoch = Epoch{ID: r.text(), Began: r.varint(), Reason: r.text(), Previous: r.text()}
	l.epochMark = l.epoch.mark()
	boot, lasting := r.text(), r.uvarint() == 1
	l.settings.MaxAccounts, l.moreBreaches = int(min(r.uvarint(), MaxAccountsLimit)), Count(r.uvarint())
	l.rebooted = boot != "" && settings.BootID != "" && boot != l.settings.BootID && !lasting
	l.epochDirty = boot != l.settings.BootID || lasting != settings.Durable
	if err := r.finish("epoch"); err != nil {
		return nil, err
	}
	leaves = slices.Clone(leaves)
	slices.SortFunc(leaves, func(a, b Leaf) int { return int(int64(a.Number) - int64(b.Number)) })
	for _, f := range leaves {
		switch {
		case f.Number == epochLeaf:
		case f.Number < firstAccount:
			r := &reader{rest: f.Text}
			b := Breach{Key: r.key(), Check: r.text(), Booked: Count(r.uvarint()), Counted: Count(r.uvarint()), FoundAt: r.varint(), ResolvedAt: r.varint()}
			if err := r.finish("breach"); err != nil {
				return nil, err
			}
			if b.ResolvedAt == 0 {
				l.standing[comparison{b.Key, b.Check}] = len(l.breaches)
			}
			l.breaches = append(l.breaches, b)
		default:
			k, figures, err := l.readAccount(f.Text)
			if errors.Is(err, errOldEpoch) {
				continue
			}
			if err != nil {
				return nil, err
			}
			if f.Number != firstAccount+uint64(len(l.accounts)) || l.byKey[k] != nil {
				return nil, fmt.Errorf("account %v: number %d: %w", k, f.Number, ErrLeaf)
			}
			a := l.openAccount(k)
			a.dirty, l.dirty = false, nil
			if k.Other {
				l.shared = a
			}
			a.counts = figures
			l.total.Add(&figures)
		}
	}
	l.storedBreaches = min(len(l.breaches), maxStoredBreaches)
	l.startTotal = l.total
	return l, nil
}

// Restored reports whether the ledger goes on with the epoch that the store had.
func (l *Ledger) Restored() bool { return l.restored }

// Rebooted reports whether the machine has rebooted since the ledger was written without syncing, so that postings may be
// lost.
func (l *Ledger) Rebooted() bool { return l.rebooted }

// Epoch returns the current epoch.
func (l *Ledger) Epoch() Epoch { return l.epoch }

// NextEpoch returns a ledger that begins a new epoch. It keeps the breaches on record, and its accounts are empty.
func (l *Ledger) NextEpoch(settings Settings, epoch Epoch) (*Ledger, error) {
	epoch.Previous = l.epoch.ID
	next, err := New(settings, epoch)
	if err != nil {
		return nil, err
	}
	next.breaches, next.moreBreaches, next.standing = l.breaches, l.moreBreaches, l.standing
	return next, nil
}

package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// Leaf is a page of the books as a store keeps it: the newest text of a number counts. A text is at most MaxLeafBytes bytes.
type Leaf struct {
	Number uint64
	Text   []byte
}

// Numbers of leaves: that of the epoch, those of accounts, those of breaches.
const (
	epochLeaf    = 1
	firstBreach  = 2
	firstAccount = firstBreach + mostStored
	mostStored   = 16 // breaches that outlast the process
)

// ErrLeaf is in the chain of what Restore returns for a leaf that can't be read.
var ErrLeaf = errors.New("leaf can't be read")

// WriteLeaves calls put with what is to be written for all that was posted since, up to so many accounts, and takes it as
// written: with a posting that is awaited as if it were made. Whoever writes calls Soil with the numbers of those that
// do not get into the store. It returns false where more is left.
func (l *Ledger) WriteLeaves(most int, put func(Leaf)) bool {
	if l.head {
		l.head = false
		put(Leaf{epochLeaf, l.epochText()})
	}
	for ; l.stored < min(len(l.breaches), mostStored); l.stored++ {
		put(Leaf{firstBreach + uint64(l.stored), l.breachText(&l.breaches[l.stored])})
	}
	for n := len(l.dirty); n > 0 && most > 0; n = len(l.dirty) {
		a := l.dirty[n-1]
		l.dirty = l.dirty[:n-1]
		a.dirty = false
		most--
		put(Leaf{a.number, l.text(a)})
	}
	return len(l.dirty) == 0
}

// Dirty tells that there is something to be written.
func (l *Ledger) Dirty() bool {
	return l.head || len(l.dirty) > 0 || l.stored < min(len(l.breaches), mostStored)
}

// MarkUnwritten says that a leaf is not in the store: it is to be written anew.
func (l *Ledger) MarkUnwritten(number uint64) {
	switch {
	case number == epochLeaf:
		l.head = true
	case number < firstAccount:
		l.stored = min(l.stored, int(number-firstBreach))
	case number-firstAccount < uint64(len(l.list)):
		l.touch(l.list[number-firstAccount])
	}
}

// CompareStored compares what the store has of an account, by its place in the list, with the books. clean tells whether the store
// is to have its newest leaf by now; others are left alone.
func (l *Ledger) CompareStored(at int, clean func(number uint64) bool, store func(number uint64) []byte) {
	a := l.list[at]
	if a.dirty || !clean(a.number) {
		return
	}
	var have Counts
	if text := store(a.number); text != nil {
		if k, f, err := l.readAccount(text); err == nil && k == a.key {
			have = f
		}
	}
	want := a.now
	want.Add(&a.due)
	x, y := want.all(), have.all()
	for i := range x { // sums would not do: an end that is missing leaves them as they are
		if *x[i] != *y[i] {
			l.Compare(a.key, CheckStore, *x[i], *y[i])
			return
		}
	}
	l.Compare(a.key, CheckStore, 0, 0)
}

func putText(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }

func putKey(b []byte, k Key) []byte {
	if k.Other {
		return append(b, 1)
	}
	return binary.AppendVarint(putText(putText(append(b, 0), k.Class), k.Tenant), int64(k.Destination))
}

// text is an account's leaf. It begins with its epoch's mark: one of an epoch that is over counts no more.
func (l *Ledger) text(a *Account) []byte {
	f := a.now
	if a.due != (Counts{}) {
		f.Add(&a.due)
	}
	b := putKey(binary.LittleEndian.AppendUint32(make([]byte, 0, 64), l.marked), a.key)
	all, mask := f.all(), uint64(0) // of those that are not 0: only they follow
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
	b := binary.AppendVarint(putText(nil, l.epoch.ID), l.epoch.Began)
	b = putText(putText(putText(b, l.epoch.Reason), l.epoch.Previous), l.set.BootID)
	if l.set.Durable {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(l.set.MaxAccounts)), uint64(l.more))
}

func (l *Ledger) breachText(b *Breach) []byte {
	t := putText(putKey(nil, b.Key), b.Check)
	t = binary.AppendUvarint(binary.AppendUvarint(t, uint64(b.Booked)), uint64(b.Counted))
	return binary.AppendVarint(binary.AppendVarint(t, b.FoundAt), b.ResolvedAt)
}

// reader reads fields; after a short read all is zero and bad is set.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) {
	if n <= 0 {
		r.b, r.bad = nil, true
		return
	}
	r.b = r.b[n:]
}

func (r *reader) num() uint64 {
	v, n := binary.Uvarint(r.b)
	r.take(n)
	return v
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.b)
	r.take(n)
	return v
}

func (r *reader) text() string {
	n := r.num()
	if n > uint64(len(r.b)) {
		r.b, r.bad = nil, true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) key() (k Key) {
	if len(r.b) == 0 {
		r.bad = true
		return k
	}
	k.Other, r.b = r.b[0] == 1, r.b[1:]
	if !k.Other {
		k.Class, k.Tenant = r.text(), r.text()
		k.Destination = int(r.signed())
	}
	return k
}

func (r *reader) end(what string) error {
	if r.bad || len(r.b) > 0 {
		return fmt.Errorf("%s: %w", what, ErrLeaf)
	}
	return nil
}

// mark is what leaves of accounts bear of their epoch.
func (e *Epoch) mark() uint32 {
	v, _ := strconv.ParseUint(e.ID, 16, 64)
	return uint32(v>>32 ^ v)
}

var errOver = errors.New("of an epoch that is over")

func (l *Ledger) readAccount(text []byte) (k Key, f Counts, err error) {
	if len(text) < 4 {
		return k, f, ErrLeaf
	}
	if binary.LittleEndian.Uint32(text) != l.marked {
		return k, f, errOver
	}
	r := &reader{b: text[4:]}
	k = r.key()
	mask := r.num()
	for i, c := range f.all() {
		if mask&(1<<i) != 0 {
			*c = Count(r.num())
		}
	}
	return k, f, r.end("account")
}

// Restore makes a ledger of the leaves that a store had. With none, or without that of the epoch, a ledger begins anew in
// the epoch given; an error wraps ErrLeaf. The number of accounts that there are at most is that with which the epoch
// began: a message in other would else have an account of its own now.
func Restore(s Settings, leaves []Leaf, anew Epoch) (*Ledger, error) {
	l, err := New(s, anew)
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(leaves, func(f Leaf) bool { return f.Number == epochLeaf })
	if at < 0 {
		return l, nil
	}
	l.head, l.restored = false, true
	r := &reader{b: leaves[at].Text}
	l.epoch = Epoch{ID: r.text(), Began: r.signed(), Reason: r.text(), Previous: r.text()}
	l.marked = l.epoch.mark()
	boot, lasting := r.text(), r.num() == 1
	l.set.MaxAccounts, l.more = int(min(r.num(), MaxAccountsLimit)), Count(r.num())
	l.rebooted = boot != "" && s.BootID != "" && boot != l.set.BootID && !lasting
	l.head = boot != l.set.BootID || lasting != s.Durable
	if err := r.end("epoch"); err != nil {
		return nil, err
	}
	leaves = slices.Clone(leaves)
	slices.SortFunc(leaves, func(a, b Leaf) int { return int(int64(a.Number) - int64(b.Number)) })
	for _, f := range leaves {
		switch {
		case f.Number == epochLeaf:
		case f.Number < firstAccount:
			r := &reader{b: f.Text}
			b := Breach{Key: r.key(), Check: r.text(), Booked: Count(r.num()), Counted: Count(r.num()), FoundAt: r.signed(), ResolvedAt: r.signed()}
			if err := r.end("breach"); err != nil {
				return nil, err
			}
			if b.ResolvedAt == 0 {
				l.standing[place{b.Key, b.Check}] = len(l.breaches)
			}
			l.breaches = append(l.breaches, b)
		default:
			k, figures, err := l.readAccount(f.Text)
			if errors.Is(err, errOver) {
				continue
			}
			if err != nil {
				return nil, err
			}
			if f.Number != firstAccount+uint64(len(l.list)) || l.byKey[k] != nil {
				return nil, fmt.Errorf("account %v: number %d: %w", k, f.Number, ErrLeaf)
			}
			a := l.open(k)
			a.dirty, l.dirty = false, nil
			if k.Other {
				l.other = a
			}
			a.now = figures
			l.total.Add(&figures)
		}
	}
	l.stored = min(len(l.breaches), mostStored)
	l.base = l.total
	return l, nil
}

// Restored tells that the store had a ledger, whose epoch goes on.
func (l *Ledger) Restored() bool { return l.restored }

// Rebooted tells that the machine has started anew since, and that what was not synced then may be lost.
func (l *Ledger) Rebooted() bool { return l.rebooted }

// Epoch is the ledger's.
func (l *Ledger) Epoch() Epoch { return l.epoch }

// EpochChanged begins a new epoch with what is on record of breaches; all accounts are empty.
func (l *Ledger) NextEpoch(s Settings, e Epoch) (*Ledger, error) {
	e.Previous = l.epoch.ID
	n, err := New(s, e)
	if err != nil {
		return nil, err
	}
	n.breaches, n.more, n.standing = l.breaches, l.more, l.standing
	return n, nil
}

// Package ledger keeps figures that add up: how many messages a dispatcher has taken, how each of them ended and how many
// are open, by class, partner and tenant; the same of attempts and of doubt. Postings are double entries: each moves one
// thing from one figure to another, so that what came in always equals what went out and what is there. It does no I/O,
// reads no clock and starts no goroutine; it is not safe for concurrent use.
package ledger

import (
	"cmp"
	"fmt"
)

// Key names an account.
type Key struct {
	Class       string `json:"class"`
	Destination int    `json:"dest"` // the partner
	Tenant      string `json:"tenant"`
	Other       bool   `json:"other,omitempty"` // the account of all that have none of their own; the rest is empty
}

// String is a key for people.
func (k Key) String() string {
	if k.Other {
		return "other"
	}
	return fmt.Sprintf("%s/%d/%s", k.Class, k.Destination, k.Tenant)
}

// Compare orders keys; other comes last.
func (k Key) Compare(o Key) int {
	if k.Other != o.Other {
		if k.Other {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(k.Class, o.Class), cmp.Compare(k.Destination, o.Destination), cmp.Compare(k.Tenant, o.Tenant))
}

// Entry is what a posting says. Each one moves one thing.
type Entry uint8

// Entries. The first group is of messages, the second of attempts, the third of doubt.
const (
	CarriedOver Entry = iota + 1 // open when the epoch began
	Accepted
	MovedIn // from another account, or sent again after its end: it is open here
	Delivered
	Refused  // handed back: it never ran or may be repeated, or nobody wanted it any more
	Failed   // nothing is promised
	MovedOut // open here until now, open in another account from now on
	Reopened // refused or failed here once, open again under a new id from now on

	AttemptSent       // an attempt begins
	AttemptAnswered   // it was answered, well or not
	AttemptRefused    // it provably never ran
	AttemptUnanswered // it was cut off or timed out, or its process ended: nobody knows

	DoubtOpened     // an open message may have taken effect
	DoubtTwice      // it was delivered all the same: its effect may have happened twice
	DoubtUnresolved // it ended otherwise: its effect may have happened or not
	entries
)

var entryNames = [entries]string{
	"", "brought", "taken", "in", "served", "refused", "failed", "out", "again",
	"sent", "answered", "declined", "silent", "doubted", "twice", "unsure",
}

// String is an entry's name, as figures bear it.
func (e Entry) String() string {
	if e < entries {
		return entryNames[e]
	}
	return fmt.Sprintf("entry %d", uint8(e))
}

// Posting is one entry in one account.
type Posting struct {
	Key   Key
	Entry Entry
}

// Counts are an account's. All but Open, Attempts.Out and Doubt.Open only grow within an epoch.
//
//	Brought + Taken + In = Served + Refused + Failed + Out + Open
//
// Over all accounts the sum of In is that of Out and Again. So taken = served + refused + failed - again + open, counting
// a message that is sent again as one.
type Counts struct {
	CarriedOver Count `json:"brought"`
	Accepted    Count `json:"taken"`
	MovedIn     Count `json:"in"`
	Delivered   Count `json:"served"`
	Refused     Count `json:"refused"`
	Failed      Count `json:"failed"`
	MovedOut    Count `json:"out"`
	Reopened    Count `json:"again"`
	Open        Count `json:"open"`

	Attempts Attempts `json:"attempts"`
	Doubt    Doubt    `json:"doubt"`
}

// Attempts are figures of attempts: Sent = Answered + Refused + Silent + Out.
type Attempts struct {
	Sent       Count `json:"sent"`
	Answered   Count `json:"answered"`
	Refused    Count `json:"refused"` // they provably never ran
	Unanswered Count `json:"silent"`
	Out        Count `json:"out"`
}

// Doubt are figures of effects that may have happened twice or not at all: Opened = Twice + Unsure + Open.
type Doubt struct {
	Opened     Count `json:"opened"`
	Twice      Count `json:"twice"`
	Unresolved Count `json:"unsure"`
	Open       Count `json:"open"`
}

const columns = 18

// all are the figures in the order in which they are stored; those from levels on may fall.
func (f *Counts) all() [columns]*Count {
	return [columns]*Count{
		&f.CarriedOver, &f.Accepted, &f.MovedIn, &f.Delivered, &f.Refused, &f.Failed, &f.MovedOut, &f.Reopened,
		&f.Attempts.Sent, &f.Attempts.Answered, &f.Attempts.Refused, &f.Attempts.Unanswered,
		&f.Doubt.Opened, &f.Doubt.Twice, &f.Doubt.Unresolved,
		&f.Open, &f.Attempts.Out, &f.Doubt.Open,
	}
}

const levels = columns - 3

var columnNames = [columns]string{
	"brought", "taken", "in", "served", "refused", "failed", "out", "again",
	"attempts.sent", "attempts.answered", "attempts.refused", "attempts.silent",
	"doubt.opened", "doubt.twice", "doubt.unsure", "open", "attempts.out", "doubt.open",
}

// Each calls f with each figure by its name, always in the same order. A level may fall, the others only grow within an
// epoch.
func (f *Counts) Each(call func(name string, v Count, level bool)) {
	for i, c := range f.all() {
		call(columnNames[i], *c, i >= levels)
	}
}

// Add adds other figures.
func (f *Counts) Add(o *Counts) {
	to, from := f.all(), o.all()
	for i := range to {
		*to[i] += *from[i]
	}
}

// Sides are both sides of the equation of messages: what came in, and what went out or is there.
func (f *Counts) Sides() (in, out Count) {
	return f.CarriedOver + f.Accepted + f.MovedIn, f.Delivered + f.Refused + f.Failed + f.MovedOut + f.Open
}

// down lowers a level; one that is 0 stays 0, and then the equation no longer holds.
func down(c *Count) {
	if *c > 0 {
		*c--
	}
}

// post makes both entries of one posting.
func (f *Counts) post(e Entry) {
	switch e {
	case CarriedOver:
		f.CarriedOver++
		f.Open++
	case Accepted:
		f.Accepted++
		f.Open++
	case MovedIn:
		f.MovedIn++
		f.Open++
	case Delivered:
		f.Delivered++
		down(&f.Open)
	case Refused:
		f.Refused++
		down(&f.Open)
	case Failed:
		f.Failed++
		down(&f.Open)
	case MovedOut:
		f.MovedOut++
		down(&f.Open)
	case Reopened:
		f.Reopened++
	case AttemptSent:
		f.Attempts.Sent++
		f.Attempts.Out++
	case AttemptAnswered:
		f.Attempts.Answered++
		down(&f.Attempts.Out)
	case AttemptRefused:
		f.Attempts.Refused++
		down(&f.Attempts.Out)
	case AttemptUnanswered:
		f.Attempts.Unanswered++
		down(&f.Attempts.Out)
	case DoubtOpened:
		f.Doubt.Opened++
		f.Doubt.Open++
	case DoubtTwice:
		f.Doubt.Twice++
		down(&f.Doubt.Open)
	case DoubtUnresolved:
		f.Doubt.Unresolved++
		down(&f.Doubt.Open)
	}
}

// Account is one account of a ledger.
type Account struct {
	key    Key
	now    Counts
	due    Counts // postings that wait for the store: they count once it has them, and stand in leaves before
	number uint64 // of its leaf
	dirty  bool   // the store has not been told its newest figures

	// Live messages as a sweep counts them; see Sweep.
	open, doubt, out Count
}

// Key is the account's.
func (a *Account) Key() Key { return a.key }

// Settings of a ledger. The zero value is ready for use.
type Settings struct {
	Instance    string // the dispatcher's name
	MaxAccounts int    // accounts that there are at most, other not counted; 0: DefaultMaxAccounts, MaxAccountsLimit at most

	// What was written and not synced is lost where the machine starts anew. Boot names the time that it runs, "" if that
	// is not known; Lasting says that all counts only once it is synced.
	BootID  string
	Durable bool

	// InterceptPost, where a rig sets it, stands between who posts and the books: what it returns is posted in place of what it is
	// given. Nothing else may set it.
	InterceptPost func(Posting) []Posting
}

// Bounds.
const (
	DefaultMaxAccounts = 256
	MaxAccountsLimit   = 1 << 16
	mostName           = 64  // bytes of a class or tenant that has an account of its own
	mostBreaches       = 64  // that are kept
	MaxLeafBytes       = 384 // bytes of a leaf
)

// Ledger is the books of one dispatcher.
type Ledger struct {
	set    Settings
	epoch  Epoch
	marked uint32 // Epoch.mark
	byKey  map[Key]*Account
	near   [nearby]*Account
	list   []*Account // by number
	other  *Account
	total  Counts
	base   Counts // total when this process began to post
	wall   int64

	breaches []Breach
	stored   int // of breaches, that have a leaf
	more     Count
	standing map[place]int   // in breaches
	beyond   map[place]Count // those that are counted and not kept: by how much they are off
	fresh    []Breach
	dirty    []*Account
	head     bool // the leaf of the epoch is to be written
	posts    uint64
	restored bool
	rebooted bool
}

// New begins a ledger anew.
func New(s Settings, e Epoch) (*Ledger, error) {
	if s.MaxAccounts < 0 || s.MaxAccounts > MaxAccountsLimit {
		return nil, fmt.Errorf("most accounts: %d is out of range, 1 to %d", s.MaxAccounts, MaxAccountsLimit)
	}
	if s.MaxAccounts == 0 {
		s.MaxAccounts = DefaultMaxAccounts
	}
	if len(s.BootID) > mostName {
		s.BootID = s.BootID[:mostName]
	}
	return &Ledger{set: s, epoch: e, marked: e.mark(), byKey: map[Key]*Account{}, standing: map[place]int{}, beyond: map[place]Count{}, head: true}, nil
}

// FoundAt says what the wall clock shows (microseconds since 1970), for breaches.
func (l *Ledger) SetWallTime(wall int64) { l.wall = wall }

// Account is the account of a key. Where there are as many as may be, or a name is too long, it is other.
func (l *Ledger) Account(k Key) *Account {
	near := &l.near[k.near()]
	if a := *near; a != nil && a.key == k {
		return a
	}
	if a := l.byKey[k]; a != nil {
		*near = a
		return a
	}
	if k.Other || len(l.list)-l.others() >= l.set.MaxAccounts || len(k.Class) > mostName || len(k.Tenant) > mostName {
		if l.other == nil {
			l.other = l.open(Key{Other: true})
		}
		return l.other
	}
	return l.open(k)
}

// near is where an account is looked for first: most lookups are of few accounts, and a map of texts is slow.
func (k *Key) near() int {
	n := k.Destination*7 + len(k.Class) + 3*len(k.Tenant)
	if len(k.Class) > 0 {
		n += int(k.Class[len(k.Class)-1])
	}
	return n & (nearby - 1)
}

const nearby = 512

func (l *Ledger) others() int {
	if l.other != nil {
		return 1
	}
	return 0
}

func (l *Ledger) open(k Key) *Account {
	a := &Account{key: k, number: firstAccount + uint64(len(l.list))}
	l.byKey[k] = a
	l.list = append(l.list, a)
	l.touch(a) // numbers in the store have no gaps
	return a
}

// Accounts is how many accounts there are, other counted.
func (l *Ledger) Accounts() int { return len(l.list) }

// PostingCount is how many postings were made, for whoever wants to know whether there was one.
func (l *Ledger) PostingCount() uint64 { return l.posts }

// InterceptPost makes one posting and checks what it touched.
func (l *Ledger) Post(a *Account, e Entry) {
	l.posts++
	if l.set.InterceptPost == nil {
		l.post(a, e)
		return
	}
	for _, p := range l.set.InterceptPost(Posting{a.key, e}) {
		l.post(l.Account(p.Key), p.Entry)
	}
}

func (l *Ledger) post(a *Account, e Entry) {
	l.enter(a, e)
	l.touch(a)
}

// enter makes both entries and checks the account.
func (l *Ledger) enter(a *Account, e Entry) {
	a.now.post(e)
	l.total.post(e)
	l.audit(a)
}

// Transfer moves one open message from one account to another.
func (l *Ledger) Transfer(from, to *Account) {
	if from != to {
		l.Post(from, MovedOut)
		l.Post(to, MovedIn)
	}
}

// PostPending notes a posting that counts once the store has the batch that goes with it, and stands in leaves from now on.
// Settle or Drop follows.
func (l *Ledger) PostPending(a *Account, e Entry) {
	a.due.post(e)
	l.touch(a)
}

// ConfirmPending makes a posting that was awaited.
func (l *Ledger) ConfirmPending(a *Account, e Entry) {
	a.forgo(e)
	if l.set.InterceptPost != nil {
		l.Post(a, e)
		return
	}
	l.posts++
	l.enter(a, e) // its leaf stays as it was
}

// DropPending forgets a posting that was awaited: its batch never got into the store.
func (l *Ledger) DropPending(a *Account, e Entry) {
	a.forgo(e)
	l.touch(a)
}

func (a *Account) forgo(e Entry) {
	switch e {
	case Accepted:
		down(&a.due.Accepted)
		down(&a.due.Open)
	case MovedIn:
		down(&a.due.MovedIn)
		down(&a.due.Open)
	case Reopened:
		down(&a.due.Reopened)
	case DoubtOpened:
		down(&a.due.Doubt.Opened)
		down(&a.due.Doubt.Open)
	}
}

func (l *Ledger) touch(a *Account) {
	if !a.dirty {
		a.dirty = true
		l.dirty = append(l.dirty, a)
	}
}

// audit checks that an account's figures add up, and those that go from one to another.
func (l *Ledger) audit(a *Account) {
	f := &a.now
	in, out := f.Sides()
	l.Compare(a.key, CheckMessages, in, out)
	l.Compare(a.key, CheckAttempts, f.Attempts.Sent, f.Attempts.Answered+f.Attempts.Refused+f.Attempts.Unanswered+f.Attempts.Out)
	l.Compare(a.key, CheckDoubt, f.Doubt.Opened, f.Doubt.Twice+f.Doubt.Unresolved+f.Doubt.Open)
}

// CompareTransfers checks that what went out of accounts came into others. Whoever posts calls it once both sides are posted.
func (l *Ledger) CompareTransfers() {
	l.Compare(Key{}, CheckTransfers, l.total.MovedIn, l.total.MovedOut+l.total.Reopened)
}

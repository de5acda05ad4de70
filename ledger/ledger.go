// Package ledger counts messages by class, partner and tenant: how many a dispatcher has accepted, how they ended and how
// many are open. It counts attempts and messages in doubt in the same way. Every posting changes two counts of an account
// at once, as in double-entry bookkeeping, so that what came in always equals what went out plus what is open.
//
// The package does no I/O, reads no clock and starts no goroutine. A Ledger is not safe for concurrent use.
package ledger

import (
	"cmp"
	"fmt"
)

// Key identifies an account.
type Key struct {
	Class       string `json:"class"`
	Destination int    `json:"dest"` // the partner that runs it
	Tenant      string `json:"tenant"`
	Other       bool   `json:"other,omitempty"` // the shared account of all keys without one of their own; the other fields are empty then
}

// String formats the key for people.
func (k Key) String() string {
	if k.Other {
		return "other"
	}
	return fmt.Sprintf("%s/%d/%s", k.Class, k.Destination, k.Tenant)
}

// Compare orders keys by class, destination and tenant. The shared account comes last.
func (k Key) Compare(o Key) int {
	if k.Other != o.Other {
		if k.Other {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(k.Class, o.Class), cmp.Compare(k.Destination, o.Destination), cmp.Compare(k.Tenant, o.Tenant))
}

// Entry is the kind of a posting.
type Entry uint8

// Entries. The first group is about messages, the second about attempts, the third about messages in doubt.
const (
	// CarriedOver: the message was open already when the epoch began.
	CarriedOver Entry = iota + 1
	// Accepted: the message was accepted and is open.
	Accepted
	// MovedIn: the message came from another account, or is resent after its end. It is open here.
	MovedIn
	// Delivered: the message was delivered.
	Delivered
	// Refused: the message was returned to the client: it never ran, may be repeated or was withdrawn.
	Refused
	// Failed: the message ended without a promise about its effect.
	Failed
	// MovedOut: the message was open here and is now open in another account.
	MovedOut
	// Reopened: a message that was refused or failed here is open again under a new id.
	Reopened

	// AttemptSent: an attempt began.
	AttemptSent
	// AttemptAnswered: the endpoint responded to the attempt, with success or an error.
	AttemptAnswered
	// AttemptRefused: the attempt provably never ran.
	AttemptRefused
	// AttemptUnanswered: the attempt was interrupted or timed out, or the process ended during it. Its effect is unknown.
	AttemptUnanswered

	// DoubtOpened: an open message may have taken effect.
	DoubtOpened
	// DoubtTwice: a message in doubt was delivered, so it may have taken effect twice.
	DoubtTwice
	// DoubtUnresolved: a message in doubt ended in another way, so it may have taken effect or not.
	DoubtUnresolved
	entries
)

var entryNames = [entries]string{
	"", "brought", "taken", "in", "served", "refused", "failed", "out", "again",
	"sent", "answered", "declined", "silent", "doubted", "twice", "unsure",
}

// String returns the name of the entry.
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

// Counts are the counts of one account. All except Open, Attempts.Out and Doubt.Open only grow within an epoch.
//
//	CarriedOver + Accepted + MovedIn = Delivered + Refused + Failed + MovedOut + Open
//
// Over all accounts, the sum of MovedIn equals that of MovedOut and Reopened. Hence
//
//	CarriedOver + Accepted = Delivered + Refused + Failed - Reopened + Open
//
// where a message and its resends count as one.
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

// Attempts counts attempts: Sent = Answered + Refused + Unanswered + Out.
type Attempts struct {
	Sent       Count `json:"sent"`
	Answered   Count `json:"answered"`
	Refused    Count `json:"refused"` // provably never ran
	Unanswered Count `json:"silent"`  // effect unknown
	Out        Count `json:"out"`     // still running
}

// Doubt counts messages that may have taken effect twice or not at all: Opened = Twice + Unresolved + Open.
type Doubt struct {
	Opened     Count `json:"opened"`
	Twice      Count `json:"twice"`
	Unresolved Count `json:"unsure"`
	Open       Count `json:"open"`
}

const numCounts = 18

// fields returns the counts in the order in which they are stored. Those from firstGauge on may fall, the others only grow.
func (f *Counts) fields() [numCounts]*Count {
	return [numCounts]*Count{
		&f.CarriedOver, &f.Accepted, &f.MovedIn, &f.Delivered, &f.Refused, &f.Failed, &f.MovedOut, &f.Reopened,
		&f.Attempts.Sent, &f.Attempts.Answered, &f.Attempts.Refused, &f.Attempts.Unanswered,
		&f.Doubt.Opened, &f.Doubt.Twice, &f.Doubt.Unresolved,
		&f.Open, &f.Attempts.Out, &f.Doubt.Open,
	}
}

const firstGauge = numCounts - 3

var countNames = [numCounts]string{
	"brought", "taken", "in", "served", "refused", "failed", "out", "again",
	"attempts.sent", "attempts.answered", "attempts.refused", "attempts.silent",
	"doubt.opened", "doubt.twice", "doubt.unsure", "open", "attempts.out", "doubt.open",
}

// Each calls visit with the name and value of each count, always in the same order. A gauge may fall. The other counts only
// grow within an epoch.
func (f *Counts) Each(visit func(name string, v Count, level bool)) {
	for i, count := range f.fields() {
		visit(countNames[i], *count, i >= firstGauge)
	}
}

// Add adds other counts to these.
func (f *Counts) Add(other *Counts) {
	sums, addends := f.fields(), other.fields()
	for i := range sums {
		*sums[i] += *addends[i]
	}
}

// Sides returns both sides of the equation of messages: what came in, and what ended, moved out or is open.
func (f *Counts) Sides() (in, out Count) {
	return f.CarriedOver + f.Accepted + f.MovedIn, f.Delivered + f.Refused + f.Failed + f.MovedOut + f.Open
}

// decrement decrements a gauge. One that is 0 stays 0, and the account no longer balances.
func decrement(c *Count) {
	if *c > 0 {
		*c--
	}
}

// post changes both counts that a posting affects.
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
		decrement(&f.Open)
	case Refused:
		f.Refused++
		decrement(&f.Open)
	case Failed:
		f.Failed++
		decrement(&f.Open)
	case MovedOut:
		f.MovedOut++
		decrement(&f.Open)
	case Reopened:
		f.Reopened++
	case AttemptSent:
		f.Attempts.Sent++
		f.Attempts.Out++
	case AttemptAnswered:
		f.Attempts.Answered++
		decrement(&f.Attempts.Out)
	case AttemptRefused:
		f.Attempts.Refused++
		decrement(&f.Attempts.Out)
	case AttemptUnanswered:
		f.Attempts.Unanswered++
		decrement(&f.Attempts.Out)
	case DoubtOpened:
		f.Doubt.Opened++
		f.Doubt.Open++
	case DoubtTwice:
		f.Doubt.Twice++
		decrement(&f.Doubt.Open)
	case DoubtUnresolved:
		f.Doubt.Unresolved++
		decrement(&f.Doubt.Open)
	}
}

// Account is one account of a ledger.
type Account struct {
	key     Key
	counts  Counts
	pending Counts // postings that wait for the store: written to leaves already, counted once they are stored
	number  uint64 // of its leaf
	dirty   bool   // its newest counts have not been written

	open  Count // live messages that the current audit has counted
	doubt Count // those among them that are in doubt
	out   Count // attempts that the current audit has counted
}

// Key returns the key of the account.
func (a *Account) Key() Key { return a.key }

// Settings configure a ledger. The zero value is ready for use.
type Settings struct {
	Instance string // the dispatcher's name

	// MaxAccounts is the number of accounts beside the shared one, up to MaxAccountsLimit. 0 means DefaultMaxAccounts.
	MaxAccounts int

	// BootID identifies the current boot of the machine, "" if it is unknown. A reboot loses what was written and not synced.
	BootID string
	// Durable says that the store reports a batch as stored only after syncing it, so that a reboot loses nothing.
	Durable bool

	// InterceptPost replaces a posting by what it returns. Only tests and the simulation set it, to inject faults.
	InterceptPost func(Posting) []Posting
}

// Bounds.
const (
	// DefaultMaxAccounts is the number of accounts where Settings name none.
	DefaultMaxAccounts = 256
	// MaxAccountsLimit is the largest number of accounts that Settings may ask for.
	MaxAccountsLimit = 1 << 16
	maxNameBytes     = 64 // bytes of a class or tenant; keys with longer ones use the shared account
	maxBreaches      = 64 // kept on record; further ones are only counted
	// MaxLeafBytes is the largest size of a leaf in bytes.
	MaxLeafBytes = 384
)

// Ledger holds the accounts of one dispatcher.
type Ledger struct {
	settings   Settings
	epoch      Epoch
	epochMark  uint32 // Epoch.mark
	byKey      map[Key]*Account
	cache      [cacheSlots]*Account // cache in front of byKey, see Key.cacheSlot
	accounts   []*Account           // by number
	shared     *Account             // the shared account, nil until it is needed
	total      Counts
	startTotal Counts // total when this process began to post
	wall       int64  // wall time in microseconds since 1970

	breaches       []Breach             // on record, oldest first
	storedBreaches int                  // number of breaches whose leaf has been written
	moreBreaches   Count                // breaches that were counted and not recorded
	standing       map[comparison]int   // index in breaches of those that are not resolved
	unrecorded     map[comparison]Count // unresolved breaches that were not recorded: booked minus counted
	newBreaches    []Breach             // for the next TakeNewBreaches
	dirty          []*Account
	epochDirty     bool // the leaf of the epoch has to be written
	postings       uint64
	restored       bool
	rebooted       bool
}

// New returns an empty ledger that begins in the given epoch.
func New(settings Settings, epoch Epoch) (*Ledger, error) {
	if settings.MaxAccounts < 0 || settings.MaxAccounts > MaxAccountsLimit {
		return nil, fmt.Errorf("maximum number of accounts: %d is out of range, 1 to %d", settings.MaxAccounts, MaxAccountsLimit)
	}
	if settings.MaxAccounts == 0 {
		settings.MaxAccounts = DefaultMaxAccounts
	}
	if len(settings.BootID) > maxNameBytes {
		settings.BootID = settings.BootID[:maxNameBytes]
	}
	return &Ledger{settings: settings, epoch: epoch, epochMark: epoch.mark(), byKey: map[Key]*Account{}, standing: map[comparison]int{}, unrecorded: map[comparison]Count{}, epochDirty: true}, nil
}

// SetWallTime sets the time at which breaches are recorded, in microseconds since 1970.
func (l *Ledger) SetWallTime(wall int64) { l.wall = wall }

// Account returns the account of a key and opens it if need be. It returns the shared account once the limit of accounts is
// reached, and for a key whose class or tenant is too long.
func (l *Ledger) Account(key Key) *Account {
	cached := &l.cache[key.cacheSlot()]
	if a := *cached; a != nil && a.key == key {
		return a
	}
	if a := l.byKey[key]; a != nil {
		*cached = a
		return a
	}
	if key.Other || len(l.accounts)-l.sharedAccounts() >= l.settings.MaxAccounts || len(key.Class) > maxNameBytes || len(key.Tenant) > maxNameBytes {
		if l.shared == nil {
			l.shared = l.openAccount(Key{Other: true})
		}
		return l.shared
	}
	return l.openAccount(key)
}

// cacheSlot returns the slot of the key in the cache in front of the map of accounts. Most lookups are for a few
// accounts, and hashing their strings for the map is slow.
func (k *Key) cacheSlot() int {
	hash := k.Destination*7 + len(k.Class) + 3*len(k.Tenant)
	if len(k.Class) > 0 {
		hash += int(k.Class[len(k.Class)-1])
	}
	return hash & (cacheSlots - 1)
}

const cacheSlots = 512 // slots of the cache; a power of two

func (l *Ledger) sharedAccounts() int {
	if l.shared != nil {
		return 1
	}
	return 0
}

func (l *Ledger) openAccount(key Key) *Account {
	a := &Account{key: key, number: firstAccount + uint64(len(l.accounts))}
	l.byKey[key] = a
	l.accounts = append(l.accounts, a)
	l.markDirty(a) // Restore expects account numbers without gaps
	return a
}

// Accounts returns the number of accounts, the shared one included.
func (l *Ledger) Accounts() int { return len(l.accounts) }

// PostingCount returns the number of postings made so far. Callers compare two results to see whether anything was posted.
func (l *Ledger) PostingCount() uint64 { return l.postings }

// Post makes one posting and checks that the account still balances.
func (l *Ledger) Post(a *Account, e Entry) {
	l.postings++
	if l.settings.InterceptPost == nil {
		l.post(a, e)
		return
	}
	for _, p := range l.settings.InterceptPost(Posting{a.key, e}) {
		l.post(l.Account(p.Key), p.Entry)
	}
}

func (l *Ledger) post(a *Account, e Entry) {
	l.apply(a, e)
	l.markDirty(a)
}

// apply applies a posting to the account and the total, and checks the account.
func (l *Ledger) apply(a *Account, e Entry) {
	a.counts.post(e)
	l.total.post(e)
	l.checkBalance(a)
}

// Transfer moves one open message from one account to another.
func (l *Ledger) Transfer(from, to *Account) {
	if from != to {
		l.Post(from, MovedOut)
		l.Post(to, MovedIn)
	}
}

// PostPending notes a posting that counts only once the store has its batch. Leaves written from now on include it.
// ConfirmPending or DropPending must follow.
func (l *Ledger) PostPending(a *Account, e Entry) {
	a.pending.post(e)
	l.markDirty(a)
}

// ConfirmPending makes a pending posting, whose batch is now stored.
func (l *Ledger) ConfirmPending(a *Account, e Entry) {
	a.removePending(e)
	if l.settings.InterceptPost != nil {
		l.Post(a, e)
		return
	}
	l.postings++
	l.apply(a, e) // the leaf included this posting already
}

// DropPending cancels a pending posting whose batch was not stored.
func (l *Ledger) DropPending(a *Account, e Entry) {
	a.removePending(e)
	l.markDirty(a)
}

func (a *Account) removePending(e Entry) {
	switch e {
	case Accepted:
		decrement(&a.pending.Accepted)
		decrement(&a.pending.Open)
	case MovedIn:
		decrement(&a.pending.MovedIn)
		decrement(&a.pending.Open)
	case Reopened:
		decrement(&a.pending.Reopened)
	case DoubtOpened:
		decrement(&a.pending.Doubt.Opened)
		decrement(&a.pending.Doubt.Open)
	}
}

func (l *Ledger) markDirty(a *Account) {
	if !a.dirty {
		a.dirty = true
		l.dirty = append(l.dirty, a)
	}
}

// checkBalance checks that the counts of an account balance.
func (l *Ledger) checkBalance(a *Account) {
	f := &a.counts
	in, out := f.Sides()
	l.Compare(a.key, CheckMessages, in, out)
	l.Compare(a.key, CheckAttempts, f.Attempts.Sent, f.Attempts.Answered+f.Attempts.Refused+f.Attempts.Unanswered+f.Attempts.Out)
	l.Compare(a.key, CheckDoubt, f.Doubt.Opened, f.Doubt.Twice+f.Doubt.Unresolved+f.Doubt.Open)
}

// CompareTransfers checks that every message that left an account came into another. Callers use it once both sides of a
// transfer are posted.
func (l *Ledger) CompareTransfers() {
	l.Compare(Key{}, CheckTransfers, l.total.MovedIn, l.total.MovedOut+l.total.Reopened)
}

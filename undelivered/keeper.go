package undelivered

import (
	"time"

	"curlewmux/control"
	"curlewmux/engine"
)

// Keeper stands in the place of an engine's store, the journal, and has each message that is given up in the Store before
// the journal has its end. As long as the journal has a message that is alive, what the Store says of it does not count:
// so the journal's record of the end is the one step in which a message moves. The driver calls its methods.
type Keeper struct {
	engine.Store // the journal
	store        *Store
	clock        engine.Clock
	on           Events
	batch        []uint64 // entries whose newest lives end in the batch at hand
}

// Events are told on the driver's goroutine.
type Events interface {
	// SubmissionEnded tells that the new life of an entry ended; it can't be claimed yet. tried tells whether this process made an
	// attempt at it: else its end tells nothing of the destination.
	SubmissionEnded(no uint64, how string, tried bool)

	// Claimable tells that an entry, new or back, may be claimed from now on: the journal has the end of its newest life.
	Claimable(no uint64)
}

var (
	_ engine.Store         = (*Keeper)(nil)
	_ engine.ExpiringStore = (*Keeper)(nil)
)

// NewKeeper makes a keeper round the journal.
func NewKeeper(journal engine.Store, s *Store, clock engine.Clock, on Events) *Keeper {
	return &Keeper{Store: journal, store: s, clock: clock, on: on}
}

// Append writes what is given up to the store and hands the batch on. What the store can't write never holds the journal
// up.
func (k *Keeper) Append(b engine.Batch, records []engine.Record) error {
	k.batch = k.batch[:0]
	for _, r := range records {
		switch r := r.(type) {
		case *engine.RecPendingResult:
			k.owed(r)
		case *engine.RecEnded:
			if k.store.IsResentID(r.ID) && r.Disposition != engine.Refused && r.Disposition != engine.Failed {
				k.ended(r.ID, Submission{ID: r.ID, Disposition: howOf(r.Disposition)})
			}
		}
	}
	if err := k.Store.Append(b, records); err != nil {
		return err
	}
	k.store.await(b, k.batch...)
	for _, r := range records {
		if r, ok := r.(*engine.RecAccepted); ok {
			k.store.HoldDuplicates(&r.Message)
		}
	}
	return nil
}

// Flush is engine.Store's.
func (k *Keeper) Flush() (engine.Batch, error) {
	b, err := k.Store.Flush()
	if err != nil {
		k.store.lost(b)
	}
	k.Stored(b)
	return b, err
}

// Stored says, for a journal that answers later, up to which batch all is stored.
func (k *Keeper) Stored(b engine.Batch) {
	if len(k.store.early) == 0 {
		return
	}
	for _, no := range k.store.stored(b) {
		k.on.Claimable(no)
	}
}

// Tick is engine.Aging's.
func (k *Keeper) Tick(now engine.Timestamp) {
	k.store.Tick()
	if a, ok := k.Store.(engine.ExpiringStore); ok {
		a.Tick(now)
	}
}

func (k *Keeper) ended(id string, l Submission) {
	l.EndedAt = k.store.set.Wall().UTC()
	if _, no, _, ok := parseLife(id); ok {
		k.batch = append(k.batch, no)
	}
	if no, ok := k.store.SubmissionEnded(id, l); ok {
		k.on.SubmissionEnded(no, l.Disposition, len(l.Attempts) > 0)
	}
}

// owed takes up a message that is given up.
func (k *Keeper) owed(r *engine.RecPendingResult) {
	g := r.Undelivered
	if g == nil { // it was given up in an earlier process
		return
	}
	l := k.life(g, r.Disposition)
	switch {
	case k.store.IsResentID(r.ID):
		k.ended(r.ID, l)
	case r.Disposition == engine.Refused && !g.Rewritten:
		k.store.RecordRefused(RefusedMessage{
			ID: r.ID, Class: g.Message.Class, Tenant: g.Message.Tenant, Destination: g.Message.Destination, Cause: string(g.Cause), Attempts: g.Tries,
		})
	case r.Disposition == engine.Failed && g.Rewritten:
		if no, ok := k.store.kept(r.ID); ok {
			k.batch = append(k.batch, no)
		}
	case r.Disposition == engine.Failed:
		no, err := k.store.Keep(&g.Message, l)
		if err != nil {
			k.store.fault("message "+r.ID+" is not kept", err)
			return
		}
		k.batch = append(k.batch, no)
	}
}

func (k *Keeper) life(g *engine.Undelivered, how engine.Disposition) Submission {
	at := func(t engine.Time) Time { return k.store.TimeAt(k.clock.Time(t)) }
	l := Submission{ID: g.Message.ID, Disposition: howOf(how), Cause: string(g.Cause), Reason: g.Reason, AttemptCount: g.Tries, EndedAt: k.wall(g.At), QuietFrom: at(g.CallsOverAt)}
	if g.DoubtAt != 0 {
		l.DoubtAt, l.DoubtZone = max(at(g.DoubtAt), 1), g.DoubtZone
	}
	l.EarlierAttempts = max(g.Tries-len(g.Attempts), 0)
	for _, a := range g.Attempts {
		one := Attempt{SentAt: k.wall(a.Sent), Endpoint: a.Endpoint, Addr: a.Addr, Result: "no outcome yet", RetryAfterMS: int64(a.RetryAfter / control.Millisecond)}
		if a.End != 0 {
			one.EndedAt, one.Result = k.wall(a.End), resultName(a.Result)
		}
		l.Attempts = append(l.Attempts, one)
	}
	return l
}

func (k *Keeper) wall(t engine.Time) time.Time {
	return k.store.WallTime(k.store.TimeAt(k.clock.Time(t)))
}

func resultName(r control.Result) string {
	names := [...]string{"ok", "error", "full", "timed out", "no connection", "reset", "cancelled", "not sent", "not sent"}
	if int(r) < len(names) {
		return names[r]
	}
	return "?"
}

package undelivered

import (
	"time"

	"curlewmux/control"
	"curlewmux/engine"
)

// Keeper wraps the engine's store, the journal. It writes each message that failed to the Store before the journal
// records the end. While the journal has a message as live, the Store's entry for it does not count, so the journal's
// record of the end moves the message in one step. The driver calls its methods.
type Keeper struct {
	engine.Store // the journal
	store        *Store
	clock        engine.Clock
	events       Events
	endedEntries []uint64 // entries whose newest submissions end in the current batch
}

// Events receives notifications on the driver's goroutine.
type Events interface {
	// SubmissionEnded reports the end of an entry's newest submission. The entry can't be claimed yet. tried is false
	// if this process made no attempt; the end then says nothing about the destination.
	SubmissionEnded(no uint64, disposition string, tried bool)

	// Claimable reports that an entry, new or resent, may be claimed: the journal has the end of its newest
	// submission.
	Claimable(no uint64)
}

var (
	_ engine.Store         = (*Keeper)(nil)
	_ engine.ExpiringStore = (*Keeper)(nil)
)

// NewKeeper returns a Keeper that wraps the journal.
func NewKeeper(journal engine.Store, s *Store, clock engine.Clock, events Events) *Keeper {
	return &Keeper{Store: journal, store: s, clock: clock, events: events}
}

// Append writes ended messages to the store and passes the batch to the journal. Failures of the store never delay
// the journal.
func (k *Keeper) Append(b engine.Batch, records []engine.Record) error {
	k.endedEntries = k.endedEntries[:0]
	for _, r := range records {
		switch r := r.(type) {
		case *engine.RecPendingResult:
			k.recordPendingResult(r)
		case *engine.RecEnded:
			if k.store.IsResentID(r.ID) && r.Disposition != engine.Refused && r.Disposition != engine.Failed {
				k.recordEnd(r.ID, Submission{ID: r.ID, Disposition: dispositionName(r.Disposition)})
			}
		}
	}
	if err := k.Store.Append(b, records); err != nil {
		return err
	}
	k.store.setEndBatch(b, k.endedEntries...)
	for _, r := range records {
		if r, ok := r.(*engine.RecAccepted); ok {
			k.store.HoldDuplicates(&r.Message)
		}
	}
	return nil
}

// Flush implements engine.Store.
func (k *Keeper) Flush() (engine.Batch, error) {
	b, err := k.Store.Flush()
	if err != nil {
		k.store.batchesLost(b)
	}
	k.Stored(b)
	return b, err
}

// Stored reports that the journal has all batches up to b, for a journal that stores them asynchronously.
func (k *Keeper) Stored(b engine.Batch) {
	if len(k.store.endNotStored) == 0 {
		return
	}
	for _, no := range k.store.batchesStored(b) {
		k.events.Claimable(no)
	}
}

// Tick implements engine.ExpiringStore.
func (k *Keeper) Tick(now engine.Timestamp) {
	k.store.Tick()
	if a, ok := k.Store.(engine.ExpiringStore); ok {
		a.Tick(now)
	}
}

func (k *Keeper) recordEnd(id string, submission Submission) {
	submission.EndedAt = k.store.settings.Wall().UTC()
	if _, no, _, ok := parseResentID(id); ok {
		k.endedEntries = append(k.endedEntries, no)
	}
	if no, ok := k.store.SubmissionEnded(id, submission); ok {
		k.events.SubmissionEnded(no, submission.Disposition, len(submission.Attempts) > 0)
	}
}

// recordPendingResult records a message that was refused or failed.
func (k *Keeper) recordPendingResult(r *engine.RecPendingResult) {
	ended := r.Undelivered
	if ended == nil { // an earlier process recorded it
		return
	}
	submission := k.submission(ended, r.Disposition)
	switch {
	case k.store.IsResentID(r.ID):
		k.recordEnd(r.ID, submission)
	case r.Disposition == engine.Refused && !ended.Rewritten:
		k.store.RecordRefused(RefusedMessage{
			ID: r.ID, Class: ended.Message.Class, Tenant: ended.Message.Tenant, Destination: ended.Message.Destination, Cause: string(ended.Cause), Attempts: ended.Tries,
		})
	case r.Disposition == engine.Failed && ended.Rewritten:
		if no, ok := k.store.numberOf(r.ID); ok {
			k.endedEntries = append(k.endedEntries, no)
		}
	case r.Disposition == engine.Failed:
		no, err := k.store.Keep(&ended.Message, submission)
		if err != nil {
			k.store.logFault("message "+r.ID+" is not kept", err)
			return
		}
		k.endedEntries = append(k.endedEntries, no)
	}
}

func (k *Keeper) submission(ended *engine.Undelivered, disposition engine.Disposition) Submission {
	at := func(t engine.Time) Time { return k.store.TimeAt(k.clock.Time(t)) }
	submission := Submission{ID: ended.Message.ID, Disposition: dispositionName(disposition), Cause: string(ended.Cause), Reason: ended.Reason, AttemptCount: ended.Tries, EndedAt: k.wallTime(ended.At), QuietFrom: at(ended.CallsOverAt)}
	if ended.DoubtAt != 0 {
		submission.DoubtAt, submission.DoubtZone = max(at(ended.DoubtAt), 1), ended.DoubtZone
	}
	submission.EarlierAttempts = max(ended.Tries-len(ended.Attempts), 0)
	for _, a := range ended.Attempts {
		one := Attempt{SentAt: k.wallTime(a.Sent), Endpoint: a.Endpoint, Addr: a.Addr, Result: "no outcome yet", RetryAfterMS: int64(a.RetryAfter / control.Millisecond)}
		if a.End != 0 {
			one.EndedAt, one.Result = k.wallTime(a.End), resultName(a.Result)
		}
		submission.Attempts = append(submission.Attempts, one)
	}
	return submission
}

func (k *Keeper) wallTime(t engine.Time) time.Time {
	return k.store.WallTime(k.store.TimeAt(k.clock.Time(t)))
}

func resultName(r control.Result) string {
	names := [...]string{"ok", "error", "full", "timed out", "no connection", "reset", "cancelled", "not sent", "not sent", "error"}
	if int(r) < len(names) {
		return names[r]
	}
	return "?"
}

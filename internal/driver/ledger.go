package driver

import (
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// snapshotReaders tracks snapshots of the engine's ledger that readers wait for. One snapshot at a time is taken, for all
// readers that asked before it, so that many readers cost no more than a few.
type snapshotReaders struct {
	waiting, next []host.Inbox // readers that wait for the snapshot under way, and for the one after it
	ticket        engine.Ticket
	requestedAt   engine.Time // when the snapshot under way was requested
	latest        *ledger.Snapshot
	latestAt      engine.Time // when latest was requested
}

type snapshotRequest struct{ reply host.Inbox }

const (
	maxSnapshotReaders = 256                       // readers that wait at once
	snapshotReuse      = 10 * control.Millisecond  // how long a snapshot is given to further readers
	snapshotTimeout    = 500 * control.Millisecond // time after which a snapshot is requested again, as its batch may have failed
)

// Ledger returns a snapshot of the engine's ledger. Concurrent readers share it, so it must not be modified. It contains only
// stored counts, unless it is marked as provisional. The result is nil if the engine keeps no ledger, if the store has not
// responded by the given time, or if too many readers wait. Ledger may be called from any goroutine, and blocks.
func (d *Driver) Ledger(until time.Time) *ledger.Snapshot {
	request := &snapshotRequest{d.host.NewInbox()}
	if !d.enqueue(request) {
		return nil
	}
	s, _ := takeOne(request.reply, until).(*ledger.Snapshot)
	return s
}

// LedgerAsync requests a snapshot without blocking: notify is called with it on the driver's goroutine, and must not block. It
// may never be called if the store does not respond or the driver stops.
func (d *Driver) LedgerAsync(notify func(*ledger.Snapshot)) bool {
	return d.enqueue(&snapshotRequest{snapshotFunc(notify)})
}

// snapshotFunc is an inbox that passes its only value to a function at once.
type snapshotFunc func(*ledger.Snapshot)

func (f snapshotFunc) Put(v any) bool {
	f(v.(*ledger.Snapshot))
	return true
}
func (snapshotFunc) Take(into []any, _ time.Time) []any { return into }
func (snapshotFunc) Close() []any                       { return nil }

// addSnapshotReader answers a reader with a recent snapshot or has it wait for the next one.
func (d *Driver) addSnapshotReader(reply host.Inbox) {
	readers := &d.snapshots
	switch timedOut := d.now.At-readers.requestedAt > snapshotTimeout; {
	case readers.latest != nil && d.now.At-readers.latestAt < snapshotReuse:
		reply.Put(readers.latest)
	case len(readers.waiting)+len(readers.next) >= maxSnapshotReaders && !timedOut:
		reply.Close()
	case len(readers.waiting) == 0 || timedOut:
		readers.waiting = append(append(readers.waiting, readers.next...), reply)
		if readers.next = nil; len(readers.waiting) > maxSnapshotReaders {
			for _, r := range readers.waiting[:len(readers.waiting)-1] { // these readers have stopped waiting long ago
				r.Close()
			}
			readers.waiting = readers.waiting[len(readers.waiting)-1:]
		}
		d.requestSnapshot()
	default:
		readers.next = append(readers.next, reply)
	}
}

func (d *Driver) requestSnapshot() {
	d.lastTicket++
	d.snapshots.ticket, d.snapshots.requestedAt = d.lastTicket, d.now.At
	d.handle(&engine.RequestLedger{Ticket: d.lastTicket})
}

// deliverSnapshot passes a snapshot to the readers that wait for it.
func (d *Driver) deliverSnapshot(f *engine.LedgerSnapshot) {
	c := &d.snapshots
	if f.Ticket != c.ticket {
		return // a newer one was requested since
	}
	out := c.waiting
	c.waiting, c.next, c.latest, c.latestAt = c.next, nil, f.Snapshot, c.requestedAt
	for _, r := range out {
		if f.Snapshot == nil {
			r.Close()
		} else {
			r.Put(f.Snapshot)
		}
	}
	if len(c.waiting) > 0 {
		d.requestSnapshot()
	}
}

func (c *snapshotReaders) close() {
	for _, r := range append(c.waiting, c.next...) {
		r.Close()
	}
	c.waiting, c.next = nil, nil
}

// reportBreach logs a breach that was found or resolved.
func (d *Driver) reportBreach(f *engine.LedgerBreach) {
	fields := []any{
		"class", f.Key.Class, "dest", f.Key.Destination, "tenant", f.Key.Tenant, "other", f.Key.Other, "of", f.Check,
		"books", uint64(f.Booked), "counted", uint64(f.Counted),
	}
	if f.ResolvedAt == 0 {
		d.log.Error("ledger: figures do not add up", fields...)
	} else {
		d.log.Warn("ledger: figures add up again", fields...)
	}
	if d.OnBreach != nil {
		d.OnBreach(f.Breach)
	}
}

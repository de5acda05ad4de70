package driver

import (
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// cuts tracks snapshots of the engine's ledger that readers wait for. One snapshot at a time is taken, for all readers that
// asked before it, so that many readers cost no more than a few.
type cuts struct {
	out, next []host.Inbox // readers that wait for the snapshot under way, and for the one after it
	ticket    engine.Ticket
	asked     engine.Time // when the snapshot under way was requested
	last      *ledger.Snapshot
	lastAt    engine.Time // when last was requested
}

type whenCut struct{ reply host.Inbox }

const (
	mostCuts = 256                       // readers that wait at once
	cutYoung = 10 * control.Millisecond  // for which a snapshot is given to further readers
	cutLost  = 500 * control.Millisecond // after which a snapshot is requested again: its batch may have failed
)

// Ledger returns a snapshot of the engine's ledger. Concurrent readers share it, so it must not be modified. It contains only
// what is stored, unless it is marked as provisional. The result is nil if the engine keeps no ledger, if the store has not
// responded by the given time, or if too many readers wait. Ledger may be called from any goroutine, and blocks.
func (d *Driver) Ledger(until time.Time) *ledger.Snapshot {
	q := &whenCut{d.host.NewInbox()}
	if !d.put(q) {
		return nil
	}
	s, _ := take(q.reply, until).(*ledger.Snapshot)
	return s
}

// LedgerAsync requests a snapshot without blocking: told is called with it on the driver's goroutine, and must not block. It
// may never be called if the store does not respond or the driver stops.
func (d *Driver) LedgerAsync(told func(*ledger.Snapshot)) bool { return d.put(&whenCut{tellCut(told)}) }

// tellCut is an inbox that passes its only value to a function at once.
type tellCut func(*ledger.Snapshot)

func (f tellCut) Put(v any) bool {
	f(v.(*ledger.Snapshot))
	return true
}
func (tellCut) Take(into []any, _ time.Time) []any { return into }
func (tellCut) Close() []any                       { return nil }

// cut answers a reader with a recent snapshot or has it wait for the next one.
func (d *Driver) cut(reply host.Inbox) {
	c := &d.cuts
	switch lost := d.now.At-c.asked > cutLost; {
	case c.last != nil && d.now.At-c.lastAt < cutYoung:
		reply.Put(c.last)
	case len(c.out)+len(c.next) >= mostCuts && !lost:
		reply.Close()
	case len(c.out) == 0 || lost:
		c.out = append(append(c.out, c.next...), reply)
		if c.next = nil; len(c.out) > mostCuts {
			for _, r := range c.out[:len(c.out)-1] { // these readers have stopped waiting long ago
				r.Close()
			}
			c.out = c.out[len(c.out)-1:]
		}
		d.askLedger()
	default:
		c.next = append(c.next, reply)
	}
}

func (d *Driver) askLedger() {
	d.ticket++
	d.cuts.ticket, d.cuts.asked = d.ticket, d.now.At
	d.handle(&engine.RequestLedger{Ticket: d.ticket})
}

// shown passes a snapshot to the readers that wait for it.
func (d *Driver) shown(f *engine.LedgerSnapshot) {
	c := &d.cuts
	if f.Ticket != c.ticket {
		return // a newer one was requested since
	}
	out := c.out
	c.out, c.next, c.last, c.lastAt = c.next, nil, f.Snapshot, c.asked
	for _, r := range out {
		if f.Snapshot == nil {
			r.Close()
		} else {
			r.Put(f.Snapshot)
		}
	}
	if len(c.out) > 0 {
		d.askLedger()
	}
}

func (c *cuts) close() {
	for _, r := range append(c.out, c.next...) {
		r.Close()
	}
	c.out, c.next = nil, nil
}

// breached logs a breach that was found or resolved.
func (d *Driver) breached(f *engine.LedgerBreach) {
	list := []any{
		"class", f.Key.Class, "dest", f.Key.Destination, "tenant", f.Key.Tenant, "other", f.Key.Other, "of", f.Check,
		"books", uint64(f.Booked), "counted", uint64(f.Counted),
	}
	if f.ResolvedAt == 0 {
		d.log.Error("ledger: figures do not add up", list...)
	} else {
		d.log.Warn("ledger: figures add up again", list...)
	}
	if d.OnBreach != nil {
		d.OnBreach(f.Breach)
	}
}

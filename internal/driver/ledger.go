package driver

import (
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// cuts are snapshots of the engine's books that somebody waits for. One is made at a time, for all who asked before it,
// so that any number of readers costs no more than a few.
type cuts struct {
	out, next []host.Inbox // who waits for the one under way, and for the one behind it
	ticket    engine.Ticket
	asked     engine.Time
	last      *ledger.Snapshot
	lastAt    engine.Time
}

type whenCut struct{ reply host.Inbox }

const (
	mostCuts = 256                       // readers that wait at once
	cutYoung = 10 * control.Millisecond  // a cut is shown again for so long
	cutLost  = 500 * control.Millisecond // the batch that one waits for may have failed: then another is made
)

// Ledger is a consistent cut through the engine's books, which all who ask at one time share: nobody may change it. It
// shows only what the store has, unless it says that it is provisional. nil: no books are kept, the store did not answer
// until the moment given, or too many ask at once. It may be called from any goroutine, and blocks.
func (d *Driver) Ledger(until time.Time) *ledger.Snapshot {
	q := &whenCut{d.host.NewInbox()}
	if !d.put(q) {
		return nil
	}
	s, _ := take(q.reply, until).(*ledger.Snapshot)
	return s
}

// LedgerAsync is Ledger for those who can't wait: told is called with the cut on the driver's goroutine, and must not block.
// It may never be called, where the store does not answer or the driver stops.
func (d *Driver) LedgerAsync(told func(*ledger.Snapshot)) bool { return d.put(&whenCut{tellCut(told)}) }

// tellCut is an inbox whose only value is taken at once.
type tellCut func(*ledger.Snapshot)

func (f tellCut) Put(v any) bool {
	f(v.(*ledger.Snapshot))
	return true
}
func (tellCut) Take(into []any, _ time.Time) []any { return into }
func (tellCut) Close() []any                       { return nil }

// cut has a reader wait for a cut.
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
			for _, r := range c.out[:len(c.out)-1] { // they have given up long ago
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

// shown passes a cut on.
func (d *Driver) shown(f *engine.LedgerSnapshot) {
	c := &d.cuts
	if f.Ticket != c.ticket {
		return // another has been asked for since
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

// breached tells operators of a breach.
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

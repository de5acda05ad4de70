package undelivered

import (
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
	"curlewmux/resend"
)

const second = control.Second

// rig is a store on an in-memory disk, with clocks that only move when told to.
type rig struct {
	t    *testing.T
	disk *memdir.Disk
	set  Settings
	now  time.Time
	wall time.Time
	s    *Store
	salt uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, disk: memdir.New(), now: time.Unix(1000, 0), wall: time.Date(2026, 12, 1, 3, 0, 0, 0, time.UTC)}
	r.set = Settings{
		MaxDiskBytes: 1 << 20, Retention: 1000 * second, EndedRetention: 100 * second, RefusedSlots: 8, ClassRetention: map[string]Time{"keyed": 50 * second},
		Classes: []resend.Class{
			{Name: "unsafe", Effect: control.SingleShot, Worth: 5},
			{Name: "keyed", Effect: control.Guarded, Worth: 1},
			{Name: "free", Effect: control.Free, Worth: 2},
			{Name: "ordered", Effect: control.SingleShot, Ordered: true, Worth: 5},
		},
		Now: func() time.Time { return r.now }, Wall: func() time.Time { return r.wall },
		Random: func() uint64 { r.salt++; return r.salt * 0x9E3779B97F4A7C15 },
	}
	return r
}

// open opens the store as a new process does, with the messages that the journal has.
func (r *rig) open(live []*engine.RestoredMessage, ended ...*engine.RestoredEnd) *Store {
	r.t.Helper()
	s, err := r.tryOpen(live, ended...)
	if err != nil {
		r.t.Fatal(err)
	}
	return s
}

// tryOpen is open for a store that may fail to open.
func (r *rig) tryOpen(live []*engine.RestoredMessage, ended ...*engine.RestoredEnd) (*Store, error) {
	r.disk.Crash()
	s, err := Open(r.disk.Dir(), r.set)
	if err != nil {
		return nil, err
	}
	s.Reconcile(live, ended)
	r.s = s
	return s, nil
}

// advance moves both clocks.
func (r *rig) advance(d time.Duration) { r.now, r.wall = r.now.Add(d), r.wall.Add(d) }

func message(id, class string) *engine.Message {
	return &engine.Message{ID: id, Class: class, Tenant: "core", Destination: 3, Body: []byte("body of " + id)}
}

// keep stores a message in doubt and reports that the journal has its end.
func (r *rig) keep(id, class string) uint64 {
	r.t.Helper()
	no, err := r.s.Keep(message(id, class), r.failedSubmission(id))
	if err != nil {
		r.t.Fatal(err)
	}
	r.s.setEndBatch(1, no)
	r.s.batchesStored(1)
	return no
}

// failedSubmission returns a submission that failed in doubt: its only attempt timed out a second ago.
func (r *rig) failedSubmission(id string) Submission {
	now := r.s.Now()
	return Submission{ID: id, Disposition: "failed", Cause: "time", AttemptCount: 1, DoubtAt: now - second, QuietFrom: now, Attempts: []Attempt{{Endpoint: "e", Result: "timed out"}}}
}

// claimAndBegin claims an entry and begins a submission of it.
func (r *rig) claimAndBegin(no uint64) (claim uint64, id string) {
	r.t.Helper()
	e, err := r.s.Claim(no, Claim{By: "rule x"})
	if err != nil {
		r.t.Fatal(err)
	}
	m, err := r.s.BeginSubmission(no, e.Claim.Number)
	if err != nil {
		r.t.Fatal(err)
	}
	return e.Claim.Number, m.ID
}

func (r *rig) get(no uint64) Summary {
	r.t.Helper()
	s, ok := r.s.Get(no)
	if !ok {
		r.t.Fatalf("there is no entry %d", no)
	}
	return s
}

func (r *rig) entry(no uint64) *Entry {
	r.t.Helper()
	e, err := r.s.Entry(no)
	if err != nil {
		r.t.Fatal(err)
	}
	return e
}

// want checks the state of an entry and whether it is in doubt.
func (r *rig) want(no uint64, state State, doubt bool) {
	r.t.Helper()
	if s := r.get(no); s.State != state || (s.Doubt.FirstSent != 0) != doubt {
		r.t.Errorf("entry %d is %s, in doubt %v; want %s, %v", no, s.State, s.Doubt.FirstSent != 0, state, doubt)
	}
}

// dir returns a copy of the folder, as another process reads it.
func (r *rig) dir() journal.Dir { return r.disk.Clone().Dir() }

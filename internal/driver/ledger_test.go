package driver

import (
	"testing"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// While the store does not respond, the number of waiting readers is bounded, and later one snapshot answers all of them.
func TestReadersOfTheLedgerAreBounded(t *testing.T) {
	t.Parallel()
	d := &Driver{host: host.System{}, verdictWaiters: map[engine.Ticket]host.Inbox{}}
	set := engine.Settings{HasStore: true, Control: control.Settings{
		Instances: 1, Tick: 5 * control.Millisecond, ReportLeft: -1, ReportLimit: -1, Slots: 1, MaxOpen: 10, MaxTries: 1,
		Classes: []control.Class{{Name: "free", Effect: control.Free, Aim: control.Second, Deadline: control.Second, Worth: 1}},
		Kinds:   []control.Kind{{Name: "hooks", Batch: 1}}, ConnIdle: control.Second, ConnectTimeout: control.Second, StreamsPerConn: 1,
		StopSendingWithin: control.Second, ColdFrom: 0.2, WarmUp: control.Second, TipMultiple: 2, OverloadFor: control.Second,
	}}
	set.Ledger = &engine.LedgerSettings{Settings: ledger.Settings{Instance: "d"}, Epoch: ledger.NewEpoch(1, 1, "", "")}
	e, err := engine.New(set)
	if err != nil {
		t.Fatal(err)
	}
	d.engine = e
	d.Store = silentStore{}
	d.now = engine.Now{At: engine.Epoch, Wall: 1}
	d.handle(&engine.RestoreComplete{}) // appends a batch with the leaf of the epoch, which stays unanswered
	var got []*ledger.Snapshot
	for range 100_000 {
		d.addSnapshotReader(snapshotFunc(func(s *ledger.Snapshot) { got = append(got, s) }))
	}
	if n := len(d.snapshots.waiting) + len(d.snapshots.next); n > maxSnapshotReaders || len(got) > 0 {
		t.Errorf("%d readers wait, %d were answered", n, len(got))
	}
	d.now.At += snapshotTimeout + 1
	d.addSnapshotReader(snapshotFunc(func(s *ledger.Snapshot) { got = append(got, s) }))
	d.handleStoreReport(d.appended, nil)
	if len(got) == 0 || len(got) > maxSnapshotReaders+1 || len(d.snapshots.waiting)+len(d.snapshots.next) > 0 {
		t.Errorf("%d readers were answered, %d wait", len(got), len(d.snapshots.waiting)+len(d.snapshots.next))
	}
	last := got[0]
	d.addSnapshotReader(snapshotFunc(func(s *ledger.Snapshot) { last = s }))
	if last != got[len(got)-1] {
		t.Error("a recent snapshot was not reused")
	}
	d.now.At += engine.Time(snapshotReuse)
	d.addSnapshotReader(snapshotFunc(func(s *ledger.Snapshot) { last = s }))
	if last == got[len(got)-1] {
		t.Error("an old snapshot was reused")
	}
}

// silentStore is a store that accepts batches and never reports them as stored.
type silentStore struct{}

func (silentStore) Append(engine.Batch, []engine.Record) error { return nil }
func (silentStore) Flush() (engine.Batch, error)               { return 0, nil }

package driver

import (
	"testing"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/ledger"
)

// Readers that ask while the store is silent are bounded, those that went away cost nothing, and one cut answers all.
func TestReadersOfTheLedgerAreBounded(t *testing.T) {
	t.Parallel()
	d := &Driver{host: host.System{}, tickets: map[engine.Ticket]host.Inbox{}}
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
	d.e = e
	d.Store = silent{}
	d.now = engine.Now{At: engine.Epoch, Wall: 1}
	d.handle(&engine.RestoreComplete{}) // a batch of the epoch's leaf is on its way, and stays so
	var got []*ledger.Snapshot
	for range 100_000 {
		d.cut(tellCut(func(s *ledger.Snapshot) { got = append(got, s) }))
	}
	if n := len(d.cuts.out) + len(d.cuts.next); n > mostCuts || len(got) > 0 {
		t.Errorf("%d wait, %d were answered", n, len(got))
	}
	d.now.At += cutLost + 1
	d.cut(tellCut(func(s *ledger.Snapshot) { got = append(got, s) }))
	d.told(d.appended, nil)
	if len(got) == 0 || len(got) > mostCuts+1 || len(d.cuts.out)+len(d.cuts.next) > 0 {
		t.Errorf("%d were answered, %d wait", len(got), len(d.cuts.out)+len(d.cuts.next))
	}
	last := got[0]
	d.cut(tellCut(func(s *ledger.Snapshot) { last = s }))
	if last != got[len(got)-1] {
		t.Error("a cut that is young is made anew")
	}
	d.now.At += engine.Time(cutYoung)
	d.cut(tellCut(func(s *ledger.Snapshot) { last = s }))
	if last == got[len(got)-1] {
		t.Error("an old cut is shown")
	}
}

// silent takes batches and does not answer for them.
type silent struct{}

func (silent) Append(engine.Batch, []engine.Record) error { return nil }
func (silent) Flush() (engine.Batch, error)               { return 0, nil }

package ledgerbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/bench"
	"curlewmux/internal/journal"
	"curlewmux/ledger"
)

const (
	live  = 100_000 // messages
	books = 256     // accounts that they are in
	tick  = 5 * control.Millisecond
	hour  = 3600 * control.Second
	disk  = 256 << 20 // of the journal
	wall  = engine.Timestamp(1_764_550_000_000_000)
)

func newEngine(set *engine.LedgerSettings) (*engine.Engine, error) {
	var classes []control.Class
	for n := range 4 {
		classes = append(classes, control.Class{
			Name: fmt.Sprint("class-", n), Effect: control.Free, Aim: hour, Deadline: hour, Worth: 1, LateWorth: 0.5,
		})
	}
	return engine.New(engine.Settings{
		Seed: 1, HasStore: true, MaxIDs: 1 << 20, MaxEndpoints: 1 << 20, Ledger: set, MaxBytes: 1 << 30,
		Control: control.Settings{
			Instances: 1, Tick: tick, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1, Classes: classes,
			Tenants: []control.Tenant{{Name: "core", Quota: 1e6}},
			Kinds:   []control.Kind{{Name: "hooks", Batch: 1}}, Slots: 64, MaxOpen: 2 * live, MaxTries: 100, RetryAfter: true,
			MaxRetryAfter: hour, ConnIdle: 5 * control.Second, ConnectTimeout: control.Second, StreamsPerConn: 1,
			StopSendingWithin: control.Second, ColdFrom: 0.2, WarmUp: 10 * control.Second, TipMultiple: 2, OverloadFor: 2 * control.Second,
		},
	})
}

func message(n int) engine.Message {
	k := key(n % books)
	return engine.Message{ID: fmt.Sprint("m", n), Class: k.Class, Destination: k.Destination, Tenant: k.Tenant, Body: []byte("a body of some length, as clients send it")}
}

func settings() *engine.LedgerSettings {
	return &engine.LedgerSettings{Settings: ledger.Settings{Instance: "n0"}, Epoch: ledger.NewEpoch(1, 1, ledger.ReasonNoLedger, "")}
}

// restore tells an engine what a store had.
func restore(e *engine.Engine, now engine.Now, s *journal.State, on bool) (records []engine.Record) {
	tell := func(ev engine.Event) {
		for _, f := range e.Handle(now, ev) {
			if a, ok := f.(*engine.Append); ok {
				records = append(records, a.Records...)
			}
		}
	}
	if on {
		tell(&engine.RestoredLedger{Leaves: s.Leaves})
	}
	for _, m := range s.Live {
		tell(m)
	}
	for _, m := range s.Ended {
		tell(m)
	}
	tell(&s.Last)
	return records
}

// sweeps measures the parts of sweeps over all that is live, with nothing else to do in their events.
func sweeps(ctx context.Context, progress io.Writer, r *bench.Report) error {
	fmt.Fprintf(progress, "ledger: sweeps of %d live messages\n", live)
	const rounds = 15
	set := settings()
	kept := map[uint64][]byte{}
	set.StoredLeaf = func(n uint64) []byte { return kept[n] }
	e, err := newEngine(set)
	if err != nil {
		return err
	}
	s := &journal.State{}
	for n := range live {
		s.Live = append(s.Live, &engine.RestoredMessage{Message: message(n), Deadline: wall + engine.Timestamp(hour)})
	}
	now := engine.Now{At: engine.Epoch, Wall: wall}
	for _, rec := range restore(e, now, s, true) {
		if l, ok := rec.(*engine.RecLedgerLeaf); ok {
			kept[l.Number] = l.Text
		}
	}
	s = nil
	runtime.GC()
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // a pause of the collector is no part of a sweep
	var parts [][]float64                            // of each round, in the order of the sweep
	step := func() (us float64) {
		now.At += tick
		now.Wall += engine.Timestamp(tick)
		begun := time.Now()
		for _, f := range e.Handle(now, &engine.Notified{}) { // an event that does nothing itself
			if b, ok := f.(*engine.LedgerBreach); ok {
				err = fmt.Errorf("a breach where there is none: %+v", b.Breach)
			}
		}
		return float64(time.Since(begun).Nanoseconds()) / 1e3
	}
	for n := 0; n < rounds && ctx.Err() == nil && err == nil; n++ {
		e.Handle(now, &engine.Withdraw{ID: fmt.Sprint("m", n)}) // something changes: else there is no sweep
		var list []float64
		for range 40 + 32 + 20 { // till the next begins, its parts, and what is compared behind them
			list = append(list, step())
		}
		parts = append(parts, list)
	}
	if err != nil {
		return err
	}
	longest, most := 0.0, 0.0
	for i := range parts[0] {
		var at []float64
		for _, p := range parts {
			at = append(at, p[i])
			most = max(most, p[i])
		}
		longest = max(longest, bench.Median(at))
	}
	r.Set("sweep_part_longest_us", round(longest))
	r.Set("sweep_part_longest_once_us", round(most))
	r.Aim("longest part of a sweep over 100,000 messages, ms (median of 15 sweeps)", "<= 0.2", round(longest/1e3))
	return nil
}

// recoveries measures how long a journal with all that is live takes to be opened and taken up, with a ledger and without.
func recoveries(ctx context.Context, progress io.Writer, r *bench.Report) error {
	const rounds = 21
	dir, err := os.MkdirTemp("", "curlewbench-ledger-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	folders := map[bool]string{}
	for _, on := range []bool{false, true} {
		if folders[on], err = os.MkdirTemp(dir, "state-"); err != nil {
			return err
		}
		if err := fill(folders[on], on); err != nil {
			return err
		}
	}
	times := map[bool][]float64{}
	var ratio []float64
	for n := 0; n < rounds && ctx.Err() == nil; n++ {
		if n%5 == 0 {
			fmt.Fprintf(progress, "ledger: recovery, turn %d of %d\n", n+1, rounds)
		}
		for i := range 2 {
			on := (i+n)%2 == 0
			took, err := takeUp(folders[on], on)
			if err != nil {
				return err
			}
			times[on] = append(times[on], took.Seconds()*1e3)
		}
		ratio = append(ratio, times[true][n]/times[false][n])
	}
	r.Set("recovery_with_ms", round(bench.Median(slices.Clone(times[true]))))
	r.Set("recovery_without_ms", round(bench.Median(slices.Clone(times[false]))))
	r.Aim("recovery with 100,000 live messages, with the ledger against without", "<= 1.05", round(bench.Median(ratio)))
	return nil
}

func open(dir string, on bool) (*journal.Journal, *journal.State, error) {
	return journal.Open(journal.OSDir(dir), journal.Settings{
		Disk: disk, Owner: "n0", Random: rand.New(rand.NewPCG(1, 2)).Uint64, KeepLeaves: on,
	})
}

// fill writes a journal as an engine with all these messages has it.
func fill(dir string, on bool) error {
	j, _, err := open(dir, on)
	if err != nil {
		return err
	}
	defer j.Close()
	l, err := ledger.New(settings().Settings, settings().Epoch)
	if err != nil {
		return err
	}
	for n := range live {
		m := message(n)
		records := []engine.Record{&engine.RecAccepted{Message: m, Deadline: wall + engine.Timestamp(hour)}}
		if on {
			l.Post(l.Account(key(n%books)), ledger.Accepted)
			l.WriteLeaves(1, func(f ledger.Leaf) { records = append(records, &engine.RecLedgerLeaf{Number: f.Number, Text: f.Text}) })
		}
		if err := j.Append(engine.Batch(n+1), records); err != nil {
			return err
		}
		if _, err := j.Flush(); err != nil {
			return err
		}
	}
	return nil
}

func takeUp(dir string, on bool) (time.Duration, error) {
	runtime.GC()
	begun := time.Now()
	j, s, err := open(dir, on)
	if err != nil {
		return 0, err
	}
	defer j.Close()
	var set *engine.LedgerSettings
	if on {
		set = settings()
	}
	e, err := newEngine(set)
	if err != nil {
		return 0, err
	}
	restore(e, engine.Now{At: engine.Epoch, Wall: wall}, s, on)
	took := time.Since(begun)
	if e.OpenMessages() != live {
		return 0, fmt.Errorf("%d messages are live, want %d", e.OpenMessages(), live)
	}
	return took, nil
}

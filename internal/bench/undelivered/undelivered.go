// Package undelivered measures the store of undelivered messages: what it costs to keep, list and claim one with few and
// with many there, what each takes in memory, and what fresh messages lose while ten thousand are sent again.
package undelivered

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/bench"
	"curlewmux/internal/journal"
	"curlewmux/internal/redeliver"
	"curlewmux/resend"
	store "curlewmux/undelivered"
)

// Measurement is curlewbench undelivered.
func Measurement() bench.Measurement {
	return bench.Measurement{Name: "undelivered", About: "undelivered messages: keep, list, claim, memory; fresh p99 while 10,000 are sent again", Run: run}
}

const (
	bodyBytes = 200
	samples   = 1000 // of keep and claim
)

func run(ctx context.Context, progress io.Writer) (*bench.Report, error) {
	root, err := os.MkdirTemp("", "curlewbench-undelivered-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(root)
	r := &bench.Report{}
	for _, kept := range []int{10, 1000, 100_000} {
		c, err := costs(ctx, filepath.Join(root, fmt.Sprint(kept)), kept)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%d kept: keep p50 %.0f us, p99 %.0f; claim p50 %.0f, p99 %.0f; list %.1f ms; start %.2f s; %.0f bytes of memory each\n",
			kept, at(c.keep, 0.5), at(c.keep, 0.99), at(c.claim, 0.5), at(c.claim, 0.99), c.list.Seconds()*1000, c.start.Seconds(), c.memory)
		name := fmt.Sprintf("kept_%d_", kept)
		for what, v := range map[string]float64{
			"keep_p50_us": at(c.keep, 0.5), "keep_p99_us": at(c.keep, 0.99), "claim_p50_us": at(c.claim, 0.5), "claim_p99_us": at(c.claim, 0.99),
			"list_ms": c.list.Seconds() * 1000, "start_s": c.start.Seconds(), "disk_bytes_each": c.disk,
		} {
			r.Set(name+what, round(v))
		}
		if kept == 100_000 {
			r.Set("memory_each_bytes", round(c.memory))
			r.Aim("memory for each of 100,000 kept, in bytes", "<= 200", round(c.memory))
		}
	}
	if err := fresh(ctx, root, progress, r); err != nil {
		return nil, err
	}
	return r, ctx.Err()
}

func round(v float64) float64 { return float64(int(v*100+0.5)) / 100 }

// cost is what it costs with so many kept.
type cost struct {
	keep, claim []float64 // microseconds, sorted
	list, start time.Duration
	memory      float64 // bytes of heap for each, index and planner
	disk        float64 // bytes as the platform counts, for each
}

func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func settings() store.Settings {
	return store.Settings{
		MaxDiskBytes: 4 << 30, RefusedSlots: 100, Now: time.Now, Wall: time.Now, Random: rand.New(rand.NewPCG(1, 2)).Uint64,
		Classes: []resend.Class{{Name: "unsafe", Effect: control.SingleShot, Deadline: 60 * control.Second, Worth: 5}},
	}
}

// message is the n-th, with texts of usual length.
func message(n int) *engine.Message {
	return &engine.Message{
		ID: fmt.Sprintf("9b1f03aa5c7e%08d", n), Class: "unsafe", Tenant: "core", Destination: 1 + n%4, Key: fmt.Sprintf("5c0f6e1a2b3d4c59%016d", n),
		Body: make([]byte, bodyBytes),
	}
}

// keep keeps the n-th message, as one that never ran, and says that the journal has its end.
func keep(k *store.Keeper, n int) error {
	m := message(n)
	g := &engine.Undelivered{Message: *m, At: 1, Cause: engine.CauseDeadline, Tries: 1, Attempts: []engine.Attempt{{
		Sent: 1, End: 2, Endpoint: "s-5be2a07c", Addr: "10.1.0.18:9000", Result: control.Refused,
	}}}
	b := engine.Batch(n + 1)
	if err := k.Append(b, []engine.Record{&engine.RecPendingResult{ID: m.ID, PendingResult: engine.PendingResult{Disposition: engine.Failed}, Undelivered: g}}); err != nil {
		return err
	}
	k.Stored(b)
	return nil
}

// nothing is a journal that has all at once.
type nothing struct{ last engine.Batch }

func (j *nothing) Append(b engine.Batch, _ []engine.Record) error { j.last = b; return nil }
func (j *nothing) Flush() (engine.Batch, error)                   { return j.last, nil }

func heap() uint64 {
	var m runtime.MemStats
	for range 3 {
		runtime.GC()
	}
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func costs(ctx context.Context, dir string, kept int) (c cost, err error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return c, err
	}
	s, err := store.Open(journal.OSDir(dir), settings())
	if err != nil {
		return c, err
	}
	s.Reconcile(nil, nil)
	d := desk(s)
	k := store.NewKeeper(&nothing{}, s, engine.Clock{Start: time.Now()}, d)
	timed := min(samples, kept)
	for n := range kept {
		begun := time.Now()
		if err := keep(k, n); err != nil {
			return c, err
		}
		if n >= kept-timed {
			c.keep = append(c.keep, float64(time.Since(begun).Nanoseconds())/1000)
		}
		if n%1000 == 0 && ctx.Err() != nil {
			return c, ctx.Err()
		}
	}
	slices.Sort(c.keep)
	c.disk = float64(s.DiskBytes()) / float64(kept)
	if err := s.Close(); err != nil {
		return c, err
	}
	s, d, k = nil, nil, nil
	before := heap()
	begun := time.Now()
	if s, err = store.Open(journal.OSDir(dir), settings()); err != nil {
		return c, err
	}
	s.Reconcile(nil, nil)
	d = desk(s)
	d.Start()
	c.start = time.Since(begun)
	c.memory = (float64(heap()) - float64(before)) / float64(kept)
	service := &redeliver.Service{Resender: d, Dir: journal.OSDir(dir), RunOnDriver: func(f func()) bool { f(); return true }}
	begun, lines := time.Now(), 0
	err = service.Handle(ctx, &redeliver.Request{Command: "list"}, func(r *redeliver.Reply) error {
		if r.Entry != nil {
			lines++
		}
		return nil
	})
	if c.list = time.Since(begun); err != nil {
		return c, err
	}
	if lines != kept {
		return c, fmt.Errorf("%d of %d were listed", lines, kept)
	}
	var numbers []uint64
	s.Each(0, func(e store.Summary) bool {
		numbers = append(numbers, e.Number)
		return true
	})
	for i := range timed {
		no := numbers[i*len(numbers)/timed]
		begun := time.Now()
		if _, err := s.Claim(no, store.Claim{By: "bench", Why: "to see how long it takes", Manual: true}); err != nil {
			return c, err
		}
		c.claim = append(c.claim, float64(time.Since(begun).Nanoseconds())/1000)
	}
	slices.Sort(c.claim)
	return c, s.Close()
}

// desk works on a store, with a rule that fits all, and sends nothing.
func desk(s *store.Store) *redeliver.Resender {
	d := redeliver.New(redeliver.Settings{MaxInFlight: 1, RateShare: 0.2, TrialInterval: control.Second, Rules: resend.Settings{
		Classes: settings().Classes, Rules: []resend.Rule{{Name: "all", MaxResends: 5, FirstDelay: 60 * control.Second, MaxDelay: 3600 * control.Second}},
	}}, s, slog.New(slog.DiscardHandler))
	d.Callbacks = redeliver.Callbacks{
		WakeAt:    func(redeliver.Time) {},
		Condition: func(int) (control.Condition, float64) { return control.Busy, 0 },
	}
	return d
}

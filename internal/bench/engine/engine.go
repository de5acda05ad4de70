// Package enginebench measures the engine: what a message's whole life costs there while many destinations hold messages
// that can't go.
package enginebench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/bench"
)

// Measurement is what curlewbench offers as "engine".
func Measurement() bench.Measurement {
	return bench.Measurement{
		Name:  "engine",
		About: "a message's whole life in the engine with many destinations held and blocked",
		Run: func(ctx context.Context, progress io.Writer) (*bench.Report, error) {
			r := &bench.Report{}
			for _, part := range []func(context.Context, io.Writer, *bench.Report) error{daemon, lives} {
				if err := part(ctx, progress, r); err != nil {
					return nil, err
				}
			}
			return r, nil
		},
	}
}

// budget is how long each number of destinations may take in all, its setting up counted.
const budget = 8 * time.Second

// lives measures messages' lives with each number of destinations blocked, one in each tick and many. With a few
// destinations a run is over in no time: there it is the median of several.
func lives(ctx context.Context, progress io.Writer, r *bench.Report) error {
	for _, blocked := range []int{20, 1000, 10_000} {
		until := time.Now().Add(budget)
		ctx, cancel := context.WithDeadline(ctx, until)
		var runs []run
		for n := 0; n < 15 && time.Until(until) > budget/4; n++ {
			fmt.Fprintf(progress, "engine: %d destinations blocked, run %d\n", blocked, n+1)
			one, err := measure(ctx, blocked)
			if err != nil {
				cancel()
				return fmt.Errorf("%d destinations: %w", blocked, err)
			}
			if one.single.lives == 0 {
				break // its time was up while it was set up
			}
			runs = append(runs, one)
		}
		cancel()
		r.Set(fmt.Sprintf("blocked_%d_runs", blocked), len(runs))
		if len(runs) == 0 {
			continue // no figure is better than a made up one
		}
		set := func(name string, of func(run) float64) {
			values := make([]float64, len(runs))
			for i := range runs {
				values[i] = of(runs[i])
			}
			r.Set(fmt.Sprintf("blocked_%d_%s", blocked, name), round(bench.Median(values)))
		}
		set("set_up_ms", func(x run) float64 { return x.setUp.Seconds() * 1e3 })
		for _, way := range []struct {
			name string
			of   func(run) cost
		}{{"one_a_tick", func(x run) cost { return x.single }}, {"many_a_tick", func(x run) cost { return x.many }}} {
			if way.of(runs[0]).lives == 0 {
				continue
			}
			set(way.name+"_lives", func(x run) float64 { return float64(way.of(x).lives) })
			set(way.name+"_trials", func(x run) float64 { return float64(way.of(x).trials) })
			set(way.name+"_life_us", func(x run) float64 { return way.of(x).each(way.of(x).took.Seconds() * 1e6) })
			set(way.name+"_life_allocs", func(x run) float64 { return way.of(x).each(float64(way.of(x).allocs)) })
			set(way.name+"_life_bytes", func(x run) float64 { return way.of(x).each(float64(way.of(x).bytes)) })
		}
	}
	return nil
}

func round(v float64) float64 { return float64(int64(v*100+0.5)) / 100 }

// run is what one engine gave.
type run struct {
	setUp        time.Duration
	single, many cost
}

// cost is what a number of lives took.
type cost struct {
	lives  int
	trials int // calls to destinations in an outage that came up meanwhile
	took   time.Duration
	allocs uint64
	bytes  uint64
}

func (c cost) each(v float64) float64 { return v / float64(c.lives) }

// The engine's time is kept short, so that calls which are left out count as neither silent nor late.
const (
	singleLives = 200 // one a tick
	manyTicks   = 40
	free        = 32 // destinations that take messages; in "many" each takes one a tick
)

// measure sets an engine up with so many destinations that hold a message each which can't go: a third have as many calls
// out as they may, a third told a wait, a third meet nobody. Then it measures lives at destinations that are free.
func measure(ctx context.Context, blocked int) (run, error) {
	b, err := newBlocked(blocked)
	if err != nil {
		return run{}, err
	}
	start := time.Now()
	var out run
	if !b.setUp(ctx) {
		return out, b.err
	}
	out.setUp = time.Since(start)
	half := ctx
	if until, ok := ctx.Deadline(); ok { // the other half is for the second way
		var cancel context.CancelFunc
		half, cancel = context.WithDeadline(ctx, time.Now().Add(time.Until(until)/2))
		defer cancel()
	}
	out.single = b.live(half, singleLives, 1)
	out.many = b.live(ctx, manyTicks, free)
	return out, b.err
}

// rig is an engine with a store that answers at once and endpoints that answer as their destination does.
type rig struct {
	e       *engine.Engine
	now     engine.Now
	blocked int
	ended   engine.Ended   // reused
	calls   []*engine.Call // not answered yet
	trials  int
	done    int
	err     error
}

const tick = 5 * control.Millisecond

func newBlocked(blocked int) (*rig, error) {
	const hour = 3600 * control.Second
	all := blocked + free
	e, err := engine.New(engine.Settings{
		Seed: 1, HasStore: true, MaxIDs: 1 << 20, MaxEndpoints: 1 << 20,
		Control: control.Settings{
			Instances: 2, Tick: tick, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
			Classes: []control.Class{{
				Name: "keyed", Effect: control.Guarded, Window: hour, Aim: hour, Deadline: hour, Worth: 1, LateWorth: 0.5,
			}},
			Kinds: []control.Kind{{Name: "hooks", Batch: 1}},
			Slots: all, MaxOpen: 4 * all, MaxTries: 100, MayCancel: true, RetryAfter: true, MaxRetryAfter: hour,
			ConnIdle: 5 * control.Second, ConnectTimeout: control.Second, StreamsPerConn: 1,
			StopSendingWithin: control.Second, ColdFrom: 0.2, WarmUp: 10 * control.Second, TipMultiple: 2,
			OverloadFor: 2 * control.Second, SettleAfterDoubt: control.Second / 2,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return &rig{e: e, now: engine.Now{At: engine.Epoch, Wall: 1_700_000_000_000_000}, blocked: blocked}, nil
}

// listPart is less than what the engine takes of a list in one tick.
const listPart = 400

// setUp brings all blocked destinations to hold a message that can't go. It returns false if the time was up.
func (b *rig) setUp(ctx context.Context) bool {
	l := &engine.Members{Source: "bench", FullList: true}
	for dest := range b.blocked + free {
		l.List = append(l.List, engine.Member{
			ID: fmt.Sprint("e", dest), Addr: "127.0.0.1:1", Destination: dest, Phase: engine.Active,
		})
	}
	b.handle(l)
	for range len(l.List)/listPart + 2 { // the engine takes a long list in parts, one a tick
		b.wake()
	}
	for n := range 2 { // of those whose call stays out the second message waits for their window
		for dest := range b.blocked {
			if n == 0 || dest%3 == 0 {
				b.handle(&engine.Submit{Message: message(fmt.Sprintf("held-%d-%d", dest, n), dest), ExpiresIn: 3600 * control.Second})
			}
		}
		b.wake()
		b.wake()
		if ctx.Err() != nil {
			return false
		}
	}
	if want := b.blocked + (b.blocked+2)/3; b.err == nil && b.e.OpenMessages() != want {
		b.err = fmt.Errorf("%d messages are held, want %d", b.e.OpenMessages(), want)
	}
	return b.err == nil
}

func message(id string, dest int) engine.Message {
	return engine.Message{ID: id, Class: "keyed", Destination: dest, Key: id, Body: []byte("a body of some length, as clients send it")}
}

// live measures so many ticks with so many messages each, from being handed in to their end, as far as the time goes.
func (b *rig) live(ctx context.Context, ticks, each int) (c cost) {
	handIns := make([]*engine.Submit, ticks*each)
	for i := range handIns {
		dest := b.blocked + i%free
		handIns[i] = &engine.Submit{Message: message(fmt.Sprintf("%d-of-%d-%d", i, ticks, each), dest), ExpiresIn: 3600 * control.Second}
	}
	b.done, b.trials = 0, 0
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := 0; i < ticks && ctx.Err() == nil && b.err == nil; i++ {
		for _, h := range handIns[i*each : (i+1)*each] {
			b.handle(h)
		}
		b.wake()
		c.lives += each
	}
	c.took = time.Since(start)
	runtime.ReadMemStats(&after)
	c.allocs, c.bytes, c.trials = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc, b.trials
	if b.err == nil && b.done != c.lives {
		b.err = fmt.Errorf("%d of %d messages ended", b.done, c.lives)
	}
	return c
}

// wake lets a tick pass and the endpoints answer.
func (b *rig) wake() {
	b.now.At += tick
	b.now.Wall += engine.Timestamp(tick)
	b.handle(&engine.Wake{})
}

// handle tells the engine something and does what it wants: records are stored at once, calls answered.
func (b *rig) handle(ev engine.Event) {
	var stored engine.Batch
	for _, f := range b.e.Handle(b.now, ev) {
		switch f := f.(type) {
		case *engine.Append:
			stored = f.Batch
		case *engine.Answer:
			if f.Kind != engine.Accepted && b.err == nil {
				b.err = fmt.Errorf("a message is not taken: %s", f.Reason)
			}
		case *engine.Call:
			b.calls = append(b.calls, f)
		case *engine.Done:
			b.done++
		}
	}
	if stored > 0 {
		b.handle(&engine.Stored{Batch: stored})
	}
	for len(b.calls) > 0 {
		c := b.calls[0]
		b.calls = b.calls[1:]
		b.answer(c)
	}
}

// answer ends a call as its destination does.
func (b *rig) answer(c *engine.Call) {
	o := engine.Outcome{Result: control.OK}
	if dest := int(c.Endpoint) - 1; dest < b.blocked { // endpoints are numbered in the order in which they were told
		switch dest % 3 {
		case 0:
			return // it stays out
		case 1:
			o.Result, o.RetryAfter = control.Refused, time.Hour
		case 2:
			o.Result = control.ConnectFailed
		}
		b.trials++
	}
	b.ended.Call, b.ended.Outcomes = c.ID, append(b.ended.Outcomes[:0], o)
	b.handle(&b.ended)
}

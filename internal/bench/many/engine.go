package manybench

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/bench"
)

const (
	free    = 32  // destinations that take messages, beside those that are blocked
	each    = 10  // messages a tick: 2,000 a second
	ticks   = 400 // that are measured
	turns   = 3   // runs of each number of destinations, in turns
	body    = "a body of some length, as clients send it"
	members = 10_000
)

// rig is an engine with a store that answers at once, and endpoints that answer as their destination does.
type rig struct {
	e       *engine.Engine
	now     engine.Now
	blocked int
	calls   []*engine.Call
	done    int
	err     error
	clock   func() time.Duration
	took    spans // of each event

	answer  func(*engine.Call) (o engine.Outcome, ok bool) // nil: as the destination's third does
	expires engine.Time                                    // what messages have; 0: an hour
	aborts  int
	through []string // ends that are owed
}

func newRig(blocked, open int, clock func() time.Duration) (*rig, error) {
	return newRigWith(blocked, blocked+free, open, clock)
}

func newRigWith(blocked, slots, open int, clock func() time.Duration) (*rig, error) {
	set := controlSettings(slots)
	set.MaxOpen = open
	e, err := engine.New(engine.Settings{Seed: 1, HasStore: true, MaxIDs: 1 << 20, MaxEndpoints: 1 << 20, MaxBytes: 1 << 30, Control: set})
	if err != nil {
		return nil, fmt.Errorf("engine: %w", err)
	}
	return &rig{e: e, now: engine.Now{At: engine.Epoch, Wall: 1_700_000_000_000_000}, blocked: blocked, clock: clock}, nil
}

// list names so many endpoints, one of each destination.
func list(n int, phase engine.Phase) *engine.Members {
	l := &engine.Members{Source: "bench", FullList: true}
	for dest := range n {
		l.List = append(l.List, engine.Member{ID: fmt.Sprint("e", dest), Addr: "127.0.0.1:1", Destination: dest, Phase: phase})
	}
	return l
}

func (g *rig) handIn(id string, dest int) {
	g.handle(&engine.Submit{
		Message: engine.Message{ID: id, Class: "keyed", Destination: dest, Key: id, Body: []byte(body)}, ExpiresIn: cmp.Or(g.expires, hour),
	})
}

// wake lets a tick pass and the endpoints answer.
func (g *rig) wake() {
	g.now.At += tick
	g.now.Wall += engine.Timestamp(tick)
	g.handle(&engine.Wake{})
}

// handle tells the engine something and does what it wants: records are stored at once, calls answered.
func (g *rig) handle(ev engine.Event) {
	begun := g.clock()
	effects := g.e.Handle(g.now, ev)
	g.took = append(g.took, g.clock()-begun)
	var stored engine.Batch
	var aborted []engine.CallID
	for _, f := range effects {
		switch f := f.(type) {
		case *engine.Append:
			stored = f.Batch
		case *engine.Answer:
			if f.Kind != engine.Accepted && g.err == nil {
				g.err = fmt.Errorf("a message is not taken: %s", f.Reason)
			}
		case *engine.Call:
			g.calls = append(g.calls, f)
		case *engine.Done:
			g.done++
			if f.Disposition == engine.Refused || f.Disposition == engine.Failed {
				g.through = append(g.through, f.ID)
			}
		case *engine.Abort:
			g.aborts++
			aborted = append(aborted, f.Call)
		}
	}
	if stored > 0 {
		g.handle(&engine.Stored{Batch: stored})
	}
	for _, id := range aborted {
		g.handle(&engine.Ended{Call: id, Outcomes: []engine.Outcome{{Result: control.Cancelled}}})
	}
	if len(g.through) > 0 {
		ids := g.through
		g.through = nil
		g.handle(&engine.Notified{IDs: ids})
	}
	for len(g.calls) > 0 {
		c := g.calls[0]
		g.calls = g.calls[1:]
		if g.answer != nil {
			if o, ok := g.answer(c); ok {
				g.handle(&engine.Ended{Call: c.ID, Outcomes: []engine.Outcome{o}})
			}
			continue
		}
		o := engine.Outcome{Result: control.OK}
		if dest := int(c.Endpoint) - 1; dest < g.blocked { // endpoints are numbered in the order in which they were told
			res, wait, ok := thirds(dest)
			if !ok {
				continue // it stays out
			}
			o.Result, o.RetryAfter = res, time.Duration(wait)*time.Microsecond
		}
		g.handle(&engine.Ended{Call: c.ID, Outcomes: []engine.Outcome{o}})
	}
}

// block brings all blocked destinations to hold a message that can't go.
func (g *rig) block() error {
	g.handle(list(g.blocked+free, engine.Active))
	for range g.blocked/100 + 2 {
		g.wake()
	}
	for dest := range g.blocked {
		g.handIn(fmt.Sprint("held-", dest), dest)
		g.handIn(fmt.Sprint("behind-", dest), dest)
	}
	for range 2 * control.Second / tick {
		g.wake()
	}
	if g.err == nil && g.e.OpenMessages() != 2*g.blocked {
		g.err = fmt.Errorf("%d messages are held, want %d", g.e.OpenMessages(), 2*g.blocked)
	}
	return g.err
}

// life is the CPU time of a message's whole life, with so many destinations blocked.
func life(ctx context.Context, blocked int, clock func() time.Duration) (perMessage time.Duration, wakes spans, err error) {
	g, err := newRig(blocked, 4*(blocked+free), clock)
	if err != nil {
		return 0, nil, err
	}
	if err := g.block(); err != nil {
		return 0, nil, err
	}
	g.done, g.took = 0, nil
	runtime.GC()
	begun := clock()
	for t := range ticks {
		for i := range each {
			g.handIn(fmt.Sprintf("m-%d-%d", t, i), blocked+(t*each+i)%free)
		}
		if g.wake(); ctx.Err() != nil {
			return 0, nil, ctx.Err()
		}
	}
	took := clock() - begun
	if g.err == nil && g.done != ticks*each {
		g.err = fmt.Errorf("%d of %d messages ended", g.done, ticks*each)
	}
	return took / (ticks * each), g.took, g.err
}

// lives measures messages' lives beside 20, 1,000 and 10,000 blocked destinations, in turns.
func lives(ctx context.Context, progress io.Writer, r *bench.Report) error {
	of := map[int][]float64{}
	var ratios []float64
	longest := time.Duration(0)
	for turn := range turns {
		for _, n := range []int{20, 1000, 10_000} {
			fmt.Fprintf(progress, "scale: lives beside %d blocked destinations, turn %d of %d\n", n, turn+1, turns)
			err := onThread(func(clock func() time.Duration) error {
				each, wakes, err := life(ctx, n, clock)
				of[n] = append(of[n], us(each))
				longest = max(longest, wakes.at(0.999))
				return err
			})
			if err != nil {
				return fmt.Errorf("%d destinations: %w", n, err)
			}
		}
		ratios = append(ratios, of[10_000][turn]/of[20][turn])
	}
	for n, values := range of {
		r.Set(figure(n, "life_cpu_us"), bench.Median(values))
	}
	r.Set("life_event_p999_cpu_ms", ms(longest))
	r.Aim("CPU for a message at 10,000 destinations over that at 20", ratioAim, round(bench.Median(ratios)))
	return nil
}

// memory measures what an endpoint with its destination, and a held message, take on the heap.
func memory(ctx context.Context, progress io.Writer, r *bench.Report) error {
	fmt.Fprintln(progress, "scale: memory")
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	still := func() time.Duration { return 0 }
	g, err := newRig(members, 4*members, still)
	if err != nil {
		return err
	}
	settle := func() {
		for range 60 {
			g.wake()
		}
		g.took = nil
	}
	start := heap()
	g.handle(list(members, engine.Leaving))
	settle()
	listed := heap()
	for i := range 2 * members {
		g.handIn(fmt.Sprint("m", i), i%100)
	}
	settle()
	held := heap()
	runtime.KeepAlive(g)
	r.Set("bytes_endpoint_and_destination", round((listed-start)/members))
	r.Set("bytes_held_message", round((held-listed)/(2*members)))
	return g.err
}

// lists measures what lists of 10,000 endpoints take at once, with a message held for each.
func lists(ctx context.Context, progress io.Writer, r *bench.Report) error {
	fmt.Fprintln(progress, "scale: lists of 10,000")
	return onThread(func(clock func() time.Duration) error {
		g, err := newRig(0, 4*members, clock)
		if err != nil {
			return err
		}
		leaving := list(members, engine.Leaving)
		delta := *leaving
		delta.FullList = false
		tell := func(l *engine.Members) spans {
			runtime.GC()
			g.took = nil
			g.handle(l)
			for range 60 {
				g.wake()
			}
			return g.took
		}
		tell(leaving)
		for i := range members {
			g.handIn(fmt.Sprint("m", i), i)
		}
		for range 60 {
			g.wake()
		}
		all := spans{}
		for _, part := range []struct {
			name string
			l    *engine.Members
		}{
			{"same", leaving}, {"delta", &delta}, {"active", list(members, engine.Active)},
			{"half", list(members/2, engine.Active)}, {"none", &engine.Members{Source: "bench", FullList: true}},
		} {
			took := tell(part.l)
			all = append(all, took...)
			r.Set("list_10000_"+part.name+"_max_cpu_ms", ms(took.at(1)))
		}
		r.Aim("p99.9 of an event's handling while lists of 10,000 come, ms of CPU", pauseAim, ms(all.at(0.999)))
		return g.err
	})
}

package manybench

import (
	"context"
	"fmt"
	"io"
	"time"

	"curlewmux/control"
	"curlewmux/internal/bench"
)

const (
	tick  = 5 * control.Millisecond
	hour  = 3600 * control.Second
	quiet = 400 // Steps that are measured while nothing changes
)

// site is a module with so many destinations, and partners that answer as they are told to.
type site struct {
	d     *control.Dispatcher
	now   control.Time
	acts  []control.Action
	tries map[control.MessageID]int
	clock func() time.Duration
	took  spans // of each Step
}

func controlSettings(n int) control.Settings {
	return control.Settings{
		Instances: 2, Tick: tick, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
		Classes: []control.Class{{
			Name: "keyed", Effect: control.Guarded, Window: hour, Aim: hour, Deadline: hour, Worth: 1, LateWorth: 0.5,
		}},
		Kinds: []control.Kind{{Name: "hooks", Batch: 1}},
		Slots: n, MaxOpen: 8 * n, MaxTries: 1000, MayCancel: true, RetryAfter: true, MaxRetryAfter: hour,
		ConnIdle: 5 * control.Second, ConnectTimeout: control.Second, StreamsPerConn: 1,
		StopSendingWithin: control.Second, ColdFrom: 0.2, WarmUp: 10 * control.Second, TipMultiple: 2,
		OverloadFor: 2 * control.Second, SettleAfterDoubt: control.Second / 2,
	}
}

func newSite(n int, clock func() time.Duration) (*site, error) {
	d, err := control.New(controlSettings(n), 1)
	if err != nil {
		return nil, fmt.Errorf("module: %w", err)
	}
	s := &site{d: d, now: 1000 * control.Second, tries: map[control.MessageID]int{}, clock: clock}
	list := control.Event{Kind: control.List, ListKind: control.ListFull}
	for dest := range n {
		list.Entries = append(list.Entries, control.Entry{Endpoint: control.Endpoint(dest + 1), Destination: dest, Health: control.Ready})
	}
	s.step([]control.Event{list})
	return s, nil
}

func (s *site) step(events []control.Event) {
	s.now += tick
	begun := s.clock()
	s.acts = s.d.Step(s.now, events, s.acts[:0])
	s.took = append(s.took, s.clock()-begun)
}

// arrivals hands one message to each destination.
func (s *site) arrivals(n int) []control.Event {
	events := make([]control.Event, n)
	for dest := range events {
		events[dest] = control.Event{
			Kind: control.Arrival, Message: control.MessageID(len(s.tries) + 1), Destination: dest, Key: 0, TimeLeft: hour,
		}
		s.tries[events[dest].Message] = 0
	}
	return events
}

// answers are the outcomes of what the newest Step sent, where there is one.
func (s *site) answers(of func(dest int) (control.Result, control.Time, bool)) (events []control.Event) {
	for _, a := range s.acts {
		if a.Kind != control.Send {
			continue
		}
		res, wait, ok := of(int(a.Endpoint) - 1)
		attempt := s.tries[a.Message]
		s.tries[a.Message]++
		if !ok {
			continue
		}
		events = append(events, control.Event{
			Kind: control.Outcome, Message: a.Message, Attempt: attempt, Endpoint: a.Endpoint, Result: res, RetryAfter: wait,
			Closed: res == control.OK, Latency: tick,
		})
	}
	return events
}

// thirds answers a third of the destinations never, a third with a wait, and a third has nobody who answers.
func thirds(dest int) (control.Result, control.Time, bool) {
	switch dest % 3 {
	case 0:
		return 0, 0, false
	case 1:
		return control.Refused, hour, true
	}
	return control.ConnectFailed, 0, true
}

// steps measures a Step in which nothing changed, with so many destinations blocked.
func steps(ctx context.Context, progress io.Writer, r *bench.Report) error {
	for _, n := range []int{20, 250, 1000, 4000, 10_000} {
		fmt.Fprintf(progress, "scale: Steps with %d destinations blocked\n", n)
		err := onThread(func(clock func() time.Duration) error {
			s, err := newSite(n, clock)
			if err != nil {
				return err
			}
			s.step(append(s.arrivals(n), s.arrivals(n)...))
			for range 2 * control.Second / tick { // calls are given up, and outages are sure, by then
				if s.step(s.answers(thirds)); ctx.Err() != nil {
					return ctx.Err()
				}
			}
			s.took = s.took[:0]
			begun := time.Now()
			for range quiet {
				s.step(s.answers(thirds))
			}
			wall := time.Since(begun) / quiet
			r.Set(figure(n, "step_mean_wall_us"), us(wall))
			r.Set(figure(n, "step_p50_cpu_us"), us(s.took.at(0.5)))
			r.Set(figure(n, "step_max_cpu_us"), us(s.took.at(1)))
			if n == 4000 {
				r.Aim("a Step with 4,000 blocked, us", stepAim, us(s.took.at(0.5)))
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("%d destinations: %w", n, err)
		}
	}
	return nil
}

// release measures the Steps in which 10,000 waits that end in one millisecond are worked off.
func release(ctx context.Context, progress io.Writer, r *bench.Report) error {
	const n = 10_000
	fmt.Fprintf(progress, "scale: %d waits end at once\n", n)
	return onThread(func(clock func() time.Duration) error {
		s, err := newSite(n, clock)
		if err != nil {
			return err
		}
		until := s.now + 2*control.Second
		s.step(s.arrivals(n))
		for s.now < until-tick {
			s.step(s.answers(func(int) (control.Result, control.Time, bool) { return control.Refused, until - s.now, true }))
		}
		s.took = s.took[:0]
		ends := 0
		for ends < n {
			events := s.answers(func(int) (control.Result, control.Time, bool) { return control.OK, 0, true })
			ends += len(events)
			if s.step(events); ctx.Err() != nil || s.now > until+60*control.Second {
				return fmt.Errorf("%d of %d messages ended", ends, n)
			}
		}
		r.Set("release_10000_steps", len(s.took))
		r.Set("release_10000_step_p50_cpu_ms", ms(s.took.at(0.5)))
		r.Set("release_10000_step_max_cpu_ms", ms(s.took.at(1)))
		r.Aim("p99.9 of a Step while 10,000 come free, ms of CPU", longestAim, ms(s.took.at(0.999)))
		return nil
	})
}

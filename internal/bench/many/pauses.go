package manybench

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

// pauses measures what one event takes at most where 10,000 of something come at once: calls that are called off, waits
// that end, messages whose time is up, and what is forgotten.
func pauses(ctx context.Context, progress io.Writer, r *bench.Report) error {
	all := spans{}
	for _, part := range []struct {
		name string
		play func(*rig) error
	}{{"cancels", cancels}, {"waits", waits}, {"expiry", expiry}, {"tidying", tidying}} {
		fmt.Fprintf(progress, "scale: pauses, %s\n", part.name)
		err := onThread(func(clock func() time.Duration) error {
			g, err := newRigWith(0, 4*members, 4*members, clock)
			if err != nil {
				return err
			}
			if err := part.play(g); err != nil {
				return err
			}
			r.Set("pause_"+part.name+"_p999_cpu_ms", ms(g.took.at(0.999)))
			r.Set("pause_"+part.name+"_max_cpu_ms", ms(g.took.at(1)))
			all = append(all, g.took...)
			return g.err
		})
		if err != nil {
			return fmt.Errorf("%s: %w", part.name, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	r.Aim("p99.9 of an event while 10,000 cancels, waits, ends and ids come at once, ms of CPU", pauseAim, ms(all.at(0.999)))
	return nil
}

// fill lists 10,000 endpoints and hands a message in for each.
func (g *rig) fill() {
	g.handle(list(members, engine.Active))
	g.ticks(60)
	g.handInAll("m")
}

// handInAll hands a message in for each endpoint, some in each tick.
func (g *rig) handInAll(name string) {
	for i := range members {
		if g.handIn(fmt.Sprint(name, i), i); i%perTick == 0 {
			g.wake()
		}
	}
}

const perTick = 500 // messages: 100,000 a second

func (g *rig) ticks(n int) {
	for range n {
		g.wake()
	}
}

func (g *rig) measure() {
	runtime.GC()
	g.took = nil
}

// cancels: every endpoint takes its call and says nothing, and then answers another.
func cancels(g *rig) error {
	first := map[control.Endpoint]bool{}
	g.answer = func(c *engine.Call) (engine.Outcome, bool) {
		silent := !first[c.Endpoint]
		first[c.Endpoint] = true
		return engine.Outcome{Result: control.OK}, !silent
	}
	g.fill()
	g.ticks(100)
	g.measure()
	g.handInAll("n") // these are answered: the first are given up
	g.ticks(400)
	if g.aborts < members/2 {
		return fmt.Errorf("%d of %d calls were called off", g.aborts, members)
	}
	return nil
}

// waits: all are told to wait to the same millisecond.
func waits(g *rig) error {
	until := g.now.At + 3*control.Second
	g.answer = func(*engine.Call) (engine.Outcome, bool) {
		if wait := until - g.now.At; wait > 0 {
			return engine.Outcome{Result: control.Refused, RetryAfter: engine.Duration(wait)}, true
		}
		return engine.Outcome{Result: control.OK}, true
	}
	g.fill()
	for g.now.At < until-tick {
		g.wake()
	}
	g.measure()
	for end := g.now.At + 60*control.Second; g.done < members && g.now.At < end; { // after a refusal less goes out for a while
		g.wake()
	}
	if g.done != members {
		return fmt.Errorf("%d of %d messages ended", g.done, members)
	}
	return nil
}

// expiry: the time of all messages is up at once.
func expiry(g *rig) error {
	g.answer = func(*engine.Call) (engine.Outcome, bool) { return engine.Outcome{}, false }
	g.expires = 3 * control.Second
	g.fill()
	g.ticks(400)
	g.measure()
	g.ticks(400)
	if g.done != members {
		return fmt.Errorf("%d of %d messages ended", g.done, members)
	}
	return nil
}

// tidying: all endpoints go and are forgotten, and so are the ids of all messages.
func tidying(g *rig) error {
	g.answer = func(*engine.Call) (engine.Outcome, bool) { return engine.Outcome{Result: control.OK}, true }
	g.expires = 20 * control.Second
	g.fill()
	g.ticks(200)
	if g.done != members {
		return fmt.Errorf("%d of %d messages ended", g.done, members)
	}
	g.measure()
	g.handle(&engine.Members{Source: "bench", FullList: true})
	g.ticks(int(90 * control.Second / tick))
	if n := g.e.Endpoints(); n != 0 {
		return fmt.Errorf("%d endpoints are left", n)
	}
	return nil
}

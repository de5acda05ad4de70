package admission

import (
	"testing"

	"curlewmux/control"

	"pgregory.net/rapid"
)

const (
	ms  = control.Millisecond
	sec = control.Second
)

func TestNoRejectionWhileKeepingUp(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for now := Time(0); now < 10*sec; now += ms {
		if now%(5*ms) == 0 {
			late := 2 * ms
			if now%sec == 0 {
				late = 50 * ms // a single long delay
			}
			g.ObserveDelay(now, late)
		}
		for range 50 {
			if ok, _ := g.Admit(now); !ok {
				t.Fatalf("rejected at %d us", now)
			}
		}
	}
}

func TestProcessPauseCausesNoRejection(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for now := Time(0); now < sec; now += 5 * ms {
		g.ObserveDelay(now, ms)
	}
	now := 3 * sec
	g.ObserveDelay(now, 2*sec) // the whole process was paused
	for ; now < 4*sec; now += 5 * ms {
		if ok, _ := g.Admit(now); !ok {
			t.Fatalf("rejected at %d us", now)
		}
		g.ObserveDelay(now, ms)
	}
}

// Delays that are long only for a short time cause no limit. The messages that arrived meanwhile are all admitted.
func TestShortDelaysCauseNoRejection(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := sec
	for range 20 {
		for end := now + 95*ms; now < end; now += 5 * ms {
			g.ObserveDelay(now, 80*ms)
		}
		for end := now + 110*ms; now < end; now += 5 * ms {
			g.ObserveDelay(now, ms)
		}
		for range 200 {
			if ok, _ := g.Admit(now); !ok {
				t.Fatalf("rejected at %d us", now)
			}
		}
	}
}

// A heavily overloaded core reports delays rarely. They must not be taken for separate pauses of the process.
func TestRareButVeryLongDelaysCauseLimit(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := sec
	for range 4 {
		now += 2500 * ms
		g.ObserveDelay(now, 2500*ms)
	}
	if !g.Limited() {
		t.Error("no limit although each delay is 2.5 s")
	}
}

// Long delays that are far apart are separate pauses of the process.
func TestSeparatePausesCauseNoRejection(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for i := range Time(20) {
		g.ObserveDelay(sec+i*3*sec, 300*ms)
		if g.Limited() {
			t.Fatalf("limited after %d pauses", i+1)
		}
	}
}

// overload reports long delays until the gate rejects a message, and returns the time of that.
func overload(t *testing.T, g *Gate, now Time) Time {
	t.Helper()
	for end := now + 10*sec; now < end; now += ms {
		g.ObserveDelay(now, 100*ms)
		if ok, after := g.Admit(now); !ok {
			if after <= 0 {
				t.Error("rejection without a retry delay")
			}
			return now
		}
	}
	t.Fatal("no message was rejected in 10 s of long delays")
	return 0
}

func TestFewerAdmittedThanCompletedDuringDelays(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 1e-6})
	now := overload(t, g, 0)
	admitted, completed := 0, 0
	for end := now + 5*sec; now < end; now += ms {
		g.ObserveDelay(now, 50*ms)
		g.Completed(now, 10)
		completed += 10
		for range 40 {
			if ok, _ := g.Admit(now); ok {
				admitted++
			}
		}
	}
	if part := float64(admitted) / float64(completed); part < 0.5 || part > 0.7 {
		t.Errorf("%d admitted, %d completed", admitted, completed)
	}
	if !g.Limited() {
		t.Error("the limit has ended although messages are rejected")
	}
}

func TestMinRateIsAdmittedWithoutCompletions(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 100})
	now := overload(t, g, 0)
	admitted := 0
	for end := now + 10*sec; now < end; now += ms {
		g.ObserveDelay(now, 50*ms)
		if ok, _ := g.Admit(now); ok {
			admitted++
		}
	}
	if admitted < 950 || admitted > 1050 {
		t.Errorf("%d admitted in 10 s, want about 1000", admitted)
	}
}

func TestLimitEndsWithoutRejections(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := overload(t, g, 0)
	for end := now + 2*sec; now < end; now += 10 * ms {
		g.ObserveDelay(now, ms)
		g.Completed(now, 1)
		if ok, _ := g.Admit(now); !ok {
			t.Fatalf("rejected at %d us", now)
		}
	}
	if g.Limited() {
		t.Error("the limit has not ended after 2 s without a rejection")
	}
	for range 100_000 {
		if ok, _ := g.Admit(now); !ok {
			t.Fatal("rejected without a limit")
		}
	}
}

// In any sequence of reports, no more messages are admitted than completed messages, saved tokens and the minimum rate
// allow. A pause does not allow a burst.
func TestAdmissionIsBoundedByCompletions(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		g := New(Settings{MinRate: 100})
		now := Time(0)
		for range 400 { // all delays are long
			g.ObserveDelay(now, sec)
			now += ms
		}
		if !g.Limited() {
			t.Fatal("no limit after 400 ms of long delays")
		}
		from, admitted, allowed := now, 0, 2*float64(minTokenLimit)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += Time(rapid.IntRange(0, 40).Draw(t, "ms")) * ms
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				g.ObserveDelay(now, Time(rapid.IntRange(0, 100).Draw(t, "late"))*ms)
			case 1:
				n := rapid.IntRange(0, 50).Draw(t, "ended")
				g.Completed(now, n)
				allowed += 2 * float64(n)
			case 2:
				for range rapid.IntRange(1, 200).Draw(t, "come") {
					if ok, _ := g.Admit(now); ok {
						admitted++
					}
					if !g.Limited() {
						return // the limit has ended: all are admitted
					}
				}
			}
		}
		if most := allowed + 100*seconds(now-from); float64(admitted) > most+1 {
			t.Fatalf("%d admitted, %.0f allowed", admitted, most)
		}
	})
}

// core simulates a process with one queue. Each job waits for its turn: admitting or rejecting a message, the work of an
// admitted message, or a probe.
type core struct {
	gate                     *Gate
	now                      Time
	queue                    []job // first in, first out
	held, admitted, rejected int
	completed                int
	longest                  Time // longest time from admission to completion of a message
}

type job struct {
	kind int // 0: request for admission, 1: work of a message, 2: probe
	at   Time
	from Time
}

// run simulates a span of time with rate requests a second.
func (c *core) run(span Time, rate float64) {
	const admitCost, rejectCost, workCost = 12, 8, 40 // us
	due := 0.0
	next := c.now / ms * ms
	for end := c.now + span; c.now < end; {
		for ; next <= c.now; next += ms { // requests of one millisecond arrive together
			for due += rate / 1000; due >= 1; due-- {
				c.queue = append(c.queue, job{kind: 0, at: next})
			}
			if next%(5*ms) == 0 {
				c.queue = append(c.queue, job{kind: 2, at: next})
			}
		}
		if len(c.queue) == 0 {
			c.now = next
			continue
		}
		j := c.queue[0]
		c.queue = c.queue[1:]
		switch j.kind {
		case 0:
			if ok, _ := c.gate.Admit(c.now); !ok {
				c.rejected++
				c.now += rejectCost
				continue
			}
			c.admitted++
			c.held++
			c.now += admitCost
			c.queue = append(c.queue, job{kind: 1, at: c.now, from: c.now})
		case 1:
			c.now += workCost
			c.held--
			c.completed++
			c.longest = max(c.longest, c.now-j.from)
			c.gate.Completed(c.now, 1)
		case 2:
			c.gate.ObserveDelay(c.now, c.now-j.at)
		}
	}
}

func TestThroughputUnderOverload(t *testing.T) {
	t.Parallel()
	const capacity = 1e6 / (12 + 40)
	for _, load := range []float64{1.2, 1.5, 2, 4} {
		c := &core{gate: New(Settings{})}
		c.run(3*sec, load*capacity)
		c.completed, c.longest = 0, 0
		c.run(5*sec, load*capacity)
		left := 1 - float64(load-1)*capacity*8/1e6 // part of the core that remains besides rejecting the surplus
		want := max(left, 0.05) * capacity * 5
		if float64(c.completed) < 0.8*want {
			t.Errorf("load %g: %d completed, want about %.0f", load, c.completed, want)
		}
		if c.longest > 200*ms {
			t.Errorf("load %g: a message took %d ms, want 200 ms at most", load, c.longest/ms)
		}
	}
}

func TestAllIsAdmittedAgainAfterOverload(t *testing.T) {
	t.Parallel()
	c := &core{gate: New(Settings{})}
	c.run(3*sec, 60_000)
	if c.rejected == 0 {
		t.Fatal("no message was rejected")
	}
	c.run(2*sec, 5000)
	c.rejected, c.completed = 0, 0
	c.run(2*sec, 5000)
	if c.rejected > 0 || c.completed < 9900 {
		t.Errorf("after the overload: %d rejected, %d completed", c.rejected, c.completed)
	}
}

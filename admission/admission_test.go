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

// After a short time of long delays the messages that came in that time are admitted as a burst.
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

// A heavily overloaded core reports delays rarely. They must not be taken for separate pauses.
func TestRareButVeryLongDelaysCauseLimit(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := sec
	for range 4 {
		now += 2500 * ms
		g.ObserveDelay(now, 2500*ms)
	}
	if !g.Limited() {
		t.Error("everything waits 2.5 s, and everything is admitted")
	}
}

// Long delays far apart are separate pauses of the process.
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
				t.Error("a rejection comes without a retry delay")
			}
			return now
		}
	}
	t.Fatal("everything is late, and everything is admitted")
	return 0
}

func TestFewerAdmittedThanCompletedWhileLate(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 1e-6})
	now := overload(t, g, 0)
	taken, ended := 0, 0
	for end := now + 5*sec; now < end; now += ms {
		g.ObserveDelay(now, 50*ms)
		g.Completed(now, 10)
		ended += 10
		for range 40 {
			if ok, _ := g.Admit(now); ok {
				taken++
			}
		}
	}
	if part := float64(taken) / float64(ended); part < 0.5 || part > 0.7 {
		t.Errorf("%d admitted, %d completed", taken, ended)
	}
	if !g.Limited() {
		t.Error("the limit has ended while messages are rejected")
	}
}

func TestMinRateIsAdmittedWithoutCompletions(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 100})
	now := overload(t, g, 0)
	taken := 0
	for end := now + 10*sec; now < end; now += ms {
		g.ObserveDelay(now, 50*ms)
		if ok, _ := g.Admit(now); ok {
			taken++
		}
	}
	if taken < 950 || taken > 1050 {
		t.Errorf("%d were admitted in 10 s, want 1000", taken)
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
		t.Error("the limit does not end")
	}
	for range 100_000 {
		if ok, _ := g.Admit(now); !ok {
			t.Fatal("rejected without a limit")
		}
	}
}

// With any sequence of reports: a pause does not allow a burst, and no more messages are admitted than completed messages,
// saved tokens and the minimum rate allow.
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
			t.Fatal("no limit")
		}
		from, taken, allowed := now, 0, 2*float64(minTokenLimit)
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
						taken++
					}
					if !g.Limited() {
						return // the limit has ended: all are admitted
					}
				}
			}
		}
		if most := allowed + 100*seconds(now-from); float64(taken) > most+1 {
			t.Fatalf("%d admitted, %.0f allowed", taken, most)
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
	const hear, turn, work = 12, 8, 40 // us
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
				c.now += turn
				continue
			}
			c.admitted++
			c.held++
			c.now += hear
			c.queue = append(c.queue, job{kind: 1, at: c.now, from: c.now})
		case 1:
			c.now += work
			c.held--
			c.completed++
			c.longest = max(c.longest, c.now-j.from)
			c.gate.Completed(c.now, 1)
		case 2:
			c.gate.ObserveDelay(c.now, c.now-j.at)
		}
	}
}

func TestOverloadedCoreStaysProductive(t *testing.T) {
	t.Parallel()
	const can = 1e6 / (12 + 40)
	for _, times := range []float64{1.2, 1.5, 2, 4} {
		c := &core{gate: New(Settings{})}
		c.run(3*sec, times*can)
		c.completed, c.longest = 0, 0
		c.run(5*sec, times*can)
		left := 1 - float64(times-1)*can*8/1e6 // part of the core that remains besides rejecting the surplus
		best := max(left, 0.05) * can * 5
		if float64(c.completed) < 0.8*best {
			t.Errorf("%gx: %d completed, want about %.0f", times, c.completed, best)
		}
		if c.longest > 200*ms {
			t.Errorf("%gx: a message took %d ms", times, c.longest/ms)
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
		t.Errorf("%d rejected, %d completed", c.rejected, c.completed)
	}
}

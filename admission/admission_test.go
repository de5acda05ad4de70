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

func TestWhoKeepsUpTurnsNobodyAway(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for now := Time(0); now < 10*sec; now += ms {
		if now%(5*ms) == 0 {
			late := 2 * ms
			if now%sec == 0 {
				late = 50 * ms // now and then something is
			}
			g.ObserveDelay(now, late)
		}
		for range 50 {
			if ok, _ := g.Admit(now); !ok {
				t.Fatalf("turned away at %d us", now)
			}
		}
	}
}

func TestAPauseOfTheProcessTurnsNobodyAway(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for now := Time(0); now < sec; now += 5 * ms {
		g.ObserveDelay(now, ms)
	}
	now := 3 * sec
	g.ObserveDelay(now, 2*sec) // nothing ran meanwhile
	for ; now < 4*sec; now += 5 * ms {
		if ok, _ := g.Admit(now); !ok {
			t.Fatalf("turned away at %d us", now)
		}
		g.ObserveDelay(now, ms)
	}
}

// What was late for a moment lets a burst in that came meanwhile.
func TestOneLateIntervalTurnsNobodyAway(t *testing.T) {
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
				t.Fatalf("turned away at %d us", now)
			}
		}
	}
}

// A core that hardly gets on tells seldom; that is no pause.
func TestWhatIsVeryLateTurnsWorkAwayAllTheSame(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := sec
	for range 4 {
		now += 2500 * ms
		g.ObserveDelay(now, 2500*ms)
	}
	if !g.Limited() {
		t.Error("everything waits 2.5 s, and everything is taken")
	}
}

// Late things that lie far apart are pauses.
func TestPausesNowAndThenTurnNobodyAway(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	for i := range Time(20) {
		g.ObserveDelay(sec+i*3*sec, 300*ms)
		if g.Limited() {
			t.Fatalf("after %d pauses", i+1)
		}
	}
}

// swamp makes everything late until the gate turns somebody away, and returns when.
func swamp(t *testing.T, g *Gate, now Time) Time {
	t.Helper()
	for end := now + 10*sec; now < end; now += ms {
		g.ObserveDelay(now, 100*ms)
		if ok, after := g.Admit(now); !ok {
			if after <= 0 {
				t.Error("who is turned away is not told when to come again")
			}
			return now
		}
	}
	t.Fatal("everything is late, and everything is taken")
	return 0
}

func TestWhileAllIsLateLessIsTakenThanEnds(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 1e-6})
	now := swamp(t, g, 0)
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
		t.Errorf("%d taken, %d ended", taken, ended)
	}
	if !g.Limited() {
		t.Error("the limit has gone while clients are turned away")
	}
}

func TestWhereNothingEndsAFewAreStillTaken(t *testing.T) {
	t.Parallel()
	g := New(Settings{MinRate: 100})
	now := swamp(t, g, 0)
	taken := 0
	for end := now + 10*sec; now < end; now += ms {
		g.ObserveDelay(now, 50*ms)
		if ok, _ := g.Admit(now); ok {
			taken++
		}
	}
	if taken < 950 || taken > 1050 {
		t.Errorf("%d were taken in 10 s, want 1000", taken)
	}
}

func TestTheLimitGoesWhenItBindsNobody(t *testing.T) {
	t.Parallel()
	g := New(Settings{})
	now := swamp(t, g, 0)
	for end := now + 2*sec; now < end; now += 10 * ms {
		g.ObserveDelay(now, ms)
		g.Completed(now, 1)
		if ok, _ := g.Admit(now); !ok {
			t.Fatalf("turned away at %d us", now)
		}
	}
	if g.Limited() {
		t.Error("the limit stays")
	}
	for range 100_000 {
		if ok, _ := g.Admit(now); !ok {
			t.Fatal("turned away without a limit")
		}
	}
}

// Whatever is told: after a rest no burst comes, and no more is taken than ended, a bank and the floor allow.
func TestNoMoreIsTakenThanWhatEndedAllows(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		g := New(Settings{MinRate: 100})
		now := Time(0)
		for range 400 { // late all through
			g.ObserveDelay(now, sec)
			now += ms
		}
		if !g.Limited() {
			t.Fatal("no limit")
		}
		from, taken, allowed := now, 0, 2*float64(bank)
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
						return // it let go: all may come
					}
				}
			}
		}
		if most := allowed + 100*seconds(now-from); float64(taken) > most+1 {
			t.Fatalf("%d taken, %.0f allowed", taken, most)
		}
	})
}

// core is a process with one queue: what comes waits its turn, turned away or taken, and what was taken is worked off.
type core struct {
	g                    *Gate
	now                  Time
	queue                []job // in order
	held, taken, refused int
	done                 int
	longest              Time // from being taken to the end
}

type job struct {
	kind int // 0 a client, 1 the work of a message, 2 a probe
	at   Time
	from Time
}

// run works for a while with so many clients a second.
func (c *core) run(span Time, rate float64) {
	const hear, turn, work = 12, 8, 40 // us
	due := 0.0
	next := c.now / ms * ms
	for end := c.now + span; c.now < end; {
		for ; next <= c.now; next += ms { // what came within a millisecond
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
			if ok, _ := c.g.Admit(c.now); !ok {
				c.refused++
				c.now += turn
				continue
			}
			c.taken++
			c.held++
			c.now += hear
			c.queue = append(c.queue, job{kind: 1, at: c.now, from: c.now})
		case 1:
			c.now += work
			c.held--
			c.done++
			c.longest = max(c.longest, c.now-j.from)
			c.g.Completed(c.now, 1)
		case 2:
			c.g.ObserveDelay(c.now, c.now-j.at)
		}
	}
}

func TestACoreThatIsSwampedDoesWhatItCan(t *testing.T) {
	t.Parallel()
	const can = 1e6 / (12 + 40)
	for _, times := range []float64{1.2, 1.5, 2, 4} {
		c := &core{g: New(Settings{})}
		c.run(3*sec, times*can)
		c.done, c.longest = 0, 0
		c.run(5*sec, times*can)
		left := 1 - float64(times-1)*can*8/1e6 // of the core, beside turning the surplus away
		best := max(left, 0.05) * can * 5
		if float64(c.done) < 0.8*best {
			t.Errorf("%gx: %d done, could be %.0f", times, c.done, best)
		}
		if c.longest > 200*ms {
			t.Errorf("%gx: a message took %d ms", times, c.longest/ms)
		}
	}
}

func TestAfterARushAllIsTakenAgain(t *testing.T) {
	t.Parallel()
	c := &core{g: New(Settings{})}
	c.run(3*sec, 60_000)
	if c.refused == 0 {
		t.Fatal("nobody was turned away")
	}
	c.run(2*sec, 5000)
	c.refused, c.done = 0, 0
	c.run(2*sec, 5000)
	if c.refused > 0 || c.done < 9900 {
		t.Errorf("%d refused, %d done", c.refused, c.done)
	}
}

package pace

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func drawRate(t *rapid.T) Rate {
	per := rapid.SampledFrom([]float64{1.0 / 600, 0.1, 1, 90, 1000}).Draw(t, "per")
	r := Rate{From: per * rapid.Float64Range(0, 1).Draw(t, "from"), Rise: per * rapid.Float64Range(0, 1).Draw(t, "rise")}
	r.End = r.From + per*rapid.Float64Range(0, 3).Draw(t, "end")
	if rapid.Bool().Draw(t, "falls") {
		r.From, r.End, r.Rise = r.End, r.From, -r.Rise
	}
	return r
}

// Reading a bucket between two times changes nothing, and neither do changes that take no tokens, but for rounding.
func TestAnyCutGivesTheSame(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := Time(rapid.Int64Range(0, 1<<50).Draw(t, "start"))
		one := NewBucket(start, rapid.Float64Range(-3, 1).Draw(t, "level"))
		one.SetRate(start, start, drawRate(t), rapid.Float64Range(1, 500).Draw(t, "most"))
		looked, settled := one, one
		now, cuts := start, rapid.SliceOfN(rapid.Int64Range(0, 5e6), 1, 200).Draw(t, "cuts")
		for _, c := range cuts {
			now += Time(c)
			looked.Level(now)
			looked.NextAt(now)
			settled.Take(now, 0)
		}
		want := one.Level(now)
		if got := looked.Level(now); got != want {
			t.Fatalf("read in between: %v tokens, want %v", got, want)
		}
		if got, off := settled.Level(now), float64(len(cuts))*one.capacity*0x1p-50; math.Abs(got-want) > off {
			t.Fatalf("changed in between: %v tokens, want %v, which is more than %v off", got, want, off)
		}
	})
}

// NextAt returns exactly the first microsecond at which there is a token.
func TestNextAtIsTheFirstMoment(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := Time(rapid.Int64Range(0, 1<<50).Draw(t, "start"))
		b := NewBucket(start, rapid.Float64Range(-3, 0.99).Draw(t, "level"))
		b.SetRate(start, start, drawRate(t), rapid.Float64Range(1, 3).Draw(t, "most"))
		now := start + Time(rapid.Int64Range(0, 5e6).Draw(t, "look"))
		at := b.NextAt(now)
		switch {
		case at == Never:
			if b.HasToken(now + 1e6*Second) {
				t.Fatalf("%+v: Never, but there is a token later", b)
			}
		case !b.HasToken(at):
			t.Fatalf("%+v: no token at %d", b, at)
		case at > now && b.HasToken(at-1):
			t.Fatalf("%+v: there is a token before %d already", b, at)
		}
	})
}

func TestRates(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		r      Rate
		s, sum float64
	}{
		"nothing":                  {Rate{}, 100, 0},
		"steady":                   {Constant(3), 2, 6},
		"rises":                    {Rate{From: 1, Rise: 2, End: 9}, 2, 6},
		"rises to its top":         {Rate{From: 0, Rise: 1, End: 2}, 5, 2 + 6},
		"no more than its top":     {Rate{From: 5, Rise: 1, End: 2}, 3, 6},
		"from nothing":             {Rate{From: 0, Rise: 0.5, End: 100}, 4, 4},
		"one message in 10 min":    {Constant(1.0 / 600), 600, 1},
		"hardly rises":             {Rate{From: 1, Rise: 1e-300, End: 2}, 7, 7},
		"falls":                    {Rate{From: 4, Rise: -2, End: 0}, 1, 3},
		"falls to its end":         {Rate{From: 4, Rise: -2, End: 1}, 3.5, 3.75 + 2},
		"falls from its end":       {Rate{From: 1, Rise: -1, End: 2}, 2, 4},
		"does not rise to its top": {Rate{From: 1, End: 2}, 7, 7},
	} {
		if got := c.r.Tokens(c.s); math.Abs(got-c.sum) > 1e-9 {
			t.Errorf("%s: %v tokens in %v s, want %v", name, got, c.s, c.sum)
		}
		if c.sum > 0 {
			if got := c.r.SecondsUntil(c.sum); math.Abs(got-c.s) > 1e-9 {
				t.Errorf("%s: %v tokens after %v s, want %v", name, c.sum, got, c.s)
			}
		} else if got := c.r.SecondsUntil(1); !math.IsInf(got, 1) {
			t.Errorf("%s: one token after %v s", name, got)
		}
	}
}

// The level of a bucket after each of a sequence of changes.
func TestBucketLevels(t *testing.T) {
	t.Parallel()
	b := NewBucket(0, 1)
	level := func(what string, now Time, want float64) {
		t.Helper()
		if got := b.Level(now); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v tokens, want %v", what, got, want)
		}
	}
	level("nothing comes before Set", 100*Second, 1)
	b.SetRate(0, 0, Constant(2), 3)
	level("a second", Second, 3)
	level("no more than the most", 50*Second, 3)
	b.Take(50*Second, 5)
	level("below zero", 50*Second, -2)
	b.PutBack(50*Second, 1)
	level("given back", 50*Second, -1)
	b.SetRate(50*Second, 52*Second, Constant(10), 3)
	level("what comes until a wait ends is credited at its end", 52*Second, 3)
	b.Cap(52*Second, 0.5)
	level("limited", 52*Second, 0.5)
	b.PutBack(52*Second, 100)
	level("not more than the most is given back", 52*Second, 3)
	b.SetRate(51*Second, 51*Second, Constant(1), 2)
	level("a clock that went back", 52*Second, 2)
	b.Take(52*Second, 2)
	for range 100_000 {
		b.Take(52*Second, 0)
	}
	level("a clock that stands still", 52*Second, 0)
	level("read a second late", 54*Second, 2)
	b.SetRate(54*Second, 54*Second, Constant(1), 0.5)
	if at := b.NextAt(54 * Second); at != Never {
		t.Errorf("a token at %d in a bucket that holds at most half of one", at)
	}
}

func TestTimesNearOverflow(t *testing.T) {
	t.Parallel()
	late := Never - 10
	b := NewBucket(late, 0)
	b.SetRate(late, late, Constant(1), 5)
	if at := b.NextAt(late); at != Never {
		t.Errorf("a token at %d, past the largest time", at)
	}
	b = NewBucket(math.MinInt64, 0)
	b.SetRate(math.MinInt64, math.MinInt64, Constant(1e-3), 5)
	if got := b.Level(Never); got != 5 {
		t.Errorf("%v tokens after the longest time", got)
	}
	if (Time(5)).After(Never) != Never || Never.Since(math.MinInt64) != Never || Time(3).Since(4) != 0 {
		t.Error("durations overflow")
	}
}

package pace

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func drawRate(t *rapid.T) Rate {
	scale := rapid.SampledFrom([]float64{1.0 / 600, 0.1, 1, 90, 1000}).Draw(t, "scale")
	rate := Rate{
		From: scale * rapid.Float64Range(0, 1).Draw(t, "from"), Rise: scale * rapid.Float64Range(0, 1).Draw(t, "rise")}
	rate.End = rate.From + scale*rapid.Float64Range(0, 3).Draw(t, "end")
	if rapid.Bool().Draw(t, "falls") {
		rate.From, rate.End, rate.Rise = rate.End, rate.From, -rate.Rise
	}
	return rate
}

// Reading a bucket between two times changes nothing. Neither do changes that take no tokens, except for rounding.
func TestAnyCutGivesTheSame(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := Time(rapid.Int64Range(0, 1<<50).Draw(t, "start"))
		untouched := NewBucket(start, rapid.Float64Range(-3, 1).Draw(t, "level"))
		untouched.SetRate(start, start, drawRate(t), rapid.Float64Range(1, 500).Draw(t, "capacity"))
		read, changed := untouched, untouched
		now, intervals := start, rapid.SliceOfN(rapid.Int64Range(0, 5e6), 1, 200).Draw(t, "intervals")
		for _, interval := range intervals {
			now += Time(interval)
			read.Level(now)
			read.NextAt(now)
			changed.Take(now, 0)
		}
		want := untouched.Level(now)
		if got := read.Level(now); got != want {
			t.Fatalf("read in between: %v tokens, want %v", got, want)
		}
		if got, tolerance := changed.Level(now),
			float64(len(intervals))*untouched.capacity*0x1p-50; math.Abs(got-want) > tolerance {
			t.Fatalf("changed in between: %v tokens, want %v, which is more than %v off", got, want, tolerance)
		}
	})
}

// NextAt returns exactly the first microsecond at which there is a token.
func TestNextAtIsTheFirstTimeWithAToken(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := Time(rapid.Int64Range(0, 1<<50).Draw(t, "start"))
		bucket := NewBucket(start, rapid.Float64Range(-3, 0.99).Draw(t, "level"))
		bucket.SetRate(start, start, drawRate(t), rapid.Float64Range(1, 3).Draw(t, "capacity"))
		now := start + Time(rapid.Int64Range(0, 5e6).Draw(t, "elapsed"))
		at := bucket.NextAt(now)
		switch {
		case at == Never:
			if bucket.HasToken(now + 1e6*Second) {
				t.Fatalf("%+v: Never, but there is a token later", bucket)
			}
		case !bucket.HasToken(at):
			t.Fatalf("%+v: no token at %d", bucket, at)
		case at > now && bucket.HasToken(at-1):
			t.Fatalf("%+v: there is a token before %d already", bucket, at)
		}
	})
}

func TestRates(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		rate            Rate
		seconds, tokens float64
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
		if got := c.rate.Tokens(c.seconds); math.Abs(got-c.tokens) > 1e-9 {
			t.Errorf("%s: %v tokens in %v s, want %v", name, got, c.seconds, c.tokens)
		}
		if c.tokens > 0 {
			if got := c.rate.SecondsUntil(c.tokens); math.Abs(got-c.seconds) > 1e-9 {
				t.Errorf("%s: %v tokens after %v s, want %v", name, c.tokens, got, c.seconds)
			}
		} else if got := c.rate.SecondsUntil(1); !math.IsInf(got, 1) {
			t.Errorf("%s: one token after %v s", name, got)
		}
	}
}

// The level of a bucket after each of a sequence of changes.
func TestBucketLevels(t *testing.T) {
	t.Parallel()
	bucket := NewBucket(0, 1)
	level := func(what string, now Time, want float64) {
		t.Helper()
		if got := bucket.Level(now); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v tokens, want %v", what, got, want)
		}
	}
	level("nothing comes before SetRate", 100*Second, 1)
	bucket.SetRate(0, 0, Constant(2), 3)
	level("a second", Second, 3)
	level("no more than the capacity", 50*Second, 3)
	bucket.Take(50*Second, 5)
	level("below zero", 50*Second, -2)
	bucket.PutBack(50*Second, 1)
	level("put back", 50*Second, -1)
	bucket.SetRate(50*Second, 52*Second, Constant(10), 3)
	level("what comes until a wait ends is credited at its end", 52*Second, 3)
	bucket.Cap(52*Second, 0.5)
	level("capped", 52*Second, 0.5)
	bucket.PutBack(52*Second, 100)
	level("no more than the capacity is put back", 52*Second, 3)
	bucket.SetRate(51*Second, 51*Second, Constant(1), 2)
	level("a clock that went back", 52*Second, 2)
	bucket.Take(52*Second, 2)
	for range 100_000 {
		bucket.Take(52*Second, 0)
	}
	level("a clock that stands still", 52*Second, 0)
	level("read a second late", 54*Second, 2)
	bucket.SetRate(54*Second, 54*Second, Constant(1), 0.5)
	if at := bucket.NextAt(54 * Second); at != Never {
		t.Errorf("a token at %d in a bucket that holds at most half of one", at)
	}
}

func TestTimesNearOverflow(t *testing.T) {
	t.Parallel()
	late := Never - 10
	bucket := NewBucket(late, 0)
	bucket.SetRate(late, late, Constant(1), 5)
	if at := bucket.NextAt(late); at != Never {
		t.Errorf("a token at %d, past the largest time", at)
	}
	bucket = NewBucket(math.MinInt64, 0)
	bucket.SetRate(math.MinInt64, math.MinInt64, Constant(1e-3), 5)
	if got := bucket.Level(Never); got != 5 {
		t.Errorf("%v tokens after the longest time", got)
	}
	if (Time(5)).After(Never) != Never || Never.Since(math.MinInt64) != Never || Time(3).Since(4) != 0 {
		t.Error("durations overflow")
	}
}

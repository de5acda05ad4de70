package subscription

import (
	"testing"
	"time"
)

var start = time.UnixMicro(1_000_000)

func TestTheFirstCallGoesAtOnceAndOnlyOne(t *testing.T) {
	t.Parallel()
	var s Subscription
	if !s.StartCall(start) {
		t.Error("the first call does not go")
	}
	if s.StartCall(start.Add(time.Hour)) {
		t.Error("a second call goes while the first is out")
	}
	s.CallSucceeded()
	if s.StartCall(start.Add(time.Hour)) {
		t.Error("a call goes while changes come by themselves")
	}
}

func TestPausesDoubleUpToTheMostAndBeginAnewAfterAnAnswer(t *testing.T) {
	t.Parallel()
	var s Subscription
	now := start
	fail := func() time.Duration {
		t.Helper()
		if !s.StartCall(now) {
			t.Fatal("what is due does not go")
		}
		due := s.CallFailed(now)
		if s.StartCall(due.Add(-time.Nanosecond)) {
			t.Fatal("a call goes before the pause is over")
		}
		pause := due.Sub(now)
		now = due
		return pause
	}
	last := time.Duration(0)
	for want := MinPause; want < MaxPause; want *= 2 {
		if last = fail(); last != want {
			t.Errorf("pause %v, want %v", last, want)
		}
	}
	for range 3 {
		if p := fail(); p != MaxPause {
			t.Errorf("pause %v, want the most, %v", p, MaxPause)
		}
	}
	s.StartCall(now)
	s.CallSucceeded()
	if due := s.CallFailed(now); due.Sub(now) != MinPause { // the subscription broke
		t.Errorf("after an answer the pause is %v", due.Sub(now))
	}
}

// The end of a subscription and the failure of the call that was to renew it may be told as one or as two.
func TestOneCauseToldTwiceCountsOnce(t *testing.T) {
	t.Parallel()
	var s Subscription
	s.StartCall(start)
	due := s.CallFailed(start)
	if again := s.CallFailed(start.Add(time.Millisecond)); !again.Equal(due) {
		t.Errorf("due at %v, told again at %v", due, again)
	}
}

func TestThoseTurnedAwayTogetherDoNotComeBackTogether(t *testing.T) {
	t.Parallel()
	a, b := Subscription{Random: func() float64 { return 0 }}, Subscription{Random: func() float64 { return 0.9 }}
	for _, s := range []*Subscription{&a, &b} {
		s.StartCall(start)
	}
	x, y := a.CallFailed(start), b.CallFailed(start)
	if !y.Before(x) || y.Sub(start) < MinPause/2 {
		t.Errorf("pauses %v and %v of %v", x.Sub(start), y.Sub(start), MinPause)
	}
}

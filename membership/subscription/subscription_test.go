package subscription

import (
	"testing"
	"time"
)

var start = time.UnixMicro(1_000_000)

func TestFirstCallStartsAtOnceAndOnlyOnce(t *testing.T) {
	t.Parallel()
	var s Subscription
	if !s.StartCall(start) {
		t.Error("the first call does not start")
	}
	if s.StartCall(start.Add(time.Hour)) {
		t.Error("a second call starts before the first has ended")
	}
	s.CallSucceeded()
	if s.StartCall(start.Add(time.Hour)) {
		t.Error("a call starts while subscribed")
	}
}

func TestPauseDoublesAndResetsOnSuccess(t *testing.T) {
	t.Parallel()
	var s Subscription
	now := start
	fail := func() time.Duration {
		t.Helper()
		if !s.StartCall(now) {
			t.Fatal("a call that is due does not start")
		}
		due := s.CallFailed(now)
		if s.StartCall(due.Add(-time.Nanosecond)) {
			t.Fatal("a call starts before the pause is over")
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
			t.Errorf("pause %v, want the maximum %v", p, MaxPause)
		}
	}
	s.StartCall(now)
	s.CallSucceeded()
	if due := s.CallFailed(now); due.Sub(now) != MinPause { // the subscription has ended
		t.Errorf("pause %v after a successful call, want the minimum", due.Sub(now))
	}
}

// The end of a subscription and the failure of the call that was to renew it may be reported as one failure or as two.
func TestRepeatedFailureReportCountsOnce(t *testing.T) {
	t.Parallel()
	var s Subscription
	s.StartCall(start)
	due := s.CallFailed(start)
	if again := s.CallFailed(start.Add(time.Millisecond)); !again.Equal(due) {
		t.Errorf("due at %v, but at %v after a second report", due, again)
	}
}

func TestRandomSpreadsRetries(t *testing.T) {
	t.Parallel()
	a, b := Subscription{Random: func() float64 { return 0 }}, Subscription{Random: func() float64 { return 0.9 }}
	for _, s := range []*Subscription{&a, &b} {
		s.StartCall(start)
	}
	x, y := a.CallFailed(start), b.CallFailed(start)
	if !y.Before(x) || y.Sub(start) < MinPause/2 {
		t.Errorf("pauses of %v and %v, want a shorter second one of at least half of %v", x.Sub(start), y.Sub(start), MinPause)
	}
}

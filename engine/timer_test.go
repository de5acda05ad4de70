package engine

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestTimersComeInOrderOfTimeAndThenOfBeingSet(t *testing.T) {
	t.Parallel()
	var list timers
	if _, ok := list.next(); ok {
		t.Error("one is due of none")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	type want struct {
		at   Time
		mark uint64
	}
	var left []want
	messages := make([]*message, 20)
	for i := range messages {
		messages[i] = &message{}
	}
	of := map[uint64]*message{}
	for mark := range uint64(2000) {
		at := Time(rng.IntN(50))
		m := messages[rng.IntN(len(messages))]
		switch rng.IntN(4) {
		case 0: // a message has one timer: the newest
			if m.timerIndex != 0 {
				old := list.list[m.timerIndex-1].mark
				left = slices.DeleteFunc(left, func(w want) bool { return w.mark == old })
			}
			list.push(timer{at: at, mark: mark}, m)
			of[mark] = m
			left = append(left, want{at, mark})
		case 1:
			if m.timerIndex != 0 {
				old := list.list[m.timerIndex-1].mark
				left = slices.DeleteFunc(left, func(w want) bool { return w.mark == old })
			}
			list.drop(m)
		default:
			list.push(timer{at: at, mark: mark}, nil)
			left = append(left, want{at, mark})
		}
	}
	slices.SortStableFunc(left, func(a, b want) int { return int(a.at - b.at) })
	for now := Time(0); now < 50; now++ {
		for {
			at, some := list.next()
			n, ok := list.pop(now)
			if ok != (some && at <= now) {
				t.Fatalf("at %d: next says %d, pop %v", now, at, ok)
			}
			if !ok {
				break
			}
			if len(left) == 0 || n.at != left[0].at || n.mark != left[0].mark {
				t.Fatalf("at %d came timer %d of %d, want %v", now, n.mark, n.at, left[:min(1, len(left))])
			}
			if m := of[n.mark]; m != nil && m.timerIndex != 0 {
				t.Fatalf("the message of timer %d still has it", n.mark)
			}
			left = left[1:]
		}
	}
	if len(left) > 0 || len(list.list) > 0 {
		t.Errorf("%d never came, %d are left", len(left), len(list.list))
	}
}

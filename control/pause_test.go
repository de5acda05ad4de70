package control

import "testing"

func pauseEvent(paused bool) Event { return Event{Kind: Pause, Paused: paused} }

// While sending is paused, messages still expire and are shed. Sending continues afterwards.
func TestPause(t *testing.T) {
	set := testSettings()
	set.MaxOpen = 32
	r := newHarness(t, set, listEntry(1, 0, 0))
	early, late := r.arrival(freeClass, 1), r.arrival(freeClass, 1)
	late.TimeLeft = second
	r.wantSent(r.step(0, pauseEvent(true), early, late))
	acts := r.advance(2 * second)
	r.wantSent(acts)
	r.wantAction(r.step(0, Event{Kind: Tick, TimerID: uint64(late.Message) + 1}), Refuse, late.Message)
	var many []Event
	for range 40 {
		many = append(many, r.arrival(freeClass, 1))
	}
	acts = r.step(second, many...)
	r.wantSent(acts)
	shed := 0
	for _, action := range acts {
		if action.Kind == Refuse || action.Kind == Fail {
			shed++
		}
	}
	if shed < 9 {
		t.Errorf("%d of 41 messages were shed with room for 32", shed)
	}
	if got := sentMessages(r.step(second, pauseEvent(false))); len(got) == 0 {
		t.Error("sending does not continue after the pause")
	}
}

// An attempt that ends as Unsent uses up neither an attempt nor a slot, and changes no statistics, however often that
// happens.
func TestUnsentDoesNotCountAsAttempt(t *testing.T) {
	for _, class := range []int{freeClass, guardedClass, singleShotClass} {
		set, one, two := testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 1)
		// At one call a second, each Unsent has to return its token.
		set.Weights, one.Weight, two.Weight = WeightNominal, 1, 1
		r := newHarness(t, set, one, two)
		var batch []Event
		for range 3 {
			ev := r.arrival(class, 2)
			batch = append(batch, ev)
		}
		single := r.arrival(class, 1)
		acts := r.step(0, append(batch, single)...)
		for range 20 {
			if got := sentMessages(acts); len(got) != 4 {
				t.Fatalf("class %d: sent %v, want four", class, got)
			}
			var outcomes []Event
			for _, id := range sentMessages(acts) {
				outcomes = append(outcomes, outcomeOf(id, 0, Unsent))
			}
			outcomes = append(outcomes, pauseEvent(true))
			r.wantSent(r.step(5*Millisecond, outcomes...))
			if r.d.usedSlots != 0 {
				t.Fatalf("class %d: %d slots are taken", class, r.d.usedSlots)
			}
			acts = r.step(5*Millisecond, pauseEvent(false))
		}
		for _, ep := range r.d.endpointByID {
			if ep.suspect || ep.failureStreak > 0 || ep.limit.refusalStreak > 0 ||
				ep.limit.allowedShare != unlimitedShare || ep.destination.endedCalls > 0 {
				t.Errorf("class %d: statistics were changed: %+v %+v", class, ep, ep.limit)
			}
		}
		r.step(5*Millisecond, outcomeOf(single.Message, 0, Refused))
		r.wantSent(r.advance(2*second), single.Message) // the second attempt
	}
}

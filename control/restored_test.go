package control

import "testing"

// restoredArrival returns the arrival of a message that an earlier process had accepted.
func (r *harness) restoredArrival(class, tries int, doubtAge, timeLeft Time) Event {
	event := r.arrival(class, 1)
	event.Restored, event.Tries, event.DoubtAge, event.TimeLeft = true, tries, doubtAge, timeLeft
	return event
}

// A restored message must not be repeated where its class forbids that, as an attempt may have run before the restart.
func TestRestoredMessagesFollowTheRulesOfTheirClass(t *testing.T) {
	for _, c := range []struct {
		name       string
		class      int
		tries      int
		doubtAge   Time
		wantAction ActionKind // Send if it is sent
	}{
		{"single shot in doubt fails", singleShotClass, 1, second, Fail},
		{"single shot that never ran is sent", singleShotClass, 1, 0, Send},
		{"guarded within its window is sent", guardedClass, 2, 9 * second, Send},
		{"guarded past its window is refused", guardedClass, 2, 11 * second, Refuse},
		{"free in doubt is sent", freeClass, 5, 15 * second, Send},
		{"no attempt left", freeClass, 6, 0, Refuse},
		{"ordered is sent", orderedClass, 1, second, Send},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(), listEntry(1, 0, 0))
			event := r.restoredArrival(c.class, c.tries, c.doubtAge, 10*second)
			if c.class == orderedClass {
				event.Key = 7
			}
			r.wantAction(r.step(0, event), c.wantAction, event.Message)
		})
	}
}

// Attempts made before a restart count: here the sixth is the last one, and its outcome is matched by its number.
func TestRestoredTriesCountTowardsTheLimit(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	event := r.restoredArrival(freeClass, 5, 0, 20*second)
	r.wantSent(r.step(0, event), event.Message)
	r.wantAction(r.step(second, outcomeOf(event.Message, 5, Errored)), Refuse, event.Message)
}

// Restored messages all arrive at once. They must count as demand at the rate at which they were submitted, as ramps
// and trial calls are sized by the demand.
func TestRestoredMessagesCountAsDemandAtTheirOriginalRate(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	var events []Event
	for i := range 40 { // submitted at four a second until now
		events = append(events, r.restoredArrival(freeClass, 0, 0, 20*second-Time(i)*second/4))
	}
	r.step(0, events...)
	if got := r.d.destinationByNumber[1].demand.rate(r.now); got < 2 || got > 6 {
		t.Errorf("demand of %.1f a second, want about 4", got)
	}
}

func TestRestoredMessagePastItsDeadlineEndsPromptly(t *testing.T) {
	for class, want := range map[int]ActionKind{freeClass: Refuse, singleShotClass: Fail} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		event := r.restoredArrival(class, 1, 20*second, -second)
		acts := r.d.Step(r.now, []Event{event}, nil)
		for _, action := range acts {
			if action.Kind == Send {
				t.Errorf("class %d: sent after its deadline", class)
			}
			if action.Kind == Timer && action.TimerID != 0 && action.After == 0 {
				acts = append(acts, r.step(5*Millisecond, Event{Kind: Tick, TimerID: action.TimerID})...)
			}
		}
		r.wantAction(acts, want, event.Message)
	}
}

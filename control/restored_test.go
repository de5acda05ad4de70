package control

import "testing"

// restored returns the arrival of a message that an earlier process had accepted.
func (r *rig) restored(class, tries int, doubt, grace Time) Event {
	e := r.msg(class, 1)
	e.Restored, e.Tries, e.Doubt, e.Grace = true, tries, doubt, grace
	return e
}

// A restored message must not be repeated where its class forbids that, as an attempt may have run before the restart.
func TestRestoredMessagesKeepToTheirClass(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		tries int
		doubt Time
		end   ActionKind // Send if it is sent
	}{
		{"single shot in doubt fails", single, 1, s, Fail},
		{"single shot that never ran is sent", single, 1, 0, Send},
		{"guarded within its window is sent", guarded, 2, 9 * s, Send},
		{"guarded past its window is refused", guarded, 2, 11 * s, Refuse},
		{"free in doubt is sent", free, 5, 15 * s, Send},
		{"no attempt left", free, 6, 0, Refuse},
		{"ordered is sent", ordered, 1, s, Send},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testSettings(), entry(1, 0, 0))
			e := r.restored(c.class, c.tries, c.doubt, 10*s)
			if c.class == ordered {
				e.Key = 7
			}
			r.wantEnd(r.at(0, e), c.end, e.Message)
		})
	}
}

// Attempts made before a restart count: here the sixth is the last one, and its outcome is matched by its number.
func TestRestoredTriesCountOn(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	e := r.restored(free, 5, 0, 20*s)
	r.want(r.at(0, e), e.Message)
	r.wantEnd(r.at(s, done(e.Message, 5, Errored)), Refuse, e.Message)
}

// Restored messages all arrive at once. They must count as demand at the rate at which they were submitted, as ramps and
// trial calls are sized by the demand.
func TestRestoredArrivalsDoNotSwellTheDemand(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	var events []Event
	for i := range 40 { // submitted at four a second until now
		events = append(events, r.restored(free, 0, 0, 20*s-Time(i)*s/4))
	}
	r.at(0, events...)
	if got := r.d.byNo[1].demand.rate(r.now); got < 2 || got > 6 {
		t.Errorf("demand of %.1f a second, want about 4", got)
	}
}

func TestRestoredPastItsTimeIsAnsweredPromptly(t *testing.T) {
	for class, want := range map[int]ActionKind{free: Refuse, single: Fail} {
		r := newRig(t, testSettings(), entry(1, 0, 0))
		e := r.restored(class, 1, 20*s, -s)
		acts := r.d.Step(r.now, []Event{e}, nil)
		for _, a := range acts {
			if a.Kind == Send {
				t.Errorf("class %d: sent after its deadline", class)
			}
			if a.Kind == Timer && a.Mark != 0 && a.After == 0 {
				acts = append(acts, r.at(5*Millisecond, Event{Kind: Tick, Mark: a.Mark})...)
			}
		}
		r.wantEnd(acts, want, e.Message)
	}
}

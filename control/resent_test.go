package control

import "testing"

func (r *rig) resent(class, dest int) Event {
	ev := r.msg(class, dest)
	ev.Resent = true
	return ev
}

// silent lets an endpoint answer 20 calls and then leave one without a response, until the endpoint is suspect.
func (r *rig) silent(dest int) {
	for range 20 {
		r.at(s/10, r.msg(free, dest))
		r.at(s/10, done(r.id, 0, OK))
	}
	r.at(s/10, r.msg(single, dest))
	r.at(5 * s)
}

// A new message is sent before a resent one of the same class, even if that arrived first.
func TestWhatIsSentAgainGivesWay(t *testing.T) {
	set := testSettings()
	set.Slots = 1
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.want(r.at(s/10, r.resent(free, 1), r.msg(free, 1)))
	r.want(r.at(s/10, done(1, 0, OK)), 3)
	r.want(r.at(s/10, done(3, 0, OK)), 2)
}

// Ramps are sized by the demand. Messages resent from a store must not count as demand.
func TestWhatIsSentAgainIsNoDemand(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	for range 50 {
		r.at(s/10, r.resent(free, 1))
	}
	if d := r.d.byNo[1].demand.rate(r.now); d > 0 {
		t.Errorf("a demand of %f", d)
	}
	r.at(s/10, r.msg(free, 1))
	if d := r.d.byNo[1].demand.rate(r.now); d <= 0 {
		t.Error("a new message does not count as demand")
	}
}

// SingleShot messages are not used as trial calls, but a resent one is: with no other messages nothing would ever show that
// the endpoint is back.
func TestWhatIsSentAgainMayBeTheTrial(t *testing.T) {
	for _, resent := range []bool{false, true} {
		r := newRig(t, testSettings(), entry(1, 0, 0))
		r.silent(1)
		r.at(0, done(r.id, 0, TimedOut))
		ev := r.msg(single, 1)
		ev.Resent, ev.Grace = resent, 60*s
		if got := sent(append(r.at(s, ev), r.wait(4*s)...)); (len(got) > 0) != resent {
			t.Errorf("sent again %v: %v", resent, got)
		}
	}
}

func TestHowADestinationDoes(t *testing.T) {
	set := testSettings()
	set.Weights = WeightNominal
	e := entry(1, 0, 0)
	e.Weight = 40
	want := func(r *rig, dest int, c Condition) {
		t.Helper()
		if got, rate := r.d.Condition(r.now, dest); got != c || c != Unserved && rate != 40/float64(set.Instances) {
			t.Errorf("at %d: %v with a rate of %f, want %v", r.now, got, rate, c)
		}
	}
	r := newRig(t, set, e)
	want(r, 1, Well)
	want(r, 2, Unserved)
	r.want(r.at(0, r.msg(single, 1)), 1)
	want(r, 1, Well)
	r.at(s/10, full(1, 0, 2*s)) // refused with a wait
	want(r, 1, Pressed)
	r.at(s)
	want(r, 1, Pressed)
	r = newRig(t, set, e)
	r.silent(1)
	want(r, 1, Pressed) // a call is out
	r.at(0, done(r.id, 0, TimedOut))
	want(r, 1, Ailing)
	r.at(s, r.msg(single, 1)) // SingleShot: not used as the trial call, so it stays queued
	want(r, 1, Pressed)
	r.wait(5 * s)
	want(r, 1, Ailing) // no trial call is made
	gone := e
	gone.Health = Gone
	r.at(s, Event{Kind: List, ListKind: ListFull, Entries: []Entry{gone}})
	want(r, 1, Unserved)
	r = newRig(t, set, e)
	r.at(0, Event{Kind: Pause, On: true})
	want(r, 1, Pressed)
}

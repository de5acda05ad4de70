package control

import "testing"

func (r *harness) resent(class, dest int) Event {
	ev := r.arrival(class, dest)
	ev.Resent = true
	return ev
}

// timeoutFor has an endpoint answer some calls and then one no more, until that is given up.
func (r *harness) silent(dest int) {
	for range 20 {
		r.step(second/10, r.arrival(freeClass, dest))
		r.step(second/10, outcomeOf(r.lastID, 0, OK))
	}
	r.step(second/10, r.arrival(singleShotClass, dest))
	r.step(5 * second)
}

// Of two that wait the fresh one goes first, also where the other came before it and is worth as much.
func TestWhatIsSentAgainGivesWay(t *testing.T) {
	set := testSettings()
	set.Slots = 1
	r := newHarness(t, set, listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.wantSent(r.step(second/10, r.resent(freeClass, 1), r.arrival(freeClass, 1)))
	r.wantSent(r.step(second/10, outcomeOf(1, 0, OK)), 3)
	r.wantSent(r.step(second/10, outcomeOf(3, 0, OK)), 2)
}

// Ramps are sized by the demand: what lay in a store is none.
func TestWhatIsSentAgainIsNoDemand(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	for range 50 {
		r.step(second/10, r.resent(freeClass, 1))
	}
	if d := r.d.destinationByNumber[1].demand.rate(r.now); d > 0 {
		t.Errorf("a demand of %f", d)
	}
	r.step(second/10, r.arrival(freeClass, 1))
	if d := r.d.destinationByNumber[1].demand.rate(r.now); d <= 0 {
		t.Error("a fresh one is no demand")
	}
}

// Trials spare unsafe messages, but not one that is sent again: where nothing else comes nobody would ever try.
func TestWhatIsSentAgainMayBeTheTrial(t *testing.T) {
	for _, resent := range []bool{false, true} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		r.silent(1)
		r.step(0, outcomeOf(r.lastID, 0, TimedOut))
		ev := r.arrival(singleShotClass, 1)
		ev.Resent, ev.TimeLeft = resent, 60*second
		if got := sentMessages(append(r.step(second, ev), r.advance(4*second)...)); (len(got) > 0) != resent {
			t.Errorf("sent again %v: %v", resent, got)
		}
	}
}

func TestHowADestinationDoes(t *testing.T) {
	set := testSettings()
	set.Weights = WeightNominal
	e := listEntry(1, 0, 0)
	e.Weight = 40
	want := func(r *harness, dest int, c Condition) {
		t.Helper()
		if got, rate := r.d.Condition(r.now, dest); got != c || c != Unavailable && rate != 40/float64(set.Instances) {
			t.Errorf("at %d: %v with a rate of %f, want %v", r.now, got, rate, c)
		}
	}
	r := newHarness(t, set, e)
	want(r, 1, Healthy)
	want(r, 2, Unavailable)
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1)), 1)
	want(r, 1, Healthy)
	r.step(second/10, refusal(1, 0, 2*second)) // told to wait
	want(r, 1, Busy)
	r.step(second)
	want(r, 1, Busy)
	r = newHarness(t, set, e)
	r.silent(1)
	want(r, 1, Busy) // its call is out
	r.step(0, outcomeOf(r.lastID, 0, TimedOut))
	want(r, 1, Unhealthy)
	r.step(second, r.arrival(singleShotClass, 1)) // trials spare it, so it waits
	want(r, 1, Busy)
	r.advance(5 * second)
	want(r, 1, Unhealthy) // and nobody tries
	gone := e
	gone.Health = Gone
	r.step(second, Event{Kind: List, ListKind: ListFull, Entries: []Entry{gone}})
	want(r, 1, Unavailable)
	r = newHarness(t, set, e)
	r.step(0, Event{Kind: Pause, Paused: true})
	want(r, 1, Busy)
}

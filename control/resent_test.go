package control

import "testing"

// resentArrival returns the arrival of an undelivered message that is sent again.
func (r *harness) resentArrival(class, dest int) Event {
	event := r.arrival(class, dest)
	event.Resent = true
	return event
}

// makeSuspectByTimeout lets an endpoint respond to 20 calls and leave the next one without a response, until the
// endpoint is suspect.
func (r *harness) makeSuspectByTimeout(dest int) {
	for range 20 {
		r.step(second/10, r.arrival(freeClass, dest))
		r.step(second/10, outcomeOf(r.lastID, 0, OK))
	}
	r.step(second/10, r.arrival(singleShotClass, dest))
	r.step(5 * second)
}

// A new message is sent before a resent one of the same class, even if that arrived first.
func TestResentMessageWaitsForNewOne(t *testing.T) {
	set := testSettings()
	set.Slots = 1
	r := newHarness(t, set, listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.wantSent(r.step(second/10, r.resentArrival(freeClass, 1), r.arrival(freeClass, 1)))
	r.wantSent(r.step(second/10, outcomeOf(1, 0, OK)), 3)
	r.wantSent(r.step(second/10, outcomeOf(3, 0, OK)), 2)
}

// Ramps are sized by the demand. Messages resent from a store must not count as demand.
func TestResentMessageDoesNotCountAsDemand(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	for range 50 {
		r.step(second/10, r.resentArrival(freeClass, 1))
	}
	if d := r.d.destinationByNumber[1].demand.rate(r.now); d > 0 {
		t.Errorf("a demand of %f", d)
	}
	r.step(second/10, r.arrival(freeClass, 1))
	if d := r.d.destinationByNumber[1].demand.rate(r.now); d <= 0 {
		t.Error("a new message does not count as demand")
	}
}

// SingleShot messages are not used as trial calls, but a resent one is: with no other messages nothing would ever
// show that the endpoint is back.
func TestResentMessageMayBeATrialCall(t *testing.T) {
	for _, resent := range []bool{false, true} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		r.makeSuspectByTimeout(1)
		r.step(0, outcomeOf(r.lastID, 0, TimedOut))
		event := r.arrival(singleShotClass, 1)
		event.Resent, event.TimeLeft = resent, 60*second
		if got := sentMessages(append(r.step(second, event), r.advance(4*second)...)); (len(got) > 0) != resent {
			t.Errorf("sent again %v: %v", resent, got)
		}
	}
}

func TestConditionOfADestination(t *testing.T) {
	set := testSettings()
	set.Weights = WeightNominal
	entry := listEntry(1, 0, 0)
	entry.Weight = 40
	want := func(r *harness, dest int, c Condition) {
		t.Helper()
		if got, rate := r.d.Condition(r.now, dest); got != c || c != Unavailable && rate != 40/float64(set.Instances) {
			t.Errorf("at %d: %v with a rate of %f, want %v", r.now, got, rate, c)
		}
	}
	r := newHarness(t, set, entry)
	want(r, 1, Healthy)
	want(r, 2, Unavailable)
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1)), 1)
	want(r, 1, Healthy)
	r.step(second/10, refusal(1, 0, 2*second)) // refused with a wait
	want(r, 1, Busy)
	r.step(second)
	want(r, 1, Busy)
	r = newHarness(t, set, entry)
	r.makeSuspectByTimeout(1)
	want(r, 1, Busy) // a call is out
	r.step(0, outcomeOf(r.lastID, 0, TimedOut))
	want(r, 1, Unhealthy)
	r.step(second, r.arrival(singleShotClass, 1)) // SingleShot: not used as the trial call, so it stays queued
	want(r, 1, Busy)
	r.advance(5 * second)
	want(r, 1, Unhealthy) // no trial call is made
	gone := entry
	gone.Health = Gone
	r.step(second, Event{Kind: List, ListKind: ListFull, Entries: []Entry{gone}})
	want(r, 1, Unavailable)
	r = newHarness(t, set, entry)
	r.step(0, Event{Kind: Pause, Paused: true})
	want(r, 1, Busy)
}

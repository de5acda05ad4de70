package control

import (
	"testing"
)

// newFleet returns dispatchers that differ only in their seeds and have the same endpoint list.
func newFleet(t *testing.T, size int, set Settings, entries ...Entry) []*harness {
	t.Helper()
	set.Instances = size
	harnesses := make([]*harness, size)
	for i := range harnesses {
		r := newHarness(t, set, entries...)
		r.d.randomState += uint64(i) * 2862933555777941757
		r.advance(20 * second) // fills the memory of the demand meter
		harnesses[i] = r
	}
	return harnesses
}

// Each of many dispatchers has one queued message and saw two failed connections. Together their trial calls must
// stay below their demand, instead of one each at the same time.
func TestTrialCallsOfAFleetStayBelowItsDemand(t *testing.T) {
	const size = 60
	sends := 0
	for _, r := range newFleet(t, size, testSettings(), listEntry(1, 0, 0)) {
		r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
		retries := sentMessages(append(r.step(second/50, outcomeOf(1, 0, ConnectFailed)), r.advance(4*second)...))
		if len(retries) != 1 {
			t.Fatalf("%d calls to confirm the outage, want one", len(retries))
		}
		sends += len(sentMessages(append(r.step(second/50, outcomeOf(1, 1, ConnectFailed)), r.advance(2*second)...)))
	}
	if sends > size/4 {
		t.Errorf("%d trial calls of %d dispatchers in two seconds", sends, size)
	}
	if sends == 0 {
		t.Error("no trial call is made")
	}
}

// An outage usually affects all endpoints of a destination. The failure of a second endpoint confirms it, and neither
// is called again at once.
func TestSecondFailingEndpointConfirmsOutage(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.advance(20 * second)
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.wantSent(r.step(second/50, outcomeOf(1, 0, ConnectFailed)), 1)
	r.wantSent(r.step(second/50, outcomeOf(1, 1, ConnectFailed)))
	if first, second := r.d.endpointByID[endpointID(1, 0)],
		r.d.endpointByID[endpointID(1, 1)]; !r.d.outageConfirmed(first) || !r.d.outageConfirmed(second) {
		t.Error("two endpoints of one destination failed, but the outage is not confirmed")
	}
}

// Refused calls may count against a destination's rate limit. Retries of many dispatchers must not use up that limit
// for good, so each keeps them within its own demand.
func TestRetriesAfterRefusalsStayWithinTheDemand(t *testing.T) {
	const size = 50
	sends := 0
	for _, r := range newFleet(t, size, testSettings(), listEntry(1, 0, 0)) {
		next := []Event{r.arrival(freeClass, 1)}
		for end := r.now + 15*second; r.now < end; {
			events := next
			next = nil
			for _, id := range sentMessages(r.step(second/20, events...)) {
				sends++
				next = append(next, refusal(id, r.d.messages[id].tries-1, 0))
			}
		}
	}
	if sends < size || sends > 2*size {
		t.Errorf("%d attempts for %d messages in 15 s, all refused", sends, size)
	}
}

// Where calls after refusals mostly succeed, a queued message is sent again within a few times its aim.
func TestQueuedMessagesAreRetriedWhereRetriesSucceed(t *testing.T) {
	for _, c := range []struct {
		retrySuccess float64
		most         Time
	}{{1, 8 * second}, {0.05, 0}} {
		retried := 0
		for _, r := range newFleet(t, 20, testSettings(), listEntry(1, 0, 0)) {
			r.d.kinds[0].retrySuccess = c.retrySuccess
			r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
			r.step(second/10, refusal(1, 0, 0))
			if got := sentMessages(r.advance(8 * second)); len(got) > 0 {
				retried++
			}
		}
		if c.retrySuccess == 1 && retried < 15 || c.retrySuccess < 1 && retried > 14 {
			t.Errorf("retry success %v: %d of 20 were sent again within 8 s", c.retrySuccess, retried)
		}
	}
}

// A lost response is no outage: the next call is made at once and without a ramp, and the response timeout becomes
// shorter.
func TestLostResponsesShortenTheTimeout(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	for range 20 {
		r.wantSent(r.step(second/2, r.arrival(freeClass, 1)), r.lastID)
		r.step(second/10, outcomeOf(r.lastID, 0, OK))
	}
	before := r.d.responseTimeout(r.d.destinationByNumber[1])
	for range 6 {
		r.wantSent(r.step(second/2, r.arrival(singleShotClass, 1)), r.lastID)
		lost := r.lastID
		r.advance(second)
		r.wantSent(r.step(0, r.arrival(freeClass, 1)), r.lastID)
		r.step(second/10, outcomeOf(r.lastID, 0, OK))
		r.step(0, outcomeOf(lost, 0, Cancelled))
		if ep := r.d.endpointByID[endpointID(1, 0)]; ep.suspect || r.d.cold(ep, r.now) {
			t.Fatalf("suspect %v, cold since %v after one lost response", ep.suspect, ep.rampStart)
		}
	}
	if after := r.d.responseTimeout(r.d.destinationByNumber[1]); r.d.lostShare < 0.2 || after >= before {
		t.Errorf("share of lost responses %v, response timeout %v and %v before", r.d.lostShare, after, before)
	}
}

// A client whose message is refused retries at another dispatcher, which may not have noticed the rate limit yet if
// traffic is rare. Shed messages are then failed instead.
func TestShedMessagesFailUnderARateLimitWithRareTraffic(t *testing.T) {
	for _, c := range []struct {
		allowedShare float64
		want         ActionKind
	}{{0.2, Fail}, {unlimitedShare, Refuse}} {
		set := testSettings()
		set.MaxOpen = 3
		r := newHarness(t, set, listEntry(1, 0, 0))
		r.advance(20 * second)
		r.step(0, r.arrival(freeClass, 1))
		r.step(second/10, refusal(1, 0, 100*second))
		r.d.destinationByNumber[1].limit.allowedShare = c.allowedShare
		acts := append(r.step(second/10, r.arrival(freeClass, 1)), r.step(second/10, r.arrival(freeClass, 1))...)
		if len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("allowed share %v: %+v, want a single action %d", c.allowedShare, acts, c.want)
		}
	}
}

// Two destinations that do not respond must not occupy both of two slots.
func TestTwoHungDestinationsDoNotOccupyBothSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(2, 0, 0), listEntry(3, 0, 0))
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1)), 1)
	r.advance(4 * second)
	r.step(0, r.arrival(singleShotClass, 2))
	r.advance(4 * second)
	one, two := r.d.destinationByNumber[1], r.d.destinationByNumber[2]
	if !r.d.destinationUnhealthy(one) || !r.d.destinationUnhealthy(two) {
		t.Fatal("not both destinations are taken to be unhealthy")
	}
	acts := r.step(0, r.arrival(freeClass, 3))
	waiting := r.lastID
	for range 150 {
		var outcomes []Event
		for _, a := range acts {
			if a.Kind == Cancel {
				outcomes = append(outcomes, outcomeOf(a.Message, a.Attempt, Cancelled))
			}
			if a.Kind == Send && a.Message == waiting {
				return
			}
		}
		acts = r.step(second/50, outcomes...)
	}
	t.Error("a message for a healthy destination waits for a slot that an unresponsive one holds")
}

// State that is no longer needed is removed: replaced endpoints, unlisted destinations, order keys whose wait has
// ended.
func TestStateDoesNotGrow(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	for i := range 200 {
		replacement := listEntry(1, i+2, 0)
		other := listEntry(100+i, 0, 0)
		r.step(0, Event{Kind: List, ListKind: ListFull, Entries: []Entry{replacement, other}})
		free, toOther, keyed := r.arrival(freeClass, 1), r.arrival(freeClass, 100+i), r.keyedArrival(uint64(1000+i))
		acts := r.step(second/10, free, toOther, keyed)
		for _, id := range sentMessages(acts) {
			result := OK
			if id == keyed.Message {
				result = Reset
			}
			r.step(second/50, outcomeOf(id, 0, result))
		}
		r.step(second/50, Event{Kind: Withdrawn, Message: keyed.Message}, outcomeOf(keyed.Message, 1, OK))
		r.advance(second)
	}
	r.advance(2 * cleanupInterval)
	d := r.d
	if len(d.endpointByID) > 2 || len(d.destinationByNumber) > 2 || len(d.destinations) > 2 ||
		len(d.messages) > 0 || len(d.keys) > 0 || len(d.idleKeys) > 0 {
		t.Errorf("left: %d endpoints, %d/%d destinations, %d messages, %d/%d keys",
			len(d.endpointByID), len(d.destinationByNumber), len(d.destinations), len(d.messages), len(d.keys),
			len(d.idleKeys))
	}
}

// An order key keeps its wait after all its messages have ended, so that later messages with it wait too. A told wait
// stays in force when its endpoint is replaced.
func TestKeyAndToldWaitOutliveMessagesAndEndpoints(t *testing.T) {
	set := testSettings()
	set.SettleAfterDoubt = 30 * second
	r := newHarness(t, set, listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.keyedArrival(9)), 1)
	r.step(second/10, Event{Kind: Withdrawn, Message: 1}, outcomeOf(1, 0, Reset))
	r.advance(2 * cleanupInterval)
	next := r.keyedArrival(9)
	next.TimeLeft = 40 * second
	r.wantSent(append(r.step(0, next), r.advance(9*second)...))
	if got := sentMessages(r.advance(2 * second)); len(got) != 1 {
		t.Errorf("after the wait of the order key sent %v", got)
	}
	r.step(0, outcomeOf(2, 0, OK))
	r.wantSent(r.step(second, r.arrival(freeClass, 1)), 3)
	gone := listEntry(1, 0, 0)
	gone.Health = Gone
	r.step(second/10, refusal(3, 0, 60*second), Event{Kind: List, Entries: []Entry{gone}})
	r.advance(30 * second)
	r.wantSent(append(r.step(0, Event{Kind: List, Entries: []Entry{listEntry(1, 1, 0)}}, r.arrival(freeClass, 1)),
		r.advance(10*second)...))
}

func TestNotesAreRateLimited(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	notes := 0
	for range 40 {
		r.d.startRamp(r.d.endpointByID[endpointID(1, 0)], r.now)
		r.now += second / 2
		for _, a := range r.d.Step(r.now, nil, nil) {
			if a.Kind == Note {
				notes++
			}
		}
	}
	if notes > 3 {
		t.Errorf("%d notes in 20 s", notes)
	}
}

// An outage is remembered when the endpoint that showed it leaves the list. When it was forgotten, hundreds of
// dispatchers called the next endpoint at the same moment.
func TestOutageIsRememberedWhenItsEndpointLeaves(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.advance(20 * second)
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	acts := r.step(second/50, outcomeOf(1, 0, ConnectFailed))
	r.wantSent(acts, 1)
	gone := listEntry(1, int(acts[0].Endpoint)%10, 0)
	gone.Health = Gone
	r.step(second/50, outcomeOf(1, 1, ConnectFailed), Event{Kind: List, Entries: []Entry{gone}})
	r.advance(2 * cleanupInterval)
	left := r.d.destinationByNumber[1].endpoints
	if len(left) != 1 || !r.d.outageConfirmed(left[0]) {
		t.Fatalf("%d endpoints left, or the outage is forgotten", len(left))
	}
	r.step(0, Event{Kind: List, Entries: []Entry{listEntry(1, 2, 0)}})
	if joined := r.d.endpointByID[endpointID(1, 2)]; joined.rampStart == 0 {
		t.Error("an endpoint that joins does not start cold")
	}
}

// An aim of zero is a valid setting: shares and waits must stay finite, and messages are sent.
func TestAimOfZero(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].Aim = 0
	}
	r := newHarness(t, set, listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.step(second/10, refusal(1, 0, 0))
	limit := r.d.destinationByNumber[1].limit
	if r.advance(5 * second); limit.tokens.Level(r.now) != limit.tokens.Level(r.now) ||
		limit.waitUntil > r.now+maxBackoff {
		t.Errorf("tokens %v, wait until %v at %v", limit.tokens.Level(r.now), limit.waitUntil, r.now)
	}
	if d := r.d; !(d.minAim > 0) {
		t.Errorf("aim %v", d.minAim)
	}
}

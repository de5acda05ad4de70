package control

import (
	"testing"
)

// fleet returns dispatchers that differ only in their seeds and have the same endpoint list.
func fleet(t *testing.T, n int, set Settings, entries ...Entry) []*rig {
	t.Helper()
	set.Instances = n
	rigs := make([]*rig, n)
	for i := range rigs {
		r := newRig(t, set, entries...)
		r.d.rng += uint64(i) * 2862933555777941757
		r.wait(20 * s) // fills the memory of the demand meter
		rigs[i] = r
	}
	return rigs
}

// Each of many dispatchers has one queued message and saw two failed connections. Together their trial calls must stay below
// their demand, instead of one each at the same time.
func TestTrialsOfManySendersAddUpToAPartOfTheDemand(t *testing.T) {
	const n = 60
	sends := 0
	for _, r := range fleet(t, n, testSettings(), entry(1, 0, 0)) {
		r.want(r.at(0, r.msg(free, 1)), 1)
		again := sent(append(r.at(s/50, done(1, 0, ConnectFailed)), r.wait(4*s)...))
		if len(again) != 1 {
			t.Fatalf("%d calls to confirm the outage, want one", len(again))
		}
		sends += len(sent(append(r.at(s/50, done(1, 1, ConnectFailed)), r.wait(2*s)...)))
	}
	if sends > n/4 {
		t.Errorf("%d trial calls of %d dispatchers in two seconds", sends, n)
	}
	if sends == 0 {
		t.Error("no trial call is made")
	}
}

// An outage usually affects all endpoints of a destination. The failure of a second endpoint confirms it, and neither is
// called again at once.
func TestFailingEndpointsBearEachOtherOut(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.want(r.at(s/50, done(1, 0, ConnectFailed)), 1)
	r.want(r.at(s/50, done(1, 1, ConnectFailed)))
	if a, b := r.d.byID[ep(1, 0)], r.d.byID[ep(1, 1)]; !r.d.sure(a) || !r.d.sure(b) {
		t.Error("two endpoints of one destination failed, but the outage is not confirmed")
	}
}

// Refused calls may count against a destination's rate limit. Retries of many dispatchers must not use up that limit for
// good, so each keeps them within its own demand.
func TestRetriesAfterRefusalsStayWithinTheOwnDemand(t *testing.T) {
	const n = 50
	sends := 0
	for _, r := range fleet(t, n, testSettings(), entry(1, 0, 0)) {
		next := []Event{r.msg(free, 1)}
		for end := r.now + 15*s; r.now < end; {
			events := next
			next = nil
			for _, id := range sent(r.at(s/20, events...)) {
				sends++
				next = append(next, full(id, r.d.msgs[id].tries-1, 0))
			}
		}
	}
	if sends < n || sends > 2*n {
		t.Errorf("%d attempts for %d messages in 15 s, all refused", sends, n)
	}
}

// Where calls after refusals mostly succeed, a queued message is sent again within a few times its aim.
func TestHeldMessagesGoAgainWhereRetriesGoWell(t *testing.T) {
	for _, c := range []struct {
		again float64
		most  Time
	}{{1, 8 * s}, {0.05, 0}} {
		served := 0
		for _, r := range fleet(t, 20, testSettings(), entry(1, 0, 0)) {
			r.d.kinds[0].again = c.again
			r.want(r.at(0, r.msg(free, 1)), 1)
			r.at(s/10, full(1, 0, 0))
			if got := sent(r.wait(8 * s)); len(got) > 0 {
				served++
			}
		}
		if c.again == 1 && served < 15 || c.again < 1 && served > 14 {
			t.Errorf("retry success %v: %d of 20 were sent again within 8 s", c.again, served)
		}
	}
}

// A lost response is no outage: the next call is made at once and without a ramp, and the response timeout becomes shorter.
func TestLostAnswersAreLearned(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	for range 20 {
		r.want(r.at(s/2, r.msg(free, 1)), r.id)
		r.at(s/10, done(r.id, 0, OK))
	}
	before := r.d.silence(r.d.byNo[1])
	for range 6 {
		r.want(r.at(s/2, r.msg(single, 1)), r.id)
		lost := r.id
		r.wait(s)
		r.want(r.at(0, r.msg(free, 1)), r.id)
		r.at(s/10, done(r.id, 0, OK))
		r.at(0, done(lost, 0, Cancelled))
		if e := r.d.byID[ep(1, 0)]; e.suspect || r.d.cold(e, r.now) {
			t.Fatalf("suspect %v, cold since %v after one lost answer", e.suspect, e.coldAt)
		}
	}
	if after := r.d.silence(r.d.byNo[1]); r.d.lost < 0.2 || after >= before {
		t.Errorf("share of lost responses %v, response timeout %v and %v before", r.d.lost, after, before)
	}
}

// A client whose message is refused retries at another dispatcher, which may not have noticed the rate limit yet if traffic
// is rare. Shed messages are then failed instead.
func TestShedMessagesAreFailedWhereALimitIsFeltAndTrafficIsRare(t *testing.T) {
	for _, c := range []struct {
		allow float64
		want  ActionKind
	}{{0.2, Fail}, {unfelt, Refuse}} {
		set := testSettings()
		set.MaxOpen = 3
		r := newRig(t, set, entry(1, 0, 0))
		r.wait(20 * s)
		r.at(0, r.msg(free, 1))
		r.at(s/10, full(1, 0, 100*s))
		r.d.byNo[1].limit.allow = c.allow
		acts := append(r.at(s/10, r.msg(free, 1)), r.at(s/10, r.msg(free, 1))...)
		if len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("allowed share %v: %+v, want a single action %d", c.allow, acts, c.want)
		}
	}
}

// Two destinations that do not respond must not occupy both of two slots.
func TestTwoHungDestinationsDoNotHoldTwoSlots(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	r := newRig(t, set, entry(1, 0, 0), entry(2, 0, 0), entry(3, 0, 0))
	r.want(r.at(0, r.msg(single, 1)), 1)
	r.wait(4 * s)
	r.at(0, r.msg(single, 2))
	r.wait(4 * s)
	one, two := r.d.byNo[1], r.d.byNo[2]
	if !r.d.sick(one) || !r.d.sick(two) {
		t.Fatal("not both destinations are taken to be unhealthy")
	}
	acts := r.at(0, r.msg(free, 3))
	want := r.id
	for range 150 {
		var ends []Event
		for _, a := range acts {
			if a.Kind == Cancel {
				ends = append(ends, done(a.Message, a.Attempt, Cancelled))
			}
			if a.Kind == Send && a.Message == want {
				return
			}
		}
		acts = r.at(s/50, ends...)
	}
	t.Error("a message for a healthy destination waits for a slot that an unresponsive one holds")
}

// State that is no longer needed is removed: replaced endpoints, unlisted destinations, order keys whose wait has ended.
func TestStateDoesNotGrow(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	for i := range 200 {
		e := entry(1, i+2, 0)
		o := entry(100+i, 0, 0)
		r.at(0, Event{Kind: List, ListKind: ListFull, Entries: []Entry{e, o}})
		m, n, k := r.msg(free, 1), r.msg(free, 100+i), r.keyed(uint64(1000+i))
		acts := r.at(s/10, m, n, k)
		for _, id := range sent(acts) {
			res := OK
			if id == k.Message {
				res = Reset
			}
			r.at(s/50, done(id, 0, res))
		}
		r.at(s/50, Event{Kind: Withdrawn, Message: k.Message}, done(k.Message, 1, OK))
		r.wait(s)
	}
	r.wait(2 * seldom)
	d := r.d
	if len(d.byID) > 2 || len(d.byNo) > 2 || len(d.dests) > 2 || len(d.msgs) > 0 || len(d.keys) > 0 || len(d.resting) > 0 {
		t.Errorf("left: %d endpoints, %d/%d destinations, %d messages, %d/%d keys",
			len(d.byID), len(d.byNo), len(d.dests), len(d.msgs), len(d.keys), len(d.resting))
	}
}

// An order key keeps its wait after all its messages have ended, so that later messages with it wait too. A told wait stays
// in force when its endpoint is replaced.
func TestRestAndWaitOutliveTheirMessages(t *testing.T) {
	set := testSettings()
	set.SettleAfterDoubt = 30 * s
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.keyed(9)), 1)
	r.at(s/10, Event{Kind: Withdrawn, Message: 1}, done(1, 0, Reset))
	r.wait(2 * seldom)
	e := r.keyed(9)
	e.Grace = 40 * s
	r.want(append(r.at(0, e), r.wait(9*s)...))
	if got := sent(r.wait(2 * s)); len(got) != 1 {
		t.Errorf("after the rest sent %v", got)
	}
	r.at(0, done(2, 0, OK))
	r.want(r.at(s, r.msg(free, 1)), 3)
	gone := entry(1, 0, 0)
	gone.Health = Gone
	r.at(s/10, full(3, 0, 60*s), Event{Kind: List, Entries: []Entry{gone}})
	r.wait(30 * s)
	r.want(append(r.at(0, Event{Kind: List, Entries: []Entry{entry(1, 1, 0)}}, r.msg(free, 1)), r.wait(10*s)...))
}

func TestNotesAreRare(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0))
	notes := 0
	for range 40 {
		r.d.chill(r.d.byID[ep(1, 0)], r.now)
		r.now += s / 2
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

// An outage is remembered when the endpoint that showed it leaves the list. When it was forgotten, hundreds of dispatchers
// called the next endpoint at the same moment.
func TestOutageOutlivesTheEndpointsThatShowedIt(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(1, 1, 0))
	r.wait(20 * s)
	r.want(r.at(0, r.msg(free, 1)), 1)
	acts := r.at(s/50, done(1, 0, ConnectFailed))
	r.want(acts, 1)
	gone := entry(1, int(acts[0].Endpoint)%10, 0)
	gone.Health = Gone
	r.at(s/50, done(1, 1, ConnectFailed), Event{Kind: List, Entries: []Entry{gone}})
	r.wait(2 * seldom)
	left := r.d.byNo[1].eps
	if len(left) != 1 || !r.d.sure(left[0]) {
		t.Fatalf("%d endpoints left, or the outage is forgotten", len(left))
	}
	r.at(0, Event{Kind: List, Entries: []Entry{entry(1, 2, 0)}})
	if e := r.d.byID[ep(1, 2)]; e.coldAt == 0 {
		t.Error("an endpoint that joins does not start cold")
	}
}

// An aim of zero is a valid setting: shares and waits must stay finite, and messages are sent.
func TestAimOfNothingIsHarmless(t *testing.T) {
	set := testSettings()
	for i := range set.Classes {
		set.Classes[i].Aim = 0
	}
	r := newRig(t, set, entry(1, 0, 0))
	r.want(r.at(0, r.msg(free, 1)), 1)
	r.at(s/10, full(1, 0, 0))
	p := r.d.byNo[1].limit
	if r.wait(5 * s); p.tokens.Level(r.now) != p.tokens.Level(r.now) || p.wait > r.now+backoffMost {
		t.Errorf("tokens %v, wait until %v at %v", p.tokens.Level(r.now), p.wait, r.now)
	}
	if d := r.d; !(d.aim > 0) {
		t.Errorf("aim %v", d.aim)
	}
}

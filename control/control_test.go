package control

import (
	"bufio"
	"errors"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

const second = Second

// Indexes of the classes in testSettings.
const (
	freeClass = iota
	guardedClass
	singleShotClass
	orderedClass
)

func testSettings() Settings {
	return Settings{
		Instances: 2, Tick: 5 * Millisecond, Slots: 8, MaxOpen: 200, MaxTries: 6, MayCancel: true, StreamsPerConn: 8,
		ConnIdle: 5 * second, ConnectTimeout: second, ColdFrom: 0.2, WarmUp: 10 * second, TipMultiple: 2, OverloadFor: 2 * second,
		SettleAfterDoubt: 3 * second, ReportLeft: -1, ReportLimit: -1, OverShare: 0.05,
		Kinds: []Kind{{Name: "plain", Batch: 1}, {Name: "batch", Batch: 3}, {Name: "apart", Batch: 1, RoutesApart: true}},
		Classes: []Class{
			{Name: "free", Effect: Free, Aim: 2 * second, Deadline: 20 * second, Worth: 1, LateWorth: 0.5},
			{Name: "guarded", Effect: Guarded, Window: 10 * second, Aim: 2 * second, Deadline: 20 * second, Worth: 1, LateWorth: 0.5},
			{Name: "single", Effect: SingleShot, Aim: 2 * second, Deadline: 20 * second, Worth: 1, LateWorth: 0.5},
			{Name: "ordered", Effect: Guarded, Window: 10 * second, Aim: 2 * second, Deadline: 20 * second, Worth: 1, InOrder: true},
		},
	}
}

// harness runs a Dispatcher by script.
type harness struct {
	t      *testing.T
	d      *Dispatcher
	now    Time
	lastID MessageID
}

func newHarness(t *testing.T, set Settings, entries ...Entry) *harness {
	t.Helper()
	d, err := New(set, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, d: d, now: 1000 * second}
	r.step(0, Event{Kind: List, ListKind: ListCached, Entries: entries})
	return r
}

func endpointID(dest, n int) Endpoint { return Endpoint(dest*10 + n) }

func listEntry(dest, n, kind int) Entry {
	return Entry{Endpoint: endpointID(dest, n), Destination: dest, Kind: kind, Health: Ready}
}

// step advances the clock, runs one round and returns its actions without timers and notes.
func (r *harness) step(after Time, events ...Event) []Action {
	r.now += after
	acts := r.d.Step(r.now, events, nil)
	return slices.DeleteFunc(acts, func(a Action) bool { return a.Kind == Timer || a.Kind == Note })
}

// arrival returns the arrival of the next message.
func (r *harness) arrival(class, dest int) Event {
	r.lastID++
	return Event{Kind: Arrival, Message: r.lastID, Class: class, Destination: dest, TimeLeft: 20 * second}
}

func (r *harness) keyedArrival(key uint64) Event {
	e := r.arrival(orderedClass, 1)
	e.Key = key
	return e
}

func outcomeOf(id MessageID, attempt int, res Result) Event {
	return Event{Kind: Outcome, Message: id, Attempt: attempt, Result: res, Closed: res == OK, Latency: 100 * Millisecond}
}

func refusal(id MessageID, attempt int, wait Time) Event {
	e := outcomeOf(id, attempt, Refused)
	e.RetryAfter = wait
	return e
}

func sentMessages(acts []Action) (ids []MessageID) {
	for _, a := range acts {
		if a.Kind == Send {
			ids = append(ids, a.Message)
		}
	}
	return ids
}

func (r *harness) wantSent(acts []Action, ids ...MessageID) {
	r.t.Helper()
	if got := sentMessages(acts); !slices.Equal(got, ids) {
		r.t.Fatalf("at %v sent %v, want %v (%+v)", r.now, got, ids, acts)
	}
}

func (r *harness) wantAction(acts []Action, kind ActionKind, id MessageID) {
	r.t.Helper()
	if !slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == kind && a.Message == id }) {
		r.t.Fatalf("at %v: no action %d for message %d in %+v", r.now, kind, id, acts)
	}
}

// advance runs rounds of 20 ms without events and returns their actions.
func (r *harness) advance(span Time) (acts []Action) {
	for end := r.now + span; r.now < end; {
		acts = append(acts, r.step(min(20*Millisecond, end-r.now))...)
	}
	return acts
}

func TestPolicySize(t *testing.T) {
	file, err := os.Open("control.go")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if strings.TrimSpace(scanner.Text()) != "" {
			lines++
		}
		if len(scanner.Text()) > 110 {
			t.Errorf("line too long: %s", scanner.Text())
		}
	}
	if lines > 1200 {
		t.Errorf("control.go has %d lines that are not blank, at most 1200 are allowed", lines)
	}
}

func TestNewNamesTheSetting(t *testing.T) {
	for name, makeInvalid := range map[string]func(*Settings){
		"Slots":     func(s *Settings) { s.Slots = 0 },
		"MaxOpen":   func(s *Settings) { s.MaxOpen = 0 },
		"MaxTries":  func(s *Settings) { s.MaxTries = 0 },
		"Classes":   func(s *Settings) { s.Classes = nil },
		"Instances": func(s *Settings) { s.Instances = 0 },
		"Tick":      func(s *Settings) { s.Tick = 0 },

		"ColdFrom":             func(s *Settings) { s.ColdFrom = 1.5 },
		"WarmUp":               func(s *Settings) { s.WarmUp = -1 },
		"OverloadFor":          func(s *Settings) { s.OverloadFor = -s.OverloadFor },
		"TipMultiple":          func(s *Settings) { s.TipMultiple = math.NaN() },
		"ConnIdle":             func(s *Settings) { s.ConnIdle = -1 },
		"OverShare":            func(s *Settings) { s.OverShare = math.Inf(1) },
		"Classes[1].Worth":     func(s *Settings) { s.Classes[1].Worth = -1 },
		"Classes[2].Aim":       func(s *Settings) { s.Classes[2].Aim = -1 },
		"Classes[0].LateWorth": func(s *Settings) { s.Classes[0].LateWorth = math.NaN() },
		"Tenants[0].Quota":     func(s *Settings) { s.Tenants = []Tenant{{Quota: -1}} },
		"Kinds[0].Batch":       func(s *Settings) { s.Kinds[0].Batch = 0 },
		"SettleAfterDoubt":     func(s *Settings) { s.SettleAfterDoubt = -1 },
	} {
		set := testSettings()
		makeInvalid(&set)
		_, err := New(set, 1)
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || settingErr.Field != name {
			t.Errorf("error %v does not name %s", err, name)
		}
	}
}

// One slot, two destinations. A's call holds the slot for 2 s, so A's virtual time is 2. B, which was idle, takes the least
// other virtual time, 0. B goes first, for 1 s. Its virtual time of 1 is still the smaller one, so it goes again. When B
// is at 3, it is A's turn.
func TestTurnsBySlotTime(t *testing.T) {
	set := testSettings()
	set.Slots = 1
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(2, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1) // slot and window are free: sent at once
	r.wantSent(r.step(second/10, r.arrival(freeClass, 1), r.arrival(freeClass, 2), r.arrival(freeClass, 2), r.arrival(freeClass, 2)))
	r.wantSent(r.step(2*second-second/10, outcomeOf(1, 0, OK)), 3)
	r.wantSent(r.step(second, outcomeOf(3, 0, OK)), 4)
	r.wantSent(r.step(2*second, outcomeOf(4, 0, OK)), 2)
	if a, b := r.d.destinationByNumber[1].virtualTime, r.d.destinationByNumber[2].virtualTime; a != 2 || b != 3 {
		t.Errorf("virtual times %v and %v, want 2 and 3", a, b)
	}
}

func TestWeightDividesTheCharge(t *testing.T) {
	for _, c := range []struct{ weight, want float64 }{{4, 0.5}, {0, 2}} {
		set := testSettings()
		set.Weights = WeightNominal
		entry := listEntry(1, 0, 0)
		entry.Weight = c.weight
		r := newHarness(t, set, entry)
		r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
		r.step(2*second, outcomeOf(1, 0, OK))
		if got := r.d.destinationByNumber[1].virtualTime; got != c.want {
			t.Errorf("weight %v: charged %v, want %v", c.weight, got, c.want)
		}
	}
}

func TestReactivatedDestinationTakesTheLeastVirtualTime(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 0), listEntry(3, 0, 0))
	r.step(0, r.arrival(freeClass, 1), r.arrival(freeClass, 2))
	r.d.destinationByNumber[1].virtualTime, r.d.destinationByNumber[2].virtualTime, r.d.destinationByNumber[3].virtualTime = 7, 5, 90
	r.d.updateHeaps(r.d.destinationByNumber[1])
	r.d.updateHeaps(r.d.destinationByNumber[2])
	r.step(second/10, r.arrival(freeClass, 3))
	if got := r.d.destinationByNumber[3].virtualTime; got != 5 {
		t.Errorf("restarted with virtual time %v, want 5", got)
	}
	r.step(second/10, outcomeOf(1, 0, OK), outcomeOf(2, 0, OK), outcomeOf(3, 0, OK))
	r.step(second/10, r.arrival(freeClass, 1))
	if got := r.d.destinationByNumber[1].virtualTime; got != 0 {
		t.Errorf("restarted alone with virtual time %v, want 0: idle virtual times are dropped", got)
	}
}

// Eight slots, two destinations: the window starts at 4, grows by one with each OK, and stays below three quarters (5).
func TestWindowStartGrowthAndCap(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 0))
	dest := r.d.destinationByNumber[1]
	if r.d.initWindow(dest); dest.window != 4 {
		t.Fatalf("the window starts at %d, want 4", dest.window)
	}
	for i := range 3 {
		r.step(second/10, r.arrival(freeClass, 1))
		r.step(second/10, outcomeOf(MessageID(i+1), 0, OK))
	}
	if dest.window != 5 {
		t.Errorf("the window is %d after three OKs, want the cap of 5", dest.window)
	}
}

func TestWindowIntervalTest(t *testing.T) {
	for _, c := range []struct {
		name             string
		failed, callsOut int
		window, want     int
	}{
		{"clean and full", 0, 2, 2, 3}, {"not clean", 3, 2, 2, 1}, {"window not full", 0, 1, 2, 2}, {"floor", 4, 1, 1, 1},
	} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		dest := r.d.destinationByNumber[1]
		dest.windowSlowStart, dest.window, dest.callsOut = false, c.window, c.callsOut
		for i := range windowsPerRevision * c.window {
			res := OK
			if i < c.failed {
				res = Errored
			}
			r.d.reviseWindow(dest, res)
		}
		if dest.window != c.want {
			t.Errorf("%s: window %d, want %d", c.name, dest.window, c.want)
		}
	}
}

func TestBatchSharesOneSlotAndOneCharge(t *testing.T) {
	set := testSettings()
	set.Slots, set.Weights = 1, WeightNominal
	r := newHarness(t, set, listEntry(1, 0, 1))
	r.wantSent(r.step(0, r.arrival(freeClass, 1), r.arrival(freeClass, 1), r.arrival(freeClass, 1), r.arrival(freeClass, 1)), 1, 2, 3)
	r.wantSent(r.step(second, outcomeOf(1, 0, OK), outcomeOf(2, 0, OK))) // the slot is held until the last outcome
	r.wantSent(r.step(second, outcomeOf(3, 0, OK)), 4)
	if got := r.d.destinationByNumber[1].virtualTime; got != 2 {
		t.Errorf("a batch of three charged %v, want 2", got)
	}
}

func TestEffectsAfterDoubt(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		res    Result
		after  Time
		resent bool
		end    ActionKind
	}{
		{"free is resent", freeClass, TimedOut, 3 * second, true, 0},
		{"guarded inside its window", guardedClass, Errored, 9900 * Millisecond, true, 0},
		{"guarded past its window is refused", guardedClass, Errored, 10 * second, false, Refuse},
		{"single-shot in doubt only fails", singleShotClass, Reset, second, false, Fail},
		{"single-shot that was refused is resent", singleShotClass, Refused, second, true, 0},
		{"single-shot that could not connect is resent", singleShotClass, ConnectFailed, second, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
			r.wantSent(r.step(0, r.arrival(c.class, 1)), 1)
			acts := r.step(c.after, outcomeOf(1, 0, c.res))
			acts = append(acts, r.advance(3*second)...)
			if c.resent != slices.Equal(sentMessages(acts), []MessageID{1}) {
				t.Fatalf("resent %v: %+v", !c.resent, acts)
			}
			if c.end != 0 {
				r.wantAction(acts, c.end, 1)
			}
		})
	}
}

func TestGuardedByZoneStaysInItsZoneAndIsNotRefused(t *testing.T) {
	set := testSettings()
	set.Classes[guardedClass].ZoneGroup = true
	far := listEntry(1, 1, 0)
	far.Zone = 1
	r := newHarness(t, set, listEntry(1, 0, 0), far)
	acts := r.step(0, r.arrival(guardedClass, 1))
	if acts[0].Endpoint != endpointID(1, 0) {
		t.Fatalf("sent to %d, want the endpoint in the own zone", acts[0].Endpoint)
	}
	gone := listEntry(1, 0, 0)
	gone.Health = Draining
	r.step(second/10, Event{Kind: List, Entries: []Entry{gone}})
	r.wantSent(r.step(second/10, outcomeOf(1, 0, Errored)))
	r.wantAction(r.advance(11*second), Fail, 1)
}

func TestFinalAnswerBeforeTheDeadline(t *testing.T) {
	for _, c := range []struct {
		class int
		end   ActionKind
	}{{freeClass, Refuse}, {singleShotClass, Fail}} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		acts := r.d.Step(r.now, []Event{r.arrival(c.class, 1)}, nil)
		var timerID uint64
		var due Time
		for _, a := range acts {
			if a.Kind == Timer && a.TimerID != 0 {
				timerID, due = a.TimerID, a.After
			}
		}
		if due >= 20*second {
			t.Fatalf("timer at %v is too late", due)
		}
		r.wantAction(r.step(due, Event{Kind: Tick, TimerID: timerID}), c.end, 1)
		if more := r.step(second, Event{Kind: Tick, TimerID: timerID}, outcomeOf(1, 0, TimedOut), outcomeOf(1, 0, OK)); len(more) > 0 {
			t.Errorf("actions for an ended message: %+v", more)
		}
	}
}

func TestWaitBindsTheDestinationToItsLastMoment(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.step(0, r.arrival(freeClass, 1), r.arrival(singleShotClass, 1))
	r.wantSent(r.step(second/10, refusal(1, 0, 2*second), r.arrival(guardedClass, 1)))
	r.wantSent(r.step(2*second, r.arrival(freeClass, 1))) // the wait still applies at its last microsecond
	if got := sentMessages(r.advance(second)); len(got) == 0 {
		t.Error("nothing sent after the wait")
	}
}

func TestWaitBindsOnlyTheRouteWhereRoutesAreApart(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 2), listEntry(1, 1, 2))
	acts := r.step(0, r.arrival(freeClass, 1))
	again := r.step(second/10, refusal(1, 0, 5*second))
	r.wantSent(again, 1)
	if again[0].Endpoint == acts[0].Endpoint {
		t.Error("resent to the route that told a wait")
	}
}

// Guards against ignoring the wait told with a later outcome of a batched call, after the call has been learned from.
func TestEveryOutcomeOfABatchTellsItsWait(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 1))
	r.step(0, r.arrival(freeClass, 1), r.arrival(freeClass, 1))
	r.step(second/10, refusal(1, 0, second), refusal(2, 0, 3*second))
	r.wantSent(r.advance(2900 * Millisecond))
}

func TestDrainingAndGoneEndpointsGetNothing(t *testing.T) {
	for _, health := range []Health{Draining, Gone} {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0))
		entry := listEntry(1, 0, 0)
		entry.Health = health
		r.step(0, Event{Kind: List, Entries: []Entry{entry}})
		r.wantSent(r.step(second/10, r.arrival(freeClass, 1)))
		r.step(second/10, Event{Kind: List, ListKind: ListFailed})
		r.wantSent(r.advance(second)) // queued, not answered
		fresh := listEntry(1, 1, 0)
		r.wantSent(r.step(second/10, Event{Kind: List, ListKind: ListFull, Entries: []Entry{fresh}}), 1)
	}
}

func TestOrderByKey(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.wantSent(r.step(0, r.keyedArrival(9), r.keyedArrival(9), r.keyedArrival(5)), 1, 3)
	r.wantSent(r.step(second/10, outcomeOf(1, 0, OK)), 2)
	r.wantSent(r.step(second/10, outcomeOf(2, 0, Reset), r.keyedArrival(9)), 2) // the retry is not delayed, the next message waits
	r.wantSent(r.step(second/10, outcomeOf(2, 1, OK)))
	r.wantSent(r.step(2700 * Millisecond)) // the key rests for 3 s after the doubt, including the last microsecond
	if got := sentMessages(r.advance(300 * Millisecond)); !slices.Equal(got, []MessageID{4}) {
		t.Errorf("sent %v after the rest, want 4", got)
	}
}

// A response that can't be read to its end leaves open if the attempt is still running, so the key rests as after a reset. It
// was taken for an error response, and the next message went at once.
func TestKeyRestsAfterAnUnreadableResponse(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.wantSent(r.step(0, r.keyedArrival(9), r.keyedArrival(9)), 1)
	r.wantSent(r.step(second/10, outcomeOf(1, 0, Unreadable)), 1) // the retry is not delayed
	r.wantSent(r.step(second/10, outcomeOf(1, 1, OK)))
	if got := sentMessages(r.advance(2800 * Millisecond)); len(got) > 0 {
		t.Errorf("sent %v while the key rests", got)
	}
	if got := sentMessages(r.advance(200 * Millisecond)); !slices.Equal(got, []MessageID{2}) {
		t.Errorf("sent %v after the rest, want 2", got)
	}
}

func TestFailedHeadKeepsItsTurnUntilItsOutcome(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.keyedArrival(9), r.keyedArrival(9)), 1)
	r.step(second/10, Event{Kind: Withdrawn, Message: 1})
	r.wantSent(r.step(second / 10))
	r.wantSent(r.step(second/10, outcomeOf(1, 0, OK)), 2)
}

func TestTriesAreCounted(t *testing.T) {
	set := testSettings()
	set.MaxTries = 2
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(1, 1, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.wantSent(r.step(second/10, outcomeOf(1, 0, Errored)), 1)
	r.wantAction(r.step(second/10, outcomeOf(1, 1, Errored)), Refuse, 1)
}

// A hang is detected by the age of the call, long before any time-out. The destination then gets only trials, made with
// messages that are safe to repeat.
func TestHangIsDetectedByAge(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 0))
	for i := range 4 {
		r.step(second/10, r.arrival(freeClass, 1))
		r.step(second/10, outcomeOf(MessageID(i+1), 0, OK))
	}
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1)), 5)
	r.advance(2 * second)
	if ep := r.d.endpointByID[endpointID(1, 0)]; !ep.suspect {
		t.Fatal("not suspect though a call is out for 20 times the usual latency")
	}
	if got := sentMessages(append(r.step(0, r.arrival(singleShotClass, 1)), r.advance(300*Millisecond)...)); len(got) > 0 {
		t.Errorf("a single-shot message was used for a trial: %v", got)
	}
	if got := sentMessages(append(r.step(0, r.arrival(freeClass, 1)), r.advance(2*second)...)); !slices.Contains(got, 7) {
		t.Errorf("no trial with a safe message: %v", got)
	}
}

// With little traffic there is one refused connection and no second one. The endpoint must not get the full rate when it
// returns.
func TestOneRefusedConnectionSuspectsAndReturnIsRamped(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.step(second/10, outcomeOf(1, 0, ConnectFailed))
	if !r.d.endpointByID[endpointID(1, 0)].suspect {
		t.Fatal("not suspect")
	}
	var trials []MessageID
	for range 30 {
		trials = append(trials, sentMessages(r.step(second/10, r.arrival(freeClass, 1)))...)
	}
	if len(trials) != 1 {
		t.Fatalf("trials %v, want one", trials)
	}
	r.step(second/10, outcomeOf(trials[0], r.d.messages[trials[0]].tries-1, OK))
	if got := sentMessages(r.advance(second)); len(got) > 5 {
		t.Errorf("%d messages in the first second after its return", len(got))
	}
}

// Idle connections of hundreds of dispatchers fill a destination's connection table. After a failed connect, connections to
// destinations of its kind are closed after use, until no connect has failed for a while.
func TestConnectionsAreClosedWhereTheyAreScarce(t *testing.T) {
	set := testSettings()
	set.Instances = 20
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(2, 0, 0), listEntry(3, 0, 1))
	closed := func(acts []Action, e Endpoint) bool {
		return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Close && a.Endpoint == e })
	}
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	if closed(r.step(second/10, outcomeOf(1, 0, OK)), endpointID(1, 0)) {
		t.Fatal("closed though connections are not scarce")
	}
	r.wantSent(r.step(second/10, r.arrival(freeClass, 1), r.arrival(freeClass, 2), r.arrival(freeClass, 3)), 2, 3, 4)
	r.step(second/10, outcomeOf(2, 0, ConnectFailed))
	if !closed(r.step(second/10, outcomeOf(3, 0, OK)), endpointID(2, 0)) {
		t.Error("left open though connections are scarce at this kind")
	}
	if closed(r.step(second/10, outcomeOf(4, 0, OK)), endpointID(3, 0)) {
		t.Error("closed at a destination of another kind")
	}
	r.advance(scarceDuration)
	r.step(second/10, r.arrival(freeClass, 2))
	if closed(r.step(second/10, outcomeOf(5, 0, OK)), endpointID(2, 0)) {
		t.Error("connections still count as scarce after a long time")
	}
}

// When idle connections turn out to be dropped without notice after some time, the next call uses a new connection.
func TestDroppedIdleConnectionsAreClosedBeforeUse(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), 1)
	r.step(second/10, outcomeOf(1, 0, OK))
	for range 2 { // two failures are needed
		r.wantSent(r.step(3*second, r.arrival(freeClass, 1)), r.lastID)
		acts := r.step(second/10, outcomeOf(r.lastID, 0, Reset)) // sent again at once, on a new connection
		r.wantSent(acts, r.lastID)
		if acts[0].Kind != Close {
			t.Fatalf("resent without closing the connection: %+v", acts)
		}
		r.step(second/10, outcomeOf(r.lastID, 1, OK))
	}
	acts := r.step(2900*Millisecond, r.arrival(singleShotClass, 1))
	if len(acts) != 2 || acts[0].Kind != Close || acts[1].Kind != Send {
		t.Errorf("a single-shot message was sent on a connection that was idle for as long: %+v", acts)
	}
	r.step(second/10, outcomeOf(r.lastID, 0, OK))
	if acts = r.step(second/2, r.arrival(freeClass, 1)); len(acts) != 1 {
		t.Errorf("closed a connection that was idle only briefly: %+v", acts)
	}
}

func TestScatteredErrorsAreNoOutage(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	for i := range 12 {
		r.step(second/10, r.arrival(singleShotClass, 1))
		res := Errored
		if i%4 == 3 {
			res = OK
		}
		r.step(second/10, outcomeOf(MessageID(i+1), 0, res))
	}
	if r.d.endpointByID[endpointID(1, 0)].suspect {
		t.Error("an endpoint that answers every fourth call is suspect")
	}
}

// Guards against sending the whole backlog to an endpoint that is listed while all others of its destination are down.
func TestEndpointJoiningADownDestinationStartsCold(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	r.step(0, r.arrival(freeClass, 1))
	r.step(second/10, outcomeOf(1, 0, ConnectFailed))
	for range 20 {
		r.step(second/20, r.arrival(singleShotClass, 1))
	}
	acts := r.step(second/20, Event{Kind: List, Entries: []Entry{listEntry(1, 1, 0)}})
	if got := sentMessages(acts); len(got) > 1 {
		t.Errorf("%d messages were sent to it at once", len(got))
	}
}

// After refusals the allowed rate recovers within seconds. Guards against a recovery that takes half a minute.
func TestReleaseRateRecovers(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	limit := r.d.destinationByNumber[1].limit
	rounds, served := 0, 0
	var next []Event
	for r.now < 1030*second {
		events := next
		next = nil
		if rounds++; rounds%2 == 0 {
			events = append(events, r.arrival(freeClass, 1))
		}
		for _, id := range sentMessages(r.step(second/20, events...)) {
			e := outcomeOf(id, r.d.messages[id].tries-1, OK)
			if r.now > 1005*second && r.now < 1006*second {
				e = refusal(id, r.d.messages[id].tries-1, 0)
			} else {
				served++
			}
			next = append(next, e)
		}
	}
	rounds /= 2
	if limit.allowedShareAt(r.now) < 1 || served < rounds*8/10 {
		t.Errorf("allowed share %v after 24 s, %d of %d served", limit.allowedShare, served, rounds)
	}
}

// Late messages whose worth has reached its floor go after messages that are still in time.
func TestOldLateMessagesYield(t *testing.T) {
	set := testSettings()
	set.LateHalving, set.Slots = true, 1
	r := newHarness(t, set, listEntry(1, 0, 0))
	r.step(0, Event{Kind: List, Entries: []Entry{listEntry(2, 0, 0)}})
	r.wantSent(r.step(0, r.arrival(freeClass, 2)), 1)
	r.wantSent(r.step(0, r.arrival(freeClass, 1)))
	r.step(8*second, r.arrival(freeClass, 1))
	r.wantSent(r.step(second/10, outcomeOf(1, 0, OK)), 3)
}

func TestSheddingKeepsMessagesOfMoreWorth(t *testing.T) {
	set := testSettings()
	set.MaxOpen, set.Slots = 8, 1
	set.Classes[singleShotClass].Worth = 5
	r := newHarness(t, set, listEntry(1, 0, 0))
	var acts []Action
	for i := range 12 {
		class := freeClass
		if i%2 == 1 {
			class = singleShotClass
		}
		acts = append(acts, r.step(Millisecond, r.arrival(class, 1))...)
	}
	refused := 0
	for _, a := range acts {
		if a.Kind == Refuse {
			refused++
			if a.Message%2 == 0 {
				t.Errorf("message %d of the class with more worth was shed", a.Message)
			}
		}
	}
	if refused == 0 || r.d.openMessages > 8 {
		t.Errorf("%d refused, %d open", refused, r.d.openMessages)
	}
}

// A hanging destination must not keep the slots from the others.
func TestSlotsOfASuspectAreReclaimed(t *testing.T) {
	set := testSettings()
	set.Slots = 2
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(2, 0, 0), listEntry(3, 0, 0))
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1), r.arrival(singleShotClass, 2)), 1, 2)
	r.step(second, r.arrival(freeClass, 3))
	acts := r.advance(8 * second)
	if !slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == Cancel }) {
		t.Error("no call was cancelled")
	}
}

func TestInvalidEventsDoNothing(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	acts := r.step(0, outcomeOf(99, 0, OK), Event{Kind: Withdrawn, Message: 99}, Event{Kind: Tick, TimerID: 12345},
		Event{Kind: Probed, Endpoint: 4}, Event{Kind: Started, Message: 3})
	if len(acts) > 0 {
		t.Errorf("actions: %+v", acts)
	}
	bad := r.arrival(99, 1)
	r.wantAction(r.step(0, bad), Refuse, bad.Message)
	r.wantSent(r.step(second, r.arrival(freeClass, 77))) // no endpoint is listed: queued
}

func TestSameEventsSameActions(t *testing.T) {
	play := func() (all []Action) {
		r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 1))
		for i := range 200 {
			acts := r.step(second/50, r.arrival(i%3, 1+i%2))
			for _, id := range sentMessages(acts) {
				acts = append(acts, r.step(second/50, outcomeOf(id, r.d.messages[id].tries-1, Result(i%6)))...)
			}
			all = append(all, acts...)
		}
		return all
	}
	if !slices.Equal(play(), play()) {
		t.Error("two runs differ")
	}
}

// The late response to a call sent before the failure shows a slow endpoint, not an outage: it ends the suspicion without
// a ramp.
func TestLateResponseEndsSuspicionWithoutRamp(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	r.wantSent(r.step(0, r.arrival(singleShotClass, 1)), 1)
	r.advance(3 * second)
	ep := r.d.endpointByID[endpointID(1, 0)]
	if !ep.suspect {
		t.Fatal("not suspect after 3 s")
	}
	r.step(0, outcomeOf(1, 0, OK))
	if ep.suspect || r.d.cold(ep, r.now) {
		t.Errorf("suspect %v, cold since %v", ep.suspect, ep.rampStart)
	}
}

// Several unhealthy destinations together must leave half of the slots to the others.
func TestUnhealthyDestinationsShareHalfOfTheSlots(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 0), listEntry(3, 0, 0))
	for n := 1; n <= 3; n++ {
		dest := r.d.destinationByNumber[n]
		dest.window, dest.longTermLatency, dest.latencyStats.mean, dest.callsOut, dest.windowSlowStart = 5, 100, 100, 0, false
	}
	one, two := r.d.destinationByNumber[1], r.d.destinationByNumber[2]
	one.latencyStats.mean, two.latencyStats.mean, two.callsOut = 900, 900, 3
	r.d.countUnhealthyCalls(two)
	if got := r.d.effectiveWindow(one); got != 1 {
		t.Errorf("window %d beside an unhealthy destination with three calls out, want 1", got)
	}
	two.latencyStats.mean = 100
	r.d.countUnhealthyCalls(two)
	if got := r.d.effectiveWindow(one); got != 4 {
		t.Errorf("window %d as the only unhealthy one, want half of the slots", got)
	}
	// All eight slots are in use and a message of another destination waits: unhealthy ones may have a third of the slots.
	for range 8 {
		r.step(second/100, r.arrival(freeClass, 3))
	}
	r.d.usedSlots = r.d.settings.Slots
	r.step(second/100, r.arrival(freeClass, 2))
	r.step(second / 100)
	if got := r.d.effectiveWindow(one); got != 2 {
		t.Errorf("window %d while others wait for slots, want a third of them", got)
	}
}

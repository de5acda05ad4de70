package control

import (
	"math/rand"
	"slices"
	"testing"
)

// ruleChecker follows a Dispatcher from outside and checks its actions against the rules.
type ruleChecker struct {
	t     *testing.T
	set   Settings
	now   Time
	msgs  map[MessageID]*trackedMessage
	wait  map[int]Time      // end of the wait that a destination told
	ready map[Endpoint]bool // listed ready
	calls map[[2]int64]int  // messages out by round and endpoint; each key is one call
	order map[uint64][]*trackedMessage
	rest  map[uint64]Time
	marks []Action
	out   []*trackedMessage
	open  []*trackedMessage // without a final answer
}

type trackedMessage struct {
	id        MessageID
	class     *Class
	dest      int
	key       uint64
	deadline  Time
	ended     bool
	tries     int
	ep        Endpoint
	round     Time
	out       bool
	doubt     bool
	doubtAt   Time
	firstSent Time
}

func (j *ruleChecker) check(ok bool, m *trackedMessage, rule string) {
	j.t.Helper()
	if !ok {
		j.t.Fatalf("at %d: %s: %+v", j.now, rule, *m)
	}
}

func (j *ruleChecker) act(a Action) {
	m := j.msgs[a.Message]
	switch a.Kind {
	case Timer:
		if a.TimerID != 0 {
			a.After += j.now
			j.marks = append(j.marks, a)
		}
		return
	case Note, Close:
		return
	}
	if m == nil {
		j.t.Fatalf("action for a message that was never accepted: %+v", a)
	}
	switch a.Kind {
	case Refuse, Fail:
		j.check(!m.ended, m, "two final answers")
		mayHaveRun := (m.doubt || m.out) && m.class.Effect != Free
		j.check(a.Kind == Fail || !mayHaveRun || m.class.Effect == Guarded, m, "refused though it may have run")
		m.ended = true
	case Send:
		j.send(m, a)
	}
}

func (j *ruleChecker) send(m *trackedMessage, a Action) {
	j.check(!m.ended && !m.out, m, "sent though it has ended or is out")
	j.check(j.ready[a.Endpoint] && int(a.Endpoint)/10 == m.dest, m, "sent to an endpoint not listed ready")
	j.check(j.now >= j.wait[m.dest], m, "sent during a told wait")
	j.check(m.tries < j.set.MaxTries && j.now < m.deadline, m, "sent too often or too late")
	if m.doubt {
		j.check(m.class.Effect != SingleShot, m, "single-shot message in doubt sent again")
		j.check(m.class.Effect == Free || j.now < m.doubtAt+m.class.Window, m, "repeated after its window")
	}
	if m.key != 0 {
		queue := j.order[m.key]
		for len(queue) > 0 && queue[0].ended && !queue[0].out {
			queue = queue[1:]
		}
		j.order[m.key] = queue
		j.check(queue[0] == m, m, "sent out of order")
		j.check(m.tries > 0 || j.now >= j.rest[m.key], m, "sent while its key rests")
	}
	m.tries++
	m.out, m.ep, m.round, m.firstSent = true, a.Endpoint, j.now, j.now
	j.calls[[2]int64{int64(j.now), int64(a.Endpoint)}]++
	j.out = append(j.out, m)
	j.check(len(j.calls) <= j.set.Slots, m, "more calls than slots")
}

// resolve returns the outcome event of an attempt that is out, and records what follows from it.
func (j *ruleChecker) resolve(m *trackedMessage, res Result, wait Time) Event {
	m.out = false
	call := [2]int64{int64(m.round), int64(m.ep)}
	if j.calls[call]--; j.calls[call] == 0 {
		delete(j.calls, call)
	}
	switch res {
	case OK:
		m.ended = true
	case Refused:
		if wait > 0 {
			j.wait[m.dest] = max(j.wait[m.dest], j.now+wait)
		}
	case ConnectFailed:
	default:
		if !m.doubt {
			m.doubt, m.doubtAt = true, m.firstSent
		}
		if m.key != 0 && res != Errored {
			j.rest[m.key] = j.now + j.set.SettleAfterDoubt
		}
	}
	return Event{Kind: Outcome, Message: m.id, Attempt: m.tries - 1, Endpoint: m.ep, Result: res, Closed: m.ended,
		Latency: j.now - m.round, RetryAfter: wait}
}

// With random events, valid and invalid, the rules hold and each message gets one final answer.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(12) {
		playRandomEvents(t, seed)
	}
}

// calledResults are the results of attempts that were made.
var calledResults = []Result{OK, Errored, Refused, TimedOut, ConnectFailed, Reset, Cancelled, Unreadable}

func playRandomEvents(t *testing.T, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	set := testSettings()
	set.Slots, set.MaxOpen, set.Instances = 2+rng.Intn(8), 16+rng.Intn(60), 1+rng.Intn(40)
	set.Tick = 20 * Millisecond
	d, err := New(set, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	j := &ruleChecker{t: t, set: set, msgs: map[MessageID]*trackedMessage{}, wait: map[int]Time{}, ready: map[Endpoint]bool{},
		calls: map[[2]int64]int{}, order: map[uint64][]*trackedMessage{}, rest: map[uint64]Time{}}
	failing := map[int]Result{}
	for round := Time(0); round < 6000; round++ {
		j.now = round * 20 * Millisecond
		var events []Event
		for dest := 1; dest <= 4; dest++ { // destinations fail and recover
			if rng.Intn(300) == 0 {
				failing[dest] = calledResults[rng.Intn(len(calledResults))]
			}
		}
		if round == 0 || rng.Intn(100) == 0 {
			e := listEntry(1+rng.Intn(4), rng.Intn(3), rng.Intn(2))
			e.Health = Health(rng.Intn(3))
			if round < 3 {
				e.Health = Ready
			}
			j.ready[e.Endpoint] = e.Health == Ready
			events = append(events, Event{Kind: List, Entries: []Entry{e}})
		}
		if round < 4500 && rng.Intn(4) == 0 {
			events = append(events, j.arrival(rng))
		}
		rest := j.out[:0]
		for _, m := range j.out {
			res, lost := failing[m.dest], failing[m.dest] == TimedOut
			switch {
			case j.now >= m.deadline:
				events = append(events, j.resolve(m, TimedOut, 0))
			case lost || rng.Intn(10) > 0:
				rest = append(rest, m)
			case res == Refused && rng.Intn(2) == 0:
				events = append(events, j.resolve(m, Refused, Time(rng.Intn(3000))*Millisecond))
			default:
				events = append(events, j.resolve(m, res, 0))
			}
		}
		j.out = rest
		j.marks = slices.DeleteFunc(j.marks, func(a Action) bool {
			if j.now < a.After {
				return false
			}
			events = append(events, Event{Kind: Tick, TimerID: a.TimerID})
			return true
		})
		events = append(events, illegalEvents(rng)...)
		for _, a := range d.Step(j.now, events, nil) {
			if a.Kind == Cancel {
				j.cancel(a)
				continue
			}
			j.act(a)
		}
		j.open = slices.DeleteFunc(j.open, func(m *trackedMessage) bool {
			j.check(m.ended || j.now <= m.deadline, m, "no answer in time")
			return m.ended
		})
	}
	if len(d.messages) > 0 || d.usedSlots != 0 || d.openMessages != 0 {
		t.Errorf("seed %d: %d messages, %d used slots and %d open messages are left", seed, len(d.messages), d.usedSlots, d.openMessages)
	}
}

// cancel checks that a cancelled attempt is out. Its outcome arrives like any other, possibly only at the deadline.
func (j *ruleChecker) cancel(a Action) {
	m := j.msgs[a.Message]
	j.check(m != nil && m.out && m.tries-1 == a.Attempt, m, "cancelled though it is not out")
}

func (j *ruleChecker) arrival(rng *rand.Rand) Event {
	class := rng.Intn(4)
	m := &trackedMessage{id: MessageID(len(j.msgs) + 1), class: &j.set.Classes[class], dest: 1 + rng.Intn(4)}
	timeLeft := Time(1+rng.Intn(20)) * second
	m.deadline = j.now + timeLeft
	if m.class.InOrder {
		m.key = uint64(1 + m.dest)
		j.order[m.key] = append(j.order[m.key], m)
	}
	j.msgs[m.id] = m
	j.open = append(j.open, m)
	return Event{Kind: Arrival, Message: m.id, Class: class, Destination: m.dest, Key: m.key, TimeLeft: timeLeft}
}

// illegalEvents returns events that no correct caller sends. They must change nothing that the rules depend on.
func illegalEvents(rng *rand.Rand) []Event {
	switch rng.Intn(8) {
	case 0:
		return []Event{outcomeOf(MessageID(1e9), 0, Result(rng.Intn(9))), {Kind: Withdrawn, Message: 1e9}}
	case 1:
		return []Event{{Kind: Tick, TimerID: 1e12}, {Kind: Probed, Endpoint: 999}, {Kind: EventKind(77)}}
	case 2:
		return []Event{outcomeOf(MessageID(1+rng.Intn(50)), 90, OK), {Kind: List, ListKind: ListFailed}}
	}
	return nil
}

// A message that is refused during its destination's wait tells the client for how long to stay away.
func TestRefusalTellsWhenToComeBack(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0))
	m := r.arrival(freeClass, 1)
	r.wantSent(r.step(0, m), m.Message)
	r.step(second/10, refusal(m.Message, 0, 9*second))
	acts := r.step(4*second, Event{Kind: Tick, TimerID: uint64(m.Message) + 1})
	r.wantAction(acts, Refuse, m.Message)
	for _, a := range acts {
		if a.Kind == Refuse && (a.After < 4*second || a.After > 6*second) {
			t.Errorf("told to stay away for %v, the wait has five seconds left", a.After)
		}
	}
	n := r.arrival(freeClass, 2) // no endpoint, no wait
	r.step(0, n)
	for _, a := range r.step(second, Event{Kind: Tick, TimerID: uint64(n.Message) + 1}) {
		if a.Kind == Refuse && a.After != 0 {
			t.Errorf("told to stay away for %v without a wait", a.After)
		}
	}
}

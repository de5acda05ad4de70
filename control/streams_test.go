package control_test

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"

	. "curlewmux/control"
)

// A stream is a run of a Dispatcher against a simulated platform: clients, endpoint lists and endpoints with all
// sorts of faults, drawn from a seed. The platform responds to the actions, so the same actions lead to the same
// events, and a single different action changes everything after it.

// stepper is a decision module, such as a Dispatcher.
type stepper interface {
	Step(now Time, events []Event, actions []Action) []Action
}

// scenario describes the size and the conditions of a set of streams.
type scenario struct {
	name             string
	seeds            uint64 // number of streams
	rounds           int    // ticks of a stream
	destinations     int
	maxEndpoints     int     // most endpoints of a destination
	slots            int     // Settings.Slots, 0 draws it
	maxOpen          int     // Settings.MaxOpen, 0 draws it
	rate             float64 // arrivals per tick
	skew             float64 // share of arrivals that go to one destination
	faultRate        float64 // destinations that change their behaviour per tick
	wideOutageChance float64 // chance per tick that half of all destinations begin to fail
	listChangeChance float64 // chance per tick of a change of the endpoint list
	turnover         bool    // removed endpoints and destinations never return: new ones take their place
	grow             bool    // begins with a third of the destinations; whole destinations are added and removed
	start            Time
	restored         int  // messages of an earlier process
	invalidEvents    bool // invalid events come in between
	large            bool // too large to be played twice in every run of the tests
}

func scenarios() []scenario {
	return []scenario{
		{name: "few", seeds: 12, rounds: 3000, destinations: 4, maxEndpoints: 3, rate: 0.12, faultRate: 0.004,
			listChangeChance: 0.01, invalidEvents: true},
		{name: "pairs", seeds: 6, rounds: 3000, destinations: 2, maxEndpoints: 2, slots: 2, rate: 0.08,
			faultRate: 0.005, listChangeChance: 0.002},
		{name: "site", seeds: 4, rounds: 3000, destinations: 40, maxEndpoints: 3, rate: 1.2, faultRate: 0.03,
			wideOutageChance: 0.001, listChangeChance: 0.02},
		{name: "skew", seeds: 3, rounds: 2000, destinations: 30, maxEndpoints: 2, slots: 12, rate: 1.5,
			skew: 0.7, faultRate: 0.02, listChangeChance: 0.005},
		{name: "shed", seeds: 4, rounds: 2500, destinations: 25, maxEndpoints: 2, slots: 6, maxOpen: 60,
			rate: 1.2, faultRate: 0.05, wideOutageChance: 0.002, listChangeChance: 0.01},
		{name: "wide", seeds: 2, rounds: 1500, destinations: 200, maxEndpoints: 2, slots: 100, maxOpen: 3000,
			rate: 3, faultRate: 0.1, wideOutageChance: 0.004, listChangeChance: 0.01},
		{name: "churn", seeds: 2, rounds: 4000, destinations: 20, maxEndpoints: 2, rate: 0.5, faultRate: 0.01,
			listChangeChance: 0.3, turnover: true},
		{name: "grow", seeds: 4, rounds: 2500, destinations: 24, maxEndpoints: 2, slots: 30, rate: 1.2,
			skew: 0.4, faultRate: 0.02, listChangeChance: 0.04, grow: true},
		{name: "hoard", seeds: 2, rounds: 1500, destinations: 150, maxEndpoints: 2, slots: 10, maxOpen: 400,
			rate: 0.4, faultRate: 0.3, wideOutageChance: 0.01, listChangeChance: 0.005},
		{name: "full", seeds: 3, rounds: 2500, destinations: 16, maxEndpoints: 2, slots: 4, maxOpen: 300,
			rate: 0.8, faultRate: 0.01, listChangeChance: 0.01},
		{name: "restart", seeds: 4, rounds: 1500, destinations: 10, maxEndpoints: 2, rate: 0.3, faultRate: 0.01,
			listChangeChance: 0.01, restored: 150},
		{name: "days", seeds: 2, rounds: 2000, destinations: 10, maxEndpoints: 2, rate: 0.5, faultRate: 0.02,
			listChangeChance: 0.01, start: 400 * 86400 * Second},
		{name: "large", seeds: 1, rounds: 600, destinations: 1500, maxEndpoints: 2, slots: 800, maxOpen: 9000,
			rate: 10, faultRate: 1, wideOutageChance: 0.01, listChangeChance: 0.02, large: true},
	}
}

// settings draws the settings of a stream, as they change which decisions are made.
func (s *scenario) settings(rng *rand.Rand) Settings {
	set := Settings{
		Instances: 1 + rng.IntN(60), Zone: rng.IntN(2), Tick: Time(5+15*rng.IntN(2)) * Millisecond,
		Slots: s.slots, MaxOpen: s.maxOpen,
		MaxTries: 2 + rng.IntN(6), MayCancel: rng.IntN(5) > 0, RetryAfter: true, MaxRetryAfter: 10 * Second,
		ConnIdle: 5 * Second, ConnectTimeout: Second, StreamsPerConn: 1, StopSendingWithin: Second, ColdFrom: 0.2,
		WarmUp: Time(1+rng.IntN(10)) * Second, TipMultiple: 2, OverloadFor: Time(500+rng.IntN(2000)) * Millisecond,
		SettleAfterDoubt: Time(500+rng.IntN(2000)) * Millisecond, ReportLeft: -1, ReportLimit: -1, OverShare: 0.05,
		LateHalving: rng.IntN(2) == 0, Weights: WeightKind(rng.IntN(3)),
		Kinds: []Kind{
			{Name: "plain", Batch: 1}, {Name: "batch", Batch: 3}, {Name: "apart", Batch: 1, RoutesApart: true}},
		Classes: []Class{
			{Name: "free", Effect: Free, Aim: Second, Deadline: 8 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "guarded", Effect: Guarded, Window: 4 * Second, Aim: 2 * Second, Deadline: 10 * Second,
				Worth: 2, LateWorth: 0.2},
			{Name: "single", Effect: SingleShot, Aim: 2 * Second, Deadline: 6 * Second, Worth: 1.5, LateWorth: 0},
			{Name: "ordered", Effect: Guarded, Window: 5 * Second, ZoneGroup: true, Aim: Second,
				Deadline: 10 * Second, Worth: 1, InOrder: true},
			{Name: "rising", Effect: Free, Aim: Second / 2, Deadline: 5 * Second, Worth: 0.5, LateWorth: 1.5},
		},
	}
	if set.Slots == 0 {
		set.Slots = 2 + rng.IntN(2+s.destinations)
	}
	if set.MaxOpen == 0 {
		set.MaxOpen = 16 + rng.IntN(20*s.destinations)
	}
	if rng.IntN(3) == 0 {
		set.ReportLimit = 1
	}
	if rng.IntN(2) == 0 {
		set.Tenants = []Tenant{{"a", 2 + 100*rng.Float64()}, {"b", 5}}
	}
	return set
}

// behaviour tells how an endpoint responds.
type behaviour uint8

const (
	endpointHealthy behaviour = iota
	endpointSlow
	endpointDown             // connections fail
	endpointHung             // no response
	endpointRefusing         // refuses without a wait
	endpointRefusingWithWait // refuses and asks for a wait
	endpointFailing          // responds with errors
	endpointLosingResponses  // some responses get lost
	endpointRefusingSome     // some calls are refused
	behaviourCount
)

// simulatedEndpoint is a simulated endpoint.
type simulatedEndpoint struct {
	entry     Entry
	behaviour behaviour
	until     Time // end of its current behaviour
	latency   Time // mean latency
}

// simulatedMessage is a message as the platform sees it.
type simulatedMessage struct {
	class, destination, tries int
	attemptOut                bool
	ended                     bool
	deadline                  Time
	endpoint                  *simulatedEndpoint
}

// plannedEvent is an event that will come at a time.
type plannedEvent struct {
	at      Time
	seq     int // keeps events of the same time in the order in which they were planned
	event   Event
	outcome bool // an outcome, to be ignored if the attempt has ended already
}

// eventQueue is a priority queue of planned events.
type eventQueue []plannedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int)   { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any) { *q = append(*q, event.(plannedEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// platform plays one stream.
type platform struct {
	scenario
	rng              *rand.Rand
	set              Settings
	now              Time
	endpoints        []*simulatedEndpoint
	byID             map[Endpoint]*simulatedEndpoint
	messages         map[MessageID]*simulatedMessage
	out              []MessageID // messages with an attempt out; some may have ended
	queue            eventQueue
	seq              int
	lastEndpoint     Endpoint
	lastMessage      MessageID
	firstDestination int // lowest number of a listed destination
	hash             hash.Hash
	count            map[ActionKind]int
	steps            int
}

// stream returns the platform that plays one seed of a scenario.
func (s scenario) stream(seed uint64) *platform {
	p := &platform{
		scenario: s, rng: rand.New(rand.NewPCG(seed, uint64(len(s.name)))), now: s.start + 1000*Second,
		byID: map[Endpoint]*simulatedEndpoint{}, messages: map[MessageID]*simulatedMessage{},
		hash: sha256.New(), count: map[ActionKind]int{},
	}
	p.set = s.settings(p.rng)
	p.faultRate *= []float64{0.1, 0.4, 1}[p.rng.IntN(3)]
	return p
}

// schedule plans an event.
func (p *platform) schedule(delay Time, event Event, isOutcome bool) {
	p.seq++
	heap.Push(&p.queue, plannedEvent{p.now + max(delay, 1), p.seq, event, isOutcome})
}

func (p *platform) chance(probability float64) bool { return p.rng.Float64() < probability }

// drawCount draws a whole number with the mean v.
func (p *platform) drawCount(mean float64) int {
	count := int(mean)
	if p.chance(mean - float64(count)) {
		count++
	}
	return count
}

// addEndpoint adds an endpoint to a destination.
func (p *platform) addEndpoint(dest int) Entry {
	p.lastEndpoint++
	kind := dest % 4 // one of the four is not in the settings
	entry := Entry{Endpoint: p.lastEndpoint, Destination: dest, Zone: p.rng.IntN(2), Kind: kind, Health: Ready}
	if p.chance(0.4) {
		entry.Weight = 1 + 40*p.rng.Float64()
	}
	endpoint := &simulatedEndpoint{entry: entry, latency: Time(2+p.rng.IntN(120)) * Millisecond}
	p.endpoints = append(p.endpoints, endpoint)
	p.byID[entry.Endpoint] = endpoint
	return entry
}

// play runs the stream against m. If check is set, it is called after each Step.
func (p *platform) play(module stepper, check func(now Time, events []Event, acts []Action) error) error {
	var initial []Event
	if p.restored > 0 {
		initial = append(initial, Event{Kind: Restarted})
	}
	var entries []Entry
	for dest := range p.destinations {
		if p.grow && dest%3 > 0 {
			continue
		}
		for range 1 + p.rng.IntN(p.maxEndpoints) {
			entries = append(entries, p.addEndpoint(dest))
		}
	}
	initial = append(initial, Event{Kind: List, ListKind: ListFull, Entries: entries})
	for range p.restored {
		ev := p.arrival()
		ev.Restored, ev.Tries = true, p.rng.IntN(p.set.MaxTries+1)
		if p.chance(0.5) {
			ev.DoubtAge, ev.DoubtZone = Time(p.rng.IntN(5000))*Millisecond, p.rng.IntN(2)
		}
		p.messages[ev.Message].tries = ev.Tries
		initial = append(initial, ev)
	}
	var acts []Action
	for round := range p.rounds {
		p.now += p.set.Tick
		if p.chance(0.0007) { // the process was suspended for a while
			p.now += Time(p.rng.IntN(1000)) * Millisecond
		}
		p.now += Time(p.rng.IntN(3)) * Millisecond / 7
		events := append(initial, p.clients(round)...)
		initial = nil
		events = append(events, p.listChanges()...)
		p.changeBehaviours()
		for len(p.queue) > 0 && p.queue[0].at <= p.now {
			planned := heap.Pop(&p.queue).(plannedEvent)
			if planned.outcome && !p.endAttempt(&planned.event) {
				continue
			}
			events = append(events, planned.event)
		}
		if p.invalidEvents {
			events = append(events, p.randomInvalidEvents()...)
		}
		if len(events) == 0 && p.chance(0.7) {
			continue
		}
		p.steps++
		acts = module.Step(p.now, events, acts[:0])
		if check != nil {
			if err := check(p.now, events, acts); err != nil {
				return fmt.Errorf("%s, round %d, at %d, %d events: %w", p.name, round, p.now, len(events), err)
			}
		}
		p.addToHash(acts)
		for i := 0; i < len(acts); i++ {
			p.respond(acts, i)
		}
	}
	return nil
}

// arrival draws a new message.
func (p *platform) arrival() Event {
	p.lastMessage++
	class := p.rng.IntN(len(p.set.Classes))
	dest := p.firstDestination + p.rng.IntN(p.destinations)
	if p.chance(p.skew) {
		dest = p.firstDestination
	}
	c := p.set.Classes[class]
	ev := Event{Kind: Arrival, Message: p.lastMessage, Class: class, Destination: dest, Tenant: p.rng.IntN(3) - 1}
	ev.TimeLeft = c.Deadline - Time(p.rng.Int64N(int64(c.Deadline)*2/3))
	if c.InOrder && p.chance(0.8) {
		ev.Key = uint64(1 + p.rng.IntN(5) + 10*(dest/2)) // some keys are shared by two destinations
	}
	p.messages[p.lastMessage] = &simulatedMessage{class: class, destination: dest, deadline: p.now + ev.TimeLeft}
	return ev
}

// clients draws what clients do in a round, and pauses.
func (p *platform) clients(round int) (events []Event) {
	if round < p.rounds*4/5 {
		rate := p.rate
		if round/500%3 == 2 { // a period of high load
			rate *= 4
		}
		for range p.drawCount(rate) {
			events = append(events, p.arrival())
		}
	}
	if p.chance(0.02) && p.lastMessage > 0 {
		id := p.lastMessage - MessageID(p.rng.IntN(50))
		if msg := p.messages[id]; msg != nil {
			msg.ended = true
			events = append(events, Event{Kind: Withdrawn, Message: id})
		}
	}
	if p.chance(0.0015) {
		events = append(events, Event{Kind: Pause, Paused: true})
		p.schedule(Time(p.rng.IntN(300))*Millisecond, Event{Kind: Pause}, false)
	}
	return events
}

// listChanges draws a change of the endpoint list: an update, a complete list, or a failure to fetch it.
func (p *platform) listChanges() (events []Event) {
	if !p.chance(p.listChangeChance) {
		return nil
	}
	switch p.rng.IntN(6) {
	case 0:
		return []Event{{Kind: List, ListKind: ListFailed}}
	case 1: // a complete list in which some endpoints are missing
		ev := Event{Kind: List, ListKind: ListFull}
		if p.chance(0.3) {
			ev.ListKind = ListCached
		}
		for _, endpoint := range p.endpoints {
			endpoint.entry.Health = Ready
			if p.chance(0.05) {
				endpoint.entry.Health = Gone
				continue
			}
			if p.chance(0.05) {
				endpoint.entry.Health = Draining
			}
			ev.Entries = append(ev.Entries, endpoint.entry)
		}
		return []Event{ev}
	}
	ev := Event{Kind: List, ListKind: ListDelta}
	if p.turnover {
		p.firstDestination++ // the destination with the lowest number goes, a new one comes
		p.endpoints = slices.DeleteFunc(p.endpoints, func(endpoint *simulatedEndpoint) bool {
			if endpoint.entry.Destination < p.firstDestination {
				endpoint.entry.Health = Gone
				ev.Entries = append(ev.Entries, endpoint.entry)
				return true
			}
			return false
		})
		for range 1 + p.rng.IntN(p.maxEndpoints) {
			ev.Entries = append(ev.Entries, p.addEndpoint(p.firstDestination+p.destinations-1))
		}
		return []Event{ev}
	}
	if p.grow {
		dest := p.rng.IntN(p.destinations)
		for _, endpoint := range p.endpoints {
			if endpoint.entry.Destination == dest {
				endpoint.entry.Health = Gone
				ev.Entries = append(ev.Entries, endpoint.entry)
			}
		}
		if len(ev.Entries) == 0 || p.chance(0.3) {
			ev.Entries = append(ev.Entries, p.addEndpoint(dest))
		}
		return []Event{ev}
	}
	for range 1 + p.rng.IntN(3) {
		endpoint := p.endpoints[p.rng.IntN(len(p.endpoints))]
		if p.chance(0.1) {
			endpoint.entry.Kind = p.rng.IntN(4)
		}
		endpoint.entry.Health = Health(p.rng.IntN(3))
		if p.chance(0.6) {
			endpoint.entry.Health = Ready
		}
		if endpoint.entry.Weight > 0 {
			endpoint.entry.Weight = 1 + 40*p.rng.Float64()
		}
		ev.Entries = append(ev.Entries, endpoint.entry)
	}
	if p.chance(0.2) {
		ev.Entries = append(ev.Entries, p.addEndpoint(p.firstDestination+p.rng.IntN(p.destinations)))
	}
	return []Event{ev}
}

// changeBehaviours changes the behaviour of some endpoints.
func (p *platform) changeBehaviours() {
	setBehaviour := func(dest int, to behaviour, duration Time) {
		for _, endpoint := range p.endpoints {
			if endpoint.entry.Destination == dest && (endpoint.entry.Kind != 2 || p.chance(0.5)) {
				endpoint.behaviour, endpoint.until = to, p.now+duration
			}
		}
	}
	for range p.drawCount(p.faultRate) {
		setBehaviour(p.firstDestination+p.rng.IntN(p.destinations), behaviour(p.rng.IntN(int(behaviourCount))),
			Time(100+p.rng.IntN(6000))*Millisecond)
	}
	if p.chance(p.wideOutageChance) {
		to, duration := behaviour(1+p.rng.IntN(int(behaviourCount)-1)), Time(1000+p.rng.IntN(4000))*Millisecond
		for dest := range p.destinations {
			if p.chance(0.5) {
				setBehaviour(p.firstDestination+dest, to, duration)
			}
		}
	}
}

// randomInvalidEvents draws invalid events, which the Dispatcher has to ignore or refuse.
func (p *platform) randomInvalidEvents() []Event {
	switch p.rng.IntN(12) {
	case 0:
		return []Event{
			{Kind: Outcome, Message: 1e9, Result: Result(p.rng.IntN(9))}, {Kind: Withdrawn, Message: 1e9},
			{Kind: Outcome, Message: p.lastMessage, Attempt: 90},
		}
	case 1:
		return []Event{{Kind: Tick, TimerID: 1e12}, {Kind: Probed, Endpoint: 999}, {Kind: EventKind(77)}}
	case 2:
		events := []Event{{Kind: Arrival, Message: 1<<40 + p.lastMessage, Class: 77}}
		if msg := p.messages[p.lastMessage]; msg != nil && !msg.ended { // a duplicate of a message that is still open
			events = append(events, Event{Kind: Arrival, Message: p.lastMessage, Destination: 1, TimeLeft: Second})
		}
		return events
	}
	return nil
}

// respond responds to one action. All messages of a call get the same kind of result, with a few exceptions.
func (p *platform) respond(acts []Action, i int) {
	action := &acts[i]
	p.count[action.Kind]++
	switch action.Kind {
	case Timer:
		p.schedule(action.After, Event{Kind: Tick, TimerID: action.TimerID}, false)
	case Refuse, Fail:
		if msg := p.messages[action.Message]; msg != nil {
			msg.ended = true
		}
	case Cancel:
		if msg := p.messages[action.Message]; msg != nil && msg.attemptOut && p.chance(0.95) {
			result := Cancelled
			if p.chance(0.1) {
				result = Moot
			}
			p.schedule(Time(p.rng.IntN(8))*Millisecond, p.outcome(action.Message, action.Attempt, result), true)
		}
	case Send:
		if action.SameCall {
			return
		}
		endpoint := p.byID[action.Endpoint]
		result, latency, wait := p.drawOutcome(endpoint)
		for j := i; j < len(acts) && (j == i || acts[j].Kind == Send && acts[j].SameCall); j++ {
			send := &acts[j]
			msg := p.messages[send.Message]
			msg.attemptOut, msg.endpoint = true, endpoint
			ev := p.outcome(send.Message, msg.tries, result)
			msg.tries++
			timeout := msg.deadline - p.now // the longest that the caller waits
			if send.After > 0 {
				timeout = min(timeout, send.After)
			}
			switch {
			case result == TimedOut || latency >= timeout:
				ev.Result, ev.Latency = TimedOut, timeout
				p.schedule(timeout, ev, true)
			case j > i && p.chance(0.02):
				ev.Result, ev.Latency = Unsent, 0
				p.schedule(1, ev, true)
			default:
				if result == Refused && p.chance(0.3) {
					wait += Time(p.rng.IntN(500)) * Millisecond
				}
				ev.Latency, ev.RetryAfter = latency, wait
				if p.set.ReportLimit >= 0 && p.chance(0.2) {
					ev.Report = []float32{0, 5 + 20*p.rng.Float32()}
				}
				p.schedule(latency, ev, true)
			}
		}
	}
}

// outcome returns the outcome of an attempt.
func (p *platform) outcome(id MessageID, attempt int, result Result) Event {
	return Event{Kind: Outcome, Message: id, Attempt: attempt,
		Endpoint: p.messages[id].endpoint.entry.Endpoint, Result: result}
}

// drawOutcome draws the result of a call to an endpoint.
func (p *platform) drawOutcome(endpoint *simulatedEndpoint) (result Result, latency, wait Time) {
	if p.now > endpoint.until {
		endpoint.behaviour = endpointHealthy
	}
	latency = endpoint.latency/2 + Time(p.rng.Int64N(int64(endpoint.latency)))
	switch endpoint.behaviour {
	case endpointSlow:
		return OK, latency * 10, 0
	case endpointDown:
		return ConnectFailed, Millisecond, 0
	case endpointHung:
		return TimedOut, 0, 0
	case endpointRefusing:
		return Refused, Millisecond, 0
	case endpointRefusingWithWait:
		return Refused, Millisecond, Time(200+p.rng.IntN(3000)) * Millisecond
	case endpointFailing:
		return Errored, latency / 2, 0
	case endpointLosingResponses:
		if p.chance(0.3) {
			return TimedOut, 0, 0
		}
	case endpointRefusingSome:
		if p.chance(0.3) {
			return Refused, Millisecond, 0
		}
	}
	switch p.rng.IntN(400) {
	case 0:
		return Reset, latency / 2, 0
	case 1:
		return ConnectFailed, Millisecond, 0
	case 2:
		return Unsent, Millisecond, 0
	case 3:
		return Errored, latency, 0
	}
	return OK, latency, 0
}

// endAttempt records that an attempt has ended. It returns false if that attempt had ended already.
func (p *platform) endAttempt(ev *Event) bool {
	msg := p.messages[ev.Message]
	if msg == nil || !msg.attemptOut || msg.tries-1 != ev.Attempt {
		return false
	}
	msg.attemptOut = false
	if ev.Result == Unsent {
		msg.tries--
	}
	ev.Closed = ev.Result == OK || msg.ended
	if msg.ended = ev.Closed; msg.ended {
		delete(p.messages, ev.Message)
	}
	return true
}

// addToHash adds the actions of a Step to the hash of the stream.
func (p *platform) addToHash(acts []Action) {
	var buf []byte
	buf = binary.AppendVarint(buf, int64(p.now))
	for i := range acts {
		action := &acts[i]
		sameCall := int64(0)
		if action.SameCall {
			sameCall = 1
		}
		for _, v := range []int64{int64(action.Kind), int64(action.Message), int64(action.Attempt),
			int64(action.Endpoint), sameCall, int64(action.After), int64(action.TimerID), int64(len(action.Text))} {
			buf = binary.AppendVarint(buf, v)
		}
		buf = append(buf, action.Text...)
	}
	p.hash.Write(buf)
}

// compareActions returns an error that describes the first difference between two lists of actions, nil if there is
// none.
func compareActions(got, want []Action) error {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return fmt.Errorf("action %d of %d is %+v; with all destinations evaluated it is, of %d, %+v",
				i, len(got), got[i], len(want), want[i])
		}
	}
	if len(got) != len(want) {
		return fmt.Errorf("%d actions; with all destinations evaluated there are %d: %+v, %+v",
			len(got), len(want), got, want)
	}
	return nil
}

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

// A stream is a run of a Dispatcher against a simulated platform: clients, endpoint lists and endpoints with all sorts of
// faults, drawn from a seed. The platform responds to the actions, so the same actions lead to the same events, and a single
// different action changes everything after it.

// stepper is a decision module, such as a Dispatcher.
type stepper interface {
	Step(now Time, events []Event, actions []Action) []Action
}

// scene describes the size and the conditions of a set of streams.
type scene struct {
	name     string
	seeds    uint64 // number of streams
	rounds   int    // ticks of a stream
	dests    int
	routes   int     // most endpoints of a destination
	slots    int     // Settings.Slots, 0 draws it
	open     int     // Settings.MaxOpen, 0 draws it
	rate     float64 // arrivals per tick
	skew     float64 // share of arrivals that go to one destination
	ills     float64 // destinations that change their behaviour per tick
	wide     float64 // chance per tick that half of all destinations begin to fail
	lists    float64 // chance per tick of a change of the endpoint list
	turnover bool    // removed endpoints and destinations never return: new ones take their place
	grow     bool    // the list begins with a third of the destinations; whole destinations are added and removed
	start    Time
	restored int  // messages of an earlier process
	illegal  bool // invalid events come in between
	large    bool // too large to be played twice in every run of the tests
}

func scenes() []scene {
	return []scene{
		{name: "few", seeds: 12, rounds: 3000, dests: 4, routes: 3, rate: 0.12, ills: 0.004, lists: 0.01, illegal: true},
		{name: "pairs", seeds: 6, rounds: 3000, dests: 2, routes: 2, slots: 2, rate: 0.08, ills: 0.005, lists: 0.002},
		{name: "site", seeds: 4, rounds: 3000, dests: 40, routes: 3, rate: 1.2, ills: 0.03, wide: 0.001, lists: 0.02},
		{name: "skew", seeds: 3, rounds: 2000, dests: 30, routes: 2, slots: 12, rate: 1.5, skew: 0.7, ills: 0.02, lists: 0.005},
		{name: "shed", seeds: 4, rounds: 2500, dests: 25, routes: 2, slots: 6, open: 60, rate: 1.2, ills: 0.05, wide: 0.002, lists: 0.01},
		{name: "wide", seeds: 2, rounds: 1500, dests: 200, routes: 2, slots: 100, open: 3000, rate: 3, ills: 0.1, wide: 0.004, lists: 0.01},
		{name: "churn", seeds: 2, rounds: 4000, dests: 20, routes: 2, rate: 0.5, ills: 0.01, lists: 0.3, turnover: true},
		{name: "grow", seeds: 4, rounds: 2500, dests: 24, routes: 2, slots: 30, rate: 1.2, skew: 0.4, ills: 0.02, lists: 0.04, grow: true},
		{name: "hoard", seeds: 2, rounds: 1500, dests: 150, routes: 2, slots: 10, open: 400, rate: 0.4, ills: 0.3, wide: 0.01, lists: 0.005},
		{name: "full", seeds: 3, rounds: 2500, dests: 16, routes: 2, slots: 4, open: 300, rate: 0.8, ills: 0.01, lists: 0.01},
		{name: "restart", seeds: 4, rounds: 1500, dests: 10, routes: 2, rate: 0.3, ills: 0.01, lists: 0.01, restored: 150},
		{name: "days", seeds: 2, rounds: 2000, dests: 10, routes: 2, rate: 0.5, ills: 0.02, lists: 0.01, start: 400 * 86400 * Second},
		{name: "large", seeds: 1, rounds: 600, dests: 1500, routes: 2, slots: 800, open: 9000, rate: 10, ills: 1, wide: 0.01, lists: 0.02, large: true},
	}
}

// settings draws the settings of a stream, as they change which decisions are made.
func (c *scene) settings(rng *rand.Rand) Settings {
	set := Settings{
		Instances: 1 + rng.IntN(60), Zone: rng.IntN(2), Tick: Time(5+15*rng.IntN(2)) * Millisecond, Slots: c.slots, MaxOpen: c.open,
		MaxTries: 2 + rng.IntN(6), MayCancel: rng.IntN(5) > 0, RetryAfter: true, MaxRetryAfter: 10 * Second,
		ConnIdle: 5 * Second, ConnectTimeout: Second, StreamsPerConn: 1, StopSendingWithin: Second, ColdFrom: 0.2,
		WarmUp: Time(1+rng.IntN(10)) * Second, TipMultiple: 2, OverloadFor: Time(500+rng.IntN(2000)) * Millisecond,
		SettleAfterDoubt: Time(500+rng.IntN(2000)) * Millisecond, ReportLeft: -1, ReportLimit: -1, OverShare: 0.05,
		LateHalving: rng.IntN(2) == 0, Weights: WeightKind(rng.IntN(3)),
		Kinds: []Kind{{Name: "plain", Batch: 1}, {Name: "batch", Batch: 3}, {Name: "apart", Batch: 1, RoutesApart: true}},
		Classes: []Class{
			{Name: "free", Effect: Free, Aim: Second, Deadline: 8 * Second, Worth: 1, LateWorth: 0.5},
			{Name: "guarded", Effect: Guarded, Window: 4 * Second, Aim: 2 * Second, Deadline: 10 * Second, Worth: 2, LateWorth: 0.2},
			{Name: "single", Effect: SingleShot, Aim: 2 * Second, Deadline: 6 * Second, Worth: 1.5, LateWorth: 0},
			{Name: "ordered", Effect: Guarded, Window: 5 * Second, ZoneGroup: true, Aim: Second, Deadline: 10 * Second, Worth: 1, InOrder: true},
			{Name: "rising", Effect: Free, Aim: Second / 2, Deadline: 5 * Second, Worth: 0.5, LateWorth: 1.5},
		},
	}
	if set.Slots == 0 {
		set.Slots = 2 + rng.IntN(2+c.dests)
	}
	if set.MaxOpen == 0 {
		set.MaxOpen = 16 + rng.IntN(20*c.dests)
	}
	if rng.IntN(3) == 0 {
		set.ReportLimit = 1
	}
	if rng.IntN(2) == 0 {
		set.Tenants = []Tenant{{"a", 2 + 100*rng.Float64()}, {"b", 5}}
	}
	return set
}

// mood tells how an endpoint responds.
type mood uint8

const (
	isWell mood = iota
	isSlowly
	isDown    // connections fail
	isHung    // no response
	isFull    // refuses without a wait
	isWaiting // refuses and asks for a wait
	isBroken  // responds with errors
	isLossy   // some responses get lost
	isPartly  // some calls are refused
	moods
)

// peer is a simulated endpoint.
type peer struct {
	entry Entry
	mood  mood
	until Time // end of its current behaviour
	lag   Time // mean latency
}

// post is a message as the platform sees it.
type post struct {
	class, dest, tries int
	out                bool
	ended              bool
	due                Time
	at                 *peer
}

// planned is an event that will come at a time.
type planned struct {
	at  Time
	seq int // keeps events of the same time in the order in which they were planned
	ev  Event
	res bool // an outcome, to be ignored if the attempt has ended already
}

// plan is a priority queue of planned events.
type plan []planned

func (p plan) Len() int { return len(p) }
func (p plan) Less(i, j int) bool {
	return p[i].at < p[j].at || p[i].at == p[j].at && p[i].seq < p[j].seq
}
func (p plan) Swap(i, j int) { p[i], p[j] = p[j], p[i] }
func (p *plan) Push(x any)   { *p = append(*p, x.(planned)) }
func (p *plan) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}

// platform plays one stream.
type platform struct {
	scene
	rng    *rand.Rand
	set    Settings
	now    Time
	peers  []*peer
	byID   map[Endpoint]*peer
	posts  map[MessageID]*post
	out    []MessageID // messages with an attempt out; some may have ended
	plan   plan
	seq    int
	lastEp Endpoint
	last   MessageID
	first  int // lowest number of a listed destination
	hash   hash.Hash
	count  map[ActionKind]int
	steps  int
}

// stream returns the platform that plays one seed of a scene.
func (c scene) stream(seed uint64) *platform {
	p := &platform{
		scene: c, rng: rand.New(rand.NewPCG(seed, uint64(len(c.name)))), now: c.start + 1000*Second, byID: map[Endpoint]*peer{},
		posts: map[MessageID]*post{}, hash: sha256.New(), count: map[ActionKind]int{},
	}
	p.set = c.settings(p.rng)
	p.ills *= []float64{0.1, 0.4, 1}[p.rng.IntN(3)]
	return p
}

// after plans an event.
func (p *platform) after(t Time, ev Event, res bool) {
	p.seq++
	heap.Push(&p.plan, planned{p.now + max(t, 1), p.seq, ev, res})
}

func (p *platform) chance(v float64) bool { return p.rng.Float64() < v }

// times draws a whole number with the mean v.
func (p *platform) times(v float64) int {
	n := int(v)
	if p.chance(v - float64(n)) {
		n++
	}
	return n
}

// join adds an endpoint to a destination.
func (p *platform) join(dest int) Entry {
	p.lastEp++
	kind := dest % 4 // one of the four is not in the settings
	e := Entry{Endpoint: p.lastEp, Dest: dest, Zone: p.rng.IntN(2), Kind: kind, Health: Ready}
	if p.chance(0.4) {
		e.Weight = 1 + 40*p.rng.Float64()
	}
	n := &peer{entry: e, lag: Time(2+p.rng.IntN(120)) * Millisecond}
	p.peers = append(p.peers, n)
	p.byID[e.Endpoint] = n
	return e
}

// play runs the stream against m. If check is set, it is called after each Step.
func (p *platform) play(m stepper, check func(now Time, events []Event, acts []Action) error) error {
	var first []Event
	if p.restored > 0 {
		first = append(first, Event{Kind: Restarted})
	}
	var entries []Entry
	for dest := range p.dests {
		if p.grow && dest%3 > 0 {
			continue
		}
		for range 1 + p.rng.IntN(p.routes) {
			entries = append(entries, p.join(dest))
		}
	}
	first = append(first, Event{Kind: List, ListKind: ListFull, Entries: entries})
	for range p.restored {
		ev := p.arrival()
		ev.Restored, ev.Tries = true, p.rng.IntN(p.set.MaxTries+1)
		if p.chance(0.5) {
			ev.Doubt, ev.DoubtZone = Time(p.rng.IntN(5000))*Millisecond, p.rng.IntN(2)
		}
		p.posts[ev.Message].tries = ev.Tries
		first = append(first, ev)
	}
	var acts []Action
	for round := range p.rounds {
		p.now += p.set.Tick
		if p.chance(0.0007) { // the process was suspended for a while
			p.now += Time(p.rng.IntN(1000)) * Millisecond
		}
		p.now += Time(p.rng.IntN(3)) * Millisecond / 7
		events := append(first, p.clients(round)...)
		first = nil
		events = append(events, p.members()...)
		p.weather()
		for len(p.plan) > 0 && p.plan[0].at <= p.now {
			x := heap.Pop(&p.plan).(planned)
			if x.res && !p.ends(&x.ev) {
				continue
			}
			events = append(events, x.ev)
		}
		if p.illegal {
			events = append(events, p.nonsense()...)
		}
		if len(events) == 0 && p.chance(0.7) {
			continue
		}
		p.steps++
		acts = m.Step(p.now, events, acts[:0])
		if check != nil {
			if err := check(p.now, events, acts); err != nil {
				return fmt.Errorf("%s, round %d, at %d, %d events: %w", p.name, round, p.now, len(events), err)
			}
		}
		p.write(acts)
		for i := 0; i < len(acts); i++ {
			p.act(acts, i)
		}
	}
	return nil
}

// arrival draws a new message.
func (p *platform) arrival() Event {
	p.last++
	class := p.rng.IntN(len(p.set.Classes))
	dest := p.first + p.rng.IntN(p.dests)
	if p.chance(p.skew) {
		dest = p.first
	}
	c := p.set.Classes[class]
	ev := Event{Kind: Arrival, Message: p.last, Class: class, Dest: dest, Tenant: p.rng.IntN(3) - 1}
	ev.Grace = c.Deadline - Time(p.rng.Int64N(int64(c.Deadline)*2/3))
	if c.InOrder && p.chance(0.8) {
		ev.Key = uint64(1 + p.rng.IntN(5) + 10*(dest/2)) // some keys are shared by two destinations
	}
	p.posts[p.last] = &post{class: class, dest: dest, due: p.now + ev.Grace}
	return ev
}

// clients draws what clients do in a round, and pauses.
func (p *platform) clients(round int) (events []Event) {
	if round < p.rounds*4/5 {
		rate := p.rate
		if round/500%3 == 2 { // a period of high load
			rate *= 4
		}
		for range p.times(rate) {
			events = append(events, p.arrival())
		}
	}
	if p.chance(0.02) && p.last > 0 {
		id := p.last - MessageID(p.rng.IntN(50))
		if m := p.posts[id]; m != nil {
			m.ended = true
			events = append(events, Event{Kind: Withdrawn, Message: id})
		}
	}
	if p.chance(0.0015) {
		events = append(events, Event{Kind: Pause, On: true})
		p.after(Time(p.rng.IntN(300))*Millisecond, Event{Kind: Pause}, false)
	}
	return events
}

// members draws a change of the endpoint list: an update, a complete list, or a failure to fetch it.
func (p *platform) members() (events []Event) {
	if !p.chance(p.lists) {
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
		for _, n := range p.peers {
			n.entry.Health = Ready
			if p.chance(0.05) {
				n.entry.Health = Gone
				continue
			}
			if p.chance(0.05) {
				n.entry.Health = Draining
			}
			ev.Entries = append(ev.Entries, n.entry)
		}
		return []Event{ev}
	}
	ev := Event{Kind: List, ListKind: ListDelta}
	if p.turnover {
		p.first++ // the destination with the lowest number goes, a new one comes
		p.peers = slices.DeleteFunc(p.peers, func(n *peer) bool {
			if n.entry.Dest < p.first {
				n.entry.Health = Gone
				ev.Entries = append(ev.Entries, n.entry)
				return true
			}
			return false
		})
		for range 1 + p.rng.IntN(p.routes) {
			ev.Entries = append(ev.Entries, p.join(p.first+p.dests-1))
		}
		return []Event{ev}
	}
	if p.grow {
		dest := p.rng.IntN(p.dests)
		for _, n := range p.peers {
			if n.entry.Dest == dest {
				n.entry.Health = Gone
				ev.Entries = append(ev.Entries, n.entry)
			}
		}
		if len(ev.Entries) == 0 || p.chance(0.3) {
			ev.Entries = append(ev.Entries, p.join(dest))
		}
		return []Event{ev}
	}
	for range 1 + p.rng.IntN(3) {
		n := p.peers[p.rng.IntN(len(p.peers))]
		if p.chance(0.1) {
			n.entry.Kind = p.rng.IntN(4)
		}
		n.entry.Health = Health(p.rng.IntN(3))
		if p.chance(0.6) {
			n.entry.Health = Ready
		}
		if n.entry.Weight > 0 {
			n.entry.Weight = 1 + 40*p.rng.Float64()
		}
		ev.Entries = append(ev.Entries, n.entry)
	}
	if p.chance(0.2) {
		ev.Entries = append(ev.Entries, p.join(p.first+p.rng.IntN(p.dests)))
	}
	return []Event{ev}
}

// weather changes the behaviour of some endpoints.
func (p *platform) weather() {
	ill := func(dest int, m mood, last Time) {
		for _, n := range p.peers {
			if n.entry.Dest == dest && (n.entry.Kind != 2 || p.chance(0.5)) {
				n.mood, n.until = m, p.now+last
			}
		}
	}
	for range p.times(p.ills) {
		ill(p.first+p.rng.IntN(p.dests), mood(p.rng.IntN(int(moods))), Time(100+p.rng.IntN(6000))*Millisecond)
	}
	if p.chance(p.wide) {
		m, last := mood(1+p.rng.IntN(int(moods)-1)), Time(1000+p.rng.IntN(4000))*Millisecond
		for dest := range p.dests {
			if p.chance(0.5) {
				ill(p.first+dest, m, last)
			}
		}
	}
}

// nonsense draws invalid events, which the Dispatcher has to ignore or refuse.
func (p *platform) nonsense() []Event {
	switch p.rng.IntN(12) {
	case 0:
		return []Event{
			{Kind: Outcome, Message: 1e9, Result: Result(p.rng.IntN(9))}, {Kind: Withdrawn, Message: 1e9},
			{Kind: Outcome, Message: p.last, Attempt: 90},
		}
	case 1:
		return []Event{{Kind: Tick, Mark: 1e12}, {Kind: Probed, Endpoint: 999}, {Kind: EventKind(77)}}
	case 2:
		events := []Event{{Kind: Arrival, Message: 1<<40 + p.last, Class: 77}}
		if m := p.posts[p.last]; m != nil && !m.ended { // a duplicate of a message that is still open
			events = append(events, Event{Kind: Arrival, Message: p.last, Dest: 1, Grace: Second})
		}
		return events
	}
	return nil
}

// act responds to one action. All messages of a call get the same kind of result, with a few exceptions.
func (p *platform) act(acts []Action, i int) {
	a := &acts[i]
	p.count[a.Kind]++
	switch a.Kind {
	case Timer:
		p.after(a.After, Event{Kind: Tick, Mark: a.Mark}, false)
	case Refuse, Fail:
		if m := p.posts[a.Message]; m != nil {
			m.ended = true
		}
	case Cancel:
		if m := p.posts[a.Message]; m != nil && m.out && p.chance(0.95) {
			res := Cancelled
			if p.chance(0.1) {
				res = Moot
			}
			p.after(Time(p.rng.IntN(8))*Millisecond, p.outcome(a.Message, a.Attempt, res), true)
		}
	case Send:
		if a.With {
			return
		}
		n := p.byID[a.Endpoint]
		res, lag, wait := p.answer(n)
		for j := i; j < len(acts) && (j == i || acts[j].Kind == Send && acts[j].With); j++ {
			s := &acts[j]
			m := p.posts[s.Message]
			m.out, m.at = true, n
			ev := p.outcome(s.Message, m.tries, res)
			m.tries++
			last := m.due - p.now // the longest that the caller waits
			if s.After > 0 {
				last = min(last, s.After)
			}
			switch {
			case res == TimedOut || lag >= last:
				ev.Result, ev.Lag = TimedOut, last
				p.after(last, ev, true)
			case j > i && p.chance(0.02):
				ev.Result, ev.Lag = Unsent, 0
				p.after(1, ev, true)
			default:
				if res == Full && p.chance(0.3) {
					wait += Time(p.rng.IntN(500)) * Millisecond
				}
				ev.Lag, ev.Wait = lag, wait
				if p.set.ReportLimit >= 0 && p.chance(0.2) {
					ev.Report = []float32{0, 5 + 20*p.rng.Float32()}
				}
				p.after(lag, ev, true)
			}
		}
	}
}

// outcome returns the outcome of an attempt.
func (p *platform) outcome(id MessageID, attempt int, res Result) Event {
	return Event{Kind: Outcome, Message: id, Attempt: attempt, Endpoint: p.posts[id].at.entry.Endpoint, Result: res}
}

// answer draws the result of a call to an endpoint.
func (p *platform) answer(n *peer) (res Result, lag, wait Time) {
	if p.now > n.until {
		n.mood = isWell
	}
	lag = n.lag/2 + Time(p.rng.Int64N(int64(n.lag)))
	switch n.mood {
	case isSlowly:
		return OK, lag * 10, 0
	case isDown:
		return ConnectFailed, Millisecond, 0
	case isHung:
		return TimedOut, 0, 0
	case isFull:
		return Full, Millisecond, 0
	case isWaiting:
		return Full, Millisecond, Time(200+p.rng.IntN(3000)) * Millisecond
	case isBroken:
		return Errored, lag / 2, 0
	case isLossy:
		if p.chance(0.3) {
			return TimedOut, 0, 0
		}
	case isPartly:
		if p.chance(0.3) {
			return Full, Millisecond, 0
		}
	}
	switch p.rng.IntN(400) {
	case 0:
		return Reset, lag / 2, 0
	case 1:
		return ConnectFailed, Millisecond, 0
	case 2:
		return Unsent, Millisecond, 0
	case 3:
		return Errored, lag, 0
	}
	return OK, lag, 0
}

// ends records that an attempt has ended. It returns false if that attempt had ended already.
func (p *platform) ends(ev *Event) bool {
	m := p.posts[ev.Message]
	if m == nil || !m.out || m.tries-1 != ev.Attempt {
		return false
	}
	m.out = false
	if ev.Result == Unsent {
		m.tries--
	}
	ev.Closed = ev.Result == OK || m.ended
	if m.ended = ev.Closed; m.ended {
		delete(p.posts, ev.Message)
	}
	return true
}

// write adds the actions of a Step to the hash of the stream.
func (p *platform) write(acts []Action) {
	var b []byte
	b = binary.AppendVarint(b, int64(p.now))
	for i := range acts {
		a := &acts[i]
		with := int64(0)
		if a.With {
			with = 1
		}
		for _, v := range []int64{int64(a.Kind), int64(a.Message), int64(a.Attempt), int64(a.Endpoint), with, int64(a.After), int64(a.Mark), int64(len(a.Text))} {
			b = binary.AppendVarint(b, v)
		}
		b = append(b, a.Text...)
	}
	p.hash.Write(b)
}

// differ returns an error that describes the first difference between two lists of actions, nil if there is none.
func differ(got, want []Action) error {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return fmt.Errorf("action %d of %d is %+v; with all destinations evaluated it is, of %d, %+v", i, len(got), got[i], len(want), want[i])
		}
	}
	if len(got) != len(want) {
		return fmt.Errorf("%d actions; with all destinations evaluated there are %d: %+v, %+v", len(got), len(want), got, want)
	}
	return nil
}

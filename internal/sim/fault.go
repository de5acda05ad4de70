package sim

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
	"curlewmux/internal/judge"
	"curlewmux/internal/vnet"
)

// Script is a list of faults. It is data: it can be shrunk, saved and played again.
type Script struct {
	Seed  uint64
	Sort  string        // of the site, "" for that of the seed: pushed, sliced, asked
	List  time.Duration // of an asked site: what it takes until a list comes, 0: as the seed has it
	Books bool          // dispatchers keep books, most of them
	Steps []Step
}

// Step is one fault.
type Step struct {
	At     time.Duration
	On     string // it waits for the next such instant from At on, "" for none; see the triggers
	Kind   string
	Target int // destination, place or dispatcher, modulo how many there are
	For    time.Duration
	Arg    int // whatever the kind makes of it
}

// Triggers: instants at which faults are at their worst.
var triggers = []string{
	"timer",   // one of the dispatcher's timers, or of its goroutines' deadlines, is due
	"answer",  // an endpoint answers the dispatcher
	"call",    // a call's first byte comes
	"list",    // discovery tells the dispatcher of a change
	"journal", // the dispatcher is about to write to its journal
	"send",    // it is about to write to an endpoint
	"sent",    // it has written to an endpoint, and does what comes next
	"compact", // it makes or removes a file of its journal
	"accept",  // it takes a connection
	"dial",    // it dials
}

// kindOf is a kind of fault.
type kindOf struct {
	name   string
	weight int
	least  time.Duration // how long it lasts
	most   time.Duration
	on     []string // triggers that suit it
	do     func(f *Farm, s *Step) (undo func())
}

func kinds() []kindOf {
	const sec = time.Second
	near := []string{"timer", "answer", "call", "list"}
	inside := []string{"timer", "answer", "call", "list", "journal", "send", "sent", "compact", "accept", "dial"}
	return append([]kindOf{
		{"hang", 3, sec, 8 * sec, near, moods(true, func(m *mood, by int) { m.hang += by })},
		{"slow", 3, 2 * sec, 8 * sec, near, doSlow},
		{"outage", 3, sec, 7 * sec, near, doOutage},
		{"flap", 2, 2 * sec, 6 * sec, near, doFlap},
		{"shut", 2, sec, 6 * sec, near, doShut},
		{"errors", 2, sec, 6 * sec, near, moods(true, func(m *mood, by int) { m.errors += by })},
		{"refuse", 2, sec, 5 * sec, near, moods(true, func(m *mood, by int) { m.refuse += by })},
		{"limit", 3, 2 * sec, 10 * sec, near, doLimit},
		{"spoil", 3, 2 * sec, 10 * sec, near, doSpoil},
		{"replace", 3, 200 * ms, 2 * sec, near, doReplace},
		{"wave", 2, 3 * sec, 8 * sec, nil, doWave},
		{"readdress", 2, 100 * ms, sec, near, doReaddress},
		{"stale-list", 2, 2 * sec, 10 * sec, nil, doStale},
		{"silent-list", 2, sec, 6 * sec, near, doSilent},
		{"deaf-notices", 2, 500 * ms, 4 * sec, near, doDeaf},
		{"bad-clients", 2, 200 * ms, 2 * sec, nil, doBad},
		{"crowd", 2, 200 * ms, 2 * sec, nil, doCrowd},
		{"silent-clients", 1, 200 * ms, 1 * sec, nil, doSilentClients},
		{"reload", 2, 0, 0, near, doReload},
		{"stop", 2, 0, 0, near, doStop},
		{"kill", 4, 600 * ms, 3 * sec, inside, doKill},
		{"kill-twice", 2, 600 * ms, sec, inside, doKillTwice},
		{"machine-lost", 1, 2 * sec, 6 * sec, inside, doLose},
		{"power", 1, 500 * ms, 800 * ms, inside, doLose},
		{"cut", 2, 500 * ms, 5 * sec, near, doCut},
		{"cut-one-way", 2, 500 * ms, 5 * sec, near, doCutOneWay},
		{"cut-clients", 1, 300 * ms, 2 * sec, near, doCutClients},
		{"slow-link", 2, 2 * sec, 8 * sec, nil, doSlowLink},
		{"lossy-link", 2, 2 * sec, 8 * sec, nil, paths(func(q *vnet.Quality, arg int) { q.Loss = 0.02 + float64(arg%20)/100 })},
		{"chopped", 2, 2 * sec, 10 * sec, nil, paths(func(q *vnet.Quality, arg int) { q.Chop = true })},
		{"held", 1, 2 * sec, 8 * sec, nil, paths(func(q *vnet.Quality, arg int) { q.Hold = time.Duration(1+arg%40) * ms })},
		{"narrow-link", 2, 2 * sec, 6 * sec, nil, paths(func(q *vnet.Quality, arg int) { q.Bandwidth, q.Segment = 2000+arg%20000, 500 })},
		{"small-buffers", 1, 3 * sec, 8 * sec, nil, doBuffers},
		{"few-descriptors", 1, 2 * sec, 6 * sec, nil, doDescriptors},
		{"disk-full", 2, sec, 5 * sec, []string{"journal", "compact"}, doDiskFull},
		{"disk-error", 2, 100 * ms, 2 * sec, []string{"journal", "compact"}, doDiskError},
		{"torn-write", 2, 600 * ms, sec, nil, doTorn},
		{"slow-disk", 1, 2 * sec, 6 * sec, nil, doSlowDisk},
		{"wall-clock", 2, sec, 5 * sec, inside, doWall},
		{"wall-clock-down", 1, 600 * ms, 2 * sec, inside, doWallDown},
		{"paused", 2, 50 * ms, 3 * sec, inside, doPause},
		{"over-answers", 2, 2 * sec, 8 * sec, near, doOver},
		{"odd-reports", 1, 2 * sec, 10 * sec, nil, moods(false, func(m *mood, by int) { m.oddReports += by })},
	}, append(sliceKinds(), lateCopies(), takeOvers())...)
}

// lateCopies is the fault in which endpoints repeat each response after the next request. It is drawn by itself, so that the
// other faults of a seed stay as they were before it came.
func lateCopies() kindOf {
	return kindOf{"late-copies", 0, 2 * time.Second, 10 * time.Second, nil, moods(false, func(m *mood, by int) { m.copies += by })}
}

// Faults of a seed that has any.
const (
	leastFaults = 3
	mostFaults  = 9
)

// lateCopiesShare is the share of seeds with late copies.
const lateCopiesShare = 0.3

// addLateCopies adds late copies to the faults of some seeds.
func (s *Script) addLateCopies(site *Site) {
	d := stream(s.Seed, "late-copies", 0)
	if !d.chance(lateCopiesShare) || len(s.Steps) == mostFaults {
		return
	}
	k := lateCopies()
	s.Steps = append(s.Steps, Step{
		At: 1500*ms + d.span(0, site.Traffic), Kind: k.name, Target: d.n(1 << 16), For: d.span(k.least, k.most).Truncate(ms), Arg: d.n(1 << 30),
	})
}

// Generate draws the faults of a seed. Each seed leaves some kinds out.
func Generate(seed uint64, site *Site) *Script {
	d := stream(seed, "faults", 0)
	s := &Script{Seed: seed, Books: true}
	var list []kindOf
	var weights []int
	share := d.between(0.1, 0.6)
	for _, k := range kinds() {
		if ofSlices(k.name) && !site.Sliced || k.weight == 0 {
			continue
		}
		if d.chance(share) {
			list = append(list, k)
			weights = append(weights, k.weight)
		}
	}
	if len(list) == 0 {
		return s
	}
	for range d.in(leastFaults, mostFaults) {
		k := list[d.pick(weights...)]
		st := Step{
			At: 1500*ms + d.span(0, site.Traffic), Kind: k.name, Target: d.n(1 << 16), For: d.span(k.least, k.most).Truncate(ms), Arg: d.n(1 << 30),
		}
		if len(k.on) > 0 && d.chance(0.5) {
			st.On = k.on[d.n(len(k.on))]
		}
		s.Steps = append(s.Steps, st)
	}
	s.addLateCopies(site)
	s.addTakeOver(site)
	sort.SliceStable(s.Steps, func(i, j int) bool { return s.Steps[i].At < s.Steps[j].At })
	return s
}

// armed is a step that waits for its instant.
type armed struct {
	*Step
	kind kindOf
}

// undo ends a fault.
type undo struct{ f func() }

// arm plans the steps.
func (f *Farm) arm() {
	all := kinds()
	for i := range f.script.Steps {
		s := &f.script.Steps[i]
		at := slices.IndexFunc(all, func(k kindOf) bool { return k.name == s.Kind })
		if at < 0 {
			panic("no fault of kind " + s.Kind)
		}
		a := &armed{s, all[at]}
		f.w.After(s.At, func() {
			switch s.On {
			case "":
				f.fire(a)
			case "timer":
				f.atTimer(a)
			default:
				f.armed = append(f.armed, a)
			}
		})
	}
}

// atTimer fires a step in the instant of the dispatcher's next timer.
func (f *Farm) atTimer(a *armed) {
	d := f.dispatchers[a.Target%len(f.dispatchers)]
	best := time.Duration(-1)
	if d.p != nil {
		for _, k := range []vnet.Kind{vnet.Timers, vnet.Goroutines} {
			if at, ok := f.w.Next(k, d.p); ok && at > f.w.Now() && (best < 0 || at < best) {
				best = at
			}
		}
	}
	if best < 0 {
		f.fire(a)
		return
	}
	f.count("fault in the instant of a timer")
	f.w.After(best-f.w.Now(), func() { f.fire(a) })
}

// nasty fires what waits for such an instant of a dispatcher.
func (f *Farm) nasty(on string, d *Dispatcher) {
	for i, a := range f.armed {
		if a.On == on && f.dispatchers[a.Target%len(f.dispatchers)] == d {
			f.armed = slices.Delete(f.armed, i, i+1)
			f.count("fault in the instant of: " + on)
			f.fire(a) // may not return
			return
		}
	}
}

// op is called before each operation of a process.
func (f *Farm) op(p *vnet.Process, o vnet.Op) {
	var d *Dispatcher
	for _, x := range f.dispatchers {
		if x.p == p {
			d = x
		}
	}
	if d != nil && o.Name == "writeat" {
		d.wrote = f.w.Now()
	}
	if d == nil || len(f.armed) == 0 || f.w.Now() < f.begin {
		return
	}
	if f.written == p {
		f.written = nil
		f.nasty("sent", d)
	}
	switch o.Name {
	case "writeat":
		f.nasty("journal", d)
	case "create", "remove":
		f.nasty("compact", d)
	case "accept", "dial":
		f.nasty(o.Name, d)
	case "write":
		if o.Conn.Dialled() && o.Conn.Far() != nil && o.Conn.Far().Process().Machine() != d.agent.m {
			f.written = p
			f.nasty("send", d)
		}
	}
}

// fire does what a step says, and plans its end.
func (f *Farm) fire(a *armed) {
	if f.w.Now() >= f.heal {
		return
	}
	f.faulted++
	f.count("fault " + a.Kind)
	f.w.Note("FAULT %s", a.Step)
	end := a.kind.do(f, a.Step)
	if end == nil {
		return
	}
	u := &undo{}
	u.f = func() {
		if i := slices.Index(f.undo, u); i >= 0 {
			f.undo = slices.Delete(f.undo, i, i+1)
			f.w.Note("fault over: %s", a.Step)
			end()
		}
	}
	f.undo = append(f.undo, u)
	f.w.After(a.For, u.f)
}

// healAll ends all faults.
func (f *Farm) healAll() {
	f.armed = nil
	for len(f.undo) > 0 {
		f.undo[0].f()
	}
	for _, d := range f.dispatchers {
		if d.p == nil {
			d.back(nil)
		}
		if d.agent.view != nil && d.agent.m.Process() == nil {
			d.agent.bootSlices()
		}
	}
}

func (f *Farm) destOf(s *Step) *Dest { return f.dests[s.Target%len(f.dests)] }
func (f *Farm) dispatcherFor(s *Step) *Dispatcher {
	return f.dispatchers[s.Target%len(f.dispatchers)]
}

// some are endpoints of the destination: one, or all of them.
func (f *Farm) some(s *Step) (list []*Endpoint, all bool) {
	t := f.destOf(s)
	for _, p := range t.places {
		if p.now != nil && !p.now.gone && !p.moved {
			list = append(list, p.now)
		}
	}
	if len(list) > 1 && s.Arg%3 == 0 {
		return list[s.Arg/3%len(list):][:1], false
	}
	return list, true
}

// routes are those that an outage of endpoints takes.
func routes(list []*Endpoint, all bool) (out []*route) {
	for _, e := range list {
		r := e.route()
		if !slices.Contains(out, r) && (e.Dest.kind.RoutesApart || all) {
			out = append(out, r)
		}
	}
	return out
}

// moods makes a fault of endpoints that is an outage.
func moods(outage bool, set func(m *mood, by int)) func(*Farm, *Step) func() {
	return func(f *Farm, s *Step) func() {
		list, all := f.some(s)
		for _, e := range list {
			set(&e.mood, 1)
		}
		var out []*route
		if outage {
			out = routes(list, all)
		}
		for _, r := range out {
			r.away()
		}
		return func() {
			for _, e := range list {
				set(&e.mood, -1)
			}
			for _, r := range out {
				r.returns()
			}
			for _, e := range list {
				if e.mood.hang == 0 && s.Arg%2 == 0 { // it answers late what it had taken
					held := e.mood.late
					e.mood.late = nil
					for _, answer := range held {
						f.count("late answer")
						answer()
					}
				}
				e.mood.late = nil
			}
		}
	}
}

func doSlow(f *Farm, s *Step) func() {
	list, _ := f.some(s)
	factor := 5 + float64(s.Arg%20)
	for _, e := range list {
		e.mood.slow = factor
	}
	return func() {
		for _, e := range list {
			e.mood.slow = 0
		}
	}
}

func doOutage(f *Farm, s *Step) func() {
	list, all := f.some(s)
	out := routes(list, all)
	silent := s.Arg%5 == 0
	for _, e := range list {
		e.mood.down++
		if silent { // the machine vanishes, and nobody is told
			for _, c := range append([]*econn(nil), e.conns...) {
				c.ended()
			}
			e.conns, e.running, e.open = nil, 0, false
			e.place.m.Lose()
		} else {
			e.stop()
		}
	}
	for _, r := range out {
		r.away()
	}
	return func() {
		for _, e := range list {
			if e.mood.down--; e.mood.down == 0 && !e.gone && e.place.now == e {
				e.place.m.TurnOn()
				e.start()
			}
		}
		for _, r := range out {
			r.returns()
		}
	}
}

func doFlap(f *Farm, s *Step) func() {
	over := false
	var turn func()
	turn = func() {
		if over {
			return
		}
		up := doOutage(f, &Step{Target: s.Target, Arg: s.Arg*5 + 1})
		f.w.After(time.Duration(100+s.Arg%400)*ms, func() {
			up()
			f.w.After(time.Duration(150+s.Arg%700)*ms, turn)
		})
	}
	turn()
	return func() { over = true }
}

func doShut(f *Farm, s *Step) func() {
	list, _ := f.some(s)
	out := routes(list, true)
	until := f.w.Now() + s.For
	for _, r := range out {
		r.shut = max(r.shut, until)
		r.away()
	}
	return func() {
		for _, r := range out {
			r.shut = min(r.shut, f.w.Now())
			r.returns()
		}
	}
}

func doLimit(f *Farm, s *Step) func() {
	list, _ := f.some(s)
	out := routes(list, true)
	for _, r := range out {
		r.cut = 0.2 + float64(s.Arg%40)/100
	}
	return func() {
		for _, r := range out {
			r.cut = 0
		}
	}
}

func doSpoil(f *Farm, s *Step) func() {
	list, _ := f.some(s)
	for _, e := range list {
		e.mood.spoil = 1 + s.Arg/7%(spoilKinds-1)
	}
	return func() {
		for _, e := range list {
			e.mood.spoil = 0
		}
	}
}

// replace drains an endpoint and starts another one; the old one goes after grace.
func (f *Farm) replace(e *Endpoint, grace time.Duration) {
	if e == nil || e.gone || e.leaving {
		return
	}
	e.leaving = true
	f.leaving[e.ID] = true
	f.send(e.entry("leaving"), 50*ms, 2*time.Second)
	next := f.newPlace(e.Dest, e.Zone).take()
	next.start()
	f.send(next.entry("active"), 100*ms, 2*time.Second)
	f.w.After(grace, func() {
		e.gone = true
		f.send(e.entry("left"), 50*ms, 2*time.Second)
		f.w.After(3500*ms, func() {
			if e.place.now == e {
				e.stop()
			}
		})
	})
}

func doReplace(f *Farm, s *Step) func() {
	p := f.places[s.Target%len(f.places)]
	f.replace(p.now, s.For)
	return nil
}

func doWave(f *Farm, s *Step) func() {
	d := stream(uint64(s.Arg), "wave", 0)
	for _, p := range append([]*place(nil), f.places...) {
		if e := p.now; e != nil && d.chance(0.5) {
			f.w.After(d.span(0, s.For), func() { f.replace(e, 1500*ms) })
		}
	}
	return nil
}

// doReaddress ends an endpoint, and another one begins at its address; or, one time in four, it goes to another address.
func doReaddress(f *Farm, s *Step) func() {
	p := f.places[s.Target%len(f.places)]
	e := p.now
	if e == nil || e.gone || e.leaving {
		return nil
	}
	if s.Arg%4 == 3 {
		f.moves(e, s.For)
		return nil
	}
	e.gone = true
	e.stop()
	f.send(e.entry("left"), 20*ms, 1500*ms)
	f.w.After(s.For, func() {
		next := p.take()
		if p.m.Process() == nil {
			p.m.TurnOn()
		}
		next.start()
		f.send(next.entry("active"), 20*ms, 1500*ms)
	})
	return nil
}

// moves has an endpoint go to another address after a while, under the id that it has. Discovery tells of it late.
func (f *Farm) moves(e *Endpoint, after time.Duration) {
	f.w.After(after, func() {
		if e.gone || e.leaving || !e.open || e.place.now != e {
			return
		}
		f.count("an endpoint moves")
		e.stop()
		e.place.moved = true
		e.place = f.newPlace(e.Dest, e.Zone)
		e.place.now = e
		e.start()
		f.send(e.entry("active"), 20*ms, 1500*ms)
	})
}

// agents are those of one dispatcher, or of all.
func (f *Farm) agents(s *Step) (list []*agent) {
	for _, d := range f.dispatchers {
		if s.Arg%2 == 0 || d == f.dispatcherFor(s) {
			list = append(list, d.agent)
		}
	}
	return list
}

func doStale(f *Farm, s *Step) func() {
	list := f.agents(s)
	for _, a := range list {
		a.feed.stale++
		a.feed.behind = time.Duration(2000+s.Arg%7000) * ms
	}
	return func() {
		for _, a := range list {
			a.feed.stale--
		}
	}
}

func doSilent(f *Farm, s *Step) func() {
	if f.register != nil {
		return f.register.goDown(s)
	}
	list := f.agents(s)
	for _, a := range list {
		a.silent++
	}
	return func() {
		for _, a := range list {
			if a.silent--; a.silent > 0 {
				continue
			}
			a.news()
		}
	}
}

func doDeaf(f *Farm, s *Step) func() {
	list := f.agents(s)
	for _, a := range list {
		if a.deaf++; a.deaf == 1 {
			a.d.mute(1)
		}
	}
	return func() {
		for _, a := range list {
			if a.deaf--; a.deaf == 0 {
				a.d.mute(-1)
			}
		}
	}
}

func doBad(f *Farm, s *Step) func() {
	d := stream(uint64(s.Arg), "bad", 0)
	to := f.dispatcherFor(s)
	for range d.in(3, 15) {
		f.w.After(d.span(0, s.For), func() { f.bad(to, d, d.n(badWays)) })
	}
	return nil
}

func doCrowd(f *Farm, s *Step) func() {
	d := stream(uint64(s.Arg), "crowd", 0)
	f.crowd(d, d.in(20, 60), s.Target%len(f.dests), s.For)
	return nil
}

// doSilentClients has many connect and say nothing.
func doSilentClients(f *Farm, s *Step) func() {
	to := f.dispatcherFor(s)
	d := stream(uint64(s.Arg), "silent", 0)
	for range 150 {
		f.w.After(d.span(0, s.For), func() { f.bad(to, d, badSilent) })
	}
	return nil
}

func doReload(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.node == nil || !d.ready || d.stops {
		return nil
	}
	if d.agent.m.Process() == nil {
		return nil // its agent is down
	}
	d.agent.move()
	d.node.Reload(d.config())
	return nil
}

func doStop(f *Farm, s *Step) func() {
	f.dispatcherFor(s).term(3700*ms+time.Duration(s.Arg%300)*ms, 600*ms)
	return nil
}

func doKill(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.p == nil {
		return nil
	}
	f.w.After(s.For, func() { d.back(nil) })
	d.kill(d.p)
	return nil
}

// doKillTwice kills a dispatcher, and again soon after its next start.
func doKillTwice(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.p == nil {
		return nil
	}
	f.w.After(s.For, func() {
		d.back(nil)
		f.w.After(time.Duration(s.Arg%200)*ms/4, func() {
			if d.p != nil {
				p := d.p
				f.w.After(600*ms, func() { d.back(nil) })
				d.kill(p)
			}
		})
	})
	d.kill(d.p)
	return nil
}

// doPause stops a dispatcher's process (SIGSTOP), and has it go on.
func doPause(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	p := d.p
	if p == nil || p.Dead() || d.paused {
		return nil
	}
	d.paused = true
	d.m.Stop()
	d.mute(1) // it can tell nobody anything
	return func() {
		d.mute(-1)
		d.goOn()
	}
}

// goOn has a dispatcher's process go on, which hears now what came meanwhile.
func (d *Dispatcher) goOn() {
	if !d.paused {
		return
	}
	d.paused, d.pausedAt = false, d.f.w.Now()
	d.m.Continue()
	var list []int
	for n, k := range d.f.tracks {
		if k.d == d && k.late > 0 {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	for _, n := range list {
		k := d.f.tracks[n]
		n := k.late
		k.late = 0
		k.hears(n)
	}
}

// doOver has endpoints say that messages are over, or have had their attempts; half of the time where calls have several.
func doOver(f *Farm, s *Step) func() {
	if s.Arg%2 == 0 {
		for n := range f.dests {
			if at := (s.Target + n) % len(f.dests); f.dests[at].kind.Batch > 1 {
				one := *s
				one.Target = at
				s = &one
				break
			}
		}
	}
	return moods(false, func(m *mood, by int) { m.over += by })(f, s)
}

// doLose turns the machine off from one moment to the next.
func doLose(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.lost {
		return nil
	}
	d.lost = true
	d.p, d.node, d.ready = nil, nil, false
	if f.site.Sync == journal.SyncAlways { // the folder has all that anybody was told of
		f.count("power lost with a synced journal")
		f.tell(judge.Died{Dispatcher: d.name, Cause: judge.Killed})
		d.forgets()
	} else { // also of one that had ended: what it held is in the folder
		f.tell(judge.Died{Dispatcher: d.name, Cause: judge.Lost})
		d.losses = append(d.losses, f.w.Now())
	}
	f.w.After(s.For, func() {
		d.lost = false
		d.back(nil)
	})
	d.m.Lose() // may not return
	return nil
}

// cuts are the ways between one dispatcher and a destination, or its agent.
func (f *Farm) cuts(s *Step) (d *Dispatcher, list []*vnet.Machine) {
	d = f.dispatcherFor(s)
	if s.Arg%7 == 0 {
		return d, []*vnet.Machine{d.agent.m}
	}
	t := f.dests[s.Arg/7%len(f.dests)]
	for _, p := range t.places {
		if s.Arg%3 != 0 || len(list) == 0 {
			list = append(list, p.m)
		}
	}
	return d, list
}

func healing(s *Step) vnet.Healing {
	if s.Arg%5 == 0 {
		return vnet.Forgotten
	}
	return vnet.Late
}

func doCut(f *Farm, s *Step) func() {
	d, list := f.cuts(s)
	for _, m := range list {
		f.w.Cut(d.m, m)
	}
	if list[0] == d.agent.m {
		d.mute(1)
	}
	return func() {
		for _, m := range list {
			f.w.Heal(d.m, m, healing(s))
		}
		if list[0] == d.agent.m {
			d.mute(-1)
		}
	}
}

func doCutOneWay(f *Farm, s *Step) func() {
	d, list := f.cuts(s)
	from, to := func(m *vnet.Machine) *vnet.Path { return f.w.Path(d.m, m) }, list
	if s.Arg%2 == 0 {
		from = func(m *vnet.Machine) *vnet.Path { return f.w.Path(m, d.m) }
	}
	for _, m := range to {
		from(m).Cut()
	}
	if list[0] == d.agent.m {
		d.mute(1)
	}
	return func() {
		for _, m := range to {
			from(m).Heal(healing(s))
		}
		if list[0] == d.agent.m {
			d.mute(-1)
		}
	}
}

func doCutClients(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	f.w.Cut(f.clients, d.m)
	return func() { f.w.Heal(f.clients, d.m, healing(s)) }
}

// cutFromClients tells that clients do not reach a dispatcher, or not as usual.
func (f *Farm) cutFromClients(d *Dispatcher) bool {
	return f.w.Now() < f.heal+3*time.Second && f.counts["fault cut-clients"] > 0
}

// paths makes a fault of the links between one dispatcher and all others.
func paths(set func(q *vnet.Quality, arg int)) func(*Farm, *Step) func() {
	return func(f *Farm, s *Step) func() {
		d := f.dispatcherFor(s)
		type was struct {
			p *vnet.Path
			q vnet.Quality
		}
		var list []was
		change := func(m *vnet.Machine) {
			for _, p := range []*vnet.Path{f.w.Path(d.m, m), f.w.Path(m, d.m)} {
				list = append(list, was{p, p.Quality()})
				q := p.Quality()
				set(&q, s.Arg)
				p.Set(q)
			}
		}
		for _, p := range f.places {
			change(p.m)
		}
		return func() {
			for _, l := range list {
				l.p.Set(l.q)
			}
		}
	}
}

// doSlowLink has links take long: at sites with little time to heed a drain long enough for a dial to outlast that.
func doSlowLink(f *Farm, s *Step) func() {
	most := 200
	if f.site.StopWithin < time.Second {
		most = 420
	}
	return paths(func(q *vnet.Quality, arg int) { q.Latency += time.Duration(20+arg%most) * ms })(f, s)
}

func doBuffers(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	d.m.Limit(vnet.Limits{Descriptors: f.site.Sockets, SendBuffer: 256 + s.Arg%1024, ReadBuffer: 256 + s.Arg%1024})
	return func() { d.m.Limit(vnet.Limits{Descriptors: f.site.Sockets}) }
}

func doDescriptors(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	n := 20 + s.Arg%30
	if d.p != nil {
		n = max(d.baseDescriptors+2, d.p.Descriptors()-4+s.Arg%10)
	}
	d.m.Limit(vnet.Limits{Descriptors: n})
	d.mute(1) // there may be none for the way to the agent
	return func() {
		d.m.Limit(vnet.Limits{Descriptors: f.site.Sockets})
		d.mute(-1)
	}
}

func (d *Dispatcher) failing(fault func(memdir.Op) memdir.Fault) func() {
	d.diskFault = fault
	d.mute(1)
	return func() {
		d.diskFault = nil
		d.m.Disk().SetCapacity(0)
		d.mute(-1)
	}
}

func doDiskFull(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	end := d.failing(func(memdir.Op) memdir.Fault { return memdir.Fault{} })
	d.m.Disk().SetCapacity(max(512, d.m.Disk().Used()-int64(s.Arg%3)*2048))
	return end
}

func doDiskError(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	dice := stream(uint64(s.Arg), "disk", 0)
	share := 0.3
	if s.Arg%2 == 0 {
		share = 1
	}
	return d.failing(func(op memdir.Op) memdir.Fault {
		if !dice.chance(share) {
			return memdir.Fault{}
		}
		f.count("disk error")
		return memdir.Fault{Err: syscall.EIO, WrittenBytes: dice.n(op.Size + 1)}
	})
}

// doTorn kills the process inside a write of its journal, of which a part lands.
func doTorn(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.diskFault != nil {
		return nil
	}
	skip := s.Arg % 6
	var fault func(op memdir.Op) memdir.Fault
	fault = func(op memdir.Op) memdir.Fault {
		if skip--; skip >= 0 || op.Kind != memdir.Write {
			return memdir.Fault{}
		}
		f.count("torn write")
		d.diskFault = nil
		return memdir.Fault{Err: memdir.ErrCrashed, Crash: true, WrittenBytes: s.Arg / 6 % (op.Size + 1)}
	}
	d.diskFault = fault
	return func() { d.diskFault = nil }
}

func doSlowDisk(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	d.m.SlowDisk(vnet.DiskTimes{Write: time.Duration(1+s.Arg%20) * ms, Sync: 50 * ms})
	return func() { d.m.SlowDisk(vnet.DiskTimes{}) }
}

// stepWall steps a dispatcher's wall clock, by up to an hour either way.
func (f *Farm) stepWall(d *Dispatcher, s *Step) time.Duration {
	by := time.Duration(s.Arg%3_600_000) * ms
	if s.Arg%4 > 1 {
		by = time.Duration(s.Arg%9_000) * ms
	}
	if s.Arg%2 == 0 {
		by = -by
	}
	d.m.StepWall(by)
	if d.stepped = f.w.Now(); d.p == nil || !d.ready {
		d.unseen = append(d.unseen, f.w.Now())
	}
	return by
}

func doWall(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	f.stepWall(d, s)
	if s.Arg%3 == 0 {
		return nil
	}
	return func() { f.stepWall(d, &Step{Arg: s.Arg + 1}) }
}

// doWallDown steps the wall clock while the dispatcher is down.
func doWallDown(f *Farm, s *Step) func() {
	d := f.dispatcherFor(s)
	if d.p == nil {
		return nil
	}
	f.w.After(s.For/2, func() { f.stepWall(d, s) })
	f.w.After(s.For, func() { d.back(nil) })
	d.kill(d.p)
	return nil
}

// String is the step as a line of a script.
func (s Step) String() string {
	text := fmt.Sprintf("%v %s target=%d arg=%d", s.At, s.Kind, s.Target, s.Arg)
	if s.For > 0 {
		text += fmt.Sprintf(" for=%v", s.For)
	}
	if s.On != "" {
		text += " on=" + s.On
	}
	return text
}

// String is the script as it is saved.
func (s *Script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d", s.Seed)
	if s.Sort != "" {
		fmt.Fprintf(&b, " %s", s.Sort)
	}
	if s.List > 0 {
		fmt.Fprintf(&b, " list=%v", s.List)
	}
	if s.Books {
		fmt.Fprint(&b, " books")
	}
	fmt.Fprintln(&b)
	for _, st := range s.Steps {
		fmt.Fprintln(&b, st)
	}
	return b.String()
}

// ParseScript reads a script: a line "seed N", behind it perhaps a sort of site, list=TIME and books, then a line for each step: time, kind, and fields target, arg, for, on.
// Lines that begin with # are comments. Errors name the line.
func ParseScript(text string) (*Script, error) {
	s := &Script{}
	seeded := false
	n := 0
	for line := range strings.Lines(text) {
		n++
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		fail := func(err error) (*Script, error) { return nil, fmt.Errorf("line %d: %w", n, err) }
		if f[0] == "seed" && len(f) > 1 && !seeded {
			var err error
			if s.Seed, err = strconv.ParseUint(f[1], 10, 64); err != nil {
				return fail(err)
			}
			for _, word := range f[2:] {
				span, listed := strings.CutPrefix(word, "list=")
				switch {
				case listed:
					if s.List, err = time.ParseDuration(span); err != nil || s.List <= 0 {
						return fail(fmt.Errorf("%q is not a time", span))
					}
				case word == "books":
					s.Books = true
				case word == sortPushed || word == sortSliced || word == sortAsked:
					s.Sort = word
				default:
					return fail(fmt.Errorf("%q is not a sort of site", word))
				}
			}
			seeded = true
			continue
		}
		if len(f) < 2 {
			return fail(fmt.Errorf("want a time and a kind of fault"))
		}
		at, err := time.ParseDuration(f[0])
		if err != nil || at < 0 {
			return fail(fmt.Errorf("%q is not a time", f[0]))
		}
		st := Step{At: at, Kind: f[1]}
		if !slices.ContainsFunc(kinds(), func(k kindOf) bool { return k.name == st.Kind }) {
			return fail(fmt.Errorf("%q is not a kind of fault", st.Kind))
		}
		for _, field := range f[2:] {
			name, value, _ := strings.Cut(field, "=")
			switch name {
			case "target":
				st.Target, err = strconv.Atoi(value)
			case "arg":
				st.Arg, err = strconv.Atoi(value)
			case "for":
				st.For, err = time.ParseDuration(value)
			case "on":
				if st.On = value; !slices.Contains(triggers, value) {
					err = fmt.Errorf("%q is not a trigger", value)
				}
			default:
				err = fmt.Errorf("field %q is unknown", name)
			}
			if err == nil && (st.Target < 0 || st.Arg < 0 || st.For < 0) {
				err = fmt.Errorf("field %q: negative", name)
			}
			if err != nil {
				return fail(err)
			}
		}
		s.Steps = append(s.Steps, st)
	}
	if !seeded {
		return nil, fmt.Errorf("a script begins with: seed N")
	}
	return s, nil
}

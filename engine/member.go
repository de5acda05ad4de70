package engine

import (
	"maps"
	"slices"

	"curlewmux/control"
)

// endpoint is one that a source tells of, or told of a while ago.
type endpoint struct {
	num    control.Endpoint
	id     string
	addr   string
	dest   int
	zone   int
	kind   int
	weight float64
	claims []claim // of each source that ever told of it, in the order in which they first did
	phase  Phase
	calls  int     // out
	begun  []*call // calls of this Step, until they are launched
	listed bool    // a source says that it is not gone
	goneAt Time    // since when none does
	moved  bool    // its id is another endpoint now, with another destination
	listNo uint64  // the last list that changed it

	entered control.Entry // what the module was told last

	// Until then a wait binds that was told at its address before it was known to be there, 0 if there is none. To the
	// module, which has the wait for the endpoint before, it drains so long.
	held Time
}

// claim is what one source says of an endpoint.
type claim struct {
	source string
	phase  Phase
}

// members are the endpoints, by id, by number and in the order of their numbers.
type members struct {
	byID     map[string]*endpoint
	byNumber map[control.Endpoint]*endpoint
	moved    map[place]*endpoint // those whose id went on to another destination
	waits    map[string]Time     // by address: until when somebody there told to wait, where routes are apart
	held     []*endpoint         // with a wait of an endpoint before
	all      []*endpoint         // those gone of late, too
	lastEp   control.Endpoint
	listNo   uint64
	listings []*listing // not taken up yet, or in part
	waiting  int        // members in them that are not taken up
	sliced   Time       // the tick that has had its part
	// Destinations that a list or a restored message ever named, with the endpoint that the module was told of last.
	named map[int]control.Endpoint
}

func newMembers() members {
	return members{
		byID: map[string]*endpoint{}, byNumber: map[control.Endpoint]*endpoint{}, moved: map[place]*endpoint{},
		waits: map[string]Time{}, named: map[int]control.Endpoint{}, sliced: -1,
	}
}

// place is an id at a destination.
type place struct {
	id   string
	dest int
}

// goneKept is how long an endpoint that no source lists stays known: one that returns within it is the same, and its waits and
// its ramp bind on.
const goneKept = 60 * control.Second

// told is what the source says of the endpoint, nil if it never told of it.
func (ep *endpoint) told(source string) *claim {
	for i := range ep.claims {
		if ep.claims[i].source == source {
			return &ep.claims[i]
		}
	}
	return nil
}

// listing is what a source told, as far as it is not taken up yet. A long one is taken in parts.
type listing struct {
	*Members
	no     uint64 // its number, 0 until it is begun
	at     int    // how many of its members are taken
	behind int    // whole: how many of all endpoints have been looked at for those that it leaves out
	short  bool   // whole, and told to the module as that; of a long one the module is told what is new in it
}

// tellMembers takes what one source tells and tells the module: at once, or what is long in parts, one a tick, in the
// order in which it came.
func (e *Engine) tellMembers(l *Members) {
	if l.Failed {
		e.tell(control.Event{Kind: control.List, ListKind: control.ListFailed})
		return
	}
	if l.FullList { // it says all that its source told before
		e.listings = slices.DeleteFunc(e.listings, func(o *listing) bool {
			old := o.no == 0 && o.Source == l.Source
			if old {
				e.waiting -= len(o.List)
			}
			return old
		})
	}
	e.listings = append(e.listings, &listing{Members: l})
	e.waiting += len(l.List)
	e.takeLists()
	for e.waiting > 2*e.set.MaxEndpoints { // more comes than can be taken in parts
		e.sliced = -1
		e.takeLists()
	}
}

// takeLists takes up the next part of what sources told, if this tick had none yet.
func (e *Engine) takeLists() {
	tick := e.now.At / e.set.Control.Tick
	if len(e.listings) == 0 || tick == e.sliced {
		return
	}
	left := atOnce
	for len(e.listings) > 0 && left > 0 {
		l := e.listings[0]
		var done bool
		if left, done = e.takeList(l, left); !done {
			break
		}
		e.listings[0] = nil
		e.listings = e.listings[1:]
	}
	if left <= 0 {
		e.sliced = tick
	}
}

// takeList takes up a part of what a source told, so many endpoints at most, and tells the module; left is what is left
// of that number.
func (e *Engine) takeList(l *listing, most int) (left int, done bool) {
	if l.no == 0 {
		e.listNo++
		l.no = e.listNo
		l.short = l.FullList && len(l.List)+len(e.all) <= most
	}
	var changed []*endpoint
	touch := func(ep *endpoint) {
		if ep.listNo != l.no {
			ep.listNo = l.no
			changed = append(changed, ep)
		}
	}
	part := l.List[l.at:min(l.at+most, len(l.List))]
	l.at += len(part)
	e.waiting -= len(part)
	most -= len(part)
	for i := range part {
		n := &part[i]
		if old := e.byID[n.ID]; old != nil && old.dest != n.Destination && n.Phase != Gone {
			// The id is another endpoint's now. What is out to the old one goes on; nothing new goes there.
			old.moved = true
			delete(e.byID, old.id)
			e.moved[place{old.id, old.dest}] = old
			touch(old)
		}
		if ep := e.member(l.Source, n); ep != nil {
			touch(ep)
		}
	}
	done = l.at == len(l.List)
	for done && l.FullList && l.behind < len(e.all) { // those that only other sources tell of, and those left out
		if most <= 0 {
			done = false
			break
		}
		ep := e.all[l.behind]
		l.behind++
		if ep.listNo == l.no {
			continue
		}
		if c := ep.told(l.Source); c != nil { // it told of it before
			if c.phase != Gone {
				most--
			}
			c.phase = Gone
		}
		changed = append(changed, ep)
	}
	for _, ep := range changed {
		e.settle(ep)
	}
	ev := control.Event{Kind: control.List, ListKind: control.ListDelta}
	if l.short {
		ev.ListKind = control.ListFull
		if l.Cached {
			ev.ListKind = control.ListCached
		}
	}
	news := e.news(l, changed)
	for _, ep := range changed {
		n := ep.entry()
		switch {
		case !l.FullList:
		case n.Health == control.Gone && l.short:
			ep.entered = n
			continue // it is left out
		case n.Health == control.Gone:
			if ep.entered.Health == control.Gone {
				continue // the module has forgotten it, or will, or never knew it
			}
			n.Weight, n.Kind = 0, -1 // it counts for its destination no more
		case !l.short && !news[ep.dest] && (n.Weight == 0 || e.set.Control.ReportLimit < 0):
			continue // what endpoints report may have changed what a weight says
		}
		if ep.entered = ep.entry(); n.Kind >= 0 {
			e.named[ep.dest] = ep.num
		}
		ev.Entries = append(ev.Entries, n)
	}
	e.tell(ev)
	return most, done
}

// news are the destinations of which a whole list says something new. The last entry of a destination counts for its kind
// and its share: where that is another one now, it is told anew as well.
func (e *Engine) news(l *listing, changed []*endpoint) map[int]bool {
	if !l.FullList || l.short {
		return nil
	}
	news := map[int]bool{}
	for _, ep := range slices.Backward(changed) {
		n := ep.entry()
		was, seen := news[ep.dest]
		last := !seen && n.Health != control.Gone && e.named[ep.dest] != ep.num
		if n.Health != control.Gone || n != ep.entered {
			news[ep.dest] = was || last || n != ep.entered
		}
	}
	return news
}

// entry is what the module is told of an endpoint.
func (ep *endpoint) entry() control.Entry {
	n := control.Entry{
		Endpoint: ep.num, Destination: ep.dest, Zone: ep.zone, Kind: ep.kind, Health: control.Gone, Weight: ep.weight,
	}
	switch ep.phase {
	case Leaving:
		n.Health = control.Draining
	case Active:
		if n.Health = control.Ready; ep.held > 0 {
			n.Health = control.Draining
		}
	}
	return n
}

// waitsAt notes a wait that was told at an address, and has it bind other endpoints that the list has there now. Where
// routes are not apart the module has it for the whole destination.
func (e *Engine) waitsAt(by *endpoint, addr string, wait Time) {
	if by.kind < 0 || by.kind >= len(e.set.Control.Kinds) || !e.set.Control.Kinds[by.kind].RoutesApart {
		return
	}
	until := e.now.At + wait + e.set.Control.Tick
	e.waits[addr] = max(e.waits[addr], until)
	for _, ep := range e.all {
		if ep != by && ep.addr == addr && ep.listed {
			e.holdOff(ep)
			e.tell(control.Event{Kind: control.List, ListKind: control.ListDelta, Entries: []control.Entry{ep.enter()}})
		}
	}
}

// holdOff has the wait at an endpoint's address, which it has just been found to be at, bind it.
func (e *Engine) holdOff(ep *endpoint) {
	until := e.waits[ep.addr]
	if until <= e.now.At {
		return
	}
	if ep.held == 0 {
		e.held = append(e.held, ep)
	}
	ep.held = max(ep.held, until)
}

// letOn ends such waits, and forgets those that are over.
func (e *Engine) letOn() {
	e.held = slices.DeleteFunc(e.held, func(ep *endpoint) bool {
		if ep.held > e.now.At {
			return false
		}
		if ep.held = 0; ep.phase == Active {
			e.tell(control.Event{Kind: control.List, ListKind: control.ListDelta, Entries: []control.Entry{ep.enter()}})
		}
		return true
	})
}

// enter is what the module is told of an endpoint, noted.
func (ep *endpoint) enter() control.Entry {
	ep.entered = ep.entry()
	return ep.entered
}

// member takes one line of what a source tells; nil if there is nothing to do.
func (e *Engine) member(source string, n *Member) *endpoint {
	ep := e.byID[n.ID]
	if ep == nil && n.Phase != Gone {
		if ep = e.moved[place{n.ID, n.Destination}]; ep != nil { // it is back where it was: its waits and its ramp bind on
			delete(e.moved, place{n.ID, n.Destination})
			ep.moved, ep.claims = false, nil
			e.byID[ep.id] = ep
		}
	}
	if ep == nil {
		if n.Phase == Gone || n.ID == "" {
			return nil // it never was here
		}
		if len(e.all) >= e.set.MaxEndpoints {
			e.note(noteMembers, "source %s tells of more than %d endpoints; %s is left out", source, e.set.MaxEndpoints, n.ID)
			return nil
		}
		e.lastEp++
		ep = &endpoint{num: e.lastEp, id: n.ID, dest: n.Destination, phase: Gone, goneAt: e.now.At}
		e.byID[ep.id], e.byNumber[ep.num] = ep, ep
		e.all = append(e.all, ep)
	}
	if n.Zone < 0 || n.Kind < 0 {
		e.note(noteMembers, "source %s names an unknown zone or kind for endpoint %s", source, n.ID)
	}
	e.name(n.Destination)
	if c := ep.told(source); c != nil {
		c.phase = n.Phase
	} else {
		ep.claims = append(ep.claims, claim{source, n.Phase})
	}
	if n.Addr != "" && n.Addr != ep.addr {
		if ep.addr != "" {
			e.effect(&RemoveEndpoint{Endpoint: ep.num, Addr: ep.addr})
		}
		ep.addr = n.Addr
		e.holdOff(ep)
	}
	ep.zone, ep.kind, ep.weight = n.Zone, n.Kind, n.Weight
	return ep
}

// settle brings an endpoint's phase up to date: the worst of what the sources say that ever told of it.
func (e *Engine) settle(ep *endpoint) {
	was, wasListed := ep.phase, ep.listed
	ep.phase, ep.listed = Active, false
	for _, c := range ep.claims {
		ep.phase = min(ep.phase, c.phase)
		ep.listed = ep.listed || c.phase != Gone
	}
	if ep.moved {
		ep.phase, ep.listed = Gone, false
	}
	if wasListed && !ep.listed {
		ep.goneAt = e.now.At
	}
	if ep.phase == Gone && was != Gone {
		e.effect(&RemoveEndpoint{Endpoint: ep.num, Addr: ep.addr})
	}
}

// forgetGone drops endpoints that no source has listed for a while and that have no call out, so many at most, and tells
// whether there are more. As long as one lists it what the others say of it counts.
func (e *Engine) forgetGone(most int) (more bool) {
	maps.DeleteFunc(e.waits, func(_ string, until Time) bool { return until <= e.now.At })
	e.all = slices.DeleteFunc(e.all, func(ep *endpoint) bool {
		old := !ep.listed && ep.calls == 0 && e.now.At-ep.goneAt >= goneKept
		if old && most == 0 {
			more = true
			return false
		}
		if old {
			most--
			delete(e.byNumber, ep.num)
			if ep.moved {
				delete(e.moved, place{ep.id, ep.dest})
			} else {
				delete(e.byID, ep.id)
			}
		}
		return old
	})
	return more
}

// name notes that a destination was named.
func (l *members) name(dest int) {
	if !l.isNamed(dest) {
		l.named[dest] = 0
	}
}

func (l *members) isNamed(dest int) bool {
	_, ok := l.named[dest]
	return ok
}

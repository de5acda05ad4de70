package engine

import (
	"maps"
	"slices"

	"curlewmux/control"
)

// endpoint is an endpoint that a source reports, or reported until recently.
type endpoint struct {
	num    control.Endpoint
	id     string
	addr   string
	dest   int
	zone   int
	kind   int
	weight float64
	claims []claim // one of each source that ever reported it, in the order of their first reports
	phase  Phase
	calls  int     // number of calls out
	begun  []*call // calls of this Step that are not launched yet
	listed bool    // at least one source claims that it is not gone
	goneAt Time    // since when no source claims that
	moved  bool    // its id now belongs to an endpoint of another destination
	listNo uint64  // number of the last list that changed it

	entered control.Entry // the entry last sent to the module

	// The end of a wait (Retry-After) that was told at its address before the endpoint came to this address, 0 for none.
	// The module knows that wait only for the earlier endpoint, so this one is reported to it as draining until then.
	held Time
}

// claim is what one source says about an endpoint.
type claim struct {
	source string
	phase  Phase
}

// members holds the endpoints by id, by number and in the order of their numbers.
type members struct {
	byID     map[string]*endpoint
	byNumber map[control.Endpoint]*endpoint
	moved    map[place]*endpoint // endpoints whose id now belongs to another destination
	waits    map[string]Time     // by address: the end of a wait told there, for kinds with RoutesApart
	held     []*endpoint         // with a wait of an earlier endpoint at their address
	all      []*endpoint         // including those gone recently
	lastEp   control.Endpoint
	listNo   uint64
	listings []*listing // reports that are not processed yet, or only in part
	waiting  int        // number of members in them that are not processed
	sliced   Time       // the tick in which the last part was processed
	// Destinations that a list or a restored message ever named, with the endpoint last reported to the module for each.
	named map[int]control.Endpoint
}

func newMembers() members {
	return members{
		byID: map[string]*endpoint{}, byNumber: map[control.Endpoint]*endpoint{}, moved: map[place]*endpoint{},
		waits: map[string]Time{}, named: map[int]control.Endpoint{}, sliced: -1,
	}
}

// place is an endpoint id together with its destination.
type place struct {
	id   string
	dest int
}

// goneKept is how long an endpoint that no source lists stays known. If it returns within this time, it is the same
// endpoint: its waits and its ramp stay in force.
const goneKept = 60 * control.Second

// told returns the claim of a source about the endpoint, nil if the source never reported it.
func (ep *endpoint) told(source string) *claim {
	for i := range ep.claims {
		if ep.claims[i].source == source {
			return &ep.claims[i]
		}
	}
	return nil
}

// listing is a report of a source that is not completely processed yet. A long one is processed in parts.
type listing struct {
	*Members
	no     uint64 // its number, 0 until processing begins
	at     int    // number of its members that are processed
	behind int    // full list: number of known endpoints that were checked for being omitted
	short  bool   // a full list that fits one part, so that the module gets it as a full list; of a longer one it gets only changes
}

// tellMembers processes the report of one source and informs the module: at once, or a long one in parts, one per tick,
// in the order in which the reports came.
func (e *Engine) tellMembers(l *Members) {
	if l.Failed {
		e.tell(control.Event{Kind: control.List, ListKind: control.ListFailed})
		return
	}
	if l.FullList { // it replaces earlier reports of its source
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
	for e.waiting > 2*e.set.MaxEndpoints { // more comes than can be processed in parts
		e.sliced = -1
		e.takeLists()
	}
}

// takeLists processes the next part of the pending reports, if this tick has not had one yet.
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

// takeList processes a part of a report, at most so many endpoints, and informs the module. left is what is left of that
// number; done says that the report is processed completely.
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
			// The id now belongs to another endpoint. Calls out to the old one go on, and it gets no new ones.
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
	for done && l.FullList && l.behind < len(e.all) { // endpoints that the list omits, or that only other sources report
		if most <= 0 {
			done = false
			break
		}
		ep := e.all[l.behind]
		l.behind++
		if ep.listNo == l.no {
			continue
		}
		if c := ep.told(l.Source); c != nil { // this source reported it before
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
			continue // omitted from the full list
		case n.Health == control.Gone:
			if ep.entered.Health == control.Gone {
				continue // the module knows it as gone, or never knew it
			}
			n.Weight, n.Kind = 0, -1 // it no longer counts for its destination
		case !l.short && !news[ep.dest] && (n.Weight == 0 || e.set.Control.ReportLimit < 0):
			continue // unchanged; a weight that load reports may have overridden is sent again
		}
		if ep.entered = ep.entry(); n.Kind >= 0 {
			e.named[ep.dest] = ep.num
		}
		ev.Entries = append(ev.Entries, n)
	}
	e.tell(ev)
	return most, done
}

// news returns the destinations for which a full list brings changes. The last entry of a destination decides its kind and
// its share, so a new last endpoint is a change, too.
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

// entry returns the endpoint as the module gets it.
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

// waitsAt stores a wait that was told at an address, and applies it to the other endpoints listed at that address. For
// kinds without RoutesApart the module applies the wait to the whole destination.
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

// holdOff applies the wait told at an address to an endpoint that is newly listed there.
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

// letOn ends such waits when their time has passed.
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

// enter returns the endpoint's entry and stores it as the last one sent to the module.
func (ep *endpoint) enter() control.Entry {
	ep.entered = ep.entry()
	return ep.entered
}

// member processes one member of a report. It returns nil if there is nothing to do.
func (e *Engine) member(source string, n *Member) *endpoint {
	ep := e.byID[n.ID]
	if ep == nil && n.Phase != Gone {
		if ep = e.moved[place{n.ID, n.Destination}]; ep != nil { // it is back at its old destination: its waits and its ramp stay in force
			delete(e.moved, place{n.ID, n.Destination})
			ep.moved, ep.claims = false, nil
			e.byID[ep.id] = ep
		}
	}
	if ep == nil {
		if n.Phase == Gone || n.ID == "" {
			return nil // it was never known here
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

// settle updates an endpoint's phase to the worst claim of all sources that ever reported it.
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

// forgetGone removes at most so many endpoints that no source has listed for a while and that have no call out, and reports
// whether there are more. While one source lists an endpoint, the claims of the others about it are kept.
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

// name stores that a destination was named.
func (l *members) name(dest int) {
	if !l.isNamed(dest) {
		l.named[dest] = 0
	}
}

func (l *members) isNamed(dest int) bool {
	_, ok := l.named[dest]
	return ok
}

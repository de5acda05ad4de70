package engine

import (
	"maps"
	"slices"

	"curlewmux/control"
)

// endpoint is an endpoint that a source reports, or reported until recently.
type endpoint struct {
	number      control.Endpoint
	id          string
	addr        string
	destination int
	zone        int
	kind        int
	weight      float64
	claims      []claim // one of each source that ever reported it, in the order of their first reports
	phase       Phase
	calls       int     // number of calls out
	stepCalls   []*call // calls of this Step that are not launched yet
	listed      bool    // at least one source claims that it is not gone
	goneAt      Time    // since when no source claims that
	moved       bool    // its id now belongs to an endpoint of another destination
	listNumber  uint64  // number of the last list that changed it
	started     int64   // when its process started, Unix time in ms; 0 if unknown
	tableAddr   string  // its address in the addressTable, "" while it is not there
	displaced   bool    // an endpoint of another destination has come up at its address

	lastEntry control.Entry // the entry last sent to the module

	// waitUntil is the end of a wait (Retry-After) that was asked for at its address before the endpoint came to this
	// address, 0 for none. The module knows that wait only for the earlier endpoint, so this one is reported to it as
	// draining until then.
	waitUntil Time
}

// claim is what one source says about an endpoint.
type claim struct {
	source string
	phase  Phase
}

// members holds the endpoints by id, by number and in the order of their numbers.
type members struct {
	endpointByID       map[string]*endpoint
	endpointByNumber   map[control.Endpoint]*endpoint
	movedEndpoints     map[endpointKey]*endpoint // endpoints whose id now belongs to another destination
	addresses          addressTable
	addressWaits       map[string]Time // by address: the end of a wait asked for there, for kinds with RoutesApart
	waitingEndpoints   []*endpoint     // with a wait of an earlier endpoint at their address
	allEndpoints       []*endpoint     // including those gone recently
	lastEndpoint       control.Endpoint
	lastListNumber     uint64
	reports            []*report // reports that are not processed yet, or only in part
	unprocessedMembers int       // number of members in them that are not processed
	lastListTick       Time      // the tick in which the last part was processed
	// namedDestinations are those that a list or a restored message ever named, with the endpoint last reported to the
	// module for each.
	namedDestinations map[int]control.Endpoint
}

func newMembers() members {
	return members{
		endpointByID: map[string]*endpoint{}, endpointByNumber: map[control.Endpoint]*endpoint{}, movedEndpoints: map[endpointKey]*endpoint{},
		addresses: newAddressTable(), addressWaits: map[string]Time{}, namedDestinations: map[int]control.Endpoint{}, lastListTick: -1,
	}
}

// endpointKey is an endpoint id together with its destination.
type endpointKey struct {
	id          string
	destination int
}

// goneRetention is how long an endpoint that no source lists stays known. If it returns within this time, it is the same
// endpoint: its waits and its ramp stay in force.
const goneRetention = 60 * control.Second

// claimOf returns the claim of a source about the endpoint, nil if the source never reported it.
func (ep *endpoint) claimOf(source string) *claim {
	for i := range ep.claims {
		if ep.claims[i].source == source {
			return &ep.claims[i]
		}
	}
	return nil
}

// report is a report of a source that is not completely processed yet. A long one is processed in parts.
type report struct {
	*Members
	number         uint64 // its number, 0 until processing begins
	processed      int    // number of its members that are processed
	checked        int    // full list: number of known endpoints that were checked for being omitted
	sentAsFullList bool   // a full list that fits one part, so that the module gets it as a full list; of a longer one it gets only changes
}

// receiveReport processes the report of one source and informs the module: at once, or a long one in parts, one per tick,
// in the order in which the reports came.
func (e *Engine) receiveReport(l *Members) {
	if l.Failed {
		e.queueEvent(control.Event{Kind: control.List, ListKind: control.ListFailed})
		return
	}
	if l.Unconfirmed {
		e.holdSource(l.Source)
		return
	}
	if l.FullList { // it replaces earlier reports of its source
		e.reports = slices.DeleteFunc(e.reports, func(o *report) bool {
			old := o.number == 0 && o.Source == l.Source
			if old {
				e.unprocessedMembers -= len(o.List)
			}
			return old
		})
	}
	e.reports = append(e.reports, &report{Members: l})
	e.unprocessedMembers += len(l.List)
	e.processReports()
	for e.unprocessedMembers > 2*e.settings.MaxEndpoints { // reports come faster than they can be processed in parts
		e.lastListTick = -1
		e.processReports()
	}
}

// holdSource gives the endpoints of a source no new calls until its next full list.
func (e *Engine) holdSource(source string) {
	var entries []control.Entry
	for _, ep := range e.allEndpoints {
		c := ep.claimOf(source)
		if c == nil || c.phase != Active {
			continue
		}
		c.phase = Leaving
		if e.updatePhase(ep); ep.entry() != ep.lastEntry {
			entries = append(entries, ep.updateEntry())
		}
	}
	if len(entries) > 0 {
		e.queueEvent(control.Event{Kind: control.List, ListKind: control.ListDelta, Entries: entries})
	}
}

// processReports processes the next part of the pending reports, if this tick has not had one yet.
func (e *Engine) processReports() {
	tick := e.now.At / e.settings.Control.Tick
	if len(e.reports) == 0 || tick == e.lastListTick {
		return
	}
	left := maxPerPart
	for len(e.reports) > 0 && left > 0 {
		l := e.reports[0]
		var done bool
		if left, done = e.processReport(l, left); !done {
			break
		}
		e.reports[0] = nil
		e.reports = e.reports[1:]
	}
	if left <= 0 {
		e.lastListTick = tick
	}
}

// processReport processes a part of a report, at most limit endpoints, and informs the module. left is the unused part
// of that number, and done says that the report is processed completely.
func (e *Engine) processReport(l *report, limit int) (left int, done bool) {
	if l.number == 0 {
		e.lastListNumber++
		l.number = e.lastListNumber
		l.sentAsFullList = l.FullList && len(l.List)+len(e.allEndpoints) <= limit
	}
	var changed []*endpoint
	touch := func(ep *endpoint) {
		if ep.listNumber != l.number {
			ep.listNumber = l.number
			changed = append(changed, ep)
		}
	}
	part := l.List[l.processed:min(l.processed+limit, len(l.List))]
	l.processed += len(part)
	e.unprocessedMembers -= len(part)
	limit -= len(part)
	for i := range part {
		n := &part[i]
		if old := e.endpointByID[n.ID]; old != nil && old.destination != n.Destination && n.Phase != Gone {
			// The id now belongs to another endpoint. Calls out to the old one go on, and it gets no new ones.
			old.moved = true
			delete(e.endpointByID, old.id)
			e.movedEndpoints[endpointKey{old.id, old.destination}] = old
			touch(old)
		}
		if ep := e.updateMember(l.Source, n, e.claimedPhase(l.Members, n)); ep != nil {
			touch(ep)
		}
	}
	done = l.processed == len(l.List)
	for done && l.FullList && l.checked < len(e.allEndpoints) { // endpoints that the list omits, or that only other sources report
		if limit <= 0 {
			done = false
			break
		}
		ep := e.allEndpoints[l.checked]
		l.checked++
		if ep.listNumber == l.number {
			continue
		}
		if c := ep.claimOf(l.Source); c != nil { // this source reported it before
			if c.phase != Gone {
				limit--
			}
			c.phase = Gone
		}
		changed = append(changed, ep)
	}
	changed = e.addresses.update(changed)
	for _, ep := range changed {
		e.updatePhase(ep)
	}
	ev := control.Event{Kind: control.List, ListKind: control.ListDelta}
	if l.sentAsFullList {
		ev.ListKind = control.ListFull
		if l.Cached {
			ev.ListKind = control.ListCached
		}
	}
	news := e.changedDestinations(l, changed)
	for _, ep := range changed {
		n := ep.entry()
		switch {
		case !l.FullList:
		case n.Health == control.Gone && l.sentAsFullList:
			ep.lastEntry = n
			continue // omitted from the full list
		case n.Health == control.Gone:
			if ep.lastEntry.Health == control.Gone {
				continue // the module knows it as gone, or never knew it
			}
			n.Weight, n.Kind = 0, -1 // it no longer counts for its destination
		case !l.sentAsFullList && !news[ep.destination] && (n.Weight == 0 || e.settings.Control.ReportLimit < 0):
			continue // unchanged; a weight that load reports may have overridden is sent again
		}
		if ep.lastEntry = ep.entry(); n.Kind >= 0 {
			e.namedDestinations[ep.destination] = ep.number
		}
		ev.Entries = append(ev.Entries, n)
	}
	e.queueEvent(ev)
	return limit, done
}

// changedDestinations returns the destinations for which a full list brings changes. The last entry of a destination
// decides its kind and its share, so a new last endpoint is a change, too.
func (e *Engine) changedDestinations(l *report, changed []*endpoint) map[int]bool {
	if !l.FullList || l.sentAsFullList {
		return nil
	}
	news := map[int]bool{}
	for _, ep := range slices.Backward(changed) {
		n := ep.entry()
		was, seen := news[ep.destination]
		last := !seen && n.Health != control.Gone && e.namedDestinations[ep.destination] != ep.number
		if n.Health != control.Gone || n != ep.lastEntry {
			news[ep.destination] = was || last || n != ep.lastEntry
		}
	}
	return news
}

// entry returns the endpoint as the module gets it.
func (ep *endpoint) entry() control.Entry {
	n := control.Entry{
		Endpoint: ep.number, Destination: ep.destination, Zone: ep.zone, Kind: ep.kind, Health: control.Gone, Weight: ep.weight,
	}
	switch ep.phase {
	case Leaving:
		n.Health = control.Draining
	case Active:
		if n.Health = control.Ready; ep.waitUntil > 0 {
			n.Health = control.Draining
		}
	}
	return n
}

// applyWait stores a wait that was asked for at an address, and applies it to the other endpoints listed at that address. For
// kinds without RoutesApart the module applies the wait to the whole destination.
func (e *Engine) applyWait(by *endpoint, addr string, wait Time) {
	if by.kind < 0 || by.kind >= len(e.settings.Control.Kinds) || !e.settings.Control.Kinds[by.kind].RoutesApart {
		return
	}
	until := e.now.At + wait + e.settings.Control.Tick
	e.addressWaits[addr] = max(e.addressWaits[addr], until)
	for _, ep := range e.allEndpoints {
		if ep != by && ep.addr == addr && ep.listed {
			e.inheritWait(ep)
			e.queueEvent(control.Event{Kind: control.List, ListKind: control.ListDelta, Entries: []control.Entry{ep.updateEntry()}})
		}
	}
}

// inheritWait applies the wait asked for at an address to an endpoint that is newly listed there.
func (e *Engine) inheritWait(ep *endpoint) {
	until := e.addressWaits[ep.addr]
	if until <= e.now.At {
		return
	}
	if ep.waitUntil == 0 {
		e.waitingEndpoints = append(e.waitingEndpoints, ep)
	}
	ep.waitUntil = max(ep.waitUntil, until)
}

// endWaits ends inherited waits whose time has passed.
func (e *Engine) endWaits() {
	e.waitingEndpoints = slices.DeleteFunc(e.waitingEndpoints, func(ep *endpoint) bool {
		if ep.waitUntil > e.now.At {
			return false
		}
		if ep.waitUntil = 0; ep.phase == Active {
			e.queueEvent(control.Event{Kind: control.List, ListKind: control.ListDelta, Entries: []control.Entry{ep.updateEntry()}})
		}
		return true
	})
}

// updateEntry returns the endpoint's entry and stores it as the last one sent to the module.
func (ep *endpoint) updateEntry() control.Entry {
	ep.lastEntry = ep.entry()
	return ep.lastEntry
}

// claimedPhase returns the phase that a report claims for one of its members. The endpoints of a cached list may have
// begun to drain since.
func (e *Engine) claimedPhase(l *Members, n *Member) Phase {
	if l.Cached && e.settings.HoldUntilListed && n.Phase == Active {
		return Leaving
	}
	return n.Phase
}

// updateMember processes one member of a report, with the phase that the report claims for it. It returns nil if there
// is nothing to do.
func (e *Engine) updateMember(source string, n *Member, phase Phase) *endpoint {
	ep := e.endpointByID[n.ID]
	if ep == nil && n.Phase != Gone {
		if ep = e.movedEndpoints[endpointKey{n.ID, n.Destination}]; ep != nil { // it is back at its old destination: its waits and its ramp stay in force
			delete(e.movedEndpoints, endpointKey{n.ID, n.Destination})
			ep.moved, ep.claims = false, nil
			e.endpointByID[ep.id] = ep
		}
	}
	if ep == nil {
		if n.Phase == Gone || n.ID == "" {
			return nil // it was never known here
		}
		if len(e.allEndpoints) >= e.settings.MaxEndpoints {
			e.note(noteMembers, "source %s lists more than %d endpoints; %s is ignored", source, e.settings.MaxEndpoints, n.ID)
			return nil
		}
		e.lastEndpoint++
		ep = &endpoint{number: e.lastEndpoint, id: n.ID, destination: n.Destination, phase: Gone, goneAt: e.now.At}
		e.endpointByID[ep.id], e.endpointByNumber[ep.number] = ep, ep
		e.allEndpoints = append(e.allEndpoints, ep)
	}
	if n.Zone < 0 || n.Kind < 0 {
		e.note(noteMembers, "source %s names an unknown zone or kind for endpoint %s", source, n.ID)
	}
	e.nameDestination(n.Destination)
	if c := ep.claimOf(source); c != nil {
		c.phase = phase
	} else {
		ep.claims = append(ep.claims, claim{source, phase})
	}
	if n.Addr != "" && n.Addr != ep.addr {
		if ep.addr != "" {
			e.effect(&RemoveEndpoint{Endpoint: ep.number, Addr: ep.addr})
		}
		ep.addr = n.Addr
		e.inheritWait(ep)
	}
	ep.zone, ep.kind, ep.weight, ep.started = n.Zone, n.Kind, n.Weight, n.Started
	return ep
}

// updatePhase updates an endpoint's phase to the worst claim of all sources that ever reported it.
func (e *Engine) updatePhase(ep *endpoint) {
	was, wasListed := ep.phase, ep.listed
	ep.phase, ep.listed = Active, false
	for _, c := range ep.claims {
		ep.phase = min(ep.phase, c.phase)
		ep.listed = ep.listed || c.phase != Gone
	}
	if ep.moved {
		ep.phase, ep.listed = Gone, false
	}
	if ep.displaced {
		if ep.phase = Gone; was != Gone {
			e.note(noteMembers, "endpoint %s of destination %d gets no calls: another one has come up at %s", ep.id, ep.destination, ep.addr)
		}
	}
	if wasListed && !ep.listed {
		ep.goneAt = e.now.At
	}
	if ep.phase == Gone && was != Gone {
		e.effect(&RemoveEndpoint{Endpoint: ep.number, Addr: ep.addr})
	}
}

// removeGone removes at most limit endpoints that no source has listed for a while and that have no call out, and reports
// whether there are more. While one source lists an endpoint, the claims of the others about it are kept.
func (e *Engine) removeGone(limit int) (more bool) {
	maps.DeleteFunc(e.addressWaits, func(_ string, until Time) bool { return until <= e.now.At })
	e.allEndpoints = slices.DeleteFunc(e.allEndpoints, func(ep *endpoint) bool {
		old := !ep.listed && ep.calls == 0 && e.now.At-ep.goneAt >= goneRetention
		if old && limit == 0 {
			more = true
			return false
		}
		if old {
			limit--
			delete(e.endpointByNumber, ep.number)
			if ep.moved {
				delete(e.movedEndpoints, endpointKey{ep.id, ep.destination})
			} else {
				delete(e.endpointByID, ep.id)
			}
		}
		return old
	})
	return more
}

// nameDestination stores that a destination was named.
func (l *members) nameDestination(dest int) {
	if !l.isNamed(dest) {
		l.namedDestinations[dest] = 0
	}
}

func (l *members) isNamed(dest int) bool {
	_, ok := l.namedDestinations[dest]
	return ok
}

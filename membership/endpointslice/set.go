package endpointslice

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewmux/membership"
)

// Set merges the slices of one partner into its list of endpoints. It keeps only the newest state of each slice, so that it
// does not grow with the number of changes. It is not safe for concurrent use. The rules:
//
//   - The uid of targetRef identifies an endpoint, so that a new pod at an old address is a new endpoint. Without a uid the
//     address identifies it.
//   - The worst state in any slice counts: terminating, then not ready, then ready. `ready` is used as the API defines it:
//     absent is true, and a Service with publishNotReadyAddresses makes it true. But a terminating endpoint is never Active,
//     whatever `ready` and `serving` are, also if there is no other endpoint.
//   - A pod that is terminating never becomes usable again, since its deletion can't be undone. A pod that was once read as
//     terminating stays Leaving, also if an API server that was restored to an older state lists it as ready, and also
//     after it has Left. The newest 2,048 such pods are remembered.
//   - Of several addresses of an endpoint the one of the preferred family counts, then the one in the slice whose name sorts
//     first.
//   - An endpoint that no slice lists any more is Leaving at once, since it may have been removed. It is Left only after the
//     partner's Grace, since it may be moving to another slice. If a slice lists it again in that time, its state is again
//     what the slices say.
//   - Each slice of a list takes effect as soon as it is read, so that endpoints to be drained need not wait for the end of
//     the list. Slices that are missing from the list are removed at its end. A list without any endpoint, where there were
//     some before, makes all of them Leaving at once, since honouring drains is more important than availability. But they
//     become Left only after EmptyHold, so that no state is lost if the empty list was a mistake and is corrected in time.
type Set struct {
	partner            Partner
	slices             map[string]*sliceState
	endpoints          map[string]*endpoint
	changed            map[*endpoint]struct{} // since the last TakeChanges
	dropped            []drop                 // endpoints that no slice listed any more, oldest first; some may be listed again by now
	droppedByEmptyList []drop                 // the same for endpoints dropped by a list without any endpoint
	listedCount        int                    // number of endpoints that a slice lists
	listing            bool                   // between BeginList and EndList
	listCompleted      bool                   // a list has been read completely
	listNumber         int                    // number of the current or last list
	rejected           int                    // total number of entries and slices that were rejected

	// IDs of pods that were read as terminating and are no longer in endpoints. terminatedOrder has the oldest first.
	terminated      map[string]struct{}
	terminatedOrder []string
}

const maxTerminated = 2048

// sliceState holds the newest state of a slice. It is the same object for as long as the slice exists.
type sliceState struct {
	Slice
	key        string
	port       int         // for calls, 0 if none
	listNumber int         // number of the last list that contained it
	endpoints  []*endpoint // endpoint of each entry; nil for a rejected entry
}

// endpoint is an endpoint with its entries in the slices.
type endpoint struct {
	id            string
	mentions      []mention // almost always one
	addr          string    // last usable address, "" if it never had one
	zone          string
	hints         string
	note          string
	started       int64 // Unix ms, 0 for long ago
	droppedAt     time.Time
	phase         membership.Phase
	listed        bool // a slice lists it
	reported      bool // TakeChanges last returned it with a phase other than Left
	wasActive     bool // it has been Active
	terminated    bool // a pod that was once read as terminating
	droppedByList int  // number of the list that dropped it, 0 if none did
}

// drop records that no slice lists an endpoint any more since a given time.
type drop struct {
	endpoint *endpoint
	at       time.Time
}

// stillDropped reports whether the endpoint has not been listed again since.
func (d drop) stillDropped() bool { return !d.endpoint.listed && d.endpoint.droppedAt.Equal(d.at) }

// mention is the position of an entry in a slice.
type mention struct {
	slice *sliceState
	index int // index in by.Entries
}

// NewSet creates an empty set. The partner's settings must have been validated.
func NewSet(p Partner) *Set {
	p.Grace, p.EmptyHold = cmp.Or(p.Grace, defaultGrace), cmp.Or(p.EmptyHold, defaultEmptyHold)
	p.MaxEndpoints = cmp.Or(p.MaxEndpoints, defaultMaxEndpoints)
	return &Set{
		partner: p, slices: map[string]*sliceState{}, endpoints: map[string]*endpoint{},
		changed: map[*endpoint]struct{}{}, terminated: map[string]struct{}{},
	}
}

// removeEndpoint removes an endpoint. If it is a pod that was read as terminating, its ID is remembered in terminated.
func (s *Set) removeEndpoint(e *endpoint) {
	delete(s.endpoints, e.id)
	if _, known := s.terminated[e.id]; known || !e.terminated {
		return
	}
	if len(s.terminatedOrder) == maxTerminated {
		delete(s.terminated, s.terminatedOrder[0])
		s.terminatedOrder = slices.Delete(s.terminatedOrder, 0, 1)
	}
	s.terminated[e.id] = struct{}{}
	s.terminatedOrder = append(s.terminatedOrder, e.id)
}

// BeginList starts a full list. If a list was already started, it is abandoned.
func (s *Set) BeginList() {
	s.listing = true
	s.listNumber++
}

// EndList completes the list and removes the slices that it did not contain. emptied is true if this dropped the last
// endpoints.
func (s *Set) EndList(now time.Time) (emptied bool) {
	for key, in := range s.slices {
		if in.listNumber != s.listNumber {
			s.Remove(now, key)
		}
	}
	s.listing, s.listCompleted = false, true
	if s.listedCount > 0 {
		return false
	}
	rest := s.dropped[:0]
	for _, d := range s.dropped {
		if d.stillDropped() && d.endpoint.droppedByList == s.listNumber {
			s.droppedByEmptyList = append(s.droppedByEmptyList, d)
		} else {
			rest = append(rest, d)
		}
	}
	emptied = len(rest) < len(s.dropped)
	clear(s.dropped[len(rest):])
	s.dropped = rest
	return emptied
}

// Put sets the newest state of a slice.
func (s *Set) Put(now time.Time, new Slice) {
	key := new.key()
	in := s.slices[key]
	readable := new.Err == nil || new.UnreadableEntries > 0 // otherwise nothing of it could be read
	if !readable || in == nil && len(s.slices) >= s.partner.MaxEndpoints {
		s.rejected++
		if in != nil {
			in.listNumber = s.listNumber // keep the last state, as for a source that fails
		}
		return
	}
	s.rejected += new.UnreadableEntries
	if in == nil {
		in = &sliceState{key: key}
		s.slices[key] = in
	}
	in.listNumber = s.listNumber
	s.replace(now, in, new)
}

// Remove removes a slice.
func (s *Set) Remove(now time.Time, key string) {
	if in := s.slices[key]; in != nil {
		delete(s.slices, key)
		s.replace(now, in, Slice{})
	}
}

// replace sets a new state of a slice. An entry that has not changed costs only a comparison.
func (s *Set) replace(now time.Time, in *sliceState, new Slice) {
	port := s.partner.port(&new)
	sameAddressing := port == in.port && new.AddressType == in.AddressType
	var touched []*endpoint
	changed := make([]int, 0, 8)
	for i := range max(len(in.Entries), len(new.Entries)) {
		if sameAddressing && i < len(in.Entries) && i < len(new.Entries) && in.Entries[i] == new.Entries[i] {
			continue
		}
		changed = append(changed, i)
		if i < len(in.Entries) && in.endpoints[i] != nil {
			e := in.endpoints[i]
			e.mentions = slices.DeleteFunc(e.mentions, func(m mention) bool { return m == mention{in, i} })
			touched = append(touched, e)
		}
	}
	in.Slice, in.port = new, port
	if n := len(new.Entries); n <= len(in.endpoints) {
		in.endpoints = in.endpoints[:n]
	} else {
		in.endpoints = append(in.endpoints, make([]*endpoint, n-len(in.endpoints))...)
	}
	for _, i := range changed {
		if i >= len(new.Entries) {
			break
		}
		e := s.endpointOf(in, i)
		if in.endpoints[i] = e; e != nil {
			e.mentions = append(e.mentions, mention{in, i})
			touched = append(touched, e)
		}
	}
	for _, e := range touched {
		s.recompute(now, e)
	}
}

// endpointOf returns the endpoint of an entry and creates it if needed. It returns nil if the entry has neither a uid nor a
// usable address, or if the limit of endpoints is reached.
func (s *Set) endpointOf(in *sliceState, i int) *endpoint {
	entry := &in.Entries[i]
	name := entry.UID
	if name == "" {
		name = address(entry, &in.Slice, in.port)
	}
	id := fmt.Sprintf("%d/%s", s.partner.Destination, name)
	e := s.endpoints[id]
	if e == nil {
		if name == "" || len(s.endpoints) >= s.partner.MaxEndpoints {
			s.rejected++
			return nil
		}
		_, ended := s.terminated[id]
		e = &endpoint{id: id, terminated: ended}
		s.endpoints[id] = e
	}
	return e
}

// recompute recomputes the state of an endpoint from its entries in the slices.
func (s *Set) recompute(now time.Time, e *endpoint) {
	if len(e.mentions) == 0 {
		if e.listed {
			e.listed = false
			s.listedCount--
			if !e.reported { // never reported, so it need not become Leaving first; keeps memory small in a flood
				s.removeEndpoint(e)
				delete(s.changed, e)
				return
			}
			e.droppedAt, e.droppedByList, e.phase, e.note = now, 0, membership.Leaving, "no slice names it any more"
			if s.listing {
				e.droppedByList = s.listNumber
			}
			s.dropped = append(s.dropped, drop{e, now})
			s.changed[e] = struct{}{}
		}
		return
	}
	newlyListed, before := !e.listed, *e
	if newlyListed {
		e.listed = true
		s.listedCount++
	}
	e.phase, e.note = membership.Active, "ready"
	var best *mention
	for i := range e.mentions {
		m := &e.mentions[i]
		entry := &m.slice.Entries[m.index]
		switch {
		case entry.Terminating:
			e.terminated = e.terminated || entry.Pod
			e.phase, e.note = membership.Leaving, "terminating in "+m.slice.key
		case !entry.Ready && e.phase == membership.Active:
			e.phase, e.note = membership.Leaving, "not ready in "+m.slice.key
		}
		if address(entry, &m.slice.Slice, m.slice.port) != "" && (best == nil || s.takesPrecedence(m, best)) {
			best = m
		}
	}
	if e.terminated && e.phase == membership.Active {
		e.phase, e.note = membership.Leaving, "a pod that was terminating before"
	}
	if best != nil {
		entry := &best.slice.Entries[best.index]
		e.addr, e.zone, e.hints = address(entry, &best.slice.Slice, best.slice.port), entry.Zone, entry.Hints
	} else {
		e.phase, e.note = membership.Leaving, "no address that can be used in "+e.mentions[0].slice.key
		s.rejected++
	}
	if e.phase == membership.Active && !e.wasActive {
		if e.wasActive = true; s.listCompleted {
			e.started = now.UnixMilli()
		}
	}
	if newlyListed || e.phase != before.phase || e.note != before.note || e.addr != before.addr || e.zone != before.zone || e.hints != before.hints {
		s.changed[e] = struct{}{} // but not if only its position in the slice changed
	}
}

// takesPrecedence reports whether m's address is used rather than o's.
func (s *Set) takesPrecedence(m, o *mention) bool {
	if m6, o6 := m.slice.AddressType == "IPv6", o.slice.AddressType == "IPv6"; m6 != o6 {
		return m6 == s.partner.PreferIPv6
	}
	return cmp.Or(cmp.Compare(m.slice.key, o.slice.key), cmp.Compare(m.index, o.index)) < 0
}

// TakeChanges returns the endpoints that changed since the last call, each in its newest state, sorted by phase (Left,
// Leaving, Active) and then by ID. It returns at most most Active endpoints (0 or less: no limit), so that Left and Leaving
// ones don't have to wait for a large number of additions. more is true if some are left for the next call.
func (s *Set) TakeChanges(now time.Time, most int) (changes []membership.Endpoint, more bool) {
	if !s.listing {
		s.dropped = s.expireDropped(now, s.dropped, s.partner.Grace)
		s.droppedByEmptyList = s.expireDropped(now, s.droppedByEmptyList, s.partner.EmptyHold)
	}
	list := make([]*endpoint, 0, len(s.changed))
	for e := range s.changed {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.id, b.id))
	})
	active := 0
	for _, e := range list {
		if e.phase == membership.Active {
			if active++; most > 0 && active > most {
				return changes, true
			}
		}
		delete(s.changed, e)
		if e.addr == "" || e.phase == membership.Left && !e.reported {
			continue
		}
		e.reported = e.phase != membership.Left
		changes = append(changes, s.convert(e))
	}
	return changes, false
}

// All returns all endpoints sorted by ID. All changes so far then count as taken.
func (s *Set) All(now time.Time) []membership.Endpoint {
	s.TakeChanges(now, 0)
	all := make([]membership.Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if e.addr != "" {
			all = append(all, s.convert(e))
		}
	}
	slices.SortFunc(all, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// expireDropped makes endpoints Left that were dropped at least the given time ago. It returns the rest of the queue.
func (s *Set) expireDropped(now time.Time, queue []drop, after time.Duration) []drop {
	for len(queue) > 0 {
		d := queue[0]
		if d.stillDropped() {
			if now.Sub(d.at) < after {
				break
			}
			d.endpoint.phase, d.endpoint.note = membership.Left, "no slice names it any more"
			s.removeEndpoint(d.endpoint)
			s.changed[d.endpoint] = struct{}{}
		}
		queue[0] = drop{}
		queue = queue[1:]
	}
	return queue
}

// NextDue returns the time at which a dropped endpoint becomes Left, so that TakeChanges returns a change
// without a call of Put or Remove.
func (s *Set) NextDue() (at time.Time, some bool) {
	if s.listing {
		return at, false
	}
	if len(s.dropped) > 0 {
		at, some = s.dropped[0].at.Add(s.partner.Grace), true
	}
	if len(s.droppedByEmptyList) > 0 {
		if due := s.droppedByEmptyList[0].at.Add(s.partner.EmptyHold); !some || due.Before(at) {
			at, some = due, true
		}
	}
	return at, some
}

// Slice returns the newest state of a slice, the zero value if it is not known. The Set does not modify the returned data.
func (s *Set) Slice(key string) Slice {
	if in := s.slices[key]; in != nil {
		return in.Slice
	}
	return Slice{}
}

// Named returns the number of endpoints that the slices list now.
func (s *Set) Named() int { return s.listedCount }

// Refused returns the number of entries and slices that were rejected so far.
func (s *Set) Refused() int { return s.rejected }

// convert converts an endpoint for a membership table.
func (s *Set) convert(e *endpoint) membership.Endpoint {
	zone := cmp.Or(e.zone, s.partner.DefaultZone)
	if mapped, ok := s.partner.ZoneNames[zone]; ok {
		zone = mapped
	}
	return membership.Endpoint{
		ID: e.id, Addr: e.addr, Dest: s.partner.Destination, Zone: zone, Kind: s.partner.Kind, Phase: e.phase, Weight: s.partner.Weight,
		Started: e.started, Hints: e.hints, Note: e.note,
	}
}

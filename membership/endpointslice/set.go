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
	p       Partner
	slices  map[string]*slice
	entries map[string]*endpoint
	changed map[*endpoint]struct{} // since the last Take
	dropped []drop                 // endpoints that no slice listed any more, oldest first; some may be listed again by now
	held    []drop                 // the same for endpoints dropped by a list without any endpoint
	named   int                    // number of endpoints that a slice lists
	listing bool                   // between Begin and End
	listed  bool                   // a list has been read completely
	round   int                    // number of the current or last list
	refused int                    // total number of entries and slices that were rejected

	// IDs of pods that were read as terminating and are no longer in entries. endedList has the oldest first.
	ended     map[string]struct{}
	endedList []string
}

const mostEnded = 2048

// slice holds the newest state of a slice. It is the same object for as long as the slice exists.
type slice struct {
	Slice
	key   string
	port  int         // for calls, 0 if none
	round int         // number of the last list that contained it
	who   []*endpoint // endpoint of each entry; nil for a rejected entry
}

// endpoint is an endpoint with its entries in the slices.
type endpoint struct {
	id         string
	in         []mention // almost always one
	addr       string    // last usable address, "" if it never had one
	zone       string
	hints      string
	note       string
	started    int64 // Unix ms, 0 for long ago
	dropped    time.Time
	phase      membership.Phase
	named      bool // a slice lists it
	told       bool // Take last returned it with a phase other than Left
	seen       bool // it has been Active
	terminated bool // a pod that was once read as terminating
	round      int  // number of the list that dropped it, 0 if none did
}

// drop records that no slice lists an endpoint any more since a given time.
type drop struct {
	e  *endpoint
	at time.Time
}

// holds reports whether the endpoint has not been listed again since.
func (d drop) holds() bool { return !d.e.named && d.e.dropped.Equal(d.at) }

// mention is the position of an entry in a slice.
type mention struct {
	by *slice
	at int // index in by.Entries
}

// NewSet creates an empty set. The partner's settings must have been validated.
func NewSet(p Partner) *Set {
	p.Grace, p.EmptyHold = cmp.Or(p.Grace, defaultGrace), cmp.Or(p.EmptyHold, defaultEmptyHold)
	p.MaxEndpoints = cmp.Or(p.MaxEndpoints, defaultMost)
	return &Set{
		p: p, slices: map[string]*slice{}, entries: map[string]*endpoint{},
		changed: map[*endpoint]struct{}{}, ended: map[string]struct{}{},
	}
}

// forget removes an endpoint. If it is a pod that was read as terminating, its ID is remembered in ended.
func (s *Set) forget(e *endpoint) {
	delete(s.entries, e.id)
	if _, known := s.ended[e.id]; known || !e.terminated {
		return
	}
	if len(s.endedList) == mostEnded {
		delete(s.ended, s.endedList[0])
		s.endedList = slices.Delete(s.endedList, 0, 1)
	}
	s.ended[e.id] = struct{}{}
	s.endedList = append(s.endedList, e.id)
}

// BeginList starts a full list. If a list was already started, it is abandoned.
func (s *Set) BeginList() {
	s.listing = true
	s.round++
}

// EndList completes the list and removes the slices that it did not contain. emptied is true if this dropped the last
// endpoints.
func (s *Set) EndList(now time.Time) (emptied bool) {
	for key, in := range s.slices {
		if in.round != s.round {
			s.Remove(now, key)
		}
	}
	s.listing, s.listed = false, true
	if s.named > 0 {
		return false
	}
	rest := s.dropped[:0]
	for _, d := range s.dropped {
		if d.holds() && d.e.round == s.round {
			s.held = append(s.held, d)
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
	whole := new.Err == nil || new.UnreadableEntries > 0 // otherwise nothing of it could be read
	if !whole || in == nil && len(s.slices) >= s.p.MaxEndpoints {
		s.refused++
		if in != nil {
			in.round = s.round // keep the last state, as for a source that fails
		}
		return
	}
	s.refused += new.UnreadableEntries
	if in == nil {
		in = &slice{key: key}
		s.slices[key] = in
	}
	in.round = s.round
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
func (s *Set) replace(now time.Time, in *slice, new Slice) {
	port := s.p.port(&new)
	alike := port == in.port && new.AddressType == in.AddressType
	var touched []*endpoint
	differs := make([]int, 0, 8)
	for i := range max(len(in.Entries), len(new.Entries)) {
		if alike && i < len(in.Entries) && i < len(new.Entries) && in.Entries[i] == new.Entries[i] {
			continue
		}
		differs = append(differs, i)
		if i < len(in.Entries) && in.who[i] != nil {
			e := in.who[i]
			e.in = slices.DeleteFunc(e.in, func(m mention) bool { return m == mention{in, i} })
			touched = append(touched, e)
		}
	}
	in.Slice, in.port = new, port
	if n := len(new.Entries); n <= len(in.who) {
		in.who = in.who[:n]
	} else {
		in.who = append(in.who, make([]*endpoint, n-len(in.who))...)
	}
	for _, i := range differs {
		if i >= len(new.Entries) {
			break
		}
		e := s.who(in, i)
		if in.who[i] = e; e != nil {
			e.in = append(e.in, mention{in, i})
			touched = append(touched, e)
		}
	}
	for _, e := range touched {
		s.work(now, e)
	}
}

// who returns the endpoint of an entry and creates it if needed. It returns nil if the entry has neither a uid nor a usable
// address, or if the limit of endpoints is reached.
func (s *Set) who(in *slice, i int) *endpoint {
	entry := &in.Entries[i]
	name := entry.UID
	if name == "" {
		name = address(entry, &in.Slice, in.port)
	}
	id := fmt.Sprintf("%d/%s", s.p.Destination, name)
	e := s.entries[id]
	if e == nil {
		if name == "" || len(s.entries) >= s.p.MaxEndpoints {
			s.refused++
			return nil
		}
		_, ended := s.ended[id]
		e = &endpoint{id: id, terminated: ended}
		s.entries[id] = e
	}
	return e
}

// work recomputes the state of an endpoint from its entries in the slices.
func (s *Set) work(now time.Time, e *endpoint) {
	if len(e.in) == 0 {
		if e.named {
			e.named = false
			s.named--
			if !e.told { // never reported, so it need not become Leaving first; keeps memory small in a flood
				s.forget(e)
				delete(s.changed, e)
				return
			}
			e.dropped, e.round, e.phase, e.note = now, 0, membership.Leaving, "no slice names it any more"
			if s.listing {
				e.round = s.round
			}
			s.dropped = append(s.dropped, drop{e, now})
			s.changed[e] = struct{}{}
		}
		return
	}
	news, was := !e.named, *e
	if news {
		e.named = true
		s.named++
	}
	e.phase, e.note = membership.Active, "ready"
	var best *mention
	for i := range e.in {
		m := &e.in[i]
		entry := &m.by.Entries[m.at]
		switch {
		case entry.Terminating:
			e.terminated = e.terminated || entry.Pod
			e.phase, e.note = membership.Leaving, "terminating in "+m.by.key
		case !entry.Ready && e.phase == membership.Active:
			e.phase, e.note = membership.Leaving, "not ready in "+m.by.key
		}
		if address(entry, &m.by.Slice, m.by.port) != "" && (best == nil || s.before(m, best)) {
			best = m
		}
	}
	if e.terminated && e.phase == membership.Active {
		e.phase, e.note = membership.Leaving, "a pod that was terminating before"
	}
	if best != nil {
		entry := &best.by.Entries[best.at]
		e.addr, e.zone, e.hints = address(entry, &best.by.Slice, best.by.port), entry.Zone, entry.Hints
	} else {
		e.phase, e.note = membership.Leaving, "no address that can be used in "+e.in[0].by.key
		s.refused++
	}
	if e.phase == membership.Active && !e.seen {
		if e.seen = true; s.listed {
			e.started = now.UnixMilli()
		}
	}
	if news || e.phase != was.phase || e.note != was.note || e.addr != was.addr || e.zone != was.zone || e.hints != was.hints {
		s.changed[e] = struct{}{} // but not if only its position in the slice changed
	}
}

// before reports whether m's address takes precedence over o's.
func (s *Set) before(m, o *mention) bool {
	if m6, o6 := m.by.AddressType == "IPv6", o.by.AddressType == "IPv6"; m6 != o6 {
		return m6 == s.p.PreferIPv6
	}
	return cmp.Or(cmp.Compare(m.by.key, o.by.key), cmp.Compare(m.at, o.at)) < 0
}

// TakeChanges returns the endpoints that changed since the last call, each in its newest state, sorted by phase (Left, Leaving,
// Active) and then by ID. It returns at most most Active endpoints (0 or less: no limit), so that Left and Leaving ones
// don't have to wait for a large number of additions. more is true if some are left for the next call.
func (s *Set) TakeChanges(now time.Time, most int) (changes []membership.Endpoint, more bool) {
	if !s.listing {
		s.dropped = s.expire(now, s.dropped, s.p.Grace)
		s.held = s.expire(now, s.held, s.p.EmptyHold)
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
		if e.addr == "" || e.phase == membership.Left && !e.told {
			continue
		}
		e.told = e.phase != membership.Left
		changes = append(changes, s.out(e))
	}
	return changes, false
}

// All returns all endpoints sorted by ID. All changes so far then count as taken.
func (s *Set) All(now time.Time) []membership.Endpoint {
	s.TakeChanges(now, 0)
	all := make([]membership.Endpoint, 0, len(s.entries))
	for _, e := range s.entries {
		if e.addr != "" {
			all = append(all, s.out(e))
		}
	}
	slices.SortFunc(all, func(a, b membership.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// expire makes endpoints Left that were dropped at least the given time ago. It returns the rest of the queue.
func (s *Set) expire(now time.Time, queue []drop, after time.Duration) []drop {
	for len(queue) > 0 {
		d := queue[0]
		if d.holds() {
			if now.Sub(d.at) < after {
				break
			}
			d.e.phase, d.e.note = membership.Left, "no slice names it any more"
			s.forget(d.e)
			s.changed[d.e] = struct{}{}
		}
		queue[0] = drop{}
		queue = queue[1:]
	}
	return queue
}

// NextDue returns the time at which a dropped endpoint becomes Left, so that Take has a change without a call of Put or Remove.
func (s *Set) NextDue() (at time.Time, some bool) {
	if s.listing {
		return at, false
	}
	if len(s.dropped) > 0 {
		at, some = s.dropped[0].at.Add(s.p.Grace), true
	}
	if len(s.held) > 0 {
		if due := s.held[0].at.Add(s.p.EmptyHold); !some || due.Before(at) {
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
func (s *Set) Named() int { return s.named }

// Refused returns the number of entries and slices that were rejected so far.
func (s *Set) Refused() int { return s.refused }

// out converts an endpoint for a membership table.
func (s *Set) out(e *endpoint) membership.Endpoint {
	zone := cmp.Or(e.zone, s.p.DefaultZone)
	if mapped, ok := s.p.ZoneNames[zone]; ok {
		zone = mapped
	}
	return membership.Endpoint{
		ID: e.id, Addr: e.addr, Dest: s.p.Destination, Zone: zone, Kind: s.p.Kind, Phase: e.phase, Weight: s.p.Weight,
		Started: e.started, Hints: e.hints, Note: e.note,
	}
}

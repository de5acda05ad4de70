package endpointslice

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewmux/membership"
)

// Set is what the slices of one partner say of its endpoints. It holds the newest state of each slice and nothing older,
// so that a flood of changes can't make it grow. It is not safe for concurrent use.
//
//   - An endpoint's identity is the uid of its targetRef: a new pod at an old address is a new endpoint. Without a uid it
//     is the address.
//   - It is as usable as the worst that any slice says of it: terminating, then not ready, then ready. `ready` is believed
//     as the API defines it (absent is true; a Service with publishNotReadyAddresses makes it true), but an endpoint that
//     terminates is never Active, whatever `ready` and `serving` say, and not as a last resort either.
//   - A pod never comes back from terminating: its deletion can't be undone. So a pod that was once read as terminating
//     stays Leaving, also if an API server whose data were set back says otherwise, and also if it has Left meanwhile: the
//     newest 2,048 of them stay known.
//   - Of several addresses of one endpoint the preferred family's counts, then that of the slice first in order of names.
//   - An endpoint that the last slice drops is Leaving at once, since it may have been removed, and has Left only after
//     the partner's Grace, since it may have moved: a slice that names it within that time makes it what it was before.
//   - A list counts slice by slice as it is read, for what it takes away must not wait for its end; which slices are not
//     in it is known at its end. A list that names nobody, where somebody was known, takes work from all at once (rule
//     "drains are honoured" outweighs service), but they stay Leaving for EmptyHold: a mistake that is mended in that
//     time costs no state.
type Set struct {
	p       Partner
	slices  map[string]*slice
	entries map[string]*endpoint
	changed map[*endpoint]struct{} // since they were last taken
	dropped []drop                 // who was dropped, the oldest first; some are named again by now
	held    []drop                 // those of them that a list dropped which named nobody
	named   int                    // endpoints that a slice names
	listing bool                   // between Begin and End
	listed  bool                   // one list has come to its end
	round   int                    // number of the list that is being read, or was read last
	refused int                    // entries that found no room or were unfit, in all

	// Pods that were read as terminating and are forgotten otherwise, the oldest first.
	ended     map[string]struct{}
	endedList []string
}

const mostEnded = 2048

// slice is one slice's newest state. It stays the same object for as long as the slice is there.
type slice struct {
	Slice
	key   string
	port  int
	round int
	who   []*endpoint // of each entry; nil for one without an identity or without room
}

// endpoint is one endpoint with the slices that name it.
type endpoint struct {
	id         string
	in         []mention // almost always one
	addr       string    // as last known, "" if it never had one that can be used
	zone       string
	hints      string
	note       string
	started    int64 // Unix ms, 0 for long ago
	dropped    time.Time
	phase      membership.Phase
	named      bool // a slice names it
	told       bool // it was taken, and not as Left
	seen       bool // it has been Active
	terminated bool // a pod that was read as terminating
	round      int  // the list that dropped it, 0 if none
}

// drop is one time that an endpoint was dropped by the last slice that named it.
type drop struct {
	e  *endpoint
	at time.Time
}

// holds tells whether the endpoint has not been named since.
func (d drop) holds() bool { return !d.e.named && d.e.dropped.Equal(d.at) }

type mention struct {
	by *slice
	at int // in by.Entries
}

// NewSet makes an empty set; the partner's settings must have been checked.
func NewSet(p Partner) *Set {
	p.Grace, p.EmptyHold = cmp.Or(p.Grace, defaultGrace), cmp.Or(p.EmptyHold, defaultEmptyHold)
	p.MaxEndpoints = cmp.Or(p.MaxEndpoints, defaultMost)
	return &Set{
		p: p, slices: map[string]*slice{}, entries: map[string]*endpoint{},
		changed: map[*endpoint]struct{}{}, ended: map[string]struct{}{},
	}
}

// forget drops an endpoint. Of a pod that was read as terminating it keeps that.
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

// BeginList says that a whole list begins, or begins anew.
func (s *Set) BeginList() {
	s.listing = true
	s.round++
}

// EndList says that the list has come to its end: slices that it did not name are gone. It tells whether it left nobody where
// somebody was known before.
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

// Put takes a slice's newest state.
func (s *Set) Put(now time.Time, new Slice) {
	key := new.key()
	in := s.slices[key]
	whole := new.Err == nil || new.UnreadableEntries > 0 // else it can't be read at all
	if !whole || in == nil && len(s.slices) >= s.p.MaxEndpoints {
		s.refused++
		if in != nil {
			in.round = s.round // as with a source that fails, what was read last stays
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

// Remove says that a slice is gone.
func (s *Set) Remove(now time.Time, key string) {
	if in := s.slices[key]; in != nil {
		delete(s.slices, key)
		s.replace(now, in, Slice{})
	}
}

// replace puts another state of a slice in place of the one at hand. Entries that have not changed cost a comparison.
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

// who is the endpoint that an entry speaks of, made if it is new; nil if the entry has no identity or there is no room.
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

// work works out an endpoint's state from the slices that name it.
func (s *Set) work(now time.Time, e *endpoint) {
	if len(e.in) == 0 {
		if e.named {
			e.named = false
			s.named--
			if !e.told { // nobody knows of it: it need not take leave, and a flood leaves nothing behind
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
		s.changed[e] = struct{}{} // and not where it only moved to another place in its slice
	}
}

// before tells whether m's address counts before o's.
func (s *Set) before(m, o *mention) bool {
	if m6, o6 := m.by.AddressType == "IPv6", o.by.AddressType == "IPv6"; m6 != o6 {
		return m6 == s.p.PreferIPv6
	}
	return cmp.Or(cmp.Compare(m.by.key, o.by.key), cmp.Compare(m.at, o.at)) < 0
}

// TakeChanges hands out the endpoints that changed since they were last taken, each in its newest state: what takes work away
// first, by ID within that. It holds back what is Active beyond most (0 or less: all of it) for the next call and tells
// so with more: what takes work away never waits for it.
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

// All is all endpoints in the order of IDs; nothing is left for Take after it but what comes due.
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

// expire lets those go that were dropped longer ago than after, and returns the rest of the queue.
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

// NextDue tells when Take has something to hand out though nothing is put in.
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

// Slice is a slice's newest state, the zero if it is not known. The Set does not change what it points to.
func (s *Set) Slice(key string) Slice {
	if in := s.slices[key]; in != nil {
		return in.Slice
	}
	return Slice{}
}

// Named is how many endpoints the slices name now.
func (s *Set) Named() int { return s.named }

// Refused is how many entries and slices could not be taken so far.
func (s *Set) Refused() int { return s.refused }

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

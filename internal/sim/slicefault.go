package sim

import (
	"slices"
	"strings"
	"time"
)

// ofSlices tells that a kind of fault is one of EndpointSlices, their API server or the agents that read them.
func ofSlices(kind string) bool {
	return strings.HasPrefix(kind, "slice-") || strings.HasPrefix(kind, "api-") || strings.HasPrefix(kind, "agent-")
}

// sliceKinds are those kinds.
func sliceKinds() []kindOf {
	const sec = time.Second
	near := []string{"timer", "answer", "call", "list"}
	return []kindOf{
		{"slice-conflict", 3, 500 * ms, 4 * sec, near, doConflict},
		{"slice-move", 3, 0, 900 * ms, near, doMove},
		{"slice-flood", 2, 500 * ms, 3 * sec, nil, doFlood},
		{"api-silent", 2, sec, 5 * sec, near, apiFault(func(s *apiServer, by int) { s.silent += by })},
		{"api-cut", 2, 0, 0, near, doAPICut},
		{"api-expire", 3, 0, 0, near, doAPIExpire},
		{"api-fail", 3, 500 * ms, 4 * sec, near, doAPIFail},
		{"api-empty", 2, 500 * ms, 3 * sec, nil, doAPIEmpty},
		{"api-set-back", 2, sec, 3 * sec, nil, doAPISetBack},
		{"agent-kill", 2, 300 * ms, 2 * sec, near, doAgentKill},
	}
}

// apiFault makes a fault of the API server.
func apiFault(set func(s *apiServer, by int)) func(*Farm, *Step) func() {
	return func(f *Farm, _ *Step) func() {
		if f.api == nil {
			return nil
		}
		set(f.api, 1)
		return func() {
			set(f.api, -1)
			for _, w := range slices.Clone(f.api.watches) {
				w.pump()
			}
		}
	}
}

// named is an endpoint that some slice names and that is usable, with that slice.
func (f *Farm) named(s *Step) (*apiSlice, apiEntry, bool) {
	if f.api == nil {
		return nil, apiEntry{}, false
	}
	var in []*apiSlice
	var list []apiEntry
	for _, l := range f.api.slices {
		for _, e := range l.entries {
			if e.ready && len(f.api.naming(e.uid)) == 1 {
				in, list = append(in, l), append(list, e)
			}
		}
	}
	if len(list) == 0 {
		return nil, apiEntry{}, false
	}
	n := s.Target % len(list)
	return in[n], list[n], true
}

// doConflict has a second slice name an endpoint, in another state; then one of the two drops it, and it is as it was.
func doConflict(f *Farm, s *Step) func() {
	home, e, ok := f.named(s)
	if !ok {
		return nil
	}
	api := f.api
	other := api.another(home.dest)
	worse := e
	worse.ready = false
	api.put(other, worse)
	return func() {
		home, other := api.slice(home), api.slice(other)
		if home == nil || other == nil {
			return // a server that was set back does not have them
		}
		if s.Arg%2 == 0 { // the slice that is right drops it first: the other one has the word
			if i := home.at(e.uid); i >= 0 && home.entries[i].ready {
				api.drop(home, e.uid)
				f.w.After(300*ms, func() {
					if other = api.slice(other); other != nil && len(api.naming(e.uid)) == 1 && api.naming(e.uid)[0] == other { // nothing else has come of it since
						api.put(other, e)
					}
				})
				return
			}
		}
		api.drop(other, e.uid)
	}
}

// doMove moves an endpoint to another slice: it is in both for a while, or in none.
func doMove(f *Farm, s *Step) func() {
	home, e, ok := f.named(s)
	if !ok {
		return nil
	}
	api := f.api
	other := api.another(home.dest)
	still := func() bool { // it has not been told to leave meanwhile
		i := slices.IndexFunc(f.truth, func(t entry) bool { return uidOf(t.ID) == e.uid && t.Phase != "active" })
		return i < 0
	}
	if s.Arg%2 == 0 {
		api.put(other, e)
		return func() {
			if home := api.slice(home); home != nil && api.slice(other) != nil {
				api.drop(home, e.uid)
			}
			if !still() {
				api.reconcile()
			}
		}
	}
	api.drop(home, e.uid)
	f.count("in no slice")
	return func() {
		if l := api.slice(other); still() && len(api.naming(e.uid)) == 0 {
			if l == nil {
				l = api.room(home.dest)
			}
			api.put(l, e)
		}
	}
}

// doFlood has slices change all the time, and many endpoints replaced in between.
func doFlood(f *Farm, s *Step) func() {
	if f.api == nil {
		return nil
	}
	over := false
	dice := stream(uint64(s.Arg), "flood", 0)
	var turn func()
	turn = func() {
		if over {
			return
		}
		for _, l := range f.api.slices {
			f.api.changed("MODIFIED", l)
		}
		if dice.chance(0.1) {
			p := f.places[dice.n(len(f.places))]
			f.replace(p.now, time.Second)
		}
		f.w.After(dice.span(5*ms, 40*ms), turn)
	}
	turn()
	return func() { over = true }
}

func doAPICut(f *Farm, _ *Step) func() {
	if f.api != nil {
		f.api.cut()
	}
	return nil
}

func doAPIExpire(f *Farm, _ *Step) func() {
	if f.api != nil {
		f.api.expire()
	}
	return nil
}

// doAPIFail has requests fail, and ends the watches.
func doAPIFail(f *Farm, s *Step) func() {
	if f.api == nil {
		return nil
	}
	f.api.status = []int{0, 401, 403, 429, 500, 503}[s.Arg%6]
	f.api.failing++
	f.api.cut()
	return func() { f.api.failing-- }
}

// doAPIEmpty has lists name nobody, and all read them.
func doAPIEmpty(f *Farm, _ *Step) func() {
	if f.api == nil {
		return nil
	}
	f.api.empty++
	f.api.expire()
	return func() { f.api.empty-- }
}

// doAPISetBack has the server restart with older data; what runs the cluster brings them up to date in the end.
func doAPISetBack(f *Farm, _ *Step) func() {
	if f.api == nil || !f.api.setBack() {
		return nil
	}
	f.count("data set back")
	return func() {
		f.api.reconcile()
		f.api.expire()
	}
}

func doAgentKill(f *Farm, s *Step) func() {
	if f.api == nil {
		return nil
	}
	d := f.dispatcherFor(s)
	if d.agent.m.Process() == nil {
		return nil
	}
	d.mute(1) // it takes the notices, too
	f.w.After(s.For, func() {
		if d.agent.m.Process() == nil {
			d.agent.bootSlices()
		}
		d.mute(-1)
	})
	d.agent.killSlices() // may not return
	return nil
}

package endpointslice

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"curlewmux/membership"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

var partner = Partner{Name: "archive", Namespace: "partners", Selector: "kubernetes.io/service-name=archive", PortName: "http", Destination: 7, Kind: "hooks"}

// slc is a slice with entries as "uid@host" and a letter for each condition: n not ready, t terminating.
func slc(name string, entries ...string) Slice {
	s := Slice{Namespace: "partners", Name: name, AddressType: "IPv4", Ports: []Port{{"http", 80, true}}}
	for _, text := range entries {
		who, flags, _ := strings.Cut(text, " ")
		uid, host, _ := strings.Cut(who, "@")
		if strings.Contains(host, ":") {
			s.AddressType = "IPv6"
		}
		s.Entries = append(s.Entries, Entry{
			Addr: host, UID: uid, Pod: uid != "", Zone: "east", Ready: !strings.Contains(flags, "n"), Terminating: strings.Contains(flags, "t"),
		})
	}
	return s
}

type setRig struct {
	*testing.T
	s *Set
}

func newSet(t *testing.T) setRig { return setRig{t, NewSet(partner)} }

func (r setRig) took(s float64, want string) {
	r.Helper()
	changes, _ := r.s.TakeChanges(at(s), 0)
	if got := show(changes); got != want {
		r.Errorf("at %g s: got %q, want %q", s, got, want)
	}
}

func show(list []membership.Endpoint) string {
	var words []string
	for _, e := range list {
		words = append(words, strings.TrimPrefix(e.ID, "7/")+" "+e.Phase.String())
	}
	return strings.Join(words, ", ")
}

func TestTheSafestStateOfConflictingSlicesCounts(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	service := func(name, entry string) Slice { // not a pod, which could not come back from terminating
		s := slc(name, entry)
		s.Entries[0].Pod = false
		return s
	}
	r.s.Put(at(0), service("a", "u1@10.0.0.1"))
	r.took(0, "u1 active")
	r.s.Put(at(1), service("b", "u1@10.0.0.1 n"))
	r.took(1, "u1 leaving")
	r.s.Put(at(2), service("c", "u1@10.0.0.1 t"))
	r.took(2, "u1 leaving")
	r.s.Remove(at(3), "partners/b")
	r.took(3, "") // as it was
	r.s.Remove(at(4), "partners/c")
	r.took(4, "u1 active") // only a is left to ask
	r.s.Remove(at(5), "partners/a")
	r.took(5, "u1 leaving")
	r.took(5.2, "")
	r.took(5.3, "u1 left")
}

func TestAPodDoesNotComeBackFromTerminating(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1"))
	r.s.Put(at(0), slc("b", "u1@10.0.0.1 t"))
	r.took(0, "u1 leaving")
	r.s.Remove(at(1), "partners/b")
	r.took(1, "u1 leaving")
	r.s.Put(at(2), slc("a", "u1@10.0.0.1 n"))
	r.s.Put(at(3), slc("a", "u1@10.0.0.1")) // an API server whose data were set back
	r.took(3, "u1 leaving")
	r.s.Put(at(4), slc("a", "u2@10.0.0.1")) // a new pod at the old address
	r.took(4, "u1 leaving, u2 active")
	r.took(5, "u1 left")
}

func TestServingWhileTerminatingIsNoLastResort(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	s := slc("a", "u1@10.0.0.1 t", "u2@10.0.0.2 t") // all there is, and ready as publishNotReadyAddresses makes it
	r.s.Put(at(0), s)
	r.took(0, "u1 leaving, u2 leaving")
}

func TestAMoveInEitherOrderIsNeverGoneAndNeverTwice(t *testing.T) {
	t.Parallel()
	moves := map[string][]func(*Set, time.Time){
		"dropped first": {
			func(s *Set, at time.Time) { s.Put(at, slc("a", "u2@10.0.0.2")) },
			func(s *Set, at time.Time) { s.Put(at, slc("b", "u1@10.0.0.1")) },
		},
		"added first": {
			func(s *Set, at time.Time) { s.Put(at, slc("b", "u1@10.0.0.1")) },
			func(s *Set, at time.Time) { s.Put(at, slc("a", "u2@10.0.0.2")) },
		},
		"its slice removed first": {
			func(s *Set, at time.Time) { s.Remove(at, "partners/a") },
			func(s *Set, at time.Time) { s.Put(at, slc("b", "u1@10.0.0.1", "u2@10.0.0.2")) },
		},
	}
	for name, steps := range moves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newSet(t)
			r.s.Put(at(0), slc("a", "u1@10.0.0.1", "u2@10.0.0.2"))
			r.took(0, "u1 active, u2 active")
			for i, step := range steps {
				now := at(1 + 0.2*float64(i))
				step(r.s, now)
				changes, _ := r.s.TakeChanges(now, 0)
				for _, e := range changes {
					if e.Phase == membership.Left {
						t.Errorf("step %d: %s counts as gone", i, e.ID)
					}
				}
				if got := len(r.s.All(now)); got != 2 {
					t.Errorf("step %d: %d endpoints", i, got)
				}
			}
			r.took(10, "")
			if got := show(r.s.All(at(10))); got != "u1 active, u2 active" {
				t.Error(got)
			}
		})
	}
}

func TestWhatIsDroppedGetsNoNewWorkAtOnce(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.took(0, "u1 active, u2 active")
	r.s.Put(at(1), slc("a", "u2@10.0.0.2"))
	r.took(1, "u1 leaving")
}

func TestARemovalNeverWaitsBehindAdditions(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1"))
	r.took(0, "u1 active")
	var many []string
	for i := range 50 {
		many = append(many, fmt.Sprintf("v%02d@10.0.1.%d", i, i))
	}
	r.s.Put(at(1), slc("b", many...))
	changes, more := r.s.TakeChanges(at(1), 10)
	if len(changes) != 10 || !more {
		t.Fatal(len(changes), more)
	}
	r.s.Put(at(1), slc("a", "u1@10.0.0.1 t"))
	changes, more = r.s.TakeChanges(at(1), 10)
	if len(changes) != 11 || !more || changes[0].ID != "7/u1" {
		t.Errorf("%v, more %v", show(changes), more)
	}
	r.s.Put(at(1), slc("b")) // those that still wait have gone again: nothing is left of them
	changes, more = r.s.TakeChanges(at(1), 10)
	if more || len(r.s.changed) > 0 {
		t.Errorf("%v, more %v", show(changes), more)
	}
}

func TestAListTakesAwayBeforeItsEndAndGivesUpOnlyThen(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.BeginList()
	r.s.Put(at(0), slc("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.s.Put(at(0), slc("b", "u3@10.0.0.3"))
	r.s.EndList(at(0))
	r.took(0, "u1 active, u2 active, u3 active")
	r.s.BeginList()
	r.s.Put(at(1), slc("a", "u1@10.0.0.1 t"))
	r.took(1, "u1 leaving, u2 leaving")
	r.took(60, "") // a long list: u2 may stand in a slice that is still to come
	r.s.Put(at(60), slc("c", "u2@10.0.0.2"))
	r.took(60, "u2 active")
	if r.s.EndList(at(61)) {
		t.Error("emptied")
	}
	r.took(61, "u3 leaving")
	r.took(62, "u3 left")
}

func TestAListThatBreaksOffTakesNobodyOut(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.BeginList()
	r.s.Put(at(0), slc("a", "u1@10.0.0.1"))
	r.s.Put(at(0), slc("b", "u2@10.0.0.2"))
	r.s.EndList(at(0))
	r.took(0, "u1 active, u2 active")
	r.s.BeginList()
	r.s.Put(at(1), slc("a", "u1@10.0.0.1"))
	r.s.BeginList() // the first broke off
	r.s.Put(at(2), slc("b", "u2@10.0.0.2"))
	r.took(3, "")
	r.s.EndList(at(3))
	r.took(3, "u1 leaving")
}

func TestAnEmptyListStopsWorkButKeepsTheEndpointsForAWhile(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	list := func(s float64, all ...Slice) bool {
		r.s.BeginList()
		for _, one := range all {
			r.s.Put(at(s), one)
		}
		return r.s.EndList(at(s))
	}
	if list(0) {
		t.Error("a first list that is empty empties nothing")
	}
	list(1, slc("a", "u1@10.0.0.1"))
	r.took(1, "u1 active")
	if !list(2) {
		t.Error("not noticed")
	}
	r.took(2, "u1 leaving")
	r.took(30, "")
	list(31, slc("a", "u1@10.0.0.1"))
	r.took(31, "u1 active")
	if !list(40, slc("a")) {
		t.Error("a slice without endpoints is as empty")
	}
	r.took(40, "u1 leaving")
	r.took(99.9, "")
	r.took(100, "u1 left")
}

func TestDefaultsOfAbsentConditionsAndOddEntries(t *testing.T) {
	t.Parallel()
	o, err := decodeSlice([]byte(`{"metadata":{"namespace":"partners","name":"a"},"addressType":"IPv4","ports":[{"name":"http","port":80},{"name":"admin","port":81},{"name":"http","port":82,"protocol":"UDP"}],
		"endpoints":[{"addresses":["10.0.0.1","10.0.0.9"]},{"addresses":["10.0.0.2"],"conditions":{"ready":null,"serving":false}},
		{"addresses":["10.0.0.3"],"conditions":{"ready":true,"serving":false,"terminating":false}},
		{"addresses":["10.0.0.4"],"conditions":{"terminating":true}},
		{"addresses":["fe80::1"]},{"addresses":["::ffff:10.0.0.5"]},{"addresses":["a.example"]},{"addresses":[]},{},
		{"addresses":"10.0.0.6"},{"addresses":["10.0.0.7"],"conditions":{"ready":"yes"}},
		{"addresses":["10.0.0.8"],"zone":"west","hints":{"forZones":[{"name":"east"},{"name":"north"}]}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if o.Slice.UnreadableEntries != 2 || !errors.Is(o.Slice.Err, errShape) {
		t.Errorf("bad %d: %v", o.Slice.UnreadableEntries, o.Slice.Err)
	}
	r := newSet(t)
	r.s.Put(at(0), o.Slice)
	r.took(0, "10.0.0.4:80 leaving, 10.0.0.1:80 active, 10.0.0.2:80 active, 10.0.0.3:80 active, 10.0.0.8:80 active")
	if e := r.s.All(at(0))[4]; e.Zone != "west" || e.Hints != "east,north" || e.Dest != 7 || e.Kind != "hooks" {
		t.Errorf("%+v", e)
	}
	if r.s.Refused() != 7 {
		t.Errorf("refused %d", r.s.Refused())
	}
}

func TestDualStackCountsOnceAtThePreferredAddress(t *testing.T) {
	t.Parallel()
	for _, v6 := range []bool{false, true} {
		p := partner
		p.PreferIPv6 = v6
		s := NewSet(p)
		s.Put(at(0), slc("b6", "u1@fd00::1", "u2@fd00::2"))
		s.Put(at(0), slc("a4", "u1@10.0.0.1"))
		want := []string{"10.0.0.1:80", "[fd00::2]:80"}
		if v6 {
			want[0] = "[fd00::1]:80"
		}
		var got []string
		for _, e := range s.All(at(0)) {
			got = append(got, e.Addr)
		}
		if !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}

func TestTheOnlyPortNeedsNoName(t *testing.T) {
	t.Parallel()
	p := partner
	p.PortName = ""
	s := slc("a", "u1@10.0.0.1")
	s.Ports = []Port{{"web", 8080, true}}
	if got := p.port(&s); got != 8080 {
		t.Errorf("port %d", got)
	}
	s.Ports = append(s.Ports, Port{"admin", 8081, true})
	if got := p.port(&s); got != 0 {
		t.Errorf("port %d of two", got)
	}
	s.Ports = nil
	if got := p.port(&s); got != 0 {
		t.Errorf("port %d of none", got)
	}
}

func TestAnUnreadableSliceKeepsItsLastState(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1"))
	r.took(0, "u1 active")
	o, err := decodeSlice([]byte(`{"metadata":{"namespace":"partners","name":"a"},"addressType":"IPv4","endpoints":"none"}`))
	if err != nil || o.Slice.Err == nil {
		t.Fatal(err, o)
	}
	r.s.BeginList()
	r.s.Put(at(1), o.Slice)
	r.s.EndList(at(1))
	r.took(1, "")
	if r.s.Refused() != 1 {
		t.Error("not counted")
	}
}

func TestAChangedPortChangesTheAddressOfAll(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.took(0, "u1 active, u2 active")
	s := slc("a", "u1@10.0.0.1", "u2@10.0.0.2")
	s.Ports[0].Number = 81
	r.s.Put(at(1), s)
	r.took(1, "u1 active, u2 active")
	if got := r.s.All(at(1))[1].Addr; got != "10.0.0.2:81" {
		t.Error(got)
	}
}

// Guards against an API server that was set back to before a pod ended: the pod is gone, and gets nothing new.
func TestAPodThatHasEndedAndLeftDoesNotComeBack(t *testing.T) {
	t.Parallel()
	r := newSet(t)
	r.s.Put(at(0), slc("a", "u1@10.0.0.1"))
	r.took(0, "u1 active")
	r.s.Put(at(1), slc("a", "u1@10.0.0.1 t"))
	r.took(1, "u1 leaving")
	r.s.Put(at(2), slc("a"))
	r.took(2, "u1 leaving")
	r.took(3, "u1 left")
	r.s.Put(at(4), slc("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.took(4, "u1 leaving, u2 active")
	for i := range 2 * mostEnded { // what is kept of them is bounded
		r.s.Put(at(5), slc("b", fmt.Sprintf("v%d@10.0.1.1 t", i)))
	}
	if len(r.s.ended) != mostEnded || len(r.s.endedList) != mostEnded {
		t.Errorf("%d and %d are kept", len(r.s.ended), len(r.s.endedList))
	}
}

func TestTheSetIsBounded(t *testing.T) {
	t.Parallel()
	p := partner
	p.MaxEndpoints = 100
	s := NewSet(p)
	for round := range 30 {
		for i := range 40 {
			var entries []string
			for j := range 10 {
				entries = append(entries, fmt.Sprintf("u%d-%d-%d@10.0.%d.%d", round, i, j, i, j))
			}
			s.Put(at(float64(round)), slc(fmt.Sprint("s", i), entries...))
		}
		s.TakeChanges(at(float64(round)), 5)
		if len(s.entries) > 100 || len(s.changed) > 200 || len(s.slices) > 100 {
			t.Fatalf("%d entries, %d changed", len(s.entries), len(s.changed))
		}
	}
	if s.Refused() == 0 {
		t.Error("nothing refused")
	}
}

// slowState says what a set of slices makes of each endpoint, by the rules and nothing else.
func slowState(all map[string]Slice, terminated map[string]bool) map[string]membership.Phase {
	out := map[string]membership.Phase{}
	for _, s := range all {
		for _, e := range s.Entries {
			p := membership.Active
			if !e.Ready || e.Terminating || terminated[e.UID] {
				p = membership.Leaving
			}
			if old, ok := out[e.UID]; ok {
				p = min(p, old)
			}
			out[e.UID] = p
		}
	}
	return out
}

func TestTheSetDoesWhatTheSlowModelDoes(t *testing.T) {
	t.Parallel()
	drawEntry := rapid.Custom(func(t *rapid.T) string {
		n := rapid.IntRange(1, 5).Draw(t, "n")
		return fmt.Sprintf("u%d@10.0.0.%d %s", n, n, rapid.SampledFrom([]string{"", "", "", "n", "t"}).Draw(t, "flags"))
	})
	rapid.Check(t, func(t *rapid.T) {
		set := NewSet(partner)
		table, err := membership.New(membership.Settings{Sources: []string{"s"}})
		if err != nil {
			t.Fatal(err)
		}
		now := start
		all := map[string]Slice{}
		terminated := map[string]bool{} // for ever: there are few
		dropped := map[string]time.Time{}
		seen := map[string]bool{} // slices in the list that is being read; nil if none is
		listing := false
		note := func() {
			state := slowState(all, nil)
			for _, s := range all {
				for _, e := range s.Entries {
					terminated[e.UID] = terminated[e.UID] || e.Terminating
				}
			}
			for uid := range state {
				delete(dropped, uid)
			}
		}
		was := map[string]membership.Phase{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "slice")
			key := "partners/" + name
			switch rapid.SampledFrom([]string{"put", "put", "put", "remove", "begin", "end"}).Draw(t, "what") {
			case "put":
				s := slc(name, rapid.SliceOfN(drawEntry, 0, 4).Draw(t, "entries")...)
				set.Put(now, s)
				all[key], seen[key] = s, true
			case "remove":
				set.Remove(now, key)
				delete(all, key)
			case "begin":
				set.BeginList()
				listing = true
				clear(seen)
			case "end":
				if !listing {
					continue
				}
				set.EndList(now)
				listing = false
				maps.DeleteFunc(all, func(key string, _ Slice) bool { return !seen[key] })
			}
			note()
			named := slowState(all, terminated)
			for uid := range was {
				if _, ok := named[uid]; !ok && dropped[uid].IsZero() {
					dropped[uid] = now
				}
			}
			want := maps.Clone(named)
			for uid, at := range dropped {
				want[uid] = membership.Leaving
				if !listing && now.Sub(at) >= defaultEmptyHold || !listing && now.Sub(at) >= defaultGrace && len(named) > 0 {
					delete(want, uid)
				}
			}
			changes, more := set.TakeChanges(now, 0)
			if more {
				t.Fatal("something was held back")
			}
			if _, refused, err := table.Apply(now, "s", membership.Update{Endpoints: changes}); err != nil || len(refused) > 0 {
				t.Fatal(err, refused)
			}
			got := map[string]membership.Phase{}
			for _, e := range table.List() {
				got[strings.TrimPrefix(e.ID, "7/")] = e.Phase
			}
			for uid, phase := range named {
				if got[uid] != phase {
					t.Fatalf("%s: %v, want %v\n%v", uid, got[uid], phase, all)
				}
			}
			for uid, phase := range got {
				if phase == membership.Active && named[uid] != membership.Active {
					t.Fatalf("%s is active, and no slice says so", uid)
				}
				if _, ok := want[uid]; !ok && !set.isHeld(uid) {
					t.Fatalf("%s is still there; dropped at %v, now %v", uid, dropped[uid], now)
				}
			}
			for uid := range was {
				if _, ok := got[uid]; !ok { // it has left: the set may forget what it knew
					delete(dropped, uid)
				}
			}
			was = got
		}
	})
}

// isHeld tells whether an endpoint is kept longer since a list named nobody.
func (s *Set) isHeld(uid string) bool {
	return slices.ContainsFunc(s.held, func(d drop) bool { return d.holds() && d.e.id == "7/"+uid })
}

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

// testSlice returns a slice. Each entry is "uid@host", followed by a space and "n" if it is not ready, "t" if it is
// terminating.
func testSlice(name string, entries ...string) Slice {
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

// setTest is a test of one Set.
type setTest struct {
	*testing.T
	s *Set
}

func newSetTest(t *testing.T) setTest { return setTest{t, NewSet(partner)} }

// wantChanges takes the changes s seconds after start and compares them with "id phase" of each.
func (r setTest) wantChanges(s float64, want string) {
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

func TestWorstStateOfConflictingSlicesCounts(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	service := func(name, entry string) Slice { // not a pod, since a terminating pod stays Leaving
		s := testSlice(name, entry)
		s.Entries[0].Pod = false
		return s
	}
	r.s.Put(at(0), service("a", "u1@10.0.0.1"))
	r.wantChanges(0, "u1 active")
	r.s.Put(at(1), service("b", "u1@10.0.0.1 n"))
	r.wantChanges(1, "u1 leaving")
	r.s.Put(at(2), service("c", "u1@10.0.0.1 t"))
	r.wantChanges(2, "u1 leaving")
	r.s.Remove(at(3), "partners/b")
	r.wantChanges(3, "") // still terminating in c
	r.s.Remove(at(4), "partners/c")
	r.wantChanges(4, "u1 active") // only a lists it now
	r.s.Remove(at(5), "partners/a")
	r.wantChanges(5, "u1 leaving")
	r.wantChanges(5.2, "")
	r.wantChanges(5.3, "u1 left")
}

func TestTerminatingPodStaysLeaving(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1"))
	r.s.Put(at(0), testSlice("b", "u1@10.0.0.1 t"))
	r.wantChanges(0, "u1 leaving")
	r.s.Remove(at(1), "partners/b")
	r.wantChanges(1, "u1 leaving")
	r.s.Put(at(2), testSlice("a", "u1@10.0.0.1 n"))
	r.s.Put(at(3), testSlice("a", "u1@10.0.0.1")) // an API server that was restored to an older state
	r.wantChanges(3, "u1 leaving")
	r.s.Put(at(4), testSlice("a", "u2@10.0.0.1")) // a new pod at the old address
	r.wantChanges(4, "u1 leaving, u2 active")
	r.wantChanges(5, "u1 left")
}

func TestServingTerminatingEndpointIsNeverActive(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	s := testSlice("a", "u1@10.0.0.1 t", "u2@10.0.0.2 t") // the only endpoints, and ready because of publishNotReadyAddresses
	r.s.Put(at(0), s)
	r.wantChanges(0, "u1 leaving, u2 leaving")
}

func TestEndpointMovingBetweenSlicesNeverLeaves(t *testing.T) {
	t.Parallel()
	moves := map[string][]func(*Set, time.Time){
		"dropped first": {
			func(s *Set, at time.Time) { s.Put(at, testSlice("a", "u2@10.0.0.2")) },
			func(s *Set, at time.Time) { s.Put(at, testSlice("b", "u1@10.0.0.1")) },
		},
		"added first": {
			func(s *Set, at time.Time) { s.Put(at, testSlice("b", "u1@10.0.0.1")) },
			func(s *Set, at time.Time) { s.Put(at, testSlice("a", "u2@10.0.0.2")) },
		},
		"its slice removed first": {
			func(s *Set, at time.Time) { s.Remove(at, "partners/a") },
			func(s *Set, at time.Time) { s.Put(at, testSlice("b", "u1@10.0.0.1", "u2@10.0.0.2")) },
		},
	}
	for name, steps := range moves {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newSetTest(t)
			r.s.Put(at(0), testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2"))
			r.wantChanges(0, "u1 active, u2 active")
			for i, step := range steps {
				now := at(1 + 0.2*float64(i))
				step(r.s, now)
				changes, _ := r.s.TakeChanges(now, 0)
				for _, e := range changes {
					if e.Phase == membership.Left {
						t.Errorf("step %d: %s is Left", i, e.ID)
					}
				}
				if got := len(r.s.All(now)); got != 2 {
					t.Errorf("step %d: %d endpoints, want 2", i, got)
				}
			}
			r.wantChanges(10, "")
			if got := show(r.s.All(at(10))); got != "u1 active, u2 active" {
				t.Error(got)
			}
		})
	}
}

func TestDroppedEndpointIsLeavingAtOnce(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.wantChanges(0, "u1 active, u2 active")
	r.s.Put(at(1), testSlice("a", "u2@10.0.0.2"))
	r.wantChanges(1, "u1 leaving")
}

func TestRemovalDoesNotWaitForAdditions(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1"))
	r.wantChanges(0, "u1 active")
	var many []string
	for i := range 50 {
		many = append(many, fmt.Sprintf("v%02d@10.0.1.%d", i, i))
	}
	r.s.Put(at(1), testSlice("b", many...))
	changes, more := r.s.TakeChanges(at(1), 10)
	if len(changes) != 10 || !more {
		t.Fatal(len(changes), more)
	}
	r.s.Put(at(1), testSlice("a", "u1@10.0.0.1 t"))
	changes, more = r.s.TakeChanges(at(1), 10)
	if len(changes) != 11 || !more || changes[0].ID != "7/u1" {
		t.Errorf("changes %v, more to come: %v", show(changes), more)
	}
	r.s.Put(at(1), testSlice("b")) // the additions not yet taken are removed again: no change is left over
	changes, more = r.s.TakeChanges(at(1), 10)
	if more || len(r.s.changed) > 0 {
		t.Errorf("changes %v, more to come: %v", show(changes), more)
	}
}

func TestListDrainsAtOnceAndRemovesAtItsEnd(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.BeginList()
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.s.Put(at(0), testSlice("b", "u3@10.0.0.3"))
	r.s.EndList(at(0))
	r.wantChanges(0, "u1 active, u2 active, u3 active")
	r.s.BeginList()
	r.s.Put(at(1), testSlice("a", "u1@10.0.0.1 t"))
	r.wantChanges(1, "u1 leaving, u2 leaving")
	r.wantChanges(60, "") // the list is still being read: a later slice may contain u2
	r.s.Put(at(60), testSlice("c", "u2@10.0.0.2"))
	r.wantChanges(60, "u2 active")
	if r.s.EndList(at(61)) {
		t.Error("EndList reports an empty list")
	}
	r.wantChanges(61, "u3 leaving")
	r.wantChanges(62, "u3 left")
}

func TestIncompleteListRemovesNothing(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.BeginList()
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1"))
	r.s.Put(at(0), testSlice("b", "u2@10.0.0.2"))
	r.s.EndList(at(0))
	r.wantChanges(0, "u1 active, u2 active")
	r.s.BeginList()
	r.s.Put(at(1), testSlice("a", "u1@10.0.0.1"))
	r.s.BeginList() // the first list was not completed
	r.s.Put(at(2), testSlice("b", "u2@10.0.0.2"))
	r.wantChanges(3, "")
	r.s.EndList(at(3))
	r.wantChanges(3, "u1 leaving")
}

func TestEmptyListDrainsEndpointsBeforeRemoval(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	list := func(s float64, all ...Slice) bool {
		r.s.BeginList()
		for _, one := range all {
			r.s.Put(at(s), one)
		}
		return r.s.EndList(at(s))
	}
	if list(0) {
		t.Error("EndList reports that an empty first list dropped endpoints")
	}
	list(1, testSlice("a", "u1@10.0.0.1"))
	r.wantChanges(1, "u1 active")
	if !list(2) {
		t.Error("EndList does not report an empty list")
	}
	r.wantChanges(2, "u1 leaving")
	r.wantChanges(30, "")
	list(31, testSlice("a", "u1@10.0.0.1"))
	r.wantChanges(31, "u1 active")
	if !list(40, testSlice("a")) {
		t.Error("EndList does not report a list of slices without endpoints")
	}
	r.wantChanges(40, "u1 leaving")
	r.wantChanges(99.9, "")
	r.wantChanges(100, "u1 left")
}

func TestAbsentConditionsAndUnusableEntries(t *testing.T) {
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
	if o.Slice.UnreadableEntries != 2 || !errors.Is(o.Slice.Err, errWrongType) {
		t.Errorf("%d unreadable entries, want 2: %v", o.Slice.UnreadableEntries, o.Slice.Err)
	}
	r := newSetTest(t)
	r.s.Put(at(0), o.Slice)
	r.wantChanges(0, "10.0.0.4:80 leaving, 10.0.0.1:80 active, 10.0.0.2:80 active, 10.0.0.3:80 active, 10.0.0.8:80 active")
	if e := r.s.All(at(0))[4]; e.Zone != "west" || e.Hints != "east,north" || e.Dest != 7 || e.Kind != "hooks" {
		t.Errorf("endpoint %+v", e)
	}
	if r.s.Refused() != 7 {
		t.Errorf("%d entries refused, want 7", r.s.Refused())
	}
}

func TestDualStackEndpointUsesPreferredAddress(t *testing.T) {
	t.Parallel()
	for _, v6 := range []bool{false, true} {
		p := partner
		p.PreferIPv6 = v6
		s := NewSet(p)
		s.Put(at(0), testSlice("b6", "u1@fd00::1", "u2@fd00::2"))
		s.Put(at(0), testSlice("a4", "u1@10.0.0.1"))
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

func TestSinglePortNeedsNoName(t *testing.T) {
	t.Parallel()
	p := partner
	p.PortName = ""
	s := testSlice("a", "u1@10.0.0.1")
	s.Ports = []Port{{"web", 8080, true}}
	if got := p.port(&s); got != 8080 {
		t.Errorf("port %d of one, want 8080", got)
	}
	s.Ports = append(s.Ports, Port{"admin", 8081, true})
	if got := p.port(&s); got != 0 {
		t.Errorf("port %d of two, want 0", got)
	}
	s.Ports = nil
	if got := p.port(&s); got != 0 {
		t.Errorf("port %d of none, want 0", got)
	}
}

func TestUnreadableSliceKeepsItsLastState(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1"))
	r.wantChanges(0, "u1 active")
	o, err := decodeSlice([]byte(`{"metadata":{"namespace":"partners","name":"a"},"addressType":"IPv4","endpoints":"none"}`))
	if err != nil || o.Slice.Err == nil {
		t.Fatal(err, o)
	}
	r.s.BeginList()
	r.s.Put(at(1), o.Slice)
	r.s.EndList(at(1))
	r.wantChanges(1, "")
	if r.s.Refused() != 1 {
		t.Error("the unreadable slice is not counted as refused")
	}
}

func TestChangedPortChangesAllAddresses(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.wantChanges(0, "u1 active, u2 active")
	s := testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2")
	s.Ports[0].Number = 81
	r.s.Put(at(1), s)
	r.wantChanges(1, "u1 active, u2 active")
	if got := r.s.All(at(1))[1].Addr; got != "10.0.0.2:81" {
		t.Error(got)
	}
}

// An API server that was restored to an older state may list a pod that has terminated since. The pod gets no new calls.
func TestTerminatedPodIsNeverActiveAgain(t *testing.T) {
	t.Parallel()
	r := newSetTest(t)
	r.s.Put(at(0), testSlice("a", "u1@10.0.0.1"))
	r.wantChanges(0, "u1 active")
	r.s.Put(at(1), testSlice("a", "u1@10.0.0.1 t"))
	r.wantChanges(1, "u1 leaving")
	r.s.Put(at(2), testSlice("a"))
	r.wantChanges(2, "u1 leaving")
	r.wantChanges(3, "u1 left")
	r.s.Put(at(4), testSlice("a", "u1@10.0.0.1", "u2@10.0.0.2"))
	r.wantChanges(4, "u1 leaving, u2 active")
	for i := range 2 * maxTerminated { // the number of remembered pods is limited
		r.s.Put(at(5), testSlice("b", fmt.Sprintf("v%d@10.0.1.1 t", i)))
	}
	if len(r.s.terminated) != maxTerminated || len(r.s.terminatedOrder) != maxTerminated {
		t.Errorf("terminated has %d pods, terminatedOrder has %d", len(r.s.terminated), len(r.s.terminatedOrder))
	}
}

func TestSetIsBounded(t *testing.T) {
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
			s.Put(at(float64(round)), testSlice(fmt.Sprint("s", i), entries...))
		}
		s.TakeChanges(at(float64(round)), 5)
		if len(s.endpoints) > 100 || len(s.changed) > 200 || len(s.slices) > 100 {
			t.Fatalf("%d endpoints, %d changes waiting, or too many slices", len(s.endpoints), len(s.changed))
		}
	}
	if s.Refused() == 0 {
		t.Error("no entry was refused")
	}
}

// modelState is a reference implementation of the rules. It computes the phase of each endpoint from the slices and the
// pods that have been terminating.
func modelState(all map[string]Slice, terminated map[string]bool) map[string]membership.Phase {
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

func TestSetMatchesModel(t *testing.T) {
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
		terminated := map[string]bool{} // not limited, since there are few
		dropped := map[string]time.Time{}
		seen := map[string]bool{} // slices of the current list
		listing := false
		updateModel := func() {
			state := modelState(all, nil)
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
				s := testSlice(name, rapid.SliceOfN(drawEntry, 0, 4).Draw(t, "entries")...)
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
			updateModel()
			named := modelState(all, terminated)
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
				t.Fatal("TakeChanges held changes back without a limit")
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
					t.Fatalf("%s is active, but the slices do not say so", uid)
				}
				if _, ok := want[uid]; !ok && !set.isHeld(uid) {
					t.Fatalf("%s has not left; dropped at %v, now %v", uid, dropped[uid], now)
				}
			}
			for uid := range was {
				if _, ok := got[uid]; !ok { // it has left, and the set may have forgotten it
					delete(dropped, uid)
				}
			}
			was = got
		}
	})
}

// isHeld reports whether an endpoint is kept for EmptyHold because of an empty list.
func (s *Set) isHeld(uid string) bool {
	return slices.ContainsFunc(s.droppedByEmptyList, func(d drop) bool { return d.stillDropped() && d.endpoint.id == "7/"+uid })
}

package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model is a slow reference implementation of the table's rules. It computes the whole list anew whenever it is asked.
type model struct {
	sources  []string
	remember time.Duration
	claims   map[string]map[string]Endpoint // by source and ID
	left     map[string]time.Time           // when the last source stopped listing the ID
}

func (m *model) apply(now time.Time, source string, u Update) {
	m.forget(now)
	if u.Kind == Failed {
		return
	}
	old := m.claims[source]
	next := map[string]Endpoint{}
	for id, e := range old {
		switch u.Kind {
		case FullList:
			e.Phase = Left
		case Replacement:
			continue
		}
		next[id] = e
	}
	whole := u.Kind == FullList || u.Kind == Replacement
	seen := map[string]Phase{}
	for _, e := range u.Endpoints {
		c, known := next[e.ID]
		if _, twice := seen[e.ID]; whole && !twice {
			c, known = old[e.ID]
		}
		switch {
		case e.Check() != nil:
			if !known {
				continue
			}
			c.Phase = min(c.Phase, Leaving)
		case e.Phase == Left:
			c.ID, c.Phase = e.ID, Left
		default:
			c = e
		}
		if p, twice := seen[e.ID]; twice && whole {
			c.Phase = min(c.Phase, p)
		}
		seen[e.ID] = c.Phase
		next[e.ID] = c
	}
	m.claims[source] = next
	m.updateLeft(now)
}

// updateLeft records when the last source stopped listing an ID.
func (m *model) updateLeft(now time.Time) {
	ids := map[string]bool{}
	for _, c := range m.claims {
		for id := range c {
			ids[id] = true
		}
	}
	for id := range m.left {
		if !ids[id] {
			delete(m.left, id) // no source has a claim on it any more
		}
	}
	for id := range ids {
		named := false
		for _, c := range m.claims {
			if e, ok := c[id]; ok && e.Phase != Left {
				named = true
			}
		}
		if named {
			delete(m.left, id)
		} else if _, ok := m.left[id]; !ok {
			m.left[id] = now
		}
	}
}

// forget removes endpoints that left at least the time remember ago.
func (m *model) forget(now time.Time) {
	for id, at := range m.left {
		if now.Sub(at) >= m.remember {
			for _, c := range m.claims {
				delete(c, id)
			}
			delete(m.left, id)
		}
	}
}

// list merges the claims on each endpoint.
func (m *model) list() (list []Endpoint) {
	ids := map[string]bool{}
	for _, c := range m.claims {
		for id := range c {
			ids[id] = true
		}
	}
	for id := range ids {
		var named []Endpoint
		e := Endpoint{ID: id, Phase: Active}
		for _, s := range m.sources {
			if c, ok := m.claims[s][id]; ok {
				e.Phase = min(e.Phase, c.Phase)
				if c.Phase != Left {
					named = append(named, c)
				}
			}
		}
		if e.Phase == Left {
			continue
		}
		e.Dest, e.Addr = named[0].Dest, named[0].Addr
		for _, c := range slices.Backward(named) {
			if c.Zone != "" {
				e.Zone = c.Zone
			}
			if c.Weight != 0 {
				e.Weight = c.Weight
			}
			if c.Kind != "" {
				e.Kind = c.Kind
			}
			e.Started = max(e.Started, c.Started)
			if c.Dest != e.Dest {
				e.Phase = Leaving
			}
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	// For each destination and address only one endpoint is Active.
	final := slices.Clone(list)
	for i, e := range list {
		for j, o := range list {
			if i != j && e.Phase == Active && o.Phase == Active && e.Addr == o.Addr && e.Dest == o.Dest &&
				(o.Started > e.Started || o.Started == e.Started && o.ID < e.ID) {
				final[i].Phase = Leaving
			}
		}
	}
	return final
}

func drawEndpoint(t *rapid.T) Endpoint {
	return Endpoint{
		ID:     rapid.SampledFrom([]string{"a", "b", "c", "d", "bad id"}).Draw(t, "id"),
		Addr:   rapid.SampledFrom([]string{"10.0.0.1:80", "10.0.0.2:80", "[::1]:80", "nowhere"}).Draw(t, "addr"),
		Dest:   rapid.SampledFrom([]int{1, 1, 1, 2, -1}).Draw(t, "dest"),
		Zone:   rapid.SampledFrom([]string{"", "east", "west"}).Draw(t, "zone"),
		Kind:   rapid.SampledFrom([]string{"", "hooks"}).Draw(t, "kind"),
		Phase:  rapid.SampledFrom([]Phase{Left, Leaving, Active, Active}).Draw(t, "phase"),
		Weight: rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "weight"), Started: rapid.Int64Range(0, 2).Draw(t, "started"),
	}
}

// checkChanges applies changes to the endpoints reported so far. It fails if a change has no effect or the changes are not
// in the documented order, by phase and then by ID.
func checkChanges(fail func(string, ...any), reported map[string]Endpoint, changes []Endpoint) {
	for i, e := range changes {
		if i > 0 {
			if p := changes[i-1]; p.Phase > e.Phase || p.Phase == e.Phase && p.ID >= e.ID {
				fail("changes in the wrong order: %v", changes)
			}
		}
		old, ok := reported[e.ID]
		if e.Phase == Left && !ok || ok && old == e {
			fail("%v changes nothing", e)
		}
		reported[e.ID] = e
		if e.Phase == Left {
			delete(reported, e.ID)
		}
	}
}

// sortedByID returns the reported endpoints sorted by ID.
func sortedByID(reported map[string]Endpoint) (list []Endpoint) {
	for _, e := range reported {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return slices.Compare([]byte(a.ID), []byte(b.ID)) })
	return list
}

func TestTableMatchesModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		sources := []string{"x", "y", "z"}
		const remember = 10 * time.Second
		table, err := New(Settings{Sources: sources, RememberLeft: remember})
		if err != nil {
			t.Fatal(err)
		}
		m := &model{sources: sources, remember: remember, claims: map[string]map[string]Endpoint{}, left: map[string]time.Time{}}
		reported := map[string]Endpoint{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			source := rapid.SampledFrom(sources).Draw(t, "source")
			u := Update{
				Kind:      rapid.SampledFrom([]UpdateKind{Changes, Changes, FullList, Failed, Replacement}).Draw(t, "kind"),
				Endpoints: rapid.SliceOfN(rapid.Custom(drawEndpoint), 0, 5).Draw(t, "endpoints"),
			}
			changes, _, err := table.Apply(now, source, u)
			if err != nil {
				t.Fatal(err)
			}
			m.apply(now, source, u)
			checkChanges(t.Fatalf, reported, changes)
			want := m.list()
			if got := table.List(); !slices.Equal(got, want) {
				t.Fatalf("table %+v\nmodel %+v", got, want)
			}
			if got := sortedByID(reported); !slices.Equal(got, want) {
				t.Fatalf("changes add up to %+v\nmodel            %+v", got, want)
			}
			for _, e := range want {
				x, known := table.Explain(e.ID)
				if !known || x.Endpoint != e || x.Reason == "" || len(x.Claims) == 0 {
					t.Fatalf("explanation of %s: %+v", e.ID, x)
				}
			}
		}
	})
}

// FuzzMerge applies updates made from bytes: nothing may panic, the changes must add up to the list, and two runs must give
// the same changes.
func FuzzMerge(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
	f.Add([]byte{1, 255, 1, 0, 2, 128, 3, 3, 3, 64, 1, 1, 1, 9, 9, 9})
	f.Fuzz(func(t *testing.T, in []byte) {
		if len(in) > 400 {
			in = in[:400]
		}
		run := func() (trace string) {
			table, err := New(Settings{Sources: []string{"x", "y"}, RememberLeft: 5 * time.Second, MaxEndpoints: 6})
			if err != nil {
				t.Fatal(err)
			}
			reported := map[string]Endpoint{}
			now := start
			for rest := in; len(rest) >= 4; rest = rest[4:] {
				now = now.Add(time.Duration(rest[0]%3) * time.Second)
				u := Update{Kind: UpdateKind(rest[1] % 5)}
				for i := range int(rest[2] % 5) {
					b := rest[3] + byte(i)*37
					u.Endpoints = append(u.Endpoints, Endpoint{
						ID: string(rune('a' + b%9)), Addr: fmt.Sprintf("10.0.0.%d:80", b%3), Dest: int(b>>3) % 2,
						Phase: Phase(b % 4), Weight: float64(b>>2) - 2, Started: int64(b % 2),
					})
				}
				changes, refused, err := table.Apply(now, []string{"x", "y"}[rest[0]>>7], u)
				checkChanges(t.Fatalf, reported, changes)
				if got, want := sortedByID(reported), table.List(); !slices.Equal(got, want) {
					t.Fatalf("changes add up to %v, the list is %v", got, want)
				}
				if len(table.records) > 6 {
					t.Fatalf("%d records, want 6 at most", len(table.records))
				}
				trace += fmt.Sprintln(changes, refused, err)
			}
			return trace
		}
		if a, b := run(), run(); a != b {
			t.Fatalf("two runs differ:\n%s\n%s", a, b)
		}
	})
}

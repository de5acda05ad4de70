package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Settings configures a Table. The zero values are safe defaults.
type Settings struct {
	Sources      []string // names of the sources, in decreasing precedence for fields
	MaxEndpoints int      // limit on endpoints in the table; 0 means 100,000
	// RememberLeft is how long an endpoint that has left is remembered; 0 means 10 minutes. No more than mostGone are
	// remembered, whatever this says.
	RememberLeft time.Duration
}

const (
	defaultMost     = 100_000
	defaultRemember = 10 * time.Minute
	mostGone        = 2048 // endpoints; limits memory in a long flood (20 s of it at 100 leaving per second)
)

// Table merges the claims of all sources into one list of endpoints. It is not safe for concurrent use.
type Table struct {
	most     int
	remember time.Duration
	sources  []*source
	records  map[string]*record
	byAddr   map[addrKey][]*record // records whose claims make them Active at the address; almost always one
	gone     []tomb                // records that no source lists, oldest first; some may be listed again by now
}

type source struct {
	name   string
	rank   int       // index in the table's order
	gen    int       // number of its last full list
	listed bool      // it has sent a full list
	told   time.Time // time of its last update
	failed time.Time // start of the current failure, zero if it works
	err    string    // cause of the current failure
}

// record holds one endpoint with the claims of all sources on it.
type record struct {
	id     string
	claims []claim   // in the table's order of sources
	merged Endpoint  // result of merging the claims, before conflicts over the address are resolved; without a note
	rival  string    // ID of the endpoint that keeps the address instead, "" if this one does
	given  bool      // the caller was last told of it with a phase other than Left
	left   time.Time // when the last source stopped listing it, zero while one lists it
}

// claim is what one source reports about an endpoint.
type claim struct {
	by     *source
	says   Endpoint
	at     time.Time // time of the report
	gen    int       // number of the source's last full list at that time
	cached bool      // comes from a cache
}

type addrKey struct {
	dest int
	addr string
}

// tomb is an entry in the queue of endpoints that have left.
type tomb struct {
	at time.Time
	r  *record
}

// Rejection describes an endpoint of an update that was not accepted as reported.
type Rejection struct {
	ID  string
	Err error // wraps ErrMalformed or ErrFull
}

// ErrFull means that the table has reached its limit of endpoints.
var ErrFull = errors.New("table of endpoints is full")

// New creates an empty table.
func New(s Settings) (*Table, error) {
	t := &Table{
		most: cmp.Or(s.MaxEndpoints, defaultMost), remember: cmp.Or(s.RememberLeft, defaultRemember),
		records: map[string]*record{}, byAddr: map[addrKey][]*record{},
	}
	if t.most < 0 || t.remember < 0 {
		return nil, fmt.Errorf("membership: most %d, remember %v: out of range", s.MaxEndpoints, s.RememberLeft)
	}
	if _, err := t.SetSources(time.Time{}, s.Sources); err != nil {
		return nil, err
	}
	return t, nil
}

// SetSources replaces the list of sources. Sources that are no longer in it lose their claims. An endpoint without any
// other claim has left. It returns the changed endpoints in the same way as Tell.
func (t *Table) SetSources(now time.Time, names []string) ([]Endpoint, error) {
	next := make([]*source, 0, len(names))
	for i, name := range names {
		if name == "" || slices.Contains(names[:i], name) {
			return nil, fmt.Errorf("membership: source %q: names must differ and not be empty", name)
		}
		s := t.source(name)
		if s == nil {
			s = &source{name: name}
		}
		next = append(next, s)
	}
	for i, s := range next {
		s.rank = i
	}
	t.sources = next
	touched := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		r.claims = slices.DeleteFunc(r.claims, func(c claim) bool { return t.source(c.by.name) != c.by })
		slices.SortFunc(r.claims, func(a, b claim) int { return a.by.rank - b.by.rank })
		touched = append(touched, r)
	}
	return t.settle(now, touched), nil
}

func (t *Table) source(name string) *source {
	for _, s := range t.sources {
		if s.name == name {
			return s
		}
	}
	return nil
}

// Apply applies an update of a source. It returns the endpoints whose merged state changed, sorted by phase (Left, Leaving,
// Active) and then by ID, so that endpoints that lose work come first. It also returns the endpoints that were not
// accepted as reported. A malformed endpoint is Leaving if it is already known, and is ignored otherwise. It does not
// affect the other endpoints of the update.
func (t *Table) Apply(now time.Time, name string, u Update) (changes []Endpoint, refused []Rejection, err error) {
	s := t.source(name)
	if s == nil {
		return nil, nil, fmt.Errorf("membership: source %q is not in the table's order", name)
	}
	t.forget(now)
	if u.Kind == Failed {
		if s.failed.IsZero() {
			s.failed = now
		}
		if s.err = ""; u.Err != nil {
			s.err = u.Err.Error()
		}
		return nil, nil, nil
	}
	s.told, s.failed, s.err = now, time.Time{}, ""
	whole := u.Kind == FullList || u.Kind == Replacement
	if whole {
		s.listed = true
		s.gen++
	}
	touched := make([]*record, 0, len(u.Endpoints))
	for _, e := range u.Endpoints {
		r, err := t.claim(now, s, e, whole)
		if err != nil {
			refused = append(refused, Rejection{e.ID, err})
		}
		if r != nil {
			touched = append(touched, r)
		}
	}
	if whole {
		for _, r := range t.records {
			c := r.claimOf(s)
			switch {
			case c == nil || c.gen == s.gen:
				continue
			case u.Kind == Replacement:
				r.claims = slices.DeleteFunc(r.claims, func(c claim) bool { return c.by == s })
			case c.says.Phase == Left:
				continue
			default:
				c.says.Phase, c.says.Note, c.at, c.cached = Left, "not in its whole list", now, false
			}
			touched = append(touched, r)
		}
	}
	return t.settle(now, touched), refused, nil
}

// Restore loads a source's cached claims, as returned by Dump. It must come before the source's first update. A cached
// claim counts until the source reports the endpoint. The source's first full list replaces all of them.
func (t *Table) Restore(now time.Time, name string, claims []Endpoint) (changes []Endpoint, refused []Rejection, err error) {
	s := t.source(name)
	if s == nil {
		return nil, nil, fmt.Errorf("membership: source %q is not in the table's order", name)
	}
	if !s.told.IsZero() {
		return nil, nil, fmt.Errorf("membership: source %q has spoken: its cache is of no more use", name)
	}
	var touched []*record
	for _, e := range claims {
		r, err := t.claim(now, s, e, false)
		if err != nil {
			refused = append(refused, Rejection{e.ID, err})
		}
		if r != nil {
			r.claimOf(s).cached = true
			touched = append(touched, r)
		}
	}
	return t.settle(now, touched), refused, nil
}

// claim records what a source reports about one endpoint. It returns nil if nothing was recorded.
func (t *Table) claim(now time.Time, s *source, e Endpoint, whole bool) (*record, error) {
	err := e.Check()
	r := t.records[e.ID]
	if r == nil {
		switch {
		case err != nil:
			return nil, err
		case len(t.records) >= t.most && !t.forgetOldest():
			return nil, fmt.Errorf("%w: %d", ErrFull, t.most)
		}
		// An unknown endpoint that has left is recorded, too, so that a source that lags behind does not add it.
		r = &record{id: e.ID, merged: Endpoint{ID: e.ID}}
		t.records[e.ID] = r
	}
	c := r.claimOf(s)
	if c == nil {
		if err != nil {
			return nil, err
		}
		at, _ := slices.BinarySearchFunc(r.claims, s.rank, func(c claim, rank int) int { return c.by.rank - rank })
		r.claims = slices.Insert(r.claims, at, claim{by: s})
		c = &r.claims[at]
	}
	worst := Active
	if whole && c.gen == s.gen {
		worst = c.says.Phase // listed twice in one full list: the worse phase counts
	}
	switch {
	case err != nil:
		c.says.Phase, c.says.Note = min(Leaving, c.says.Phase), err.Error()
	case e.Phase == Left:
		c.says.ID, c.says.Phase, c.says.Note = e.ID, Left, e.Note // the other fields stay as they were
	default:
		c.says = e
	}
	if c.says.Phase > worst {
		c.says.Phase, c.says.Note = worst, "named twice in one list"
	}
	c.at, c.gen, c.cached = now, s.gen, false
	return r, err
}

func (r *record) claimOf(s *source) *claim {
	for i := range r.claims {
		if r.claims[i].by == s {
			return &r.claims[i]
		}
	}
	return nil
}

// settle recomputes the touched records and those that share an address with them. It returns the changed endpoints.
func (t *Table) settle(now time.Time, touched []*record) (changes []Endpoint) {
	touched = inOrder(touched)
	affected := touched
	before := make(map[*record]Endpoint, len(touched)) // as the caller knows them
	for _, r := range touched {
		was, is := r.merged, r.merge()
		if was != is {
			before[r] = r.out()
			r.merged = is
			affected = append(affected, t.readdress(r, &was)...)
		}
		switch {
		case len(r.claims) == 0:
			delete(t.records, r.id) // no current source ever reported it
		case r.named(): // while one source lists it, the Left claims of the others must be kept
			r.left = time.Time{}
		case r.left.IsZero():
			r.left = now
			t.gone = append(t.gone, tomb{now, r})
		}
	}
	for _, r := range inOrder(affected) {
		old, known := before[r]
		if !known {
			old = r.out()
		}
		r.rival = t.holder(r)
		e := r.out()
		if r.given && e != old || !r.given && e.Phase != Left {
			changes = append(changes, e)
			r.given = e.Phase != Left
		}
	}
	slices.SortStableFunc(changes, func(a, b Endpoint) int { return cmp.Compare(a.Phase, b.Phase) })
	return changes
}

// inOrder sorts records by ID and removes duplicates, so that no result depends on the iteration order of a map.
func inOrder(list []*record) []*record {
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	return slices.Compact(list)
}

// merge combines the claims on an endpoint.
func (r *record) merge() Endpoint {
	e := Endpoint{ID: r.id, Dest: r.merged.Dest, Addr: r.merged.Addr, Zone: r.merged.Zone, Kind: r.merged.Kind}
	if len(r.claims) == 0 {
		return e
	}
	e.Phase = Active
	first := true
	for i := range r.claims {
		says := &r.claims[i].says
		e.Phase = min(e.Phase, says.Phase)
		if says.Phase == Left {
			continue
		}
		if first {
			e.Dest, e.Addr, e.Zone, e.Kind, first = says.Dest, says.Addr, says.Zone, says.Kind, false
		}
		if says.Dest != e.Dest {
			e.Phase = min(e.Phase, Leaving) // calls for either destination could be wrong
		}
		e.Zone, e.Kind, e.Hints = cmp.Or(e.Zone, says.Zone), cmp.Or(e.Kind, says.Kind), cmp.Or(e.Hints, says.Hints)
		e.Weight, e.Started = cmp.Or(e.Weight, says.Weight), max(e.Started, says.Started)
	}
	return e
}

// readdress moves a record in byAddr from its old address to its current one. It returns the other records at both.
func (t *Table) readdress(r *record, was *Endpoint) (all []*record) {
	if was.Phase == Active {
		key := addrKey{was.Dest, was.Addr}
		rest := slices.DeleteFunc(t.byAddr[key], func(o *record) bool { return o == r })
		if len(rest) == 0 {
			delete(t.byAddr, key)
		} else {
			t.byAddr[key] = rest
		}
		all = append(all, rest...)
	}
	if r.merged.Phase == Active {
		key := addrKey{r.merged.Dest, r.merged.Addr}
		all = append(all, t.byAddr[key]...)
		t.byAddr[key] = append(t.byAddr[key], r)
	}
	return all
}

// holder returns the ID of the endpoint that keeps r's address instead of r, "" if r keeps it.
func (t *Table) holder(r *record) string {
	if r.merged.Phase != Active {
		return ""
	}
	best := r
	for _, o := range t.byAddr[addrKey{r.merged.Dest, r.merged.Addr}] {
		// When a pod takes over the address of another, the new pod is the one that started later.
		if c := cmp.Compare(o.merged.Started, best.merged.Started); c > 0 || c == 0 && o.id < best.id {
			best = o
		}
	}
	if best == r {
		return ""
	}
	return best.id
}

// out returns the endpoint as the caller sees it.
func (r *record) out() Endpoint {
	e := r.merged
	if r.rival != "" {
		e.Phase = min(e.Phase, Leaving)
	}
	return e
}

// forget removes endpoints that left long ago, and the oldest ones beyond mostGone.
func (t *Table) forget(now time.Time) {
	for len(t.gone) > 0 && (now.Sub(t.gone[0].at) >= t.remember || len(t.gone) > mostGone) {
		t.pop()
	}
}

// forgetOldest removes the endpoint that left first. It reports whether there was one.
func (t *Table) forgetOldest() bool {
	for len(t.gone) > 0 {
		if t.pop() {
			return true
		}
	}
	return false
}

// pop takes the first entry off the queue and reports whether its endpoint was removed. The endpoint stays if it has come
// back since. If it has come back and left again, a later entry stands for it.
func (t *Table) pop() bool {
	g := t.gone[0]
	t.gone[0] = tomb{}
	t.gone = t.gone[1:]
	if !g.r.left.Equal(g.at) || t.records[g.r.id] != g.r || g.r.named() {
		return false
	}
	delete(t.records, g.r.id)
	return true
}

// named reports whether a source lists the endpoint now.
func (r *record) named() bool {
	return slices.ContainsFunc(r.claims, func(c claim) bool { return c.says.Phase != Left })
}

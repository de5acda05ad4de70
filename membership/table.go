package membership

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Settings of a Table. Their zeros are safe.
type Settings struct {
	Sources      []string      // the names, from the one whose word on fields counts first
	MaxEndpoints int           // endpoints known at once, at most; 0 is 100,000
	RememberLeft time.Duration // how long who has left stays known; 0 is 10 minutes. At most mostGone do, whatever this says
}

const (
	defaultMost     = 100_000
	defaultRemember = 10 * time.Minute
	mostGone        = 2048 // so that a long flood does not pile up memory: at 100 that leave in a second, 20 s
)

// Table is the one list. It is not safe for concurrent use.
type Table struct {
	most     int
	remember time.Duration
	sources  []*source
	records  map[string]*record
	byAddr   map[addrKey][]*record // who is Active at an address by its claims; almost always one
	gone     []tomb                // records that no source names, the oldest first; some may have come back since
}

type source struct {
	name   string
	rank   int
	gen    int // number of the last whole list
	listed bool
	told   time.Time // when it last told something
	failed time.Time // since when it fails, zero if it does not
	err    string
}

// record is one endpoint.
type record struct {
	id     string
	claims []claim   // in the sources' order
	merged Endpoint  // what the claims make of it, before addresses are compared; without a note
	rival  string    // who holds its address instead, "" if it does itself
	given  bool      // it was given out, as out has it, and not as Left
	left   time.Time // since when no source names it, zero while one does
}

type claim struct {
	by     *source
	says   Endpoint
	at     time.Time
	gen    int
	cached bool
}

type addrKey struct {
	dest int
	addr string
}

type tomb struct {
	at time.Time
	r  *record
}

// Rejection is one endpoint of an update that was not taken as told.
type Rejection struct {
	ID  string
	Err error // wraps ErrMalformed or ErrFull
}

// ErrFull means that the table holds as many endpoints as it may.
var ErrFull = errors.New("table of endpoints is full")

// New makes an empty table.
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

// SetSources puts another order of sources into force. Sources that are no longer among them lose their claims; an
// endpoint that nobody else told of has left. It returns what changed, as Tell does.
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

// Apply takes what a source tells. It returns the endpoints whose merged state changed by it, what takes work away first
// (Left, Leaving, Active) and by ID within that, and what could not be taken as told: an endpoint that is known but now
// malformed is Leaving, one that is not known is left out, and neither spoils the others.
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

// Restore takes what a cache holds of a source's claims, as Dump gave them. It is for the start: the claims count until
// the source speaks of them, and the source's first whole list settles all of them.
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

// claim notes what a source says of one endpoint. It returns nil if there is nothing to note.
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
		// Kept also if all that is known of it is that it has left: a source that lags must not bring it in.
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
		worst = c.says.Phase // named twice in one list: the worse counts
	}
	switch {
	case err != nil:
		c.says.Phase, c.says.Note = min(Leaving, c.says.Phase), err.Error()
	case e.Phase == Left:
		c.says.ID, c.says.Phase, c.says.Note = e.ID, Left, e.Note // its fields stay as they were
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

// settle works out anew what was touched, and what shares an address with it, and returns what changed.
func (t *Table) settle(now time.Time, touched []*record) (changes []Endpoint) {
	touched = inOrder(touched)
	affected := touched
	before := make(map[*record]Endpoint, len(touched)) // as they stand with the taker
	for _, r := range touched {
		was, is := r.merged, r.merge()
		if was != is {
			before[r] = r.out()
			r.merged = is
			affected = append(affected, t.readdress(r, &was)...)
		}
		switch {
		case len(r.claims) == 0:
			delete(t.records, r.id) // no source in use ever told of it
		case r.named(): // as long as one names it, what the others say must stand
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

// inOrder sorts records by id, each once: nothing that comes out may show the order of a map.
func inOrder(list []*record) []*record {
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	return slices.Compact(list)
}

// merge is what the claims make of an endpoint.
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
			e.Phase = min(e.Phase, Leaving) // work for either destination could be wrong
		}
		e.Zone, e.Kind, e.Hints = cmp.Or(e.Zone, says.Zone), cmp.Or(e.Kind, says.Kind), cmp.Or(e.Hints, says.Hints)
		e.Weight, e.Started = cmp.Or(e.Weight, says.Weight), max(e.Started, says.Started)
	}
	return e
}

// readdress moves a record to where its address is now, and returns all that stand where it was and where it is.
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

// holder is the id of the endpoint that holds r's address instead of r, "" if r does.
func (t *Table) holder(r *record) string {
	if r.merged.Phase != Active {
		return ""
	}
	best := r
	for _, o := range t.byAddr[addrKey{r.merged.Dest, r.merged.Addr}] {
		// A pod at an address that another had before is the later one.
		if c := cmp.Compare(o.merged.Started, best.merged.Started); c > 0 || c == 0 && o.id < best.id {
			best = o
		}
	}
	if best == r {
		return ""
	}
	return best.id
}

// out is the endpoint as it is given out.
func (r *record) out() Endpoint {
	e := r.merged
	if r.rival != "" {
		e.Phase = min(e.Phase, Leaving)
	}
	return e
}

// forget drops who has left long ago.
func (t *Table) forget(now time.Time) {
	for len(t.gone) > 0 && (now.Sub(t.gone[0].at) >= t.remember || len(t.gone) > mostGone) {
		t.pop()
	}
}

// forgetOldest drops the endpoint that left first; it tells whether there was one.
func (t *Table) forgetOldest() bool {
	for len(t.gone) > 0 {
		if t.pop() {
			return true
		}
	}
	return false
}

// pop takes the first entry off the queue. It tells whether an endpoint was dropped: the one of the entry may have come
// back since, or have come back and left again, which has an entry of its own.
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

// named tells whether a source names the endpoint now.
func (r *record) named() bool {
	return slices.ContainsFunc(r.claims, func(c claim) bool { return c.says.Phase != Left })
}

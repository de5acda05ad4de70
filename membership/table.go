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
	// RememberLeft is how long an endpoint that has left is remembered; 0 means 10 minutes. No more than
	// maxRememberedLeft are remembered, whatever this says.
	RememberLeft time.Duration
}

const (
	defaultMaxEndpoints = 100_000
	defaultRememberLeft = 10 * time.Minute
	maxRememberedLeft   = 2048 // endpoints; limits memory in a long flood (20 s of it at 100 leaving per second)
)

// Table merges the claims of all sources into one list of endpoints. It is not safe for concurrent use.
type Table struct {
	maxEndpoints int
	rememberLeft time.Duration
	sources      []*source
	records      map[string]*record
	byAddr       map[addrKey][]*record // records whose claims make them Active at the address; almost always one
	leftQueue    []leftEntry           // records that no source lists, oldest first; some may be listed again by now
}

type source struct {
	name        string
	rank        int       // index in the table's order
	listNumber  int       // number of its last full list
	listed      bool      // it has sent a full list
	lastUpdate  time.Time // time of its last update
	failedSince time.Time // start of the current failure, zero if it works
	err         string    // cause of the current failure
}

// record holds one endpoint with the claims of all sources on it.
type record struct {
	id            string
	claims        []claim   // in the table's order of sources
	merged        Endpoint  // result of merging the claims, before conflicts over the address are resolved; without a note
	addressHolder string    // ID of the endpoint that keeps the address instead, "" if this one does
	reported      bool      // it was last reported to the caller with a phase other than Left
	leftSince     time.Time // when the last source stopped listing it, zero while one lists it
}

// claim is what one source reports about an endpoint.
type claim struct {
	source     *source
	endpoint   Endpoint
	reportedAt time.Time // time of the report
	listNumber int       // number of the source's last full list at that time
	cached     bool      // comes from a cache
}

type addrKey struct {
	dest int
	addr string
}

// leftEntry is an entry in the queue of endpoints that have left.
type leftEntry struct {
	leftAt time.Time
	record *record
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
		maxEndpoints: cmp.Or(s.MaxEndpoints, defaultMaxEndpoints), rememberLeft: cmp.Or(s.RememberLeft, defaultRememberLeft),
		records: map[string]*record{}, byAddr: map[addrKey][]*record{},
	}
	if t.maxEndpoints < 0 || t.rememberLeft < 0 {
		return nil, fmt.Errorf("membership: most %d, remember %v: out of range", s.MaxEndpoints, s.RememberLeft)
	}
	if _, err := t.SetSources(time.Time{}, s.Sources); err != nil {
		return nil, err
	}
	return t, nil
}

// SetSources replaces the list of sources. Sources that are no longer in it lose their claims. An endpoint without any
// other claim has left. It returns the changed endpoints in the same way as Apply.
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
		r.claims = slices.DeleteFunc(r.claims, func(c claim) bool { return t.source(c.source.name) != c.source })
		slices.SortFunc(r.claims, func(a, b claim) int { return a.source.rank - b.source.rank })
		touched = append(touched, r)
	}
	return t.recompute(now, touched), nil
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
	t.removeExpired(now)
	if u.Kind == Failed {
		if s.failedSince.IsZero() {
			s.failedSince = now
		}
		if s.err = ""; u.Err != nil {
			s.err = u.Err.Error()
		}
		return nil, nil, nil
	}
	s.lastUpdate, s.failedSince, s.err = now, time.Time{}, ""
	complete := u.Kind == FullList || u.Kind == Replacement
	if complete {
		s.listed = true
		s.listNumber++
	}
	touched := make([]*record, 0, len(u.Endpoints))
	for _, e := range u.Endpoints {
		r, err := t.recordClaim(now, s, e, complete)
		if err != nil {
			refused = append(refused, Rejection{e.ID, err})
		}
		if r != nil {
			touched = append(touched, r)
		}
	}
	if complete {
		for _, r := range t.records {
			c := r.claimOf(s)
			switch {
			case c == nil || c.listNumber == s.listNumber:
				continue
			case u.Kind == Replacement:
				r.claims = slices.DeleteFunc(r.claims, func(c claim) bool { return c.source == s })
			case c.endpoint.Phase == Left:
				continue
			default:
				c.endpoint.Phase, c.endpoint.Note, c.reportedAt, c.cached = Left, "not in its whole list", now, false
			}
			touched = append(touched, r)
		}
	}
	return t.recompute(now, touched), refused, nil
}

// Restore loads a source's cached claims, as returned by Dump. It must come before the source's first update. A cached
// claim counts until the source reports the endpoint. The source's first full list replaces all of them.
func (t *Table) Restore(now time.Time, name string, claims []Endpoint) (changes []Endpoint, refused []Rejection, err error) {
	s := t.source(name)
	if s == nil {
		return nil, nil, fmt.Errorf("membership: source %q is not in the table's order", name)
	}
	if !s.lastUpdate.IsZero() {
		return nil, nil, fmt.Errorf("membership: source %q has spoken: its cache is of no more use", name)
	}
	var touched []*record
	for _, e := range claims {
		r, err := t.recordClaim(now, s, e, false)
		if err != nil {
			refused = append(refused, Rejection{e.ID, err})
		}
		if r != nil {
			r.claimOf(s).cached = true
			touched = append(touched, r)
		}
	}
	return t.recompute(now, touched), refused, nil
}

// recordClaim records what a source reports about one endpoint. It returns nil if nothing was recorded.
func (t *Table) recordClaim(now time.Time, s *source, e Endpoint, whole bool) (*record, error) {
	err := e.Check()
	r := t.records[e.ID]
	if r == nil {
		switch {
		case err != nil:
			return nil, err
		case len(t.records) >= t.maxEndpoints && !t.removeOldest():
			return nil, fmt.Errorf("%w: %d", ErrFull, t.maxEndpoints)
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
		at, _ := slices.BinarySearchFunc(r.claims, s.rank, func(c claim, rank int) int { return c.source.rank - rank })
		r.claims = slices.Insert(r.claims, at, claim{source: s})
		c = &r.claims[at]
	}
	worst := Active
	if whole && c.listNumber == s.listNumber {
		worst = c.endpoint.Phase // listed twice in one full list: the worse phase counts
	}
	switch {
	case err != nil:
		c.endpoint.Phase, c.endpoint.Note = min(Leaving, c.endpoint.Phase), err.Error()
	case e.Phase == Left:
		c.endpoint.ID, c.endpoint.Phase, c.endpoint.Note = e.ID, Left, e.Note // the other fields stay as they were
	default:
		c.endpoint = e
	}
	if c.endpoint.Phase > worst {
		c.endpoint.Phase, c.endpoint.Note = worst, "named twice in one list"
	}
	c.reportedAt, c.listNumber, c.cached = now, s.listNumber, false
	return r, err
}

func (r *record) claimOf(s *source) *claim {
	for i := range r.claims {
		if r.claims[i].source == s {
			return &r.claims[i]
		}
	}
	return nil
}

// recompute recomputes the touched records and those that share an address with them. It returns the changed endpoints.
func (t *Table) recompute(now time.Time, touched []*record) (changes []Endpoint) {
	touched = sortByID(touched)
	affected := touched
	before := make(map[*record]Endpoint, len(touched)) // as the caller knows them
	for _, r := range touched {
		was, merged := r.merged, r.mergeClaims()
		if was != merged {
			before[r] = r.resolved()
			r.merged = merged
			affected = append(affected, t.updateAddress(r, &was)...)
		}
		switch {
		case len(r.claims) == 0:
			delete(t.records, r.id) // no current source ever reported it
		case r.isListed(): // while one source lists it, the Left claims of the others must be kept
			r.leftSince = time.Time{}
		case r.leftSince.IsZero():
			r.leftSince = now
			t.leftQueue = append(t.leftQueue, leftEntry{now, r})
		}
	}
	for _, r := range sortByID(affected) {
		old, known := before[r]
		if !known {
			old = r.resolved()
		}
		r.addressHolder = t.addressHolder(r)
		e := r.resolved()
		if r.reported && e != old || !r.reported && e.Phase != Left {
			changes = append(changes, e)
			r.reported = e.Phase != Left
		}
	}
	slices.SortStableFunc(changes, func(a, b Endpoint) int { return cmp.Compare(a.Phase, b.Phase) })
	return changes
}

// sortByID sorts records by ID and removes duplicates, so that no result depends on the iteration order of a map.
func sortByID(list []*record) []*record {
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	return slices.Compact(list)
}

// mergeClaims combines the claims on an endpoint.
func (r *record) mergeClaims() Endpoint {
	e := Endpoint{ID: r.id, Dest: r.merged.Dest, Addr: r.merged.Addr, Zone: r.merged.Zone, Kind: r.merged.Kind}
	if len(r.claims) == 0 {
		return e
	}
	e.Phase = Active
	first := true
	for i := range r.claims {
		says := &r.claims[i].endpoint
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

// updateAddress moves a record in byAddr from its old address to its current one. It returns the other records at both.
func (t *Table) updateAddress(r *record, was *Endpoint) (others []*record) {
	if was.Phase == Active {
		key := addrKey{was.Dest, was.Addr}
		rest := slices.DeleteFunc(t.byAddr[key], func(o *record) bool { return o == r })
		if len(rest) == 0 {
			delete(t.byAddr, key)
		} else {
			t.byAddr[key] = rest
		}
		others = append(others, rest...)
	}
	if r.merged.Phase == Active {
		key := addrKey{r.merged.Dest, r.merged.Addr}
		others = append(others, t.byAddr[key]...)
		t.byAddr[key] = append(t.byAddr[key], r)
	}
	return others
}

// addressHolder returns the ID of the endpoint that keeps r's address instead of r, "" if r keeps it.
func (t *Table) addressHolder(r *record) string {
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

// resolved returns the endpoint as the caller sees it.
func (r *record) resolved() Endpoint {
	e := r.merged
	if r.addressHolder != "" {
		e.Phase = min(e.Phase, Leaving)
	}
	return e
}

// removeExpired removes endpoints that left long ago, and the oldest ones beyond maxRememberedLeft.
func (t *Table) removeExpired(now time.Time) {
	for len(t.leftQueue) > 0 && (now.Sub(t.leftQueue[0].leftAt) >= t.rememberLeft || len(t.leftQueue) > maxRememberedLeft) {
		t.popLeft()
	}
}

// removeOldest removes the endpoint that left first. It reports whether there was one.
func (t *Table) removeOldest() bool {
	for len(t.leftQueue) > 0 {
		if t.popLeft() {
			return true
		}
	}
	return false
}

// popLeft takes the first entry off the queue and reports whether its endpoint was removed. The endpoint stays if it has
// come back since. If it has come back and left again, a later entry stands for it.
func (t *Table) popLeft() bool {
	g := t.leftQueue[0]
	t.leftQueue[0] = leftEntry{}
	t.leftQueue = t.leftQueue[1:]
	if !g.record.leftSince.Equal(g.leftAt) || t.records[g.record.id] != g.record || g.record.isListed() {
		return false
	}
	delete(t.records, g.record.id)
	return true
}

// isListed reports whether a source lists the endpoint now.
func (r *record) isListed() bool {
	return slices.ContainsFunc(r.claims, func(c claim) bool { return c.endpoint.Phase != Left })
}

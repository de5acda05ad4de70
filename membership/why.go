package membership

import (
	"fmt"
	"strings"
	"time"
)

// List returns all endpoints that have not left, sorted by ID.
func (t *Table) List() []Endpoint {
	list := make([]Endpoint, 0, len(t.records))
	for _, r := range t.sortedRecords() {
		if r.merged.Phase != Left {
			list = append(list, r.resolved())
		}
	}
	return list
}

func (t *Table) sortedRecords() []*record {
	all := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	return sortByID(all)
}

// Len returns the number of endpoints in the table, including remembered ones that have left.
func (t *Table) Len() int { return len(t.records) }

// Get returns an endpoint as it was last reported to the caller, with the phase Left if it is unknown. vouched is true if
// a source has reported the endpoint since the start, false if all claims on it come from a cache.
func (t *Table) Get(id string) (e Endpoint, vouched bool) {
	r := t.records[id]
	if r == nil {
		return Endpoint{ID: id}, false
	}
	for i := range r.claims {
		vouched = vouched || !r.claims[i].cached
	}
	return r.resolved(), vouched
}

// Complete reports whether every source has sent a full list. Until then, an endpoint that is not in the table may still
// exist.
func (t *Table) Complete() bool {
	for _, s := range t.sources {
		if !s.listed {
			return false
		}
	}
	return true
}

// Dump returns all claims of a source sorted by ID, for a cache. It includes endpoints that have left.
func (t *Table) Dump(name string) (claims []Endpoint) {
	s := t.source(name)
	for _, r := range t.sortedRecords() {
		if c := r.claimOf(s); c != nil {
			claims = append(claims, c.endpoint)
		}
	}
	return claims
}

// SourceState describes the current state of a source.
type SourceState struct {
	Name   string
	Listed bool      // it has sent a full list
	Told   time.Time // time of its last update, zero if none
	Failed time.Time // start of the current failure, zero if it works
	Err    string    // cause of the current failure
	Named  int       // number of endpoints that it lists now
}

// Sources returns the states of all sources, in the table's order.
func (t *Table) Sources() []SourceState {
	list := make([]SourceState, len(t.sources))
	for i, s := range t.sources {
		list[i] = SourceState{Name: s.name, Listed: s.listed, Told: s.lastUpdate, Failed: s.failedSince, Err: s.err}
	}
	for _, r := range t.records {
		for _, c := range r.claims {
			if c.endpoint.Phase != Left {
				list[c.source.rank].Named++
			}
		}
	}
	return list
}

// Claim is what one source reports about an endpoint.
type Claim struct {
	Source       string
	Endpoint     Endpoint
	ReportedAt   time.Time // time of the report
	Cached       bool      // comes from a cache: the source has not reported the endpoint since the start
	FailingSince time.Time // start of the source's current failure, zero if it works
}

// Explanation says why an endpoint is in its current phase.
type Explanation struct {
	Endpoint Endpoint // as it was last reported to the caller
	Claims   []Claim  // in the table's order of sources
	Reason   string   // rule that decided the phase
}

// String formats the explanation in a few lines for operators.
func (x Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is %s: %s\n", x.Endpoint.ID, x.Endpoint.Phase, x.Reason)
	for _, c := range x.Claims {
		fmt.Fprintf(&b, "  %s said %s at %s", c.Source, c.Endpoint.Phase, c.ReportedAt.UTC().Format(time.RFC3339Nano))
		if c.Endpoint.Note != "" {
			fmt.Fprintf(&b, " (%s)", c.Endpoint.Note)
		}
		if c.Cached {
			b.WriteString(", as the cache has it")
		}
		if !c.FailingSince.IsZero() {
			fmt.Fprintf(&b, ", and can't be heard since %s", c.FailingSince.UTC().Format(time.RFC3339Nano))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// Explain explains an endpoint's phase. An endpoint that has left can be explained as long as it is remembered.
func (t *Table) Explain(id string) (x Explanation, known bool) {
	r := t.records[id]
	if r == nil {
		return x, false
	}
	x.Endpoint = r.resolved()
	decidingSource := ""
	destinations := map[int]bool{}
	for _, c := range r.claims {
		x.Claims = append(x.Claims, Claim{Source: c.source.name, Endpoint: c.endpoint, ReportedAt: c.reportedAt, Cached: c.cached, FailingSince: c.source.failedSince})
		if c.endpoint.Phase == r.merged.Phase && decidingSource == "" {
			decidingSource = c.source.name
		}
		if c.endpoint.Phase != Left {
			destinations[c.endpoint.Dest] = true
		}
	}
	switch {
	case r.addressHolder != "":
		x.Reason = fmt.Sprintf("its address %s is held by %s, which started later or comes first", r.merged.Addr, r.addressHolder)
	case decidingSource == "":
		x.Reason = "its sources name different destinations"
	case r.merged.Phase == Active:
		x.Reason = "no source says otherwise"
	default:
		x.Reason = fmt.Sprintf("the worst that a source says of it, which is %s", decidingSource)
	}
	if len(destinations) > 1 && decidingSource != "" {
		x.Reason += "; its sources name different destinations"
	}
	return x, true
}

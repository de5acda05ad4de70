package membership

import (
	"fmt"
	"strings"
	"time"
)

// List is the whole list in the order of IDs, without those that have left.
func (t *Table) List() []Endpoint {
	list := make([]Endpoint, 0, len(t.records))
	for _, r := range t.recordsInOrder() {
		if r.merged.Phase != Left {
			list = append(list, r.out())
		}
	}
	return list
}

func (t *Table) recordsInOrder() []*record {
	all := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	return inOrder(all)
}

// Len is how many endpoints the table holds, with those that have left and are remembered.
func (t *Table) Len() int { return len(t.records) }

// Get is one endpoint as it was given out last, Left if nothing is known of it. vouched tells whether a source has spoken
// of it since the start: of the others only a cache does.
func (t *Table) Get(id string) (e Endpoint, vouched bool) {
	r := t.records[id]
	if r == nil {
		return Endpoint{ID: id}, false
	}
	for i := range r.claims {
		vouched = vouched || !r.claims[i].cached
	}
	return r.out(), vouched
}

// Complete tells whether every source has told a whole list: only then does the list say who is not there.
func (t *Table) Complete() bool {
	for _, s := range t.sources {
		if !s.listed {
			return false
		}
	}
	return true
}

// Dump is all that a source claims, in the order of IDs, for a cache; what has left is in it, too.
func (t *Table) Dump(name string) (claims []Endpoint) {
	s := t.source(name)
	for _, r := range t.recordsInOrder() {
		if c := r.claimOf(s); c != nil {
			claims = append(claims, c.says)
		}
	}
	return claims
}

// SourceState is how a source stands.
type SourceState struct {
	Name   string
	Listed bool      // it has told a whole list
	Told   time.Time // when it last told something, zero if never
	Failed time.Time // since when it fails, zero if it does not
	Err    string    // why it fails
	Named  int       // endpoints that it names now
}

// Sources are the states of all sources, in the table's order.
func (t *Table) Sources() []SourceState {
	list := make([]SourceState, len(t.sources))
	for i, s := range t.sources {
		list[i] = SourceState{Name: s.name, Listed: s.listed, Told: s.told, Failed: s.failed, Err: s.err}
	}
	for _, r := range t.records {
		for _, c := range r.claims {
			if c.says.Phase != Left {
				list[c.by.rank].Named++
			}
		}
	}
	return list
}

// Claim is what one source says of an endpoint.
type Claim struct {
	Source       string
	Endpoint     Endpoint
	ReportedAt   time.Time // when it said so
	Cached       bool      // only a cache says so: the source has not spoken of it since the start
	FailingSince time.Time // since when the source fails, zero if it does not
}

// Explanation says why an endpoint is in its state.
type Explanation struct {
	Endpoint Endpoint // as it was given out
	Claims   []Claim  // in the sources' order
	Reason   string   // the rule that decided its phase
}

// String is the explanation in a few lines for people.
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

// Explain explains an endpoint's state. It knows those that have left for as long as they are remembered.
func (t *Table) Explain(id string) (x Explanation, known bool) {
	r := t.records[id]
	if r == nil {
		return x, false
	}
	x.Endpoint = r.out()
	decided := ""
	dests := map[int]bool{}
	for _, c := range r.claims {
		x.Claims = append(x.Claims, Claim{Source: c.by.name, Endpoint: c.says, ReportedAt: c.at, Cached: c.cached, FailingSince: c.by.failed})
		if c.says.Phase == r.merged.Phase && decided == "" {
			decided = c.by.name
		}
		if c.says.Phase != Left {
			dests[c.says.Dest] = true
		}
	}
	switch {
	case r.rival != "":
		x.Reason = fmt.Sprintf("its address %s is held by %s, which started later or comes first", r.merged.Addr, r.rival)
	case decided == "":
		x.Reason = "its sources name different destinations"
	case r.merged.Phase == Active:
		x.Reason = "no source says otherwise"
	default:
		x.Reason = fmt.Sprintf("the worst that a source says of it, which is %s", decided)
	}
	if len(dests) > 1 && decided != "" {
		x.Reason += "; its sources name different destinations"
	}
	return x, true
}

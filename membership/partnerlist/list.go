// Package partnerlist speaks with the platform's discovery, through its agent on this machine: it watches the list of
// endpoints, and delivers notices of messages that were taken and not delivered. Both go by a host alone, so they run
// the same on a simulated one. What the watch hears goes to an engine (Listing) or to a membership table (Source).
package partnerlist

import (
	"bytes"
	"encoding/json"
	"fmt"

	"curlewmux/engine"
	"curlewmux/internal/wire"
	"curlewmux/membership"
)

// Name is this source's name.
const Name = "partner-list"

const (
	listMost    = 8 << 20 // bytes of a list, far over any
	membersMost = 1 << 16 // members of one, which bounds what the shortest ones take in memory
)

// List is discovery's list, or the changes since another one, in its own terms.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Entries  Entries `json:"members"`
}

// Entries are endpoints, 65,536 at most.
type Entries []Entry

// Entry is one endpoint in discovery's list.
type Entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"` // when it last started, Unix time; 0 for long ago
}

// NameIndex give the numbers that the settings have for zones and kinds, -1 for those they don't know. Names come as the
// settings have them, with underscores for spaces and commas.
type NameIndex struct {
	Zone, Kind func(name string) int
}

// UnmarshalJSON reads a JSON array and stops where it has too many elements.
func (e *Entries) UnmarshalJSON(text []byte) error {
	*e = nil
	dec := json.NewDecoder(bytes.NewReader(text))
	switch t, err := dec.Token(); {
	case err != nil:
		return fmt.Errorf("members: %w", err)
	case t == nil: // null
		return nil
	case t != json.Delim('['):
		return fmt.Errorf("members: %v is no list", t)
	}
	for dec.More() {
		if len(*e) == membersMost {
			return fmt.Errorf("members: over %d", membersMost)
		}
		var one Entry
		if err := dec.Decode(&one); err != nil {
			return fmt.Errorf("members[%d]: %w", len(*e), err)
		}
		*e = append(*e, one)
	}
	return nil
}

// decode reads an answer to a watch.
func decode(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// EntryOf is an endpoint in discovery's form.
func EntryOf(e membership.Endpoint) Entry {
	return Entry{
		ID: e.ID, HostPort: e.Addr, Locality: e.Zone, Flavor: e.Kind, Cell: e.Dest, Phase: e.Phase.String(), Size: e.Weight,
		UpSince: e.Started,
	}
}

// Endpoint is what the entry says to a membership table.
func (e *Entry) Endpoint() membership.Endpoint {
	return membership.Endpoint{
		ID: e.ID, Addr: e.HostPort, Dest: e.Cell, Zone: e.Locality, Kind: e.Flavor, Phase: membership.ParsePhase(e.Phase),
		Weight: e.Size, Started: e.UpSince, Note: e.Phase,
	}
}

// Members is what the list says to the engine.
func (l *List) Members(names NameIndex) *engine.Members {
	m := &engine.Members{Source: Name, FullList: l.Complete}
	if len(l.Entries) > 0 {
		m.List = make([]engine.Member, len(l.Entries))
	}
	for i := range l.Entries {
		e := &l.Entries[i]
		m.List[i] = engine.Member{
			ID: e.ID, Addr: e.HostPort, Destination: e.Cell, Zone: names.Zone(wire.Plain(e.Locality)), Kind: names.Kind(wire.Plain(e.Flavor)),
			Phase: phase(e.Phase), Weight: e.Size,
		}
	}
	return m
}

// CachedMembers is what the list says when it comes from before this process began.
func (l *List) CachedMembers(names NameIndex) *engine.Members {
	m := l.Members(names)
	m.FullList, m.Cached = true, true
	return m
}

func phase(s string) engine.Phase {
	switch s {
	case "active":
		return engine.Active
	case "left":
		return engine.Gone
	}
	return engine.Leaving // whatever it is, it is not said that it takes what is new
}

// Package partnerlist is the client of the platform's discovery service, which it reaches through an agent on the same
// machine. It watches the list of endpoints and sends notices of accepted messages that were not delivered. All I/O goes
// through a host.Host, so that it also runs on a simulated one. The lists go to an engine (ListingCallback) or to a
// membership table (Source).
package partnerlist

import (
	"bytes"
	"encoding/json"
	"fmt"

	"curlewmux/engine"
	"curlewmux/internal/wire"
	"curlewmux/membership"
)

// Name is the name of the partner list as a source.
const Name = "partner-list"

const (
	maxListBytes = 8 << 20 // bytes of a list; far more than any real list has
	maxEntries   = 1 << 16 // entries of a list; limits the memory that a list of very short entries takes
)

// List is a full list of endpoints, or the changes since an earlier revision, as discovery sends it.
type List struct {
	Revision int64   `json:"revision"`
	Complete bool    `json:"complete"`
	Entries  Entries `json:"members"`
}

// Entries holds at most maxEntries entries.
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
	UpSince  int64   `json:"up_since_ms"` // last start, Unix ms; 0 if long ago
}

// NameIndex looks up the numbers of zones and kinds in the settings, -1 for unknown ones. Names are passed in as the
// settings write them, with underscores in place of spaces and commas.
type NameIndex struct {
	Zone, Kind func(name string) int
}

// UnmarshalJSON reads a JSON array. It fails as soon as the array has more than maxEntries elements.
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
		if len(*e) == maxEntries {
			return fmt.Errorf("members: over %d", maxEntries)
		}
		var one Entry
		if err := dec.Decode(&one); err != nil {
			return fmt.Errorf("members[%d]: %w", len(*e), err)
		}
		*e = append(*e, one)
	}
	return nil
}

// decode parses the response to a watch call.
func decode(text []byte) (*List, error) {
	l := &List{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// EntryOf converts an endpoint to an entry.
func EntryOf(e membership.Endpoint) Entry {
	return Entry{
		ID: e.ID, HostPort: e.Addr, Locality: e.Zone, Flavor: e.Kind, Cell: e.Dest, Phase: e.Phase.String(), Size: e.Weight,
		UpSince: e.Started,
	}
}

// Endpoint converts the entry for a membership table.
func (e *Entry) Endpoint() membership.Endpoint {
	return membership.Endpoint{
		ID: e.ID, Addr: e.HostPort, Dest: e.Cell, Zone: e.Locality, Kind: e.Flavor, Phase: membership.ParsePhase(e.Phase),
		Weight: e.Size, Started: e.UpSince, Note: e.Phase,
	}
}

// Members converts the list to an event for the engine.
func (l *List) Members(names NameIndex) *engine.Members {
	m := &engine.Members{Source: Name, FullList: l.Complete}
	if len(l.Entries) > 0 {
		m.List = make([]engine.Member, len(l.Entries))
	}
	for i := range l.Entries {
		e := &l.Entries[i]
		m.List[i] = engine.Member{
			ID: e.ID, Addr: e.HostPort, Destination: e.Cell, Zone: names.Zone(wire.Plain(e.Locality)), Kind: names.Kind(wire.Plain(e.Flavor)),
			Phase: parsePhase(e.Phase), Weight: e.Size, Started: e.UpSince,
		}
	}
	return m
}

// CachedMembers converts a list that was stored before this process started.
func (l *List) CachedMembers(names NameIndex) *engine.Members {
	m := l.Members(names)
	m.FullList, m.Cached = true, true
	return m
}

func parsePhase(s string) engine.Phase {
	switch s {
	case "active":
		return engine.Active
	case "left":
		return engine.Gone
	}
	return engine.Leaving // an endpoint in an unknown phase gets no new calls
}

package journal_test

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"curlewmux/engine"
)

// model is a simple implementation of the meaning of records, with which the state of a journal is compared.
type model struct {
	order   []string // ids of live messages, in the order in which they were accepted
	live    map[string]*engine.RestoredMessage
	newest  map[string]bool // ids whose doubt is about the newest attempt alone
	ended   map[string]*engine.RestoredEnd
	leaves  map[uint64]string
	written engine.Timestamp // latest time in any record
}

func newModel() *model {
	return &model{live: map[string]*engine.RestoredMessage{}, newest: map[string]bool{}, ended: map[string]*engine.RestoredEnd{}, leaves: map[uint64]string{}}
}

func (m *model) clone() *model {
	c := &model{slices.Clone(m.order), map[string]*engine.RestoredMessage{}, maps.Clone(m.newest), map[string]*engine.RestoredEnd{}, maps.Clone(m.leaves), m.written}
	for id, r := range m.live {
		v := *r
		c.live[id] = &v
	}
	for id, r := range m.ended {
		v := *r
		c.ended[id] = &v
	}
	return c
}

func (m *model) apply(records []engine.Record) {
	for _, r := range records {
		switch r := r.(type) {
		case *engine.RecAccepted:
			m.order = append(m.order, r.Message.ID)
			m.live[r.Message.ID] = &engine.RestoredMessage{Message: r.Message, Deadline: r.Deadline}
			delete(m.ended, r.Message.ID)
		case *engine.RecAttempts:
			m.written = max(m.written, r.At)
			for _, a := range r.List {
				if l := m.live[a.ID]; l != nil {
					l.Tries++
					m.newest[a.ID] = l.DoubtAt == 0
					if l.DoubtAt == 0 {
						l.DoubtAt, l.DoubtZone = r.At, a.Zone
					}
				}
			}
		case *engine.RecNeverRan:
			if l := m.live[r.ID]; l != nil && m.newest[r.ID] {
				l.DoubtAt, l.DoubtZone, m.newest[r.ID] = 0, 0, false
			}
		case *engine.RecState:
			if l := m.live[r.ID]; l != nil {
				l.Tries, l.DoubtAt, l.DoubtZone = r.Tries, r.DoubtAt, r.DoubtZone
				m.newest[r.ID] = r.DoubtAt != 0 && !r.Settled
				m.written = max(m.written, r.DoubtAt)
			}
		case *engine.RecPendingResult:
			if l := m.live[r.ID]; l != nil {
				l.Pending, l.Message.Body = &engine.PendingResult{Disposition: r.Disposition, RetryAfter: r.RetryAfter, Fingerprint: r.Fingerprint}, nil
			}
		case *engine.RecEnded:
			if m.live[r.ID] != nil {
				delete(m.live, r.ID)
				delete(m.newest, r.ID)
				m.order = slices.DeleteFunc(m.order, func(id string) bool { return id == r.ID })
				if r.Until != 0 {
					m.ended[r.ID] = &engine.RestoredEnd{ID: r.ID, Disposition: r.Disposition, Until: r.Until, Fingerprint: r.Fingerprint}
				}
			}
		case *engine.RecLedgerLeaf:
			m.leaves[r.Number] = string(r.Text)
		case *engine.RecClockStep:
			by := engine.Timestamp(r.By)
			add := func(s *engine.Timestamp) {
				if *s != 0 {
					*s += by
				}
			}
			add(&m.written)
			for _, l := range m.live {
				add(&l.Deadline)
				add(&l.DoubtAt)
			}
			for _, e := range m.ended {
				add(&e.Until)
			}
		}
	}
}

// differs describes how a journal's state differs from the model, or returns "" if it does not. Ids of ended messages
// that have expired may be missing in either.
func (m *model) differs(s *store) string {
	var got []string
	for _, r := range s.Live {
		got = append(got, r.Message.ID)
		if w := m.live[r.Message.ID]; w != nil && !reflect.DeepEqual(r, w) {
			return fmt.Sprintf("live %+v, want %+v", r, w)
		}
	}
	if !slices.Equal(got, m.order) {
		return fmt.Sprintf("live %v, want %v", got, m.order)
	}
	seen := map[string]bool{}
	for _, e := range s.Ended {
		seen[e.ID] = true
		if w := m.ended[e.ID]; (w == nil || *w != *e) && e.Until >= m.written {
			return fmt.Sprintf("ended %+v, want %+v", e, w)
		}
	}
	for id, e := range m.ended {
		if !seen[id] && e.Until >= s.Last.LatestTimestamp {
			return fmt.Sprintf("the id of ended message %s is forgotten", id)
		}
	}
	have := map[uint64]string{}
	for _, l := range s.Leaves {
		have[l.Number] = string(l.Text)
	}
	if !maps.Equal(have, m.leaves) {
		return fmt.Sprintf("leaves %v, want %v", have, m.leaves)
	}
	if s.Last.LatestTimestamp != m.written {
		return fmt.Sprintf("latest timestamp %d, want %d", s.Last.LatestTimestamp, m.written)
	}
	return ""
}

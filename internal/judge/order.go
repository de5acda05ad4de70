package judge

import (
	"slices"
	"time"
)

// turn is an order key at one dispatcher.
type turn struct {
	messages []*message    // as they were handed in, but for some that are long over
	rest     time.Duration // until when the key rests
	by       *message      // whose doubt that is for
}

func (d *dispatcher) turn(key string) *turn {
	t := d.turns[key]
	if t == nil {
		t = &turn{}
		d.turns[key] = t
	}
	return t
}

// earlier tells that a dispatcher took m before o, as far as it can be told from outside: its client had heard so when o
// was handed in, or it was sent first and nothing says that o came before.
func (m *message) earlier(o *message) bool {
	if m.owner != nil && m.taken < o.handed {
		return true
	}
	if len(m.attempts) == 0 || o.owner != nil && o.taken < m.handed {
		return false
	}
	return len(o.attempts) == 0 || m.attempts[0].call.first < o.attempts[0].call.first
}

// busyUntil is when a message of the key no longer kept others back, and what did; false if it still does.
func (m *message) busyUntil() (at time.Duration, why string, ended bool) {
	for _, a := range m.attempts {
		if !a.over {
			return 0, "has an attempt with no outcome", false
		}
		if a.overAt > at {
			at, why = a.overAt, "had an attempt with no outcome"
		}
	}
	switch {
	case m.owner == nil: // nothing is owed, and none can tell how it ends
	case !m.closed:
		return 0, "is unfinished", false
	case m.knownAt > at:
		at, why = m.knownAt, "was unfinished"
	}
	return at, why, true
}

// conflicts counts that a message has to wait for its turn.
func (j *Judge) conflicts(m *message) {
	for _, o := range m.turn.messages {
		if _, _, ended := o.busyUntil(); !ended && o.earlier(m) {
			j.count(OrderConflicts)
			return
		}
	}
}

// inOrder judges a send of a message whose order is kept.
func (j *Judge) inOrder(m *message, c *call) {
	t := m.turn
	if c.first < t.rest && t.by != m {
		j.broke(Order, c.d, m, c.to, "sent %v before the end of its key's rest after the doubt of %s", t.rest-c.first, t.by.id)
	}
	for _, o := range t.messages {
		if o == m || !o.earlier(m) {
			continue
		}
		if at, why, ended := o.busyUntil(); !ended {
			j.broke(Order, c.d, m, c.to, "sent while %s, which comes before it, %s", o.id, why)
		} else if at > c.first {
			j.broke(Order, c.d, m, c.to, "sent from %v on, while %s, which comes before it, %s until %v", c.first, o.id, why, at)
		}
	}
	if len(t.messages) > 32 {
		t.messages = slices.DeleteFunc(t.messages, func(o *message) bool {
			at, _, ended := o.busyUntil()
			return o != m && (o.owner != nil || o.refusedBy != nil) && ended && at <= c.first
		})
	}
}

// unsettled begins the rest of a message's key: an attempt that may still run has ended.
func (j *Judge) unsettled(m *message) {
	t := m.turn
	if j.set.SettleDoubt <= 0 {
		return
	}
	t.rest, t.by = j.now+j.set.SettleDoubt, m
	for _, o := range t.messages {
		if _, _, ended := o.busyUntil(); !ended && o != m {
			j.count(KeyRests)
			return
		}
	}
}

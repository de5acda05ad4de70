package soak

import (
	"maps"
	"slices"
	"time"

	"curlewmux/internal/standin/faultproxy"
)

const (
	noticeSlack  = 350 * time.Millisecond  // after a message's deadline
	restartSlack = 1500 * time.Millisecond // after the process is ready again, in which no notice is overdue
)

// restart is the time of a restart.
type restart struct {
	signal time.Time // the first signal
	silent time.Time // from then on nothing has to be answered
	ready  time.Time // zero while the process is down
}

// excused reports whether the process was silent at some time in a span because of a restart.
func (r *run) excused(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.restarts, func(one restart) bool {
		return one.silent.Before(to) && (one.ready.IsZero() || from.Before(one.ready))
	})
}

// noticeDue returns until when the notice of a message may come. The lock must be held.
func (r *run) noticeDue(m *message) time.Time {
	due := m.deadline.Add(noticeSlack + r.lag)
	for _, one := range r.restarts {
		excusedUntil := one.ready.Add(restartSlack)
		if one.signal.Before(due) && m.deadline.Before(excusedUntil) && due.Before(excusedUntil.Add(r.lag)) {
			due = excusedUntil.Add(r.lag)
		}
	}
	return due
}

// lastNoticeDue returns until when the last notice may come.
func (r *run) lastNoticeDue() (last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.messages {
		if due := r.noticeDue(m); m.accepted && due.After(last) {
			last = due
		}
	}
	return last
}

// report checks the rules and returns what the run has shown.
func (r *run) report() *Report {
	out := &Report{Crowd: r.crowd, Faults: map[faultproxy.Fault]int{}}
	r.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		out.add(r.messages[id])
	}
	out.Submitted, out.Restarts, out.Lag = len(r.messages), len(r.restarts), r.lag
	r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		r.check(id)
	}
	for _, p := range r.proxies {
		for f, n := range p.Counts() {
			out.Faults[f] += n
		}
	}
	out.Violations = r.violations
	return out
}

func (o *Report) add(m *message) {
	if m.accepted {
		o.Accepted++
	}
	if m.accepted && m.delivered {
		o.Delivered++
	}
}

// check checks the rules for one message.
func (r *run) check(id string) {
	r.mu.Lock()
	m := *r.messages[id]
	due := r.noticeDue(&m)
	r.mu.Unlock()
	if m.class == unsafeClass && m.runs > 1 {
		r.violation("message %s ran %d times and may run once", id, m.runs)
	}
	if !m.accepted || m.delivered {
		return
	}
	notices := r.agent.Of(id)
	switch {
	case len(notices) == 0:
		r.violation("message %s (%s) was lost: it ran %d times, with neither a 200 nor a notice", id, m.class, m.runs)
	case notices[0].At.After(due):
		r.violation("the notice of message %s came %v too late", id, notices[0].At.Sub(due))
	}
}

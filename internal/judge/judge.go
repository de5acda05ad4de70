package judge

import (
	"fmt"
	"time"
)

// Judge follows one history. It belongs to one goroutine at a time.
type Judge struct {
	set      Settings
	now      time.Duration
	events   int         // told so far
	found    []Violation // since Handle was entered
	coverage Coverage

	dispatchers map[string]*dispatcher
	inTurn      []*dispatcher // as they were first named
	endpoints   map[string]*endpoint
	places      map[string]*place
	messages    map[string]*message
	calls       map[CallID]*call
	due         dues
}

// New makes a judge that has been told nothing.
func New(s Settings) *Judge {
	return &Judge{
		set: s.withDefaults(), dispatchers: map[string]*dispatcher{}, endpoints: map[string]*endpoint{}, places: map[string]*place{},
		messages: map[string]*message{}, calls: map[CallID]*call{},
	}
}

// Handle tells an event, or only the time if e is nil, and returns what is known broken from it. Times never run back. The
// result is valid until the next call.
func (j *Judge) Handle(at time.Duration, e Event) []Violation {
	j.found = j.found[:0]
	if at < j.now {
		j.nonsense("an event at %v comes after one at %v", at, j.now)
		at = j.now
	}
	j.overdue(at)
	j.now = at
	if j.events++; e != nil {
		e.apply(j)
	}
	return j.found
}

// Finish ends a history. What was overdue while its dispatcher restarted, and that never got ready again, is missing. A rig
// lets the time of all messages pass before.
func (j *Judge) Finish(at time.Duration) []Violation {
	j.Handle(at, nil)
	for _, d := range j.inTurn {
		for _, m := range d.parked {
			if !m.closed {
				j.broke(Missing, d, m, nil, "no end, and its dispatcher did not come back")
			}
		}
	}
	return j.found
}

// Coverage is how often each case has come up.
func (j *Judge) Coverage() Coverage { return j.coverage }

func (j *Judge) count(c Case) { j.coverage[c]++ }

func (j *Judge) broke(r Rule, d *dispatcher, m *message, e *endpoint, format string, args ...any) {
	v := Violation{Rule: r, At: j.now, Text: fmt.Sprintf(format, args...)}
	if d != nil {
		v.Dispatcher = d.name
	}
	if m != nil {
		v.Message = m.id
	}
	if e != nil {
		v.Endpoint = e.id
	}
	j.found = append(j.found, v)
}

func (j *Judge) nonsense(format string, args ...any) {
	j.broke(History, nil, nil, nil, format, args...)
}

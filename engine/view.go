package engine

import (
	"slices"

	"curlewmux/control"
)

// Backlog is what is open for a destination.
type DestinationBacklog struct {
	Destination int
	OldestAge   Time // how long its oldest message has been open in this process
	Condition   control.Condition
}

// Backlog tells of the destinations of open messages, by number. It looks at the oldest messages, so many at most, and more
// says that there are others; it changes nothing.
func (e *Engine) Backlog(most int) (list []DestinationBacklog, more bool) {
	seen := map[int]bool{}
	for m := e.oldest; m != nil; m = m.behind {
		if most--; most < 0 {
			more = true
			break
		}
		if m.phase != held || seen[m.Destination] {
			continue
		}
		seen[m.Destination] = true
		condition, _ := e.Condition(m.Destination)
		list = append(list, DestinationBacklog{m.Destination, e.now.At - m.since, condition})
	}
	slices.SortFunc(list, func(a, b DestinationBacklog) int { return a.Destination - b.Destination })
	return list, more
}

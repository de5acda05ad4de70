package engine

import (
	"slices"

	"curlewmux/control"
)

// DestinationBacklog describes the open messages of a destination.
type DestinationBacklog struct {
	Destination int
	OldestAge   Time // how long the oldest message has been open in this process
	Condition   control.Condition
}

// Backlog returns the destinations of open messages, ordered by number. It looks at the oldest messages, at most limit;
// more says that there are others. It changes nothing.
func (e *Engine) Backlog(limit int) (list []DestinationBacklog, more bool) {
	seen := map[int]bool{}
	for m := e.oldestMessage; m != nil; m = m.next {
		if limit--; limit < 0 {
			more = true
			break
		}
		if m.phase != dispatching || seen[m.Destination] {
			continue
		}
		seen[m.Destination] = true
		condition, _ := e.Condition(m.Destination)
		list = append(list, DestinationBacklog{m.Destination, e.now.At - m.addedAt, condition})
	}
	slices.SortFunc(list, func(a, b DestinationBacklog) int { return a.Destination - b.Destination })
	return list, more
}

package engine

import (
	"slices"

	"curlewmux/control"
)

// DestinationBacklog describes the open messages of a destination.
type Held struct {
	Dest      int
	Oldest    Time // how long the oldest message has been open in this process
	Condition control.Condition
}

// Backlog returns the destinations of open messages, ordered by number. It looks at the oldest messages, at most so many;
// more says that there are others. It changes nothing.
func (e *Engine) Held(most int) (list []Held, more bool) {
	seen := map[int]bool{}
	for m := e.oldest; m != nil; m = m.behind {
		if most--; most < 0 {
			more = true
			break
		}
		if m.phase != held || seen[m.Dest] {
			continue
		}
		seen[m.Dest] = true
		condition, _ := e.Condition(m.Dest)
		list = append(list, Held{m.Dest, e.now.At - m.since, condition})
	}
	slices.SortFunc(list, func(a, b Held) int { return a.Dest - b.Dest })
	return list, more
}

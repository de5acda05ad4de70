package control

import "testing"

// Guards against most messages waiting where slots are scarce and no weights are listed: slow destinations with few
// messages must not get as much slot time each as the one that gets most of the messages.
func TestScarceSlotsGoByTrafficWhereNoWeightIsListed(t *testing.T) {
	t.Parallel()
	const few, step = 4, 10 * Millisecond
	set := testSettings()
	set.Slots, set.MaxOpen = 4, 4000
	entries := []Entry{listEntry(1, 1, 0)}
	for dest := 2; dest < 2+few; dest++ {
		entries = append(entries, listEntry(dest, 1, 0))
	}
	r := newHarness(t, set, entries...)
	latencies := map[int]Time{1: 100 * Millisecond}
	destinationOf, arrived, served := map[MessageID]int{}, map[int]int{}, map[int]int{}
	var pending []dueEvent
	for n := range 2000 {
		var events []Event
		arrive := func(dest int) {
			event := r.arrival(freeClass, dest)
			destinationOf[event.Message] = dest
			arrived[dest]++
			events = append(events, event)
		}
		if n%5 == 0 { // 20 a second, which use two slots
			arrive(1)
		}
		if n%50 == 0 { // 2 a second each, which would use five slots
			for dest := 2; dest < 2+few; dest++ {
				arrive(dest)
			}
		}
		remaining := pending[:0]
		for _, due := range pending {
			if due.at <= r.now+step {
				events = append(events, due.event)
				served[destinationOf[due.event.Message]]++
			} else {
				remaining = append(remaining, due)
			}
		}
		pending = remaining
		for _, id := range sentMessages(r.step(step, events...)) {
			latency := latencies[destinationOf[id]]
			if latency == 0 {
				latency = 600 * Millisecond
			}
			pending = append(pending, dueEvent{r.now + latency, outcomeOf(id, 0, OK)})
		}
	}
	if servedShare := float64(served[1]) / float64(arrived[1]); servedShare < 0.9 {
		t.Errorf("%.2f of the messages are served at the destination that gets most and needs half of the slots", servedShare)
	}
	for dest := 2; dest < 2+few; dest++ {
		if served[dest] < arrived[dest]/5 {
			t.Errorf("destination %d: only %d of %d messages are served", dest, served[dest], arrived[dest])
		}
	}
}

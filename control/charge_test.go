package control

import "testing"

// Slots are scarce, no weights are listed, and one destination gets most of the messages: slow ones that get few must not
// take as much slot-time each, so that most messages wait.
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
	took := map[int]Time{1: 100 * Millisecond}
	dests, came, served := map[MessageID]int{}, map[int]int{}, map[int]int{}
	var out []dueEvent
	for n := range 2000 {
		var events []Event
		arrive := func(dest int) {
			e := r.arrival(freeClass, dest)
			dests[e.Message] = dest
			came[dest]++
			events = append(events, e)
		}
		if n%5 == 0 { // 20 a second, which keep two slots busy
			arrive(1)
		}
		if n%50 == 0 { // 2 a second each, which would keep five busy
			for dest := 2; dest < 2+few; dest++ {
				arrive(dest)
			}
		}
		rest := out[:0]
		for _, o := range out {
			if o.at <= r.now+step {
				events = append(events, o.e)
				served[dests[o.e.Message]]++
			} else {
				rest = append(rest, o)
			}
		}
		out = rest
		for _, id := range sentMessages(r.step(step, events...)) {
			lag := took[dests[id]]
			if lag == 0 {
				lag = 600 * Millisecond
			}
			out = append(out, dueEvent{r.now + lag, outcomeOf(id, 0, OK)})
		}
	}
	if part := float64(served[1]) / float64(came[1]); part < 0.9 {
		t.Errorf("%.2f of the messages are served where most come, at half of the slots", part)
	}
	for dest := 2; dest < 2+few; dest++ {
		if served[dest] < came[dest]/5 {
			t.Errorf("destination %d gets next to nothing: %d of %d", dest, served[dest], came[dest])
		}
	}
}

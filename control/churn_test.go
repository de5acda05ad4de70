package control

import "testing"

// Endpoints, destinations, keys and messages that never return leave nothing behind for longer than two looks.
func TestNothingGrowsWithIdsThatNeverReturn(t *testing.T) {
	s := Settings{
		Instances: 1, Tick: 5 * Millisecond, Slots: 8, MaxOpen: 50, MaxTries: 3, ConnIdle: 5 * Second,
		Classes: []Class{{Name: "a", Aim: Second, Deadline: 2 * Second, Worth: 1, InOrder: true}},
	}
	d, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := 1000 * Second
	most := 0
	for i := range 5000 {
		now += 20 * Millisecond
		ep, id, dest := Endpoint(i+1), MessageID(i+1), i/3
		events := []Event{
			{Kind: List, Entries: []Entry{{Endpoint: ep, Destination: dest, Health: Ready}}},
			{Kind: Arrival, Message: id, Destination: dest, Key: uint64(i + 1), TimeLeft: 2 * Second},
		}
		gone := []Event{{Kind: Withdrawn, Message: id}, {Kind: List, Entries: []Entry{{Endpoint: ep, Destination: dest, Health: Gone}}}}
		for _, a := range append(d.Step(now, events, nil), d.Step(now+s.Tick, gone, nil)...) {
			if a.Kind == Send {
				end := Event{Kind: Outcome, Message: a.Message, Endpoint: a.Endpoint, Result: Result(i % 2), Latency: s.Tick}
				d.Step(now+2*s.Tick, []Event{end}, nil)
			}
		}
		most = max(most, len(d.endpointByID)+len(d.destinationByNumber)+len(d.keys)+len(d.messages)+len(d.destinations)+len(d.idleKeys))
	}
	// In ten seconds 500 endpoints, keys and messages come and go here.
	if most > 4000 {
		t.Errorf("%d ids were remembered at once", most)
	}
	for range 3 {
		now += 2 * cleanupInterval
		d.Step(now, nil, nil)
	}
	if n := len(d.endpointByID) + len(d.destinationByNumber) + len(d.keys) + len(d.messages) + len(d.destinations) + len(d.idleKeys); n > 0 {
		t.Errorf("%d ids are left", n)
	}
}

// Guards against a pause while thousands that went at once are forgotten: a Step forgets a part of them, and the next
// Steps go on.
func TestWhatWentAtOnceIsForgottenInParts(t *testing.T) {
	const n = 5000
	d, err := New(Settings{
		Instances: 1, Tick: 5 * Millisecond, Slots: 8, MaxOpen: 50, MaxTries: 3,
		Classes: []Class{{Name: "a", Aim: Second, Deadline: 2 * Second, Worth: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := Event{Kind: List}
	for i := range n {
		list.Entries = append(list.Entries, Entry{Endpoint: Endpoint(i + 1), Destination: i, Health: Ready})
	}
	now := 1000 * Second
	d.Step(now, []Event{list}, nil)
	now += 2 * cleanupInterval
	events := []Event{{Kind: List, ListKind: ListFull}}
	steps := 0
	for left := len(d.destinations) + len(d.endpointByID); left > 0 && steps < 100; steps++ {
		d.Step(now, events, nil)
		got := len(d.destinations) + len(d.endpointByID)
		if got < left-2*maxCleanupsPerStep {
			t.Fatalf("%d are left after %d", got, left)
		}
		left, events = got, nil
		now += 5 * Millisecond
	}
	if steps > n/maxCleanupsPerStep+3 {
		t.Errorf("it took %d Steps", steps)
	}
}

package control_test

import (
	"testing"

	. "curlewmux/control"
)

// One tenant sends half of the messages that arrive here and has a third of all quotas. A single dispatcher serves
// the whole of each quota, one of ten serves a tenth. With ten the tenant is over its quota, and its messages are
// shed first.
func TestFleetSizeChangesQuotaShares(t *testing.T) {
	t.Parallel()
	shedMessages := func(instances int) (over, within int) {
		set := Settings{
			Instances: 1, Tick: 5 * Millisecond, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
			Classes: []Class{{Name: "a", Aim: 60 * Second, Deadline: 120 * Second, Worth: 1}},
			Tenants: []Tenant{{Name: "greedy", Quota: 100}, {Name: "rest", Quota: 200}},
			Slots:   1, MaxOpen: 64, MaxTries: 3, ConnIdle: 5 * Second,
		}
		d, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 1000 * Second
		d.Step(now, []Event{{Kind: List, ListKind: ListFull, Entries: []Entry{{Endpoint: 1, Health: Draining}}}}, nil)
		d.Step(now, []Event{{Kind: FleetSize, Instances: instances}}, nil)
		tenantOf := map[MessageID]int{}
		for i := range 400 { // 40 a second
			now += 25 * Millisecond
			id := MessageID(i + 1)
			tenantOf[id] = i % 2
			for _, action := range d.Step(now,
				[]Event{{Kind: Arrival, Message: id, Tenant: i % 2, TimeLeft: 100 * Second}}, nil) {
				if action.Kind == Refuse || action.Kind == Fail {
					if tenantOf[action.Message] == 0 {
						over++
					} else {
						within++
					}
				}
			}
		}
		return over, within
	}
	if over, within := shedMessages(1); over > within+10 || within > over+10 {
		t.Errorf("single dispatcher: %d messages of the one tenant and %d of the other are shed", over, within)
	}
	// There is room for 60 messages. At the end nearly all of these are the other tenant's.
	if over, within := shedMessages(10); over < within+30 {
		t.Errorf("one of ten: %d messages of the greedy tenant and %d of the other are shed", over, within)
	}
}

// A change of the number of dispatchers must not change the rate of calls to partners. Each Step sends as many
// messages as without the change.
func TestFleetSizeChangeSendsNoBurst(t *testing.T) {
	t.Parallel()
	messagesPerStep := func(change func(i int) []Event) (counts []int) {
		set := Settings{
			Instances: 4, Tick: 5 * Millisecond, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
			Weights: WeightNominal,
			Classes: []Class{{Name: "a", Aim: 60 * Second, Deadline: 120 * Second, Worth: 1}},
			Slots:   16, MaxOpen: 1000, MaxTries: 3, ConnIdle: 5 * Second, RetryAfter: true, MaxRetryAfter: Second,
		}
		harness := newTickHarness(t, set)
		harness.step(set.Tick, []Event{harness.list(4, func(int) float64 { return 20 })}, nil)
		for i := range 2000 {
			events := change(i)
			if i%3 == 0 {
				events = append(events, harness.arrival(i%4))
			}
			sent := harness.step(set.Tick, events, func(dest int) (Event, Time) {
				if dest == 3 && i%7 == 0 {
					return Event{Result: Refused, RetryAfter: 200 * Millisecond}, 10 * Millisecond
				}
				return Event{Result: OK}, 10 * Millisecond
			})
			counts = append(counts, len(sent))
		}
		return counts
	}
	unchanged := messagesPerStep(func(int) []Event { return nil })
	changed := messagesPerStep(func(i int) []Event {
		switch i {
		case 500:
			return []Event{{Kind: FleetSize, Instances: 1}}
		case 1000:
			return []Event{{Kind: FleetSize, Instances: 40}}
		case 1500:
			return []Event{{Kind: FleetSize}} // out of range: counts as one
		}
		return nil
	})
	for i := range unchanged {
		if unchanged[i] != changed[i] {
			t.Fatalf("Step %d sends %d messages, but %d when the number of dispatchers changes",
				i, unchanged[i], changed[i])
		}
	}
}

package control_test

import (
	"fmt"
	"testing"

	. "curlewmux/control"
)

// blockDestinations gives a dispatcher n destinations with a queued message that cannot be sent. A third of them have
// a call out that is never answered, and a window of one. A third asked for a wait. A third cannot be connected to.
// It returns the time at which it has finished.
func blockDestinations(module stepper, n int) Time {
	now := 1000 * Second
	list := Event{Kind: List, ListKind: ListFull}
	var events []Event
	var lastMessage MessageID
	for dest := range n {
		list.Entries = append(list.Entries, Entry{Endpoint: Endpoint(dest + 1), Destination: dest, Health: Ready})
		for range 2 {
			lastMessage++
			events = append(events,
				Event{Kind: Arrival, Message: lastMessage, Destination: dest, TimeLeft: 3600 * Second})
		}
	}
	tries := map[MessageID]int{}
	acts := module.Step(now, append([]Event{list}, events...), nil)
	for range 300 {
		now += 5 * Millisecond
		events = events[:0]
		for _, action := range acts {
			if action.Kind != Send {
				continue
			}
			ev := Event{Kind: Outcome, Message: action.Message, Attempt: tries[action.Message],
				Result: Refused, RetryAfter: 3600 * Second}
			tries[action.Message]++
			switch int(action.Endpoint) % 3 {
			case 1:
				continue
			case 2:
				ev.Result, ev.RetryAfter = ConnectFailed, 0
			}
			events = append(events, ev)
		}
		acts = module.Step(now, events, acts[:0])
	}
	return now
}

func blockedSettings(n int) Settings {
	return Settings{
		Instances: 2, Tick: 5 * Millisecond, Slots: n, MaxOpen: 4 * n, MaxTries: 1000, MayCancel: true,
		RetryAfter: true, MaxRetryAfter: 3600 * Second, ConnIdle: 5 * Second, ConnectTimeout: Second,
		StreamsPerConn: 1, ColdFrom: 0.2, WarmUp: 10 * Second, TipMultiple: 2, OverloadFor: 2 * Second,
		SettleAfterDoubt: Second, OverShare: 0.05,
		ReportLeft: -1, ReportLimit: -1,
		Classes: []Class{{Name: "a", Aim: 3600 * Second, Deadline: 3600 * Second, Worth: 1, LateWorth: 0.5}},
	}
}

// BenchmarkStep measures a Step without events while n destinations are blocked.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{250, 1000, 4000, 10_000} {
		b.Run(fmt.Sprintf("blocked=%d", n), func(b *testing.B) {
			dispatcher, err := New(blockedSettings(n), 1)
			if err != nil {
				b.Fatal(err)
			}
			now := blockDestinations(dispatcher, n)
			var acts []Action
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * Millisecond
				acts = dispatcher.Step(now, nil, acts[:0])
			}
		})
	}
}

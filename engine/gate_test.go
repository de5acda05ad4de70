package engine

import (
	"slices"
	"testing"
)

// passed tells which answers are among effects, by ticket.
func passed(effects []Effect) (list []Ticket) {
	for _, f := range effects {
		list = append(list, f.(*Answer).Ticket)
	}
	return list
}

func TestTheGateKeepsWhatWaitsForTheStore(t *testing.T) {
	t.Parallel()
	var g Gate
	expect := func(what string, got []Effect, want ...Ticket) {
		t.Helper()
		if !slices.Equal(passed(got), want) {
			t.Errorf("%s: %v pass, want %v", what, passed(got), want)
		}
	}
	answer := func(ticket Ticket, needs Batch) Effect { return &Answer{Ticket: ticket, needs: needs} }
	expect("new", g.Pass(nil, []Effect{answer(1, 0), answer(2, 1), answer(3, 0), answer(4, 2), answer(5, 2), answer(6, 4)}), 1, 3)
	expect("too low", g.Stored(nil, 0))
	expect("stored 1", g.Stored(nil, 1), 2)
	expect("what is stored already", g.Pass(nil, []Effect{answer(7, 1)}), 7)
	g.Failed(2)
	expect("stored 3", g.Stored([]Effect{answer(0, 0)}, 3), 0)
	expect("void", g.Pass(nil, []Effect{&Discard{Batch: 4}}))
	expect("stored 9", g.Stored(nil, 9))
	expect("a lower number", g.Stored(nil, 1))
	expect("below the highest", g.Pass(nil, []Effect{answer(8, 9), answer(9, 10)}), 8)
	expect("stored 10", g.Stored(nil, 10), 9)
	if len(g.held) != 0 {
		t.Errorf("%d effects are kept for nothing", len(g.held))
	}
}

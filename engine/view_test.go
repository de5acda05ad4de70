package engine

import (
	"fmt"
	"slices"
	"testing"

	"curlewmux/control"
)

func TestHeldTellsTheOldestOfEachDestinationWithinItsBound(t *testing.T) {
	t.Parallel()
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	now := Now{At: Epoch, Wall: testWall}
	handle := func(ev Event) {
		for _, f := range e.Handle(now, ev) {
			if a, ok := f.(*Append); ok {
				e.Handle(now, &Stored{Batch: a.Batch})
			}
		}
	}
	var list []Member
	for _, dest := range []int{3, 1, 2} {
		list = append(list, Member{ID: fmt.Sprint("e", dest), Addr: "h", Destination: dest, Phase: Leaving})
	}
	handle(&Members{Source: "s", FullList: true, List: list})
	for i, dest := range []int{3, 1, 3, 2, 1} {
		now.At += control.Second
		handle(&Submit{Ticket: Ticket(i + 1), ExpiresIn: 9 * control.Second, Message: Message{ID: fmt.Sprint("m", i), Class: "unsafe", Destination: dest}})
	}
	now.At += control.Second
	handle(&Withdraw{ID: "m0"}) // the oldest of 3: the next one is now
	for most, want := range map[int][]DestinationBacklog{
		10: {{1, 4 * control.Second, control.Unavailable}, {2, 2 * control.Second, control.Unavailable}, {3, 3 * control.Second, control.Unavailable}},
		2:  {{1, 4 * control.Second, control.Unavailable}, {3, 3 * control.Second, control.Unavailable}},
	} {
		if got, more := e.Backlog(most); !slices.Equal(got, want) || more != (most == 2) {
			t.Errorf("of %d: %v, %v; want %v", most, got, more, want)
		}
	}
}

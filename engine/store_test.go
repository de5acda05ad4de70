package engine

import (
	"fmt"
	"testing"

	"curlewmux/control"
)

// A store that lost thousands of accounts is told them anew some at a time, and nothing is taken on before it has them all:
// an end that is written late must not end a further life of its id.
func TestLostAccountsAreWrittenAnewSomeAtATime(t *testing.T) {
	t.Parallel()
	const n = 3 * mostDirty
	set := testSettings()
	set.Control.MaxOpen = n + n/8
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	now := Now{At: Epoch, Wall: testWall}
	var batches []*Append
	var told Batch
	handle := func(ev Event) (answers []*Answer) {
		for _, f := range e.Handle(now, ev) {
			switch f := f.(type) {
			case *Append:
				batches = append(batches, f)
			case *Answer:
				answers = append(answers, f)
			}
		}
		return answers
	}
	stored := func() { told = batches[len(batches)-1].Batch; handle(&Stored{Batch: told}) }
	in := func(i int) *Submit {
		return &Submit{
			Ticket: Ticket(i), ExpiresIn: 9 * control.Second,
			Message: Message{ID: fmt.Sprint("m", i), Class: "unsafe", Destination: 1, Body: []byte("body")},
		}
	}
	handle(&Members{Source: "s", FullList: true, List: []Member{{ID: "a", Addr: "h", Destination: 1, Phase: Leaving}}})
	for i := range n {
		handle(in(i))
	}
	stored()
	for i := range n / 2 { // half of them end
		handle(&Withdraw{ID: fmt.Sprint("m", i)})
	}
	stored()
	before := len(batches)
	handle(&StoreLost{LastKept: 0})
	anew := 0
	for len(batches) > before {
		b := batches[len(batches)-1]
		if len(b.Records) > mostDirty+3 {
			t.Fatalf("%d records are written anew at once", len(b.Records))
		}
		anew += len(b.Records)
		before = len(batches)
		if len(e.dirty) > 0 {
			for _, a := range handle(in(0)) {
				if a.Kind != Busy {
					t.Fatalf("taken on with %d accounts to be written: %s", len(e.dirty), kinds[a.Kind])
				}
			}
		}
		stored()
	}
	if anew != n {
		t.Errorf("%d accounts were written anew, want %d", anew, n)
	}
	var disk []Record
	for _, b := range batches[n+n/2:] { // what came after the loss is all that there is
		disk = append(disk, b.Records...)
	}
	if got := len(replay(disk).live); got != n-n/2 {
		t.Errorf("the store has %d messages, want %d", got, n-n/2)
	}
	if a := handle(in(0)); len(a) != 1 || a[0].Kind != Accepted {
		t.Errorf("its accounts written, the store takes nothing")
	}
}

// What can't be written anew, as it is over, does not keep the rest from being written.
func TestAccountsThatAreOverHoldNothingUp(t *testing.T) {
	t.Parallel()
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	past := &ended{id: "left", how: Delivered}
	for range 2 * mostDirty {
		e.dirty = append(e.dirty, &message{phase: over})
	}
	e.dirty = append(e.dirty, past)
	e.begin()
	e.writeDirty()
	if len(e.dirty) != 0 || len(e.records) != 1 {
		t.Errorf("%d accounts are left, %d records written", len(e.dirty), len(e.records))
	}
}

// A message whose end is owed holds its body no longer: it may be owed for long.
func TestAnOwedMessageHoldsNoBody(t *testing.T) {
	t.Parallel()
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, &RestoredMessage{Message: Message{ID: "m", Class: "bygone", Body: make([]byte, 100)}, Deadline: testWall + 1e6})
	e.Handle(now, &RestoreComplete{LatestTimestamp: testWall})
	if m := e.byName["m"]; m == nil || m.phase != owing || m.Body != nil {
		t.Errorf("message %+v", m)
	}
	if e.bytes != 0 {
		t.Errorf("%d bytes count as held", e.bytes)
	}
}

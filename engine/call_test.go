package engine

import (
	"testing"

	"curlewmux/control"
)

// A Send that can't be carried out still gets an outcome; otherwise its slot would be lost.
func TestASendThatCantBeMadeGivesItsSlotBack(t *testing.T) {
	t.Parallel()
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	calls := e.addAttempt(nil, control.Action{Kind: control.Send, Message: 7, Endpoint: 9})
	if len(calls) != 0 || len(e.events) != 1 {
		t.Fatalf("%d calls, %d events", len(calls), len(e.events))
	}
	if ev := e.events[0]; ev.Kind != control.Outcome || ev.Message != 7 || ev.Endpoint != 9 || ev.Result != control.Unsent {
		t.Errorf("the module is told %+v", ev)
	}
}

package subscription

import (
	"testing"
	"time"
)

func TestConfirmation(t *testing.T) {
	t.Parallel()
	var c Confirmation
	start := time.Unix(1000, 0)
	if c.Overdue(start.Add(time.Hour)) || c.Listed() {
		t.Error("calls are held without a move")
	}
	if at := c.Moved(start); !at.Equal(start.Add(MovedGrace)) {
		t.Errorf("calls are held from %v on", at)
	}
	if c.Overdue(start.Add(MovedGrace - 1)) {
		t.Error("calls are held too early")
	}
	if at := c.Moved(start.Add(3 * time.Second)); !at.Equal(start.Add(MovedGrace)) {
		t.Errorf("a second move extends the time to %v", at)
	}
	if !c.Overdue(start.Add(MovedGrace)) || c.Overdue(start.Add(MovedGrace)) {
		t.Error("a missing list has to be reported once")
	}
	if !c.Listed() || c.Listed() || c.Overdue(start.Add(time.Hour)) {
		t.Error("a list ends the hold")
	}
	c.Moved(start)
	if c.Listed() || c.Overdue(start.Add(time.Hour)) {
		t.Error("a list in time holds nothing")
	}
}

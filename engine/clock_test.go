package engine

import (
	"testing"
	"time"

	"curlewmux/control"
)

func TestTheClockGoesThereAndBack(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	c := Clock{Start: start}
	if got := c.At(start); got != Epoch {
		t.Errorf("at the start it is %d, want %d", got, Epoch)
	}
	for _, d := range []time.Duration{0, time.Microsecond, 1500 * time.Millisecond, -time.Second, 24 * time.Hour} {
		at := c.At(start.Add(d))
		if want := Epoch + Time(d.Microseconds()); at != want {
			t.Errorf("%v after the start it is %d, want %d", d, at, want)
		}
		if got := c.Time(at); !got.Equal(start.Add(d)) {
			t.Errorf("%v after the start goes back to %v", d, got)
		}
	}
	if got := Duration(1500 * control.Millisecond); got != 1500*time.Millisecond {
		t.Errorf("span %v", got)
	}
	if got := TimestampOf(time.Time{}); got != 0 {
		t.Errorf("the zero time has stamp %d", got)
	}
	if got := TimestampOf(time.Unix(1, 5000)); got != 1_000_005 {
		t.Errorf("stamp %d", got)
	}
}

package engine

import (
	"time"

	"curlewmux/control"
)

// Clock turns a host's time into the engine's, which is Epoch at Start.
type Clock struct{ Start time.Time }

// Epoch is the engine's time when its process starts. It is not 0, so that an age reckoned from before the start is no
// negative time.
const Epoch = 1000 * control.Second

// At is the engine's time at t.
func (c Clock) At(t time.Time) Time { return Epoch + Time(t.Sub(c.Start).Microseconds()) }

// Time is the host's time at t.
func (c Clock) Time(t Time) time.Time { return c.Start.Add(Duration(t - Epoch)) }

// Duration is a span of the engine's time as a duration.
func Duration(t Time) time.Duration { return time.Duration(t) * time.Microsecond }

// TimestampOf is wall time as records keep it, 0 for the zero time.
func TimestampOf(t time.Time) Timestamp {
	if t.IsZero() {
		return 0
	}
	return Timestamp(t.UnixMicro())
}

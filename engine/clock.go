package engine

import (
	"time"

	"curlewmux/control"
)

// Clock converts between the host's time and the engine's time, which is Epoch at Start.
type Clock struct{ Start time.Time }

// Epoch is the engine's time when its process starts. It is greater than 0, so that a moment before the start is not a
// negative time.
const Epoch = 1000 * control.Second

// At returns the engine's time at the host's time t.
func (c Clock) At(t time.Time) Time { return Epoch + Time(t.Sub(c.Start).Microseconds()) }

// Time returns the host's time at the engine's time t.
func (c Clock) Time(t Time) time.Time { return c.Start.Add(Duration(t - Epoch)) }

// Duration converts a duration in the engine's time to a time.Duration.
func Duration(t Time) time.Duration { return time.Duration(t) * time.Microsecond }

// TimestampOf returns t as a Timestamp, 0 for the zero time.
func TimestampOf(t time.Time) Timestamp {
	if t.IsZero() {
		return 0
	}
	return Timestamp(t.UnixMicro())
}

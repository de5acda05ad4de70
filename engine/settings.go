package engine

import (
	"fmt"

	"curlewmux/control"
)

// Settings are told once, at the start. Where a bound is 0 its default counts.
type Settings struct {
	Control control.Settings // of the decision module
	Seed    uint64           // of the module's random numbers

	// HasStore says that there is a store. Without one nothing outlasts the process: there are no records, and no effect
	// waits for one.
	HasStore bool

	// Prompt lets a Step follow each round of the driver at once while messages are held, where others wait for the grid
	// of ticks. It is for callers who wait for each answer; nothing is gathered for a shared call but what comes in one
	// round.
	Prompt bool

	MaxBytes      int    // of the bodies held, in bytes
	MaxIDs        int    // messages whose end is not through yet, and ids of messages that ended
	MaxEndpoints  int    // that sources may tell of, those gone of late counted
	CallBytes     int    // a call with several messages holds so many bytes at most, as it is sent
	KindBytes     []int  // the same for endpoints of a kind, by its number; 0, or none: CallBytes
	Remember      Time   // how long beyond its time an id that ended still counts
	ClassRemember []Time // the same for ids of a class, by its number, where that is longer
	StoreTimeout  Time   // a store that has not answered within this counts as down

	Ledger *LedgerSettings // nil: no books are kept

	// StoredLeaf is set where undelivered messages are kept: RecPendingResult then has Undelivered. It is asked about each message that is
	// handed in and would be taken, on the driver's goroutine, and must not block: a kind other than Taken is what speaks
	// against it, and why.
	CheckUndelivered func(m *Message) (VerdictKind, string)
}

// Defaults of the settings.
const (
	defaultMaxBytes     = 64 << 20
	defaultMaxIDs       = 1 << 16
	defaultMaxEndpoints = 1 << 16
	defaultCallBytes    = 64 << 10                  // what a body may hold (protocol)
	defaultRemember     = 10 * control.Second       // clients repeat a request within a second or two
	defaultPatience     = 300 * control.Millisecond // a client waits 400 ms for its answer
)

func (s *Settings) fill() error {
	for _, b := range []struct {
		name   string
		v      *int
		preset int
	}{
		{"MaxBytes", &s.MaxBytes, defaultMaxBytes}, {"MaxIDs", &s.MaxIDs, defaultMaxIDs},
		{"MaxEndpoints", &s.MaxEndpoints, defaultMaxEndpoints}, {"CallBytes", &s.CallBytes, defaultCallBytes},
	} {
		if *b.v < 0 {
			return fmt.Errorf("setting %s: %d is out of range", b.name, *b.v)
		}
		if *b.v == 0 {
			*b.v = b.preset
		}
	}
	for i, v := range s.KindBytes {
		if v < 0 {
			return fmt.Errorf("setting KindBytes[%d]: %d is out of range", i, v)
		}
	}
	for i, v := range s.ClassRemember {
		if v < 0 {
			return fmt.Errorf("setting ClassRemember[%d]: a negative time is out of range", i)
		}
	}
	if s.Remember < 0 || s.StoreTimeout < 0 {
		return fmt.Errorf("setting Remember or Patience: a negative time is out of range")
	}
	if s.Remember == 0 {
		s.Remember = defaultRemember
	}
	if s.StoreTimeout == 0 {
		s.StoreTimeout = defaultPatience
	}
	return nil
}

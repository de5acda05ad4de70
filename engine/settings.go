package engine

import (
	"fmt"

	"curlewmux/control"
)

// Settings configure an engine. A bound of 0 means its default.
type Settings struct {
	Control control.Settings // of the decision module
	Seed    uint64           // of the module's random source

	// HasStore says that there is a store. Without one nothing survives the process: there are no records, and no effect
	// waits for one.
	HasStore bool

	// Prompt runs a Step right after each round of the driver while messages are open, instead of at the next tick. It is
	// for callers who wait for each result. Only messages that come in one round can then share a call.
	Prompt bool

	// HoldUntilListed gives endpoints no calls while only a cached list names them. It is for sources whose changes count
	// as known to this process from its start on, whether or not it has reached them yet.
	HoldUntilListed bool

	MaxBytes      int    // of the bodies of open messages
	MaxIDs        int    // messages whose clients have not been notified yet, and remembered ids of ended messages
	MaxEndpoints  int    // that sources may report, including those gone recently
	CallBytes     int    // maximum encoded size of a call with several messages
	KindBytes     []int  // the same by the kind of the endpoint; CallBytes if missing or 0
	Remember      Time   // how long after its deadline the id of an ended message is remembered
	ClassRemember []Time // the same by class; the longer time counts
	StoreTimeout  Time   // a store that has not answered within this time counts as down

	Ledger *LedgerSettings // nil: no ledger is kept

	// CheckUndelivered is set if undelivered messages are kept; RecPendingResult then has Undelivered. It is asked about
	// each submitted message that would be accepted. It is called on the driver's goroutine and must not block. A kind
	// other than Accepted rejects the message, for the reason in the string.
	CheckUndelivered func(m *Message) (VerdictKind, string)
}

// Defaults of the settings.
const (
	defaultMaxBytes     = 64 << 20
	defaultMaxIDs       = 1 << 16
	defaultMaxEndpoints = 1 << 16
	defaultCallBytes    = 64 << 10                  // the protocol's limit for a body
	defaultRemember     = 10 * control.Second       // clients repeat a request within one or two seconds
	defaultStoreTimeout = 300 * control.Millisecond // a client waits 400 ms for its response
)

func (s *Settings) setDefaults() error {
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
		return fmt.Errorf("setting Remember or StoreTimeout: a negative time is out of range")
	}
	if s.Remember == 0 {
		s.Remember = defaultRemember
	}
	if s.StoreTimeout == 0 {
		s.StoreTimeout = defaultStoreTimeout
	}
	return nil
}

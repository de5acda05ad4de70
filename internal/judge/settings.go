package judge

import "time"

// Effect says what a repeat of a message does.
type Effect uint8

// Effects of a class.
const (
	Safe   Effect = iota // nothing that matters
	Keyed                // it is dropped while its destination remembers the key
	Unsafe               // it takes effect again
)

func (e Effect) String() string { return [...]string{"safe", "keyed", "unsafe"}[e] }

// Class is a class of messages.
type Class struct {
	Effect    Effect
	ZoneGroup bool          // Keyed: only endpoints of one zone share the memory of keys, else all of the destination
	Window    time.Duration // Keyed: how long a repeat may be sent, from the send of the first attempt in doubt
	InOrder   bool          // its messages of one order key go one at a time
}

// Settings are the figures of the rules. Spans that are 0 take the platform's figure, which stands behind them.
type Settings struct {
	Classes []Class

	MostAttempts int           // for one message; 0: 6
	Drain        time.Duration // sends to an endpoint may begin so long after its drain was told; 0: 1 s
	SettleDoubt  time.Duration // an order key's rest after a time-out, reset or cancel; 0: none

	// A place that comes back cold is pushed over when more than TipMultiple times what it can take now, and PushSlack
	// calls, arrive within OverloadFor. A TipMultiple of 0 judges nothing of this. A call of n messages counts as
	// 1 + (n-1) x ItemWeight.
	TipMultiple float64
	OverloadFor time.Duration
	PushSlack   float64
	ItemWeight  float64
	PushFrom    time.Duration // nothing pushes it over so soon after its return, as a burst is no load that lasts; 0: all does

	End   time.Duration // a message ends so long after its time at the latest; 0: 300 ms
	Ready time.Duration // until so long after a dispatcher is ready again nothing is overdue; 0: 1.5 s
	Cross time.Duration // what is sent so soon after the other side ended something has crossed it; 0: 100 ms
	Slack time.Duration // Drain, End and Ready are so much longer on sockets; 0: 50 ms, below 0: none
}

func (s Settings) withDefaults() Settings {
	if s.MostAttempts == 0 {
		s.MostAttempts = 6
	}
	for _, f := range []struct {
		span *time.Duration
		to   time.Duration
	}{
		{&s.Drain, time.Second}, {&s.End, 300 * time.Millisecond}, {&s.Ready, 1500 * time.Millisecond},
		{&s.Cross, 100 * time.Millisecond}, {&s.Slack, 50 * time.Millisecond},
	} {
		if *f.span == 0 {
			*f.span = f.to
		}
	}
	s.Slack = max(s.Slack, 0)
	return s
}

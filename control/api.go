// Package control decides, for one relay, which message goes where and when.
//
// This file is the whole interface: the settings a Dispatcher starts with,
// the events it is told of and the actions it answers with. It holds no
// decision; those are in control.go.
package control

import "curlewmux/pace"

// Time is an instant on the caller's clock, or a span, in microseconds.
type Time = pace.Time

// Units of Time.
const (
	Millisecond = pace.Millisecond
	Second      = pace.Second
)

// MessageID names a message; no id is used twice.
type MessageID uint64

// Endpoint names an endpoint. It is opaque and only compared.
type Endpoint uint64

// Effect says what repeating a message of a class does.
type Effect uint8

// Effects of a class.
const (
	Free       Effect = iota // may be repeated at will
	Guarded                  // repeats are dropped for a window of time
	SingleShot               // must never take effect twice
)

// Class describes a class of message.
type Class struct {
	Name      string
	Effect    Effect
	ZoneGroup bool    // Guarded: only endpoints of one zone drop repeats (else all of the destination)
	Window    Time    // Guarded: how long repeats are dropped, from the first doubtful send
	Aim       Time    // full worth when delivered within this
	Deadline  Time    // given up after this
	Worth     float64 // worth of one message
	LateWorth float64 // share of the worth left at the deadline
	InOrder   bool    // messages sharing a key go one at a time, in order
}

// Tenant describes a customer and its share of the service.
type Tenant struct {
	Name  string
	Quota float64 // messages a second within its share, over all dispatchers
}

// Kind describes a kind of destination.
type Kind struct {
	Name        string
	Batch       int  // most messages in one call
	RoutesApart bool // endpoints have limits, waits and outages of their own
}

// WeightKind says what Entry.Weight means.
type WeightKind uint8

// Meanings of a listed weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // the rate a destination takes from all dispatchers
	WeightRough                     // the same, but inexact
)

// Settings are told once, at the start.
type Settings struct {
	Me, Instances int // this dispatcher's number and how many there are
	Zone          int
	Tick          Time
	Classes       []Class
	Tenants       []Tenant
	Kinds         []Kind
	Weights       WeightKind
	LateHalving   bool // late worth halves with each further aim, else falls evenly
	OverShare     float64
	ReportLeft    int // position in a report of the share of the limit left, -1 if none
	ReportLimit   int // position in a report of the limit in calls a second, -1 if none

	Slots          int // calls out at once
	MaxOpen        int // messages held, sent or not
	MaxTries       int
	MayCancel      bool
	Probes         bool
	RetryAfter     bool // a refusal may carry a wait
	MaxRetryAfter  Time
	ConnIdle       Time
	ConnectTimeout Time
	StreamsPerConn int

	StopSendingWithin Time
	ColdFrom          float64
	WarmUp            Time
	TipMultiple       float64
	OverloadFor       Time
	SettleAfterDoubt  Time

	// RiskAfter is for senders of little but SingleShot messages, which are no trials of a suspect endpoint: where none
	// of another class is held they pass it by, and one may be its trial once that is overdue by so much. 0: neither.
	RiskAfter Time
}

// EventKind tells what an Event is.
type EventKind uint8

// Kinds of event. The fields each one uses are in brackets.
const (
	Arrival   EventKind = iota + 1 // a new message [Message Class Tenant Dest Key Grace; Restored Tries Doubt DoubtZone Resent]
	Outcome                        // an attempt ended [Message Attempt Endpoint Result Lag Closed Wait Report]
	Started                        // a streamed answer began [Message Attempt Endpoint Lag]
	Withdrawn                      // nobody wants the message any more [Message]
	Tick                           // a timer came due [Mark]
	Probed                         // a probe ended [Endpoint Result Lag Report]
	List                           // the endpoint list [ListKind Entries]
	Pause                          // nothing can be sent until further notice, or again [On]
	Restarted                      // an earlier process of this relay may have left calls out
	FleetSize                      // how many dispatchers there are from now on [Instances]
)

// Result is how an attempt or a probe ended.
type Result uint8

// Results.
const (
	OK Result = iota
	Errored
	Refused
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	Unsent // it never left here: it counts as no try, and nothing is learned from it
)

// NeverRan tells that a result proves the attempt never ran.
func NeverRan(r Result) bool { return r == Refused || r == ConnectFailed || r == Moot || r == Unsent }

// ListKind tells how a List event relates to the list before it.
type ListKind uint8

// Kinds of list.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached
	ListFailed
)

// Health is an endpoint's standing in the list; it says nothing of outages.
type Health uint8

// Standings.
const (
	Draining Health = iota
	Ready
	Gone
)

// Entry is one line of the endpoint list.
type Entry struct {
	Endpoint    Endpoint
	Destination int
	Zone        int
	Kind        int
	Health      Health
	Weight      float64
}

// Event is something a Dispatcher is told.
type Event struct {
	Kind        EventKind
	Message     MessageID
	Class       int
	Tenant      int
	Destination int
	Key         uint64 // 0 is no key
	TimeLeft    Time   // time until the message is given up

	// What an arrival taken over from a journal has behind it; zero for a new message.
	Restored  bool // an earlier process took it on: it is not demand of now
	Tries     int  // attempts so far
	DoubtAge  Time // how long ago the first attempt went out that may have run, 0 if there is none
	DoubtZone int  // the zone it went to
	Resent    bool // it is sent again and can wait: worth as little as what is over its tenant's share, and no demand

	Attempt    int
	Endpoint   Endpoint
	Result     Result
	Closed     bool // the message has ended
	Latency    Time
	RetryAfter Time // told wait, 0 if none
	Report     []float32
	TimerID    uint64
	ListKind   ListKind
	Entries    []Entry
	Paused     bool // Pause: from now on, else no longer

	Instances int // of dispatchers, at least 1
}

// ActionKind tells what an Action is.
type ActionKind uint8

// Kinds of action. The fields each one uses are in brackets.
const (
	Send   ActionKind = iota + 1 // start an attempt [Message Endpoint With After: its time-out, 0 is the deadline]
	Refuse                       // final: handed back, harmless to repeat [Message After: stay away so long]
	Fail                         // final: nothing promised [Message]
	Cancel                       // stop waiting for an attempt [Message Attempt]
	Timer                        // ask for a Tick [After Mark; Message: of no use once that has ended, 0 if always]
	Probe                        // check an endpoint [Endpoint]
	Close                        // close the idle connections to an endpoint [Endpoint]
	Note                         // a line for the operators [Text]
)

// Action is something a Dispatcher wants done.
type Action struct {
	Kind     ActionKind
	Message  MessageID
	Attempt  int
	Endpoint Endpoint
	SameCall bool // in one call, and one slot, with the Send before it; if that can't be, it ends as Unsent
	After    Time
	TimerID  uint64
	Text     string
}

// Package control decides for one dispatcher process which message is sent to which endpoint, and when.
//
// A Dispatcher is given events and returns actions. It does no I/O and reads no clock. This file declares its settings,
// events and actions; the decisions start in control.go.
package control

import "curlewmux/pace"

// Time is an instant on the caller's clock, or a duration, in microseconds.
type Time = pace.Time

// Units of Time.
const (
	Millisecond = pace.Millisecond
	Second      = pace.Second
)

// MessageID identifies a message. No id is used twice.
type MessageID uint64

// Endpoint identifies an endpoint. The value is opaque: it is only compared.
type Endpoint uint64

// Effect tells whether a message of a class may be sent more than once.
type Effect uint8

// Effects of a class.
const (
	Free       Effect = iota // idempotent: may be repeated at any time
	Guarded                  // the destination drops repeats for a limited time, see Class.Window
	SingleShot               // not idempotent: must never take effect twice
)

// Class holds the settings that messages of one class share.
type Class struct {
	Name      string
	Effect    Effect
	ZoneGroup bool    // Guarded: repeats are dropped only by endpoints of the same zone, else by all of the destination
	Window    Time    // Guarded: how long repeats are dropped, counted from the first attempt that may have run
	Aim       Time    // latency up to which a message has its full worth
	Deadline  Time    // latency after which a message is no longer delivered
	Worth     float64 // of one message
	LateWorth float64 // share of the worth that is left at the deadline
	InOrder   bool    // messages that share an order key are sent one at a time, in order
}

// Tenant is a customer with its quota.
type Tenant struct {
	Name  string
	Quota float64 // messages a second, over all dispatchers
}

// Kind holds the settings that destinations of one kind share.
type Kind struct {
	Name        string
	Batch       int  // most messages in one call
	RoutesApart bool // each endpoint has a rate limit, waits and outages of its own
}

// WeightKind tells what Entry.Weight means.
type WeightKind uint8

// Meanings of a listed weight.
const (
	WeightNone    WeightKind = iota // nothing
	WeightNominal                   // the rate that a destination accepts from all dispatchers together
	WeightRough                     // the same, but inexact
)

// Settings configure a Dispatcher. They do not change after New, but for Instances (event FleetSize).
type Settings struct {
	Me, Instances int // this dispatcher's number and how many there are
	Zone          int // of this dispatcher
	Tick          Time
	Classes       []Class
	Tenants       []Tenant
	Kinds         []Kind
	Weights       WeightKind
	LateHalving   bool    // late worth halves with each further aim, else it falls linearly
	OverShare     float64 // factor on the worth of a message of a tenant that is over its quota
	ReportLeft    int     // position in a report of the share of the limit that is left, -1 if there is none
	ReportLimit   int     // position in a report of the limit in calls a second, -1 if there is none

	Slots          int  // most calls out at once
	MaxOpen        int  // most messages without a result, whether queued or sent
	MaxTries       int  // most attempts for one message
	MayCancel      bool // a call may be aborted while it is out
	Probes         bool
	RetryAfter     bool // a refusal may ask for a wait
	MaxRetryAfter  Time
	ConnIdle       Time // age at which the transport closes an idle connection
	ConnectTimeout Time
	StreamsPerConn int

	StopSendingWithin Time
	ColdFrom          float64 // share of its full rate that an endpoint can take right after an outage
	WarmUp            Time    // until it can take its full rate
	TipMultiple       float64
	OverloadFor       Time
	SettleAfterDoubt  Time // how long an order key waits after an attempt that may still be running

	// RiskAfter is for dispatchers that send little else than SingleShot messages. Those are not used as trial calls
	// to a suspect endpoint. With RiskAfter set they go to another endpoint where all queued messages are SingleShot,
	// and one may be the trial call after all when that has been overdue for this long. 0 turns both off.
	RiskAfter Time
}

// EventKind tells what an Event reports.
type EventKind uint8

// Kinds of event, with the fields that each one uses in brackets. The Arrival of a restored or resent message also
// uses the fields under "History" in Event.
const (
	Arrival   EventKind = iota + 1 // a message was accepted [Message Class Tenant Destination Key TimeLeft]
	Outcome                        // an attempt ended [Message Attempt Endpoint Result Latency Closed RetryAfter Report]
	Started                        // the first part of a streamed response came [Message Attempt Endpoint Latency]
	Withdrawn                      // the client no longer wants the message delivered [Message]
	Tick                           // a timer expired [TimerID]
	Probed                         // a probe ended [Endpoint Result Latency Report]
	List                           // the endpoint list, or a change of it [ListKind Entries]
	Pause                          // sending is suspended or resumed [Paused]
	Restarted                      // calls of an earlier process of this dispatcher may still be running
	FleetSize                      // the number of dispatchers changed [Instances]
)

// Result tells how an attempt or a probe ended.
type Result uint8

// Results.
const (
	OK            Result = iota
	Errored              // the endpoint answered with an error
	Refused              // the endpoint refused the call
	TimedOut             // no response in time
	ConnectFailed        // no connection could be made
	Reset                // the connection broke during the call
	Cancelled            // aborted while it was out
	Moot                 // ended before anything was written
	Unsent               // never left this process: not counted as an attempt, and nothing is learned from it
	Unreadable           // a response began but could not be read to its end: the attempt may still be running
)

// NeverRan reports whether a result proves that the attempt had no effect.
func NeverRan(result Result) bool {
	return result == Refused || result == ConnectFailed || result == Moot || result == Unsent
}

// ListKind tells how a List event relates to the list before it.
type ListKind uint8

// Kinds of list.
const (
	ListDelta  ListKind = iota // only entries that changed
	ListFull                   // all entries; endpoints that are missing are gone
	ListCached                 // like ListFull, but possibly out of date
	ListFailed                 // the list could not be fetched
)

// Health is the state of an endpoint as listed. It does not depend on outages.
type Health uint8

// Health states.
const (
	Draining Health = iota // finishes its calls and gets no new one
	Ready                  // takes calls
	Gone                   // no longer listed
)

// Entry describes one endpoint of the list.
type Entry struct {
	Endpoint    Endpoint
	Destination int
	Zone        int
	Kind        int
	Health      Health
	Weight      float64
}

// Event is one input of a Dispatcher. Kind tells which of the other fields are set.
type Event struct {
	Kind        EventKind
	Message     MessageID
	Class       int
	Tenant      int
	Destination int
	Key         uint64 // order key, 0 if there is none
	TimeLeft    Time   // time left until the deadline

	// History of a message that was restored from a journal; zero for a new message.
	Restored  bool // accepted by an earlier process, so it does not count as new demand in full
	Tries     int  // attempts so far
	DoubtAge  Time // age of the first attempt that may have run, 0 if there is none
	DoubtZone int  // zone that this attempt went to
	Resent    bool // an undelivered message sent again: worth as if over its tenant's quota, and not counted as demand

	Attempt    int
	Endpoint   Endpoint
	Result     Result
	Closed     bool      // the message has ended
	Latency    Time      // from the start of the call to its outcome
	RetryAfter Time      // told wait, 0 if there is none
	Report     []float32 // load report of the endpoint, see Settings.ReportLimit
	TimerID    uint64    // as in the Timer action, 0 for a timer that only asks for a Step
	ListKind   ListKind
	Entries    []Entry
	Paused     bool // Pause: suspended if set, else resumed

	Instances int // number of dispatchers, at least 1
}

// ActionKind tells what an Action asks for.
type ActionKind uint8

// Kinds of action, with the fields that each one uses in brackets.
const (
	Send   ActionKind = iota + 1 // start an attempt [Message Endpoint SameCall; After: timeout, 0 for the deadline]
	Refuse                       // final: submitting the message again is safe [Message; After: retry no sooner]
	Fail                         // final: submitting the message again may not be safe [Message]
	Cancel                       // abort an attempt [Message Attempt]
	Timer                        // deliver a Tick event [After TimerID; Message: needed until its end, 0: always]
	Probe                        // check an endpoint [Endpoint]
	Close                        // close the idle connections to an endpoint [Endpoint]
	Note                         // a log line for operators [Text]
)

// Action is one request of a Dispatcher to its caller. Kind tells which of the other fields are set.
type Action struct {
	Kind     ActionKind
	Message  MessageID
	Attempt  int
	Endpoint Endpoint
	SameCall bool // in the same call and slot as the Send before it; ends as Unsent where that is impossible
	After    Time
	TimerID  uint64
	Text     string
}

package judge

import "time"

// Event is one thing that happened. All that it names by a string is the rig's own naming: dispatchers keep theirs over
// restarts, endpoints are those of the world, whatever address they have, and CallID is any number used once.
type Event interface{ apply(*Judge) }

// CallID names a call.
type CallID int

// Clients.

// HandIn: a client wrote the last byte of a well-formed request. The same id again means that the client sends once more
// what the dispatcher had not read.
type HandIn struct {
	ID, Dispatcher string
	Class          int // index in Settings.Classes
	Dest           int
	Key            string        // idempotency key
	Order          string        // what the order is kept for, in a class that asks for it
	Body           uint64        // any hash of the body, 0 where it is not known
	Expires        time.Duration // how long it may be delivered from now
}

// ClientAnswer: the client read the answer to a hand-in, in its time.
type ClientAnswer struct {
	ID, Dispatcher string
	Status         int
}

// ClientCut: the client's connection ended with no answer. Crossed: the dispatcher had closed it before the request came
// to its machine.
type ClientCut struct {
	ID, Dispatcher string
	Crossed        bool
}

// ClientLeft: the client waited in vain, or went away. Nothing is owed.
type ClientLeft struct{ ID, Dispatcher string }

// Discovery.

// Phase is what the list says of an endpoint.
type Phase uint8

// Phases.
const (
	Active Phase = iota
	Leaving
	Left
)

// Member is an endpoint as one dispatcher is told of it.
type Member struct {
	ID, Addr string
	Dest     int
	Phase    Phase
	Started  int64 // of its process, Unix time in ms; 0: long ago
}

// Listed: discovery wrote the list, or changes to it, to a dispatcher, or what it had to tell counts as told. What a
// process has in its configuration is told to it when it starts.
type Listed struct {
	Dispatcher string
	Whole      bool // it leaves nobody out
	Members    []Member
}

// Notice: discovery read the end of a message. Deferred says that the client may come again, else it is undeliverable.
// Later: a NoticeHeard follows if its answer comes to the dispatcher; else that is at once.
type Notice struct {
	ID, Dispatcher string
	Deferred       bool
	Later          bool
}

// NoticeHeard: the answer to a notice came to the dispatcher.
type NoticeHeard struct{ ID string }

// Calls.

// Item is one message of a call.
type Item struct {
	ID, Key string
	Body    uint64 // as HandIn.Body
}

// Call: the last byte of a call was written by a dispatcher; its first byte was at First. With no items it is a probe.
// Endpoint is who has the address now. Later: an Arrived follows if the call comes to it; else that is at once.
type Call struct {
	Call                       CallID
	Dispatcher, Endpoint, Addr string
	First                      time.Duration
	Batch                      bool
	Items                      []Item
	Later                      bool
}

// Arrived: the call's last byte came to the endpoint.
type Arrived struct{ Call CallID }

// State is what became of a message at an endpoint.
type State uint8

// States.
const (
	Unknown   State = iota // no answer told it: it may have run
	Delivered              // nothing more is owed
	Failed                 // it may have run
	Refused                // it never ran
	Over                   // it never ran, and nothing more is owed
	Spent                  // it never ran
)

func (s State) String() string {
	return [...]string{"unknown", "delivered", "failed", "refused", "over", "spent"}[s]
}

// neverRan tells that who heard this may be certain.
func (s State) neverRan() bool { return s >= Refused }

func (s State) final() bool { return s == Delivered || s == Over }

// stateOf is what a status says of all messages of a call.
func stateOf(status int) State {
	switch status {
	case 200:
		return Delivered
	case 429, 503:
		return Refused
	case 410:
		return Over
	case 504:
		return Spent
	}
	return Failed
}

// Line: the endpoint wrote the first line of its answer, which can be read. Later: a Heard follows if it comes to the
// dispatcher; else that is at once.
type Line struct {
	Call   CallID
	Status int
	Later  bool
}

// Answer: the endpoint wrote the whole of its answer, which can be read; it stands for a Line that was not told, too.
// States are those of the items in a batch answered 200, in their order. Later: as for Line.
type Answer struct {
	Call   CallID
	Status int
	States []State
	Wait   time.Duration // told, 0: none
	Later  bool
}

// Heard: what was written as Line (Whole: as Answer) came to the dispatcher.
type Heard struct {
	Call  CallID
	Whole bool
}

// Cut: the call's connection was closed, half-closed by the dispatcher, or reset, by either side, before the dispatcher
// had the whole answer. The death of the dispatcher need not be told so.
type Cut struct{ Call CallID }

// Ran: the endpoint carried out an item of a call. Dropped: its key was remembered, and it took no effect.
type Ran struct {
	Call    CallID
	ID      string
	Dropped bool
}

// NoConnection: a dispatcher's try to connect to an endpoint failed.
type NoConnection struct{ Dispatcher, Endpoint string }

// The world.

// Endpoint: there is such an endpoint. It comes before the first event that names it. Place names what has one limit,
// one pace and its outages together: the destination, or the route where routes are apart.
type Endpoint struct {
	ID, Place string
	Dest      int
	Zone      int
}

// Outage: a place is down, answers nothing, is shut or fails most calls from now on.
type Outage struct{ Place string }

// Cold: an outage is over. The place takes the share From of Rate (calls a second), growing evenly to all of it in
// WarmUp.
type Cold struct {
	Place  string
	Rate   float64
	From   float64
	WarmUp time.Duration
}

// Fell: a place was pushed over, as the world reckons it.
type Fell struct{ Place string }

// Dispatchers.

// Started: a process of a dispatcher began.
type Started struct{ Dispatcher string }

// Ready: it told that it is ready.
type Ready struct{ Dispatcher string }

// Stopping: it was told to stop (SIGTERM).
type Stopping struct{ Dispatcher string }

// Died: the process ended.
type Died struct {
	Dispatcher string
	Cause      Cause
}

// Cause is why a process ended.
type Cause uint8

// Causes.
const (
	Exited Cause = iota // by itself, which is a crash unless it was told to stop
	Killed              // by SIGKILL
	Lost                // with its machine: what it held is handed to others
)

// Residue: at the end of a history, something of a dispatcher's stands at Got, and Most is allowed: memory (bytes),
// descriptors, goroutines, the folder (bytes).
type Residue struct {
	Dispatcher, What string
	Got, Most        int64
}

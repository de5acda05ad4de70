package figures

// Commands about the ledger on the admin socket of a dispatcher (package admin). Each is answered by one line.
const (
	CommandLedger  = "ledger"  // a snapshot
	CommandMetrics = "metrics" // the OpenMetrics text as a string
	CommandQueues  = "held"    // a QueuesReply
)

// Request is one of these commands. They have no arguments.
type Request struct {
	Command string `json:"command"`
}

// QueuesReply describes the open messages.
type QueuesReply struct {
	Queues     []DestinationQueue `json:"held"` // by destination
	Incomplete bool               `json:"more"` // not all messages were looked at: other destinations may have some
}

// DestinationQueue describes the open messages of a destination.
type DestinationQueue struct {
	Destination   int     `json:"dest"`
	OldestSeconds float64 `json:"oldest_s"`  // for how many seconds its oldest message has been open in this process
	Condition     string  `json:"condition"` // unserved, pressed, ailing or well
}

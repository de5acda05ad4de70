package figures

// Commands about the books at the operators' socket of a dispatcher (package admin).
const (
	CommandLedger  = "ledger"  // answered by one line, the snapshot
	CommandMetrics = "metrics" // by one line, the OpenMetrics text as a string
	CommandQueues  = "held"    // by one line, QueuesReply
)

// Request is one of these commands; there is nothing else to say.
type Request struct {
	Command string `json:"command"`
}

// QueuesReply tells of what is open.
type QueuesReply struct {
	Queues     []DestinationQueue `json:"held"` // by destination
	Incomplete bool               `json:"more"` // there are messages that were not looked at: other destinations may have some
}

// DestinationQueue is what is open for a destination.
type DestinationQueue struct {
	Destination   int     `json:"dest"`
	OldestSeconds float64 `json:"oldest_s"`  // for how long its oldest message has been open in this process
	Condition     string  `json:"condition"` // unserved, pressed, ailing or well
}

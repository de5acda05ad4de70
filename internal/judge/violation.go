package judge

import (
	"fmt"
	"time"
)

// Rule names what was broken.
type Rule uint8

// Rules. The first is not the dispatchers' but the rig's.
const (
	History   Rule = iota // what was told makes no sense
	Missing               // 1: nothing goes missing, and each message ends once
	Twice                 // 2: no effect lands twice
	Drains                // 3
	Returning             // 4: a returning destination is not pushed over
	Order                 // 5
	Waits                 // 6
	Calls                 // a call is of a message that was taken, unchanged, to a listed endpoint, and not one too many
	Crash                 // a process ended that was not told to
	Residues              // what must be given back has been
	rules
)

func (r Rule) String() string {
	return [...]string{
		"the history makes sense", "nothing goes missing", "no effect lands twice", "drains are honoured",
		"a returning destination is not pushed over", "order is kept where a class asks for it", "waits are heeded",
		"calls are as they must be", "no process crashes", "all is given back",
	}[r]
}

// Violation is a rule broken. What it does not concern is "".
type Violation struct {
	Rule                          Rule
	At                            time.Duration
	Dispatcher, Message, Endpoint string
	Text                          string // what was seen, and what is allowed
}

func (v Violation) String() string {
	s := fmt.Sprintf("%v: %v:", v.At, v.Rule)
	for _, part := range [...]string{v.Dispatcher, v.Message, v.Endpoint} {
		if part != "" {
			s += " " + part
		}
	}
	return s + ": " + v.Text
}

// Case is a way in which a rule came to the test.
type Case uint8

// Cases, by rule.
const (
	MessagesTaken      Case = iota // 1: messages whose clients heard that they were taken
	EndedDelivered                 // 1
	EndedByNotice                  // 1
	HeldOverRestart                // 1: messages owed when a process ended, with the folder kept
	OverdueInRestart               // 1: messages whose time for an end fell into a restart
	LostWithMachine                // 1
	ClientsLeft                    // 1: clients that waited in vain
	Attempts                       // 2: messages in calls
	AttemptsAgain                  // 2: of these, not the first of their message
	DoubtsSafe                     // 2: attempts that ended with no proof that they never ran
	DoubtsKeyed                    // 2
	DoubtsUnsafe                   // 2
	SentAgainInDoubt               // 2: safe and keyed ones
	SentAgainWhenSure              // 2: unsafe ones, after refusals alone
	DeferredAfterTries             // 2: messages refused to their clients after attempts
	RepeatsDropped                 // 2: by the memory of keys
	DrainsTold                     // 3: with messages held for the destination
	CallsInDrain                   // 3: calls begun after a drain was told, in time
	Outages                        // 4
	ColdReturns                    // 4: with a dispatcher that had seen the outage
	CallsToCold                    // 4
	ColdOverCapacity               // 4: calls to a place that then got more than it can take, though not too much
	OrderConflicts                 // 5: messages taken while an earlier one of the key was unfinished
	KeyRests                       // 5: doubts left with another message of the key unfinished
	WaitsTold                      // 6
	WaitsWithHeld                  // 6: of these, with messages held for the destination
	CallsCrossingWaits             // 6: let through, as they left when the wait was just told
	LastAttempts                   // attempts after which no further one is allowed
	Restarts                       // processes that started after another one
	Crosses                        // requests that crossed the close of their connection
	cases
)

func (c Case) String() string {
	return [...]string{
		"messages taken", "messages delivered", "messages ended by notice", "messages held over a restart",
		"messages overdue in a restart", "messages lost with a machine", "clients that waited in vain", "attempts",
		"further attempts", "doubts of safe messages", "doubts of keyed messages", "doubts of unsafe messages",
		"sent again in doubt", "unsafe sent again when sure", "deferred after attempts", "repeats dropped",
		"drains told with messages held", "calls in a drain's grace", "outages", "cold returns seen", "calls to cold places",
		"calls above a cold place's capacity", "order conflicts", "order keys at rest", "waits told",
		"waits told with messages held", "calls crossing a wait", "last attempts", "restarts", "requests crossing a close",
	}[c]
}

// Rule is the rule that the case is of; History for those that are of none alone.
func (c Case) Rule() Rule {
	switch {
	case c <= ClientsLeft:
		return Missing
	case c <= RepeatsDropped:
		return Twice
	case c <= CallsInDrain:
		return Drains
	case c <= ColdOverCapacity:
		return Returning
	case c <= KeyRests:
		return Order
	case c <= CallsCrossingWaits:
		return Waits
	case c == LastAttempts:
		return Calls
	}
	return History
}

// Coverage counts how often each case came up.
type Coverage [cases]int

// Add adds those of another history.
func (c *Coverage) Add(o Coverage) {
	for i, n := range o {
		c[i] += n
	}
}

// Never are the cases that did not come up.
func (c *Coverage) Never() (list []Case) {
	for i, n := range c {
		if n == 0 {
			list = append(list, Case(i))
		}
	}
	return list
}

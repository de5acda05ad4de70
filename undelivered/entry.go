// Package undelivered keeps messages that could not be delivered, in the same durable folder as the journal. Store has
// one file per message. Keeper wraps the engine's journal, so that a message moves from the journal into the Store in
// one step. Package resend decides which messages are resent, and when.
package undelivered

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/engine"
	"curlewmux/resend"
)

// Time is the store's own time in microseconds. It never goes back, not even over restarts.
type Time = resend.Time

// State is the state of an entry.
type State string

// States of an entry.
const (
	Waiting  State = "waiting" // kept; a rule may resend it
	Held     State = "held"    // kept; only an operator may resend it
	Claimed  State = "claimed" // claimed by a rule or an operator, and not submitted yet
	InFlight State = "away"    // submitted again; its result is not known yet
	Ended    State = "ended"   // final; its body is removed
	Damaged  State = "damaged" // its file can't be read
	Refused  State = "refused" // returned to its client, which may submit it again; listed without its body
)

// states holds all states but Refused, which has no entry. A row stores an index into it.
var states = [...]State{Waiting, Held, Claimed, InFlight, Ended, Damaged}

// Entry is an undelivered message with its history.
type Entry struct {
	Number            uint64       `json:"number"`
	Store             string       `json:"store"` // the id of the store that gave the number
	ID                string       `json:"id"`    // the id under which its client submitted it
	Class             string       `json:"class"`
	Tenant            string       `json:"tenant,omitempty"`
	Destination       int          `json:"dest"`
	Key               string       `json:"key,omitempty"`
	Bytes             int          `json:"bytes"` // size of the body
	KeptStoreTime     Time         `json:"kept"`
	KeptAt            time.Time    `json:"kept_at"` // wall time, for people, like every time.Time here
	State             State        `json:"state"`
	HoldReason        string       `json:"held,omitempty"` // why no rule may resend it
	LastEnd           Time         `json:"last"`           // when its newest submission ended
	Resends           int          `json:"tries"`          // submissions after the first
	LastFailedInquiry Time         `json:"asked,omitempty"`
	FailedInquiries   int          `json:"asks,omitempty"`
	Doubt             Doubt        `json:"doubt,omitzero"`
	Claim             *Claim       `json:"claim,omitempty"`
	Submissions       []Submission `json:"lives"`
	History           []Event      `json:"history"`
	Disposition       string       `json:"end,omitempty"` // how it ended, once it is Ended
	Body              []byte       `json:"-"`
	generation        int          // of its file
	fileSize          int64        // bytes of its file up to the last whole frame
	hasPartialFrame   bool         // the file holds bytes beyond fileSize
	damaged           bool         // part of its history can't be read
}

// Doubt says whether a message may have taken effect.
type Doubt struct {
	FirstSent Time     `json:"at"`    // when the first attempt in doubt was sent; 0 if there is none
	Zone      int      `json:"zone"`  // where that attempt was sent
	QuietFrom Time     `json:"quiet"` // no call of the message is out here from this time on
	IDs       []string `json:"ids"`   // the submissions in doubt

	AgeUnknown bool `json:"ageless,omitempty"` // FirstSent can't be trusted
}

// Claim is the exclusive right of a rule or an operator to resend an entry.
type Claim struct {
	Number            uint64    `json:"number"`
	By                string    `json:"by"`
	Why               string    `json:"why,omitempty"`
	Token             string    `json:"token,omitempty"`
	Manual            bool      `json:"by_hand,omitempty"`
	ConfirmedNoEffect bool      `json:"vouched,omitempty"` // the operator confirms that the message had no effect
	ExpiresAt         Time      `json:"until,omitempty"`   // a manual claim is released at this time if nothing was submitted under it
	ClaimedAt         time.Time `json:"at"`
	SubmittedID       string    `json:"id,omitempty"` // the id of the submission made under the claim
}

// Submission is one submission of a message and how it ended.
type Submission struct {
	ID              string    `json:"id"`
	Disposition     string    `json:"how,omitempty"` // how it ended; empty while it has not
	Cause           string    `json:"cause,omitempty"`
	Reason          string    `json:"why,omitempty"` // as the partner reported it
	EndedAt         time.Time `json:"ended_at,omitzero"`
	AttemptCount    int       `json:"tries"`
	EarlierAttempts int       `json:"attempts_before_a_restart,omitempty"` // attempts of earlier processes, of which only the number and DoubtAt are known
	Attempts        []Attempt `json:"attempts,omitempty"`                  // attempts of the process in which the submission ended
	DoubtAt         Time      `json:"doubt_at,omitempty"`                  // when its first attempt in doubt was sent; 0 if there is none
	DoubtZone       int       `json:"doubt_zone,omitempty"`
	QuietFrom       Time      `json:"quiet,omitempty"`
}

// Attempt is one attempt to deliver a submission.
type Attempt struct {
	SentAt       time.Time `json:"sent"`
	EndedAt      time.Time `json:"ended,omitzero"`
	Endpoint     string    `json:"endpoint"`
	Addr         string    `json:"addr"`
	Result       string    `json:"how"`
	RetryAfterMS int64     `json:"wait_ms,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of event.
const (
	EventKept            EventKind = "kept"
	EventClaimed         EventKind = "claimed"
	EventReleased        EventKind = "released" // the claim was released and nothing was submitted
	EventInquired        EventKind = "asked"    // the partner was asked whether the message took effect
	EventDoubtCleared    EventKind = "cleared"  // the message had no effect, and no earlier call can run any more
	EventSubmitted       EventKind = "handed"   // written before the message is submitted again
	EventSubmissionEnded EventKind = "over"     // the newest submission ended
	EventHeld            EventKind = "held"
	EventEnded           EventKind = "ended"
)

// Event is one step in the history of an entry: what happened, when, by whom and why.
type Event struct {
	Kind       EventKind   `json:"kind"`
	At         Time        `json:"at"`
	WallTime   time.Time   `json:"wall"`
	By         string      `json:"by,omitempty"`
	Why        string      `json:"why,omitempty"`
	Claim      *Claim      `json:"claim,omitempty"`
	ID         string      `json:"id,omitempty"`
	Token      string      `json:"token,omitempty"`
	Result     string      `json:"how,omitempty"` // the answer to an inquiry, or how the submission or entry ended
	Submission *Submission `json:"life,omitempty"`
}

// apply adds an event to the history and updates the entry.
func (e *Entry) apply(ev Event) {
	e.History = append(e.History, ev)
	switch ev.Kind {
	case EventClaimed:
		e.Claim = ev.Claim
	case EventReleased:
		if e.Claim != nil && e.Claim.SubmittedID != "" && len(e.Submissions) > 0 { // the submission was never accepted
			e.Resends--
			e.Submissions = e.Submissions[:len(e.Submissions)-1]
		}
		e.Claim = nil
	case EventInquired:
		if ev.Result == resend.Unanswered.String() {
			e.FailedInquiries, e.LastFailedInquiry = e.FailedInquiries+1, ev.At
		} else {
			e.FailedInquiries = 0
		}
	case EventDoubtCleared:
		e.Doubt = Doubt{}
	case EventSubmitted:
		if ev.Claim != nil { // claimed and submitted in one event
			e.Claim = ev.Claim
		}
		if e.lastSubmission().ID != ev.ID { // otherwise the journal did not have the end, and that submission continues
			e.Resends++
			e.Submissions = append(e.Submissions, Submission{ID: ev.ID})
		}
		if e.Claim != nil {
			c := *e.Claim
			c.SubmittedID = ev.ID
			e.Claim = &c
		}
	case EventSubmissionEnded:
		if n := len(e.Submissions); n > 0 && e.Submissions[n-1].ID == ev.Submission.ID {
			e.Submissions = e.Submissions[:n-1]
		}
		e.addSubmission(ev.Submission, ev.At)
		if e.Claim = nil; ev.Submission.Disposition == EndDelivered || ev.Submission.Disposition == EndClosed {
			e.Disposition, e.Body = ev.Submission.Disposition, nil
		}
	case EventHeld:
		e.HoldReason = ev.Why
	case EventEnded:
		e.Disposition, e.Claim, e.Body = ev.Result, nil, nil
		e.LastEnd = ev.At
	}
	e.State = e.currentState()
}

// addSubmission adds a submission that ended.
func (e *Entry) addSubmission(submission *Submission, at Time) {
	e.Submissions = append(e.Submissions, *submission)
	e.LastEnd, e.FailedInquiries = at, 0
	if submission.DoubtAt == 0 {
		return
	}
	d := &e.Doubt
	if d.FirstSent == 0 || submission.DoubtAt < d.FirstSent {
		d.FirstSent, d.Zone = submission.DoubtAt, submission.DoubtZone
	}
	d.QuietFrom = max(d.QuietFrom, submission.QuietFrom)
	if !slices.Contains(d.IDs, submission.ID) {
		d.IDs = append(d.IDs, submission.ID)
	}
}

func (e *Entry) currentState() State {
	switch {
	case e.Disposition != "":
		return Ended
	case e.Claim != nil && e.Claim.SubmittedID != "":
		return InFlight
	case e.Claim != nil:
		return Claimed
	case e.HoldReason != "":
		return Held
	}
	return Waiting
}

// lastSubmission returns the newest submission, or an empty one.
func (e *Entry) lastSubmission() *Submission {
	if len(e.Submissions) == 0 {
		return &Submission{}
	}
	return &e.Submissions[len(e.Submissions)-1]
}

// Message returns the message to submit under a new id.
func (e *Entry) Message(id string) engine.Message {
	return engine.Message{ID: id, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination, Key: e.Key, Body: e.Body}
}

// resentID returns the id of a new submission. It names the store, the entry and the claim, so that the entry can be
// found from the id alone.
func resentID(store, no, claim uint64) string {
	return fmt.Sprintf("r%016x-%d-%d", store, no, claim)
}

// parseResentID splits an id made by resentID. ok is false for any other id.
func parseResentID(id string) (store, no, claim uint64, ok bool) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 || len(parts[0]) != 17 || id[0] != 'r' {
		return 0, 0, 0, false
	}
	var errs [3]error
	store, errs[0] = strconv.ParseUint(parts[0][1:], 16, 64)
	no, errs[1] = strconv.ParseUint(parts[1], 10, 64)
	claim, errs[2] = strconv.ParseUint(parts[2], 10, 64)
	ok = errs == [3]error{} && resentID(store, no, claim) == id
	return store, no, claim, ok
}

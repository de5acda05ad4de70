// Package undelivered keeps messages that could not be delivered, in the folder that lasts, beside the journal. Store has
// one file for each; Keeper stands between an engine and its store, so that a message moves from the journal into the
// Store in one step. What is sent again, and when, is decided in package resend.
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

// Time is the store's own time in microseconds: it never goes back, also not over restarts.
type Time = resend.Time

// State is how an entry stands.
type State string

// States.
const (
	Waiting  State = "waiting" // it lies there; a rule may send it
	Held     State = "held"    // it lies there; only an operator may send it
	Claimed  State = "claimed" // somebody has it, and nothing was handed in yet
	InFlight State = "away"    // it was handed in as a new life
	Ended    State = "ended"   // for good, without its body
	Damaged  State = "damaged" // its file can't be read
	Refused  State = "refused" // it was handed back to its client, who may hand it in again: listed, without its body
)

// states are all but Refused, which has no entry, in the order in which rows number them.
var states = [...]State{Waiting, Held, Claimed, InFlight, Ended, Damaged}

// Entry is a kept message with all that is known of it.
type Entry struct {
	Number            uint64       `json:"number"`
	Store             string       `json:"store"` // whose number it is
	ID                string       `json:"id"`    // as its client handed it in
	Class             string       `json:"class"`
	Tenant            string       `json:"tenant,omitempty"`
	Destination       int          `json:"dest"`
	Key               string       `json:"key,omitempty"`
	Bytes             int          `json:"bytes"` // of its body
	KeptStoreTime     Time         `json:"kept"`
	KeptAt            time.Time    `json:"kept_at"` // by the wall clock, for people; so are the others
	State             State        `json:"state"`
	HoldReason        string       `json:"held,omitempty"` // why no rule may send it
	LastEnd           Time         `json:"last"`           // when its newest life ended
	Resends           int          `json:"tries"`          // lives after the first
	LastFailedInquiry Time         `json:"asked,omitempty"`
	FailedInquiries   int          `json:"asks,omitempty"`
	Doubt             Doubt        `json:"doubt,omitzero"`
	Claim             *Claim       `json:"claim,omitempty"`
	Submissions       []Submission `json:"lives"`
	History           []Event      `json:"history"`
	Disposition       string       `json:"end,omitempty"` // how it ended for good
	Body              []byte       `json:"-"`
	gen               int          // of its file
	size              int64        // of its file
	torn              bool         // there is something behind size
	damage            bool         // some of what was told of it can't be read
}

// Doubt says that a message may have taken effect.
type Doubt struct {
	FirstSent Time     `json:"at"`    // send of the first attempt that may have run, 0 if none may have
	Zone      int      `json:"zone"`  // which it went to
	QuietFrom Time     `json:"quiet"` // from then on no call of it is out here
	IDs       []string `json:"ids"`   // of the lives that may have

	AgeUnknown bool `json:"ageless,omitempty"` // At can't be trusted
}

// Claim says who has an entry.
type Claim struct {
	Number            uint64    `json:"number"`
	By                string    `json:"by"`
	Why               string    `json:"why,omitempty"`
	Token             string    `json:"token,omitempty"`
	Manual            bool      `json:"by_hand,omitempty"`
	ConfirmedNoEffect bool      `json:"vouched,omitempty"` // its owner says that the message took no effect
	ExpiresAt         Time      `json:"until,omitempty"`   // of one by hand: then it is given back, if nothing was handed in
	ClaimedAt         time.Time `json:"at"`
	SubmittedID       string    `json:"id,omitempty"` // what it was handed in as
}

// Submission is one life of a message, from a hand-in to an end.
type Submission struct {
	ID              string    `json:"id"`
	Disposition     string    `json:"how,omitempty"` // how it ended; "" it has not
	Cause           string    `json:"cause,omitempty"`
	Reason          string    `json:"why,omitempty"` // in the partner's words
	EndedAt         time.Time `json:"ended_at,omitzero"`
	AttemptCount    int       `json:"tries"`
	EarlierAttempts int       `json:"attempts_before_a_restart,omitempty"` // of which only their number is known, and DoubtAt
	Attempts        []Attempt `json:"attempts,omitempty"`                  // those of the process in which it ended
	DoubtAt         Time      `json:"doubt_at,omitempty"`                  // send of the first that may have run, 0 if none may have
	DoubtZone       int       `json:"doubt_zone,omitempty"`
	QuietFrom       Time      `json:"quiet,omitempty"`
}

// Attempt is one attempt of a life.
type Attempt struct {
	SentAt       time.Time `json:"sent"`
	EndedAt      time.Time `json:"ended,omitzero"`
	Endpoint     string    `json:"endpoint"`
	Addr         string    `json:"addr"`
	Result       string    `json:"how"`
	RetryAfterMS int64     `json:"wait_ms,omitempty"`
}

// EventKind is what happened to an entry.
type EventKind string

// Kinds of event.
const (
	EventKept            EventKind = "kept"
	EventClaimed         EventKind = "claimed"
	EventReleased        EventKind = "released" // its claim was given back; nothing was handed in
	EventInquired        EventKind = "asked"    // the partner was asked whether it took effect
	EventDoubtCleared    EventKind = "cleared"  // it took no effect, and no earlier call can run any more
	EventSubmitted       EventKind = "handed"   // it is about to be handed in as a new life
	EventSubmissionEnded EventKind = "over"     // that life ended
	EventHeld            EventKind = "held"
	EventEnded           EventKind = "ended"
)

// Event is one thing that happened to an entry, with who, when and why.
type Event struct {
	Kind       EventKind   `json:"kind"`
	At         Time        `json:"at"`
	WallTime   time.Time   `json:"wall"`
	By         string      `json:"by,omitempty"`
	Why        string      `json:"why,omitempty"`
	Claim      *Claim      `json:"claim,omitempty"`
	ID         string      `json:"id,omitempty"`
	Token      string      `json:"token,omitempty"`
	Result     string      `json:"how,omitempty"` // an answer, or the end
	Submission *Submission `json:"life,omitempty"`
}

// apply changes an entry by what happened.
func (e *Entry) apply(ev Event) {
	e.History = append(e.History, ev)
	switch ev.Kind {
	case EventClaimed:
		e.Claim = ev.Claim
	case EventReleased:
		if e.Claim != nil && e.Claim.SubmittedID != "" && len(e.Submissions) > 0 { // it was never taken
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
		if ev.Claim != nil { // claimed and handed in at once
			e.Claim = ev.Claim
		}
		if e.life().ID != ev.ID { // else that life goes on: the journal did not have its end
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
		e.lived(ev.Submission, ev.At)
		if e.Claim = nil; ev.Submission.Disposition == EndDelivered || ev.Submission.Disposition == EndClosed {
			e.Disposition, e.Body = ev.Submission.Disposition, nil
		}
	case EventHeld:
		e.HoldReason = ev.Why
	case EventEnded:
		e.Disposition, e.Claim, e.Body = ev.Result, nil, nil
		e.LastEnd = ev.At
	}
	e.State = e.state()
}

// lived adds a life that ended.
func (e *Entry) lived(l *Submission, at Time) {
	e.Submissions = append(e.Submissions, *l)
	e.LastEnd, e.FailedInquiries = at, 0
	if l.DoubtAt == 0 {
		return
	}
	d := &e.Doubt
	if d.FirstSent == 0 || l.DoubtAt < d.FirstSent {
		d.FirstSent, d.Zone = l.DoubtAt, l.DoubtZone
	}
	d.QuietFrom = max(d.QuietFrom, l.QuietFrom)
	if !slices.Contains(d.IDs, l.ID) {
		d.IDs = append(d.IDs, l.ID)
	}
}

func (e *Entry) state() State {
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

// life is the newest life.
func (e *Entry) life() *Submission {
	if len(e.Submissions) == 0 {
		return &Submission{}
	}
	return &e.Submissions[len(e.Submissions)-1]
}

// Message is what is handed in again, under a new id.
func (e *Entry) Message(id string) engine.Message {
	return engine.Message{ID: id, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination, Key: e.Key, Body: e.Body}
}

// lifeID is the id of a new life: it names the store, the entry and the claim, so that whoever meets it finds the entry.
func lifeID(store, no, claim uint64) string {
	return fmt.Sprintf("r%016x-%d-%d", store, no, claim)
}

// parseLife takes an id of a new life apart; false for any other id.
func parseLife(id string) (store, no, claim uint64, ok bool) {
	parts := strings.Split(id, "-")
	if len(parts) != 3 || len(parts[0]) != 17 || id[0] != 'r' {
		return 0, 0, 0, false
	}
	var errs [3]error
	store, errs[0] = strconv.ParseUint(parts[0][1:], 16, 64)
	no, errs[1] = strconv.ParseUint(parts[1], 10, 64)
	claim, errs[2] = strconv.ParseUint(parts[2], 10, 64)
	ok = errs == [3]error{} && lifeID(store, no, claim) == id
	return store, no, claim, ok
}

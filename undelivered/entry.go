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
	Waiting State = "waiting" // it lies there; a rule may send it
	Held    State = "held"    // it lies there; only an operator may send it
	Claimed State = "claimed" // somebody has it, and nothing was handed in yet
	Away    State = "away"    // it was handed in as a new life
	Ended   State = "ended"   // for good, without its body
	Damaged State = "damaged" // its file can't be read
	Refused State = "refused" // it was handed back to its client, who may hand it in again: listed, without its body
)

// states are all but Refused, which has no entry, in the order in which rows number them.
var states = [...]State{Waiting, Held, Claimed, Away, Ended, Damaged}

// Entry is a kept message with all that is known of it.
type Entry struct {
	No      uint64    `json:"number"`
	Store   string    `json:"store"` // whose number it is
	ID      string    `json:"id"`    // as its client handed it in
	Class   string    `json:"class"`
	Tenant  string    `json:"tenant,omitempty"`
	Dest    int       `json:"dest"`
	Key     string    `json:"key,omitempty"`
	Bytes   int       `json:"bytes"` // of its body
	Kept    Time      `json:"kept"`
	KeptAt  time.Time `json:"kept_at"` // by the wall clock, for people; so are the others
	State   State     `json:"state"`
	Held    string    `json:"held,omitempty"` // why no rule may send it
	Last    Time      `json:"last"`           // when its newest life ended
	Tries   int       `json:"tries"`          // lives after the first
	Asked   Time      `json:"asked,omitempty"`
	Asks    int       `json:"asks,omitempty"`
	Doubt   Doubt     `json:"doubt,omitzero"`
	Claim   *Claim    `json:"claim,omitempty"`
	Lives   []Life    `json:"lives"`
	History []Event   `json:"history"`
	End     string    `json:"end,omitempty"` // how it ended for good
	Body    []byte    `json:"-"`
	gen     int       // of its file
	size    int64     // of its file
	torn    bool      // there is something behind size
	damage  bool      // some of what was told of it can't be read
}

// Doubt says that a message may have taken effect.
type Doubt struct {
	At    Time     `json:"at"`    // send of the first attempt that may have run, 0 if none may have
	Zone  int      `json:"zone"`  // which it went to
	Quiet Time     `json:"quiet"` // from then on no call of it is out here
	IDs   []string `json:"ids"`   // of the lives that may have

	Ageless bool `json:"ageless,omitempty"` // At can't be trusted
}

// Claim says who has an entry.
type Claim struct {
	No    uint64    `json:"number"`
	By    string    `json:"by"`
	Why   string    `json:"why,omitempty"`
	Token string    `json:"token,omitempty"`
	Hand  bool      `json:"by_hand,omitempty"`
	Vouch bool      `json:"vouched,omitempty"` // its owner says that the message took no effect
	Until Time      `json:"until,omitempty"`   // of one by hand: then it is given back, if nothing was handed in
	At    time.Time `json:"at"`
	ID    string    `json:"id,omitempty"` // what it was handed in as
}

// Life is one life of a message, from a hand-in to an end.
type Life struct {
	ID       string    `json:"id"`
	How      string    `json:"how,omitempty"` // how it ended; "" it has not
	Cause    string    `json:"cause,omitempty"`
	Why      string    `json:"why,omitempty"` // in the partner's words
	Ended    time.Time `json:"ended_at,omitzero"`
	Tries    int       `json:"tries"`
	Earlier  int       `json:"attempts_before_a_restart,omitempty"` // of which only their number is known, and DoubtAt
	Attempts []Attempt `json:"attempts,omitempty"`                  // those of the process in which it ended
	DoubtAt  Time      `json:"doubt_at,omitempty"`                  // send of the first that may have run, 0 if none may have
	Zone     int       `json:"doubt_zone,omitempty"`
	Quiet    Time      `json:"quiet,omitempty"`
}

// Attempt is one attempt of a life.
type Attempt struct {
	Sent     time.Time `json:"sent"`
	Ended    time.Time `json:"ended,omitzero"`
	Endpoint string    `json:"endpoint"`
	Addr     string    `json:"addr"`
	How      string    `json:"how"`
	WaitMS   int64     `json:"wait_ms,omitempty"`
}

// Kind is what happened to an entry.
type Kind string

// Kinds of event.
const (
	WasKept     Kind = "kept"
	WasClaimed  Kind = "claimed"
	WasReleased Kind = "released" // its claim was given back; nothing was handed in
	WasAsked    Kind = "asked"    // the partner was asked whether it took effect
	WasCleared  Kind = "cleared"  // it took no effect, and no earlier call can run any more
	WasHanded   Kind = "handed"   // it is about to be handed in as a new life
	WasOver     Kind = "over"     // that life ended
	WasHeld     Kind = "held"
	WasEnded    Kind = "ended"
)

// Event is one thing that happened to an entry, with who, when and why.
type Event struct {
	Kind  Kind      `json:"kind"`
	At    Time      `json:"at"`
	Wall  time.Time `json:"wall"`
	By    string    `json:"by,omitempty"`
	Why   string    `json:"why,omitempty"`
	Claim *Claim    `json:"claim,omitempty"`
	ID    string    `json:"id,omitempty"`
	Token string    `json:"token,omitempty"`
	How   string    `json:"how,omitempty"` // an answer, or the end
	Life  *Life     `json:"life,omitempty"`
}

// apply changes an entry by what happened.
func (e *Entry) apply(ev Event) {
	e.History = append(e.History, ev)
	switch ev.Kind {
	case WasClaimed:
		e.Claim = ev.Claim
	case WasReleased:
		if e.Claim != nil && e.Claim.ID != "" && len(e.Lives) > 0 { // it was never taken
			e.Tries--
			e.Lives = e.Lives[:len(e.Lives)-1]
		}
		e.Claim = nil
	case WasAsked:
		if ev.How == resend.Unanswered.String() {
			e.Asks, e.Asked = e.Asks+1, ev.At
		} else {
			e.Asks = 0
		}
	case WasCleared:
		e.Doubt = Doubt{}
	case WasHanded:
		if ev.Claim != nil { // claimed and handed in at once
			e.Claim = ev.Claim
		}
		if e.life().ID != ev.ID { // else that life goes on: the journal did not have its end
			e.Tries++
			e.Lives = append(e.Lives, Life{ID: ev.ID})
		}
		if e.Claim != nil {
			c := *e.Claim
			c.ID = ev.ID
			e.Claim = &c
		}
	case WasOver:
		if n := len(e.Lives); n > 0 && e.Lives[n-1].ID == ev.Life.ID {
			e.Lives = e.Lives[:n-1]
		}
		e.lived(ev.Life, ev.At)
		if e.Claim = nil; ev.Life.How == EndDelivered || ev.Life.How == EndOver {
			e.End, e.Body = ev.Life.How, nil
		}
	case WasHeld:
		e.Held = ev.Why
	case WasEnded:
		e.End, e.Claim, e.Body = ev.How, nil, nil
		e.Last = ev.At
	}
	e.State = e.state()
}

// lived adds a life that ended.
func (e *Entry) lived(l *Life, at Time) {
	e.Lives = append(e.Lives, *l)
	e.Last, e.Asks = at, 0
	if l.DoubtAt == 0 {
		return
	}
	d := &e.Doubt
	if d.At == 0 || l.DoubtAt < d.At {
		d.At, d.Zone = l.DoubtAt, l.Zone
	}
	d.Quiet = max(d.Quiet, l.Quiet)
	if !slices.Contains(d.IDs, l.ID) {
		d.IDs = append(d.IDs, l.ID)
	}
}

func (e *Entry) state() State {
	switch {
	case e.End != "":
		return Ended
	case e.Claim != nil && e.Claim.ID != "":
		return Away
	case e.Claim != nil:
		return Claimed
	case e.Held != "":
		return Held
	}
	return Waiting
}

// life is the newest life.
func (e *Entry) life() *Life {
	if len(e.Lives) == 0 {
		return &Life{}
	}
	return &e.Lives[len(e.Lives)-1]
}

// Message is what is handed in again, under a new id.
func (e *Entry) Message(id string) engine.Message {
	return engine.Message{ID: id, Class: e.Class, Tenant: e.Tenant, Destination: e.Dest, Key: e.Key, Body: e.Body}
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

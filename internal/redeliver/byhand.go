package redeliver

import (
	"errors"
	"fmt"
	"time"

	"curlewmux/resend"
	"curlewmux/undelivered"
)

// Order is what an operator wants done with an entry.
type Order struct {
	By     string
	Why    string
	Token  string // of the command: given again it changes nothing more
	Vouch  bool   // the operator says that the message took no effect
	DryRun bool
}

// Outcome is what became of an Order.
type Outcome struct {
	No    uint64             `json:"number"`
	Did   Did                `json:"did"`
	Claim uint64             `json:"claim,omitempty"` // the order's own
	ID    string             `json:"new_id,omitempty"`
	Why   string             `json:"why,omitempty"`
	Won   *undelivered.Claim `json:"won,omitempty"` // who has it, where the order lost
}

// Did is what was done.
type Did string

// What may have been done.
const (
	DidClaim   Did = "claimed" // it is sent as soon as its destination takes it
	DidDrop    Did = "dropped"
	DidAgain   Did = "done before" // by the same command
	DidLose    Did = "lost"        // somebody else has it: see Won
	DidRefuse  Did = "refused"     // see Why
	DidNothing Did = "ended"       // it had ended
	DidMiss    Did = "none"        // there is no such entry
	WouldClaim Did = "would claim"
	WouldDrop  Did = "would drop"
)

// look finds an entry and what speaks against any order about it.
func (d *Desk) look(no uint64, o Order) (s undelivered.Summary, out Outcome, ok bool) {
	out.No = no
	s, known := d.store.Get(no)
	if !known {
		out.Did = DidMiss
		return s, out, false
	}
	if s.State == undelivered.Damaged {
		return s, out, true
	}
	e, err := d.store.Entry(no)
	if err != nil {
		out.Did, out.Why = DidRefuse, err.Error()
		return s, out, false
	}
	if o.Token != "" {
		for i := len(e.History) - 1; i >= 0; i-- {
			if ev := &e.History[i]; ev.Token == o.Token {
				out.Did, out.Why = DidAgain, "the same command did it at "+ev.Wall.Format(time.RFC3339)
				if ev.Claim != nil {
					out.Claim = ev.Claim.No
				}
				return s, out, false
			}
		}
	}
	switch {
	case s.State == undelivered.Ended:
		out.Did, out.Why = DidNothing, e.End
	case e.Claim != nil:
		out.Did, out.Won = DidLose, e.Claim
		out.Why = (&undelivered.ClaimedError{Claim: *e.Claim}).Error()
	case d.store.Early(no):
		out.Did, out.Why = DidRefuse, "its end is not in the journal yet; give the command again in a moment"
	default:
		return s, out, true
	}
	return s, out, false
}

// SendByHand has an entry sent in an operator's name. Settle follows after a series of orders.
func (d *Desk) SendByHand(no uint64, o Order) Outcome {
	s, out, ok := d.look(no, o)
	if !ok {
		return out
	}
	if s.State == undelivered.Damaged {
		out.Did, out.Why = DidRefuse, undelivered.ErrDamaged.Error()
		return out
	}
	now, due := d.store.Now(), Time(0)
	v := d.set.Rules.DecideManual(&s.Item, now, o.Vouch)
	switch {
	case v.Action == resend.Leave:
		out.Did, out.Why = DidRefuse, v.Reason
		return out
	case v.Action == resend.Wait && v.At >= now+d.set.Hand:
		out.Did, out.Why = DidRefuse, fmt.Sprintf("%s, until %s", v.Reason, d.store.Wall(v.At).Format(time.RFC3339))
		return out
	case v.Action == resend.Wait:
		due, out.Why = v.At, fmt.Sprintf("%s, until %s", v.Reason, d.store.Wall(v.At).Format(time.RFC3339))
	}
	if o.DryRun {
		out.Did = WouldClaim
		return out
	}
	e, err := d.store.Claim(no, undelivered.Claim{
		By: o.By, Why: o.Why, Token: o.Token, Vouch: o.Vouch, Hand: true, Until: now + d.set.Hand,
	})
	var lost *undelivered.ClaimedError
	switch {
	case errors.As(err, &lost):
		out.Did, out.Won, out.Why = DidLose, &lost.Claim, lost.Error()
	case err != nil:
		out.Did, out.Why = DidRefuse, err.Error()
	default:
		out.Did, out.Claim = DidClaim, e.Claim.No
		d.plan.Schedule(s.Node(), due)
	}
	return out
}

// Drop ends an entry in an operator's name.
func (d *Desk) Drop(no uint64, o Order) Outcome {
	_, out, ok := d.look(no, o)
	switch {
	case !ok:
	case o.DryRun:
		out.Did = WouldDrop
	default:
		out.Did = DidDrop
		if err := d.store.End(no, undelivered.EndDropped, o.By, o.Why, o.Token); err != nil {
			out.Why = "dropped, but that can't be written yet: " + err.Error()
		}
	}
	return out
}

// Settle follows a series of orders.
func (d *Desk) Settle() { d.arm() }

// Outlook is what will become of an entry by itself, for people; "" for one that somebody has, or that has ended. It reads
// no file.
func (d *Desk) Outlook(s *undelivered.Summary) string {
	if s.State != undelivered.Waiting && s.State != undelivered.Held {
		return ""
	}
	switch v := d.set.Rules.Decide(&s.Item, d.store.Now()); v.Action {
	case resend.Leave:
		return "operators: " + v.Reason
	case resend.Wait:
		return fmt.Sprintf("rule %s, from %s: %s", v.Rule, d.store.Wall(v.At).Format(time.RFC3339), v.Reason)
	case resend.Ask:
		return "rule " + v.Rule + ": asks the partner first"
	default:
		return "rule " + v.Rule + ": as soon as the destination is well"
	}
}

package redeliver

import (
	"errors"
	"fmt"
	"time"

	"curlewmux/resend"
	"curlewmux/undelivered"
)

// ManualAction is what an operator wants done with an entry.
type ManualAction struct {
	Operator          string
	Reason            string
	Token             string // of the command: given again it changes nothing more
	ConfirmedNoEffect bool   // the operator says that the message took no effect
	DryRun            bool
}

// Result is what became of an Order.
type ActionResult struct {
	Number     uint64             `json:"number"`
	Status     ActionStatus       `json:"did"`
	Claim      uint64             `json:"claim,omitempty"` // the order's own
	NewID      string             `json:"new_id,omitempty"`
	Reason     string             `json:"why,omitempty"`
	OtherClaim *undelivered.Claim `json:"won,omitempty"` // who has it, where the order lost
}

// ActionStatus is what was done.
type ActionStatus string

// What may have been done.
const (
	StatusClaimed        ActionStatus = "claimed" // it is sent as soon as its destination takes it
	StatusDropped        ActionStatus = "dropped"
	StatusDoneBefore     ActionStatus = "done before" // by the same command
	StatusClaimedByOther ActionStatus = "lost"        // somebody else has it: see Won
	StatusRefused        ActionStatus = "refused"     // see Why
	StatusAlreadyEnded   ActionStatus = "ended"       // it had ended
	StatusNotFound       ActionStatus = "none"        // there is no such entry
	StatusWouldClaim     ActionStatus = "would claim"
	StatusWouldDrop      ActionStatus = "would drop"
)

// look finds an entry and what speaks against any order about it.
func (d *Resender) look(no uint64, o ManualAction) (s undelivered.Summary, out ActionResult, ok bool) {
	out.Number = no
	s, known := d.store.Get(no)
	if !known {
		out.Status = StatusNotFound
		return s, out, false
	}
	if s.State == undelivered.Damaged {
		return s, out, true
	}
	e, err := d.store.Entry(no)
	if err != nil {
		out.Status, out.Reason = StatusRefused, err.Error()
		return s, out, false
	}
	if o.Token != "" {
		for i := len(e.History) - 1; i >= 0; i-- {
			if ev := &e.History[i]; ev.Token == o.Token {
				out.Status, out.Reason = StatusDoneBefore, "the same command did it at "+ev.WallTime.Format(time.RFC3339)
				if ev.Claim != nil {
					out.Claim = ev.Claim.Number
				}
				return s, out, false
			}
		}
	}
	switch {
	case s.State == undelivered.Ended:
		out.Status, out.Reason = StatusAlreadyEnded, e.Disposition
	case e.Claim != nil:
		out.Status, out.OtherClaim = StatusClaimedByOther, e.Claim
		out.Reason = (&undelivered.ClaimedError{Claim: *e.Claim}).Error()
	case d.store.EndNotStored(no):
		out.Status, out.Reason = StatusRefused, "its end is not in the journal yet; give the command again in a moment"
	default:
		return s, out, true
	}
	return s, out, false
}

// ResendManually has an entry sent in an operator's name. Settle follows after a series of orders.
func (d *Resender) ResendManually(no uint64, o ManualAction) ActionResult {
	s, out, ok := d.look(no, o)
	if !ok {
		return out
	}
	if s.State == undelivered.Damaged {
		out.Status, out.Reason = StatusRefused, undelivered.ErrDamaged.Error()
		return out
	}
	now, due := d.store.Now(), Time(0)
	v := d.set.Rules.DecideManual(&s.Item, now, o.ConfirmedNoEffect)
	switch {
	case v.Action == resend.Leave:
		out.Status, out.Reason = StatusRefused, v.Reason
		return out
	case v.Action == resend.Wait && v.At >= now+d.set.ManualClaimDuration:
		out.Status, out.Reason = StatusRefused, fmt.Sprintf("%s, until %s", v.Reason, d.store.WallTime(v.At).Format(time.RFC3339))
		return out
	case v.Action == resend.Wait:
		due, out.Reason = v.At, fmt.Sprintf("%s, until %s", v.Reason, d.store.WallTime(v.At).Format(time.RFC3339))
	}
	if o.DryRun {
		out.Status = StatusWouldClaim
		return out
	}
	e, err := d.store.Claim(no, undelivered.Claim{
		By: o.Operator, Why: o.Reason, Token: o.Token, ConfirmedNoEffect: o.ConfirmedNoEffect, Manual: true, ExpiresAt: now + d.set.ManualClaimDuration,
	})
	var lost *undelivered.ClaimedError
	switch {
	case errors.As(err, &lost):
		out.Status, out.OtherClaim, out.Reason = StatusClaimedByOther, &lost.Claim, lost.Error()
	case err != nil:
		out.Status, out.Reason = StatusRefused, err.Error()
	default:
		out.Status, out.Claim = StatusClaimed, e.Claim.Number
		d.plan.Schedule(s.Node(), due)
	}
	return out
}

// Drop ends an entry in an operator's name.
func (d *Resender) Drop(no uint64, o ManualAction) ActionResult {
	_, out, ok := d.look(no, o)
	switch {
	case !ok:
	case o.DryRun:
		out.Status = StatusWouldDrop
	default:
		out.Status = StatusDropped
		if err := d.store.End(no, undelivered.EndDropped, o.Operator, o.Reason, o.Token); err != nil {
			out.Reason = "dropped, but that can't be written yet: " + err.Error()
		}
	}
	return out
}

// ScheduleWake follows a series of orders.
func (d *Resender) ScheduleWake() { d.arm() }

// Outlook is what will become of an entry by itself, for people; "" for one that somebody has, or that has ended. It reads
// no file.
func (d *Resender) Outlook(s *undelivered.Summary) string {
	if s.State != undelivered.Waiting && s.State != undelivered.Held {
		return ""
	}
	switch v := d.set.Rules.Decide(&s.Item, d.store.Now()); v.Action {
	case resend.Leave:
		return "operators: " + v.Reason
	case resend.Wait:
		return fmt.Sprintf("rule %s, from %s: %s", v.Rule, d.store.WallTime(v.At).Format(time.RFC3339), v.Reason)
	case resend.Ask:
		return "rule " + v.Rule + ": asks the partner first"
	default:
		return "rule " + v.Rule + ": as soon as the destination is well"
	}
}

// Package redeliver carries out the decisions of package resend about undelivered messages. It claims entries of the
// store, asks partners, submits messages again, and executes the commands of operators.
package redeliver

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/ledger"
	"curlewmux/resend"
	"curlewmux/undelivered"
)

// Time is the store's time in microseconds.
type Time = resend.Time

// Settings of a Resender.
type Settings struct {
	Rules               resend.Settings
	MaxInFlight         int     // messages being resent at a time
	RateShare           float64 // share of a destination's listed rate that resends may use
	TrialInterval       Time    // between two messages to an unhealthy destination
	ManualClaimDuration Time    // how long an operator's claim lasts while nothing can be submitted
}

// Callbacks connect a Resender to the dispatcher. They are called on the driver's goroutine and must not block.
type Callbacks struct {
	// Submit submits a message that must be delivered within deadline. onVerdict is called on the driver's goroutine,
	// or never if the driver stops.
	Submit func(in *engine.Submit, deadline Time, onVerdict func(engine.Verdict))

	// Condition returns the condition of a destination and its listed rate.
	Condition func(dest int) (control.Condition, float64)

	// Inquire asks a partner. Resender.InquiryAnswered is called on the driver's goroutine, or never if the driver
	// stops.
	Inquire func(q *Question)

	// WakeAt schedules a call of Step at a store time, replacing the one scheduled before.
	WakeAt func(at Time)
}

// Question asks whether a message took effect.
type Question struct {
	Number, ClaimNumber uint64
	Destination         int
	AskedAt             Time
	IDs                 []string // ids of the submissions in doubt
	Key                 string   // key of the message; empty if it does not identify one message
}

// Resender resends undelivered messages. All its methods are called on the driver's goroutine, so claims, ends and
// commands happen one after the other.
type Resender struct {
	settings Settings
	store    *undelivered.Store
	planner  *resend.Planner
	log      *slog.Logger
	Callbacks

	inProgress    map[uint64]int // destinations of the entries that are being resent, by number
	lastCleanup   Time
	scheduledWake Time // when the next Step is scheduled; 0 if it is not
	started       bool
}

const (
	cleanupInterval         = 10 * control.Second
	cleanupContinueInterval = 100 * control.Millisecond // time to the next cleanup if one reached its limits
	retryInterval           = 5 * control.Second        // time before a submission that was not accepted is retried
)

// New returns a Resender. Start must follow once the journal has been read.
func New(settings Settings, store *undelivered.Store, log *slog.Logger) *Resender {
	d := &Resender{
		settings: settings, store: store, planner: resend.NewPlanner(settings.MaxInFlight, settings.RateShare, settings.TrialInterval), log: log, inProgress: map[uint64]int{},
	}
	store.OnRemove(d.planner.Remove)
	return d
}

// Start schedules the entries of the store.
func (d *Resender) Start() {
	counts := map[undelivered.State]int{}
	d.store.Each(0, func(s undelivered.Summary) bool {
		counts[s.State]++
		if s.State == undelivered.InFlight {
			d.planner.AddInFlight(s.Destination)
			d.inProgress[s.Number] = s.Destination
		} else {
			d.schedule(s.Number)
		}
		return true
	})
	d.lastCleanup, d.started = d.store.Now(), true
	if d.store.Len() > 0 {
		d.log.Info("undelivered messages are kept", "states", fmt.Sprint(counts), "bytes", d.store.DiskBytes())
	}
	d.armWake()
}

// schedule adds an entry to the planner if a rule or an operator resends it, else removes it.
func (d *Resender) schedule(no uint64) {
	s, ok := d.store.Get(no)
	if !ok {
		return
	}
	if _, busy := d.inProgress[no]; busy {
		return
	}
	switch s.State {
	case undelivered.Claimed:
		if c := d.store.ActiveClaim(no); c != nil && c.Manual {
			d.planner.Schedule(s.Node(), 0)
			return
		}
	case undelivered.Waiting:
		if d.store.EndNotStored(no) {
			break
		}
		switch v := d.settings.Rules.Decide(&s.Item, d.store.Now()); v.Action {
		case resend.Wait:
			d.planner.Schedule(s.Node(), v.At)
			return
		case resend.Ask, resend.Send, resend.SendInDoubt:
			d.planner.Schedule(s.Node(), d.store.Now())
			return
		}
	}
	d.planner.Remove(s.Node())
}

// armWake schedules the next Step.
func (d *Resender) armWake() {
	if !d.started {
		return
	}
	at := d.lastCleanup + cleanupInterval
	if t, ok := d.planner.NextDue(); ok && t < at {
		at = t
	}
	if now := d.store.Now(); at < now {
		at = now
	}
	if d.scheduledWake == 0 || at < d.scheduledWake {
		d.scheduledWake = at
		d.WakeAt(at)
	}
}

// Step runs a due cleanup and resends the entries that are due.
func (d *Resender) Step() {
	d.scheduledWake = 0
	now := d.store.Now()
	if now-d.lastCleanup >= cleanupInterval {
		d.lastCleanup = now
		released, more := d.store.Cleanup()
		for _, no := range released {
			d.schedule(no)
		}
		if more {
			d.lastCleanup = now - cleanupInterval + cleanupContinueInterval
		}
	}
	for _, n := range d.planner.Pick(now, d.Condition) {
		d.inProgress[n.Number] = n.Destination()
		d.process(n.Number)
	}
	d.armWake()
}

// process takes the next step for an entry that the planner picked.
func (d *Resender) process(no uint64) {
	s, ok := d.store.Get(no)
	if !ok {
		d.complete(no, resend.Inconclusive)
		return
	}
	now := d.store.Now()
	var v resend.Decision
	claim, by := uint64(0), ""
	c := d.store.ActiveClaim(no)
	switch {
	case c != nil && c.Manual && c.SubmittedID == "":
		claim, by = c.Number, c.By
		v = d.settings.Rules.DecideManual(&s.Item, now, c.ConfirmedNoEffect)
	case c == nil && s.State == undelivered.Waiting:
		v = d.settings.Rules.Decide(&s.Item, now)
	default: // it has ended, or is claimed otherwise
		d.complete(no, resend.Inconclusive)
		return
	}
	if v.Action == resend.Wait || v.Action == resend.Leave {
		d.complete(no, resend.Inconclusive)
		if v.Action == resend.Wait {
			d.planner.Schedule(s.Node(), v.At)
		} else if claim != 0 {
			d.store.Release(no, claim, v.Reason)
			d.schedule(no)
		}
		return
	}
	if claim == 0 && v.Action != resend.Ask {
		d.claimAndSubmit(&s, "rule "+v.Rule, v.Action == resend.SendInDoubt)
		return
	}
	if claim == 0 {
		e, err := d.store.Claim(no, undelivered.Claim{By: "rule " + v.Rule})
		if err != nil {
			d.claimFailed(&s, err)
			return
		}
		claim = e.Claim.Number
	}
	switch v.Action {
	case resend.Ask:
		d.inquire(no, claim, s.Destination)
	case resend.ClearDoubt:
		if d.store.ClearDoubt(no, claim, by, c.Why) != nil {
			d.releaseAndRetry(no, claim, "what its operator says can't be written")
			return
		}
		d.submitClaimed(no, claim, false)
	default:
		d.submitClaimed(no, claim, v.Action == resend.SendInDoubt)
	}
}

// complete records that an entry is no longer being resent.
func (d *Resender) complete(no uint64, f resend.SendResult) {
	if dest, ok := d.inProgress[no]; ok {
		delete(d.inProgress, no)
		d.planner.Completed(dest, d.store.Now(), f)
	}
}

// releaseAndRetry releases a claim under which nothing was sent, and schedules a retry.
func (d *Resender) releaseAndRetry(no, claim uint64, why string) {
	d.store.Release(no, claim, why)
	d.complete(no, resend.Inconclusive)
	if s, ok := d.store.Get(no); ok && s.State == undelivered.Waiting {
		d.planner.Schedule(s.Node(), d.store.Now()+retryInterval)
	}
}

func (d *Resender) inquire(no, claim uint64, dest int) {
	e, err := d.store.Entry(no)
	if err != nil {
		d.releaseAndRetry(no, claim, "its file can't be read")
		return
	}
	q := &Question{Number: no, ClaimNumber: claim, Destination: dest, AskedAt: d.store.Now(), IDs: e.Doubt.IDs, Key: e.Key}
	if c := d.findClass(e.Class); c == nil || c.Ordered { // messages of an ordered class share keys
		q.Key = ""
	}
	d.Inquire(q)
}

func (d *Resender) findClass(name string) *resend.Class {
	if i := slices.IndexFunc(d.settings.Rules.Classes, func(c resend.Class) bool { return c.Name == name }); i >= 0 {
		return &d.settings.Rules.Classes[i]
	}
	return nil
}

// InquiryAnswered handles a partner's answer. why is the partner's explanation, for operators.
func (d *Resender) InquiryAnswered(q *Question, a resend.Answer, why string) {
	defer d.armWake()
	c := d.store.ActiveClaim(q.Number)
	s, ok := d.store.Get(q.Number)
	if !ok || c == nil || c.Number != q.ClaimNumber || c.SubmittedID != "" { // the claim expired meanwhile
		d.complete(q.Number, resend.Inconclusive)
		d.schedule(q.Number)
		return
	}
	d.store.RecordInquiry(q.Number, q.ClaimNumber, a, why)
	switch v := d.settings.Rules.DecideInquiry(&s.Item, q.AskedAt, d.store.Now(), a); v.Action {
	case resend.MarkDelivered:
		d.store.End(q.Number, undelivered.EndTookEffect, "inquiry", why, "")
		d.complete(q.Number, resend.Success)
	case resend.ClearDoubt:
		if d.store.ClearDoubt(q.Number, q.ClaimNumber, "inquiry", why) != nil {
			d.releaseAndRetry(q.Number, q.ClaimNumber, "the answer can't be written")
			return
		}
		d.submitClaimed(q.Number, q.ClaimNumber, false)
	case resend.Wait:
		d.complete(q.Number, resend.Inconclusive)
		if !c.Manual { // an operator's claim stays, and the inquiry is retried until it expires
			d.store.Release(q.Number, q.ClaimNumber, v.Reason)
		}
		if s, ok = d.store.Get(q.Number); ok {
			d.planner.Schedule(s.Node(), v.At)
		}
	default:
		d.store.Hold(q.Number, "inquiry", v.Reason)
		d.store.Release(q.Number, q.ClaimNumber, v.Reason)
		d.complete(q.Number, resend.Inconclusive)
	}
}

// submitClaimed submits an entry under its claim.
func (d *Resender) submitClaimed(no, claim uint64, doubted bool) {
	s, _ := d.store.Get(no)
	m, err := d.store.BeginSubmission(no, claim)
	if err != nil {
		d.releaseAndRetry(no, claim, err.Error())
		return
	}
	d.submit(&s, claim, m, doubted)
}

// claimAndSubmit claims and submits an entry that needs no inquiry, for a rule.
func (d *Resender) claimAndSubmit(s *undelivered.Summary, by string, doubted bool) {
	claim, m, err := d.store.ClaimAndBeginSubmission(s.Number, undelivered.Claim{By: by})
	if err != nil {
		d.claimFailed(s, err)
		return
	}
	d.submit(s, claim, m, doubted)
}

// claimFailed handles an entry that could not be claimed.
func (d *Resender) claimFailed(s *undelivered.Summary, err error) {
	d.complete(s.Number, resend.Inconclusive)
	if !errors.Is(err, undelivered.ErrNotFound) && !errors.Is(err, undelivered.ErrEnded) {
		d.planner.Schedule(s.Node(), d.store.Now()+cleanupInterval)
	}
}

// submit submits a message whose submission the store has recorded.
func (d *Resender) submit(s *undelivered.Summary, claim uint64, m engine.Message, doubted bool) {
	in := &engine.Submit{Message: m, Resent: true, ResentFrom: &ledger.Key{Class: s.Class, Destination: s.Destination, Tenant: s.Tenant}}
	if doubted {
		in.DoubtAge, in.DoubtZone = max(d.store.Now()-s.Doubt.FirstSent, 1), s.Doubt.Zone
	}
	no := s.Number
	deadline := Time(0)
	if c := d.findClass(m.Class); c != nil {
		deadline = c.Deadline
	}
	d.Submit(in, deadline, func(v engine.Verdict) { d.handleVerdict(no, claim, v) })
}

// handleVerdict handles the verdict on a submission.
func (d *Resender) handleVerdict(no, claim uint64, v engine.Verdict) {
	defer d.armWake()
	switch v.Kind {
	case engine.Accepted:
	case engine.Unconfirmed, engine.AlreadyEnded:
		// The journal may have the message. The engine then ends it, and the keeper reports that end. If the process
		// ends first, the next one reads the journal.
	case engine.Invalid, engine.Conflict:
		d.store.Hold(no, "dispatcher", v.Reason)
		d.releaseAndRetry(no, claim, v.Reason)
	default:
		d.releaseAndRetry(no, claim, v.Reason)
	}
}

// SubmissionEnded implements undelivered.Events.
func (d *Resender) SubmissionEnded(no uint64, disposition string, tried bool) {
	switch {
	case disposition == undelivered.EndDelivered:
		d.complete(no, resend.Success)
	case tried && (disposition == "failed" || disposition == "refused"):
		d.complete(no, resend.Failure)
	default: // a call that was out when an earlier process ended fails for that reason alone
		d.complete(no, resend.Inconclusive)
	}
	d.armWake()
}

// Claimable implements undelivered.Events.
func (d *Resender) Claimable(no uint64) {
	d.schedule(no)
	d.armWake()
}

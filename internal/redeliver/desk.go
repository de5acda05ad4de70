// Package redeliver carries out what package resend decides about undelivered messages: it claims entries of the store,
// asks partners, hands messages in again, and takes the commands of operators.
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

// Settings of a desk.
type Settings struct {
	Rules               resend.Settings
	MaxInFlight         int     // messages that are being sent again at a time, at most
	RateShare           float64 // of the rates listed for destinations
	TrialInterval       Time    // between two messages to a destination that ails
	ManualClaimDuration Time    // how long an operator's claim lasts where nothing can be handed in
}

// Callbacks are what a desk goes by. It calls them on the driver's goroutine, and none may block.
type Callbacks struct {
	// Submit hands a message in that may be delivered for so long; told is called with the verdict, on the driver's
	// goroutine, or never if the driver stops.
	Submit func(in *engine.Submit, life Time, told func(engine.Verdict))

	// Condition tells how a destination does, and its listed rate.
	Condition func(dest int) (control.Condition, float64)

	// Inquire asks a partner. Desk.Answered follows, on the driver's goroutine, or never if the driver stops.
	Inquire func(q *Question)

	// WakeAt has Step called at that time of the store's, in place of what was asked for before.
	WakeAt func(at Time)
}

// Question is an inquiry.
type Question struct {
	Number, ClaimNumber uint64
	Destination         int
	AskedAt             Time
	IDs                 []string // took any of these effect,
	Key                 string   // or this?
}

// Resender is where undelivered messages are worked on. All its methods are called on the driver's goroutine, so that one
// thing happens after the other: a claim, an end, a command.
type Resender struct {
	set   Settings
	store *undelivered.Store
	plan  *resend.Planner
	log   *slog.Logger
	Callbacks

	sending map[uint64]int // entries that were picked, with their destinations
	swept   Time
	armed   Time // when Step is due as asked for, 0: not
	started bool
}

const (
	sweepEvery = 10 * control.Second
	sweepMore  = 100 * control.Millisecond // where there was too much for one
	later      = 5 * control.Second        // a hand-in that found no room is tried again after this
)

// New makes a desk. Start follows when the journal has been read.
func New(set Settings, store *undelivered.Store, log *slog.Logger) *Resender {
	d := &Resender{
		set: set, store: store, plan: resend.NewPlanner(set.MaxInFlight, set.RateShare, set.TrialInterval), log: log, sending: map[uint64]int{},
	}
	store.OnRemove(d.plan.Remove)
	return d
}

// Start takes up what lies there.
func (d *Resender) Start() {
	counts := map[undelivered.State]int{}
	d.store.Each(0, func(s undelivered.Summary) bool {
		counts[s.State]++
		if s.State == undelivered.InFlight {
			d.plan.AddInFlight(s.Destination)
			d.sending[s.Number] = s.Destination
		} else {
			d.consider(s.Number)
		}
		return true
	})
	d.swept, d.started = d.store.Now(), true
	if d.store.Len() > 0 {
		d.log.Info("undelivered messages are kept", "states", fmt.Sprint(counts), "bytes", d.store.DiskBytes())
	}
	d.arm()
}

// consider puts an entry where it belongs: into the planner, if a rule or an operator sends it.
func (d *Resender) consider(no uint64) {
	s, ok := d.store.Get(no)
	if !ok {
		return
	}
	if _, busy := d.sending[no]; busy {
		return
	}
	switch s.State {
	case undelivered.Claimed:
		if c := d.store.ActiveClaim(no); c != nil && c.Manual {
			d.plan.Schedule(s.Node(), 0)
			return
		}
	case undelivered.Waiting:
		if d.store.EndNotStored(no) {
			break
		}
		switch v := d.set.Rules.Decide(&s.Item, d.store.Now()); v.Action {
		case resend.Wait:
			d.plan.Schedule(s.Node(), v.At)
			return
		case resend.Ask, resend.Send, resend.SendInDoubt:
			d.plan.Schedule(s.Node(), d.store.Now())
			return
		}
	}
	d.plan.Remove(s.Node())
}

// arm asks to be woken when something is due.
func (d *Resender) arm() {
	if !d.started {
		return
	}
	at := d.swept + sweepEvery
	if t, ok := d.plan.NextDue(); ok && t < at {
		at = t
	}
	if now := d.store.Now(); at < now {
		at = now
	}
	if d.armed == 0 || at < d.armed {
		d.armed = at
		d.WakeAt(at)
	}
}

// Step does what is due.
func (d *Resender) Step() {
	d.armed = 0
	now := d.store.Now()
	if now-d.swept >= sweepEvery {
		d.swept = now
		released, more := d.store.Cleanup()
		for _, no := range released {
			d.consider(no)
		}
		if more {
			d.swept = now - sweepEvery + sweepMore
		}
	}
	for _, n := range d.plan.Pick(now, d.Condition) {
		d.sending[n.Number] = n.Destination()
		d.work(n.Number)
	}
	d.arm()
}

// work goes on with an entry that was picked.
func (d *Resender) work(no uint64) {
	s, ok := d.store.Get(no)
	if !ok {
		d.done(no, resend.Inconclusive)
		return
	}
	now := d.store.Now()
	var v resend.Decision
	claim, by := uint64(0), ""
	c := d.store.ActiveClaim(no)
	switch {
	case c != nil && c.Manual && c.SubmittedID == "":
		claim, by = c.Number, c.By
		v = d.set.Rules.DecideManual(&s.Item, now, c.ConfirmedNoEffect)
	case c == nil && s.State == undelivered.Waiting:
		v = d.set.Rules.Decide(&s.Item, now)
	default: // it has ended, or somebody else has it
		d.done(no, resend.Inconclusive)
		return
	}
	if v.Action == resend.Wait || v.Action == resend.Leave {
		d.done(no, resend.Inconclusive)
		if v.Action == resend.Wait {
			d.plan.Schedule(s.Node(), v.At)
		} else if claim != 0 {
			d.store.Release(no, claim, v.Reason)
			d.consider(no)
		}
		return
	}
	if claim == 0 && v.Action != resend.Ask {
		d.claimAndHand(&s, "rule "+v.Rule, v.Action == resend.SendInDoubt)
		return
	}
	if claim == 0 {
		e, err := d.store.Claim(no, undelivered.Claim{By: "rule " + v.Rule})
		if err != nil {
			d.unclaimed(&s, err)
			return
		}
		claim = e.Claim.Number
	}
	switch v.Action {
	case resend.Ask:
		d.ask(no, claim, s.Destination)
	case resend.ClearDoubt:
		if d.store.ClearDoubt(no, claim, by, c.Why) != nil {
			d.giveBack(no, claim, "what its operator says can't be written")
			return
		}
		d.hand(no, claim, false)
	default:
		d.hand(no, claim, v.Action == resend.SendInDoubt)
	}
}

// done says that an entry is not being sent any more.
func (d *Resender) done(no uint64, f resend.SendResult) {
	if dest, ok := d.sending[no]; ok {
		delete(d.sending, no)
		d.plan.Completed(dest, d.store.Now(), f)
	}
}

// giveBack releases a claim under which nothing went out, and tries again later.
func (d *Resender) giveBack(no, claim uint64, why string) {
	d.store.Release(no, claim, why)
	d.done(no, resend.Inconclusive)
	if s, ok := d.store.Get(no); ok && s.State == undelivered.Waiting {
		d.plan.Schedule(s.Node(), d.store.Now()+later)
	}
}

// ---- doubt ----

func (d *Resender) ask(no, claim uint64, dest int) {
	e, err := d.store.Entry(no)
	if err != nil {
		d.giveBack(no, claim, "its file can't be read")
		return
	}
	q := &Question{Number: no, ClaimNumber: claim, Destination: dest, AskedAt: d.store.Now(), IDs: e.Doubt.IDs, Key: e.Key}
	if c := d.class(e.Class); c == nil || c.Ordered { // there others have the same key
		q.Key = ""
	}
	d.Inquire(q)
}

func (d *Resender) class(name string) *resend.Class {
	if i := slices.IndexFunc(d.set.Rules.Classes, func(c resend.Class) bool { return c.Name == name }); i >= 0 {
		return &d.set.Rules.Classes[i]
	}
	return nil
}

// InquiryAnswered takes a partner's answer up; why is what it said, for people.
func (d *Resender) InquiryAnswered(q *Question, a resend.Answer, why string) {
	defer d.arm()
	c := d.store.ActiveClaim(q.Number)
	s, ok := d.store.Get(q.Number)
	if !ok || c == nil || c.Number != q.ClaimNumber || c.SubmittedID != "" { // its claim's time was over meanwhile
		d.done(q.Number, resend.Inconclusive)
		d.consider(q.Number)
		return
	}
	d.store.RecordInquiry(q.Number, q.ClaimNumber, a, why)
	switch v := d.set.Rules.DecideInquiry(&s.Item, q.AskedAt, d.store.Now(), a); v.Action {
	case resend.MarkDelivered:
		d.store.End(q.Number, undelivered.EndTookEffect, "inquiry", why, "")
		d.done(q.Number, resend.Success)
	case resend.ClearDoubt:
		if d.store.ClearDoubt(q.Number, q.ClaimNumber, "inquiry", why) != nil {
			d.giveBack(q.Number, q.ClaimNumber, "the answer can't be written")
			return
		}
		d.hand(q.Number, q.ClaimNumber, false)
	case resend.Wait:
		d.done(q.Number, resend.Inconclusive)
		if !c.Manual { // an operator's claim stays: it is tried again as long as that lasts
			d.store.Release(q.Number, q.ClaimNumber, v.Reason)
		}
		if s, ok = d.store.Get(q.Number); ok {
			d.plan.Schedule(s.Node(), v.At)
		}
	default:
		d.store.Hold(q.Number, "inquiry", v.Reason)
		d.store.Release(q.Number, q.ClaimNumber, v.Reason)
		d.done(q.Number, resend.Inconclusive)
	}
}

// ---- a new life ----

// hand hands an entry in that its claim allows to be sent.
func (d *Resender) hand(no, claim uint64, doubted bool) {
	s, _ := d.store.Get(no)
	m, err := d.store.BeginSubmission(no, claim)
	if err != nil {
		d.giveBack(no, claim, err.Error())
		return
	}
	d.send(&s, claim, m, doubted)
}

// claimAndHand is what a rule does with an entry that needs no inquiry.
func (d *Resender) claimAndHand(s *undelivered.Summary, by string, doubted bool) {
	claim, m, err := d.store.ClaimAndBeginSubmission(s.Number, undelivered.Claim{By: by})
	if err != nil {
		d.unclaimed(s, err)
		return
	}
	d.send(s, claim, m, doubted)
}

// unclaimed says that a claim came to nothing.
func (d *Resender) unclaimed(s *undelivered.Summary, err error) {
	d.done(s.Number, resend.Inconclusive)
	if !errors.Is(err, undelivered.ErrNotFound) && !errors.Is(err, undelivered.ErrEnded) {
		d.plan.Schedule(s.Node(), d.store.Now()+sweepEvery)
	}
}

// send hands a message in that the store says is away.
func (d *Resender) send(s *undelivered.Summary, claim uint64, m engine.Message, doubted bool) {
	in := &engine.Submit{Message: m, Resent: true, ResentFrom: &ledger.Key{Class: s.Class, Destination: s.Destination, Tenant: s.Tenant}}
	if doubted {
		in.DoubtAge, in.DoubtZone = max(d.store.Now()-s.Doubt.FirstSent, 1), s.Doubt.Zone
	}
	no := s.Number
	life := Time(0)
	if c := d.class(m.Class); c != nil {
		life = c.Deadline
	}
	d.Submit(in, life, func(v engine.Verdict) { d.told(no, claim, v) })
}

// told takes up what became of a hand-in.
func (d *Resender) told(no, claim uint64, v engine.Verdict) {
	defer d.arm()
	switch v.Kind {
	case engine.Accepted:
	case engine.Unconfirmed, engine.AlreadyEnded:
		// The journal may have it. The engine ends it there, and its end comes by the keeper; or the process ends first,
		// and the next one reads what the journal has.
	case engine.Invalid, engine.Conflict:
		d.store.Hold(no, "dispatcher", v.Reason)
		d.giveBack(no, claim, v.Reason)
	default:
		d.giveBack(no, claim, v.Reason)
	}
}

// Over is undelivered.Events': the new life of an entry ended.
func (d *Resender) SubmissionEnded(no uint64, how string, tried bool) {
	switch {
	case how == undelivered.EndDelivered:
		d.done(no, resend.Success)
	case tried && (how == "failed" || how == "refused"):
		d.done(no, resend.Failure)
	default: // one whose call was out when an earlier process ended fails for that alone
		d.done(no, resend.Inconclusive)
	}
	d.arm()
}

// Free is undelivered.Events': an entry may be claimed from now on.
func (d *Resender) Claimable(no uint64) {
	d.consider(no)
	d.arm()
}

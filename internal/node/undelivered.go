package node

import (
	"context"
	"curlewmux/internal/admin"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/journal"
	"curlewmux/internal/operator"
	"curlewmux/internal/redeliver"
	"curlewmux/internal/wire"
	"curlewmux/resend"
	"curlewmux/undelivered"
)

// Undelivered is what has a dispatcher keep what it could not deliver, and send it again. ReadUndelivered makes it.
type Undelivered struct {
	store     undelivered.Settings
	desk      redeliver.Settings
	inquiries map[int]redeliver.InquiryEndpoint
	socket    string // name of the socket in the state folder, "" for none
}

const mostBody = 64 << 10 // of a message over HTTP

// ReadUndelivered reads what the operator's file says against the configuration: names must be known there. It takes its
// share off the configuration's disk. Its errors name the setting.
func ReadUndelivered(u *operator.Undelivered, c *Config) (*Undelivered, error) {
	share := int64(u.Share * float64(c.Disk))
	if share < undelivered.MinDiskBytes || c.Disk-share < journal.MinDisk {
		return nil, fmt.Errorf("undelivered.disk_share: %g of %d bytes leave too little: %d for the store and %d for the journal are the least",
			u.Share, c.Disk, int64(undelivered.MinDiskBytes), int64(journal.MinDisk))
	}
	if ring := int64(*u.Refused) * 256; ring > share/4 {
		return nil, fmt.Errorf("undelivered.refused: %d take %d bytes, over a quarter of the store's share of %d", *u.Refused, ring, share)
	}
	out := &Undelivered{
		store: undelivered.Settings{
			MaxDiskBytes: share, EvictLeastWorth: u.WhenFull == "least-worth", Retention: span(u.Retain), EndedRetention: span(u.RetainEnded),
			RefusedSlots: *u.Refused, ClassRetention: map[string]undelivered.Time{},
		},
		desk: redeliver.Settings{
			MaxInFlight: max(1, int(u.Slots*float64(c.Settings.Slots))), RateShare: u.Rate, TrialInterval: span(u.Trial), ManualClaimDuration: span(u.Claim),
		},
		inquiries: map[int]redeliver.InquiryEndpoint{}, socket: *u.Socket,
	}
	rules := &out.desk.Rules
	rules.MaxBody = mostBody
	if c.Mail != nil && c.Mail.front != nil {
		rules.MaxBody = max(rules.MaxBody, int(c.Mail.front.Size))
	}
	for i := range c.Settings.Classes {
		k := &c.Settings.Classes[i]
		rules.Classes = append(rules.Classes, resend.Class{
			Name: k.Name, Effect: k.Effect, ZoneGroup: k.ZoneGroup, Ordered: k.InOrder, DedupWindow: k.Window, Deadline: k.Deadline, Worth: k.Worth,
		})
	}
	out.store.Classes, rules.Tenants = rules.Classes, c.tenants()
	class := func(name string) bool {
		return slices.ContainsFunc(rules.Classes, func(k resend.Class) bool { return k.Name == wire.Plain(name) })
	}
	for name, v := range u.RetainClass { // of a class that is gone it goes on to hold
		out.store.ClassRetention[wire.Plain(name)] = span(v)
	}
	for _, p := range u.Partners {
		out.desk.Rules.Partners = append(out.desk.Rules.Partners, resend.Partner{
			Destination: *p.Dest, SettleTime: span(p.Settle), RememberTime: span(p.Remembers),
			Proof: map[string]resend.Proof{"none": resend.NoProof, "key": resend.ByKey, "inquiry": resend.ByInquiry}[p.Proof],
		})
		if p.Proof == "inquiry" {
			out.inquiries[*p.Dest] = redeliver.InquiryEndpoint{Addr: p.Address, Path: p.Path, Timeout: p.Timeout.Duration()}
		}
	}
	for i, r := range u.Rules {
		at := fmt.Sprintf("undelivered.rule[%d] (%s)", i, r.Name)
		rule := resend.Rule{
			Name: r.Name, Destinations: r.Dests, Causes: r.Causes, MaxAge: span(r.MaxAge), MaxResends: r.Tries, FirstDelay: span(r.First),
			Factor: r.Factor, MaxDelay: span(r.Most), Jitter: *r.Jitter,
			Doubt: map[string]resend.DoubtFilter{"any": resend.AnyDoubt, "none": resend.NoDoubt, "only": resend.OnlyDoubt}[r.Doubt],
		}
		for _, name := range r.Classes {
			if !class(name) {
				return nil, fmt.Errorf("%s.classes: %q is unknown", at, name)
			}
			rule.Classes = append(rule.Classes, wire.Plain(name))
		}
		for _, name := range r.Tenants {
			if !slices.Contains(rules.Tenants, wire.Plain(name)) {
				return nil, fmt.Errorf("%s.tenants: %q is unknown", at, name)
			}
			rule.Tenants = append(rule.Tenants, wire.Plain(name))
		}
		rules.Rules = append(rules.Rules, rule)
	}
	c.Disk -= share
	return out, nil
}

func span(s operator.Span) resend.Time { return resend.Time(float64(s) * float64(control.Second)) }

// keptParts are what a node has beside the rest where undelivered messages are kept.
type keptParts struct {
	set    *Undelivered
	store  *undelivered.Store
	keeper *undelivered.Keeper
	desk   *redeliver.Resender
	ask    *redeliver.Inquirer
	timer  host.Timer // of the driver's goroutine
}

// assembleKept has the engine tell what is given up.
func (n *Node) assembleKept(set *engine.Settings) {
	if n.cfg.Undelivered == nil {
		return
	}
	n.kept = &keptParts{set: n.cfg.Undelivered}
	set.CheckUndelivered = func(m *engine.Message) (engine.VerdictKind, string) { return n.kept.store.CheckDuplicate(m) }
}

// openKept opens the store, once the journal has been read, and puts it in the journal's place.
func (n *Node) openKept(state *journal.State, random func() uint64) error {
	k := n.kept
	if k == nil {
		return nil
	}
	set := k.set.store
	set.Now, set.Wall, set.Random, set.Log, set.Sync = n.host.Now, n.host.Wall, random, n.log, n.cfg.Sync == journal.SyncAlways
	var err error
	if k.store, err = undelivered.Open(n.dir(), set); err != nil {
		return err
	}
	k.store.Reconcile(state.Live, state.Ended)
	k.desk = redeliver.New(k.set.desk, k.store, n.log)
	k.ask = redeliver.NewInquirer(n.host, k.set.inquiries, func(q *redeliver.Question, a resend.Answer, why string) {
		n.driver.Do(func() { k.desk.InquiryAnswered(q, a, why) })
	})
	k.desk.Callbacks = redeliver.Callbacks{
		Submit: func(in *engine.Submit, life redeliver.Time, told func(engine.Verdict)) {
			n.driver.Resend(in, n.host.Now().Add(engine.Duration(life)), told)
		},
		Condition: n.driver.Engine().Condition,
		Inquire:   k.ask.Ask,
		WakeAt:    n.wakeKept,
	}
	k.keeper = undelivered.NewKeeper(n.driver.Components.Store, k.store, n.clock, k.desk)
	n.driver.Components.Store = k.keeper
	n.driver.Components.Sink = &keptSink{n.driver.Components.Sink, n}
	return nil
}

// wakeKept has the desk work at a time of the store's.
func (n *Node) wakeKept(at redeliver.Time) {
	k := n.kept
	if k.timer != nil {
		k.timer.Stop()
	}
	wait := max(engine.Duration(at-k.store.Now()), time.Millisecond)
	k.timer = n.host.AfterFunc(wait, func() { n.driver.Do(k.desk.Step) })
}

// startKept begins to send again, once the engine knows what the journal held.
func (n *Node) startKept() {
	if n.kept == nil {
		return
	}
	n.driver.Do(n.kept.desk.Start)
}

// commandKept answers a command about undelivered messages.
func (n *Node) commandKept(ctx context.Context, by admin.Peer, text json.RawMessage, reply func(any) error) error {
	var r redeliver.Request
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("%w: %w", redeliver.ErrRequest, err)
	}
	if r.By != "" {
		r.By = fmt.Sprintf("%s (user %d)", r.By, by.UID)
	}
	for _, list := range [][]string{r.Filter.Classes, r.Filter.Tenants} {
		for i := range list {
			list[i] = wire.Plain(list[i])
		}
	}
	return n.service().Handle(ctx, &r, func(l *redeliver.Reply) error { return reply(l) })
}

func (n *Node) service() *redeliver.Service {
	return &redeliver.Service{Resender: n.kept.desk, Dir: n.dir(), RunOnDriver: n.driver.Do, Sleep: func(d time.Duration) {
		n.host.NewInbox().Take(nil, n.host.Now().Add(d))
	}}
}

// storedKept passes on what the journal tells later.
func (n *Node) storedKept(b engine.Batch) {
	if n.kept != nil {
		n.driver.Do(func() { n.kept.keeper.Stored(b) })
	}
}

// closeKept closes the store, once the driver has stopped.
func (n *Node) closeKept() {
	if n.kept == nil {
		return
	}
	n.kept.ask.Close()
	if n.kept.timer != nil {
		n.kept.timer.Stop()
	}
	if err := n.kept.store.Close(); err != nil {
		n.log.Warn("the store of undelivered messages did not close well", "error", err)
	}
}

// keptSink tells nobody of the ends of what is sent again: its client had its answer.
type keptSink struct {
	engine.Sink
	n *Node
}

func (s *keptSink) Completed(d *engine.Done) {
	switch {
	case !s.n.kept.store.IsResentID(d.ID):
		s.Sink.Completed(d)
	case d.Disposition == engine.Refused || d.Disposition == engine.Failed:
		s.n.driver.Notified([]string{d.ID})
	}
}

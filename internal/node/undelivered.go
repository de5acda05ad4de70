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
	store      undelivered.Settings
	redelivery redeliver.Settings
	inquiries  map[int]redeliver.Inquiry
	socket     string // name of the socket in the state folder, "" for none
}

const maxHTTPBodyBytes = 64 << 10 // of a message over HTTP

// ReadUndelivered reads what the operator's file says against the configuration: names must be known there. It takes its
// share off the configuration's disk. Its errors name the setting.
func ReadUndelivered(file *operator.Undelivered, config *Config) (*Undelivered, error) {
	share := int64(file.Share * float64(config.Disk))
	if share < undelivered.LeastDisk || config.Disk-share < journal.LeastDisk {
		return nil, fmt.Errorf("undelivered.disk_share: %g of %d bytes leave too little: %d for the store and %d for the journal are the least",
			file.Share, config.Disk, int64(undelivered.LeastDisk), int64(journal.LeastDisk))
	}
	if refusedBytes := int64(*file.Refused) * 256; refusedBytes > share/4 {
		return nil, fmt.Errorf("undelivered.refused: %d take %d bytes, over a quarter of the store's share of %d", *file.Refused, refusedBytes, share)
	}
	out := &Undelivered{
		store: undelivered.Settings{
			Disk: share, LeastWorth: file.WhenFull == "least-worth", Retain: spanToTime(file.Retain), RetainEnd: spanToTime(file.RetainEnded),
			Refused: *file.Refused, ClassKeep: map[string]undelivered.Time{},
		},
		redelivery: redeliver.Settings{
			Slots: max(1, int(file.Slots*float64(config.Settings.Slots))), Share: file.Rate, Trial: spanToTime(file.Trial), Hand: spanToTime(file.Claim),
		},
		inquiries: map[int]redeliver.Inquiry{}, socket: *file.Socket,
	}
	rules := &out.redelivery.Rules
	rules.MaxBody = maxHTTPBodyBytes
	if config.Mail != nil && config.Mail.front != nil {
		rules.MaxBody = max(rules.MaxBody, int(config.Mail.front.Size))
	}
	for i := range config.Settings.Classes {
		k := &config.Settings.Classes[i]
		rules.Classes = append(rules.Classes, resend.Class{
			Name: k.Name, Effect: k.Effect, ZoneGroup: k.ZoneGroup, Ordered: k.InOrder, DedupWindow: k.Window, Deadline: k.Deadline, Worth: k.Worth,
		})
	}
	out.store.Classes, rules.Tenants = rules.Classes, config.tenants()
	class := func(name string) bool {
		return slices.ContainsFunc(rules.Classes, func(k resend.Class) bool { return k.Name == wire.Plain(name) })
	}
	for name, v := range file.RetainClass { // of a class that is gone it goes on to hold
		out.store.ClassKeep[wire.Plain(name)] = spanToTime(v)
	}
	for _, p := range file.Partners {
		out.redelivery.Rules.Partners = append(out.redelivery.Rules.Partners, resend.Partner{
			Destination: *p.Dest, SettleTime: spanToTime(p.Settle), RememberTime: spanToTime(p.Remembers),
			Proof: map[string]resend.Proof{"none": resend.NoProof, "key": resend.ByKey, "inquiry": resend.ByInquiry}[p.Proof],
		})
		if p.Proof == "inquiry" {
			out.inquiries[*p.Dest] = redeliver.Inquiry{Addr: p.Address, Path: p.Path, Limit: p.Timeout.Duration()}
		}
	}
	for i, r := range file.Rules {
		path := fmt.Sprintf("undelivered.rule[%d] (%s)", i, r.Name)
		rule := resend.Rule{
			Name: r.Name, Destinations: r.Dests, Causes: r.Causes, MaxAge: spanToTime(r.MaxAge), MaxResends: r.Tries, FirstDelay: spanToTime(r.First),
			Factor: r.Factor, MaxDelay: spanToTime(r.Most), Jitter: *r.Jitter,
			Doubt: map[string]resend.DoubtFilter{"any": resend.AnyDoubt, "none": resend.NoDoubt, "only": resend.OnlyDoubt}[r.Doubt],
		}
		for _, name := range r.Classes {
			if !class(name) {
				return nil, fmt.Errorf("%s.classes: %q is unknown", path, name)
			}
			rule.Classes = append(rule.Classes, wire.Plain(name))
		}
		for _, name := range r.Tenants {
			if !slices.Contains(rules.Tenants, wire.Plain(name)) {
				return nil, fmt.Errorf("%s.tenants: %q is unknown", path, name)
			}
			rule.Tenants = append(rule.Tenants, wire.Plain(name))
		}
		rules.Rules = append(rules.Rules, rule)
	}
	config.Disk -= share
	return out, nil
}

func spanToTime(s operator.Span) resend.Time {
	return resend.Time(float64(s) * float64(control.Second))
}

// undeliveredParts are what a node has beside the rest where undelivered messages are kept.
type undeliveredParts struct {
	settings   *Undelivered
	store      *undelivered.Store
	keeper     *undelivered.Keeper
	redelivery *redeliver.Desk
	inquirer   *redeliver.Inquirer
	timer      host.Timer // of the driver's goroutine
}

// assembleUndelivered has the engine tell what is given up.
func (n *Node) assembleUndelivered(set *engine.Settings) {
	if n.cfg.Undelivered == nil {
		return
	}
	n.undelivered = &undeliveredParts{settings: n.cfg.Undelivered}
	set.CheckUndelivered = func(m *engine.Message) (engine.VerdictKind, string) { return n.undelivered.store.Again(m) }
}

// openUndelivered opens the store, once the journal has been read, and puts it in the journal's place.
func (n *Node) openUndelivered(state *journal.State, random func() uint64) error {
	k := n.undelivered
	if k == nil {
		return nil
	}
	set := k.settings.store
	set.Now, set.Wall, set.Random, set.Log, set.Sync = n.host.Now, n.host.Wall, random, n.log, n.cfg.Sync == journal.SyncAlways
	var err error
	if k.store, err = undelivered.Open(n.stateDir(), set); err != nil {
		return err
	}
	k.store.Reconcile(state.Live, state.Ended)
	k.redelivery = redeliver.New(k.settings.redelivery, k.store, n.log)
	k.inquirer = redeliver.NewInquirer(n.host, k.settings.inquiries, func(q *redeliver.Question, a resend.Answer, why string) {
		n.driver.Do(func() { k.redelivery.Answered(q, a, why) })
	})
	k.redelivery.Ports = redeliver.Ports{
		Resend: func(in *engine.Submit, life redeliver.Time, told func(engine.Verdict)) {
			n.driver.Resend(in, n.host.Now().Add(engine.Duration(life)), told)
		},
		Condition: n.driver.Engine().Condition,
		Ask:       k.inquirer.Ask,
		Wake:      n.scheduleRedelivery,
	}
	k.keeper = undelivered.NewKeeper(n.driver.Components.Store, k.store, n.clock, k.redelivery)
	n.driver.Components.Store = k.keeper
	n.driver.Components.Sink = &redeliverySink{n.driver.Components.Sink, n}
	return nil
}

// scheduleRedelivery has the desk work at a time of the store's.
func (n *Node) scheduleRedelivery(at redeliver.Time) {
	k := n.undelivered
	if k.timer != nil {
		k.timer.Stop()
	}
	wait := max(engine.Duration(at-k.store.Now()), time.Millisecond)
	k.timer = n.host.AfterFunc(wait, func() { n.driver.Do(k.redelivery.Step) })
}

// startRedelivery begins to send again, once the engine knows what the journal held.
func (n *Node) startRedelivery() {
	if n.undelivered == nil {
		return
	}
	n.driver.Do(n.undelivered.redelivery.Start)
}

// handleUndeliveredCommand answers a command about undelivered messages.
func (n *Node) handleUndeliveredCommand(ctx context.Context, by admin.Peer, text json.RawMessage, reply func(any) error) error {
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
	return &redeliver.Service{Desk: n.undelivered.redelivery, Dir: n.stateDir(), Do: n.driver.Do, Wait: func(d time.Duration) {
		n.host.NewInbox().Take(nil, n.host.Now().Add(d))
	}}
}

// batchStored passes on what the journal tells later.
func (n *Node) batchStored(b engine.Batch) {
	if n.undelivered != nil {
		n.driver.Do(func() { n.undelivered.keeper.Stored(b) })
	}
}

// closeUndelivered closes the store, once the driver has stopped.
func (n *Node) closeUndelivered() {
	if n.undelivered == nil {
		return
	}
	n.undelivered.inquirer.Close()
	if n.undelivered.timer != nil {
		n.undelivered.timer.Stop()
	}
	if err := n.undelivered.store.Close(); err != nil {
		n.log.Warn("the store of undelivered messages did not close well", "error", err)
	}
}

// redeliverySink tells nobody of the ends of what is sent again: its client had its answer.
type redeliverySink struct {
	engine.Sink
	node *Node
}

func (s *redeliverySink) Completed(d *engine.Done) {
	switch {
	case !s.node.undelivered.store.Owns(d.ID):
		s.Sink.Completed(d)
	case d.Disposition == engine.Refused || d.Disposition == engine.Failed:
		s.node.driver.Notified([]string{d.ID})
	}
}

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

// Undelivered is the configuration for keeping and resending undelivered messages. ReadUndelivered creates it.
type Undelivered struct {
	store      undelivered.Settings
	redelivery redeliver.Settings
	inquiries  map[int]redeliver.InquiryEndpoint
	socket     string // name of the socket in the state folder, "" for none
}

const maxHTTPBodyBytes = 64 << 10 // largest body that the HTTP front accepts

// ReadUndelivered reads the section [undelivered] of the operator's file. Names in it must be known in the
// configuration. It subtracts the store's share from the configuration's disk space. Its errors name the setting.
func ReadUndelivered(file *operator.Undelivered, config *Config) (*Undelivered, error) {
	share := int64(file.Share * float64(config.Disk))
	if share < undelivered.MinDiskBytes || config.Disk-share < journal.MinDisk {
		return nil, fmt.Errorf("undelivered.disk_share: %g of %d bytes leaves too little: the store needs at least %d and the journal at least %d",
			file.Share, config.Disk, int64(undelivered.MinDiskBytes), int64(journal.MinDisk))
	}
	if refusedBytes := int64(*file.Refused) * 256; refusedBytes > share/4 {
		return nil, fmt.Errorf("undelivered.refused: %d take %d bytes, over a quarter of the store's share of %d", *file.Refused, refusedBytes, share)
	}
	out := &Undelivered{
		store: undelivered.Settings{
			MaxDiskBytes: share, EvictLeastWorth: file.WhenFull == "least-worth", Retention: spanToTime(file.Retain), EndedRetention: spanToTime(file.RetainEnded),
			RefusedSlots: *file.Refused, ClassRetention: map[string]undelivered.Time{},
		},
		redelivery: redeliver.Settings{
			MaxInFlight: max(1, int(file.Slots*float64(config.Settings.Slots))), RateShare: file.Rate, TrialInterval: spanToTime(file.Trial), ManualClaimDuration: spanToTime(file.Claim),
		},
		inquiries: map[int]redeliver.InquiryEndpoint{}, socket: *file.Socket,
	}
	rules := &out.redelivery.Rules
	rules.MaxBody = maxHTTPBodyBytes
	if config.Mail != nil && config.Mail.front != nil {
		rules.MaxBody = max(rules.MaxBody, int(config.Mail.front.Size))
	}
	for i := range config.Settings.Classes {
		class := &config.Settings.Classes[i]
		rules.Classes = append(rules.Classes, resend.Class{
			Name: class.Name, Effect: class.Effect, ZoneGroup: class.ZoneGroup, Ordered: class.InOrder, DedupWindow: class.Window, Deadline: class.Deadline, Worth: class.Worth,
		})
	}
	out.store.Classes, rules.Tenants = rules.Classes, config.tenants()
	class := func(name string) bool {
		return slices.ContainsFunc(rules.Classes, func(k resend.Class) bool { return k.Name == wire.Plain(name) })
	}
	for name, v := range file.RetainClass { // kept also for classes that no longer exist
		out.store.ClassRetention[wire.Plain(name)] = spanToTime(v)
	}
	for _, partner := range file.Partners {
		out.redelivery.Rules.Partners = append(out.redelivery.Rules.Partners, resend.Partner{
			Destination: *partner.Dest, SettleTime: spanToTime(partner.Settle), RememberTime: spanToTime(partner.Remembers),
			Proof: map[string]resend.Proof{"none": resend.NoProof, "key": resend.ByKey, "inquiry": resend.ByInquiry}[partner.Proof],
		})
		if partner.Proof == "inquiry" {
			out.inquiries[*partner.Dest] = redeliver.InquiryEndpoint{Addr: partner.Address, Path: partner.Path, Timeout: partner.Timeout.Duration()}
		}
	}
	for i, section := range file.Rules {
		path := fmt.Sprintf("undelivered.rule[%d] (%s)", i, section.Name)
		rule := resend.Rule{
			Name: section.Name, Destinations: section.Dests, Causes: section.Causes, MaxAge: spanToTime(section.MaxAge), MaxResends: section.Tries, FirstDelay: spanToTime(section.First),
			Factor: section.Factor, MaxDelay: spanToTime(section.Most), Jitter: *section.Jitter,
			Doubt: map[string]resend.DoubtFilter{"any": resend.AnyDoubt, "none": resend.NoDoubt, "only": resend.OnlyDoubt}[section.Doubt],
		}
		for _, name := range section.Classes {
			if !class(name) {
				return nil, fmt.Errorf("%s.classes: %q is unknown", path, name)
			}
			rule.Classes = append(rule.Classes, wire.Plain(name))
		}
		for _, name := range section.Tenants {
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

// spanToTime converts a span of the operator's file, in seconds.
func spanToTime(s operator.Span) resend.Time {
	return resend.Time(float64(s) * float64(control.Second))
}

// undeliveredParts are the components of a node that keeps undelivered messages.
type undeliveredParts struct {
	settings   *Undelivered
	store      *undelivered.Store
	keeper     *undelivered.Keeper
	redelivery *redeliver.Resender
	inquirer   *redeliver.Inquirer
	timer      host.Timer // next step of the redelivery; belongs to the driver's goroutine
}

// assembleUndelivered has the engine check submitted messages against the store of undelivered messages.
func (n *Node) assembleUndelivered(settings *engine.Settings) {
	if n.cfg.Undelivered == nil {
		return
	}
	n.undelivered = &undeliveredParts{settings: n.cfg.Undelivered}
	settings.CheckUndelivered = func(m *engine.Message) (engine.VerdictKind, string) { return n.undelivered.store.CheckDuplicate(m) }
}

// openUndelivered opens the store of undelivered messages after the journal has been read. The keeper then replaces the
// journal as the driver's store.
func (n *Node) openUndelivered(state *journal.State, random func() uint64) error {
	parts := n.undelivered
	if parts == nil {
		return nil
	}
	settings := parts.settings.store
	settings.Now, settings.Wall, settings.Random, settings.Log, settings.Sync = n.host.Now, n.host.Wall, random, n.log, n.cfg.Sync == journal.SyncAlways
	var err error
	if parts.store, err = undelivered.Open(n.stateDir(), settings); err != nil {
		return err
	}
	parts.store.Reconcile(state.Live, state.Ended)
	parts.redelivery = redeliver.New(parts.settings.redelivery, parts.store, n.log)
	parts.inquirer = redeliver.NewInquirer(n.host, parts.settings.inquiries, func(q *redeliver.Question, a resend.Answer, why string) {
		n.driver.Do(func() { parts.redelivery.InquiryAnswered(q, a, why) })
	})
	parts.redelivery.Callbacks = redeliver.Callbacks{
		Submit: func(in *engine.Submit, life redeliver.Time, reply func(engine.Verdict)) {
			n.driver.Resend(in, n.host.Now().Add(engine.Duration(life)), reply)
		},
		Condition: n.driver.Engine().Condition,
		Inquire:   parts.inquirer.Ask,
		WakeAt:    n.scheduleRedelivery,
	}
	parts.keeper = undelivered.NewKeeper(n.driver.Components.Store, parts.store, n.clock, parts.redelivery)
	n.driver.Components.Store = parts.keeper
	n.driver.Components.Sink = &redeliverySink{n.driver.Components.Sink, n}
	return nil
}

// scheduleRedelivery schedules the next step of the redelivery at a time of the store's clock.
func (n *Node) scheduleRedelivery(at redeliver.Time) {
	parts := n.undelivered
	if parts.timer != nil {
		parts.timer.Stop()
	}
	wait := max(engine.Duration(at-parts.store.Now()), time.Millisecond)
	parts.timer = n.host.AfterFunc(wait, func() { n.driver.Do(parts.redelivery.Step) })
}

// startRedelivery begins to resend, once the journaled messages have been posted to the engine.
func (n *Node) startRedelivery() {
	if n.undelivered == nil {
		return
	}
	n.driver.Do(n.undelivered.redelivery.Start)
}

// handleUndeliveredCommand handles a command about undelivered messages.
func (n *Node) handleUndeliveredCommand(ctx context.Context, by admin.Peer, text json.RawMessage, reply func(any) error) error {
	var request redeliver.Request
	if err := json.Unmarshal(text, &request); err != nil {
		return fmt.Errorf("%w: %w", redeliver.ErrRequest, err)
	}
	if request.By != "" {
		request.By = fmt.Sprintf("%s (user %d)", request.By, by.UID)
	}
	for _, list := range [][]string{request.Filter.Classes, request.Filter.Tenants} {
		for i := range list {
			list[i] = wire.Plain(list[i])
		}
	}
	return n.service().Handle(ctx, &request, func(l *redeliver.Reply) error { return reply(l) })
}

// service returns the handler of commands about undelivered messages.
func (n *Node) service() *redeliver.Service {
	return &redeliver.Service{Resender: n.undelivered.redelivery, Dir: n.stateDir(), RunOnDriver: n.driver.Do, Sleep: func(d time.Duration) {
		n.host.NewInbox().Take(nil, n.host.Now().Add(d))
	}}
}

// batchStored passes a batch that the journal has stored on to the keeper.
func (n *Node) batchStored(b engine.Batch) {
	if n.undelivered != nil {
		n.driver.Do(func() { n.undelivered.keeper.Stored(b) })
	}
}

// closeUndelivered closes the store of undelivered messages after the driver has stopped.
func (n *Node) closeUndelivered() {
	if n.undelivered == nil {
		return
	}
	n.undelivered.inquirer.Close()
	if n.undelivered.timer != nil {
		n.undelivered.timer.Stop()
	}
	if err := n.undelivered.store.Close(); err != nil {
		n.log.Warn("closing the store of undelivered messages failed", "error", err)
	}
}

// redeliverySink acknowledges the results of resent messages itself: their clients were notified when the original
// messages ended.
type redeliverySink struct {
	engine.Sink
	node *Node
}

func (s *redeliverySink) Completed(d *engine.Done) {
	switch {
	case !s.node.undelivered.store.IsResentID(d.ID):
		s.Sink.Completed(d)
	case d.Disposition == engine.Refused || d.Disposition == engine.Failed:
		s.node.driver.Notified([]string{d.ID})
	}
}

// Package node is the daemon: it puts one engine, the journal, the HTTP front, the HTTP transport, discovery's list and
// discovery's notices together and runs them. What is decided is decided in packages control and engine.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/admin"
	"curlewmux/internal/driver"
	httpfront "curlewmux/internal/front/http"
	"curlewmux/internal/host"
	"curlewmux/internal/journal"
	httptransport "curlewmux/internal/transport/http"
	"curlewmux/internal/wire"
	"curlewmux/membership/partnerlist"
)

// stopTimes are how long after SIGTERM each part of a planned stop begins. The platform kills after 3.7 s at the
// soonest.
type stopTimes struct {
	sending time.Duration // calls go on that are out, and none starts
	keeping time.Duration // each answer ends its connection, so that few are cut off idle
	taking  time.Duration // the rest of the clients are let go
	waiting time.Duration // nobody is waited for any more: clients still sending, calls still out
}

func plannedStop() stopTimes {
	const ms = time.Millisecond
	return stopTimes{sending: 1700 * ms, keeping: 2500 * ms, taking: 2900 * ms, waiting: 3400 * ms}
}

const (
	firstList    = time.Second            // how long the first list from discovery is waited for before the cached one must do
	usualMessage = 256                    // bytes of a message in the journal, for a first look at the room there
	callsEnd     = 200 * time.Millisecond // how long calls that are cut off at the very end may take to say so
)

// Node is one dispatcher. New makes it; Run runs it, once.
type Node struct {
	host host.Host
	cfg  *Config
	log  *slog.Logger

	orders host.Inbox // *Config: read anew; stop{}; failed{}; listed{}

	clock     engine.Clock
	driver    *driver.Driver
	journal   *journal.Journal
	transport *httptransport.Transport
	watch     *partnerlist.Watch
	notices   *partnerlist.Notices
	front     *httpfront.Front
	mail      *mailParts    // nil: off
	kept      *keptParts    // nil: off
	shown     *shownParts   // nil: no books are kept
	admin     *admin.Server // nil: operators have nothing to ask
}

// Interceptors lets a rig, such as a simulation, stand between the parts of a node. What is nil stays as it is.
type Interceptors struct {
	Intake     func(engine.Intake) engine.Intake                         // what the front hands messages to
	Membership func(engine.MembershipReceiver) engine.MembershipReceiver // what the watch tells
	Components func(driver.Components) driver.Components                 // what the driver goes by
}

type (
	stop   struct{}
	listed struct{}
	failed struct{ err error }
)

// New makes a dispatcher that runs on h. Stop and Reload may be called from then on, from any goroutine.
func New(h host.Host, cfg *Config, log *slog.Logger) *Node {
	return &Node{host: h, cfg: cfg, log: log, orders: h.NewInbox()}
}

// Stop begins a planned stop.
func (n *Node) Stop() { n.orders.Put(stop{}) }

// Reload puts a configuration that was read anew into force, as far as that can be done while running: discovery, and how
// many dispatchers there are where the operator's file says that.
func (n *Node) Reload(next *Config) { n.orders.Put(next) }

// Run is a dispatcher from its start until it has stopped in good order, or failed: then the error says why.
func (n *Node) Run() error {
	defer n.orders.Close()
	// The address comes first: a process that can't have it must leave the folder alone.
	listener, err := n.host.Listen(n.cfg.Listen)
	if err != nil {
		return fmt.Errorf("EDGE_LISTEN: %w", err)
	}
	if err := n.listenMail(); err != nil {
		listener.Close()
		return err
	}
	if err := n.assemble(); err != nil {
		listener.Close()
		n.mail.unlisten()
		return err
	}
	served, done := n.host.NewInbox(), n.host.NewInbox()
	n.host.Go(func() { // until it is ready it turns clients away
		n.orders.Put(failed{n.front.Serve(listener)})
		served.Put(nil)
	})
	n.serveMail()
	state, err := n.open()
	if err != nil {
		n.front.Close()
		n.closeMail()
		served.Take(nil, time.Time{})
		return err
	}
	defer n.journal.Close()
	defer n.closeKept()
	defer n.closeAdmin()
	n.notices.Start(n.driver.Notified)
	n.startMail()
	n.driver.MeasureLag()
	n.host.Go(func() {
		n.driver.Run()
		done.Put(nil)
	})
	var listing engine.MembershipReceiver = n
	if wrap := n.cfg.Interceptors.Membership; wrap != nil {
		listing = wrap(n)
	}
	n.watch.Start(partnerlist.ListingCallback(listing, n.cfg.names(), n.host, n.log))
	if err = n.awaitList(); err == nil {
		n.restore(state)
		n.startKept()
		n.startAdmin()
		n.front.Ready.Store(true)
		n.readyMail()
		err = n.serve()
	}
	n.watch.Close()
	n.end()
	served.Take(nil, time.Time{})
	n.driver.Quit()
	done.Take(nil, time.Time{})
	n.notices.Close()
	n.log.Info("stopped", "held", n.driver.Engine().OpenMessages(), "out", n.driver.Engine().CallsOut())
	return err
}

// assemble makes all parts but the journal.
func (n *Node) assemble() error {
	cfg, share := n.cfg, n.cfg.share()
	if share.calls < cfg.Settings.Slots {
		n.log.Warn("limits.sockets leaves room for fewer calls than there are slots", "calls", share.calls, "slots", cfg.Settings.Slots)
		cfg.Settings.Slots = share.calls
	}
	// Bodies may be larger: then fewer fit, and clients are turned away as the disk has it.
	if room := journal.Capacity(cfg.Disk, usualMessage); room < cfg.Settings.MaxOpen {
		n.log.Warn("limits.disk_mb leaves room for fewer messages than limits.max-open", "messages", room, "of", cfg.Settings.MaxOpen)
	}
	n.clock = engine.Clock{Start: n.host.Now()}
	set := cfg.engine()
	n.assembleKept(&set)
	n.assembleLedger(&set)
	e, err := engine.New(set)
	if err != nil {
		return err
	}
	n.driver = driver.New(n.host, n.clock, e, n.log)
	if cfg.Ledger != nil {
		n.driver.OnBreach = cfg.Ledger.OnBreach
	}
	n.transport = httptransport.New(n.host, n.clock, httptransport.Settings{
		ConnectTimeout: engine.Duration(cfg.Settings.ConnectTimeout), EndpointIdleTimeout: engine.Duration(cfg.Settings.ConnIdle),
		MaxIdle: share.idle, ReportFields: cfg.Reports, DialBurst: dialBurst, DialInterval: dialGap,
	})
	n.watch = partnerlist.NewWatch(n.host, cfg.Discovery, n.log)
	n.watch.Random = rand.New(rand.NewPCG(cfg.Seed, 1)).Float64
	n.notices = partnerlist.NewNotices(n.host, cfg.Discovery, n.log)
	var intake engine.Intake = n.driver
	if wrap := cfg.Interceptors.Intake; wrap != nil {
		intake = wrap(intake)
	}
	front := httpfront.Settings{
		Classes: cfg.classes(), Tenants: cfg.tenants(), Conns: share.clients, Transit: cfg.Memory / transitShare,
		Admit: n.driver.Admit,
	}
	n.assembleShown(&front)
	n.front = httpfront.New(front, n.host, intake, n.log)
	n.assembleMail()
	return nil
}

// open takes the state folder over.
func (n *Node) open() (state *journal.State, err error) {
	seeded := rand.New(rand.NewPCG(n.cfg.Seed, uint64(n.host.Wall().UnixMicro())))
	n.journal, state, err = journal.Open(n.dir(), journal.Settings{
		Disk: n.cfg.Disk, Owner: n.cfg.Name, Random: seeded.Uint64, Log: n.log,
		KeepLeaves: n.cfg.Ledger != nil, Sync: n.cfg.Sync, SyncEvery: n.cfg.SyncInterval, Go: n.host.Go,
		After: func(d time.Duration, f func()) { n.host.AfterFunc(d, f) },
		OnStored: func(b engine.Batch) {
			n.storedKept(b)
			n.driver.Stored(b, nil)
		},
	})
	if err != nil {
		return nil, fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err)
	}
	n.driver.Components = driver.Components{Store: n.journal, Transport: n.transports(), Sink: n.sink()}
	if err := n.openKept(state, seeded.Uint64); err != nil {
		return nil, errors.Join(fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err), n.journal.Close())
	}
	if err := n.openAdmin(); err != nil {
		if n.kept != nil {
			err = errors.Join(err, n.kept.store.Close())
		}
		return nil, errors.Join(fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err), n.journal.Close())
	}
	if wrap := n.cfg.Interceptors.Components; wrap != nil {
		n.driver.Components = wrap(n.driver.Components)
	}
	if n.cfg.CachedList != nil {
		n.driver.Handle(n.cfg.CachedList.CachedMembers(n.cfg.names()))
	}
	return state, nil
}

func (n *Node) dir() journal.Dir {
	if n.cfg.Dir != nil {
		return n.cfg.Dir
	}
	return journal.OSDir(n.cfg.State)
}

// Members passes on what discovery tells (engine.Listing), and that a list has come.
func (n *Node) Members(m *engine.Members) bool {
	ok := n.driver.Members(m)
	if !m.Failed {
		n.orders.Put(listed{})
	}
	return ok
}

// awaitList waits for the first list, or for a moment. The cached list may be old: what was told to drain since must get
// nothing new.
func (n *Node) awaitList() error {
	until := n.host.Now().Add(firstList)
	for {
		list := n.orders.Take(nil, until)
		if len(list) == 0 {
			return nil
		}
		for i, v := range list {
			switch v := v.(type) {
			case listed:
				n.putBack(list[i+1:])
				return nil
			case failed:
				return v.err
			case stop:
				n.putBack(list[i:])
				return nil
			case *Config:
				n.reload(v)
			}
		}
	}
}

func (n *Node) putBack(list []any) {
	for _, v := range list {
		n.orders.Put(v)
	}
}

// restore takes up what the journal holds from an earlier process.
func (n *Node) restore(s *journal.State) {
	n.restoreLedger(s)
	for _, m := range s.Live {
		m.Message.Class, m.Message.Tenant = wire.Plain(m.Message.Class), wire.Plain(m.Message.Tenant) // as the settings have them
		n.driver.Post(m)
	}
	for _, p := range s.Ended {
		n.driver.Post(p)
	}
	n.driver.Post(&s.Last)
	n.log.Info("ready", "name", n.cfg.Name, "held", len(s.Live))
}

// serve goes on until the program is to stop, and then goes through the parts of a planned stop.
func (n *Node) serve() error {
	if err, stopping := n.wait(time.Time{}); !stopping {
		return err
	}
	n.log.Info("stopping")
	began, times := n.host.Now(), n.cfg.stop
	if err, _ := n.wait(began.Add(times.sending)); err != nil {
		return err
	}
	n.driver.Stop()
	if err, _ := n.wait(began.Add(times.keeping)); err != nil {
		return err
	}
	n.front.Closing.Store(true)
	limit := began.Add(times.waiting)
	n.letMailGo(limit)
	if err, _ := n.wait(began.Add(times.taking)); err != nil {
		return err
	}
	if err := n.front.Shutdown(limit); err != nil {
		n.log.Warn("the front did not close in time", "error", err)
	}
	n.awaitMail()
	n.driver.WaitIdle(limit) // a call that ends now leaves no doubt behind
	return nil
}

// wait takes orders until the moment given or, where that is zero, until the order to stop.
func (n *Node) wait(until time.Time) (err error, stopping bool) {
	for {
		list := n.orders.Take(nil, until)
		if len(list) == 0 {
			return nil, false
		}
		for i, v := range list {
			switch v := v.(type) {
			case *Config:
				n.reload(v)
			case failed:
				if v.err != nil {
					return v.err, false
				}
			case stop:
				if until.IsZero() {
					n.putBack(list[i+1:])
					return nil, true
				}
			}
		}
	}
}

// end closes what is still open, so that nothing outlives Run.
func (n *Node) end() {
	n.front.Close()
	n.closeMail()
	if err := n.transport.Close(callsEnd); err != nil {
		n.log.Warn("calls did not end", "error", err)
	}
}

// reload takes what can be changed while running, and says what can't.
func (n *Node) reload(next *Config) {
	for _, s := range []struct {
		name    string
		changed bool
	}{
		{"name", next.Name != n.cfg.Name}, {"listen", next.Listen != n.cfg.Listen},
		{"limits", next.limits != n.cfg.limits}, {"settings", next.flat != n.cfg.flat},
	} {
		if s.changed {
			n.log.Warn("a changed setting counts from the next start on", "setting", s.name)
		}
	}
	if now := next.Settings.Instances; next.OperatorSetsInstances && now != n.cfg.Settings.Instances {
		n.log.Info("the number of dispatchers has changed", "was", n.cfg.Settings.Instances, "is", now)
		n.cfg.Settings.Instances = now
		n.driver.Post(&engine.Fleet{Instances: now})
	}
	moved := n.watch.SetAddress(next.Discovery)
	n.notices.SetAddress(next.Discovery)
	n.log.Info("configuration reloaded", "discovery", next.Discovery, "moved", moved)
}

// Run is a dispatcher on this machine from its start until ctx ends and it has stopped in good order. What comes on
// reloads while it runs, or stops, is a configuration read anew.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	n := New(host.System{}, cfg, log)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		done := ctx.Done()
		for {
			select {
			case <-done:
				n.Stop()
				done = nil
			case next := <-reloads:
				n.Reload(next)
			case <-ended:
				return
			}
		}
	}()
	return n.Run()
}

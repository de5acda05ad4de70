// Package node implements the dispatcher daemon. It assembles the engine, the journal, the fronts, the transports and
// the clients of the discovery agent, and runs them. Packages control and engine make the decisions.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
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
	"curlewmux/membership/subscription"
)

// stopSchedule holds the times after SIGTERM at which the steps of a planned stop begin. The platform sends SIGKILL
// 3.7 s after SIGTERM at the earliest.
type stopSchedule struct {
	stopNewCalls       time.Duration // no new call starts; calls in progress go on
	closeAfterResponse time.Duration // each response closes its connection, so that few idle connections are cut off
	shutdownFront      time.Duration // the remaining client connections are shut down
	giveUp             time.Duration // the dispatcher no longer waits for clients that are sending or for calls
}

// defaultStopSchedule is the schedule that ParseConfig sets.
func defaultStopSchedule() stopSchedule {
	const ms = time.Millisecond
	return stopSchedule{stopNewCalls: 1700 * ms, closeAfterResponse: 2500 * ms, shutdownFront: 2900 * ms, giveUp: 3400 * ms}
}

const (
	typicalMessageBytes = 256                    // size in the journal that the warning about limits.disk_mb assumes
	abortTimeout        = 200 * time.Millisecond // wait for aborted calls to end
)

// Node is one dispatcher. New creates it, and Run runs it once.
type Node struct {
	host host.Host
	cfg  *Config
	log  *slog.Logger

	requests     host.Inbox                // *Config (reload), stopRequest, serveEnded, listReceived, holdDue
	unlisted     bool                      // ready, but no list has come from discovery yet
	confirmation subscription.Confirmation // of the list, after discovery has moved

	clock        engine.Clock
	driver       *driver.Driver
	journal      *journal.Journal
	transport    *httptransport.Transport
	watch        *partnerlist.Watch
	notices      *partnerlist.Notices
	front        *httpfront.Front
	startedFront atomic.Pointer[httpfront.Front] // front, for other goroutines
	mail         *mailParts                      // nil: mail is off
	undelivered  *undeliveredParts               // nil: undelivered messages are not kept
	figures      *figuresParts                   // nil: no ledger is kept
	admin        *admin.Server                   // nil: there is no operators' socket
}

// Interceptors wrap connections between the components of a node, for simulations and tests. A nil function wraps nothing.
type Interceptors struct {
	Intake     func(engine.Intake) engine.Intake                         // receives the messages of the HTTP front
	Membership func(engine.MembershipReceiver) engine.MembershipReceiver // receives the lists of discovery
	Components func(driver.Components) driver.Components                 // store, transport and sink of the driver
}

type (
	stopRequest struct{}
	serveEnded  struct{ err error }
)

// New creates a dispatcher that runs on h. From then on Stop and Reload may be called from any goroutine.
func New(h host.Host, cfg *Config, log *slog.Logger) *Node {
	return &Node{host: h, cfg: cfg, log: log, requests: h.NewInbox()}
}

// Stop begins a planned stop.
func (n *Node) Stop() { n.requests.Put(stopRequest{}) }

// Reload applies the settings of a configuration that can change while the dispatcher runs: the address of discovery
// and, if the operator's file sets it, the number of dispatchers.
func (n *Node) Reload(next *Config) { n.requests.Put(next) }

// Run runs the dispatcher until a planned stop has finished or a component has failed. It returns the error of the
// failed component.
func (n *Node) Run() error {
	defer n.requests.Close()
	// The address comes first: a process that can't bind it must not touch the state folder.
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
		n.mail.closeListeners()
		return err
	}
	served, done := n.host.NewInbox(), n.host.NewInbox()
	n.host.Go(func() { // rejects clients until the node is ready
		n.requests.Put(serveEnded{n.front.Serve(listener)})
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
	defer n.closeUndelivered()
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
	n.watch.Start(partnerlist.ListingCallback(listing, n.cfg.nameIndex(), n.host, n.log))
	if err = n.awaitFirstList(); err == nil {
		n.restore(state)
		n.startRedelivery()
		n.startAdmin()
		n.front.Ready.Store(true)
		n.setMailReady()
		err = n.serve()
	}
	n.watch.Close()
	n.closeRemaining()
	served.Take(nil, time.Time{})
	n.driver.Quit()
	done.Take(nil, time.Time{})
	n.notices.Close()
	n.log.Info("stopped", "held", n.driver.Engine().OpenMessages(), "out", n.driver.Engine().CallsOut())
	return err
}

// assemble creates all components except the journal.
func (n *Node) assemble() error {
	cfg, share := n.cfg, n.cfg.shareDescriptors()
	if share.calls < cfg.Settings.Slots {
		n.log.Warn("limits.sockets leaves room for fewer calls than there are slots", "calls", share.calls, "slots", cfg.Settings.Slots)
		cfg.Settings.Slots = share.calls
	}
	// Larger bodies leave room for fewer messages; the front rejects clients when the disk is full.
	if room := journal.Capacity(cfg.Disk, typicalMessageBytes); room < cfg.Settings.MaxOpen {
		n.log.Warn("limits.disk_mb leaves room for fewer messages than limits.max-open", "messages", room, "of", cfg.Settings.MaxOpen)
	}
	n.clock = engine.Clock{Start: n.host.Now()}
	settings := cfg.engineSettings()
	n.assembleUndelivered(&settings)
	n.assembleLedger(&settings)
	core, err := engine.New(settings)
	if err != nil {
		return err
	}
	n.driver = driver.New(n.host, n.clock, core, n.log)
	if cfg.Ledger != nil {
		n.driver.OnBreach = cfg.Ledger.OnBreach
	}
	n.transport = httptransport.New(n.host, n.clock, httptransport.Settings{
		ConnectTimeout: engine.Duration(cfg.Settings.ConnectTimeout), EndpointIdleTimeout: engine.Duration(cfg.Settings.ConnIdle),
		MaxIdle: share.idle, ReportFields: cfg.Reports, DialBurst: dialBurst, DialInterval: dialInterval,
		BatchKinds: cfg.batchKinds(), Log: n.log,
	})
	n.watch = partnerlist.NewWatch(n.host, cfg.Discovery, n.log)
	n.watch.Random = rand.New(rand.NewPCG(cfg.Seed, 1)).Float64
	if cfg.listsArePushed() {
		n.watch.FullListTimeout = pushedListTimeout
	}
	n.notices = partnerlist.NewNotices(n.host, cfg.Discovery, n.log)
	var intake engine.Intake = n.driver
	if wrap := cfg.Interceptors.Intake; wrap != nil {
		intake = wrap(intake)
	}
	front := httpfront.Settings{
		Classes: cfg.classes(), Tenants: cfg.tenants(), Conns: share.clients, Transit: cfg.Memory / transitMemoryDivisor,
		Admit: n.driver.Admit,
	}
	n.assembleFigures(&front)
	n.front = httpfront.New(front, n.host, intake, n.log)
	n.startedFront.Store(n.front)
	n.assembleMail()
	return nil
}

// open opens the state folder and reads the journal.
func (n *Node) open() (state *journal.State, err error) {
	random := rand.New(rand.NewPCG(n.cfg.Seed, uint64(n.host.Wall().UnixMicro())))
	n.journal, state, err = journal.Open(n.stateDir(), journal.Settings{
		Disk: n.cfg.Disk, Owner: n.cfg.Name, Random: random.Uint64, Log: n.log,
		KeepLeaves: n.cfg.Ledger != nil, Sync: n.cfg.Sync, SyncEvery: n.cfg.SyncInterval, Go: n.host.Go,
		After: func(d time.Duration, f func()) { n.host.AfterFunc(d, f) },
		OnStored: func(b engine.Batch) {
			n.batchStored(b)
			n.driver.Stored(b, nil)
		},
	})
	if err != nil {
		return nil, fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err)
	}
	n.driver.Components = driver.Components{Store: n.journal, Transport: n.newTransport(), Sink: n.newSink()}
	if err := n.openUndelivered(state, random.Uint64); err != nil {
		return nil, errors.Join(fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err), n.journal.Close())
	}
	if err := n.openAdmin(); err != nil {
		if n.undelivered != nil {
			err = errors.Join(err, n.undelivered.store.Close())
		}
		return nil, errors.Join(fmt.Errorf("EDGE_STATE: %s: %w", n.cfg.State, err), n.journal.Close())
	}
	if wrap := n.cfg.Interceptors.Components; wrap != nil {
		n.driver.Components = wrap(n.driver.Components)
	}
	if n.cfg.CachedList != nil {
		n.driver.Handle(n.cfg.CachedList.CachedMembers(n.cfg.nameIndex()))
	}
	return state, nil
}

// stateDir returns the state folder.
func (n *Node) stateDir() journal.Dir {
	if n.cfg.Dir != nil {
		return n.cfg.Dir
	}
	return journal.OSDir(n.cfg.State)
}

// requeue puts back requests that were taken from the inbox but not handled.
func (n *Node) requeue(list []any) {
	for _, v := range list {
		n.requests.Put(v)
	}
}

// restore passes the journaled messages and pending results of earlier processes to the driver.
func (n *Node) restore(s *journal.State) {
	n.restoreLedger(s)
	for _, m := range s.Live {
		m.Message.Class, m.Message.Tenant = wire.Plain(m.Message.Class), wire.Plain(m.Message.Tenant) // names as the settings spell them
		n.driver.Post(m)
	}
	for _, pending := range s.Ended {
		n.driver.Post(pending)
	}
	n.driver.Post(&s.Last)
	n.log.Info("ready", "name", n.cfg.Name, "held", len(s.Live))
}

// serve runs until a stop is requested, and then carries out the planned stop.
func (n *Node) serve() error {
	if err, stopping := n.handleRequests(time.Time{}); !stopping {
		return err
	}
	n.log.Info("stopping")
	began, times := n.host.Now(), n.cfg.stopSchedule
	if err, _ := n.handleRequests(began.Add(times.stopNewCalls)); err != nil {
		return err
	}
	n.driver.Stop()
	if err, _ := n.handleRequests(began.Add(times.closeAfterResponse)); err != nil {
		return err
	}
	n.front.Closing.Store(true)
	limit := began.Add(times.giveUp)
	n.shutdownMail(limit)
	if err, _ := n.handleRequests(began.Add(times.shutdownFront)); err != nil {
		return err
	}
	if err := n.front.Shutdown(limit); err != nil {
		n.log.Warn("the front did not close in time", "error", err)
	}
	n.awaitMailShutdown()
	n.driver.WaitIdle(limit) // a call that still ends leaves no message in doubt
	return nil
}

// handleRequests handles requests until the given time. If that is zero, it returns when a stop is requested and
// reports stopping as true.
func (n *Node) handleRequests(until time.Time) (err error, stopping bool) {
	for {
		list := n.requests.Take(nil, until)
		if len(list) == 0 {
			return nil, false
		}
		for i, v := range list {
			switch v := v.(type) {
			case *Config:
				n.reload(v)
			case serveEnded:
				if v.err != nil {
					return v.err, false
				}
			case listReceived:
				n.listReceived(v)
			case holdDue:
				n.holdIfOverdue()
			case stopRequest:
				if until.IsZero() {
					n.requeue(list[i+1:])
					return nil, true
				}
			}
		}
	}
}

// closeRemaining closes the fronts and transports, so that nothing outlives Run.
func (n *Node) closeRemaining() {
	n.front.Close()
	n.closeMail()
	if err := n.transport.Close(abortTimeout); err != nil {
		n.log.Warn("calls did not end", "error", err)
	}
}

// reload applies the settings that can change while the dispatcher runs, and logs those that need a restart.
func (n *Node) reload(next *Config) {
	for _, s := range []struct {
		name    string
		changed bool
	}{
		{"name", next.Name != n.cfg.Name}, {"listen", next.Listen != n.cfg.Listen},
		{"limits", next.limits != n.cfg.limits}, {"settings", next.flatSettings != n.cfg.flatSettings},
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
	moved := n.moveDiscovery(next.Discovery)
	n.log.Info("configuration reloaded", "discovery", next.Discovery, "moved", moved)
}

// Run runs a dispatcher on this machine until ctx is done and the planned stop has finished. It applies each
// configuration that it receives from reloads.
func Run(ctx context.Context, cfg *Config, reloads <-chan *Config, log *slog.Logger) error {
	n := New(host.System{}, cfg, log)
	ended := make(chan struct{})
	defer close(ended)
	go n.watchMemory(ended)
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

// Package agent is the companion program's logic: it merges what its sources tell (EndpointSlices, a partner list that it
// passes on, a fixed list) and serves the result on a loopback address in discovery's own protocol, so that dispatchers
// get it without linking any of this.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/operator"
	"curlewmux/membership"
	"curlewmux/membership/endpointslice"
	"curlewmux/membership/endpointslice/kubeconfig"
	"curlewmux/membership/fixed"
	"curlewmux/membership/partnerlist"
)

// Agent is one agent.
type Agent struct {
	log   *slog.Logger
	env   func(string) string
	set   *operator.File
	plan  []planned // to start with
	hub   *hub
	cache *cache

	mu      sync.Mutex
	running map[string]*running // changed by Run's goroutine only
}

// running is one source at work.
type running struct {
	source membership.Source
	made   string // the settings that it was made from
	cancel context.CancelFunc
	done   chan struct{}
}

// planned is a source as the settings want it.
type planned struct {
	name, made string
	source     membership.Source
}

// ErrOff means that the operator's file does not switch the agent on.
var ErrOff = errors.New("membership: missing: the operator's file does not switch the agent on")

// New makes an agent. Its error names the setting that is wrong.
func New(set *operator.File, env func(string) string, log *slog.Logger) (*Agent, error) {
	if set.Membership == nil {
		return nil, ErrOff
	}
	plan, err := planSources(set, env, log)
	if err != nil {
		return nil, err
	}
	a := &Agent{log: log, env: env, set: set, plan: plan, running: map[string]*running{}}
	table, err := membership.New(membership.Settings{
		Sources: names(plan), MaxEndpoints: set.Membership.Most, RememberLeft: set.Membership.Remember.Duration(),
	})
	if err != nil {
		return nil, err
	}
	a.cache = newCache(set.Membership.Cache, set.Membership.CacheMax.Duration(), log)
	now := time.Now()
	a.hub = newHub(table, a.cache.load(now, table), now)
	return a, nil
}

// Run serves until ctx ends, and takes another file's sources into force with each reload. It returns nil at ctx's end and
// an error if the address can't be listened on.
func (a *Agent) Run(ctx context.Context, reloads <-chan *operator.File) error {
	l, err := net.Listen("tcp", a.set.Membership.Listen)
	if err != nil {
		return fmt.Errorf("membership.listen: %w", err)
	}
	s := newServer(a.hub, a.set.Membership.Reports, a.log)
	s.stats = a.stats
	web := &http.Server{
		Handler: s, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug),
	}
	ended := make(chan error, 1)
	go func() { ended <- web.Serve(l) }()
	a.restart(ctx, a.plan)
	a.log.Info("serving", "address", l.Addr().String(), "sources", names(a.plan))
	save := time.NewTicker(saveEvery)
	defer save.Stop()
	for {
		select {
		case <-save.C:
			a.cache.save(time.Now(), a.hub)
			continue
		case next := <-reloads:
			a.reload(ctx, next)
			continue
		case err = <-ended:
			err = fmt.Errorf("membership.listen: %w", err)
		case <-ctx.Done():
		}
		break
	}
	for _, r := range a.running {
		r.cancel()
		<-r.done
	}
	a.cache.save(time.Now(), a.hub)
	web.Close() // watches that wait are cut; a dispatcher keeps its list
	s.http.CloseIdleConnections()
	if ctx.Err() != nil {
		<-ended
		return nil
	}
	return err
}

// reload takes another file into force: sources whose settings are as they were go on untouched.
func (a *Agent) reload(ctx context.Context, next *operator.File) {
	if next.Membership == nil {
		a.log.Error("the file can't be reloaded; what is in force stays", "error", ErrOff)
		return
	}
	plan, err := planSources(next, a.env, a.log)
	if err != nil {
		a.log.Error("the file can't be reloaded; what is in force stays", "error", err)
		return
	}
	was, is := a.set.Membership, next.Membership
	for setting, changed := range map[string]bool{
		"membership.listen": is.Listen != was.Listen, "membership.reports": is.Reports != was.Reports,
		"membership.cache": is.Cache != was.Cache, "membership.cache_max_age_s": is.CacheMax != was.CacheMax,
		"membership.most_endpoints": is.Most != was.Most, "membership.remember_left_s": is.Remember != was.Remember,
	} {
		if changed {
			a.log.Warn("a changed setting counts from the next start on", "setting", setting)
		}
	}
	a.set = next
	a.restart(ctx, plan)
	a.log.Info("reloaded", "sources", names(plan))
}

// restart ends the sources that are no longer wanted, or no longer so, and starts those that are new.
func (a *Agent) restart(ctx context.Context, plan []planned) {
	for name, r := range a.running {
		if i := slices.IndexFunc(plan, func(p planned) bool { return p.name == name }); i < 0 || plan[i].made != r.made {
			r.cancel()
			<-r.done
			a.mu.Lock()
			delete(a.running, name)
			a.mu.Unlock()
		}
	}
	a.hub.setSources(names(plan))
	for _, p := range plan {
		if a.running[p.name] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(ctx)
		r := &running{source: p.source, made: p.made, cancel: cancel, done: make(chan struct{})}
		a.mu.Lock()
		a.running[p.name] = r
		a.mu.Unlock()
		go func() {
			defer close(r.done)
			tell := func(u membership.Update) { a.hub.tell(p.name, u, a.log) }
			if err := p.source.Run(ctx, tell); err != nil && ctx.Err() == nil {
				a.log.Error("a source ended; its list stays", "source", p.name, "error", err)
				tell(membership.Update{Kind: membership.Failed, Err: err})
			}
		}()
	}
}

// stats are the counts of the sources that have some, by name.
func (a *Agent) stats() map[string]endpointslice.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := map[string]endpointslice.Stats{}
	for name, r := range a.running {
		if s, ok := r.source.(*endpointslice.Source); ok {
			all[name] = s.Stats()
		}
	}
	return all
}

func names(plan []planned) (list []string) {
	for _, p := range plan {
		list = append(list, p.name)
	}
	return list
}

// planSources makes the sources that the settings want, in the order in which their word on fields counts: the operator's
// own, then EndpointSlices, which are next to the truth, then the partner list.
func planSources(set *operator.File, env func(string) string, log *slog.Logger) (plan []planned, err error) {
	if len(set.Fixed) > 0 {
		list := make([]membership.Endpoint, len(set.Fixed))
		for i, x := range set.Fixed {
			list[i] = membership.Endpoint{
				ID: x.ID, Addr: x.Address, Dest: *x.Dest, Zone: x.Zone, Kind: x.Kind, Phase: membership.Active, Weight: x.Weight,
				Note: "written down",
			}
			if x.Phase == "leaving" {
				list[i].Phase = membership.Leaving
			}
			if err := list[i].Check(); err != nil {
				return nil, fmt.Errorf("fixed[%d] (%s): %w", i, x.ID, err)
			}
		}
		plan = append(plan, planned{"fixed", fmt.Sprint(list), fixed.New(list)})
	}
	if k := set.Kubernetes; k != nil {
		var access endpointslice.Access
		if k.Access == "kubeconfig" {
			access, err = kubeconfig.Read(k.Kubeconfig, k.Context)
		} else {
			access, err = endpointslice.InCluster(env)
		}
		if err != nil {
			return nil, fmt.Errorf("kubernetes.%s: %w", k.Access, err)
		}
		client, err := endpointslice.NewClient(access)
		if err != nil {
			return nil, fmt.Errorf("kubernetes.%s: %w", k.Access, err)
		}
		for i, p := range k.Partners {
			partner := endpointslice.Partner{
				Name: p.Name, Namespace: *p.Namespace, Selector: p.Selector, PortName: p.Port, Destination: *p.Dest, Kind: p.Kind,
				DefaultZone: p.Zone, ZoneNames: k.Zones, Weight: p.Weight, PreferIPv6: p.Family == "ipv6",
				Grace: p.Grace.Duration(), EmptyHold: p.EmptyHold.Duration(), MaxEndpoints: set.Membership.Most,
			}
			s, err := endpointslice.New(client, partner, log)
			if err != nil {
				return nil, fmt.Errorf("kubernetes.partner[%d] (%s): %w", i, p.Name, err)
			}
			plan = append(plan, planned{s.Name(), fmt.Sprintf("%+v %+v", access, partner), s})
		}
	}
	if up := set.Membership.Upstream; up != "" {
		s := partnerlist.NewSource(host.System{}, up, log)
		plan = append(plan, planned{s.Name(), up, s})
	}
	return plan, nil
}

// counted guards against more work at once than the agent may take on.
type counted struct {
	mu   sync.Mutex
	now  int
	most int
}

func (c *counted) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now >= c.most {
		return false
	}
	c.now++
	return true
}

func (c *counted) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now--
}

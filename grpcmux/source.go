package grpcmux

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/wire"
	"curlewmux/membership"
	"curlewmux/membership/partnerlist"

	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/serviceconfig"
)

// Source tells of endpoints: membership.Source, so that any source of the daemon's or its companions serves here, too.
type Source = membership.Source

// FixedList is a destination whose endpoints are always the same (host:port).
func FixedList(dest int, addrs ...string) Source { return &fixed{dest, slices.Clone(addrs)} }

type fixed struct {
	dest  int
	addrs []string
}

func (f *fixed) Name() string { return fmt.Sprint("fixed-", f.dest) }

func (f *fixed) Run(ctx context.Context, tell func(membership.Update)) error {
	tell(whole(f.dest, f.addrs))
	<-ctx.Done()
	return ctx.Err()
}

func (f *fixed) check() error {
	for _, e := range whole(f.dest, f.addrs).Endpoints {
		if err := e.Check(); err != nil {
			return fmt.Errorf("fixed list: %w", err)
		}
	}
	return checkDest("fixed list", f.dest)
}

func checkDest(what string, dest int) error {
	if dest < 0 || dest > math.MaxUint16 {
		return fmt.Errorf("%s: destination %d is out of range", what, dest)
	}
	return nil
}

// whole is a list of addresses as a source tells it. An address is an endpoint's name, apart for each destination.
func whole(dest int, addrs []string) membership.Update {
	u := membership.Update{Kind: membership.FullList}
	for _, a := range addrs {
		u.Endpoints = append(u.Endpoints, membership.Endpoint{
			ID: fmt.Sprintf("%d/%s", dest, a), Addr: a, Dest: dest, Phase: membership.Active,
		})
	}
	return u
}

// PartnerList is the platform's list of endpoints, watched at its agent (host:port) as the daemon watches it. The
// endpoints' "cell" is the destination.
func PartnerList(agent string) Source { return &partnerList{agent: agent, log: slog.Default()} }

type partnerList struct {
	agent string
	log   *slog.Logger
}

func (p *partnerList) Name() string { return partnerlist.Name }

func (p *partnerList) Run(ctx context.Context, tell func(membership.Update)) error {
	return partnerlist.NewSource(host.System{}, p.agent, p.log).Run(ctx, tell)
}

func (p *partnerList) check() error {
	if _, port, err := net.SplitHostPort(p.agent); err != nil || port == "" {
		return fmt.Errorf("partner list: %q is not an address with a port", p.agent)
	}
	return nil
}

func (p *partnerList) logTo(log *slog.Logger) { p.log = log }

// Resolver is a destination whose endpoints a gRPC resolver tells ("dns:///partner.example:443"). builder is nil for
// gRPC's own registry. Service configs, attributes and the server names of single addresses count for nothing.
func Resolver(dest int, target string, builder resolver.Builder) Source {
	return &resolved{dest: dest, target: target, builder: builder}
}

// resolveEvery is how often a resolver is asked to look again. gRPC's own for DNS does so twice a minute at most.
const resolveEvery = 30 * time.Second

type resolved struct {
	dest    int
	target  string
	builder resolver.Builder
}

func (r *resolved) Name() string { return fmt.Sprintf("resolver-%d-%s", r.dest, r.target) }

func (r *resolved) check() error {
	u, err := url.Parse(r.target)
	if err != nil {
		return fmt.Errorf("resolver: target %q: %w", r.target, err)
	}
	if r.builder == nil {
		if r.builder = resolver.Get(u.Scheme); r.builder == nil {
			return fmt.Errorf("resolver: target %q: no resolver has the scheme %q", r.target, u.Scheme)
		}
	}
	return checkDest("resolver", r.dest)
}

func (r *resolved) Run(ctx context.Context, tell func(membership.Update)) error {
	u, err := url.Parse(r.target)
	if err != nil {
		return fmt.Errorf("resolver: %w", err)
	}
	c := &resolverConn{resolved: r, tell: tell}
	res, err := r.builder.Build(resolver.Target{URL: *u}, c, resolver.BuildOptions{DisableServiceConfig: true})
	if err != nil {
		return fmt.Errorf("resolver: %w", err)
	}
	defer c.end()
	defer res.Close()
	tick := time.NewTicker(resolveEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			res.ResolveNow(resolver.ResolveNowOptions{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// resolverConn is what a resolver tells (resolver.ClientConn), from any goroutine.
type resolverConn struct {
	*resolved
	mu   sync.Mutex
	tell func(membership.Update) // nil: nobody listens any more
}

func (c *resolverConn) say(u membership.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tell != nil {
		c.tell(u)
	}
}

func (c *resolverConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell = nil
}

func (c *resolverConn) UpdateState(s resolver.State) error {
	var addrs []string
	add := func(a string) {
		if !slices.Contains(addrs, a) {
			addrs = append(addrs, a)
		}
	}
	for _, e := range s.Endpoints {
		if len(e.Addresses) > 0 { // the first stands for all that lead to it
			add(e.Addresses[0].Addr)
		}
	}
	if len(s.Endpoints) == 0 {
		for _, a := range s.Addresses {
			add(a.Addr)
		}
	}
	if len(addrs) == 0 { // gRPC keeps what it had, too
		return errors.New("no addresses")
	}
	c.say(whole(c.dest, addrs))
	return nil
}

func (c *resolverConn) ReportError(err error) {
	c.say(membership.Update{Kind: membership.Failed, Err: err})
}

func (c *resolverConn) NewAddress(a []resolver.Address) { c.UpdateState(resolver.State{Addresses: a}) }

func (c *resolverConn) ParseServiceConfig(string) *serviceconfig.ParseResult {
	return &serviceconfig.ParseResult{Err: errors.New("service configs are not used")}
}

// prepare checks what the sources here can tell at once.
func (s *Settings) prepare() error {
	for i, src := range s.Sources {
		if c, ok := src.(interface{ check() error }); ok {
			if err := c.check(); err != nil {
				return fmt.Errorf("grpcmux: setting Sources[%d]: %w", i, err)
			}
		}
		if l, ok := src.(interface{ logTo(*slog.Logger) }); ok {
			l.logTo(s.Log)
		}
	}
	return nil
}

// sources run and their tellings become one list (membership.Table), which the engine is told.
type sources struct {
	cancel context.CancelFunc
	all    sync.WaitGroup

	mu     sync.Mutex
	table  *membership.Table
	warned time.Time       // when unknown names were last told of
	silent map[string]bool // sources that have told nothing yet
	named  map[int]bool    // destinations that one of them has named, while some are silent
	news   chan struct{}   // closed when one of these changes
	heard  chan struct{}   // closed when none is silent any more
}

// newTable makes the table; the first of the sources counts first.
func (c *core) newTable() (err error) {
	c.silent, c.named, c.news, c.heard = map[string]bool{}, map[int]bool{}, make(chan struct{}), make(chan struct{})
	var names []string
	for _, src := range c.set.Sources {
		names = append(names, src.Name())
		c.silent[src.Name()] = true
	}
	if c.table, err = membership.New(membership.Settings{Sources: names}); err != nil {
		return fmt.Errorf("grpcmux: setting Sources: %w", err)
	}
	return nil
}

func (c *core) startSources() {
	ctx, cancel := context.WithCancel(context.Background())
	c.sources.cancel = cancel
	for _, src := range c.set.Sources {
		c.all.Go(func() {
			if err := src.Run(ctx, func(u membership.Update) { c.told(src.Name(), u) }); ctx.Err() == nil {
				c.log.Error("a source of endpoints has stopped; what it told stays in use", "source", src.Name(), "error", err)
				c.sources.mu.Lock()
				c.spoke(src.Name(), nil)
				c.sources.mu.Unlock()
			}
		})
	}
}

func (c *core) stopSources() {
	c.sources.cancel()
	c.all.Wait()
}

// told merges what a source tells and tells the engine what that changes.
func (c *core) told(source string, u membership.Update) {
	c.sources.mu.Lock()
	defer c.sources.mu.Unlock()
	defer func() { c.spoke(source, u.Endpoints) }() // behind what the engine is told
	now := time.Now()
	changes, refused, err := c.table.Apply(now, source, u)
	for _, r := range refused {
		c.log.Warn("a source names an endpoint that can't be used", "source", source, "endpoint", r.ID, "error", r.Err)
	}
	switch {
	case err != nil:
		c.log.Error("a source of endpoints is not heard", "source", source, "error", err)
		return
	case u.Kind == membership.Failed:
		c.log.Warn("a source of endpoints fails; what it told stays in use", "source", source, "error", u.Err)
		c.driver.Members(&engine.Members{Source: scheme, Failed: true})
		return
	case len(changes) == 0:
		return
	}
	m := &engine.Members{Source: scheme}
	for _, e := range changes {
		n := engine.Member{
			ID: e.ID, Addr: e.Addr, Destination: e.Dest, Zone: c.set.Control.Zone, Phase: phases[e.Phase], Weight: e.Weight,
		}
		if e.Zone != "" { // a source without zones and kinds names endpoints that are near, and of the first kind
			n.Zone = slices.Index(c.set.Zones, wire.Plain(e.Zone))
		}
		if e.Kind != "" {
			n.Kind = slices.IndexFunc(c.set.Control.Kinds, func(k control.Kind) bool { return k.Name == wire.Plain(e.Kind) })
		}
		if (n.Zone < 0 || n.Kind < 0) && now.Sub(c.warned) >= time.Second {
			c.log.Warn("a source names an unknown zone or kind", "source", source, "endpoint", e.ID, "zone", e.Zone, "kind", e.Kind)
			c.warned = now
		}
		m.List = append(m.List, n)
	}
	c.driver.Members(m)
}

// spoke notes that a source has told of endpoints, or that it can't; the lock is held.
func (c *core) spoke(source string, list []membership.Endpoint) {
	if len(c.silent) == 0 {
		return
	}
	for _, e := range list {
		c.named[e.Dest] = true
	}
	delete(c.silent, source)
	close(c.news)
	c.news = make(chan struct{})
	if len(c.silent) == 0 {
		close(c.heard)
	}
}

// waitList waits until a source has named the destination, or all have told what they have.
func (c *core) waitList(ctx context.Context, dest int, until time.Time) error {
	select {
	case <-c.heard:
		return nil
	default:
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for {
		c.sources.mu.Lock()
		named, news := c.named[dest], c.news
		c.sources.mu.Unlock()
		if named {
			return nil
		}
		select {
		case <-c.heard:
			return nil
		case <-news:
		case <-c.closing:
			return errClosing
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

var phases = map[membership.Phase]engine.Phase{
	membership.Left: engine.Gone, membership.Leaving: engine.Leaving, membership.Active: engine.Active,
}

// destOf reads the destination that a target names, "curlewmux:///7" or "curlewmux://authority/7".
func destOf(target string) (dest int, err error) {
	u, err := url.Parse(target)
	if err != nil {
		return 0, fmt.Errorf("grpcmux: target %q: %w", target, err)
	}
	name := strings.TrimPrefix(u.Path, "/")
	if _, err := fmt.Sscanf(name, "%d", &dest); u.Scheme != scheme || err != nil || fmt.Sprint(dest) != name {
		return 0, fmt.Errorf("grpcmux: target %q: want %s:///NUMBER or %s://AUTHORITY/NUMBER, the number of a destination", target, scheme, scheme)
	}
	return dest, checkDest("grpcmux: target", dest)
}

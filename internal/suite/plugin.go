package suite

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"curlewmux/engine"
	"curlewmux/grpcmux"
	"curlewmux/internal/standin/rpcpartner"
	"curlewmux/membership"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/test/bufconn"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Plugin plays a script through the plug-in in a bubble of testing/synctest: gRPC's own goroutines and timers run on the
// bubble's clock, over connections in memory. It fails t where the play itself can't be made.
func Plugin(t *testing.T, s *Script, turnsAway ...codes.Code) (r *Result) {
	folder := ""
	if s.HasFolder {
		folder = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		r = play(t, s, memory(), folder, turnsAway)
	})
	return r
}

// Sockets plays a script through the plug-in on loopback sockets and the machine's clock.
func Sockets(t *testing.T, s *Script) *Result {
	folder := ""
	if s.HasFolder {
		folder = t.TempDir()
	}
	return play(t, s, loopback(), folder, nil)
}

// network is where a play's partners are.
type network struct {
	listen func(addr string) (net.Listener, error)
	dial   func(ctx context.Context, addr string) (net.Conn, error)
	addr   func(endpoint string) string
	silent sync.Map // addresses that don't answer dials
	real   bool     // it takes real time
}

func loopback() *network {
	return &network{
		real:   true,
		listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		addr: func(string) string { return "127.0.0.1:0" },
	}
}

// memory is a network of connections in memory.
func memory() *network {
	var mu sync.Mutex
	at := map[string]*bufconn.Listener{}
	return &network{
		listen: func(addr string) (net.Listener, error) {
			mu.Lock()
			defer mu.Unlock()
			l := bufconn.Listen(64 << 10)
			at[addr] = l
			return &named{l, addr, func() {
				mu.Lock()
				defer mu.Unlock()
				delete(at, addr)
			}}, nil
		},
		dial: func(ctx context.Context, addr string) (net.Conn, error) {
			mu.Lock()
			l := at[addr]
			mu.Unlock()
			if l == nil {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return l.DialContext(ctx)
		},
		addr: func(endpoint string) string { return endpoint + ":80" },
	}
}

// named is a listener with an address of its own.
type named struct {
	*bufconn.Listener
	addr string
	shut func()
}

func (l *named) Close() error   { l.shut(); return l.Listener.Close() }
func (l *named) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

// plugin is one play.
type plugin struct {
	t       *testing.T
	script  *Script
	net     *network
	partner *rpcpartner.Partner
	ends    map[string]*rpcpartner.Endpoint
	folder  string
	away    []codes.Code
	run     string // tells the ids of this play from those of others in the process

	mu     sync.Mutex
	calls  map[[2]string]int // of each message at each endpoint, begun
	finals map[string]string
	unmet  int
	cancel map[string]context.CancelFunc
	dead   bool // the process that a call was made in has been killed: its answer counts for nothing

	life int // counts processes
	core *grpcmux.Core
	conn *grpc.ClientConn
	src  *source
	list []membership.Endpoint
	all  sync.WaitGroup
}

// source tells a Core what the script's list says (membership.Source).
type source struct {
	list  []membership.Endpoint // told first
	to    func(membership.Update)
	begun chan struct{}
}

func newSource(list []membership.Endpoint) *source {
	return &source{list: list, begun: make(chan struct{})}
}

// change tells of one endpoint.
func (s *source) change(m membership.Endpoint) {
	<-s.begun
	s.to(membership.Update{Endpoints: []membership.Endpoint{m}})
}

func (s *source) Name() string { return "suite" }

func (s *source) Run(ctx context.Context, tell func(membership.Update)) error {
	tell(membership.Update{Kind: membership.FullList, Endpoints: s.list})
	s.to = tell
	close(s.begun)
	<-ctx.Done()
	return ctx.Err()
}

func play(t *testing.T, s *Script, n *network, folder string, away []codes.Code) *Result {
	p := &plugin{
		t: t, script: s, net: n, ends: map[string]*rpcpartner.Endpoint{}, folder: folder, away: away, run: fmt.Sprintf("%p/", s),
		calls: map[[2]string]int{}, finals: map[string]string{}, cancel: map[string]context.CancelFunc{},
	}
	p.run = fmt.Sprintf("%s/%p/", s.Name, p)
	p.partner = rpcpartner.New(rpcpartner.Options{KeyMemory: keyMemory, Listen: n.listen})
	var list []membership.Endpoint
	for _, name := range s.Endpoints {
		e, err := p.partner.Endpoint(name, n.addr(name), p.late)
		if err != nil {
			t.Fatal(err)
		}
		e.Early(p.early)
		p.ends[name] = e
		if !s.later[name] {
			list = append(list, p.member(name, membership.Active, name))
		}
	}
	p.list = list
	p.boot()
	begun := time.Now().Add(begins)
	for _, e := range s.events {
		time.Sleep(time.Until(begun.Add(e.at)))
		p.event(e)
	}
	rest := time.NewTimer(time.Until(begun.Add(s.until)))
	defer rest.Stop()
	answered := make(chan struct{})
	if n.real {
		go func() {
			p.all.Wait()
			close(answered)
		}()
	}
	select {
	case <-rest.C:
	case <-answered: // nothing more can come
	}
	r := p.result()
	p.mu.Lock()
	for _, cancel := range p.cancel {
		cancel()
	}
	p.mu.Unlock()
	p.end()
	p.all.Wait()
	p.partner.Close()
	return r
}

// boot makes a process's Core and connection.
func (p *plugin) boot() {
	p.src = newSource(p.list)
	set := grpcmux.Settings{
		Control: p.script.Settings, Sources: []grpcmux.Source{p.src}, Seed: 1, TurnsAway: map[int][]codes.Code{dest: p.away}, Folder: p.folder,
		Log: slog.New(&ends{p}),
	}
	for _, c := range set.Control.Classes {
		set.Routes = append(set.Routes, grpcmux.Route{Method: "/suite." + c.Name + "/Call", Class: c.Name})
	}
	core, err := grpcmux.New(set)
	if err != nil {
		p.t.Fatal(err)
	}
	conn, err := core.NewClient(fmt.Sprintf("curlewmux:///%d", dest), insecure.NewCredentials(), grpc.WithContextDialer(p.dial))
	if err != nil {
		p.t.Fatal(err)
	}
	p.core, p.conn = core, conn
	p.life++
}

func (p *plugin) end() {
	p.conn.Close()
	if err := p.core.Close(); err != nil {
		p.t.Error(err)
	}
}

// dial counts the dials that meet nobody.
func (p *plugin) dial(ctx context.Context, addr string) (net.Conn, error) {
	if _, ok := p.net.silent.Load(addr); ok {
		<-ctx.Done()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.met()
		}
		return nil, ctx.Err()
	}
	nc, err := p.net.dial(ctx, addr)
	if err != nil && ctx.Err() == nil {
		p.met()
	}
	return nc, err
}

func (p *plugin) met() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unmet++
}

func (p *plugin) member(name string, ph membership.Phase, at string) membership.Endpoint {
	return membership.Endpoint{ID: name, Addr: p.ends[at].Addr(), Dest: dest, Phase: ph}
}

func (p *plugin) event(e event) {
	switch e.what {
	case "call":
		p.call(e)
	case "cancel":
		p.mu.Lock()
		cancel := p.cancel[e.name]
		p.mu.Unlock()
		cancel()
	case "list":
		at := e.name
		if e.moveTo != "" {
			at = e.moveTo
		}
		m := p.member(e.name, map[engine.Phase]membership.Phase{
			engine.Active: membership.Active, engine.Leaving: membership.Leaving, engine.Gone: membership.Left,
		}[e.phase], at)
		p.src.change(m)
		list := slices.DeleteFunc(slices.Clone(p.list), func(x membership.Endpoint) bool { return x.ID == m.ID })
		p.list = append(list, m) // the next process hears the same
	case "down":
		p.ends[e.name].Down()
	case "up":
		if err := p.ends[e.name].Up(); err != nil {
			p.t.Error(err)
		}
	case "lose":
		p.net.silent.Store(p.ends[e.name].Addr(), true)
	case "restart":
		p.restart()
	}
}

// restart is a process that is killed and another one that begins with the same folder: as it was at that moment, so
// that what the first does when its Core is closed counts for nothing.
func (p *plugin) restart() {
	kept := p.t.TempDir()
	p.copyFolder(p.folder, kept)
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.end()
	p.all.Wait()
	p.mu.Lock()
	p.dead = false
	p.mu.Unlock()
	p.copyFolder(kept, p.folder)
	p.boot()
}

func (p *plugin) copyFolder(from, to string) {
	old, err := os.ReadDir(to)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, f := range old {
		if err := os.Remove(filepath.Join(to, f.Name())); err != nil {
			p.t.Fatal(err)
		}
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		p.t.Fatal(err)
	}
}

func (p *plugin) call(e event) {
	ctx, cancel := context.WithTimeout(context.Background(), e.time)
	p.mu.Lock()
	p.cancel[e.name] = cancel
	p.mu.Unlock()
	size := 10
	if e.big {
		size = 200_000 // more than the window that a partner opens at first
	}
	opts := []grpc.CallOption{grpcmux.ID(p.run + e.name)}
	if e.key != "" {
		opts = append(opts, grpcmux.Key(e.key))
	}
	conn := p.conn
	p.all.Go(func() {
		defer cancel()
		err := conn.Invoke(ctx, "/suite."+e.class+"/Call", wrapperspb.Bytes(make([]byte, size)), &wrapperspb.BytesValue{}, opts...)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.dead {
			p.finals[e.name] = final(err)
		}
	})
}

// final is what an answer says.
func final(err error) string {
	for _, d := range status.Convert(err).Details() {
		info, ok := d.(*errdetails.ErrorInfo)
		if !ok || info.GetDomain() != grpcmux.Domain {
			continue
		}
		switch info.GetReason() {
		case grpcmux.ReasonRefused:
			return "refused"
		case grpcmux.ReasonFailed:
			return "failed"
		case grpcmux.ReasonCanceled:
			if status.Code(err) == codes.Canceled {
				return "cancelled"
			}
			// The caller's own time was up a moment before the module ended the message: what it promises is the same.
			if may, _ := grpcmux.MayHaveRun(err); may {
				return "failed"
			}
			return "refused"
		}
		return info.GetReason() + " " + status.Code(err).String()
	}
	return "answered" // by a reply, or by the partner's own status
}

// ends is a log handler that hears the ends of messages of an earlier process.
type ends struct{ p *plugin }

func (*ends) Enabled(context.Context, slog.Level) bool { return true }
func (h *ends) WithAttrs([]slog.Attr) slog.Handler     { return h }
func (h *ends) WithGroup(string) slog.Handler          { return h }
func (h *ends) Handle(_ context.Context, r slog.Record) error {
	id, end := "", ""
	r.Attrs(func(a slog.Attr) bool {
		switch a.Key {
		case "id":
			id = a.Value.String()
		case "end":
			end = a.Value.String()
		}
		return true
	})
	if end == "" {
		return nil
	}
	if end == "delivered" {
		end = "answered"
	}
	h.p.mu.Lock()
	defer h.p.mu.Unlock()
	if !h.p.dead {
		h.p.finals[id[len(h.p.run):]] = end
	}
	return nil
}

// early decides what becomes of a call whose headers have come, late when its last byte has.
func (p *plugin) early(r *rpcpartner.Request) *rpcpartner.Reply {
	p.mu.Lock()
	p.calls[[2]string{r.Endpoint, r.ID}]++
	n := p.calls[[2]string{r.Endpoint, r.ID}]
	p.mu.Unlock()
	switch m := p.script.meet(r.Endpoint, n); m.Kind {
	case "cut-early":
		return &rpcpartner.Reply{Delay: answerTime, Instead: rpcpartner.CutConn}
	case "stall":
		return &rpcpartner.Reply{Instead: rpcpartner.Hang}
	}
	return nil
}

func (p *plugin) late(r *rpcpartner.Request) rpcpartner.Reply {
	p.mu.Lock()
	n := p.calls[[2]string{r.Endpoint, r.ID}]
	p.mu.Unlock()
	m := p.script.meet(r.Endpoint, n)
	out := rpcpartner.Reply{Delay: answerTime, Ran: m.ran()}
	switch m.Kind {
	case "ok":
		out.Delay = max(out.Delay, m.For)
	case "error":
		out.Code = codes.Unavailable
	case "wait":
		out.Code, out.Wait = codes.ResourceExhausted, m.For
	case "pushback":
		out.Code, out.Pushback = codes.Unavailable, fmt.Sprint(m.For.Milliseconds())
	case "full":
		out.Instead = rpcpartner.RefuseStream
	case "moot":
		out.Instead = rpcpartner.GoAway
	case "over":
		out.Code = codes.FailedPrecondition
	case "reset":
		out.Instead = rpcpartner.CutConn
	case "hang":
		out.Instead = rpcpartner.Hang
	case "cut-answer":
		out.Instead = rpcpartner.HeadersCut
	}
	return out
}

// result is what the partner's records and the callers' answers come to.
func (p *plugin) result() *Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &Result{Fates: map[string]Fate{}, Unmet: p.unmet}
	for _, e := range p.script.events {
		if e.what == "call" {
			r.Fates[e.name] = Fate{Final: p.finals[e.name]}
		}
	}
	for _, c := range p.partner.Calls() {
		id := c.ID[len(p.run):]
		f := r.Fates[id]
		f.Endpoints = append(f.Endpoints, c.Endpoint)
		if c.Effect {
			f.Effects++
		}
		r.Fates[id] = f
	}
	return r
}

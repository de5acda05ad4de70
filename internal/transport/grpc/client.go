package grpctransport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/attributes"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/resolver"
	"google.golang.org/grpc/status"
)

// Scheme is the scheme of a client's target.
const Scheme = "curlewmux"

// Client is one grpc.ClientConn's part of a transport: its connections to endpoints.
type Client struct {
	t   *Transport
	set ClientSettings

	mu     sync.Mutex
	lb     balancer.ClientConn // nil until gRPC has made the balancer
	came   chan struct{}       // closed once lb is there, or the client is closed
	closed bool
	subs   map[place]*sub
	out    map[string]*attempt // by message id
}

// ClientSettings are what a client needs to know.
type ClientSettings struct {
	ConnectTimeout time.Duration // a dial takes no longer; 0: as long as gRPC lets it (20 s)
	OnClose        func()        // called once when the client ends; nil: nothing is
}

// ErrClosed says that a client is closed.
var ErrClosed = errors.New("the client is closed")

var (
	errNoConn = errors.New("no connection comes up")
	errLeft   = errors.New("the endpoint has left")
)

// Client makes a client. The grpc.ClientConn that is made with its Options owns it: it ends when that is closed.
func (t *Transport) Client(s ClientSettings) *Client {
	cl := &Client{
		t: t, set: s, came: make(chan struct{}), subs: map[place]*sub{}, out: map[string]*attempt{},
	}
	t.mu.Lock()
	t.clients[cl] = struct{}{}
	t.mu.Unlock()
	return cl
}

// Closed tells that the client has ended.
func (cl *Client) Closed() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.closed
}

// Drop ends a client of which no ClientConn was made.
func (cl *Client) Drop() { (&lb{client: cl}).Close() }

// Options are the options that make a grpc.ClientConn this client's. They come behind the user's own and win: nothing is
// sent again by gRPC, whatever a service config says, and how long it waits between connects is the engine's to say.
func (cl *Client) Options(creds credentials.TransportCredentials) []grpc.DialOption {
	timeout := cl.set.ConnectTimeout
	if timeout <= 0 {
		timeout = 20 * time.Second // gRPC's own
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(&watchedCreds{creds, cl}),
		grpc.WithResolvers(builder{cl}),
		grpc.WithDefaultServiceConfig(`{"loadBalancingConfig":[{"` + Scheme + `":{}}]}`),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithDisableHealthCheck(),
		grpc.WithIdleTimeout(0), // the engine says when connections go
		grpc.WithNoProxy(),      // a proxy's resolver would stand before ours
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{BaseDelay: time.Microsecond, Multiplier: 1, MaxDelay: time.Microsecond}, MinConnectTimeout: timeout,
		}),
	}
}

// ---- what gRPC calls ----

// builder makes a client's resolver (resolver.Builder): it has no addresses, it only leads the balancer to its client.
type builder struct{ client *Client }

func (builder) Scheme() string { return Scheme }

// OverrideAuthority lets a target name the partner whom TLS expects, curlewmux://partner.example/7.
func (builder) OverrideAuthority(t resolver.Target) string {
	if t.URL.Host != "" {
		return t.URL.Host
	}
	return t.Endpoint()
}

func (b builder) Build(_ resolver.Target, cc resolver.ClientConn, _ resolver.BuildOptions) (resolver.Resolver, error) {
	state := resolver.State{
		Endpoints: []resolver.Endpoint{}, Attributes: attributes.New(clientKey{}, b.client),
	}
	if err := cc.UpdateState(state); err != nil {
		return nil, fmt.Errorf("curlewmux: %w", err)
	}
	return nothing{}, nil
}

type nothing struct{}

func (nothing) ResolveNow(resolver.ResolveNowOptions) {}
func (nothing) Close()                                {}

type (
	clientKey struct{}
	subKey    struct{}
)

// gRPC finds balancers by name in a registry that only init may change; it has no other door. The builder holds nothing:
// which client is meant stands in the resolver's state.
func init() { balancer.Register(lbBuilder{}) }

type lbBuilder struct{}

func (lbBuilder) Name() string { return Scheme }

func (lbBuilder) Build(cc balancer.ClientConn, _ balancer.BuildOptions) balancer.Balancer {
	return &lb{cc: cc}
}

// lb is the balancer of one ClientConn. It balances nothing: each attempt names its endpoint.
type lb struct {
	cc     balancer.ClientConn
	client *Client
}

func (b *lb) UpdateClientConnState(s balancer.ClientConnState) error {
	cl, _ := s.ResolverState.Attributes.Value(clientKey{}).(*Client)
	if cl == nil {
		return balancer.ErrBadResolverState // somebody else named our balancer in a service config
	}
	if b.client != nil {
		return nil
	}
	b.client = cl
	cl.mu.Lock()
	if cl.lb = b.cc; !cl.closed {
		close(cl.came)
	}
	cl.mu.Unlock()
	cl.publish()
	return nil
}

func (b *lb) ResolverError(error)                                        {}
func (b *lb) UpdateSubConnState(balancer.SubConn, balancer.SubConnState) {}
func (b *lb) ExitIdle()                                                  {}

// Close ends the client with its ClientConn: who waits for a connection is told so.
func (b *lb) Close() {
	cl := b.client
	if cl == nil {
		return
	}
	cl.t.mu.Lock()
	delete(cl.t.clients, cl)
	cl.t.mu.Unlock()
	cl.mu.Lock()
	first := !cl.closed
	cl.closed = true
	if first && cl.lb == nil {
		close(cl.came)
	}
	for _, s := range cl.subs {
		s.wake()
	}
	cl.mu.Unlock()
	if first && cl.set.OnClose != nil {
		cl.set.OnClose()
	}
}

// picker gives each attempt its endpoint, once.
type picker struct{}

func (picker) Pick(i balancer.PickInfo) (balancer.PickResult, error) {
	a, ok := i.Ctx.Value(attemptKey{}).(*attempt)
	if !ok { // a call that went round the interceptor
		return balancer.PickResult{}, status.Error(codes.Unimplemented, "curlewmux: only unary calls are supported")
	}
	return a.pick()
}

// ---- connections ----

// sub is a client's connection to an endpoint at an address. All but sc and place is under the client's lock.
type sub struct {
	place
	sc      balancer.SubConn
	state   connectivity.State
	failed  uint64        // connects that failed
	alive   int           // connections on which something may still be written
	good    int           // those of them that take new streams, as far as their frames say
	strays  int           // streams on them that are nobody's
	users   int           // attempts that wait for it, or are on it
	gone    bool          // closed as the last of these ends
	changed chan struct{} // closed when something changes, nil while nobody waits
}

func (s *sub) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// connect waits for a connection, and has it made where there is none. fresh says that it had to be made. Where there is
// no error leaveSub is owed.
func (cl *Client) connect(ctx context.Context, at place) (s *sub, fresh bool, err error) {
	select {
	case <-cl.came:
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return nil, false, ErrClosed
	}
	if s = cl.subs[at]; s == nil {
		s = &sub{place: at, state: connectivity.Idle}
		cl.subs[at] = s
		if err := cl.newSubConn(s); err != nil {
			if cl.subs[at] == s {
				delete(cl.subs, at)
			}
			return nil, false, ErrClosed // gRPC's only reason
		}
	}
	s.users++
	failed := s.failed
	for {
		switch {
		case cl.closed:
			err = ErrClosed
		case s.gone:
			err = errLeft
		case ctx.Err() != nil:
			err = ctx.Err()
		case s.state == connectivity.Ready && s.good > 0: // gRPC tells late that a connection has broken
			return s, fresh, nil
		case s.failed > failed:
			err = errNoConn
		}
		if err != nil {
			if cl.release(s); s.users == 0 && s.state == connectivity.Connecting && !s.gone {
				s.gone = true // a dial that nobody waits for is called off
				cl.shut(s)
			}
			return nil, false, err
		}
		if s.state == connectivity.Idle && s.sc != nil {
			s.sc.Connect() // on a goroutine of gRPC's
		}
		fresh = true
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		cl.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cl.mu.Lock()
	}
}

// newSubConn makes a sub's SubConn; the lock is held, and given back while gRPC's are taken.
func (cl *Client) newSubConn(s *sub) error {
	lb := cl.lb
	s.users++ // so that it stays meanwhile
	cl.mu.Unlock()
	sc, err := lb.NewSubConn([]resolver.Address{{Addr: s.addr, Attributes: attributes.New(subKey{}, s)}}, balancer.NewSubConnOptions{
		StateListener: func(st balancer.SubConnState) { cl.state(s, st) },
	})
	cl.mu.Lock()
	s.users--
	if err == nil {
		s.sc = sc
		s.wake()
	}
	return err
}

// state hears from gRPC how a connection is.
func (cl *Client) state(s *sub, st balancer.SubConnState) {
	cl.mu.Lock()
	s.state = st.ConnectivityState
	if s.state == connectivity.TransientFailure {
		s.failed++
	}
	s.wake()
	cl.mu.Unlock()
	cl.publish()
}

// publish gives gRPC a new picker, so that a pick of a connection which has gone is asked for again and vetoed, and
// tells it how the client is: as well as its best connection.
func (cl *Client) publish() {
	cl.mu.Lock()
	best := connectivity.Idle
	for _, s := range cl.subs {
		switch {
		case s.state == connectivity.Ready:
			best = connectivity.Ready
		case s.state == connectivity.Connecting && best == connectivity.Idle:
			best = connectivity.Connecting
		}
	}
	lb, closed := cl.lb, cl.closed
	cl.mu.Unlock()
	if !closed {
		lb.UpdateState(balancer.State{ConnectivityState: best, Picker: picker{}})
	}
}

// commit makes an attempt known, just before gRPC gets it: from then on its endpoint's leaving lets it finish. It
// returns false where the endpoint has left.
func (cl *Client) commit(a *attempt) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if a.sub.gone || cl.closed {
		return false
	}
	a.strays = a.sub.strays
	cl.out[a.id] = a
	return true
}

// attempt is that which is out for a message.
func (cl *Client) attempt(id string) *attempt {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.out[id]
}

// retire forgets an attempt: a header block that comes late is nobody's. gone says that nothing of it can be written any
// more, nor was anything written that may be its and was not told to be.
func (cl *Client) retire(a *attempt) (gone bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.out[a.id] == a {
		delete(cl.out, a.id)
	}
	return a.sub.alive == 0 && a.sub.strays == a.strays
}

// stray notes a stream that is nobody's.
func (cl *Client) stray(s *sub) {
	if s == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s.strays++
}

// up counts connections that are alive, and those that take new streams.
func (cl *Client) up(s *sub, alive, good int) {
	if s == nil {
		return
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s.alive += alive
	s.good += good
}

// leaveSub says that an attempt is off its connection.
func (cl *Client) leaveSub(s *sub) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.release(s)
}

// release counts a user off; the lock is held.
func (cl *Client) release(s *sub) {
	if s.users--; s.users == 0 && s.gone {
		cl.shut(s)
	}
}

// shut closes a sub's connections, where calls are over; the lock is held.
func (cl *Client) shut(s *sub) {
	if cl.subs[s.place] == s {
		delete(cl.subs, s.place)
	}
	if s.sc != nil && !cl.closed {
		go s.sc.Shutdown() // it takes locks of gRPC under which we may have been called
	}
}

func (cl *Client) closeIdle(at place) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if s := cl.subs[at]; s != nil && s.users == 0 {
		s.gone = true
		cl.shut(s)
	}
}

func (cl *Client) leave(at place) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	s := cl.subs[at]
	if s == nil {
		return
	}
	delete(cl.subs, at) // a later call there begins anew
	s.gone = true
	s.wake()
	if s.users == 0 {
		cl.shut(s)
	}
}

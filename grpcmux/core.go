package grpcmux

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"sync"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/driver"
	"curlewmux/internal/host"
	grpctransport "curlewmux/internal/transport/grpc"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

const scheme = grpctransport.Scheme

// Core is one dispatcher in this process: its messages, slots, waits and endpoints. Any number of client connections
// share one. Its methods are safe for concurrent use.
type Core struct {
	in      *core
	dropped runtime.Cleanup
}

// core is what goes on in a Core. It holds nothing that leads to the Core, so that one which is dropped without Close
// can be found out and closed.
type core struct {
	set       Settings
	log       *slog.Logger
	clock     engine.Clock
	driver    *driver.Driver
	transport *grpctransport.Transport
	ended     chan struct{} // closed when the driver has

	closing chan struct{}
	closed  chan struct{}

	mu   sync.Mutex
	shut bool
	open int           // calls in here
	idle chan struct{} // closed when none is any more, nil while nobody waits

	sources // source.go
	folder  // folder.go
}

// New starts a Core. Errors name the setting at fault, or the folder that can't be taken over. Close ends it; one that is
// dropped without, its connections closed, ends some time later.
func New(s Settings) (*Core, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	if err := s.prepare(); err != nil {
		return nil, err
	}
	c := &core{
		set: s, log: s.Log, clock: engine.Clock{Start: time.Now()}, ended: make(chan struct{}),
		closing: make(chan struct{}), closed: make(chan struct{}),
	}
	if err := c.newTable(); err != nil {
		return nil, err
	}
	e, err := engine.New(engine.Settings{Control: s.Control, Seed: s.Seed, HasStore: s.Folder != "", Prompt: true})
	if err != nil {
		return nil, fmt.Errorf("grpcmux: %w", err)
	}
	c.driver = driver.New(host.System{}, c.clock, e, s.Log)
	c.transport = grpctransport.New(c.lone)
	c.driver.Components = driver.Components{Transport: c.transport, Sink: sink{c}}
	if s.Folder != "" {
		if err := c.openFolder(); err != nil {
			return nil, err
		}
	} else {
		c.driver.ShareRounds()
	}
	go func() {
		defer close(c.ended)
		c.driver.Run()
	}()
	c.startSources()
	out := &Core{in: c}
	out.dropped = runtime.AddCleanup(out, func(c *core) { go c.close() }, c)
	return out, nil
}

// Close ends a Core: calls that are held or out are called off and answered at once, and later ones are too. It waits
// until nothing of it goes on any more; what user code does in a call (credentials, codecs, interceptors of attempts) is
// waited for. What a folder keeps goes on when a Core has it again. Client connections are their makers' to close.
func (c *Core) Close() error {
	defer runtime.KeepAlive(c)
	c.dropped.Stop()
	return c.in.close()
}

func (c *core) close() error {
	c.mu.Lock()
	if c.shut {
		c.mu.Unlock()
		<-c.closed
		return nil
	}
	c.shut = true
	if c.idle = make(chan struct{}); c.open == 0 {
		close(c.idle)
	}
	c.mu.Unlock()
	defer close(c.closed)
	c.driver.Stop() // no call starts any more
	close(c.closing)
	c.transport.AbortAll()
	<-c.idle
	c.stopSources()
	c.driver.Quit()
	<-c.ended
	return c.closeFolder()
}

// enter counts a call in; false once the Core is closed.
func (c *core) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return false
	}
	c.open++
	return true
}

func (c *core) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open--; c.open == 0 && c.idle != nil {
		close(c.idle)
	}
}

// NewClient makes a client connection whose calls are the Core's: grpc.NewClient with a target and options of ours.
// The target is "curlewmux:///7" or "curlewmux://partner.example/7": the number of the destination, and the name by which
// TLS knows the partner. creds are what grpc.WithTransportCredentials takes; they stand apart because what crosses the
// connections that they make is read along. All other options go on working, but for those of load balancing, retries,
// service configs, idleness and the back-off between connects, which are the Core's; interceptors run once for each
// call, stats handlers hear of each attempt. The connection is the caller's to close: calls on it end then.
func (c *Core) NewClient(target string, creds credentials.TransportCredentials, opts ...grpc.DialOption) (*grpc.ClientConn, error) {
	dest, err := destOf(target)
	if err != nil {
		return nil, err
	}
	if creds == nil {
		return nil, errors.New("grpcmux: creds: nil; insecure.NewCredentials() are the ones without TLS")
	}
	in := c.in
	v := &via{core: in, dest: dest, target: target}
	v.client = in.transport.Client(grpctransport.ClientSettings{
		ConnectTimeout: engine.Duration(in.set.Control.ConnectTimeout), OnClose: func() { in.abandon(v) },
	})
	unary := func(
		ctx context.Context, method string, req, reply any, _ *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption,
	) error {
		defer runtime.KeepAlive(c) // a Core with connections is not dropped
		return v.unary(ctx, method, req, reply, next, opts)
	}
	all := append(append([]grpc.DialOption{}, opts...), v.client.Options(creds)...)
	all = append(all, grpc.WithChainUnaryInterceptor(unary), grpc.WithChainStreamInterceptor(stream))
	conn, err := grpc.NewClient(target, all...)
	if err != nil {
		v.client.Drop()
		return nil, fmt.Errorf("grpcmux: %w", err)
	}
	v.conn = conn
	conn.Connect() // makes the balancer; connections are made as calls need them
	in.adopt(v)
	return conn, nil
}

// sink hears the ends of messages (engine.Sink).
type sink struct{ *core }

func (s sink) Completed(d *engine.Done) {
	if d.Disposition == engine.Refused || d.Disposition == engine.Failed {
		s.driver.Notified([]string{d.ID})
	}
	if k, ok := s.transport.Carrier(d.ID).(*call); ok {
		k.ends(d)
	} else {
		s.lonerEnds(d)
	}
}

func (c *core) isClosing() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

var errClosing = errors.New("the Core is closed")

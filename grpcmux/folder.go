package grpcmux

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/journal"
	grpctransport "curlewmux/internal/transport/grpc"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/mem"
)

// folder is what a Core with a folder has: the journal, and the messages of an earlier process, whose callers are gone.
// They go on by the engine's rules, their replies are dropped, and a line in the log tells each one's end.
type folder struct {
	journal *journal.Journal
	path    string

	lonely struct {
		sync.Mutex
		state *journal.State    // not told to the engine yet
		vias  map[string]*via   // by target, the newest
		came  chan struct{}     // closed when one is added
		left  map[string]*loner // by id
	}
}

func (c *core) stored() bool { return c.journal != nil }

// whose is who owns the ids of a Core's calls.
func (c *core) whose() any {
	if c.journal != nil {
		return c.path
	}
	return c
}

// openFolder takes the folder over.
func (c *core) openFolder() error {
	dir := c.set.Folder
	path, err := filepath.Abs(dir)
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err != nil {
		return fmt.Errorf("grpcmux: setting Folder: %w", err)
	}
	c.path = path
	j, state, err := journal.Open(journal.OSDir(dir), journal.Settings{
		Disk: c.set.Disk, Owner: "grpcmux", Random: rand.Uint64, Log: c.log,
	})
	if err != nil {
		return fmt.Errorf("grpcmux: setting Folder: %s: %w", dir, err)
	}
	c.journal, c.driver.Components.Store = j, j
	if wrap := c.set.store; wrap != nil {
		c.driver.Components.Store = wrap(j)
	}
	c.lonely.state = state
	c.lonely.vias, c.lonely.left, c.lonely.came = map[string]*via{}, map[string]*loner{}, make(chan struct{})
	return nil
}

func (c *core) closeFolder() error {
	if c.journal == nil {
		return nil
	}
	return c.journal.Close()
}

// adopt makes a client connection known, by which messages of an earlier process may go. With the first one these go on.
func (c *core) adopt(v *via) {
	if c.journal == nil {
		return
	}
	c.lonely.Lock()
	defer c.lonely.Unlock()
	c.lonely.vias[v.target] = v
	close(c.lonely.came)
	c.lonely.came = make(chan struct{})
	s := c.lonely.state
	if c.lonely.state = nil; s == nil {
		return
	}
	var theirs []string
	for _, m := range s.Live {
		id := m.Message.ID
		if ok, _ := owners.take(id, c.whose()); !ok {
			theirs = append(theirs, id)
		}
		c.lonely.left[id] = &loner{core: c, message: m.Message}
		c.driver.Post(m)
	}
	for _, p := range s.Ended {
		c.driver.Post(p)
	}
	c.driver.Post(&s.Last)
	for _, id := range theirs {
		c.driver.Withdraw(id)
	}
	if len(s.Live) > 0 {
		c.log.Info("messages of an earlier process go on", "count", len(s.Live))
	}
}

// abandon forgets a client connection that is closed.
func (c *core) abandon(v *via) {
	if c.journal == nil {
		return
	}
	c.lonely.Lock()
	defer c.lonely.Unlock()
	if c.lonely.vias[v.target] == v {
		delete(c.lonely.vias, v.target)
	}
}

// longest is the longest time that a call may have.
func (c *core) longest() (d time.Duration) {
	for i := range c.set.Control.Classes {
		d = max(d, engine.Duration(c.set.Control.Classes[i].Deadline))
	}
	return d
}

// lone is who carries a message that has no caller.
func (c *core) lone(call *engine.Call) grpctransport.Carrier {
	if c.journal == nil {
		return nil
	}
	c.lonely.Lock()
	defer c.lonely.Unlock()
	if l := c.lonely.left[call.Items[0].ID]; l != nil {
		return l
	}
	return nil
}

// lonerEnds takes the end of a message that has no caller.
func (c *core) lonerEnds(d *engine.Done) {
	if c.journal == nil {
		return
	}
	c.lonely.Lock()
	l := c.lonely.left[d.ID]
	delete(c.lonely.left, d.ID)
	c.lonely.Unlock()
	if l == nil {
		return
	}
	how := map[engine.Disposition]string{
		engine.Delivered: "delivered", engine.Refused: "refused", engine.Failed: "failed", engine.Closed: "answered",
		engine.Withdrawn: "withdrawn",
	}[d.Disposition]
	c.log.Info("a message of an earlier process ended", "id", d.ID, "end", how, "may_have_run", d.InDoubt || d.Disposition == engine.Delivered)
	owners.release(d.ID, time.Now().Add(c.longest()).Add(remember))
}

// loner is a message without a caller. It makes its attempts on goroutines of its own.
type loner struct {
	core    *core
	message engine.Message

	mu     sync.Mutex
	under  engine.CallID
	cancel context.CancelFunc
}

type lonerKey struct{}

// Carry makes an attempt (grpctransport.Carrier).
func (l *loner) Carry(c *engine.Call, on engine.CallEvents) {
	ctx, cancel := context.WithDeadline(context.WithValue(context.Background(), lonerKey{}, l), l.core.clock.Time(c.Items[0].Deadline))
	l.mu.Lock()
	l.under, l.cancel = c.ID, cancel
	l.mu.Unlock()
	if !l.core.enter() {
		cancel()
		l.core.transport.Ended(c, on, engine.Outcome{Result: control.Moot})
		return
	}
	go func() {
		defer l.core.leave()
		defer cancel()
		l.core.transport.Ended(c, on, l.try(ctx, c, on))
	}()
}

// Abort calls an attempt off.
func (l *loner) Abort(id engine.CallID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.under == id {
		l.cancel()
	}
}

func (l *loner) try(ctx context.Context, c *engine.Call, on engine.CallEvents) engine.Outcome {
	target, method, body, err := open(c.Items[0].Body)
	if err != nil { // of no format of ours: it can never be sent
		l.core.log.Error("a message of an earlier process can't be read", "id", l.message.ID, "error", err)
		return engine.Outcome{Result: control.Moot, Closed: true}
	}
	v, err := l.core.viaFor(ctx, target)
	if err != nil {
		return engine.Outcome{Result: control.Moot}
	}
	var reply []byte
	o, err, _ := v.client.Try(ctx, c, on, l.core.set.TurnsAway[l.message.Destination], func(ctx context.Context) error {
		return v.conn.Invoke(ctx, method, &body, &reply, grpc.ForceCodecV2(raw{}))
	})
	if err != nil {
		l.core.log.Debug("an attempt at a message of an earlier process", "id", l.message.ID, "error", err)
	}
	return o
}

// invoke is the last step of an attempt, behind the interceptors of the user.
func (l *loner) invoke(
	ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoker grpc.UnaryInvoker, opts []grpc.CallOption,
) error {
	return invoker(outgoing(ctx, &l.message), method, req, reply, cc, opts...)
}

// viaFor waits for a client connection with a target.
func (c *core) viaFor(ctx context.Context, target string) (*via, error) {
	for {
		c.lonely.Lock()
		v, came := c.lonely.vias[target], c.lonely.came
		c.lonely.Unlock()
		if v != nil && !v.client.Closed() {
			return v, nil
		}
		select {
		case <-came:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// raw is a codec for requests that are bytes already, under the name of protobuf's.
type raw struct{}

func (raw) Name() string { return "proto" }

func (raw) Marshal(v any) (mem.BufferSlice, error) {
	b, ok := v.(*[]byte)
	if !ok {
		return nil, fmt.Errorf("grpcmux: %T is not bytes", v)
	}
	return mem.BufferSlice{mem.SliceBuffer(*b)}, nil
}

func (raw) Unmarshal(data mem.BufferSlice, v any) error {
	b, ok := v.(*[]byte)
	if !ok {
		return errors.New("grpcmux: a reply goes into bytes")
	}
	*b = data.Materialize()
	return nil
}

var _ encoding.CodecV2 = raw{}

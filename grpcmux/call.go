package grpcmux

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	grpctransport "curlewmux/internal/transport/grpc"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// via is one client connection.
type via struct {
	core   *core
	client *grpctransport.Client
	conn   *grpc.ClientConn
	dest   int
	target string
}

// stream is the interceptor of streaming calls.
func stream(context.Context, *grpc.StreamDesc, *grpc.ClientConn, string, grpc.Streamer, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "curlewmux: streaming calls are not supported, only unary ones are")
}

// unary is the interceptor of unary calls, the innermost. The whole of a call goes on in here, on its caller's
// goroutine.
func (v *via) unary(
	ctx context.Context, method string, req, reply any, invoker grpc.UnaryInvoker, opts []grpc.CallOption,
) error {
	c := v.core
	if l, ok := ctx.Value(lonerKey{}).(*loner); ok { // an attempt at a message of an earlier process
		return l.invoke(ctx, method, req, reply, v.conn, invoker, opts)
	}
	if err := ctx.Err(); err != nil {
		return (&fault{code: status.FromContextError(err).Code(), reason: ReasonCanceled, text: err.Error()}).err()
	}
	r, f := v.request(ctx, method, req, opts)
	if f != nil {
		return f.err()
	}
	k := &call{request: r, core: c, wake: make(chan struct{}, 1)}
	if !c.enter() {
		return k.fault(codes.Canceled, ReasonClosed, "the Core is closed").err()
	}
	defer c.leave()
	switch err := c.waitList(ctx, r.Destination, r.deadline); {
	case errors.Is(err, errClosing):
		return k.fault(codes.Canceled, ReasonClosed, "the Core is closed").err()
	case err != nil:
		return k.fault(status.FromContextError(err).Code(), ReasonCanceled, "not all sources have told of endpoints yet: "+err.Error()).err()
	}
	if !r.once {
		ok, why := owners.take(r.ID, c.whose())
		if !ok {
			f := k.fault(codes.AlreadyExists, ReasonIDInUse, "id: "+why)
			f.may = true
			return f.err()
		}
		defer func() { owners.release(r.ID, k.kept()) }()
	}
	return k.run(ctx, v, func(ctx context.Context) error {
		return invoker(outgoing(ctx, &r.Message), method, req, reply, v.conn, opts...)
	})
}

// call is one call of a stub, from being handed in until its caller has the answer. Its caller's goroutine makes its
// attempts.
type call struct {
	request
	core *core
	wake chan struct{} // holds a value when there may be something new

	mu      sync.Mutex
	taken   bool            // the engine has it: what came before is of an earlier call with its id
	verdict *engine.Verdict // not Taken, or of a message that had ended
	stopped bool            // the driver stopped without a verdict
	next    *engine.Call    // to be made
	on      engine.CallEvents
	under   engine.CallID      // under way, 0: none
	cancel  context.CancelFunc // of that
	done    *engine.Done
	left    bool // its caller has its answer: no attempt is made any more

	// Of the caller's goroutine.
	attempts int
	doubt    bool  // one of them may have run
	last     error // what the last one gave
	ended    bool  // the partner, or this side's gRPC, answered for good
}

var (
	_ grpctransport.Carrier = (*call)(nil)
	_ host.Inbox            = (*call)(nil)
)

func (k *call) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Put takes the verdict (driver.Offer). Of a message that is taken on nothing more is told: its first call, or its end,
// follows.
func (k *call) Put(v any) bool {
	answer, ok := v.(*engine.Verdict)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case !ok:
	case answer.Kind == engine.Accepted && answer.Disposition == 0:
		k.taken = true
	default:
		k.verdict = answer
		k.signal()
	}
	return true
}

// Take is not called: the driver only puts.
func (k *call) Take(into []any, _ time.Time) []any { return into }

// Close hears that the driver stopped without a verdict.
func (k *call) Close() []any {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.signal()
	return nil
}

// Carry takes an attempt to be made.
func (k *call) Carry(c *engine.Call, on engine.CallEvents) {
	k.mu.Lock()
	left := k.left || !k.taken
	if !left {
		k.next, k.on = c, on
	}
	k.mu.Unlock()
	if left {
		k.core.transport.Ended(c, on, engine.Outcome{Result: control.Moot})
		return
	}
	k.signal()
}

// Abort calls an attempt off.
func (k *call) Abort(id engine.CallID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.under == id && k.cancel != nil {
		k.cancel()
	} else if k.next != nil && k.next.ID == id { // not begun: it ends as Moot
		k.next.Items[0].Skip = true
	}
}

// ends takes the message's end. What is still out is called off, so that the caller is answered at once.
func (k *call) ends(d *engine.Done) {
	k.mu.Lock()
	if !k.taken {
		k.mu.Unlock()
		return
	}
	k.done = d
	if k.cancel != nil {
		k.cancel()
	}
	k.mu.Unlock()
	k.signal()
}

// run hands the call in and makes its attempts until it has its answer.
func (k *call) run(ctx context.Context, v *via, invoke func(context.Context) error) (err error) {
	c := k.core
	c.transport.Expect(k.ID, k)
	defer c.transport.Forget(k.ID)
	if !c.driver.SubmitAsync(&k.Message, k.deadline, k.once, k) {
		return k.fault(codes.Canceled, ReasonClosed, "the Core is closed").err()
	}
	settled := false
	defer func() { // a panic of the user's leaves nothing behind, either
		if !settled {
			c.driver.Withdraw(k.ID)
		}
		k.drain()
	}()
	var patience <-chan time.Time
	for {
		select {
		case <-k.wake:
		case <-patience:
			settled = true
			return k.last
		case <-ctx.Done():
			settled = k.ended
			return k.calledOff(ctx)
		case <-c.closing:
			settled = k.ended
			return k.calledOff(ctx)
		}
		k.mu.Lock()
		verdict, stopped, next, on := k.verdict, k.stopped, k.next, k.on
		k.next = nil
		k.mu.Unlock()
		switch {
		case stopped:
			return k.fault(codes.Canceled, ReasonClosed, "the Core is closed").err()
		case verdict != nil:
			settled = true
			return k.turnedAway(verdict)
		}
		if next != nil {
			closed := k.attempt(ctx, v, next, on, invoke)
			switch {
			case k.ended && !c.stored(): // the engine has nothing to add
				settled = true
				return k.last
			case k.ended: // its end is recorded first, unless the disk is silent
				patience = time.After(diskPatience)
			case closed:
				return k.fault(codes.Canceled, ReasonClosed, because("the client connection is closed", k.attempts, k.last)).err()
			}
		}
		k.mu.Lock()
		done := k.done
		k.mu.Unlock()
		if done != nil {
			settled = true
			if done.Disposition == engine.Withdrawn {
				return k.calledOff(ctx)
			}
			return k.answer(done)
		}
	}
}

// diskPatience is how long an answer that is there waits for its record. Without it a crash may send a harmless or keyed
// message once more, which its class allows.
const diskPatience = 300 * time.Millisecond

// attempt makes one attempt and tells the engine its outcome. It returns whether the client connection is closed.
func (k *call) attempt(ctx context.Context, v *via, c *engine.Call, on engine.CallEvents, invoke func(context.Context) error) (closed bool) {
	host := ctx
	ctx, cancel := until(ctx, k.core.clock.Time(c.Items[0].Deadline))
	defer cancel()
	k.mu.Lock()
	skip := c.Items[0].Skip || k.done != nil
	k.under, k.cancel = c.ID, cancel
	k.mu.Unlock()
	o := engine.Outcome{Result: control.Moot}
	told := false
	tell := func() {
		k.mu.Lock()
		k.under, k.cancel = 0, nil
		k.mu.Unlock()
		k.core.transport.Ended(c, on, o)
		told = true
	}
	defer func() {
		if !told { // a panic of the user's: what became of the attempt is not known
			o = engine.Outcome{Result: control.Cancelled}
			tell()
		}
	}()
	if !skip && !k.core.isClosing() {
		var err error
		k.attempts++
		o, err, k.ended = v.client.Try(ctx, c, on, k.core.set.TurnsAway[k.Destination], invoke)
		if err != nil || k.ended {
			k.last = err
		}
		if !control.NeverRan(o.Result) && o.Result != control.OK {
			k.doubt = true
		}
		closed = errors.Is(err, grpctransport.ErrClosed) || v.client.Closed()
	}
	if !k.ended && (closed || host.Err() != nil || k.core.isClosing()) {
		k.core.driver.Withdraw(k.ID) // ahead of the outcome, so that no further attempt starts
	}
	tell()
	return closed && !k.ended
}

// until is a context that ends at the moment given. Where the caller's own ends about then it needs no timer: the
// engine's time is in microseconds.
func until(ctx context.Context, due time.Time) (context.Context, context.CancelFunc) {
	if d, ok := ctx.Deadline(); ok && d.Sub(due) < time.Millisecond {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, due)
}

// drain gives back an attempt that nobody makes any more.
func (k *call) drain() {
	k.mu.Lock()
	k.left = true
	next, on := k.next, k.on
	k.next = nil
	k.mu.Unlock()
	if next != nil {
		k.core.transport.Ended(next, on, engine.Outcome{Result: control.Moot})
	}
}

func (k *call) fault(code codes.Code, reason, text string) *fault {
	return &fault{code: code, reason: reason, id: k.ID, may: k.doubt, text: text}
}

// calledOff is the answer to a call that this side gives up, unless it has one already (with a folder, whose record of it
// is on its way).
func (k *call) calledOff(ctx context.Context) error {
	switch {
	case k.ended:
		return k.last
	case ctx.Err() != nil:
		return k.fault(status.FromContextError(ctx.Err()).Code(), ReasonCanceled, because(ctx.Err().Error(), k.attempts, k.last)).err()
	}
	return k.fault(codes.Canceled, ReasonClosed, because("the Core is closed", k.attempts, k.last)).err()
}

// turnedAway is the answer to a call that was not taken on.
func (k *call) turnedAway(v *engine.Verdict) error {
	f := k.fault(codes.Unavailable, ReasonRefused, v.Reason)
	switch f.again = v.RetryAfter; v.Kind {
	case engine.Invalid:
		if f.code, f.reason = codes.InvalidArgument, ReasonInvalid; time.Until(k.deadline) <= 0 {
			f.code, f.reason = codes.DeadlineExceeded, ReasonCanceled
		}
	case engine.Conflict, engine.AlreadyEnded:
		f.code, f.reason, f.may = codes.AlreadyExists, ReasonIDEnded, true
	case engine.Accepted: // of a call before, whose end is known
		switch v.Disposition {
		case engine.Refused:
			f.text = "id: its call was refused a moment ago"
		case engine.Failed:
			f.code, f.reason, f.may, f.text = codes.AlreadyExists, ReasonIDEnded, true, "id: its call failed before"
		default:
			f.code, f.reason, f.may, f.text = codes.AlreadyExists, ReasonIDEnded, true, "id: its call was delivered before"
		}
	case engine.Unconfirmed:
		f.code, f.reason, f.may = codes.Unknown, ReasonFailed, true
	}
	return f.err()
}

// answer is the answer to a call whose message has ended.
func (k *call) answer(d *engine.Done) error {
	// What the end says of doubt counts for nothing here: it takes an attempt that is out for one that may run, and the
	// caller knows by now what became of each, also of the one that it did not begin.
	switch d.Disposition {
	case engine.Refused:
		f := k.fault(codes.Unavailable, ReasonRefused, because("refused", k.attempts, k.last))
		f.again = d.RetryAfter
		return f.err()
	case engine.Failed:
		f := k.fault(codes.Unknown, ReasonFailed, because("failed", k.attempts, k.last))
		if time.Until(k.deadline) < 3*engine.Duration(k.core.set.Control.Tick) { // the module's own margin is two ticks
			f.code = codes.DeadlineExceeded
		}
		return f.err()
	}
	return k.last // the reply came with the attempt, or a status that is final
}

// kept is until when the call's id stays its Core's, zero: no longer.
func (k *call) kept() time.Time {
	harmless := k.effect == control.Free || !k.doubt && !k.ended
	if harmless {
		return time.Time{}
	}
	return k.deadline.Add(remember)
}

// newID is an id that nobody else has, as long as the platform's.
func newID() string {
	return string(hex.AppendEncode(make([]byte, 0, 16), binary.BigEndian.AppendUint64(make([]byte, 0, 8), rand.Uint64())))
}

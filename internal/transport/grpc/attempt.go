package grpctransport

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"curlewmux/control"
	"curlewmux/engine"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/balancer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// HeaderID and HeaderKey are the metadata that a message's id and its idempotency key travel in.
const (
	HeaderID  = "x-trace-id"
	HeaderKey = "idempotency-key"
)

// attempt is one that was given to gRPC.
type attempt struct {
	client *Client
	id     string
	sub    *sub
	strays int // of sub, before it

	mu sync.Mutex
	signs
}

// signs are what is known of an attempt from outside gRPC.
type signs struct {
	// From the balancer.
	picks   int         // asked for: gRPC asks again for a transparent retry, which is vetoed
	done    bool        // the pick was used, and is over
	began   bool        // gRPC had a stream for it
	trailer metadata.MD // what the partner's trailers hold

	// From the frames.
	on       *watched // where its stream is, nil if its first frame was not written
	stream   uint32
	sent     bool // the last byte of the request was written, or is about to be
	above    bool // a GOAWAY says that its stream was not processed
	refused  bool // REFUSED_STREAM
	reset    bool // ended by another RST_STREAM
	answered bool // the partner's headers came
	replied  bool // bytes of its reply came
	trailers bool // it ended the stream: the status is the partner's
}

type attemptKey struct{}

func (a *attempt) note(f func(*signs)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(&a.signs)
}

// pick is the balancer's answer to gRPC: the endpoint once, then a veto.
func (a *attempt) pick() (balancer.PickResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.picks++; a.picks > 1 {
		return balancer.PickResult{}, errAgain
	}
	return balancer.PickResult{SubConn: a.sub.sc, Done: a.over}, nil
}

// errAgain ends a call for which gRPC asks for a connection once more.
var errAgain = status.Error(codes.Unavailable, "curlewmux: the attempt did not reach the endpoint, and is not made again by itself")

// over hears that a pick is over (balancer.PickResult.Done). One that was not used has empty information: the connection
// was gone.
func (a *attempt) over(d balancer.DoneInfo) {
	a.note(func(s *signs) {
		s.done, s.began = true, d.BytesSent
		s.trailer = d.Trailer
	})
}

// seen is what was told of an attempt that is over, and whether it provably never ran. From then on nothing is noted.
func (a *attempt) seen() (s signs, never bool) {
	gone := a.client.retire(a)
	a.mu.Lock()
	s = a.signs
	a.mu.Unlock()
	if s.on != nil {
		gone = s.on.gone()
		s.on.forget(s.stream)
		a.mu.Lock()
		s = a.signs // what was noted up to then
		a.mu.Unlock()
	}
	switch {
	case s.answered:
	case s.picks == 0, s.picks > 1: // never given out; or gRPC knows that its stream was not processed
		never = true
	case s.done && !s.began: // there was no stream for it
		never = true
	case s.refused, s.above:
		never = true
	case gone && !s.sent:
		never = true
	}
	return s, never
}

// verdict says what became of an attempt: its outcome, and whether the error is what its caller must get, as the partner
// or this side's own gRPC has answered for good.
type verdict struct {
	engine.Outcome
	final bool
}

// judge turns what an attempt gave into its outcome. ctx is the attempt's.
func (a *attempt) judge(ctx context.Context, err error, fresh bool, turnsAway []codes.Code) verdict {
	s, never := a.seen()
	outcome := func(r control.Result) verdict { return verdict{Outcome: engine.Outcome{Result: r}} }
	code := status.Code(err)
	ours := code == codes.Canceled || code == codes.DeadlineExceeded || code == codes.Unavailable
	switch {
	case err == nil:
		return verdict{engine.Outcome{Result: control.OK}, true}
	case ctx.Err() != nil && (code == codes.Canceled || code == codes.DeadlineExceeded) && !never: // whatever came meanwhile, gRPC has dropped it
		if ctx.Err() == context.DeadlineExceeded {
			return outcome(control.TimedOut)
		}
		return outcome(control.Cancelled)
	case s.trailers:
		return answered(err, code, &s, turnsAway)
	case s.replied && !ours: // the partner has replied; that this side can't take it (a size limit) changes nothing
		return verdict{engine.Outcome{Result: control.OK}, true}
	case never && s.refused:
		return outcome(control.Refused)
	case never && (ctx.Err() != nil || s.above):
		return outcome(control.Moot)
	case !ours && !s.reset && !s.answered: // this side's gRPC won't send it (too large, credentials): no endpoint can help
		o := verdict{engine.Outcome{Result: control.Cancelled, Closed: true}, true}
		if never {
			o.Result = control.Moot
		}
		return o
	case never && (s.on != nil || fresh):
		return outcome(control.ConnectFailed)
	case never: // a connection that had stood idle went from under it, which says nothing of the endpoint
		return outcome(control.Moot)
	case !s.answered && (s.reset || s.on != nil && s.on.gone()):
		return outcome(control.Reset)
	}
	return outcome(control.Unreadable) // the endpoint is there and has run it, may have, or is still running it
}

// answered is a partner's own status.
func answered(err error, code codes.Code, s *signs, turnsAway []codes.Code) verdict {
	if !s.replied {
		if code == codes.ResourceExhausted || code == codes.Unavailable {
			if wait, told := toldWait(err, s.trailer); told {
				return verdict{Outcome: engine.Outcome{Result: control.Refused, RetryAfter: wait}}
			}
		}
		if slices.Contains(turnsAway, code) {
			return verdict{Outcome: engine.Outcome{Result: control.Refused}}
		}
	}
	switch code {
	case codes.Unavailable: // a server's own, a proxy's, or an application's: it may have run
		return verdict{Outcome: engine.Outcome{Result: control.Errored}}
	case codes.Unknown, codes.Internal, codes.DataLoss, codes.DeadlineExceeded, codes.Canceled:
		return verdict{engine.Outcome{Result: control.Errored, Closed: true}, true} // an answer, but no sign of health
	}
	return verdict{engine.Outcome{Result: control.OK}, true}
}

// waitMost bounds a told wait: one over 11 days is none.
const waitMost = 1e6 * time.Second

// toldWait is the wait that a partner told: google.rpc.RetryInfo, or grpc-retry-pushback-ms (gRFC A6), where a negative
// one asks not to come again and is none.
func toldWait(err error, trailer metadata.MD) (wait time.Duration, told bool) {
	for _, d := range status.Convert(err).Details() {
		if r, ok := d.(*errdetails.RetryInfo); ok && r.GetRetryDelay() != nil {
			wait, told = r.GetRetryDelay().AsDuration(), true
		}
	}
	if v := trailer.Get("grpc-retry-pushback-ms"); len(v) == 1 {
		ms, err := strconv.ParseInt(v[0], 10, 32)
		if err != nil || ms < 0 {
			return 0, false
		}
		wait, told = max(wait, time.Duration(ms)*time.Millisecond), true
	}
	if wait < 0 || wait > waitMost {
		wait = 0
	}
	return wait, told
}

// Try makes one attempt at a call, on its caller's goroutine, and returns its outcome. ctx ends when it is called off, or
// when the call's item is due. invoke makes a unary call over the client's ClientConn with the context that it is given,
// and returns what gRPC does; it is not called where no connection comes up in time. turnsAway are codes with which the
// partner says, also without a told wait, that a call has not run. final says that invoke's result is the answer that the
// caller gets. An ErrClosed says that the client is closed.
func (cl *Client) Try(
	ctx context.Context, c *engine.Call, on engine.CallEvents, turnsAway []codes.Code, invoke func(context.Context) error,
) (o engine.Outcome, err error, final bool) {
	s, fresh, err := cl.connect(ctx, place{c.Endpoint, c.Addr})
	switch {
	case err == nil:
	case err == errNoConn:
		return engine.Outcome{Result: control.ConnectFailed}, err, false
	default: // called off, out of time, left or closed: it says nothing of the endpoint
		return engine.Outcome{Result: control.Moot}, err, false
	}
	if fresh { // the dial may have taken long: much can have changed
		if may := on.MayWrite(c.ID); len(may) == 0 || !may[0] {
			cl.leaveSub(s)
			return engine.Outcome{Result: control.Moot}, nil, false
		}
	}
	a := &attempt{client: cl, id: c.Items[0].ID, sub: s}
	if !cl.commit(a) {
		cl.leaveSub(s)
		return engine.Outcome{Result: control.Moot}, nil, false
	}
	defer cl.leaveSub(s)
	defer cl.retire(a) // also where invoke panics
	err = invoke(context.WithValue(ctx, attemptKey{}, a))
	v := a.judge(ctx, err, fresh, turnsAway)
	return v.Outcome, err, v.final
}

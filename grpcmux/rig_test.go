package grpcmux

import (
	"context"
	"flag"
	"log/slog"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/internal/standin/rpcpartner"
	"curlewmux/membership"

	"go.uber.org/goleak"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("test.parallel", "16") // they wait more than they work
	goleak.VerifyTestMain(m)
}

const (
	freeCall   = "/test.Free/Call"
	keyedCall  = "/test.Keyed/Call"
	unsafeCall = "/test.Unsafe/Call"
	orderCall  = "/test.Ordered/Call"
)

// testSettings have a class of each effect and one in order, each with a service of its own. Times are short.
func testSettings() Settings {
	const s, ms = control.Second, control.Millisecond
	class := func(name string, effect control.Effect) control.Class {
		return control.Class{Name: name, Effect: effect, Window: 20 * s, Aim: 2 * s, Deadline: 20 * s, Worth: 1, LateWorth: 0.5}
	}
	ordered := class("ordered", control.Guarded)
	ordered.InOrder = true
	return Settings{
		Log: slog.New(slog.DiscardHandler), Seed: 1,
		Control: control.Settings{
			Instances: 1, Tick: 2 * ms, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
			Classes: []control.Class{class("free", control.Free), class("keyed", control.Guarded), class("unsafe", control.SingleShot), ordered},
			Slots:   16, MaxOpen: 200, MaxTries: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 2 * s,
			ConnIdle: 60 * s, ConnectTimeout: s, StreamsPerConn: 100, StopSendingWithin: s, ColdFrom: 0.2, WarmUp: s,
			TipMultiple: 2, OverloadFor: s, SettleAfterDoubt: 100 * ms,
		},
		Routes: []Route{
			{Method: "/test.Free/", Class: "free"}, {Method: "/test.Keyed/", Class: "keyed"},
			{Method: "/test.Unsafe/", Class: "unsafe"}, {Method: "/test.Ordered/", Class: "ordered"},
		},
	}
}

// rig is a Core with one partner, destination 7.
type rig struct {
	t       *testing.T
	run     string // tells its ids from those of other tests
	partner *rpcpartner.Partner
	ends    []*rpcpartner.Endpoint
	core    *Core
	conn    *grpc.ClientConn
}

type rigOptions struct {
	settings func(*Settings)
	partner  rpcpartner.Options
	dial     []grpc.DialOption
	scripts  []rpcpartner.Script // of its endpoints; none: one that answers OK
}

func newRig(t *testing.T, o rigOptions) *rig {
	t.Helper()
	r := &rig{t: t, run: newID(), partner: rpcpartner.New(o.partner)}
	t.Cleanup(r.partner.Close)
	if len(o.scripts) == 0 {
		o.scripts = []rpcpartner.Script{rpcpartner.OK(0)}
	}
	var addrs []string
	for i, s := range o.scripts {
		e, err := r.partner.Endpoint(string(rune('a'+i)), "127.0.0.1:0", s)
		must(t, err)
		r.ends = append(r.ends, e)
		addrs = append(addrs, e.Addr())
	}
	set := testSettings()
	set.Sources = []Source{FixedList(7, addrs...)}
	if o.settings != nil {
		o.settings(&set)
	}
	var err error
	r.core, err = New(set)
	must(t, err)
	t.Cleanup(func() {
		must(t, r.core.Close())
		if e := r.core.in.driver.Engine(); e.OpenMessages() != 0 || e.CallsOut() != 0 {
			t.Errorf("%d messages are left behind, %d calls out", e.OpenMessages(), e.CallsOut())
		}
	})
	r.conn = r.client(o.dial...)
	return r
}

func (r *rig) client(dial ...grpc.DialOption) *grpc.ClientConn {
	r.t.Helper()
	conn, err := r.core.NewClient("curlewmux:///7", insecure.NewCredentials(), dial...)
	must(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return conn
}

// call makes one call with a small request.
func (r *rig) call(ctx context.Context, method string, opts ...grpc.CallOption) error {
	return r.send(ctx, method, 10, opts...)
}

func (r *rig) send(ctx context.Context, method string, size int, opts ...grpc.CallOption) error {
	return r.conn.Invoke(ctx, method, wrapperspb.Bytes(make([]byte, size)), &wrapperspb.BytesValue{}, opts...)
}

// await waits until a look at the partner's records is satisfied.
func (r *rig) await(what string, ok func([]rpcpartner.Call) bool) {
	r.t.Helper()
	limit := time.After(10 * time.Second)
	for {
		changed := r.partner.Changed()
		calls := r.partner.Calls()
		if ok(calls) {
			return
		}
		select {
		case <-changed:
		case <-limit:
			r.t.Fatalf("%s: it does not come to that; calls %+v", what, calls)
		}
	}
}

// wholes are the calls whose last byte came.
func wholes(calls []rpcpartner.Call) (n int) {
	for _, c := range calls {
		if !c.Last.IsZero() {
			n++
		}
	}
	return n
}

// want checks an error's code and what it says of having run, "" for errors that don't say.
func want(t *testing.T, err error, code codes.Code, may string) {
	t.Helper()
	if status.Code(err) != code {
		t.Fatalf("got %v, want %v", err, code)
	}
	m, known := MayHaveRun(err)
	got := ""
	if known {
		got = map[bool]string{true: "may have run", false: "never ran"}[m]
	}
	if got != may {
		t.Fatalf("%v says %q, want %q", err, got, may)
	}
}

func detail[T any](err error) (found T, ok bool) {
	for _, d := range status.Convert(err).Details() {
		if f, is := d.(T); is {
			return f, true
		}
	}
	return found, false
}

func wantRetryInfo(t *testing.T, err error) {
	t.Helper()
	if _, ok := detail[*errdetails.RetryInfo](err); !ok {
		t.Fatalf("%v has no RetryInfo", err)
	}
}

// wantRefused is for a call that never ran and whose time is about up: its caller's context ends a moment after the
// module's own end of it, and either may come first.
func wantRefused(t *testing.T, err error) {
	t.Helper()
	if errCode(err) == codes.DeadlineExceeded {
		want(t, err, codes.DeadlineExceeded, "never ran")
		return
	}
	want(t, err, codes.Unavailable, "never ran")
	wantRetryInfo(t, err)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func background(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// told is a source that says what a test wants.
type told struct {
	to    func(membership.Update)
	begun chan struct{}
}

func newTold() *told { return &told{begun: make(chan struct{})} }

func (s *told) Name() string { return "told" }

func (s *told) Run(ctx context.Context, tell func(membership.Update)) error {
	s.to = tell
	close(s.begun)
	<-ctx.Done()
	return ctx.Err()
}

func (s *told) tell(list ...membership.Endpoint) {
	<-s.begun
	s.to(membership.Update{Endpoints: list})
}

// member is one of the rig's endpoints in a phase.
func (r *rig) member(i int, phase membership.Phase) membership.Endpoint {
	return membership.Endpoint{ID: r.ends[i].ID(), Addr: r.ends[i].Addr(), Dest: 7, Phase: phase}
}

// id is an id of this test's own: ids are known in the whole process.
func (r *rig) id(name string) string { return r.run + "/" + name }

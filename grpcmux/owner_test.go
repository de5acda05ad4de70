package grpcmux

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/standin/rpcpartner"
	grpctransport "curlewmux/internal/transport/grpc"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
	"pgregory.net/rapid"
)

func errCode(err error) codes.Code { return status.Code(err) }

// second is another Core with the same partner.
func (r *rig) second(change func(*Settings)) (*Core, *grpc.ClientConn) {
	r.t.Helper()
	set := testSettings()
	set.Sources = []Source{FixedList(7, r.ends[0].Addr())}
	if change != nil {
		change(&set)
	}
	core, err := New(set)
	must(r.t, err)
	r.t.Cleanup(func() { must(r.t, core.Close()) })
	conn, err := core.NewClient("curlewmux:///7", insecure.NewCredentials())
	must(r.t, err)
	r.t.Cleanup(func() { conn.Close() })
	return core, conn
}

func invoke(ctx context.Context, conn *grpc.ClientConn, method string, opts ...grpc.CallOption) error {
	return conn.Invoke(ctx, method, wrapperspb.Bytes(make([]byte, 10)), &wrapperspb.BytesValue{}, opts...)
}

// Whoever names an id second gets no attempt, whichever way it comes: by another goroutine, another connection, another
// Core or another Core with other settings.
func TestAnIDHasOneOwnerAtATime(t *testing.T) {
	t.Parallel()
	for name, other := range map[string]func(*rig) *grpc.ClientConn{
		"two goroutines":  func(r *rig) *grpc.ClientConn { return r.conn },
		"two connections": func(r *rig) *grpc.ClientConn { return r.client() },
		"two Cores": func(r *rig) *grpc.ClientConn {
			_, conn := r.second(nil)
			return conn
		},
		"two Cores with other settings": func(r *rig) *grpc.ClientConn {
			_, conn := r.second(func(s *Settings) {
				s.Routes = []Route{{Class: "free"}} // there it would be harmless
				s.Control.Slots = 2
			})
			return conn
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, rigOptions{scripts: []rpcpartner.Script{rpcpartner.Same(rpcpartner.Reply{Instead: rpcpartner.Hang, Ran: true})}})
			conn := other(r)
			id := r.id("owner")
			ctx, cancel := context.WithCancel(context.Background())
			answer := make(chan error, 1)
			go func() { answer <- r.call(ctx, unsafeCall, ID(id)) }()
			r.await("the first", func(c []rpcpartner.Call) bool { return wholes(c) == 1 })
			err := invoke(background(t, 10*time.Second), conn, unsafeCall, ID(id))
			want(t, err, codes.AlreadyExists, "may have run")
			r.ends[0].Do(rpcpartner.OK(0))
			cancel()
			want(t, <-answer, codes.Canceled, "may have run")
			err = invoke(background(t, 10*time.Second), conn, unsafeCall, ID(id)) // it may have run: nobody sends it again
			want(t, err, codes.AlreadyExists, "may have run")
			if n := len(r.partner.Of(id)); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

func TestAnIDStaysOwnedWhenItsCoreIsClosedWithTheCallOut(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{scripts: []rpcpartner.Script{rpcpartner.Same(rpcpartner.Reply{Instead: rpcpartner.Hang, Ran: true})}})
	_, conn := r.second(nil)
	answer := make(chan error, 1)
	go func() { answer <- r.call(context.Background(), unsafeCall, ID(r.id("owner"))) }()
	r.await("the first", func(c []rpcpartner.Call) bool { return wholes(c) == 1 })
	r.ends[0].Do(rpcpartner.OK(0))
	must(t, r.core.Close())
	want(t, <-answer, codes.Canceled, "may have run")
	want(t, invoke(background(t, 10*time.Second), conn, unsafeCall, ID(r.id("owner"))), codes.AlreadyExists, "may have run")
	if n := len(r.partner.Of(r.id("owner"))); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

func TestManyCallsOfOneIDMakeOneAttempt(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{scripts: []rpcpartner.Script{rpcpartner.OK(20 * time.Millisecond)}})
	_, conn := r.second(nil)
	for _, method := range []string{unsafeCall, keyedCall} {
		id := r.id("many" + method)
		var all sync.WaitGroup
		var mu sync.Mutex
		got := map[codes.Code]int{}
		for i := range 40 {
			all.Go(func() {
				c := []*grpc.ClientConn{r.conn, conn}[i%2]
				err := invoke(background(t, 10*time.Second), c, method, ID(id), Key("k"))
				mu.Lock()
				got[errCode(err)]++
				mu.Unlock()
			})
		}
		all.Wait()
		if got[codes.OK] != 1 || got[codes.AlreadyExists] != 39 || len(r.partner.Of(id)) != 1 {
			t.Errorf("%s: %v, %d attempts", method, got, len(r.partner.Of(id)))
		}
	}
}

// A call of the owner's that is turned away, as its id has ended, must not free the id for others.
func TestACallTurnedAwayLeavesAnEndedIDOwned(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{})
	_, conn := r.second(nil)
	for _, method := range []string{unsafeCall, keyedCall} {
		ctx, id := background(t, 10*time.Second), r.id("turned away"+method)
		must(t, invoke(ctx, r.conn, method, ID(id), Key("k")))
		want(t, invoke(ctx, r.conn, method, ID(id), Key("k")), codes.AlreadyExists, "may have run")
		want(t, invoke(ctx, conn, method, ID(id), Key("k")), codes.AlreadyExists, "may have run")
		if n := len(r.partner.Of(id)); n != 1 {
			t.Errorf("%s: %d attempts", method, n)
		}
	}
}

func TestAnIDThatEndedTellsHow(t *testing.T) {
	t.Parallel()
	r := newRig(t, rigOptions{})
	ctx := background(t, 10*time.Second)
	must(t, r.call(ctx, keyedCall, ID(r.id("ended")), Key("k")))
	want(t, r.call(ctx, keyedCall, ID(r.id("ended")), Key("k")), codes.AlreadyExists, "may have run")
	want(t, r.call(ctx, keyedCall, ID(r.id("ended")), Key("another key")), codes.AlreadyExists, "may have run")
	must(t, r.call(ctx, keyedCall, ID(r.id("another")), Key("k")))
	if n := len(r.partner.Of(r.id("ended"))); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// The end of a call may be on its way to its caller while another comes with its id: it gets an answer at once.
func TestACallHearsAtOnceHowTheOneBeforeItEnded(t *testing.T) {
	t.Parallel()
	for how, x := range map[engine.Disposition]struct {
		code codes.Code
		may  string
	}{
		engine.Refused:   {codes.Unavailable, "never ran"},
		engine.Failed:    {codes.AlreadyExists, "may have run"},
		engine.Delivered: {codes.AlreadyExists, "may have run"},
	} {
		k := &call{wake: make(chan struct{}, 1)}
		k.Put(&engine.Verdict{Kind: engine.Accepted, Disposition: how})
		select {
		case <-k.wake:
		default:
			t.Fatalf("%v: its caller is not woken", how)
		}
		err := k.turnedAway(k.verdict)
		want(t, err, x.code, x.may)
		if _, told := detail[*errdetails.RetryInfo](err); told != (how == engine.Refused) {
			t.Errorf("%v: RetryInfo %v", how, told)
		}
	}
}

// The engine ends a message while an attempt is on its way to the caller, who does not begin it: it never ran.
func TestAnAttemptThatIsNotBegunLeavesNoDoubt(t *testing.T) {
	t.Parallel()
	k := &call{core: &core{}, request: request{deadline: time.Now().Add(time.Minute)}}
	want(t, k.answer(&engine.Done{Disposition: engine.Failed, InDoubt: true}), codes.Unknown, "never ran")
	k.doubt = true
	want(t, k.answer(&engine.Done{Disposition: engine.Failed, InDoubt: true}), codes.Unknown, "may have run")
}

// A call that takes an id over may hear of the one before: its end and its attempts are not this call's.
func TestACallHearsNothingOfTheOneBeforeIt(t *testing.T) {
	t.Parallel()
	k := &call{core: &core{transport: grpctransport.New(nil)}, wake: make(chan struct{}, 1)}
	ended := &endings{}
	k.ends(&engine.Done{Disposition: engine.Withdrawn})
	k.Carry(&engine.Call{ID: 1, Items: make([]engine.Item, 1)}, ended)
	if k.done != nil || k.next != nil || len(ended.list) != 1 || ended.list[0].Result != control.Moot {
		t.Errorf("end %v, attempt %v, told %v", k.done, k.next, ended.list)
	}
	k.Put(&engine.Verdict{Kind: engine.Accepted})
	k.Carry(&engine.Call{ID: 2, Items: make([]engine.Item, 1)}, ended)
	k.ends(&engine.Done{Disposition: engine.Failed})
	if k.done == nil || k.next == nil || len(ended.list) != 1 {
		t.Errorf("its own: end %v, attempt %v, told %v", k.done, k.next, ended.list)
	}
	k.drain()
	if len(ended.list) != 2 || ended.list[1].Result != control.Moot {
		t.Errorf("an attempt that nobody makes: %v", ended.list)
	}
	k.Carry(&engine.Call{ID: 3, Items: make([]engine.Item, 1)}, ended) // too late
	if len(ended.list) != 3 {
		t.Errorf("an attempt for a caller that has left: %v", ended.list)
	}
}

// endings are the outcomes that were told.
type endings struct{ list []engine.Outcome }

func (*endings) MayWrite(engine.CallID) []bool                  { return nil }
func (*endings) FirstLine(engine.CallID)                        {}
func (e *endings) Ended(_ engine.CallID, outs []engine.Outcome) { e.list = append(e.list, outs...) }

func TestTheRegistryOfIDsForgetsWhatIsOver(t *testing.T) {
	t.Parallel()
	r := registry{byID: map[string]*owner{}}
	a, b := &core{}, &core{}
	for i := range 5000 {
		id := fmt.Sprint(i)
		if ok, why := r.take(id, a); !ok {
			t.Fatal(why)
		}
		r.release(id, time.Now().Add(-time.Second))
	}
	if len(r.byID) > 2500 {
		t.Errorf("%d ids remembered", len(r.byID))
	}
	if ok, _ := r.take("x", a); !ok {
		t.Fatal("not free")
	}
	if ok, _ := r.take("x", b); ok {
		t.Fatal("taken twice")
	}
	r.release("x", time.Now().Add(time.Hour))
	if ok, _ := r.take("x", b); ok {
		t.Fatal("another Core has what may have run")
	}
	if ok, _ := r.take("x", a); !ok {
		t.Fatal("its own Core can't ask its engine")
	}
	r.release("x", time.Time{}) // turned away: the one before may have run all the same
	if ok, _ := r.take("x", b); ok {
		t.Fatal("freed by a call that never ran")
	}
	if ok, _ := r.take("y", a); !ok {
		t.Fatal("not free")
	}
	r.release("y", time.Time{})
	if ok, _ := r.take("y", b); !ok {
		t.Fatal("not free")
	}
}

// Whatever calls of several Cores do with a few ids, no two have one at a time, and what may have run stays with its Core
// until its time.
func TestTheRegistryOfIDsGivesEachIDToOneCall(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := registry{byID: map[string]*owner{}}
		cores := []*core{{}, {}, {}}
		holds := map[string]*core{} // has a call in progress
		kept := map[string]*core{}  // had one that may have run
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			c := cores[rapid.IntRange(0, 2).Draw(t, "core")]
			if holds[id] == c && rapid.Bool().Draw(t, "ends") {
				delete(holds, id)
				until := time.Time{}
				if rapid.Bool().Draw(t, "may have run") {
					until = time.Now().Add(time.Hour)
					kept[id] = c
				}
				r.release(id, until)
				continue
			}
			want := holds[id] == nil && (kept[id] == nil || kept[id] == c)
			if ok, why := r.take(id, c); ok != want {
				t.Fatalf("taken %v (%s), want %v", ok, why, want)
			}
			if want {
				holds[id] = c
			}
		}
	})
}

// Command rpc shows the gRPC plug-in at work: it starts scripted partners on loopback, calls them through a Core in the
// process, and prints what became of each call. It stops by itself after a few seconds.
//
//	go run ./examples/rpc
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"time"

	"curlewmux/control"
	"curlewmux/grpcmux"
	"curlewmux/internal/standin/rpcpartner"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// scene is a call, and what its attempts meet, the last for all further ones.
type scene struct {
	about  string
	method string
	time   time.Duration
	meets  []rpcpartner.Reply
}

const (
	report = "/shop.Status/Report"  // harmless to repeat
	sync   = "/shop.Sync/Request"   // the partner drops repeats of a key
	upload = "/shop.Uploads/Upload" // must never take effect twice
)

func scenes() []scene {
	ok := rpcpartner.Reply{Ran: true}
	const ms = time.Millisecond
	return []scene{
		{"all is well", upload, time.Second, []rpcpartner.Reply{ok}},
		{"told to wait 200 ms", upload, time.Second, []rpcpartner.Reply{{Code: codes.ResourceExhausted, Wait: 200 * ms}, ok}},
		{"the stream is refused", upload, 2 * time.Second, []rpcpartner.Reply{{Instead: rpcpartner.RefuseStream}, ok}},
		{"GOAWAY below the stream", upload, time.Second, []rpcpartner.Reply{{Instead: rpcpartner.GoAway}, ok}},
		{"cut off after the request", report, 2 * time.Second, []rpcpartner.Reply{{Instead: rpcpartner.CutConn, Ran: true}, ok}},
		{"the same, with a key", sync, 2 * time.Second, []rpcpartner.Reply{{Instead: rpcpartner.CutConn, Ran: true}, ok}},
		{"the same, must not run twice", upload, 2 * time.Second, []rpcpartner.Reply{{Instead: rpcpartner.CutConn, Ran: true}, ok}},
		{"no answer comes", upload, 500 * ms, []rpcpartner.Reply{{Instead: rpcpartner.Hang, Ran: true}}},
		{"told to wait longer than there is time", upload, 400 * ms, []rpcpartner.Reply{{Code: codes.Unavailable, Pushback: "5000"}}},
		{"the partner's own status", upload, time.Second, []rpcpartner.Reply{{Code: codes.FailedPrecondition, Message: "no such shelf"}}},
	}
}

// settings have a class for each service.
func settings(sources ...grpcmux.Source) grpcmux.Settings {
	const s, ms = control.Second, control.Millisecond
	class := func(name string, e control.Effect) control.Class {
		return control.Class{Name: name, Effect: e, Window: 10 * s, Aim: 500 * ms, Deadline: 10 * s, Worth: 1}
	}
	return grpcmux.Settings{
		Sources: sources, Log: slog.New(slog.DiscardHandler),
		Control: control.Settings{
			Instances: 1, Tick: 5 * ms, OverShare: 1, ReportLeft: -1, ReportLimit: -1, Slots: 16, MaxOpen: 100, MaxTries: 6,
			Classes:   []control.Class{class("status", control.Free), class("sync", control.Guarded), class("upload", control.SingleShot)},
			MayCancel: true, RetryAfter: true, MaxRetryAfter: 10 * s, ConnIdle: 60 * s, ConnectTimeout: s, StopSendingWithin: s,
			ColdFrom: 0.2, WarmUp: s, TipMultiple: 2, OverloadFor: s, SettleAfterDoubt: 100 * ms,
		},
		Routes: []grpcmux.Route{
			{Method: "/shop.Status/", Class: "status"}, {Method: "/shop.Sync/", Class: "sync", Key: "value"},
			{Method: "/shop.Uploads/", Class: "upload"},
		},
	}
}

func run(out io.Writer) error {
	list, begun := scenes(), time.Now()
	var sources []grpcmux.Source
	var partners []*rpcpartner.Partner
	id := func(s scene) string { return fmt.Sprint(s.about, " ", begun.UnixNano()) } // of a call: known for a while
	for i, s := range list {                                                         // a partner for each call, so that none suffers for another's faults
		p := rpcpartner.New(rpcpartner.Options{KeyMemory: 10 * time.Second})
		defer p.Close()
		faults := rpcpartner.InTurn(s.meets...)
		e, err := p.Endpoint("a", "127.0.0.1:0", func(r *rpcpartner.Request) rpcpartner.Reply {
			if r.ID != id(s) {
				return rpcpartner.Reply{}
			}
			return faults(r)
		})
		if err != nil {
			return err
		}
		partners = append(partners, p)
		sources = append(sources, grpcmux.FixedList(i, e.Addr()))
	}
	core, err := grpcmux.New(settings(sources...))
	if err != nil {
		return err
	}
	defer core.Close()
	for i, s := range list {
		conn, err := core.NewClient(fmt.Sprintf("curlewmux:///%d", i), insecure.NewCredentials())
		if err != nil {
			return err
		}
		for range usual { // the module sizes what it sends after a refusal by the traffic that there is
			if err := call(conn, s, "usual"); err != nil {
				return err
			}
		}
		begun := time.Now()
		err = call(conn, s, fmt.Sprint("key ", i), grpcmux.ID(id(s)))
		took := time.Since(begun).Round(time.Millisecond)
		conn.Close()
		calls := partners[i].Of(id(s))
		effects := len(slices.DeleteFunc(slices.Clone(calls), func(c rpcpartner.Call) bool { return !c.Effect }))
		class := strings.ToLower(strings.Split(strings.TrimPrefix(s.method, "/shop."), "/")[0])
		fmt.Fprintf(out, "%-40s %-8s %d attempts, %d effects, %6v: %s\n", s.about, class, len(calls), effects, took, tell(err))
	}
	return nil
}

const usual = 40 // calls that go well before each scene

func call(conn *grpc.ClientConn, s scene, key string, opts ...grpc.CallOption) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.time)
	defer cancel()
	return conn.Invoke(ctx, s.method, wrapperspb.String(key), &wrapperspb.StringValue{}, opts...)
}

// tell puts an answer into words.
func tell(err error) string {
	if err == nil {
		return "delivered"
	}
	st := status.Convert(err)
	may, known := grpcmux.MayHaveRun(err)
	switch {
	case !known:
		return fmt.Sprintf("answered by the partner: %v, %q", st.Code(), st.Message())
	case may:
		return fmt.Sprintf("%v, it may have run", st.Code())
	default:
		return fmt.Sprintf("%v, it never ran: harmless to call again", st.Code())
	}
}

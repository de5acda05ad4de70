package driver

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// directTransport is the transport and sink of a driver with shared rounds.
type directTransport struct {
	mu     sync.Mutex
	events map[string]chan any // by message id: receives its calls and its engine.Done
	onCall func(*engine.Call)  // if set, receives all calls instead
}

func (r *directTransport) expect(id string) chan any {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan any, 8)
	r.events[id] = c
	return c
}

func (r *directTransport) record(id string, v any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.events[id]; c != nil {
		c <- v
	}
}

func (r *directTransport) Start(c *engine.Call, _ engine.CallEvents) {
	if r.onCall != nil {
		r.onCall(c)
		return
	}
	r.record(c.Items[0].ID, c)
}
func (r *directTransport) Abort(engine.CallID)                   {}
func (r *directTransport) CloseIdle(*engine.CloseIdle)           {}
func (r *directTransport) RemoveEndpoint(*engine.RemoveEndpoint) {}
func (r *directTransport) Completed(d *engine.Done)              { r.record(d.ID, d) }

// discardInbox is a reply inbox that discards its values.
type discardInbox struct{ host.Inbox }

func (discardInbox) Put(any) bool { return true }

func newShared(t testing.TB, slots int, members ...engine.Member) (*Driver, *directTransport) {
	t.Helper()
	const s = control.Second
	e, err := engine.New(engine.Settings{
		Prompt: true,
		Control: control.Settings{
			Instances: 1, Tick: 2 * control.Millisecond, Slots: slots, MaxOpen: 1000, MaxTries: 3, MayCancel: true,
			Classes:    []control.Class{{Name: "unsafe", Effect: control.SingleShot, Aim: 30 * s, Deadline: 60 * s, Worth: 1}},
			ReportLeft: -1, ReportLimit: -1, ConnectTimeout: s, ColdFrom: 0.2, WarmUp: s, TipMultiple: 2, OverloadFor: s,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	h := host.System{}
	d := New(h, engine.Clock{Start: h.Now()}, e, slog.New(slog.DiscardHandler))
	to := &directTransport{events: map[string]chan any{}}
	d.Components = Components{Transport: to, Sink: to}
	d.ShareRounds()
	d.Handle(&engine.Members{Source: "list", FullList: true, List: members}, &engine.Wake{})
	return d, to
}

var activeMember = engine.Member{ID: "e", Addr: "h:1", Destination: 1, Phase: engine.Active}

func startDriver(t testing.TB, d *Driver) {
	ran := make(chan struct{})
	go func() {
		defer close(ran)
		d.Run()
	}()
	t.Cleanup(func() {
		d.Quit()
		<-ran
	})
}

func newMessage(id string) *engine.Message {
	return &engine.Message{ID: id, Class: "unsafe", Destination: 1}
}

// Without Run, callers must make the rounds for their own events.
func TestCallersMakeTheirOwnRounds(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, activeMember)
	first, second := to.expect("a"), to.expect("b")
	in := time.Now().Add(time.Minute)
	if !d.SubmitAsync(newMessage("a"), in, true, discardInbox{}) || !d.SubmitAsync(newMessage("b"), in, true, discardInbox{}) || len(first) != 1 || len(second) != 0 {
		t.Fatalf("with one slot: %d and %d events", len(first), len(second))
	}
	call := (<-first).(*engine.Call)
	if ok := d.MayWrite(call.ID); len(ok) != 1 || !ok[0] {
		t.Errorf("permit: %v", ok)
	}
	d.Ended(call.ID, []engine.Outcome{{Result: control.OK}})
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("after the end of the first: %d and %d events", len(first), len(second))
	}
	d.Withdraw("b")
	d.Ended((<-second).(*engine.Call).ID, []engine.Outcome{{Result: control.Moot}})
	if e := d.Engine(); e.OpenMessages() != 0 || e.CallsOut() != 0 {
		t.Errorf("%d messages open, %d calls out", e.OpenMessages(), e.CallsOut())
	}
	startDriver(t, d)
}

// If a caller's round leaves something due earlier than Run would wake up, Run must be woken.
func TestRunWakesForDeadlineSetInCallersRound(t *testing.T) {
	t.Parallel()
	leaving := activeMember
	leaving.Phase = engine.Leaving
	d, to := newShared(t, 1, leaving)
	startDriver(t, d)
	for d.turn.Lock(); time.Until(d.sleepsUntil) < time.Second; d.turn.Lock() { // until Run sleeps for seconds
		d.turn.Unlock()
		time.Sleep(time.Millisecond) // polling interval
	}
	d.turn.Unlock()
	end := to.expect("a")
	if !d.SubmitAsync(newMessage("a"), time.Now().Add(50*time.Millisecond), true, discardInbox{}) {
		t.Fatal("the driver has stopped")
	}
	select {
	case v := <-end:
		if done, ok := v.(*engine.Done); !ok || done.Disposition != engine.Refused {
			t.Errorf("%+v", v)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the message did not expire")
	}
}

// A transport may end a call from within the round that starts it.
func TestEventFromWithinRoundIsHandledAfterIt(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, activeMember)
	to.onCall = func(c *engine.Call) { d.Ended(c.ID, []engine.Outcome{{Result: control.OK}}) }
	end := to.expect("a")
	d.SubmitAsync(newMessage("a"), time.Now().Add(time.Minute), true, discardInbox{})
	if len(end) != 1 {
		t.Fatal("the outcome was not handled")
	}
	startDriver(t, d)
}

// sleepCheck is an inbox that fails the test if Run sleeps with values in the queue.
type sleepCheck struct {
	host.Inbox
	d *Driver
	t *testing.T
}

func (a sleepCheck) Take(into []any, until time.Time) []any {
	if a.d.hasQueued() {
		a.t.Error("Run goes to sleep with values in the queue")
	}
	return a.Inbox.Take(into, until)
}

func TestRunHandlesValuesQueuedDuringItsRound(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 4, activeMember)
	d.inbox = sleepCheck{d.inbox, d, t}
	begun, goOn := make(chan struct{}), make(chan struct{})
	second := make(chan struct{})
	to.onCall = func(c *engine.Call) {
		if c.Items[0].ID == "b" {
			close(second)
			return
		}
		close(begun)
		<-goOn
	}
	startDriver(t, d)
	d.Post(&engine.Submit{Message: *newMessage("a"), ExpiresIn: control.Second}) // handled by Run
	<-begun
	if !d.SubmitAsync(newMessage("b"), time.Now().Add(time.Minute), true, discardInbox{}) {
		t.Fatal("the driver has stopped")
	}
	close(goOn)
	select {
	case <-second:
	case <-time.After(5 * time.Second):
		t.Fatal("the second message was not handled")
	}
}

// With many open messages callers leave the rounds to Run, which handles the values of all of them in one round.
func TestCrowdedCallersLeaveRoundsToRun(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, activeMember)
	first := to.expect("0")
	for i := range 2 * crowdedAbove {
		d.SubmitAsync(newMessage(fmt.Sprint(i)), time.Now().Add(time.Minute), true, discardInbox{})
	}
	if got := d.Engine().OpenMessages(); got != crowdedAbove+1 && got != crowdedAbove+2 {
		t.Errorf("%d messages are open without Run", got)
	}
	call := (<-first).(*engine.Call)
	end := to.expect("0")
	startDriver(t, d)
	d.Ended(call.ID, []engine.Outcome{{Result: control.OK}})
	if _, ok := (<-end).(*engine.Done); !ok {
		t.Error("the message did not end")
	}
}

// A caller that finds the turn taken leaves its value to another goroutine. No value may be forgotten.
func TestNoValueOfConcurrentCallersIsForgotten(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 4, activeMember)
	startDriver(t, d)
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			for j := range 200 {
				id := fmt.Sprint(i, "/", j)
				told := to.expect(id)
				d.SubmitAsync(newMessage(id), time.Now().Add(time.Minute), true, discardInbox{})
				for out := false; ; {
					select {
					case v := <-told:
						switch v := v.(type) {
						case *engine.Call:
							out = true
							if j%5 == 0 {
								d.Withdraw(id)
							}
							d.Ended(v.ID, []engine.Outcome{{Result: control.OK}})
							continue
						case *engine.Done:
							if !out {
								t.Errorf("%s: %+v without a call", id, v)
							}
						}
					case <-time.After(20 * time.Second):
						t.Errorf("%s: no event", id)
					}
					break
				}
			}
		})
	}
	all.Wait()
}

// callingHandler is a log handler that calls into the driver whose log it handles.
type callingHandler struct {
	slog.Handler
	call func()
}

func (callingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (c callingHandler) Handle(context.Context, slog.Record) error {
	c.call()
	return nil
}

// The logger belongs to the program: it may be slow, or make a call through the same driver.
func TestNothingIsLoggedWithinARound(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, activeMember)
	told, logged := to.expect("a"), make(chan struct{})
	d.log = slog.New(callingHandler{call: func() {
		d.SubmitAsync(newMessage("a"), time.Now().Add(time.Minute), true, discardInbox{})
		<-told
		close(logged)
	}})
	to.onCall = func(c *engine.Call) {
		if c.Items[0].ID == "first" {
			d.carryOut([]engine.Effect{&engine.Note{Text: "a note of this round"}})
			return
		}
		to.record(c.Items[0].ID, c)
		d.Ended(c.ID, []engine.Outcome{{Result: control.OK}})
	}
	startDriver(t, d)
	d.SubmitAsync(newMessage("first"), time.Now().Add(time.Minute), true, discardInbox{})
	d.Ended(1, []engine.Outcome{{Result: control.OK}})
	select {
	case <-logged:
	case <-time.After(5 * time.Second):
		t.Fatal("the logger's own call was not made")
	}
}

func TestSharedDriverRejectsCallsAfterQuit(t *testing.T) {
	t.Parallel()
	d, _ := newShared(t, 1, activeMember)
	d.Quit()
	d.Run()
	if d.SubmitAsync(newMessage("a"), time.Now().Add(time.Minute), true, discardInbox{}) || d.MayWrite(1) != nil || d.Members(&engine.Members{Source: "list", Failed: true}) {
		t.Error("the driver accepts values after it has ended")
	}
}

// BenchmarkSharedRounds measures a call from its submission to its end if its caller makes the rounds.
func BenchmarkSharedRounds(b *testing.B) {
	d, to := newShared(b, 4, activeMember)
	calls := make(chan *engine.Call, 1)
	to.onCall = func(c *engine.Call) { calls <- c }
	startDriver(b, d)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if !d.SubmitAsync(newMessage(fmt.Sprint(n)), time.Now().Add(time.Second), true, discardInbox{}) {
			b.Fatal("the driver has stopped")
		}
		d.Ended((<-calls).ID, []engine.Outcome{{Result: control.OK}})
	}
}

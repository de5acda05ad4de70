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

// direct is a transport and a sink whose rounds are shared.
type direct struct {
	mu    sync.Mutex
	by    map[string]chan any // by message id: its calls and its end
	calls func(*engine.Call)  // in place of that, if not nil
}

func (r *direct) expect(id string) chan any {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := make(chan any, 8)
	r.by[id] = c
	return c
}

func (r *direct) tell(id string, v any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.by[id]; c != nil {
		c <- v
	}
}

func (r *direct) Start(c *engine.Call, _ engine.CallEvents) {
	if r.calls != nil {
		r.calls(c)
		return
	}
	r.tell(c.Items[0].ID, c)
}
func (r *direct) Abort(engine.CallID)                   {}
func (r *direct) CloseIdle(*engine.CloseIdle)           {}
func (r *direct) RemoveEndpoint(*engine.RemoveEndpoint) {}
func (r *direct) Completed(d *engine.Done)              { r.tell(d.ID, d) }

// verdicts takes them and forgets them.
type verdicts struct{ host.Inbox }

func (verdicts) Put(any) bool { return true }

func newShared(t testing.TB, slots int, members ...engine.Member) (*Driver, *direct) {
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
	to := &direct{by: map[string]chan any{}}
	d.Components = Components{Transport: to, Sink: to}
	d.ShareRounds()
	d.Handle(&engine.Members{Source: "list", FullList: true, List: members}, &engine.Wake{})
	return d, to
}

var active = engine.Member{ID: "e", Addr: "h:1", Destination: 1, Phase: engine.Active}

func run(t testing.TB, d *Driver) {
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

func single(id string) *engine.Message {
	return &engine.Message{ID: id, Class: "unsafe", Destination: 1}
}

// Run is not there yet: whatever happens is the callers' own work.
func TestACallerMakesTheRoundsOfWhatItTells(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, active)
	first, second := to.expect("a"), to.expect("b")
	in := time.Now().Add(time.Minute)
	if !d.SubmitAsync(single("a"), in, true, verdicts{}) || !d.SubmitAsync(single("b"), in, true, verdicts{}) || len(first) != 1 || len(second) != 0 {
		t.Fatalf("with one slot: %d and %d told", len(first), len(second))
	}
	call := (<-first).(*engine.Call)
	if ok := d.MayWrite(call.ID); len(ok) != 1 || !ok[0] {
		t.Errorf("may it be written: %v", ok)
	}
	d.Ended(call.ID, []engine.Outcome{{Result: control.OK}})
	if len(first) != 1 || len(second) != 1 {
		t.Fatalf("behind its end: %d and %d told", len(first), len(second))
	}
	d.Withdraw("b")
	d.Ended((<-second).(*engine.Call).ID, []engine.Outcome{{Result: control.Moot}})
	if e := d.Engine(); e.OpenMessages() != 0 || e.CallsOut() != 0 {
		t.Errorf("%d held, %d out", e.OpenMessages(), e.CallsOut())
	}
	run(t, d)
}

// What the engine wants at a later time has to get Run out of its sleep, which may be long.
func TestRunIsWokenForWhatACallersRoundLeavesDue(t *testing.T) {
	t.Parallel()
	leaving := active
	leaving.Phase = engine.Leaving
	d, to := newShared(t, 1, leaving)
	run(t, d)
	for d.turn.Lock(); time.Until(d.sleeps) < time.Second; d.turn.Lock() { // it sleeps, for seconds
		d.turn.Unlock()
		time.Sleep(time.Millisecond) // between two looks
	}
	d.turn.Unlock()
	end := to.expect("a")
	if !d.SubmitAsync(single("a"), time.Now().Add(50*time.Millisecond), true, verdicts{}) {
		t.Fatal("it has stopped")
	}
	select {
	case v := <-end:
		if done, ok := v.(*engine.Done); !ok || done.Disposition != engine.Refused {
			t.Errorf("%+v", v)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("it is held beyond its time")
	}
}

// A transport that ends a call at once tells so from within a round.
func TestWhatIsToldFromWithinARoundIsTakenUpBehindIt(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, active)
	to.calls = func(c *engine.Call) { d.Ended(c.ID, []engine.Outcome{{Result: control.OK}}) }
	end := to.expect("a")
	d.SubmitAsync(single("a"), time.Now().Add(time.Minute), true, verdicts{})
	if len(end) != 1 {
		t.Fatal("its end is not taken up")
	}
	run(t, d)
}

// asleep tells of a Run that sleeps with something in the queue.
type asleep struct {
	host.Inbox
	d *Driver
	t *testing.T
}

func (a asleep) Take(into []any, until time.Time) []any {
	if a.d.waiting() {
		a.t.Error("Run goes to sleep with something in the queue")
	}
	return a.Inbox.Take(into, until)
}

func TestRunTakesUpWhatItHadTheTurnFor(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 4, active)
	d.inbox = asleep{d.inbox, d, t}
	begun, goOn := make(chan struct{}), make(chan struct{})
	second := make(chan struct{})
	to.calls = func(c *engine.Call) {
		if c.Items[0].ID == "b" {
			close(second)
			return
		}
		close(begun)
		<-goOn
	}
	run(t, d)
	d.Post(&engine.Submit{Message: *single("a"), ExpiresIn: control.Second}) // Run's
	<-begun
	if !d.SubmitAsync(single("b"), time.Now().Add(time.Minute), true, verdicts{}) {
		t.Fatal("it has stopped")
	}
	close(goOn)
	select {
	case <-second:
	case <-time.After(5 * time.Second):
		t.Fatal("it is left lying")
	}
}

// With many messages held the callers leave the rounds to Run, which takes what all of them told in one.
func TestManyCallersLeaveTheRoundsToRun(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, active)
	first := to.expect("0")
	for i := range 2 * crowded {
		d.SubmitAsync(single(fmt.Sprint(i)), time.Now().Add(time.Minute), true, verdicts{})
	}
	if got := d.Engine().OpenMessages(); got != crowded+1 && got != crowded+2 {
		t.Errorf("%d are handed in without Run", got)
	}
	call := (<-first).(*engine.Call)
	end := to.expect("0")
	run(t, d)
	d.Ended(call.ID, []engine.Outcome{{Result: control.OK}})
	if _, ok := (<-end).(*engine.Done); !ok {
		t.Error("it does not end")
	}
}

// Whoever finds the turn taken leaves its work to others: none may be left lying.
func TestNoneOfManyCallersIsLeftWaiting(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 4, active)
	run(t, d)
	var all sync.WaitGroup
	for i := range 32 {
		all.Go(func() {
			for j := range 200 {
				id := fmt.Sprint(i, "/", j)
				told := to.expect(id)
				d.SubmitAsync(single(id), time.Now().Add(time.Minute), true, verdicts{})
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
						t.Errorf("%s is left waiting", id)
					}
					break
				}
			}
		})
	}
	all.Wait()
}

// calling is a log handler that uses what it logs of.
type calling struct {
	slog.Handler
	call func()
}

func (calling) Enabled(context.Context, slog.Level) bool { return true }

func (c calling) Handle(context.Context, slog.Record) error {
	c.call()
	return nil
}

// The logger is the program's: it may take long, or make a call of the same Core's.
func TestNothingIsLoggedWithinARound(t *testing.T) {
	t.Parallel()
	d, to := newShared(t, 1, active)
	told, logged := to.expect("a"), make(chan struct{})
	d.log = slog.New(calling{call: func() {
		d.SubmitAsync(single("a"), time.Now().Add(time.Minute), true, verdicts{})
		<-told
		close(logged)
	}})
	to.calls = func(c *engine.Call) {
		if c.Items[0].ID == "first" {
			d.carryOut([]engine.Effect{&engine.Note{Text: "as the engine would have it in this round"}})
			return
		}
		to.tell(c.Items[0].ID, c)
		d.Ended(c.ID, []engine.Outcome{{Result: control.OK}})
	}
	run(t, d)
	d.SubmitAsync(single("first"), time.Now().Add(time.Minute), true, verdicts{})
	d.Ended(1, []engine.Outcome{{Result: control.OK}})
	select {
	case <-logged:
	case <-time.After(5 * time.Second):
		t.Fatal("the logger's own call is not made")
	}
}

func TestASharedDriverThatEndsTellsWhoComes(t *testing.T) {
	t.Parallel()
	d, _ := newShared(t, 1, active)
	d.Quit()
	d.Run()
	if d.SubmitAsync(single("a"), time.Now().Add(time.Minute), true, verdicts{}) || d.MayWrite(1) != nil || d.Members(&engine.Members{Source: "list", Failed: true}) {
		t.Error("it takes something after its end")
	}
}

// BenchmarkSharedRounds is what a call costs between being handed in and its end, where its caller makes the rounds.
func BenchmarkSharedRounds(b *testing.B) {
	d, to := newShared(b, 4, active)
	calls := make(chan *engine.Call, 1)
	to.calls = func(c *engine.Call) { calls <- c }
	run(b, d)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		if !d.SubmitAsync(single(fmt.Sprint(n)), time.Now().Add(time.Second), true, verdicts{}) {
			b.Fatal("it has stopped")
		}
		d.Ended((<-calls).ID, []engine.Outcome{{Result: control.OK}})
	}
}

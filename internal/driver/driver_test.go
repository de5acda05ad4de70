package driver

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a driver with a store, a transport and a sink that do as told.
type rig struct {
	t *testing.T
	*Driver
	ran chan struct{} // closed when Run has returned

	mu      sync.Mutex
	changed chan struct{}
	late    bool  // the store does not answer Flush
	refuses error // what Append returns
	fails   error // what Flush returns
	batches []engine.Batch
	told    engine.Batch
	calls   []*engine.Call
	dones   []*engine.Done
	records []engine.Record
	hold    chan struct{} // Append waits for it, if there is one ...
	held    bool          // ... and does so
}

func newRig(t *testing.T) *rig { return newRigOn(t, host.System{}, 4) }

func newRigOn(t *testing.T, h host.Host, slots int) *rig {
	t.Helper()
	return newRigWith(t, h, slots, true)
}

func newRigWith(t *testing.T, h host.Host, slots int, stored bool) *rig {
	t.Helper()
	const s = control.Second
	e, err := engine.New(engine.Settings{
		HasStore: stored, StoreTimeout: 20 * s,
		Control: control.Settings{
			Instances: 1, Tick: 2 * control.Millisecond, Slots: slots, MaxOpen: 4 * slots, MaxTries: 3, MayCancel: true,
			Classes:    []control.Class{{Name: "unsafe", Effect: control.SingleShot, Aim: 30 * s, Deadline: 60 * s, Worth: 1}},
			ReportLeft: -1, ReportLimit: -1, ConnectTimeout: s, ColdFrom: 0.2, WarmUp: s, TipMultiple: 2, OverloadFor: s,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, ran: make(chan struct{}), changed: make(chan struct{})}
	r.Driver = New(h, engine.Clock{Start: h.Now()}, e, slog.New(slog.DiscardHandler))
	r.MeasureLag()
	r.Components = Components{Store: r, Transport: r, Sink: r}
	if !stored {
		r.Store = nil
	}
	go func() {
		defer close(r.ran)
		r.Run()
	}()
	t.Cleanup(func() {
		r.Quit()
		<-r.ran
	})
	r.Members(&engine.Members{Source: "list", FullList: true, List: []engine.Member{{ID: "e", Addr: "h:1", Destination: 1, Phase: engine.Active}}})
	return r
}

// set changes how the rig behaves, and wakes who waits for it.
func (r *rig) set(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// await waits until ok, which is asked under the lock.
func (r *rig) await(what string, ok func() bool) {
	r.t.Helper()
	limit := time.After(20 * time.Second)
	for {
		r.mu.Lock()
		good, changed := ok(), r.changed
		r.mu.Unlock()
		if good {
			return
		}
		select {
		case <-changed:
		case <-limit:
			r.t.Fatalf("it never comes to that: %s", what)
		}
	}
}

func (r *rig) Append(b engine.Batch, list []engine.Record) error {
	defer r.set(func() {})
	r.mu.Lock()
	hold := r.hold
	r.mu.Unlock()
	if hold != nil {
		r.set(func() { r.held = true })
		<-hold
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuses == nil {
		r.batches = append(r.batches, b)
		r.records = append(r.records, list...)
	}
	return r.refuses
}

func (r *rig) Flush() (engine.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fails != nil {
		return r.told, r.fails
	}
	if !r.late && len(r.batches) > 0 {
		r.told = r.batches[len(r.batches)-1]
	}
	return r.told, nil
}

func (r *rig) Start(c *engine.Call, _ engine.CallEvents) {
	r.set(func() { r.calls = append(r.calls, c) })
}
func (r *rig) Abort(engine.CallID)                   {}
func (r *rig) CloseIdle(*engine.CloseIdle)           {}
func (r *rig) RemoveEndpoint(*engine.RemoveEndpoint) {}
func (r *rig) Completed(d *engine.Done)              { r.set(func() { r.dones = append(r.dones, d) }) }

// answer tells all of a store that answers later.
func (r *rig) answer() {
	r.mu.Lock()
	last := r.batches[len(r.batches)-1]
	r.told = last
	r.mu.Unlock()
	r.Stored(last, nil)
}

func message(id string) *engine.Message {
	return &engine.Message{ID: id, Class: "unsafe", Destination: 1, Body: []byte("body")}
}

// handIn hands a message in on a goroutine of its own.
func (r *rig) handIn(id string) <-chan engine.Verdict {
	v := make(chan engine.Verdict, 1)
	go func() { v <- r.Submit(message(id), time.Now().Add(time.Minute)) }()
	return v
}

func TestNothingIsAnsweredOrCalledBeforeTheStoreHasIt(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.set(func() { r.late = true })
	answered := r.handIn("m")
	r.await("its record is on the way", func() bool { return len(r.batches) == 1 })
	select {
	case v := <-answered:
		t.Fatalf("answered %+v before the store had it", v)
	default:
	}
	r.answer()
	if v := <-answered; v.Kind != engine.Accepted {
		t.Fatalf("answered %+v", v)
	}
	r.await("its attempt is on the way", func() bool { return len(r.batches) == 2 })
	r.set(func() {
		if len(r.calls) > 0 {
			t.Error("called before the store had the attempt")
		}
	})
	r.answer()
	r.await("the call", func() bool { return len(r.calls) == 1 })
}

// A call that waited for the store asks again: what was told meanwhile counts.
func TestACallThatWaitedForTheStoreIsNotMadeToAnEndpointThatHasLeft(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	if v := <-r.handIn("first"); v.Kind != engine.Accepted {
		t.Fatalf("answered %+v", v)
	}
	r.await("a call", func() bool { return len(r.calls) == 1 })
	r.set(func() { r.late = true })
	answered := r.handIn("m")
	r.await("its record is on the way", func() bool { return len(r.batches) == 3 })
	r.answer()
	<-answered
	r.await("its attempt is on the way", func() bool { return len(r.batches) == 4 })
	r.Members(&engine.Members{Source: "list", FullList: true, List: []engine.Member{{ID: "e", Addr: "h:1", Destination: 1, Phase: engine.Leaving}}})
	r.answer()
	r.await("the proof that it never ran", func() bool { return len(r.batches) == 5 })
	r.set(func() {
		if len(r.calls) != 1 {
			t.Errorf("%d calls", len(r.calls))
		}
	})
}

func TestWhatTheStoreRefusesIsTurnedAwayAndWhatItFailsIsNotCalled(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.set(func() { r.refuses = engine.ErrFull })
	if v := <-r.handIn("full"); v.Kind != engine.Busy || v.RetryAfter == 0 {
		t.Errorf("without room: %+v", v)
	}
	r.set(func() { r.refuses, r.fails = nil, errors.New("no disk") })
	if v := <-r.handIn("failing"); v.Kind != engine.Busy || v.RetryAfter == 0 {
		t.Errorf("with a store that fails: %+v", v)
	}
	r.set(func() { r.fails = nil })
	for { // taking goes on by itself once the store is asked again
		if v := <-r.handIn("good"); v.Kind == engine.Accepted {
			break
		}
	}
	r.await("the call of what was taken", func() bool { return len(r.calls) == 1 && r.calls[0].Items[0].ID == "good" })
}

func TestAnEndIsToldOnceItsRecordIsStored(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	<-r.handIn("m")
	r.await("the call", func() bool { return len(r.calls) == 1 })
	r.set(func() { r.late = true })
	r.Ended(r.calls[0].ID, []engine.Outcome{{Result: control.Errored}})
	r.await("the record of its end", func() bool { return len(r.batches) == 3 })
	r.set(func() {
		if len(r.dones) > 0 {
			t.Error("its end is told before the store has it")
		}
	})
	r.answer()
	r.await("its end", func() bool { return len(r.dones) == 1 && r.dones[0].Disposition == engine.Failed && r.dones[0].InDoubt })
}

func TestWhoWaitsWhenTheDriverEndsIsTold(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.set(func() { r.late = true })
	answered := r.handIn("m")
	r.await("its record is on the way", func() bool { return len(r.batches) == 1 })
	r.Quit()
	<-r.ran
	if v := <-answered; v.Kind != engine.Unconfirmed {
		t.Errorf("its record may be stored, and it is told %+v", v)
	}
	if v := r.Submit(message("n"), time.Now().Add(time.Minute)); v.Kind != engine.Busy || v.RetryAfter == 0 {
		t.Errorf("after the end: %+v", v)
	}
	if ok := r.MayWrite(1); slices.Contains(ok, true) {
		t.Error("a call may be written after the end")
	}
	if !r.WaitIdle(time.Now().Add(time.Minute)) || r.Members(&engine.Members{Source: "list", Failed: true}) {
		t.Error("the driver is not over")
	}
}

func TestIdleWaitsForCallsOut(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	<-r.handIn("m")
	r.await("the call", func() bool { return len(r.calls) == 1 })
	if r.WaitIdle(time.Now().Add(10 * time.Millisecond)) {
		t.Error("idle with a call out")
	}
	idle := make(chan bool, 1)
	go func() { idle <- r.WaitIdle(time.Now().Add(20 * time.Second)) }()
	r.Ended(r.calls[0].ID, []engine.Outcome{{Result: control.OK}})
	if !<-idle {
		t.Error("not idle with no call out")
	}
}

func TestMessagesHandedInTogetherHaveOneBatchAndOneAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	until := []time.Time{time.Now().Add(time.Minute), time.Now().Add(time.Minute)}
	r.set(func() { r.late = true })
	answered := make(chan engine.Verdict, 1)
	go func() { answered <- r.SubmitAll([]*engine.Message{message("a"), message("b")}, until) }()
	r.await("their record is on the way", func() bool { return len(r.batches) == 1 })
	r.answer()
	if v := <-answered; v.Kind != engine.Accepted {
		t.Fatalf("answered %+v", v)
	}
	wrong := message("c")
	wrong.Class = "unheard of"
	if v := r.SubmitAll([]*engine.Message{message("d"), wrong}, until); v.Kind != engine.Invalid {
		t.Errorf("with one that is wrong: %+v", v)
	}
	r.await("attempts of the first two", func() bool { return len(r.batches) == 2 })
	r.answer()
	r.await("their calls", func() bool { return len(r.calls) == 2 })
}

func TestMessagesHandedInEachForItselfHaveTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	wrong := message("b")
	wrong.Class = "unheard of"
	until := []time.Time{time.Now().Add(time.Minute), time.Now().Add(time.Minute), time.Now().Add(time.Minute)}
	v := r.SubmitEach([]*engine.Message{message("a"), wrong, message("c")}, until)
	if len(v) != 3 || v[0].Kind != engine.Accepted || v[1].Kind != engine.Invalid || v[2].Kind != engine.Accepted {
		t.Errorf("answered %+v", v)
	}
	r.Quit()
	<-r.ran
	for _, v := range append(r.SubmitEach([]*engine.Message{message("d")}, until), r.SubmitAll([]*engine.Message{message("e")}, until)) {
		if v.Kind != engine.Busy || v.RetryAfter == 0 {
			t.Errorf("after the end: %+v", v)
		}
	}
}

// steppedHost is a machine whose wall clock can be stepped.
type steppedHost struct {
	host.System
	by atomic.Int64
}

func (h *steppedHost) Wall() time.Time { return h.System.Wall().Add(time.Duration(h.by.Load())) }

// A step of the wall clock while nothing happens is in the records before the driver ends: the next process goes by them.
func TestAStepOfTheClockWhileIdleIsRecordedAtTheEnd(t *testing.T) {
	t.Parallel()
	h := &steppedHost{}
	r := newRigOn(t, h, 4)
	answer := r.handIn("a")
	r.await("taken", func() bool { return len(r.records) > 0 })
	r.answer()
	<-answer
	h.by.Store(-int64(time.Hour))
	r.Quit()
	<-r.ran
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.ContainsFunc(r.records, func(x engine.Record) bool {
		s, ok := x.(*engine.RecClockStep)
		return ok && time.Duration(s.By)*time.Microsecond < -time.Hour+time.Minute
	}) {
		t.Errorf("no step among the records: %v", r.records)
	}
}

package node

import (
	"context"
	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
	"curlewmux/internal/operator"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// failStore makes every write to the journal fail, until the returned function is called. The dispatcher must run in
// this process.
func (w *testEnv) failStore() (mend func()) {
	w.faultyDir.broken.Store(true)
	return func() { w.faultyDir.broken.Store(false) }
}

// runWithFaultyDir runs a dispatcher in this process whose state folder can fail. It stops at once when the test ends.
func (w *testEnv) runWithFaultyDir() {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	cfg.stopSchedule = stopSchedule{}
	w.faultyDir = &faultyDir{Dir: journal.OSDir(w.dir)}
	cfg.Dir = w.faultyDir
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			w.t.Error(err)
		}
	})
	w.awaitReady()
}

// submitExpiring submits a message that no endpoint serves and that expires soon.
func (w *testEnv) submitExpiring(id string) {
	w.t.Helper()
	r := w.request("free", id, 4)
	r.Header.Set("X-Expires-In-Ms", "600")
	if code, _, why := w.do(r); code != 202 {
		w.t.Fatalf("message %s: %d %s", id, code, why)
	}
}

// While the journal can't be written, nothing is sent and no attempt is used up, but messages still expire. Sending
// resumes by itself afterwards, with all attempts left.
func TestStoreFailureSendsNothingAndUsesNoAttempt(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.runWithFaultyDir()
	const held = 20
	for i := range held {
		w.submit("unsafe", fmt.Sprint("m", i), 3) // no endpoint serves the destination yet
	}
	w.submitExpiring("short")
	mend := w.failStore()
	w.endpoint("e", 3, "hooks", respond(200))
	w.awaitNotice("short", "deferred") // about a hundred scheduling rounds have passed
	for i := range held {
		if n := w.called(fmt.Sprint("m", i)); n != 0 {
			t.Errorf("message %d was called %d times without a record", i, n)
		}
	}
	if code, h, _ := w.do(w.request("unsafe", "new", 3)); code != 503 || h.Get("Retry-After") == "" {
		t.Errorf("a message is answered %d %v", code, h)
	}
	mend()
	for i := range held {
		w.awaitCalls(fmt.Sprint("m", i), 1)
	}
	w.awaitEmpty()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range held {
		if id := fmt.Sprint("m", i); w.calls[id] != 1 || len(w.notices[id]) > 0 {
			t.Errorf("message %d: %d calls, notices %v", i, w.calls[id], w.notices[id])
		}
	}
}

// A notice is sent only after its record is stored. Otherwise the message would be open again after a restart, beside
// the one that its client has submitted again. After the deadline nothing is left to send, and the notice goes out.
func TestNoticeWaitsForItsRecordUntilDeadline(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	release := make(chan bool)
	w.endpoint("e", 3, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		<-release
		rw.WriteHeader(500)
	})
	w.runWithFaultyDir()
	w.submit("unsafe", "u", 3)
	w.awaitCalls("u", 1)
	w.submitExpiring("short")
	mend := w.failStore()
	close(release)                     // u may have run, so it fails at once
	w.awaitNotice("short", "deferred") // sent without a record
	w.update(func() {
		if got := w.notices["u"]; len(got) > 0 {
			t.Errorf("notice %v before its record", got)
		}
		w.rejectNotices = true
	})
	mend()
	waitFor(t, func() bool { e := w.journalled()["u"]; return e != nil && e.Pending != nil })
	w.update(func() { w.rejectNotices = false })
	w.awaitNotice("u", "undeliverable")
	w.awaitEmpty()
	w.update(func() {
		if len(w.notices["u"]) != 1 || len(w.notices["short"]) != 1 || w.calls["u"] != 1 {
			t.Errorf("notices %v, calls %v", w.notices, w.calls)
		}
	})
}

// An attempt that could not be journaled proves nothing about the one before, which may have run. After a restart past
// the key's window the message must not be sent.
func TestUnrecordedAttemptKeepsEarlierDoubt(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	release := make(chan bool)
	old := w.endpoint("e", 3, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		<-release
		rw.WriteHeader(500)
	})
	w.runWithFaultyDir()
	w.submit("keyed", "k", 3)
	w.awaitCalls("k", 1)
	w.submitExpiring("short")
	mend := w.failStore()
	failed := time.Now()
	close(release) // the second attempt can't be journaled
	w.awaitNotice("short", "deferred")
	old.Phase = "left"
	w.setEntry(old)
	mend()
	w.endpoint("f", 3, "hooks", hang)
	w.awaitCalls("k", 2)
	e := w.journalled()["k"]
	if e == nil || e.DoubtAt == 0 || e.DoubtAt > engine.TimestampOf(failed) {
		t.Errorf("the doubt of the first attempt is gone: %+v", e)
	}
}

// With sync = "always" a message is acknowledged, and an attempt is made, only when its record survives a power failure.
// The test reads what a power failure would leave of the folder.
func TestSyncAlwaysSurvivesPowerFailure(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	disk := memdir.New()
	w.listDestinations(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	cfg.stopSchedule, cfg.Dir = stopSchedule{}, disk.Dir()
	cfg.ApplyOperatorFile(&operator.File{Journal: &operator.Journal{Sync: "always"}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
	w.awaitReady()
	for i := range 10 {
		w.submit("unsafe", fmt.Sprint("m", i), 3) // no endpoint serves the destination yet
	}
	held := func() map[string]*engine.RestoredMessage {
		after := disk.Clone()
		after.PowerFail(func(int) int { return 0 })
		j, state, err := journal.Open(after.Dir(), journal.Settings{Disk: 1e6, Owner: "n0", Random: rand.Uint64, Log: discardLog()})
		must(t, err)
		must(t, j.Close())
		out := map[string]*engine.RestoredMessage{}
		for _, m := range state.Live {
			out[m.Message.ID] = m
		}
		return out
	}
	if now := held(); len(now) != 10 {
		t.Errorf("%d of 10 messages that were answered 202 survive a power failure", len(now))
	}
	tried := make(chan bool, 1)
	w.endpoint("e", 3, "hooks", func(_ http.ResponseWriter, r *http.Request) {
		m := held()[r.Header.Get("X-Trace-Id")]
		select {
		case tried <- m != nil && m.Tries == 1 && m.DoubtAt != 0:
		default:
		}
		<-r.Context().Done()
	})
	if !<-tried {
		t.Error("an attempt was made without a record that survives a power failure")
	}
	cancel()
	must(t, <-done)
}

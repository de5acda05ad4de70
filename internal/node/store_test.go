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

// failStore makes every write to the journal of a dispatcher in this process fail, until the returned function is
// called.
func (w *world) failStore() (mend func()) {
	w.moods.broken.Store(true)
	return func() { w.moods.broken.Store(false) }
}

// run starts a dispatcher in this process that stops at once when the test ends.
func (w *world) run() {
	w.t.Helper()
	w.name(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	cfg.stop = stopTimes{}
	w.moods = &moodyDir{Dir: journal.OSDir(w.dir)}
	cfg.Dir = w.moods
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, quiet()) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			w.t.Error(err)
		}
	})
	w.awaitReady()
}

// handShort hands in a message that nobody serves and whose time is soon up.
func (w *world) handShort(id string) {
	w.t.Helper()
	r := w.request("free", id, 4)
	r.Header.Set("X-Expires-In-Ms", "600")
	if code, _, why := w.do(r); code != 202 {
		w.t.Fatalf("message %s: %d %s", id, code, why)
	}
}

// While the journal can't be written nothing is sent and no try is used up; expiry goes on. Then sending goes on by
// itself, with every try still to be had.
func TestWithoutAStoreNothingIsSentAndNothingIsUsedUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.run()
	const held = 20
	for i := range held {
		w.hand("unsafe", fmt.Sprint("m", i), 3) // nobody serves the destination yet
	}
	w.handShort("short")
	mend := w.failStore()
	w.endpoint("e", 3, "hooks", respond(200))
	w.awaitNotice("short", "deferred") // there were a hundred rounds by now
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

// A notice waits for its record: sent without one its message would live again after a restart, beside the one that
// its client handed in anew. Past its time there is nothing left to send, and the notice goes out.
func TestANoticeWaitsForItsRecordUntilItsTimeIsUp(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	release := make(chan bool)
	w.endpoint("e", 3, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		<-release
		rw.WriteHeader(500)
	})
	w.run()
	w.hand("unsafe", "u", 3)
	w.awaitCalls("u", 1)
	w.handShort("short")
	mend := w.failStore()
	close(release)                     // it may have run: u is given up at once
	w.awaitNotice("short", "deferred") // this one without a record
	w.set(func() {
		if got := w.notices["u"]; len(got) > 0 {
			t.Errorf("notice %v before its record", got)
		}
		w.deaf = true
	})
	mend()
	waitFor(t, func() bool { e := w.journalled()["u"]; return e != nil && e.Pending != nil })
	w.set(func() { w.deaf = false })
	w.awaitNotice("u", "undeliverable")
	w.awaitEmpty()
	w.set(func() {
		if len(w.notices["u"]) != 1 || len(w.notices["short"]) != 1 || w.calls["u"] != 1 {
			t.Errorf("notices %v, calls %v", w.notices, w.calls)
		}
	})
}

// An attempt that could not be journalled proves nothing of the one before it, which may have run: after a restart past
// the window of the key the message must not be sent.
func TestAnAttemptWithoutARecordLeavesTheDoubtOfTheOneBefore(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	release := make(chan bool)
	old := w.endpoint("e", 3, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		<-release
		rw.WriteHeader(500)
	})
	w.run()
	w.hand("keyed", "k", 3)
	w.awaitCalls("k", 1)
	w.handShort("short")
	mend := w.failStore()
	failed := time.Now()
	close(release) // the second attempt can't be journalled
	w.awaitNotice("short", "deferred")
	old.Phase = "left"
	w.tell(old)
	mend()
	w.endpoint("f", 3, "hooks", stuck)
	w.awaitCalls("k", 2)
	e := w.journalled()["k"]
	if e == nil || e.DoubtAt == 0 || e.DoubtAt > engine.TimestampOf(failed) {
		t.Errorf("the doubt of the first attempt is gone: %+v", e)
	}
}

// With sync always a message is answered only once it would outlast a power failure, and each attempt is made only then:
// what a power failure leaves of the folder at any moment holds it.
func TestWithSyncAlwaysWhatIsAnsweredOutlastsAPowerFailure(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	disk := memdir.New()
	w.name(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	cfg.stop, cfg.Dir = stopTimes{}, disk.Dir()
	cfg.ApplyOperatorFile(&operator.File{Journal: &operator.Journal{Sync: "always"}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, quiet()) }()
	w.awaitReady()
	for i := range 10 {
		w.hand("unsafe", fmt.Sprint("m", i), 3) // nobody serves the destination yet
	}
	held := func() map[string]*engine.RestoredMessage {
		after := disk.Clone()
		after.PowerFail(func(int) int { return 0 })
		j, state, err := journal.Open(after.Dir(), journal.Settings{Disk: 1e6, Owner: "n0", Random: rand.Uint64, Log: quiet()})
		must(t, err)
		must(t, j.Close())
		out := map[string]*engine.RestoredMessage{}
		for _, m := range state.Live {
			out[m.Message.ID] = m
		}
		return out
	}
	if now := held(); len(now) != 10 {
		t.Errorf("%d of 10 messages that were answered 202 outlast a power failure", len(now))
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
		t.Error("an attempt is made that a power failure would make forgotten")
	}
	cancel()
	must(t, <-done)
}

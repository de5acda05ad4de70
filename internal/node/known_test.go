package node

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"curlewmux/engine"
)

// An id whose notice is still pending is known after a restart. Submitted again it is the same message, which has been
// refused and must not be called.
func TestIDWithPendingNoticeIsKnownAfterRestart(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.update(func() { w.rejectNotices = true })
	w.writeRecords(&engine.RecAccepted{Message: testMessage("u"), Deadline: inAMinute()}, &engine.RecPendingResult{ID: "u", PendingResult: pendingRefusal("u")})
	w.endpoint("e", 3, "hooks", respond(200))
	w.endpoint("f", 4, "hooks", respond(200))
	w.spawn()
	w.submit("unsafe", "u", 3)
	w.submit("free", "later", 4) // when this is delivered, messages accepted before it would have been called, too
	w.awaitCalls("later", 1)
	w.update(func() { w.rejectNotices = false })
	w.awaitNotice("u", "deferred")
	w.awaitEmpty()
	w.submit("free", "last", 4) // the program is still running
	w.awaitCalls("last", 1)
	if n := w.called("u"); n != 0 {
		t.Errorf("%d calls of the refused message", n)
	}
}

// Discovery moves an endpoint to another destination and reports it as left. The decision module may still send to it.
// Each such call must end; otherwise it keeps its slot and its message for ever.
func TestCallToRemovedEndpointEnds(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	m := w.endpoint("e", 1, "hooks", respond(200))
	w.start()
	w.submit("free", "before", 1)
	w.awaitCalls("before", 1)
	m.Cell, m.Phase = 2, "left"
	w.setEntry(m)
	w.endpoint("other", 2, "hooks", respond(200)) // when this endpoint is known, the change is known, too
	w.submit("free", "known", 2)
	w.awaitCalls("known", 1)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		w.submit("unsafe", id, 1)
	}
	w.endpoint("new", 1, "hooks", respond(200))
	w.awaitEmpty()
}

// A process that starts while the agent is silent calls no endpoint by its cached list, in which an endpoint that drains is
// still active. It did so from one second after its start on. What it holds goes out with the agent's first list.
func TestNoCallsByTheCachedListWhileTheAgentIsSilent(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	cmd := w.spawn()
	w.submit("unsafe", "restored", 3) // no endpoint serves the destination yet
	w.kill(cmd)
	var drained atomic.Int32
	draining := w.endpoint("e", 3, "hooks", func(rw http.ResponseWriter, _ *http.Request) {
		drained.Add(1)
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	w.cacheList()
	draining.Phase = "leaving"
	w.setEntry(draining)
	w.update(func() { w.blockWatch = true })
	w.spawn()
	w.submit("free", "new", 3)
	time.Sleep(500 * time.Millisecond) // a call would come within a few ticks
	if n := drained.Load(); n > 0 {
		t.Errorf("%d calls to an endpoint that drains, by the cached list", n)
	}
	w.endpoint("f", 3, "hooks", respond(200))
	w.update(func() { w.blockWatch = false })
	w.awaitCalls("restored", 1)
	w.awaitCalls("new", 1)
	w.awaitEmpty()
	if n := drained.Load(); n > 0 {
		t.Errorf("%d calls to an endpoint that drains", n)
	}
}

package node

import (
	"curlewmux/engine"
	"testing"
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

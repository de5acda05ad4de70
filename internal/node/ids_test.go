package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// conflictingRequests returns requests with the same id as an unsafe message that each differ from it in one respect,
// by the name of that respect.
func conflictingRequests(t *testing.T, w *testEnv, id string) map[string]*http.Request {
	class, tenant, dest, key := w.request("keyed", id, 3), w.request("unsafe", id, 3), w.request("unsafe", id, 4), w.request("unsafe", id, 3)
	tenant.Header.Set("X-Customer", "docs")
	key.Header.Set("Idempotency-Key", "another")
	body := mustRequest(t, w.request("unsafe", id, 3), "another body")
	return map[string]*http.Request{"class": class, "tenant": tenant, "dest": dest, "key": key, "body": body}
}

// A different message with a known id must be rejected with 409 while the first one is open, after it has ended, and
// after a restart. A 202 would promise a delivery that never happens.
func TestIDOfAnotherMessageIsAConflict(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	cmd := w.spawn()
	w.submit("unsafe", "m", 3)
	check := func(when string) {
		t.Helper()
		for what, r := range conflictingRequests(t, w, "m") {
			if code, _, why := w.do(r); code != 409 || !strings.Contains(why, "X-Trace-Id") {
				t.Errorf("%s, another %s: %d %s", when, what, code, why)
			}
		}
		w.submit("unsafe", "m", 3)
	}
	check("held")
	w.endpoint("e", 3, "hooks", respond(200))
	w.awaitCalls("m", 1)
	w.awaitEmpty()
	check("delivered")
	w.kill(cmd)
	w.spawn()
	check("after a restart")
	if n := w.called("m"); n != 1 {
		t.Errorf("%d calls", n)
	}
}

// An id that is submitted again after the deadline is answered by the disposition of its message. The answer 202 must
// never stand for a message that nobody delivers.
func TestResubmittedIDGetsItsDisposition(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.start()
	hand := func(id string, dest, ms int) int {
		t.Helper()
		r := w.request("unsafe", id, dest)
		r.Header.Set("X-Expires-In-Ms", fmt.Sprint(ms))
		code, _, _ := w.do(r)
		return code
	}
	w.endpoint("good", 1, "hooks", respond(200))
	w.endpoint("bad", 2, "hooks", respond(500))
	const soon = 600
	began := time.Now()
	for dest, id := range []string{1: "delivered", 2: "failed", 3: "refused"} {
		if id != "" && hand(id, dest, soon) != 202 {
			t.Fatalf("%s was not accepted", id)
		}
	}
	w.awaitNotice("failed", "undeliverable")
	w.awaitNotice("refused", "deferred") // no endpoint serves its destination
	w.awaitEmpty()
	waitFor(t, func() bool { return time.Since(began) > 2*soon*time.Millisecond })
	w.endpoint("new", 3, "hooks", respond(200))
	for dest, want := range []int{1: 202, 2: 410, 3: 202} {
		if id := []string{1: "delivered", 2: "failed", 3: "refused"}[dest]; id != "" {
			if code := hand(id, dest, 60000); code != want {
				t.Errorf("%s submitted again: %d, want %d", id, code, want)
			}
		}
	}
	w.awaitCalls("refused", 1)
	w.awaitEmpty()
	for id, want := range map[string]int{"delivered": 1, "failed": 1, "refused": 1} {
		if n := w.called(id); n != want {
			t.Errorf("%s: %d calls, want %d", id, n, want)
		}
	}
}

// Ids of messages that must not be repeated are still known after several restarts.
func TestFinishedUnsafeIDIsKnownAfterRestarts(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.endpoint("good", 3, "hooks", respond(200))
	w.endpoint("bad", 4, "hooks", respond(500))
	cmd := w.spawn()
	w.submit("unsafe", "delivered", 3)
	w.submit("keyed", "keyed", 3)
	w.submit("unsafe", "failed", 4)
	w.awaitNotice("failed", "undeliverable")
	w.awaitEmpty()
	for range 3 {
		w.kill(cmd)
		cmd = w.spawn()
	}
	w.submit("unsafe", "delivered", 3)
	w.submit("keyed", "keyed", 3)
	if code, _, why := w.do(w.request("unsafe", "failed", 4)); code != 410 {
		t.Errorf("the failed message, submitted again: %d %s", code, why)
	}
	w.submit("free", "later", 3) // when this is delivered, messages accepted before it would have been called, too
	w.awaitCalls("later", 1)
	w.awaitEmpty()
	for _, id := range []string{"delivered", "keyed", "failed"} {
		if n := w.called(id); n != 1 {
			t.Errorf("%s: %d calls", id, n)
		}
	}
}

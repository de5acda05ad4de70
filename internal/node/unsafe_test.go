package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// A destination that gets only unsafe messages hangs once. Normally no unsafe message is the trial call of an endpoint that
// may run it without responding. An overdue trial is made with one all the same, or the endpoint would never be tried.
func TestDestinationWithOnlyUnsafeMessagesIsTriedAgain(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	var hangs atomic.Bool
	release := make(chan bool)
	w.endpoint("e", 1, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-release
			panic(http.ErrAbortHandler) // never responds
		}
		respond(200)(rw, r)
	})
	w.start()
	for i := range 30 { // a short known response time makes trial calls frequent
		id := fmt.Sprint("quick", i)
		w.submit("unsafe", id, 1)
		w.awaitCalls(id, 1)
	}
	w.awaitEmpty()
	hangs.Store(true)
	w.submit("unsafe", "first", 1)
	w.awaitCalls("first", 1)
	hangs.Store(false)
	close(release)
	w.awaitNotice("first", "undeliverable")
	w.submit("unsafe", "second", 1)
	w.awaitCalls("second", 1)
	w.awaitEmpty()
}

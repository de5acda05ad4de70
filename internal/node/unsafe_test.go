package node

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
)

// A destination that gets unsafe messages alone hangs once: no unsafe message may be the trial of an endpoint that may run
// it and say nothing, and others do not come. It is tried all the same once that is overdue, else nobody ever would.
func TestDestinationWithOnlyUnsafeMessagesIsTriedAgain(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	var hangs atomic.Bool
	release := make(chan bool)
	w.endpoint("e", 1, "hooks", func(rw http.ResponseWriter, r *http.Request) {
		if hangs.Load() {
			<-release
			panic(http.ErrAbortHandler) // no answer ever comes
		}
		respond(200)(rw, r)
	})
	w.start()
	for i := range 30 { // it is known to be quick: its trials begin close together
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

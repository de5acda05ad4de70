package engine

import (
	"fmt"
	"runtime"
	"testing"

	"curlewmux/control"
)

// bigEngine returns an engine without a store, with room for n endpoints and more messages.
func bigEngine(t testing.TB, n int) *Engine {
	set := testSettings()
	set.HasStore = false
	set.MaxIDs, set.MaxEndpoints = 1<<20, 2*n
	set.Control.MaxOpen, set.Control.Slots = 4*n, n
	for i := range set.Control.Classes {
		set.Control.Classes[i].Aim, set.Control.Classes[i].Deadline = 3600*control.Second, 3600*control.Second
	}
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func longList(n int, phase Phase) *Members {
	l := &Members{Source: "s", FullList: true}
	for i := range n {
		l.List = append(l.List, Member{ID: fmt.Sprint("e", i), Addr: "h:1", Destination: i, Phase: phase})
	}
	return l
}

// queuedEntries counts the endpoint entries that wait for the module's next Step.
func queuedEntries(e *Engine) (n int) {
	for i := range e.events {
		n += len(e.events[i].Entries)
	}
	return n
}

// Guards against a pause while a list of ten thousand endpoints is processed: each tick processes only a part of it.
// In the end the whole list counts, and so do the reports after it, in the order in which they came.
func TestALongListIsProcessedInParts(t *testing.T) {
	t.Parallel()
	const n = 10_000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	ticks := func(most int) (took int) {
		for len(e.reports) > 0 && took <= most {
			now.At += e.settings.Control.Tick
			e.Handle(now, &Wake{})
			if next, ok := e.NextWake(); len(e.reports) > 0 && (!ok || next > now.At+e.settings.Control.Tick) {
				t.Fatalf("%d lists are left and the next wake is %d after %d", len(e.reports), next, now.At)
			}
			if got := queuedEntries(e); got > maxPerPart {
				t.Fatalf("the module is told %d endpoints at once", got)
			}
			took++
		}
		return took
	}
	e.Handle(now, longList(n, Active))
	if got := e.Endpoints(); got != maxPerPart {
		t.Fatalf("%d endpoints are known at once, want %d", got, maxPerPart)
	}
	e.Handle(now, &Members{Source: "s", List: []Member{{ID: "e9999", Addr: "h:1", Destination: 9999, Phase: Leaving}}})
	e.Handle(now, longList(10, Active))
	e.Handle(now, longList(n-10, Active)) // it replaces the two before it, whose processing has not begun
	e.Handle(now, &Members{Source: "s", List: []Member{{ID: "e7", Addr: "h:1", Destination: 7, Phase: Leaving}}})
	if len(e.reports) != 3 {
		t.Fatalf("%d lists wait, want three", len(e.reports))
	}
	if took := ticks(100); took > 2*n/maxPerPart+3 {
		t.Errorf("two lists of %d took %d ticks", n, took)
	}
	if got := e.Endpoints(); got != n-10 {
		t.Errorf("%d endpoints are known, want %d", got, n-10)
	}
	if got := e.endpointByID["e9999"].phase; got != Gone {
		t.Errorf("an endpoint that the newest list leaves out is in phase %d", got)
	}
	if got := e.endpointByID["e7"].phase; got != Leaving {
		t.Errorf("an endpoint that was told as leaving behind the list is in phase %d", got)
	}
	if e.unprocessedMembers != 0 {
		t.Errorf("%d members count as waiting", e.unprocessedMembers)
	}

	// The same list again brings nothing new, and a change is passed on as one.
	now.At += e.settings.Control.Tick
	e.Handle(now, &Wake{})
	l := longList(n-10, Active)
	l.List[5000].Phase = Leaving
	e.Handle(now, l)
	entries := queuedEntries(e)
	for len(e.reports) > 0 {
		now.At += e.settings.Control.Tick
		e.Handle(now, &Wake{})
		entries += queuedEntries(e)
	}
	if entries != 2 { // and that e7 is active again
		t.Errorf("a list with two changes tells the module %d endpoints", entries)
	}
	if got := e.endpointByID["e5000"].phase; got != Leaving {
		t.Errorf("the changed endpoint is in phase %d", got)
	}

	// Reports that come faster than parts are processed are processed at once: the number waiting is bounded.
	for range 20 {
		e.Handle(now, &Members{Source: "s", List: longList(n, Active).List})
	}
	if most := 2*e.settings.MaxEndpoints + n; e.unprocessedMembers > most {
		t.Errorf("%d members wait to be taken, %d at most", e.unprocessedMembers, most)
	}
}

// Guards against a pause when many ids expire at the same time.
func TestIDsAreForgottenInParts(t *testing.T) {
	t.Parallel()
	const n = 3000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, longList(1, Leaving))
	for i := range n {
		id := fmt.Sprint("m", i)
		e.Handle(now, &Submit{Message: Message{ID: id, Class: "free"}, ExpiresIn: control.Second})
		e.Handle(now, &Withdraw{ID: id})
	}
	if e.endedIDs.len() != n {
		t.Fatalf("%d ids ended, want %d", e.endedIDs.len(), n)
	}
	now.At += 60 * control.Second
	for left := n; left > 0; {
		e.Handle(now, &Wake{})
		got := e.endedIDs.len()
		if got < left-maxPerPart || got >= left {
			t.Fatalf("%d ids left after %d", got, left)
		}
		if next, _ := e.NextWake(); got > 0 && next > now.At+e.settings.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		left = got
		now.At += e.settings.Control.Tick
	}
}

// Memory per open message and per endpoint with its destination is bounded. The figures are in docs/operators.
func TestMemoryForEach(t *testing.T) {
	const n = 10_000
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	now := Now{At: Epoch, Wall: testWall}
	e := bigEngine(t, n)
	ticks := func() {
		for range 60 {
			now.At += e.settings.Control.Tick
			e.Handle(now, &Wake{})
		}
	}
	start := heap()
	e.Handle(now, longList(n, Leaving))
	ticks()
	lists := heap()
	for i := range 2 * n {
		id := fmt.Sprint("m", i)
		e.Handle(now, &Submit{Message: Message{ID: id, Class: "free", Destination: i % 100, Body: make([]byte, 200)}, ExpiresIn: 3600 * control.Second})
	}
	ticks()
	held := heap()
	runtime.KeepAlive(e)
	if e.OpenMessages() != 2*n || e.Endpoints() != n {
		t.Fatalf("%d messages, %d endpoints", e.OpenMessages(), e.Endpoints())
	}
	endpoint, message := (lists-start)/n, (held-lists)/(2*n)
	t.Logf("%d bytes for an endpoint with its destination, %d for a held message with a body of 200", endpoint, message)
	if endpoint > 3000 || message > 1500 {
		t.Errorf("%d bytes for an endpoint with its destination, %d for a held message with a body of 200", endpoint, message)
	}
}

// The last entry of a destination decides its kind. After a change of that order, a long full list restores its own.
func TestALongListSaysWhichEntryOfADestinationIsLast(t *testing.T) {
	t.Parallel()
	e := bigEngine(t, 1000)
	now := Now{At: Epoch, Wall: testWall}
	tell := func(l *Members) (entries int) {
		e.Handle(now, l)
		for range 10 {
			entries += queuedEntries(e)
			now.At += e.settings.Control.Tick
			e.Handle(now, &Wake{})
		}
		return entries
	}
	l := longList(1000, Active)
	l.List[3].Destination, l.List[3].Kind = 2, 1 // after the other endpoint of the destination, of kind 0
	tell(l)
	if got := tell(l); got != 0 {
		t.Fatalf("the same list tells the module %d endpoints", got)
	}
	tell(&Members{Source: "s", List: l.List[2:3]})
	if got := tell(l); got != 2 {
		t.Errorf("after its first sibling was told, the list tells the module %d endpoints, want both", got)
	}
}

// Guards against a pause when many messages reach their deadline at once: no Step ends more than a part of them, and all
// have ended after some ticks.
func TestMessagesWhoseTimeIsUpEndInParts(t *testing.T) {
	t.Parallel()
	const n = 50_000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, longList(1, Leaving))
	for i := range n {
		e.Handle(now, &Submit{Message: Message{ID: fmt.Sprint("m", i), Class: "free"}, ExpiresIn: 2 * control.Second})
	}
	now.At += e.settings.Control.Tick
	e.Handle(now, &Wake{})
	now.At = Epoch + 2*control.Second
	ended, steps := 0, 0
	for ; ended < n && steps < 1000; steps++ {
		part := 0
		for _, f := range e.Handle(now, &Wake{}) {
			if _, ok := f.(*Done); ok {
				part++
			}
		}
		if part > max(maxTimersPerPart, n/maxTimerParts+1) {
			t.Fatalf("%d messages end at once", part)
		}
		ended += part
		if next, _ := e.NextWake(); ended < n && next > now.At+e.settings.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		now.At += e.settings.Control.Tick
	}
	if ended != n {
		t.Fatalf("%d of %d ended", ended, n)
	}
	if steps > 2*maxTimerParts+n/maxTimersPerPart {
		t.Errorf("it took %d ticks", steps)
	}
}

// Guards against a pause when many endpoints that went at the same time are removed.
func TestEndpointsAreForgottenInParts(t *testing.T) {
	t.Parallel()
	const n = 5000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, longList(n, Active))
	for range 2*n/maxPerPart + 2 {
		now.At += e.settings.Control.Tick
		e.Handle(now, &Wake{})
	}
	e.Handle(now, &Members{Source: "s", FullList: true})
	for range 2*n/maxPerPart + 2 {
		now.At += e.settings.Control.Tick
		e.Handle(now, &Wake{})
	}
	now.At += goneRetention + cleanupInterval
	for left := n; left > 0; now.At += e.settings.Control.Tick {
		e.Handle(now, &Wake{})
		got := len(e.allEndpoints)
		if got < left-maxPerPart || got >= left || got != len(e.endpointByID) || got != len(e.endpointByNumber) {
			t.Fatalf("%d endpoints left after %d; %d by id, %d by number", got, left, len(e.endpointByID), len(e.endpointByNumber))
		}
		if next, _ := e.NextWake(); got > 0 && next > now.At+e.settings.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		left = got
	}
}

package engine

import (
	"fmt"
	"runtime"
	"testing"

	"curlewmux/control"
)

// bigEngine is one for so many endpoints and messages, without a store.
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

// told counts the entries that the module is to be told at its next Step.
func told(e *Engine) (n int) {
	for i := range e.events {
		n += len(e.events[i].Entries)
	}
	return n
}

// Guards against a pause while a list of ten thousand endpoints is taken: no tick takes more than a part of it, and in
// the end all of it counts, with what came behind it, in the order in which it came.
func TestALongListIsTakenInParts(t *testing.T) {
	t.Parallel()
	const n = 10_000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	ticks := func(most int) (took int) {
		for len(e.listings) > 0 && took <= most {
			now.At += e.set.Control.Tick
			e.Handle(now, &Wake{})
			if next, ok := e.NextWake(); len(e.listings) > 0 && (!ok || next > now.At+e.set.Control.Tick) {
				t.Fatalf("%d lists are left and the next wake is %d after %d", len(e.listings), next, now.At)
			}
			if got := told(e); got > atOnce {
				t.Fatalf("the module is told %d endpoints at once", got)
			}
			took++
		}
		return took
	}
	e.Handle(now, longList(n, Active))
	if got := e.Endpoints(); got != atOnce {
		t.Fatalf("%d endpoints are known at once, want %d", got, atOnce)
	}
	e.Handle(now, &Members{Source: "s", List: []Member{{ID: "e9999", Addr: "h:1", Destination: 9999, Phase: Leaving}}})
	e.Handle(now, longList(10, Active))
	e.Handle(now, longList(n-10, Active)) // it says all that the two before it said, which are not begun
	e.Handle(now, &Members{Source: "s", List: []Member{{ID: "e7", Addr: "h:1", Destination: 7, Phase: Leaving}}})
	if len(e.listings) != 3 {
		t.Fatalf("%d lists wait, want three", len(e.listings))
	}
	if took := ticks(100); took > 2*n/atOnce+3 {
		t.Errorf("two lists of %d took %d ticks", n, took)
	}
	if got := e.Endpoints(); got != n-10 {
		t.Errorf("%d endpoints are known, want %d", got, n-10)
	}
	if got := e.byID["e9999"].phase; got != Gone {
		t.Errorf("an endpoint that the newest list leaves out is in phase %d", got)
	}
	if got := e.byID["e7"].phase; got != Leaving {
		t.Errorf("an endpoint that was told as leaving behind the list is in phase %d", got)
	}
	if e.waiting != 0 {
		t.Errorf("%d members count as waiting", e.waiting)
	}

	// The same again says nothing new, and one change is told as one.
	now.At += e.set.Control.Tick
	e.Handle(now, &Wake{})
	l := longList(n-10, Active)
	l.List[5000].Phase = Leaving
	e.Handle(now, l)
	entries := told(e)
	for len(e.listings) > 0 {
		now.At += e.set.Control.Tick
		e.Handle(now, &Wake{})
		entries += told(e)
	}
	if entries != 2 { // and that e7 is active again
		t.Errorf("a list with two changes tells the module %d endpoints", entries)
	}
	if got := e.byID["e5000"].phase; got != Leaving {
		t.Errorf("the changed endpoint is in phase %d", got)
	}

	// A source that tells faster than parts are taken is taken at once: what waits is bounded.
	for range 20 {
		e.Handle(now, &Members{Source: "s", List: longList(n, Active).List})
	}
	if most := 2*e.set.MaxEndpoints + n; e.waiting > most {
		t.Errorf("%d members wait to be taken, %d at most", e.waiting, most)
	}
}

// Guards against a pause while ids are forgotten whose time is up at once.
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
	if e.ended.len() != n {
		t.Fatalf("%d ids ended, want %d", e.ended.len(), n)
	}
	now.At += 60 * control.Second
	for left := n; left > 0; {
		e.Handle(now, &Wake{})
		got := e.ended.len()
		if got < left-atOnce || got >= left {
			t.Fatalf("%d ids left after %d", got, left)
		}
		if next, _ := e.NextWake(); got > 0 && next > now.At+e.set.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		left = got
		now.At += e.set.Control.Tick
	}
}

// What a held message, an endpoint and its destination take is bounded. The figures are in docs/operators.
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
			now.At += e.set.Control.Tick
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

// A destination's kind is that of its endpoint that was told last: a long whole list puts it back as it has it.
func TestALongListSaysWhichEntryOfADestinationIsLast(t *testing.T) {
	t.Parallel()
	e := bigEngine(t, 1000)
	now := Now{At: Epoch, Wall: testWall}
	tell := func(l *Members) (entries int) {
		e.Handle(now, l)
		for range 10 {
			entries += told(e)
			now.At += e.set.Control.Tick
			e.Handle(now, &Wake{})
		}
		return entries
	}
	l := longList(1000, Active)
	l.List[3].Destination, l.List[3].Kind = 2, 1 // behind its sibling of kind 0
	tell(l)
	if got := tell(l); got != 0 {
		t.Fatalf("the same list tells the module %d endpoints", got)
	}
	tell(&Members{Source: "s", List: l.List[2:3]})
	if got := tell(l); got != 2 {
		t.Errorf("after its first sibling was told, the list tells the module %d endpoints, want both", got)
	}
}

// Guards against a pause while the time of many messages is up at once: no Step ends more than a part of them, and all
// are told within some ticks.
func TestMessagesWhoseTimeIsUpEndInParts(t *testing.T) {
	t.Parallel()
	const n = 50_000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, longList(1, Leaving))
	for i := range n {
		e.Handle(now, &Submit{Message: Message{ID: fmt.Sprint("m", i), Class: "free"}, ExpiresIn: 2 * control.Second})
	}
	now.At += e.set.Control.Tick
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
		if part > max(timersAtOnce, n/timerParts+1) {
			t.Fatalf("%d messages end at once", part)
		}
		ended += part
		if next, _ := e.NextWake(); ended < n && next > now.At+e.set.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		now.At += e.set.Control.Tick
	}
	if ended != n {
		t.Fatalf("%d of %d ended", ended, n)
	}
	if steps > 2*timerParts+n/timersAtOnce {
		t.Errorf("it took %d ticks", steps)
	}
}

// Guards against a pause while endpoints are forgotten that went at once.
func TestEndpointsAreForgottenInParts(t *testing.T) {
	t.Parallel()
	const n = 5000
	e := bigEngine(t, n)
	now := Now{At: Epoch, Wall: testWall}
	e.Handle(now, longList(n, Active))
	for range 2*n/atOnce + 2 {
		now.At += e.set.Control.Tick
		e.Handle(now, &Wake{})
	}
	e.Handle(now, &Members{Source: "s", FullList: true})
	for range 2*n/atOnce + 2 {
		now.At += e.set.Control.Tick
		e.Handle(now, &Wake{})
	}
	now.At += goneKept + seldom
	for left := n; left > 0; now.At += e.set.Control.Tick {
		e.Handle(now, &Wake{})
		got := len(e.all)
		if got < left-atOnce || got >= left || got != len(e.byID) || got != len(e.byNumber) {
			t.Fatalf("%d endpoints left after %d; %d by id, %d by number", got, left, len(e.byID), len(e.byNumber))
		}
		if next, _ := e.NextWake(); got > 0 && next > now.At+e.set.Control.Tick {
			t.Fatalf("the next part is due at %d, it is %d", next, now.At)
		}
		left = got
	}
}

package engine

import (
	"testing"

	"curlewmux/control"
)

// promptEngine is an engine without a store whose Steps follow each event, with one endpoint for destination 1.
func promptEngine(t *testing.T, change ...func(*Settings)) (e *Engine, handle func(at Time, ev Event) []Effect) {
	t.Helper()
	set := testSettings()
	for _, f := range change {
		f(&set)
	}
	set.HasStore, set.Prompt = false, true
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	handle = func(at Time, ev Event) (out []Effect) {
		now := Now{At: Epoch + at, Wall: testWall + Timestamp(at)}
		out = append(out, e.Handle(now, ev)...)
		for {
			next, ok := e.NextWake()
			if !ok || next > now.At {
				return out
			}
			out = append(out, e.Handle(now, &Wake{})...)
		}
	}
	handle(0, &Members{Source: "s", FullList: true, List: []Member{{ID: "e", Addr: "h", Destination: 1, Kind: 1, Phase: Active}}})
	return e, handle
}

func effectOf[T Effect](list []Effect) (f T) {
	for _, e := range list {
		if one, ok := e.(T); ok {
			f = one
		}
	}
	return f
}

func TestAPromptEngineCallsAtTheInstantOfTheHandIn(t *testing.T) {
	t.Parallel()
	_, handle := promptEngine(t)
	for i, at := range []Time{1, 2, 7} { // far less than a tick apart
		id := string(rune('a' + i))
		c := effectOf[*Call](handle(at, &Submit{Message: Message{ID: id, Class: "free", Destination: 1}, ExpiresIn: control.Second}))
		if c == nil || c.Items[0].ID != id {
			t.Fatalf("hand-in at %d us: call %+v", at, c)
		}
	}
}

// The Step behind the last of all ends waits for the grid: nothing hangs on it. Any other is at once, and a message that
// comes meanwhile finds the slot free.
func TestAPromptEngineStepsAtOnceWhileAMessageIsHeld(t *testing.T) {
	t.Parallel()
	e, handle := promptEngine(t, func(s *Settings) { s.Control.Slots = 1 })
	in := func(at Time, id string) []Effect {
		return handle(at, &Submit{Message: Message{ID: id, Class: "free", Destination: 1}, ExpiresIn: control.Second})
	}
	ok := func(c *Call) *Ended { return &Ended{Call: c.ID, Outcomes: []Outcome{{Result: control.OK}}} }
	a := effectOf[*Call](in(1, "a"))
	handle(2, ok(a))
	if next, _ := e.NextWake(); next != Epoch+e.set.Control.Tick || len(e.events) != 1 {
		t.Fatalf("with nothing held the next Step is at %v with %d events", next, len(e.events))
	}
	b := effectOf[*Call](in(3, "b"))
	if b == nil || len(e.events) != 0 {
		t.Fatalf("the next message: call %+v, %d events left", b, len(e.events))
	}
	if c := effectOf[*Call](in(4, "c")); c != nil {
		t.Fatalf("without a slot: call %+v", c)
	}
	if c := effectOf[*Call](handle(5, ok(b))); c == nil || c.Items[0].ID != "c" {
		t.Fatalf("with a message held: call %+v", c)
	}
}

func TestAnIDThatIsHandedInOnceIsForgottenAtItsEnd(t *testing.T) {
	t.Parallel()
	for _, once := range []bool{false, true} {
		e, handle := promptEngine(t)
		c := effectOf[*Call](handle(1, &Submit{Message: Message{ID: "a", Class: "unsafe", Destination: 1}, ExpiresIn: control.Second, UniqueID: once}))
		d := effectOf[*Done](handle(2, &Ended{Call: c.ID, Outcomes: []Outcome{{Result: control.OK}}}))
		if d == nil || d.Disposition != Delivered {
			t.Fatalf("once=%v: %+v", once, d)
		}
		if want := map[bool]int{false: 1, true: 0}[once]; e.ended.len() != want || len(e.byName) != 0 {
			t.Errorf("once=%v: %d ids remembered, want %d", once, e.ended.len(), want)
		}
	}
}

// An end is told once: whoever comes with the id meanwhile must not wait for it.
func TestAVerdictTellsThatAnEndIsOwedAlready(t *testing.T) {
	t.Parallel()
	_, handle := promptEngine(t, func(s *Settings) { s.Control.Slots = 1 })
	handle(1, &Submit{Message: Message{ID: "first", Class: "free", Destination: 1}, ExpiresIn: control.Second})
	in := &Submit{Message: Message{ID: "a", Class: "unsafe", Destination: 1}, ExpiresIn: 20 * control.Millisecond}
	if v := effectOf[*Answer](handle(2, in)); v.Kind != Accepted || v.Disposition != 0 {
		t.Fatalf("the first time: %+v", v)
	}
	if v := effectOf[*Answer](handle(3, in)); v.Kind != Accepted || v.Disposition != 0 {
		t.Fatalf("while it is held: %+v", v)
	}
	if d := effectOf[*Done](handle(30*control.Millisecond, &Wake{})); d == nil || d.ID != "a" || d.Disposition != Refused {
		t.Fatalf("its end: %+v", d)
	}
	out := handle(30*control.Millisecond+1, in)
	if v, d := effectOf[*Answer](out), effectOf[*Done](out); v.Kind != Accepted || v.Disposition != Refused || d != nil {
		t.Fatalf("while its end is owed: %+v, %+v", v, d)
	}
}

func TestAVerdictTellsThatTheMessageWasDeliveredBefore(t *testing.T) {
	t.Parallel()
	_, handle := promptEngine(t)
	in := &Submit{Message: Message{ID: "a", Class: "free", Destination: 1}, ExpiresIn: control.Second}
	out := handle(1, in)
	if v := effectOf[*Answer](out); v.Kind != Accepted || v.Disposition != 0 {
		t.Fatalf("the first time: %+v", v)
	}
	handle(2, &Ended{Call: effectOf[*Call](out).ID, Outcomes: []Outcome{{Result: control.OK}}})
	if v := effectOf[*Answer](handle(3, in)); v.Kind != Accepted || v.Disposition != Delivered {
		t.Fatalf("the second time: %+v", v)
	}
}

package engine

import (
	"testing"

	"curlewmux/control"
)

// kept is an engine whose undelivered messages are kept; its records are stored at once.
type kept struct {
	t     *testing.T
	e     *Engine
	now   Now
	taken []Record
	given *Undelivered
	calls []*Call
	said  Verdict
	asked int
}

func newKept(t *testing.T, no VerdictKind) *kept {
	k := &kept{t: t, now: Now{At: Epoch, Wall: testWall}}
	set := testSettings()
	set.CheckUndelivered = func(m *Message) (VerdictKind, string) {
		k.asked++
		return max(no, Accepted), "kept as number 7"
	}
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	k.e = e
	k.do(&Members{Source: "list", FullList: true, List: []Member{{ID: "a", Addr: "host-a", Destination: 1, Phase: Active}}})
	return k
}

func (k *kept) do(ev Event) {
	k.t.Helper()
	var batches []Batch
	for _, f := range append([]Effect(nil), k.e.Handle(k.now, ev)...) {
		switch f := f.(type) {
		case *Append:
			batches = append(batches, f.Batch)
			for _, r := range f.Records {
				k.taken = append(k.taken, r)
				if o, ok := r.(*RecPendingResult); ok {
					k.given = o.Undelivered
				}
			}
		case *Call:
			k.calls = append(k.calls, f)
		case *Answer:
			k.said = f.Verdict
		}
	}
	for _, b := range batches {
		k.do(&Stored{Batch: b})
	}
}

// pass lets time go by in ticks.
func (k *kept) pass(d Time) {
	for end := k.now.At + d; k.now.At < end; {
		k.now.At += 5 * control.Millisecond
		k.now.Wall += Timestamp(5 * control.Millisecond)
		k.do(&Wake{})
	}
}

func (k *kept) hand(class, id string, with Submit) {
	with.Ticket, with.Message, with.ExpiresIn = 1, Message{ID: id, Class: class, Destination: 1, Key: "k", Body: []byte("body")}, 5*control.Second
	k.do(&with)
	k.pass(10 * control.Millisecond)
}

// What is given up is told with its body, its attempts, why, and from when on no call of it is out.
func TestAKeeperIsToldAllOfWhatIsGivenUp(t *testing.T) {
	t.Parallel()
	end := func(k *kept, r control.Result, o Outcome) {
		o.Result = r
		k.do(&Ended{Call: k.calls[len(k.calls)-1].ID, Outcomes: []Outcome{o}})
		k.pass(20 * control.Millisecond)
	}
	for name, c := range map[string]struct {
		play  func(k *kept)
		cause Cause
		doubt bool
		tries int
		quiet Time // after it was given up
	}{
		"in doubt":       {func(k *kept) { end(k, control.Reset, Outcome{}) }, CauseDoubt, true, 1, 0},
		"its call hangs": {func(k *kept) { k.pass(6 * control.Second) }, CauseDeadline, true, 1, 20 * control.Millisecond},
		"no try can go better": {func(k *kept) {
			end(k, control.Refused, Outcome{Permanent: true, Reason: "no such user"})
		}, CausePermanent, false, 1, 0},
	} {
		k := newKept(t, 0)
		k.hand("unsafe", "m", Submit{})
		if len(k.calls) != 1 {
			t.Fatalf("%s: %d calls", name, len(k.calls))
		}
		sent := k.now.At
		c.play(k)
		g := k.given
		if g == nil || string(g.Message.Body) != "body" || g.Cause != c.cause || (g.DoubtAt != 0) != c.doubt || g.Tries != c.tries || len(g.Attempts) != 1 {
			t.Errorf("%s: %+v", name, g)
			continue
		}
		if a := g.Attempts[0]; a.Endpoint != "a" || a.Addr != "host-a" || a.Sent > sent || (a.End == 0) != (c.quiet > 0) {
			t.Errorf("%s: attempt %+v", name, a)
		}
		if g.CallsOverAt < g.At || g.CallsOverAt > g.At+c.quiet || c.quiet > 0 && g.CallsOverAt != Epoch+5*control.Second {
			t.Errorf("%s: given up at %d, quiet from %d on", name, g.At-Epoch, g.CallsOverAt-Epoch)
		}
		if m := k.e.byName["m"]; m == nil || m.tale.given == nil || m.tale.given.Message.Body != nil || !m.tale.given.Rewritten {
			t.Errorf("%s: what it tells a second time is not as it should be", name)
		}
	}
}

// The doubt of earlier lives comes along: a keyed message goes inside its window and not beyond, and the store has it.
func TestTheDoubtOfEarlierLivesIsBroughtAlong(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		age   Time
		calls int
	}{{control.Second, 1}, {4*control.Second + 990*control.Millisecond, 0}, {6 * control.Second, 0}} {
		k := newKept(t, AlreadyEnded)
		k.hand("keyed", "m", Submit{Resent: true, DoubtAge: c.age, DoubtZone: 1})
		if k.said.Kind != Accepted || k.asked != 0 || len(k.calls) != c.calls {
			t.Errorf("doubt of %d ms: %+v, asked %d times, %d calls", c.age/control.Millisecond, k.said, k.asked, len(k.calls))
		}
		state := replay(k.taken)
		if c.calls > 0 && (len(state.live) != 1 || state.live[0].DoubtAt == 0 || state.live[0].DoubtAt > Timestamp(testWall)) {
			t.Errorf("the store has %+v", state.live)
		}
		if c.calls == 0 && (k.given == nil || k.given.DoubtAt == 0) {
			t.Errorf("given up: %+v", k.given)
		}
	}
}

func TestWhatIsKeptSpeaksAgainstAHandIn(t *testing.T) {
	t.Parallel()
	k := newKept(t, AlreadyEnded)
	k.hand("unsafe", "m", Submit{})
	if k.said.Kind != AlreadyEnded || k.said.Reason != "kept as number 7" || len(k.calls) > 0 || k.asked != 1 {
		t.Errorf("%+v, %d calls, asked %d times", k.said, len(k.calls), k.asked)
	}
}

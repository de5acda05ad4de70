package engine

import (
	"fmt"
	"testing"

	"curlewmux/control"
)

// orders calls f with each order of the numbers below n.
func orders(n int, f func([]int)) {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	var place func(int)
	place = func(at int) {
		if at == n {
			f(list)
			return
		}
		for i := at; i < n; i++ {
			list[at], list[i] = list[i], list[at]
			place(at + 1)
			list[at], list[i] = list[i], list[at]
		}
	}
	place(0)
}

// oneInstant is an engine with a store that holds batches back until it is told to write, in which one message is out.
type oneInstant struct {
	t       *testing.T
	e       *Engine
	gate    Gate
	now     Now
	disk    []Record
	waiting []*Append
	answers map[Ticket]int
	taken   int // lives that the store has
	told    int // ends that were told
	out     int // copies that are out
	calls   []CallID
	trace   string
}

func (r *oneInstant) handle(ev Event) {
	r.trace += formatEvent(ev, r.now) + "\n"
	for _, f := range append([]Effect(nil), r.e.Handle(r.now, ev)...) {
		r.trace += "> " + format(f, r.now) + "\n"
		if a, ok := f.(*Append); ok {
			r.waiting = append(r.waiting, a)
		}
		r.do(r.gate.Pass(nil, []Effect{f}))
	}
}

func (r *oneInstant) do(effects []Effect) {
	for _, f := range effects {
		switch f := f.(type) {
		case *Answer:
			r.answers[f.Ticket]++
		case *Done:
			r.told++
		case *Call:
			if r.out++; r.out > 1 {
				r.t.Fatalf("two copies out\n%s", r.trace)
			}
			r.calls = append(r.calls, f.ID)
		}
	}
}

func (r *oneInstant) write() {
	if len(r.waiting) == 0 {
		return
	}
	b := r.waiting[len(r.waiting)-1].Batch
	for _, a := range r.waiting {
		for _, rec := range a.Records {
			if _, ok := rec.(*RecAccepted); ok {
				r.taken++
			}
		}
		r.disk = append(r.disk, a.Records...)
	}
	r.waiting = nil
	r.handle(&Stored{Batch: b})
	r.do(r.gate.Stored(nil, b))
}

// A message is delivered, fails, is withdrawn, given up and handed in again, and the store answers, all in one instant.
func TestWhatComesInOneInstantEndsOnceInEachOrder(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"unsafe", "keyed", "ordered"} {
		for _, result := range []control.Result{control.OK, control.Reset, control.ConnectFailed, control.Moot} {
			t.Run(fmt.Sprint(class, "/", results[result]), func(t *testing.T) {
				t.Parallel()
				orders(6, func(order []int) { inOneInstant(t, class, result, order) })
			})
		}
	}
}

func inOneInstant(t *testing.T, class string, result control.Result, order []int) {
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	r := &oneInstant{t: t, e: e, now: Now{At: Epoch, Wall: testWall}, answers: map[Ticket]int{}}
	pass := func(by Time) { r.now.At, r.now.Wall = r.now.At+by, r.now.Wall+Timestamp(by) }
	m := Message{ID: "m", Class: class, Destination: 1, Key: "k", Body: []byte("body")}
	r.handle(&Members{Source: "s", FullList: true, List: []Member{{ID: "a", Addr: "h", Destination: 1, Phase: Active}}})
	r.handle(&Submit{Ticket: 1, Message: m, ExpiresIn: control.Second})
	r.write()
	pass(5 * control.Millisecond)
	r.handle(&Wake{})
	r.write()
	if r.out != 1 {
		t.Fatalf("no call is out\n%s", r.trace)
	}
	pass(control.Second)
	ended := false
	events := []func(){
		func() {
			if result == control.OK && !ended {
				r.handle(&FirstLine{Call: 1})
			}
		},
		func() {
			ended = true
			r.out--
			r.handle(&Ended{Call: 1, Outcomes: []Outcome{{Result: result}}})
		},
		func() { r.handle(&Withdraw{ID: "m"}) },
		func() { r.handle(&Wake{}) },
		func() { r.handle(&Submit{Ticket: 2, Message: m, ExpiresIn: control.Second}) },
		func() { r.write() },
	}
	for _, i := range order {
		events[i]()
	}
	// All that is left comes to its end.
	for range 5 {
		r.write()
		for len(r.calls) > 1 {
			r.out--
			r.handle(&Ended{Call: r.calls[1], Outcomes: []Outcome{{Result: control.Errored}}})
			r.calls = append(r.calls[:1], r.calls[2:]...)
		}
		r.handle(&Notified{IDs: []string{"m"}})
		r.write()
		pass(2 * control.Second)
		r.handle(&Wake{})
	}
	r.write()
	if r.answers[1] != 1 || r.answers[2] != 1 {
		t.Fatalf("order %v: answers %v\n%s", order, r.answers, r.trace)
	}
	if r.told != r.taken || r.taken > 2 || r.taken == 2 && class == "unsafe" && result == control.Reset {
		t.Fatalf("order %v: %d lives, %d ends told\n%s", order, r.taken, r.told, r.trace)
	}
	if left := replay(r.disk).live; len(left) > 0 || r.e.OpenMessages() != 0 || r.e.CallsOut() != 0 || r.e.owing != 0 {
		t.Fatalf("order %v: the store holds %d, the engine %d, %d calls, %d owed\n%s", order, len(left), r.e.OpenMessages(), r.e.CallsOut(), r.e.owing, r.trace)
	}
}

package control

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// An order gives back what a sorted list would, whatever is put in, moved and taken out.
func TestAnOrderIsInOrder(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	o := destinationHeap[float64]{index: runnableHeap}
	var all []*destination
	keys := map[*destination]float64{}
	for i := range 200 {
		all = append(all, &destination{number: i, activation: uint64(i)})
	}
	for range 20_000 {
		x := all[rng.IntN(len(all))]
		switch rng.IntN(4) {
		case 0:
			o.remove(x)
			delete(keys, x)
		case 1:
			k := float64(rng.IntN(30))
			if old, ok := keys[x]; !ok || k < old {
				keys[x] = k
			}
			o.lowerKey(x, k, x.activation)
		default:
			keys[x] = float64(rng.IntN(30))
			o.set(x, keys[x], x.activation)
		}
		if err := checkHeap(&o)(); err != nil {
			t.Fatal(err)
		}
		if len(o.entries) != len(keys) {
			t.Fatalf("%d are in, want %d", len(o.entries), len(keys))
		}
	}
	last := heapEntry[float64]{key: -1}
	for n := len(keys); n > 0; n-- {
		x := o.entries[0]
		if x.key != keys[x.destination] || !last.less(&x) {
			t.Fatalf("%v comes after %v, its key is %v", x, last, keys[x.destination])
		}
		if last = x; o.popDue(x.key) != x.destination {
			t.Fatal("the first is not due at its key")
		}
	}
	o.set(all[0], 1, 1)
	if o.clear(); len(o.entries) > 0 || all[0].heapPositions[runnableHeap] != 0 {
		t.Error("something is left in a cleared order")
	}
}

// A first window is a fair share as listed: when a list names fewer, those that slept with a full one have room.
func TestASmallerListWakesThoseWithAFullFirstWindow(t *testing.T) {
	var list []Entry
	for n := 1; n <= 8; n++ {
		list = append(list, listEntry(n, 0, 0))
	}
	r := newHarness(t, testSettings(), list...)
	r.advance(9 * second)
	var gone []Entry
	for _, e := range list[1:] {
		e.Health = Gone
		gone = append(gone, e)
	}
	r.step(0, Event{Kind: List, Entries: gone})
	a, b := r.arrival(freeClass, 1), r.arrival(freeClass, 1)
	r.wantSent(r.step(900*Millisecond, a, b), a.Message)
	r.wantSent(r.advance(200 * Millisecond)) // the others are forgotten meanwhile
	r.wantSent(r.step(0, Event{Kind: List}), b.Message)
}

// Another kind may mean that silence is suspicious sooner: a call that is out is judged by it at once.
func TestACallIsJudgedByItsDestinationsNewKind(t *testing.T) {
	r := newHarness(t, testSettings(), listEntry(1, 0, 0), listEntry(2, 0, 1))
	for range 60 {
		m := r.arrival(freeClass, 2)
		r.wantSent(r.step(0, m), m.Message)
		ev := outcomeOf(m.Message, 0, OK)
		ev.Latency = 10 * Millisecond
		r.step(10*Millisecond, ev)
	}
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), r.lastID)
	r.advance(500 * Millisecond)
	if r.d.endpointByID[endpointID(1, 0)].suspect {
		t.Fatal("suspect by its old kind")
	}
	r.step(0, Event{Kind: List, Entries: []Entry{listEntry(1, 0, 1)}})
	if !r.d.endpointByID[endpointID(1, 0)].suspect {
		t.Error("not suspect half a second after a call that its new kind answers in 10 ms")
	}
}

// A destination whose failing endpoint was forgotten is well again, and leaves its part of the room to others.
func TestAForgottenEndpointLeavesItsRoomToTheSick(t *testing.T) {
	set := testSettings()
	set.Slots, set.MayCancel = 4, false
	r := newHarness(t, set, listEntry(1, 0, 0), listEntry(1, 1, 0), listEntry(2, 0, 0))
	one, two := r.d.destinationByNumber[1], r.d.destinationByNumber[2]
	r.advance(9 * second)
	r.wantSent(r.step(0, r.arrival(freeClass, 1)), r.lastID)
	bad := r.d.endpointByID[endpointID(1, 0)]
	if len(bad.calls) == 0 {
		bad = r.d.endpointByID[endpointID(1, 1)]
	}
	r.d.recordFailure(bad, bad.calls[0], false)
	bad.nextTrialAt = never
	r.step(10*Millisecond, outcomeOf(r.lastID, 0, Errored)) // it goes again, to the other endpoint
	gone := listEntry(1, int(bad.id)%10, 0)
	gone.Health = Gone
	r.step(0, Event{Kind: List, Entries: []Entry{gone}})
	if one.callsOut != 1 || r.d.unhealthyCalls != 1 {
		t.Fatalf("%d calls are out, %d of them to sick ones", one.callsOut, r.d.unhealthyCalls)
	}
	two.latencyStats, two.longTermLatency, two.windowSlowStart, two.window = latencyStats{mean: 9e4, deviation: 1, samples: 50}, 1e4, false, 2
	a, b := r.arrival(freeClass, 2), r.arrival(freeClass, 2)
	r.wantSent(r.step(700*Millisecond, a, b), a.Message)
	if got := sentMessages(r.advance(400 * Millisecond)); !slices.Contains(got, b.Message) {
		t.Errorf("sent %v, not %d: %d calls count as out to sick ones", got, b.Message, r.d.unhealthyCalls)
	}
}

// A lane holds what a sorted list would, whatever comes and goes, and keeps no memory when it is empty.
func TestALaneIsInOrderOfArrival(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 4))
	var l messageQueue
	var want, away []*message
	for n := range uint64(30_000) {
		m := &message{arrivalNumber: n}
		switch k := rng.IntN(5); {
		case k < 2 || len(want) == 0:
		case k == 2 && len(away) > 0: // it comes back
			i := rng.IntN(len(away))
			m = away[i]
			away = slices.Delete(away, i, i+1)
		default:
			i := min(rng.IntN(len(want)), rng.IntN(len(want)))
			away = append(away, want[i])
			l.remove(want[i])
			want = slices.Delete(want, i, i+1)
			continue
		}
		l.insert(m)
		want = append(want, m)
		slices.SortFunc(want, func(a, b *message) int { return int(a.arrivalNumber) - int(b.arrivalNumber) })
		if !slices.Equal(l.all(), want) || l.len() != len(want) {
			t.Fatalf("after %d: %d are in, want %d", n, l.len(), len(want))
		}
		if len(want) > 300 {
			for _, m := range want {
				l.remove(m)
			}
			if cap(l.messages) > keptCapacity || l.head != 0 {
				t.Fatal("an empty lane keeps its memory")
			}
			want, away = nil, nil
		}
	}
}

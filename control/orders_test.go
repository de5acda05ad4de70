package control

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A heap returns what a sorted list would, whatever is added, moved and removed.
func TestHeapIsInOrder(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	h := destinationHeap[float64]{index: runnableHeap}
	var all []*destination
	keys := map[*destination]float64{}
	for i := range 200 {
		all = append(all, &destination{number: i, activation: uint64(i)})
	}
	for range 20_000 {
		dest := all[rng.IntN(len(all))]
		switch rng.IntN(4) {
		case 0:
			h.remove(dest)
			delete(keys, dest)
		case 1:
			key := float64(rng.IntN(30))
			if old, ok := keys[dest]; !ok || key < old {
				keys[dest] = key
			}
			h.lowerKey(dest, key, dest.activation)
		default:
			keys[dest] = float64(rng.IntN(30))
			h.set(dest, keys[dest], dest.activation)
		}
		if err := checkHeap(&h)(); err != nil {
			t.Fatal(err)
		}
		if len(h.entries) != len(keys) {
			t.Fatalf("the heap holds %d entries, want %d", len(h.entries), len(keys))
		}
	}
	last := heapEntry[float64]{key: -1}
	for n := len(keys); n > 0; n-- {
		entry := h.entries[0]
		if entry.key != keys[entry.destination] || !last.less(&entry) {
			t.Fatalf("%v comes after %v, its key is %v", entry, last, keys[entry.destination])
		}
		if last = entry; h.popDue(entry.key) != entry.destination {
			t.Fatal("the first entry is not due at its key")
		}
	}
	h.set(all[0], 1, 1)
	if h.clear(); len(h.entries) > 0 || all[0].heapPositions[runnableHeap] != 0 {
		t.Error("a cleared heap is not empty")
	}
}

// The first window of a destination is a fair share of the slots. When a new list has fewer destinations, one that waited
// with a full first window can send again.
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
	r.wantSent(r.advance(200 * Millisecond)) // the other destinations are removed meanwhile
	r.wantSent(r.step(0, Event{Kind: List}), b.Message)
}

// Another kind of destination may have a shorter response timeout. It applies at once to calls that are out.
func TestNewKindAppliesToCallsThatAreOut(t *testing.T) {
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
		t.Fatal("suspect with the timeout of its old kind")
	}
	r.step(0, Event{Kind: List, Entries: []Entry{listEntry(1, 0, 1)}})
	if !r.d.endpointByID[endpointID(1, 0)].suspect {
		t.Error("not suspect half a second after a call, though its new kind answers in 10 ms")
	}
}

// A destination whose failing endpoint has been removed is healthy again, and no longer takes slots of the unhealthy ones.
func TestRemovedEndpointLeavesItsSlotsToOtherUnhealthyOnes(t *testing.T) {
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
	r.step(10*Millisecond, outcomeOf(r.lastID, 0, Errored)) // it is sent again, to the other endpoint
	gone := listEntry(1, int(bad.id)%10, 0)
	gone.Health = Gone
	r.step(0, Event{Kind: List, Entries: []Entry{gone}})
	if one.callsOut != 1 || r.d.unhealthyCalls != 1 {
		t.Fatalf("%d calls are out, %d of them to unhealthy destinations", one.callsOut, r.d.unhealthyCalls)
	}
	two.latencyStats, two.longTermLatency, two.windowSlowStart, two.window = latencyStats{mean: 9e4, deviation: 1, samples: 50}, 1e4, false, 2
	a, b := r.arrival(freeClass, 2), r.arrival(freeClass, 2)
	r.wantSent(r.step(700*Millisecond, a, b), a.Message)
	if got := sentMessages(r.advance(400 * Millisecond)); !slices.Contains(got, b.Message) {
		t.Errorf("sent %v, not %d: %d calls count as out to unhealthy destinations", got, b.Message, r.d.unhealthyCalls)
	}
}

// A queue holds what a sorted list would, whatever is added and removed, and keeps no memory when it is empty.
func TestQueueIsInOrderOfArrival(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 4))
	var queue messageQueue
	var want, removed []*message
	for n := range uint64(30_000) {
		m := &message{arrivalNumber: n}
		switch choice := rng.IntN(5); {
		case choice < 2 || len(want) == 0:
		case choice == 2 && len(removed) > 0: // a removed message returns
			i := rng.IntN(len(removed))
			m = removed[i]
			removed = slices.Delete(removed, i, i+1)
		default:
			i := min(rng.IntN(len(want)), rng.IntN(len(want)))
			removed = append(removed, want[i])
			queue.remove(want[i])
			want = slices.Delete(want, i, i+1)
			continue
		}
		queue.insert(m)
		want = append(want, m)
		slices.SortFunc(want, func(a, b *message) int { return int(a.arrivalNumber) - int(b.arrivalNumber) })
		if !slices.Equal(queue.all(), want) || queue.len() != len(want) {
			t.Fatalf("after %d messages: the queue holds %d, want %d", n, queue.len(), len(want))
		}
		if len(want) > 300 {
			for _, m := range want {
				queue.remove(m)
			}
			if cap(queue.messages) > keptCapacity || queue.head != 0 {
				t.Fatal("an empty queue keeps its memory")
			}
			want, removed = nil, nil
		}
	}
}

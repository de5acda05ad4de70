package control

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// A heap returns what a sorted list would, whatever is added, moved and removed.
func TestAnOrderIsInOrder(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	o := order[float64]{no: inReady}
	var all []*dest
	keys := map[*dest]float64{}
	for i := range 200 {
		all = append(all, &dest{no: i, seq: uint64(i)})
	}
	for range 20_000 {
		x := all[rng.IntN(len(all))]
		switch rng.IntN(4) {
		case 0:
			o.drop(x)
			delete(keys, x)
		case 1:
			k := float64(rng.IntN(30))
			if old, ok := keys[x]; !ok || k < old {
				keys[x] = k
			}
			o.sooner(x, k, x.seq)
		default:
			keys[x] = float64(rng.IntN(30))
			o.put(x, keys[x], x.seq)
		}
		if err := checkOrder(&o)(); err != nil {
			t.Fatal(err)
		}
		if len(o.list) != len(keys) {
			t.Fatalf("the heap holds %d entries, want %d", len(o.list), len(keys))
		}
	}
	last := ranked[float64]{key: -1}
	for n := len(keys); n > 0; n-- {
		x := o.list[0]
		if x.key != keys[x.t] || !last.before(&x) {
			t.Fatalf("%v comes after %v, its key is %v", x, last, keys[x.t])
		}
		if last = x; o.due(x.key) != x.t {
			t.Fatal("the first entry is not due at its key")
		}
	}
	o.put(all[0], 1, 1)
	if o.clear(); len(o.list) > 0 || all[0].places[inReady] != 0 {
		t.Error("a cleared heap is not empty")
	}
}

// The first window of a destination is a fair share of the slots. When a new list has fewer destinations, one that waited
// with a full first window can send again.
func TestASmallerListWakesThoseWithAFullFirstWindow(t *testing.T) {
	var list []Entry
	for n := 1; n <= 8; n++ {
		list = append(list, entry(n, 0, 0))
	}
	r := newRig(t, testSettings(), list...)
	r.wait(9 * s)
	var gone []Entry
	for _, e := range list[1:] {
		e.Health = Gone
		gone = append(gone, e)
	}
	r.at(0, Event{Kind: List, Entries: gone})
	a, b := r.msg(free, 1), r.msg(free, 1)
	r.want(r.at(900*Millisecond, a, b), a.Message)
	r.want(r.wait(200 * Millisecond)) // the other destinations are removed meanwhile
	r.want(r.at(0, Event{Kind: List}), b.Message)
}

// Another kind of destination may have a shorter response timeout. It applies at once to calls that are out.
func TestACallIsJudgedByItsDestinationsNewKind(t *testing.T) {
	r := newRig(t, testSettings(), entry(1, 0, 0), entry(2, 0, 1))
	for range 60 {
		m := r.msg(free, 2)
		r.want(r.at(0, m), m.Message)
		ev := done(m.Message, 0, OK)
		ev.Lag = 10 * Millisecond
		r.at(10*Millisecond, ev)
	}
	r.want(r.at(0, r.msg(free, 1)), r.id)
	r.wait(500 * Millisecond)
	if r.d.byID[ep(1, 0)].suspect {
		t.Fatal("suspect with the timeout of its old kind")
	}
	r.at(0, Event{Kind: List, Entries: []Entry{entry(1, 0, 1)}})
	if !r.d.byID[ep(1, 0)].suspect {
		t.Error("not suspect half a second after a call, though its new kind answers in 10 ms")
	}
}

// A destination whose failing endpoint has been removed is healthy again, and no longer takes slots of the unhealthy ones.
func TestAForgottenEndpointLeavesItsRoomToTheSick(t *testing.T) {
	set := testSettings()
	set.Slots, set.MayCancel = 4, false
	r := newRig(t, set, entry(1, 0, 0), entry(1, 1, 0), entry(2, 0, 0))
	one, two := r.d.byNo[1], r.d.byNo[2]
	r.wait(9 * s)
	r.want(r.at(0, r.msg(free, 1)), r.id)
	bad := r.d.byID[ep(1, 0)]
	if len(bad.calls) == 0 {
		bad = r.d.byID[ep(1, 1)]
	}
	r.d.failed(bad, bad.calls[0], false)
	bad.trialAt = never
	r.at(10*Millisecond, done(r.id, 0, Errored)) // it is sent again, to the other endpoint
	gone := entry(1, int(bad.id)%10, 0)
	gone.Health = Gone
	r.at(0, Event{Kind: List, Entries: []Entry{gone}})
	if one.w != 1 || r.d.sickOut != 1 {
		t.Fatalf("%d calls are out, %d of them to unhealthy destinations", one.w, r.d.sickOut)
	}
	two.lat, two.base, two.starting, two.wmax = latency{mean: 9e4, dev: 1, n: 50}, 1e4, false, 2
	a, b := r.msg(free, 2), r.msg(free, 2)
	r.want(r.at(700*Millisecond, a, b), a.Message)
	if got := sent(r.wait(400 * Millisecond)); !slices.Contains(got, b.Message) {
		t.Errorf("sent %v, not %d: %d calls count as out to unhealthy destinations", got, b.Message, r.d.sickOut)
	}
}

// A queue holds what a sorted list would, whatever is added and removed, and keeps no memory when it is empty.
func TestALaneIsInOrderOfArrival(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 4))
	var l lane
	var want, away []*message
	for n := range uint64(30_000) {
		m := &message{arrived: n}
		switch k := rng.IntN(5); {
		case k < 2 || len(want) == 0:
		case k == 2 && len(away) > 0: // a removed message returns
			i := rng.IntN(len(away))
			m = away[i]
			away = slices.Delete(away, i, i+1)
		default:
			i := min(rng.IntN(len(want)), rng.IntN(len(want)))
			away = append(away, want[i])
			l.drop(want[i])
			want = slices.Delete(want, i, i+1)
			continue
		}
		l.put(m)
		want = append(want, m)
		slices.SortFunc(want, func(a, b *message) int { return int(a.arrived) - int(b.arrived) })
		if !slices.Equal(l.all(), want) || l.len() != len(want) {
			t.Fatalf("after %d messages: the queue holds %d, want %d", n, l.len(), len(want))
		}
		if len(want) > 300 {
			for _, m := range want {
				l.drop(m)
			}
			if cap(l.list) > laneKept || l.front != 0 {
				t.Fatal("an empty queue keeps its memory")
			}
			want, away = nil, nil
		}
	}
}

package control

import "cmp"

// destinationHeap holds destinations by a key, the least first, those of one key by the number given with it. A destination knows
// its place in each order, so that it can be moved or taken out from anywhere: a binary heap with places. It decides
// nothing, and takes memory for as many as were ever in it at once.
type destinationHeap[K cmp.Ordered] struct {
	index   int // of a destination's places, the one in this order
	entries []heapEntry[K]
}

type heapEntry[K cmp.Ordered] struct {
	key         K
	seq         uint64
	destination *destination
}

func (a *heapEntry[K]) less(b *heapEntry[K]) bool {
	return a.key < b.key || a.key == b.key && a.seq < b.seq
}

// contains tells whether a destination is in the order.
func (o *destinationHeap[K]) contains(t *destination) bool { return t.heapPositions[o.index] > 0 }

// insert adds a destination, or moves it to another key.
func (o *destinationHeap[K]) set(t *destination, key K, seq uint64) {
	at := t.heapPositions[o.index] - 1
	if at < 0 {
		at = len(o.entries)
		o.entries = append(o.entries, heapEntry[K]{key, seq, t})
		t.heapPositions[o.index] = at + 1
	} else if old := &o.entries[at]; old.key == key && old.seq == seq {
		return
	} else {
		old.key, old.seq = key, seq
	}
	if !o.siftUp(at) {
		o.siftDown(at)
	}
}

// lowerKey is put, but for one that is there with a lesser key.
func (o *destinationHeap[K]) lowerKey(t *destination, key K, seq uint64) {
	if at := t.heapPositions[o.index] - 1; at < 0 || key < o.entries[at].key {
		o.set(t, key, seq)
	}
}

// remove takes a destination out, if it is in.
func (o *destinationHeap[K]) remove(t *destination) {
	at := t.heapPositions[o.index] - 1
	if at < 0 {
		return
	}
	last := len(o.entries) - 1
	if at != last {
		o.entries[at] = o.entries[last]
		o.entries[at].destination.heapPositions[o.index] = at + 1
	}
	o.entries[last] = heapEntry[K]{}
	o.entries = o.entries[:last]
	t.heapPositions[o.index] = 0
	if at < last && !o.siftUp(at) {
		o.siftDown(at)
	}
}

// firstDestination is the least, nil if there is none.
func (o *destinationHeap[K]) first() *destination {
	if len(o.entries) == 0 {
		return nil
	}
	return o.entries[0].destination
}

// isDue tells whether the first one's key is no more than until.
func (o *destinationHeap[K]) isDue(until K) bool {
	return len(o.entries) > 0 && o.entries[0].key <= until
}

// dueScans takes out the first, if its key is no more than until.
func (o *destinationHeap[K]) popDue(until K) *destination {
	if !o.isDue(until) {
		return nil
	}
	t := o.entries[0].destination
	o.remove(t)
	return t
}

// clear takes all out.
func (o *destinationHeap[K]) clear() {
	for i := range o.entries {
		o.entries[i].destination.heapPositions[o.index] = 0
	}
	clear(o.entries)
	o.entries = o.entries[:0]
}

func (o *destinationHeap[K]) siftUp(at int) (moved bool) {
	x := o.entries[at]
	for at > 0 {
		above := (at - 1) / 2
		if !x.less(&o.entries[above]) {
			break
		}
		o.entries[at] = o.entries[above]
		o.entries[at].destination.heapPositions[o.index] = at + 1
		at, moved = above, true
	}
	o.entries[at] = x
	x.destination.heapPositions[o.index] = at + 1
	return moved
}

func (o *destinationHeap[K]) siftDown(at int) {
	x := o.entries[at]
	for {
		below := 2*at + 1
		if below >= len(o.entries) {
			break
		}
		if right := below + 1; right < len(o.entries) && o.entries[right].less(&o.entries[below]) {
			below = right
		}
		if !o.entries[below].less(&x) {
			break
		}
		o.entries[at] = o.entries[below]
		o.entries[at].destination.heapPositions[o.index] = at + 1
		at = below
	}
	o.entries[at] = x
	x.destination.heapPositions[o.index] = at + 1
}

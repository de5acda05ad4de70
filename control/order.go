package control

import "cmp"

// destinationHeap is a binary heap of destinations, ordered by a key and then by a sequence number. Each destination
// stores its position in each heap, so that it can be moved or removed from anywhere. The heap keeps memory for as many
// entries as it ever held at once.
type destinationHeap[K cmp.Ordered] struct {
	index   int // of this heap's entry in a destination's places
	entries []heapEntry[K]
}

// heapEntry is a destination in a heap with its key.
type heapEntry[K cmp.Ordered] struct {
	key         K
	seq         uint64
	destination *destination
}

// less reports whether an entry comes before another: by key, and by sequence number if the keys are equal.
func (a *heapEntry[K]) less(b *heapEntry[K]) bool {
	return a.key < b.key || a.key == b.key && a.seq < b.seq
}

// contains reports whether a destination is in the heap.
func (o *destinationHeap[K]) contains(t *destination) bool { return t.heapPositions[o.index] > 0 }

// set adds a destination, or changes its key.
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

// lowerKey is like set, but keeps the key of a destination whose key is no larger.
func (o *destinationHeap[K]) lowerKey(t *destination, key K, seq uint64) {
	if at := t.heapPositions[o.index] - 1; at < 0 || key < o.entries[at].key {
		o.set(t, key, seq)
	}
}

// remove removes a destination, if the heap contains it.
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

// firstDestination returns the destination with the least key, nil if there is none.
func (o *destinationHeap[K]) first() *destination {
	if len(o.entries) == 0 {
		return nil
	}
	return o.entries[0].destination
}

// isDue reports whether the least key is until or less.
func (o *destinationHeap[K]) isDue(until K) bool {
	return len(o.entries) > 0 && o.entries[0].key <= until
}

// popDue removes and returns the first destination if its key is until or less, otherwise it returns nil.
func (o *destinationHeap[K]) popDue(until K) *destination {
	if !o.isDue(until) {
		return nil
	}
	t := o.entries[0].destination
	o.remove(t)
	return t
}

// clear removes all destinations.
func (o *destinationHeap[K]) clear() {
	for i := range o.entries {
		o.entries[i].destination.heapPositions[o.index] = 0
	}
	clear(o.entries)
	o.entries = o.entries[:0]
}

// siftUp moves the entry at a position up to its place, and reports whether it moved.
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

// siftDown moves the entry at a position down to its place.
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

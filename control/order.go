package control

import "cmp"

// destinationHeap is a binary heap of destinations, ordered by a key and then by a sequence number. Each destination
// stores its position in each heap, so that it can be moved or removed from anywhere. The heap keeps memory for as many
// entries as it ever held at once.
type order[K cmp.Ordered] struct {
	no   int // of this heap's entry in a destination's places
	list []ranked[K]
}

// heapEntry is a destination in a heap with its key.
type ranked[K cmp.Ordered] struct {
	key K
	seq uint64
	t   *dest
}

// less reports whether an entry comes before another: by key, and by sequence number if the keys are equal.
func (a *ranked[K]) before(b *ranked[K]) bool {
	return a.key < b.key || a.key == b.key && a.seq < b.seq
}

// contains reports whether a destination is in the heap.
func (o *order[K]) has(t *dest) bool { return t.places[o.no] > 0 }

// set adds a destination, or changes its key.
func (o *order[K]) put(t *dest, key K, seq uint64) {
	at := t.places[o.no] - 1
	if at < 0 {
		at = len(o.list)
		o.list = append(o.list, ranked[K]{key, seq, t})
		t.places[o.no] = at + 1
	} else if old := &o.list[at]; old.key == key && old.seq == seq {
		return
	} else {
		old.key, old.seq = key, seq
	}
	if !o.up(at) {
		o.down(at)
	}
}

// lowerKey is like set, but keeps the key of a destination whose key is no larger.
func (o *order[K]) sooner(t *dest, key K, seq uint64) {
	if at := t.places[o.no] - 1; at < 0 || key < o.list[at].key {
		o.put(t, key, seq)
	}
}

// remove removes a destination, if the heap contains it.
func (o *order[K]) drop(t *dest) {
	at := t.places[o.no] - 1
	if at < 0 {
		return
	}
	last := len(o.list) - 1
	if at != last {
		o.list[at] = o.list[last]
		o.list[at].t.places[o.no] = at + 1
	}
	o.list[last] = ranked[K]{}
	o.list = o.list[:last]
	t.places[o.no] = 0
	if at < last && !o.up(at) {
		o.down(at)
	}
}

// first returns the destination with the least key, nil if there is none.
func (o *order[K]) first() *dest {
	if len(o.list) == 0 {
		return nil
	}
	return o.list[0].t
}

// isDue reports whether the least key is until or less.
func (o *order[K]) isDue(until K) bool { return len(o.list) > 0 && o.list[0].key <= until }

// popDue removes and returns the first destination if its key is until or less, otherwise it returns nil.
func (o *order[K]) due(until K) *dest {
	if !o.isDue(until) {
		return nil
	}
	t := o.list[0].t
	o.drop(t)
	return t
}

// clear removes all destinations.
func (o *order[K]) clear() {
	for i := range o.list {
		o.list[i].t.places[o.no] = 0
	}
	clear(o.list)
	o.list = o.list[:0]
}

// siftUp moves the entry at a position up to its place, and reports whether it moved.
func (o *order[K]) up(at int) (moved bool) {
	x := o.list[at]
	for at > 0 {
		above := (at - 1) / 2
		if !x.before(&o.list[above]) {
			break
		}
		o.list[at] = o.list[above]
		o.list[at].t.places[o.no] = at + 1
		at, moved = above, true
	}
	o.list[at] = x
	x.t.places[o.no] = at + 1
	return moved
}

// siftDown moves the entry at a position down to its place.
func (o *order[K]) down(at int) {
	x := o.list[at]
	for {
		below := 2*at + 1
		if below >= len(o.list) {
			break
		}
		if right := below + 1; right < len(o.list) && o.list[right].before(&o.list[below]) {
			below = right
		}
		if !o.list[below].before(&x) {
			break
		}
		o.list[at] = o.list[below]
		o.list[at].t.places[o.no] = at + 1
		at = below
	}
	o.list[at] = x
	x.t.places[o.no] = at + 1
}

package control

import "cmp"

// destinationHeap is a binary heap of destinations, ordered by a key and then by a sequence number. Each destination
// stores its position in each heap, so that it can be moved or removed from anywhere. The heap keeps memory for as many
// entries as it ever contained at once.
type destinationHeap[K cmp.Ordered] struct {
	index   int // position of this heap in destination.heapPositions
	entries []heapEntry[K]
}

// heapEntry is a destination in a heap with its key.
type heapEntry[K cmp.Ordered] struct {
	key         K
	seq         uint64
	destination *destination
}

// less reports whether an entry comes before another: by key, and by sequence number if the keys are equal.
func (e *heapEntry[K]) less(other *heapEntry[K]) bool {
	return e.key < other.key || e.key == other.key && e.seq < other.seq
}

// contains reports whether a destination is in the heap.
func (h *destinationHeap[K]) contains(dest *destination) bool { return dest.heapPositions[h.index] > 0 }

// set adds a destination, or changes its key.
func (h *destinationHeap[K]) set(dest *destination, key K, seq uint64) {
	position := dest.heapPositions[h.index] - 1
	if position < 0 {
		position = len(h.entries)
		h.entries = append(h.entries, heapEntry[K]{key, seq, dest})
		dest.heapPositions[h.index] = position + 1
	} else if old := &h.entries[position]; old.key == key && old.seq == seq {
		return
	} else {
		old.key, old.seq = key, seq
	}
	if !h.siftUp(position) {
		h.siftDown(position)
	}
}

// lowerKey is like set, but keeps the key of a destination whose key is no larger.
func (h *destinationHeap[K]) lowerKey(dest *destination, key K, seq uint64) {
	if position := dest.heapPositions[h.index] - 1; position < 0 || key < h.entries[position].key {
		h.set(dest, key, seq)
	}
}

// remove removes a destination, if the heap contains it.
func (h *destinationHeap[K]) remove(dest *destination) {
	position := dest.heapPositions[h.index] - 1
	if position < 0 {
		return
	}
	last := len(h.entries) - 1
	if position != last {
		h.entries[position] = h.entries[last]
		h.entries[position].destination.heapPositions[h.index] = position + 1
	}
	h.entries[last] = heapEntry[K]{}
	h.entries = h.entries[:last]
	dest.heapPositions[h.index] = 0
	if position < last && !h.siftUp(position) {
		h.siftDown(position)
	}
}

// first returns the destination with the least key, nil if there is none.
func (h *destinationHeap[K]) first() *destination {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0].destination
}

// isDue reports whether the least key is until or less.
func (h *destinationHeap[K]) isDue(until K) bool {
	return len(h.entries) > 0 && h.entries[0].key <= until
}

// popDue removes and returns the first destination if its key is until or less, otherwise it returns nil.
func (h *destinationHeap[K]) popDue(until K) *destination {
	if !h.isDue(until) {
		return nil
	}
	dest := h.entries[0].destination
	h.remove(dest)
	return dest
}

// clear removes all destinations.
func (h *destinationHeap[K]) clear() {
	for i := range h.entries {
		h.entries[i].destination.heapPositions[h.index] = 0
	}
	clear(h.entries)
	h.entries = h.entries[:0]
}

// siftUp moves the entry at a position up to its place, and reports whether it moved.
func (h *destinationHeap[K]) siftUp(position int) (moved bool) {
	entry := h.entries[position]
	for position > 0 {
		parent := (position - 1) / 2
		if !entry.less(&h.entries[parent]) {
			break
		}
		h.entries[position] = h.entries[parent]
		h.entries[position].destination.heapPositions[h.index] = position + 1
		position, moved = parent, true
	}
	h.entries[position] = entry
	entry.destination.heapPositions[h.index] = position + 1
	return moved
}

// siftDown moves the entry at a position down to its place.
func (h *destinationHeap[K]) siftDown(position int) {
	entry := h.entries[position]
	for {
		child := 2*position + 1
		if child >= len(h.entries) {
			break
		}
		if right := child + 1; right < len(h.entries) && h.entries[right].less(&h.entries[child]) {
			child = right
		}
		if !h.entries[child].less(&entry) {
			break
		}
		h.entries[position] = h.entries[child]
		h.entries[position].destination.heapPositions[h.index] = position + 1
		position = child
	}
	h.entries[position] = entry
	entry.destination.heapPositions[h.index] = position + 1
}

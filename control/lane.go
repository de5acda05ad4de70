package control

import (
	"cmp"
	"slices"
)

// lane is a queue of messages in order of arrival. Most messages are added at the end, removed at the front, or put back
// near the front. Insertions and removals move the shorter part of the queue, so that they cost no more in a queue of
// 100 000 messages than in a short one.
type lane struct {
	list  []*message
	front int // number of unused elements before the first message
}

// laneKept is the capacity up to which an empty queue keeps its memory, in messages.
const laneKept = 16

// all returns the messages, the oldest first.
func (l *lane) all() []*message { return l.list[l.front:] }

func (l *lane) len() int { return len(l.list) - l.front }

// find returns the position of the first message that did not arrive before the given arrival number.
func (l *lane) find(arrived uint64) int {
	i, _ := slices.BinarySearchFunc(l.all(), arrived, func(o *message, n uint64) int { return cmp.Compare(o.arrived, n) })
	return i
}

// put inserts a message at the place that its arrival number gives it.
func (l *lane) put(m *message) {
	at := l.find(m.arrived)
	if l.front > 0 && at < l.len()/2 {
		l.front--
		all := l.all()
		copy(all, all[1:at+1])
		all[at] = m
		return
	}
	if len(l.list) == cap(l.list) && l.front > len(l.list)/2 { // use the space at the front before growing
		n := copy(l.list, l.all())
		clear(l.list[n:])
		l.list, l.front = l.list[:n], 0
	}
	l.list = slices.Insert(l.list, l.front+at, m)
}

// drop removes a message.
func (l *lane) drop(m *message) {
	all := l.all()
	at := l.find(m.arrived)
	if at < len(all)/2 {
		copy(all[1:], all[:at])
		all[0] = nil
		l.front++
	} else {
		l.list = slices.Delete(l.list, l.front+at, l.front+at+1)
	}
	switch {
	case l.len() > 0:
	case cap(l.list) > laneKept:
		*l = lane{} // free the memory that a burst needed
	default:
		l.list, l.front = l.list[:0], 0
	}
}

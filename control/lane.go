package control

import (
	"cmp"
	"slices"
)

// messageQueue is a queue of messages in order of arrival. Most messages are added at the end, removed at the front, or put back
// near the front. Insertions and removals move the shorter part of the queue, so that they cost no more in a queue of
// 100 000 messages than in a short one.
type messageQueue struct {
	messages []*message
	head     int // number of unused elements before the first message
}

// keptCapacity is the capacity up to which an empty queue keeps its memory, in messages.
const keptCapacity = 16

// all returns the messages, the oldest first.
func (l *messageQueue) all() []*message { return l.messages[l.head:] }

func (l *messageQueue) len() int { return len(l.messages) - l.head }

// find returns the position of the first message that did not arrive before the given arrival number.
func (l *messageQueue) find(arrived uint64) int {
	i, _ := slices.BinarySearchFunc(l.all(), arrived, func(o *message, n uint64) int { return cmp.Compare(o.arrivalNumber, n) })
	return i
}

// insert inserts a message at the place that its arrival number gives it.
func (l *messageQueue) insert(m *message) {
	at := l.find(m.arrivalNumber)
	if l.head > 0 && at < l.len()/2 {
		l.head--
		all := l.all()
		copy(all, all[1:at+1])
		all[at] = m
		return
	}
	if len(l.messages) == cap(l.messages) && l.head > len(l.messages)/2 { // use the space at the front before growing
		n := copy(l.messages, l.all())
		clear(l.messages[n:])
		l.messages, l.head = l.messages[:n], 0
	}
	l.messages = slices.Insert(l.messages, l.head+at, m)
}

// remove removes a message.
func (l *messageQueue) remove(m *message) {
	all := l.all()
	at := l.find(m.arrivalNumber)
	if at < len(all)/2 {
		copy(all[1:], all[:at])
		all[0] = nil
		l.head++
	} else {
		l.messages = slices.Delete(l.messages, l.head+at, l.head+at+1)
	}
	switch {
	case l.len() > 0:
	case cap(l.messages) > keptCapacity:
		*l = messageQueue{} // free the memory that a burst needed
	default:
		l.messages, l.head = l.messages[:0], 0
	}
}

package control

import (
	"cmp"
	"slices"
)

// messageQueue is a queue of messages in order of arrival. Most messages are added at the end, removed at the front, or
// put back near the front. Insertions and removals move the shorter part of the queue, so that these cost no more in a
// queue of 100 000 messages than in a short one.
type messageQueue struct {
	messages []*message
	head     int // number of unused elements before the first message
}

// keptCapacity is the largest capacity, in messages, that a queue keeps when it becomes empty.
const keptCapacity = 16

// all returns the messages, the oldest first.
func (q *messageQueue) all() []*message { return q.messages[q.head:] }

func (q *messageQueue) len() int { return len(q.messages) - q.head }

// find returns the position of the first message that did not arrive before the given arrival number.
func (q *messageQueue) find(arrivalNumber uint64) int {
	position, _ := slices.BinarySearchFunc(q.all(), arrivalNumber,
		func(msg *message, number uint64) int { return cmp.Compare(msg.arrivalNumber, number) })
	return position
}

// insert inserts a message at the place that its arrival number gives it.
func (q *messageQueue) insert(msg *message) {
	position := q.find(msg.arrivalNumber)
	if q.head > 0 && position < q.len()/2 {
		q.head--
		all := q.all()
		copy(all, all[1:position+1])
		all[position] = msg
		return
	}
	if len(q.messages) == cap(q.messages) && q.head > len(q.messages)/2 { // use the space at the front before growing
		count := copy(q.messages, q.all())
		clear(q.messages[count:])
		q.messages, q.head = q.messages[:count], 0
	}
	q.messages = slices.Insert(q.messages, q.head+position, msg)
}

// remove removes a message.
func (q *messageQueue) remove(msg *message) {
	all := q.all()
	position := q.find(msg.arrivalNumber)
	if position < len(all)/2 {
		copy(all[1:], all[:position])
		all[0] = nil
		q.head++
	} else {
		q.messages = slices.Delete(q.messages, q.head+position, q.head+position+1)
	}
	switch {
	case q.len() > 0:
	case cap(q.messages) > keptCapacity:
		*q = messageQueue{} // free the memory that a burst needed
	default:
		q.messages, q.head = q.messages[:0], 0
	}
}

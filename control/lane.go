package control

import (
	"cmp"
	"slices"
)

// messageQueue holds messages in order of arrival. They mostly come at its end and go from its front, or come back near there:
// the nearer end is moved, so that a lane of a hundred thousand costs no more than a short one. It decides nothing.
type messageQueue struct {
	messages []*message
	head     int // free places before the first
}

// keptCapacity is for how many messages an empty lane keeps room.
const keptCapacity = 16

// endedMeter are its messages, the oldest first.
func (l *messageQueue) all() []*message { return l.messages[l.head:] }

func (l *messageQueue) len() int { return len(l.messages) - l.head }

func (l *messageQueue) find(arrived uint64) int {
	i, _ := slices.BinarySearchFunc(l.all(), arrived, func(o *message, n uint64) int { return cmp.Compare(o.arrivalNumber, n) })
	return i
}

func (l *messageQueue) insert(m *message) {
	at := l.find(m.arrivalNumber)
	if l.head > 0 && at < l.len()/2 {
		l.head--
		all := l.all()
		copy(all, all[1:at+1])
		all[at] = m
		return
	}
	if len(l.messages) == cap(l.messages) && l.head > len(l.messages)/2 { // before it grows
		n := copy(l.messages, l.all())
		clear(l.messages[n:])
		l.messages, l.head = l.messages[:n], 0
	}
	l.messages = slices.Insert(l.messages, l.head+at, m)
}

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
		*l = messageQueue{} // a burst's memory goes with it
	default:
		l.messages, l.head = l.messages[:0], 0
	}
}

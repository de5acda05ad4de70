package engine

// timers holds the module's timers in one heap, ordered by time, then by the order in which they were set. A message
// has at most one timer and knows its index, so that the timer is removed with the message. The heap holds timers by
// value, so that they produce no garbage.
type timers struct {
	list []timer
	seq  uint64
}

type timer struct {
	at      Time
	seq     uint64
	mark    uint64
	message *message // the message it belongs to, nil if none; removed with it
}

func (t *timer) before(o *timer) bool { return t.at < o.at || t.at == o.at && t.seq < o.seq }

// push adds a timer. If m is not nil, the timer replaces the one that m has.
func (t *timers) push(n timer, m *message) {
	if m != nil {
		t.drop(m)
	}
	t.seq++
	n.seq, n.message = t.seq, m
	t.list = append(t.list, n)
	t.up(len(t.list) - 1)
}

// drop removes the timer of a message, if it has one.
func (t *timers) drop(m *message) {
	if m.timerIndex > 0 {
		t.remove(m.timerIndex - 1)
	}
}

// next returns when the first timer is due.
func (t *timers) next() (Time, bool) {
	if len(t.list) == 0 {
		return 0, false
	}
	return t.list[0].at, true
}

// pop removes and returns the first timer, if it is due.
func (t *timers) pop(now Time) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	n := t.list[0]
	t.remove(0)
	return n, true
}

func (t *timers) remove(at int) {
	if m := t.list[at].message; m != nil {
		m.timerIndex = 0
	}
	last := len(t.list) - 1
	n := t.list[last]
	t.list[last] = timer{}
	t.list = t.list[:last]
	if at < last {
		t.set(at, n)
		if t.up(at) == at {
			t.down(at)
		}
	}
}

// set stores a timer at an index of the heap.
func (t *timers) set(at int, n timer) {
	t.list[at] = n
	if n.message != nil {
		n.message.timerIndex = at + 1
	}
}

func (t *timers) up(at int) int {
	n := t.list[at]
	for at > 0 && n.before(&t.list[(at-1)/2]) {
		t.set(at, t.list[(at-1)/2])
		at = (at - 1) / 2
	}
	t.set(at, n)
	return at
}

func (t *timers) down(at int) {
	n := t.list[at]
	for {
		below := 2*at + 1
		if right := below + 1; right < len(t.list) && t.list[right].before(&t.list[below]) {
			below = right
		}
		if below >= len(t.list) || !t.list[below].before(&n) {
			break
		}
		t.set(at, t.list[below])
		at = below
	}
	t.set(at, n)
}

package judge

import (
	"container/heap"
	"slices"
	"time"
)

// message is one that a client handed in.
type message struct {
	id         string
	class      *Class
	dest       int
	key        string
	body       uint64
	handed     int           // number of the event of its newest hand-in
	over       time.Duration // when its time is up
	to         []*dispatcher // whom it was handed in to
	life       int           // of the last of these
	refusedBy  *dispatcher   // and failed
	refusedAt  time.Duration
	owner      *dispatcher // who took it, nil: nobody owes it anything
	taken      int         // number of the event by which its client heard so
	closed     bool        // nothing is owed (any more)
	delivered  bool        // as written
	known      bool        // a dispatcher heard that it is delivered or over, or gave it up
	knownAt    time.Duration
	knownLife  int
	heardFinal bool // delivered or over, as heard by knownLife
	notice     *Notice
	noticeAt   time.Duration
	noticeLife int
	acked      bool // noticeLife heard that the notice was read
	attempts   []*attempt
	effects    int
	turn       *turn
}

// doubt is its first attempt of which nobody was told that it never ran, nil if there is none. It may still be out.
func (m *message) doubt() *attempt {
	for _, a := range m.attempts {
		if !a.known.neverRan() {
			return a
		}
	}
	return nil
}

func (j *Judge) message(id string) *message {
	m := j.messages[id]
	if m == nil {
		j.nonsense("message %s was never handed in", id)
	}
	return m
}

func (h HandIn) apply(j *Judge) {
	if h.Class < 0 || h.Class >= len(j.set.Classes) {
		j.nonsense("message %s: there is no class %d", h.ID, h.Class)
		return
	}
	d, m := j.dispatcher(h.Dispatcher), j.messages[h.ID]
	if m == nil {
		m = &message{id: h.ID, class: &j.set.Classes[h.Class], dest: h.Dest, key: h.Key, body: h.Body}
		j.messages[h.ID] = m
	}
	m.handed, m.over, m.life = j.events, j.now+h.Expires, d.life
	m.to = append(m.to, d)
	if m.class.InOrder && h.Order != "" {
		m.turn = d.turn(h.Order)
		m.turn.messages = append(m.turn.messages, m)
	}
}

func (a ClientAnswer) apply(j *Judge) {
	m := j.message(a.ID)
	if m == nil || m.owner != nil {
		return
	}
	d := j.dispatcher(a.Dispatcher)
	if a.Status != 200 && a.Status != 202 {
		if a.Status == 429 || a.Status == 503 {
			j.handedBack(m, d)
		}
		m.refusedBy, m.refusedAt = d, j.now
		return
	}
	m.owner, m.taken = d, j.events
	j.count(MessagesTaken)
	if m.turn != nil {
		j.conflicts(m)
	}
	if m.closed { // it was delivered or given up before its client knew
		return
	}
	d.held[m.dest]++
	d.messages = append(d.messages, m)
	heap.Push(&j.due, due{m.over + j.set.End + j.set.Slack, m})
}

func (c ClientCut) apply(j *Judge) {
	m := j.message(c.ID)
	if m == nil {
		return
	}
	d := j.dispatcher(c.Dispatcher)
	switch {
	case c.Crossed:
		j.count(Crosses)
	case d.killed || d.life != m.life: // its process was killed
	default:
		j.broke(Missing, d, m, nil, "its client's connection was ended with no answer to the request that it had written")
	}
}

func (c ClientLeft) apply(j *Judge) { j.count(ClientsLeft) }

// close ends what is owed.
func (j *Judge) close(m *message) {
	if m.closed {
		return
	}
	if m.closed = true; m.owner != nil {
		m.owner.held[m.dest]--
	}
}

// learned notes that a dispatcher knows that a message is over.
func (j *Judge) learned(m *message, d *dispatcher) {
	if !m.known {
		m.known, m.knownAt, m.knownLife = true, j.now, d.life
	}
}

func (n Notice) apply(j *Judge) {
	m := j.messages[n.ID]
	d := j.dispatcher(n.Dispatcher)
	if m == nil || !slices.Contains(m.to, d) {
		j.broke(Missing, d, &message{id: n.ID}, nil, "a notice for a message that was never handed in to it")
		return
	}
	if last := m.notice; last != nil {
		// Who never heard that the first was read, or has started again, tells it once more.
		if last.Deferred != n.Deferred {
			j.broke(Missing, d, m, nil, "a notice says that it is %s; an earlier one, that it is %s", how(n.Deferred), how(last.Deferred))
		} else if m.acked && m.noticeLife == d.life {
			j.broke(Missing, d, m, nil, "a further notice %v after the first one, which was read; a message ends once", j.now-m.noticeAt)
		}
	} else {
		if m.heardFinal && m.knownLife == d.life && j.now-m.knownAt > j.set.End+j.set.Slack {
			j.broke(Missing, d, m, nil, "a notice %v after the dispatcher heard that it is over; a message ends once, and what crosses has %v",
				j.now-m.knownAt, j.set.End+j.set.Slack)
		}
		m.notice, m.noticeAt = &n, j.now
		if n.Deferred {
			j.handedBack(m, d)
		}
		if !m.closed && m.owner != nil {
			j.count(EndedByNotice)
		}
	}
	m.noticeLife, m.acked = d.life, !n.Later
	j.close(m)
	j.learned(m, d)
	for _, a := range m.attempts {
		j.doubted(a) // one that is out has timed out as far as this message is concerned
	}
}

func how(deferred bool) string {
	if deferred {
		return "deferred"
	}
	return "undeliverable"
}

func (n NoticeHeard) apply(j *Judge) {
	if m := j.message(n.ID); m != nil {
		m.acked = true
	}
}

// handedBack judges that a client is told that it may safely come again.
func (j *Judge) handedBack(m *message, d *dispatcher) {
	a := m.doubt()
	if a == nil {
		if len(m.attempts) > 0 {
			j.count(DeferredAfterTries)
		}
		return
	}
	if m.class.Effect == Unsafe || m.class.Effect == Keyed && m.class.ZoneGroup {
		j.broke(Twice, d, m, a.call.to, "its client is told to come again, but the attempt of %v may have run: %s", a.call.first, a.known)
	}
}

// due is a message and when it must have ended.
type due struct {
	at time.Duration
	m  *message
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(a, b int) bool { return d[a].at < d[b].at }
func (d dues) Swap(a, b int)      { d[a], d[b] = d[b], d[a] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// overdue judges the messages whose end is due before a moment.
func (j *Judge) overdue(at time.Duration) {
	for len(j.due) > 0 && j.due[0].at < at {
		next := heap.Pop(&j.due).(due)
		m := next.m
		if m.closed {
			continue
		}
		j.now = max(j.now, next.at)
		d := m.owner
		switch {
		case d.away:
			j.count(OverdueInRestart)
			d.parked = append(d.parked, m)
		case next.at < d.nothing:
			j.count(OverdueInRestart)
			heap.Push(&j.due, due{d.nothing, m})
		default:
			j.broke(Missing, d, m, nil, "no end %v after its time is up; allowed: %v, and %v from when its dispatcher is ready again",
				next.at-m.over, j.set.End+j.set.Slack, j.set.Ready+j.set.Slack)
			j.close(m)
		}
	}
}

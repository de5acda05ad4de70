package judge

import (
	"slices"
	"time"
)

// call is one call.
type call struct {
	d         *dispatcher
	life      int
	to        *endpoint
	addr      string
	first, at time.Duration // of its first and last byte, as written
	batch     bool
	attempts  []*attempt
	informed  bool // its dispatcher had seen the outage of the place
	status    int  // of the first line; 0: none was written
	whole     bool // all of the answer was written
	wait      time.Duration
	writtenAt time.Duration // the first line
	heardLine bool
	over      bool // cut, or heard as a whole
}

// attempt is one message of a call.
type attempt struct {
	call    *call
	m       *message
	written State // as the answer has it, as far as it is written
	known   State // as the dispatcher has heard it
	over    bool  // the dispatcher has its outcome, which may be that it never will
	overAt  time.Duration
}

// has tells whether a call is for a destination. A probe is for any.
func (c *call) has(dest int) bool {
	return len(c.attempts) == 0 || slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.m.dest == dest })
}

// message is the first one, nil for a probe.
func (c *call) message() *message {
	if len(c.attempts) == 0 {
		return nil
	}
	return c.attempts[0].m
}

func (e Call) apply(j *Judge) {
	to := j.endpoint(e.Endpoint)
	if to == nil {
		return
	}
	if j.calls[e.Call] != nil {
		j.nonsense("call %d began twice", e.Call)
		return
	}
	d := j.dispatcher(e.Dispatcher)
	c := &call{d: d, life: d.life, to: to, addr: e.Addr, first: e.First, at: j.now, batch: e.Batch}
	life, saw := d.saw[to.place]
	c.informed = saw && life == d.life
	j.calls[e.Call] = c
	for _, it := range e.Items {
		m := j.messages[it.ID]
		if m == nil {
			// A stand-in for this call alone: what the answer says of the others goes by their places.
			m = &message{id: it.ID, class: &Class{}, dest: to.dest, key: it.Key, to: []*dispatcher{d}}
			j.broke(Calls, d, m, to, "sent, but no client handed it in")
		}
		a := &attempt{call: c, m: m}
		j.attempted(a, it)
		m.attempts = append(m.attempts, a)
		c.attempts = append(c.attempts, a)
	}
	j.listed(c)
	j.waited(c)
	d.calls = slices.DeleteFunc(d.calls, func(c *call) bool { return c.over })
	d.calls = append(d.calls, c)
	if !e.Later {
		j.push(c)
	}
}

// attempted judges that a message is sent. What came before it stands in its attempts.
func (j *Judge) attempted(a *attempt, it Item) {
	m, c, d := a.m, a.call, a.call.d
	j.count(Attempts)
	switch {
	case !slices.Contains(m.to, d):
		j.broke(Calls, d, m, c.to, "sent, but handed in to another dispatcher")
	case m.owner == nil && m.refusedBy == d && c.first > m.refusedAt+j.set.Cross:
		j.broke(Calls, d, m, c.to, "sent %v after its client heard that it is not taken; what crosses that has %v", c.first-m.refusedAt, j.set.Cross)
	}
	if it.Key != m.key {
		j.broke(Calls, d, m, c.to, "sent with key %q; it was handed in with %q", it.Key, m.key)
	}
	if it.Body != m.body && it.Body != 0 && m.body != 0 {
		j.broke(Calls, d, m, c.to, "its body was changed on the way")
	}
	n := len(m.attempts) + 1
	if n > j.set.MostAttempts {
		j.broke(Calls, d, m, c.to, "attempt %d; allowed: %d", n, j.set.MostAttempts)
	} else if n == j.set.MostAttempts {
		j.count(LastAttempts)
	}
	if m.notice != nil && c.first > m.noticeAt+j.set.Cross {
		j.broke(Missing, d, m, c.to, "sent %v after it was given up (%s); what crosses that has %v", c.first-m.noticeAt, how(m.notice.Deferred), j.set.Cross)
	}
	if m.heardFinal && m.knownLife == d.life && c.first > m.knownAt+j.set.Cross {
		j.broke(Missing, d, m, c.to, "sent %v after the dispatcher heard that it is over; a message ends once", c.first-m.knownAt)
	}
	if n > 1 {
		j.again(a)
	}
	if m.turn != nil {
		j.inOrder(m, c)
	}
}

// again judges a further attempt against the earlier ones.
func (j *Judge) again(a *attempt) {
	m, c := a.m, a.call
	j.count(AttemptsAgain)
	for _, last := range m.attempts {
		if !last.over || last.overAt > c.first {
			j.broke(Twice, c.d, m, c.to, "sent from %v on while its attempt of %v at %s was still out; allowed: one at a time", c.first, last.call.first, last.call.to.id)
		}
	}
	doubt := m.doubt()
	switch {
	case m.class.Effect == Safe:
		if doubt != nil {
			j.count(SentAgainInDoubt)
		}
	case doubt == nil:
		if m.class.Effect == Unsafe {
			j.count(SentAgainWhenSure)
		}
	case m.class.Effect == Unsafe:
		j.broke(Twice, c.d, m, c.to, "it is unsafe and was sent again %v after an attempt at %s that may have run (%v)",
			c.first-doubt.call.first, doubt.call.to.id, doubt.known)
	case j.now-doubt.call.at > m.class.Window:
		j.broke(Twice, c.d, m, c.to, "it is keyed and was sent again %v after the first attempt that may have run; allowed: %v",
			j.now-doubt.call.at, m.class.Window)
	case m.class.ZoneGroup && c.to.zone != doubt.call.to.zone:
		j.broke(Twice, c.d, m, c.to, "it is keyed and was sent again to zone %d, but may have run in zone %d, which remembers the key",
			c.to.zone, doubt.call.to.zone)
	default:
		j.count(SentAgainInDoubt)
	}
}

func (j *Judge) call(id CallID) *call {
	c := j.calls[id]
	if c == nil {
		j.nonsense("call %d never began", id)
	}
	return c
}

func (e Arrived) apply(j *Judge) {
	if c := j.call(e.Call); c != nil {
		j.push(c)
	}
}

func (e Line) apply(j *Judge) {
	c := j.call(e.Call)
	if c == nil || c.over {
		return // it is written to nobody
	}
	j.writes(c, e.Status)
	if !e.Later {
		j.hears(c, false)
	}
}

// writes notes a first line. What it says of all messages is their outcome.
func (j *Judge) writes(c *call, status int) {
	if c.status != 0 {
		return
	}
	c.status, c.writtenAt = status, j.now
	if c.batch && status == 200 {
		return // each one's stands in the body
	}
	for _, a := range c.attempts {
		j.tells(a, stateOf(status))
	}
}

// tells notes what an answer says of a message.
func (j *Judge) tells(a *attempt, s State) {
	a.written = s
	if !s.final() {
		return
	}
	if s == Delivered {
		if !a.m.delivered && a.m.owner != nil {
			j.count(EndedDelivered)
		}
		a.m.delivered = true
	}
	j.close(a.m)
}

func (e Answer) apply(j *Judge) {
	c := j.call(e.Call)
	if c == nil || c.over {
		return
	}
	j.writes(c, e.Status)
	c.whole, c.wait = true, e.Wait
	if c.status == 200 {
		for i, s := range e.States {
			if i < len(c.attempts) {
				j.tells(c.attempts[i], s)
			}
		}
	}
	if !e.Later {
		j.hears(c, true)
	}
}

func (e Heard) apply(j *Judge) {
	c := j.call(e.Call)
	if c == nil || c.over {
		return
	}
	if c.status == 0 || e.Whole && !c.whole {
		j.nonsense("call %d: an answer was heard that was not written", e.Call)
		return
	}
	j.hears(c, e.Whole)
}

// hears notes that the dispatcher has the first line of an answer, or all of it.
func (j *Judge) hears(c *call, whole bool) {
	if c.heardLine = true; c.status != 200 {
		j.met(c.d, c.to.place, c.at)
	}
	for _, a := range c.attempts {
		if c.batch && c.status == 200 && !whole {
			break // the body tells, and has not come
		}
		if a.known = a.written; a.known == Unknown {
			continue
		}
		if t := a.m.turn; t != nil && t.by == a.m && a.over {
			t.rest, t.by = j.now, nil // it was given up while its call was out, and has an outcome after all
		}
		if a.known.final() {
			j.learned(a.m, c.d)
			a.m.heardFinal = true
		}
		if a.known == Failed && !a.over {
			j.doubts(a.m)
		}
		if !a.over {
			a.over, a.overAt = true, j.now
		}
	}
	if !whole {
		return
	}
	c.over = true
	if c.wait > 0 {
		j.mustWait(c)
	}
	for _, a := range c.attempts {
		j.doubted(a) // the answer says nothing of it
	}
}

func (e Cut) apply(j *Judge) {
	if c := j.call(e.Call); c != nil {
		j.cut(c)
	}
}

// cut ends a call without the rest of its answer.
func (j *Judge) cut(c *call) {
	if c.over {
		return
	}
	c.over = true
	if !c.heardLine {
		j.met(c.d, c.to.place, c.at)
	}
	for _, a := range c.attempts {
		j.doubted(a)
	}
}

// doubted ends an attempt whose outcome the dispatcher will not hear.
func (j *Judge) doubted(a *attempt) {
	if a.over {
		return
	}
	a.over, a.overAt = true, j.now
	j.doubts(a.m)
	if a.m.turn != nil {
		j.unsettled(a.m)
	}
}

func (j *Judge) doubts(m *message) {
	switch m.class.Effect {
	case Safe:
		j.count(DoubtsSafe)
	case Keyed:
		j.count(DoubtsKeyed)
	case Unsafe:
		j.count(DoubtsUnsafe)
	}
}

func (e Ran) apply(j *Judge) {
	c, m := j.call(e.Call), j.message(e.ID)
	if c == nil || m == nil {
		return
	}
	if e.Dropped {
		j.count(RepeatsDropped)
		return
	}
	m.effects++
	if m.effects < 2 || m.class.Effect == Safe {
		return
	}
	// A repeat that was sent in time and came late is nobody's fault.
	first := m.attempts[0].call
	if d := m.doubt(); d != nil {
		first = d.call // what was refused before it starts no window
	}
	if m.class.Effect == Keyed && j.now-first.at > m.class.Window && c.at-first.at <= m.class.Window {
		return
	}
	j.broke(Twice, c.d, m, c.to, "it is %s and took effect %d times", m.class.Effect, m.effects)
}

package control

// This file holds the state that the decisions in control.go are based on, and keeps it up to date. It makes no decision
// itself.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"curlewmux/pace"
)

// message is one message, kept until it has ended and its last attempt has an outcome.
type message struct {
	id        MessageID
	class     *Class
	dest      *dest
	lane      int
	key       *keyTurn // nil if it has no order key
	born      Time     // when it was first submitted
	deadline  Time     // after which it is no longer delivered
	arrived   uint64   // number of its arrival, by which queues are ordered
	over      bool     // worth less: its tenant is over its quota, or it is resent
	held      bool     // it is in the queue of its destination
	ended     bool     // it has its final result; an attempt may still be out
	resent    bool     // an undelivered message sent again; may serve as a trial call whatever its class, as nothing else may come
	tries     int
	out       *call // the call that carries its current attempt, nil if none is out
	doubt     bool  // an attempt may have run
	doubtAt   Time  // send time of the first attempt that may have run
	doubtZone int   // zone that this attempt was sent to
}

// call is one call that is out and holds a slot. It carries one message, or a batch of messages sent in one round.
type call struct {
	ep      *endpoint
	sent    Time
	msgs    []*message
	left    int  // messages that have no outcome yet
	trial   bool // a trial call to a suspect endpoint
	asked   bool // it was asked to be cancelled
	learned bool // one of its outcomes was used to update the statistics
	low     bool // sent at well below the rate that the destination accepted, see limit.lowTo
	idle    Time // how long its connection had been idle, 0 if that is new or in use
}

// keyTurn sequences the messages that share an order key.
type keyTurn struct {
	key    uint64
	queue  []*message // messages with this key, the next one to send first
	rest   Time       // the next message waits until then: an attempt may still be running
	by     *message   // the message whose attempt may still be running, nil if it is one of an earlier process
	parked bool       // in the list of keys without messages that tidy removes later
}

// rests reports whether a message has to wait because an attempt with its key may still be running. A message that was
// sent before does not wait for an attempt of its own.
func (m *message) rests(now Time) bool {
	return now < m.key.rest && (m.tries == 0 || m.key.by != nil && m.key.by != m)
}

// endpoint is one address of a destination, with its own health.
type endpoint struct {
	// The fields that each scan of the destination reads come first, next to each other in memory.
	health   Health
	suspect  bool // taken to be down: it gets only trial calls
	proven   bool // its last failure proves that calls do not run there
	leaving  bool // in Dispatcher.leaving
	open     bool // a connection is assumed to be open
	limit    *limit
	dest     *dest
	bad      int         // failed connections and timeouts in a row
	errs     int         // error responses in a row
	trialAt  Time        // time of the next trial call
	failedAt Time        // while suspect: when the last failure was noticed
	coldAt   Time        // start of its ramp, possibly in the future; 0 if there is none
	ramp     pace.Bucket // calls that are permitted while it is cold or suspect
	calls    []*call     // calls out, the oldest first
	id       Endpoint
	zone     int
	batch    int  // most messages in one call
	used     Time // when a call last started or ended
	heard    Time // time of the last response
	okSent   Time // latest send time of a call that succeeded
	dropped  Time // how long the connection of the last failed call had been idle
	downAt   Time // while suspect: since when it is taken to be down
	trialGap Time // while suspect: time between the next trial call and the one after it
}

// kind holds what was learned about all destinations of one kind.
type kind struct {
	lat    latency // of calls to any of them
	keep   Time    // idle time up to which connections are known to stay usable
	again  float64 // share of calls after a refusal that succeeded
	drops  float64 // share of calls on idle connections that failed although the next call succeeded
	scarce Time    // destinations are assumed to be short of connections until then
	low    Time    // lower bound of the response timeout of a destination without samples, used by lookout.go
}

// latency is a running mean and mean deviation of latencies, in microseconds.
type latency struct {
	mean float64
	dev  float64
	n    float64 // number of samples
}

func (l *latency) add(v, gain float64) {
	l.n++
	l.dev += gain * (math.Abs(v-l.mean) - l.dev)
	l.mean += gain * (v - l.mean)
}

// limit bounds the rate of calls to a destination, or to one endpoint where endpoints have limits of their own
// (Kind.RoutesApart).
type limit struct {
	wait      Time        // no call before then: a told wait or a backoff
	allow     float64     // share of this dispatcher's demand that may be sent, as of allowAt
	bound     float64     // listed or reported rate in calls a second, 0 if there is none
	grow      float64     // growth of allow per second
	allowAt   Time        // possibly in the future, at the end of a wait
	tokens    pace.Bucket // calls that are permitted; not used while free
	free      bool        // no rate limit is known or inferred
	cutAt     Time        // when allow was last cut
	okAt      Time        // time of the last success
	fullSince Time        // time of the first refusal since the last success, 0 if there was none
	told      Time        // end of the told wait, without backoffs
	chance    float64     // share of calls that are refused at random, whatever the rate
	devs      float64     // standard deviations above that share that still count as random
	cutFor    float64     // share of refused calls that led to the last cut
	lows      float64     // calls since the last cut that went out at well below the accepted rate
	lowTo     float64     // largest share of the demand that is well below the accepted rate
	cuts      int         // cuts since the last success that were made without a told wait
	streak    int         // refusals in a row
	bad       int         // failed connections and timeouts in a row, over all its endpoints
	ok        meter       // successful calls
	no        meter       // refusals since the last cut
	all       meter       // all calls that ended since the last cut
}

// allowed returns the share of this dispatcher's demand that may be sent at a time.
func (p *limit) allowed(now Time) float64 {
	if p.allow >= unfelt {
		return p.allow
	}
	return min(unfelt, p.allow+p.grow*now.Since(p.allowAt).Seconds())
}

// dest is a destination: its queues, its turn, its window and what was learned about it.
type dest struct {
	// The fields that each scan reads come first, next to each other in memory.
	standing standing
	rousing  bool    // in rounds.roused
	live     bool    // it had messages queued or out when that was last checked
	starting bool    // its window still grows with each success, until a first call fails
	bare     bool    // in Dispatcher.bare
	seq      uint64  // number given each time it becomes active, breaks ties between equal turns
	acc      float64 // slot time used so far, divided by its weight (see charge); the least has the next turn
	held     int     // messages in its queues
	blocked  uint64  // last round that found it unable to send
	eps      []*endpoint
	kind     *kind
	limit    *limit
	demand   meter
	served   meter   // delivered messages
	steady   float64 // delivered messages per second before its outage, 0 if not known

	no      int     // number by which clients and lists name it
	at      int     // position in Dispatcher.dests
	open    int     // messages without a final result
	share   float64 // listed weight, 1 if there is none
	lanes   []lane  // two for each class, the second for messages worth less (message.over); the oldest message first
	w       int     // calls out
	wmax    int     // window: most calls out
	ends    int     // calls that ended since the window was last revised
	badEnds int     // those of them that failed
	lat     latency
	base    float64 // long-term mean of its latency, against which slowness is measured
	had     bool    // it had a ready endpoint before the complete list that is being applied
	outage  bool    // an endpoint had failed or was cold when the last ready one left
	listed  uint64  // number of the list by which its first window was set

	places  [orders]int // position in each order, counted from 1; 0 if it is not in it
	weighed int         // its calls that are counted in rounds.sickOut
	worst   *message    // the message that is worth least, as of round worstIn
	worstAt float64     // what it is worth
	worstIn uint64
}

// comings holds the endpoints and destinations that may soon be removed, and what depends on the number of destinations
// listed.
type comings struct {
	leaving []*endpoint // endpoints listed as gone that their destinations still have
	bare    []*dest     // destinations that had no endpoints when last checked
	lists   uint64      // number of the newest list
	fair    int         // fair share of the slots as of that list
}

// meter is a rate with exponential decay.
type meter struct {
	v     float64 // sum of what was counted, decayed to the time at
	at    Time
	tau   Time // time constant of the decay
	t0    Time // when counting began
	terms terms
}

// terms caches the factors of a meter's rate for one time, as the rate is read several times in a round.
type terms struct {
	now    Time
	at     Time
	t0     Time
	decay  float64 // factor by which v has decayed since at
	filled float64 // share of the memory that is filled, less than 1 while the history is short
}

func (m *meter) add(now Time, n float64) {
	m.v = m.v*math.Exp(-float64(now-m.at)/float64(m.tau)) + n
	m.at = now
}

// came counts one arrival of a given age, with the weight that it has left after the decay.
func (m *meter) came(now, age Time) {
	if age > 0 {
		m.t0 = min(m.t0, now-age)
	}
	m.add(now, math.Exp(-float64(age)/float64(m.tau)))
}

// fullAfter is the number of time constants after which a meter's memory counts as filled: exp(-38) is less than half of
// the last bit of a float64 near 1.
const fullAfter = 38

// of returns the terms of a time.
func (m *meter) of(now Time) *terms {
	t := &m.terms
	if t.now != now || t.at != m.at || t.t0 != m.t0 || t.filled == 0 {
		*t = terms{now: now, at: m.at, t0: m.t0, decay: math.Exp(-float64(now-m.at) / float64(m.tau)), filled: 1}
		if old := now - m.t0 + meterStart; old < fullAfter*m.tau {
			t.filled -= math.Exp(-float64(old) / float64(m.tau))
		}
	}
	return t
}

// rate returns the rate per second. It is corrected for a history shorter than the memory.
func (m *meter) rate(now Time) float64 {
	t := m.of(now)
	return m.v * t.decay / m.tau.Seconds() / t.filled
}

// put adds a message to its queue, in order of arrival.
func (t *dest) put(m *message) {
	t.lanes[m.lane].put(m)
	m.held = true
	t.held++
}

// drop removes a message from its queue, if it is queued.
func (t *dest) drop(m *message) {
	if !m.held {
		return
	}
	t.lanes[m.lane].drop(m)
	t.held--
	m.held = false
}

// trying reports whether a trial call is out.
func (ep *endpoint) trying() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// ready counts the endpoints that are listed as ready.
func (t *dest) ready() (n int) {
	for _, ep := range t.eps {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a pseudo-random number in [0, 1) that depends only on the seed (xorshift64).
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

// answers returns a meter for calls and their results.
func (d *Dispatcher) answers() meter { return meter{tau: rateTau, at: d.now, t0: d.now} }

// newLimit returns a limit that restricts nothing yet.
func (d *Dispatcher) newLimit() *limit {
	return &limit{
		tokens: pace.NewBucket(d.now, 1), allow: unfelt, free: true, chance: chanceFirst, devs: 1,
		ok: d.answers(), no: d.answers(), all: d.answers(),
	}
}

// byAim compares the time of a message's aim with another time, for a binary search.
func byAim(m *message, at Time) int { return cmp.Compare(m.born+m.class.Aim, at) }

// worth returns what the message is worth if it is delivered at t.
func (d *Dispatcher) worth(m *message, t Time) float64 {
	c, v := m.class, m.class.Worth
	if m.over {
		v *= d.set.OverShare
	}
	late := t - m.born - c.Aim
	switch {
	case t >= m.deadline:
		return 0
	case late <= 0:
		return v
	case d.set.LateHalving:
		return v * max(c.LateWorth, math.Exp2(-float64(late)/float64(max(c.Aim, 1))))
	}
	return v * (1 - (1-c.LateWorth)*float64(late)/float64(max(c.Deadline-c.Aim, 1)))
}

// tidiedAtOnce is the most entries of each sort that tidy removes in one Step. The next Step goes on with the rest.
const tidiedAtOnce = 1000

// tidy removes state that is no longer needed: endpoints that are gone, unlisted destinations and order keys without
// messages. What still binds is kept: told waits, endpoints and destinations with calls out, and keys for which an attempt
// may still be running.
func (d *Dispatcher) tidy() {
	var went [4]int // removed entries of each sort
	more := func(i int) bool {
		if went[i] == tidiedAtOnce {
			d.tidied = d.now - seldom
			return false
		}
		went[i]++
		return true
	}
	d.leaving = slices.DeleteFunc(d.leaving, func(ep *endpoint) bool {
		t := ep.dest
		switch {
		case ep.health != Gone: // listed again
			ep.leaving = false
		case len(ep.calls) == 0 && ep.limit.wait <= d.now && more(0):
			ep.leaving = false
			d.rouse(t)
			t.eps = slices.DeleteFunc(t.eps, func(o *endpoint) bool { return o == ep })
			d.away = append(d.away, ep)
			d.weigh(t)
			d.isBare(t)
		}
		return !ep.leaving
	})
	// An endpoint that was suspect or cold when it left is still so if it returns soon.
	d.away = slices.DeleteFunc(d.away, func(ep *endpoint) bool {
		if ep.health != Gone { // listed again
			return true
		}
		old := (!d.ill(ep) || d.now-max(ep.failedAt, ep.coldAt) > doubtFade*d.set.WarmUp) && more(1)
		if old {
			delete(d.byID, ep.id)
		}
		return old
	})
	d.bare = slices.DeleteFunc(d.bare, func(t *dest) bool {
		switch {
		case len(t.eps) > 0:
			t.bare = false
		case t.open == 0 && t.w == 0 && t.limit.wait <= d.now && more(2):
			t.bare = false
			delete(d.byNo, t.no)
			last := len(d.dests) - 1
			d.dests[t.at] = d.dests[last]
			d.dests[t.at].at = t.at
			d.dests[last] = nil
			d.dests = d.dests[:last]
		}
		return !t.bare
	})
	d.noShed()
	d.resting = slices.DeleteFunc(d.resting, func(k *keyTurn) bool {
		old := len(k.queue) == 0 && k.rest <= d.now && more(3)
		if old {
			delete(d.keys, k.key)
		}
		return old
	})
}

// note emits a log line for operators, unless there was one recently.
func (d *Dispatcher) note(t *dest, what string) {
	if d.now >= d.noteAt {
		d.noteAt = d.now + seldom
		d.out = append(d.out, Action{Kind: Note, Text: fmt.Sprintf("destination %d %s", t.no, what)})
	}
}

// dest returns the destination with a number, and creates it on first use.
func (d *Dispatcher) dest(no int) *dest {
	t := d.byNo[no]
	if t == nil {
		t = &dest{no: no, share: 1, starting: true, lanes: make([]lane, 2*len(d.set.Classes))}
		t.kind = d.kinds[0]
		t.limit = d.newLimit()
		t.demand = meter{tau: demandTau, at: d.now, t0: d.now}
		t.served = t.demand
		d.byNo[no] = t
		t.at = len(d.dests)
		d.dests = append(d.dests, t)
		t.wmax, t.listed = d.fairShare(), d.lists
		d.isBare(t)
	}
	return t
}

// isBare makes tidy check whether a destination can be removed, if it has no endpoints.
func (d *Dispatcher) isBare(t *dest) {
	if len(t.eps) == 0 && !t.bare {
		t.bare = true
		d.bare = append(d.bare, t)
	}
}

// goes makes tidy check whether an endpoint can be removed, if it is listed as gone.
func (d *Dispatcher) goes(ep *endpoint) {
	if ep.health == Gone && !ep.leaving {
		ep.leaving = true
		d.leaving = append(d.leaving, ep)
	}
}

// list applies a new endpoint list. Endpoints that a complete list leaves out are gone.
func (d *Dispatcher) list(e *Event) {
	if e.ListKind == ListFailed {
		return
	}
	if e.ListKind != ListDelta {
		for _, t := range d.dests {
			d.rouse(t)
			t.had = t.ready() > 0
			for _, ep := range t.eps {
				ep.health = Gone
				d.goes(ep)
			}
		}
	}
	for i := range e.Entries {
		d.entry(&e.Entries[i])
	}
	if e.ListKind != ListDelta {
		for _, t := range d.dests {
			if t.had && t.ready() == 0 {
				d.deserted(t)
			}
		}
	}
	d.lists++
	if was := d.fair; len(d.dests) > 0 {
		if d.fair = d.fairShare(); d.fair != was {
			d.rouseAll() // destinations whose first window this is may send more now
		}
	}
}

// entry applies one entry of an endpoint list.
func (d *Dispatcher) entry(n *Entry) {
	t := d.dest(n.Dest)
	d.rouse(t)
	d.watchBy(t, d.now)
	batch, apart := 1, false
	if n.Kind >= 0 && n.Kind < len(d.set.Kinds) {
		t.kind = d.kinds[n.Kind]
		batch, apart = d.set.Kinds[n.Kind].Batch, d.set.Kinds[n.Kind].RoutesApart
	}
	ep := d.byID[n.Endpoint]
	if ep == nil {
		ep = &endpoint{id: n.Endpoint, dest: t, limit: t.limit}
		if apart {
			ep.limit = d.newLimit()
		}
		d.byID[n.Endpoint] = ep
	}
	if ep.dest.no != t.no {
		return // an endpoint does not change its destination
	}
	if ep.dest != t { // the destination was removed and created again, while the endpoint was kept
		ep.dest = t
		if !apart {
			ep.limit = t.limit
		}
	}
	if !slices.Contains(t.eps, ep) {
		d.joined(t, ep)
		t.eps = append(t.eps, ep)
	}
	was := ep.health
	ep.zone, ep.health, ep.batch = n.Zone, n.Health, batch
	if was == Ready && n.Health != Ready && t.ready() == 0 {
		d.deserted(t)
	}
	d.goes(ep)
	d.weigh(t)
	if n.Weight > 0 && d.set.Weights != WeightNone {
		t.share = n.Weight
		ep.limit.bound = n.Weight * d.slack
	}
	d.repace(t)
}

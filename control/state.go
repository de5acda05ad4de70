package control

// State that control.go decides with, and the plain upkeep of it. Nothing is decided here.

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"curlewmux/pace"
)

// message is one message from arrival to its end and its last outcome.
type message struct {
	id        MessageID
	class     *Class
	dest      *dest
	lane      int
	key       *keyTurn
	born      Time // when it was first handed in
	deadline  Time // when it is given up
	arrived   uint64
	over      bool
	held      bool
	ended     bool
	resent    bool // from the store of undelivered ones: where nothing else comes it is the trial
	tries     int
	out       *call
	doubt     bool // an attempt may have run ...
	doubtAt   Time // ... the first such was sent then ...
	doubtZone int  // ... to this zone
}

// call is one call out, holding a slot: a message, or several of one round.
type call struct {
	ep      *endpoint
	sent    Time
	msgs    []*message
	left    int
	trial   bool // a trial of a suspect
	asked   bool // called off by us
	learned bool // an outcome was learned from
	low     bool // it went at well under what is answered there
	idle    Time // how long the connection that it went out on had been idle, 0 if new or in use
}

// keyTurn orders the messages that share a key.
type keyTurn struct {
	key    uint64
	queue  []*message
	rest   Time
	by     *message // whose doubt it rests for, nil if an earlier process's
	parked bool     // in the list of those at rest
}

// rests tells whether a message waits for its key's rest: for the doubt of another, or, not sent yet, for any.
func (m *message) rests(now Time) bool {
	return now < m.key.rest && (m.tries == 0 || m.key.by != nil && m.key.by != m)
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	// What each look at its destination reads stands together.
	health   Health
	suspect  bool // not fed
	proven   bool // its last failure proved that calls do not run
	leaving  bool // in the list of those that are listed gone
	open     bool // a connection is thought open
	limit    *limit
	dest     *dest
	bad      int         // calls in a row that met nobody or silence
	errs     int         // answers in a row that were errors
	trialAt  Time        // next trial
	failedAt Time        // while suspect: when the last failure was known
	coldAt   Time        // start of its ramp, 0 none; it may lie ahead
	ramp     pace.Bucket // calls that it may be sent while it is cold or in an outage
	calls    []*call     // out, oldest first
	id       Endpoint
	zone     int
	batch    int  // most messages in one call
	used     Time // last use
	heard    Time // last answer
	okSent   Time // send time of the newest call answered ok
	dropped  Time // idle age of the connection on which the last failed call went out
	downAt   Time // while suspect: since when
	trialGap Time // while suspect: how long until the trial after the next
}

// kind is what the destinations of one kind have in common.
type kind struct {
	lat    latency
	keep   Time    // idle age up to which connections are known to hold
	again  float64 // how often the call after a refusal went well
	drops  float64 // share of calls on idle connections that failed where the next one went well
	scarce Time    // until then connections are taken to be scarce
	low    Time    // silence of a destination without samples: lookout.go reckons with no less
}

// latency is a running mean and deviation.
type latency struct {
	mean float64
	dev  float64
	n    float64
}

func (l *latency) add(v, gain float64) {
	l.n++
	l.dev += gain * (math.Abs(v-l.mean) - l.dev)
	l.mean += gain * (v - l.mean)
}

// limit is what bounds the rate to a destination, or to one route where routes are apart.
type limit struct {
	wait      Time        // told, or our own backoff
	allow     float64     // share of the own demand let go, as of allowAt
	bound     float64     // listed or reported rate
	grow      float64     // of allow, a second
	allowAt   Time        // it may lie ahead, at the end of a wait
	tokens    pace.Bucket // calls that it lets go; of no use while free
	free      bool        // no limit is felt
	cutAt     Time
	okAt      Time
	fullSince Time
	told      Time    // end of the told wait alone
	chance    float64 // share of the calls that it refuses whatever comes
	devs      float64 // in how far more are chance, too
	cutFor    float64 // share refused that led to the last cut
	lows      float64 // calls at well under what was answered since the last cut
	lowTo     float64 // share of the own demand up to which calls are well under it
	cuts      int     // in a row
	streak    int     // refusals in a row
	bad       int     // calls in a row that met nobody or silence, at all its endpoints
	ok        meter   // answers with 200
	no        meter   // refusals since the last cut
	all       meter   // all calls that ended since the last cut
}

// allowed is the share of the own demand that is let go at a moment.
func (p *limit) allowed(now Time) float64 {
	if p.allow >= unfelt {
		return p.allow
	}
	return min(unfelt, p.allow+p.grow*now.Since(p.allowAt).Seconds())
}

// dest is a destination: its hold, turn counter, window and what was learned.
type dest struct {
	// What each look reads stands together.
	standing standing
	rousing  bool // in the list of those roused
	live     bool // it had messages held or out when that was last looked for ...
	starting bool
	bare     bool   // in the list of those that had no endpoint
	seq      uint64 // its number among those that came into use
	acc      float64
	held     int
	blocked  uint64 // round in which nothing more can go
	eps      []*endpoint
	kind     *kind
	limit    *limit
	demand   meter
	served   meter   // answers with 200, by message
	steady   float64 // messages a second that were served before its outage

	no      int
	at      int // in the list of all
	open    int // messages owed an answer
	share   float64
	lanes   []lane // by class and over-share, oldest first
	w       int
	wmax    int
	ends    int
	badEnds int
	lat     latency
	base    float64 // the long view of its latency
	had     bool    // an endpoint of it was listed ready before this whole list
	outage  bool    // its endpoints had failed or were cold when the last one of them left
	listed  uint64  // the list that its first window goes by

	places  [orders]int // in each order, from 1
	weighed int         // its part in rounds.sickOut
	worst   *message    // least worth, as of round worstIn
	worstAt float64
	worstIn uint64
}

// comings are endpoints and destinations that may be of no more use soon, and what lists said of how many there are.
type comings struct {
	leaving []*endpoint // listed gone, and still with their destinations
	bare    []*dest     // without endpoints when that was last looked for
	lists   uint64      // number of the newest list
	fair    int         // fair share of the slots since then
}

// meter is a rate with exponential decay.
type meter struct {
	v     float64
	at    Time
	tau   Time
	t0    Time
	terms terms
}

// terms are what a meter's figures go by at one moment, for which they are asked for several times.
type terms struct {
	now    Time
	at     Time
	t0     Time
	decay  float64 // what is left of v
	filled float64 // the part of the memory that is filled
}

func (m *meter) add(now Time, n float64) {
	m.v = m.v*math.Exp(-float64(now-m.at)/float64(m.tau)) + n
	m.at = now
}

// came counts one that came so long ago, as far as it is still remembered.
func (m *meter) came(now, age Time) {
	if age > 0 {
		m.t0 = min(m.t0, now-age)
	}
	m.add(now, math.Exp(-float64(age)/float64(m.tau)))
}

// fullAfter is after how many times its memory a meter's is filled to the last bit: exp(-38) is under half of it.
const fullAfter = 38

// of are the terms of a moment.
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

// rate is per second; the start is corrected for the short history.
func (m *meter) rate(now Time) float64 {
	t := m.of(now)
	return m.v * t.decay / m.tau.Seconds() / t.filled
}

// put adds a message to its lane, which is in order of arrival.
func (t *dest) put(m *message) {
	t.lanes[m.lane].put(m)
	m.held = true
	t.held++
}

// drop takes a message out of its lane, if it is in one.
func (t *dest) drop(m *message) {
	if !m.held {
		return
	}
	t.lanes[m.lane].drop(m)
	t.held--
	m.held = false
}

// trying tells whether a trial is out.
func (ep *endpoint) trying() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// ready counts the endpoints listed ready.
func (t *dest) ready() (n int) {
	for _, ep := range t.eps {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a number from 0 to 1, from the seed alone.
func (d *Dispatcher) random() float64 {
	d.rng ^= d.rng << 13
	d.rng ^= d.rng >> 7
	d.rng ^= d.rng << 17
	return float64(d.rng>>11) / (1 << 53)
}

func (d *Dispatcher) answers() meter { return meter{tau: rateTau, at: d.now, t0: d.now} }

func (d *Dispatcher) newLimit() *limit {
	return &limit{
		tokens: pace.NewBucket(d.now, 1), allow: unfelt, free: true, chance: chanceFirst, devs: 1,
		ok: d.answers(), no: d.answers(), all: d.answers(),
	}
}

func byAim(m *message, at Time) int { return cmp.Compare(m.born+m.class.Aim, at) }

// worth is what delivering the message at t would earn.
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

// tidiedAtOnce is how many of each are forgotten in one Step at most; the next goes on.
const tidiedAtOnce = 1000

// tidy forgets what is of no more use: gone endpoints without calls, unlisted destinations and keys at rest.
// A told wait binds until it is over, a drain while calls are out, and a key's rest while it lasts.
func (d *Dispatcher) tidy() {
	var went [4]int // of each
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
		case ep.health != Gone: // it is back
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
	// One that failed or was cold when it went is that still if it returns.
	d.away = slices.DeleteFunc(d.away, func(ep *endpoint) bool {
		if ep.health != Gone { // it is back
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

// note tells the operators something, if nothing else was told lately.
func (d *Dispatcher) note(t *dest, what string) {
	if d.now >= d.noteAt {
		d.noteAt = d.now + seldom
		d.out = append(d.out, Action{Kind: Note, Text: fmt.Sprintf("destination %d %s", t.no, what)})
	}
}

// dest returns a destination, making it when it is first heard of.
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

// isBare has tidy look whether a destination without endpoints is of any more use.
func (d *Dispatcher) isBare(t *dest) {
	if len(t.eps) == 0 && !t.bare {
		t.bare = true
		d.bare = append(d.bare, t)
	}
}

// goes has tidy look whether an endpoint that is listed gone is of any more use.
func (d *Dispatcher) goes(ep *endpoint) {
	if ep.health == Gone && !ep.leaving {
		ep.leaving = true
		d.leaving = append(d.leaving, ep)
	}
}

// list takes a new endpoint list; what a whole list leaves out is gone.
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
			d.rouseAll() // those whose first window it is may have room now
		}
	}
}

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
	if ep.dest != t { // all was forgotten of the destination, but not of the endpoint
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

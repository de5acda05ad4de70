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
	id                       MessageID
	class                    *Class
	destination              *destination
	queueIndex               int
	key                      *orderKey
	submittedAt, deadline    Time // when it was first handed in, when it is given up
	arrivalNumber            uint64
	overShare, queued, ended bool
	resent                   bool // from the store of undelivered ones: where nothing else comes it is the trial
	tries                    int
	call                     *call
	inDoubt                  bool // an attempt may have run ...
	doubtSince               Time // ... the first such was sent then ...
	doubtZone                int  // ... to this zone
}

// call is one call out, holding a slot: a message, or several of one round.
type call struct {
	endpoint               *endpoint
	sentAt                 Time
	messages               []*message
	unsettled              int
	trial, cancelRequested bool // a trial of a suspect; called off by us
	learned                bool // an outcome was learned from
	wellBelowLimit         bool // it went at well under what is answered there
	connIdle               Time // how long the connection that it went out on had been idle, 0 if new or in use
}

// orderKey orders the messages that share a key.
type orderKey struct {
	id             uint64
	queue          []*message
	blockedUntil   Time
	doubtful       *message // whose doubt it rests for, nil if an earlier process's
	cleanupPending bool     // in the list of those at rest
}

// blockedByKey tells whether a message waits for its key's rest: for the doubt of another, or, not sent yet, for any.
func (m *message) blockedByKey(now Time) bool {
	return now < m.key.blockedUntil && (m.tries == 0 || m.key.doubtful != nil && m.key.doubtful != m)
}

// endpoint is a place to send to, with its own health.
type endpoint struct {
	// What each look at its destination reads stands together.
	health                     Health
	suspect, provenDown        bool // not fed; its last failure proved that calls do not run
	leaving                    bool // in the list of those that are listed gone
	connOpen                   bool // a connection is thought open
	limit                      *rateLimit
	destination                *destination
	failureStreak, errorStreak int         // calls in a row that met nobody or silence; answers in a row that were errors
	nextTrialAt                Time        // next trial
	lastFailureAt              Time        // while suspect: when the last failure was known
	rampStart                  Time        // start of its ramp, 0 none; it may lie ahead
	ramp                       pace.Bucket // calls that it may be sent while it is cold or in an outage
	calls                      []*call     // out, oldest first
	id                         Endpoint
	zone, batch                int  // batch: most messages in one call
	lastUsedAt, lastResponseAt Time // last use; last answer
	lastOKSentAt               Time // send time of the newest call answered ok
	failedConnIdle             Time // idle age of the connection on which the last failed call went out
	downSince, trialInterval   Time // while suspect: since when; how long until the trial after the next
}

// kindState is what the destinations of one kind have in common.
type kindState struct {
	latencyStats     latencyStats
	safeIdle         Time    // idle age up to which connections are known to hold
	retrySuccess     float64 // how often the call after a refusal went well
	idleDropShare    float64 // share of calls on idle connections that failed where the next one went well
	connsScarceUntil Time    // until then connections are taken to be scarce
	timeoutFloor     Time    // silence of a destination without samples: lookout.go reckons with no less
}

// latencyStats is a running mean and deviation.
type latencyStats struct{ mean, deviation, samples float64 }

func (l *latencyStats) add(v, gain float64) {
	l.samples++
	l.deviation += gain * (math.Abs(v-l.mean) - l.deviation)
	l.mean += gain * (v - l.mean)
}

// rateLimit is what bounds the rate to a destination, or to one route where routes are apart.
type rateLimit struct {
	waitUntil                        Time        // told, or our own backoff
	allowedShare, knownRate          float64     // share of the own demand let go, as of shareSince; listed or reported rate
	shareGrowth                      float64     // termsAt allow, a second
	shareSince                       Time        // it may lie ahead, at the end of a wait
	tokens                           pace.Bucket // calls that it lets go; of no use while free
	unlimited                        bool        // no limit is felt
	lastCutAt, lastOKAt              Time
	refusedSince                     Time
	toldWaitUntil                    Time    // end of the told wait alone
	randomShare, toleratedDeviations float64 // weight of the calls that it refuses whatever comes; in how far more are chance, too
	cutRefusedShare                  float64 // share refused that led to the last cut
	wellBelowCalls                   float64 // calls at well under what was answered since the last cut
	wellBelowShare                   float64 // share of the own demand up to which calls are well under it
	cutStreak                        int     // in a row
	refusalStreak, failureStreak     int     // refusals in a row; calls in a row that met nobody or silence, at all its endpoints
	okMeter                          meter   // answers with 200
	refusedMeter, endedMeter         meter   // refusals, and all calls that ended, since the last cut
}

// allowedShareAt is the share of the own demand that is let go at a moment.
func (p *rateLimit) allowedShareAt(now Time) float64 {
	if p.allowedShare >= unlimitedShare {
		return p.allowedShare
	}
	return min(unlimitedShare, p.allowedShare+p.shareGrowth*now.Since(p.shareSince).Seconds())
}

// destination is a destination: its hold, turn counter, window and what was learned.
type destination struct {
	// What each look reads stands together.
	state            roundState
	wakePending      bool // in the list of those roused
	active           bool // it had messages held or out when that was last looked for ...
	windowSlowStart  bool
	cleanupPending   bool   // in the list of those that had no endpoint
	activation       uint64 // its number among those that came into use
	virtualTime      float64
	queued           int
	blockedRound     uint64 // round in which nothing more can go
	endpoints        []*endpoint
	kind             *kindState
	limit            *rateLimit
	demand           meter
	served           meter   // answers with 200, by message
	rateBeforeOutage float64 // messages a second that were served before its outage

	number                  int
	index                   int // in the list of all
	openMessages            int // messages owed an answer
	weight                  float64
	queues                  []messageQueue // by class and over-share, oldest first
	callsOut, window        int
	endedCalls, failedCalls int
	latencyStats            latencyStats
	longTermLatency         float64 // the long view of its latency
	hadReady                bool    // an endpoint of it was listed ready before this whole list
	outageRemembered        bool    // its endpoints had failed or were cold when the last one of them left
	windowList              uint64  // the list that its first window goes by

	heapPositions     [heapCount]int // in each order, from 1
	unhealthyCalls    int            // its part in rounds.unhealthyCalls
	leastWorthMessage *message       // least worth, as of round leastWorthRound
	leastWorth        float64
	leastWorthRound   uint64
}

// listState are endpoints and destinations that may be of no more use soon, and what lists said of how many there are.
type listState struct {
	leaving          []*endpoint    // listed gone, and still with their destinations
	withoutEndpoints []*destination // without endpoints when that was last looked for
	listNumber       uint64         // number of the newest list
	fairWindow       int            // fair share of the slots since then
}

// meter is a rate with exponential decay.
type meter struct {
	sum                 float64
	at, memory, started Time
	terms               terms
}

// terms are what a meter's figures go by at one moment, for which they are asked for several times.
type terms struct {
	now, at, started Time    // what they are of
	decay, filled    float64 // what is left of v, and the part of the memory that is filled
}

func (m *meter) add(now Time, n float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.at)/float64(m.memory)) + n
	m.at = now
}

// addAged counts one that came so long ago, as far as it is still remembered.
func (m *meter) addAged(now, age Time) {
	if age > 0 {
		m.started = min(m.started, now-age)
	}
	m.add(now, math.Exp(-float64(age)/float64(m.memory)))
}

// filledAfter is after how many times its memory a meter's is filled to the last bit: exp(-38) is under half of it.
const filledAfter = 38

// termsAt are the terms of a moment.
func (m *meter) termsAt(now Time) *terms {
	t := &m.terms
	if t.now != now || t.at != m.at || t.started != m.started || t.filled == 0 {
		*t = terms{now: now, at: m.at, started: m.started, decay: math.Exp(-float64(now-m.at) / float64(m.memory)), filled: 1}
		if old := now - m.started + initialMeterHistory; old < filledAfter*m.memory {
			t.filled -= math.Exp(-float64(old) / float64(m.memory))
		}
	}
	return t
}

// rate is per second; the start is corrected for the short history.
func (m *meter) rate(now Time) float64 {
	t := m.termsAt(now)
	return m.sum * t.decay / m.memory.Seconds() / t.filled
}

// insert adds a message to its lane, which is in order of arrival.
func (t *destination) enqueue(m *message) {
	t.queues[m.queueIndex].insert(m)
	m.queued = true
	t.queued++
}

// remove takes a message out of its lane, if it is in one.
func (t *destination) dequeue(m *message) {
	if !m.queued {
		return
	}
	t.queues[m.queueIndex].remove(m)
	t.queued--
	m.queued = false
}

// hasTrialOut tells whether a trial is out.
func (ep *endpoint) hasTrialOut() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// runnable counts the endpoints listed ready.
func (t *destination) readyCount() (n int) {
	for _, ep := range t.endpoints {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a number from 0 to 1, from the seed alone.
func (d *Dispatcher) random() float64 {
	d.randomState ^= d.randomState << 13
	d.randomState ^= d.randomState >> 7
	d.randomState ^= d.randomState << 17
	return float64(d.randomState>>11) / (1 << 53)
}

func (d *Dispatcher) newCallMeter() meter { return meter{memory: rateTau, at: d.now, started: d.now} }

func (d *Dispatcher) newRateLimit() *rateLimit {
	return &rateLimit{
		tokens: pace.NewBucket(d.now, 1), allowedShare: unlimitedShare, unlimited: true, randomShare: initialRandomShare, toleratedDeviations: 1,
		okMeter: d.newCallMeter(), refusedMeter: d.newCallMeter(), endedMeter: d.newCallMeter(),
	}
}

func compareAim(m *message, at Time) int { return cmp.Compare(m.submittedAt+m.class.Aim, at) }

// worth is what delivering the message at t would earn.
func (d *Dispatcher) worth(m *message, t Time) float64 {
	c, v := m.class, m.class.Worth
	if m.overShare {
		v *= d.settings.OverShare
	}
	late := t - m.submittedAt - c.Aim
	switch {
	case t >= m.deadline:
		return 0
	case late <= 0:
		return v
	case d.settings.LateHalving:
		return v * max(c.LateWorth, math.Exp2(-float64(late)/float64(max(c.Aim, 1))))
	}
	return v * (1 - (1-c.LateWorth)*float64(late)/float64(max(c.Deadline-c.Aim, 1)))
}

// maxCleanupsPerStep is how many of each are forgotten in one Step at most; the next goes on.
const maxCleanupsPerStep = 1000

// cleanUp forgets what is of no more use: gone endpoints without calls, unlisted destinations and keys at rest.
// A told wait binds until it is over, a drain while calls are out, and a key's rest while it lasts.
func (d *Dispatcher) cleanUp() {
	var went [4]int // of each
	more := func(i int) bool {
		if went[i] == maxCleanupsPerStep {
			d.cleanedAt = d.now - cleanupInterval
			return false
		}
		went[i]++
		return true
	}
	d.leaving = slices.DeleteFunc(d.leaving, func(ep *endpoint) bool {
		t := ep.destination
		switch {
		case ep.health != Gone: // it is back
			ep.leaving = false
		case len(ep.calls) == 0 && ep.limit.waitUntil <= d.now && more(0):
			ep.leaving = false
			d.wakeDestination(t)
			t.endpoints = slices.DeleteFunc(t.endpoints, func(o *endpoint) bool { return o == ep })
			d.removed = append(d.removed, ep)
			d.countUnhealthyCalls(t)
			d.trackIfWithoutEndpoints(t)
		}
		return !ep.leaving
	})
	// One that failed or was cold when it went is that still if it returns.
	d.removed = slices.DeleteFunc(d.removed, func(ep *endpoint) bool {
		if ep.health != Gone { // it is back
			return true
		}
		old := (!d.unhealthy(ep) || d.now-max(ep.lastFailureAt, ep.rampStart) > unseenWarmUps*d.settings.WarmUp) && more(1)
		if old {
			delete(d.endpointByID, ep.id)
		}
		return old
	})
	d.withoutEndpoints = slices.DeleteFunc(d.withoutEndpoints, func(t *destination) bool {
		switch {
		case len(t.endpoints) > 0:
			t.cleanupPending = false
		case t.openMessages == 0 && t.callsOut == 0 && t.limit.waitUntil <= d.now && more(2):
			t.cleanupPending = false
			delete(d.destinationByNumber, t.number)
			last := len(d.destinations) - 1
			d.destinations[t.index] = d.destinations[last]
			d.destinations[t.index].index = t.index
			d.destinations[last] = nil
			d.destinations = d.destinations[:last]
		}
		return !t.cleanupPending
	})
	d.stopShedding()
	d.idleKeys = slices.DeleteFunc(d.idleKeys, func(k *orderKey) bool {
		old := len(k.queue) == 0 && k.blockedUntil <= d.now && more(3)
		if old {
			delete(d.keys, k.id)
		}
		return old
	})
}

// note tells the operators something, if nothing else was told lately.
func (d *Dispatcher) note(t *destination, what string) {
	if d.now >= d.nextNoteAt {
		d.nextNoteAt = d.now + cleanupInterval
		d.actions = append(d.actions, Action{Kind: Note, Text: fmt.Sprintf("destination %d %s", t.number, what)})
	}
}

// destination returns a destination, making it when it is first heard of.
func (d *Dispatcher) destination(no int) *destination {
	t := d.destinationByNumber[no]
	if t == nil {
		t = &destination{number: no, weight: 1, windowSlowStart: true, queues: make([]messageQueue, 2*len(d.settings.Classes))}
		t.kind = d.kinds[0]
		t.limit = d.newRateLimit()
		t.demand = meter{memory: demandTau, at: d.now, started: d.now}
		t.served = t.demand
		d.destinationByNumber[no] = t
		t.index = len(d.destinations)
		d.destinations = append(d.destinations, t)
		t.window, t.windowList = d.fairShare(), d.listNumber
		d.trackIfWithoutEndpoints(t)
	}
	return t
}

// trackIfWithoutEndpoints has tidy look whether a destination without endpoints is of any more use.
func (d *Dispatcher) trackIfWithoutEndpoints(t *destination) {
	if len(t.endpoints) == 0 && !t.cleanupPending {
		t.cleanupPending = true
		d.withoutEndpoints = append(d.withoutEndpoints, t)
	}
}

// notBlocked has tidy look whether an endpoint that is listed gone is of any more use.
func (d *Dispatcher) trackIfGone(ep *endpoint) {
	if ep.health == Gone && !ep.leaving {
		ep.leaving = true
		d.leaving = append(d.leaving, ep)
	}
}

// messages takes a new endpoint list; what a whole list leaves out is gone.
func (d *Dispatcher) applyList(e *Event) {
	if e.ListKind == ListFailed {
		return
	}
	if e.ListKind != ListDelta {
		for _, t := range d.destinations {
			d.wakeDestination(t)
			t.hadReady = t.readyCount() > 0
			for _, ep := range t.endpoints {
				ep.health = Gone
				d.trackIfGone(ep)
			}
		}
	}
	for i := range e.Entries {
		d.applyEntry(&e.Entries[i])
	}
	if e.ListKind != ListDelta {
		for _, t := range d.destinations {
			if t.hadReady && t.readyCount() == 0 {
				d.handleLastLeft(t)
			}
		}
	}
	d.listNumber++
	if was := d.fairWindow; len(d.destinations) > 0 {
		if d.fairWindow = d.fairShare(); d.fairWindow != was {
			d.wakeAll() // those whose first window it is may have room now
		}
	}
}

func (d *Dispatcher) applyEntry(n *Entry) {
	t := d.destination(n.Destination)
	d.wakeDestination(t)
	d.scheduleScan(t, d.now)
	batch, apart := 1, false
	if n.Kind >= 0 && n.Kind < len(d.settings.Kinds) {
		t.kind = d.kinds[n.Kind]
		batch, apart = d.settings.Kinds[n.Kind].Batch, d.settings.Kinds[n.Kind].RoutesApart
	}
	ep := d.endpointByID[n.Endpoint]
	if ep == nil {
		ep = &endpoint{id: n.Endpoint, destination: t, limit: t.limit}
		if apart {
			ep.limit = d.newRateLimit()
		}
		d.endpointByID[n.Endpoint] = ep
	}
	if ep.destination.number != t.number {
		return // an endpoint does not change its destination
	}
	if ep.destination != t { // all was forgotten of the destination, but not of the endpoint
		ep.destination = t
		if !apart {
			ep.limit = t.limit
		}
	}
	if !slices.Contains(t.endpoints, ep) {
		d.handleJoin(t, ep)
		t.endpoints = append(t.endpoints, ep)
	}
	was := ep.health
	ep.zone, ep.health, ep.batch = n.Zone, n.Health, batch
	if was == Ready && n.Health != Ready && t.readyCount() == 0 {
		d.handleLastLeft(t)
	}
	d.trackIfGone(ep)
	d.countUnhealthyCalls(t)
	if n.Weight > 0 && d.settings.Weights != WeightNone {
		t.weight = n.Weight
		ep.limit.knownRate = n.Weight * d.weightSlack
	}
	d.updateRates(t)
}

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
	id            MessageID
	class         *Class
	destination   *destination
	queueIndex    int
	key           *orderKey // nil if it has no order key
	submittedAt   Time      // when it was first submitted
	deadline      Time      // after which it is no longer delivered
	arrivalNumber uint64    // number of its arrival, by which queues are ordered
	overShare     bool      // worth less: its tenant is over its quota, or it is resent
	queued        bool      // it is in the queue of its destination
	ended         bool      // it has its final result; an attempt may still be out
	resent        bool      // an undelivered message sent again; may serve as a trial call whatever its class, as nothing else may come
	tries         int
	call          *call // the call that carries its current attempt, nil if none is out
	inDoubt       bool  // an attempt may have run
	doubtSince    Time  // send time of the first attempt that may have run
	doubtZone     int   // zone that this attempt was sent to
}

// call is one call that is out and holds a slot. It carries one message, or a batch of messages sent in one round.
type call struct {
	endpoint        *endpoint
	sentAt          Time
	messages        []*message
	unsettled       int  // messages that have no outcome yet
	trial           bool // a trial call to a suspect endpoint
	cancelRequested bool // it was asked to be cancelled
	learned         bool // one of its outcomes was used to update the statistics
	wellBelowLimit  bool // sent at well below the rate that the destination accepted, see rateLimit.wellBelowShare
	connIdle        Time // how long its connection had been idle, 0 if that is new or in use
}

// orderKey sequences the messages that share an order key.
type orderKey struct {
	id             uint64
	queue          []*message // messages with this key, the next one to send first
	blockedUntil   Time       // the next message waits until then: an attempt may still be running
	doubtful       *message   // the message whose attempt may still be running, nil if it is one of an earlier process
	cleanupPending bool       // in the list of keys without messages that cleanUp removes later
}

// blockedByKey reports whether a message has to wait because an attempt with its key may still be running. A message that was
// sent before does not wait for an attempt of its own.
func (m *message) blockedByKey(now Time) bool {
	return now < m.key.blockedUntil && (m.tries == 0 || m.key.doubtful != nil && m.key.doubtful != m)
}

// endpoint is one address of a destination, with its own health.
type endpoint struct {
	// The fields that each scan of the destination reads come first, next to each other in memory.
	health         Health
	suspect        bool // taken to be down: it gets only trial calls
	provenDown     bool // its last failure proves that calls do not run there
	leaving        bool // in Dispatcher.leaving
	connOpen       bool // a connection is assumed to be open
	limit          *rateLimit
	destination    *destination
	failureStreak  int         // failed connections and timeouts in a row
	errorStreak    int         // error responses in a row
	nextTrialAt    Time        // time of the next trial call
	lastFailureAt  Time        // while suspect: when the last failure was noticed
	rampStart      Time        // start of its ramp, possibly in the future; 0 if there is none
	ramp           pace.Bucket // calls that are permitted while it is cold or suspect
	calls          []*call     // calls out, the oldest first
	id             Endpoint
	zone           int
	batch          int  // most messages in one call
	lastUsedAt     Time // when a call last started or ended
	lastResponseAt Time // time of the last response
	lastOKSentAt   Time // latest send time of a call that succeeded
	failedConnIdle Time // how long the connection of the last failed call had been idle
	downSince      Time // while suspect: since when it is taken to be down
	trialInterval  Time // while suspect: time between the next trial call and the one after it
}

// kindState holds what was learned about all destinations of one kind.
type kindState struct {
	latencyStats     latencyStats // of calls to any of them
	safeIdle         Time         // idle time up to which connections are known to stay usable
	retrySuccess     float64      // share of calls after a refusal that succeeded
	idleDropShare    float64      // share of calls on idle connections that failed although the next call succeeded
	connsScarceUntil Time         // destinations are assumed to be short of connections until then
	timeoutFloor     Time         // lower bound of the response timeout of a destination without samples, used by lookout.go
}

// latencyStats is a running mean and mean deviation of latencies, in microseconds.
type latencyStats struct {
	mean      float64
	deviation float64
	samples   float64 // number of samples
}

func (l *latencyStats) add(v, gain float64) {
	l.samples++
	l.deviation += gain * (math.Abs(v-l.mean) - l.deviation)
	l.mean += gain * (v - l.mean)
}

// rateLimit bounds the rate of calls to a destination, or to one endpoint where endpoints have limits of their own
// (Kind.RoutesApart).
type rateLimit struct {
	waitUntil           Time        // no call before then: a told wait or a backoff
	allowedShare        float64     // share of this dispatcher's demand that may be sent, as of shareSince
	knownRate           float64     // listed or reported rate in calls a second, 0 if there is none
	shareGrowth         float64     // growth of allowedShare per second
	shareSince          Time        // possibly in the future, at the end of a wait
	tokens              pace.Bucket // calls that are permitted; not used while unlimited
	unlimited           bool        // no rate limit is known or inferred
	lastCutAt           Time        // when allowedShare was last cut
	lastOKAt            Time        // time of the last success
	refusedSince        Time        // time of the first refusal since the last success, 0 if there was none
	toldWaitUntil       Time        // end of the told wait, without backoffs
	randomShare         float64     // share of calls that are refused at random, whatever the rate
	toleratedDeviations float64     // standard deviations above that share that still count as random
	cutRefusedShare     float64     // share of refused calls that led to the last cut
	wellBelowCalls      float64     // calls since the last cut that went out at well below the accepted rate
	wellBelowShare      float64     // largest share of the demand that is well below the accepted rate
	cutStreak           int         // cuts since the last success that were made without a told wait
	refusalStreak       int         // refusals in a row
	failureStreak       int         // failed connections and timeouts in a row, over all its endpoints
	okMeter             meter       // successful calls
	refusedMeter        meter       // refusals since the last cut
	endedMeter          meter       // all calls that ended since the last cut
}

// allowedShareAt returns the share of this dispatcher's demand that may be sent at a time.
func (p *rateLimit) allowedShareAt(now Time) float64 {
	if p.allowedShare >= unlimitedShare {
		return p.allowedShare
	}
	return min(unlimitedShare, p.allowedShare+p.shareGrowth*now.Since(p.shareSince).Seconds())
}

// destination is a destination: its queues, its turn, its window and what was learned about it.
type destination struct {
	// The fields that each scan reads come first, next to each other in memory.
	state            roundState
	wakePending      bool    // in rounds.woken
	active           bool    // it had messages queued or out when that was last checked
	windowSlowStart  bool    // its window still grows with each success, until a first call fails
	cleanupPending   bool    // in Dispatcher.withoutEndpoints
	activation       uint64  // number given each time it becomes active, breaks ties between equal turns
	virtualTime      float64 // slot time used so far, divided by its weight; the least has the next turn
	queued           int     // messages in its queues
	blockedRound     uint64  // last round that found it unable to send
	endpoints        []*endpoint
	kind             *kindState
	limit            *rateLimit
	demand           meter
	served           meter   // delivered messages
	rateBeforeOutage float64 // delivered messages per second before its outage, 0 if not known

	number           int            // number by which clients and lists name it
	index            int            // position in the list of all destinations
	openMessages     int            // messages without a final result
	weight           float64        // listed weight, 1 if there is none
	queues           []messageQueue // two for each class, the second for messages worth less (message.overShare); the oldest message first
	callsOut         int            // calls out
	window           int            // window: most calls out
	endedCalls       int            // calls that ended since the window was last revised
	failedCalls      int            // those of them that failed
	latencyStats     latencyStats
	longTermLatency  float64 // long-term mean of its latency, against which slowness is measured
	hadReady         bool    // it had a ready endpoint before the complete list that is being applied
	outageRemembered bool    // an endpoint had failed or was cold when the last ready one left
	windowList       uint64  // number of the list by which its first window was set

	heapPositions     [heapCount]int // position in each heap, counted from 1; 0 if it is not in it
	unhealthyCalls    int            // its calls that are counted in rounds.unhealthyCalls
	leastWorthMessage *message       // the message that is worth least, as of leastWorthRound
	leastWorth        float64        // what it is worth
	leastWorthRound   uint64
}

// listState holds the endpoints and destinations that may soon be removed, and what depends on the number of destinations
// listed.
type listState struct {
	leaving          []*endpoint    // endpoints listed as gone that their destinations still have
	withoutEndpoints []*destination // destinations that had no endpoints when last checked
	listNumber       uint64         // number of the newest list
	fairWindow       int            // fair share of the slots as of that list
}

// meter is a rate with exponential decay.
type meter struct {
	sum     float64 // sum of what was counted, decayed to the time at
	at      Time
	memory  Time // time constant of the decay
	started Time // when counting began
	terms   terms
}

// terms caches the factors of a meter's rate for one time, as the rate is read several times in a round.
type terms struct {
	now     Time
	at      Time
	started Time
	decay   float64 // factor by which sum has decayed since at
	filled  float64 // share of the memory that is filled, less than 1 while the history is short
}

func (m *meter) add(now Time, n float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.at)/float64(m.memory)) + n
	m.at = now
}

// addAged counts one arrival of a given age, with the weight that it has left after the decay.
func (m *meter) addAged(now, age Time) {
	if age > 0 {
		m.started = min(m.started, now-age)
	}
	m.add(now, math.Exp(-float64(age)/float64(m.memory)))
}

// filledAfter is the number of time constants after which a meter's memory counts as filled: exp(-38) is less than half of
// the last bit of a float64 near 1.
const filledAfter = 38

// termsAt returns the terms of a time.
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

// rate returns the rate per second. It is corrected for a history shorter than the memory.
func (m *meter) rate(now Time) float64 {
	t := m.termsAt(now)
	return m.sum * t.decay / m.memory.Seconds() / t.filled
}

// enqueue adds a message to its queue, in order of arrival.
func (t *destination) enqueue(m *message) {
	t.queues[m.queueIndex].insert(m)
	m.queued = true
	t.queued++
}

// dequeue removes a message from its queue, if it is queued.
func (t *destination) dequeue(m *message) {
	if !m.queued {
		return
	}
	t.queues[m.queueIndex].remove(m)
	t.queued--
	m.queued = false
}

// hasTrialOut reports whether a trial call is out.
func (ep *endpoint) hasTrialOut() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// readyCount counts the endpoints that are listed as ready.
func (t *destination) readyCount() (n int) {
	for _, ep := range t.endpoints {
		if ep.health == Ready {
			n++
		}
	}
	return n
}

// random returns a pseudo-random number in [0, 1) that depends only on the seed (xorshift64).
func (d *Dispatcher) random() float64 {
	d.randomState ^= d.randomState << 13
	d.randomState ^= d.randomState >> 7
	d.randomState ^= d.randomState << 17
	return float64(d.randomState>>11) / (1 << 53)
}

// newCallMeter returns a meter for calls and their results.
func (d *Dispatcher) newCallMeter() meter { return meter{memory: rateTau, at: d.now, started: d.now} }

// newRateLimit returns a limit that restricts nothing yet.
func (d *Dispatcher) newRateLimit() *rateLimit {
	return &rateLimit{
		tokens: pace.NewBucket(d.now, 1), allowedShare: unlimitedShare, unlimited: true, randomShare: initialRandomShare, toleratedDeviations: 1,
		okMeter: d.newCallMeter(), refusedMeter: d.newCallMeter(), endedMeter: d.newCallMeter(),
	}
}

// compareAim compares the time of a message's aim with another time, for a binary search.
func compareAim(m *message, at Time) int { return cmp.Compare(m.submittedAt+m.class.Aim, at) }

// worth returns what the message is worth if it is delivered at t.
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

// maxCleanupsPerStep is the most entries of each sort that cleanUp removes in one Step. The next Step goes on with the rest.
const maxCleanupsPerStep = 1000

// cleanUp removes state that is no longer needed: endpoints that are gone, unlisted destinations and order keys without
// messages. What still binds is kept: told waits, endpoints and destinations with calls out, and keys for which an attempt
// may still be running.
func (d *Dispatcher) cleanUp() {
	var removed [4]int // removed entries of each sort
	mayRemove := func(i int) bool {
		if removed[i] == maxCleanupsPerStep {
			d.cleanedAt = d.now - cleanupInterval
			return false
		}
		removed[i]++
		return true
	}
	d.leaving = slices.DeleteFunc(d.leaving, func(ep *endpoint) bool {
		t := ep.destination
		switch {
		case ep.health != Gone: // listed again
			ep.leaving = false
		case len(ep.calls) == 0 && ep.limit.waitUntil <= d.now && mayRemove(0):
			ep.leaving = false
			d.wakeDestination(t)
			t.endpoints = slices.DeleteFunc(t.endpoints, func(o *endpoint) bool { return o == ep })
			d.removed = append(d.removed, ep)
			d.countUnhealthyCalls(t)
			d.trackIfWithoutEndpoints(t)
		}
		return !ep.leaving
	})
	// An endpoint that was suspect or cold when it left is still so if it returns soon.
	d.removed = slices.DeleteFunc(d.removed, func(ep *endpoint) bool {
		if ep.health != Gone { // listed again
			return true
		}
		old := (!d.unhealthy(ep) || d.now-max(ep.lastFailureAt, ep.rampStart) > unseenWarmUps*d.settings.WarmUp) && mayRemove(1)
		if old {
			delete(d.endpointByID, ep.id)
		}
		return old
	})
	d.withoutEndpoints = slices.DeleteFunc(d.withoutEndpoints, func(t *destination) bool {
		switch {
		case len(t.endpoints) > 0:
			t.cleanupPending = false
		case t.openMessages == 0 && t.callsOut == 0 && t.limit.waitUntil <= d.now && mayRemove(2):
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
		old := len(k.queue) == 0 && k.blockedUntil <= d.now && mayRemove(3)
		if old {
			delete(d.keys, k.id)
		}
		return old
	})
}

// note emits a log line for operators, unless there was one recently.
func (d *Dispatcher) note(t *destination, what string) {
	if d.now >= d.nextNoteAt {
		d.nextNoteAt = d.now + cleanupInterval
		d.actions = append(d.actions, Action{Kind: Note, Text: fmt.Sprintf("destination %d %s", t.number, what)})
	}
}

// destination returns the destination with a number, and creates it on first use.
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

// trackIfWithoutEndpoints makes cleanUp check whether a destination can be removed, if it has no endpoints.
func (d *Dispatcher) trackIfWithoutEndpoints(t *destination) {
	if len(t.endpoints) == 0 && !t.cleanupPending {
		t.cleanupPending = true
		d.withoutEndpoints = append(d.withoutEndpoints, t)
	}
}

// trackIfGone makes cleanUp check whether an endpoint can be removed, if it is listed as gone.
func (d *Dispatcher) trackIfGone(ep *endpoint) {
	if ep.health == Gone && !ep.leaving {
		ep.leaving = true
		d.leaving = append(d.leaving, ep)
	}
}

// applyList applies a new endpoint list. Endpoints that a complete list leaves out are gone.
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
			d.wakeAll() // destinations whose first window this is may send more now
		}
	}
}

// applyEntry applies one entry of an endpoint list.
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
	if ep.destination != t { // the destination was removed and created again, while the endpoint was kept
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

package control

// This file holds the state that the decisions in control.go are based on, and keeps it up to date. It makes no
// decision itself.

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
	arrivalNumber uint64    // number of its arrival; queues are ordered by it
	overShare     bool      // worth less: its tenant is over its quota, or it is resent
	queued        bool      // it is in the queue of its destination
	ended         bool      // it has its final result; an attempt may still be out
	// An undelivered message that is sent again. It may be a trial call whatever its class, as nothing else may come.
	resent     bool
	tries      int
	call       *call // the call that carries its current attempt, nil if none is out
	inDoubt    bool  // an attempt may have run
	doubtSince Time  // send time of the first attempt that may have run
	doubtZone  int   // zone that this attempt was sent to
}

// call is one call that is out and holds a slot. It carries one message, or a batch of messages sent in one round.
type call struct {
	endpoint        *endpoint
	sentAt          Time
	messages        []*message
	unsettled       int  // messages that have no outcome yet
	trial           bool // a trial call to a suspect endpoint
	cancelRequested bool // a Cancel action was returned for it
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

// blockedByKey reports whether a message has to wait because an attempt with its key may still be running. A message
// that was sent before does not wait for an attempt of its own.
func (m *message) blockedByKey(now Time) bool {
	return now < m.key.blockedUntil && (m.tries == 0 || m.key.doubtful != nil && m.key.doubtful != m)
}

// endpoint is one address of a destination, with its own health.
type endpoint struct {
	// The fields that each scan of the destination reads come first, next to each other in memory.
	health         Health
	suspect        bool // taken to be down: it gets only trial calls
	provenDown     bool // its last failure proves that calls do not run there
	returnUnseen   bool // it fails most calls, and none that was sent after its last error has succeeded yet
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
	timeoutFloor     Time         // planned response timeout of destinations without samples, see timeoutScan
}

// latencyStats is a running mean and mean deviation of latencies, in microseconds.
type latencyStats struct {
	mean      float64
	deviation float64
	samples   float64 // number of samples
}

func (s *latencyStats) add(latency, gain float64) {
	s.samples++
	s.deviation += gain * (math.Abs(latency-s.mean) - s.deviation)
	s.mean += gain * (latency - s.mean)
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
	opensAt             Time        // end of the last told wait that showed the destination to be shut, 0 if there was none
	randomShare         float64     // share of calls that are refused at random, whatever the rate
	toleratedDeviations float64     // standard deviations above that share that still count as random
	cutRefusedShare     float64     // share of refused calls that led to the last cut
	wellBelowCalls      float64     // calls since the last cut that went out at well below the accepted rate
	wellBelowShare      float64     // largest share of the demand that is well below the accepted rate
	cutStreak           int         // cuts since the last success that were made without a told wait
	refusalStreak       int         // refusals in a row
	failureStreak       int         // failed connections and timeouts in a row, over all its endpoints
	errorScore          int         // raised by an error response by errorWeight, lowered by a success by 1
	errorsSince         Time        // time of the first error since errorScore was 0
	errorShare          float64     // long-term share of calls answered with an error, outages left out
	okMeter             meter       // successful calls
	refusedMeter        meter       // refusals since the last cut
	endedMeter          meter       // all calls that ended since the last cut
}

// allowedShareAt returns the share of this dispatcher's demand that may be sent at a time.
func (limit *rateLimit) allowedShareAt(now Time) float64 {
	if limit.allowedShare >= unlimitedShare {
		return limit.allowedShare
	}
	return min(unlimitedShare, limit.allowedShare+limit.shareGrowth*now.Since(limit.shareSince).Seconds())
}

// destination holds the queues, turn, window and statistics of one destination.
type destination struct {
	// The fields that each scan reads come first, next to each other in memory.
	state            roundState
	wakePending      bool    // in rounds.woken
	active           bool    // it had messages queued or out when that was last checked
	windowSlowStart  bool    // its window still grows with each success, until a first call fails
	cleanupPending   bool    // in Dispatcher.withoutEndpoints
	activation       uint64  // number given each time it becomes active; breaks ties between equal turns
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
	queues           []messageQueue // two for each class; the second is for messages with overShare set
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
	leastWorthMessage *message       // its least valuable message, as of leastWorthRound
	leastWorth        float64        // the worth of that message
	leastWorthRound   uint64
}

// listState holds the endpoints and destinations that may soon be removed, and values that depend on the number of
// destinations listed.
type listState struct {
	leaving          []*endpoint    // endpoints listed as gone that their destinations still have
	withoutEndpoints []*destination // destinations that had no endpoints when last checked
	listNumber       uint64         // number of the newest list
	fairWindow       int            // fair share of the slots as of that list
}

// meter measures a rate, with exponential decay.
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

func (m *meter) add(now Time, count float64) {
	m.sum = m.sum*math.Exp(-float64(now-m.at)/float64(m.memory)) + count
	m.at = now
}

// addAged counts one arrival of a given age, with the weight that it has left after the decay.
func (m *meter) addAged(now, age Time) {
	if age > 0 {
		m.started = min(m.started, now-age)
	}
	m.add(now, math.Exp(-float64(age)/float64(m.memory)))
}

// filledAfter is the number of time constants after which a meter's memory counts as filled: exp(-38) is less than half
// of the last bit of a float64 near 1.
const filledAfter = 38

// termsAt returns the terms of a time.
func (m *meter) termsAt(now Time) *terms {
	cached := &m.terms
	if cached.now != now || cached.at != m.at || cached.started != m.started || cached.filled == 0 {
		*cached = terms{now: now, at: m.at, started: m.started,
			decay: math.Exp(-float64(now-m.at) / float64(m.memory)), filled: 1}
		if history := now - m.started + initialMeterHistory; history < filledAfter*m.memory {
			cached.filled -= math.Exp(-float64(history) / float64(m.memory))
		}
	}
	return cached
}

// rate returns the rate per second. It is corrected for a history shorter than the memory.
func (m *meter) rate(now Time) float64 {
	terms := m.termsAt(now)
	return m.sum * terms.decay / m.memory.Seconds() / terms.filled
}

// enqueue adds a message to its queue, in order of arrival.
func (dest *destination) enqueue(msg *message) {
	dest.queues[msg.queueIndex].insert(msg)
	msg.queued = true
	dest.queued++
}

// dequeue removes a message from its queue, if it is queued.
func (dest *destination) dequeue(msg *message) {
	if !msg.queued {
		return
	}
	dest.queues[msg.queueIndex].remove(msg)
	dest.queued--
	msg.queued = false
}

// hasTrialOut reports whether a trial call is out.
func (ep *endpoint) hasTrialOut() bool {
	return slices.ContainsFunc(ep.calls, func(c *call) bool { return c.trial })
}

// readyCount counts the endpoints that are listed as ready.
func (dest *destination) readyCount() (count int) {
	for _, ep := range dest.endpoints {
		if ep.health == Ready {
			count++
		}
	}
	return count
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
		tokens: pace.NewBucket(d.now, 1), allowedShare: unlimitedShare, unlimited: true,
		randomShare: initialRandomShare, toleratedDeviations: 1,
		okMeter: d.newCallMeter(), refusedMeter: d.newCallMeter(), endedMeter: d.newCallMeter(),
	}
}

// compareAim compares the time of a message's aim with another time, for a binary search.
func compareAim(m *message, at Time) int { return cmp.Compare(m.submittedAt+m.class.Aim, at) }

// worth returns how much the message is worth if it is delivered at the given time.
func (d *Dispatcher) worth(msg *message, at Time) float64 {
	class, worth := msg.class, msg.class.Worth
	if msg.overShare {
		worth *= d.settings.OverShare
	}
	late := at - msg.submittedAt - class.Aim
	switch {
	case at >= msg.deadline:
		return 0
	case late <= 0:
		return worth
	case d.settings.LateHalving:
		return worth * max(class.LateWorth, math.Exp2(-float64(late)/float64(max(class.Aim, 1))))
	}
	return worth * (1 - (1-class.LateWorth)*float64(late)/float64(max(class.Deadline-class.Aim, 1)))
}

// maxCleanupsPerStep is the most entries of each sort that cleanUp removes in one Step. The next Step goes on with the
// rest.
const maxCleanupsPerStep = 1000

// cleanUp removes state that is no longer needed: endpoints that are gone, unlisted destinations and order keys without
// messages. It keeps endpoints and destinations with calls out or with a wait that has not ended, and keys for which an
// attempt may still be running.
func (d *Dispatcher) cleanUp() {
	var removed [4]int // removed entries of each sort
	mayRemove := func(list int) bool {
		if removed[list] == maxCleanupsPerStep {
			d.cleanedAt = d.now - cleanupInterval
			return false
		}
		removed[list]++
		return true
	}
	d.leaving = slices.DeleteFunc(d.leaving, func(ep *endpoint) bool {
		dest := ep.destination
		switch {
		case ep.health != Gone: // listed again
			ep.leaving = false
		case len(ep.calls) == 0 && ep.limit.waitUntil <= d.now && mayRemove(0):
			ep.leaving = false
			d.wakeDestination(dest)
			dest.endpoints = slices.DeleteFunc(dest.endpoints, func(other *endpoint) bool { return other == ep })
			d.removed = append(d.removed, ep)
			d.countUnhealthyCalls(dest)
			d.trackIfWithoutEndpoints(dest)
		}
		return !ep.leaving
	})
	// An endpoint that was suspect or cold when it left is still suspect or cold if it returns soon.
	d.removed = slices.DeleteFunc(d.removed, func(ep *endpoint) bool {
		if ep.health != Gone { // listed again
			return true
		}
		obsolete := (!d.unhealthy(ep) ||
			d.now-max(ep.lastFailureAt, ep.rampStart) > unseenWarmUps*d.settings.WarmUp) && mayRemove(1)
		if obsolete {
			delete(d.endpointByID, ep.id)
		}
		return obsolete
	})
	d.withoutEndpoints = slices.DeleteFunc(d.withoutEndpoints, func(dest *destination) bool {
		switch {
		case len(dest.endpoints) > 0:
			dest.cleanupPending = false
		case dest.openMessages == 0 && dest.callsOut == 0 && dest.limit.waitUntil <= d.now &&
			!d.coldFromShut(dest.limit) && mayRemove(2):
			dest.cleanupPending = false
			delete(d.destinationByNumber, dest.number)
			last := len(d.destinations) - 1
			d.destinations[dest.index] = d.destinations[last]
			d.destinations[dest.index].index = dest.index
			d.destinations[last] = nil
			d.destinations = d.destinations[:last]
		}
		return !dest.cleanupPending
	})
	d.stopShedding()
	d.idleKeys = slices.DeleteFunc(d.idleKeys, func(key *orderKey) bool {
		obsolete := len(key.queue) == 0 && key.blockedUntil <= d.now && mayRemove(3)
		if obsolete {
			delete(d.keys, key.id)
		}
		return obsolete
	})
}

// note emits a log line for operators, unless it emitted one recently.
func (d *Dispatcher) note(dest *destination, text string) {
	if d.now >= d.nextNoteAt {
		d.nextNoteAt = d.now + cleanupInterval
		d.actions = append(d.actions, Action{Kind: Note, Text: fmt.Sprintf("destination %d %s", dest.number, text)})
	}
}

// destination returns the destination with a number, and creates it on first use.
func (d *Dispatcher) destination(number int) *destination {
	dest := d.destinationByNumber[number]
	if dest == nil {
		dest = &destination{number: number, weight: 1, windowSlowStart: true,
			queues: make([]messageQueue, 2*len(d.settings.Classes))}
		dest.kind = d.kinds[0]
		dest.limit = d.newRateLimit()
		dest.demand = meter{memory: demandTau, at: d.now, started: d.now}
		dest.served = dest.demand
		d.destinationByNumber[number] = dest
		dest.index = len(d.destinations)
		d.destinations = append(d.destinations, dest)
		dest.window, dest.windowList = d.fairShare(), d.listNumber
		d.trackIfWithoutEndpoints(dest)
	}
	return dest
}

// trackIfWithoutEndpoints makes cleanUp check whether a destination can be removed, if it has no endpoints.
func (d *Dispatcher) trackIfWithoutEndpoints(dest *destination) {
	if len(dest.endpoints) == 0 && !dest.cleanupPending {
		dest.cleanupPending = true
		d.withoutEndpoints = append(d.withoutEndpoints, dest)
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
func (d *Dispatcher) applyList(event *Event) {
	if event.ListKind == ListFailed {
		return
	}
	if event.ListKind != ListDelta {
		for _, dest := range d.destinations {
			d.wakeDestination(dest)
			dest.hadReady = dest.readyCount() > 0
			for _, ep := range dest.endpoints {
				ep.health = Gone
				d.trackIfGone(ep)
			}
		}
	}
	for i := range event.Entries {
		d.applyEntry(&event.Entries[i])
	}
	if event.ListKind != ListDelta {
		for _, dest := range d.destinations {
			if dest.hadReady && dest.readyCount() == 0 {
				d.handleLastLeft(dest)
			}
		}
	}
	d.listNumber++
	if previousWindow := d.fairWindow; len(d.destinations) > 0 {
		if d.fairWindow = d.fairShare(); d.fairWindow != previousWindow {
			d.wakeAll() // destinations that still have their first window may get a larger one
		}
	}
}

// applyEntry applies one entry of an endpoint list.
func (d *Dispatcher) applyEntry(entry *Entry) {
	dest := d.destination(entry.Destination)
	d.wakeDestination(dest)
	d.scheduleScan(dest, d.now)
	batch, routesApart := 1, false
	if entry.Kind >= 0 && entry.Kind < len(d.settings.Kinds) {
		dest.kind = d.kinds[entry.Kind]
		batch, routesApart = d.settings.Kinds[entry.Kind].Batch, d.settings.Kinds[entry.Kind].RoutesApart
	}
	ep := d.endpointByID[entry.Endpoint]
	if ep == nil {
		ep = &endpoint{id: entry.Endpoint, destination: dest, limit: dest.limit}
		if routesApart {
			ep.limit = d.newRateLimit()
		}
		d.endpointByID[entry.Endpoint] = ep
	}
	if ep.destination.number != dest.number {
		return // an endpoint does not change its destination
	}
	if ep.destination != dest { // the destination was removed and created again, while the endpoint was kept
		ep.destination = dest
		if !routesApart {
			ep.limit = dest.limit
		}
	}
	if !slices.Contains(dest.endpoints, ep) {
		d.handleJoin(dest, ep)
		dest.endpoints = append(dest.endpoints, ep)
	}
	previousHealth := ep.health
	ep.zone, ep.health, ep.batch = entry.Zone, entry.Health, batch
	if previousHealth == Ready && entry.Health != Ready && dest.readyCount() == 0 {
		d.handleLastLeft(dest)
	}
	d.trackIfGone(ep)
	d.countUnhealthyCalls(dest)
	if entry.Weight > 0 && d.settings.Weights != WeightNone {
		dest.weight = entry.Weight
		ep.limit.knownRate = entry.Weight * d.weightSlack
	}
	d.updateRates(dest)
}

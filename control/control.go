package control

// This file holds every decision. Its constants are in tuning.go; settings, events and actions are in api.go.
//
// A message arrives (handleArrival) and waits in a queue of its destination (enqueue). In each round dispatch
// goes through the destinations in turn and sends what planSend and permits allow (send). The outcome
// (handleOutcome) puts the message back into its queue or ends it (finish, remove).

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// Dispatcher makes all decisions of one dispatcher process. It is deterministic and not safe for concurrent
// use.
type Dispatcher struct {
	settings            Settings
	randomState         uint64 // state of the random source
	minAim              Time   // the least aim of a class
	now                 Time
	nextTimer           Time // when the next timer is due
	cleanedAt           Time // of the last cleanup
	nextNoteAt          Time // no note to operators before this
	actions             []Action
	messages            map[MessageID]*message
	keys                map[uint64]*orderKey
	destinationByNumber map[int]*destination
	endpointByID        map[Endpoint]*endpoint
	idleKeys            []*orderKey // keys without messages
	destinations        []*destination
	kinds               []*kindState
	freed               []*endpoint // those where a call ended in this round
	removed             []*endpoint // those gone from their destination that failed or were cold
	usedSlots           int         // slots in use
	openMessages        int         // messages without a final answer
	arrivalCount        uint64      // messages that have arrived
	round               uint64
	tenantRates         []meter
	totalRate           meter   // rate of all messages
	totalQuota          float64 // messages a second within the shares of all tenants
	weightSlack         float64 // factor on a listed rate
	lostShare           float64 // share of responses that get lost
	wereSlotsShort      bool    // slotsShort, in the round before
	slotsShort          bool    // messages wait for want of slots
	paused              bool    // nothing can be sent
	moreWork            bool    // this Step left work to the next
	keysBlockedUntil    Time    // new keys are blocked until then: calls of an earlier process may run

	rounds      // which destinations a round scans: rounds.go
	timeoutScan // which calls have to be checked, and which destination has least to lose: lookout.go
	worthIndex
	listState // state.go
}

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings: s, randomState: seed*2862933555777941757 + 3037000493, minAim: s.Classes[0].Aim,
		lostShare: minLostShare,
		messages:  map[MessageID]*message{}, keys: map[uint64]*orderKey{},
		destinationByNumber: map[int]*destination{},
		endpointByID:        map[Endpoint]*endpoint{}, tenantRates: make([]meter, len(s.Tenants)),
	}
	if d.weightSlack = 1; s.Weights == WeightRough {
		d.weightSlack = roughWeightSlack
	}
	for _, t := range s.Tenants {
		d.totalQuota += t.Quota
	}
	for _, c := range s.Classes {
		d.minAim = max(min(d.minAim, c.Aim), s.Tick)
	}
	d.rounds, d.timeoutScan, d.worthIndex = newRounds(), newTimeoutScan(), newWorthIndex()
	for range max(1, len(s.Kinds)) {
		d.kinds = append(d.kinds, &kindState{safeIdle: 2 * s.ConnIdle, retrySuccess: initialRetrySuccess})
	}
	return d, nil
}

// Step handles the events of one round, dispatches once, and appends the resulting actions to those given.
func (d *Dispatcher) Step(now Time, events []Event, actions []Action) []Action {
	if d.round == 0 {
		d.totalRate = meter{memory: demandTau, at: now, started: now}
		for i := range d.tenantRates {
			d.tenantRates[i] = d.totalRate
		}
	}
	d.now, d.actions, d.moreWork = now, actions, false
	d.round++
	for i := range events {
		d.handleEvent(&events[i])
	}
	d.deactivateEmptied()
	d.scanTimeouts()
	if !d.paused {
		d.dispatch()
	}
	d.closeScarce()
	d.shed()
	if now-d.cleanedAt >= cleanupInterval {
		d.cleanedAt = now
		d.cleanUp()
	}
	if (d.usedSlots > 0 || d.openMessages > 0) && (d.nextTimer <= now || d.moreWork) {
		after := wakeTicks * d.settings.Tick
		if d.moreWork {
			after = d.settings.Tick
		}
		d.nextTimer = now + after
		d.actions = append(d.actions, Action{Kind: Timer, After: after})
	}
	return d.actions
}

// handleEvent applies one event.
func (d *Dispatcher) handleEvent(e *Event) {
	switch e.Kind {
	case Arrival:
		d.handleArrival(e)
	case Outcome:
		d.handleOutcome(e)
	case Withdrawn:
		if m := d.messages[e.Message]; m != nil {
			d.remove(m)
		}
	case Tick: // the message's deadline is near
		if m := d.messages[MessageID(e.TimerID-1)]; e.TimerID > 0 && m != nil && !m.ended {
			d.finish(m, true)
		}
	case List:
		d.applyList(e)
	case Pause:
		d.paused = e.Paused
	case Restarted:
		d.keysBlockedUntil = d.now + d.settings.SettleAfterDoubt
	case FleetSize:
		d.settings.Instances = max(e.Instances, 1)
	}
}

// handleArrival accepts a message and queues it if it may be sent now as far as its order key is concerned.
func (d *Dispatcher) handleArrival(e *Event) {
	if d.messages[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(d.settings.Classes) {
		d.actions = append(d.actions, Action{Kind: Refuse, Message: e.Message})
		return
	}
	c := &d.settings.Classes[e.Class]
	d.arrivalCount++
	m := &message{id: e.Message, class: c, destination: d.destination(e.Destination),
		arrivalNumber: d.arrivalCount, deadline: d.now + e.TimeLeft}
	m.submittedAt = m.deadline - c.Deadline
	if m.tries = e.Tries; e.DoubtAge > 0 {
		m.inDoubt, m.doubtSince, m.doubtZone = true, d.now-e.DoubtAge, e.DoubtZone
	}
	age := Time(0)
	if e.Restored { // it came earlier: counted as new it would inflate the demand that ramps are sized by
		age = max(d.now-m.submittedAt, 0)
	}
	m.resent = e.Resent
	m.overShare = e.Resent || d.exceedsQuota(e.Tenant, age)
	m.queueIndex = 2 * e.Class
	if m.overShare {
		m.queueIndex++
	}
	d.messages[m.id] = m
	d.wakeDestination(m.destination)
	d.openMessages++
	m.destination.openMessages++
	if !e.Resent { // ramps and shares are sized by the demand, and resends must not overload a return
		m.destination.demand.addAged(d.now, age)
		d.updateRates(m.destination)
	}
	// The client has its answer before the deadline: two ticks early, one of them for rounding.
	a := Action{Kind: Timer, Message: m.id, After: max(e.TimeLeft-2*d.settings.Tick, 0),
		TimerID: uint64(m.id) + 1}
	d.actions = append(d.actions, a)
	if c.InOrder && e.Key != 0 {
		k := d.keys[e.Key]
		if k == nil {
			k = &orderKey{id: e.Key, blockedUntil: d.keysBlockedUntil}
			d.keys[e.Key] = k
		}
		m.key = k
		k.queue = append(k.queue, m)
	}
	switch {
	case d.exhausted(m): // restored from an earlier process, with no attempt left
		d.finish(m, true)
	case m.key != nil:
		d.advanceKey(m.key)
	default:
		d.enqueue(m)
	}
}

// exceedsQuota reports whether a tenant now sends more than its share here. Its quota is for all dispatchers
// together. The part of it that applies here is the rate of all arrivals here over the sum of all quotas, or
// an equal part for each dispatcher if that is more.
func (d *Dispatcher) exceedsQuota(t int, age Time) bool {
	d.totalRate.addAged(d.now, age)
	if t < 0 || t >= len(d.tenantRates) || d.totalQuota <= 0 {
		return false
	}
	d.tenantRates[t].addAged(d.now, age)
	part := max(1/float64(d.settings.Instances), d.totalRate.rate(d.now)/d.totalQuota)
	return d.tenantRates[t].rate(d.now) > d.settings.Tenants[t].Quota*part*quotaMargin
}

// advanceKey queues the first message of an order key. The others stay out of the queues until it has ended.
func (d *Dispatcher) advanceKey(k *orderKey) {
	for len(k.queue) > 0 && k.queue[0].ended && k.queue[0].call == nil {
		k.queue = k.queue[1:]
	}
	if len(k.queue) == 0 {
		if !k.cleanupPending { // it may still block later messages, so it is kept for a while
			k.cleanupPending = true
			d.idleKeys = append(d.idleKeys, k)
		}
		return
	}
	if m := k.queue[0]; m.queued { // queued, but blocked until now by one with its key elsewhere
		d.wakeDestination(m.destination)
	} else if !m.ended && m.call == nil {
		d.enqueue(m)
	}
}

// enqueue puts a message into its queue, in order of arrival. A destination whose queues were all empty takes
// the least virtual time of the others.
func (d *Dispatcher) enqueue(m *message) {
	t := m.destination
	d.wakeDestination(t)
	if t.queued == 0 {
		t.virtualTime = d.leastVirtualTime(t)
	}
	t.enqueue(m)
	d.updateHeaps(t)
}

// finish gives a message its final answer. If back is set and a repeat is known to be harmless, it is refused
// so that the client may submit it again, otherwise it fails.
func (d *Dispatcher) finish(m *message, back bool) {
	a := Action{Kind: Fail, Message: m.id}
	if back && d.refusable(m) {
		a.Kind, a.After = Refuse, max(m.destination.limit.waitUntil-d.now, 0) // until then it would only wait here
	}
	d.actions = append(d.actions, a)
	d.remove(m)
}

// refusable reports whether a message can be submitted again without harm.
func (d *Dispatcher) refusable(m *message) bool {
	maybe := m.inDoubt || m.call != nil
	return !maybe || m.class.Effect == Free || m.class.Effect == Guarded && !m.class.ZoneGroup
}

// remove forgets a message that has its final answer. One with an attempt out is kept until the outcome.
func (d *Dispatcher) remove(m *message) {
	if !m.ended {
		m.ended = true
		d.openMessages--
		m.destination.openMessages--
		if m.queued {
			d.wakeDestination(m.destination)
			m.destination.dequeue(m)
			d.updateHeaps(m.destination)
		}
	}
	if m.call != nil {
		return
	}
	delete(d.messages, m.id)
	if m.key != nil {
		d.advanceKey(m.key)
	}
}

// shed keeps the number of open messages below max-open by refusing those worth least, from both ends of the
// queues. It keeps overload and outages from filling them. Risk: it does harm just before an outage ends.
func (d *Dispatcher) shed() {
	for d.openMessages > d.settings.MaxOpen-d.settings.MaxOpen/openReserveDivisor-1 {
		worst := d.leastWorthMessage()
		if worst == nil {
			return
		}
		// Where traffic is rare, other dispatchers know no more of the limit: clients should not try them.
		hopeless := worst.destination.limit.allowedShareAt(d.now) < 1 &&
			worst.destination.demand.rate(d.now)*d.minAim.Seconds() < 1
		d.finish(worst, !hopeless)
	}
}

// leastValuable returns the message of a destination that is worth least, and its worth, judged at the time
// at which the backlog will have been sent. It looks at both ends of each queue.
func (d *Dispatcher) leastValuable(t *destination, now Time) (worst *message, least float64) {
	least = math.Inf(1)
	then := now + d.queueDelay(t, now)
	for i := range t.queues {
		l := t.queues[i].all()
		if len(l) == 0 {
			continue
		}
		for _, m := range [2]*message{l[len(l)-1], l[0]} {
			if !d.refusable(m) {
				continue
			} else if v := d.worth(m, then) * min(1, t.limit.allowedShareAt(now)); v < least {
				worst, least = m, v
			}
		}
	}
	return worst, least
}

// dispatch gives free slots to the destinations with the smallest virtual times. Slots are short if a message
// could be sent but for the want of one.
func (d *Dispatcher) dispatch() {
	d.wereSlotsShort, d.slotsShort = d.slotsShort, false
	d.beginRound()
	for sends := 0; ; {
		best := d.nextDestination()
		if best == nil {
			return
		}
		ep, m, trial, why := d.planSend(best)
		switch {
		case why != notBlocked:
			d.putToSleep(best, why, ep, trial)
		case d.usedSlots >= d.settings.Slots:
			d.slotsShort = true
			return
		case sends >= maxSendsPerStep:
			d.moreWork = true
			return
		default:
			d.send(best, ep, m, trial)
			sends++
		}
	}
}

// planSend returns the next message of a destination and its endpoint, or the reason why it can't send. It
// changes nothing, except that it ends messages that have no attempt left.
func (d *Dispatcher) planSend(t *destination) (ep *endpoint, m *message, trial bool, why blockReason) {
	if ep, trial = d.chooseEndpoint(t); ep == nil {
		return nil, nil, false, noEndpoint
	} else if t.callsOut >= d.effectiveWindow(t) {
		return ep, nil, trial, noWindow
	} else if m = d.nextMessage(t, ep, trial); m == nil {
		return ep, nil, trial, noMessage
	}
	return ep, m, trial, notBlocked
}

// send starts a call with a message of a destination, and with more of them if its kind allows.
func (d *Dispatcher) send(t *destination, ep *endpoint, m *message, trial bool) {
	c := &call{endpoint: ep, sentAt: d.now, trial: trial, connIdle: d.closeStale(ep)}
	c.wellBelowLimit = d.testsRandomRefusals(ep.limit) &&
		ep.limit.allowedShareAt(d.now) <= ep.limit.wellBelowShare
	for n := ep.batch; m != nil && n > 0; n-- {
		t.dequeue(m)
		m.call = c
		m.tries++
		c.messages = append(c.messages, m)
		a := Action{Kind: Send, Message: m.id, Endpoint: ep.id, SameCall: len(c.messages) > 1}
		if !d.settings.MayCancel && m.class.Effect != SingleShot {
			a.After = stuckTimeouts * d.responseTimeout(t)
		}
		d.actions = append(d.actions, a)
		if trial {
			break
		}
		m = d.nextMessage(t, ep, false)
	}
	c.unsettled = len(c.messages)
	d.usedSlots++
	t.callsOut++
	ep.calls = append(ep.calls, c)
	ep.connOpen, ep.lastUsedAt = true, d.now
	ep.limit.tokens.Take(d.now, 1)
	if !d.unconfirmed(ep, d.now) { // a trial that is to confirm the outage does not count for the ramp
		ep.ramp.Take(d.now, 1+batchMessageCost*float64(len(c.messages)-1))
	}
	if c.trial {
		ep.nextTrialAt = d.now + ep.trialInterval + Time(d.random()*float64(ep.trialInterval)/4)
		ep.trialInterval = min(Time(float64(ep.trialInterval)*trialIntervalGrowth), maxTrialInterval)
	}
	d.updateHeaps(t)
	d.countUnhealthyCalls(t)
	d.scheduleScan(t, d.now+minResponseTimeout)
}

// permits is the only place that permits a send. Every rule that forbids one is here.
func (d *Dispatcher) permits(m *message, ep *endpoint) bool {
	c := m.class
	switch {
	case m.ended || m.call != nil || m.tries >= d.settings.MaxTries || ep.destination != m.destination:
		return false
	case d.now+d.settings.Tick >= m.deadline || ep.health != Ready || d.now < ep.limit.waitUntil:
		return false
	case m.key != nil && (m.key.queue[0] != m || m.blockedByKey(d.now)):
		return false
	case !m.inDoubt || c.Effect == Free:
		return true
	case c.Effect == SingleShot:
		return false
	}
	return d.now+d.settings.Tick < m.doubtSince+c.Window && (!c.ZoneGroup || ep.zone == m.doubtZone)
}

// MayWrite reports whether an attempt that has not been written yet still may be. It checks again those rules
// of permits on health, waits and time that can have changed since the send.
func (d *Dispatcher) MayWrite(now Time, id MessageID, attempt int) bool {
	m := d.messages[id]
	if m == nil || m.ended || m.call == nil || m.tries-1 != attempt || m.call.cancelRequested {
		return false
	}
	if m.inDoubt && m.class.Effect == Guarded && now+d.settings.Tick >= m.doubtSince+m.class.Window {
		return false // connecting may take longer than repeats are dropped
	}
	return m.call.endpoint.health == Ready && now >= m.call.endpoint.limit.toldWaitUntil && now < m.deadline
}

// nextMessage picks the message to send: of the oldest in each queue, the one that would lose most worth by
// waiting until the backlog has been sent. With a short backlog none loses any, and the worth decides.
func (d *Dispatcher) nextMessage(t *destination, ep *endpoint, trial bool) *message {
	var best *message
	top := -1.0
	mean, _ := d.latency(t)
	soon := d.now + Time(mean)
	wait := d.queueDelay(t, d.now)
	for i := range t.queues { // first of all, as the next message with the same key may enter another queue
		for t.queues[i].len() > 0 && d.exhausted(t.queues[i].all()[0]) {
			d.finish(t.queues[i].all()[0], true)
		}
	}
	for i := range t.queues {
		if t.queues[i].len() == 0 {
			continue
		}
		// The oldest, and the oldest one within its aim: one past it may have no more worth to lose.
		l := t.queues[i].all()
		fresh, _ := slices.BinarySearchFunc(l, soon, compareAim)
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			if trial && !m.resent && d.tooRiskyForTrial(m.class, ep) || !d.permits(m, ep) {
				continue
			}
			now := d.worth(m, soon)
			if v := now - d.worth(m, soon+wait) + now*worthTieBreak; v > top {
				best, top = m, v
			}
		}
	}
	return best
}

// tooRiskyForTrial reports whether messages of a class may not be used for a trial call to an endpoint. A
// single-shot message that is in doubt afterwards can only fail. It is used all the same if the last failure
// proved that calls do not run there, if trials have become rare, or if a trial is overdue by RiskAfter.
func (d *Dispatcher) tooRiskyForTrial(c *Class, ep *endpoint) bool {
	overdue := d.settings.RiskAfter > 0 && d.now >= ep.nextTrialAt+d.settings.RiskAfter
	return c.Effect == SingleShot && !ep.provenDown && ep.trialInterval < maxTrialInterval && !overdue
}

// queueDelay estimates how long it takes to send the backlog of a destination.
func (d *Dispatcher) queueDelay(t *destination, now Time) Time {
	wait := float64(t.queued) / max(t.limit.okMeter.rate(now), minServiceRate) * float64(Second)
	return min(max(Time(wait), minQueueDelay), maxQueueDelay)
}

// exhausted reports whether no further attempt can ever be made for a message.
func (d *Dispatcher) exhausted(m *message) bool {
	if m.tries >= d.settings.MaxTries || m.inDoubt && m.class.Effect == SingleShot {
		return true
	}
	return m.inDoubt && m.class.Effect == Guarded && d.now+d.settings.Tick >= m.doubtSince+m.class.Window
}

// maxWindow returns the most calls that one destination may have out: less than three quarters of the slots.
func (d *Dispatcher) maxWindow() int { return max(1, (3*d.settings.Slots+3)/4-1) }

// destinationUnhealthy reports whether a destination is slow or has a suspect endpoint.
func (d *Dispatcher) destinationUnhealthy(t *destination) bool {
	return t.latencyStats.mean > slowFactor*t.longTermLatency || slices.ContainsFunc(t.endpoints, isSuspect)
}

// effectiveWindow returns the window that applies to a destination now. All unhealthy destinations together
// get half of the slots, so that two of them can't hold both slots of a dispatcher with two.
func (d *Dispatcher) effectiveWindow(t *destination) int {
	d.initWindow(t)
	if !d.destinationUnhealthy(t) {
		return max(1, min(t.window, d.maxWindow()))
	}
	return min(t.window, d.maxUnhealthyCalls()-(d.unhealthyCalls-t.unhealthyCalls), d.maxWindow())
}

// maxUnhealthyCalls returns the most calls out to all unhealthy destinations together: half of the slots, or
// a third while messages wait for slots. The third keeps a slow destination with much traffic, whose calls
// take ten times as long, from holding half of them.
func (d *Dispatcher) maxUnhealthyCalls() int {
	if d.wereSlotsShort {
		return max(1, d.settings.Slots/3)
	}
	return max(1, d.settings.Slots/2)
}

// reviseWindow grows or shrinks the window of a destination when enough calls have completed. Its number of
// calls out still includes the one that ended.
func (d *Dispatcher) reviseWindow(t *destination, r Result) {
	if r == Cancelled || r == Moot || r == Unsent {
		return
	}
	d.initWindow(t)
	if r != OK {
		t.windowSlowStart = false
		t.failedCalls++
	}
	t.endedCalls++
	clean := float64(t.failedCalls) <= maxCleanFailureShare*float64(t.endedCalls)
	switch {
	case t.windowSlowStart:
		t.window = min(t.window+1, d.maxWindow())
		return
	case t.endedCalls < windowsPerRevision*t.window:
		return
	case t.callsOut >= t.window && clean:
		t.window = min(t.window+1, d.maxWindow())
	case t.callsOut >= t.window:
		t.window = max(t.window-1, 1)
	}
	t.endedCalls, t.failedCalls = 0, 0
}

// handleOutcome ends an attempt. The message is queued again, or ends if it was delivered or has no attempt
// left.
func (d *Dispatcher) handleOutcome(e *Event) {
	m := d.messages[e.Message]
	if m == nil || m.call == nil || m.tries-1 != e.Attempt {
		return
	}
	c := m.call
	m.call = nil
	t := c.endpoint.destination
	d.wakeDestination(t)
	if e.Result == OK {
		t.served.addAged(d.now, 0)
	}
	d.settleCall(c, e)
	d.updateHeaps(t)
	d.countUnhealthyCalls(t)
	d.scheduleScan(t, d.now)
	if e.Result == Unsent {
		m.tries--
	}
	if !NeverRan(e.Result) && e.Result != OK {
		if !m.inDoubt {
			m.inDoubt, m.doubtSince, m.doubtZone = true, c.sentAt, c.endpoint.zone
		}
		if m.key != nil && e.Result != Errored {
			m.key.blockedUntil, m.key.doubtful = d.now+d.settings.SettleAfterDoubt, m
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.remove(m)
	case d.exhausted(m) || d.now+2*d.settings.Tick >= m.deadline:
		d.finish(m, true)
	default:
		d.enqueue(m)
	}
}

// slotCost returns what a call adds to its destination's virtual time: the seconds that it held a slot,
// divided by the destination's listed weight. Where no weights are listed, the rate of its arrivals takes
// their place, so that a destination with most of the traffic gets more of scarce slots than the others.
// Risk: one that is flooded takes slots from them.
func (d *Dispatcher) slotCost(t *destination, held Time) float64 {
	if d.settings.Weights != WeightNone {
		return held.Seconds() / t.weight
	}
	return held.Seconds() / max(1, t.demand.rate(d.now))
}

// settleCall removes one message from its call. The call is learned from at its first outcome, and frees its
// slot at the last.
func (d *Dispatcher) settleCall(c *call, e *Event) {
	c.unsettled--
	if e.RetryAfter > 0 { // the wait of every outcome applies, also when the call has been learned from already
		c.endpoint.limit.toldWaitUntil = max(c.endpoint.limit.toldWaitUntil, d.now+e.RetryAfter)
		c.endpoint.limit.waitUntil = max(c.endpoint.limit.waitUntil, d.now+e.RetryAfter+d.settings.Tick)
		if e.RetryAfter > d.settings.OverloadFor { // too long for a rate limit: it is shut, and cold afterwards
			d.startRamps(c.endpoint, c.endpoint.limit.toldWaitUntil)
		}
	}
	if !c.learned && e.Result != Unsent {
		c.learned = true
		d.learnOutcome(c, e)
	}
	if c.unsettled > 0 {
		return
	}
	if e.Result == Unsent {
		c.endpoint.limit.tokens.PutBack(d.now, 1)
	}
	t := c.endpoint.destination
	t.virtualTime += d.slotCost(t, d.now-c.sentAt)
	d.reviseWindow(t, e.Result)
	d.usedSlots--
	t.callsOut--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(o *call) bool { return o == c })
	c.endpoint.lastUsedAt = d.now
	d.freed = append(d.freed, c.endpoint)
}

// learnOutcome updates what is known of an endpoint and its destination by the outcome of a call.
func (d *Dispatcher) learnOutcome(c *call, e *Event) {
	ep, t := c.endpoint, c.endpoint.destination
	if i := d.settings.ReportLimit; i >= 0 && i < len(e.Report) && e.Report[i] > 0 {
		ep.limit.knownRate = float64(e.Report[i])
	}
	switch e.Result {
	case OK:
		d.recordLatency(t, float64(e.Latency))
		d.recordSuccess(ep, c)
	case Refused:
		ep.lastResponseAt = d.now
		d.recordRefusal(ep, c, e.RetryAfter)
	case ConnectFailed:
		// An outage, or its connection table is full: idle connections of many dispatchers can fill it.
		if d.settings.Instances > d.settings.Slots {
			t.kind.connsScarceUntil = d.now + scarceDuration
		}
		if ep.failureStreak == 0 && len(ep.calls) > 1 && d.now-ep.lastResponseAt < d.responseTimeout(t) {
			d.recordRefusal(ep, c, 0) // other calls are answered: no outage
			return
		}
		d.recordFailure(ep, c, true)
	case TimedOut, Reset:
		d.recordFailure(ep, c, false)
	case Errored:
		ep.lastResponseAt = d.now
		if ep.errorStreak++; ep.errorStreak >= errorStreakLimit {
			d.recordFailure(ep, c, false)
		}
	}
}

// latency returns the mean latency of a destination's calls and its mean deviation. Without samples of its
// own it has those of its kind.
func (d *Dispatcher) latency(t *destination) (mean, dev float64) {
	if t.latencyStats.samples > 0 {
		return t.latencyStats.mean, t.latencyStats.deviation
	}
	return t.kind.latency()
}

// latency returns the mean latency and mean deviation of a kind, or assumed ones before the first response.
func (k *kindState) latency() (mean, dev float64) {
	if k.latencyStats.samples > 0 {
		return k.latencyStats.mean, k.latencyStats.deviation
	}
	return float64(initialLatency), float64(initialLatency) / 2
}

// recordLatency adds a latency sample to a destination and to its kind.
func (d *Dispatcher) recordLatency(t *destination, lag float64) {
	if t.latencyStats.samples == 0 {
		t.latencyStats.mean, t.latencyStats.deviation = d.latency(t)
		t.longTermLatency = lag
	}
	t.latencyStats.add(lag, max(latencyGain, 1/(t.latencyStats.samples+latencyPriorCount+1)))
	t.longTermLatency += baselineGain * (lag - t.longTermLatency)
	t.kind.latencyStats.add(lag, max(baselineGain, 1/(t.kind.latencyStats.samples+1)))
}

// responseTimeout returns for how long a destination with a call out may send no response before that is
// suspicious. The fewer responses get lost, the longer it is.
func (d *Dispatcher) responseTimeout(t *destination) Time {
	mean, dev := d.latency(t)
	return timeoutFor(mean, dev, min(timeoutDeviations, lostDeviations-math.Log(d.lostShare)),
		t.latencyStats.samples)
}

// timeoutFor returns the response timeout for a latency of n samples. It is longer with few samples.
func timeoutFor(mean, dev, devs, n float64) Time {
	return max(minResponseTimeout, Time(mean+dev*devs*(1+1/(1+n))))
}

// recordSuccess handles a call answered with OK: it raises the allowed share, ends a suspicion, and starts
// ramps if the endpoint is back from an outage.
func (d *Dispatcher) recordSuccess(ep *endpoint, c *call) {
	ep.lastOKSentAt = max(ep.lastOKSentAt, c.sentAt)
	p := ep.limit
	p.okMeter.add(d.now, 1)
	if c.sentAt >= p.lastCutAt {
		p.endedMeter.add(d.now, 1)
	}
	d.lostShare += lostGain * (minLostShare - d.lostShare)
	d.learnRandomRefusals(p, c, 0)
	if p.allowedShare < unlimitedShare {
		p.allowedShare = p.allowedShareAt(d.now) +
			allowedSharePerOK*min(1, (d.now-max(p.lastOKAt, p.lastCutAt)).Seconds())
		p.shareSince = max(d.now, p.shareSince)
	}
	if k := ep.destination.kind; c.connIdle > 0 {
		k.idleDropShare -= lostGain * k.idleDropShare
		k.safeIdle = min(Time(safeIdleGrowth*float64(k.safeIdle)), d.settings.ConnIdle*2)
	}
	if p.refusalStreak > 0 && p.refusedSince > 0 && d.now-p.refusedSince > d.settings.OverloadFor {
		d.startRamps(ep, d.now) // it refused for so long that it may have been shut
	}
	if p.refusalStreak > 0 {
		ep.destination.kind.retrySuccess += lostGain * (1 - ep.destination.kind.retrySuccess)
	}
	down, sure := d.outage(ep)
	gone := d.now - down
	few := c.trial || d.cold(ep, d.now) // calls go there one by one; otherwise it may only have been slow
	sure = few && (ep.provenDown || sure && gone > d.settings.OverloadFor/2)
	switch {
	case down > p.lastOKAt && (sure || gone > 2*d.settings.OverloadFor && d.couldOverload(ep.destination)):
		d.startRamps(ep, d.now)
	case ep.suspect:
		d.handleReturn(ep, c)
	}
	p.refusalStreak, p.cutStreak, p.refusedSince, p.lastOKAt = 0, 0, 0, d.now
	ep.suspect, ep.provenDown, ep.failedConnIdle = false, false, 0
	ep.lastResponseAt, ep.failureStreak, ep.errorStreak = d.now, 0, 0
	if c.sentAt >= ep.downSince { // a late response to an earlier call tells nothing of the other endpoints
		p.failureStreak = 0
	}
}

// outage returns since when endpoints that share a limit are suspect, and whether their failures confirm an
// outage. An outage mostly affects all of them. If none has answered since, the first response is taken as
// the return of all of them, also of those that were not tried. The return came at some time after the last
// failure. It is assumed to be now, the latest possible time, so that no endpoint seems warmer than it is.
func (d *Dispatcher) outage(ep *endpoint) (since Time, sure bool) {
	since = never
	for _, o := range ep.destination.endpoints {
		if o.limit == ep.limit && o.suspect {
			since, sure = min(since, o.downSince), sure || o.provenDown || d.outageConfirmed(o)
		}
	}
	return since, sure
}

// handleReturn handles the first response of a suspect endpoint where other endpoints have answered
// meanwhile, or where it came soon. A failure that the next call does not confirm was a lost response or a
// dropped connection, and is counted as that.
func (d *Dispatcher) handleReturn(ep *endpoint, c *call) {
	gone := d.now - ep.downSince
	switch {
	case d.coldSibling(ep) || gone > d.settings.OverloadFor/2 && d.cold(ep, d.now):
		d.startRamp(ep, d.now)
	case !c.trial && gone <= 2*d.settings.OverloadFor: // the response was late, not lost: the endpoint is slow
	case gone > d.settings.OverloadFor && (d.outageConfirmed(ep) || ep.provenDown),
		gone > 2*d.settings.OverloadFor && d.couldOverload(ep.destination):
		d.startRamp(ep, d.now)
	case !ep.provenDown:
		k := ep.destination.kind
		d.lostShare += float64(ep.failureStreak) * lostGain * (1 - d.lostShare)
		if ep.failedConnIdle > 0 {
			if k.idleDropShare += lostGain * (1 - k.idleDropShare); k.idleDropShare > confirmedDropShare {
				k.safeIdle = min(k.safeIdle, ep.failedConnIdle)
			}
		}
	}
}

// couldOverload reports whether a destination has so much traffic that this could overload it.
func (d *Dispatcher) couldOverload(t *destination) bool {
	return t.queued > 0 || t.demand.rate(d.now)*d.settings.OverloadFor.Seconds() > 0.5
}

// outageConfirmed reports whether the consecutive failures of an endpoint amount to an outage. As an outage
// mostly affects all endpoints of a destination, failures at the others count, too. Where responses get lost,
// more failures are needed.
func (d *Dispatcher) outageConfirmed(ep *endpoint) bool {
	n := failuresToConfirm
	if !ep.provenDown {
		n += int(failuresPerLostShare * d.lostShare)
	}
	return max(ep.failureStreak, ep.limit.failureStreak) >= n || ep.errorStreak >= errorStreakLimit
}

// startRamps starts the ramps of all endpoints that share the limit of the one given.
func (d *Dispatcher) startRamps(ep *endpoint, back Time) {
	for _, o := range ep.destination.endpoints {
		if o.limit == ep.limit {
			d.startRamp(o, back)
		}
	}
}

// startRamp marks an endpoint as cold and starts its ramp, as if it had returned at the time given, which may
// lie ahead.
func (d *Dispatcher) startRamp(ep *endpoint, back Time) {
	ep.rampStart, ep.ramp = back, pace.NewBucket(d.now, d.random())
	if back <= d.now {
		d.note(ep.destination, "is back, cold: its calls rise over the warm-up")
	}
}

// recordFailure handles a call that could not connect or got no response; proven means that it can't have
// run. Only a call sent after the last failure was known is new evidence. One failure makes the endpoint
// suspect, so that it gets single trials only: a dispatcher with little traffic may see no second one. It
// protects from crashes, missing responses, hangs and floods of errors. Risk: it does harm where responses
// are rare.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, proven bool) {
	if c.sentAt >= ep.lastFailureAt {
		ep.failureStreak++
		ep.limit.failureStreak++ // it remains when a failed endpoint leaves the list
		ep.lastFailureAt, ep.provenDown, ep.failedConnIdle = d.now, proven, c.connIdle
	}
	ep.provenDown = ep.provenDown || proven // a failed connect after a timeout shows that no response was lost
	if ep.suspect {
		return
	}
	if t := ep.destination; !slices.ContainsFunc(t.endpoints, d.unhealthy) { // later rates are lower
		t.rateBeforeOutage = t.served.rate(t.served.at)
	}
	ep.suspect, ep.downSince, ep.ramp = true, d.now, pace.NewBucket(d.now, d.random())
	if ep.nextTrialAt, ep.trialInterval = d.now, d.responseTimeout(ep.destination); ep.provenDown {
		ep.nextTrialAt += Time(d.random() * float64(ep.trialInterval))
	}
}

// recordRefusal handles a refusal: it cuts the allowed share and, if no wait was told, starts a backoff. A
// refusal without a told wait that may be a random one has neither effect.
func (d *Dispatcher) recordRefusal(ep *endpoint, c *call, wait Time) {
	p, k := ep.limit, ep.destination.kind
	if p.refusedSince == 0 {
		p.refusedSince = d.now
	}
	if c.sentAt < p.lastCutAt {
		return
	}
	p.refusedMeter.add(d.now, 1)
	p.endedMeter.add(d.now, 1)
	d.learnRandomRefusals(p, c, 1)
	if p.refusalStreak++; p.refusalStreak > 1 {
		k.retrySuccess -= lostGain * k.retrySuccess
	}
	want := ep.destination.demand.rate(d.now)
	if wait == 0 {
		if d.refusalsTolerated(p, want) {
			return
		}
		base := max(min(initialBackoff, Time(maxBackoffMessages*float64(Second)/want)),
			Time(min(float64(d.minAim), float64(Second)/want)/2))
		pause := min(base<<min(p.cutStreak, 6), maxBackoff)
		p.cutStreak++
		p.waitUntil = max(p.waitUntil, d.now+pause/2+Time(d.random()*float64(pause)/2))
	}
	was, part := min(p.allowedShareAt(d.now), 1), p.refusedMeter.sum/(p.endedMeter.sum+randomPriorCalls/2)
	if was > p.wellBelowShare {
		p.cutRefusedShare = 0 // otherwise this cut has the same cause as the one before
	}
	p.cutRefusedShare, p.wellBelowShare = max(p.cutRefusedShare, part), wellBelowPart*was*(1-part)
	p.lastCutAt, p.wellBelowCalls, p.refusedMeter, p.endedMeter = d.now, 0, d.newCallMeter(), d.newCallMeter()
	p.allowedShare, p.shareSince = max(min(was*allowedShareCut, p.wellBelowShare), minAllowedShare),
		max(d.now, p.waitUntil)
	p.tokens.Cap(d.now, d.random()) // retries have to stay within the allowed share, too
}

// refusalsTolerated reports whether there were no more refusals since the last cut than random ones explain.
// A lower rate does not avoid those, so it is not cut for them. Risk: some more calls exceed a real limit.
func (d *Dispatcher) refusalsTolerated(p *rateLimit, want float64) bool {
	no, all := p.refusedMeter.sum, p.endedMeter.sum
	few := p.randomShare * all
	if (few >= minExpectedRefusals || p.toleratedDeviations > 1 && p.randomShare >= measuredRandomShare) &&
		no < few+p.toleratedDeviations*math.Sqrt(few) {
		return true
	}
	// Soon after a cut a few refusals prove nothing, and with many calls more is known shortly.
	most := maxRandomShare * all
	soon := all < randomDecisionCalls && d.now-p.lastCutAt < cutGracePeriod &&
		want*cutGracePeriod.Seconds() > randomDecisionCalls/2
	return soon && no < 1+most+math.Sqrt(most)
}

// learnRandomRefusals estimates the share of calls that is refused however low their rate. It counts calls
// that went at a rate well below the answered one, where a limit refuses none. If the estimate explains the
// last cut, there is no limit.
func (d *Dispatcher) learnRandomRefusals(p *rateLimit, c *call, refused float64) {
	if !c.wellBelowLimit || c.sentAt < p.lastCutAt {
		return
	}
	p.wellBelowCalls++
	if p.randomShare += (refused - p.randomShare) /
		(p.wellBelowCalls + randomPriorCalls); p.randomShare > maxRandomShare {
		p.randomShare = 0
	}
	if p.wellBelowCalls < randomDecisionCalls {
		return
	}
	if p.toleratedDeviations = randomDeviations; p.cutRefusedShare <= randomCutFactor*p.randomShare {
		p.allowedShare, p.shareSince = unlimitedShare, d.now
	}
}

// testsRandomRefusals reports whether calls after a cut are used to tell random refusals from a limit. The
// backlog does not raise the rate meanwhile.
func (d *Dispatcher) testsRandomRefusals(p *rateLimit) bool {
	return p.lastCutAt > 0 && p.wellBelowCalls < randomTestCalls && d.now-p.lastCutAt < randomTestDuration
}

// maxIdleAge returns the age up to which an idle connection is used.
func (d *Dispatcher) maxIdleAge(t *destination) Time {
	return min(d.settings.ConnIdle, Time(safeIdleShare*float64(t.kind.safeIdle)))
}

// closeScarce closes connections that became idle in this round where connections are scarce, as the idle
// ones of many dispatchers can fill an endpoint's table. Risk: needless handshakes, if the failed connect was
// due to an outage.
func (d *Dispatcher) closeScarce() {
	for _, ep := range d.freed {
		if len(ep.calls) == 0 && ep.connOpen && d.now < ep.destination.kind.connsScarceUntil {
			d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
			ep.connOpen = false
		}
	}
	d.freed = d.freed[:0]
}

// closeStale closes the connections to an endpoint if they have been idle for longer than is known to be
// safe, as they may have been dropped without notice. It returns for how long the connection that the next
// call uses has been idle, 0 if it is new or in use.
func (d *Dispatcher) closeStale(ep *endpoint) Time {
	idle := d.now - ep.lastUsedAt
	if len(ep.calls) > 0 || !ep.connOpen {
		return 0
	} else if idle <= d.maxIdleAge(ep.destination) && ep.failedConnIdle == 0 {
		return idle
	} else if idle < d.settings.ConnIdle {
		d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
	}
	ep.connOpen = false
	return 0
}

// checkCalls records a failure where the oldest call of an endpoint has been out for longer than the response
// timeout. It abandons old calls if later ones were answered or the endpoint is suspect. Calls with messages
// that can't be sent again are abandoned only where messages wait for slots. It protects from hangs, lost
// responses and dead connections. Risk: a slow destination does work twice. Trials are given more time.
func (d *Dispatcher) checkCalls(t *destination) {
	limit := d.responseTimeout(t)
	for _, ep := range t.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		if old := ep.calls[0]; d.now-old.sentAt > limit && d.now-ep.lastResponseAt > limit {
			d.recordFailure(ep, old, false)
			ep.downSince = min(ep.downSince, max(old.sentAt, ep.lastResponseAt))
		}
		for _, c := range ep.calls {
			// Where responses get lost or messages wait for slots, one response timeout is enough.
			age, once := float64(d.now-c.sentAt)/float64(limit), min(1, failuresPerLostShare*d.lostShare)
			patience := stuckTimeouts - once
			switch {
			case c.trial:
				patience = float64(1 + min(ep.failureStreak, errorStreakLimit))
			case d.slotsShort: // the fewer slots there are, the more each one is needed
				patience = max(1, patience-2/float64(d.settings.Slots))
			}
			if age > patience && (ep.lastOKSentAt > c.sentAt || ep.suspect) {
				d.cancelCall(c, d.slotsShort && age > patience*(stuckTimeouts-once))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can all be sent again, or, with force, for any call.
func (d *Dispatcher) cancelCall(c *call, force bool) {
	if c.cancelRequested || !d.settings.MayCancel {
		return
	}
	if !force && c.unrepeatable(d.settings.MaxTries) {
		return
	}
	c.cancelRequested = true
	if c.endpoint.lastOKSentAt > c.sentAt {
		d.lostShare += lostGain * (1 - d.lostShare)
	}
	for _, m := range c.messages {
		if m.call == c {
			d.actions = append(d.actions, Action{Kind: Cancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
}

// unrepeatable reports whether a call has messages out that can't be sent again.
func (c *call) unrepeatable(most int) bool {
	return slices.ContainsFunc(c.messages, func(m *message) bool {
		return m.call == c && (m.class.Effect == SingleShot || m.tries >= most)
	})
}

// chooseEndpoint picks a suspect endpoint that is due for a trial, otherwise the least loaded one that may
// get a call. With RiskAfter set, a suspect comes last if all queued messages are too risky for a trial.
func (d *Dispatcher) chooseEndpoint(t *destination) (best *endpoint, trial bool) {
	var tried *endpoint // a suspect that no queued message may be risked on
	for _, ep := range t.endpoints {
		if d.nextSendAt(ep) > d.now {
			continue
		}
		if ep.suspect {
			if d.settings.RiskAfter == 0 || !d.allRisky(t, ep) {
				return ep, true
			}
			tried = ep
			continue
		}
		if best == nil || d.load(ep) < d.load(best) {
			best = ep
		}
	}
	if best == nil && tried != nil {
		return tried, true
	}
	return best, false
}

// nextSendAt returns the first time, now or later, at which health, waits, limit and ramp allow a call to an
// endpoint, if nothing else happens until then.
func (d *Dispatcher) nextSendAt(ep *endpoint) Time {
	if ep.health != Ready || ep.suspect && ep.hasTrialOut() {
		return never
	}
	at := max(d.now, ep.limit.waitUntil)
	if ep.suspect {
		at = max(at, ep.nextTrialAt)
	}
	if !ep.limit.unlimited {
		at = ep.limit.tokens.NextAt(at)
	}
	switch {
	case d.unconfirmed(ep, at):
	case d.cold(ep, at):
		at = min(ep.ramp.NextAt(at), d.warmAt(ep))
	case ep.suspect:
		at = max(at, min(ep.ramp.NextAt(at), ep.lastFailureAt.After(maxUnseenWarmUps*d.settings.WarmUp)))
	}
	return at
}

// unconfirmed reports whether a call to a suspect endpoint at a time is to show if there is an outage at all.
func (d *Dispatcher) unconfirmed(ep *endpoint, at Time) bool {
	return ep.suspect && !d.outageConfirmed(ep) && !d.cold(ep, at)
}

// load returns the load of an endpoint in calls. A handshake and another zone count as one more call each.
func (d *Dispatcher) load(ep *endpoint) float64 {
	v := float64(len(ep.calls))
	if ep.zone != d.settings.Zone {
		v++
	}
	if len(ep.calls) == 0 && (!ep.connOpen || d.now-ep.lastUsedAt > d.maxIdleAge(ep.destination)) {
		v++
	}
	return v
}

// updateRates sets the rates that the limits and ramps of a destination allow from now on. It is called when
// something that they depend on has changed, and only then: between two changes they are functions of time.
func (d *Dispatcher) updateRates(t *destination) {
	own := t.demand.rate(d.now)
	held := t.kind.retrySuccess * t.kind.retrySuccess * float64(t.queued) / (backlogAims * d.minAim.Seconds())
	want := own + held
	for _, ep := range t.endpoints {
		p, want := ep.limit, want
		if d.testsRandomRefusals(p) {
			want = own
		}
		p.allowedShare, p.shareSince, p.shareGrowth = p.allowedShareAt(d.now), max(d.now, p.waitUntil),
			allowedSharePerMessage*min(want, 2)
		// The rate falls if no more messages arrive.
		r := pace.Rate{From: p.allowedShare * want, Rise: p.shareGrowth * want, End: unlimitedShare * want}
		if r.Rise -= p.allowedShare * own / (demandFadeTaus * demandTau).Seconds(); r.Rise < 0 {
			r.End = p.allowedShare * held
		}
		switch {
		case p.allowedShare >= unlimitedShare:
			r = pace.Constant(p.knownRate)
		case p.knownRate > 0:
			r.From, r.End = min(r.From, p.knownRate), min(r.End, p.knownRate)
		}
		burst := max(min(rateBurstSeconds*p.allowedShare*own, maxBurstCalls),
			rampBurstTicks*d.settings.Tick.Seconds()*r.From)
		most := max(1, burst, rateBurstSeconds*p.knownRate)
		if p.unlimited = p.allowedShare >= unlimitedShare && p.knownRate <= 0; p.unlimited {
			p.tokens = pace.NewBucket(d.now, most)
		} else {
			p.tokens.SetRate(d.now, p.shareSince, r, most)
		}
		if ep.suspect || d.cold(ep, d.now) {
			d.updateRamp(t, ep, own)
		}
	}
}

// updateRamp sets the rate allowed to an endpoint that is suspect or back from an outage: its part of what
// the destination took before (of the demand, if that is not known) times its warmth. The first call goes at
// a random time. So all dispatchers together, however many, stay within what a cold endpoint can do and do
// not overload it. Risk: an endpoint suspected wrongly is used less during the warm-up.
func (d *Dispatcher) updateRamp(t *destination, ep *endpoint, own float64) {
	if t.rateBeforeOutage > 0 {
		own = t.rateBeforeOutage
	}
	own /= float64(max(t.readyCount(), 1))
	from, span := ep.rampStart, d.settings.WarmUp
	if ep.suspect && !d.cold(ep, d.now) {
		from, span, own = ep.lastFailureAt, unseenWarmUps*d.settings.WarmUp, own*trialShare
	} else {
		own *= rampMargin
	}
	rise := own * (1 - d.settings.ColdFrom) / max(span, 1).Seconds()
	r := pace.Rate{From: own*d.settings.ColdFrom + rise*d.now.Since(from).Seconds(), Rise: rise, End: own}
	ep.ramp.SetRate(d.now, from, r, max(1, own*rampBurstTicks*d.settings.Tick.Seconds()))
}

// cold reports whether an endpoint may not be warm yet at a time, or returns, cold, only later.
func (d *Dispatcher) cold(ep *endpoint, at Time) bool { return ep.rampStart != 0 && at < d.warmAt(ep) }

// warmAt returns the time from which on a cold endpoint is certain to be warm.
func (d *Dispatcher) warmAt(ep *endpoint) Time {
	return ep.rampStart.After(Time(rampWarmUps * float64(d.settings.WarmUp)))
}

// initWindow gives a destination that has completed no call yet its first window: a fair share of the slots,
// by the newest list.
func (d *Dispatcher) initWindow(t *destination) {
	if t.windowSlowStart && t.endedCalls == 0 && t.windowList != d.listNumber {
		t.window, t.windowList = d.fairWindow, d.listNumber
	}
}

// fairShare returns an equal share of the slots for each destination, at least one.
func (d *Dispatcher) fairShare() int { return max(1, d.settings.Slots/len(d.destinations)) }

// handleJoin handles an endpoint that is new to the list. If all others of its destination are suspect or
// cold, it starts cold as well, so that it does not get the whole backlog at once.
func (d *Dispatcher) handleJoin(t *destination, ep *endpoint) {
	switch {
	case t.limit.failureStreak == 0 && !slices.ContainsFunc(t.endpoints, d.unhealthy) ||
		slices.ContainsFunc(t.endpoints, d.healthy):
	case !t.outageRemembered && t.readyCount() == 0:
		t.limit.failureStreak = 0 // the endpoints that failed have left
	default:
		d.startRamp(ep, d.now)
	}
}

// handleLastLeft decides whether a destination is in an outage when its last endpoint has left. It is if an
// endpoint has been failing for longer than a list may be late, or was cold. Otherwise the endpoint failed
// because it was leaving: its replacements are healthy and have a backlog to send. Risk: an outage that
// begins just before all endpoints are replaced is missed.
func (d *Dispatcher) handleLastLeft(t *destination) {
	t.outageRemembered = slices.ContainsFunc(t.endpoints, func(o *endpoint) bool {
		return o.suspect && d.now-o.downSince > listDelaySpans*d.settings.OverloadFor ||
			!o.suspect && d.cold(o, d.now)
	})
}

// coldSibling reports whether another endpoint with the same limit is back from an outage. Its first response
// has reset the count of failures that they share.
func (d *Dispatcher) coldSibling(ep *endpoint) bool {
	return slices.ContainsFunc(ep.destination.endpoints, func(o *endpoint) bool {
		return o != ep && o.limit == ep.limit && d.cold(o, d.now) && !o.suspect
	})
}

func isSuspect(ep *endpoint) bool { return ep.suspect }

// unhealthy reports whether an endpoint is suspect or cold.
func (d *Dispatcher) unhealthy(ep *endpoint) bool { return ep.suspect || d.cold(ep, d.now) }

// healthy reports whether an endpoint is listed ready and not unhealthy.
func (d *Dispatcher) healthy(ep *endpoint) bool { return ep.health == Ready && !d.unhealthy(ep) }

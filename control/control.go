package control

// This file holds the decisions, but for what refusals and errors mean (refusals.go, failing.go) and how an
// endpoint returns from an outage (ramps.go). Constants are in tuning.go; settings, events and actions are in
// api.go.
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
	minAim              Time   // the least aim of a class, at least one tick
	now                 Time
	nextTimer           Time     // when the next timer is due
	cleanedAt           Time     // time of the last cleanup
	nextNoteAt          Time     // earliest time of the next note to the operators
	actions             []Action // what this Step returns
	messages            map[MessageID]*message
	keys                map[uint64]*orderKey
	destinationByNumber map[int]*destination
	endpointByID        map[Endpoint]*endpoint
	idleKeys            []*orderKey // keys without messages
	destinations        []*destination
	kinds               []*kindState
	freed               []*endpoint // endpoints where a call ended in this round
	removed             []*endpoint // gone endpoints that failed or were cold
	usedSlots           int         // slots in use
	openMessages        int         // messages without a final answer
	arrivalCount        uint64      // messages that have arrived
	round               uint64      // number of this round
	tenantRates         []meter     // rates of messages by tenant
	totalRate           meter       // rate of all messages
	totalQuota          float64     // sum of the quotas of all tenants, in messages a second
	weightSlack         float64     // factor by which a listed rate may be too low
	lostShare           float64     // share of responses that get lost
	wereSlotsShort      bool        // slotsShort of the round before
	slotsShort          bool        // messages wait for want of slots
	paused              bool        // nothing can be sent
	moreWork            bool        // this Step leaves work to the next
	keysBlockedUntil    Time        // new keys are blocked until then: calls of an earlier process may run

	rounds      // which destinations a round scans: rounds.go
	timeoutScan // which calls have to be checked: timeout_scan.go
	worthIndex  // which destination has the message that is worth least: timeout_scan.go
	listState   // endpoints and destinations that may be forgotten soon: state.go
}

// New returns a Dispatcher, or an error that names the setting at fault.
func New(settings Settings, seed uint64) (*Dispatcher, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings: settings, randomState: seed*2862933555777941757 + 3037000493, minAim: settings.Classes[0].Aim,
		lostShare: minLostShare,
		messages:  map[MessageID]*message{}, keys: map[uint64]*orderKey{},
		destinationByNumber: map[int]*destination{},
		endpointByID:        map[Endpoint]*endpoint{}, tenantRates: make([]meter, len(settings.Tenants)),
	}
	if d.weightSlack = 1; settings.Weights == WeightRough {
		d.weightSlack = roughWeightSlack
	}
	for _, tenant := range settings.Tenants {
		d.totalQuota += tenant.Quota
	}
	for _, class := range settings.Classes {
		d.minAim = max(min(d.minAim, class.Aim), settings.Tick)
	}
	d.rounds, d.timeoutScan, d.worthIndex = newRounds(), newTimeoutScan(), newWorthIndex()
	for range max(1, len(settings.Kinds)) {
		d.kinds = append(d.kinds, &kindState{safeIdle: 2 * settings.ConnIdle, retrySuccess: initialRetrySuccess})
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
func (d *Dispatcher) handleEvent(event *Event) {
	switch event.Kind {
	case Arrival:
		d.handleArrival(event)
	case Outcome:
		d.handleOutcome(event)
	case Withdrawn:
		if msg := d.messages[event.Message]; msg != nil {
			d.remove(msg)
		}
	case Tick: // the message's deadline is near
		if msg := d.messages[MessageID(event.TimerID-1)]; event.TimerID > 0 && msg != nil && !msg.ended {
			d.finish(msg, true)
		}
	case List:
		d.applyList(event)
	case Pause:
		d.paused = event.Paused
	case Restarted:
		d.keysBlockedUntil = d.now + d.settings.SettleAfterDoubt
	case FleetSize:
		d.settings.Instances = max(event.Instances, 1)
	}
}

// handleArrival accepts a message and queues it if it may be sent now as far as its order key is concerned.
func (d *Dispatcher) handleArrival(event *Event) {
	if d.messages[event.Message] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(d.settings.Classes) {
		d.actions = append(d.actions, Action{Kind: Refuse, Message: event.Message})
		return
	}
	class := &d.settings.Classes[event.Class]
	d.arrivalCount++
	msg := &message{id: event.Message, class: class, destination: d.destination(event.Destination),
		arrivalNumber: d.arrivalCount, deadline: d.now + event.TimeLeft}
	msg.submittedAt = msg.deadline - class.Deadline
	if msg.tries = event.Tries; event.DoubtAge > 0 {
		msg.inDoubt, msg.doubtSince, msg.doubtZone = true, d.now-event.DoubtAge, event.DoubtZone
	}
	age := Time(0)
	if event.Restored { // it came earlier: counted as new it would inflate the demand that ramps are sized by
		age = max(d.now-msg.submittedAt, 0)
	}
	msg.resent = event.Resent
	msg.overShare = event.Resent || d.exceedsQuota(event.Tenant, age)
	msg.queueIndex = 2 * event.Class
	if msg.overShare {
		msg.queueIndex++
	}
	d.messages[msg.id] = msg
	d.wakeDestination(msg.destination)
	d.openMessages++
	msg.destination.openMessages++
	if !event.Resent { // ramps and shares are sized by the demand, and resends must not overload a return
		msg.destination.demand.addAged(d.now, age)
		d.updateRates(msg.destination)
	}
	// The client has its answer before the deadline: two ticks early, one of them for rounding.
	timer := Action{Kind: Timer, Message: msg.id, After: max(event.TimeLeft-2*d.settings.Tick, 0),
		TimerID: uint64(msg.id) + 1}
	d.actions = append(d.actions, timer)
	if class.InOrder && event.Key != 0 {
		key := d.keys[event.Key]
		if key == nil {
			key = &orderKey{id: event.Key, blockedUntil: d.keysBlockedUntil}
			d.keys[event.Key] = key
		}
		msg.key = key
		key.queue = append(key.queue, msg)
	}
	switch {
	case d.exhausted(msg): // restored from an earlier process, with no attempt left
		d.finish(msg, true)
	case msg.key != nil:
		d.advanceKey(msg.key)
	default:
		d.enqueue(msg)
	}
}

// exceedsQuota reports whether a tenant now sends more than its share here. Its quota is for all dispatchers
// together. The part of it that applies here is the rate of all arrivals here over the sum of all quotas, or
// an equal part for each dispatcher if that is more.
func (d *Dispatcher) exceedsQuota(tenant int, age Time) bool {
	d.totalRate.addAged(d.now, age)
	if tenant < 0 || tenant >= len(d.tenantRates) || d.totalQuota <= 0 {
		return false
	}
	d.tenantRates[tenant].addAged(d.now, age)
	quotaPart := max(1/float64(d.settings.Instances), d.totalRate.rate(d.now)/d.totalQuota)
	return d.tenantRates[tenant].rate(d.now) > d.settings.Tenants[tenant].Quota*quotaPart*quotaMargin
}

// advanceKey queues the first message of an order key. The others stay out of the queues until it has ended.
func (d *Dispatcher) advanceKey(key *orderKey) {
	for len(key.queue) > 0 && key.queue[0].ended && key.queue[0].call == nil {
		key.queue = key.queue[1:]
	}
	if len(key.queue) == 0 {
		if !key.cleanupPending { // it may still block later messages, so it is kept for a while
			key.cleanupPending = true
			d.idleKeys = append(d.idleKeys, key)
		}
		return
	}
	if msg := key.queue[0]; msg.queued { // queued, but blocked until now by one with its key elsewhere
		d.wakeDestination(msg.destination)
	} else if !msg.ended && msg.call == nil {
		d.enqueue(msg)
	}
}

// enqueue puts a message into its queue, in order of arrival. A destination whose queues were all empty takes
// the least virtual time of the others.
func (d *Dispatcher) enqueue(msg *message) {
	dest := msg.destination
	d.wakeDestination(dest)
	if dest.queued == 0 {
		dest.virtualTime = d.leastVirtualTime(dest)
	}
	dest.enqueue(msg)
	d.updateHeaps(dest)
}

// finish gives a message its final answer. If mayRefuse is set and a repeat is known to be harmless, it is
// refused so that the client may submit it again, otherwise it fails.
func (d *Dispatcher) finish(msg *message, mayRefuse bool) {
	action := Action{Kind: Fail, Message: msg.id}
	if mayRefuse && d.refusable(msg) {
		// Submitted again before the wait of its destination ends, it would only be queued here.
		action.Kind, action.After = Refuse, max(msg.destination.limit.waitUntil-d.now, 0)
	}
	d.actions = append(d.actions, action)
	d.remove(msg)
}

// refusable reports whether a message can be submitted again without harm.
func (d *Dispatcher) refusable(msg *message) bool {
	mayHaveRun := msg.inDoubt || msg.call != nil
	return !mayHaveRun || msg.class.Effect == Free || msg.class.Effect == Guarded && !msg.class.ZoneGroup
}

// remove forgets a message that has its final answer. One with an attempt out is kept until the outcome.
func (d *Dispatcher) remove(msg *message) {
	if !msg.ended {
		msg.ended = true
		d.openMessages--
		msg.destination.openMessages--
		if msg.queued {
			d.wakeDestination(msg.destination)
			msg.destination.dequeue(msg)
			d.updateHeaps(msg.destination)
		}
	}
	if msg.call != nil {
		return
	}
	delete(d.messages, msg.id)
	if msg.key != nil {
		d.advanceKey(msg.key)
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

// leastValuable returns the message of a destination that is worth least, and its worth as of the time
// at which the backlog will have been sent. It looks at both ends of each queue.
func (d *Dispatcher) leastValuable(dest *destination, now Time) (worst *message, leastWorth float64) {
	leastWorth = math.Inf(1)
	backlogSentAt := now + d.queueDelay(dest, now)
	for i := range dest.queues {
		queue := dest.queues[i].all()
		if len(queue) == 0 {
			continue
		}
		for _, msg := range [2]*message{queue[len(queue)-1], queue[0]} {
			if !d.refusable(msg) {
				continue
			} else if worth := d.worth(msg, backlogSentAt) *
				min(1, dest.limit.allowedShareAt(now)); worth < leastWorth {
				worst, leastWorth = msg, worth
			}
		}
	}
	return worst, leastWorth
}

// dispatch gives free slots to the destinations with the smallest virtual times. Slots are short if a message
// could be sent if there were one more.
func (d *Dispatcher) dispatch() {
	d.wereSlotsShort, d.slotsShort = d.slotsShort, false
	d.beginRound()
	for sends := 0; ; {
		best := d.nextDestination()
		if best == nil {
			return
		}
		ep, msg, trial, reason := d.planSend(best)
		switch {
		case reason != notBlocked:
			d.putToSleep(best, reason, ep, trial)
		case d.usedSlots >= d.settings.Slots:
			d.slotsShort = true
			return
		case sends >= maxSendsPerStep:
			d.moreWork = true
			return
		default:
			d.send(best, ep, msg, trial)
			sends++
		}
	}
}

// planSend returns the next message of a destination and its endpoint, or the reason why it can't send. It
// changes nothing, except that it ends messages that have no attempt left.
func (d *Dispatcher) planSend(dest *destination) (
	ep *endpoint, msg *message, trial bool, reason blockReason) {
	if ep, trial = d.chooseEndpoint(dest); ep == nil {
		return nil, nil, false, noEndpoint
	} else if dest.callsOut >= d.effectiveWindow(dest) {
		return ep, nil, trial, noWindow
	} else if msg = d.nextMessage(dest, ep, trial); msg == nil {
		return ep, nil, trial, noMessage
	}
	return ep, msg, trial, notBlocked
}

// send starts a call with a message of a destination, and with more of them if its kind allows.
func (d *Dispatcher) send(dest *destination, ep *endpoint, msg *message, trial bool) {
	call := &call{endpoint: ep, sentAt: d.now, trial: trial, connIdle: d.closeStale(ep)}
	call.wellBelowLimit = d.testsRandomRefusals(ep.limit) &&
		ep.limit.allowedShareAt(d.now) <= ep.limit.wellBelowShare
	for remaining := ep.batch; msg != nil && remaining > 0; remaining-- {
		dest.dequeue(msg)
		msg.call = call
		msg.tries++
		call.messages = append(call.messages, msg)
		action := Action{Kind: Send, Message: msg.id, Endpoint: ep.id, SameCall: len(call.messages) > 1}
		if !d.settings.MayCancel && msg.class.Effect != SingleShot {
			action.After = stuckTimeouts * d.responseTimeout(dest)
		}
		d.actions = append(d.actions, action)
		if trial {
			break
		}
		msg = d.nextMessage(dest, ep, false)
	}
	call.unsettled = len(call.messages)
	d.usedSlots++
	dest.callsOut++
	ep.calls = append(ep.calls, call)
	ep.connOpen, ep.lastUsedAt = true, d.now
	ep.limit.tokens.Take(d.now, 1)
	if !d.unconfirmed(ep, d.now) { // a trial that is to confirm the outage does not count for the ramp
		ep.ramp.Take(d.now, 1+batchMessageCost*float64(len(call.messages)-1))
	}
	if call.trial {
		ep.nextTrialAt = d.now + ep.trialInterval + Time(d.random()*float64(ep.trialInterval)/4)
		ep.trialInterval = min(Time(float64(ep.trialInterval)*trialIntervalGrowth), maxTrialInterval)
	}
	d.updateHeaps(dest)
	d.countUnhealthyCalls(dest)
	d.scheduleScan(dest, d.now+minResponseTimeout)
}

// permits is the only place that permits a send. Every rule that forbids one is here.
func (d *Dispatcher) permits(msg *message, ep *endpoint) bool {
	class := msg.class
	switch {
	case msg.ended || msg.call != nil || msg.tries >= d.settings.MaxTries || ep.destination != msg.destination:
		return false
	case d.now+d.settings.Tick >= msg.deadline || ep.health != Ready || d.now < ep.limit.waitUntil:
		return false
	case msg.key != nil && (msg.key.queue[0] != msg || msg.blockedByKey(d.now)):
		return false
	case !msg.inDoubt || class.Effect == Free:
		return true
	case class.Effect == SingleShot:
		return false
	}
	return d.now+d.settings.Tick < msg.doubtSince+class.Window && (!class.ZoneGroup || ep.zone == msg.doubtZone)
}

// MayWrite reports whether an attempt that has not been written yet still may be. It checks again those rules
// of permits on health, waits and time that can have changed since the send.
func (d *Dispatcher) MayWrite(now Time, id MessageID, attempt int) bool {
	msg := d.messages[id]
	if msg == nil || msg.ended || msg.call == nil || msg.tries-1 != attempt || msg.call.cancelRequested {
		return false
	}
	if msg.inDoubt && msg.class.Effect == Guarded && now+d.settings.Tick >= msg.doubtSince+msg.class.Window {
		return false // connecting may take longer than repeats are dropped
	}
	return msg.call.endpoint.health == Ready && now >= msg.call.endpoint.limit.toldWaitUntil &&
		now < msg.deadline
}

// nextMessage picks the message to send: of the oldest in each queue, the one that would lose most worth by
// waiting until the backlog has been sent. With a short backlog none loses any, and the worth decides.
func (d *Dispatcher) nextMessage(dest *destination, ep *endpoint, trial bool) *message {
	var best *message
	bestLoss := -1.0
	mean, _ := d.latency(dest)
	deliveredAt := d.now + Time(mean)
	delay := d.queueDelay(dest, d.now)
	for i := range dest.queues { // first of all, as the next message with the same key may enter another queue
		for dest.queues[i].len() > 0 && d.exhausted(dest.queues[i].all()[0]) {
			d.finish(dest.queues[i].all()[0], true)
		}
	}
	for i := range dest.queues {
		if dest.queues[i].len() == 0 {
			continue
		}
		// The oldest, and the oldest one within its aim: one past it may have no more worth to lose.
		queue := dest.queues[i].all()
		firstInTime, _ := slices.BinarySearchFunc(queue, deliveredAt, compareAim)
		for _, msg := range [2]*message{queue[0], queue[min(firstInTime, len(queue)-1)]} {
			if trial && !msg.resent && d.tooRiskyForTrial(msg.class, ep) || !d.permits(msg, ep) {
				continue
			}
			worthNow := d.worth(msg, deliveredAt)
			if loss := worthNow - d.worth(msg, deliveredAt+delay) + worthNow*worthTieBreak; loss > bestLoss {
				best, bestLoss = msg, loss
			}
		}
	}
	return best
}

// tooRiskyForTrial reports whether messages of a class may not be used for a trial call to an endpoint. A
// single-shot message that is in doubt afterwards can only fail. It is used all the same if the last failure
// proved that calls do not run there, if trials have become rare, or if a trial is overdue by RiskAfter.
func (d *Dispatcher) tooRiskyForTrial(class *Class, ep *endpoint) bool {
	overdue := d.settings.RiskAfter > 0 && d.now >= ep.nextTrialAt+d.settings.RiskAfter
	return class.Effect == SingleShot && !ep.provenDown && ep.trialInterval < maxTrialInterval && !overdue
}

// queueDelay estimates how long it takes to send the backlog of a destination.
func (d *Dispatcher) queueDelay(dest *destination, now Time) Time {
	delay := float64(dest.queued) / max(dest.limit.okMeter.rate(now), minServiceRate) * float64(Second)
	return min(max(Time(delay), minQueueDelay), maxQueueDelay)
}

// exhausted reports whether no further attempt can ever be made for a message.
func (d *Dispatcher) exhausted(msg *message) bool {
	if msg.tries >= d.settings.MaxTries || msg.inDoubt && msg.class.Effect == SingleShot {
		return true
	}
	return msg.inDoubt && msg.class.Effect == Guarded && d.now+d.settings.Tick >= msg.doubtSince+msg.class.Window
}

// maxWindow returns the most calls that one destination may have out: less than three quarters of the slots.
func (d *Dispatcher) maxWindow() int { return max(1, (3*d.settings.Slots+3)/4-1) }

// destinationUnhealthy reports whether a destination is slow or has a suspect endpoint.
func (d *Dispatcher) destinationUnhealthy(dest *destination) bool {
	return dest.latencyStats.mean > slowFactor*dest.longTermLatency ||
		slices.ContainsFunc(dest.endpoints, isSuspect)
}

// effectiveWindow returns the window that applies to a destination now. All unhealthy destinations together
// get half of the slots, so that two of them can't occupy both slots of a dispatcher with two.
func (d *Dispatcher) effectiveWindow(dest *destination) int {
	d.initWindow(dest)
	if !d.destinationUnhealthy(dest) {
		return max(1, min(dest.window, d.maxWindow()))
	}
	return min(dest.window, d.maxUnhealthyCalls()-(d.unhealthyCalls-dest.unhealthyCalls), d.maxWindow())
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
func (d *Dispatcher) reviseWindow(dest *destination, result Result) {
	if result == Cancelled || result == Moot || result == Unsent {
		return
	}
	d.initWindow(dest)
	if result != OK {
		dest.windowSlowStart = false
		dest.failedCalls++
	}
	dest.endedCalls++
	clean := float64(dest.failedCalls) <= maxCleanFailureShare*float64(dest.endedCalls)
	switch {
	case dest.windowSlowStart:
		dest.window = min(dest.window+1, d.maxWindow())
		return
	case dest.endedCalls < windowsPerRevision*dest.window:
		return
	case dest.callsOut >= dest.window && clean:
		dest.window = min(dest.window+1, d.maxWindow())
	case dest.callsOut >= dest.window:
		dest.window = max(dest.window-1, 1)
	}
	dest.endedCalls, dest.failedCalls = 0, 0
}

// handleOutcome ends an attempt. The message is queued again, or ends if it was delivered or has no attempt
// left.
func (d *Dispatcher) handleOutcome(event *Event) {
	msg := d.messages[event.Message]
	if msg == nil || msg.call == nil || msg.tries-1 != event.Attempt {
		return
	}
	call := msg.call
	msg.call = nil
	dest := call.endpoint.destination
	d.wakeDestination(dest)
	if event.Result == OK {
		dest.served.addAged(d.now, 0)
	}
	d.settleCall(call, event)
	d.updateHeaps(dest)
	d.countUnhealthyCalls(dest)
	d.scheduleScan(dest, d.now)
	if event.Result == Unsent {
		msg.tries--
	}
	if !NeverRan(event.Result) && event.Result != OK {
		if !msg.inDoubt {
			msg.inDoubt, msg.doubtSince, msg.doubtZone = true, call.sentAt, call.endpoint.zone
		}
		if msg.key != nil && event.Result != Errored { // only after an error response the attempt is over
			msg.key.blockedUntil, msg.key.doubtful = d.now+d.settings.SettleAfterDoubt, msg
		}
	}
	switch {
	case event.Closed || msg.ended || event.Result == OK:
		d.remove(msg)
	case d.exhausted(msg) || d.now+2*d.settings.Tick >= msg.deadline:
		d.finish(msg, true)
	default:
		d.enqueue(msg)
	}
}

// slotCost returns what a call adds to its destination's virtual time: the seconds that it used a slot,
// divided by the destination's listed weight. Where no weights are listed, the rate of its arrivals takes
// their place, so that a destination with most of the traffic gets more of scarce slots than the others.
// Risk: one that is flooded takes slots from them.
func (d *Dispatcher) slotCost(dest *destination, duration Time) float64 {
	if d.settings.Weights != WeightNone {
		return duration.Seconds() / dest.weight
	}
	return duration.Seconds() / max(1, dest.demand.rate(d.now))
}

// settleCall removes one message from its call. The call is learned from at its first outcome, and frees its
// slot at the last.
func (d *Dispatcher) settleCall(current *call, event *Event) {
	current.unsettled--
	// The wait of every outcome applies, also when the call has been learned from already.
	if event.RetryAfter > 0 {
		current.endpoint.limit.toldWaitUntil = max(current.endpoint.limit.toldWaitUntil, d.now+event.RetryAfter)
		current.endpoint.limit.waitUntil = max(current.endpoint.limit.waitUntil,
			d.now+event.RetryAfter+d.settings.Tick)
		if event.RetryAfter > d.settings.OverloadFor { // no rate limit: it is shut, and cold afterwards
			current.endpoint.limit.opensAt = current.endpoint.limit.toldWaitUntil
			d.keepServedRate(current.endpoint.destination, d.now)
			d.startRamps(current.endpoint, current.endpoint.limit.opensAt)
		}
	}
	if !current.learned && event.Result != Unsent {
		current.learned = true
		d.learnOutcome(current, event)
	}
	if current.unsettled > 0 {
		return
	}
	if event.Result == Unsent {
		current.endpoint.limit.tokens.PutBack(d.now, 1)
	}
	dest := current.endpoint.destination
	dest.virtualTime += d.slotCost(dest, d.now-current.sentAt)
	d.reviseWindow(dest, event.Result)
	d.usedSlots--
	dest.callsOut--
	current.endpoint.calls = slices.DeleteFunc(current.endpoint.calls,
		func(other *call) bool { return other == current })
	current.endpoint.lastUsedAt = d.now
	d.freed = append(d.freed, current.endpoint)
}

// learnOutcome updates what is known of an endpoint and its destination by the outcome of a call.
func (d *Dispatcher) learnOutcome(call *call, event *Event) {
	ep, dest := call.endpoint, call.endpoint.destination
	if i := d.settings.ReportLimit; i >= 0 && i < len(event.Report) && event.Report[i] > 0 {
		ep.limit.knownRate = float64(event.Report[i])
	}
	switch event.Result {
	case OK:
		d.recordLatency(dest, float64(event.Latency))
		d.recordSuccess(ep, call)
	case Refused:
		ep.lastResponseAt = d.now
		d.recordRefusal(ep, call, event.RetryAfter)
	case ConnectFailed:
		// An outage, or its connection table is full: idle connections of many dispatchers can fill it.
		if d.settings.Instances > d.settings.Slots {
			dest.kind.connsScarceUntil = d.now + scarceDuration
		}
		if ep.failureStreak == 0 && len(ep.calls) > 1 && d.now-ep.lastResponseAt < d.responseTimeout(dest) {
			d.recordRefusal(ep, call, 0) // other calls are answered: no outage
			return
		}
		d.recordFailure(ep, call, true)
	case TimedOut, Reset:
		d.recordFailure(ep, call, false)
	case Errored, Unreadable:
		ep.lastResponseAt = d.now
		if event.Result == Errored { // one that can't be read is no answer of the endpoint's own to go by
			d.recordError(ep)
		}
		if ep.errorStreak++; ep.errorStreak >= errorStreakLimit {
			d.recordFailure(ep, call, false)
		}
	}
}

// latency returns the mean latency of a destination's calls and its mean deviation. Without samples of its
// own it has those of its kind.
func (d *Dispatcher) latency(dest *destination) (mean, deviation float64) {
	if dest.latencyStats.samples > 0 {
		return dest.latencyStats.mean, dest.latencyStats.deviation
	}
	return dest.kind.latency()
}

// latency returns the mean latency and mean deviation of a kind, or assumed ones before the first response.
func (k *kindState) latency() (mean, deviation float64) {
	if k.latencyStats.samples > 0 {
		return k.latencyStats.mean, k.latencyStats.deviation
	}
	return float64(initialLatency), float64(initialLatency) / 2
}

// recordLatency adds a latency sample to a destination and to its kind.
func (d *Dispatcher) recordLatency(dest *destination, latency float64) {
	if dest.latencyStats.samples == 0 {
		dest.latencyStats.mean, dest.latencyStats.deviation = d.latency(dest)
		dest.longTermLatency = latency
	}
	dest.latencyStats.add(latency, max(latencyGain, 1/(dest.latencyStats.samples+latencyPriorCount+1)))
	dest.longTermLatency += baselineGain * (latency - dest.longTermLatency)
	dest.kind.latencyStats.add(latency, max(baselineGain, 1/(dest.kind.latencyStats.samples+1)))
}

// responseTimeout returns for how long a destination with a call out may send no response before that is
// suspicious. The fewer responses get lost, the longer it is.
func (d *Dispatcher) responseTimeout(dest *destination) Time {
	mean, deviation := d.latency(dest)
	return timeoutFor(mean, deviation, min(timeoutDeviations, lostDeviations-math.Log(d.lostShare)),
		dest.latencyStats.samples)
}

// timeoutFor returns the response timeout: the mean latency plus a number of deviations, more of them if the
// latency has few samples.
func timeoutFor(mean, deviation, deviations, samples float64) Time {
	return max(minResponseTimeout, Time(mean+deviation*deviations*(1+1/(1+samples))))
}

// recordSuccess handles a call answered with OK: it raises the allowed share, ends a suspicion, and starts
// ramps if the endpoint is back from an outage.
func (d *Dispatcher) recordSuccess(ep *endpoint, call *call) {
	ep.lastOKSentAt = max(ep.lastOKSentAt, call.sentAt)
	limit := ep.limit
	limit.okMeter.add(d.now, 1)
	if call.sentAt >= limit.lastCutAt {
		limit.endedMeter.add(d.now, 1)
	}
	d.lostShare += lostGain * (minLostShare - d.lostShare)
	d.learnRandomRefusals(limit, call, 0)
	if limit.allowedShare < unlimitedShare {
		limit.allowedShare = limit.allowedShareAt(d.now) +
			allowedSharePerOK*min(1, (d.now-max(limit.lastOKAt, limit.lastCutAt)).Seconds())
		limit.shareSince = max(d.now, limit.shareSince)
	}
	if kind := ep.destination.kind; call.connIdle > 0 {
		kind.idleDropShare -= lostGain * kind.idleDropShare
		kind.safeIdle = min(Time(safeIdleGrowth*float64(kind.safeIdle)), d.settings.ConnIdle*2)
	}
	if limit.refusalStreak > 0 && limit.refusedSince > 0 && d.now-limit.refusedSince > d.settings.OverloadFor {
		d.startRamps(ep, d.now) // it refused for so long that it may have been shut
	}
	if limit.refusalStreak > 0 {
		ep.destination.kind.retrySuccess += lostGain * (1 - ep.destination.kind.retrySuccess)
	}
	limit.recordNoError()
	wasFailing := ep.returnUnseen
	if wasFailing {
		d.recordReturn(ep, call)
	}
	downSince, confirmed := d.outage(ep)
	downFor := d.now - downSince
	// Unless calls go there one by one, the endpoint may only have been slow.
	fewCalls := call.trial || d.cold(ep, d.now)
	confirmed = fewCalls && (ep.provenDown || confirmed && downFor > d.settings.OverloadFor/2)
	switch {
	case downSince > limit.lastOKAt &&
		(confirmed || downFor > 2*d.settings.OverloadFor && d.couldOverload(ep.destination)):
		d.startRamps(ep, d.now)
	case ep.suspect && !wasFailing: // the ramp of a failing one has started
		d.handleReturn(ep, call)
	}
	limit.refusalStreak, limit.cutStreak, limit.refusedSince, limit.lastOKAt = 0, 0, 0, d.now
	ep.suspect, ep.provenDown, ep.failedConnIdle = false, false, 0
	ep.lastResponseAt, ep.failureStreak, ep.errorStreak = d.now, 0, 0
	if call.sentAt >= ep.downSince { // a late response to an earlier call says nothing about the other endpoints
		limit.failureStreak = 0
	}
}

// outage returns since when endpoints that share a limit are suspect, and whether their failures confirm an
// outage. An outage mostly affects all of them. If none has answered since, the first response is taken as
// the return of all of them, also of those that were not tried. The return came at some time after the last
// failure. It is assumed to be now, the latest possible time, so that no endpoint seems warmer than it is.
func (d *Dispatcher) outage(ep *endpoint) (since Time, confirmed bool) {
	since = never
	for _, sibling := range ep.destination.endpoints {
		if sibling.limit == ep.limit && sibling.suspect {
			since, confirmed = min(since, sibling.downSince),
				confirmed || sibling.provenDown || d.outageConfirmed(sibling)
		}
	}
	return since, confirmed
}

// handleReturn handles the first response of a suspect endpoint where other endpoints have answered
// meanwhile, or where it came soon. A failure that the next call does not confirm was a lost response or a
// dropped connection, and is counted as that.
func (d *Dispatcher) handleReturn(ep *endpoint, call *call) {
	downFor := d.now - ep.downSince
	switch {
	case d.coldSibling(ep) || downFor > d.settings.OverloadFor/2 && d.cold(ep, d.now):
		d.startRamp(ep, d.now)
	case !call.trial && downFor <= 2*d.settings.OverloadFor:
		// The response was late, not lost: the endpoint is slow.
	case downFor > d.settings.OverloadFor && (d.outageConfirmed(ep) || ep.provenDown),
		downFor > 2*d.settings.OverloadFor && d.couldOverload(ep.destination):
		d.startRamp(ep, d.now)
	case !ep.provenDown:
		kind := ep.destination.kind
		d.lostShare += float64(ep.failureStreak) * lostGain * (1 - d.lostShare)
		if ep.failedConnIdle > 0 {
			if kind.idleDropShare += lostGain * (1 - kind.idleDropShare); kind.idleDropShare > confirmedDropShare {
				kind.safeIdle = min(kind.safeIdle, ep.failedConnIdle)
			}
		}
	}
}

// couldOverload reports whether a destination has so much traffic that this could overload it.
func (d *Dispatcher) couldOverload(dest *destination) bool {
	return dest.queued > 0 || dest.demand.rate(d.now)*d.settings.OverloadFor.Seconds() > 0.5
}

// outageConfirmed reports whether the consecutive failures of an endpoint amount to an outage. As an outage
// mostly affects all endpoints of a destination, failures at the others count, too. Where responses get lost,
// more failures are needed.
func (d *Dispatcher) outageConfirmed(ep *endpoint) bool {
	needed := failuresToConfirm
	if !ep.provenDown {
		needed += int(failuresPerLostShare * d.lostShare)
	}
	return max(ep.failureStreak, ep.limit.failureStreak) >= needed || ep.errorStreak >= errorStreakLimit
}

// recordFailure handles a call that could not connect or got no response; proven means that it can't have
// run. Only a call sent after the last failure was known is new evidence. One failure makes the endpoint
// suspect, so that it gets single trials only: a dispatcher with little traffic may see no second one. It
// protects from crashes, missing responses, hangs and floods of errors. Risk: it does harm where responses
// are rare.
func (d *Dispatcher) recordFailure(ep *endpoint, call *call, proven bool) {
	if call.sentAt >= ep.lastFailureAt {
		ep.failureStreak++
		ep.limit.failureStreak++ // it remains when a failed endpoint leaves the list
		ep.lastFailureAt, ep.provenDown, ep.failedConnIdle = d.now, proven, call.connIdle
	}
	ep.provenDown = ep.provenDown || proven // a failed connect after a timeout shows that no response was lost
	if ep.suspect {
		return
	}
	d.keepServedRate(ep.destination, ep.destination.served.at)
	ep.suspect, ep.downSince, ep.ramp = true, d.now, pace.NewBucket(d.now, d.random())
	if ep.nextTrialAt, ep.trialInterval = d.now, d.responseTimeout(ep.destination); ep.provenDown {
		ep.nextTrialAt += Time(d.random() * float64(ep.trialInterval))
	}
}

// maxIdleAge returns the age up to which an idle connection is used.
func (d *Dispatcher) maxIdleAge(dest *destination) Time {
	return min(d.settings.ConnIdle, Time(safeIdleShare*float64(dest.kind.safeIdle)))
}

// closeScarce closes connections that became idle in this round where connections are scarce, as the idle
// ones of many dispatchers can fill an endpoint's connection table. Risk: needless handshakes, if the
// failed connect was due to an outage.
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
func (d *Dispatcher) checkCalls(dest *destination) {
	timeout := d.responseTimeout(dest)
	for _, ep := range dest.endpoints {
		if len(ep.calls) == 0 {
			continue
		}
		if oldest := ep.calls[0]; d.now-oldest.sentAt > timeout && d.now-ep.lastResponseAt > timeout {
			d.recordFailure(ep, oldest, false)
			ep.downSince = min(ep.downSince, max(oldest.sentAt, ep.lastResponseAt))
		}
		for _, call := range ep.calls {
			// Where responses get lost or messages wait for slots, one response timeout is enough.
			age, lossReduction := float64(d.now-call.sentAt)/float64(timeout), min(1, failuresPerLostShare*d.lostShare)
			patience := stuckTimeouts - lossReduction
			switch {
			case call.trial:
				patience = float64(1 + min(ep.failureStreak, errorStreakLimit))
			case d.slotsShort: // the fewer slots there are, the more each one is needed
				patience = max(1, patience-2/float64(d.settings.Slots))
			}
			if age > patience && (ep.lastOKSentAt > call.sentAt || ep.suspect) {
				d.cancelCall(call, d.slotsShort && age > patience*(stuckTimeouts-lossReduction))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can all be sent again, or, with force, for any call.
func (d *Dispatcher) cancelCall(call *call, force bool) {
	if call.cancelRequested || !d.settings.MayCancel {
		return
	}
	if !force && call.unrepeatable(d.settings.MaxTries) {
		return
	}
	call.cancelRequested = true
	if call.endpoint.lastOKSentAt > call.sentAt {
		d.lostShare += lostGain * (1 - d.lostShare)
	}
	for _, msg := range call.messages {
		if msg.call == call {
			d.actions = append(d.actions, Action{Kind: Cancel, Message: msg.id, Attempt: msg.tries - 1})
		}
	}
}

// unrepeatable reports whether a call has messages out that can't be sent again.
func (c *call) unrepeatable(maxTries int) bool {
	return slices.ContainsFunc(c.messages, func(m *message) bool {
		return m.call == c && (m.class.Effect == SingleShot || m.tries >= maxTries)
	})
}

// chooseEndpoint picks a suspect endpoint that is due for a trial, otherwise the least loaded one that may
// get a call. With RiskAfter set, a suspect comes last if all queued messages are too risky for a trial.
func (d *Dispatcher) chooseEndpoint(dest *destination) (best *endpoint, trial bool) {
	var riskySuspect *endpoint // a suspect that no queued message may be risked on
	for _, ep := range dest.endpoints {
		if d.nextSendAt(ep) > d.now {
			continue
		}
		if ep.suspect {
			if d.settings.RiskAfter == 0 || !d.allRisky(dest, ep) {
				return ep, true
			}
			riskySuspect = ep
			continue
		}
		if best == nil || d.load(ep) < d.load(best) {
			best = ep
		}
	}
	if best == nil && riskySuspect != nil {
		return riskySuspect, true
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
	case d.unconfirmed(ep, at), ep.maySendAfterError():
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
	load := float64(len(ep.calls))
	if ep.zone != d.settings.Zone {
		load++
	}
	if len(ep.calls) == 0 && (!ep.connOpen || d.now-ep.lastUsedAt > d.maxIdleAge(ep.destination)) {
		load++
	}
	return load
}

// updateRates sets the rates that the limits and ramps of a destination allow from now on. It is called when
// something that they depend on has changed, and only then: between two changes they are functions of time.
func (d *Dispatcher) updateRates(dest *destination) {
	ownDemand := dest.demand.rate(d.now)
	backlogDemand := dest.kind.retrySuccess * dest.kind.retrySuccess * float64(dest.queued) /
		(backlogAims * d.minAim.Seconds())
	demand := ownDemand + backlogDemand
	for _, ep := range dest.endpoints {
		limit, countedDemand := ep.limit, demand
		if d.testsRandomRefusals(limit) {
			countedDemand = ownDemand
		}
		limit.allowedShare, limit.shareSince, limit.shareGrowth =
			limit.allowedShareAt(d.now), max(d.now, limit.waitUntil), allowedSharePerMessage*min(countedDemand, 2)
		// The rate falls if no more messages arrive.
		rate := pace.Rate{From: limit.allowedShare * countedDemand, Rise: limit.shareGrowth * countedDemand,
			End: unlimitedShare * countedDemand}
		if rate.Rise -= limit.allowedShare * ownDemand / (demandFadeTaus * demandTau).Seconds(); rate.Rise < 0 {
			rate.End = limit.allowedShare * backlogDemand
		}
		switch {
		case limit.allowedShare >= unlimitedShare:
			rate = pace.Constant(limit.knownRate)
		case limit.knownRate > 0:
			rate.From, rate.End = min(rate.From, limit.knownRate), min(rate.End, limit.knownRate)
		}
		shareBurst := max(min(rateBurstSeconds*limit.allowedShare*ownDemand, maxBurstCalls),
			rampBurstTicks*d.settings.Tick.Seconds()*rate.From)
		maxBurst := max(1, shareBurst, rateBurstSeconds*limit.knownRate)
		if limit.unlimited = limit.allowedShare >= unlimitedShare && limit.knownRate <= 0; limit.unlimited {
			limit.tokens = pace.NewBucket(d.now, maxBurst)
		} else {
			limit.tokens.SetRate(d.now, limit.shareSince, rate, maxBurst)
		}
		if ep.suspect || d.cold(ep, d.now) {
			d.updateRamp(dest, ep, ownDemand)
		}
	}
}

// initWindow gives a destination that has completed no call yet its first window: a fair share of the slots,
// by the newest list.
func (d *Dispatcher) initWindow(dest *destination) {
	if dest.windowSlowStart && dest.endedCalls == 0 && dest.windowList != d.listNumber {
		dest.window, dest.windowList = d.fairWindow, d.listNumber
	}
}

// fairShare returns an equal share of the slots for each destination, at least one.
func (d *Dispatcher) fairShare() int { return max(1, d.settings.Slots/len(d.destinations)) }

// handleJoin handles an endpoint that is new to the list. If all others of its destination are suspect or
// cold, or left while the destination was shut, it starts cold as well, so that it does not get the whole
// backlog at once.
func (d *Dispatcher) handleJoin(dest *destination, ep *endpoint) {
	switch {
	case d.coldFromShut(ep.limit):
		d.startRamp(ep, ep.limit.opensAt)
	case dest.limit.failureStreak == 0 && !slices.ContainsFunc(dest.endpoints, d.unhealthy) ||
		slices.ContainsFunc(dest.endpoints, d.healthy):
	case !dest.outageRemembered && dest.readyCount() == 0:
		dest.limit.failureStreak = 0 // the endpoints that failed have left
	case slices.ContainsFunc(dest.endpoints, isReturnUnseen):
		d.markFailing(ep)
	default:
		d.startRamp(ep, d.now)
	}
}

// handleLastLeft decides whether a destination is in an outage when its last endpoint has left. It is if an
// endpoint has been failing for longer than a list may be late, or was cold. Otherwise the endpoint failed
// because it was leaving: its replacements are healthy and have a backlog to send. Risk: an outage that
// begins just before all endpoints are replaced is missed.
func (d *Dispatcher) handleLastLeft(dest *destination) {
	dest.outageRemembered = slices.ContainsFunc(dest.endpoints, func(ep *endpoint) bool {
		return ep.suspect && d.now-ep.downSince > listDelaySpans*d.settings.OverloadFor ||
			!ep.suspect && d.cold(ep, d.now)
	})
}

func isSuspect(ep *endpoint) bool { return ep.suspect }

// unhealthy reports whether an endpoint is suspect or cold.
func (d *Dispatcher) unhealthy(ep *endpoint) bool { return ep.suspect || d.cold(ep, d.now) }

// healthy reports whether an endpoint is listed ready and not unhealthy.
func (d *Dispatcher) healthy(ep *endpoint) bool { return ep.health == Ready && !d.unhealthy(ep) }

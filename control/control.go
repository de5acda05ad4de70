package control

// The interface - settings, events, actions - is in api.go. This file holds
// every decision. A message's path: arrive -> hold (lanes of its destination)
// -> dispatch -> gate -> launch -> outcome -> back to its hold, or finish.

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// Tuned values. None is a figure of one deployment; each says what it trades.
const (
	windowsPerRevision     = 4                 // F: completions of a whole window between two revisions
	maxCleanFailureShare   = 0.1               // an interval with more than this share of bad ends is not clean
	latencyGain            = 1.0 / 8           // weight of a new latency sample
	baselineGain           = 1.0 / 64          // the same for the long view, against which slow is told
	latencyPriorCount      = 2                 // samples that the latency of the kind counts for
	timeoutDeviations      = 6                 // deviations past the mean before silence is suspicious, more at first
	initialLatency         = 400 * Millisecond // latency believed before the first answer
	minResponseTimeout     = 300 * Millisecond // silence shorter than this is never suspicious: short pauses are common
	errorStreakLimit       = 5                 // errors in a row that make an endpoint suspect
	failuresToConfirm      = 2                 // calls in a row that met nobody or silence before an outage is sure
	failuresPerLostShare   = 6                 // so many more for the share of answers that get lost, times this
	lostGain               = 1.0 / 8           // weight of a new call in the share of answers that get lost over a kind
	minLostShare           = 0.01              // weight of them reckoned with at least
	lostDeviations         = 1                 // silence: so many deviations and one more for each factor e in that share
	slowFactor             = 3.0               // latency over its long view by this much: a slow destination
	trialIntervalGrowth    = 1.5               // each failed trial spaces the next one so much wider ...
	maxTrialInterval       = 2 * Second        // ... up to this; longer would waste what a returned endpoint can do
	unseenWarmUps          = 4                 // warm-ups in which one unseen since its failure may have got warm
	maxUnseenWarmUps       = 8                 // ... and after which it is tried like any other
	trialShare             = 0.5               // part of that which trials of a suspect take, as new senders try it, too
	initialBackoff         = 100 * Millisecond // least first pause after a refusal that told no wait; doubles ...
	maxBackoff             = 4 * Second        // ... up to this
	maxBackoffMessages     = 8                 // ... but no longer at first than so many messages take to come
	initialRandomShare     = 0.06              // share of the calls that a place refuses by chance, before more is known
	maxRandomShare         = 0.25              // where more are refused that is a limit
	measuredRandomShare    = 0.05              // such a share, once measured, is borne whatever the number of calls ...
	minExpectedRefusals    = 1.0               // ... else refusals are borne where chance makes at least so many expected
	randomDeviations       = 3                 // roots of what is expected that are chance, too; 1 before it is measured
	randomTestCalls        = 24                // calls at well under what was answered that measure it after a cut ...
	randomTestDuration     = Second            // ... within this time; these weigh as much as each other, and ...
	randomPriorCalls       = 8                 // ... what was known before as much as so many
	randomDecisionCalls    = 16                // after so many of them it may explain the cut ...
	randomCutFactor        = 1.5               // ... if the share refused before was no more than this many times it
	cutGracePeriod         = Second / 2        // sooner after a cut, and before that many calls, refusals are weighed first
	wellBelowPart          = 0.9               // part of what was answered that is well under it
	allowedShareCut        = 0.7               // share of the own demand allowed after a refusal, of the share before
	allowedSharePerOK      = 0.1               // its growth by an ok, but no faster than this in a second ...
	allowedSharePerMessage = 0.05              // and by a message of the demand, two a second at most
	minAllowedShare        = 0.05              // its floor
	backlogAims            = 2                 // aims after which a held message is demand again, times the square of ...
	initialRetrySuccess    = 0.3               // ... how often over a kind the call after a refusal goes well, at first
	unlimitedShare         = 2.0               // past so many times the demand a limit is not felt any more
	rateTau                = 2 * Second        // memory of the measured rates
	initialMeterHistory    = Second / 2        // history reckoned for a rate that has just begun to be measured
	demandTau              = 10 * Second       // memory of the demand that ramps and shares are sized by
	demandFadeTaus         = 4                 // so many times this is how long a demand counts of which no more comes
	listDelaySpans         = 2                 // overload spans for which one that fails may be leaving, and the list late
	rateBurstSeconds       = 0.5               // seconds of the release rate that may go at once
	maxBurstCalls          = 5                 // calls that a share may let go at once, or what rampBurstTicks take
	roughWeightSlack       = 1.5               // a rough listed rate may be this much too low
	rampMargin             = 1.5               // a ramp's rate over own demand x warmth, under tip-multiple
	rampWarmUps            = 1.0               // warm-ups after a return until all that is held may go at once
	rampBurstTicks         = 4                 // ticks of what a ramp lets go that may gather, if more than a call
	batchMessageCost       = 0.25              // push of each further message of a call on a cold endpoint
	scarceDuration         = 30 * Second       // connections count as scarce so long after the last sign of it
	confirmedDropShare     = 0.2               // share of calls on idle connections that fail before they count as dropped
	safeIdleShare          = 0.8               // idle connections are used up to this part of the age at which one failed
	safeIdleGrowth         = 1.02              // growth of that age by an ok
	quotaMargin            = 1.1               // a tenant is over its share when past it by this factor
	minQueueDelay          = 500 * Millisecond // bounds on how far ahead the wait for a turn is reckoned; the upper one
	maxQueueDelay          = 8 * Second        // keeps a stalled hold comparable with a busy one
	minServiceRate         = 0.2               // calls a second reckoned for a destination that answers nothing
	worthTieBreak          = 0.01              // of its worth counts for a message that loses nothing by waiting
	stuckTimeouts          = 2                 // silences after which a call is given up
	openReserveDivisor     = 16                // one part in so many of max-open is kept free for better messages
	wakeTicks              = 4                 // ticks between looks at the clock while anything is held or out
	maxSendsPerStep        = 250               // calls that one Step starts at most: the next Step follows at once
	maxScansPerStep        = 1000              // destinations that it wakes, and as many whose calls it judges
	cleanupInterval        = 10 * Second       // how often state without use is looked for and operators are told something
)

// Dispatcher decides for one relay. It is deterministic and not safe for concurrent use.
type Dispatcher struct {
	settings                              Settings
	randomState                           uint64
	minAim                                Time // the least aim of a class
	now, nextTimer, cleanedAt, nextNoteAt Time
	actions                               []Action
	messages                              map[MessageID]*message
	keys                                  map[uint64]*orderKey
	destinationByNumber                   map[int]*destination
	endpointByID                          map[Endpoint]*endpoint
	idleKeys                              []*orderKey
	destinations                          []*destination
	kinds                                 []*kindState
	freed, removed                        []*endpoint // calls there ended in this round; those gone that failed or were cold
	usedSlots, openMessages               int         // slots taken; messages owed an answer
	arrivalCount, round                   uint64
	tenantRates                           []meter
	totalRate                             meter
	totalQuota, weightSlack               float64 // messages a second within all shares; factor on a listed rate
	lostShare                             float64 // share of answers that get lost
	wereSlotsShort                        bool
	slotsShort, paused                    bool // messages wait for want of slots; nothing can be sent
	moreWork                              bool // this Step left something to the next
	keysBlockedUntil                      Time // until then new keys rest: calls of an earlier process may run

	rounds      // which destinations a round looks at: rounds.go
	timeoutScan // which calls are to be judged, and which destination has least to lose: lookout.go
	worthIndex
	listState // state.go
}

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		settings: s, randomState: seed*2862933555777941757 + 3037000493, minAim: s.Classes[0].Aim, lostShare: minLostShare,
		messages: map[MessageID]*message{}, keys: map[uint64]*orderKey{}, destinationByNumber: map[int]*destination{},
		endpointByID: map[Endpoint]*endpoint{}, tenantRates: make([]meter, len(s.Tenants)),
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

// Step handles the events of one round, dispatches once and returns actions with its own appended.
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
	case Tick: // the message's time is nearly up
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

// ---- arrival, hold, end ----

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
	m := &message{id: e.Message, class: c, destination: d.destination(e.Destination), arrivalNumber: d.arrivalCount, deadline: d.now + e.TimeLeft}
	m.submittedAt = m.deadline - c.Deadline
	if m.tries = e.Tries; e.DoubtAge > 0 {
		m.inDoubt, m.doubtSince, m.doubtZone = true, d.now-e.DoubtAge, e.DoubtZone
	}
	age := Time(0)
	if e.Restored { // what was held does not all come now: it would swell the demand that ramps are sized by
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
	if !e.Resent { // ramps and shares are sized by the demand: a return must not be pushed over by what lay here
		m.destination.demand.addAged(d.now, age)
		d.updateRates(m.destination)
	}
	// The answer leaves before the time is up, one round early for rounding.
	a := Action{Kind: Timer, Message: m.id, After: max(e.TimeLeft-2*d.settings.Tick, 0), TimerID: uint64(m.id) + 1}
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
	case d.exhausted(m): // taken over from a process that ended
		d.finish(m, true)
	case m.key != nil:
		d.advanceKey(m.key)
	default:
		d.enqueue(m)
	}
}

// exceedsQuota tells whether a tenant now sends more than its share, measured against what comes here.
func (d *Dispatcher) exceedsQuota(t int, age Time) bool {
	d.totalRate.addAged(d.now, age)
	if t < 0 || t >= len(d.tenantRates) || d.totalQuota <= 0 {
		return false
	}
	d.tenantRates[t].addAged(d.now, age)
	part := max(1/float64(d.settings.Instances), d.totalRate.rate(d.now)/d.totalQuota)
	return d.tenantRates[t].rate(d.now) > d.settings.Tenants[t].Quota*part*quotaMargin
}

// advanceKey puts the message whose turn it is into its hold. One that waits for its turn is in no hold.
func (d *Dispatcher) advanceKey(k *orderKey) {
	for len(k.queue) > 0 && k.queue[0].ended && k.queue[0].call == nil {
		k.queue = k.queue[1:]
	}
	if len(k.queue) == 0 {
		if !k.cleanupPending { // its rest binds those to come; it is dropped later
			k.cleanupPending = true
			d.idleKeys = append(d.idleKeys, k)
		}
		return
	}
	if m := k.queue[0]; m.queued { // another one with its key, elsewhere, was before it
		d.wakeDestination(m.destination)
	} else if !m.ended && m.call == nil {
		d.enqueue(m)
	}
}

// enqueue puts a message into its lane, by age. A hold turning non-empty takes the least other counter.
func (d *Dispatcher) enqueue(m *message) {
	t := m.destination
	d.wakeDestination(t)
	if t.queued == 0 {
		t.virtualTime = d.leastVirtualTime(t)
	}
	t.enqueue(m)
	d.updateHeaps(t)
}

// finish gives a final answer: handed back, if that is wanted and provably harmless, else failed.
func (d *Dispatcher) finish(m *message, back bool) {
	a := Action{Kind: Fail, Message: m.id}
	if back && d.refusable(m) {
		a.Kind, a.After = Refuse, max(m.destination.limit.waitUntil-d.now, 0) // sooner it would only be held
	}
	d.actions = append(d.actions, a)
	d.remove(m)
}

// refusable tells whether handing the message in again can do no harm.
func (d *Dispatcher) refusable(m *message) bool {
	maybe := m.inDoubt || m.call != nil
	return !maybe || m.class.Effect == Free || m.class.Effect == Guarded && !m.class.ZoneGroup
}

// remove drops a message that is answered; one with an attempt out is kept until its outcome.
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

// shed keeps room below max-open by handing back what is worth least, from the lanes' two ends. Guards
// against overload and outages filling the hold. It could hurt just before an outage ends.
func (d *Dispatcher) shed() {
	for d.openMessages > d.settings.MaxOpen-d.settings.MaxOpen/openReserveDivisor-1 {
		worst := d.leastWorthMessage()
		if worst == nil {
			return
		}
		// Other senders know as little of a limit where traffic is rare: clients should not try them.
		hopeless := worst.destination.limit.allowedShareAt(d.now) < 1 && worst.destination.demand.rate(d.now)*d.minAim.Seconds() < 1
		d.finish(worst, !hopeless)
	}
}

// leastValuable is the message of a destination that is worth least, and what it is worth: of the two ends of each
// lane, as it will be when the hold is worked off.
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

// ---- ordinary path: turns and windows ----

// dispatch hands free slots to the destinations with the smallest counters. Slots are short where a message
// could go for all else.
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

// queue tells what a destination would send, and where, or why it can't. Asking changes nothing, but that
// messages which can't be tried again end.
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

// send sends the head of a destination's hold, with others in the same call where its kind allows.
func (d *Dispatcher) send(t *destination, ep *endpoint, m *message, trial bool) {
	c := &call{endpoint: ep, sentAt: d.now, trial: trial, connIdle: d.closeStale(ep)}
	c.wellBelowLimit = d.testsRandomRefusals(ep.limit) && ep.limit.allowedShareAt(d.now) <= ep.limit.wellBelowShare
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
	if !d.unconfirmed(ep, d.now) { // the trial that makes sure is not of the ramp
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

// permits is the one place that permits a send; every rule that binds sends is here.
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

// MayWrite tells whether an attempt that has not been written yet still may be: the gate's rules on health, waits
// and time, as far as they can have changed since.
func (d *Dispatcher) MayWrite(now Time, id MessageID, attempt int) bool {
	m := d.messages[id]
	if m == nil || m.ended || m.call == nil || m.tries-1 != attempt || m.call.cancelRequested {
		return false
	}
	if m.inDoubt && m.class.Effect == Guarded && now+d.settings.Tick >= m.doubtSince+m.class.Window {
		return false // a dial may take longer than the key is remembered
	}
	return m.call.endpoint.health == Ready && now >= m.call.endpoint.limit.toldWaitUntil && now < m.deadline
}

// nextMessage picks the message to send: of the oldest of each lane, the one that would lose most worth by
// waiting until the hold is worked off. With a short hold none loses any and worth decides.
func (d *Dispatcher) nextMessage(t *destination, ep *endpoint, trial bool) *message {
	var best *message
	top := -1.0
	mean, _ := d.latency(t)
	soon := d.now + Time(mean)
	wait := d.queueDelay(t, d.now)
	for i := range t.queues { // before all else: the next one with its key may come into another lane
		for t.queues[i].len() > 0 && d.exhausted(t.queues[i].all()[0]) {
			d.finish(t.queues[i].all()[0], true)
		}
	}
	for i := range t.queues {
		if t.queues[i].len() == 0 {
			continue
		}
		// The oldest, and the oldest still in time: late worth may have nothing more to lose.
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

// tooRiskyForTrial tells that a trial may not take a message of the class: a doubtful unsafe one could only fail. Trials
// risk it after proof that calls do not run, or when they are rare.
func (d *Dispatcher) tooRiskyForTrial(c *Class, ep *endpoint) bool {
	overdue := d.settings.RiskAfter > 0 && d.now >= ep.nextTrialAt+d.settings.RiskAfter
	return c.Effect == SingleShot && !ep.provenDown && ep.trialInterval < maxTrialInterval && !overdue
}

// queueDelay reckons how long the hold takes to be worked off.
func (d *Dispatcher) queueDelay(t *destination, now Time) Time {
	wait := float64(t.queued) / max(t.limit.okMeter.rate(now), minServiceRate) * float64(Second)
	return min(max(Time(wait), minQueueDelay), maxQueueDelay)
}

// exhausted tells that no attempt can ever be made again.
func (d *Dispatcher) exhausted(m *message) bool {
	if m.tries >= d.settings.MaxTries || m.inDoubt && m.class.Effect == SingleShot {
		return true
	}
	return m.inDoubt && m.class.Effect == Guarded && d.now+d.settings.Tick >= m.doubtSince+m.class.Window
}

// maxWindow is the most calls out to one destination: under three quarters of the slots.
func (d *Dispatcher) maxWindow() int { return max(1, (3*d.settings.Slots+3)/4-1) }

// destinationUnhealthy tells that a destination fails or is slow.
func (d *Dispatcher) destinationUnhealthy(t *destination) bool {
	return t.latencyStats.mean > slowFactor*t.longTermLatency || slices.ContainsFunc(t.endpoints, isSuspect)
}

// effectiveWindow is the window in force: failing and slow destinations share half of the slots among them all, so
// that two of them cannot hold two slots of two.
func (d *Dispatcher) effectiveWindow(t *destination) int {
	d.initWindow(t)
	if !d.destinationUnhealthy(t) {
		return max(1, min(t.window, d.maxWindow()))
	}
	return min(t.window, d.maxUnhealthyCalls()-(d.unhealthyCalls-t.unhealthyCalls), d.maxWindow())
}

// maxUnhealthyCalls is the most calls out to all those that fail or are slow: less while messages wait for slots.
// Guards against a slow one with much traffic, whose calls take ten times as long, in half of the slots.
func (d *Dispatcher) maxUnhealthyCalls() int {
	if d.wereSlotsShort {
		return max(1, d.settings.Slots/3)
	}
	return max(1, d.settings.Slots/2)
}

// reviseWindow is the window's completion test; w still counts the call that ended.
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

// ---- outcomes and what is learned from them ----

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

// slotCost is what a call costs its destination's counter: the seconds that it held a slot, over the listed
// weight. Where none are listed the rate at which messages come for it stands in. Guards against one with
// much of the traffic getting no more of scarce slots than any other. It could hurt beside a flooded one.
func (d *Dispatcher) slotCost(t *destination, held Time) float64 {
	if d.settings.Weights != WeightNone {
		return held.Seconds() / t.weight
	}
	return held.Seconds() / max(1, t.demand.rate(d.now))
}

// settleCall takes one message of a call off it; the first outcome is learned from, the last frees the slot.
func (d *Dispatcher) settleCall(c *call, e *Event) {
	c.unsettled--
	if e.RetryAfter > 0 { // every outcome's wait binds, also of a call learned from already
		c.endpoint.limit.toldWaitUntil = max(c.endpoint.limit.toldWaitUntil, d.now+e.RetryAfter)
		c.endpoint.limit.waitUntil = max(c.endpoint.limit.waitUntil, d.now+e.RetryAfter+d.settings.Tick)
		if e.RetryAfter > d.settings.OverloadFor { // no limit tells so long a wait: it is shut, and opens then, cold
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
		// An outage, or all its connections are taken. Idle ones of many senders fill a table made for calls.
		if d.settings.Instances > d.settings.Slots {
			t.kind.connsScarceUntil = d.now + scarceDuration
		}
		if ep.failureStreak == 0 && len(ep.calls) > 1 && d.now-ep.lastResponseAt < d.responseTimeout(t) {
			d.recordRefusal(ep, c, 0) // others are answered: no outage
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

// latencyStats is what a destination's calls take and how much that varies: its own samples, or those of its kind.
func (d *Dispatcher) latency(t *destination) (mean, dev float64) {
	if t.latencyStats.samples > 0 {
		return t.latencyStats.mean, t.latencyStats.deviation
	}
	return t.kind.latency()
}

func (k *kindState) latency() (mean, dev float64) {
	if k.latencyStats.samples > 0 {
		return k.latencyStats.mean, k.latencyStats.deviation
	}
	return float64(initialLatency), float64(initialLatency) / 2
}

// recordLatency learns the latency of a destination and of its kind.
func (d *Dispatcher) recordLatency(t *destination, lag float64) {
	if t.latencyStats.samples == 0 {
		t.latencyStats.mean, t.latencyStats.deviation = d.latency(t)
		t.longTermLatency = lag
	}
	t.latencyStats.add(lag, max(latencyGain, 1/(t.latencyStats.samples+latencyPriorCount+1)))
	t.longTermLatency += baselineGain * (lag - t.longTermLatency)
	t.kind.latencyStats.add(lag, max(baselineGain, 1/(t.kind.latencyStats.samples+1)))
}

// responseTimeout is how long a destination may say nothing with a call out before that is suspicious.
func (d *Dispatcher) responseTimeout(t *destination) Time {
	mean, dev := d.latency(t)
	return timeoutFor(mean, dev, min(timeoutDeviations, lostDeviations-math.Log(d.lostShare)), t.latencyStats.samples)
}

func timeoutFor(mean, dev, devs, n float64) Time {
	return max(minResponseTimeout, Time(mean+dev*devs*(1+1/(1+n))))
}

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
		p.allowedShare = p.allowedShareAt(d.now) + allowedSharePerOK*min(1, (d.now-max(p.lastOKAt, p.lastCutAt)).Seconds())
		p.shareSince = max(d.now, p.shareSince)
	}
	if k := ep.destination.kind; c.connIdle > 0 {
		k.idleDropShare -= lostGain * k.idleDropShare
		k.safeIdle = min(Time(safeIdleGrowth*float64(k.safeIdle)), d.settings.ConnIdle*2)
	}
	if p.refusalStreak > 0 && p.refusedSince > 0 && d.now-p.refusedSince > d.settings.OverloadFor {
		d.startRamps(ep, d.now) // it may have been shut
	}
	if p.refusalStreak > 0 {
		ep.destination.kind.retrySuccess += lostGain * (1 - ep.destination.kind.retrySuccess)
	}
	down, sure := d.outage(ep)
	gone := d.now - down
	few := c.trial || d.cold(ep, d.now) // calls go there one by one; else it may only be slow
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
	if c.sentAt >= ep.downSince { // one that was late says nothing of the others
		p.failureStreak = 0
	}
}

// outageRemembered tells since when endpoints of a limit are suspect, and whether what failed there means an outage. It
// mostly takes all of them: where none has answered since, the first answer is the return of all, tried or
// not. It came at some moment since the last failure: the latest that can be is now, and who reckons so does
// not take it for warmer than it is.
func (d *Dispatcher) outage(ep *endpoint) (since Time, sure bool) {
	since = never
	for _, o := range ep.destination.endpoints {
		if o.limit == ep.limit && o.suspect {
			since, sure = min(since, o.downSince), sure || o.provenDown || d.outageConfirmed(o)
		}
	}
	return since, sure
}

// handleReturn judges what the first answer of a suspect tells where others have answered meanwhile, or soon. A
// failure that the next call does not bear out was a lost answer or a dropped connection.
func (d *Dispatcher) handleReturn(ep *endpoint, c *call) {
	gone := d.now - ep.downSince
	switch {
	case d.coldSibling(ep) || gone > d.settings.OverloadFor/2 && d.cold(ep, d.now):
		d.startRamp(ep, d.now)
	case !c.trial && gone <= 2*d.settings.OverloadFor: // late, not lost: it is slow
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

// couldOverload tells that a destination has so much traffic that what goes there could push it over.
func (d *Dispatcher) couldOverload(t *destination) bool {
	return t.queued > 0 || t.demand.rate(d.now)*d.settings.OverloadFor.Seconds() > 0.5
}

// outageConfirmed tells that what failed in a row means an outage. It mostly takes all endpoints of a destination: those
// that fail now bear each other out. Where answers get lost it takes more of them.
func (d *Dispatcher) outageConfirmed(ep *endpoint) bool {
	n := failuresToConfirm
	if !ep.provenDown {
		n += int(failuresPerLostShare * d.lostShare)
	}
	return max(ep.failureStreak, ep.limit.failureStreak) >= n || ep.errorStreak >= errorStreakLimit
}

// startRamps starts the ramps of all that share an endpoint's limit.
func (d *Dispatcher) startRamps(ep *endpoint, back Time) {
	for _, o := range ep.destination.endpoints {
		if o.limit == ep.limit {
			d.startRamp(o, back)
		}
	}
}

// startRamp starts an endpoint's ramp, as if it had come back, or were to, at the moment given.
func (d *Dispatcher) startRamp(ep *endpoint, back Time) {
	ep.rampStart, ep.ramp = back, pace.NewBucket(d.now, d.random())
	if back <= d.now {
		d.note(ep.destination, "is back, cold: its calls rise over the warm-up")
	}
}

// recordFailure counts calls that met nobody or silence; only one sent after the last failure was known is new
// evidence. One is enough to hold messages back and send single trials, as a sender with little traffic may
// see no second. Guards against crashes, silence, hangs and floods of errors. It could hurt at rare answers.
func (d *Dispatcher) recordFailure(ep *endpoint, c *call, proven bool) {
	if c.sentAt >= ep.lastFailureAt {
		ep.failureStreak++
		ep.limit.failureStreak++ // kept when an endpoint that failed leaves the list
		ep.lastFailureAt, ep.provenDown, ep.failedConnIdle = d.now, proven, c.connIdle
	}
	ep.provenDown = ep.provenDown || proven // silence at first, then no connection: it was no lost answer
	if ep.suspect {
		return
	}
	if t := ep.destination; !slices.ContainsFunc(t.endpoints, d.unhealthy) { // in an outage and on a ramp it takes less
		t.rateBeforeOutage = t.served.rate(t.served.at)
	}
	ep.suspect, ep.downSince, ep.ramp = true, d.now, pace.NewBucket(d.now, d.random())
	if ep.nextTrialAt, ep.trialInterval = d.now, d.responseTimeout(ep.destination); ep.provenDown {
		ep.nextTrialAt += Time(d.random() * float64(ep.trialInterval))
	}
}

// recordRefusal learns from a refusal: waits are kept, a smaller share of the own demand is let go.
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
		p.cutRefusedShare = 0 // else this cut is for the same as the one before
	}
	p.cutRefusedShare, p.wellBelowShare = max(p.cutRefusedShare, part), wellBelowPart*was*(1-part)
	p.lastCutAt, p.wellBelowCalls, p.refusedMeter, p.endedMeter = d.now, 0, d.newCallMeter(), d.newCallMeter()
	p.allowedShare, p.shareSince = max(min(was*allowedShareCut, p.wellBelowShare), minAllowedShare), max(d.now, p.waitUntil)
	p.tokens.Cap(d.now, d.random()) // retries, too, stay within the share
}

// refusalsTolerated tells that the refusals since the last cut are no more than chance has. Guards against cuts by
// refusals at random, which no lower rate avoids. It could hurt at a true limit: some more calls are over it.
func (d *Dispatcher) refusalsTolerated(p *rateLimit, want float64) bool {
	no, all := p.refusedMeter.sum, p.endedMeter.sum
	few := p.randomShare * all
	if (few >= minExpectedRefusals || p.toleratedDeviations > 1 && p.randomShare >= measuredRandomShare) && no < few+p.toleratedDeviations*math.Sqrt(few) {
		return true
	}
	// Right behind a cut single refusals tell nothing yet, where calls are so many that more is known soon.
	most := maxRandomShare * all
	soon := all < randomDecisionCalls && d.now-p.lastCutAt < cutGracePeriod && want*cutGracePeriod.Seconds() > randomDecisionCalls/2
	return soon && no < 1+most+math.Sqrt(most)
}

// randomShare learns which share of the calls a place refuses whatever comes: from calls at well under what it
// answered, where a limit refuses none. If that explains the last cut, there is no limit.
func (d *Dispatcher) learnRandomRefusals(p *rateLimit, c *call, refused float64) {
	if !c.wellBelowLimit || c.sentAt < p.lastCutAt {
		return
	}
	p.wellBelowCalls++
	if p.randomShare += (refused - p.randomShare) / (p.wellBelowCalls + randomPriorCalls); p.randomShare > maxRandomShare {
		p.randomShare = 0
	}
	if p.wellBelowCalls < randomDecisionCalls {
		return
	}
	if p.toleratedDeviations = randomDeviations; p.cutRefusedShare <= randomCutFactor*p.randomShare {
		p.allowedShare, p.shareSince = unlimitedShare, d.now
	}
}

// testsRandomRefusals tells that calls are to tell chance from a limit: what is held does not swell their rate.
func (d *Dispatcher) testsRandomRefusals(p *rateLimit) bool {
	return p.lastCutAt > 0 && p.wellBelowCalls < randomTestCalls && d.now-p.lastCutAt < randomTestDuration
}

// ---- connections ----

// safeIdle is the age up to which an idle connection is used.
func (d *Dispatcher) maxIdleAge(t *destination) Time {
	return min(d.settings.ConnIdle, Time(safeIdleShare*float64(t.kind.safeIdle)))
}

// closeScarce closes what this round left idle where connections are scarce. Guards against tables filled by the
// idle connections of many senders. It could hurt by handshakes, where the failed connect was an outage.
func (d *Dispatcher) closeScarce() {
	for _, ep := range d.freed {
		if len(ep.calls) == 0 && ep.connOpen && d.now < ep.destination.kind.connsScarceUntil {
			d.actions = append(d.actions, Action{Kind: Close, Endpoint: ep.id})
			ep.connOpen = false
		}
	}
	d.freed = d.freed[:0]
}

// closeStale closes connections idle for longer than is known to be safe before a call goes out on one, and
// tells how long the one that is used was idle. Guards against connections that were dropped unseen.
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

// ---- health ----

// checkCalls judges calls still out by their age and gives up those overtaken by later ones or at a suspect: those
// whose messages can go again, others only where messages wait for slots. Guards against hangs, lost answers
// and dead connections. It could hurt a slow destination, where work is done twice; trials wait longer.
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
			// Where answers get lost or messages wait for slots one silence is enough.
			age, once := float64(d.now-c.sentAt)/float64(limit), min(1, failuresPerLostShare*d.lostShare)
			patience := stuckTimeouts - once
			switch {
			case c.trial:
				patience = float64(1 + min(ep.failureStreak, errorStreakLimit))
			case d.slotsShort: // a slot of two is dearer than one of ten
				patience = max(1, patience-2/float64(d.settings.Slots))
			}
			if age > patience && (ep.lastOKSentAt > c.sentAt || ep.suspect) {
				d.cancelCall(c, d.slotsShort && age > patience*(stuckTimeouts-once))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can go again; force also gives up the others.
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

// knownRate tells that a call has messages that can't go again.
func (c *call) unrepeatable(most int) bool {
	return slices.ContainsFunc(c.messages, func(m *message) bool {
		return m.call == c && (m.class.Effect == SingleShot || m.tries >= most)
	})
}

// chooseEndpoint picks an endpoint: a trial that is due, else the least loaded, warm and near one.
func (d *Dispatcher) chooseEndpoint(t *destination) (best *endpoint, trial bool) {
	var tried *endpoint // that which nothing held may try
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

// nextSendAt is the first moment, now or later, at which health, waits, limit and ramp let a call go to an
// endpoint, if nothing happens until then.
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

// unconfirmed tells that a call to a suspect at a moment is to tell whether there is an outage at all.
func (d *Dispatcher) unconfirmed(ep *endpoint, at Time) bool {
	return ep.suspect && !d.outageConfirmed(ep) && !d.cold(ep, at)
}

// load is the load of an endpoint in calls; a handshake or a crossing counts as one more.
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

// updateRates sets what the limits and the ramps of a destination let go from now on. It is called when something
// that this goes by has changed, and only then: between two happenings all of it is a function of time.
func (d *Dispatcher) updateRates(t *destination) {
	own := t.demand.rate(d.now)
	held := t.kind.retrySuccess * t.kind.retrySuccess * float64(t.queued) / (backlogAims * d.minAim.Seconds())
	want := own + held
	for _, ep := range t.endpoints {
		p, want := ep.limit, want
		if d.testsRandomRefusals(p) {
			want = own
		}
		p.allowedShare, p.shareSince, p.shareGrowth = p.allowedShareAt(d.now), max(d.now, p.waitUntil), allowedSharePerMessage*min(want, 2)
		// Where no more comes what is let go falls off.
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
		burst := max(min(rateBurstSeconds*p.allowedShare*own, maxBurstCalls), rampBurstTicks*d.settings.Tick.Seconds()*r.From)
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

// updateRamp sets what may go to a suspect, or to one back from an outage: its part of what its destination took
// before (of the demand where that is not known) times its warmth, with a drawn start, so that all senders
// together stay within what a cold one can do however many they are. Guards against pushing it over. It could
// hurt a wrongly suspected one, which is used less for the warm-up.
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

// cold tells that an endpoint is not warm for sure at a moment, or will open, cold, only then.
func (d *Dispatcher) cold(ep *endpoint, at Time) bool { return ep.rampStart != 0 && at < d.warmAt(ep) }

// warmAt is when an endpoint that was cold is warm for sure.
func (d *Dispatcher) warmAt(ep *endpoint) Time {
	return ep.rampStart.After(Time(rampWarmUps * float64(d.settings.WarmUp)))
}

// initWindow gives a destination without calls yet its first window: a fair share of the slots, as listed.
func (d *Dispatcher) initWindow(t *destination) {
	if t.windowSlowStart && t.endedCalls == 0 && t.windowList != d.listNumber {
		t.window, t.windowList = d.fairWindow, d.listNumber
	}
}

// fairShare is a fair share of the slots.
func (d *Dispatcher) fairShare() int { return max(1, d.settings.Slots/len(d.destinations)) }

// handleJoin judges an endpoint new to the list: one that joins a destination which is all down or cold shares
// its fate, as the held messages must not be dumped on it.
func (d *Dispatcher) handleJoin(t *destination, ep *endpoint) {
	switch {
	case t.limit.failureStreak == 0 && !slices.ContainsFunc(t.endpoints, d.unhealthy) || slices.ContainsFunc(t.endpoints, d.healthy):
	case !t.outageRemembered && t.readyCount() == 0:
		t.limit.failureStreak = 0 // what failed there left
	default:
		d.startRamp(ep, d.now)
	}
}

// handleLastLeft judges what the last endpoint of a destination leaves behind when it goes: an outage, if one had
// failed for longer than a list is late, or was cold. Else it failed because it was going: those that replace
// it are well, and have much to do. It could hurt where an outage begins just before all are replaced.
func (d *Dispatcher) handleLastLeft(t *destination) {
	t.outageRemembered = slices.ContainsFunc(t.endpoints, func(o *endpoint) bool {
		return o.suspect && d.now-o.downSince > listDelaySpans*d.settings.OverloadFor || !o.suspect && d.cold(o, d.now)
	})
}

// coldSibling tells that another endpoint of the same limit is back from an outage: its first answer has wiped
// what failed at all of them.
func (d *Dispatcher) coldSibling(ep *endpoint) bool {
	return slices.ContainsFunc(ep.destination.endpoints, func(o *endpoint) bool {
		return o != ep && o.limit == ep.limit && d.cold(o, d.now) && !o.suspect
	})
}

func isSuspect(ep *endpoint) bool                 { return ep.suspect }
func (d *Dispatcher) unhealthy(ep *endpoint) bool { return ep.suspect || d.cold(ep, d.now) }
func (d *Dispatcher) healthy(ep *endpoint) bool   { return ep.health == Ready && !d.unhealthy(ep) }

package control

// This file holds every decision. Settings, events and actions are in api.go.
//
// A message arrives (handleArrival) and waits in a queue of its destination (enqueue). In each round dispatch
// goes through the destinations in turn and sends what planSend and permits allow (send). The outcome
// (handleOutcome) puts the message back into its queue or ends it (finish, remove).

import (
	"math"
	"slices"

	"curlewmux/pace"
)

// Tuning constants. None of them is specific to one deployment.
const (
	fairF      = 4   // completions between two revisions of a window, as a multiple of the window
	cleanShare = 0.1 // an interval with a larger share of failed calls is not clean

	// Latency, response timeouts and outages.
	latGain     = 1.0 / 8           // weight of a new latency sample
	baseGain    = 1.0 / 64          // its weight in the long-term baseline that slowness is measured against
	priorCount  = 2                 // samples that the latency of the kind counts for
	devs        = 6                 // most deviations above the mean in a timeout; more with few samples
	firstLat    = 400 * Millisecond // assumed before the first response
	leastSilent = 300 * Millisecond // no shorter silence is suspicious, as short pauses are common
	failStreak  = 5                 // consecutive errors that make an endpoint suspect
	sureAfter   = 2                 // consecutive failed connects or timeouts that confirm an outage
	sureLost    = 6                 // further ones needed for it, times the share of lost responses
	lostGain    = 1.0 / 8           // weight of a new call in the share of lost responses, and in the shares of a kind
	leastLost   = 0.01              // lower bound of the share of lost responses
	// Deviations in a timeout if all responses get lost. A share smaller by a factor e adds one deviation.
	lostDevs   = 1
	slowFactor = 3.0 // a destination is slow if its latency exceeds its baseline by this factor

	// Trial calls to suspect endpoints.
	trialGrow = 1.5        // factor by which the interval to the next trial call grows with each one
	trialMost = 2 * Second // upper bound of that interval: a longer one wastes capacity of a returned endpoint
	doubtFade = 4          // warm-ups within which an endpoint not seen since its failure may have become warm
	doubtEnd  = 8          // warm-ups after a failure until a ramp no longer limits the trial calls
	trialPart = 0.5        // share of a ramp's rate that trial calls use, as new senders try the endpoint, too

	// Backoff after a refusal that told no wait.
	backoffBase = 100 * Millisecond // first backoff; each further one in a row is twice as long
	backoffMost = 4 * Second        // upper bound of a backoff
	pauseCalls  = 8                 // the first backoff lasts no longer than this many messages take to arrive

	// Refusals at random, as opposed to those of a rate limit.
	chanceFirst = 0.06   // share of calls assumed to be refused at random until it is measured
	chanceMost  = 0.25   // a larger refused share is a rate limit
	chanceSure  = 0.05   // from this measured share on, refusals are tolerated for any number of calls
	chanceFew   = 1.0    // below that share they are tolerated if at least this many random ones are expected
	chanceDevs  = 3      // tolerated excess of refusals, in square roots of the expected number; 1 until measured
	chanceTest  = 24     // calls well below the answered rate that measure the share after a cut; all weigh the same
	chanceFor   = Second // time after a cut within which these calls have to go
	chancePrior = 8      // calls that the estimate from before these calls counts for
	chanceTells = 16     // calls well below the answered rate after which random refusals may explain the cut
	chanceSlack = 1.5    // they do if the refused share before the cut is at most this many times theirs
	// Sooner after a cut, and before chanceTells calls, refusals are only counted if that many are soon due.
	chanceWait = Second / 2
	lowPart    = 0.9 // up to this part of the answered rate, a rate is well below it

	// The allowed share: how much of its demand a destination is sent while it refuses calls.
	allowCut   = 0.7  // factor on the allowed share at a refusal
	allowOK    = 0.1  // growth of the allowed share by an OK, and the most by OKs in one second
	allowRise  = 0.05 // growth of the allowed share by a message of the demand, at most two a second
	leastAllow = 0.05 // lower bound of the allowed share
	// A backlog adds demand as if it were sent within this many aims, times the square of the kind's share of
	// calls that succeed after a refusal.
	heldAims   = 2
	firstAgain = 0.3 // initial value of that share
	unfelt     = 2.0 // from this allowed share on, a limit no longer has an effect

	// Measured rates, bursts and ramps.
	rateTau    = 2 * Second  // time constant of the measured rates
	meterStart = Second / 2  // history assumed for a rate that has just begun to be measured
	demandTau  = 10 * Second // time constant of the demand that ramps and shares are sized by
	fadeTaus   = 4           // a demand counts for this many of its time constants after the last message
	leaveLate  = 2           // overload spans by which the list may be late when a failing endpoint leaves
	rateBurst  = 0.5         // seconds of the allowed rate that may go at once
	burstMost  = 5           // most calls that an allowed share lets go at once, if rampTicks do not allow more
	roughSlack = 1.5         // a rough listed rate may be too low by this factor
	rampMargin = 1.5         // a ramp's rate over own demand x warmth; below tip-multiple
	rampHold   = 1.0         // warm-ups after a return until the whole backlog may go at once
	rampTicks  = 4           // ticks of a ramp's rate that may accumulate, if that is more than one call
	batchExtra = 0.25        // load of each further message of a call on a cold endpoint

	// Connections.
	scarceFor = 30 * Second // connections count as scarce for this long after the last sign of it
	dropsSure = 0.2         // share of calls failing on idle connections which shows that these are dropped
	keepShare = 0.8         // idle connections are used up to this part of the age at which one failed
	keepGrow  = 1.02        // growth of that age by an OK

	// Choice of messages.
	overMargin = 1.1               // a tenant is over its share when it exceeds it by this factor
	leastAhead = 500 * Millisecond // lower bound of the estimated queue delay
	mostAhead  = 8 * Second        // its upper bound, which keeps a stalled queue comparable with a busy one
	leastFlow  = 0.2               // calls a second assumed for a destination that answers nothing
	worthTie   = 0.01              // share of its worth that counts for a message that loses nothing by waiting

	stuckAfter  = 2           // response timeouts after which a call is abandoned
	openReserve = 16          // one part in this many of max-open is kept free for better messages
	wakeTicks   = 4           // ticks until the next timer while any message is open or call is out
	sendsAtOnce = 250         // most calls that one Step starts; the next Step follows at once
	looksAtOnce = 1000        // most destinations that a Step wakes, and most whose calls it checks
	seldom      = 10 * Second // interval of the cleanup, and least interval of notes to the operators
)

// Dispatcher makes all decisions of one dispatcher process. It is deterministic and not safe for concurrent
// use.
type Dispatcher struct {
	set      Settings
	rng      uint64 // state of the random source
	aim      Time   // the least aim of a class
	now      Time
	wake     Time // when the next timer is due
	tidied   Time // of the last cleanup
	noteAt   Time // no note to operators before this
	out      []Action
	msgs     map[MessageID]*message
	keys     map[uint64]*keyTurn
	byNo     map[int]*dest
	byID     map[Endpoint]*endpoint
	resting  []*keyTurn // keys without messages
	dests    []*dest
	kinds    []*kind
	left     []*endpoint // those where a call ended in this round
	away     []*endpoint // those gone from their destination that failed or were cold
	busy     int         // slots in use
	open     int         // messages without a final answer
	count    uint64      // messages that have arrived
	round    uint64
	tenants  []meter
	all      meter   // rate of all messages
	quota    float64 // messages a second within the shares of all tenants
	slack    float64 // factor on a listed rate
	lost     float64 // share of responses that get lost
	wasShort bool    // short, in the round before
	short    bool    // messages wait for want of slots
	paused   bool    // nothing can be sent
	more     bool    // this Step left work to the next
	keysRest Time    // new keys are blocked until then: calls of an earlier process may run

	rounds  // which destinations a round scans: rounds.go
	lookout // which calls have to be checked, and which destination has least to lose: lookout.go
	values
	comings // state.go
}

// New returns a Dispatcher, or an error that names the setting at fault.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{
		set: s, rng: seed*2862933555777941757 + 3037000493, aim: s.Classes[0].Aim, lost: leastLost,
		msgs: map[MessageID]*message{}, keys: map[uint64]*keyTurn{}, byNo: map[int]*dest{},
		byID: map[Endpoint]*endpoint{}, tenants: make([]meter, len(s.Tenants)),
	}
	if d.slack = 1; s.Weights == WeightRough {
		d.slack = roughSlack
	}
	for _, t := range s.Tenants {
		d.quota += t.Quota
	}
	for _, c := range s.Classes {
		d.aim = max(min(d.aim, c.Aim), s.Tick)
	}
	d.rounds, d.lookout, d.values = newRounds(), newLookout(), newValues()
	for range max(1, len(s.Kinds)) {
		d.kinds = append(d.kinds, &kind{keep: 2 * s.ConnIdle, again: firstAgain})
	}
	return d, nil
}

// Step handles the events of one round, dispatches once, and appends the resulting actions to those given.
func (d *Dispatcher) Step(now Time, events []Event, actions []Action) []Action {
	if d.round == 0 {
		d.all = meter{tau: demandTau, at: now, t0: now}
		for i := range d.tenants {
			d.tenants[i] = d.all
		}
	}
	d.now, d.out, d.more = now, actions, false
	d.round++
	for i := range events {
		d.handle(&events[i])
	}
	d.rest()
	d.watches()
	if !d.paused {
		d.dispatch()
	}
	d.leave()
	d.shed()
	if now-d.tidied >= seldom {
		d.tidied = now
		d.tidy()
	}
	if (d.busy > 0 || d.open > 0) && (d.wake <= now || d.more) {
		after := wakeTicks * d.set.Tick
		if d.more {
			after = d.set.Tick
		}
		d.wake = now + after
		d.out = append(d.out, Action{Kind: Timer, After: after})
	}
	return d.out
}

// handleEvent applies one event.
func (d *Dispatcher) handle(e *Event) {
	switch e.Kind {
	case Arrival:
		d.arrive(e)
	case Outcome:
		d.outcome(e)
	case Withdrawn:
		if m := d.msgs[e.Message]; m != nil {
			d.end(m)
		}
	case Tick: // the message's deadline is near
		if m := d.msgs[MessageID(e.Mark-1)]; e.Mark > 0 && m != nil && !m.ended {
			d.finish(m, true)
		}
	case List:
		d.list(e)
	case Pause:
		d.paused = e.On
	case Restarted:
		d.keysRest = d.now + d.set.SettleAfterDoubt
	case Fleet:
		d.set.Instances = max(e.Instances, 1)
	}
}

// handleArrival accepts a message and queues it if it may be sent now as far as its order key is concerned.
func (d *Dispatcher) arrive(e *Event) {
	if d.msgs[e.Message] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(d.set.Classes) {
		d.out = append(d.out, Action{Kind: Refuse, Message: e.Message})
		return
	}
	c := &d.set.Classes[e.Class]
	d.count++
	m := &message{id: e.Message, class: c, dest: d.dest(e.Dest), arrived: d.count, deadline: d.now + e.Grace}
	m.born = m.deadline - c.Deadline
	if m.tries = e.Tries; e.Doubt > 0 {
		m.doubt, m.doubtAt, m.doubtZone = true, d.now-e.Doubt, e.DoubtZone
	}
	age := Time(0)
	if e.Restored { // it came earlier: counted as new it would inflate the demand that ramps are sized by
		age = max(d.now-m.born, 0)
	}
	m.resent = e.Resent
	m.over = e.Resent || d.overShare(e.Tenant, age)
	m.lane = 2 * e.Class
	if m.over {
		m.lane++
	}
	d.msgs[m.id] = m
	d.rouse(m.dest)
	d.open++
	m.dest.open++
	if !e.Resent { // ramps and shares are sized by the demand, and resends must not overload a return
		m.dest.demand.came(d.now, age)
		d.repace(m.dest)
	}
	// The client has its answer before the deadline: two ticks early, one of them for rounding.
	a := Action{Kind: Timer, Message: m.id, After: max(e.Grace-2*d.set.Tick, 0), Mark: uint64(m.id) + 1}
	d.out = append(d.out, a)
	if c.InOrder && e.Key != 0 {
		k := d.keys[e.Key]
		if k == nil {
			k = &keyTurn{key: e.Key, rest: d.keysRest}
			d.keys[e.Key] = k
		}
		m.key = k
		k.queue = append(k.queue, m)
	}
	switch {
	case d.spent(m): // restored from an earlier process, with no attempt left
		d.finish(m, true)
	case m.key != nil:
		d.turn(m.key)
	default:
		d.hold(m)
	}
}

// exceedsQuota reports whether a tenant now sends more than its share here. Its quota is for all dispatchers
// together. The part of it that applies here is the rate of all arrivals here over the sum of all quotas, or
// an equal part for each dispatcher if that is more.
func (d *Dispatcher) overShare(t int, age Time) bool {
	d.all.came(d.now, age)
	if t < 0 || t >= len(d.tenants) || d.quota <= 0 {
		return false
	}
	d.tenants[t].came(d.now, age)
	part := max(1/float64(d.set.Instances), d.all.rate(d.now)/d.quota)
	return d.tenants[t].rate(d.now) > d.set.Tenants[t].Quota*part*overMargin
}

// advanceKey queues the first message of an order key. The others stay out of the queues until it has ended.
func (d *Dispatcher) turn(k *keyTurn) {
	for len(k.queue) > 0 && k.queue[0].ended && k.queue[0].out == nil {
		k.queue = k.queue[1:]
	}
	if len(k.queue) == 0 {
		if !k.parked { // it may still block later messages, so it is kept for a while
			k.parked = true
			d.resting = append(d.resting, k)
		}
		return
	}
	if m := k.queue[0]; m.held { // queued, but blocked until now by one with its key elsewhere
		d.rouse(m.dest)
	} else if !m.ended && m.out == nil {
		d.hold(m)
	}
}

// enqueue puts a message into its queue, in order of arrival. A destination whose queues were all empty takes
// the least virtual time of the others.
func (d *Dispatcher) hold(m *message) {
	t := m.dest
	d.rouse(t)
	if t.held == 0 {
		t.acc = d.least(t)
	}
	t.put(m)
	d.use(t)
}

// finish gives a message its final answer. If back is set and a repeat is known to be harmless, it is refused
// so that the client may submit it again, otherwise it fails.
func (d *Dispatcher) finish(m *message, back bool) {
	a := Action{Kind: Fail, Message: m.id}
	if back && d.refusable(m) {
		a.Kind, a.After = Refuse, max(m.dest.limit.wait-d.now, 0) // until then it would only wait here
	}
	d.out = append(d.out, a)
	d.end(m)
}

// refusable reports whether a message can be submitted again without harm.
func (d *Dispatcher) refusable(m *message) bool {
	maybe := m.doubt || m.out != nil
	return !maybe || m.class.Effect == Free || m.class.Effect == Guarded && !m.class.ZoneGroup
}

// remove forgets a message that has its final answer. One with an attempt out is kept until the outcome.
func (d *Dispatcher) end(m *message) {
	if !m.ended {
		m.ended = true
		d.open--
		m.dest.open--
		if m.held {
			d.rouse(m.dest)
			m.dest.drop(m)
			d.use(m.dest)
		}
	}
	if m.out != nil {
		return
	}
	delete(d.msgs, m.id)
	if m.key != nil {
		d.turn(m.key)
	}
}

// shed keeps the number of open messages below max-open by refusing those worth least, from both ends of the
// queues. It keeps overload and outages from filling them. Risk: it does harm just before an outage ends.
func (d *Dispatcher) shed() {
	for d.open > d.set.MaxOpen-d.set.MaxOpen/openReserve-1 {
		worst := d.worst()
		if worst == nil {
			return
		}
		// Where traffic is rare, other dispatchers know no more of the limit: clients should not try them.
		hopeless := worst.dest.limit.allowed(d.now) < 1 && worst.dest.demand.rate(d.now)*d.aim.Seconds() < 1
		d.finish(worst, !hopeless)
	}
}

// leastValuable returns the message of a destination that is worth least, and its worth, judged at the time
// at which the backlog will have been sent. It looks at both ends of each queue.
func (d *Dispatcher) cheapest(t *dest, now Time) (worst *message, least float64) {
	least = math.Inf(1)
	then := now + d.ahead(t, now)
	for i := range t.lanes {
		l := t.lanes[i].all()
		if len(l) == 0 {
			continue
		}
		for _, m := range [2]*message{l[len(l)-1], l[0]} {
			if !d.refusable(m) {
				continue
			} else if v := d.worth(m, then) * min(1, t.limit.allowed(now)); v < least {
				worst, least = m, v
			}
		}
	}
	return worst, least
}

// dispatch gives free slots to the destinations with the smallest virtual times. Slots are short if a message
// could be sent but for the want of one.
func (d *Dispatcher) dispatch() {
	d.wasShort, d.short = d.short, false
	d.openRound()
	for sends := 0; ; {
		best := d.next()
		if best == nil {
			return
		}
		ep, m, trial, why := d.plan(best)
		switch {
		case why != goes:
			d.lay(best, why, ep, trial)
		case d.busy >= d.set.Slots:
			d.short = true
			return
		case sends >= sendsAtOnce:
			d.more = true
			return
		default:
			d.release(best, ep, m, trial)
			sends++
		}
	}
}

// planSend returns the next message of a destination and its endpoint, or the reason why it can't send. It
// changes nothing, except that it ends messages that have no attempt left.
func (d *Dispatcher) plan(t *dest) (ep *endpoint, m *message, trial bool, why stop) {
	if ep, trial = d.choose(t); ep == nil {
		return nil, nil, false, noEndpoint
	} else if t.w >= d.room(t) {
		return ep, nil, trial, noWindow
	} else if m = d.head(t, ep, trial); m == nil {
		return ep, nil, trial, noMessage
	}
	return ep, m, trial, goes
}

// send starts a call with a message of a destination, and with more of them if its kind allows.
func (d *Dispatcher) release(t *dest, ep *endpoint, m *message, trial bool) {
	c := &call{ep: ep, sent: d.now, trial: trial, idle: d.freshen(ep)}
	c.low = d.testing(ep.limit) && ep.limit.allowed(d.now) <= ep.limit.lowTo
	for n := ep.batch; m != nil && n > 0; n-- {
		t.drop(m)
		m.out = c
		m.tries++
		c.msgs = append(c.msgs, m)
		a := Action{Kind: Send, Message: m.id, Endpoint: ep.id, With: len(c.msgs) > 1}
		if !d.set.MayCancel && m.class.Effect != SingleShot {
			a.After = stuckAfter * d.silence(t)
		}
		d.out = append(d.out, a)
		if trial {
			break
		}
		m = d.head(t, ep, false)
	}
	c.left = len(c.msgs)
	d.busy++
	t.w++
	ep.calls = append(ep.calls, c)
	ep.open, ep.used = true, d.now
	ep.limit.tokens.Take(d.now, 1)
	if !d.unsure(ep, d.now) { // a trial that is to confirm the outage does not count for the ramp
		ep.ramp.Take(d.now, 1+batchExtra*float64(len(c.msgs)-1))
	}
	if c.trial {
		ep.trialAt = d.now + ep.trialGap + Time(d.random()*float64(ep.trialGap)/4)
		ep.trialGap = min(Time(float64(ep.trialGap)*trialGrow), trialMost)
	}
	d.use(t)
	d.weigh(t)
	d.watchBy(t, d.now+leastSilent)
}

// permits is the only place that permits a send. Every rule that forbids one is here.
func (d *Dispatcher) gate(m *message, ep *endpoint) bool {
	c := m.class
	switch {
	case m.ended || m.out != nil || m.tries >= d.set.MaxTries || ep.dest != m.dest:
		return false
	case d.now+d.set.Tick >= m.deadline || ep.health != Ready || d.now < ep.limit.wait:
		return false
	case m.key != nil && (m.key.queue[0] != m || m.rests(d.now)):
		return false
	case !m.doubt || c.Effect == Free:
		return true
	case c.Effect == SingleShot:
		return false
	}
	return d.now+d.set.Tick < m.doubtAt+c.Window && (!c.ZoneGroup || ep.zone == m.doubtZone)
}

// MayWrite reports whether an attempt that has not been written yet still may be. It checks again those rules
// of permits on health, waits and time that can have changed since the send.
func (d *Dispatcher) May(now Time, id MessageID, attempt int) bool {
	m := d.msgs[id]
	if m == nil || m.ended || m.out == nil || m.tries-1 != attempt || m.out.asked {
		return false
	}
	if m.doubt && m.class.Effect == Guarded && now+d.set.Tick >= m.doubtAt+m.class.Window {
		return false // connecting may take longer than repeats are dropped
	}
	return m.out.ep.health == Ready && now >= m.out.ep.limit.told && now < m.deadline
}

// nextMessage picks the message to send: of the oldest in each queue, the one that would lose most worth by
// waiting until the backlog has been sent. With a short backlog none loses any, and the worth decides.
func (d *Dispatcher) head(t *dest, ep *endpoint, trial bool) *message {
	var best *message
	top := -1.0
	mean, _ := d.latency(t)
	soon := d.now + Time(mean)
	wait := d.ahead(t, d.now)
	for i := range t.lanes { // first of all, as the next message with the same key may enter another queue
		for t.lanes[i].len() > 0 && d.spent(t.lanes[i].all()[0]) {
			d.finish(t.lanes[i].all()[0], true)
		}
	}
	for i := range t.lanes {
		if t.lanes[i].len() == 0 {
			continue
		}
		// The oldest, and the oldest one within its aim: one past it may have no more worth to lose.
		l := t.lanes[i].all()
		fresh, _ := slices.BinarySearchFunc(l, soon, byAim)
		for _, m := range [2]*message{l[0], l[min(fresh, len(l)-1)]} {
			if trial && !m.resent && d.risky(m.class, ep) || !d.gate(m, ep) {
				continue
			}
			now := d.worth(m, soon)
			if v := now - d.worth(m, soon+wait) + now*worthTie; v > top {
				best, top = m, v
			}
		}
	}
	return best
}

// tooRiskyForTrial reports whether messages of a class may not be used for a trial call to an endpoint. A
// single-shot message that is in doubt afterwards can only fail. It is used all the same if the last failure
// proved that calls do not run there, if trials have become rare, or if a trial is overdue by RiskAfter.
func (d *Dispatcher) risky(c *Class, ep *endpoint) bool {
	overdue := d.set.RiskAfter > 0 && d.now >= ep.trialAt+d.set.RiskAfter
	return c.Effect == SingleShot && !ep.proven && ep.trialGap < trialMost && !overdue
}

// queueDelay estimates how long it takes to send the backlog of a destination.
func (d *Dispatcher) ahead(t *dest, now Time) Time {
	wait := float64(t.held) / max(t.limit.ok.rate(now), leastFlow) * float64(Second)
	return min(max(Time(wait), leastAhead), mostAhead)
}

// exhausted reports whether no further attempt can ever be made for a message.
func (d *Dispatcher) spent(m *message) bool {
	if m.tries >= d.set.MaxTries || m.doubt && m.class.Effect == SingleShot {
		return true
	}
	return m.doubt && m.class.Effect == Guarded && d.now+d.set.Tick >= m.doubtAt+m.class.Window
}

// maxWindow returns the most calls that one destination may have out: less than three quarters of the slots.
func (d *Dispatcher) ceiling() int { return max(1, (3*d.set.Slots+3)/4-1) }

// destinationUnhealthy reports whether a destination is slow or has a suspect endpoint.
func (d *Dispatcher) sick(t *dest) bool {
	return t.lat.mean > slowFactor*t.base || slices.ContainsFunc(t.eps, doubted)
}

// effectiveWindow returns the window that applies to a destination now. All unhealthy destinations together
// get half of the slots, so that two of them can't hold both slots of a dispatcher with two.
func (d *Dispatcher) room(t *dest) int {
	d.started(t)
	if !d.sick(t) {
		return max(1, min(t.wmax, d.ceiling()))
	}
	return min(t.wmax, d.sickRoom()-(d.sickOut-t.weighed), d.ceiling())
}

// maxUnhealthyCalls returns the most calls out to all unhealthy destinations together: half of the slots, or
// a third while messages wait for slots. The third keeps a slow destination with much traffic, whose calls
// take ten times as long, from holding half of them.
func (d *Dispatcher) sickRoom() int {
	if d.wasShort {
		return max(1, d.set.Slots/3)
	}
	return max(1, d.set.Slots/2)
}

// reviseWindow grows or shrinks the window of a destination when enough calls have completed. Its number of
// calls out still includes the one that ended.
func (d *Dispatcher) revise(t *dest, r Result) {
	if r == Cancelled || r == Moot || r == Unsent {
		return
	}
	d.started(t)
	if r != OK {
		t.starting = false
		t.badEnds++
	}
	t.ends++
	clean := float64(t.badEnds) <= cleanShare*float64(t.ends)
	switch {
	case t.starting:
		t.wmax = min(t.wmax+1, d.ceiling())
		return
	case t.ends < fairF*t.wmax:
		return
	case t.w >= t.wmax && clean:
		t.wmax = min(t.wmax+1, d.ceiling())
	case t.w >= t.wmax:
		t.wmax = max(t.wmax-1, 1)
	}
	t.ends, t.badEnds = 0, 0
}

// handleOutcome ends an attempt. The message is queued again, or ends if it was delivered or has no attempt
// left.
func (d *Dispatcher) outcome(e *Event) {
	m := d.msgs[e.Message]
	if m == nil || m.out == nil || m.tries-1 != e.Attempt {
		return
	}
	c := m.out
	m.out = nil
	t := c.ep.dest
	d.rouse(t)
	if e.Result == OK {
		t.served.came(d.now, 0)
	}
	d.settle(c, e)
	d.use(t)
	d.weigh(t)
	d.watchBy(t, d.now)
	if e.Result == Unsent {
		m.tries--
	}
	if !NeverRan(e.Result) && e.Result != OK {
		if !m.doubt {
			m.doubt, m.doubtAt, m.doubtZone = true, c.sent, c.ep.zone
		}
		if m.key != nil && e.Result != Errored {
			m.key.rest, m.key.by = d.now+d.set.SettleAfterDoubt, m
		}
	}
	switch {
	case e.Closed || m.ended || e.Result == OK:
		d.end(m)
	case d.spent(m) || d.now+2*d.set.Tick >= m.deadline:
		d.finish(m, true)
	default:
		d.hold(m)
	}
}

// slotCost returns what a call adds to its destination's virtual time: the seconds that it held a slot,
// divided by the destination's listed weight. Where no weights are listed, the rate of its arrivals takes
// their place, so that a destination with most of the traffic gets more of scarce slots than the others.
// Risk: one that is flooded takes slots from them.
func (d *Dispatcher) charge(t *dest, held Time) float64 {
	if d.set.Weights != WeightNone {
		return held.Seconds() / t.share
	}
	return held.Seconds() / max(1, t.demand.rate(d.now))
}

// settleCall removes one message from its call. The call is learned from at its first outcome, and frees its
// slot at the last.
func (d *Dispatcher) settle(c *call, e *Event) {
	c.left--
	if e.Wait > 0 { // the wait of every outcome applies, also when the call has been learned from already
		c.ep.limit.told = max(c.ep.limit.told, d.now+e.Wait)
		c.ep.limit.wait = max(c.ep.limit.wait, d.now+e.Wait+d.set.Tick)
		if e.Wait > d.set.OverloadFor { // too long for a rate limit: it is shut until then, and cold afterwards
			d.chillAll(c.ep, c.ep.limit.told)
		}
	}
	if !c.learned && e.Result != Unsent {
		c.learned = true
		d.learn(c, e)
	}
	if c.left > 0 {
		return
	}
	if e.Result == Unsent {
		c.ep.limit.tokens.Give(d.now, 1)
	}
	t := c.ep.dest
	t.acc += d.charge(t, d.now-c.sent)
	d.revise(t, e.Result)
	d.busy--
	t.w--
	c.ep.calls = slices.DeleteFunc(c.ep.calls, func(o *call) bool { return o == c })
	c.ep.used = d.now
	d.left = append(d.left, c.ep)
}

// learnOutcome updates what is known of an endpoint and its destination by the outcome of a call.
func (d *Dispatcher) learn(c *call, e *Event) {
	ep, t := c.ep, c.ep.dest
	if i := d.set.ReportLimit; i >= 0 && i < len(e.Report) && e.Report[i] > 0 {
		ep.limit.bound = float64(e.Report[i])
	}
	switch e.Result {
	case OK:
		d.sample(t, float64(e.Lag))
		d.succeeded(ep, c)
	case Full:
		ep.heard = d.now
		d.refused(ep, c, e.Wait)
	case ConnectFailed:
		// An outage, or its connection table is full: idle connections of many dispatchers can fill it.
		if d.set.Instances > d.set.Slots {
			t.kind.scarce = d.now + scarceFor
		}
		if ep.bad == 0 && len(ep.calls) > 1 && d.now-ep.heard < d.silence(t) {
			d.refused(ep, c, 0) // other calls are answered: no outage
			return
		}
		d.failed(ep, c, true)
	case TimedOut, Reset:
		d.failed(ep, c, false)
	case Errored:
		ep.heard = d.now
		if ep.errs++; ep.errs >= failStreak {
			d.failed(ep, c, false)
		}
	}
}

// latency returns the mean latency of a destination's calls and its mean deviation. Without samples of its
// own it has those of its kind.
func (d *Dispatcher) latency(t *dest) (mean, dev float64) {
	if t.lat.n > 0 {
		return t.lat.mean, t.lat.dev
	}
	return t.kind.latency()
}

// latency returns the mean latency and mean deviation of a kind, or assumed ones before the first response.
func (k *kind) latency() (mean, dev float64) {
	if k.lat.n > 0 {
		return k.lat.mean, k.lat.dev
	}
	return float64(firstLat), float64(firstLat) / 2
}

// recordLatency adds a latency sample to a destination and to its kind.
func (d *Dispatcher) sample(t *dest, lag float64) {
	if t.lat.n == 0 {
		t.lat.mean, t.lat.dev = d.latency(t)
		t.base = lag
	}
	t.lat.add(lag, max(latGain, 1/(t.lat.n+priorCount+1)))
	t.base += baseGain * (lag - t.base)
	t.kind.lat.add(lag, max(baseGain, 1/(t.kind.lat.n+1)))
}

// responseTimeout returns for how long a destination with a call out may send no response before that is
// suspicious. The fewer responses get lost, the longer it is.
func (d *Dispatcher) silence(t *dest) Time {
	mean, dev := d.latency(t)
	return silent(mean, dev, min(devs, lostDevs-math.Log(d.lost)), t.lat.n)
}

// timeoutFor returns the response timeout for a latency of n samples. It is longer with few samples.
func silent(mean, dev, devs, n float64) Time {
	return max(leastSilent, Time(mean+dev*devs*(1+1/(1+n))))
}

// recordSuccess handles a call answered with OK: it raises the allowed share, ends a suspicion, and starts
// ramps if the endpoint is back from an outage.
func (d *Dispatcher) succeeded(ep *endpoint, c *call) {
	ep.okSent = max(ep.okSent, c.sent)
	p := ep.limit
	p.ok.add(d.now, 1)
	if c.sent >= p.cutAt {
		p.all.add(d.now, 1)
	}
	d.lost += lostGain * (leastLost - d.lost)
	d.chance(p, c, 0)
	if p.allow < unfelt {
		p.allow = p.allowed(d.now) + allowOK*min(1, (d.now-max(p.okAt, p.cutAt)).Seconds())
		p.allowAt = max(d.now, p.allowAt)
	}
	if k := ep.dest.kind; c.idle > 0 {
		k.drops -= lostGain * k.drops
		k.keep = min(Time(keepGrow*float64(k.keep)), d.set.ConnIdle*2)
	}
	if p.streak > 0 && p.fullSince > 0 && d.now-p.fullSince > d.set.OverloadFor {
		d.chillAll(ep, d.now) // it refused for so long that it may have been shut
	}
	if p.streak > 0 {
		ep.dest.kind.again += lostGain * (1 - ep.dest.kind.again)
	}
	down, sure := d.outage(ep)
	gone := d.now - down
	few := c.trial || d.cold(ep, d.now) // calls go there one by one; otherwise it may only have been slow
	sure = few && (ep.proven || sure && gone > d.set.OverloadFor/2)
	switch {
	case down > p.okAt && (sure || gone > 2*d.set.OverloadFor && d.pushes(ep.dest)):
		d.chillAll(ep, d.now)
	case ep.suspect:
		d.returned(ep, c)
	}
	p.streak, p.cuts, p.fullSince, p.okAt = 0, 0, 0, d.now
	ep.suspect, ep.proven, ep.dropped = false, false, 0
	ep.heard, ep.bad, ep.errs = d.now, 0, 0
	if c.sent >= ep.downAt { // a late response to an earlier call tells nothing of the other endpoints
		p.bad = 0
	}
}

// outage returns since when endpoints that share a limit are suspect, and whether their failures confirm an
// outage. An outage mostly affects all of them. If none has answered since, the first response is taken as
// the return of all of them, also of those that were not tried. The return came at some time after the last
// failure. It is assumed to be now, the latest possible time, so that no endpoint seems warmer than it is.
func (d *Dispatcher) outage(ep *endpoint) (since Time, sure bool) {
	since = never
	for _, o := range ep.dest.eps {
		if o.limit == ep.limit && o.suspect {
			since, sure = min(since, o.downAt), sure || o.proven || d.sure(o)
		}
	}
	return since, sure
}

// handleReturn handles the first response of a suspect endpoint where other endpoints have answered
// meanwhile, or where it came soon. A failure that the next call does not confirm was a lost response or a
// dropped connection, and is counted as that.
func (d *Dispatcher) returned(ep *endpoint, c *call) {
	gone := d.now - ep.downAt
	switch {
	case d.coldBeside(ep) || gone > d.set.OverloadFor/2 && d.cold(ep, d.now):
		d.chill(ep, d.now)
	case !c.trial && gone <= 2*d.set.OverloadFor: // the response was late, not lost: the endpoint is slow
	case gone > d.set.OverloadFor && (d.sure(ep) || ep.proven),
		gone > 2*d.set.OverloadFor && d.pushes(ep.dest):
		d.chill(ep, d.now)
	case !ep.proven:
		k := ep.dest.kind
		d.lost += float64(ep.bad) * lostGain * (1 - d.lost)
		if ep.dropped > 0 {
			if k.drops += lostGain * (1 - k.drops); k.drops > dropsSure {
				k.keep = min(k.keep, ep.dropped)
			}
		}
	}
}

// couldOverload reports whether a destination has so much traffic that this could overload it.
func (d *Dispatcher) pushes(t *dest) bool {
	return t.held > 0 || t.demand.rate(d.now)*d.set.OverloadFor.Seconds() > 0.5
}

// outageConfirmed reports whether the consecutive failures of an endpoint amount to an outage. As an outage
// mostly affects all endpoints of a destination, failures at the others count, too. Where responses get lost,
// more failures are needed.
func (d *Dispatcher) sure(ep *endpoint) bool {
	n := sureAfter
	if !ep.proven {
		n += int(sureLost * d.lost)
	}
	return max(ep.bad, ep.limit.bad) >= n || ep.errs >= failStreak
}

// startRamps starts the ramps of all endpoints that share the limit of the one given.
func (d *Dispatcher) chillAll(ep *endpoint, back Time) {
	for _, o := range ep.dest.eps {
		if o.limit == ep.limit {
			d.chill(o, back)
		}
	}
}

// startRamp marks an endpoint as cold and starts its ramp, as if it had returned at the time given, which may
// lie ahead.
func (d *Dispatcher) chill(ep *endpoint, back Time) {
	ep.coldAt, ep.ramp = back, pace.NewBucket(d.now, d.random())
	if back <= d.now {
		d.note(ep.dest, "is back, cold: its calls rise over the warm-up")
	}
}

// recordFailure handles a call that could not connect or got no response; proven means that it can't have
// run. Only a call sent after the last failure was known is new evidence. One failure makes the endpoint
// suspect, so that it gets single trials only: a dispatcher with little traffic may see no second one. It
// protects from crashes, missing responses, hangs and floods of errors. Risk: it does harm where responses
// are rare.
func (d *Dispatcher) failed(ep *endpoint, c *call, proven bool) {
	if c.sent >= ep.failedAt {
		ep.bad++
		ep.limit.bad++ // it remains when a failed endpoint leaves the list
		ep.failedAt, ep.proven, ep.dropped = d.now, proven, c.idle
	}
	ep.proven = ep.proven || proven // a failed connect after a timeout shows that no response was lost
	if ep.suspect {
		return
	}
	if t := ep.dest; !slices.ContainsFunc(t.eps, d.ill) { // the rate is lower in an outage and on a ramp
		t.steady = t.served.rate(t.served.at)
	}
	ep.suspect, ep.downAt, ep.ramp = true, d.now, pace.NewBucket(d.now, d.random())
	if ep.trialAt, ep.trialGap = d.now, d.silence(ep.dest); ep.proven {
		ep.trialAt += Time(d.random() * float64(ep.trialGap))
	}
}

// recordRefusal handles a refusal: it cuts the allowed share and, if no wait was told, starts a backoff. A
// refusal without a told wait that may be a random one has neither effect.
func (d *Dispatcher) refused(ep *endpoint, c *call, wait Time) {
	p, k := ep.limit, ep.dest.kind
	if p.fullSince == 0 {
		p.fullSince = d.now
	}
	if c.sent < p.cutAt {
		return
	}
	p.no.add(d.now, 1)
	p.all.add(d.now, 1)
	d.chance(p, c, 1)
	if p.streak++; p.streak > 1 {
		k.again -= lostGain * k.again
	}
	want := ep.dest.demand.rate(d.now)
	if wait == 0 {
		if d.borne(p, want) {
			return
		}
		base := max(min(backoffBase, Time(pauseCalls*float64(Second)/want)),
			Time(min(float64(d.aim), float64(Second)/want)/2))
		pause := min(base<<min(p.cuts, 6), backoffMost)
		p.cuts++
		p.wait = max(p.wait, d.now+pause/2+Time(d.random()*float64(pause)/2))
	}
	was, part := min(p.allowed(d.now), 1), p.no.v/(p.all.v+chancePrior/2)
	if was > p.lowTo {
		p.cutFor = 0 // otherwise this cut has the same cause as the one before
	}
	p.cutFor, p.lowTo = max(p.cutFor, part), lowPart*was*(1-part)
	p.cutAt, p.lows, p.no, p.all = d.now, 0, d.answers(), d.answers()
	p.allow, p.allowAt = max(min(was*allowCut, p.lowTo), leastAllow), max(d.now, p.wait)
	p.tokens.Limit(d.now, d.random()) // retries have to stay within the allowed share, too
}

// refusalsTolerated reports whether there were no more refusals since the last cut than random ones explain.
// A lower rate does not avoid those, so it is not cut for them. Risk: some more calls exceed a real limit.
func (d *Dispatcher) borne(p *limit, want float64) bool {
	no, all := p.no.v, p.all.v
	few := p.chance * all
	if (few >= chanceFew || p.devs > 1 && p.chance >= chanceSure) && no < few+p.devs*math.Sqrt(few) {
		return true
	}
	// Soon after a cut a few refusals prove nothing, and with many calls more is known shortly.
	most := chanceMost * all
	soon := all < chanceTells && d.now-p.cutAt < chanceWait && want*chanceWait.Seconds() > chanceTells/2
	return soon && no < 1+most+math.Sqrt(most)
}

// learnRandomRefusals estimates the share of calls that is refused however low their rate. It counts calls
// that went at a rate well below the answered one, where a limit refuses none. If the estimate explains the
// last cut, there is no limit.
func (d *Dispatcher) chance(p *limit, c *call, refused float64) {
	if !c.low || c.sent < p.cutAt {
		return
	}
	p.lows++
	if p.chance += (refused - p.chance) / (p.lows + chancePrior); p.chance > chanceMost {
		p.chance = 0
	}
	if p.lows < chanceTells {
		return
	}
	if p.devs = chanceDevs; p.cutFor <= chanceSlack*p.chance {
		p.allow, p.allowAt = unfelt, d.now
	}
}

// testsRandomRefusals reports whether calls after a cut are used to tell random refusals from a limit. The
// backlog does not raise the rate meanwhile.
func (d *Dispatcher) testing(p *limit) bool {
	return p.cutAt > 0 && p.lows < chanceTest && d.now-p.cutAt < chanceFor
}

// maxIdleAge returns the age up to which an idle connection is used.
func (d *Dispatcher) keep(t *dest) Time {
	return min(d.set.ConnIdle, Time(keepShare*float64(t.kind.keep)))
}

// closeScarce closes connections that became idle in this round where connections are scarce, as the idle
// ones of many dispatchers can fill an endpoint's table. Risk: needless handshakes, if the failed connect was
// due to an outage.
func (d *Dispatcher) leave() {
	for _, ep := range d.left {
		if len(ep.calls) == 0 && ep.open && d.now < ep.dest.kind.scarce {
			d.out = append(d.out, Action{Kind: Close, Endpoint: ep.id})
			ep.open = false
		}
	}
	d.left = d.left[:0]
}

// closeStale closes the connections to an endpoint if they have been idle for longer than is known to be
// safe, as they may have been dropped without notice. It returns for how long the connection that the next
// call uses has been idle, 0 if it is new or in use.
func (d *Dispatcher) freshen(ep *endpoint) Time {
	idle := d.now - ep.used
	if len(ep.calls) > 0 || !ep.open {
		return 0
	} else if idle <= d.keep(ep.dest) && ep.dropped == 0 {
		return idle
	} else if idle < d.set.ConnIdle {
		d.out = append(d.out, Action{Kind: Close, Endpoint: ep.id})
	}
	ep.open = false
	return 0
}

// checkCalls records a failure where the oldest call of an endpoint has been out for longer than the response
// timeout. It abandons old calls if later ones were answered or the endpoint is suspect. Calls with messages
// that can't be sent again are abandoned only where messages wait for slots. It protects from hangs, lost
// responses and dead connections. Risk: a slow destination does work twice. Trials are given more time.
func (d *Dispatcher) watch(t *dest) {
	limit := d.silence(t)
	for _, ep := range t.eps {
		if len(ep.calls) == 0 {
			continue
		}
		if old := ep.calls[0]; d.now-old.sent > limit && d.now-ep.heard > limit {
			d.failed(ep, old, false)
			ep.downAt = min(ep.downAt, max(old.sent, ep.heard))
		}
		for _, c := range ep.calls {
			// Where responses get lost or messages wait for slots, one response timeout is enough.
			age, once := float64(d.now-c.sent)/float64(limit), min(1, sureLost*d.lost)
			patience := stuckAfter - once
			switch {
			case c.trial:
				patience = float64(1 + min(ep.bad, failStreak))
			case d.short: // the fewer slots there are, the more each one is needed
				patience = max(1, patience-2/float64(d.set.Slots))
			}
			if age > patience && (ep.okSent > c.sent || ep.suspect) {
				d.recall(c, d.short && age > patience*(stuckAfter-once))
			}
		}
	}
}

// cancelCall stops waiting for a call whose messages can all be sent again, or, with force, for any call.
func (d *Dispatcher) recall(c *call, force bool) {
	if c.asked || !d.set.MayCancel {
		return
	}
	if !force && c.bound(d.set.MaxTries) {
		return
	}
	c.asked = true
	if c.ep.okSent > c.sent {
		d.lost += lostGain * (1 - d.lost)
	}
	for _, m := range c.msgs {
		if m.out == c {
			d.out = append(d.out, Action{Kind: Cancel, Message: m.id, Attempt: m.tries - 1})
		}
	}
}

// unrepeatable reports whether a call has messages out that can't be sent again.
func (c *call) bound(most int) bool {
	return slices.ContainsFunc(c.msgs, func(m *message) bool {
		return m.out == c && (m.class.Effect == SingleShot || m.tries >= most)
	})
}

// chooseEndpoint picks a suspect endpoint that is due for a trial, otherwise the least loaded one that may
// get a call. With RiskAfter set, a suspect comes last if all queued messages are too risky for a trial.
func (d *Dispatcher) choose(t *dest) (best *endpoint, trial bool) {
	var tried *endpoint // a suspect that no queued message may be risked on
	for _, ep := range t.eps {
		if d.opensAt(ep) > d.now {
			continue
		}
		if ep.suspect {
			if d.set.RiskAfter == 0 || !d.allRisky(t, ep) {
				return ep, true
			}
			tried = ep
			continue
		}
		if best == nil || d.rank(ep) < d.rank(best) {
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
func (d *Dispatcher) opensAt(ep *endpoint) Time {
	if ep.health != Ready || ep.suspect && ep.trying() {
		return never
	}
	at := max(d.now, ep.limit.wait)
	if ep.suspect {
		at = max(at, ep.trialAt)
	}
	if !ep.limit.free {
		at = ep.limit.tokens.NextAt(at)
	}
	switch {
	case d.unsure(ep, at):
	case d.cold(ep, at):
		at = min(ep.ramp.NextAt(at), d.warmAt(ep))
	case ep.suspect:
		at = max(at, min(ep.ramp.NextAt(at), ep.failedAt.After(doubtEnd*d.set.WarmUp)))
	}
	return at
}

// unconfirmed reports whether a call to a suspect endpoint at a time is to show if there is an outage at all.
func (d *Dispatcher) unsure(ep *endpoint, at Time) bool {
	return ep.suspect && !d.sure(ep) && !d.cold(ep, at)
}

// load returns the load of an endpoint in calls. A handshake and another zone count as one more call each.
func (d *Dispatcher) rank(ep *endpoint) float64 {
	v := float64(len(ep.calls))
	if ep.zone != d.set.Zone {
		v++
	}
	if len(ep.calls) == 0 && (!ep.open || d.now-ep.used > d.keep(ep.dest)) {
		v++
	}
	return v
}

// updateRates sets the rates that the limits and ramps of a destination allow from now on. It is called when
// something that they depend on has changed, and only then: between two changes they are functions of time.
func (d *Dispatcher) repace(t *dest) {
	own := t.demand.rate(d.now)
	held := t.kind.again * t.kind.again * float64(t.held) / (heldAims * d.aim.Seconds())
	want := own + held
	for _, ep := range t.eps {
		p, want := ep.limit, want
		if d.testing(p) {
			want = own
		}
		p.allow, p.allowAt, p.grow = p.allowed(d.now), max(d.now, p.wait), allowRise*min(want, 2)
		// The rate falls if no more messages arrive.
		r := pace.Rate{From: p.allow * want, Rise: p.grow * want, End: unfelt * want}
		if r.Rise -= p.allow * own / (fadeTaus * demandTau).Seconds(); r.Rise < 0 {
			r.End = p.allow * held
		}
		switch {
		case p.allow >= unfelt:
			r = pace.Steady(p.bound)
		case p.bound > 0:
			r.From, r.End = min(r.From, p.bound), min(r.End, p.bound)
		}
		burst := max(min(rateBurst*p.allow*own, burstMost), rampTicks*d.set.Tick.Seconds()*r.From)
		most := max(1, burst, rateBurst*p.bound)
		if p.free = p.allow >= unfelt && p.bound <= 0; p.free {
			p.tokens = pace.NewBucket(d.now, most)
		} else {
			p.tokens.Set(d.now, p.allowAt, r, most)
		}
		if ep.suspect || d.cold(ep, d.now) {
			d.ramp(t, ep, own)
		}
	}
}

// updateRamp sets the rate allowed to an endpoint that is suspect or back from an outage: its part of what
// the destination took before (of the demand, if that is not known) times its warmth. The first call goes at
// a random time. So all dispatchers together, however many, stay within what a cold endpoint can do and do
// not overload it. Risk: an endpoint suspected wrongly is used less during the warm-up.
func (d *Dispatcher) ramp(t *dest, ep *endpoint, own float64) {
	if t.steady > 0 {
		own = t.steady
	}
	own /= float64(max(t.ready(), 1))
	from, span := ep.coldAt, d.set.WarmUp
	if ep.suspect && !d.cold(ep, d.now) {
		from, span, own = ep.failedAt, doubtFade*d.set.WarmUp, own*trialPart
	} else {
		own *= rampMargin
	}
	rise := own * (1 - d.set.ColdFrom) / max(span, 1).Seconds()
	r := pace.Rate{From: own*d.set.ColdFrom + rise*d.now.Since(from).Seconds(), Rise: rise, End: own}
	ep.ramp.Set(d.now, from, r, max(1, own*rampTicks*d.set.Tick.Seconds()))
}

// cold reports whether an endpoint may not be warm yet at a time, or returns, cold, only later.
func (d *Dispatcher) cold(ep *endpoint, at Time) bool { return ep.coldAt != 0 && at < d.warmAt(ep) }

// warmAt returns the time from which on a cold endpoint is certain to be warm.
func (d *Dispatcher) warmAt(ep *endpoint) Time {
	return ep.coldAt.After(Time(rampHold * float64(d.set.WarmUp)))
}

// initWindow gives a destination that has completed no call yet its first window: a fair share of the slots,
// by the newest list.
func (d *Dispatcher) started(t *dest) {
	if t.starting && t.ends == 0 && t.listed != d.lists {
		t.wmax, t.listed = d.fair, d.lists
	}
}

// fairShare returns an equal share of the slots for each destination, at least one.
func (d *Dispatcher) fairShare() int { return max(1, d.set.Slots/len(d.dests)) }

// handleJoin handles an endpoint that is new to the list. If all others of its destination are suspect or
// cold, it starts cold as well, so that it does not get the whole backlog at once.
func (d *Dispatcher) joined(t *dest, ep *endpoint) {
	switch {
	case t.limit.bad == 0 && !slices.ContainsFunc(t.eps, d.ill) || slices.ContainsFunc(t.eps, d.well):
	case !t.outage && t.ready() == 0:
		t.limit.bad = 0 // the endpoints that failed have left
	default:
		d.chill(ep, d.now)
	}
}

// handleLastLeft decides whether a destination is in an outage when its last endpoint has left. It is if an
// endpoint has been failing for longer than a list may be late, or was cold. Otherwise the endpoint failed
// because it was leaving: its replacements are healthy and have a backlog to send. Risk: an outage that
// begins just before all endpoints are replaced is missed.
func (d *Dispatcher) deserted(t *dest) {
	t.outage = slices.ContainsFunc(t.eps, func(o *endpoint) bool {
		return o.suspect && d.now-o.downAt > leaveLate*d.set.OverloadFor || !o.suspect && d.cold(o, d.now)
	})
}

// coldSibling reports whether another endpoint with the same limit is back from an outage. Its first response
// has reset the count of failures that they share.
func (d *Dispatcher) coldBeside(ep *endpoint) bool {
	return slices.ContainsFunc(ep.dest.eps, func(o *endpoint) bool {
		return o != ep && o.limit == ep.limit && d.cold(o, d.now) && !o.suspect
	})
}

func doubted(ep *endpoint) bool { return ep.suspect }

// unhealthy reports whether an endpoint is suspect or cold.
func (d *Dispatcher) ill(ep *endpoint) bool { return ep.suspect || d.cold(ep, d.now) }

// healthy reports whether an endpoint is listed ready and not unhealthy.
func (d *Dispatcher) well(ep *endpoint) bool { return ep.health == Ready && !d.ill(ep) }

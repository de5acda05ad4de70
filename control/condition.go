package control

// Condition is the state of a destination as seen by senders whose messages can wait, such as resends.
type Condition uint8

// Conditions of a destination. String returns their outer names.
const (
	Unavailable Condition = iota // no endpoint takes new work
	Busy                         // it asked for a wait, refuses calls or has messages queued, or all slots are in use
	Unhealthy                    // it failed, refused calls, was slow or is cold, and no trial call is out
	Healthy                      // a warm endpoint takes the whole demand, and latency is as usual
)

func (c Condition) String() string {
	return [...]string{"unserved", "pressed", "ailing", "well"}[c]
}

// Condition returns the condition of a destination and this dispatcher's part of the rate limit that is listed or
// reported for it, in calls a second, 0 if there is none. It changes nothing.
func (d *Dispatcher) Condition(now Time, number int) (condition Condition, rate float64) {
	dest := d.destinationByNumber[number]
	if dest == nil || dest.readyCount() == 0 {
		return Unavailable, 0
	}
	hasFree, allWait, trialOverdue := false, true, false
	for _, ep := range dest.endpoints {
		limit := ep.limit
		if ep.health != Ready {
			continue
		}
		if ep.limit != dest.limit || rate == 0 { // the limits of separate routes add up
			rate += limit.knownRate
		}
		if now < limit.waitUntil {
			continue
		}
		allWait = false
		// A trial has been due for long and none was made: the queued messages are too risky for one.
		trialOverdue = trialOverdue || ep.suspect && !ep.hasTrialOut() && now-ep.nextTrialAt > maxTrialInterval
		hasFree = hasFree || !ep.suspect && !d.cold(ep, now) && limit.refusalStreak == 0 && limit.allowedShareAt(now) >= 1
	}
	rate /= d.weightSlack * float64(max(d.settings.Instances, 1))
	slow := dest.latencyStats.samples > 0 && dest.latencyStats.mean > slowFactor*dest.longTermLatency
	switch {
	case allWait || d.paused || d.slotsShort || d.usedSlots >= d.settings.Slots:
		return Busy, rate
	case trialOverdue && !hasFree && dest.callsOut == 0:
		return Unhealthy, rate
	case dest.queued > 0:
		return Busy, rate
	case hasFree && !slow:
		return Healthy, rate
	case dest.openMessages > 0 || dest.callsOut > 0:
		return Busy, rate
	}
	return Unhealthy, rate
}

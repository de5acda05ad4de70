package control

// Condition is the state of a destination as seen by senders whose messages can wait, such as resends.
type Condition uint8

// Conditions of a destination. String returns their outer names.
const (
	Unavailable Condition = iota // no endpoint takes new work
	Busy                         // it told to wait, refuses calls or has messages queued, or all slots are in use
	Unhealthy                    // it failed, refused calls, was slow or is cold, and no trial call is out
	Healthy                      // a warm endpoint takes the whole demand, and latency is as usual
)

func (c Condition) String() string {
	return [...]string{"unserved", "pressed", "ailing", "well"}[c]
}

// Condition returns the condition of a destination and this dispatcher's part of the rate limit that is listed or
// reported for it, in calls a second, 0 if there is none. It changes nothing.
func (d *Dispatcher) Condition(now Time, no int) (c Condition, rate float64) {
	t := d.destinationByNumber[no]
	if t == nil || t.readyCount() == 0 {
		return Unavailable, 0
	}
	good, waits, left := false, true, false
	for _, ep := range t.endpoints {
		p := ep.limit
		if ep.health != Ready {
			continue
		}
		if ep.limit != t.limit || rate == 0 { // the limits of separate routes add up
			rate += p.knownRate
		}
		if now < p.waitUntil {
			continue
		}
		waits = false
		// A trial has been due for long and none was made: the queued messages are too risky for one.
		left = left || ep.suspect && !ep.hasTrialOut() && now-ep.nextTrialAt > maxTrialInterval
		good = good || !ep.suspect && !d.cold(ep, now) && p.refusalStreak == 0 && p.allowedShareAt(now) >= 1
	}
	rate /= d.weightSlack * float64(max(d.settings.Instances, 1))
	slow := t.latencyStats.samples > 0 && t.latencyStats.mean > slowFactor*t.longTermLatency
	switch {
	case waits || d.paused || d.slotsShort || d.usedSlots >= d.settings.Slots:
		return Busy, rate
	case left && !good && t.callsOut == 0:
		return Unhealthy, rate
	case t.queued > 0:
		return Busy, rate
	case good && !slow:
		return Healthy, rate
	case t.openMessages > 0 || t.callsOut > 0:
		return Busy, rate
	}
	return Unhealthy, rate
}

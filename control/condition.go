package control

// Condition is how a destination does, for those who send only what can wait.
type Condition uint8

// Conditions.
const (
	Unavailable Condition = iota // no endpoint takes new work
	Busy                         // it is told to wait, refuses, or has messages of its own waiting; or the slots are all taken
	Unhealthy                    // it failed, refused, was slow or is cold, and nobody is trying it now
	Healthy
)

func (c Condition) String() string {
	return [...]string{"unserved", "pressed", "ailing", "well"}[c]
}

// Condition tells how a destination does, and the calls a second that are listed for it as this dispatcher's part, 0 if
// none are. It changes nothing.
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
		if ep.limit != t.limit || rate == 0 { // routes apart add up
			rate += p.knownRate
		}
		if now < p.waitUntil {
			continue
		}
		waits = false
		// A trial has been due for long and nobody makes one: what is held is of classes that trials spare.
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

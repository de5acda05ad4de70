package control

// Condition is the state of a destination as seen by senders whose messages can wait, such as resends.
type Condition uint8

// Conditions of a destination. String returns their outer names.
const (
	Unserved Condition = iota // no endpoint takes new work
	Pressed                   // it told to wait, refuses calls or has messages queued, or all slots are in use
	Ailing                    // it failed, refused calls, was slow or is cold, and no trial call is out
	Well                      // a warm endpoint takes the whole demand, and latency is as usual
)

func (c Condition) String() string {
	return [...]string{"unserved", "pressed", "ailing", "well"}[c]
}

// Condition returns the condition of a destination and this dispatcher's part of the rate limit that is listed or
// reported for it, in calls a second, 0 if there is none. It changes nothing.
func (d *Dispatcher) Condition(now Time, no int) (c Condition, rate float64) {
	t := d.byNo[no]
	if t == nil || t.ready() == 0 {
		return Unserved, 0
	}
	good, waits, left := false, true, false
	for _, ep := range t.eps {
		p := ep.limit
		if ep.health != Ready {
			continue
		}
		if ep.limit != t.limit || rate == 0 { // the limits of separate routes add up
			rate += p.bound
		}
		if now < p.wait {
			continue
		}
		waits = false
		// A trial has been due for long and none was made: the queued messages are too risky for one.
		left = left || ep.suspect && !ep.trying() && now-ep.trialAt > trialMost
		good = good || !ep.suspect && !d.cold(ep, now) && p.streak == 0 && p.allowed(now) >= 1
	}
	rate /= d.slack * float64(max(d.set.Instances, 1))
	slow := t.lat.n > 0 && t.lat.mean > slowFactor*t.base
	switch {
	case waits || d.paused || d.short || d.busy >= d.set.Slots:
		return Pressed, rate
	case left && !good && t.w == 0:
		return Ailing, rate
	case t.held > 0:
		return Pressed, rate
	case good && !slow:
		return Well, rate
	case t.open > 0 || t.w > 0:
		return Pressed, rate
	}
	return Ailing, rate
}

package control

import (
	"slices"

	"curlewmux/pace"
)

// This file decides when an endpoint is cold after an outage, and how fast its calls may rise until it is warm.

// startRamps starts the ramps of all endpoints that share the limit of the one given.
func (d *Dispatcher) startRamps(ep *endpoint, returnAt Time) {
	for _, sibling := range ep.destination.endpoints {
		if sibling.limit == ep.limit {
			d.startRamp(sibling, returnAt)
		}
	}
}

// startRamp marks an endpoint as cold and starts its ramp, as if it had returned at the time given, which may
// lie ahead, but not before its destination opens if that is shut. The random level is the one at the return.
// Tokens that came before it would let all dispatchers that were told the same time call at that time.
func (d *Dispatcher) startRamp(ep *endpoint, returnAt Time) {
	if d.setRamp(ep, returnAt); ep.rampStart <= d.now {
		d.noteReturn(ep)
	}
}

// setRamp does what startRamp does, but leaves no note.
func (d *Dispatcher) setRamp(ep *endpoint, returnAt Time) {
	returnAt = max(returnAt, ep.limit.opensAt)
	ep.rampStart, ep.ramp = returnAt, pace.NewBucket(max(d.now, returnAt), d.random())
}

// noteReturn tells operators that an endpoint has begun its ramp.
func (d *Dispatcher) noteReturn(ep *endpoint) {
	d.note(ep.destination, "is back, cold: its calls rise over the warm-up")
}

// keepServedRate keeps the rate that a destination served before an outage, by which the ramps after it are
// sized, as of the time given. Right after a delivery the rate of rare traffic is measured too high. Rates
// measured while an endpoint is unhealthy are lower and don't count.
func (d *Dispatcher) keepServedRate(dest *destination, at Time) {
	if !slices.ContainsFunc(dest.endpoints, d.unhealthy) {
		dest.rateBeforeOutage = dest.served.rate(at)
	}
}

// updateRamp sets the rate allowed to an endpoint that is suspect or back from an outage: its part of the
// full rate times its warmth. The full rate is what the destination took before the outage. If that is not
// known, it is the given one, the demand. The first call goes at a random time. So all dispatchers together,
// however many, stay within what a cold endpoint can do and do not overload it. The rate of a failing endpoint
// that is not known to be back does not rise, as it may return at any time. Risk: an endpoint suspected wrongly
// is used less during the warm-up.
func (d *Dispatcher) updateRamp(dest *destination, ep *endpoint, fullRate float64) {
	if dest.rateBeforeOutage > 0 {
		fullRate = dest.rateBeforeOutage
	}
	fullRate /= float64(max(dest.readyCount(), 1))
	start, duration := ep.rampStart, d.settings.WarmUp
	if ep.suspect && !d.cold(ep, d.now) {
		start, duration, fullRate = ep.lastFailureAt, unseenWarmUps*d.settings.WarmUp, fullRate*trialShare
	} else {
		fullRate *= rampMargin
	}
	rise := fullRate * (1 - d.settings.ColdFrom) / max(duration, 1).Seconds()
	rate := pace.Rate{From: fullRate*d.settings.ColdFrom + rise*d.now.Since(start).Seconds(), Rise: rise,
		End: fullRate}
	if ep.returnUnseen && d.cold(ep, d.now) {
		rate = pace.Constant(fullRate * d.settings.ColdFrom)
	}
	ep.ramp.SetRate(d.now, start, rate, max(1, fullRate*rampBurstTicks*d.settings.Tick.Seconds()))
}

// cold reports whether an endpoint may still be cold at a time, or will return, cold, only after it.
func (d *Dispatcher) cold(ep *endpoint, at Time) bool { return ep.rampStart != 0 && at < d.warmAt(ep) }

// warmAt returns the time from which on a cold endpoint is certain to be warm, or is tried like any other because
// nothing was heard of its return.
func (d *Dispatcher) warmAt(ep *endpoint) Time {
	if ep.returnUnseen {
		return ep.rampStart.After(unseenWarmUps * d.settings.WarmUp)
	}
	return d.warmAfter(ep.rampStart)
}

// warmAfter returns the time from which on an endpoint that returned at the time given is certain to be warm.
func (d *Dispatcher) warmAfter(returnAt Time) Time {
	return returnAt.After(Time(rampWarmUps * float64(d.settings.WarmUp)))
}

// coldFromShut reports whether the endpoints of a limit are shut, or were not long ago and may still be cold.
func (d *Dispatcher) coldFromShut(limit *rateLimit) bool {
	return limit.opensAt > 0 && d.now < d.warmAfter(limit.opensAt)
}

// coldSibling reports whether another endpoint with the same limit is back from an outage. Its first response
// has reset the count of failures that they share.
func (d *Dispatcher) coldSibling(ep *endpoint) bool {
	return slices.ContainsFunc(ep.destination.endpoints, func(sibling *endpoint) bool {
		return sibling != ep && sibling.limit == ep.limit && d.cold(sibling, d.now) && !sibling.suspect
	})
}

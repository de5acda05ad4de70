package control

import "slices"

// This file decides when endpoints that answer some calls as usual and others with an error have an outage, and when they
// are back. Such an endpoint is cold, and its ramp does not rise until a call succeeds that was sent after the last error.

// recordError counts an error response. Errors that successes do not outweigh show that an endpoint fails most calls.
func (d *Dispatcher) recordError(ep *endpoint) {
	limit := ep.limit
	if limit.errorScore == 0 {
		limit.errorsSince = d.now
	}
	weight, failingScore := d.errorEvidence(ep)
	maxScore := 2 * failingScore // so that a return is not doubted for long
	limit.errorScore = min(limit.errorScore+weight, maxScore)
	if !ep.returnUnseen { // errors of an outage say nothing about other times
		limit.errorShare += errorShareGain * (1 - limit.errorShare)
	}
	switch {
	case limit.errorScore >= failingScore:
		d.startFailing(ep)
	case ep.returnUnseen:
		d.markFailing(ep)
	}
}

// recordNoError counts a call that was answered with OK.
func (limit *rateLimit) recordNoError() {
	limit.errorScore = max(limit.errorScore-1, 0)
	limit.errorShare -= errorShareGain * limit.errorShare
}

// errorEvidence returns how many successes an error outweighs, and the error score that shows an outage. The score is
// reached by half as many errors as the destination gets calls within OverloadFor. A dispatcher that makes less than one
// call in that time may see only one error of an outage, so one is enough. Where errors are common, they weigh less.
func (d *Dispatcher) errorEvidence(ep *endpoint) (weight, failingScore int) {
	calls := ep.destination.demand.rate(d.now) * d.settings.OverloadFor.Seconds()
	errors := int(min(max(calls/2, minErrorsToFail), maxErrorsToFail))
	switch {
	case ep.limit.errorShare >= commonErrorShare:
		return 1, errors
	case calls < 1:
		return errorWeight, errorWeight
	}
	return errorWeight, errorWeight*errors - 1 // one of the calls may succeed
}

// startFailing marks an endpoint as failing, and with it those that share its limit and have answered no call with OK
// since the errors began: an outage mostly affects all of them.
func (d *Dispatcher) startFailing(ep *endpoint) {
	if !slices.ContainsFunc(ep.destination.endpoints, isReturnUnseen) {
		d.note(ep.destination, "fails most calls: few go there until it is back")
	}
	d.keepServedRate(ep.destination, d.now)
	for _, sibling := range ep.destination.endpoints {
		if sibling == ep || sibling.limit == ep.limit && sibling.lastOKSentAt < ep.limit.errorsSince {
			d.markFailing(sibling)
		}
	}
}

// markFailing makes an endpoint cold until a call succeeds that is sent from now on, and for a warm-up after that.
func (d *Dispatcher) markFailing(ep *endpoint) {
	if !d.cold(ep, d.now) {
		d.setRamp(ep, d.now)
	}
	ep.returnUnseen, ep.rampStart = true, max(ep.rampStart, d.now)
}

// recordReturn starts the ramp of a failing endpoint that has answered a call with OK, if that was sent after the last
// error.
func (d *Dispatcher) recordReturn(ep *endpoint, call *call) {
	if call.sentAt >= ep.rampStart {
		ep.returnUnseen, ep.rampStart = false, d.now
		d.noteReturn(ep)
	}
}

// maySendAfterError reports whether a call may go to a failing endpoint although the ramp does not allow it yet: after a
// single error one call at a time shows if that was the beginning of an outage.
func (ep *endpoint) maySendAfterError() bool {
	return ep.returnUnseen && ep.limit.errorScore <= errorWeight && len(ep.calls) == 0
}

// isReturnUnseen reports whether an endpoint fails most calls and is not known to be back.
func isReturnUnseen(ep *endpoint) bool { return ep.returnUnseen }

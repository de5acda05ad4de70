package control

import "math"

// This file decides what a refusal means: a rate limit, for which the allowed share of the demand is cut, or chance.

// recordRefusal handles a refusal: it cuts the allowed share and, if no wait was told, starts a backoff. A
// refusal without a told wait that may be a random one has neither effect.
func (d *Dispatcher) recordRefusal(ep *endpoint, call *call, toldWait Time) {
	limit, kind := ep.limit, ep.destination.kind
	if limit.refusedSince == 0 {
		limit.refusedSince = d.now
	}
	if call.sentAt < limit.lastCutAt {
		return
	}
	limit.refusedMeter.add(d.now, 1)
	limit.endedMeter.add(d.now, 1)
	d.learnRandomRefusals(limit, call, 1)
	if limit.refusalStreak++; limit.refusalStreak > 1 {
		kind.retrySuccess -= lostGain * kind.retrySuccess
	}
	demand := ep.destination.demand.rate(d.now)
	if toldWait == 0 {
		if d.refusalsTolerated(limit, demand) {
			return
		}
		baseBackoff := max(min(initialBackoff, Time(maxBackoffMessages*float64(Second)/demand)),
			Time(min(float64(d.minAim), float64(Second)/demand)/2))
		backoff := min(baseBackoff<<min(limit.cutStreak, 6), maxBackoff)
		limit.cutStreak++
		limit.waitUntil = max(limit.waitUntil, d.now+backoff/2+Time(d.random()*float64(backoff)/2))
	}
	previousShare, refusedShare := min(limit.allowedShareAt(d.now), 1),
		limit.refusedMeter.sum/(limit.endedMeter.sum+randomPriorCalls/2)
	if previousShare > limit.wellBelowShare {
		limit.cutRefusedShare = 0 // otherwise this cut has the same cause as the one before
	}
	limit.cutRefusedShare, limit.wellBelowShare = max(limit.cutRefusedShare, refusedShare),
		wellBelowPart*previousShare*(1-refusedShare)
	limit.lastCutAt, limit.wellBelowCalls, limit.refusedMeter, limit.endedMeter =
		d.now, 0, d.newCallMeter(), d.newCallMeter()
	limit.allowedShare, limit.shareSince =
		max(min(previousShare*allowedShareCut, limit.wellBelowShare), minAllowedShare),
		max(d.now, limit.waitUntil)
	limit.tokens.Cap(d.now, d.random()) // retries have to stay within the allowed share, too
}

// refusalsTolerated reports whether there were no more refusals since the last cut than random ones explain.
// A lower rate does not avoid those, so it is not cut for them. Risk: some more calls exceed a real limit.
func (d *Dispatcher) refusalsTolerated(limit *rateLimit, demand float64) bool {
	refused, ended := limit.refusedMeter.sum, limit.endedMeter.sum
	expected := limit.randomShare * ended
	if (expected >= minExpectedRefusals ||
		limit.toleratedDeviations > 1 && limit.randomShare >= measuredRandomShare) &&
		refused < expected+limit.toleratedDeviations*math.Sqrt(expected) {
		return true
	}
	// Soon after a cut a few refusals prove nothing, and with many calls more is known shortly.
	maxExpected := maxRandomShare * ended
	soonAfterCut := ended < randomDecisionCalls && d.now-limit.lastCutAt < cutGracePeriod &&
		demand*cutGracePeriod.Seconds() > randomDecisionCalls/2
	return soonAfterCut && refused < 1+maxExpected+math.Sqrt(maxExpected)
}

// learnRandomRefusals estimates the share of calls that is refused however low their rate. It counts calls
// that went at a rate well below the answered one, where a limit refuses none. If the estimate explains the
// last cut, there is no limit.
func (d *Dispatcher) learnRandomRefusals(limit *rateLimit, call *call, refused float64) {
	if !call.wellBelowLimit || call.sentAt < limit.lastCutAt {
		return
	}
	limit.wellBelowCalls++
	if limit.randomShare += (refused - limit.randomShare) /
		(limit.wellBelowCalls + randomPriorCalls); limit.randomShare > maxRandomShare {
		limit.randomShare = 0
	}
	if limit.wellBelowCalls < randomDecisionCalls {
		return
	}
	if limit.toleratedDeviations = randomDeviations; limit.cutRefusedShare <= randomCutFactor*limit.randomShare {
		limit.allowedShare, limit.shareSince = unlimitedShare, d.now
	}
}

// testsRandomRefusals reports whether calls after a cut are used to tell random refusals from a limit. The
// backlog does not raise the rate meanwhile.
func (d *Dispatcher) testsRandomRefusals(limit *rateLimit) bool {
	return limit.lastCutAt > 0 && limit.wellBelowCalls < randomTestCalls &&
		d.now-limit.lastCutAt < randomTestDuration
}

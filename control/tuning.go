package control

// Tuning constants. None of them is specific to one deployment.
const (
	windowsPerRevision   = 4   // completions between two revisions of a window, as a multiple of the window
	maxCleanFailureShare = 0.1 // an interval with a larger share of failed calls is not clean

	// Latency and response timeouts.
	latencyGain        = 1.0 / 8           // weight of a new latency sample
	baselineGain       = 1.0 / 64          // weight of a new sample in the long-term latency
	latencyPriorCount  = 2                 // samples that the latency of the kind counts for
	timeoutDeviations  = 6                 // most deviations above the mean in a timeout; more with few samples
	initialLatency     = 400 * Millisecond // assumed before the first response
	minResponseTimeout = 300 * Millisecond // a shorter time without a response is not suspicious, as short pauses are common

	// Failures and outages.
	errorStreakLimit     = 5        // consecutive errors that make an endpoint suspect
	errorWeight          = 2        // successes that outweigh an error
	minErrorsToFail      = 2        // fewest errors that show an outage, but where there is little traffic
	maxErrorsToFail      = 10       // most errors that are needed to show one
	errorShareGain       = 1.0 / 64 // weight of a new call in the long-term share of errors
	commonErrorShare     = 0.02     // from this long-term share on a single error tells nothing
	failuresToConfirm    = 2        // consecutive failed connects or timeouts that confirm an outage
	failuresPerLostShare = 6        // additional failures to confirm an outage, per share of lost responses
	lostGain             = 1.0 / 8  // weight of a new call in the share of lost responses and in shares by kind
	minLostShare         = 0.01     // lower bound of the share of lost responses
	lostDeviations       = 1        // deviations in a timeout, plus one for each factor e in 1/lostShare
	slowFactor           = 3.0      // a slow destination's latency exceeds its long-term latency by this factor

	// Trial calls to suspect endpoints.
	trialIntervalGrowth = 1.5        // factor on the interval to the next trial call, with each trial call
	maxTrialInterval    = 2 * Second // a longer interval would waste what a returned endpoint can do
	unseenWarmUps       = 4          // warm-ups within which an endpoint unseen since it failed may get warm
	maxUnseenWarmUps    = 8          // warm-ups after a failure until a ramp no longer limits trial calls
	trialShare          = 0.5        // share of a ramp's rate for trial calls, as new senders try it, too

	// Backoff after a refusal without a told wait.
	initialBackoff     = 100 * Millisecond // the first one in a row; each further one is twice as long
	maxBackoff         = 4 * Second        // upper bound of a backoff
	maxBackoffMessages = 8                 // the first backoff ends once this many messages should have arrived

	// Refusals at random, as opposed to those of a rate limit.
	initialRandomShare  = 0.06       // share of calls assumed to be refused at random until it is measured
	maxRandomShare      = 0.25       // a larger refused share is a rate limit
	measuredRandomShare = 0.05       // a measured share from this on is tolerated with any number of calls
	minExpectedRefusals = 1.0        // a smaller share is tolerated if it makes this many refusals expected
	randomDeviations    = 3          // tolerated excess in square roots of the expected number; 1 until measured
	randomTestCalls     = 24         // calls well below the answered rate, equally weighted, per measurement
	randomTestDuration  = Second     // time after a cut in which calls measure the share
	randomPriorCalls    = 8          // calls that the earlier estimate of the share counts for
	randomDecisionCalls = 16         // calls of a measurement after which it may explain the cut
	randomCutFactor     = 1.5        // a share explains a cut after at most this many times as many refusals
	cutGracePeriod      = Second / 2 // sooner after a cut and with few calls, only many refusals cut again
	wellBelowPart       = 0.9        // rates up to this part of the answered rate are well below it

	// The allowed share: how much of its demand a destination is sent while it refuses calls.
	allowedShareCut        = 0.7  // factor on the allowed share at a refusal
	allowedSharePerOK      = 0.1  // growth by an OK, and the most growth by OKs in one second
	allowedSharePerMessage = 0.05 // growth by a message of the demand, for two messages a second at most
	minAllowedShare        = 0.05 // lower bound of the allowed share
	// A backlog counts as demand as if it were sent within this many aims, times the square of the kind's share
	// of calls that succeed right after a refusal.
	backlogAims         = 2
	initialRetrySuccess = 0.3 // share of calls assumed to succeed right after a refusal until it is measured
	unlimitedShare      = 2.0 // from this allowed share on, a limit has no effect any more

	// Measured rates, bursts and ramps.
	rateTau             = 2 * Second  // time constant of the measured rates
	initialMeterHistory = Second / 2  // history assumed for a rate that has just begun to be measured
	demandTau           = 10 * Second // time constant of the demand that ramps and shares are sized by
	demandFadeTaus      = 4           // times demandTau, the time for which demand counts if no more arrives
	listDelaySpans      = 2           // overload spans that the list may be late when a failing endpoint leaves
	rateBurstSeconds    = 0.5         // seconds of the allowed rate that may go at once
	maxBurstCalls       = 5           // calls that an allowed share lets go at once, or what rampBurstTicks take
	roughWeightSlack    = 1.5         // a rough listed rate may be too low by this factor
	rampMargin          = 1.5         // factor of a ramp's rate over own demand x warmth, under tip-multiple
	rampWarmUps         = 1.0         // warm-ups after a return until the whole backlog may go at once
	rampBurstTicks      = 4           // ticks of a ramp's rate that may accumulate, if more than one call
	batchMessageCost    = 0.25        // load of each further message of a call on a cold endpoint, in calls

	// Connections.
	scarceDuration     = 30 * Second // connections count as scarce for this long after the last sign of it
	confirmedDropShare = 0.2         // share of calls failing on idle connections that shows these are dropped
	safeIdleShare      = 0.8         // idle connections are used up to this part of the age at which one failed
	safeIdleGrowth     = 1.02        // factor on the idle age known to be safe, with each OK

	// Choice of messages.
	quotaMargin    = 1.1               // a tenant is over its share when it exceeds it by this factor
	minQueueDelay  = 500 * Millisecond // lower bound of the estimated queue delay
	maxQueueDelay  = 8 * Second        // upper bound of it, so that a stalled queue compares with a busy one
	minServiceRate = 0.2               // calls a second assumed for a destination that answers nothing
	worthTieBreak  = 0.01              // share of its worth that counts for a message losing none by waiting

	// Bounds on calls and Steps.
	stuckTimeouts      = 2           // response timeouts after which a call is abandoned
	openReserveDivisor = 16          // one part in this many of max-open is kept free for better messages
	wakeTicks          = 4           // ticks until the next timer while any message is open or call is out
	maxSendsPerStep    = 250         // most calls that one Step starts; the next Step follows at once
	maxScansPerStep    = 1000        // most destinations that a Step wakes, and most whose calls it checks
	cleanupInterval    = 10 * Second // time between cleanups, and least time between notes to the operators
)

package driver

import (
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/admission"
	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// admissionGate guards the admission gate, which decides whether the process has the CPU for another message.
type admissionGate struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// Admit reports whether the process has the CPU for one more message, and if not, after how long the client may retry.
// Fronts call it before they read a body, from any goroutine. It does not block. now is the time of the host.
func (d *Driver) Admit(now time.Time) (again time.Duration, ok bool) {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	ok, after := d.admission.gate.Admit(d.clock.At(now))
	return engine.Duration(after), ok
}

// maxSubmissionsPerRound is the number of submissions that one round handles. The rest waits for later rounds, so that events
// of accepted messages never wait behind new ones.
const maxSubmissionsPerRound = 256

// deferredWork holds submissions that wait for the next rounds, oldest first, and withdrawals of these messages.
type deferredWork struct {
	list []any
	ids  map[string]int // how often each message id is in the list
}

func (l *deferredWork) add(v any) {
	if l.ids == nil {
		l.ids = map[string]int{}
	}
	l.list = append(l.list, v)
	for _, id := range idsOf(v) {
		l.ids[id]++
	}
}

func (l *deferredWork) has(id string) bool { return l.ids[id] > 0 }

// take removes and returns up to n of the oldest values.
func (l *deferredWork) take(n int) []any {
	n = min(n, len(l.list))
	out := l.list[:n:n]
	for _, v := range out {
		for _, id := range idsOf(v) {
			if l.ids[id]--; l.ids[id] == 0 {
				delete(l.ids, id)
			}
		}
	}
	if l.list = l.list[n:]; len(l.list) == 0 {
		l.list, l.ids = nil, nil
	}
	return out
}

// idsOf returns the ids of the messages that a submission or withdrawal is about.
func idsOf(v any) (ids []string) {
	switch v := v.(type) {
	case *submission:
		ids = []string{v.Message.ID}
	case *groupSubmission:
		for i := range v.Submissions {
			ids = append(ids, v.Submissions[i].Message.ID)
		}
	case *engine.Withdraw:
		ids = []string{v.ID}
	}
	return ids
}

// load measures how late the process is and limits how fast calls start. At intervals the driver sends a probe through the
// run queue of the machine. The time until the probe is back is the delay of all work. Between two probes only
// callsPerProbe calls start, the others wait here. If more started than the CPU can serve, each would take longer, and
// each would need a connection of its own meanwhile.
type load struct {
	probe          host.Probe     // nil: delay is not measured
	probeOut       bool           // the probe is under way
	probeSent      atomic.Int64   // engine.Time at which it was sent
	lastLateReport engine.Time    // when the gate was last informed that the probe is still under way
	submissions    int            // submissions since the last probe was sent, or found unnecessary
	callsStarted   int            // calls started since then
	queuedCalls    []*engine.Call // to be started, oldest first
	endedMessages  int            // messages that ended since the gate was last informed
}

const (
	callsPerProbe      = 256                      // calls that start between two probes
	minWorkForProbe    = 8                        // calls and submissions since the last probe; fewer need no new one
	probeInterval      = 5 * control.Millisecond  // between two probes
	lateReportInterval = 50 * control.Millisecond // between two reports to the gate that a probe is still under way
	probeTimeout       = 1 * time.Second          // time after which a probe is taken to be lost
)

// probeReturn reports that the probe is back.
type probeReturn struct{ delay engine.Time }

// MeasureLag has the driver measure how late the process is, if the host supports it. A runtime that has the process for
// itself calls it before Run. Without it the delay counts as zero.
func (d *Driver) MeasureLag() {
	p, ok := d.host.(host.Prober)
	if !ok {
		return
	}
	probe, err := p.NewProbe(func() {
		d.inbox.Put(&probeReturn{d.clock.At(d.host.Now()) - engine.Time(d.load.probeSent.Load())})
	})
	if err != nil {
		d.log.Warn("the delay of the process can't be measured", "error", err)
		return
	}
	d.load.probe = probe
}

// mayStart reports whether another call may start before the next probe.
func (l *load) mayStart() bool {
	return l.probe == nil || l.callsStarted < callsPerProbe
}

// startOrQueue starts a call or queues it.
func (d *Driver) startOrQueue(call *engine.Call) {
	if l := &d.load; len(l.queuedCalls) > 0 || !l.mayStart() {
		if _, waited := d.madeInRound[call.ID]; !waited {
			d.madeInRound[call.ID] = 0 // no round has this number, so the call needs a new permit before it starts
		}
		l.queuedCalls = append(l.queuedCalls, call)
		return
	}
	d.load.callsStarted++
	d.startCall(call)
}

// startQueued starts as many queued calls as are allowed.
func (d *Driver) startQueued() {
	l := &d.load
	n := 0
	for ; n < len(l.queuedCalls) && l.mayStart(); n++ {
		call := l.queuedCalls[n]
		l.queuedCalls[n] = nil
		l.callsStarted++
		d.startCall(call)
	}
	if l.queuedCalls = l.queuedCalls[n:]; len(l.queuedCalls) == 0 {
		l.queuedCalls = nil
	}
}

// endRound ends a round. It starts queued calls, sends the probe if there is work whose delay can be measured, and
// informs the gate of messages that ended and of a probe that is late.
func (d *Driver) endRound() {
	l := &d.load
	d.startQueued()
	if l.probeOut && d.now.At-engine.Time(l.probeSent.Load()) > engine.Time(probeTimeout.Microseconds()) {
		l.probeOut = false
	}
	if sinceProbe := d.now.At - engine.Time(l.probeSent.Load()); l.probe != nil && !l.probeOut && (sinceProbe >= probeInterval || l.callsStarted >= callsPerProbe) {
		if l.callsStarted+l.submissions >= minWorkForProbe {
			l.probeOut = true
			l.probeSent.Store(int64(d.clock.At(d.host.Now())))
			l.probe.Send()
		}
		l.callsStarted, l.submissions = 0, 0
		d.startQueued() // these calls run behind the probe
	}
	probeAge := engine.Time(0) // how long the probe has been under way, if the gate is to be informed
	if sent := engine.Time(l.probeSent.Load()); l.probeOut && d.now.At-max(sent, l.lastLateReport) >= lateReportInterval {
		l.lastLateReport, probeAge = d.now.At, d.now.At-sent
	}
	if l.endedMessages > 0 || probeAge > 0 {
		d.admission.mu.Lock()
		defer d.admission.mu.Unlock()
		if l.endedMessages > 0 {
			d.admission.gate.Completed(d.now.At, l.endedMessages)
			l.endedMessages = 0
		}
		if probeAge > 0 {
			d.admission.gate.ObserveDelay(d.now.At, probeAge)
		}
	}
}

// probeReturned handles the return of the probe.
func (d *Driver) probeReturned(p *probeReturn) {
	d.load.probeOut, d.load.callsStarted = false, 0
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	d.admission.gate.ObserveDelay(d.now.At, p.delay)
}

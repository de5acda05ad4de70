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

// door guards the admission gate, which decides whether the process has the CPU for another message.
type door struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// Admit reports whether the process has the CPU for one more message, and if not, after how long the client may retry.
// Fronts call it before they read a body, from any goroutine. It does not block. now is the time of the host.
func (d *Driver) Admit(now time.Time) (again time.Duration, ok bool) {
	d.door.mu.Lock()
	defer d.door.mu.Unlock()
	ok, after := d.door.gate.Admit(d.clock.At(now))
	return engine.Duration(after), ok
}

// newWork is the number of submissions that one round handles. The rest waits for later rounds, so that events of accepted
// messages never wait behind new ones.
const newWork = 256

// later holds submissions that wait for the next rounds, oldest first, and withdrawals of these messages.
type later struct {
	list []any
	ids  map[string]int // how often each message id is in the list
}

func (l *later) add(v any) {
	if l.ids == nil {
		l.ids = map[string]int{}
	}
	l.list = append(l.list, v)
	for _, id := range idsOf(v) {
		l.ids[id]++
	}
}

func (l *later) has(id string) bool { return l.ids[id] > 0 }

// take removes and returns up to n of the oldest values.
func (l *later) take(n int) []any {
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
	case *handIn:
		ids = []string{v.Message.ID}
	case *handInAll:
		for i := range v.Submissions {
			ids = append(ids, v.Submissions[i].Message.ID)
		}
	case *engine.Withdraw:
		ids = []string{v.ID}
	}
	return ids
}

// load measures how late the process is and limits how fast calls start. At intervals the driver sends a probe through the
// run queue of the machine. The time until the probe is back is the delay of all work. Between two probes only lot calls
// start, the others wait here. If more started than the CPU can serve, each would take longer, and each would need a
// connection of its own meanwhile.
type load struct {
	probe   host.Probe     // nil: delay is not measured
	out     bool           // the probe is under way
	sent    atomic.Int64   // engine.Time at which it was sent
	seen    engine.Time    // when the gate was last informed that the probe is still under way
	handIns int            // submissions since the last probe was sent, or found unnecessary
	started int            // calls started since then
	waiting []*engine.Call // to be started, oldest first
	done    int            // messages that ended since the gate was last informed
}

const (
	lot       = 256                      // calls that start between two probes
	fewEach   = 8                        // calls and submissions since the last probe; fewer need no new one
	probeGap  = 5 * control.Millisecond  // between two probes
	probeSeen = 50 * control.Millisecond // between two reports to the gate that a probe is still under way
	probeLost = 1 * time.Second          // after which a probe is taken to be lost
)

// probeBack reports that the probe is back.
type probeBack struct{ late engine.Time }

// MeasureLag has the driver measure how late the process is, if the host supports it. A runtime that has the process for
// itself calls it before Run. Without it the delay counts as zero.
func (d *Driver) MeasureLag() {
	p, ok := d.host.(host.Prober)
	if !ok {
		return
	}
	probe, err := p.NewProbe(func() {
		d.inbox.Put(&probeBack{d.clock.At(d.host.Now()) - engine.Time(d.load.sent.Load())})
	})
	if err != nil {
		d.log.Warn("the delay of the process can't be measured", "error", err)
		return
	}
	d.load.probe = probe
}

// mayStart reports whether another call may start before the next probe.
func (l *load) mayStart() bool {
	return l.probe == nil || l.started < lot
}

// start starts a call or queues it.
func (d *Driver) start(c *engine.Call) {
	if l := &d.load; len(l.waiting) > 0 || !l.mayStart() {
		if _, held := d.made[c.ID]; !held {
			d.made[c.ID] = 0 // no round has this number, so the call needs a new permit before it starts
		}
		l.waiting = append(l.waiting, c)
		return
	}
	d.load.started++
	d.call(c)
}

// startWaiting starts as many queued calls as are allowed.
func (d *Driver) startWaiting() {
	l := &d.load
	n := 0
	for ; n < len(l.waiting) && l.mayStart(); n++ {
		c := l.waiting[n]
		l.waiting[n] = nil
		l.started++
		d.call(c)
	}
	if l.waiting = l.waiting[n:]; len(l.waiting) == 0 {
		l.waiting = nil
	}
}

// measure ends a round. It starts queued calls, sends the probe if there is work whose delay can be measured, and informs the
// gate of messages that ended and of a probe that is late.
func (d *Driver) measure() {
	l := &d.load
	d.startWaiting()
	if l.out && d.now.At-engine.Time(l.sent.Load()) > engine.Time(probeLost.Microseconds()) {
		l.out = false
	}
	if since := d.now.At - engine.Time(l.sent.Load()); l.probe != nil && !l.out && (since >= probeGap || l.started >= lot) {
		if l.started+l.handIns >= fewEach {
			l.out = true
			l.sent.Store(int64(d.clock.At(d.host.Now())))
			l.probe.Send()
		}
		l.started, l.handIns = 0, 0
		d.startWaiting() // the next lot runs behind the probe
	}
	out := engine.Time(0) // how long the probe has been under way, if the gate is to be informed
	if sent := engine.Time(l.sent.Load()); l.out && d.now.At-max(sent, l.seen) >= probeSeen {
		l.seen, out = d.now.At, d.now.At-sent
	}
	if l.done > 0 || out > 0 {
		d.door.mu.Lock()
		defer d.door.mu.Unlock()
		if l.done > 0 {
			d.door.gate.Completed(d.now.At, l.done)
			l.done = 0
		}
		if out > 0 {
			d.door.gate.ObserveDelay(d.now.At, out)
		}
	}
}

// back handles the return of the probe.
func (d *Driver) back(p *probeBack) {
	d.load.out, d.load.started = false, 0
	d.door.mu.Lock()
	defer d.door.mu.Unlock()
	d.door.gate.ObserveDelay(d.now.At, p.late)
}

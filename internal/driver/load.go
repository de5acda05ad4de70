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

// door is where new work asks whether there is a core for it.
type door struct {
	mu   sync.Mutex
	gate *admission.Gate
}

// Admit tells whether there is a core for one more message, and if not, after how long it may come again. Fronts ask
// before they read a body, from any goroutine; it does not block. now is the host's time.
func (d *Driver) Admit(now time.Time) (again time.Duration, ok bool) {
	d.door.mu.Lock()
	defer d.door.mu.Unlock()
	ok, after := d.door.gate.Admit(d.clock.At(now))
	return engine.Duration(after), ok
}

// newWork is how much new work a round takes at most. With more the rest waits for the rounds to come, and what happens
// meanwhile goes first: nothing that was taken waits behind what comes.
const newWork = 256

// later is new work that waits for the next rounds, oldest first, and what came behind it for the same messages.
type later struct {
	list []any
	ids  map[string]int // how often each is in the list
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

// take takes so many out at most.
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

// idsOf are the ids of the messages that new work is about.
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

// load is what the driver knows of how much the process has to do. Now and then it sends a probe through the queue of all
// that is ready; the probe's time is how late everything is. Between two probes only so many calls start, the others
// wait here: where more is begun than gets its turn, each takes longer, and needs a connection of its own meanwhile.
type load struct {
	probe   host.Probe // nil: the host can't be late
	out     bool       // the probe is ...
	sent    atomic.Int64
	seen    engine.Time    // when it was last told that the probe is still out
	handIns int            // since it was sent, or since there was need for none
	started int            // calls, the same
	waiting []*engine.Call // to be started, oldest first
	done    int            // messages that ended since the gate was told
}

const (
	lot       = 256 // calls that start between two probes
	fewEach   = 8   // so few calls and hand-ins within a gap need no probe
	probeGap  = 5 * control.Millisecond
	probeSeen = 50 * control.Millisecond // between two times that a probe which is still out counts as late
	probeLost = 1 * time.Second          // a probe that is not back by then won't come back
)

// probeBack is the probe when it is back.
type probeBack struct{ late engine.Time }

// MeasureLag has the driver measure how late the process is, where the host can be late. It is called before Run, by a runtime
// that has the process for itself; without it nothing is late.
func (d *Driver) MeasureLag() {
	p, ok := d.host.(host.Prober)
	if !ok {
		return
	}
	probe, err := p.NewProbe(func() {
		d.inbox.Put(&probeBack{d.clock.At(d.host.Now()) - engine.Time(d.load.sent.Load())})
	})
	if err != nil {
		d.log.Warn("how late the process is can't be told", "error", err)
		return
	}
	d.load.probe = probe
}

// mayStart tells whether one more call may start before the next probe.
func (l *load) mayStart() bool {
	return l.probe == nil || l.started < lot
}

// start starts a call, or has it wait.
func (d *Driver) start(c *engine.Call) {
	if l := &d.load; len(l.waiting) > 0 || !l.mayStart() {
		if _, held := d.made[c.ID]; !held {
			d.made[c.ID] = 0 // no round's: it asks again before it starts
		}
		l.waiting = append(l.waiting, c)
		return
	}
	d.load.started++
	d.call(c)
}

// startWaiting starts calls that wait, as many as may.
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

// measure ends a round: what waits starts if it may, the probe is sent if there is something to measure, and the gate
// hears what has ended.
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
		d.startWaiting() // behind the probe: the next lot
	}
	out := engine.Time(0) // how long the probe has been out by now, if that is to be told
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

// back takes the probe back.
func (d *Driver) back(p *probeBack) {
	d.load.out, d.load.started = false, 0
	d.door.mu.Lock()
	defer d.door.mu.Unlock()
	d.door.gate.ObserveDelay(d.now.At, p.late)
}

package sim

import (
	"slices"
	"time"

	"curlewmux/internal/vnet"
)

// aim has something reach a dispatcher in the very microsecond at which one of its timers is due. Which of the two it
// then sees first is drawn from the seed.
type aim struct {
	timer, event  string
	at            time.Duration
	p             *vnet.Process
	packet, timed int // the steps at that instant in which they came, 0: not yet
	steps         int
}

// Timers and events of the pairs.
var (
	aimTimers = []string{"message's time", "attempt's time-out", "idle expiry", "tick", "stop's stage", "retry of a notice"}
	aimEvents = []string{"first line", "rest of an answer", "reset", "list change", "cancel"}
)

// The goroutines of a node that have timers of their own, in the order in which it starts them.
const (
	mainGoroutine    = 1
	noticesGoroutine = 3
	driverGoroutine  = 4
)

// takeAim goes on taking aim for as long as there are faults.
func (f *Farm) takeAim(d *dice) {
	f.w.After(f.begin+100*ms, func() { f.aimAgain(d) })
}

func (f *Farm) aimAgain(d *dice) {
	if f.w.Now() >= f.heal {
		return
	}
	f.w.After(d.span(5*ms, 60*ms), func() { f.aimAgain(d) })
	x := f.dispatchers[d.n(len(f.dispatchers))]
	if x.p == nil || x.p.Dead() || x.node == nil {
		return
	}
	type timer struct {
		name string
		at   time.Duration
		conn *vnet.Conn
	}
	var list []timer
	now := f.w.Now()
	for _, w := range x.p.Waits() {
		if w.Until <= now {
			continue
		}
		switch {
		case w.Goroutine == mainGoroutine && x.stops:
			list = append(list, timer{"stop's stage", w.Until, nil})
		case w.Goroutine == noticesGoroutine && w.Op == "take":
			list = append(list, timer{"retry of a notice", w.Until, nil})
		case w.Goroutine == driverGoroutine && w.Op == "take":
			name := "tick"
			if f.messageAt(x, w.Until) {
				name = "message's time"
			}
			list = append(list, timer{name, w.Until, nil})
		case w.Conn != nil && w.Op == "read" && w.Conn.Dialled() && w.Conn.Far() != nil && f.tracks[w.Conn.ID()].place != nil:
			list = append(list, timer{"attempt's time-out", w.Until, w.Conn})
		}
	}
	if at, ok := f.w.Next(vnet.Timers, x.p); ok && at > now {
		list = append(list, timer{"idle expiry", at, nil})
	}
	// The more often a kind of timer was aimed at, the less likely it is again.
	for range 4 {
		if len(list) == 0 {
			return
		}
		at := d.n(len(list))
		t := list[at]
		list = slices.Delete(list, at, at+1)
		if t.at > now+400*ms || f.w.Now() > f.heal || !rare(t.name) && !d.chance(1/float64(1+f.aimed[t.name])) {
			continue
		}
		tries := 1
		if rare(t.name) {
			tries = 4 // not to be wasted where no call is out for an answer
		}
		for range tries {
			event := aimEvents[d.n(len(aimEvents))]
			if f.shoot(x, event, t.at, t.conn, d) {
				f.aimed[t.name]++
				f.aims = append(f.aims, &aim{timer: t.name, event: event, at: t.at, p: x.p})
				return
			}
		}
	}
}

// rare tells that such a timer is seldom set.
func rare(timer string) bool {
	return timer == "stop's stage" || timer == "retry of a notice" || timer == "message's time"
}

// messageAt tells that the time of a message is up in a dispatcher's round at a moment: a message's last answer leaves
// two ticks early, in the first round from then on.
func (f *Farm) messageAt(d *Dispatcher, at time.Duration) bool {
	for _, m := range f.open[d.n] {
		due := f.fate(m.ID).deadline - 2*tick
		if !f.fate(m.ID).ended && due <= at && due > at-tick {
			return true
		}
	}
	return false
}

// shoot has an event reach a dispatcher at a moment, if there is a way to.
func (f *Farm) shoot(d *Dispatcher, event string, at time.Duration, conn *vnet.Conn, dice *dice) bool {
	now := f.w.Now()
	lead := func(m *vnet.Machine) time.Duration { return f.w.Path(m, d.m).Quality().Latency }
	// exactly does something of which a machine's packet has to come at the moment.
	exactly := func(m *vnet.Machine, do func()) {
		f.w.After(at-lead(m)-now, func() {
			p := f.w.Path(m, d.m)
			q := p.Quality()
			still := vnet.Quality{Latency: q.Latency}
			p.Set(still)
			do()
			p.Set(q)
		})
	}
	switch event {
	case "list change":
		a := d.agent
		if at-now <= lead(a.m) || a.silent > 0 || len(a.feed.log) == 0 {
			return false
		}
		exactly(a.m, func() {
			if last := whole(a.feed.log); len(last) > 0 && a.silent == 0 {
				a.feed.add(last[dice.n(len(last))])
			}
		})
		return true
	case "cancel": // a client goes that has half of its request written
		if at-now <= 5*ms {
			return false
		}
		f.clients.Process().Connect(d.m.Addr(clientPort), 0, func(c *vnet.Conn, err error) {
			if err != nil {
				return
			}
			c.Send([]byte("POST /" + f.site.free().Name + " HTTP/1.1\r\nHost: x\r\nX-Tr"))
			if f.w.Now()+lead(f.clients) >= at {
				c.Close()
				return
			}
			now = f.w.Now()
			exactly(f.clients, func() { c.Close() })
		})
		return true
	}
	k := f.callOf(d, conn, at)
	if k == nil {
		return false
	}
	call, m := k.cur, k.e.place.m
	ready := func() bool { return k.cur == call && !call.over && k.e.open && k.e.mood.quiet() }
	text := func() []byte {
		if call.batch {
			return call.answer(200, k.states(call))
		}
		return call.answer(200, "ok")
	}
	switch event {
	case "first line":
		exactly(m, func() {
			if ready() {
				k.cur, call.over = nil, true
				t := text()
				k.say(call, t, call.proof(t), len(t), 200, 0)
				k.answered(call)
			}
		})
	case "rest of an answer":
		f.w.After(at-lead(m)-now-ms/2, func() {
			if !ready() {
				return
			}
			k.cur, call.over = nil, true
			t := text()
			first := call.proof(t)
			if !k.say(call, t[:first], first, 0, 200, 0) {
				return
			}
			now = f.w.Now()
			exactly(m, func() {
				k.t.mark(len(t)-first, func() { k.heardAll(call) })
				if k.c.Send(t[first:]) {
					k.wrote(call, 200, 0)
					k.answered(call)
				}
			})
		})
	case "reset":
		exactly(m, func() {
			if ready() {
				k.reset()
			}
		})
	}
	return true
}

// callOf is a call of a dispatcher that is out, whose answer could still come at a moment: that on the connection given,
// if there is one.
func (f *Farm) callOf(d *Dispatcher, conn *vnet.Conn, at time.Duration) *econn {
	now := f.w.Now()
	for _, p := range f.places {
		e := p.now
		if e == nil || !e.open || at-now <= f.w.Path(p.m, d.m).Quality().Latency+ms {
			continue
		}
		for _, k := range e.conns {
			if k.cur != nil && k.cur.d == d && (conn == nil || k.c == conn.Far()) {
				return k
			}
		}
	}
	return nil
}

// hit follows what happens at instants that were aimed at.
func (f *Farm) hit(s vnet.Step) {
	for i := 0; i < len(f.aims); i++ {
		a := f.aims[i]
		if s.At > a.at {
			f.aims = slices.Delete(f.aims, i, i+1)
			i--
			if a.packet > 0 && a.timed > 0 {
				order := "the timer first"
				if a.packet < a.timed {
					order = "the event first"
				}
				f.count("in one instant: " + a.timer + " and " + a.event + ", " + order)
			}
			continue
		}
		if s.At < a.at || s.Process != a.p {
			continue
		}
		a.steps++
		switch {
		case s.Kind == vnet.Packets && a.packet == 0:
			a.packet = a.steps
		case s.Kind != vnet.Packets && a.timed == 0:
			a.timed = a.steps
		}
	}
}

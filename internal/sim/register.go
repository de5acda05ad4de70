package sim

import (
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/vnet"
)

// register is discovery where it is asked: one service for all dispatchers that handles calls one after the other. A call
// that would wait too long for its turn, or comes while it is down, fails. A watch goes on without a turn of its own as
// long as each call comes within 200 ms of the answer before.
type register struct {
	f    *Farm
	m    *vnet.Machine
	feed *feed
	site *AskedSite
	free time.Duration // when its next turn is
	down int
	way  int // in which calls fail while it is down
}

const (
	watchGap = 200 * ms        // a call that comes so soon after an answer goes on with the watch
	toldBy   = 6 * time.Second // what discovery has to tell counts as told then,
	toldLate = 2 * time.Second // for a call that may wait so long behind the end of its wait
)

func newRegister(f *Farm) *register {
	r := &register{f: f, m: f.w.Machine("register"), site: f.site.Asked}
	r.feed = &feed{f: f, dice: stream(f.seed, "register", 0)}
	r.m.Boot(nil)
	f.w.After(f.begin, r.look)
	return r
}

// first sets what the feed begins with.
func (d *feed) first(list []entry) {
	if len(d.log) > 0 {
		return // several agents share it
	}
	for _, e := range list {
		d.log, d.at = append(d.log, e), append(d.at, 0)
	}
}

// call takes a call for the list.
func (r *register) call(k *aconn) {
	a, now := k.a, r.f.w.Now()
	goesOn := !k.whole && k.wait > 0 && now <= k.goes
	k.goes = 0
	a.out++
	k.waits = true
	if goesOn && r.down == 0 {
		r.f.count("a watch goes on")
		k.watch()
		return
	}
	if r.down > 0 {
		r.f.count("asked while discovery is down")
		k.timer = r.f.w.After(a.dice.span(ms, 5*ms), func() { r.fail(k, r.way) })
		return
	}
	if r.free > now+r.site.Patience {
		r.f.count("asked in vain, discovery is busy")
		k.timer = r.f.w.After(a.dice.span(ms, r.site.Patience), func() { r.fail(k, 0) })
		return
	}
	lines := len(whole(r.feed.log))
	if !k.whole {
		lines = 0
	}
	turn := max(r.free, now)
	r.free = turn + r.site.Cost + time.Duration(lines)*r.site.Line
	at := turn
	if r.site.AtEnd {
		at = r.free
	}
	r.f.count("asked")
	p := a.d.p
	serve := func() {
		if k.over { // it is told all the same, whether it arrives or not
			r.count(a, p, len(r.feed.log), toldBy)
			return
		}
		if r.down > 0 {
			r.fail(k, r.way)
			return
		}
		k.watch()
	}
	r.f.w.After(at-now, serve)
}

// fail answers a call with 503, or breaks its connection.
func (r *register) fail(k *aconn, way int) {
	if k.over || !k.waits {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
		k.timer = nil
	}
	k.waits = false
	k.a.ended(true)
	if way == 0 {
		k.c.Send(answer(503, ""))
		return
	}
	k.c.Reset()
	k.close()
}

// boots is called when a process of the agent's dispatcher begins, which knows what stands in its configuration.
func (a *agent) boots() {
	a.heard, a.told, a.asked, a.failed = 0, len(a.f.first), a.f.w.Now(), false
}

// ended is called when a call to a register is over.
func (a *agent) ended(failed bool) {
	if a.register == nil {
		return
	}
	a.out--
	a.asked, a.failed = a.f.w.Now(), failed
}

// says is called when a call is answered. What it returns is to be done once the answer has come.
func (r *register) says(k *aconn, revision int, list []entry) (heard func()) {
	a := k.a
	a.ended(false)
	k.goes = r.f.w.Now() + watchGap
	told := false
	whole := k.whole
	tell := func() {
		if told {
			return
		}
		told = true
		if a.told <= revision {
			a.told = revision
			r.f.tell(judge.Listed{Dispatcher: a.d.name, Whole: whole, Members: members(list)})
		}
	}
	come := func() {
		a.heard = max(a.heard, revision)
		tell()
	}
	by := toldBy
	if k.wait > 0 {
		by = max(0, k.until+toldLate-r.f.w.Now())
	}
	p := a.d.p
	r.f.w.After(by, func() {
		if p == a.d.p && p != nil && !a.d.mutedAt(r.f.w.Now()) {
			tell()
		}
	})
	return come
}

// count has what the feed holds up to a revision count as told to a process after a while.
func (r *register) count(a *agent, p *vnet.Process, revision int, after time.Duration) {
	r.f.w.After(after, func() {
		if p != a.d.p || p == nil || a.d.mutedAt(r.f.w.Now()) {
			return
		}
		if a.told >= revision {
			return
		}
		r.f.count("counts as told, and was not heard")
		list := members(r.feed.log[a.told:revision])
		a.told = revision
		r.f.tell(judge.Listed{Dispatcher: a.d.name, Members: list})
	})
}

// look has dispatchers that have neither asked nor watched for long count as told of what was listed that long ago.
func (r *register) look() {
	f := r.f
	f.w.After(250*ms, r.look)
	now := f.w.Now()
	for _, d := range f.dispatchers {
		a, every := d.agent, r.site.Every
		if a.failed {
			every *= 4
		}
		if d.p == nil || a.out > 0 || now-max(a.asked, d.booted) <= every || d.mutedAt(now) {
			continue
		}
		n := a.told
		for n < len(r.feed.log) && r.feed.at[n] <= now-r.site.Every {
			n++
		}
		r.count(a, d.p, n, 0)
	}
}

// goDown ends all watches, and has calls fail.
func (r *register) goDown(s *Step) func() {
	r.down++
	r.way = s.Arg % 2
	for _, a := range r.feed.agents {
		for _, k := range append([]*aconn(nil), a.conns...) {
			if k.waits {
				r.fail(k, r.way)
			}
		}
	}
	return func() { r.down-- }
}

package judge

import "time"

// endpoint is one of the world's.
type endpoint struct {
	id    string
	dest  int
	zone  int
	place *place
}

// place is what has one limit and its outages together.
type place struct {
	name string

	began  bool // an outage has ever begun
	out    bool // it lasts
	since  time.Duration
	cold   bool
	back   Cold
	backAt time.Duration
	seen   bool // the return was counted
	fallen bool

	arrivals []arrival // of the newest OverloadFor
	load     float64
	informed float64 // the part of load from those that had seen the outage
}

type arrival struct {
	at       time.Duration
	weight   float64
	informed bool
}

// wait is one that a dispatcher was told. It binds what is sent between two moments.
type wait struct {
	from, until time.Duration
	told        time.Duration // how long it is
	life        int
}

func (j *Judge) place(name string) *place {
	p := j.places[name]
	if p == nil {
		p = &place{name: name}
		j.places[name] = p
	}
	return p
}

func (j *Judge) endpoint(id string) *endpoint {
	e := j.endpoints[id]
	if e == nil {
		j.nonsense("endpoint %s is not known", id)
	}
	return e
}

func (e Endpoint) apply(j *Judge) {
	j.endpoints[e.ID] = &endpoint{id: e.ID, dest: e.Dest, zone: e.Zone, place: j.place(e.Place)}
}

func (o Outage) apply(j *Judge) {
	p := j.place(o.Place)
	if !p.out {
		p.began, p.out, p.since = true, true, j.now
		for _, d := range j.inTurn {
			delete(d.saw, p)
		}
		j.count(Outages)
	}
	p.cold = false
}

func (c Cold) apply(j *Judge) {
	p := j.place(c.Place)
	p.out, p.cold, p.back, p.backAt, p.seen, p.fallen = false, true, c, j.now, false, false
	p.arrivals, p.load, p.informed = p.arrivals[:0], 0, 0
}

func (f Fell) apply(j *Judge) { j.pushedOver(j.place(f.Place), "the world says so") }

// met notes that a dispatcher saw a call that went out at a moment fail at a place, or be refused there.
func (j *Judge) met(d *dispatcher, p *place, sent time.Duration) {
	if p.out || p.began && sent >= p.since && sent < p.backAt {
		d.saw[p] = d.life
	}
}

func (n NoConnection) apply(j *Judge) {
	if e := j.endpoint(n.Endpoint); e != nil {
		j.met(j.dispatcher(n.Dispatcher), e.place, j.now)
	}
}

// push adds a call that arrived at a place that may be cold.
func (j *Judge) push(c *call) {
	p := c.to.place
	if !p.cold || j.set.TipMultiple <= 0 {
		return
	}
	since := j.now - p.backAt
	if since >= p.back.WarmUp {
		p.cold = false
		return
	}
	old := 0
	for ; old < len(p.arrivals) && p.arrivals[old].at <= j.now-j.set.OverloadFor; old++ {
		p.add(p.arrivals[old], -1)
	}
	p.arrivals = p.arrivals[:copy(p.arrivals, p.arrivals[old:])]
	a := arrival{j.now, 1 + max(float64(len(c.attempts)-1), 0)*j.set.ItemWeight, c.informed}
	p.arrivals = append(p.arrivals, a)
	p.add(a, 1)
	j.count(CallsToCold)
	if c.informed && !p.seen {
		p.seen = true
		j.count(ColdReturns)
	}
	share := p.back.From + (1-p.back.From)*since.Seconds()/p.back.WarmUp.Seconds()
	can := share * p.back.Rate * j.set.OverloadFor.Seconds()
	switch {
	case p.load > j.set.TipMultiple*can+j.set.PushSlack && since >= j.set.PushFrom:
		j.pushedOver(p, "")
	case p.load > can:
		j.count(ColdOverCapacity)
	}
}

func (p *place) add(a arrival, sign float64) {
	p.load += sign * a.weight
	if a.informed {
		p.informed += sign * a.weight
	}
}

// pushedOver judges who pushed a place over. It stays down until its next outage or return.
func (j *Judge) pushedOver(p *place, why string) {
	if p.fallen {
		return
	}
	p.fallen = true
	const whole = 1e-6 // sums of weights are not exact
	if p.load > 0 && p.informed >= p.load*2/3-whole {
		if why != "" {
			why = ", and " + why
		}
		j.broke(Returning, nil, nil, &endpoint{id: p.name}, "pushed over %v after its return at %.0f %% of %g a second%s: calls of %.4g in %v, of these %.4g from "+
			"dispatchers that had seen the outage; allowed: %g times what it can take, or less than two thirds from these",
			j.now-p.backAt, 100*p.back.From, p.back.Rate, why, p.load, j.set.OverloadFor, p.informed, j.set.TipMultiple)
	}
}

// mustWait notes a wait that a dispatcher has heard of. It runs from when it was written.
func (j *Judge) mustWait(c *call) {
	j.count(WaitsTold)
	if c.d.held[c.to.dest] > 0 {
		j.count(WaitsWithHeld)
	}
	list := c.d.waits[c.to.place]
	kept := list[:0]
	for _, w := range list {
		if w.until > j.now && w.life == c.d.life {
			kept = append(kept, w)
		}
	}
	c.d.waits[c.to.place] = append(kept, wait{j.now + j.set.Cross, c.writtenAt + c.wait, c.wait, c.d.life})
}

// waited judges a send against the waits told.
func (j *Judge) waited(c *call) {
	if !c.has(c.to.dest) { // for an endpoint that was at the address before: listed judges that
		return
	}
	for _, w := range c.d.waits[c.to.place] {
		switch {
		case w.life != c.d.life || j.now >= w.until:
		case j.now > w.from:
			j.broke(Waits, c.d, c.message(), c.to, "sent %v before the end of a wait of %v that %s told; allowed: only what leaves within %v of hearing it",
				w.until-j.now, w.told, c.to.place.name, j.set.Cross)
		case j.now > w.from-j.set.Cross:
			j.count(CallsCrossingWaits)
		}
	}
}

package vnet

import (
	"slices"
	"time"
)

// Quality is how one way between two machines carries packets.
type Quality struct {
	Latency   time.Duration // of each packet
	Jitter    time.Duration // up to so much more, drawn for each packet; packets of a connection stay in order
	Bandwidth int           // bytes a second of all connections together, 0: no bound

	// Loss is the share of packets that are lost. Each loss delays what it hits, and all behind it, by a retransmission
	// time-out: 200 ms, and twice as long for each that follows at once.
	Loss float64

	Segment int           // longest packet in bytes, 0: 64 KiB
	Chop    bool          // packets are of any length from one byte up, as drawn
	Hold    time.Duration // what is written waits for so long, so that writes go as one
}

// Healing is what becomes of the connections over a path whose cut heals.
type Healing uint8

// Ways to heal.
const (
	// Late sends what was held up again, after up to as long as the cut has lasted (its sender's retransmission timer).
	Late Healing = iota

	// Forgotten has lost all connections (a firewall that restarted): whoever sends on one gets a reset. The far side
	// does not notice before it sends too.
	Forgotten
)

const (
	loopLatency = 10 * time.Microsecond
	maxSegment  = 64 << 10
	lossDelay   = 200 * time.Millisecond
	maxBackoff  = 120 * time.Second         // of retransmissions
	giveUp      = 924600 * time.Millisecond // tcp(7), tcp_retries2: without an acknowledgement for so long the connection breaks
)

// Path is one way between two machines.
type Path struct {
	w        *World
	from, to *Machine
	q        Quality
	isCut    bool
	cutAt    int64
	freeAt   int64 // with a bandwidth: when what was sent is through
	halves   []*half
}

// Path is the way from one machine to another. A machine's way to itself is a fast one.
func (w *World) Path(from, to *Machine) *Path {
	key := [2]int{from.n, to.n}
	p := w.paths[key]
	if p == nil {
		p = &Path{w: w, from: from, to: to, q: w.opt.Path}
		if from == to {
			p.q = Quality{Latency: loopLatency}
		}
		w.paths[key] = p
	}
	return p
}

// Quality is how it carries packets now.
func (p *Path) Quality() Quality { return p.q }

// Set changes how it carries packets sent from now on.
func (p *Path) Set(q Quality) {
	p.q = q
	p.w.Note("path %s>%s %+v", p.from.name, p.to.name, q)
}

// Cut lets nothing through any more, and nobody is told. What was under way is lost, and its sender keeps it to send it
// again.
func (p *Path) Cut() {
	if p.isCut {
		return
	}
	p.w.Note("path %s>%s cut", p.from.name, p.to.name)
	p.isCut, p.cutAt = true, p.w.sched.now
	p.recall()
}

// Heal ends a cut.
func (p *Path) Heal(how Healing) {
	if !p.isCut {
		return
	}
	p.w.Note("path %s>%s heals %d", p.from.name, p.to.name, how)
	p.isCut = false
	back := p.w.Path(p.to, p.from)
	for _, h := range back.halves {
		h.acknowledge()
	}
	if how == Forgotten {
		for _, q := range []*Path{p, back} {
			for _, h := range q.halves {
				h.forgotten = true
			}
		}
	}
	p.resend(min(span(p.w.sched.now-p.cutAt), maxBackoff))
}

// Cut cuts both ways between two machines.
func (w *World) Cut(a, b *Machine) {
	w.Path(a, b).Cut()
	w.Path(b, a).Cut()
}

// Heal heals both ways between two machines.
func (w *World) Heal(a, b *Machine, how Healing) {
	w.Path(a, b).Heal(how)
	w.Path(b, a).Heal(how)
}

// down tells that nothing gets through, and that nobody is told.
func (p *Path) down() bool { return p.isCut || p.to.off }

// recall takes back what is under way.
func (p *Path) recall() {
	for _, h := range p.halves {
		h.recall()
	}
}

// resend sends what is waiting, after up to so long.
func (p *Path) resend(within time.Duration) {
	for _, h := range p.halves {
		if h.waiting() {
			h.sendAt(p.w.sched.now + int64(p.w.net.n(int(within/time.Microsecond)+1)))
		}
	}
}

// travel is how long a packet takes from now on, without the wait for bandwidth.
func (p *Path) travel() int64 {
	d := p.q.Latency
	if p.q.Jitter > 0 {
		d += time.Duration(p.w.net.n(int(p.q.Jitter) + 1))
	}
	for wait := lossDelay; p.w.net.chance(p.q.Loss) && wait <= maxBackoff; wait *= 2 {
		d += wait
	}
	return (int64(d) + 999) / 1000
}

func (p *Path) add(h *half) {
	if len(p.halves) == cap(p.halves) {
		live := p.halves[:0]
		for _, o := range p.halves {
			if !o.from.gone || len(o.segs) > 0 {
				live = append(live, o)
			}
		}
		clear(p.halves[len(live):])
		p.halves = slices.Grow(live, len(live)+1)
	}
	p.halves = append(p.halves, h)
}

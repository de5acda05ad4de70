package sim

import (
	"slices"
	"time"
)

const (
	takeOverShare = 0.1                    // of the seeds that have a fault of this kind
	leastTellTime = 4000 * ms              // until discovery tells that the old endpoint has left
	mostTellTime  = 8000 * ms              // the same at most
	startedAtMS   = 1_700_000_000_000      // Unix time at the start of a world, in ms, as far as starts of endpoints tell it
	takeOverLeast = 100 * time.Millisecond // until the new endpoint is there
	takeOverMost  = time.Second
)

// takeOvers is the fault in which a process goes silently and one of another destination comes up at its address. Discovery
// tells of the new one before it tells that the old one has left. It is drawn by itself, so that the other faults of a seed
// stay as they were before it came.
func takeOvers() kindOf { return kindOf{"take-over", 0, takeOverLeast, takeOverMost, nil, doTakeOver} }

// addTakeOver adds such a fault to some seeds.
func (s *Script) addTakeOver(site *Site) {
	d := stream(s.Seed, "take-over", 0)
	if !d.chance(takeOverShare) || len(s.Steps) == mostFaults || site.Sliced || len(site.Dests) < 2 {
		return
	}
	k := takeOvers()
	s.Steps = append(s.Steps, Step{
		At: 1500*ms + d.span(0, site.Traffic), Kind: k.name, Target: d.n(1 << 16), For: d.span(k.least, k.most).Truncate(ms), Arg: d.n(1 << 30),
	})
}

// doTakeOver has an endpoint of the next destination take over the address of one that is not its destination's last.
func doTakeOver(f *Farm, s *Step) func() {
	p := f.places[s.Target%len(f.places)]
	old := p.now
	if old == nil || old.gone || old.leaving || !old.open || len(p.dest.places) < 2 || len(f.dests) < 2 {
		return nil
	}
	old.gone = true
	old.stop()
	p.dest.places = slices.DeleteFunc(p.dest.places, func(other *place) bool { return other == p })
	p.dest = f.dests[(p.dest.n+1)%len(f.dests)]
	p.dest.places = append(p.dest.places, p)
	f.w.After(s.For, func() {
		next := p.take()
		next.started = startedAtMS + f.w.Now().Milliseconds()
		if p.m.Process() == nil {
			p.m.TurnOn()
		}
		next.start()
		f.count("an address is taken over")
		f.send(next.entry("active"), 20*ms, 1500*ms)
	})
	d := stream(uint64(s.Arg), "take-over", 0)
	f.w.After(s.For+d.span(leastTellTime, mostTellTime), func() { f.send(old.entry("left"), 20*ms, 50*ms) })
	return nil
}

// isForEarlier reports whether a call is meant for the endpoint of another destination that was at the address before this
// one. Whether its dispatcher could know that there is another one is for the judge to say.
func (c *call) isForEarlier(e *Endpoint) bool {
	return e.started > 0 && slices.ContainsFunc(c.items, func(m *Message) bool { return m != nil && m.Dest != e.Dest.n })
}

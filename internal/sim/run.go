package sim

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Summary adds up what came of many seeds.
type Summary struct {
	Seeds                                    int
	Dispatchers, Endpoints, Messages, Faults int
	Virtual                                  time.Duration
	Steps                                    uint64
	Coverage                                 map[string]int
	Violations                               int
	Sum                                      [32]byte  // of the last one's trace
	Failed                                   []*Result // by seed
}

// add adds a seed.
func (s *Summary) add(r *Result) {
	s.Seeds++
	s.Dispatchers += r.Dispatchers
	s.Endpoints += r.Endpoints
	s.Messages += r.Messages
	s.Faults += r.Faults
	s.Virtual += r.Virtual
	s.Steps += r.Steps
	s.Sum = r.Sum
	for k, n := range r.Coverage {
		s.Coverage[k] += n
	}
	s.Violations += len(r.Violations)
	if len(r.Violations) > 0 {
		s.Failed = append(s.Failed, r)
	}
}

// RunSeeds runs seeds from first to last, so many at a time, and tells each result in the order of the seeds. It ends
// early once told returns false. Worlds share nothing.
func RunSeeds(first, last uint64, jobs int, opt Options, told func(*Result) bool) *Summary {
	s := &Summary{Coverage: map[string]int{}}
	var next atomic.Uint64
	next.Store(first)
	var over atomic.Bool
	results := make(chan *Result, jobs)
	var group sync.WaitGroup
	for range jobs {
		group.Go(func() {
			for !over.Load() {
				seed := next.Add(1) - 1
				if seed > last || seed < first {
					return
				}
				results <- Run(seed, opt)
			}
		})
	}
	go func() {
		group.Wait()
		close(results)
	}()
	early := map[uint64]*Result{}
	at := first
	for r := range results {
		early[r.Seed] = r
		for r := early[at]; r != nil && !over.Load(); r = early[at] {
			delete(early, at)
			at++
			s.add(r)
			if told != nil && !told(r) {
				over.Store(true)
			}
		}
	}
	return s
}

// Mean is the line of the means.
func (s *Summary) Mean() string {
	n := float64(max(s.Seeds, 1))
	return fmt.Sprintf(
		"mean of a seed: %.2f dispatchers, %.1f endpoints, %.0f messages, %.1f s of virtual time, %.1f faults, %.0f steps",
		float64(s.Dispatchers)/n, float64(s.Endpoints)/n, float64(s.Messages)/n, s.Virtual.Seconds()/n, float64(s.Faults)/n,
		float64(s.Steps)/n)
}

// Shrink finds a smaller script that still breaks the rule, by leaving steps out and then making what is left shorter and
// plainer. It runs tries seeds at most.
func Shrink(script *Script, rule string, opt Options, tries int) (*Script, int) {
	used := 0
	fails := func(s *Script) bool {
		if used++; used > tries {
			return false
		}
		o := opt
		o.Script = s
		for _, v := range Run(s.Seed, o).Violations {
			if v.Rule == rule {
				return true
			}
		}
		return false
	}
	best := script
	without := func(from, to int) *Script {
		return &Script{Seed: best.Seed, Sort: best.Sort, List: best.List, Books: best.Books, Steps: append(append([]Step(nil), best.Steps[:from]...), best.Steps[to:]...)}
	}
	for size := max(len(best.Steps)/2, 1); size >= 1; {
		smaller := false
		for at := 0; at < len(best.Steps); {
			if s := without(at, min(at+size, len(best.Steps))); fails(s) {
				best, smaller = s, true
			} else {
				at += size
			}
		}
		if !smaller {
			size /= 2
		}
	}
	for i := range best.Steps {
		try := func(change func(*Step)) bool {
			s := without(0, 0)
			change(&s.Steps[i])
			if s.Steps[i] == best.Steps[i] || !fails(s) {
				return false
			}
			best = s
			return true
		}
		try(func(st *Step) { st.On = "" })
		for range 4 {
			if !try(func(st *Step) { st.For = (st.For / 2).Truncate(ms) }) {
				break
			}
		}
		try(func(st *Step) { st.At = st.At.Truncate(100 * ms) })
	}
	return best, used
}

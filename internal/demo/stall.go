package demo

import (
	"sync"
	"sync/atomic"
	"time"
)

// stalls measures how long at most this machine gave the process no time. What is late by no more than that says nothing
// of the dispatcher: the judge's allowances grow by it, and the report tells it.
type stalls struct {
	most atomic.Int64
	once sync.Once
	quit chan struct{}
	over chan struct{}
}

const stallLook = 5 * time.Millisecond // between two looks at the clock

func watchStalls() *stalls {
	s := &stalls{quit: make(chan struct{}), over: make(chan struct{})}
	go func() {
		defer close(s.over)
		look := time.NewTicker(stallLook)
		defer look.Stop()
		for last := time.Now(); ; {
			select {
			case <-look.C:
				now := time.Now()
				s.most.Store(max(s.most.Load(), int64(now.Sub(last)-stallLook)))
				last = now
			case <-s.quit:
				return
			}
		}
	}()
	return s
}

// end ends the measuring and returns the longest stall; a further call returns it again.
func (s *stalls) end() time.Duration {
	s.once.Do(func() { close(s.quit) })
	<-s.over
	return max(time.Duration(s.most.Load()), 0)
}

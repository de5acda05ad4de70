package httpfront

import (
	"sync"
	"time"
)

// clientPatience is how long a client waits for its answer.
const clientPatience = 400 * time.Millisecond

const (
	refusalInterval = 4 * time.Millisecond   // between the answers to refused requests ...
	refusalBurst    = 50                     // ... behind so many that are answered at once ...
	refusalMaxWait  = clientPatience * 3 / 4 // ... and none waits longer
	busyInterval    = 500 * time.Microsecond // clients that are turned away for want of room are heard again at this pace ...
	busyBurst       = 200                    // ... but for so many at once ...
	busyMaxWait     = clientPatience * 3 / 4 // ... and none waits longer
)

// pacer limits a rate: events follow one another at an interval, after a burst of some at once.
type pacer struct {
	interval, maxWait time.Duration
	burst             int // events that need not wait

	mu sync.Mutex
	at time.Time // when the last event is due
}

// next counts an event that comes now and returns how long it has to wait.
func (p *pacer) next(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if free := now.Add(-time.Duration(p.burst) * p.interval); p.at.Before(free) {
		p.at = free
	}
	p.at = p.at.Add(p.interval)
	if most := now.Add(p.maxWait); p.at.After(most) {
		p.at = most
	}
	return p.at.Sub(now)
}

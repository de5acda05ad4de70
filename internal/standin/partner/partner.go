// Package partner is a stand-in for those that messages go to: endpoints as HTTP/1.1 on loopback, whose behaviour is a
// script and which record every call, so that effects can be judged from outside. Probes are answered 404. It is no
// part of what the daemon serves with.
package partner

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

// Ending is how a call ended, as the endpoint saw it.
type Ending uint8

// Endings.
const (
	Out      Ending = iota // it has not: its caller is still waiting
	Answered               // with Status
	Broken                 // its last byte never came: it never ran
	Dropped                // its caller went away before an answer was written
	Cut                    // the endpoint ended the connection with no answer, or with one that is spoilt
)

func (e Ending) String() string {
	return [...]string{"out", "answered", "broken", "dropped", "cut"}[e]
}

// Call is the record of one call.
type Call struct {
	Endpoint string        `json:"endpoint"`
	Conn     int           `json:"conn"` // number of its connection at this partner, from 1
	Items    []Item        `json:"items"`
	Expires  time.Duration `json:"expires"` // how long the caller says that it will wait; 0 if it does not say
	First    time.Time     `json:"first"`   // when its first byte came
	Last     time.Time     `json:"last"`    // when its last byte came; zero if it never did
	Ending   Ending        `json:"ending"`
	Status   int           `json:"status"` // of the answer; 0 if there was none, or a handler gave it
	Wait     time.Duration `json:"wait"`   // told in the answer
	End      time.Time     `json:"end"`    // just before the answer was written, or when the call was over without
}

// Item is one message of a call.
type Item struct {
	ID     string `json:"id"`
	Key    string `json:"key,omitempty"`
	State  string `json:"state"`  // what a batch's answer says of it, or would for a single call
	Ran    bool   `json:"ran"`    // the partner carried it out
	Effect bool   `json:"effect"` // and it took effect: false for a key that is remembered
}

// Totals count all calls since the start, also those no longer remembered.
type Totals struct {
	Conns   int `json:"conns"` // connections
	Calls   int `json:"calls"`
	Items   int `json:"items"`
	Effects int `json:"effects"`
	Repeats int `json:"repeats"` // items that ran without effect, as their keys were remembered
	Unread  int `json:"unread"`  // requests that were no call and were answered 400, 404, 405 or 413
}

// Options are what the endpoints of one partner have in common. The zero value is a partner that takes one message in a
// call, remembers no key and keeps idle connections.
type Options struct {
	Batch     int           // messages in a call, at most; under 2: only single ones
	KeyMemory time.Duration // how long a key is remembered from when it first took effect
	Idle      time.Duration // a connection idle for so long is closed; 0: never
}

const (
	callsMost = 1 << 16 // calls remembered, the newest
	keysMost  = 1 << 16 // keys remembered, the newest
)

// Partner is one destination. Its methods are safe for concurrent use.
type Partner struct {
	opt Options

	mu        sync.Mutex
	endpoints []*Endpoint
	changed   chan struct{} // closed at the next change of a record; nil while nobody asked for it
	calls     []*Call       // in the order of their first bytes, as far as these were told apart
	forgotten int
	counts    map[string]int // calls remembered, by the ids of their items
	keys      map[string]time.Time
	keyOrder  []keyAt // oldest first
	totals    Totals
}

type keyAt struct {
	key string
	at  time.Time
}

// New makes a partner without endpoints.
func New(o Options) *Partner {
	return &Partner{opt: o, counts: map[string]int{}, keys: map[string]time.Time{}}
}

// Close takes all endpoints down.
func (p *Partner) Close() error {
	p.mu.Lock()
	list := slices.Clone(p.endpoints)
	p.mu.Unlock()
	var errs []error
	for _, e := range list {
		errs = append(errs, e.Down())
	}
	return errors.Join(errs...)
}

// Calls are the records of the calls so far, as they stand now; of very many only the newest, see Forgotten.
func (p *Partner) Calls() []Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Call, len(p.calls))
	for i, c := range p.calls {
		out[i] = *c
		out[i].Items = slices.Clone(c.Items)
	}
	return out
}

// Forgotten is how many calls came that Calls no longer has.
func (p *Partner) Forgotten() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.forgotten
}

// Called is how many of the calls in Calls had a message of this id, whose last byte has come.
func (p *Partner) Called(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[id]
}

// CalledEach is Called for all ids.
func (p *Partner) CalledEach() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counts)
}

// Totals count what came so far.
func (p *Partner) Totals() Totals {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totals
}

// Changed is closed when a call begins or ends. Whoever waits takes it before looking.
func (p *Partner) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// wake tells those that wait; the lock is held.
func (p *Partner) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// began records a call, whole or broken.
func (p *Partner) began(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, c)
	p.totals.Calls++
	p.totals.Items += len(c.Items)
	for _, it := range c.Items {
		p.counts[it.ID]++
	}
	if over := len(p.calls) - callsMost; over > callsMost/4 { // many at once: each time costs a move of all
		for _, old := range p.calls[:over] {
			for _, it := range old.Items {
				if p.counts[it.ID]--; p.counts[it.ID] <= 0 {
					delete(p.counts, it.ID)
				}
			}
		}
		p.calls = slices.Delete(p.calls, 0, over)
		p.forgotten += over
	}
	p.wake()
}

// decided notes what the script made of a call's items, before anything of that can be seen.
func (p *Partner) decided(c *Call, r *Reply, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Wait = r.Wait
	for i := range c.Items {
		it := &c.Items[i]
		it.State, it.Ran = r.state(it.ID)
		if !it.Ran {
			continue
		}
		if it.Effect = p.fresh(it.Key, now); it.Effect {
			p.totals.Effects++
		} else {
			p.totals.Repeats++
		}
	}
}

// fresh tells that a key is not remembered, and remembers it; the lock is held.
func (p *Partner) fresh(key string, now time.Time) bool {
	if key == "" || p.opt.KeyMemory <= 0 {
		return true
	}
	for len(p.keyOrder) > 0 && (now.Sub(p.keyOrder[0].at) >= p.opt.KeyMemory || len(p.keyOrder) >= keysMost) {
		if old := p.keyOrder[0]; p.keys[old.key].Equal(old.at) {
			delete(p.keys, old.key)
		}
		p.keyOrder = p.keyOrder[1:]
	}
	if _, known := p.keys[key]; known {
		return false
	}
	p.keys[key] = now
	p.keyOrder = append(p.keyOrder, keyAt{key, now})
	return true
}

// over records how a call ended. An answer is recorded before it is written: whoever has read it finds it here.
func (p *Partner) over(c *Call, e Ending, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Ending, c.Status, c.End = e, status, time.Now()
	p.wake()
}

func (p *Partner) unread() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.Unread++
	p.wake()
}

func (p *Partner) connected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totals.Conns++
	return p.totals.Conns
}

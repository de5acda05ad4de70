package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"curlewmux/internal/standin/discovery"
	"curlewmux/internal/standin/partner"
)

const (
	tenant = "builds"
	zone   = "east"

	drainGrace  = time.Second      // nothing new to an endpoint that drains after this
	keyMemory   = 10 * time.Second // partners remember keys for so long
	limitCalls  = 12               // what the partner with a limit takes ...
	limitSpan   = time.Second      // ... in each span; discovery lists half as much again:
	listedLimit = 18
	outageCalls = 40              // what the partner with an outage takes a second while it is warm
	coldFrom    = 0.19            // the share of this that it takes when it is back ...
	warmUp      = 4 * time.Second // ... growing to all of it over this
	tipMultiple = 2.0             // so many times what it can take ...
	overloadFor = time.Second     // ... for so long push it over
)

// scene is all that the dispatcher meets.
type scene struct {
	say     func(format string, args ...any)
	agent   *discovery.Agent
	dests   []*destination
	begun   time.Time
	listed  []discovery.Member // all endpoints, as they were first listed
	drained int64              // the list's revision from which the drain counts, 0 before it
	outage  time.Time          // when destination 3 began to hang; zero before it
	back    time.Time          // when it came back
	spoilt  atomic.Int64       // bodies that came other than they were handed in
}

// destination is one partner.
type destination struct {
	number    int
	about     string
	kind      string
	size      float64 // calls a second, as the list has it
	partner   *partner.Partner
	limit     *partner.Limit // nil without one
	endpoints []*partner.Endpoint
}

// newScene starts discovery and the partners.
func newScene(say func(string, ...any)) (*scene, error) {
	agent, err := discovery.Start()
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	s := &scene{say: say, agent: agent, begun: time.Now()}
	s.dests = []*destination{
		{number: 1, about: "healthy; one of its endpoints drains", kind: "archives", size: 200},
		{
			number: 2, about: fmt.Sprintf("takes %d calls in %v", limitCalls, limitSpan), kind: "hooks", size: listedLimit,
			limit: partner.NewLimit(partner.LimitSettings{Calls: limitCalls, Span: limitSpan, Tell: true}),
		},
		{
			number: 3, about: "hangs, is down, comes back cold", kind: "hooks", size: outageCalls,
			limit: partner.NewLimit(partner.LimitSettings{
				Calls: outageCalls, Span: time.Second, ColdFrom: coldFrom, WarmUp: warmUp, TipMultiple: tipMultiple, OverloadFor: overloadFor,
			}),
		},
	}
	for _, d := range s.dests {
		o := partner.Options{KeyMemory: keyMemory}
		if d.kind == "archives" {
			o.Batch = batchMost
		}
		d.partner = partner.New(o)
		names := []string{"a", "b"}
		if d.number == 2 {
			names = names[:1]
		}
		for _, name := range names {
			if err := s.endpoint(d, fmt.Sprint(name, d.number)); err != nil {
				return nil, errors.Join(err, s.close())
			}
		}
	}
	return s, nil
}

// endpoint starts one and lists it.
func (s *scene) endpoint(d *destination, id string) error {
	e, err := d.partner.Endpoint(id, s.usual(d))
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	d.endpoints = append(d.endpoints, e)
	s.listed = append(s.listed, d.member(e, discovery.Active))
	s.agent.Tell(s.listed[len(s.listed)-1])
	return nil
}

func (d *destination) member(e *partner.Endpoint, phase string) discovery.Member {
	return discovery.Member{
		ID: e.ID(), HostPort: e.Addr(), Locality: zone, Flavor: d.kind, Cell: d.number, Phase: phase, Size: d.size,
	}
}

// usual is what a destination does with calls when nothing is wrong.
func (s *scene) usual(d *destination) partner.Script {
	work := partner.OK(20 * time.Millisecond)
	if d.limit != nil {
		work = d.limit.Then(work)
	}
	return func(r *partner.Request) partner.Reply {
		for _, m := range r.Messages {
			if !bytes.Equal(m.Body, []byte("body of "+m.ID)) {
				s.spoilt.Add(1)
			}
		}
		return work(r)
	}
}

func (s *scene) close() error {
	err := s.agent.Close()
	for _, d := range s.dests {
		if d.partner != nil {
			err = errors.Join(err, d.partner.Close())
		}
	}
	return err
}

// play lets the troubles happen, each at its time, until all have or ctx ends.
func (s *scene) play(ctx context.Context) error {
	healthy, outage := s.dests[0], s.dests[2]
	each := func(do func(*partner.Endpoint) error) error {
		for _, e := range outage.endpoints {
			if err := do(e); err != nil {
				return fmt.Errorf("demo: %w", err)
			}
		}
		return nil
	}
	begun := time.Now()
	for _, act := range []struct {
		at   time.Duration
		what string
		do   func() error
	}{
		{600 * time.Millisecond, "destination 3 takes calls, carries them out and answers none", func() error {
			s.outage = time.Now()
			return each(func(e *partner.Endpoint) error { e.Do(partner.Hangs(true)); return nil })
		}},
		{1000 * time.Millisecond, "destination 1 gets endpoint c1, and discovery tells that a1 drains", func() error {
			if err := s.endpoint(healthy, "c1"); err != nil {
				return err
			}
			s.drained = s.agent.Tell(healthy.member(healthy.endpoints[0], discovery.Leaving))
			return nil
		}},
		{1300 * time.Millisecond, "destination 3 is down: connections are refused", func() error {
			return each((*partner.Endpoint).Down)
		}},
		{1800 * time.Millisecond, fmt.Sprintf("destination 3 is back and cold: it takes %.0f %% of its calls", 100*coldFrom), func() error {
			s.back = time.Now()
			outage.limit.Cold()
			return each(func(e *partner.Endpoint) error { e.Do(s.usual(outage)); return e.Up() })
		}},
	} {
		if !until(ctx, begun.Add(act.at)) {
			return nil
		}
		s.say("%s", act.what)
		if err := act.do(); err != nil {
			return err
		}
	}
	return nil
}

// awaitEnds waits until all that was taken on has ended, or should have long ago, and tells which.
func (s *scene) awaitEnds(ctx context.Context, sent []*message) bool {
	last := time.Now()
	for _, m := range sent {
		if m.taken() && m.over().After(last) {
			last = m.over()
		}
	}
	last = last.Add(2 * endGrace)
	for {
		ends := s.ends()
		open := 0
		for _, m := range sent {
			if m.taken() && ends[m.id] == nil {
				open++
			}
		}
		switch {
		case open == 0:
			return true
		case !time.Now().Before(last):
			s.say("%d messages have not ended in time", open)
			return false
		case !until(ctx, time.Now().Add(50*time.Millisecond)):
			return false
		}
	}
}

const batchMost = 10 // messages in a call to one of kind archives

// config is the dispatcher's configuration, in the form that it has in service.
func (s *scene) config(addr string) []byte {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	list := make([]map[string]any, 0, 3)
	for i, c := range classes() {
		list = append(list, map[string]any{
			"name": c.name, "effect": c.effect, "group": "all", "gain": []int{2, 1, 5}[i], "late-worth": 0.5,
			"target": us(time.Second), "hard-limit": us(expires), "window": us(keyMemory),
		})
	}
	text, err := json.Marshal(map[string]any{
		"name": "demo", "listen": addr, "discovery": s.agent.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 2},
		"settings": map[string]any{
			"classes": list, "dcs": []string{zone}, "zone": 0, "me": 0, "instances": 1, "tick": 5000,
			"host-types": []string{"archives", "hooks"}, "weights": "rough", "over-share-worth": 0.05,
			"extra": map[string]any{
				"batch-by-kind": []int{batchMost, 1}, "routes-apart": []bool{false, false}, "late": "linear", "slots": 16,
			},
			"limits": map[string]any{
				"connect-timeout": us(500 * time.Millisecond), "conn-idle": us(5 * time.Second), "max-open": 60, "may-cancel": true,
				"max-retry-after": us(2 * time.Second), "retry-after": true, "most-tries": 6, "probes": false, "streams-per-conn": 1,
			},
			"report": map[string]any{"names": []string{}, "via": "none"},
			"rules": map[string]any{
				"stop-sending-within": us(drainGrace), "cold-from": coldFrom, "warm-up": us(warmUp), "tip-multiple": tipMultiple,
				"overload-for": us(overloadFor),
			},
			"tenants": []map[string]any{{"name": tenant, "fraction": 1, "quota-per-s": 1000}},
		},
	})
	if err != nil {
		panic(err) // figures and strings alone
	}
	return text
}

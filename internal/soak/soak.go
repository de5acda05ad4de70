// Package soak runs the real dispatcher behind connections that break, sends it signals, and checks that no accepted message
// is lost and no unsafe one runs twice. A seed draws the faults, the load and the signals.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/internal/standin/discovery"
	"curlewmux/internal/standin/faultproxy"
	"curlewmux/internal/standin/partner"
)

const (
	runTime      = 12 * time.Second
	clients      = 6
	maxFaultRate = 0.3
	calmPause    = 600 * time.Millisecond // longest time between two requests of a client
	crowdPause   = 30 * time.Millisecond  // the same in a run with a crowd
	settleTime   = 200 * time.Millisecond // for notices that are on their way at the end
	lagProbe     = 5 * time.Millisecond
)

// Settings configure a run.
type Settings struct {
	Program string // path of curlewmux
	Dir     string // empty folder for its files
	Seed    uint64
}

// Report says what a run has shown.
type Report struct {
	Submitted, Accepted, Delivered, Restarts int

	Crowd      bool          // the clients sent more than the endpoints take
	Lag        time.Duration // longest time for which this machine kept the run waiting
	Faults     map[faultproxy.Fault]int
	Violations []string
}

// run is the state of one run.
type run struct {
	settings  Settings
	random    *rand.Rand // of the goroutine that sends the signals
	crowd     bool
	faultRate float64
	agent     *discovery.Agent
	partners  []*partner.Partner
	proxies   []*faultproxy.Proxy
	process   process
	hanging   atomic.Bool // one endpoint of each destination answers nothing
	killNext  atomic.Bool // the process is to be killed right behind the next 202

	mu         sync.Mutex
	messages   map[string]*message
	restarts   []restart
	lag        time.Duration
	violations []string
}

// message is what is known of a message.
type message struct {
	class     string
	deadline  time.Time
	accepted  bool
	runs      int
	delivered bool
}

// Run makes a run. An error says that the run could not be made, not that a rule was broken.
func Run(ctx context.Context, s Settings) (report *Report, err error) {
	random := rand.New(rand.NewPCG(s.Seed, 1))
	r := &run{settings: s, random: random, messages: map[string]*message{}}
	r.faultRate, r.crowd = maxFaultRate*random.Float64(), random.IntN(4) == 0
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.startPeers(); err != nil {
		return nil, err
	}
	if err := r.startProcess(ctx); err != nil {
		return nil, err
	}
	measuring, stop := context.WithCancel(ctx)
	defer stop()
	go r.measureLag(measuring)
	end := time.Now().Add(runTime)
	var submitting sync.WaitGroup
	for n := range clients {
		submitting.Go(func() { r.submitUntil(end, n, rand.New(rand.NewPCG(s.Seed, uint64(100+n)))) })
	}
	err = r.disturbUntil(ctx, end.Add(-killDelay-time.Second))
	submitting.Wait()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(r.lastNoticeDue()) + settleTime)
	return r.report(), nil
}

// close ends the process and its peers.
func (r *run) close() (err error) {
	r.process.kill()
	for _, p := range r.proxies {
		p.Close() // fails only for a listener that is closed
	}
	for _, p := range r.partners {
		err = errors.Join(err, p.Close())
	}
	if r.agent != nil {
		err = errors.Join(err, r.agent.Close())
	}
	return err
}

// edit changes what is known of a message.
func (r *run) edit(id string, change func(*message)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.messages[id]; m != nil {
		change(m)
	}
}

// violation records a broken rule.
func (r *run) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// measureLag measures for how long the machine keeps this process from running.
func (r *run) measureLag(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(lagProbe)
		r.mu.Lock()
		r.lag = max(r.lag, time.Since(began)-lagProbe)
		r.mu.Unlock()
	}
}

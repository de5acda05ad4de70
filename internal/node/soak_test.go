package node

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewmux/internal/standin/faultproxy"
)

var soakSeeds = flag.Int("soak-seeds", 3, "number of seeds of the soak")

const (
	soakTime         = 12 * time.Second
	soakClients      = 6
	soakDestinations = 3
	maxFaultRate     = 0.3
	calmPause        = 600 * time.Millisecond  // longest time between two requests of a client
	crowdPause       = 30 * time.Millisecond   // the same in a run with a crowd
	stopTime         = 150 * time.Millisecond  // between SIGSTOP and SIGCONT
	killDelay        = 3700 * time.Millisecond // between SIGTERM and SIGKILL
	downTime         = 600 * time.Millisecond  // between SIGKILL and the next start
	noticeSlack      = 350 * time.Millisecond  // after a message's deadline
	frontCloses      = 2900 * time.Millisecond // after SIGTERM
	clientTimeout    = 2 * time.Second
	settleTime       = 200 * time.Millisecond
	leastAccepted    = 80
	leastDelivered   = 5                       // one in so many accepted messages has to be delivered
	restartSlack     = 1500 * time.Millisecond // after the process is ready again, in which no notice is overdue
)

// soakMessage is what is known of an accepted message.
type soakMessage struct {
	class     string
	deadline  time.Time
	accepted  bool
	runs      int
	delivered bool
	noticedAt time.Time
}

// soak is one run of a real dispatcher under faults.
type soak struct {
	*testEnv
	random    *rand.Rand
	faultRate float64
	pause     time.Duration // longest time between two requests of a client
	hanging   atomic.Bool   // one endpoint in two answers nothing
	killNext  atomic.Bool   // the process is killed right behind the next 202

	state    sync.Mutex
	messages map[string]*soakMessage
	restarts []restartSpan
	lag      time.Duration // longest time for which this machine kept the test waiting
	proxies  []*faultproxy.Proxy
}

// restartSpan is the time of a restart.
type restartSpan struct {
	signal time.Time // the first signal
	silent time.Time // from then on nothing has to be answered
	ready  time.Time // zero while the process is down
}

// The rules on lost messages and on duplicates hold for a real dispatcher behind faulty connections, with restarts.
func TestSoakUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed+1)
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{testEnv: newTestEnv(t), random: rand.New(rand.NewPCG(seed, 1)), messages: map[string]*soakMessage{}}
	s.window, s.maxOpen = 10_000_000, 200
	s.faultRate, s.pause = maxFaultRate*s.random.Float64(), calmPause
	if s.crowd() {
		s.pause = crowdPause
	}
	s.onNotice = s.noticed
	s.startEndpoints(seed)
	s.agentAddr = s.proxy(faultproxy.Settings{
		Target: s.agentAddr, Seed: seed, Rate: s.faultRate / 2,
		Faults: []faultproxy.Fault{faultproxy.CutResponse, faultproxy.CopyAtOnce, faultproxy.LateCopy, faultproxy.ResetInResponse},
	}).Addr()
	go s.measureLag(t.Context())
	process := s.spawn()
	end := time.Now().Add(soakTime)
	var clients sync.WaitGroup
	for n := range soakClients {
		random := rand.New(rand.NewPCG(seed, uint64(100+n)))
		clients.Go(func() { s.client(n, random, end) })
	}
	for time.Now().Before(end.Add(-killDelay - time.Second)) {
		time.Sleep(time.Duration(1+s.random.IntN(3)) * time.Second)
		process = s.disturb(process)
	}
	s.hanging.Store(false)
	clients.Wait()
	s.awaitSettled()
	s.kill(process)
	s.check()
}

// crowd reports whether the clients of this run send more than the endpoints take.
func (s *soak) crowd() bool { return s.random.IntN(4) == 0 }

// disturb sends the process a series of signals.
func (s *soak) disturb(process *exec.Cmd) *exec.Cmd {
	s.hanging.Store(s.random.IntN(3) == 0)
	switch s.random.IntN(5) {
	case 0:
		must(s.t, process.Process.Signal(syscall.SIGSTOP))
		time.Sleep(stopTime)
		must(s.t, process.Process.Signal(syscall.SIGCONT))
		return process
	case 1:
		s.killNext.Store(true)
		waitFor(s.t, func() bool { return !s.killNext.Load() })
		return s.restart(process, false)
	case 2:
		return s.restart(process, false)
	}
	return s.restart(process, true)
}

// proxy starts a proxy that ends with the test.
func (s *soak) proxy(settings faultproxy.Settings) *faultproxy.Proxy {
	p, err := faultproxy.New(settings)
	must(s.t, err)
	s.t.Cleanup(func() { p.Close() })
	s.proxies = append(s.proxies, p)
	return p
}

// startEndpoints starts two endpoints for each destination, each behind a proxy.
func (s *soak) startEndpoints(seed uint64) {
	for dest := 1; dest <= soakDestinations; dest++ {
		for n := range 2 {
			id := fmt.Sprintf("e%d%d", dest, n)
			random := rand.New(rand.NewPCG(seed, uint64(10*dest+n)))
			entry := s.endpoint(id, dest, "hooks", s.endpointHandler(random, n == 0))
			entry.HostPort = s.proxy(faultproxy.Settings{
				Target: entry.HostPort, Seed: seed*100 + uint64(10*dest+n), Rate: s.faultRate, Responded: s.responded,
			}).Addr()
			s.setEntry(entry)
		}
	}
}

// endpointHandler runs most messages and refuses some.
func (s *soak) endpointHandler(random *rand.Rand, mayHang bool) http.HandlerFunc {
	var mu sync.Mutex
	return func(rw http.ResponseWriter, r *http.Request) {
		if mayHang && s.hanging.Load() {
			hang(rw, r)
			return
		}
		mu.Lock()
		status, work := http.StatusOK, time.Duration(random.IntN(40))*time.Millisecond
		switch draw := random.IntN(20); {
		case draw < 1:
			status = http.StatusServiceUnavailable
		case draw < 2:
			status = http.StatusInternalServerError
		case draw < 3:
			status = http.StatusGatewayTimeout
		}
		mu.Unlock()
		time.Sleep(work)
		if status == http.StatusOK {
			s.edit(r.Header.Get("X-Trace-Id"), func(m *soakMessage) { m.runs++ })
		}
		rw.WriteHeader(status)
	}
}

// responded records that a response was written to the dispatcher.
func (s *soak) responded(e faultproxy.Exchange) {
	if e.Status == http.StatusOK {
		s.edit(e.Request.Header.Get("X-Trace-Id"), func(m *soakMessage) { m.delivered = true })
	}
}

// noticed records a notice.
func (s *soak) noticed(id string) {
	s.edit(id, func(m *soakMessage) {
		if m.noticedAt.IsZero() {
			m.noticedAt = time.Now()
		}
	})
}

// edit changes what is known of a message that was submitted.
func (s *soak) edit(id string, change func(*soakMessage)) {
	s.state.Lock()
	defer s.state.Unlock()
	if m := s.messages[id]; m != nil {
		change(m)
	}
}

// measureLag measures for how long the machine keeps this process from running.
func (s *soak) measureLag(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(lagProbe)
		s.state.Lock()
		s.lag = max(s.lag, time.Since(began)-lagProbe)
		s.state.Unlock()
	}
}

const lagProbe = 5 * time.Millisecond

// restart ends the process, by SIGTERM and then SIGKILL if it is planned, and starts the next one.
func (s *soak) restart(process *exec.Cmd, planned bool) *exec.Cmd {
	now := time.Now()
	span := restartSpan{signal: now, silent: now}
	if planned {
		span.silent = now.Add(frontCloses)
	}
	s.state.Lock()
	s.restarts = append(s.restarts, span)
	s.state.Unlock()
	if planned {
		must(s.t, process.Process.Signal(syscall.SIGTERM))
		time.Sleep(killDelay)
	}
	process.Process.Kill() // it may have ended by itself
	process.Wait()
	time.Sleep(downTime)
	process = s.spawn()
	s.state.Lock()
	s.restarts[len(s.restarts)-1].ready = time.Now()
	s.state.Unlock()
	return process
}

// excused reports whether the process was silent at some time in a span because of a restart.
func (s *soak) excused(from, to time.Time) bool {
	s.state.Lock()
	defer s.state.Unlock()
	return slices.ContainsFunc(s.restarts, func(r restartSpan) bool {
		return r.silent.Before(to) && (r.ready.IsZero() || from.Before(r.ready))
	})
}

// dueNotice returns until when the notice of a message may come.
func (s *soak) dueNotice(m *soakMessage) time.Time {
	due := m.deadline.Add(noticeSlack + s.lag)
	for _, r := range s.restarts {
		if r.signal.Before(due) && m.deadline.Before(r.ready.Add(restartSlack)) {
			due = later(due, r.ready.Add(restartSlack+s.lag))
		}
	}
	return due
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// client submits one message after the other until the given time. It keeps its connection.
func (s *soak) client(number int, random *rand.Rand, end time.Time) {
	var nc net.Conn
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("c%dm%d", number, n)
		class := []string{"keyed", "free", "unsafe"}[random.IntN(3)]
		expires := time.Duration(300+random.IntN(3000)) * time.Millisecond
		r := s.request(class, id, 1+random.IntN(soakDestinations))
		r.Header.Set("X-Expires-In-Ms", fmt.Sprint(expires.Milliseconds()))
		s.state.Lock()
		s.messages[id] = &soakMessage{class: class, deadline: time.Now().Add(expires)}
		s.state.Unlock()
		nc = s.submitOn(nc, r, id)
		time.Sleep(time.Duration(random.Int64N(int64(s.pause))))
	}
	if nc != nil {
		nc.Close()
	}
}

// submitOn submits a message on a connection, or on a new one if that is nil or was closed meanwhile. It returns the
// connection if it can be used again.
func (s *soak) submitOn(nc net.Conn, r *http.Request, id string) net.Conn {
	began := time.Now()
	for {
		fresh := nc == nil
		if fresh {
			var err error
			if nc, err = net.DialTimeout("tcp", s.addr, clientTimeout); err != nil {
				s.failed(id, began, err)
				return nil
			}
		}
		response, err := exchangeOn(nc, r)
		if err == nil && !response.Close {
			s.answered(id, response.StatusCode)
			return nc
		}
		nc.Close()
		nc = nil
		switch {
		case err == nil:
			s.answered(id, response.StatusCode)
			return nil
		case fresh || errors.Is(err, os.ErrDeadlineExceeded):
			s.failed(id, began, err)
			return nil
		}
		r.Body, _ = r.GetBody()
	}
}

// exchangeOn sends a request and reads the response.
func exchangeOn(nc net.Conn, r *http.Request) (*http.Response, error) {
	if err := nc.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return nil, err
	}
	if err := r.Write(nc); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), r)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func (s *soak) answered(id string, status int) {
	if status == http.StatusAccepted {
		s.killNext.Store(false)
		s.edit(id, func(m *soakMessage) { m.accepted = true })
	}
}

// failed reports a request that got no answer, unless a restart is the reason.
func (s *soak) failed(id string, began time.Time, err error) {
	if !s.excused(began, time.Now()) {
		s.t.Errorf("message %s got no answer: %v", id, err)
	}
}

// awaitSettled waits until each accepted message has ended, or until the last notice is due.
func (s *soak) awaitSettled() {
	s.state.Lock()
	var last time.Time
	for _, m := range s.messages {
		if m.accepted {
			last = later(last, s.dueNotice(m))
		}
	}
	s.state.Unlock()
	time.Sleep(time.Until(last) + settleTime)
}

func (s *soak) check() {
	s.state.Lock()
	defer s.state.Unlock()
	accepted, delivered := 0, 0
	for id, m := range s.messages {
		if m.class == "unsafe" && m.runs > 1 {
			s.t.Errorf("message %s ran %d times and may run once", id, m.runs)
		}
		if !m.accepted {
			continue
		}
		accepted++
		switch {
		case m.delivered:
			delivered++
		case m.noticedAt.IsZero():
			s.t.Errorf("message %s (%s) was lost: it ran %d times, with neither a 200 nor a notice", id, m.class, m.runs)
		case m.noticedAt.After(s.dueNotice(m)):
			s.t.Errorf("the notice of message %s came %v too late", id, m.noticedAt.Sub(s.dueNotice(m)))
		}
	}
	if accepted < leastAccepted || s.pause == calmPause && delivered*leastDelivered < accepted {
		s.t.Errorf("%d messages were accepted and %d delivered", accepted, delivered)
	}
	total := map[faultproxy.Fault]int{}
	for _, p := range s.proxies {
		for f, n := range p.Counts() {
			total[f] += n
		}
	}
	s.t.Logf("%d submitted, %d accepted, %d delivered, %d restarts, lag %v, faults %v", len(s.messages), accepted, delivered, len(s.restarts), s.lag, total)
}

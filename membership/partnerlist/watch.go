package partnerlist

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"syscall"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
	"curlewmux/membership/subscription"
)

const (
	watchWait   = 10 * time.Second // how long discovery may hold a watch call until there are changes
	watchMargin = 2 * time.Second  // no response this long after watchWait means that discovery or the network is down

	// defaultFullListTimeout is the timeout for a full list if no other is set. One discovery service may serve all dispatchers one after another,
	// and its response may come seconds late. An abandoned call costs it as much as a completed one, and a new call would
	// not be answered sooner.
	defaultFullListTimeout = 6 * time.Second

	// minCallInterval is the minimum time between the starts of two calls if the first brought no changes. Discovery keeps
	// a watch only if the next call comes within 200 ms of a response, so this must stay well below that.
	minCallInterval = 100 * time.Millisecond
)

var errNoFullList = errors.New("discovery sent changes in response to a request for the full list")

// Watch follows the list of endpoints: first it reports the full list, then changes. If discovery fails, it reports that
// once and retries.
type Watch struct {
	// Random returns random numbers from 0 to below 1. If it is set before Start, retries are spread over time, since one
	// discovery service may serve all dispatchers.
	Random func() float64

	// FullListTimeout is the timeout for a full list. It may be set before Start.
	FullListTimeout time.Duration

	agent        *agent
	log          *slog.Logger
	report       func(*List, error) bool
	wait, margin time.Duration
}

// NewWatch creates a watch of the list that the agent at addr (host:port) provides.
func NewWatch(h host.Host, addr string, log *slog.Logger) *Watch {
	return &Watch{agent: newAgent(h, addr), log: log, wait: watchWait, margin: watchMargin, FullListTimeout: defaultFullListTimeout}
}

// Start starts a goroutine that runs until Close, or until tell returns false. It must be called once. The goroutine calls
// tell with a list, or with the error if discovery fails. tell may block.
func (w *Watch) Start(tell func(*List, error) bool) {
	w.report = tell
	w.agent.start(w.run)
}

// SetAddress sets the address of the agent and starts again there with a full list. It reports whether the address is a
// different one. It does not block.
func (w *Watch) SetAddress(addr string) bool { return w.agent.setAddress(addr) }

// Close ends the watch and waits for its goroutine to end. It must not be called from tell.
func (w *Watch) Close() { w.agent.close() }

// run makes one call after another. The next call normally follows a response at once, so that no change is missed.
func (w *Watch) run() {
	var after int64
	var current *address
	var pace pacer
	known, down := false, false
	var schedule subscription.Subscription
	for {
		p := w.agent.currentAddress()
		if p == nil {
			return
		}
		if p != current {
			current, known, schedule = p, false, subscription.Subscription{Random: w.Random}
		}
		schedule.StartCall(w.agent.host.Now()) // always true, since the pause has passed
		path, limit := "/api/targets", w.FullListTimeout
		if known {
			path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", after, w.wait.Milliseconds())
			limit = w.wait + w.margin
		}
		started := w.agent.host.Now()
		l, err := w.fetch(current, path, limit)
		if err == nil && !known && !l.Complete {
			err = errNoFullList
		}
		if w.agent.currentAddress() != current {
			continue // the address has changed: ignore the result from the old one
		}
		if known && hasRestarted(l, err, after) { // its revisions may mean something else now
			w.log.Warn("discovery has started anew; asking for its full list", "was", after)
			known = false
			if err == nil {
				w.agent.wait(current, pace.next(w.agent.host.Now()), nil)
				continue
			}
		}
		if err != nil {
			if !down {
				w.log.Warn("discovery does not respond; keeping the current list", "error", err)
				if !w.report(nil, err) {
					return
				}
			}
			down = true
			w.agent.wait(current, schedule.CallFailed(w.agent.host.Now()), nil)
			continue
		}
		schedule.CallSucceeded()
		if down {
			w.log.Info("discovery responds again", "revision", l.Revision)
		}
		changed := !known || l.Revision != after
		known, down, after = true, false, l.Revision
		if (l.Complete || len(l.Entries) > 0) && !w.report(l, nil) {
			return
		}
		// Prevents a busy loop if faulty discovery responds to each call at once, with or without changes.
		next := pace.next(w.agent.host.Now())
		if !changed {
			next = later(next, started.Add(minCallInterval))
		}
		w.agent.wait(current, next, nil)
	}
}

// hasRestarted reports whether the result of a watch call shows that another process is, or will be, at the agent's address.
func hasRestarted(l *List, err error, after int64) bool {
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return l.Revision < after && !l.Complete
}

func (w *Watch) fetch(at *address, path string, limit time.Duration) (*List, error) {
	request := http1.AppendRequest(nil, http.MethodGet, at.addr, path)
	a, err := w.agent.call(at, append(request, "\r\n"...), limit, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if a.Status != http.StatusOK {
		return nil, fmt.Errorf("discovery: status %d", a.Status)
	}
	l, err := decode(a.Body)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}

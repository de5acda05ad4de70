package partnerlist

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
	"curlewmux/membership/subscription"
)

const (
	watchWait   = 10 * time.Second // how long a watch may wait for news
	watchMargin = 2 * time.Second  // silence past that means that discovery, or the way there, is down

	// wholeLimit is how long a whole list may take. Discovery may be one service for all dispatchers that answers one after
	// another, seconds late; a call that is given up costs it as much, and the next one is no sooner.
	wholeLimit = 6 * time.Second

	// newsGap is the least time from one call to the next when the answer had no news. A watch goes on as long as the
	// next call comes within 200 ms of an answer, so this must stay well below.
	newsGap = 100 * time.Millisecond
)

var errPart = errors.New("discovery gives changes where the whole list was asked for")

// Watch tells what discovery says of endpoints: the whole list first, then changes. While discovery does not answer it
// says so once and tries on.
type Watch struct {
	// Random, if set before Start, gives numbers from 0 up to 1 that spread the calls after a failure: discovery may be one
	// service for all dispatchers.
	Random func() float64

	agent               *agent
	log                 *slog.Logger
	tell                func(*List, error) bool
	wait, margin, whole time.Duration
}

// NewWatch makes a watch of the agent at addr (host:port).
func NewWatch(h host.Host, addr string, log *slog.Logger) *Watch {
	return &Watch{agent: newAgent(h, addr), log: log, wait: watchWait, margin: watchMargin, whole: wholeLimit}
}

// Start begins, once, on a goroutine of its own, which ends with Close or when tell returns false. tell hears a list, or
// why there is none for now, on that goroutine; it may block.
func (w *Watch) Start(tell func(*List, error) bool) {
	w.tell = tell
	w.agent.start(w.run)
}

// SetAddress makes another address of the agent count, at which all begins anew, and tells whether it is another. It does not
// block.
func (w *Watch) SetAddress(addr string) bool { return w.agent.move(addr) }

// Close ends the watch and waits until its goroutine has ended. It must not be called from the listing.
func (w *Watch) Close() { w.agent.close() }

// run watches. The next call follows an answer at once, so that nothing falls between two.
func (w *Watch) run() {
	var after int64
	var at *place
	var pace pacer
	known, down := false, false
	var turns subscription.Subscription
	for {
		p := w.agent.place()
		if p == nil {
			return
		}
		if p != at {
			at, known, turns = p, false, subscription.Subscription{Random: w.Random}
		}
		turns.StartCall(w.agent.host.Now()) // it is time: the pause is over
		path, limit := "/api/targets", w.whole
		if known {
			path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", after, w.wait.Milliseconds())
			limit = w.wait + w.margin
		}
		begun := w.agent.host.Now()
		l, err := w.fetch(at, path, limit)
		if err == nil && !known && !l.Complete {
			err = errPart
		}
		if w.agent.place() != at {
			continue // what the old place said, or that it fell silent, is of no more interest
		}
		if err != nil {
			if !down {
				w.log.Warn("discovery does not answer; the list at hand stays in use", "error", err)
				if !w.tell(nil, err) {
					return
				}
			}
			down = true
			w.agent.wait(at, turns.CallFailed(w.agent.host.Now()), nil)
			continue
		}
		turns.CallSucceeded()
		if down {
			w.log.Info("discovery answers again", "revision", l.Revision)
		}
		news := !known || l.Revision != after
		known, down, after = true, false, l.Revision
		if (l.Complete || len(l.Entries) > 0) && !w.tell(l, nil) {
			return
		}
		// Faulty discovery that answers at once, whether it says something new each time or not, must not keep this busy.
		next := pace.next(w.agent.host.Now())
		if !news {
			next = later(next, begun.Add(newsGap))
		}
		w.agent.wait(at, next, nil)
	}
}

func (w *Watch) fetch(at *place, path string, limit time.Duration) (*List, error) {
	request := http1.AppendRequest(nil, http.MethodGet, at.addr, path)
	a, err := w.agent.ask(at, append(request, "\r\n"...), limit, listMost)
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

package partnerlist

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	reportLimit  = 2 * time.Second
	reportBytes  = 48 << 10 // under what a body may hold
	reportAnswer = 64 << 10 // what an answer's body may hold
)

// Notices is the sink of ends where clients are told by the platform: a message that was taken and is not delivered ends
// by a notice to discovery. Ends come in the order in which the engine told them, and each is tried until it is answered
// 204. What waits here is bounded by the engine, which has that many messages at most.
type Notices struct {
	agent   *agent
	log     *slog.Logger
	through func(ids []string)

	// Of the goroutine:
	pending []*notice // oldest first
	// suspect is how many of the oldest hold one that discovery could not read, 0 if none is known. They go out by halves,
	// until it stands alone.
	suspect int
}

var _ engine.Sink = (*Notices)(nil)

// notice tells the platform that a message was given up.
type notice struct {
	id       string
	deferred bool
	again    time.Duration
}

// NewNotices makes a sink that delivers to the agent at addr (host:port).
func NewNotices(h host.Host, addr string, log *slog.Logger) *Notices {
	return &Notices{agent: newAgent(h, addr), log: log}
}

// Start begins, once, on a goroutine of its own, which ends with Close. It comes before the first Done. through is told
// the ids whose ends have been told, on that goroutine; it must not block.
func (n *Notices) Start(through func(ids []string)) {
	n.through = through
	n.agent.start(n.run)
}

// Done takes an end. It does not block. Of what was delivered, is over or was withdrawn nobody is told, and the engine
// waits for nothing.
func (n *Notices) Completed(d *engine.Done) {
	switch d.Disposition {
	case engine.Refused:
		n.agent.inbox.Put(&notice{id: d.ID, deferred: true, again: d.RetryAfter})
	case engine.Failed:
		n.agent.inbox.Put(&notice{id: d.ID})
	}
}

// SetAddress makes another address of the agent count for all that is not through, and tells whether it is another. It does
// not block.
func (n *Notices) SetAddress(addr string) bool { return n.agent.move(addr) }

// Close ends the deliveries and waits until the goroutine has ended. What is not through is dropped: the store still has
// it. It must not be called from through.
func (n *Notices) Close() { n.agent.close() }

func (n *Notices) keep(v any) { n.pending = append(n.pending, v.(*notice)) }

func (n *Notices) run() {
	var at *place
	var pace pacer
	pause, failed := retryLeast, false
	for {
		p := n.agent.place()
		if p == nil {
			return
		}
		if p != at {
			n.agent.hangUp()
			at, pause, failed, n.suspect = p, retryLeast, false, 0
		}
		if len(n.pending) == 0 {
			n.pending = nil // after a rush
			n.agent.take(time.Time{}, n.keep)
			continue
		}
		most := len(n.pending)
		if n.suspect > 0 {
			most = max(1, n.suspect/2)
		}
		body, count := report(n.pending[:most])
		status, err := n.post(at, body)
		switch {
		case err == nil && status == http.StatusNoContent:
			n.told(count)
			pause, failed = retryLeast, false
		case n.agent.place() != at: // at the new place all begins anew
		case err == nil && status == http.StatusBadRequest:
			n.unreadable(count)
			// Discovery that can read nothing at all must not keep this busy.
			n.agent.wait(at, pace.next(n.agent.host.Now()), n.keep)
			pause, failed = retryLeast, false
		default:
			if !failed {
				n.log.Warn("notices are not taken; trying on", "count", count, "status", status, "error", err)
			}
			failed = true
			n.agent.wait(at, n.agent.host.Now().Add(pause), n.keep)
			pause = min(2*pause, retryMost)
		}
	}
}

// told ends the oldest notices.
func (n *Notices) told(count int) {
	ids := make([]string, count)
	for i, m := range n.pending[:count] {
		ids[i] = m.id
	}
	n.pending = slices.Delete(n.pending, 0, count)
	n.suspect = max(0, n.suspect-count)
	n.through(ids)
}

// unreadable takes in that discovery can't read one or more of the oldest notices. No further try can be read any
// better: one that stands alone is dropped.
func (n *Notices) unreadable(count int) {
	if count > 1 {
		n.suspect = count
		return
	}
	n.log.Error("a notice is refused as unreadable, and dropped", "message", n.pending[0].id)
	n.told(1)
}

// report writes as many notices as one body may hold, one a line.
func report(list []*notice) (body []byte, count int) {
	for _, m := range list {
		line := struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms,omitempty"`
		}{m.id, "undeliverable", 0}
		if m.deferred {
			line.Status, line.Again = "deferred", m.again.Milliseconds()
		}
		text, _ := json.Marshal(line) // strings and numbers give no error
		if count > 0 && len(body)+len(text)+1 > reportBytes {
			break
		}
		body = append(append(body, text...), '\n')
		count++
	}
	return body, count
}

func (n *Notices) post(at *place, body []byte) (status int, err error) {
	b := http1.AppendRequest(make([]byte, 0, len(body)+256), http.MethodPost, at.addr, "/reports")
	b = http1.AppendField(b, "Content-Type", "application/x-ndjson")
	a, err := n.agent.ask(at, http1.AppendBody(b, body), reportLimit, reportAnswer)
	return a.Status, err
}

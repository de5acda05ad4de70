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
	reportTimeout    = 2 * time.Second // for one call
	maxReportBytes   = 48 << 10        // of a request body; below the limit of discovery
	maxResponseBytes = 64 << 10        // bytes of a response body
)

// Notices is the sink for results where the platform notifies the clients: for each accepted message that was not
// delivered it sends a notice to discovery. Notices are sent in the order of the engine's results. Each is retried until
// discovery responds with 204. The queue needs no limit of its own, since the engine limits the number of messages.
type Notices struct {
	agent        *agent
	log          *slog.Logger
	acknowledged func(ids []string) // is given the ids whose notices discovery has accepted

	// Used only by the goroutine:

	pending []*notice // oldest first
	// suspectCount is the number of oldest notices among which is one that discovery could not read, 0 if there is none.
	// They are sent in halves until that notice is alone in a request.
	suspectCount int
}

var _ engine.Sink = (*Notices)(nil)

// notice reports a message that was not delivered.
type notice struct {
	id         string
	deferred   bool
	retryAfter time.Duration
}

// NewNotices creates a sink that sends to the agent at addr (host:port).
func NewNotices(h host.Host, addr string, log *slog.Logger) *Notices {
	return &Notices{agent: newAgent(h, addr), log: log}
}

// Start starts a goroutine that sends the notices until Close. It must be called once, before the first result. The
// goroutine calls through with the ids whose notices were acknowledged. through must not block.
func (n *Notices) Start(through func(ids []string)) {
	n.acknowledged = through
	n.agent.start(n.run)
}

// Completed queues the notice for a result. It does not block. Messages that were delivered, closed by the endpoint or
// withdrawn get no notice, and the engine waits for no acknowledgement of them.
func (n *Notices) Completed(d *engine.Done) {
	switch d.Disposition {
	case engine.Refused:
		n.agent.inbox.Put(&notice{id: d.ID, deferred: true, retryAfter: d.RetryAfter})
	case engine.Failed:
		n.agent.inbox.Put(&notice{id: d.ID})
	}
}

// SetAddress sets the address of the agent, also for notices that are not yet acknowledged. It reports whether the address
// is a different one. It does not block.
func (n *Notices) SetAddress(addr string) bool { return n.agent.setAddress(addr) }

// Close stops sending and waits for the goroutine to end. Notices that are not acknowledged are dropped, since the store
// still has them. Close must not be called from through.
func (n *Notices) Close() { n.agent.close() }

func (n *Notices) enqueue(v any) { n.pending = append(n.pending, v.(*notice)) }

func (n *Notices) run() {
	var current *address
	var pace pacer
	pause, failed := minRetryPause, false
	for {
		p := n.agent.currentAddress()
		if p == nil {
			return
		}
		if p != current {
			n.agent.disconnect()
			current, pause, failed, n.suspectCount = p, minRetryPause, false, 0
		}
		if len(n.pending) == 0 {
			n.pending = nil // frees the memory after a burst
			n.agent.receive(time.Time{}, n.enqueue)
			continue
		}
		limit := len(n.pending)
		if n.suspectCount > 0 {
			limit = max(1, n.suspectCount/2)
		}
		body, count := encodeNotices(n.pending[:limit])
		status, err := n.post(current, body)
		switch {
		case err == nil && status == http.StatusNoContent:
			n.acknowledge(count)
			pause, failed = minRetryPause, false
		case n.agent.currentAddress() != current: // the address has changed: start again at the new one
		case err == nil && status == http.StatusBadRequest:
			n.handleUnreadable(count)
			// Prevents a busy loop if discovery can read no notice at all.
			n.agent.wait(current, pace.next(n.agent.host.Now()), n.enqueue)
			pause, failed = minRetryPause, false
		default:
			if !failed {
				n.log.Warn("can't send notices to discovery; retrying", "count", count, "status", status, "error", err)
			}
			failed = true
			n.agent.wait(current, n.agent.host.Now().Add(pause), n.enqueue)
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// acknowledge removes the oldest notices from the queue and reports them as acknowledged.
func (n *Notices) acknowledge(count int) {
	ids := make([]string, count)
	for i, m := range n.pending[:count] {
		ids[i] = m.id
		n.log.Debug("notice accepted", "message", m.id)
	}
	n.pending = slices.Delete(n.pending, 0, count)
	n.suspectCount = max(0, n.suspectCount-count)
	n.acknowledged(ids)
}

// handleUnreadable handles a response that says that discovery can't read one or more of the oldest count notices. A notice
// that was alone in its request is dropped, since a retry would fail in the same way.
func (n *Notices) handleUnreadable(count int) {
	if count > 1 {
		n.suspectCount = count
		return
	}
	n.log.Error("discovery can't read a notice; dropping it", "message", n.pending[0].id)
	n.acknowledge(1)
}

// encodeNotices encodes notices as JSON lines, as many as fit into one body.
func encodeNotices(list []*notice) (body []byte, count int) {
	for _, m := range list {
		line := struct {
			ID     string `json:"id"`
			Status string `json:"status"`
			Again  int64  `json:"again_ms,omitempty"`
		}{m.id, "undeliverable", 0}
		if m.deferred {
			line.Status, line.Again = "deferred", m.retryAfter.Milliseconds()
		}
		text, _ := json.Marshal(line) // strings and numbers can always be encoded
		if count > 0 && len(body)+len(text)+1 > maxReportBytes {
			break
		}
		body = append(append(body, text...), '\n')
		count++
	}
	return body, count
}

// post sends notices on a connection of their own: on a shared one, a late copy of an earlier response would acknowledge them.
func (n *Notices) post(at *address, body []byte) (status int, err error) {
	defer n.agent.disconnect()
	b := http1.AppendRequest(make([]byte, 0, len(body)+256), http.MethodPost, at.addr, "/reports")
	b = http1.AppendField(b, "Connection", "close")
	b = http1.AppendField(b, "Content-Type", "application/x-ndjson")
	a, err := n.agent.call(at, http1.AppendBody(b, body), reportTimeout, maxResponseBytes)
	return a.Status, err
}

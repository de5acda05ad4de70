package httptransport

import (
	"context"
	"log/slog"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
)

// surplusLogInterval is the minimum time between two warnings about surplus data. The counters count each case.
const surplusLogInterval = time.Second

// logStart logs that the call is about to be written to a connection.
func (k *call) logStart(c *conn) {
	if !k.t.logsCalls {
		return
	}
	for i, pending := range k.pending {
		if pending {
			k.t.log.Debug("attempt started", "message", k.Items[i].ID, "call", uint64(k.ID), "endpoint", k.EndpointID,
				"address", k.Addr, "connection", c.number, "request", c.requests)
		}
	}
}

// logOutcome logs how the attempt at one item ended. status is 0 if there was no response.
func (k *call) logOutcome(o *engine.Outcome) {
	if !k.t.logsCalls {
		return
	}
	k.t.log.Debug("attempt ended", "message", k.Items[o.Item].ID, "call", uint64(k.ID), "endpoint", k.EndpointID,
		"result", resultNames[o.Result], "status", k.status, "pause", o.RetryAfter, "error", k.err)
}

// logSurplus warns that an endpoint has sent data that is no response to a request.
func (k *call) logSurplus(c *conn, why string) {
	now := k.t.host.Now()
	k.t.mu.Lock()
	due := k.t.surplusLogged.IsZero() || now.Sub(k.t.surplusLogged) >= surplusLogInterval
	if due {
		k.t.surplusLogged = now
	}
	k.t.mu.Unlock()
	if due {
		k.t.log.Warn("an endpoint has sent data that is no response to a request", "endpoint", k.EndpointID, "address", k.Addr,
			"connection", c.number, "request", c.requests, "why", why)
	}
}

// setLog sets the log. Without one, nothing is logged.
func (t *Transport) setLog(log *slog.Logger) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	t.log, t.logsCalls = log, log.Enabled(context.Background(), slog.LevelDebug)
}

// resultNames are the names of results in the log.
var resultNames = map[control.Result]string{
	control.OK: "ok", control.Errored: "error", control.Refused: "refused", control.TimedOut: "timed out",
	control.ConnectFailed: "connection failed", control.Reset: "reset", control.Cancelled: "cancelled", control.Moot: "not sent",
	control.Unsent: "unsent", control.Unreadable: "unreadable",
}

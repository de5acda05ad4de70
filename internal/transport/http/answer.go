package httptransport

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/http1"
)

// handleResponse derives the outcomes of the pending items from a response.
func (k *call) handleResponse(response *http1.Response) {
	outcome := engine.Outcome{
		RetryAfter: retryAfter(response.Get("Retry-After")), LoadReport: loadReport(response.Get("Endpoint-Load-Metrics"), k.t.settings.ReportFields),
	}
	switch {
	case response.Status == http.StatusOK && k.batch:
		k.handleBatchStates(response.Body, outcome)
		return
	case response.Status == http.StatusOK:
		outcome.Result = control.OK
	case response.Status == http.StatusTooManyRequests:
		outcome.Result = control.Refused
	case response.Status == http.StatusServiceUnavailable:
		if outcome.Result = control.Refused; response.Get("Slots-Taken") == "1" {
			outcome.Result = control.Moot
		}
	case response.Status == http.StatusGatewayTimeout: // the message expired; its result is still pending
		outcome.Result = control.Moot
	case response.Status == http.StatusGone:
		outcome.Result, outcome.Closed = control.Moot, true
	case k.batch && (response.Status == http.StatusBadRequest || response.Status == http.StatusRequestEntityTooLarge):
		outcome.Result = control.Moot // none of the items has run
	default:
		outcome.Result = control.Errored // it may have run
	}
	for i := range k.pending {
		k.addOutcome(i, outcome)
	}
	k.notify()
}

// acceptOn returns what tells the response to a request on a connection from copies of earlier ones. It is nil if there
// are none, or if the close option does that.
func (k *call) acceptOn(c *conn) func(*http1.Response) bool {
	if c.last || c.requests == 1 {
		return nil
	}
	return k.namesItem
}

// namesItem reports whether a response may be that to this batch: a 200 has to name a message of it. Another status can't
// be a copy, because each earlier response was a 200.
func (k *call) namesItem(response *http1.Response) bool {
	if response.Status != http.StatusOK {
		return true
	}
	states := batchStates(response.Body)
	for i := range k.Items {
		if _, named := states[k.Items[i].ID]; named {
			return true
		}
	}
	return false
}

// deliversAll reports whether a response says that all messages of the call are delivered.
func (k *call) deliversAll(response *http1.Response) bool {
	if response.Status != http.StatusOK || !k.batch {
		return response.Status == http.StatusOK
	}
	states := batchStates(response.Body)
	for i, pending := range k.pending {
		if pending && states[k.Items[i].ID] != stateDelivered {
			return false
		}
	}
	return true
}

const stateDelivered = "delivered" // of an item, in the response to a batch

// batchStates reads the state of each message from the response to a batch.
func batchStates(body []byte) map[string]string {
	var list []struct{ ID, State string }
	if json.Unmarshal(body, &list) != nil {
		return nil
	}
	states := make(map[string]string, len(list))
	for _, l := range list {
		states[l.ID] = l.State
	}
	return states
}

// handleBatchStates reads the state of each item from the response to a batch. An item without a known state may have
// run, or may still be running.
func (k *call) handleBatchStates(body []byte, common engine.Outcome) {
	states := batchStates(body)
	for i := range k.pending {
		outcome := common
		switch states[k.Items[i].ID] {
		case stateDelivered:
			outcome.Result = control.OK
		case "refused":
			outcome.Result = control.Refused
		case "over":
			outcome.Result, outcome.Closed = control.Moot, true
		case "spent":
			outcome.Result = control.Moot
		case "failed":
			outcome.Result = control.Errored
		default:
			outcome.Result = control.Unreadable
		}
		k.addOutcome(i, outcome)
	}
	k.notify()
}

// retryAfter parses a Retry-After value: seconds, with decimals. It returns 0 for a value that is invalid or longer than
// 11 days.
func retryAfter(text string) time.Duration {
	if text == "" {
		return 0
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds < 1e6) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// loadReport parses the load report of a response, such as "TEXT x0=0.4, x1=25". It returns nil unless the whole report is
// valid.
func loadReport(text string, names []string) []float32 {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok || len(names) == 0 {
		return nil
	}
	report := make([]float32, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0 && v <= math.MaxFloat32) {
			return nil
		}
		if i := slices.Index(names, name); i >= 0 {
			report[i] = float32(v)
		}
	}
	return report
}

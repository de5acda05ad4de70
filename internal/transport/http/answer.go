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

// handleBatchStates reads the state of each item from the response to a batch. An item without a known state may have
// run.
func (k *call) handleBatchStates(body []byte, common engine.Outcome) {
	var list []struct{ ID, State string }
	states := map[string]string{}
	if json.Unmarshal(body, &list) == nil {
		for _, l := range list {
			states[l.ID] = l.State
		}
	}
	for i := range k.pending {
		outcome := common
		switch states[k.Items[i].ID] {
		case "delivered":
			outcome.Result = control.OK
		case "refused":
			outcome.Result = control.Refused
		case "over":
			outcome.Result, outcome.Closed = control.Moot, true
		case "spent":
			outcome.Result = control.Moot
		default:
			outcome.Result = control.Errored
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

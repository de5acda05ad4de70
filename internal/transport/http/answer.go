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

// answered turns an answer into the outcomes of the items left.
func (k *call) answered(a *http1.Response) {
	o := engine.Outcome{
		RetryAfter: retryAfter(a.Get("Retry-After")), LoadReport: loadReport(a.Get("Endpoint-Load-Metrics"), k.t.set.ReportFields),
	}
	switch {
	case a.Status == http.StatusOK && k.batch:
		k.states(a.Body, o)
		return
	case a.Status == http.StatusOK:
		o.Result = control.OK
	case a.Status == http.StatusTooManyRequests:
		o.Result = control.Refused
	case a.Status == http.StatusServiceUnavailable:
		if o.Result = control.Refused; a.Get("Slots-Taken") == "1" {
			o.Result = control.Moot
		}
	case a.Status == http.StatusGatewayTimeout: // spent: its end is still owed
		o.Result = control.Moot
	case a.Status == http.StatusGone:
		o.Result, o.Closed = control.Moot, true
	case k.batch && (a.Status == http.StatusBadRequest || a.Status == http.StatusRequestEntityTooLarge):
		o.Result = control.Moot // none has run
	default:
		o.Result = control.Errored // it may have run
	}
	for i := range k.left {
		k.add(i, o)
	}
	k.tell()
}

// states reads the states in an answer to several messages; one that is not told may have run.
func (k *call) states(body []byte, o engine.Outcome) {
	var list []struct{ ID, State string }
	states := map[string]string{}
	if json.Unmarshal(body, &list) == nil {
		for _, l := range list {
			states[l.ID] = l.State
		}
	}
	for i := range k.left {
		one := o
		switch states[k.Items[i].ID] {
		case "delivered":
			one.Result = control.OK
		case "refused":
			one.Result = control.Refused
		case "over":
			one.Result, one.Closed = control.Moot, true
		case "spent":
			one.Result = control.Moot
		default:
			one.Result = control.Errored
		}
		k.add(i, one)
	}
	k.tell()
}

// retryAfter reads a told wait: seconds, with decimals. One that can't be read, or is over 11 days, is none.
func retryAfter(text string) time.Duration {
	if text == "" {
		return 0
	}
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || !(s > 0 && s < 1e6) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// loadReport reads the report that an answer may carry: TEXT x0=0.4, x1=25. One that can't be read whole is none.
func loadReport(text string, names []string) []float32 {
	text, ok := strings.CutPrefix(text, "TEXT ")
	if !ok || len(names) == 0 {
		return nil
	}
	out := make([]float32, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0 && v <= math.MaxFloat32) {
			return nil
		}
		if i := slices.Index(names, name); i >= 0 {
			out[i] = float32(v)
		}
	}
	return out
}

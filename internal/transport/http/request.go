package httptransport

import (
	"encoding/base64"
	"encoding/json"
	"net/http"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/http1"
)

// appendRequest appends the request for the pending items: one message, or a batch of several. Items that don't fit into
// the body of a batch end as Moot. If no item is pending, it appends nothing. It decides whether the request is the last one on
// the connection.
func (k *call) appendRequest(b []byte, c *conn) []byte {
	var list []byte
	if k.isBatch() {
		list = k.batchBody()
	}
	if k.pendingCount == 0 {
		return b
	}
	k.batch = k.isBatch()
	c.last = c.isLast(k.batch)
	path := "/v1/messages"
	if k.batch {
		path = "/v1/messages:batch"
	}
	b = http1.AppendRequest(b, http.MethodPost, k.Addr, path)
	if c.last {
		b = http1.AppendField(b, "Connection", "close")
	}
	rest := engine.Duration(k.firstDeadline() - k.t.clock.At(k.t.host.Now()))
	b = http1.AppendIntField(b, "X-Expires-In-Ms", max(rest.Milliseconds(), 1))
	if k.batch {
		return http1.AppendBody(http1.AppendField(b, "Content-Type", "application/json"), list)
	}
	for i, l := range k.pending {
		if l {
			it := &k.Items[i]
			b = http1.AppendField(b, "X-Trace-Id", it.ID)
			if it.Key != "" {
				b = http1.AppendField(b, "Idempotency-Key", it.Key)
			}
			b = http1.AppendBody(b, it.Body)
		}
	}
	return b
}

// isBatch reports whether the pending items go as a batch. A single one does, too, if the endpoint takes batches: the
// response then names it.
func (k *call) isBatch() bool {
	takesBatches := k.Kind >= 0 && k.Kind < len(k.t.settings.BatchKinds) && k.t.settings.BatchKinds[k.Kind]
	return k.pendingCount > 1 || takesBatches && k.pendingCount == 1
}

// batchBody returns the body of a batch, a JSON array of at most the size that the protocol allows. Items that don't fit
// end as Moot. The first item always stays, so that each call makes progress.
func (k *call) batchBody() []byte {
	b := make([]byte, 0, 1<<10)
	for i, l := range k.pending {
		if !l {
			continue
		}
		before := len(b)
		if before == 0 {
			b = append(b, '[')
		} else {
			b = append(b, ',')
		}
		if b = appendItem(b, &k.Items[i]); before > 0 && len(b)+len("]") > maxBody {
			b = b[:before]
			k.addOutcome(i, engine.Outcome{Result: control.Moot})
		}
	}
	return append(b, ']')
}

// appendItem appends one item of a batch as a JSON object.
func appendItem(b []byte, it *engine.Item) []byte {
	b = appendString(append(b, `{"id":`...), it.ID)
	if it.Key != "" {
		b = appendString(append(b, `,"key":`...), it.Key)
	}
	b = base64.StdEncoding.AppendEncode(append(b, `,"body":"`...), it.Body)
	return append(b, `"}`...)
}

// appendString appends a JSON string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			text, err := json.Marshal(s)
			if err != nil { // a string can always be encoded
				panic(err)
			}
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}

package httptransport

import (
	"encoding/base64"
	"encoding/json"
	"net/http"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/http1"
)

// request appends the request for the items left: one message, or several in a batch. Those that find no room in the
// body of a batch end as Moot. With none left there is no request.
func (k *call) request(b []byte) []byte {
	var list []byte
	if k.open > 1 {
		list = k.list()
	}
	if k.open == 0 {
		return b
	}
	k.batch = k.open > 1
	path := "/v1/messages"
	if k.batch {
		path = "/v1/messages:batch"
	}
	b = http1.AppendRequest(b, http.MethodPost, k.Addr, path)
	rest := engine.Duration(k.due() - k.t.clock.At(k.t.host.Now()))
	b = http1.AppendIntField(b, "X-Expires-In-Ms", max(rest.Milliseconds(), 1))
	if k.batch {
		return http1.AppendBody(http1.AppendField(b, "Content-Type", "application/json"), list)
	}
	for i, l := range k.left {
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

// list is the body of a batch, a JSON array. It never holds more than the protocol lets a body hold: what finds no room
// ends as Moot, but the first item always stays, so that each call gets something done.
func (k *call) list() []byte {
	b := make([]byte, 0, 1<<10)
	for i, l := range k.left {
		if !l {
			continue
		}
		before := len(b)
		if before == 0 {
			b = append(b, '[')
		} else {
			b = append(b, ',')
		}
		if b = appendItem(b, &k.Items[i]); before > 0 && len(b)+len("]") > answerBody {
			b = b[:before]
			k.add(i, engine.Outcome{Result: control.Moot})
		}
	}
	return append(b, ']')
}

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
			if err != nil { // a string always has a form
				panic(err)
			}
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}

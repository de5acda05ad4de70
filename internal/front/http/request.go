package httpfront

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/http1"
	"curlewmux/internal/wire"
)

const (
	maxBody   = 64 << 10
	maxExpiry = 24 * time.Hour
	maxID     = 128
	maxName   = 256     // of a key, and of a tenant where any will do
	bodyPart  = 2 << 10 // a body has so much memory at first, and more as it comes
	maxQuoted = 64      // bytes of a client's text in a reason
)

// refusal is a request that can't be handed in, whoever asks and whenever.
type refusal struct {
	status int
	why    string // names the field at fault
	final  bool   // what follows on the connection can't be trusted
}

func (r *refusal) reply() reply {
	return reply{status: r.status, why: r.why, paced: true, final: r.final}
}

func badRequest(format string, args ...any) *refusal {
	return &refusal{status: http.StatusBadRequest, why: fmt.Sprintf(format, args...)}
}

// quoted quotes the text of a client, as far as its refusal shows it.
func quoted(text string) string {
	if len(text) > maxQuoted {
		return strconv.Quote(text[:maxQuoted]) + "..."
	}
	return strconv.Quote(text)
}

// framed checks how the request tells its length, before anything of its body is read. Clients here state lengths:
// where both ways to tell one are used, a request could stand hidden in the body of another.
func framed(r *http1.Request) *refusal {
	switch {
	case r.Length < 0:
		return &refusal{http.StatusLengthRequired, "Transfer-Encoding: state a Content-Length instead", true}
	case r.Length > maxBody:
		return &refusal{http.StatusRequestEntityTooLarge, fmt.Sprintf("body: over %d bytes", maxBody), true}
	}
	return nil
}

// fields are the fields of a head (http1.Request, http.Header).
type fields interface{ Get(name string) string }

// parse reads all but the body into m and returns how long the message may still be delivered. Nothing that m holds then
// keeps the rest of the head in memory.
func (f *Front) parse(path string, h fields, m *engine.Message) (time.Duration, *refusal) {
	if m.ID = h.Get("X-Trace-Id"); !token(m.ID) {
		return 0, badRequest("X-Trace-Id: %s is not an id", quoted(m.ID))
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	qos := h.Get("X-Qos")
	if qos != first {
		return 0, badRequest("X-Qos: %s is not the class in the path, %s", quoted(qos), quoted(first))
	}
	class, ok := f.classes[wire.Plain(qos)]
	if !ok {
		return 0, badRequest("X-Qos: class %s is unknown", quoted(qos))
	}
	m.Class = class.Name
	customer := h.Get("X-Customer")
	if m.Tenant, ok = f.tenants[wire.Plain(customer)]; !ok && len(f.tenants) > 0 {
		return 0, badRequest("X-Customer: tenant %s is unknown", quoted(customer))
	}
	if len(f.tenants) == 0 {
		if m.Tenant = strings.Clone(customer); len(customer) > maxName {
			return 0, badRequest("X-Customer: over %d bytes", maxName)
		}
	}
	ms, err := strconv.ParseInt(h.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxExpiry.Milliseconds() {
		return 0, badRequest("X-Expires-In-Ms: %s is not a time to expire in", quoted(h.Get("X-Expires-In-Ms")))
	}
	envelope := h.Get("Envelope")
	if m.Destination, ok = destination(envelope); !ok {
		return 0, badRequest("Envelope: %s names no dest", quoted(envelope))
	}
	m.Key = h.Get("Idempotency-Key")
	if class.NeedsKey && m.Key == "" {
		return 0, badRequest("Idempotency-Key: missing, class %q needs it", m.Class)
	}
	if !visible(m.Key) {
		return 0, badRequest("Idempotency-Key: not up to %d visible ASCII characters", maxName)
	}
	m.ID, m.Key = strings.Clone(m.ID), strings.Clone(m.Key)
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads a body of stated length and returns how many bytes it charged, which the caller gives back. Memory is
// charged and taken as the body comes. Where none is left, part of the body stays unread.
func (f *Front) readBody(c *client, m *engine.Message) (charged int, no *refusal) {
	for c.unread > 0 {
		old := len(m.Body)
		room := min(old+int(c.unread), max(bodyPart, 2*old))
		if !f.reserve(c, room-old, room) {
			return charged, nil
		}
		charged = room
		grown := make([]byte, room)
		copy(grown, m.Body)
		m.Body = grown
		if err := c.body(m.Body[old:]); err != nil {
			return charged, &refusal{http.StatusBadRequest, "body: shorter than its Content-Length", true}
		}
	}
	return charged, nil
}

// destination reads the number in an envelope: dest=7, perhaps among other entries.
func destination(envelope string) (int, bool) {
	for part := range strings.FieldsFuncSeq(envelope, func(r rune) bool { return strings.ContainsRune(" ;,&", r) }) {
		if s, ok := strings.CutPrefix(part, "dest="); ok {
			if n, err := strconv.ParseUint(s, 10, 16); err == nil {
				return int(n), true
			}
		}
	}
	return 0, false
}

// token tells whether s may be an id: short, and the same in a header, in JSON and in a log.
func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.IndexByte("._~:-", c) >= 0) {
			return false
		}
	}
	return s != "" && len(s) <= maxID
}

// visible tells whether s may be a key: it goes on to endpoints in a header.
func visible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) <= maxName
}

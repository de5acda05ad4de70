package mail

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
)

// Envelope is one mail for one recipient, as a message's body has it: the lines that a client would send, an empty line,
// and the content unchanged.
//
//	MAIL FROM:<build@example.org> BODY=8BITMIME
//	RCPT TO:<log@archive.example.org> NOTIFY=FAILURE
//
//	From: ...
//
// All lines end with CRLF. Whoever hands a mail in by another way than a mail front writes the same. Parameters that
// belong to a hop (SIZE, AUTH, and what the next server does not offer and may be left out) are the transport's matter.
type Envelope struct {
	From, To Path
	Content  []byte
}

// ErrEnvelope says that a body holds no envelope.
var ErrEnvelope = errors.New("envelope")

// Bytes is the body of a message.
func (e *Envelope) Bytes() []byte {
	b := make([]byte, 0, len(e.Content)+len(e.From.Addr)+len(e.To.Addr)+128)
	b = append(append(append(b, "MAIL FROM:"...), e.From.String()...), "\r\n"...)
	b = append(append(append(b, "RCPT TO:"...), e.To.String()...), "\r\n\r\n"...)
	return append(b, e.Content...)
}

// ParseEnvelope reads the body of a message. The content is not copied. Its error wraps ErrEnvelope.
func ParseEnvelope(body []byte) (e Envelope, err error) {
	for _, l := range []struct {
		verb, word string
		to         *Path
	}{{"MAIL", "FROM:", &e.From}, {"RCPT", "TO:", &e.To}} {
		n := bytes.Index(body[:min(len(body), lineMost)], []byte("\r\n"))
		if n < 0 {
			return e, fmt.Errorf("%w: want a line %s %s<address>", ErrEnvelope, l.verb, l.word)
		}
		c, ok := ParseCommand(string(body[:n]))
		if !ok || c.Verb != l.verb {
			return e, fmt.Errorf("%w: want a line %s %s<address>", ErrEnvelope, l.verb, l.word)
		}
		if *l.to, err = c.Path(l.word); err != nil {
			return e, fmt.Errorf("%w: %s: %w", ErrEnvelope, l.verb, err)
		}
		body = body[n+2:]
	}
	if e.To.Addr == "" {
		return e, fmt.Errorf("%w: RCPT: no address", ErrEnvelope)
	}
	if !bytes.HasPrefix(body, []byte("\r\n")) {
		return e, fmt.Errorf("%w: an empty line must stand before the content", ErrEnvelope)
	}
	e.Content = body[2:]
	return e, nil
}

// TraceID is a message's id as it stands in trace fields, in replies and in logs: short, and the same in every process.
func TraceID(id string) string {
	h := fnv.New64a()
	h.Write([]byte(id))
	return fmt.Sprintf("%016x", h.Sum64())
}

package mailfront

import (
	"fmt"
	"strconv"
	"strings"

	"curlewmux/engine"
)

// IDPrefix begins the id of every message that came by mail. Clients of other fronts should not use it: the end of a
// message whose id is in its form is told by mail.
const IDPrefix = "mail:"

// Owns tells whether the end of a message with this id is for a mail's sender.
func Owns(id string) bool {
	if !strings.HasPrefix(id, IDPrefix) {
		return false
	}
	_, ok := parseOrigin(id)
	return ok
}

// mostMessageID is how long a Message-ID may be.
const mostMessageID = 250

// origin is what the id of a message says of the mail that it came with. By it a mail that a client sends again, having
// lost the reply to its dot (RFC 1047), is known again, and the end of a message finds its way to the sender after its
// body was let go, also over a restart.
type origin struct {
	from, to string // to in its canonical form
	id       string // Message-ID; of a notification: the id of the message whose end it tells
	quiet    bool   // the sender is told of no failure

	// Of a notification:
	nth int                // 1 for the first that tells this end, 0 for what is none
	how engine.Disposition // the end that it tells
}

// String is the message's id: visible ASCII without spaces.
func (o *origin) String() string {
	told := "f"
	switch {
	case o.nth > 0:
		told = fmt.Sprintf("d%d.%d", o.how, o.nth)
	case o.quiet:
		told = "n"
	}
	return IDPrefix + told + ":" + escape(o.from) + ":" + escape(o.to) + ":" + escape(o.id)
}

func parseOrigin(id string) (o origin, ok bool) {
	parts := strings.Split(id, ":")
	if len(parts) != 5 || parts[0]+":" != IDPrefix {
		return o, false
	}
	switch told := parts[1]; {
	case told == "f":
	case told == "n":
		o.quiet = true
	default:
		rest, is := strings.CutPrefix(told, "d")
		how, nth, _ := strings.Cut(rest, ".")
		h, err := strconv.Atoi(how)
		n, err2 := strconv.Atoi(nth)
		if !is || err != nil || err2 != nil || n < 1 || n > bounceTries || engine.Disposition(h) != engine.Refused && engine.Disposition(h) != engine.Failed {
			return o, false
		}
		o.quiet, o.nth, o.how = true, n, engine.Disposition(h)
	}
	for i, to := range []*string{&o.from, &o.to, &o.id} {
		if *to, ok = unescape(parts[2+i]); !ok {
			return o, false
		}
	}
	return o, true
}

func escape(s string) string {
	var b []byte
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == ':' || c == '%' {
			b = fmt.Appendf(b, "%%%02X", c)
		} else {
			b = append(b, c)
		}
	}
	return string(b)
}

func unescape(s string) (string, bool) {
	var b []byte
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			b = append(b, s[i])
			continue
		}
		var c byte
		if i+3 > len(s) {
			return "", false
		}
		if _, err := fmt.Sscanf(s[i+1:i+3], "%02X", &c); err != nil {
			return "", false
		}
		b = append(b, c)
		i += 2
	}
	return string(b), true
}

package mailfront

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/mail"
	"curlewmux/internal/wire"
)

// outcome is what a client is told of a mail, or of one recipient's.
type outcome struct {
	code int
	text string
}

// whole hands in a mail that has come whole and replies: once, or over LMTP for each recipient.
func (s *session) whole() bool {
	defer s.reset()
	t := s.mail
	if no, ok := s.unfit(); !ok {
		s.tell(no)
		return true
	}
	// The bodies of all recipients but the first are copies: they are charged while the engine has not taken them.
	copies := int64(len(t.body)) * int64(len(t.rcpts)-1)
	if !s.f.charge(copies) {
		s.tell(outcome{452, "4.3.1 no memory is left for mails"})
		return true
	}
	defer s.f.transit.Add(copies)
	now := s.f.host.Now()
	var list []*engine.Message // one for each address
	var until []time.Time
	place := make([]int, len(t.rcpts)) // of each recipient's message in the list, or -1
	outs := make([]outcome, len(t.rcpts))
	first := map[string]int{}
	for i := range t.rcpts {
		m, within, why := s.message(&t.rcpts[i])
		if why != "" {
			place[i], outs[i] = -1, outcome{554, "5.6.0 " + why}
			if s.protocol == mail.SMTP { // one reply for all: all or none
				s.tell(outs[i])
				return true
			}
			continue
		}
		to := mail.Canonical(t.rcpts[i].path.Addr)
		if at, again := first[to]; again {
			place[i] = at
			continue
		}
		first[to], place[i] = len(list), len(list)
		list, until = append(list, m), append(until, now.Add(within))
	}
	if s.protocol == mail.SMTP {
		out := answerTo(s.f.intake.SubmitAll(list, until), list[0].ID)
		s.f.log.Debug("a mail came", "from", t.from.Addr, "recipients", len(list), "bytes", t.size, "client", s.raw.RemoteAddr(), "reply", out.code)
		s.tell(out)
		return true
	}
	verdicts := s.f.intake.SubmitEach(list, until)
	for i := range outs {
		if place[i] >= 0 {
			outs[i] = answerTo(verdicts[place[i]], list[place[i]].ID)
		}
	}
	s.f.log.Debug("a mail came", "from", t.from.Addr, "recipients", len(list), "bytes", t.size, "client", s.raw.RemoteAddr())
	s.tell(outs...)
	return true
}

// tell replies to a mail: with one outcome, which then counts for all recipients, or with one for each.
func (s *session) tell(outs ...outcome) {
	n := 1
	if s.protocol == mail.LMTP {
		n = len(s.mail.rcpts)
	}
	for i := range n {
		o := outs[min(i, len(outs)-1)]
		s.reply(o.code, o.text)
	}
}

// unfit tells what speaks against a mail for every recipient.
func (s *session) unfit() (outcome, bool) {
	t := s.mail
	switch err := t.looked.Err(); {
	case t.over:
		return outcome{552, fmt.Sprintf("5.3.4 SIZE: the mail has more than %d bytes", s.f.set.Size)}, false
	case t.noRoom:
		return outcome{452, "4.3.1 no memory is left for mails"}, false
	case err != nil:
		return outcome{554, "5.6.0 " + err.Error()}, false
	case !t.looked.Whole():
		return outcome{554, "5.6.0 content: the last line has no end"}, false
	case !s.f.Ready.Load():
		return outcome{451, "4.3.2 not ready"}, false
	}
	if _, hops := mail.Header(t.body, "Received"); hops >= mostHops {
		return outcome{554, fmt.Sprintf("5.4.6 Received: %d fields, the mail goes in a circle", hops)}, false
	}
	id, n := mail.Header(t.body, "Message-ID")
	switch {
	case n > 1:
		return outcome{554, "5.6.0 Message-ID: it is there twice"}, false
	case len(id) > mostMessageID:
		return outcome{554, fmt.Sprintf("5.6.0 Message-ID: over %d bytes", mostMessageID)}, false
	}
	return outcome{}, true
}

// message makes the message of one recipient; why names the field at fault.
func (s *session) message(r *recipient) (m *engine.Message, within time.Duration, why string) {
	t := s.mail
	field := func(name, preset string) string {
		if name != "" {
			if v, n := mail.Header(t.body, name); n > 0 {
				return wire.Plain(v) // as the settings have it
			}
		}
		return preset
	}
	m = &engine.Message{
		Destination: r.route.Dest, Class: field(r.route.ClassField, r.route.Class), Tenant: field(r.route.TenantField, r.route.Tenant),
	}
	class, known := s.f.set.Classes[m.Class]
	if !known {
		return nil, 0, fmt.Sprintf("%s: class %.40q is unknown", r.route.ClassField, m.Class)
	}
	within = r.route.Expires
	if r.route.ExpiresField != "" {
		if v, n := mail.Header(t.body, r.route.ExpiresField); n > 0 {
			sec, err := strconv.ParseFloat(v, 64)
			if err != nil || !(sec > 0) {
				return nil, 0, fmt.Sprintf("%s: %.40q is no number of seconds over 0", r.route.ExpiresField, v)
			}
			if at := time.Duration(min(sec, within.Seconds()) * float64(time.Second)); at < within {
				within = at
			}
		}
	}
	id, _ := mail.Header(t.body, "Message-ID")
	switch {
	case id != "":
	case class.NeedsID:
		return nil, 0, fmt.Sprintf("Message-ID: missing, class %q needs it", m.Class)
	default: // what may be repeated at will need not be known again
		id = fmt.Sprintf("%016x", s.f.set.Random())
	}
	of := origin{from: t.from.Addr, to: mail.Canonical(r.path.Addr), id: id, quiet: t.from.Addr == ""}
	if v, ok := r.path.Get("NOTIFY"); ok && !strings.Contains(strings.ToUpper(v), "FAILURE") {
		of.quiet = true
	}
	m.ID, m.Key = of.String(), id+" "+of.to
	e := mail.Envelope{From: t.from, To: r.path, Content: t.body}
	m.Body = e.Bytes()
	return m, within, ""
}

// answerTo is mail's reply for each verdict. One that is taken is named, as its trace field will be.
func answerTo(v engine.Verdict, id string) outcome {
	switch v.Kind {
	case engine.Accepted:
		return outcome{250, "2.0.0 taken id " + mail.TraceID(id)}
	case engine.Busy, engine.UnknownDestination:
		return outcome{451, "4.3.2 " + v.Reason}
	case engine.Unconfirmed:
		return outcome{451, "4.3.0 " + v.Reason}
	case engine.Conflict:
		return outcome{554, "5.6.0 Message-ID: another mail has it, from this sender for this recipient"}
	case engine.AlreadyEnded:
		return outcome{554, "5.5.0 Message-ID: this mail came before and ended; it may have been delivered"}
	case engine.Invalid:
		return outcome{554, "5.6.0 " + named(v.Reason)}
	}
	return outcome{451, fmt.Sprintf("4.3.0 verdict %d is unknown", v.Kind)}
}

// named says in mail's terms which field is at fault, where the engine names one of its own.
func named(why string) string {
	if rest, ok := strings.CutPrefix(why, "key: "); ok {
		return "Message-ID: " + rest
	}
	return why
}

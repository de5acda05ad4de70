package mailfront

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

const (
	bounceRetry = time.Second     // between two tries to hand in what the engine did not take
	bouncePause = 5 * time.Minute // the longest that a notification waits which was refused
	bounceMost  = 50              // that are handed in at once
	bounceTries = 20              // notifications of one end, one after the other as they are refused
)

// bounces tell senders of messages that were refused or failed: by a delivery status notification (RFC 3464), which is a
// message like any other, on the way that the routes have for the sender's address. An end is through once the engine has
// taken the notification, whose id follows from the message's: handed in again after a restart it is the same one. One
// that was refused in its turn (it never ran, and the dispatcher had more than it could do) is followed by another one
// under the same Message-ID; one that failed is not, for it may have been delivered, or never will be.
type bounces struct {
	f       *Front
	inbox   host.Inbox
	through func(ids []string)
	closed  atomic.Bool
	done    host.Inbox // gets a value once the goroutine has ended; nil: it never began
}

var _ engine.Sink = (*Front)(nil)

func (b *bounces) init(f *Front) { b.f, b.inbox = f, f.host.NewInbox() }

// Start begins the telling of ends, once, on a goroutine of its own, which ends with Close. through is told the ids whose
// ends have been told; it must not block.
func (f *Front) Start(through func(ids []string)) {
	b := &f.bounces
	b.through, b.done = through, f.host.NewInbox()
	f.host.Go(func() {
		b.run()
		b.done.Put(nil)
	})
}

// Done takes the end of a message whose id Owns knows. It does not block. Of what was delivered, is over or was withdrawn
// nobody is told.
func (f *Front) Completed(d *engine.Done) {
	if d.Disposition == engine.Refused || d.Disposition == engine.Failed {
		f.bounces.inbox.Put(d)
	}
}

func (b *bounces) close() {
	b.closed.Store(true)
	b.inbox.Close()
	if b.done != nil {
		b.done.Take(nil, time.Time{})
	}
}

// end is one that is to be told.
type end struct {
	*engine.Done
	origin
	at time.Time // not before
}

// run tells ends until the inbox is closed. What waits is bounded by the engine, which has that many messages at most.
func (b *bounces) run() {
	var pending []*end
	for {
		until := time.Time{}
		if len(pending) > 0 {
			until = b.f.host.Now().Add(bounceRetry)
		}
		list := b.inbox.Take(nil, until)
		if b.closed.Load() { // what is not through the store still has
			return
		}
		now := b.f.host.Now()
		for _, v := range list {
			e := &end{Done: v.(*engine.Done), at: now}
			e.origin, _ = parseOrigin(e.ID)
			if e.nth > 0 {
				e.at = now.Add(min(max(e.RetryAfter, bounceRetry<<e.nth), bouncePause))
			}
			pending = append(pending, e)
		}
		due := make([]*end, 0, len(pending))
		for _, e := range pending {
			if !e.at.After(now) {
				due = append(due, e)
			}
		}
		told := map[string]bool{}
		for chunk := range slices.Chunk(due, bounceMost) {
			ids := b.tell(chunk)
			if len(ids) > 0 {
				b.through(ids)
			}
			for _, id := range ids {
				told[id] = true
			}
			if len(ids) < len(chunk) {
				break // no room: the others wait
			}
		}
		pending = slices.DeleteFunc(pending, func(e *end) bool { return told[e.ID] })
	}
}

// tell hands notifications in and returns the ids of those whose ends need no more.
func (b *bounces) tell(list []*end) (told []string) {
	var ids []string
	var messages []*engine.Message
	var until []time.Time
	now := b.f.host.Now()
	for _, e := range list {
		m, within := b.notification(e)
		if m == nil {
			told = append(told, e.ID)
			continue
		}
		ids, messages, until = append(ids, e.ID), append(messages, m), append(until, now.Add(within))
	}
	if len(messages) == 0 {
		return told
	}
	for i, v := range b.f.intake.SubmitEach(messages, until) {
		switch v.Kind {
		case engine.Accepted, engine.AlreadyEnded, engine.Conflict: // now, or in an earlier life of this process
			told = append(told, ids[i])
		case engine.Invalid:
			b.f.log.Error("a sender can't be told of a failure", "message", ids[i], "why", v.Reason)
			told = append(told, ids[i])
		}
	}
	return told
}

// notification is the message that tells an end, nil if nobody is to be told, or can be.
func (b *bounces) notification(e *end) (*engine.Message, time.Duration) {
	about, doubt, why := e.ID, e.InDoubt, e.Reason // the message that ended, and what is known of it
	of, own := e.origin, origin{nth: 1, how: e.Disposition}
	if e.nth > 0 {
		var ok bool
		if of, ok = parseOrigin(e.origin.id); !ok || e.Disposition != engine.Refused || e.nth >= bounceTries {
			b.f.log.Warn("a sender is not told of a failure: its notification has come to an end", "message", e.ID, "doubt", e.InDoubt, "why", e.Reason)
			return nil, 0
		}
		about, own.nth, own.how = e.origin.id, e.nth+1, e.origin.how
		doubt, why = own.how == engine.Failed, ""
	}
	if of.quiet || of.from == "" {
		b.f.log.Info("a mail has come to an end, and nobody is to be told", "message", e.ID, "doubt", e.InDoubt, "why", e.Reason)
		return nil, 0
	}
	r := b.f.route(of.from)
	if r == nil {
		b.f.log.Warn("a sender can't be told of a failure: no destination stands for its address", "message", e.ID, "doubt", e.InDoubt, "why", e.Reason)
		return nil, 0
	}
	b.f.log.Info("a sender is told of a failure", "message", e.ID, "trace", mail.TraceID(about), "doubt", doubt, "why", why)
	h := fnv.New128a()
	h.Write([]byte(about))
	id := fmt.Sprintf("<dsn-%x@%s>", h.Sum(nil), b.f.set.Name)
	own.to, own.id = mail.Canonical(of.from), about
	m := mail.Envelope{To: mail.Path{Addr: of.from}}
	m.Content = b.report(&engine.Done{Disposition: own.how, InDoubt: doubt, Reason: why}, &of, id)
	return &engine.Message{
		ID: own.String(), Class: r.Class, Tenant: r.Tenant, Destination: r.Dest, Key: id + " " + own.to, Body: m.Bytes(),
	}, r.Expires
}

// report is the content of a notification.
func (b *bounces) report(d *engine.Done, o *origin, id string) []byte {
	status, why := "4.4.7", "It was not delivered in its time."
	diagnostic := ""
	switch {
	case d.Reason != "":
		status, why = "5.0.0", "The server that it is for does not take it."
		if found := mail.Enhanced(5, d.Reason); found != "" {
			status = found
		}
		diagnostic = oneLine(d.Reason)
	case d.Disposition == engine.Refused:
		why = "It was not taken in its time. It may be sent again."
	case d.InDoubt:
		why = "It may have been delivered, but no proof of that has come. It is not sent again by itself."
	}
	kind, utf8 := "rfc822", !mail.ASCII(o.from+o.to)
	report := "message/delivery-status"
	encoding := ""
	if utf8 {
		kind, report, encoding = "utf-8", "message/global-delivery-status", "Content-Transfer-Encoding: 8bit\r\n"
	}
	bound := "=_" + strings.Trim(id, "<>")
	if i := strings.IndexByte(bound, '@'); i >= 0 {
		bound = bound[:i]
	}
	var s strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&s, format+"\r\n", args...) }
	w("From: <postmaster@%s>", b.f.set.Name)
	w("To: <%s>", o.from)
	w("Message-ID: %s", id)
	w("Date: %s", b.f.host.Wall().UTC().Format("Mon, 02 Jan 2006 15:04:05 +0000"))
	w("Subject: Mail not delivered")
	w("Auto-Submitted: auto-replied")
	w("In-Reply-To: %s", oneLine(o.id))
	w("MIME-Version: 1.0")
	w("Content-Type: multipart/report; report-type=delivery-status;\r\n boundary=\"%s\"", bound)
	w("")
	w("--%s\r\nContent-Type: text/plain; charset=utf-8\r\n%s", bound, encoding)
	w("Your mail %s", oneLine(o.id))
	w("to <%s>", o.to)
	w("has come to an end at %s. %s", b.f.set.Name, why)
	if diagnostic != "" {
		w("\r\n%s", diagnostic)
	}
	w("\r\n--%s\r\nContent-Type: %s\r\n%s", bound, report, encoding)
	w("Reporting-MTA: dns; %s", b.f.set.Name)
	w("")
	w("Final-Recipient: %s; %s", kind, o.to)
	w("Action: failed")
	w("Status: %s", status)
	if diagnostic != "" {
		w("Diagnostic-Code: smtp; %s", diagnostic)
	}
	w("\r\n--%s\r\nContent-Type: text/rfc822-headers\r\n", bound)
	w("Message-ID: %s", oneLine(o.id))
	w("\r\n--%s--", bound)
	return []byte(s.String())
}

// oneLine is a text as one line of a mail may hold it.
func oneLine(s string) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, s)
	return s[:min(len(s), 400)]
}

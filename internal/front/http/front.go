// Package httpfront takes messages from clients over HTTP/1.1 and hands them to the engine. It knows HTTP's statuses
// and what a request looks like; whether a message is taken is the engine's to say.
//
// It serves on a host.Host: one goroutine for each connection, which waits nowhere else than host.Host allows, so that
// the same code runs on a simulated machine.
package httpfront

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	acceptPause    = 5 * time.Millisecond   // after an accept that failed, and twice as long after each that follows ...
	acceptPauseMax = 100 * time.Millisecond // ... up to this
	turnedAway     = time.Second            // what a client is told when nobody else says when to come again
)

// Settings are what a front goes by.
type Settings struct {
	Classes []Class
	Tenants []string // names; with none any tenant will do
	Conns   int      // connections of clients at once, at least 1
	Transit int64    // bytes that requests may hold until they are answered, over all clients; small ones pass in any case

	// Admit tells, before anything of a request but its head is read, whether there is a core for its message, and if
	// not, after how long it may come again. It is called from many goroutines and does not block. nil takes all.
	Admit func(now time.Time) (again time.Duration, ok bool)

	// Pages answer GETs of their paths, which begin with /-/. They are called on clients' goroutines, several at a time,
	// and may block as host.Host allows, for some seconds. A GET of another path is refused like any other.
	Pages map[string]func() Page
}

// Page is a text for whoever asks, written as it is by several goroutines at once: it must not change.
type Page struct {
	Text  []byte
	Type  string        // of its content
	Again time.Duration // where there is no text now: after how long there may be one
}

// Class is a class of messages. Names of classes and tenants are those of the settings, in which spaces and commas have
// become underscores; clients may send them as they were.
type Class struct {
	Name     string
	NeedsKey bool // its messages must have an Idempotency-Key
}

// Front serves those who hand in messages. Its methods are safe for concurrent use.
type Front struct {
	// Ready says that messages may be handed to the intake; until then clients are turned away.
	Ready atomic.Bool
	// Closing makes the answer to each request that comes from then on the last on its connection.
	Closing atomic.Bool

	host    host.Host
	intake  engine.Intake
	admit   func(now time.Time) (again time.Duration, ok bool)
	pages   map[string]func() Page
	reading atomic.Int32 // pages that are being made or written
	log     *slog.Logger
	classes map[string]Class
	tenants map[string]string // a name by itself, so that what is kept is not the client's copy
	transit budget
	table   *connectionTable
}

// New makes a front that hands messages to intake, whose HandIn must come back for Close to do so.
func New(set Settings, h host.Host, intake engine.Intake, log *slog.Logger) *Front {
	rarely := func() *slog.Logger { return slog.New(&seldomHandler{Handler: log.Handler(), state: &seldom{host: h}}) }
	f := &Front{
		host: h, intake: intake, admit: set.Admit, pages: set.Pages, log: rarely(),
		classes: map[string]Class{}, tenants: map[string]string{}, table: newConnectionTable(h, max(set.Conns, 1)),
	}
	for _, c := range set.Classes {
		f.classes[c.Name] = c
	}
	for _, t := range set.Tenants {
		f.tenants[t] = t
	}
	f.table.log = rarely()
	f.transit.set(set.Transit)
	return f
}

// Serve answers on l, once, until Shutdown or Close, which make it return nil, or until l is closed, which is an error. It
// closes l. It blocks, on a goroutine of the host.
func (f *Front) Serve(l net.Listener) error {
	defer l.Close()
	if !f.table.opens(l) {
		return nil
	}
	defer f.table.leave()
	pause := time.Duration(0)
	for {
		nc, err := f.table.accept(l)
		switch {
		case err == nil:
			pause = 0
			if c := f.table.enter(nc); c != nil {
				f.host.Go(func() { f.serve(c) })
			}
		case errors.Is(err, errStopped):
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("clients: %w", err)
		default: // of the machine, or of a connection that failed before it was accepted: the listener goes on (accept(2))
			if pause = min(max(acceptPause, 2*pause), acceptPauseMax); !host.IsShortage(err) || f.table.evictOne() {
				pause = acceptPause
			}
			f.log.Warn("a connection can't be accepted", "error", err, "pause", pause)
			f.table.halt.Take(nil, f.host.Now().Add(pause))
		}
	}
}

// Shutdown takes no new connection but those that are up already, lets those go that have no request open, and waits
// until the others have their answers, or until the time given (zero: for ever), which gives an error.
func (f *Front) Shutdown(until time.Time) error {
	f.table.stop()
	if !f.table.await(until) {
		return errors.New("clients were still sending")
	}
	return nil
}

// Close ends every connection at once, and waits until all goroutines of the front have ended. The intake must go on
// answering until then.
func (f *Front) Close() {
	f.table.stop()
	f.table.clear()
	f.table.await(time.Time{})
}

// reply is what a client is told.
type reply struct {
	status int
	why    string        // "" for none
	again  time.Duration // Retry-After, 0 for none
	paced  bool          // whoever was told so may ask the same at once: the answer waits for its turn
	final  bool          // what follows on the connection can't be trusted
	page   Page          // instead of why, where it has a text
}

// reply finds the answer to a request whose head was read.
func (f *Front) reply(c *client, r *http1.Request) reply {
	if r.Path == "/-/ready" && (r.Method == http.MethodGet || r.Method == http.MethodHead) && framed(r) == nil {
		if !f.Ready.Load() {
			return reply{status: http.StatusServiceUnavailable, why: "not ready"}
		}
		return reply{status: http.StatusOK}
	}
	if write := f.pages[r.Path]; write != nil && r.Method == http.MethodGet && framed(r) == nil {
		return f.show(write)
	}
	return f.handIn(c, r)
}

// pagesMost is how many pages are made or written at once. Who takes a page slowly holds one until the answer's time is
// over, and its text for so long.
const pagesMost = 4

// show has a page made. What begins here ends when the answer is written: see exchange.
func (f *Front) show(write func() Page) reply {
	if f.reading.Add(1) > pagesMost {
		f.reading.Add(-1)
		return reply{status: http.StatusServiceUnavailable, why: "others are reading", again: turnedAway}
	}
	p := write()
	if len(p.Text) > 0 {
		return reply{status: http.StatusOK, page: p}
	}
	f.reading.Add(-1)
	return reply{status: http.StatusServiceUnavailable, why: "there are no figures now", again: cmp.Or(p.Again, turnedAway)}
}

// handIn checks a request and hands its message to the engine.
func (f *Front) handIn(c *client, r *http1.Request) reply {
	now := f.host.Now()
	if no := framed(r); no != nil {
		return no.reply()
	}
	if r.Method != http.MethodPost {
		return (&refusal{status: http.StatusMethodNotAllowed, why: "method: want POST"}).reply()
	}
	if f.admit != nil {
		if again, ok := f.admit(now); !ok {
			return reply{status: http.StatusServiceUnavailable, why: "more comes than can be done", again: again}
		}
	}
	m := &engine.Message{}
	expires, no := f.parse(r.Path, r, m)
	r.Release()
	if no != nil {
		return no.reply()
	}
	charged, no := f.readBody(c, m)
	defer func() { f.transit.give(charged) }() // what is taken is charged by the engine
	switch {
	case c.preempted.Load():
		return noRoom
	case no != nil:
		return no.reply()
	case c.unread > 0:
		return reply{status: http.StatusServiceUnavailable, why: "no memory is left for bodies", again: turnedAway}
	case !f.Ready.Load():
		return reply{status: http.StatusServiceUnavailable, why: "not ready", again: turnedAway}
	}
	if host.PeerClosed(c.Conn) { // its client may hand it in elsewhere by now
		f.table.counters.left.Add(1)
		f.log.Warn("a message is not submitted", "why", "its client has closed the connection", "message", m.ID, "client", c.RemoteAddr())
		return reply{status: http.StatusServiceUnavailable, why: "the client has closed the connection", again: turnedAway, final: true}
	}
	f.table.received(c)
	return answerTo(f.intake.Submit(m, now.Add(expires)))
}

// named says in HTTP's terms which field is at fault, where the engine names one of its own.
func named(why string) string {
	field, rest, ok := strings.Cut(why, ": ")
	if !ok {
		return why
	}
	for _, f := range [...][2]string{
		{"id", "X-Trace-Id"}, {"class", "X-Qos"}, {"tenant", "X-Customer"}, {"destination", "Envelope"},
		{"key", "Idempotency-Key"}, {"expiry", "X-Expires-In-Ms"},
	} {
		if f[0] == field {
			return f[1] + ": " + rest
		}
	}
	return why
}

// answerTo is HTTP's answer for each verdict.
func answerTo(v engine.Verdict) reply {
	v.Reason = named(v.Reason)
	switch v.Kind {
	case engine.Accepted:
		return reply{status: http.StatusAccepted}
	case engine.Busy:
		return reply{status: http.StatusServiceUnavailable, why: v.Reason, again: cmp.Or(v.RetryAfter, turnedAway)}
	case engine.UnknownDestination: // it may be a destination that never was, and whoever invents one asks again at once
		return reply{status: http.StatusServiceUnavailable, why: v.Reason, again: cmp.Or(v.RetryAfter, turnedAway), paced: true}
	case engine.Conflict:
		return reply{status: http.StatusConflict, why: v.Reason, paced: true}
	case engine.AlreadyEnded:
		return reply{status: http.StatusGone, why: v.Reason, paced: true}
	case engine.Invalid:
		return reply{status: http.StatusBadRequest, why: v.Reason, paced: true}
	case engine.Unconfirmed:
		return reply{status: http.StatusInternalServerError, why: v.Reason}
	}
	return reply{status: http.StatusInternalServerError, why: fmt.Sprintf("verdict %d is unknown", v.Kind)}
}

// Package mailfront takes mails from clients over SMTP (RFC 5321) and LMTP (RFC 2033) and hands them to the engine: each
// recipient is a message. It knows mail's replies, and which recipients stand for which destinations; whether a message
// is taken is the engine's to say. The end of a message that came by mail it tells the sender (RFC 3464).
//
// It serves on a host.Host: one goroutine for each connection, which waits nowhere else than host.Host allows, so that
// the same code runs on a simulated machine.
package mailfront

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

// Settings are what a front goes by. Where a bound is 0 its default counts.
type Settings struct {
	Name    string // of this machine, in greetings and in what is told to senders
	Routes  []Route
	Classes map[string]Class
	TLS     *tls.Config // for STARTTLS; nil: not offered
	Size    int64       // bytes that a mail may hold
	Rcpts   int         // recipients of one mail
	Conns   int         // connections at once
	Transit int64       // bytes of mails that may be read and not yet answered, over all clients
	Random  func() uint64

	// Admit tells whether there is a core for one more mail; it is asked at MAIL, from many goroutines, and does not
	// block. nil takes all.
	Admit func(now time.Time) (again time.Duration, ok bool)
}

// Class is what a front knows of a class of messages.
type Class struct{ NeedsID bool } // its messages must be known again by their Message-ID: it is keyed or unsafe

// Route says what becomes of mails for a recipient. The first that fits counts.
type Route struct {
	Recipient    string // an address, or "@domain" for all of it
	Dest         int
	Class        string
	Tenant       string
	Expires      time.Duration
	ClassField   string // header fields by which a mail may say otherwise; "" for none
	TenantField  string
	ExpiresField string // seconds, at most Expires
}

// Defaults and bounds.
const (
	defaultSize    = 1 << 20
	defaultRcpts   = 100
	defaultConns   = 100
	defaultTransit = 8 << 20

	mostHops    = 100 // Received fields, from which on a mail goes in a circle (RFC 5321, 6.3)
	commandTime = 5 * time.Minute
	mailTime    = 10 * time.Minute // a mail must be there within this
	writeTime   = time.Minute
	evictAfter  = 5 * time.Second // a connection that is idle for so long may be closed for another

	acceptPause    = 5 * time.Millisecond // after an accept that failed, and twice as long after each that follows ...
	acceptPauseMax = time.Second          // ... up to this
)

func (s *Settings) fill() {
	s.Size = cmp.Or(s.Size, defaultSize)
	s.Rcpts = cmp.Or(s.Rcpts, defaultRcpts)
	s.Conns = cmp.Or(s.Conns, defaultConns)
	s.Transit = cmp.Or(s.Transit, defaultTransit)
}

// Front serves those who hand in mails. Its methods are safe for concurrent use.
type Front struct {
	// Ready says that messages may be handed to the intake; until then clients are turned away.
	Ready atomic.Bool

	host    host.Host
	set     Settings
	intake  engine.GroupIntake
	log     *slog.Logger
	transit atomic.Int64 // left
	bounces bounces

	mu        sync.Mutex
	sessions  map[*session]bool
	listeners []net.Listener
	came      uint64
	running   int // goroutines
	empty     []host.Inbox
	halt      host.Inbox // closed by stop
	stopping  bool       // no new mail begins
	closed    bool
}

// New makes a front that hands messages to intake, whose methods must come back for Close to do so.
func New(set Settings, h host.Host, intake engine.GroupIntake, log *slog.Logger) *Front {
	set.fill()
	f := &Front{host: h, set: set, intake: intake, log: log, sessions: map[*session]bool{}, halt: h.NewInbox()}
	f.transit.Store(set.Transit)
	f.bounces.init(f)
	return f
}

// Serve answers on l in a protocol until Shutdown or Close, which make it return nil; any other error is the listener's.
// It closes l. It blocks, on a goroutine of the host; there may be one for each listener.
func (f *Front) Serve(l net.Listener, p mail.Protocol) error {
	defer l.Close()
	f.mu.Lock()
	if f.stopping {
		f.mu.Unlock()
		return nil
	}
	f.listeners = append(f.listeners, l)
	f.running++
	f.mu.Unlock()
	defer f.leave()
	pause := time.Duration(0)
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			pause = 0
			if s := f.enter(nc, p); s != nil {
				f.host.Go(func() {
					defer f.leave()
					s.serve()
					f.drop(s)
				})
			}
		case f.stops():
			return nil
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("mail clients: %w", err)
		default: // of the machine, or of a connection that failed before it was accepted: the listener goes on (accept(2))
			pause = min(max(acceptPause, 2*pause), acceptPauseMax)
			f.log.Warn("a mail client's connection can't be accepted", "error", err, "pause", pause)
			f.halt.Take(nil, f.host.Now().Add(pause))
		}
	}
}

// enter lets a connection in, in place of the one that has been idle for longest if there are as many as may be. With no
// room it is told so and closed.
func (f *Front) enter(nc net.Conn, p mail.Protocol) *session {
	now := f.host.Now()
	f.mu.Lock()
	var out *session
	if len(f.sessions) >= f.set.Conns {
		for s := range f.sessions {
			if !s.busy && now.Sub(s.since) >= evictAfter && (out == nil || s.since.Before(out.since) || s.since.Equal(out.since) && s.n < out.n) {
				out = s
			}
		}
		if out != nil {
			delete(f.sessions, out)
		}
	}
	if f.stopping || len(f.sessions) >= f.set.Conns {
		f.mu.Unlock()
		nc.SetWriteDeadline(now.Add(time.Millisecond))
		fmt.Fprintf(nc, "421 %s too many connections\r\n", f.set.Name)
		nc.Close()
		return nil
	}
	f.came++
	s := newSession(f, nc, p, f.came, now)
	f.sessions[s] = true
	f.running++
	f.mu.Unlock()
	if out != nil {
		out.raw.Close()
	}
	return s
}

// drop closes a session's connection.
func (f *Front) drop(s *session) {
	f.mu.Lock()
	delete(f.sessions, s)
	f.mu.Unlock()
	s.raw.Close()
}

// rest says that a session has no command open, and tells whether another may come: not once all stops.
func (f *Front) rest(s *session) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.busy, s.since = false, f.host.Now()
	return !f.stopping && f.sessions[s]
}

// begin says that a command has come.
func (f *Front) begin(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.busy = true
}

func (f *Front) stops() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// leave says that a goroutine has ended.
func (f *Front) leave() {
	f.mu.Lock()
	var told []host.Inbox
	if f.running--; f.running == 0 {
		told, f.empty = f.empty, nil
	}
	f.mu.Unlock()
	for _, b := range told {
		b.Put(nil)
	}
}

// await waits until all goroutines have ended, or until the time given, and tells whether they have.
func (f *Front) await(until time.Time) bool {
	f.mu.Lock()
	if f.running == 0 {
		f.mu.Unlock()
		return true
	}
	told := f.host.NewInbox()
	f.empty = append(f.empty, told)
	f.mu.Unlock()
	return len(told.Take(nil, until)) > 0
}

// stop closes the listeners and lets sessions go that have no command open; the others end behind their next reply.
func (f *Front) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return
	}
	f.stopping = true
	f.halt.Close()
	for _, l := range f.listeners {
		l.Close()
	}
	for _, s := range f.inOrder() {
		if !s.busy {
			s.raw.SetReadDeadline(f.host.Now()) // it is told so, and closes
		}
	}
}

// inOrder lists the sessions as they came: on a simulated machine the order shows. The lock is held.
func (f *Front) inOrder() []*session {
	list := make([]*session, 0, len(f.sessions))
	for s := range f.sessions {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *session) int { return cmp.Compare(a.n, b.n) })
	return list
}

// Shutdown takes no new connection, lets those go that have no mail under way, and waits until the others have their
// replies, or until the time given (zero: for ever), which gives an error.
func (f *Front) Shutdown(until time.Time) error {
	f.stop()
	if !f.await(until) {
		return errors.New("mail clients were still sending")
	}
	return nil
}

// Close ends every connection at once, and the telling of ends, and waits until all goroutines of the front have ended.
// The intake must go on answering until then.
func (f *Front) Close() {
	f.stop()
	f.mu.Lock()
	f.closed = true
	list := f.inOrder()
	f.mu.Unlock()
	for _, s := range list {
		s.raw.Close()
	}
	f.await(time.Time{})
	f.bounces.close()
}

// route finds what becomes of mails for an address, nil if nothing does: then it is none of ours.
func (f *Front) route(addr string) *Route {
	_, domain := mail.Split(mail.Canonical(addr))
	for i := range f.set.Routes {
		r := &f.set.Routes[i]
		if of, whole := strings.CutPrefix(r.Recipient, "@"); whole && strings.EqualFold(of, domain) && domain != "" ||
			!whole && mail.Canonical(r.Recipient) == mail.Canonical(addr) {
			return r
		}
	}
	return nil
}

// charge takes room for bytes of mails in transit, and tells whether there was any.
func (f *Front) charge(n int64) bool {
	if f.transit.Add(-n) < 0 {
		f.transit.Add(n)
		return false
	}
	return true
}

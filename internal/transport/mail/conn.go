package mailtransport

import (
	"bufio"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
)

// Time limits of RFC 5321, 4.5.3.2. All are bounded by the time of the messages.
const (
	greetingTime = 5 * time.Minute
	commandTime  = 5 * time.Minute // EHLO, STARTTLS, AUTH, MAIL, RCPT, RSET
	dataTime     = 2 * time.Minute // to the 354
	blockTime    = 3 * time.Minute // for each block that is written
	finalTime    = 10 * time.Minute

	tidyTime = 2 * time.Second       // for replies that are read only so that the connection may go on
	quitTime = 10 * time.Millisecond // a QUIT that nobody takes at once is left out
)

const bufferSize = 1 << 10

// extensions are what a server offers.
type extensions struct {
	pipelining, eightBit, utf8, chunking, dsn, startTLS bool

	size  int64 // 0: no limit is told
	auth  []string
	mails int // over one connection (LIMITS, RFC 9422), 0: not told
	rcpts int // of one transaction, 0: not told
}

// conn is a connection to an endpoint.
type conn struct {
	t    *Transport
	peer *peer
	kind int
	raw  net.Conn // as it was dialled
	nc   net.Conn // raw, or TLS over it
	br   *bufio.Reader
	ext  extensions
	stop func() // closes it; made once

	mails int  // transactions that were begun
	open  bool // the last one did not end by itself: RSET comes before the next
	over  bool // QUIT was written
	used  time.Time

	// Of what is being read:
	until time.Time        // it is waited for no longer
	late  func() time.Time // until is up: until when to wait on, or the zero time; nil: no longer
}

var (
	// errSlow says that the time was up in which a reply was due.
	errSlow = errors.New("no reply in time")

	// errClosing says that the server closes the connection, or that the call was called off.
	errClosing = errors.New("the connection is over")

	// errNobody says that a server wants the content of a mail that it has refused for every recipient.
	errNobody = errors.New("a 354 with no recipient accepted")

	// errTLS says that a connection is not as secure as the policy wants it.
	errTLS = errors.New("TLS")
)

// refused is a reply by which the server says no.
type refused struct {
	stage string
	reply mail.Reply
}

func (r *refused) Error() string { return r.stage + ": " + r.reply.String() }

func newConn(k *call, nc net.Conn) *conn {
	c := &conn{t: k.t, peer: k.peer, kind: k.Kind, raw: nc, nc: nc}
	c.br = bufio.NewReaderSize((*source)(c), bufferSize)
	c.stop = func() { c.raw.Close() }
	return c
}

// source is where the buffer reads from: it bounds the time.
type source conn

func (s *source) Read(b []byte) (int, error) {
	for {
		if err := s.raw.SetReadDeadline(s.until); err != nil {
			return 0, err
		}
		n, err := s.nc.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		s.until = time.Time{}
		if s.late != nil {
			s.until = s.late()
		}
		if s.until.IsZero() {
			return 0, errSlow
		}
	}
}

// reply reads a reply that must come by the time given.
func (c *conn) reply(until time.Time, late func() time.Time) (mail.Reply, error) {
	c.until, c.late = until, late
	return mail.ReadReply(c.br)
}

// write writes commands, or a block of a mail.
func (c *conn) write(b []byte, until time.Time) error {
	if err := c.raw.SetWriteDeadline(until); err != nil {
		return err
	}
	_, err := c.nc.Write(b)
	return err
}

// clean tells that nothing has come on a connection between two transactions, neither bytes nor its end: whatever does
// can't be told from a reply. It does not block.
func (c *conn) clean() bool { return c.br.Buffered() == 0 && !host.Readable(c.raw) }

// quit closes a connection that has no mail under way, with a word of farewell. It does not block.
func (c *conn) quit() {
	if !c.over && c.clean() {
		_ = c.write([]byte("QUIT\r\n"), c.t.host.Now().Add(quitTime)) // it is only a courtesy
	}
	c.raw.Close()
}

// ---- from the dial to MAIL ----

// connect makes a connection that is ready for MAIL, or ends all items: none of them has run.
func (k *call) connect() *conn {
	p := k.t.set.Partners[k.Kind]
	policy := p.TLS
	for {
		nc := k.dial()
		if nc == nil {
			return nil
		}
		c := newConn(k, nc)
		k.abort.On(c.stop)
		err := c.prepare(&p, policy, k.t.clock.Time(k.last()))
		if err == nil {
			return c
		}
		k.abort.On(nil)
		c.raw.Close()
		if policy == TLSOpportunistic && errors.Is(err, errTLS) && !k.abort.Done() {
			policy = TLSOff
			continue
		}
		k.unready(&p, err)
		return nil
	}
}

// unready ends all items, as a connection did not come to MAIL.
func (k *call) unready(p *Partner, err error) {
	var no *refused
	switch {
	case k.abort.Done():
		k.end(engine.Outcome{Result: control.Moot})
	case errors.As(err, &no) && no.reply.Kind() == 4:
		k.end(engine.Outcome{Result: control.Refused, RetryAfter: p.wait(no.reply.Code)})
	default:
		k.t.warn(k.peer, "a mail server can't be used", "error", err)
		k.end(engine.Outcome{Result: control.ConnectFailed})
	}
}

// wait is the wait that a code tells.
func (p *Partner) wait(code int) time.Duration {
	switch code {
	case 421:
		return p.BusyWait
	case 450, 451:
		return p.GreyWait
	}
	return 0
}

// dial makes a connection, or ends all items.
func (k *call) dial() net.Conn {
	last := k.t.clock.Time(k.last())
	limit, rest := k.t.set.ConnectTimeout, max(last.Sub(k.t.host.Now()), 1)
	due := limit <= 0 || rest < limit
	if due {
		limit = rest
	}
	nc, err := k.t.host.Dial(k.Addr, limit, &k.abort)
	var timeout net.Error
	switch {
	case err == nil:
		return nc
	case k.abort.Done(), due && errors.As(err, &timeout) && timeout.Timeout(), !k.t.host.Now().Before(last), ours(err):
		k.end(engine.Outcome{Result: control.Moot}) // it says nothing about the endpoint
	default:
		k.end(engine.Outcome{Result: control.ConnectFailed})
	}
	return nil
}

// ours tells that a dial failed for want of something on this side.
func ours(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// prepare brings a new connection to where MAIL may come.
func (c *conn) prepare(p *Partner, policy TLS, last time.Time) error {
	if policy == TLSImplicit {
		if err := c.encrypt(p, policy, last); err != nil {
			return err
		}
	}
	r, err := c.reply(c.within(greetingTime, last), nil)
	switch {
	case err != nil:
		return fmt.Errorf("greeting: %w", err)
	case r.Code != 220:
		return &refused{"greeting", r}
	}
	if err := c.hello(p, last); err != nil {
		return err
	}
	if policy == TLSOpportunistic && c.ext.startTLS || policy == TLSRequired {
		if err := c.startTLS(p, policy, last); err != nil {
			return err
		}
	}
	if p.User != "" {
		if err := c.authenticate(p, last); err != nil {
			return err
		}
	}
	return nil
}

// within is a time limit, bounded.
func (c *conn) within(limit time.Duration, last time.Time) time.Time {
	if at := c.t.host.Now().Add(limit); at.Before(last) {
		return at
	}
	return last
}

// ask sends one command and reads its reply.
func (c *conn) ask(stage, line string, last time.Time) (mail.Reply, error) {
	if err := c.write([]byte(line+"\r\n"), c.within(commandTime, last)); err != nil {
		return mail.Reply{}, fmt.Errorf("%s: %w", stage, err)
	}
	r, err := c.reply(c.within(commandTime, last), nil)
	if err != nil {
		return r, fmt.Errorf("%s: %w", stage, err)
	}
	return r, nil
}

// hello says who is here and learns what the server offers; what it offered before counts no more.
func (c *conn) hello(p *Partner, last time.Time) error {
	c.ext = extensions{}
	verb := "EHLO"
	if p.Protocol == mail.LMTP {
		verb = "LHLO"
	}
	r, err := c.ask(verb, verb+" "+c.t.set.Name, last)
	if err == nil && r.Kind() == 5 && verb == "EHLO" { // a server from before RFC 1869
		verb = "HELO"
		r, err = c.ask(verb, verb+" "+c.t.set.Name, last)
	}
	switch {
	case err != nil:
		return err
	case r.Code != 250:
		return &refused{verb, r}
	case verb != "HELO":
		c.ext.read(r.Lines)
	}
	return nil
}

// read reads what a server offers. What can't be read is not offered.
func (x *extensions) read(lines []string) {
	for i, l := range lines {
		words := strings.Fields(l)
		if i == 0 || len(words) == 0 {
			continue // its name
		}
		switch strings.ToUpper(words[0]) {
		case "PIPELINING":
			x.pipelining = true
		case "8BITMIME":
			x.eightBit = true
		case "SMTPUTF8":
			x.utf8 = true
		case "CHUNKING":
			x.chunking = true
		case "DSN":
			x.dsn = true
		case "STARTTLS":
			x.startTLS = true
		case "SIZE":
			if len(words) > 1 {
				x.size, _ = strconv.ParseInt(words[1], 10, 64)
				x.size = max(x.size, 0)
			}
		case "AUTH":
			x.auth = words[1:]
		case "LIMITS":
			for _, w := range words[1:] {
				name, value, _ := strings.Cut(w, "=")
				n, err := strconv.Atoi(value)
				if err != nil || n <= 0 {
					continue
				}
				switch strings.ToUpper(name) {
				case "MAILMAX":
					x.mails = n
				case "RCPTMAX":
					x.rcpts = n
				}
			}
		}
	}
}

// startTLS encrypts a connection that has begun in plain text. Whatever was said before counts no more, and what a server
// (or somebody between) sent along behind its reply is a fault.
func (c *conn) startTLS(p *Partner, policy TLS, last time.Time) error {
	if !c.ext.startTLS {
		return fmt.Errorf("%w: the server does not offer STARTTLS", errTLS)
	}
	r, err := c.ask("STARTTLS", "STARTTLS", last)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errTLS, err)
	case r.Code != 220 && policy == TLSOpportunistic:
		return nil // it goes on in plain text
	case r.Code != 220:
		return &refused{"STARTTLS", r}
	case c.br.Buffered() > 0:
		return fmt.Errorf("%w: bytes in plain text behind the reply to STARTTLS", errTLS)
	}
	if err := c.encrypt(p, policy, last); err != nil {
		return err
	}
	return c.hello(p, last)
}

func (c *conn) encrypt(p *Partner, policy TLS, last time.Time) error {
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if p.Config != nil {
		config = p.Config.Clone()
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(c.peer.addr)
	}
	if config.Time == nil {
		config.Time = c.t.host.Wall
	}
	if policy == TLSOpportunistic {
		config.InsecureSkipVerify = true // whoever can change what passes could as well hide that TLS is offered
	}
	if err := c.raw.SetDeadline(c.within(commandTime, last)); err != nil {
		return fmt.Errorf("%w: %w", errTLS, err)
	}
	secure := tls.Client(c.raw, config)
	if err := secure.Handshake(); err != nil {
		return fmt.Errorf("%w: %w", errTLS, err)
	}
	c.nc = secure
	return nil
}

var errAuth = errors.New("AUTH")

func (c *conn) authenticate(p *Partner, last time.Time) error {
	if _, ok := c.nc.(*tls.Conn); !ok || p.TLS == TLSOpportunistic {
		return fmt.Errorf("%w: the password is told over verified TLS only", errAuth)
	}
	offered := func(name string) bool {
		for _, m := range c.ext.auth {
			if strings.EqualFold(m, name) {
				return true
			}
		}
		return false
	}
	encode := func(s string) string { return base64.StdEncoding.EncodeToString([]byte(s)) }
	var lines []string
	switch {
	case offered("PLAIN"):
		lines = []string{"AUTH PLAIN " + encode("\x00"+p.User+"\x00"+p.Password)}
	case offered("LOGIN"):
		lines = []string{"AUTH LOGIN", encode(p.User), encode(p.Password)}
	default:
		return fmt.Errorf("%w: the server offers neither PLAIN nor LOGIN", errAuth)
	}
	for i, l := range lines {
		r, err := c.ask("AUTH", l, last)
		switch {
		case err != nil:
			return err
		case i < len(lines)-1 && r.Code == 334, i == len(lines)-1 && r.Code == 235:
		default:
			return &refused{"AUTH", r}
		}
	}
	return nil
}

// gone tells that a connection ended, as one does that the server has closed meanwhile.
func gone(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed) || errors.Is(err, errClosing)
}

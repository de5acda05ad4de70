package mailfront

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"curlewmux/internal/mail"
)

const (
	bufferSize  = 1 << 10
	lineMost    = 2 << 10  // bytes of a command: RFC 5321's 512, and room for parameters (4.5.3.1.4)
	discardMost = 64 << 10 // bytes of a longer one that are read for a reply to it
	faultsMost  = 20       // commands that are none, before a client is let go
	chargeStep  = 4 << 10  // bytes that are charged at a time
	overMost    = 4        // times the size allowed is what is read of a mail that is too large
)

// session is one connection. What is not under the front's lock belongs to its goroutine.
type session struct {
	f        *Front
	protocol mail.Protocol
	n        uint64   // in the order in which they came
	raw      net.Conn // as it was accepted
	nc       net.Conn // raw, or TLS over it
	br       *bufio.Reader
	out      []byte    // replies that are not written yet
	until    time.Time // when what is being read must be there
	secure   bool

	greeted bool // after EHLO, LHLO or HELO
	faults  int
	mail    *transaction // nil: none is open

	// Under the front's lock.
	busy  bool      // a command is open
	since time.Time // when it came, or when the last command was over
}

// transaction is a mail that a client is about to hand in.
type transaction struct {
	from    mail.Path
	utf8    bool // it may hold letters beyond ASCII in addresses and in the header
	rcpts   []recipient
	body    []byte // the content so far
	looked  mail.Content
	charged int64
	size    int64 // bytes of the content that came
	over    bool  // it is too large
	noRoom  bool  // there was no room for it
	chunks  bool  // BDAT has begun
}

type recipient struct {
	path  mail.Path
	route *Route
}

func newSession(f *Front, nc net.Conn, p mail.Protocol, n uint64, now time.Time) *session {
	s := &session{f: f, protocol: p, n: n, raw: nc, nc: nc, since: now}
	s.br = bufio.NewReaderSize((*source)(s), bufferSize)
	return s
}

// source is where the buffer reads from. Replies leave before anything is waited for, and so those to commands that came
// together leave together.
type source session

func (r *source) Read(b []byte) (int, error) {
	s := (*session)(r)
	if err := s.flush(); err != nil {
		return 0, err
	}
	if err := s.arm(); err != nil {
		return 0, err
	}
	return s.nc.Read(b)
}

// arm sets the deadline of the next read, unless all stops and nobody is owed a reply.
func (s *session) arm() error {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	until := s.until
	if s.f.stopping && !s.busy {
		until = s.f.host.Now()
	}
	return s.raw.SetReadDeadline(until)
}

func (s *session) flush() error {
	if len(s.out) == 0 {
		return nil
	}
	if err := s.raw.SetWriteDeadline(s.f.host.Now().Add(writeTime)); err != nil {
		return err
	}
	_, err := s.nc.Write(s.out)
	s.out = s.out[:0]
	return err
}

func (s *session) reply(code int, text string) {
	s.out = fmt.Appendf(s.out, "%d %s\r\n", code, text)
}

// serve answers a client's commands, one after the other.
func (s *session) serve() {
	defer s.reset()
	s.reply(220, s.f.set.Name+" "+map[mail.Protocol]string{mail.SMTP: "ESMTP", mail.LMTP: "LMTP"}[s.protocol]+" curlewmux")
	for {
		s.until = s.f.host.Now().Add(commandTime)
		if !s.f.rest(s) {
			break
		}
		line, err := s.line()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				break
			}
			s.flush()
			return
		}
		s.f.begin(s)
		if !s.command(line) {
			s.flush()
			return
		}
	}
	s.reply(421, "4.4.2 "+s.f.set.Name+" closing the connection")
	s.flush()
}

// line reads a command without its end. One that is too long comes as one that is none.
func (s *session) line() (string, error) {
	var long []byte
	for read := 0; ; {
		part, err := s.br.ReadSlice('\n')
		if read += len(part); len(long)+len(part) <= lineMost {
			long = append(long, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && read <= discardMost:
		case err != nil:
			return "", err
		case read > lineMost:
			return "\x00", nil
		default:
			return string(long), nil
		}
	}
}

// command carries a command out and tells whether another may follow.
func (s *session) command(line string) bool {
	text, whole := strings.CutSuffix(line, "\r\n")
	c, ok := mail.ParseCommand(text)
	switch {
	case !whole && line != "\x00": // whoever ends lines otherwise may mean something else by what follows
		s.reply(500, "5.5.2 a command ends with CRLF")
		return false
	case !ok:
		return s.fault(500, "5.5.2 no command")
	}
	switch c.Verb {
	case "EHLO", "LHLO":
		if (c.Verb == "LHLO") != (s.protocol == mail.LMTP) {
			return s.fault(500, "5.5.1 this is "+strings.ToUpper(s.protocol.String()))
		}
		return s.hello(c.Arg, true)
	case "HELO":
		if s.protocol == mail.LMTP {
			return s.fault(500, "5.5.1 this is LMTP")
		}
		return s.hello(c.Arg, false)
	case "STARTTLS":
		return s.startTLS(c.Arg)
	case "MAIL":
		return s.sender(&c)
	case "RCPT":
		return s.recipient(&c)
	case "DATA":
		return s.data(c.Arg)
	case "BDAT":
		return s.chunk(c.Arg)
	case "RSET":
		s.reset()
		s.reply(250, "2.0.0 ok")
	case "NOOP":
		s.reply(250, "2.0.0 ok")
	case "VRFY":
		s.reply(252, "2.5.2 try it")
	case "HELP":
		s.reply(214, "2.0.0 RFC 5321")
	case "QUIT":
		s.reply(221, "2.0.0 bye")
		return false
	default:
		return s.fault(502, "5.5.1 not implemented")
	}
	return true
}

// fault replies to what is no proper command. A client that goes on so is let go.
func (s *session) fault(code int, text string) bool {
	if s.faults++; s.faults > faultsMost {
		s.reply(421, "4.7.0 too many errors")
		return false
	}
	s.reply(code, text)
	return true
}

// reset ends a transaction that is open.
func (s *session) reset() {
	if s.mail != nil {
		s.f.transit.Add(s.mail.charged)
		s.mail = nil
	}
}

func (s *session) hello(arg string, extended bool) bool {
	if arg == "" {
		return s.fault(501, "5.5.4 who are you?")
	}
	s.reset()
	s.greeted = true
	if !extended {
		s.reply(250, s.f.set.Name)
		return true
	}
	lines := []string{
		s.f.set.Name, "PIPELINING", "SIZE " + strconv.FormatInt(s.f.set.Size, 10), "8BITMIME", "SMTPUTF8", "CHUNKING", "DSN",
		"ENHANCEDSTATUSCODES",
	}
	if s.f.set.TLS != nil && !s.secure {
		lines = append(lines, "STARTTLS")
	}
	for i, l := range lines {
		sep := '-'
		if i == len(lines)-1 {
			sep = ' '
		}
		s.out = fmt.Appendf(s.out, "250%c%s\r\n", sep, l)
	}
	return true
}

// startTLS encrypts the connection. What the client sent along behind the command is dropped: it may be somebody else's.
func (s *session) startTLS(arg string) bool {
	switch {
	case s.f.set.TLS == nil || s.secure:
		return s.fault(502, "5.5.1 not offered")
	case arg != "":
		return s.fault(501, "5.5.4 no parameters")
	}
	s.reply(220, "2.0.0 go ahead")
	if s.flush() != nil {
		return false
	}
	s.reset()
	if s.raw.SetDeadline(s.until) != nil {
		return false
	}
	secure := tls.Server(s.raw, s.f.set.TLS)
	if secure.Handshake() != nil {
		return false
	}
	s.nc, s.secure, s.greeted = secure, true, false
	s.br.Reset((*source)(s))
	return true
}

// sender begins a transaction.
func (s *session) sender(c *mail.Command) bool {
	switch {
	case !s.greeted:
		return s.fault(503, "5.5.1 say hello first")
	case s.mail != nil:
		return s.fault(503, "5.5.1 a mail is open")
	}
	p, err := c.Path("FROM:")
	if err != nil {
		return s.fault(501, "5.5.4 MAIL: "+err.Error())
	}
	utf8 := false
	var size int64
	var kept []mail.Param // the others are of this hop: what the next one is told follows from the mail itself
	for _, x := range p.Params {
		ok := true
		switch x.Name {
		case "SIZE":
			size, err = strconv.ParseInt(x.Value, 10, 64)
			ok = err == nil && size >= 0
		case "BODY":
			ok = x.Value == "7BIT" || x.Value == "8BITMIME"
		case "SMTPUTF8":
			utf8, ok = true, x.Value == ""
		case "RET":
			ok = strings.EqualFold(x.Value, "FULL") || strings.EqualFold(x.Value, "HDRS")
			kept = append(kept, x)
		case "ENVID":
			ok = x.Value != "" && len(x.Value) <= 100 && mail.ASCII(x.Value)
			kept = append(kept, x)
		default:
			return s.fault(555, "5.5.4 MAIL: parameter "+x.Name+" is not supported")
		}
		if !ok {
			return s.fault(501, "5.5.4 MAIL: parameter "+x.Name+" is out of form")
		}
	}
	p.Params = kept
	switch {
	case !utf8 && !mail.ASCII(p.Addr):
		s.reply(553, "5.6.7 MAIL: the address needs SMTPUTF8")
	case size > s.f.set.Size:
		s.reply(552, fmt.Sprintf("5.3.4 SIZE: %d bytes are more than %d", size, s.f.set.Size))
	case !s.f.Ready.Load():
		s.reply(451, "4.3.2 not ready")
	case size > s.f.transit.Load():
		s.reply(452, "4.3.1 no memory is left for mails")
	case !s.f.admits():
		s.reply(451, "4.3.2 more comes than can be done")
	default:
		s.mail = &transaction{from: p, utf8: utf8}
		s.reply(250, "2.1.0 ok")
	}
	return true
}

// admits tells whether there is a core for one more mail.
func (f *Front) admits() bool {
	if f.set.Admit == nil {
		return true
	}
	_, ok := f.set.Admit(f.host.Now())
	return ok
}

// recipient adds one, if it is one of ours.
func (s *session) recipient(c *mail.Command) bool {
	t := s.mail
	if t == nil {
		return s.fault(503, "5.5.1 MAIL first")
	}
	if t.chunks {
		return s.fault(503, "5.5.1 the content has begun")
	}
	p, err := c.Path("TO:")
	if err == nil && p.Addr == "" {
		err = fmt.Errorf("%w: it is empty", mail.ErrPath)
	}
	if err != nil {
		return s.fault(501, "5.5.4 RCPT: "+err.Error())
	}
	for _, x := range p.Params {
		switch {
		case x.Name == "NOTIFY" && notifies(x.Value), x.Name == "ORCPT" && strings.Contains(x.Value, ";") && len(x.Value) <= 500 && mail.ASCII(x.Value):
		case x.Name == "NOTIFY", x.Name == "ORCPT":
			return s.fault(501, "5.5.4 RCPT: parameter "+x.Name+" is out of form")
		default:
			return s.fault(555, "5.5.4 RCPT: parameter "+x.Name+" is not supported")
		}
	}
	route := s.f.route(p.Addr)
	switch {
	case !t.utf8 && !mail.ASCII(p.Addr):
		s.reply(553, "5.6.7 RCPT: the address needs SMTPUTF8")
	case route == nil:
		return s.fault(550, "5.7.1 RCPT: no destination stands for this address")
	case len(t.rcpts) >= s.f.set.Rcpts:
		s.reply(452, "4.5.3 too many recipients")
	default:
		t.rcpts = append(t.rcpts, recipient{p, route})
		s.reply(250, "2.1.5 ok")
	}
	return true
}

// notifies tells whether the value of NOTIFY is in form (RFC 3461, 4.1).
func notifies(v string) bool {
	if strings.EqualFold(v, "NEVER") {
		return true
	}
	for w := range strings.SplitSeq(v, ",") {
		if !strings.EqualFold(w, "SUCCESS") && !strings.EqualFold(w, "FAILURE") && !strings.EqualFold(w, "DELAY") {
			return false
		}
	}
	return true
}

// ---- the content ----

// add takes more of the content. It keeps none of what is too large, or what there is no room for.
func (s *session) add(p []byte) {
	t := s.mail
	t.size += int64(len(p))
	if t.over = t.over || t.size > s.f.set.Size; t.over || t.noRoom {
		return
	}
	t.looked.Write(p)
	for t.charged < t.size {
		if !s.f.charge(chargeStep) {
			t.noRoom = true
			s.f.transit.Add(t.charged)
			t.charged, t.body = 0, nil
			return
		}
		t.charged += chargeStep
	}
	t.body = append(t.body, p...)
}

// data reads a mail up to the line that holds one dot, where that and the line before end with CRLF: nothing else ends a
// mail here, and what looks like another end is refused with the mail.
func (s *session) data(arg string) bool {
	t := s.mail
	switch {
	case t == nil:
		return s.fault(503, "5.5.1 MAIL first")
	case arg != "":
		return s.fault(501, "5.5.4 no parameters")
	case t.chunks:
		return s.fault(503, "5.5.1 BDAT has begun")
	case len(t.rcpts) == 0:
		return s.fault(503, "5.5.1 no valid recipients")
	}
	s.reply(354, "end with a line that holds one dot")
	s.until = s.f.host.Now().Add(mailTime)
	for start, cr := true, false; ; { // a line begins; the byte before was CR
		part, err := s.br.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return false // whatever came, there was no end: nothing is taken
		}
		if start && string(part) == ".\r\n" {
			return s.whole()
		}
		content := part
		if start && part[0] == '.' {
			content = part[1:]
		}
		s.add(content)
		if t.size > overMost*s.f.set.Size {
			s.reply(552, "5.3.4 the mail has no end")
			return false
		}
		if n := len(part); n > 1 {
			cr = part[n-2] == '\r'
		}
		start = cr && part[len(part)-1] == '\n'
		cr = part[len(part)-1] == '\r'
	}
}

// chunk reads a chunk (RFC 3030). Its bytes are read whatever the reply is.
func (s *session) chunk(arg string) bool {
	words := strings.Fields(arg)
	if len(words) == 0 || len(words) > 2 || len(words) == 2 && !strings.EqualFold(words[1], "LAST") {
		s.reply(501, "5.5.4 BDAT: want a size, and LAST with the last")
		return false // nobody knows how many bytes follow
	}
	size, err := strconv.ParseUint(words[0], 10, 63)
	if errors.Is(err, strconv.ErrSyntax) {
		s.reply(501, "5.5.4 BDAT: the size is no number")
		return false
	}
	if err != nil || int64(size) > overMost*s.f.set.Size {
		s.reply(552, "5.3.4 BDAT: the size is out of range")
		return false
	}
	t := s.mail
	s.until = s.f.host.Now().Add(mailTime)
	for left := int(size); left > 0; {
		b, err := s.br.Peek(1)
		if err != nil {
			return false
		}
		b, _ = s.br.Peek(min(left, s.br.Buffered()))
		if t != nil && len(t.rcpts) > 0 {
			s.add(b)
		}
		left -= len(b)
		s.br.Discard(len(b))
	}
	switch {
	case t == nil:
		return s.fault(503, "5.5.1 MAIL first")
	case len(t.rcpts) == 0:
		return s.fault(503, "5.5.1 no valid recipients")
	}
	t.chunks = true
	if len(words) == 2 || t.over || t.noRoom {
		return s.whole()
	}
	s.reply(250, "2.0.0 go on")
	return true
}

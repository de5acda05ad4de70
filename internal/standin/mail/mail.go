// Package mail is a stand-in mail server for tests and measurements: it speaks SMTP or LMTP on a host's listener, does at
// every stage of a session what its script says, and cuts sessions off at any byte. It keeps what took effect. It shares
// no code with the program that it is to judge.
package mail

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"

	"curlewmux/internal/host"
)

// Stage is where a session is when the script is asked.
type Stage string

// Stages. Body is asked once the first byte of a mail may come; Final once the mail is whole, over LMTP for each
// recipient. What Final answers with 2yz has taken effect before the reply is written.
const (
	Greeting Stage = "greeting"
	Hello    Stage = "hello" // EHLO, LHLO, HELO
	StartTLS Stage = "starttls"
	Auth     Stage = "auth"
	Mail     Stage = "mail"
	Rcpt     Stage = "rcpt"
	Data     Stage = "data"
	Body     Stage = "body"
	Final    Stage = "final"
	Reset    Stage = "rset"
	Quit     Stage = "quit"
)

// Step is one question to the script.
type Step struct {
	Stage   Stage
	Session int    // 1, 2, 3 and so on
	Mail    int    // transactions that were begun in it
	Rcpt    string // at Rcpt, and at Final over LMTP
	TLS     bool
}

// Act is what a server does at a stage. The zero value is the usual.
type Act struct {
	Say    string // the reply, its lines parted by \r\n, without the last line end
	Cut    int    // so many bytes of the reply are written, then the connection ends; 0: all
	Drop   bool   // the connection ends without a reply; at Body in the middle of the mail
	Close  bool   // it ends behind the reply
	Silent bool   // nothing more is said; the connection stays until the client ends it
	Extra  string // is written behind the reply, as it is
}

// Cut ends a session at a byte, 0: not so.
type Cut struct{ Read, Written int }

// Accepted is a mail for one recipient that took effect.
type Accepted struct {
	From, Rcpt string
	Args       string // parameters of MAIL and RCPT
	Content    string
	Session    int
	TLS        bool
}

// Server is a mail server. Its fields are set before Serve and not changed afterwards.
type Server struct {
	Host       host.Host
	LMTP       bool
	Extensions []string
	TLS        *tls.Config
	Implicit   bool                       // TLS from the first byte on
	Script     func(Step) Act             // nil: all as usual
	Cuts       func(session int) Cut      // nil: none
	Password   func(user, pw string) bool // nil: AUTH is not known
	Discard    bool                       // mails are counted and not kept

	mu       sync.Mutex
	accepted []Accepted
	count    int
	sessions int
	open     map[net.Conn]bool
	closed   bool
}

// Serve takes connections until the listener is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			nc.Close()
			continue
		}
		if s.open == nil {
			s.open = map[net.Conn]bool{}
		}
		s.sessions++
		n := s.sessions
		s.open[nc] = true
		s.mu.Unlock()
		s.Host.Go(func() {
			s.session(nc, n)
			nc.Close()
			s.mu.Lock()
			delete(s.open, nc)
			s.mu.Unlock()
		})
	}
}

// Close ends all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for nc := range s.open {
		nc.Close()
	}
}

// Accepted is what took effect, in order.
func (s *Server) Accepted() []Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Accepted(nil), s.accepted...)
}

// Count is how many mails took effect.
func (s *Server) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Sessions is how many connections there were.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions
}

var errOver = errors.New("the session is over")

// session is one connection.
type session struct {
	*Server
	n       int
	nc      net.Conn // raw
	rw      net.Conn // raw or TLS
	br      *bufio.Reader
	out     []byte
	cut     Cut
	read    int
	written int
	mails   int
	secure  bool
	from    string
	rcpts   []Accepted
	began   bool
}

func (s *Server) session(nc net.Conn, n int) {
	c := &session{Server: s, n: n, nc: nc, rw: nc}
	if s.Cuts != nil {
		c.cut = s.Cuts(n)
	}
	c.br = bufio.NewReaderSize(reader{c}, 4<<10)
	if s.Implicit {
		c.encrypt()
	}
	name := "stand-in.example.org ready"
	if c.reply(Greeting, "", "220 "+name) != nil {
		return
	}
	for c.command() == nil {
	}
}

func (c *session) encrypt() {
	c.rw = tls.Server(c.nc, c.TLS)
	c.br = bufio.NewReaderSize(reader{c}, 4<<10)
	c.secure = true
}

// reader ends the session at its cut.
type reader struct{ c *session }

func (r reader) Read(b []byte) (int, error) {
	c := r.c
	if err := c.flush(); err != nil { // replies to what was pipelined leave together
		return 0, err
	}
	if c.cut.Read > 0 {
		left := c.cut.Read - c.read
		if left <= 0 {
			c.nc.Close()
			return 0, errOver
		}
		b = b[:min(len(b), left)]
	}
	n, err := c.rw.Read(b)
	c.read += n
	return n, err
}

func (c *session) flush() error {
	b := c.out
	c.out = c.out[:0]
	if len(b) == 0 {
		return nil
	}
	if c.cut.Written > 0 && c.written+len(b) >= c.cut.Written {
		c.rw.Write(b[:max(c.cut.Written-c.written, 0)])
		c.nc.Close()
		return errOver
	}
	c.written += len(b)
	_, err := c.rw.Write(b)
	return err
}

// ask asks the script; where it says nothing of a reply the usual one counts.
func (c *session) ask(stage Stage, rcpt, usual string) Act {
	var a Act
	if c.Script != nil {
		a = c.Script(Step{Stage: stage, Session: c.n, Mail: c.mails, Rcpt: rcpt, TLS: c.secure})
	}
	if a.Say == "" {
		a.Say = usual
	}
	return a
}

// do carries an act out.
func (c *session) do(a Act) error {
	switch {
	case a.Drop:
		c.flush()
		return errOver
	case a.Silent:
		c.flush()
		io.Copy(io.Discard, c.rw)
		return errOver
	}
	b := []byte(a.Say + "\r\n")
	if a.Cut > 0 {
		c.out = append(c.out, b[:min(a.Cut, len(b))]...)
		c.flush()
		return errOver
	}
	c.out = append(append(c.out, b...), a.Extra...)
	if a.Close {
		c.flush()
		return errOver
	}
	return nil
}

func (c *session) reply(stage Stage, rcpt, usual string) error {
	return c.do(c.ask(stage, rcpt, usual))
}

func good(a Act) bool { return strings.HasPrefix(a.Say, "2") && !a.Drop && !a.Silent }

// command takes one command.
func (c *session) command() error {
	line, err := c.br.ReadString('\n')
	if err != nil {
		c.flush()
		return err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return c.do(Act{Say: "500 5.5.2 a command ends with CRLF", Close: true})
	}
	line = strings.TrimSuffix(line, "\r\n")
	verb, arg, _ := strings.Cut(line, " ")
	switch verb = strings.ToUpper(verb); verb {
	case "EHLO", "LHLO":
		if (verb == "LHLO") != c.LMTP {
			return c.do(Act{Say: "500 5.5.1 not spoken here"})
		}
		say := "stand-in.example.org"
		lines := []string{say}
		for _, x := range c.Extensions {
			if x == "STARTTLS" && c.secure {
				continue
			}
			lines = append(lines, x)
		}
		for i := range lines {
			sep := "-"
			if i == len(lines)-1 {
				sep = " "
			}
			lines[i] = "250" + sep + lines[i]
		}
		return c.reply(Hello, "", strings.Join(lines, "\r\n"))
	case "HELO":
		return c.reply(Hello, "", "250 stand-in.example.org")
	case "STARTTLS":
		a := c.ask(StartTLS, "", "220 2.0.0 go ahead")
		if err := c.do(a); err != nil {
			return err
		}
		if strings.HasPrefix(a.Say, "220") {
			if err := c.flush(); err != nil {
				return err
			}
			c.encrypt()
		}
		return nil
	case "AUTH":
		return c.auth(arg)
	case "MAIL":
		a := c.ask(Mail, "", "250 2.1.0 ok")
		if good(a) {
			from, _ := path(arg)
			c.mails, c.began, c.from, c.rcpts = c.mails+1, true, from, nil
		}
		return c.do(a)
	case "RCPT":
		to, args := path(arg)
		usual := "250 2.1.5 ok"
		if !c.began {
			usual = "503 5.5.1 MAIL first"
		}
		a := c.ask(Rcpt, to, usual)
		if good(a) && c.began {
			c.rcpts = append(c.rcpts, Accepted{From: c.from, Rcpt: to, Args: args, Session: c.n, TLS: c.secure})
		}
		return c.do(a)
	case "DATA":
		usual := "354 go ahead"
		if len(c.rcpts) == 0 {
			usual = "503 5.5.1 no valid recipients"
		}
		a := c.ask(Data, "", usual)
		if err := c.do(a); err != nil {
			return err
		}
		if !strings.HasPrefix(a.Say, "354") {
			return nil
		}
		return c.data()
	case "BDAT":
		return c.chunk(arg)
	case "RSET":
		c.began, c.rcpts = false, nil
		return c.reply(Reset, "", "250 2.0.0 ok")
	case "NOOP":
		return c.do(Act{Say: "250 2.0.0 ok"})
	case "QUIT":
		c.reply(Quit, "", "221 2.0.0 bye")
		c.flush()
		return errOver
	}
	return c.do(Act{Say: "500 5.5.1 not known"})
}

// path takes an address and what stands behind it out of an argument.
func path(arg string) (addr, rest string) {
	i, j := strings.IndexByte(arg, '<'), strings.LastIndexByte(arg, '>')
	if i < 0 || j < i {
		return "", ""
	}
	return arg[i+1 : j], strings.TrimSpace(arg[j+1:])
}

func (c *session) auth(arg string) error {
	if c.Password == nil {
		return c.do(Act{Say: "502 5.5.1 not known"})
	}
	line := func() string {
		text, _ := c.br.ReadString('\n')
		b, _ := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
		return string(b)
	}
	var user, pw string
	mech, initial, _ := strings.Cut(arg, " ")
	if mech == "PLAIN" {
		b, _ := base64.StdEncoding.DecodeString(initial)
		parts := strings.Split(string(b), "\x00")
		if len(parts) == 3 {
			user, pw = parts[1], parts[2]
		}
	} else {
		c.do(Act{Say: "334 VXNlcm5hbWU6"})
		user = line()
		c.do(Act{Say: "334 UGFzc3dvcmQ6"})
		pw = line()
	}
	usual := "535 5.7.8 no"
	if c.Password(user, pw) {
		usual = "235 2.7.0 welcome"
	}
	return c.reply(Auth, "", usual)
}

// data reads a mail up to a line that holds one dot, where all lines end with CRLF.
func (c *session) data() error {
	if a := c.ask(Body, "", ""); a.Drop || a.Silent {
		c.flush()
		one := make([]byte, 1)
		c.br.Read(one) // in the middle of it
		return c.do(a)
	}
	var b []byte
	for {
		line, err := c.br.ReadBytes('\n')
		if err != nil {
			return err
		}
		if string(line) == ".\r\n" && (len(b) == 0 || bytes.HasSuffix(b, []byte("\r\n"))) {
			return c.final(b)
		}
		if line[0] == '.' && (len(b) == 0 || b[len(b)-1] == '\n') {
			line = line[1:]
		}
		b = append(b, line...)
	}
}

func (c *session) chunk(arg string) error {
	size, last, _ := strings.Cut(arg, " ")
	n, err := strconv.Atoi(size)
	if err != nil || n < 0 {
		return c.do(Act{Say: "501 5.5.4 how much?", Close: true})
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(c.br, b); err != nil {
		return err
	}
	if !strings.EqualFold(last, "LAST") {
		return c.do(Act{Say: "501 5.5.4 one chunk only", Close: true})
	}
	return c.final(b)
}

// final lets a mail take effect and replies.
func (c *session) final(content []byte) error {
	rcpts := c.rcpts
	c.began, c.rcpts = false, nil
	if !c.LMTP {
		a := c.ask(Final, "", "250 2.0.0 queued")
		if strings.HasPrefix(a.Say, "2") {
			c.keep(rcpts, content)
		}
		return c.do(a)
	}
	if len(rcpts) == 0 {
		return c.do(Act{Say: "503 5.5.1 no valid recipients"})
	}
	for i := range rcpts {
		a := c.ask(Final, rcpts[i].Rcpt, fmt.Sprintf("250 2.0.0 <%s> kept", rcpts[i].Rcpt))
		if strings.HasPrefix(a.Say, "2") {
			c.keep(rcpts[i:i+1], content)
		}
		if err := c.do(a); err != nil {
			return err
		}
	}
	return nil
}

func (c *session) keep(rcpts []Accepted, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count += len(rcpts)
	for _, r := range rcpts {
		if r.Content = string(content); !c.Discard {
			c.accepted = append(c.accepted, r)
		}
	}
}

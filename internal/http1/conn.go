// Package http1 is HTTP/1.1 (RFC 9112) on a connection of a host. Conn is the client's side: one request is written and
// one answer read, within bounds of size and time. It never sends anything again by itself, keeps no pool and starts no
// goroutine. ReadRequest is what a server needs to read the head of a request.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"curlewmux/internal/host"
)

// Errors of Conn.Read. After each of them the connection must be closed.
var (
	// ErrNoResponse says that the connection ended, or was closed here, before an answer began.
	ErrNoResponse = errors.New("the connection ended before an answer began")

	// ErrTimeout says that the time was up (Limits.Until) before the answer was whole.
	ErrTimeout = errors.New("no whole answer in time")

	// ErrInvalidResponse says that an answer began and can't be read: it is no HTTP/1, too long, cut short, or took longer than
	// Limits.Span. Nothing that it says should be believed but a first line that Progress was told.
	ErrInvalidResponse = errors.New("the answer can't be read")

	// ErrUnsolicited says that what came was sent before the request can have reached the far side, such as a second copy of the
	// answer before. What becomes of the request is not known. It is also ErrInvalidResponse.
	ErrUnsolicited = fmt.Errorf("%w: it is the answer to nothing", ErrInvalidResponse)
)

const (
	headMost   = 32 << 10              // bytes that may come ahead of a body, 1xx answers and all, and the same for the heads of chunks
	earlyMost  = 8                     // 1xx answers ahead
	bufferSize = 2 << 10               // holds a usual answer whole
	atOnce     = 10 * time.Millisecond // far more than it takes to read what is there
	growStep   = 64 << 10              // memory given to a body before its bytes have come
)

// Limits bound the reading of one answer. Heads may hold 32 KiB and be led by 8 answers of the 1xx kind.
type Limits struct {
	Deadline        time.Time     // the answer is waited for no longer; zero: for ever
	ResponseTimeout time.Duration // an answer that has begun must end within this; 0: Until alone counts
	MaxBody         int           // bytes that the body may hold
	DiscardBody     bool          // the body is read, but not kept
	Progress        Progress      // told how the reading goes on; nil: nobody
}

// Progress is told how the reading of an answer goes on, on the goroutine that is in Conn.Read.
type Progress interface {
	// StatusLine tells that the first line of an answer has come, also of each 1xx answer ahead. The rest may still turn
	// out to be spoilt.
	StatusLine(status int)

	// DeadlineReached is called when Limits.Until has come. It returns until when to wait on, or the zero time to give up.
	DeadlineReached() time.Time
}

// Response is an answer that was read whole.
type Response struct {
	Status    int
	Body      []byte // nil if it was discarded
	Reusable  bool   // the connection goes on, and nothing came behind the answer: it may carry another request
	ExtraData bool   // something came behind it

	plain  string      // the head's fields, if they were read by hand,
	header http.Header // else here
}

// Conn is a connection that carries requests one after the other. One goroutine at a time uses it, but for Close, which
// may come from anywhere and ends what is under way.
type Conn struct {
	host  host.Host
	nc    net.Conn
	br    *bufio.Reader
	wrote time.Time // when the write of the newest request began

	// The round trip as it was last asked for, if it was. It only ever becomes less, so it is asked for again only where
	// something comes sooner.
	trip  time.Duration
	asked bool

	// Of the answer that is being read:
	left     int       // bytes that may still be read
	until    time.Time // Limits.Until, or what Late put in its place
	end      time.Time // when it must have ended, once it has begun
	progress Progress
	late     bool // Until came and nobody waits on
}

// NewConn makes a connection of the host carry requests.
func NewConn(h host.Host, nc net.Conn) *Conn {
	c := &Conn{host: h, nc: nc}
	c.br = bufio.NewReaderSize((*source)(c), bufferSize)
	return c
}

// Close closes the connection.
func (c *Conn) Close() error { return c.nc.Close() }

// IsIdle tells that nothing has come on a connection between two requests, neither bytes nor its end: whatever does
// can't be told from an answer. It does not block.
func (c *Conn) IsIdle() bool { return c.br.Buffered() == 0 && !host.Readable(c.nc) }

// HasData tells, of a connection that is not clean, whether bytes have come on it, rather than its end alone. It may read
// them, but does not wait for any.
func (c *Conn) HasData() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	if c.nc.SetReadDeadline(c.host.Now().Add(atOnce)) != nil {
		return false
	}
	n, _ := c.nc.Read(make([]byte, 1))
	return n > 0
}

// Write writes a whole request, until the time given (zero: for ever). After an error its last byte was not written.
func (c *Conn) Write(request []byte, until time.Time) error {
	c.wrote = c.host.Now()
	if err := c.nc.SetWriteDeadline(until); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := c.nc.Write(request); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Read reads the answer to a request that was written. It blocks until the answer is whole or one of its errors is known.
func (c *Conn) Read(l Limits) (Response, error) {
	c.left, c.until, c.end, c.progress, c.late = headMost, l.Deadline, time.Time{}, l.Progress, false
	for early := 0; early <= earlyMost; early++ {
		if _, err := c.br.Peek(1); err != nil {
			return c.failed(ErrNoResponse, err)
		}
		if early == 0 && c.tooSoon() {
			return c.failed(ErrUnsolicited, errors.New("it came before the request can have been read"))
		}
		if l.ResponseTimeout > 0 {
			c.end = c.host.Now().Add(l.ResponseTimeout)
		}
		status := c.firstLine()
		if status >= 100 && l.Progress != nil {
			l.Progress.StatusLine(status)
		}
		if status < 100 || status == http.StatusSwitchingProtocols {
			return c.failed(ErrInvalidResponse, errors.New("no first line of an answer"))
		}
		if head, ok := c.plainHead(); ok {
			return c.plainRest(head, &l)
		}
		res, err := http.ReadResponse(c.br, nil)
		if err != nil {
			return c.failed(ErrInvalidResponse, err)
		}
		if status >= 200 {
			return c.rest(res, &l)
		}
		c.end = time.Time{} // the answer proper may take its time
	}
	return c.failed(ErrInvalidResponse, errors.New("too many answers ahead"))
}

// tooSoon tells that what has come was sent before the newest request can have been there.
func (c *Conn) tooSoon() bool {
	since := c.host.Now().Sub(c.wrote)
	if !c.asked || since < c.trip {
		c.trip, c.asked = host.MinRoundTrip(c.nc), true
	}
	return since < c.trip // where it is not known nothing is too soon
}

func (c *Conn) failed(kind, err error) (Response, error) {
	switch {
	case c.late:
		return Response{}, ErrTimeout
	case errors.Is(err, errLong):
		kind = ErrInvalidResponse
	}
	return Response{}, fmt.Errorf("%w: %w", kind, err)
}

// rest reads what belongs to an answer behind its head.
func (c *Conn) rest(res *http.Response, l *Limits) (Response, error) {
	c.left = l.MaxBody + headMost // chunks have heads, too
	if res.ContentLength > int64(l.MaxBody) {
		return c.failed(ErrInvalidResponse, errLong)
	}
	a := Response{Status: res.StatusCode, header: res.Header}
	into := io.Discard
	var body bytes.Buffer
	if !l.DiscardBody {
		into = &body
	}
	n, err := io.Copy(into, io.LimitReader(res.Body, int64(l.MaxBody)+1))
	switch {
	case err != nil:
		return c.failed(ErrInvalidResponse, err)
	case n > int64(l.MaxBody):
		return c.failed(ErrInvalidResponse, errLong)
	}
	a.Body = body.Bytes()
	a.ExtraData = c.br.Buffered() > 0
	a.Reusable = !res.Close && !a.ExtraData
	return a, nil
}

// plainRest is rest behind a plain head.
func (c *Conn) plainRest(h plainHead, l *Limits) (Response, error) {
	c.left = l.MaxBody + headMost
	if h.length > l.MaxBody {
		return c.failed(ErrInvalidResponse, errLong)
	}
	a := Response{Status: h.status, plain: h.fields}
	var err error
	if l.DiscardBody {
		_, err = c.br.Discard(h.length)
	} else {
		var body bytes.Buffer
		body.Grow(min(h.length, growStep) + bytes.MinRead)
		_, err = io.CopyN(&body, c.br, int64(h.length))
		a.Body = body.Bytes()
	}
	if err != nil {
		return c.failed(ErrInvalidResponse, err)
	}
	a.ExtraData = c.br.Buffered() > 0
	a.Reusable = !h.close && !a.ExtraData
	return a, nil
}

var (
	errLong = errors.New("the answer is too long")
	errSlow = errors.New("the answer takes too long")
)

// source is where the buffer reads from: it bounds the bytes, and turns the two time limits into deadlines.
type source Conn

func (s *source) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errLong
	}
	for !s.late {
		deadline, ends := s.until, false
		if !s.end.IsZero() && (deadline.IsZero() || s.end.Before(deadline)) {
			deadline, ends = s.end, true
		}
		if err := s.nc.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := s.nc.Read(b[:min(len(b), s.left)])
		s.left -= n
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case ends:
			return 0, errSlow
		}
		if s.until = (time.Time{}); s.progress != nil {
			s.until = s.progress.DeadlineReached()
		}
		s.late = s.until.IsZero()
	}
	return 0, os.ErrDeadlineExceeded
}

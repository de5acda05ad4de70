package httpfront

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
)

const (
	maxHead          = 12 << 10
	bufferSize       = 2 << 10 // holds a usual request whole
	clientIdle       = 5 * time.Second
	requestTime      = 2300 * time.Millisecond // a new connection owes a request, and a begun request its end, within this
	answerTime       = 5 * time.Second
	lingerTime       = 500 * time.Millisecond // a connection with bytes unread is kept so long behind its last answer,
	lingerMost       = 256 << 10              // and so many of them are read
	pipelineInterval = time.Millisecond       // requests that don't wait for the answer to the one ahead are read at this pace ...
	pipelineBurst    = 200                    // ... but for so many at once
	emptyLines       = 4                      // bytes of empty lines ahead of a request (RFC 9112, 2.2)
	golden           = 0.6180339887498949     // multiples of it spread evenly between whole numbers
)

// client is the connection of a client. What is not under the table's lock belongs to its goroutine.
type client struct {
	net.Conn
	table *connectionTable
	n     uint64 // in the order in which they came

	br       *bufio.Reader
	left     int       // bytes that may be read from the connection
	limit    time.Time // until when they are waited for
	armed    time.Time // the deadline that was set for that, zero: perhaps another one
	fault    error     // of the last read
	unread   int64     // bytes of the request's body that were not read
	expect   bool      // the client waits for 100 before it sends them
	turned   bool      // its last message was turned away for want of room
	rests    uint64    // how often it was kept from being heard
	pipeline pacer     // of requests that were sent before the answer to the one ahead of them
	out      []byte    // for answers

	preempted atomic.Bool // its request takes too long while others need the room; set by the table

	// Under the table's lock.
	begun   time.Time  // when the last request began
	whole   bool       // that request has been read completely
	spoke   bool       // a request was answered on it, or one has begun
	heard   bool       // bytes have come that are not known to be a request yet
	open    bool       // a request is open, if only its first bytes
	refused bool       // its request was refused and the answer waits, or is out and the client still sends
	gone    bool       // it was closed
	since   time.Time  // when it came, or when the last request was over
	turn    host.Inbox // where it waits while it is refused; nil: it never did
}

func newClient(t *connectionTable, nc net.Conn, n uint64, now time.Time) *client {
	c := &client{Conn: nc, table: t, n: n, since: now, pipeline: pacer{interval: pipelineInterval, burst: pipelineBurst, maxWait: pipelineInterval}}
	c.br = bufio.NewReaderSize((*source)(c), bufferSize)
	return c
}

// serve answers the requests of a connection, one after the other.
func (f *Front) serve(c *client) {
	defer c.table.leave()
	defer c.table.close(c)
	for c.await() && f.exchange(c) && f.rest(c) {
	}
}

// rest keeps a client that was turned away from being heard again at once, where many are: to turn away costs more than
// not to listen. It tells whether the connection is still there.
func (f *Front) rest(c *client) bool {
	if !c.turned {
		return true
	}
	c.turned = false
	now := f.host.Now()
	wait := c.table.busy.next(now)
	if wait <= 0 {
		return true
	}
	c.rests++
	_, part := math.Modf(float64(c.n+c.rests) * golden) // spread, so that they don't come back at once
	return c.wait(now.Add(wait - time.Duration(part*float64(wait)/4)))
}

// await waits for the first byte of a request and tells whether one has come.
func (c *client) await() bool {
	c.left, c.unread, c.expect = maxHead, 0, false
	c.table.idle(c)
	if c.br.Buffered() > 0 && !c.pace() {
		return false
	}
	for skipped := 0; ; {
		if c.br.Buffered() == 0 && !c.coming() {
			return false
		}
		b, err := c.br.Peek(1)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && host.Readable(c.Conn): // it crossed the end of the wait
			c.limit = c.table.host.Now().Add(requestTime)
		case err != nil:
			return false
		case skipped < emptyLines && (b[0] == '\r' || b[0] == '\n'):
			c.br.Discard(1)
			skipped++
		default:
			return c.table.begin(c)
		}
	}
}

// pace keeps a client that does not wait for its answers from taking the core from all others. It tells whether the
// connection is still there.
func (c *client) pace() bool {
	now := c.table.host.Now()
	wait := c.pipeline.next(now)
	return wait <= 0 || c.table.heard(c, true) && c.wait(now.Add(wait))
}

// coming waits until bytes have come, and leaves them to be read: until the table knows of them they show on the socket, so
// that it does not close a connection whose request was read a moment ago. It tells whether the connection is still there.
func (c *client) coming() bool {
	c.table.heard(c, false)
	if (*source)(c).arm() != nil {
		return true // the read fails, too
	}
	return c.table.heard(c, host.AwaitReadable(c.Conn))
}

// exchange reads a request, of which the first byte has come, and answers it. It tells whether another may follow.
func (f *Front) exchange(c *client) bool {
	r, err := http1.ReadRequest(c.br, &requestMemory{f, c})
	last, isHead := f.Closing.Load() || r.Close, r.Method == http.MethodHead
	var a reply
	if err != nil {
		var ok bool
		if a, ok = c.headError(err); !ok {
			return false
		}
	} else {
		c.unread, c.expect = r.Length, r.Continue
		a = f.reply(c, &r)
		r.Release()
	}
	if c.unread < 0 || c.unread > 0 && (a.final || c.expect || !c.discard()) {
		a.final = true
	}
	c.table.counters.answered(&a)
	if a.paced {
		f.log.Warn("a request is refused", "status", a.status, "why", a.why)
		if wait := c.table.refusals.next(f.host.Now()); wait > 0 && !c.pause(f.host.Now().Add(wait)) {
			return false
		}
	}
	c.turned = a.status == http.StatusServiceUnavailable && a.again > 0 && !a.paced
	last = last || a.final || c.table.last()
	told := c.answer(a, isHead, last)
	if len(a.page.Text) > 0 {
		f.reading.Add(-1)
	}
	if !told {
		return false
	}
	if last && (a.final || c.br.Buffered() > 0 || host.Readable(c.Conn)) {
		c.linger()
	}
	return !last
}

// headError returns the answer to a request whose head could not be read. It returns false if there is to be none.
func (c *client) headError(err error) (reply, bool) {
	if c.preempted.Load() || errors.Is(err, http1.ErrNoMemory) {
		return noRoom, true
	}
	if errors.Is(c.fault, os.ErrDeadlineExceeded) {
		c.table.counters.timedOut.Add(1)
		c.table.log.Warn("a connection of a client is closed", "why", "its request did not end in time", "client", c.RemoteAddr())
	}
	no := complaint(c.fault, err)
	if no == nil {
		return reply{}, false
	}
	return no.reply(), true
}

// complaint is the refusal of a request whose head could not be read, nil for none: fault is the reader's, err the
// parser's.
func complaint(fault, err error) *refusal {
	var bad *http1.RequestError
	switch {
	case errors.Is(fault, errLong):
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, "head: over " + strconv.Itoa(maxHead) + " bytes", true}
	case fault != nil && !errors.Is(fault, io.EOF), !errors.As(err, &bad): // half a head, and then silence or a reset
		return nil
	}
	return &refusal{bad.Status, bad.Reason, true}
}

// answer writes an answer and tells whether that went well. With last it says that the connection ends.
func (c *client) answer(a reply, head, last bool) bool {
	b := append(c.out[:0], "HTTP/1.1 "...)
	b = append(append(strconv.AppendInt(b, int64(a.status), 10), ' '), http.StatusText(a.status)...)
	b = c.table.host.Wall().UTC().AppendFormat(append(b, "\r\nDate: "...), http.TimeFormat)
	if last {
		b = append(b, "\r\nConnection: close"...)
	}
	if a.status == http.StatusMethodNotAllowed {
		b = append(b, "\r\nAllow: POST"...)
	}
	if a.again > 0 {
		b = strconv.AppendFloat(append(b, "\r\nRetry-After: "...), a.again.Seconds(), 'f', 3, 64)
	}
	length := len(a.page.Text)
	if length > 0 {
		b = append(append(b, "\r\nX-Content-Type-Options: nosniff\r\nCache-Control: no-store\r\nContent-Type: "...), a.page.Type...)
	} else if a.why != "" {
		b = append(b, "\r\nContent-Type: text/plain; charset=utf-8\r\nX-Content-Type-Options: nosniff"...)
		length = len(a.why) + 1
	}
	b = strconv.AppendInt(append(b, "\r\nContent-Length: "...), int64(length), 10)
	b = append(b, "\r\n\r\n"...)
	if a.why != "" && !head {
		b = append(append(b, a.why...), '\n')
	}
	c.out = b
	return c.write(b) && (len(a.page.Text) == 0 || c.write(a.page.Text))
}

func (c *client) write(b []byte) bool {
	if c.SetWriteDeadline(c.table.host.Now().Add(answerTime)) != nil {
		return false
	}
	_, err := c.Conn.Write(b)
	return err == nil
}

// body reads part of the request's body, and asks for it first if the client waits for that.
func (c *client) body(b []byte) error {
	if c.expect {
		c.expect = false
		if c.br.Buffered() == 0 && !c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) {
			return io.ErrClosedPipe
		}
	}
	c.left = len(b) + bufferSize
	n, err := io.ReadFull(c.br, b)
	c.unread -= int64(n)
	return err
}

// discard reads the rest of a body, so that another request can follow, and tells whether it has come.
func (c *client) discard() bool {
	c.left = int(c.unread) + bufferSize
	n, err := c.br.Discard(int(c.unread))
	c.unread -= int64(n)
	return err == nil
}

// pause waits until the moment given and tells whether the connection is still there. The table may close it meanwhile.
func (c *client) pause(until time.Time) bool {
	turn := c.table.refused(c)
	if turn == nil {
		return false
	}
	turn.Take(nil, until)
	return !c.table.isGone(c)
}

// wait is pause for a connection that the table leaves open.
func (c *client) wait(until time.Time) bool {
	turn := c.table.turn(c)
	if turn == nil {
		return false
	}
	turn.Take(nil, until)
	return !c.table.isGone(c)
}

// linger ends what is sent and goes on reading for a while. To close with bytes unread is to reset the connection, and a
// reset may overtake the last answer.
func (c *client) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.table.refused(c) == nil {
		return
	}
	c.preempted.Store(false)
	c.left, c.limit = lingerMost, c.table.host.Now().Add(lingerTime)
	for {
		c.br.Discard(c.br.Buffered())
		if _, err := c.br.Peek(1); errors.Is(err, errLong) {
			c.pause(c.limit)
			return
		} else if err != nil {
			return
		}
	}
}

var errLong = errors.New("more bytes than may come")

// source is where a client's buffer reads from: it bounds the bytes and the time.
type source client

// arm sets the deadline for reads, if it is not set yet.
func (s *source) arm() error {
	if s.armed == s.limit {
		return nil
	}
	if err := s.SetReadDeadline(s.limit); err != nil {
		return err
	}
	s.armed = s.limit
	return nil
}

func (s *source) Read(b []byte) (n int, err error) {
	defer func() { s.fault = err }()
	if s.left <= 0 {
		return 0, errLong
	}
	if err := s.arm(); err != nil {
		return 0, err
	}
	if s.preempted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err = s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	return n, err
}

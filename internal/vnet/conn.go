package vnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Conn is one end of a connection. Its methods are those of net.TCPConn that are used on connections, with the same
// errors, and those by which a stand-in uses it without a goroutine: Handle, Unread, Discard, Send, Queued.
type Conn struct {
	w             *World
	p             *Process
	n             int // number of the connection
	far           *Conn
	local, remote *net.TCPAddr
	listener      *Listener // that it came to, nil at the side that dialled
	dial          *dialing  // while it is being dialled

	out                    half
	sendBuffer, readBuffer int

	closed bool          // by the application
	gone   bool          // the kernel does not know it any more
	err    syscall.Errno // for the next read or write, then 0
	reset  bool          // it broke
	linger bool          // Close is a reset

	readers, writers      []*task
	readLimit, writeLimit int64
	on                    Events
	telling               bool          // Data is being told
	trip                  time.Duration // see RoundTrip
}

var _ net.Conn = (*Conn)(nil)

// Events is what a stand-in is told of a connection, in the scheduler. None of them may wait; nil ones are not told.
type Events struct {
	Data   func()          // bytes came, see Unread
	End    func()          // the far side sends nothing more; comes once all bytes have
	Broken func(err error) // reset, or given up
	Sent   func()          // all that Send was given has come to the far side
}

func (w *World) newConn(p *Process, local, remote *net.TCPAddr) *Conn {
	l := p.m.lim
	c := &Conn{w: w, p: p, local: local, remote: remote, sendBuffer: l.SendBuffer, readBuffer: l.ReadBuffer,
		readLimit: never, writeLimit: never}
	if c.sendBuffer <= 0 {
		c.sendBuffer = 128 << 10
	}
	if c.readBuffer <= 0 {
		c.readBuffer = 128 << 10
	}
	return c
}

// Process is whose it is.
func (c *Conn) Process() *Process { return c.p }

// Far is the other end, nil before the connection is up.
func (c *Conn) Far() *Conn { return c.far }

// ID numbers connections of the world: both ends have the same.
func (c *Conn) ID() int { return c.n }

// Dialled tells that this end dialled.
func (c *Conn) Dialled() bool { return c.listener == nil }

func (c *Conn) label(b []byte) []byte {
	b = append(b, 'c')
	b = appendInt(b, int64(c.n))
	if c.listener != nil {
		return append(b, 'a')
	}
	return append(b, 'd')
}

// LocalAddr is this end's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other end's address.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) fault(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// in is what comes.
func (c *Conn) in() *half { return &c.far.out }

// Read reads what has come.
func (c *Conn) Read(p []byte) (int, error) {
	t := c.p.op("read", c, len(p))
	if c.closed {
		return 0, c.fault("read", net.ErrClosed)
	}
	if len(p) == 0 {
		return 0, nil
	}
	if c.w.sched.now >= c.readLimit {
		return 0, c.fault("read", os.ErrDeadlineExceeded)
	}
	t.stepBack("read", c)
	in := c.in()
	for woken := true; ; {
		switch {
		case c.closed:
			return 0, c.fault("read", net.ErrClosed)
		case !woken:
			return 0, c.fault("read", os.ErrDeadlineExceeded)
		case in.unread > 0:
			n := copy(p, in.buf[in.head:in.head+in.unread])
			in.take(n)
			return n, nil
		case in.eof:
			return 0, io.EOF
		case c.err != 0:
			err := c.err
			c.err = 0
			return 0, c.fault("read", os.NewSyscallError("read", err))
		case c.reset:
			return 0, io.EOF
		}
		c.readers = append(c.readers, t)
		woken = t.park(c.readLimit, "read", c)
		c.readers = without(c.readers, t)
	}
}

// Write takes bytes to be sent, and waits while the buffer for them is full.
func (c *Conn) Write(p []byte) (int, error) {
	t := c.p.op("write", c, len(p))
	if c.closed {
		return 0, c.fault("write", net.ErrClosed)
	}
	if c.w.sched.now >= c.writeLimit {
		return 0, c.fault("write", os.ErrDeadlineExceeded)
	}
	t.stepBack("write", c)
	c.RoundTrip()
	done := 0
	for woken := true; ; {
		switch {
		case c.closed:
			return done, c.fault("write", net.ErrClosed)
		case !woken:
			return done, c.fault("write", os.ErrDeadlineExceeded)
		case c.err != 0:
			err := c.err
			c.err = 0
			return done, c.fault("write", os.NewSyscallError("write", err))
		case c.reset || c.out.fin:
			return done, c.fault("write", os.NewSyscallError("write", syscall.EPIPE))
		}
		if n := min(len(p)-done, c.out.room()); n > 0 {
			c.traceBytes("writes", p[done:done+n])
			c.out.put(p[done : done+n])
			done += n
		}
		if done == len(p) {
			return done, nil
		}
		c.writers = append(c.writers, t)
		woken = t.park(c.writeLimit, "write", c)
		c.writers = without(c.writers, t)
	}
}

func without(list []*task, t *task) []*task {
	for i, o := range list {
		if o == t {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

func (c *Conn) traceBytes(what string, p []byte) {
	if tr := c.w.tr; tr != nil {
		tr.conn(c, what, p)
	}
}

func (c *Conn) trace(what string) {
	if tr := c.w.tr; tr != nil {
		tr.conn(c, what, nil)
	}
}

// before is called by operations that do not wait. It tells whether the operation is to be made.
func (c *Conn) before(name string) bool {
	if c.p.dead {
		return false
	}
	if f := c.w.opt.OnOp; f != nil && c.w.sched.cur != nil {
		f(c.p, Op{Name: name, Conn: c})
	}
	return true
}

// Close closes the connection. Bytes written before are still sent; bytes that came and were not read make it a reset.
func (c *Conn) Close() error {
	if !c.before("close") {
		return nil
	}
	if c.closed {
		return c.fault("close", net.ErrClosed)
	}
	c.trace("closes")
	c.shut(resets)
	return nil
}

// CloseWrite ends what is sent: the far side reads the end behind the last byte.
func (c *Conn) CloseWrite() error {
	if !c.before("closewrite") {
		return nil
	}
	switch {
	case c.closed:
		return c.fault("close", net.ErrClosed)
	case c.reset:
		return c.fault("close", os.NewSyscallError("shutdown", syscall.ENOTCONN))
	case c.out.fin:
		return nil
	}
	c.trace("ends")
	c.out.fin = true
	c.out.pump()
	return nil
}

// SetLinger(0) makes Close a reset which drops what was not sent; a negative number takes that back. Other numbers are
// taken as negative.
func (c *Conn) SetLinger(sec int) error {
	if c.closed {
		return c.fault("set", net.ErrClosed)
	}
	c.linger = sec == 0
	return nil
}

// SetDeadline sets both deadlines, by the clock Now; the zero time is none.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets when reads, also those that wait, end with os.ErrDeadlineExceeded.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.p.dead {
		return nil
	}
	if c.closed {
		return c.fault("set", net.ErrClosed)
	}
	c.readLimit = c.p.instant(t)
	for _, r := range c.readers {
		c.w.sched.rearm(r, c.readLimit)
	}
	return nil
}

// SetWriteDeadline sets when writes, also those that wait, end with os.ErrDeadlineExceeded.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if c.p.dead {
		return nil
	}
	if c.closed {
		return c.fault("set", net.ErrClosed)
	}
	c.writeLimit = c.p.instant(t)
	for _, r := range c.writers {
		c.w.sched.rearm(r, c.writeLimit)
	}
	return nil
}

// Readable tells whether a read would come back at once with something, or the end.
func (c *Conn) Readable() bool {
	in := c.in()
	return c.closed || in.unread > 0 || in.eof || c.reset
}

// PeerClosed tells whether the far side has closed or reset it, as far as that has come here (host.PeerClosed).
func (c *Conn) PeerClosed() bool { return c.reset || c.in().eof }

// RoundTrip is the least time there and back of its handshake, of each write and of now, as a kernel's estimate
// (host.RoundTrip).
func (c *Conn) RoundTrip() time.Duration {
	if c.far == nil {
		return 0
	}
	near, far := c.p.m, c.far.p.m
	now := c.w.Path(near, far).q.Latency + c.w.Path(far, near).q.Latency
	if c.trip == 0 || now < c.trip {
		c.trip = now
	}
	return c.trip
}

// Handle sets what a stand-in is told. What came before is told at once.
func (c *Conn) Handle(e Events) {
	c.on = e
	if in := c.in(); in.unread > 0 || in.eof {
		c.tell()
	}
	if c.reset && !c.closed && e.Broken != nil {
		e.Broken(c.fault("read", syscall.ECONNRESET))
	}
}

// Unread is what has come and was not taken by Discard or Read. It is only good until the scheduler goes on.
func (c *Conn) Unread() []byte {
	in := c.in()
	return in.buf[in.head : in.head+in.unread]
}

// Discard takes out the first n bytes of Unread.
func (c *Conn) Discard(n int) {
	in := c.in()
	if n <= 0 || c.closed {
		return
	}
	in.take(min(n, in.unread))
	if in.eof && !c.telling {
		c.tell()
	}
}

// Send sends bytes, however many: it never waits. It tells whether the connection still takes them.
func (c *Conn) Send(p []byte) bool {
	if c.p.dead || c.closed || c.reset || c.out.fin {
		return false
	}
	c.traceBytes("sends", p)
	c.out.put(p)
	return true
}

// Queued is how many bytes were written or sent and have not come to the far side.
func (c *Conn) Queued() int { return c.out.pending + c.out.flight + c.out.unacked }

// Reset breaks the connection: the far side gets a reset, and what was not sent is dropped.
func (c *Conn) Reset() {
	if c.p.dead || c.closed {
		return
	}
	c.trace("resets")
	c.linger = true
	c.shut(resets)
}

// shut closes it, by its application or with its process.
func (c *Conn) shut(how ending) {
	c.closed = true
	list := c.p.conns
	for i, o := range list {
		if o == c {
			last := len(list) - 1
			list[i], list[last] = list[last], nil
			c.p.conns = list[:last]
			c.p.fds--
			break
		}
	}
	c.wake()
	if d := c.dial; d != nil {
		d.cancel()
		c.p.freed()
		return
	}
	if tap := c.w.opt.Tap; tap != nil {
		tap.Closed(c)
	}
	in := c.in()
	switch {
	case c.gone:
	case how == silent:
		c.gone = true
		c.out.drop()
	case c.linger || in.unread > 0:
		c.gone = true
		c.out.drop()
		c.out.resetFar()
	default:
		c.out.fin = true
		c.out.pump()
		c.out.settle()
	}
	c.p.freed()
}

// wake ends all waits, which then see what has happened.
func (c *Conn) wake() {
	for _, t := range c.readers {
		c.w.sched.wake(t)
	}
	for _, t := range c.writers {
		c.w.sched.wake(t)
	}
}

// readable is called when something came.
func (c *Conn) readable() {
	for _, t := range c.readers {
		c.w.sched.wake(t)
	}
	c.tell()
}

// tell tells a stand-in what has come.
func (c *Conn) tell() {
	in := c.in()
	if in.unread > 0 && c.on.Data != nil {
		c.telling = true
		c.on.Data()
		c.telling = false
	}
	if in.eof && in.unread == 0 && !c.closed && c.on.End != nil {
		f := c.on.End
		c.on.End = nil
		f()
	}
}

// writable is called when there is room in the send buffer.
func (c *Conn) writable() {
	for _, t := range c.writers {
		c.w.sched.wake(t)
	}
	if c.on.Sent != nil && !c.closed && c.Queued() == 0 {
		c.on.Sent()
	}
}

// broken is called when a reset came, or when it gives up.
func (c *Conn) broken(err syscall.Errno) {
	if c.gone {
		return
	}
	c.trace("breaks")
	c.gone, c.reset, c.err = true, true, err // what came before can still be read
	c.out.drop()
	c.wake()
	if c.on.Broken != nil && !c.closed {
		c.on.Broken(c.fault("read", err))
	}
}

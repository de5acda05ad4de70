package vnet

import (
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"curlewmux/internal/host"
)

// Listener takes connections on one port of a machine.
type Listener struct {
	p        *Process
	addr     *net.TCPAddr
	closed   bool
	queue    []*Conn // that are up and were not accepted
	reserved int     // that are being made
	waiting  []*task
	on       func(*Conn) // of a stand-in, which accepts at once
}

var _ net.Listener = (*Listener)(nil)

// Listen listens on a port of the machine, whatever its address is; port 0 chooses one.
func (p *Process) Listen(addr string) (net.Listener, error) {
	l, err := p.listen(addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Serve listens like Listen, for a stand-in: each connection is accepted at once, as far as there are descriptors, and
// given to on, which must not wait.
func (p *Process) Serve(addr string, on func(*Conn)) (*Listener, error) {
	l, err := p.listen(addr)
	if err != nil {
		return nil, err
	}
	l.on = on
	return l, nil
}

func (p *Process) listen(addr string) (*Listener, error) {
	if p.dead {
		return nil, net.ErrClosed
	}
	if f := p.w.opt.OnOp; f != nil && p.w.sched.cur != nil {
		f(p, Op{Name: "listen"})
	}
	fault := func(at net.Addr, err error) error { return &net.OpError{Op: "listen", Net: "tcp", Addr: at, Err: err} }
	to, at, err := p.m.resolve(addr)
	switch {
	case err != nil:
		return nil, fault(nil, err)
	case to != p.m:
		return nil, fault(at, os.NewSyscallError("bind", syscall.EADDRNOTAVAIL))
	case p.full():
		return nil, fault(at, os.NewSyscallError("socket", syscall.EMFILE))
	case p.m.listener(at.Port) != nil:
		return nil, fault(at, os.NewSyscallError("bind", syscall.EADDRINUSE))
	}
	if name, _, _ := net.SplitHostPort(addr); name == "" || net.ParseIP(name).IsUnspecified() {
		at.IP = p.m.ip.AsSlice()
	}
	if at.Port == 0 {
		at.Port = p.m.nextPort()
	}
	l := &Listener{p: p, addr: at}
	p.m.listeners = append(p.m.listeners, l)
	p.fds++
	p.w.Note("%s listens on %d", p, at.Port)
	return l, nil
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.addr }

// Waiting is how many connections wait to be accepted.
func (l *Listener) Waiting() int { return len(l.queue) }

func (l *Listener) fault(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: l.addr, Err: err}
}

// Accept waits for a connection. Without a free descriptor it fails with EMFILE, as the real one does, and the
// connection stays in the queue.
func (l *Listener) Accept() (net.Conn, error) {
	t := l.p.op("accept", nil, 0)
	t.stepBack("accept", nil)
	for {
		switch {
		case l.closed:
			return nil, l.fault("accept", net.ErrClosed)
		case len(l.queue) > 0 && l.p.full():
			return nil, l.fault("accept", os.NewSyscallError("accept4", syscall.EMFILE))
		case len(l.queue) > 0:
			return l.accept(), nil
		}
		l.waiting = append(l.waiting, t)
		t.park(never, "accept", nil)
		l.waiting = without(l.waiting, t)
	}
}

func (l *Listener) accept() *Conn {
	c := l.queue[0]
	l.queue = slices.Delete(l.queue, 0, 1)
	c.own()
	c.trace("accepted")
	return c
}

// own gives the connection a descriptor of its process.
func (c *Conn) own() {
	c.p.fds++
	c.p.conns = append(c.p.conns, c)
}

// Close ends the listening. Connections that were not accepted are reset.
func (l *Listener) Close() error {
	if l.p.dead {
		return nil
	}
	if f := l.p.w.opt.OnOp; f != nil && l.p.w.sched.cur != nil {
		f(l.p, Op{Name: "close"})
	}
	if l.closed {
		return l.fault("close", net.ErrClosed)
	}
	l.p.w.Note("%s closes port %d", l.p, l.addr.Port)
	l.shut(resets)
	l.p.freed()
	return nil
}

func (l *Listener) shut(how ending) {
	l.closed = true
	l.p.fds--
	m := l.p.m
	m.listeners = slices.DeleteFunc(m.listeners, func(o *Listener) bool { return o == l })
	for _, c := range l.queue {
		c.linger = true
		c.shut(how)
	}
	l.queue = nil
	for _, t := range l.waiting {
		l.p.w.sched.wake(t)
	}
}

// full tells that the kernel takes no further connection.
func (l *Listener) full() bool {
	most := l.p.m.lim.Backlog
	if most <= 0 {
		most = 4096
	}
	return len(l.queue)+l.reserved >= most
}

// opened is called when a connection is up at this side.
func (l *Listener) opened(c *Conn) {
	l.reserved--
	if l.closed {
		c.gone = true
		c.out.resetFar()
		return
	}
	l.queue = append(l.queue, c)
	if len(l.waiting) > 0 {
		l.p.w.sched.wake(l.waiting[0])
	}
	l.serve()
}

// serve accepts for a stand-in.
func (l *Listener) serve() {
	for l.on != nil && len(l.queue) > 0 && !l.p.full() {
		l.on(l.accept())
	}
}

// dialing is a connection that is being made.
type dialing struct {
	c     *Conn
	to    *Machine // nil: there is none at the address
	ev    event
	stage stage
	tries int
	l     *Listener // whose backlog keeps a place for it
	done  func(error)
}

type stage uint8

const (
	calling stage = iota // the first packet is to be sent
	called               // it is under way
	refused              // a reset is under way back
	taken                // the listener's answer is under way back
)

func (s stage) String() string { return [...]string{"calls", "called", "refused", "taken"}[s] }

// tcp(7), tcp_syn_retries: six, after 1, 2, 4, 8, 16 and 32 s, and 64 s later it ends.
const (
	dialTries  = 7
	firstRetry = time.Second
)

// Dial connects to addr.
func (p *Process) Dial(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
	t := p.op("dial", nil, 0)
	s := &p.w.sched
	var err error
	over := false
	end := func(e error) {
		err, over = e, true
		s.wake(t)
	}
	c, bad := p.connect(addr, end)
	if bad != nil {
		return nil, fmt.Errorf("dial: %w", bad)
	}
	abort.On(func() {
		if !over {
			c.shut(silent)
			end(host.ErrAborted)
		}
	})
	defer abort.On(nil)
	until := int64(never)
	if limit > 0 {
		until = s.later(limit)
	}
	for !over {
		if !t.park(until, "dial", c) {
			c.shut(silent)
			err, over = errTimeout{}, true
		}
	}
	switch {
	case abort.Done():
		if !c.closed {
			c.shut(resets)
		}
		return nil, fmt.Errorf("dial %s: %w", addr, host.ErrAborted)
	case err != nil:
		return nil, fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Net: "tcp", Addr: c.remote, Err: err})
	}
	return c, nil
}

// Connect dials for a stand-in: done is called once, in the scheduler, and must not wait. A limit of 0 is none.
func (p *Process) Connect(addr string, limit time.Duration, done func(*Conn, error)) {
	if p.dead {
		return
	}
	var timer *Script
	var c *Conn
	c, err := p.connect(addr, func(err error) {
		if timer != nil {
			timer.Stop()
		}
		if err != nil {
			done(nil, err)
			return
		}
		done(c, nil)
	})
	switch {
	case err != nil:
		p.After(0, func() { done(nil, err) })
	case limit > 0:
		timer = p.After(limit, func() {
			c.shut(silent)
			done(nil, errTimeout{})
		})
	}
}

// connect begins to dial. done is told the end, unless the connection is closed before.
func (p *Process) connect(addr string, done func(error)) (*Conn, error) {
	to, at, err := p.m.resolve(addr)
	switch {
	case err != nil:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	case p.full():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: at, Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	near := &net.TCPAddr{IP: at.IP, Port: p.m.nextPort()}
	if to != p.m {
		near.IP = net.IP(p.m.ip.AsSlice())
	}
	p.w.conns++
	c := p.w.newConn(p, near, at)
	c.n = p.w.conns
	c.own()
	d := &dialing{c: c, to: to, done: done}
	d.ev = event{kind: Packets, p: p, act: d}
	c.dial = d
	if tr := p.w.tr; tr != nil {
		tr.note(fmt.Sprintf("c%dd %s dials %s", c.n, p, addr))
	}
	d.call()
	return c, nil
}

func (d *dialing) label(b []byte) []byte {
	b = append(d.c.label(b), ' ')
	return append(b, d.stage.String()...)
}

func (d *dialing) there() *Path { return d.c.w.Path(d.c.p.m, d.to) }
func (d *dialing) back() *Path  { return d.c.w.Path(d.to, d.c.p.m) }

func (d *dialing) at(s stage, after int64) {
	d.stage = s
	d.c.w.sched.at(&d.ev, d.c.w.sched.now+after)
}

// call sends the first packet.
func (d *dialing) call() {
	if d.tries++; d.tries > dialTries {
		d.end(os.NewSyscallError("connect", syscall.ETIMEDOUT))
		return
	}
	if d.to == nil || d.there().down() {
		d.lost()
		return
	}
	d.at(called, d.there().travel())
}

// lost waits to call again.
func (d *dialing) lost() { d.at(calling, (firstRetry << (d.tries - 1)).Microseconds()) }

func (d *dialing) fire() {
	w := d.c.w
	switch d.stage {
	case calling:
		d.call()
	case called:
		if d.there().down() {
			d.lost()
			return
		}
		d.l = d.to.listener(d.c.remote.Port)
		switch {
		case d.l == nil || d.l.addr.IP.IsLoopback() && d.to != d.c.p.m:
			d.l = nil
			d.at(refused, d.back().travel())
		case d.l.full():
			d.l = nil
			d.lost()
		default:
			d.l.reserved++
			d.at(taken, d.back().travel())
		}
	case refused:
		if d.back().down() {
			d.lost()
			return
		}
		d.end(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	case taken:
		if d.back().down() {
			d.l.reserved--
			d.l = nil
			d.lost()
			return
		}
		c, l := d.c, d.l
		far := w.newConn(l.p, c.remote, c.local)
		far.n, far.listener = c.n, l
		c.far, far.far = far, c
		c.RoundTrip() // the handshake's is the first that a kernel measures
		far.RoundTrip()
		c.out.init(c, far)
		far.out.init(far, c)
		c.dial = nil
		if tap := w.opt.Tap; tap != nil {
			tap.Up(c)
		}
		c.out.open = true
		c.out.pump()
		d.done(nil)
	}
}

// end ends it without a connection.
func (d *dialing) end(err error) {
	d.c.shut(silent)
	d.done(err)
}

// cancel calls it off.
func (d *dialing) cancel() {
	d.c.dial = nil
	d.c.w.sched.drop(&d.ev)
	if d.l != nil {
		d.l.reserved--
		d.l = nil
	}
}

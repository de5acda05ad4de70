package vnet

import (
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/journal/memdir"
)

// Machine is one machine of a world: an address, a wall clock, limits, and what outlasts its process. One process at a
// time runs on it.
type Machine struct {
	w    *World
	n    int
	name string
	ip   netip.Addr
	off  bool
	proc *Process
	skew time.Duration
	lim  Limits
	disk *memdir.Disk
	slow DiskTimes
	port int // the last that was given out

	listeners []*Listener
}

// Limits bound what a machine's process may have. Zero values are replaced by usual ones.
type Limits struct {
	Descriptors int // connections and listeners, 0: no limit
	Backlog     int // connections that a listener holds which were not accepted yet, 0: 4096
	SendBuffer  int // bytes of one connection that are not acknowledged yet, 0: 128 KiB
	ReadBuffer  int // bytes of one connection that have come and were not read, 0: 128 KiB
}

// Machine makes a machine. It is on, and no process runs on it. Its name can be dialled.
func (w *World) Machine(name string) *Machine {
	if w.byName[name] != nil {
		panic("vnet: two machines of the name " + name)
	}
	n := len(w.machines) + 1
	m := &Machine{w: w, n: n, name: name, ip: netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), port: 32768,
		disk: memdir.New()}
	w.machines = append(w.machines, m)
	w.byName[name], w.byIP[m.ip] = m, m
	return m
}

// Name is the machine's name.
func (m *Machine) Name() string { return m.name }

// Addr is the machine's address with a port.
func (m *Machine) Addr(port int) string { return netip.AddrPortFrom(m.ip, uint16(port)).String() }

// Limit sets limits, for what is opened from now on.
func (m *Machine) Limit(l Limits) { m.lim = l }

// Process is what runs on the machine, nil if nothing does.
func (m *Machine) Process() *Process { return m.proc }

// StepWall steps the machine's wall clock.
func (m *Machine) StepWall(by time.Duration) { m.skew += by; m.w.Note("%s wall clock %+v", m.name, by) }

// Boot starts a process, and turns the machine on if it was off. main runs on a goroutine of it; when it returns the
// process ends as by os.Exit. With main nil the process lives until it is killed, which is for stand-ins.
func (m *Machine) Boot(main func(h host.Host)) *Process {
	if m.proc != nil {
		panic("vnet: " + m.name + " runs a process already")
	}
	m.w.procs++
	p := &Process{w: m.w, m: m, n: m.w.procs}
	m.proc = p
	m.w.Note("%s boots %s", m.name, p)
	m.turnOn()
	if main != nil {
		p.Go(func() {
			main(p)
			if !p.dead {
				p.exited = true
				p.end(resets)
			}
		})
	}
	return p
}

// Kill kills the process (SIGKILL): its goroutines end where they are, and the kernel closes its sockets, with a reset
// for those with bytes not read. Called on a goroutine of that process it does not return.
func (m *Machine) Kill() {
	if m.proc != nil {
		m.w.Note("%s killed", m.proc)
		m.proc.kill(resets)
	}
}

// Stop stops the process (SIGSTOP): none of its goroutines goes on, though a goroutine of it that calls this does up to its
// next operation. Its kernel takes and answers packets, timers come due and wait. It can be killed.
func (m *Machine) Stop() {
	if p := m.proc; p != nil && !p.stopped {
		m.w.Note("%s stopped", p)
		p.stopped = true
		m.w.sched.stops++
	}
}

// Continue has a stopped process go on (SIGCONT).
func (m *Machine) Continue() {
	p := m.proc
	if p == nil || !p.stopped {
		return
	}
	m.w.Note("%s goes on", p)
	p.stopped = false
	s := &m.w.sched
	s.stops--
	list := p.held
	p.held = nil
	for _, e := range list {
		e.in = nowhere
		s.at(e, s.now)
	}
}

// Lose turns the machine off from one moment to the next (power cut, cable pulled): nothing is sent any more, and what
// is sent to it gets no answer, until it boots or is turned on.
func (m *Machine) Lose() {
	m.w.Note("%s lost", m.name)
	m.off = true
	for _, l := range slices.Clone(m.listeners) {
		l.shut(silent)
	}
	for _, o := range m.w.machines {
		if p := m.w.paths[[2]int{m.n, o.n}]; p != nil {
			for _, h := range p.halves {
				h.from.gone = true
			}
		}
		if p := m.w.paths[[2]int{o.n, m.n}]; p != nil {
			p.recall()
		}
	}
	m.disk.PowerFail(m.w.net.n)
	if m.proc != nil {
		m.proc.kill(silent)
	}
}

// TurnOn turns the machine on without a process: whoever dials it is refused.
func (m *Machine) TurnOn() {
	m.w.Note("%s on", m.name)
	m.turnOn()
}

func (m *Machine) turnOn() {
	if !m.off {
		return
	}
	m.off = false
	for _, o := range m.w.machines {
		if p := m.w.paths[[2]int{o.n, m.n}]; p != nil {
			p.resend(0)
		}
	}
}

// nextPort gives out a port for the near side of a connection, or for a listener.
func (m *Machine) nextPort() int {
	for range 28232 {
		if m.port++; m.port > 60999 {
			m.port = 32768
		}
		if m.listener(m.port) == nil {
			break
		}
	}
	return m.port
}

func (m *Machine) listener(port int) *Listener {
	for _, l := range m.listeners {
		if l.addr.Port == port {
			return l
		}
	}
	return nil
}

// ending is how the kernel ends the sockets of a process.
type ending uint8

const (
	resets ending = iota // closes them, as Close does
	silent               // says nothing to anyone
)

// Process is a process on a machine, and the host.Host that its code runs on.
type Process struct {
	w      *World
	m      *Machine
	n      int
	dead   bool
	exited bool
	ids    int // of goroutines
	tasks  []*task
	conns  []*Conn // with a descriptor
	fds    int

	stopped bool
	held    []*event // what is due of it, while it is stopped
}

var _ host.Host = (*Process)(nil)

func (p *Process) String() string { return p.m.name + "#" + strconv.Itoa(p.n) }

// Machine is where it runs.
func (p *Process) Machine() *Machine { return p.m }

// Dead tells that it was killed or has ended.
func (p *Process) Dead() bool { return p.dead }

// Exited tells that its main has returned.
func (p *Process) Exited() bool { return p.exited }

// Goroutines is how many it has.
func (p *Process) Goroutines() int { return len(p.tasks) }

// Descriptors is how many sockets and files it has open.
func (p *Process) Descriptors() int { return p.fds }

// Conns are its open connections, in no particular order that a replay would change.
func (p *Process) Conns() []*Conn { return slices.Clone(p.conns) }

// Waiting is one line for each of its goroutines: what it waits at.
func (p *Process) Waiting() []string {
	var list []string
	for _, t := range p.tasks {
		list = append(list, string(t.place(appendInt([]byte("g"), int64(t.id)))))
	}
	return list
}

// Wait is where one goroutine of a process waits.
type Wait struct {
	Goroutine int // 1 for main, then as they were started
	Op        string
	Conn      *Conn         // of those at connections
	Until     time.Duration // when the wait ends by itself, below 0: never
}

// Waits is where its goroutines wait, in no particular order that a replay would change.
func (p *Process) Waits() []Wait {
	var list []Wait
	for _, t := range p.tasks {
		if !t.waits {
			continue
		}
		w := Wait{Goroutine: t.id, Op: t.why, Conn: t.about, Until: -1}
		if t.ev.in != nowhere {
			w.Until = span(t.ev.at)
		}
		list = append(list, w)
	}
	return list
}

func (p *Process) kill(how ending) {
	p.end(how)
	if t := p.w.sched.cur; t != nil && t.p == p {
		panic(killed{})
	}
}

// end ends the process: all its goroutines but the one that calls this.
func (p *Process) end(how ending) {
	if p.dead {
		return
	}
	p.dead = true
	p.m.proc = nil
	s := &p.w.sched
	for _, l := range slices.Clone(p.m.listeners) {
		l.shut(how)
	}
	for len(p.conns) > 0 {
		p.conns[0].shut(how)
	}
	s.forget(p)
	p.m.disk.Crash()
	for _, t := range p.tasks {
		if t != s.cur {
			s.unwind(t)
		}
	}
	p.tasks, p.fds = nil, 0
}

// ended takes out a goroutine.
func (p *Process) ended(t *task) {
	for i, o := range p.tasks {
		if o == t {
			last := len(p.tasks) - 1
			p.tasks[i] = p.tasks[last]
			p.tasks[last] = nil
			p.tasks = p.tasks[:last]
			return
		}
	}
}

// op is called by each operation that may wait. It returns the goroutine that makes it.
func (p *Process) op(name string, c *Conn, size int) *task {
	t := p.w.sched.cur
	if t == nil {
		panic("vnet: " + name + " outside of a goroutine of a process, where nothing may wait")
	}
	if p.dead {
		t.dead()
	}
	if f := p.w.opt.OnOp; f != nil {
		f(p, Op{Name: name, Conn: c, Size: size})
	}
	if p.stopped && !p.dead {
		t.woken, t.why, t.about = true, name, c
		p.w.sched.at(&t.ev, p.w.sched.now)
		t.leave()
	}
	return t
}

// Now is the world's time.
func (p *Process) Now() time.Time { return clockEpoch.Add(span(p.w.sched.now)) }

// instant is a time of Now as an instant, rounded up; never for the zero time.
func (p *Process) instant(t time.Time) int64 {
	if t.IsZero() {
		return never
	}
	d := t.Sub(clockEpoch)
	if d <= 0 {
		return 0
	}
	return (int64(d) + 999) / 1000
}

// Wall is what the machine's wall clock shows.
func (p *Process) Wall() time.Time { return wallEpoch.Add(span(p.w.sched.now) + p.m.skew) }

// Go runs f on a goroutine of the process.
func (p *Process) Go(f func()) {
	if p.dead {
		return
	}
	p.w.sched.at(&p.newTask(f).ev, p.w.sched.now)
}

func (p *Process) newTask(f func()) *task {
	p.ids++
	t := &task{p: p, id: p.ids, f: f}
	t.ev = event{kind: Goroutines, p: p, act: t}
	p.tasks = append(p.tasks, t)
	return t
}

// AfterFunc runs f on a goroutine of the process once d has passed.
func (p *Process) AfterFunc(d time.Duration, f func()) host.Timer {
	t := &timer{p: p, f: f}
	t.ev = event{kind: Timers, p: p, act: t}
	if !p.dead {
		p.w.sched.at(&t.ev, p.w.sched.later(d))
	}
	return t
}

type timer struct {
	p  *Process
	ev event
	f  func()
}

func (t *timer) fire()                 { t.p.w.sched.resume(t.p.newTask(t.f)) }
func (t *timer) label(b []byte) []byte { return appendInt(append(b, "set at "...), int64(t.ev.seq)) }
func (t *timer) Stop() bool            { return t.p.w.sched.drop(&t.ev) }

// After runs f in the scheduler once d has passed, unless the process has ended by then. It is for stand-ins: f must not
// wait for anything.
func (p *Process) After(d time.Duration, f func()) *Script {
	if p.dead {
		return &Script{w: p.w}
	}
	return p.w.after(p, d, f)
}

// NewInbox makes an inbox.
func (p *Process) NewInbox() host.Inbox { return &inbox{p: p} }

type inbox struct {
	p      *Process
	list   []any
	closed bool
	taker  *task // that waits
}

func (b *inbox) Put(v any) bool {
	if b.closed || b.p.dead {
		return false
	}
	b.list = append(b.list, v)
	if b.taker != nil {
		b.p.w.sched.wake(b.taker)
	}
	return true
}

func (b *inbox) Take(into []any, until time.Time) []any {
	t := b.p.op("take", nil, 0)
	limit := b.p.instant(until)
	t.stepBack("take", nil)
	for len(b.list) == 0 && !b.closed {
		if b.p.w.sched.now >= limit {
			return into
		}
		if b.taker != nil {
			panic("vnet: two goroutines at one inbox")
		}
		b.taker = t
		t.park(limit, "take", nil)
		b.taker = nil
	}
	into = append(into, b.list...)
	clear(b.list)
	b.list = b.list[:0]
	return into
}

func (b *inbox) Close() []any {
	if b.p.dead {
		return nil
	}
	left := b.list
	b.closed, b.list = true, nil
	if b.taker != nil {
		b.p.w.sched.wake(b.taker)
	}
	return left
}

// resolve is the machine and address that "host:port" names, as seen from a machine.
func (m *Machine) resolve(addr string) (*Machine, *net.TCPAddr, error) {
	name, service, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, nil, err
	}
	port, err := strconv.ParseUint(service, 10, 16)
	if err != nil {
		return nil, nil, &net.AddrError{Err: "invalid port", Addr: addr}
	}
	ip, err := netip.ParseAddr(name)
	to := m
	switch {
	case name == "" || name == "localhost" || err == nil && (ip.IsLoopback() || ip.IsUnspecified()):
		ip = netip.AddrFrom4([4]byte{127, 0, 0, 1})
	case err == nil:
		to = m.w.byIP[ip.Unmap()]
	default:
		if to = m.w.byName[name]; to == nil {
			return nil, nil, &net.DNSError{Err: "no such host", Name: name, IsNotFound: true}
		}
		ip = to.ip
	}
	return to, net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip.Unmap(), uint16(port))), nil
}

// errTimeout is what package net makes of a dial that took too long.
type errTimeout struct{}

func (errTimeout) Error() string   { return "i/o timeout" }
func (errTimeout) Timeout() bool   { return true }
func (errTimeout) Temporary() bool { return true }

func (p *Process) full() bool { return p.m.lim.Descriptors > 0 && p.fds >= p.m.lim.Descriptors }

// freed is called when a descriptor has become free.
func (p *Process) freed() {
	if p.dead {
		return
	}
	for _, l := range p.m.listeners {
		l.serve()
	}
}

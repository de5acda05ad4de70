package vnet

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Options are what a world is made with. The zero value is ready for use.
type Options struct {
	// Trace is where the lines of the trace go to, nil: nowhere.
	Trace Writer

	// Hash keeps the SHA-256 over the lines of the trace; see World.Sum.
	Hash bool

	// Order sets the rule by which ties are ordered, 0: one drawn from the seed.
	Order Order

	// OnStep is called after each step, by the goroutine that called Run; nil: nothing is.
	OnStep func(Step)

	// OnOp is called before each operation of a process, at the place where it is made. It may kill the process, which
	// then does not make the operation. nil: nothing is.
	OnOp func(*Process, Op)

	// Tap is told what crosses the sockets; nil: nobody is.
	Tap Tap

	// Path is how connections between two machines go until it is set otherwise. The zero value is replaced by a latency
	// of 200 us and a jitter of 100 us.
	Path Quality

	// Watchdog is how long (real time) a single step may take before the program is ended with the stacks of all
	// goroutines, 0: for ever.
	Watchdog time.Duration
}

// Writer is what a trace is written to (io.Writer).
type Writer interface{ Write(p []byte) (int, error) }

// Step is one step of a world: an event, or the run of one goroutine from one wait to the next.
type Step struct {
	N       uint64 // 1, 2, 3 and so on
	At      time.Duration
	Kind    Kind
	Process *Process // whose it was, nil: the world's
}

// Op is one operation of a process on its host.
type Op struct {
	Name string // "dial", "listen", "accept", "read", "write", "close" and so on
	Conn *Conn  // of those on connections
	Size int    // bytes of a read or write
}

// Tap is told what crosses the sockets, at the moment it does, in the scheduler or on the goroutine that did it. It must
// keep no slice that it is given and must not change the world.
type Tap interface {
	// Up tells that the side that dialled has its connection.
	Up(c *Conn)

	// Sent tells that an application's bytes were taken by its side's kernel.
	Sent(c *Conn, p []byte)

	// Arrived tells that bytes came to the kernel of the side c.
	Arrived(c *Conn, p []byte)

	// Closed tells that a side was closed, by its application or with its process.
	Closed(c *Conn)
}

// Run's errors.
var (
	// ErrTime says that the time given has passed.
	ErrTime = errors.New("time is up")

	// ErrDeadlock says that nothing can happen any more. The error tells what the goroutines wait for.
	ErrDeadlock = errors.New("nothing can happen any more")

	// ErrSpin says that a million steps were made at one instant.
	ErrSpin = errors.New("the clock does not move on")

	// ErrStays says that a goroutine of a killed process goes on. The error names where.
	ErrStays = errors.New("a goroutine of a killed process does not end")
)

// PanicError says that a goroutine of a process panicked. The process goes on: the run is over.
type PanicError struct {
	Process string
	Value   any
	Stack   []byte
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("process %s panicked: %v\n%s", e.Process, e.Value, e.Stack)
}

// Instants are in microseconds since the world began.
const (
	never = math.MaxInt64

	// spin is how many steps may be made at one instant.
	spin = 1_000_000
)

// The clocks of machines when their world begins. They differ so that whoever takes one for the other is found out.
var (
	clockEpoch = time.Date(2001, 1, 1, 0, 0, 0, 0, time.UTC)
	wallEpoch  = time.Date(2031, 3, 3, 12, 0, 0, 0, time.UTC)
)

// World is a simulated world.
type World struct {
	opt   Options
	sched scheduler
	tr    *trace
	net   dice // draws of the network

	machines []*Machine
	byName   map[string]*Machine
	byIP     map[netip.Addr]*Machine
	paths    map[[2]int]*Path
	conns    int // made so far
	procs    int // made so far
	failed   error
}

// New makes a world from its seed. Close ends it.
func New(seed uint64, o Options) *World {
	d := dice{seed}
	w := &World{
		opt:    o,
		net:    dice{d.next()},
		byName: make(map[string]*Machine),
		byIP:   make(map[netip.Addr]*Machine),
		paths:  make(map[[2]int]*Path),
	}
	if w.opt.Path == (Quality{}) {
		w.opt.Path = Quality{Latency: 200 * time.Microsecond, Jitter: 100 * time.Microsecond}
	}
	if o.Trace != nil || o.Hash {
		w.tr = newTrace(w, o.Trace, o.Hash)
	}
	w.sched.init(w, &d, o.Order)
	if o.Watchdog > 0 {
		w.sched.watch(o.Watchdog)
	}
	return w
}

// Now is how much time has passed since the world began.
func (w *World) Now() time.Duration { return span(w.sched.now) }

// Steps is how many steps were made.
func (w *World) Steps() uint64 { return w.sched.steps }

// Order is the rule by which ties are ordered.
func (w *World) Order() Order { return w.sched.order }

// Ties is how many steps were picked out of several that could have come next.
func (w *World) Ties() uint64 { return w.sched.ties }

// After runs f in the scheduler once d has passed. f must not wait for anything.
func (w *World) After(d time.Duration, f func()) *Script { return w.after(nil, d, f) }

func (w *World) after(p *Process, d time.Duration, f func()) *Script {
	s := &Script{w: w, f: f}
	s.ev = event{kind: Scripts, p: p, act: s}
	w.sched.at(&s.ev, w.sched.later(d))
	return s
}

// Script is a function that the scheduler is yet to run.
type Script struct {
	w  *World
	ev event
	f  func()
}

func (s *Script) fire()                 { s.f() }
func (s *Script) label(b []byte) []byte { return append(b, "script"...) }

// Stop keeps the function from being run and tells whether it came in time for that.
func (s *Script) Stop() bool { return s.w.sched.drop(&s.ev) }

// Run makes steps until done says so, which is asked before the first and after each, or until the time has come. done
// may be nil: then it runs until the time. What is due at that time has happened when Run comes back.
func (w *World) Run(until time.Duration, done func() bool) error {
	s := &w.sched
	limit := until.Microseconds()
	for {
		if w.failed != nil {
			return w.failed
		}
		if done != nil && done() {
			return nil
		}
		switch e, at := s.next(limit); {
		case e != nil:
			s.step(e)
		case done == nil:
			s.advance(limit)
			return nil
		case at == never:
			return w.deadlock()
		default:
			s.advance(limit)
			return ErrTime
		}
	}
}

func (w *World) deadlock() error {
	var b strings.Builder
	for _, m := range w.machines {
		if m.proc == nil {
			continue
		}
		for _, at := range m.proc.Waiting() {
			fmt.Fprintf(&b, "; %s: %s", m.name, at)
		}
	}
	return fmt.Errorf("%w%s", ErrDeadlock, b.String())
}

// Next is when the next event of a kind is due, false if there is none. p nil asks for any process's.
func (w *World) Next(kind Kind, p *Process) (at time.Duration, ok bool) {
	best := int64(never)
	for _, list := range [][]*event{w.sched.heap, w.sched.due} {
		for _, e := range list {
			if e.kind == kind && (p == nil || e.p == p) && max(e.at, w.sched.now) < best {
				best = max(e.at, w.sched.now)
			}
		}
	}
	return span(best), best < never
}

// Note writes a line into the trace, if there is one.
func (w *World) Note(format string, args ...any) {
	if w.tr != nil {
		w.tr.note(fmt.Sprintf(format, args...))
	}
}

// Sum is the SHA-256 over the trace so far, zero without Options.Hash.
func (w *World) Sum() [32]byte {
	if w.tr == nil {
		return [32]byte{}
	}
	return w.tr.sum()
}

// Close kills all processes and ends their goroutines. The world must not be used after it.
func (w *World) Close() {
	for _, m := range w.machines {
		if m.proc != nil {
			m.proc.end(silent)
		}
	}
	w.sched.close()
	if w.tr != nil {
		w.tr.flush()
	}
}

// Machines are all machines, in the order in which they were made.
func (w *World) Machines() []*Machine { return slices.Clone(w.machines) }

func (w *World) fail(err error) {
	if w.failed == nil {
		w.failed = err
	}
}

func span(us int64) time.Duration {
	if us > math.MaxInt64/1000 {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}

package vnet

import (
	"fmt"
	"iter"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"
)

// Kind is what kind of event a step was.
type Kind uint8

// Kinds of event.
const (
	Goroutines Kind = iota + 1 // a goroutine goes on, or its wait's time has come
	Timers                     // the function of an AfterFunc begins
	Packets                    // something crosses the network
	Scripts                    // a function of After begins
)

func (k Kind) String() string {
	return [...]string{"", "go", "timer", "net", "script"}[k]
}

// Order is a rule by which ties are ordered: what comes first of all that is due at one instant, goroutines that can go
// on among it.
type Order uint8

// Orders. Seeds draw AnyOrder in half of the cases.
const (
	AnyOrder        Order = iota + 1 // each is as likely as the other
	OldestFirst                      // in the order in which they became due
	NewestFirst                      // in the opposite order
	GoroutinesFirst                  // whatever goroutines have to do comes before other events
	GoroutinesLast                   // it comes after them
)

func (o Order) String() string {
	return [...]string{"", "any", "oldest", "newest", "goroutines-first", "goroutines-last"}[o]
}

// event is something that is due at an instant. It is embedded in what it is about, so that setting it costs no memory.
type event struct {
	at   int64
	seq  uint64
	pos  int // in the heap
	in   place
	kind Kind
	p    *Process // whose it is, nil: the world's
	act  actor
}

type place uint8

const (
	nowhere place = iota
	inHeap
	isDue
	isHeld // by a process that is stopped
)

type actor interface {
	fire()
	label(b []byte) []byte // for the trace
}

// scheduler picks what happens next. Goroutines are coroutines of package iter: a switch to one and back is a quarter of
// the cost of one by channels, and the Go scheduler has no say in it.
type scheduler struct {
	w     *World
	now   int64
	seq   uint64
	heap  []*event // by at, then seq
	due   []*event // at this instant, in the order in which they became so
	order Order
	dice  dice
	stops int // processes that are stopped
	// yield is how likely, of 256, a goroutine steps back at an operation that need not wait, if something else is due.
	yield int

	steps, ties uint64
	atInstant   int // steps made at this instant
	cur         *task
	idle        []*worker
	stuck       []*worker // those left alone

	beat atomic.Uint64 // counts steps and runs, odd while a step is being made; kept for the watchdog
	dog  chan struct{} // closed to end it, nil: there is none
}

func (s *scheduler) init(w *World, d *dice, o Order) {
	s.w = w
	s.dice = dice{d.next()}
	s.order = o
	if o == 0 {
		s.order = AnyOrder
		if d.n(2) == 0 {
			s.order = OldestFirst + Order(d.n(int(GoroutinesLast-OldestFirst)+1))
		}
	}
	s.yield = [...]int{0, 16, 128}[d.n(3)]
	if tr := w.tr; tr != nil {
		tr.note(fmt.Sprintf("order %s yield %d/256", s.order, s.yield))
	}
}

// later is the instant when d has passed, rounded up to whole microseconds.
func (s *scheduler) later(d time.Duration) int64 {
	if d <= 0 {
		return s.now
	}
	us := (int64(d) + 999) / 1000
	if us > never-1-s.now {
		return never - 1
	}
	return s.now + us
}

// at sets an event, which must be nowhere.
func (s *scheduler) at(e *event, at int64) {
	s.seq++
	e.at, e.seq = at, s.seq
	if at <= s.now {
		e.in = isDue
		s.due = append(s.due, e)
		return
	}
	e.in, e.pos = inHeap, len(s.heap)
	s.heap = append(s.heap, e)
	s.up(e.pos)
}

// drop takes an event out, and tells whether it was still to come.
func (s *scheduler) drop(e *event) bool {
	switch e.in {
	case inHeap:
		s.cut(e.pos)
	case isDue:
		i := slices.Index(s.due, e)
		s.due = slices.Delete(s.due, i, i+1)
	case isHeld:
		i := slices.Index(e.p.held, e)
		e.p.held = slices.Delete(e.p.held, i, i+1)
	default:
		return false
	}
	e.in = nowhere
	return true
}

// holds tells whether an event has to wait until its process goes on. Packets come to its machine all the same.
func (e *event) holds() bool {
	return e.p != nil && e.p.stopped && (e.kind == Goroutines || e.kind == Timers)
}

// setAside takes what is due of processes that are stopped out of the list.
func (s *scheduler) setAside() {
	if s.stops == 0 {
		return
	}
	s.due = slices.DeleteFunc(s.due, func(e *event) bool {
		if !e.holds() {
			return false
		}
		e.in = isHeld
		e.p.held = append(e.p.held, e)
		return true
	})
}

// next is the event to come, out of those due until limit, with the clock moved on to it. With none it is nil, and at is
// when there will be one.
func (s *scheduler) next(limit int64) (e *event, at int64) {
	s.setAside()
	for len(s.due) == 0 {
		if len(s.heap) == 0 {
			return nil, never
		}
		at := s.heap[0].at
		if at > limit {
			return nil, at
		}
		s.advance(at)
		for len(s.heap) > 0 && s.heap[0].at <= s.now {
			e := s.heap[0]
			s.cut(0)
			e.in = isDue
			s.due = append(s.due, e)
		}
		s.setAside()
	}
	i := s.pick()
	e = s.due[i]
	s.due = slices.Delete(s.due, i, i+1)
	e.in = nowhere
	return e, s.now
}

func (s *scheduler) advance(at int64) {
	if at > s.now {
		s.now, s.atInstant = at, 0
	}
}

// pick orders a tie: it is the index of the due event that comes first.
func (s *scheduler) pick() int {
	n := len(s.due)
	if n == 1 {
		return 0
	}
	s.ties++
	switch s.order {
	case OldestFirst:
		return 0
	case NewestFirst:
		return n - 1
	case GoroutinesFirst, GoroutinesLast:
		some := 0
		for _, e := range s.due {
			if (e.kind == Goroutines) == (s.order == GoroutinesFirst) {
				some++
			}
		}
		if some == 0 || some == n {
			break
		}
		k := s.dice.n(some)
		for i, e := range s.due {
			if (e.kind == Goroutines) == (s.order == GoroutinesFirst) {
				if k--; k < 0 {
					return i
				}
			}
		}
	}
	return s.dice.n(n)
}

func (s *scheduler) step(e *event) {
	s.steps++
	if s.dog != nil {
		s.beat.Add(1)
		defer s.beat.Add(1)
	}
	if s.atInstant++; s.atInstant > spin {
		s.w.fail(fmt.Errorf("%w at %v", ErrSpin, span(s.now)))
		return
	}
	if s.w.tr != nil {
		s.w.tr.step(e, len(s.due))
	}
	kind, p := e.kind, e.p
	e.act.fire()
	if f := s.w.opt.OnStep; f != nil {
		f(Step{N: s.steps, At: span(s.now), Kind: kind, Process: p})
	}
}

// forget takes out all events of a process.
func (s *scheduler) forget(p *Process) {
	mine := func(e *event) bool {
		if e.p != p || e.kind == Packets { // what is under way stays so
			return false
		}
		e.in = nowhere
		return true
	}
	s.due = slices.DeleteFunc(s.due, mine)
	s.heap = slices.DeleteFunc(s.heap, mine)
	for _, e := range p.held {
		e.in = nowhere
	}
	p.held = nil
	if p.stopped {
		p.stopped = false
		s.stops--
	}
	for i, e := range s.heap {
		e.pos = i
	}
	for i := len(s.heap) - 1; i >= 0; i-- {
		s.down(i)
	}
}

// The heap has four children to each parent, which keeps it flat.

func before(a, b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

func (s *scheduler) up(i int) {
	e := s.heap[i]
	for i > 0 {
		parent := (i - 1) / 4
		if !before(e, s.heap[parent]) {
			break
		}
		s.heap[i] = s.heap[parent]
		s.heap[i].pos = i
		i = parent
	}
	s.heap[i] = e
	e.pos = i
}

func (s *scheduler) down(i int) {
	e := s.heap[i]
	for {
		best := 4*i + 1
		if best >= len(s.heap) {
			break
		}
		for c := best + 1; c < min(4*i+5, len(s.heap)); c++ {
			if before(s.heap[c], s.heap[best]) {
				best = c
			}
		}
		if !before(s.heap[best], e) {
			break
		}
		s.heap[i] = s.heap[best]
		s.heap[i].pos = i
		i = best
	}
	s.heap[i] = e
	e.pos = i
}

func (s *scheduler) cut(i int) {
	last := len(s.heap) - 1
	e := s.heap[last]
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if i < last {
		s.heap[i] = e
		e.pos = i
		s.down(i)
		s.up(e.pos)
	}
}

// task is a goroutine of a process.
type task struct {
	p     *Process
	id    int
	f     func()
	k     *worker // nil before it begins
	ev    event   // its next run, or the end of its wait
	waits bool    // it may be woken
	woken bool    // by what it waits for, not by the time
	done  bool
	why   string // what it waits at
	about *Conn  // and at which
	late  int    // operations made after its process was killed
}

// worker is a coroutine that runs one task after the other.
type worker struct {
	t     *task
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
}

func newWorker() *worker {
	k := &worker{}
	k.next, k.stop = iter.Pull(func(yield func(struct{}) bool) {
		k.yield = yield
		for {
			k.t.main()
			if !yield(struct{}{}) {
				return
			}
		}
	})
	return k
}

// killed is what the goroutines of a killed process panic with where they wait.
type killed struct{}

func (t *task) main() {
	defer func() {
		t.done = true
		v := recover()
		switch {
		case v == nil || t.p.dead:
		default:
			t.p.w.fail(&PanicError{Process: t.p.String(), Value: v, Stack: debug.Stack()})
		}
	}()
	t.f()
}

func (t *task) fire() { t.p.w.sched.resume(t) }

func (t *task) label(b []byte) []byte {
	b = append(b, 'g')
	b = appendInt(b, int64(t.id))
	if t.k == nil {
		return append(b, " begins"...)
	}
	b = t.place(b)
	if !t.woken {
		b = append(b, " expires"...)
	}
	return b
}

// place is where it waits, or waited last.
func (t *task) place(b []byte) []byte {
	b = append(b, ' ')
	b = append(b, t.why...)
	if t.about != nil {
		b = append(b, ' ')
		b = t.about.label(b)
	}
	return b
}

// resume lets a task run up to its next wait.
func (s *scheduler) resume(t *task) {
	outer := s.cur
	s.cur = t
	if t.k == nil {
		if n := len(s.idle); n > 0 {
			t.k, s.idle = s.idle[n-1], s.idle[:n-1]
		} else {
			t.k = newWorker()
		}
		t.k.t = t
	}
	t.k.next()
	s.cur = outer
	if t.done {
		s.rest(t)
		t.p.ended(t)
	}
}

// rest lets a task's worker go, which must keep nothing of the process alive.
func (s *scheduler) rest(t *task) {
	t.k.t, t.f = nil, nil
	s.idle = append(s.idle, t.k)
}

// park waits until wake or until the instant and tells whether it was woken. It is called by the task itself.
func (t *task) park(until int64, why string, about *Conn) bool {
	s := &t.p.w.sched
	t.waits, t.woken, t.why, t.about = true, false, why, about
	if until != never {
		s.at(&t.ev, until)
	}
	t.leave()
	t.waits = false
	return t.woken
}

// leave hands over to the scheduler until the task's event comes.
func (t *task) leave() {
	t.k.yield(struct{}{})
	if t.p.dead {
		panic(killed{})
	}
}

// stepBack lets others go first that are due, as the seed has it.
func (t *task) stepBack(why string, about *Conn) {
	s := &t.p.w.sched
	if s.yield == 0 || len(s.due) == 0 || int(s.dice.next()>>56) >= s.yield {
		return
	}
	t.woken, t.why, t.about = true, why, about
	s.at(&t.ev, s.now)
	t.leave()
}

// wake ends a task's wait.
func (s *scheduler) wake(t *task) {
	if !t.waits || t.woken {
		return
	}
	t.woken = true
	if t.ev.in != isDue {
		s.drop(&t.ev)
		s.at(&t.ev, s.now)
	}
}

// rearm moves the end of a task's wait.
func (s *scheduler) rearm(t *task, until int64) {
	if !t.waits || t.woken {
		return
	}
	s.drop(&t.ev)
	if until != never {
		s.at(&t.ev, until)
	}
}

// unwind ends a task of a dead process where it waits. Its deferred functions run, on a host that does nothing any more.
func (s *scheduler) unwind(t *task) {
	s.drop(&t.ev)
	if t.k == nil {
		t.done = true
		return
	}
	outer := s.cur
	s.cur = t
	t.k.next()
	s.cur = outer
	if t.done {
		s.rest(t)
	}
}

// lateOps is how many operations a goroutine of a dead process may make before it is left alone where it is.
const lateOps = 1000

// dead ends the operation of a goroutine of a dead process, and with it the goroutine, unless that recovers.
func (t *task) dead() {
	if t.late++; t.late > lateOps {
		t.p.w.fail(fmt.Errorf("%w: %s, %s", ErrStays, t.p, debug.Stack()))
		s := &t.p.w.sched
		s.stuck = append(s.stuck, t.k)
		for t.k.yield(struct{}{}) {
		}
		runtime.Goexit()
	}
	panic(killed{})
}

func (s *scheduler) close() {
	for _, k := range s.idle {
		k.stop()
	}
	for _, k := range s.stuck {
		// The worker ends by Goexit, which nothing recovers, and takes along the goroutine that stops it.
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.stop()
		}()
		<-done
	}
	s.idle, s.stuck = nil, nil
	if s.dog != nil {
		close(s.dog)
	}
}

// watch ends the program when a step takes too long: a goroutine of the world then waits where it must not, or never
// waits.
func (s *scheduler) watch(limit time.Duration) {
	s.dog = make(chan struct{})
	go func() {
		tick := time.NewTicker(limit)
		defer tick.Stop()
		for seen := uint64(0); ; {
			select {
			case <-s.dog:
				return
			case <-tick.C:
			}
			b := s.beat.Load()
			if b != seen || b%2 == 0 {
				seen = b
				continue
			}
			buf := make([]byte, 1<<20)
			fmt.Fprintf(os.Stderr, "vnet: step %d takes longer than %v; the goroutines:\n%s", b/2+1, limit,
				buf[:runtime.Stack(buf, true)])
			os.Exit(2)
		}
	}()
}

package vnet

import (
	"slices"
	"syscall"
	"time"
)

// half is what goes from one end of a connection to the other. Its bytes lie in one buffer, in the order of their way:
// first those that came and were not read, then those under way, then those that are still to be sent.
type half struct {
	w        *World
	from, to *Conn
	path     *Path

	buf     []byte
	head    int // where the first byte not read is
	unread  int
	flight  int
	pending int
	unacked int // came, but the sender has not heard of it, since the way back is cut

	segs   []segment // under way; none passes one before it
	first  int       // of segs
	arrive event     // of the first of them
	send   event     // sends later, or gives up

	open      bool // the packet by which a listener sees its connection is to be sent
	fin       bool // the end is to be sent behind the last byte
	finSent   bool
	eof       bool // the end has come
	forgotten bool // by a firewall on the way
	stuck     bool // nothing gets through: send gives up
}

type segment struct {
	at   int64
	n    int
	what packet
}

type packet uint8

const (
	packetData packet = iota
	packetOpen
	packetFin
	packetReset
)

func (k packet) String() string { return [...]string{"data", "open", "end", "reset"}[k] }

// The two events of a half.
type (
	arrival half
	sending half
)

func (h *half) init(from, to *Conn) {
	h.w, h.from, h.to = from.w, from, to
	h.path = h.w.Path(from.p.m, to.p.m)
	h.arrive = event{kind: Packets, p: to.p, act: (*arrival)(h)}
	h.send = event{kind: Packets, p: from.p, act: (*sending)(h)}
	h.path.add(h)
}

// room is how many bytes the sender's buffer still takes.
func (h *half) room() int { return h.from.sendBuffer - h.pending - h.flight - h.unacked }

// put adds bytes to be sent.
func (h *half) put(p []byte) {
	if h.head > 0 && len(h.buf)+len(p) > cap(h.buf) {
		n := copy(h.buf, h.buf[h.head:])
		h.buf, h.head = h.buf[:n], 0
	}
	h.buf = append(h.buf, p...)
	h.pending += len(p)
	if tap := h.w.opt.Tap; tap != nil {
		tap.Sent(h.from, p)
	}
	if hold := h.path.q.Hold; hold > 0 {
		if h.send.in == nowhere {
			h.w.sched.at(&h.send, h.w.sched.later(hold))
		}
		return
	}
	h.pump()
}

// take removes bytes that were read.
func (h *half) take(n int) {
	h.head += n
	h.unread -= n
	if h.head == len(h.buf) {
		h.buf, h.head = h.buf[:0], 0
	}
	if h.pending > 0 {
		h.pump()
	}
}

// waiting tells whether there is something to be sent.
func (h *half) waiting() bool {
	return !h.from.gone && (h.open || h.pending > 0 || h.fin && !h.finSent)
}

// sendAt sends, or tries to, at an instant.
func (h *half) sendAt(at int64) {
	h.w.sched.drop(&h.send)
	h.w.sched.at(&h.send, at)
}

func (s *sending) fire() {
	h := (*half)(s)
	if h.stuck && h.path.down() {
		h.from.broken(syscall.ETIMEDOUT)
		return
	}
	h.stuck = false
	h.pump()
}

func (s *sending) label(b []byte) []byte { return append(s.from.label(b), " sends"...) }

// pump sends what it may.
func (h *half) pump() {
	if !h.waiting() || h.stuck {
		return
	}
	if h.path.down() || h.forgotten && h.to.out.path.down() {
		h.stuck = true
		h.w.sched.drop(&h.send)
		h.w.sched.at(&h.send, h.w.sched.later(giveUp))
		return
	}
	if h.forgotten {
		// The firewall answers. What comes back comes behind what is on its way from the far side.
		h.drop()
		h.to.out.resetFar()
		return
	}
	if h.open {
		h.open = false
		h.launch(0, packetOpen)
	}
	q := &h.path.q
	longest := q.Segment
	if longest <= 0 {
		longest = maxSegment
	}
	for h.pending > 0 {
		n := min(h.pending, longest, h.to.readBuffer-h.unread-h.flight)
		if n <= 0 {
			return // goes on when the far side has read
		}
		if q.Bandwidth > 0 && h.path.freeAt > h.w.sched.now {
			if h.send.in == nowhere {
				h.w.sched.at(&h.send, h.path.freeAt)
			}
			return
		}
		if q.Chop {
			n = 1 + h.w.net.n(n)
		}
		h.pending -= n
		h.flight += n
		h.launch(n, packetData)
	}
	if h.fin && !h.finSent {
		h.finSent = true
		h.launch(0, packetFin)
	}
}

// launch puts a packet on its way.
func (h *half) launch(n int, what packet) {
	now, p := h.w.sched.now, h.path
	at := now
	if p.q.Bandwidth > 0 && n > 0 {
		p.freeAt = now + (int64(n)*int64(time.Second/time.Microsecond)+int64(p.q.Bandwidth)-1)/int64(p.q.Bandwidth)
		at = p.freeAt
	}
	at += p.travel()
	if h.first > 0 && len(h.segs) == cap(h.segs) {
		h.segs = slices.Delete(h.segs, 0, h.first)
		h.first = 0
	}
	h.segs = append(h.segs, segment{at, n, what})
	if h.arrive.in == nowhere {
		h.w.sched.at(&h.arrive, at)
	}
}

func (a *arrival) fire() { (*half)(a).arrived() }

func (a *arrival) label(b []byte) []byte {
	h := (*half)(a)
	s := h.segs[h.first]
	b = h.to.label(b)
	b = append(b, " <"...)
	b = append(b, s.what.String()...)
	if s.n > 0 {
		b = append(b, ' ')
		b = appendInt(b, int64(s.n))
		at := h.head + h.unread
		b = appendSum(b, h.buf[at:at+s.n])
	}
	return b
}

// arrived takes in the first packet under way.
func (h *half) arrived() {
	s := h.segs[h.first]
	if h.first++; h.first == len(h.segs) {
		h.segs, h.first = h.segs[:0], 0
	} else {
		h.w.sched.at(&h.arrive, h.segs[h.first].at)
	}
	to := h.to
	switch {
	case s.what == packetReset:
		err := syscall.ECONNRESET
		if h.eof && !to.out.finSent {
			err = syscall.EPIPE // as Linux has it: the far side had closed already
		}
		to.broken(err)
		return
	case to.gone:
		h.refuse()
		return
	}
	switch s.what {
	case packetOpen:
		to.listener.opened(to)
	case packetData:
		if to.closed { // nobody will read it
			h.unread += s.n
			h.flight -= s.n
			to.gone = true
			to.out.drop()
			h.refuse()
			return
		}
		at := h.head + h.unread
		h.flight -= s.n
		h.unread += s.n
		if tap := h.w.opt.Tap; tap != nil {
			tap.Arrived(to, h.buf[at:at+s.n])
		}
		h.unacked += s.n
		if !to.out.path.down() {
			h.acknowledge()
		}
		to.readable()
	case packetFin:
		h.eof = true
		h.settle()
		to.readable()
	}
}

// acknowledge tells the sender that all that came has come.
func (h *half) acknowledge() {
	if h.unacked == 0 {
		return
	}
	h.unacked = 0
	h.from.writable()
}

// refuse answers a packet for a connection that the kernel does not know (any more) with a reset.
func (h *half) refuse() {
	h.forget()
	h.to.out.resetFar()
}

// resetFar sends a reset, which is lost if nothing gets through.
func (h *half) resetFar() {
	if !h.path.down() {
		h.launch(0, packetReset)
	}
}

// forget drops what is under way: it has nowhere to go to.
func (h *half) forget() {
	h.w.sched.drop(&h.arrive)
	h.segs, h.first = h.segs[:0], 0
	h.buf = h.buf[:h.head+h.unread]
	h.flight, h.pending = 0, 0
}

// drop drops what is still to be sent.
func (h *half) drop() {
	h.buf = h.buf[:h.head+h.unread+h.flight]
	h.pending, h.open, h.fin = 0, false, h.finSent
	h.w.sched.drop(&h.send)
}

// recall takes back what is under way when it can't arrive any more. Its sender, if it is still there, sends it again.
func (h *half) recall() {
	if h.arrive.in == nowhere {
		return
	}
	for _, s := range h.segs[h.first:] {
		switch s.what {
		case packetOpen:
			h.open = true
		case packetFin:
			h.finSent = false
		}
	}
	h.w.sched.drop(&h.arrive)
	h.segs, h.first = h.segs[:0], 0
	h.pending, h.flight = h.pending+h.flight, 0
	h.pump()
}

// settle lets the kernels forget a connection that has ended both ways.
func (h *half) settle() {
	if h.from.out.eof && h.to.out.eof {
		h.from.gone = h.from.gone || h.from.closed
		h.to.gone = h.to.gone || h.to.closed
	}
}

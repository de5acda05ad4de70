package resend

import (
	"container/heap"
	"slices"

	"curlewmux/control"
)

// Node is a message's entry in a Planner. It is embedded in the record of the message. The zero value is in no planner.
type Node struct {
	Due    Time // earliest time at which the message may be picked
	Number uint64
	dest   int32
	pos    int32 // index in its lane's heap plus 1; 0 if it is in none
}

// SetDestination sets the destination of the message. It must come before the first Put.
func (n *Node) SetDestination(dest int) {
	if n.pos == 0 {
		n.dest = int32(dest)
	}
}

// Destination returns the destination of the message.
func (n *Node) Destination() int { return int(n.dest) }

// Planner queues undelivered messages by destination and picks those that are next. It limits how many are being resent at
// once, in total and for each destination: the limit of a destination grows with successes. It is not safe for concurrent
// use.
type Planner struct {
	slots int           // limit on messages being resent
	share float64       // part of a destination's listed rate that resends may use
	trial Time          // between two trials of an unhealthy destination
	lanes map[int]*lane // by destination
	order []*lane       // served round robin
	turn  int           // index in order of the next lane
	out   int           // messages being resent
}

// lane is the queue of one destination.
type lane struct {
	dest   int
	nodes  nodes
	out    int  // messages being resent
	window int  // limit of out
	fails  int  // consecutive failures
	next   Time // earliest time of the next message
	trial  Time // earliest time of the next trial
}

const (
	lookAgain  = 200 * control.Millisecond // between two checks of a destination that can't take messages now
	firstPause = control.Second            // after a failure; doubles up to the time between two trials
)

// NewPlanner creates a planner. slots limits the messages being resent, share is the part of a destination's listed rate
// that resends may use, and trial is the time between two single messages to an unhealthy destination.
func NewPlanner(slots int, share float64, trial Time) *Planner {
	return &Planner{slots: max(slots, 1), share: share, trial: trial, lanes: map[int]*lane{}}
}

// Schedule queues a message for the time due. A message that is already queued is moved.
func (p *Planner) Schedule(n *Node, due Time) {
	p.Remove(n)
	l := p.lane(n.Destination())
	n.Due = due
	heap.Push(&l.nodes, n)
}

// Remove removes a message from the queue, if it is in one.
func (p *Planner) Remove(n *Node) {
	if n.pos == 0 {
		return
	}
	l := p.lanes[n.Destination()]
	heap.Remove(&l.nodes, int(n.pos)-1)
	p.forget(l)
}

// lane returns the lane of a destination and creates it if needed.
func (p *Planner) lane(dest int) *lane {
	l := p.lanes[dest]
	if l == nil {
		l = &lane{dest: dest, window: 1}
		p.lanes[dest] = l
		p.order = append(p.order, l)
	}
	return l
}

// forget removes a lane without messages and without failures to remember.
func (p *Planner) forget(l *lane) {
	if len(l.nodes) > 0 || l.out > 0 || l.fails > 0 || p.lanes[l.dest] != l {
		return
	}
	delete(p.lanes, l.dest)
	p.order = slices.DeleteFunc(p.order, func(o *lane) bool { return o == l })
	if p.turn >= len(p.order) {
		p.turn = 0
	}
}

// NextDue returns the next time at which Pick may find a message. ok is false if there is none until Put, Drop or Done is
// called.
func (p *Planner) NextDue() (at Time, ok bool) {
	if p.out >= p.slots {
		return 0, false
	}
	for _, l := range p.order {
		if len(l.nodes) == 0 || l.out >= l.window {
			continue
		}
		if t := max(l.nodes[0].Due, l.next); !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// Pick removes the messages that are to be resent now from the queue. how returns the condition of a destination and its
// listed rate in calls a second. Each picked message counts as being resent until Done.
func (p *Planner) Pick(now Time, how func(dest int) (control.Condition, float64)) (out []*Node) {
	for idle := 0; idle < len(p.order) && p.out < p.slots; {
		l := p.order[p.turn]
		p.turn = (p.turn + 1) % len(p.order)
		if n := p.pick(l, now, how); n != nil {
			out = append(out, n)
			idle = 0
		} else {
			idle++
		}
	}
	return out
}

// pick removes the next message of a lane from the queue, or returns nil if none may be sent now.
func (p *Planner) pick(l *lane, now Time, how func(int) (control.Condition, float64)) *Node {
	if len(l.nodes) == 0 || l.nodes[0].Due > now || now < l.next || l.out >= l.window {
		return nil
	}
	c, rate := how(l.dest)
	switch c {
	case control.Healthy:
	case control.Unhealthy:
		l.window = 1
		if l.out > 0 || now < l.trial {
			l.next = now + lookAgain
			return nil
		}
		l.trial = now + p.trial
	default:
		l.next = now + lookAgain
		return nil
	}
	if rate > 0 && p.share > 0 {
		l.next = now + Time(float64(control.Second)/(rate*p.share))
	}
	n := l.nodes[0]
	heap.Pop(&l.nodes)
	l.out++
	p.out++
	return n
}

// SendResult is the result of resending a message.
type SendResult uint8

// Results of resending a message.
const (
	Inconclusive SendResult = iota // says nothing about the destination
	Success
	Failure
)

// AddInFlight counts a message as being resent that was not picked, since it was already being resent when the process started.
func (p *Planner) AddInFlight(dest int) {
	p.lane(dest).out++
	p.out++
}

// Done records that a message is no longer being resent, and with which result.
func (p *Planner) Completed(dest int, now Time, f SendResult) {
	l := p.lane(dest)
	l.out--
	p.out--
	switch f {
	case Success:
		l.window, l.fails = min(l.window+1, p.slots), 0
	case Failure:
		l.window = 1
		l.fails = min(l.fails+1, 10)
		l.next = max(l.next, now+min(firstPause<<(l.fails-1), max(p.trial, firstPause)))
	}
	p.forget(l)
}

// InFlight returns the number of messages being resent.
func (p *Planner) InFlight() int { return p.out }

// nodes is a heap ordered by due time and then by message number.
type nodes []*Node

func (h nodes) Len() int { return len(h) }
func (h nodes) Less(i, j int) bool {
	return h[i].Due < h[j].Due || h[i].Due == h[j].Due && h[i].Number < h[j].Number
}
func (h nodes) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = int32(i)+1, int32(j)+1
}
func (h *nodes) Push(x any) {
	n := x.(*Node)
	*h = append(*h, n)
	n.pos = int32(len(*h))
}
func (h *nodes) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.pos = 0
	return n
}

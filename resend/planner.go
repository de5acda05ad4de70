package resend

import (
	"container/heap"
	"slices"

	"curlewmux/control"
)

// Node is a message's place in a Planner. Whoever keeps the message embeds it; its zero value is in no planner.
type Node struct {
	Due    Time // not before
	Number uint64
	dest   int32
	pos    int32 // in its lane's heap, from 1; 0: in none
}

// SetDestination says whose message it is, before the first Put.
func (n *Node) SetDestination(dest int) {
	if n.pos == 0 {
		n.dest = int32(dest)
	}
}

// Destination is whose message it is.
func (n *Node) Destination() int { return int(n.dest) }

// Planner has the messages that are to be looked at, by destination, and says which of them come next: never more at a
// time than their share of the slots, and to a destination no more than it takes well. It is not safe for concurrent use.
type Planner struct {
	slots int     // messages that are being sent again, at most
	share float64 // of a destination's listed rate
	trial Time    // between two trials of a destination that ails
	lanes map[int]*lane
	order []*lane // in turns, beginning at turn
	turn  int
	out   int
}

// lane is one destination's.
type lane struct {
	dest   int
	nodes  nodes
	out    int
	window int  // of out, at most
	fails  int  // in a row
	next   Time // nothing before
	trial  Time // no trial before
}

const (
	lookAgain  = 200 * control.Millisecond // between two looks at a destination that does not do well
	firstPause = control.Second            // after a failure; doubles up to the time between two trials
)

// NewPlanner makes a planner: slots are how many messages are being sent again at most, share which part of the rates
// listed for destinations is theirs, trial how long one that ails is left alone between two single messages.
func NewPlanner(slots int, share float64, trial Time) *Planner {
	return &Planner{slots: max(slots, 1), share: share, trial: trial, lanes: map[int]*lane{}}
}

// Schedule adds a message, or moves it, to be looked at when it is due.
func (p *Planner) Schedule(n *Node, due Time) {
	p.Remove(n)
	l := p.lane(n.Destination())
	n.Due = due
	heap.Push(&l.nodes, n)
}

// Remove takes a message out; one that is in no planner is left as it is.
func (p *Planner) Remove(n *Node) {
	if n.pos == 0 {
		return
	}
	l := p.lanes[n.Destination()]
	heap.Remove(&l.nodes, int(n.pos)-1)
	p.forget(l)
}

func (p *Planner) lane(dest int) *lane {
	l := p.lanes[dest]
	if l == nil {
		l = &lane{dest: dest, window: 1}
		p.lanes[dest] = l
		p.order = append(p.order, l)
	}
	return l
}

// forget drops a lane that has nothing in it and nothing to remember.
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

// NextDue is when Pick is worth calling next; false: not before something is put or ends.
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

// Pick takes out the messages whose turn it is. how tells how a destination does and the calls a second that are listed
// for it. Each message picked counts as being sent until Done.
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

// How a message that was picked fared.
type SendResult uint8

// How it fared.
const (
	Inconclusive SendResult = iota // nothing was learned of the destination
	Success
	Failure
)

// AddInFlight counts one as being sent that was not picked: it was when the process began.
func (p *Planner) AddInFlight(dest int) {
	p.lane(dest).out++
	p.out++
}

// Done says that a message that was picked is not being sent any more.
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

// InFlight is how many messages are being sent again.
func (p *Planner) InFlight() int { return p.out }

// nodes is a heap by due time, then number.
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

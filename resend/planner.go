package resend

import (
	"container/heap"
	"slices"

	"curlewmux/control"
)

// Node is a message's entry in a Planner. It is embedded in the record of the message. The zero value is in no planner.
type Node struct {
	Due          Time // earliest time at which the message may be picked
	Number       uint64
	destination  int32
	heapPosition int32 // index in its queue's heap plus 1; 0 if it is in none
}

// SetDestination sets the destination of the message. It must come before the first Schedule.
func (n *Node) SetDestination(dest int) {
	if n.heapPosition == 0 {
		n.destination = int32(dest)
	}
}

// Destination returns the destination of the message.
func (n *Node) Destination() int { return int(n.destination) }

// Planner queues undelivered messages by destination and picks those that are next. It limits how many are being resent at
// once, in total and for each destination: the limit of a destination grows with successes. It is not safe for concurrent
// use.
type Planner struct {
	slots     int            // limit on messages being resent
	share     float64        // part of a destination's listed rate that resends may use
	trial     Time           // between two trials of an unhealthy destination
	queues    map[int]*queue // by destination
	order     []*queue       // served round robin
	nextQueue int            // index in order
	inFlight  int            // messages being resent
}

// queue holds the messages for one destination.
type queue struct {
	destination int
	messages    dueHeap
	inFlight    int  // messages being resent
	window      int  // limit of inFlight
	failures    int  // consecutive failures
	notBefore   Time // earliest time of the next message
	nextTrial   Time // earliest time of the next trial
}

const (
	recheckInterval   = 200 * control.Millisecond // between two checks of a destination that can't take messages now
	firstFailurePause = control.Second            // after a failure; doubles up to the time between two trials
)

// NewPlanner creates a planner. slots limits the messages being resent, share is the part of a destination's listed rate
// that resends may use, and trial is the time between two single messages to an unhealthy destination.
func NewPlanner(slots int, share float64, trial Time) *Planner {
	return &Planner{slots: max(slots, 1), share: share, trial: trial, queues: map[int]*queue{}}
}

// Schedule queues a message for the time due. A message that is already queued is moved.
func (p *Planner) Schedule(n *Node, due Time) {
	p.Remove(n)
	l := p.queue(n.Destination())
	n.Due = due
	heap.Push(&l.messages, n)
}

// Remove removes a message from the queue, if it is in one.
func (p *Planner) Remove(n *Node) {
	if n.heapPosition == 0 {
		return
	}
	l := p.queues[n.Destination()]
	heap.Remove(&l.messages, int(n.heapPosition)-1)
	p.removeIfIdle(l)
}

// queue returns the queue of a destination and creates it if needed.
func (p *Planner) queue(dest int) *queue {
	l := p.queues[dest]
	if l == nil {
		l = &queue{destination: dest, window: 1}
		p.queues[dest] = l
		p.order = append(p.order, l)
	}
	return l
}

// removeIfIdle removes a queue without messages and without failures to remember.
func (p *Planner) removeIfIdle(l *queue) {
	if len(l.messages) > 0 || l.inFlight > 0 || l.failures > 0 || p.queues[l.destination] != l {
		return
	}
	delete(p.queues, l.destination)
	p.order = slices.DeleteFunc(p.order, func(o *queue) bool { return o == l })
	if p.nextQueue >= len(p.order) {
		p.nextQueue = 0
	}
}

// NextDue returns the next time at which Pick may find a message. ok is false if there is none until Schedule, Remove or
// Completed is called.
func (p *Planner) NextDue() (at Time, ok bool) {
	if p.inFlight >= p.slots {
		return 0, false
	}
	for _, l := range p.order {
		if len(l.messages) == 0 || l.inFlight >= l.window {
			continue
		}
		if t := max(l.messages[0].Due, l.notBefore); !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// Pick removes the messages that are to be resent now from the queue. condition returns the condition of a destination and
// its listed rate in calls a second. Each picked message counts as being resent until Completed.
func (p *Planner) Pick(now Time, condition func(dest int) (control.Condition, float64)) (out []*Node) {
	for idle := 0; idle < len(p.order) && p.inFlight < p.slots; {
		l := p.order[p.nextQueue]
		p.nextQueue = (p.nextQueue + 1) % len(p.order)
		if n := p.pickFrom(l, now, condition); n != nil {
			out = append(out, n)
			idle = 0
		} else {
			idle++
		}
	}
	return out
}

// pickFrom removes the next message from a queue, or returns nil if none may be sent now.
func (p *Planner) pickFrom(l *queue, now Time, how func(int) (control.Condition, float64)) *Node {
	if len(l.messages) == 0 || l.messages[0].Due > now || now < l.notBefore || l.inFlight >= l.window {
		return nil
	}
	c, rate := how(l.destination)
	switch c {
	case control.Healthy:
	case control.Unhealthy:
		l.window = 1
		if l.inFlight > 0 || now < l.nextTrial {
			l.notBefore = now + recheckInterval
			return nil
		}
		l.nextTrial = now + p.trial
	default:
		l.notBefore = now + recheckInterval
		return nil
	}
	if rate > 0 && p.share > 0 {
		l.notBefore = now + Time(float64(control.Second)/(rate*p.share))
	}
	n := l.messages[0]
	heap.Pop(&l.messages)
	l.inFlight++
	p.inFlight++
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

// AddInFlight counts a message as being resent that was not picked, since it was already being resent when the process
// started.
func (p *Planner) AddInFlight(dest int) {
	p.queue(dest).inFlight++
	p.inFlight++
}

// Completed records that a message is no longer being resent, and with which result.
func (p *Planner) Completed(dest int, now Time, f SendResult) {
	l := p.queue(dest)
	l.inFlight--
	p.inFlight--
	switch f {
	case Success:
		l.window, l.failures = min(l.window+1, p.slots), 0
	case Failure:
		l.window = 1
		l.failures = min(l.failures+1, 10)
		l.notBefore = max(l.notBefore, now+min(firstFailurePause<<(l.failures-1), max(p.trial, firstFailurePause)))
	}
	p.removeIfIdle(l)
}

// InFlight returns the number of messages being resent.
func (p *Planner) InFlight() int { return p.inFlight }

// dueHeap is a heap ordered by due time and then by message number.
type dueHeap []*Node

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].Due < h[j].Due || h[i].Due == h[j].Due && h[i].Number < h[j].Number
}
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition, h[j].heapPosition = int32(i)+1, int32(j)+1
}
func (h *dueHeap) Push(x any) {
	n := x.(*Node)
	*h = append(*h, n)
	n.heapPosition = int32(len(*h))
}
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	n.heapPosition = 0
	return n
}

package engine

import "container/heap"

// ids are those of messages that ended, for as long as they may come again.
type ids struct{ ended endedIDs }

func newIDs() ids { return ids{ended: endedIDs{byID: map[string]*ended{}}} }

// ended is what is left of a message.
type ended struct {
	id       string
	how      Disposition
	print    uint64
	due      Time  // the message's time was up then
	until    Time  // forgotten then
	harmless bool  // of a class that may be repeated at will, or it never ran
	free     bool  // its id may be taken anew at once
	out      *item // of its last attempt, if that was still out
	done     *Done // until its record is in the store: the end that waits for it
	account
	place int
}

func (p *ended) record(e *Engine) *RecEnded {
	r := &RecEnded{ID: p.id, Disposition: p.how, Fingerprint: p.print}
	if !p.harmless { // only those must never be taken a second time, restart or not
		r.Until = e.stamp(p.until)
	}
	return r
}

// endedIDs finds them by id and by when they may be forgotten, those that are harmless apart.
type endedIDs struct {
	byID map[string]*ended
	soon [2]endedHeap // harmless or not
}

func (l *endedIDs) len() int { return len(l.byID) }

func (l *endedIDs) heap(p *ended) *endedHeap {
	if p.harmless {
		return &l.soon[0]
	}
	return &l.soon[1]
}

func (l *endedIDs) add(p *ended) {
	l.byID[p.id] = p
	heap.Push(l.heap(p), p)
}

// remove forgets one; one that is not there any more is left as it is.
func (l *endedIDs) remove(p *ended) {
	if p != nil && l.byID[p.id] == p {
		delete(l.byID, p.id)
		heap.Remove(l.heap(p), p.place)
	}
}

type endedHeap []*ended

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].place, h[j].place = i, j }
func (h *endedHeap) Push(x any)        { p := x.(*ended); p.place = len(*h); *h = append(*h, p) }
func (h *endedHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}

// forgettable tells that an id may come anew: its end is in the store, and no attempt of it is out.
func (e *Engine) forgettable(p *ended) bool {
	return e.inStore(p) && (p.out == nil || p.out.done)
}

// expire forgets ids whose time is up, so many at most; it tells whether there are more.
func (e *Engine) expire(most int) bool {
	for i := range e.ended.soon {
		for h := &e.ended.soon[i]; len(*h) > 0 && (*h)[0].until <= e.now.At; most-- {
			if most <= 0 {
				return true
			}
			p := (*h)[0]
			if p.done != nil && p.dirty { // it could not be recorded, but whoever waits has waited long enough
				e.effect(&Done{ID: p.done.ID, Disposition: p.done.Disposition, InDoubt: p.done.InDoubt})
				p.done = nil
			}
			if e.forgettable(p) {
				e.ended.remove(p)
			} else {
				p.until = e.now.At + e.set.Remember
				heap.Fix(h, p.place)
			}
		}
	}
	return false
}

// roomForID tells whether one more message than so many others may be taken, whose ids must be remembered in the end. At
// the bound those that may be repeated at will are forgotten first, soonest first; the others never are before their time.
func (e *Engine) roomForID(others int) bool {
	for e.ended.len()+e.owing+e.open+others >= e.set.MaxIDs {
		e.expire(atOnce)
		switch h := e.ended.soon[0]; {
		case e.ended.len()+e.owing+e.open+others < e.set.MaxIDs:
		case len(h) > 0 && e.forgettable(h[0]):
			e.ended.remove(h[0])
		default:
			return false
		}
	}
	return true
}

// restoreEnd takes up an id from the store.
func (e *Engine) restoreEnd(r *RestoredEnd) {
	if e.ended.byID[r.ID] != nil {
		return
	}
	// Also where its time seems to be up: the clock may have been set forward meanwhile.
	left := max(min(Time(r.Until-e.now.Wall), e.longest()), e.set.Remember)
	p := &ended{id: r.ID, how: r.Disposition, print: r.Fingerprint, due: e.now.At + left - e.set.Remember, until: e.now.At + left}
	p.last = restored
	e.ended.add(p)
}

// remember is how long beyond its time the id of a message of a class counts.
func (e *Engine) remember(class int) Time {
	if class >= 0 && class < len(e.set.ClassRemember) {
		return max(e.set.Remember, e.set.ClassRemember[class])
	}
	return e.set.Remember
}

// longest is the longest time for which an id counts.
func (e *Engine) longest() (t Time) {
	for i := range e.set.Control.Classes {
		t = max(t, e.set.Control.Classes[i].Deadline+e.remember(i))
	}
	return t
}

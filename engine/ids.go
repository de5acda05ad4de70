package engine

import "container/heap"

// ids holds the ids of ended messages, for as long as clients may submit them again.
type ids struct{ endedIDs endedTable }

func newIDs() ids { return ids{endedIDs: endedTable{byID: map[string]*endedMessage{}}} }

// endedMessage holds the data that is kept about a message after its end.
type endedMessage struct {
	id          string
	disposition Disposition
	fingerprint uint64
	deadline    Time         // deadline of the message
	forgetAt    Time         // when the id is forgotten
	harmless    bool         // its class may be repeated freely, or it never ran
	reusable    bool         // its id may be used again at once
	inFlight    *openAttempt // its last attempt, if it was still out
	pendingDone *Done        // the Done that waits for the record of the end, nil once that is stored
	recordState
	heapIndex int
}

func (p *endedMessage) record(e *Engine) *RecEnded {
	r := &RecEnded{ID: p.id, Disposition: p.disposition, Fingerprint: p.fingerprint}
	if !p.harmless { // only these must never be accepted again, not even after a restart
		r.Until = e.timestamp(p.forgetAt)
	}
	return r
}

// endedTable finds ended messages by id and by the time when they may be forgotten; harmless ones have their own heap.
type endedTable struct {
	byID  map[string]*endedMessage
	heaps [2]endedHeap // [0] harmless, [1] the others
}

func (l *endedTable) len() int { return len(l.byID) }

func (l *endedTable) heap(p *endedMessage) *endedHeap {
	if p.harmless {
		return &l.heaps[0]
	}
	return &l.heaps[1]
}

func (l *endedTable) add(p *endedMessage) {
	l.byID[p.id] = p
	heap.Push(l.heap(p), p)
}

// remove forgets an ended message, if it is still there.
func (l *endedTable) remove(p *endedMessage) {
	if p != nil && l.byID[p.id] == p {
		delete(l.byID, p.id)
		heap.Remove(l.heap(p), p.heapIndex)
	}
}

type endedHeap []*endedMessage

func (h endedHeap) Len() int           { return len(h) }
func (h endedHeap) Less(i, j int) bool { return h[i].forgetAt < h[j].forgetAt }
func (h endedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *endedHeap) Push(x any)        { p := x.(*endedMessage); p.heapIndex = len(*h); *h = append(*h, p) }
func (h *endedHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return p
}

// forgettable reports whether an id may be used again: its end is in the store, and no attempt of it is out.
func (e *Engine) forgettable(p *endedMessage) bool {
	return e.inStore(p) && (p.inFlight == nil || p.inFlight.done)
}

// expireIDs forgets at most limit ids whose time is up, and reports whether there are more.
func (e *Engine) expireIDs(limit int) bool {
	for i := range e.endedIDs.heaps {
		for h := &e.endedIDs.heaps[i]; len(*h) > 0 && (*h)[0].forgetAt <= e.now.At; limit-- {
			if limit <= 0 {
				return true
			}
			p := (*h)[0]
			if p.pendingDone != nil && p.dirty { // it could not be recorded, but the client has waited long enough
				e.effect(&Done{ID: p.pendingDone.ID, Disposition: p.pendingDone.Disposition, InDoubt: p.pendingDone.InDoubt})
				p.pendingDone = nil
			}
			if e.forgettable(p) {
				e.endedIDs.remove(p)
			} else {
				p.forgetAt = e.now.At + e.settings.Remember
				heap.Fix(h, p.heapIndex)
			}
		}
	}
	return false
}

// hasRoomForID reports whether one more message may be accepted besides that many others, as their ids must be
// remembered after their ends. At the bound, harmless ids are forgotten early, those closest to their time first. The others are
// never forgotten before their time.
func (e *Engine) hasRoomForID(others int) bool {
	for e.endedIDs.len()+e.notifying+e.open+others >= e.settings.MaxIDs {
		e.expireIDs(maxPerPart)
		switch h := e.endedIDs.heaps[0]; {
		case e.endedIDs.len()+e.notifying+e.open+others < e.settings.MaxIDs:
		case len(h) > 0 && e.forgettable(h[0]):
			e.endedIDs.remove(h[0])
		default:
			return false
		}
	}
	return true
}

// restoreEnd takes over the id of an ended message from the store.
func (e *Engine) restoreEnd(r *RestoredEnd) {
	if e.endedIDs.byID[r.ID] != nil {
		return
	}
	// At least for Remember, even if its time seems to be up: the clock may have been set forward meanwhile.
	left := max(min(Time(r.Until-e.now.Wall), e.longestRemembered()), e.settings.Remember)
	p := &endedMessage{id: r.ID, disposition: r.Disposition, fingerprint: r.Fingerprint, deadline: e.now.At + left - e.settings.Remember, forgetAt: e.now.At + left}
	p.lastBatch = restoredBatch
	e.endedIDs.add(p)
}

// rememberTime returns how long after its deadline the id of a message of this class is remembered.
func (e *Engine) rememberTime(class int) Time {
	if class >= 0 && class < len(e.settings.ClassRemember) {
		return max(e.settings.Remember, e.settings.ClassRemember[class])
	}
	return e.settings.Remember
}

// longestRemembered returns the longest time for which an id is remembered.
func (e *Engine) longestRemembered() (t Time) {
	for i := range e.settings.Control.Classes {
		t = max(t, e.settings.Control.Classes[i].Deadline+e.rememberTime(i))
	}
	return t
}

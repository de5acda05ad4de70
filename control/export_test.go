package control

import (
	"fmt"
	"slices"
)

// CheckHeaps recomputes what the heaps and counters cache for all destinations, and returns an error where they differ.
func (d *Dispatcher) CheckHeaps() error {
	unhealthyCalls := 0
	for _, t := range d.destinations {
		if t.callsOut > 0 && d.destinationUnhealthy(t) {
			unhealthyCalls += t.callsOut
		}
		if used := t.queued > 0 || t.callsOut > 0; used != (t.heapPositions[activeHeap] > 0) || used && d.active.entries[t.heapPositions[activeHeap]-1].key != t.virtualTime {
			return fmt.Errorf("destination %d: active is %v, position by turn %d", t.number, used, t.heapPositions[activeHeap])
		}
		waits := t.wakePending || t.state != stateIdle
		if t.queued > 0 && !waits || t.queued == 0 && t.state != stateIdle {
			return fmt.Errorf("destination %d: %d queued, state %d, woken %v", t.number, t.queued, t.state, t.wakePending)
		}
		if t.callsOut > 0 {
			calm, short := d.nextScan(t)
			for _, o := range []struct {
				at   Time
				list *destinationHeap[Time]
			}{{calm, &d.normalScans}, {short, &d.shortageScans}} {
				if at := t.heapPositions[o.list.index]; o.at < never && (at == 0 || o.list.entries[at-1].key > max(o.at, d.now)) {
					return fmt.Errorf("destination %d is scanned too late for %d", t.number, o.at)
				}
			}
		}
		if t.state == stateAsleep && t.windowSlowStart && t.endedCalls == 0 && t.windowList != d.listNumber && t.window < d.fairWindow {
			return fmt.Errorf("destination %d sleeps with the window of an earlier list", t.number)
		}
	}
	if unhealthyCalls != d.unhealthyCalls {
		return fmt.Errorf("%d calls are out to unhealthy destinations, counted %d", unhealthyCalls, d.unhealthyCalls)
	}
	for _, f := range []func() error{
		checkHeap(&d.active), checkHeap(&d.runnable), checkHeap(&d.waitingForRoom), checkHeap(&d.wakeups),
		checkHeap(&d.normalScans), checkHeap(&d.shortageScans), checkHeap(&d.byWorth), checkHeap(&d.worthExpiry),
	} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// checkHeap returns a check of one heap: positions, heap property, and no reference left behind the end of its list.
func checkHeap[K float64 | Time](o *destinationHeap[K]) func() error {
	return func() error {
		for i := range o.entries {
			x := &o.entries[i]
			if x.destination.heapPositions[o.index] != i+1 || i > 0 && x.less(&o.entries[(i-1)/2]) {
				return fmt.Errorf("heap %d is not in order at %d", o.index, i)
			}
		}
		if slices.ContainsFunc(o.entries[len(o.entries):cap(o.entries)], func(x heapEntry[K]) bool { return x.destination != nil }) {
			return fmt.Errorf("heap %d keeps a destination that was removed", o.index)
		}
		return nil
	}
}

// WakeAll makes the next Step evaluate all destinations that sleep.
func (d *Dispatcher) WakeAll() { d.wakeAll() }

// Sizes returns the lengths of the dispatcher's lists and maps by name.
func (d *Dispatcher) Sizes() map[string]int {
	return map[string]int{
		"messages": len(d.messages), "keys": len(d.keys), "resting": len(d.idleKeys), "destinations": len(d.destinationByNumber),
		"all": len(d.destinations), "endpoints": len(d.endpointByID), "leaving": len(d.leaving), "away": len(d.removed), "bare": len(d.withoutEndpoints),
		"turns": len(d.active.entries), "ready": len(d.runnable.entries), "wakes": len(d.wakeups.entries),
		"shut": len(d.waitingForRoom.entries), "calm": len(d.normalScans.entries), "rushed": len(d.shortageScans.entries), "worths": len(d.byWorth.entries),
		"valued": len(d.worthExpiry.entries), "roused": len(d.woken),
	}
}

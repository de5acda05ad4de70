package control

import (
	"fmt"
	"slices"
)

// CheckHeaps recomputes what the heaps and counters cache for all destinations, and returns an error where they differ.
func (d *Dispatcher) CheckHeaps() error {
	unhealthyCalls := 0
	for _, dest := range d.destinations {
		if dest.callsOut > 0 && d.destinationUnhealthy(dest) {
			unhealthyCalls += dest.callsOut
		}
		if active := dest.queued > 0 || dest.callsOut > 0; active != (dest.heapPositions[activeHeap] > 0) ||
			active && d.active.entries[dest.heapPositions[activeHeap]-1].key != dest.virtualTime {
			return fmt.Errorf("destination %d: active is %v, position by turn %d",
				dest.number, active, dest.heapPositions[activeHeap])
		}
		pending := dest.wakePending || dest.state != stateIdle
		if dest.queued > 0 && !pending || dest.queued == 0 && dest.state != stateIdle {
			return fmt.Errorf("destination %d: %d queued, state %d, woken %v",
				dest.number, dest.queued, dest.state, dest.wakePending)
		}
		if dest.callsOut > 0 {
			normal, shortage := d.nextScan(dest)
			for _, scan := range []struct {
				at   Time
				heap *destinationHeap[Time]
			}{{normal, &d.normalScans}, {shortage, &d.shortageScans}} {
				if at := dest.heapPositions[scan.heap.index]; scan.at < never &&
					(at == 0 || scan.heap.entries[at-1].key > max(scan.at, d.now)) {
					return fmt.Errorf("destination %d has a timeout scan later than %d", dest.number, scan.at)
				}
			}
		}
		if dest.state == stateAsleep && dest.windowSlowStart && dest.endedCalls == 0 &&
			dest.windowList != d.listNumber && dest.window < d.fairWindow {
			return fmt.Errorf("destination %d sleeps with the window of an earlier list", dest.number)
		}
	}
	if unhealthyCalls != d.unhealthyCalls {
		return fmt.Errorf("%d calls are out to unhealthy destinations, counted %d", unhealthyCalls, d.unhealthyCalls)
	}
	for _, check := range []func() error{
		checkHeap(&d.active), checkHeap(&d.runnable), checkHeap(&d.waitingForRoom), checkHeap(&d.wakeups),
		checkHeap(&d.normalScans), checkHeap(&d.shortageScans), checkHeap(&d.byWorth), checkHeap(&d.worthExpiry),
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkHeap returns a check of one heap: positions, heap property, and no reference left behind the end of its list.
func checkHeap[K float64 | Time](heap *destinationHeap[K]) func() error {
	return func() error {
		for i := range heap.entries {
			entry := &heap.entries[i]
			if entry.destination.heapPositions[heap.index] != i+1 || i > 0 && entry.less(&heap.entries[(i-1)/2]) {
				return fmt.Errorf("heap %d is not in order at %d", heap.index, i)
			}
		}
		if slices.ContainsFunc(heap.entries[len(heap.entries):cap(heap.entries)],
			func(entry heapEntry[K]) bool { return entry.destination != nil }) {
			return fmt.Errorf("heap %d keeps a destination that was removed", heap.index)
		}
		return nil
	}
}

// WakeAll makes the next Step evaluate all destinations that sleep.
func (d *Dispatcher) WakeAll() { d.wakeAll() }

// Sizes returns the lengths of the dispatcher's lists, maps and heaps by the names of their fields.
func (d *Dispatcher) Sizes() map[string]int {
	return map[string]int{
		"messages": len(d.messages), "keys": len(d.keys), "idleKeys": len(d.idleKeys),
		"destinationByNumber": len(d.destinationByNumber), "destinations": len(d.destinations),
		"endpointByID": len(d.endpointByID), "leaving": len(d.leaving), "removed": len(d.removed),
		"withoutEndpoints": len(d.withoutEndpoints), "active": len(d.active.entries),
		"runnable": len(d.runnable.entries), "wakeups": len(d.wakeups.entries),
		"waitingForRoom": len(d.waitingForRoom.entries), "normalScans": len(d.normalScans.entries),
		"shortageScans": len(d.shortageScans.entries), "byWorth": len(d.byWorth.entries),
		"worthExpiry": len(d.worthExpiry.entries), "woken": len(d.woken),
	}
}

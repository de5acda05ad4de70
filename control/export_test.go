package control

import (
	"fmt"
	"slices"
)

// CheckOrders recomputes what the orders and counters cache for all destinations, and returns an error where they differ.
func (d *Dispatcher) CheckOrders() error {
	sick := 0
	for _, t := range d.dests {
		if t.w > 0 && d.sick(t) {
			sick += t.w
		}
		if used := t.held > 0 || t.w > 0; used != (t.places[inTurns] > 0) || used && d.turns.list[t.places[inTurns]-1].key != t.acc {
			return fmt.Errorf("destination %d: active is %v, position by turn %d", t.no, used, t.places[inTurns])
		}
		waits := t.rousing || t.standing != idle
		if t.held > 0 && !waits || t.held == 0 && t.standing != idle {
			return fmt.Errorf("destination %d: %d queued, state %d, woken %v", t.no, t.held, t.standing, t.rousing)
		}
		if t.w > 0 {
			calm, short := d.nextLook(t)
			for _, o := range []struct {
				at   Time
				list *order[Time]
			}{{calm, &d.calm}, {short, &d.rushed}} {
				if at := t.places[o.list.no]; o.at < never && (at == 0 || o.list.list[at-1].key > max(o.at, d.now)) {
					return fmt.Errorf("destination %d is scanned too late for %d", t.no, o.at)
				}
			}
		}
		if t.standing == asleep && t.starting && t.ends == 0 && t.listed != d.lists && t.wmax < d.fair {
			return fmt.Errorf("destination %d sleeps with the window of an earlier list", t.no)
		}
	}
	if sick != d.sickOut {
		return fmt.Errorf("%d calls are out to unhealthy destinations, counted %d", sick, d.sickOut)
	}
	for _, f := range []func() error{
		checkOrder(&d.turns), checkOrder(&d.ready), checkOrder(&d.shut), checkOrder(&d.wakes),
		checkOrder(&d.calm), checkOrder(&d.rushed), checkOrder(&d.worths), checkOrder(&d.valued),
	} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

// checkOrder returns a check of one order: positions, heap property, and no reference left behind the end of its list.
func checkOrder[K float64 | Time](o *order[K]) func() error {
	return func() error {
		for i := range o.list {
			x := &o.list[i]
			if x.t.places[o.no] != i+1 || i > 0 && x.before(&o.list[(i-1)/2]) {
				return fmt.Errorf("heap %d is not in order at %d", o.no, i)
			}
		}
		if slices.ContainsFunc(o.list[len(o.list):cap(o.list)], func(x ranked[K]) bool { return x.t != nil }) {
			return fmt.Errorf("heap %d keeps a destination that was removed", o.no)
		}
		return nil
	}
}

// LookAtAll makes the next Step evaluate all destinations that sleep.
func (d *Dispatcher) LookAtAll() { d.rouseAll() }

// Sizes returns the lengths of the dispatcher's lists and maps by name.
func (d *Dispatcher) Sizes() map[string]int {
	return map[string]int{
		"messages": len(d.msgs), "keys": len(d.keys), "resting": len(d.resting), "destinations": len(d.byNo),
		"all": len(d.dests), "endpoints": len(d.byID), "leaving": len(d.leaving), "away": len(d.away), "bare": len(d.bare),
		"turns": len(d.turns.list), "ready": len(d.ready.list), "wakes": len(d.wakes.list),
		"shut": len(d.shut.list), "calm": len(d.calm.list), "rushed": len(d.rushed.list), "worths": len(d.worths.list),
		"valued": len(d.valued.list), "roused": len(d.roused),
	}
}

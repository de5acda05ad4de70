package sim

import (
	"log/slog"
	"runtime"

	"curlewmux/internal/journal"
)

// leftovers checks that an idle dispatcher has what it had at first.
func (f *Farm) leftovers() {
	const files = 6 // that a journal may have open more than at first
	for _, d := range f.dispatchers {
		if d.p == nil {
			f.violation("leftovers", "d%d does not run, though all has been well for %v", d.n, f.w.Now()-f.heal)
			continue
		}
		if !d.ready {
			f.violation("leftovers", "d%d is not ready %v after its start", d.n, f.w.Now()-d.booted)
			continue
		}
		if a := d.agent; a.heard < a.feed.base+len(a.feed.log) {
			f.violation("leftovers", "d%d has heard of %d changes of %d, though all has been well for %v",
				d.n, a.heard, a.feed.base+len(a.feed.log), f.w.Now()-f.heal)
		}
		if d.agent.view != nil {
			d.agent.same()
		}
		if n := d.p.Goroutines(); n > d.baseGoroutines {
			f.violation("leftovers", "d%d has %d goroutines, and had %d before any client came: %v",
				d.n, n, d.baseGoroutines, d.p.Waiting())
		}
		if n := d.p.Descriptors(); n > d.baseDescriptors+files {
			f.violation("leftovers", "d%d has %d descriptors open, and had %d before any client came", d.n, n, d.baseDescriptors)
		}
		if n := d.m.Disk().Used(); n > int64(f.site.DiskKB)<<10+4<<10 {
			f.violation("leftovers", "d%d's folder takes %d bytes of %d", d.n, n, f.site.DiskKB<<10)
		}
	}
}

// folder checks that a dispatcher's folder can be opened once more, and that nothing is owed in it: the time of all
// messages is up.
func (f *Farm) folder(d *Dispatcher) {
	j, state, err := journal.Open(d.m.Disk().Dir(), journal.Settings{
		Disk: int64(f.site.DiskKB) << 10, Owner: d.name, Random: stream(f.seed, "folder", d.n).next, KeepLeaves: true,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		f.violation("leftovers", "d%d's folder can't be opened any more: %v", d.n, err)
		return
	}
	defer j.Close()
	d.leafs(state.Leaves)
	for _, m := range state.Live {
		f.violation("leftovers", "d%d's folder still has %s (its end is decided: %t)", d.n, m.Message.ID, m.Pending != nil)
	}
}

// settle checks that the ends that were excused have come.
func (f *Farm) settle() {
	for _, m := range f.owed {
		lost := false
		for _, at := range f.dispatchers[m.Dispatcher].losses {
			lost = lost || m.Sent < at
		}
		if !lost && !f.fate(m.ID).ended {
			f.violation(missing, "%s never ended", m.ID)
		}
	}
}

// mostKept is what an idle dispatcher may keep in memory: what it has at its start, and the ids that it remembers.
const mostKept = 256 << 10

// heap is how many bytes are in use.
func heap() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // what finalizers and pools held
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// memory checks what the dispatchers had kept: what their end has freed.
func (f *Farm) memory(freed int) {
	f.kept = freed / len(f.dispatchers)
	if f.kept > mostKept {
		f.violation("leftovers", "an idle dispatcher keeps %d bytes in memory; allowed: %d", f.kept, mostKept)
	}
}

package journal

import (
	"errors"
	"sync"

	"curlewmux/engine"
)

// syncer is what the driver's goroutine and the syncing one share.
type syncer struct {
	mu     sync.Mutex
	busy   bool         // the syncing goroutine runs, or a timer for it does
	files  []File       // written since they were last synced
	dir    bool         // files were made since the folder was last synced
	wrote  uint64       // the number of the last flight that was written
	batch  engine.Batch // the last in it
	done   uint64       // flights up to this one are synced, or were taken back
	stored engine.Batch // the last batch that is
	taken  int          // times that flights were taken back
	failed error        // of the last sync; the driver takes it away
	closed bool
}

// fly hands a flight that was written to the syncing goroutine. An error is that of an earlier sync, which the flight
// then shares.
func (j *Journal) fly(f *flight) error {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	f.number = s.wrote + 1
	if s.failed != nil {
		return s.failed
	}
	s.wrote++
	s.batch = max(s.batch, f.batch)
	if n := len(s.files); n == 0 || s.files[n-1] != j.head.file {
		s.files = append(s.files, j.head.file)
	}
	s.dir = s.dir || f.began
	if !s.busy {
		s.busy = true
		j.startSync()
	}
	return nil
}

func (j *Journal) startSync() {
	if j.set.Sync == SyncInterval {
		j.set.After(j.set.SyncEvery, j.runSync)
	} else {
		j.set.Go(j.runSync)
	}
}

// runSync syncs what was written, on a goroutine of its own: each time all that was written during the sync before.
func (j *Journal) runSync() {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && s.failed == nil && s.wrote > s.done {
		files, dir, number, batch, taken := s.files, s.dir, s.wrote, s.batch, s.taken
		s.files, s.dir = nil, false
		s.mu.Unlock()
		err := syncAll(j.dir, files, dir)
		s.mu.Lock()
		switch {
		case s.closed:
			return
		case s.taken != taken: // what it was for is void
			s.done, s.dir = max(s.done, number), true
		case err != nil:
			s.failed = err
		default:
			s.done, s.stored = number, batch
		}
		if j.set.Sync == SyncAlways {
			tell := s.stored
			s.mu.Unlock()
			j.set.OnStored(tell)
			s.mu.Lock()
		} else if s.failed == nil && s.wrote > s.done {
			j.startSync()
			return
		}
	}
	s.busy = false
}

func syncAll(dir Dir, files []File, names bool) error {
	for _, f := range files {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	if names {
		return dir.Sync()
	}
	return nil
}

// settle takes up what the syncing goroutine has done. If a sync failed with SyncAlways, all that is not stored is taken
// back, and broken says so.
func (j *Journal) settle() {
	if j.set.Sync == SyncNone {
		return
	}
	s := &j.syncer
	s.mu.Lock()
	done, failed := s.done, s.failed
	s.mu.Unlock()
	n := 0
	for n < len(j.flights) && j.flights[n].number <= done {
		j.land(&j.flights[n])
		n++
	}
	j.release(n)
	j.landed = max(j.landed, done)
	if failed == nil {
		return
	}
	j.set.Log.Error("journal: a sync failed; what it was for is not stored, or is written anew", "error", failed)
	if j.set.Sync == SyncAlways {
		if len(j.buf) > 0 {
			j.takeBack(&j.cur)
			j.empty()
		}
		j.takeBackFlights()
		j.broken = failed
		return
	}
	// What was written counts for this process. All that is live goes into new segments, and until it is there what was
	// void stays.
	j.voidSyncs()
	j.rewrite = j.lastSeq
	for i := range j.flights {
		j.kept = append(j.kept, j.flights[i].voids...)
	}
	j.flights = nil
	j.retire()
}

// voidSyncs has the syncing goroutine forget what it was handed.
func (j *Journal) voidSyncs() {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken++
	s.files, s.dir, s.batch = nil, true, s.stored
	if s.failed != nil || !s.busy { // else it is at it, and says when it is through
		s.done = s.wrote
	}
	s.failed = nil
	j.landed = s.done
}

// takeBackFlights undoes all that was written and is not synced. The segments that it began go, and the one before counts
// up to where it was: the next one says so.
func (j *Journal) takeBackFlights() {
	j.voidSyncs()
	if len(j.flights) == 0 {
		return
	}
	at := j.flights[0].at
	for i := len(j.flights) - 1; i >= 0; i-- {
		j.takeBack(&j.flights[i])
	}
	j.flights = nil
	j.retire()
	for i := len(j.segs) - 1; i >= 0 && j.segs[i].seq > at.seq; i-- {
		w := j.segs[i]
		j.segs = j.segs[:i]
		j.total -= blocks(w.disk)
		j.waiting += blocks(w.disk)
		j.voids = append(j.voids, w)
	}
	if n := len(j.segs); n > 0 && j.segs[n-1].seq == at.seq {
		// Until the next segment is there its end is better gone.
		w := j.segs[n-1]
		w.size = at.size
		if w.file != nil && w.file.Truncate(at.size) == nil {
			j.total += blocks(at.size) - blocks(w.disk)
			w.disk = at.size
		}
	}
	j.measure()
}

// release forgets the first flights, and how to take them back.
func (j *Journal) release(n int) {
	if n == 0 {
		return
	}
	from := len(j.undo)
	if n < len(j.flights) {
		from = j.flights[n].undo
	} else if len(j.buf) > 0 {
		from = j.cur.undo
	}
	j.keep(from)
	switch {
	case n < len(j.flights):
		j.echoes.trim(j.flights[n].far)
	case len(j.buf) > 0:
		j.echoes.trim(j.cur.far)
	default:
		j.echoes.trim(j.echoes.far)
	}
	j.flights = append(j.flights[:0], j.flights[n:]...)
	for i := range j.flights {
		j.flights[i].undo -= from
	}
	j.cur.undo -= from
}

// retire ends the newest segment: the next write begins another one.
func (j *Journal) retire() {
	if j.head != nil {
		j.closing = append(j.closing, j.head)
		j.head = nil
	}
}

// syncOpened makes what an earlier process wrote outlast a power failure.
func (j *Journal) syncOpened() error {
	for _, s := range j.segs {
		f, err := j.dir.Open(s.name)
		if err != nil {
			return err
		}
		if err := errors.Join(f.Sync(), f.Close()); err != nil {
			return err
		}
	}
	return j.dir.Sync()
}

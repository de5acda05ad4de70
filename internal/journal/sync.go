package journal

import (
	"errors"
	"sync"

	"curlewmux/engine"
)

// syncer is the state that the driver's goroutine and the syncing goroutine share. mu protects it.
type syncer struct {
	mu          sync.Mutex
	running     bool         // the syncing goroutine or a timer for it is running
	files       []File       // written since they were last synced
	dirChanged  bool         // files were created since the folder was last synced
	lastWritten uint64       // number of the last write
	lastBatch   engine.Batch // last batch in it
	syncedUpTo  uint64       // writes up to this one are synced, or were undone
	storedBatch engine.Batch // last batch that is synced
	discards    int          // how often pending syncs were discarded
	syncError   error        // of the last sync, until the driver's goroutine has handled it
	closed      bool
}

// handToSyncer hands a finished write to the syncing goroutine. It returns the error of an earlier sync, which is
// then the error of this write, too.
func (j *Journal) handToSyncer(f *pendingWrite) error {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	f.number = s.lastWritten + 1
	if s.syncError != nil {
		return s.syncError
	}
	s.lastWritten++
	s.lastBatch = max(s.lastBatch, f.batch)
	if n := len(s.files); n == 0 || s.files[n-1] != j.newest.file {
		s.files = append(s.files, j.newest.file)
	}
	s.dirChanged = s.dirChanged || f.newSegment
	if !s.running {
		s.running = true
		j.startSync()
	}
	return nil
}

// startSync starts the syncing goroutine, at once or after SyncEvery.
func (j *Journal) startSync() {
	if j.settings.Sync == SyncInterval {
		j.settings.After(j.settings.SyncEvery, j.runSync)
	} else {
		j.settings.Go(j.runSync)
	}
}

// runSync syncs what was written, on a goroutine of its own. Each pass syncs all that was written during the pass
// before.
func (j *Journal) runSync() {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.closed && s.syncError == nil && s.lastWritten > s.syncedUpTo {
		files, dirChanged, number, batch, discards := s.files, s.dirChanged, s.lastWritten, s.lastBatch, s.discards
		s.files, s.dirChanged = nil, false
		s.mu.Unlock()
		err := syncAll(j.dir, files, dirChanged)
		s.mu.Lock()
		switch {
		case s.closed:
			return
		case s.discards != discards: // the writes of this sync were discarded meanwhile
			s.syncedUpTo, s.dirChanged = max(s.syncedUpTo, number), true
		case err != nil:
			s.syncError = err
		default:
			s.syncedUpTo, s.storedBatch = number, batch
		}
		if j.settings.Sync == SyncAlways {
			stored := s.storedBatch
			s.mu.Unlock()
			j.settings.OnStored(stored)
			s.mu.Lock()
		} else if s.syncError == nil && s.lastWritten > s.syncedUpTo {
			j.startSync()
			return
		}
	}
	s.running = false
}

// syncAll syncs files, and the folder if syncDir is set.
func syncAll(dir Dir, files []File, syncDir bool) error {
	for _, f := range files {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	if syncDir {
		return dir.Sync()
	}
	return nil
}

// applySyncResults takes over the results of the syncing goroutine. If a sync failed with SyncAlways, all that is not
// stored is undone, and failure is set.
func (j *Journal) applySyncResults() {
	if j.settings.Sync == SyncNone {
		return
	}
	s := &j.syncer
	s.mu.Lock()
	done, syncError := s.syncedUpTo, s.syncError
	s.mu.Unlock()
	n := 0
	for n < len(j.pendingWrites) && j.pendingWrites[n].number <= done {
		j.markStored(&j.pendingWrites[n])
		n++
	}
	j.releaseWrites(n)
	j.syncedWrite = max(j.syncedWrite, done)
	if syncError == nil {
		return
	}
	j.settings.Log.Error("journal: a sync failed; its batches are not stored, or are written again", "error", syncError)
	if j.settings.Sync == SyncAlways {
		if len(j.buf) > 0 {
			j.undoWrite(&j.current)
			j.clearBuffer()
		}
		j.undoPendingWrites()
		j.failure = syncError
		return
	}
	// With SyncInterval, what was written still counts for this process. All live content is copied to new segments,
	// and obsolete segments stay until that is done.
	j.discardSyncs()
	j.rewriteUpTo = j.lastSeq
	for i := range j.pendingWrites {
		j.heldObsolete = append(j.heldObsolete, j.pendingWrites[i].obsolete...)
	}
	j.pendingWrites = nil
	j.retireNewest()
}

// discardSyncs makes the syncing goroutine forget the writes that it was given.
func (j *Journal) discardSyncs() {
	s := &j.syncer
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discards++
	s.files, s.dirChanged, s.lastBatch = nil, true, s.storedBatch
	if s.syncError != nil || !s.running { // otherwise the running sync sets syncedUpTo when it ends
		s.syncedUpTo = s.lastWritten
	}
	s.syncError = nil
	j.syncedWrite = s.syncedUpTo
}

// undoPendingWrites undoes all writes that are not synced. The segments that they created are removed. The segment
// before them is valid up to its earlier size, which the header of the next segment records.
func (j *Journal) undoPendingWrites() {
	j.discardSyncs()
	if len(j.pendingWrites) == 0 {
		return
	}
	end := j.pendingWrites[0].previous
	for i := len(j.pendingWrites) - 1; i >= 0; i-- {
		j.undoWrite(&j.pendingWrites[i])
	}
	j.pendingWrites = nil
	j.retireNewest()
	for i := len(j.segments) - 1; i >= 0 && j.segments[i].seq > end.seq; i-- {
		seg := j.segments[i]
		j.segments = j.segments[:i]
		j.segmentBytes -= blocks(seg.diskSize)
		j.obsoleteBytes += blocks(seg.diskSize)
		j.obsolete = append(j.obsolete, seg)
	}
	if n := len(j.segments); n > 0 && j.segments[n-1].seq == end.seq {
		// Until the next segment is written nothing records the valid size, so truncate the file.
		seg := j.segments[n-1]
		seg.validSize = end.validSize
		if seg.file != nil && seg.file.Truncate(end.validSize) == nil {
			j.segmentBytes += blocks(end.validSize) - blocks(seg.diskSize)
			seg.diskSize = end.validSize
		}
	}
	j.updateLargest()
}

// releaseWrites forgets the first n pending writes, which can no longer be undone.
func (j *Journal) releaseWrites(n int) {
	if n == 0 {
		return
	}
	from := len(j.undo)
	if n < len(j.pendingWrites) {
		from = j.pendingWrites[n].undo
	} else if len(j.buf) > 0 {
		from = j.current.undo
	}
	j.discardUndo(from)
	switch {
	case n < len(j.pendingWrites):
		j.repeats.trim(j.pendingWrites[n].nextSecond)
	case len(j.buf) > 0:
		j.repeats.trim(j.current.nextSecond)
	default:
		j.repeats.trim(j.repeats.nextSecond)
	}
	j.pendingWrites = append(j.pendingWrites[:0], j.pendingWrites[n:]...)
	for i := range j.pendingWrites {
		j.pendingWrites[i].undo -= from
	}
	j.current.undo -= from
}

// retireNewest ends the newest segment: the next write creates another one.
func (j *Journal) retireNewest() {
	if j.newest != nil {
		j.retired = append(j.retired, j.newest)
		j.newest = nil
	}
}

// syncExisting syncs all segments and the folder, so that what is there survives a power failure.
func (j *Journal) syncExisting() error {
	for _, s := range j.segments {
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

package journal

import (
	"errors"
	"io/fs"
	"syscall"
)

// Settings.Disk limits the journal's own files, but others may fill the disk, too. So the journal keeps a file of
// zeros, and truncates it when the disk is full. This leaves room to end accepted messages, and to copy and remove
// old segments. No message is accepted until the file is restored.
const (
	spareName         = "journal.spare"
	spareRetryFlushes = 16 // calls of Flush between two attempts to restore the file
)

type spare struct {
	file              File
	size              int64 // its current disk use
	missing           bool  // it was truncated, or could not be written
	flushesUntilRetry int   // calls of Flush until the next attempt to restore it
}

// release frees the space of the file. It returns false if there is nothing to free, or if that fails.
func (s *spare) release() bool {
	if s.size == 0 || s.file == nil || s.file.Truncate(0) != nil {
		return false
	}
	s.size, s.missing, s.flushesUntilRetry = 0, true, spareRetryFlushes
	return true
}

func (s *spare) close() error {
	if s.file == nil {
		return nil
	}
	return s.file.Close()
}

// isDiskFull reports whether a write failed because the disk or the quota is full.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// spareSize returns the disk use of the file when it is filled.
func (j *Journal) spareSize() int64 { return blocks(j.segmentSize / 2) }

// fillSpare creates the file if needed, and fills it with zeros. If that is not possible, missing is set.
func (j *Journal) fillSpare() {
	s := &j.spare
	s.missing = true
	if s.file == nil { // an earlier process may have left one
		if err := j.dir.Remove(spareName); err != nil && !errors.Is(err, fs.ErrNotExist) {
			s.size = fileSize(j.dir, spareName)
			return
		}
		s.size = 0
	}
	if j.used()+j.spareSize() > j.diskLimit() {
		return
	}
	if s.file == nil {
		f, err := j.dir.Create(spareName)
		if err != nil {
			return
		}
		s.file = f
	}
	if _, err := s.file.WriteAt(make([]byte, j.spareSize()), 0); err != nil {
		_ = s.file.Truncate(0) // if this fails the file takes uncounted space until it is restored
		return
	}
	s.size, s.missing = j.spareSize(), false
}

// refillSpare tries to restore the file once in a while.
func (j *Journal) refillSpare() {
	s := &j.spare
	if !s.missing {
		return
	}
	if s.flushesUntilRetry--; s.flushesUntilRetry > 0 {
		return
	}
	s.flushesUntilRetry = spareRetryFlushes
	if j.fillSpare(); !s.missing {
		j.settings.Log.Info("journal: there is room again")
	}
}

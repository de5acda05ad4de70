package undelivered

import (
	"encoding/binary"
	"errors"
	"io/fs"

	"curlewmux/internal/journal"
)

// meta holds the state of the store besides its entries. Its file has two copies that are written in turns; the newer
// valid one counts.
type meta struct {
	generation     uint64
	storeID        uint64 // random; identifies the store in entries and ids
	reservedUpTo   uint64 // numbers up to this one may have been used
	storeTime      Time   // store time when the wall clock showed wallMicros
	wallMicros     int64  // Unix microseconds
	ageUnknownUpTo Time   // the age of anything at or before this store time is unknown
}

const (
	metaName              = "kept-meta"
	metaMagic             = "CMKEPT01"
	metaSize              = 8 + 6*8 + 4
	numbersPerReservation = 1000
)

func (m *meta) encode() []byte {
	b := append(make([]byte, 0, blockSize), metaMagic...)
	for _, v := range [...]uint64{m.generation, m.storeID, m.reservedUpTo, uint64(m.storeTime), uint64(m.wallMicros), uint64(m.ageUnknownUpTo)} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = binary.LittleEndian.AppendUint32(b, checksum(0, 0, b))
	return b[:blockSize]
}

func decodeMeta(b []byte) (m meta, ok bool) {
	if len(b) < metaSize || string(b[:8]) != metaMagic || binary.LittleEndian.Uint32(b[metaSize-4:]) != checksum(0, 0, b[:metaSize-4]) {
		return m, false
	}
	v := func(i int) uint64 { return binary.LittleEndian.Uint64(b[8+8*i:]) }
	return meta{v(0), v(1), v(2), Time(v(3)), int64(v(4)), Time(v(5))}, true
}

// readMeta reads the newest valid copy. ok is false if there is none.
func readMeta(dir journal.Dir) (m meta, ok bool, err error) {
	b, err := readFile(dir, metaName)
	if errors.Is(err, fs.ErrNotExist) {
		return m, false, nil
	}
	if err != nil {
		return m, false, err
	}
	for off := 0; off < 2*blockSize && off < len(b); off += blockSize {
		if one, good := decodeMeta(b[off:min(off+blockSize, len(b))]); good && (!ok || one.generation > m.generation) {
			m, ok = one, true
		}
	}
	return m, ok, nil
}

// writeMeta writes the next generation over the older copy.
func (s *Store) writeMeta(m meta) error {
	if s.metaFile == nil {
		f, err := s.dir.Reopen(metaName)
		if errors.Is(err, fs.ErrNotExist) {
			f, err = s.dir.Create(metaName)
		}
		if err != nil {
			return err
		}
		s.metaFile = f
	}
	m.generation++
	if _, err := s.metaFile.WriteAt(m.encode(), int64(m.generation%2)*blockSize); err != nil {
		return err
	}
	if s.settings.Sync {
		if err := errors.Join(s.metaFile.Sync(), s.dir.Sync()); err != nil {
			return err
		}
	}
	s.meta = m
	return nil
}

// nextNumber returns the next number. Entries and claims share one sequence, which only grows.
func (s *Store) nextNumber() (uint64, error) {
	if s.lastNumber+1 > s.meta.reservedUpTo {
		m := s.meta
		m.reservedUpTo = s.lastNumber + numbersPerReservation
		if err := s.writeMeta(m); err != nil {
			return 0, err
		}
	}
	s.lastNumber++
	return s.lastNumber, nil
}

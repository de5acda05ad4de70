package undelivered

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"hash/crc32"
	"io/fs"
	"slices"
	"time"

	"curlewmux/internal/journal"
)

// Refused messages are returned to their clients and never resent from here. They are only listed, in one file with a
// fixed number of slots. The newest overwrites the oldest.
const (
	refusedName       = "kept-refused"
	refusedSlotSize   = 256 // bytes
	refusedHeaderSize = 6   // bytes: checksum and length
)

// RefusedMessage is a message that was returned to its client.
type RefusedMessage struct {
	Seq         uint64    `json:"n"`
	At          time.Time `json:"at"`
	ID          string    `json:"id"`
	Class       string    `json:"class"`
	Tenant      string    `json:"tenant,omitempty"`
	Destination int       `json:"dest"`
	Cause       string    `json:"cause"`
	Attempts    int       `json:"tries,omitempty"`
}

type refusedList struct {
	file    journal.File
	slots   int64 // 0 disables the list
	lastSeq uint64
}

func (h RefusedMessage) encode() []byte {
	cut := func(s *string, n int) { *s = (*s)[:min(len(*s), n)] }
	cut(&h.ID, 64)
	cut(&h.Class, 24)
	cut(&h.Tenant, 24)
	text, err := json.Marshal(h)
	if err != nil || len(text) > refusedSlotSize-refusedHeaderSize { // escaping can make a text longer than the slot
		h.ID, h.Class, h.Tenant = "?", "?", ""
		text, _ = json.Marshal(h) // only numbers and a time are left; this can't fail
	}
	b := make([]byte, refusedSlotSize)
	copy(b[refusedHeaderSize:], text)
	binary.LittleEndian.PutUint16(b[4:], uint16(len(text)))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], castagnoli))
	return b
}

func decodeHanded(b []byte) (h RefusedMessage, ok bool) {
	n := int(binary.LittleEndian.Uint16(b[4:]))
	if n > refusedSlotSize-refusedHeaderSize || binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return h, false
	}
	return h, json.Unmarshal(b[refusedHeaderSize:refusedHeaderSize+n], &h) == nil
}

// ReadRefused returns the recently refused messages, oldest first. Slots that can't be read are skipped.
func ReadRefused(dir journal.Dir) (list []RefusedMessage, err error) {
	b, err := readFile(dir, refusedName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for ; len(b) >= refusedSlotSize; b = b[refusedSlotSize:] {
		if h, ok := decodeHanded(b[:refusedSlotSize]); ok {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b RefusedMessage) int { return int(a.Seq) - int(b.Seq) })
	return list, err
}

func (r *refusedList) open(s *Store) error {
	list, err := ReadRefused(s.dir)
	if err != nil {
		return err
	}
	for _, h := range list {
		r.lastSeq = max(r.lastSeq, h.Seq)
	}
	if r.slots == 0 {
		return nil
	}
	r.file, err = s.dir.Reopen(refusedName)
	if errors.Is(err, fs.ErrNotExist) {
		r.file, err = s.dir.Create(refusedName)
	}
	return err
}

// add writes a message to the next slot.
func (r *refusedList) add(h RefusedMessage) error {
	if r.slots == 0 {
		return nil
	}
	h.Seq = r.lastSeq + 1
	if _, err := r.file.WriteAt(h.encode(), int64(h.Seq)%r.slots*refusedSlotSize); err != nil {
		return err
	}
	r.lastSeq++
	return nil
}

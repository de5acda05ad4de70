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

// What was handed back to its client is listed only, in one file of so many slots, the oldest of which is written over.
// Nothing is sent from here.
const (
	refusedName = "kept-refused"
	refusedSlot = 256
	refusedHead = 6 // check and length
)

// RefusedMessage is a message that was handed back to its client.
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

type refused struct {
	file  journal.File
	slots int64 // 0: nothing is listed
	seq   uint64
}

func (h RefusedMessage) encode() []byte {
	cut := func(s *string, n int) { *s = (*s)[:min(len(*s), n)] }
	cut(&h.ID, 64)
	cut(&h.Class, 24)
	cut(&h.Tenant, 24)
	text, err := json.Marshal(h)
	if err != nil || len(text) > refusedSlot-refusedHead { // a text that needs much escaping
		h.ID, h.Class, h.Tenant = "?", "?", ""
		text, _ = json.Marshal(h) // numbers and a time: it can't fail
	}
	b := make([]byte, refusedSlot)
	copy(b[refusedHead:], text)
	binary.LittleEndian.PutUint16(b[4:], uint16(len(text)))
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], castagnoli))
	return b
}

func decodeHanded(b []byte) (h RefusedMessage, ok bool) {
	n := int(binary.LittleEndian.Uint16(b[4:]))
	if n > refusedSlot-refusedHead || binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return h, false
	}
	return h, json.Unmarshal(b[refusedHead:refusedHead+n], &h) == nil
}

// ReadRefused lists what was handed back to clients of late, oldest first. Slots that can't be read are left out.
func ReadRefused(dir journal.Dir) (list []RefusedMessage, err error) {
	b, err := readFile(dir, refusedName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for ; len(b) >= refusedSlot; b = b[refusedSlot:] {
		if h, ok := decodeHanded(b[:refusedSlot]); ok {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(a, b RefusedMessage) int { return int(a.Seq) - int(b.Seq) })
	return list, err
}

func (r *refused) open(s *Store) error {
	list, err := ReadRefused(s.dir)
	if err != nil {
		return err
	}
	for _, h := range list {
		r.seq = max(r.seq, h.Seq)
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

// add lists one.
func (r *refused) add(h RefusedMessage) error {
	if r.slots == 0 {
		return nil
	}
	h.Seq = r.seq + 1
	if _, err := r.file.WriteAt(h.encode(), int64(h.Seq)%r.slots*refusedSlot); err != nil {
		return err
	}
	r.seq++
	return nil
}

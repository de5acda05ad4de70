package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"curlewmux/engine"
)

// A segment's file begins with its header, twice, the second time at offset headerCopy, so that one damaged block leaves
// one of them; the frames follow. What comes first in a header is the same in all formats from this one on: a magic text,
// the format's number and the check of both. Then come the length and the check of the rest, and the rest.
const (
	magic      = "curlewJ\n"
	format     = 2 // 1 is that of journal-N, which had no header
	headerCopy = 512
	headerMax  = 400
	ownerMax   = 200 // bytes of the owner's name
)

// ErrNewerFormat is what Open returns for a folder that a newer program wrote. The folder is left as it is.
var ErrNewerFormat = errors.New("the journal is of a newer format than this program knows")

// ErrOtherOwner is what Open returns for a folder in which there are segments and none is of its owner's.
var ErrOtherOwner = errors.New("the journal is another dispatcher's")

var errHeader = errors.New("segment has no good header")

// link names a segment and says up to where it counts.
type link struct {
	seq  uint64 // 0: there is none
	salt uint64
	size int64
}

// header is what a segment says of itself.
type header struct {
	identity uint64 // of the journal, chosen when it was begun
	seq      uint64
	salt     uint64
	first    uint64 // segments before this one are void
	prev     link   // the segment before
	frame    uint64 // numbers of the first frame
	fact     uint64
	whole    uint64
	num      uint64 // the last message's
	shift    engine.Timestamp
	last     engine.Timestamp // as it was then
	owner    string
}

// append appends the header in both places. The frames start behind it.
func (h *header) append(b []byte) []byte {
	start := len(b)
	b = h.once(b)
	b = append(b, make([]byte, headerCopy-(len(b)-start))...)
	return h.once(b)
}

func (h *header) once(b []byte) []byte {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, format)
	b = binary.LittleEndian.AppendUint32(b, sum(b[len(b)-len(magic)-4:]))
	at := len(b)
	b = append(b, make([]byte, 8)...)
	b = binary.LittleEndian.AppendUint64(b, h.identity)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	b = binary.LittleEndian.AppendUint64(b, h.prev.salt)
	for _, v := range []uint64{h.seq, h.first, h.prev.seq, uint64(h.prev.size), h.frame, h.fact, h.whole, h.num} {
		b = binary.AppendUvarint(b, v)
	}
	b = putText(putStamp(putStamp(b, h.shift), h.last), h.owner)
	binary.LittleEndian.PutUint32(b[at:], uint32(len(b)-at-8))
	binary.LittleEndian.PutUint32(b[at+4:], sum(b[at+8:]))
	return b
}

// readHeader reads the header of a segment and says where the frames start. ErrNewerFormat is certain; errHeader may be damage
// or a segment that was not finished.
func readHeader(text []byte) (h header, frames int64, err error) {
	for _, at := range []int{0, headerCopy} {
		if at > len(text) {
			break
		}
		h, n, e := onceHeader(text[at:])
		if e == nil {
			// Both are of one length; where the second starts is known.
			return h, int64(headerCopy + n), nil
		}
		if errors.Is(e, ErrNewerFormat) {
			return header{}, 0, e
		}
	}
	return header{}, 0, errHeader
}

func onceHeader(b []byte) (h header, n int, err error) {
	const fixed = len(magic) + 8
	if len(b) < fixed+8 || string(b[:len(magic)]) != magic || binary.LittleEndian.Uint32(b[fixed-4:]) != sum(b[:fixed-4]) {
		return h, 0, errHeader
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != format {
		return h, 0, fmt.Errorf("%w: format %d, known is %d", ErrNewerFormat, v, format)
	}
	size := int(binary.LittleEndian.Uint32(b[fixed:]))
	if size > headerMax || size > len(b)-fixed-8 {
		return h, 0, errHeader
	}
	rest := b[fixed+8:][:size]
	if binary.LittleEndian.Uint32(b[fixed+4:]) != sum(rest) {
		return h, 0, errHeader
	}
	r := &reader{buf: rest}
	h.identity, h.salt, h.prev.salt = r.uint64(), r.uint64(), r.uint64()
	h.seq, h.first, h.prev.seq, h.prev.size = r.num(), r.num(), r.num(), int64(r.num())
	h.frame, h.fact, h.whole, h.num = r.num(), r.num(), r.num(), r.num()
	h.shift, h.last, h.owner = r.stamp(), r.stamp(), r.text()
	if r.err != nil {
		return header{}, 0, errHeader
	}
	return h, fixed + 8 + size, nil
}

const (
	prefix = "journal-"
	suffix = ".seg"
)

func segmentName(seq uint64) string { return fmt.Sprintf("%s%08d%s", prefix, seq, suffix) }

// segmentNumber reads a segment's name.
func segmentNumber(name string) (seq uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || !strings.HasSuffix(rest, suffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &seq); err != nil || segmentName(seq) != name {
		return 0, false
	}
	return seq, true
}

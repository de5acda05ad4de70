package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strings"

	"curlewmux/engine"
)

// A segment file begins with its header and a copy of it at offset headerCopyOffset, so that one damaged block leaves
// one of them intact. The frames follow. From this format on a header starts with the same fields in all formats: a
// magic text, the number of the format and a checksum of both. Then come the length and the checksum of the remaining
// fields, and these fields.
const (
	magic            = "curlewJ\n"
	formatVersion    = 2 // 1 is the format of the journal-N files, which have no header
	headerCopyOffset = 512
	maxHeaderSize    = 400
	maxOwnerBytes    = 200 // longest name of an owner
)

// ErrNewerFormat is returned by Open for a folder that a newer program wrote. The folder is not changed.
var ErrNewerFormat = errors.New("the journal is of a newer format than this program knows")

// ErrOtherOwner is returned by Open for a folder that has segments, but none of the given owner.
var ErrOtherOwner = errors.New("the journal is another dispatcher's")

var errBadHeader = errors.New("segment has no good header")

// segmentLink names a segment and says how much of it is valid.
type segmentLink struct {
	seq       uint64 // 0 if there is none
	salt      uint64
	validSize int64
}

// header is the content of a segment's header.
type header struct {
	identity    uint64 // random number of the journal, chosen when it was created
	seq         uint64
	salt        uint64
	firstSeq    uint64           // segments before this one are obsolete
	prev        segmentLink      // the segment before this one
	nextFrame   uint64           // number of the first frame
	nextFact    uint64           // number of the first fact
	nextFull    uint64           // number of the first full record
	lastMessage uint64           // number of the last message
	clockShift  engine.Timestamp // sum of all clock steps
	latestTime  engine.Timestamp // latest time in any record, by the clock at that moment
	owner       string
}

// append appends the header and its copy. The frames follow them.
func (h *header) append(b []byte) []byte {
	start := len(b)
	b = h.appendOnce(b)
	b = append(b, make([]byte, headerCopyOffset-(len(b)-start))...)
	return h.appendOnce(b)
}

// appendOnce appends one copy of the header.
func (h *header) appendOnce(b []byte) []byte {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[len(b)-len(magic)-4:]))
	lengthOffset := len(b)
	b = append(b, make([]byte, 8)...)
	b = binary.LittleEndian.AppendUint64(b, h.identity)
	b = binary.LittleEndian.AppendUint64(b, h.salt)
	b = binary.LittleEndian.AppendUint64(b, h.prev.salt)
	for _, v := range []uint64{h.seq, h.firstSeq, h.prev.seq, uint64(h.prev.validSize), h.nextFrame, h.nextFact, h.nextFull, h.lastMessage} {
		b = binary.AppendUvarint(b, v)
	}
	b = putText(putTimestamp(putTimestamp(b, h.clockShift), h.latestTime), h.owner)
	binary.LittleEndian.PutUint32(b[lengthOffset:], uint32(len(b)-lengthOffset-8))
	binary.LittleEndian.PutUint32(b[lengthOffset+4:], checksum(b[lengthOffset+8:]))
	return b
}

// readHeader reads the header of a segment and returns where the frames start. ErrNewerFormat is reliable, as the
// format number has its own checksum. errBadHeader means damage, or a segment that was not written completely.
func readHeader(text []byte) (h header, frames int64, err error) {
	for _, at := range []int{0, headerCopyOffset} {
		if at > len(text) {
			break
		}
		h, n, e := parseHeader(text[at:])
		if e == nil {
			// Both copies have the same length, and the offset of the second one is fixed.
			return h, int64(headerCopyOffset + n), nil
		}
		if errors.Is(e, ErrNewerFormat) {
			return header{}, 0, e
		}
	}
	return header{}, 0, errBadHeader
}

// parseHeader decodes one copy of a header. n is its length.
func parseHeader(b []byte) (h header, n int, err error) {
	const fixed = len(magic) + 8
	if len(b) < fixed+8 || string(b[:len(magic)]) != magic || binary.LittleEndian.Uint32(b[fixed-4:]) != checksum(b[:fixed-4]) {
		return h, 0, errBadHeader
	}
	if v := binary.LittleEndian.Uint32(b[len(magic):]); v != formatVersion {
		return h, 0, fmt.Errorf("%w: format %d, known is %d", ErrNewerFormat, v, formatVersion)
	}
	size := int(binary.LittleEndian.Uint32(b[fixed:]))
	if size > maxHeaderSize || size > len(b)-fixed-8 {
		return h, 0, errBadHeader
	}
	rest := b[fixed+8:][:size]
	if binary.LittleEndian.Uint32(b[fixed+4:]) != checksum(rest) {
		return h, 0, errBadHeader
	}
	r := &reader{buf: rest}
	h.identity, h.salt, h.prev.salt = r.uint64(), r.uint64(), r.uint64()
	h.seq, h.firstSeq, h.prev.seq, h.prev.validSize = r.uvarint(), r.uvarint(), r.uvarint(), int64(r.uvarint())
	h.nextFrame, h.nextFact, h.nextFull, h.lastMessage = r.uvarint(), r.uvarint(), r.uvarint(), r.uvarint()
	h.clockShift, h.latestTime, h.owner = r.timestamp(), r.timestamp(), r.text()
	if r.err != nil {
		return header{}, 0, errBadHeader
	}
	return h, fixed + 8 + size, nil
}

const (
	segmentPrefix = "journal-"
	segmentSuffix = ".seg"
)

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%08d%s", segmentPrefix, seq, segmentSuffix)
}

// parseSegmentName returns the sequence number in the name of a segment's file.
func parseSegmentName(name string) (seq uint64, ok bool) {
	rest, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok || !strings.HasSuffix(rest, segmentSuffix) {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &seq); err != nil || segmentName(seq) != name {
		return 0, false
	}
	return seq, true
}

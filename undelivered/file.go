package undelivered

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io"
	"io/fs"
	"strings"

	"curlewmux/internal/journal"
)

// An entry's file is a sequence of frames: the entry as it was kept, with its body, then one frame for each later
// event. A frame is the length and the checksum of its payload, a checksum of these two, and the payload. The payload
// is the length of a JSON text, the text, and raw bytes. The checksums cover the entry's number and the frame's
// offset, too, so that a stray block is not read as a frame. The header's own checksum distinguishes a truncated frame
// from one with a damaged length.
const (
	frameHeaderSize = 12
	maxFramePayload = 96 << 20
	maxFileSize     = maxFramePayload + 8<<20
	blockSize       = 512 // bytes; the platform counts file sizes in blocks
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func roundUpToBlock(n int64) int64 { return (n + blockSize - 1) / blockSize * blockSize }

func checksum(no uint64, off int64, payload []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], no)
	binary.LittleEndian.PutUint64(place[8:], uint64(off))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

// encodeFrame returns the frame for a given offset of an entry's file.
func encodeFrame(no uint64, off int64, v any, raw []byte) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	b := make([]byte, frameHeaderSize, frameHeaderSize+binary.MaxVarintLen64+len(text)+len(raw))
	b = binary.AppendUvarint(b, uint64(len(text)))
	b = append(append(b, text...), raw...)
	binary.LittleEndian.PutUint32(b, uint32(len(b)-frameHeaderSize))
	binary.LittleEndian.PutUint32(b[4:], checksum(no, off, b[frameHeaderSize:]))
	binary.LittleEndian.PutUint32(b[8:], checksum(no, off, b[:8]))
	return b, nil
}

// errTruncated means that a frame is incomplete. Its event counts as not having happened.
var errTruncated = errors.New("cut short")

// ErrDamaged means that a file is not as it was written.
var ErrDamaged = errors.New("the file is damaged")

// decodeFrame reads the frame at off and returns the offset of the next one.
func decodeFrame(no uint64, b []byte, off int64, v any) (raw []byte, next int64, err error) {
	rest := b[off:]
	if len(rest) < frameHeaderSize {
		return nil, 0, errTruncated
	}
	n := int64(binary.LittleEndian.Uint32(rest))
	switch {
	case n == 0 || n > maxFramePayload || binary.LittleEndian.Uint32(rest[8:]) != checksum(no, off, rest[:8]):
		return nil, 0, ErrDamaged
	case int64(len(rest)) < frameHeaderSize+n:
		return nil, 0, errTruncated
	}
	payload := rest[frameHeaderSize : frameHeaderSize+n]
	next = off + frameHeaderSize + n
	if binary.LittleEndian.Uint32(rest[4:]) != checksum(no, off, payload) {
		return nil, next, ErrDamaged
	}
	size, sizeBytes := binary.Uvarint(payload)
	if sizeBytes <= 0 || size > uint64(len(payload)-sizeBytes) {
		return nil, next, ErrDamaged
	}
	text := payload[sizeBytes : sizeBytes+int(size)]
	if err := json.Unmarshal(text, v); err != nil {
		return nil, next, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return payload[sizeBytes+int(size):], next, nil
}

// decode reads a file. An error wraps ErrDamaged or errTruncated if the entry can't be read at all. If a later frame
// is damaged, the entry is marked as damaged instead; Reconcile then records it as in doubt.
func decode(no uint64, b []byte) (*Entry, error) {
	e, _, err := decodeWithBody(no, b)
	return e, err
}

// decodeWithBody also reports whether the file still holds a body. An entry that ended has none in memory.
func decodeWithBody(no uint64, b []byte) (_ *Entry, hasBody bool, _ error) {
	e := &Entry{}
	body, off, err := decodeFrame(no, b, 0, e)
	if err != nil {
		return nil, false, err
	}
	if e.Number != no {
		return nil, false, fmt.Errorf("%w: it belongs to entry %d", ErrDamaged, e.Number)
	}
	e.Body, e.State = append([]byte(nil), body...), e.currentState()
	for off < int64(len(b)) {
		var ev Event
		_, next, err := decodeFrame(no, b, off, &ev)
		if errors.Is(err, errTruncated) {
			e.hasPartialFrame = true
			break
		}
		if err != nil || ev.Kind == EventSubmissionEnded && ev.Submission == nil || ev.Kind == EventClaimed && ev.Claim == nil {
			e.damaged = true
			break
		}
		e.apply(ev)
		off = next
	}
	e.fileSize = off
	return e, len(body) > 0, nil
}

const filePrefix = "kept-"

// fileName returns the name of an entry's file. It has the hash of the message's id, so that the entry is found by
// that id even if the file can't be read. The generation grows with each rewrite.
func fileName(no, id uint64, gen int) string {
	return fmt.Sprintf("%s%012x-%016x-%02x", filePrefix, no, id, gen)
}

func parseFileName(name string) (no, id uint64, gen int, ok bool) {
	if !strings.HasPrefix(name, filePrefix) {
		return 0, 0, 0, false
	}
	n, err := fmt.Sscanf(name, filePrefix+"%012x-%016x-%02x", &no, &id, &gen)
	return no, id, gen, err == nil && n == 3 && fileName(no, id, gen) == name
}

// hashID returns the hash of an id that file names and indexes use.
func hashID(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64()
}

// readFile reads a whole file.
func readFile(dir journal.Dir, name string) ([]byte, error) {
	f, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	if n > maxFileSize {
		return nil, fmt.Errorf("%w: %d bytes", ErrDamaged, n)
	}
	b := make([]byte, n)
	if n == 0 {
		return b, nil
	}
	if _, err := f.ReadAt(b, 0); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b, nil
}

// Read reads the entry in the named file.
func Read(dir journal.Dir, name string) (*Entry, error) {
	no, _, gen, ok := parseFileName(name)
	if !ok {
		return nil, fmt.Errorf("%s is not the file of an entry", name)
	}
	b, err := readFile(dir, name)
	if err != nil {
		return nil, err
	}
	e, err := decode(no, b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	e.generation = gen
	return e, nil
}

// ReadAll reads all entries of a folder. It may run while a process writes there; each entry is then as it was a
// moment ago. An entry whose file can't be read is Damaged and has only its number.
func ReadAll(dir journal.Dir) ([]*Entry, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	var out []*Entry
	for _, name := range names { // sorted, so a newer file of an entry follows the older one
		no, _, _, ok := parseFileName(name)
		if !ok {
			continue
		}
		e, err := Read(dir, name)
		switch last := len(out) - 1; {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil && last >= 0 && out[last].Number == no: // the newer file is still being written
		case errors.Is(err, ErrDamaged) || errors.Is(err, errTruncated):
			out = append(out, &Entry{Number: no, State: Damaged})
		case err != nil:
			return nil, err
		case last >= 0 && out[last].Number == no:
			out[last] = e
		default:
			out = append(out, e)
		}
	}
	return out, nil
}

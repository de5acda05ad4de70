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

// A file is one entry as it stood, with its body, and then what happened since, one frame each. A frame is the length and
// the check of its payload, a check of these two, and the payload: the length of a JSON text, the text, and bytes that go
// with it. The checks cover the entry's number and the frame's offset, too, so that no stray block is read as one; that of
// the head tells a frame that is cut short from one with a damaged length.
const (
	frameHead = 12
	frameMost = 96 << 20 // of a payload
	fileMost  = frameMost + 8<<20
	block     = 512 // the platform counts files in these
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func blocks(n int64) int64 { return (n + block - 1) / block * block }

func check(no uint64, off int64, payload []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], no)
	binary.LittleEndian.PutUint64(place[8:], uint64(off))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, payload)
}

// frame makes a frame that stands at an offset of an entry's file.
func frame(no uint64, off int64, v any, raw []byte) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	b := make([]byte, frameHead, frameHead+binary.MaxVarintLen64+len(text)+len(raw))
	b = binary.AppendUvarint(b, uint64(len(text)))
	b = append(append(b, text...), raw...)
	binary.LittleEndian.PutUint32(b, uint32(len(b)-frameHead))
	binary.LittleEndian.PutUint32(b[4:], check(no, off, b[frameHead:]))
	binary.LittleEndian.PutUint32(b[8:], check(no, off, b[:8]))
	return b, nil
}

// errCut says that a frame is not whole: what it stood for never began.
var errCut = errors.New("cut short")

// ErrDamaged says that a file is not as it was written.
var ErrDamaged = errors.New("the file is damaged")

// unframe reads the frame that stands at off and returns where the next one does.
func unframe(no uint64, b []byte, off int64, v any) (raw []byte, next int64, err error) {
	rest := b[off:]
	if len(rest) < frameHead {
		return nil, 0, errCut
	}
	n := int64(binary.LittleEndian.Uint32(rest))
	switch {
	case n == 0 || n > frameMost || binary.LittleEndian.Uint32(rest[8:]) != check(no, off, rest[:8]):
		return nil, 0, ErrDamaged
	case int64(len(rest)) < frameHead+n:
		return nil, 0, errCut
	}
	payload := rest[frameHead : frameHead+n]
	next = off + frameHead + n
	if binary.LittleEndian.Uint32(rest[4:]) != check(no, off, payload) {
		return nil, next, ErrDamaged
	}
	size, w := binary.Uvarint(payload)
	if w <= 0 || size > uint64(len(payload)-w) {
		return nil, next, ErrDamaged
	}
	text := payload[w : w+int(size)]
	if err := json.Unmarshal(text, v); err != nil {
		return nil, next, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return payload[w+int(size):], next, nil
}

// decode reads a file. An error wraps ErrDamaged or errCut if nothing of it can be told; damage behind its first frame is
// told by the entry, which then counts as in doubt.
func decode(no uint64, b []byte) (*Entry, error) {
	e, _, err := decodeFat(no, b)
	return e, err
}

// decodeFat also tells whether the file has a body, which the entry has no more if it ended.
func decodeFat(no uint64, b []byte) (_ *Entry, fat bool, _ error) {
	e := &Entry{}
	body, off, err := unframe(no, b, 0, e)
	if err != nil {
		return nil, false, err
	}
	if e.Number != no {
		return nil, false, fmt.Errorf("%w: it is of entry %d", ErrDamaged, e.Number)
	}
	e.Body, e.State = append([]byte(nil), body...), e.state()
	for off < int64(len(b)) {
		var ev Event
		_, next, err := unframe(no, b, off, &ev)
		if errors.Is(err, errCut) {
			e.torn = true
			break
		}
		if err != nil || ev.Kind == EventSubmissionEnded && ev.Submission == nil || ev.Kind == EventClaimed && ev.Claim == nil {
			e.damage = true
			break
		}
		e.apply(ev)
		off = next
	}
	e.size = off
	return e, len(body) > 0, nil
}

const filePrefix = "kept-"

// fileName names the file of an entry. The hash of its id is there so that its fate can be told where the file can't be
// read; gen grows when it is written anew.
func fileName(no, id uint64, gen int) string {
	return fmt.Sprintf("%s%012x-%016x-%02x", filePrefix, no, id, gen)
}

func parseName(name string) (no, id uint64, gen int, ok bool) {
	if !strings.HasPrefix(name, filePrefix) {
		return 0, 0, 0, false
	}
	n, err := fmt.Sscanf(name, filePrefix+"%012x-%016x-%02x", &no, &id, &gen)
	return no, id, gen, err == nil && n == 3 && fileName(no, id, gen) == name
}

// hashID is an id as file names and the index have it.
func hashID(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64()
}

// readFile reads a file whole.
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
	if n > fileMost {
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

// Read reads one file of an entry, by its name.
func Read(dir journal.Dir, name string) (*Entry, error) {
	no, _, gen, ok := parseName(name)
	if !ok {
		return nil, fmt.Errorf("%s: no file of an entry", name)
	}
	b, err := readFile(dir, name)
	if err != nil {
		return nil, err
	}
	e, err := decode(no, b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	e.gen = gen
	return e, nil
}

// ReadAll reads all entries of a folder, also while a process writes there: then each is as it was a moment ago. Those
// whose files can't be read are Damaged, with a number only.
func ReadAll(dir journal.Dir) ([]*Entry, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	var out []*Entry
	for _, name := range names { // sorted: a newer file of an entry comes behind the older one
		no, _, _, ok := parseName(name)
		if !ok {
			continue
		}
		e, err := Read(dir, name)
		switch last := len(out) - 1; {
		case errors.Is(err, fs.ErrNotExist):
		case err != nil && last >= 0 && out[last].Number == no: // it is being written
		case errors.Is(err, ErrDamaged) || errors.Is(err, errCut):
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

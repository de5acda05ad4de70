package journal

import (
	"encoding/binary"
	"errors"
	"time"

	"curlewmux/engine"
)

// A frame's payload is its numbers and then records. A record is a kind and fields: numbers as varints, text with its
// length before it. Messages have numbers from being taken on, and small records name them by these. What is told of
// messages that were taken (attempts, ends, ...) is a fact. Frames, facts and whole records of messages are numbered in
// the order of being written, so that it is known what is missing.

// numbers are a frame's: its own, those of the first fact and the first whole record in it or behind it, and how many
// frames and facts before it were not known to outlast a power failure.
type numbers struct {
	frame, fact, whole    uint64
	openFrames, openFacts uint64
}

func (n *numbers) append(b []byte) []byte {
	for _, v := range [...]uint64{n.frame, n.fact, n.whole, n.openFrames, n.openFacts} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func (r *reader) numbers() (n numbers) {
	for _, v := range [...]*uint64{&n.frame, &n.fact, &n.whole, &n.openFrames, &n.openFacts} {
		*v = r.num()
	}
	return n
}

type kind byte

const (
	kindTaken    kind = iota + 1 // a message, as it was taken on
	kindCopy                     // a message with all that it has behind it, from an older segment
	kindStone                    // a message that ended, from an older segment
	kindAttempts                 // facts from here on
	kindNeverRan
	kindState
	kindOwed
	kindEnded
	kindShift
	kindMark  // nothing
	kindFirst // segments before this one are void
	kindEcho  // facts that an earlier frame told, once more: their first number and their records
	kindLeaf  // the newest text of a leaf of the books
)

func (k kind) fact() bool { return k >= kindAttempts && k <= kindShift }

var errShort = errors.New("record is cut short")

// reader reads fields; after a short read all is zero and err is set.
type reader struct {
	buf   []byte
	err   error
	names map[string]string // what name has read, nil to keep none
}

func (r *reader) fail() { r.err, r.buf = errShort, nil }

func (r *reader) num() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) signed() int64 {
	v, n := binary.Varint(r.buf)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) stamp() engine.Timestamp { return engine.Timestamp(r.signed()) }

func (r *reader) byte() byte {
	if len(r.buf) == 0 {
		r.fail()
		return 0
	}
	b := r.buf[0]
	r.buf = r.buf[1:]
	return b
}

func (r *reader) uint64() uint64 {
	if len(r.buf) < 8 {
		r.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(r.buf)
	r.buf = r.buf[8:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.num()
	if n > uint64(len(r.buf)) {
		r.fail()
		return nil
	}
	b := r.buf[:n]
	r.buf = r.buf[n:]
	return b
}

func (r *reader) text() string { return string(r.bytes()) }

// name reads a text that comes again and again.
func (r *reader) name() string {
	b := r.bytes()
	s, ok := r.names[string(b)]
	if !ok {
		if s = string(b); r.names != nil && len(r.names) < 1000 {
			r.names[s] = s
		}
	}
	return s
}

func putText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func putStamp(b []byte, s engine.Timestamp) []byte { return binary.AppendVarint(b, int64(s)) }

func putFlag(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// record is any record as it was read. Which fields count depends on the kind.
type record struct {
	kind     kind
	num      uint64 // of the message
	msg      engine.Message
	deadline engine.Timestamp
	doubt    doubt
	tries    int
	owed     *engine.PendingResult
	how      engine.Disposition
	until    engine.Timestamp
	print    uint64
	at       engine.Timestamp
	list     []part // attempts
	shift    int64
	first    uint64 // segment, or fact, or number of a leaf
	facts    []byte // of an echo; text of a leaf
}

// part is one message's part in a record of attempts.
type part struct {
	num  uint64
	zone int
}

// doubt is whether and since when a message may have run.
type doubt struct {
	at     engine.Timestamp // send of the first attempt that may have run, 0 if there is none
	zone   int
	newest bool // that one is the newest attempt and its outcome is open: it may yet prove that it never ran
}

func putMessage(b []byte, num uint64, m *engine.Message, deadline engine.Timestamp) []byte {
	b = putText(putText(putText(putText(binary.AppendUvarint(b, num), m.ID), m.Class), m.Tenant), m.Key)
	return putText(putStamp(binary.AppendVarint(b, int64(m.Destination)), deadline), m.Body)
}

func putDoubt(b []byte, tries int, d doubt) []byte {
	b = putStamp(binary.AppendUvarint(b, uint64(tries)), d.at)
	return putFlag(binary.AppendVarint(b, int64(d.zone)), d.newest)
}

func putOwed(b []byte, o *engine.PendingResult) []byte {
	b = binary.AppendVarint(append(b, byte(o.Disposition)), int64(o.RetryAfter))
	return binary.LittleEndian.AppendUint64(b, o.Fingerprint)
}

func putStone(b []byte, id string, until engine.Timestamp, print uint64) []byte {
	return binary.LittleEndian.AppendUint64(putText(putStamp(b, until), id), print)
}

func putLeaf(b []byte, number uint64, text []byte) []byte {
	return putText(binary.AppendUvarint(append(b, byte(kindLeaf)), number), text)
}

// read reads one record. Bytes and strings that last are copies.
func (r *reader) record() (rec record, err error) {
	rec.kind = kind(r.byte())
	switch rec.kind {
	case kindTaken, kindCopy:
		rec.num = r.num()
		rec.msg = engine.Message{ID: r.text(), Class: r.name(), Tenant: r.name(), Key: r.text()}
		rec.msg.Destination, rec.deadline = int(r.signed()), r.stamp()
		rec.msg.Body = append([]byte(nil), r.bytes()...)
		if rec.kind == kindCopy {
			rec.tries, rec.doubt = r.doubt()
			if r.byte() == 1 {
				rec.owed = r.owed()
			}
		}
	case kindStone:
		rec.num, rec.how = r.num(), engine.Disposition(r.byte())
		rec.until, rec.msg.ID, rec.print = r.stamp(), r.text(), r.uint64()
	case kindAttempts:
		rec.at = r.stamp()
		for n := r.num(); n > 0 && r.err == nil; n-- {
			rec.list = append(rec.list, part{r.num(), int(r.signed())})
		}
	case kindNeverRan:
		rec.num = r.num()
	case kindState:
		rec.num = r.num()
		rec.tries, rec.doubt = r.doubt()
	case kindOwed:
		rec.num = r.num()
		rec.owed = r.owed()
	case kindEnded:
		rec.num, rec.how = r.num(), engine.Disposition(r.byte())
		if r.byte() == 1 {
			rec.until, rec.msg.ID, rec.print = r.stamp(), r.text(), r.uint64()
		}
	case kindShift:
		rec.shift = r.signed()
	case kindMark:
	case kindFirst:
		rec.first = r.num()
	case kindEcho:
		rec.first, rec.facts = r.num(), r.bytes()
	case kindLeaf:
		rec.first, rec.facts = r.num(), r.bytes()
	default:
		r.fail()
	}
	return rec, r.err
}

func (r *reader) doubt() (tries int, d doubt) {
	tries = int(min(r.num(), 1<<30))
	return tries, doubt{at: r.stamp(), zone: int(r.signed()), newest: r.byte() == 1}
}

func (r *reader) owed() *engine.PendingResult {
	return &engine.PendingResult{Disposition: engine.Disposition(r.byte()), RetryAfter: time.Duration(r.signed()), Fingerprint: r.uint64()}
}

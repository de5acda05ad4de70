package journal

import (
	"encoding/binary"
	"errors"
	"time"

	"curlewmux/engine"
)

// A frame's payload is its counters, followed by records. A record is a kind and its fields: numbers as varints,
// texts prefixed by their length. A message gets a number when it is accepted, and small records refer to it by this
// number. A full record holds the complete state of a message. A fact is a record of what happened to accepted
// messages (attempts, ends, ...) or to the clock. Frames, facts and full records are numbered in the order in which
// they are written, so that a reader knows what is missing.

// counters are the numbers of a frame: its own, those of the first fact and the first full record in it or after it,
// and how many frames and facts before it were not known to be synced.
type counters struct {
	frame, fact, full             uint64
	unsyncedFrames, unsyncedFacts uint64
}

func (n *counters) append(b []byte) []byte {
	for _, v := range [...]uint64{n.frame, n.fact, n.full, n.unsyncedFrames, n.unsyncedFacts} {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func (r *reader) counters() (n counters) {
	for _, v := range [...]*uint64{&n.frame, &n.fact, &n.full, &n.unsyncedFrames, &n.unsyncedFacts} {
		*v = r.uvarint()
	}
	return n
}

type kind byte

const (
	kindAccepted  kind = iota + 1 // a message when it was accepted
	kindCopy                      // a message with its current state, copied from an older segment
	kindTombstone                 // an ended message, copied from an older segment
	kindAttempts                  // the first kind of fact
	kindNeverRan
	kindState
	kindPending
	kindEnded
	kindClockStep
	kindNoop         // no content
	kindFirstSegment // segments before this one are obsolete
	kindRepeat       // facts of an earlier frame, repeated: the number of the first one and the records
	kindLeaf         // the newest text of a leaf of the ledger
)

func (k kind) isFact() bool { return k >= kindAttempts && k <= kindClockStep }

var errTruncated = errors.New("record is cut short")

// reader decodes fields. Once a field is cut short, err is set and all further values are zero.
type reader struct {
	buf      []byte
	err      error
	interned map[string]string // texts that internedText has read; nil if texts are not shared
}

func (r *reader) fail() { r.err, r.buf = errTruncated, nil }

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.buf)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.buf)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.buf = r.buf[n:]
	return v
}

func (r *reader) timestamp() engine.Timestamp { return engine.Timestamp(r.varint()) }

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
	n := r.uvarint()
	if n > uint64(len(r.buf)) {
		r.fail()
		return nil
	}
	b := r.buf[:n]
	r.buf = r.buf[n:]
	return b
}

func (r *reader) text() string { return string(r.bytes()) }

// internedText reads a text that recurs often, and shares the memory of its copies.
func (r *reader) internedText() string {
	b := r.bytes()
	s, ok := r.interned[string(b)]
	if !ok {
		if s = string(b); r.interned != nil && len(r.interned) < 1000 {
			r.interned[s] = s
		}
	}
	return s
}

func putText[T string | []byte](b []byte, s T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func putTimestamp(b []byte, s engine.Timestamp) []byte { return binary.AppendVarint(b, int64(s)) }

func putFlag(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// record is a decoded record. Its kind says which fields are set.
type record struct {
	kind        kind
	num         uint64 // of the message
	msg         engine.Message
	deadline    engine.Timestamp
	doubt       doubt
	tries       int
	pending     *engine.PendingResult
	disposition engine.Disposition
	until       engine.Timestamp
	fingerprint uint64
	at          engine.Timestamp
	attempts    []attemptEntry
	clockStep   int64
	number      uint64 // of a segment, a fact or a leaf
	payload     []byte // repeated facts, or the text of a leaf
}

// attemptEntry is the attempt of one message in a record of attempts.
type attemptEntry struct {
	num  uint64
	zone int
}

// doubt says whether and since when a message may have run.
type doubt struct {
	since         engine.Timestamp // when the first attempt that may have run was made, 0 if there is none
	zone          int
	newestAttempt bool // the doubt is about the newest attempt alone; a proof that it never ran ends the doubt
}

func putMessage(b []byte, num uint64, m *engine.Message, deadline engine.Timestamp) []byte {
	b = putText(putText(putText(putText(binary.AppendUvarint(b, num), m.ID), m.Class), m.Tenant), m.Key)
	return putText(putTimestamp(binary.AppendVarint(b, int64(m.Destination)), deadline), m.Body)
}

func putDoubt(b []byte, tries int, d doubt) []byte {
	b = putTimestamp(binary.AppendUvarint(b, uint64(tries)), d.since)
	return putFlag(binary.AppendVarint(b, int64(d.zone)), d.newestAttempt)
}

func putPending(b []byte, o *engine.PendingResult) []byte {
	b = binary.AppendVarint(append(b, byte(o.Disposition)), int64(o.RetryAfter))
	return binary.LittleEndian.AppendUint64(b, o.Fingerprint)
}

func putTombstone(b []byte, id string, until engine.Timestamp, fingerprint uint64) []byte {
	return binary.LittleEndian.AppendUint64(putText(putTimestamp(b, until), id), fingerprint)
}

func putLeaf(b []byte, number uint64, text []byte) []byte {
	return putText(binary.AppendUvarint(append(b, byte(kindLeaf)), number), text)
}

// record reads one record. Strings and bodies are copies, payload is not.
func (r *reader) record() (rec record, err error) {
	rec.kind = kind(r.byte())
	switch rec.kind {
	case kindAccepted, kindCopy:
		rec.num = r.uvarint()
		rec.msg = engine.Message{ID: r.text(), Class: r.internedText(), Tenant: r.internedText(), Key: r.text()}
		rec.msg.Destination, rec.deadline = int(r.varint()), r.timestamp()
		rec.msg.Body = append([]byte(nil), r.bytes()...)
		if rec.kind == kindCopy {
			rec.tries, rec.doubt = r.doubt()
			if r.byte() == 1 {
				rec.pending = r.pending()
			}
		}
	case kindTombstone:
		rec.num, rec.disposition = r.uvarint(), engine.Disposition(r.byte())
		rec.until, rec.msg.ID, rec.fingerprint = r.timestamp(), r.text(), r.uint64()
	case kindAttempts:
		rec.at = r.timestamp()
		for n := r.uvarint(); n > 0 && r.err == nil; n-- {
			rec.attempts = append(rec.attempts, attemptEntry{r.uvarint(), int(r.varint())})
		}
	case kindNeverRan:
		rec.num = r.uvarint()
	case kindState:
		rec.num = r.uvarint()
		rec.tries, rec.doubt = r.doubt()
	case kindPending:
		rec.num = r.uvarint()
		rec.pending = r.pending()
	case kindEnded:
		rec.num, rec.disposition = r.uvarint(), engine.Disposition(r.byte())
		if r.byte() == 1 {
			rec.until, rec.msg.ID, rec.fingerprint = r.timestamp(), r.text(), r.uint64()
		}
	case kindClockStep:
		rec.clockStep = r.varint()
	case kindNoop:
	case kindFirstSegment:
		rec.number = r.uvarint()
	case kindRepeat:
		rec.number, rec.payload = r.uvarint(), r.bytes()
	case kindLeaf:
		rec.number, rec.payload = r.uvarint(), r.bytes()
	default:
		r.fail()
	}
	return rec, r.err
}

func (r *reader) doubt() (tries int, d doubt) {
	tries = int(min(r.uvarint(), 1<<30))
	return tries, doubt{since: r.timestamp(), zone: int(r.varint()), newestAttempt: r.byte() == 1}
}

func (r *reader) pending() *engine.PendingResult {
	return &engine.PendingResult{Disposition: engine.Disposition(r.byte()), RetryAfter: time.Duration(r.varint()), Fingerprint: r.uint64()}
}

package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"curlewmux/engine"
)

// The first format has files journal-N, each a sequence of records: "cm", the length and the CRC-32C of the payload,
// and the payload. It is only read.

const v1HeaderSize = 10

// Kinds of records of the first format.
const (
	v1Reset    = iota + 1 // everything before is obsolete
	v1Accepted            // a message was accepted
	v1Attempts            // attempts are about to be sent to their endpoints
	v1NeverRan            // the newest attempt of a message provably never ran
	v1Pending             // the disposition of a message is decided, and its result notification is pending
	v1Ended               // nothing is pending for a message any more
	v1State               // attempts and doubt of a message so far
)

// parseV1Name parses the name of a file of the first format. temp is set for the file of an interrupted compaction.
func parseV1Name(name string) (n int, temp, ok bool) {
	rest, ok := strings.CutPrefix(name, segmentPrefix)
	if !ok {
		return 0, false, false
	}
	rest, temp = strings.CutSuffix(rest, ".tmp")
	if _, err := fmt.Sscanf(rest, "%d", &n); err != nil || fmt.Sprint(n) != rest {
		return 0, false, false
	}
	return n, temp, true
}

// listV1Files returns the segments of the first format, oldest first, and the files of interrupted compactions.
func listV1Files(names []string) (segments, temps []string) {
	numbers := map[string]int{}
	for _, name := range names {
		switch n, temp, ok := parseV1Name(name); {
		case ok && temp:
			temps = append(temps, name)
		case ok:
			numbers[name] = n
			segments = append(segments, name)
		}
	}
	slices.SortFunc(segments, func(a, b string) int { return numbers[a] - numbers[b] })
	return segments, temps
}

// replayV1 passes the payload of each valid record to apply. It returns where the valid records end and how many
// bytes before that are damaged. What follows the last valid record is an unfinished write.
func replayV1(text []byte, apply func([]byte) error) (validEnd, damaged int) {
	for offset := 0; offset+v1HeaderSize <= len(text); {
		n := int64(binary.LittleEndian.Uint32(text[offset+2:]))
		if text[offset] == 'c' && text[offset+1] == 'm' && n <= int64(len(text)-offset-v1HeaderSize) {
			payload := text[offset+v1HeaderSize:][:n]
			if binary.LittleEndian.Uint32(text[offset+6:]) == checksum(payload) {
				damaged += offset - validEnd
				if apply(payload) != nil { // intact, but it can't be decoded: it is skipped as a whole, and not searched for records
					damaged += v1HeaderSize + int(n)
				}
				offset += v1HeaderSize + int(n)
				validEnd = offset
				continue
			}
		}
		next := bytes.Index(text[offset+1:], []byte("cm"))
		if next < 0 {
			break
		}
		offset += 1 + next
	}
	return validEnd, damaged
}

// v1Timestamp reads a time, which the first format stores without a sign.
func (r *reader) v1Timestamp() engine.Timestamp { return engine.Timestamp(r.uvarint()) }

// applyV1 applies one record of the first format to the table.
func (t *table) applyV1(payload []byte) error {
	if len(payload) == 0 {
		return io.ErrUnexpectedEOF
	}
	r := &reader{buf: payload[1:]}
	switch payload[0] {
	case v1Reset:
		for n := t.oldest(); n != nil; n = t.oldest() {
			t.end(n, 0, 0, 0, 0)
		}
	case v1Accepted:
		m := engine.Message{ID: r.text(), Class: r.text(), Tenant: r.text(), Destination: int(r.uvarint())}
		deadline := r.v1Timestamp()
		m.Key, m.Body = r.text(), bytes.Clone(r.bytes())
		if r.err == nil && t.live[m.ID] == nil {
			t.accept(t.num+1, 0, &m, deadline)
		}
	case v1Attempts:
		at := r.v1Timestamp()
		for n := r.uvarint(); n > 0 && r.err == nil; n-- {
			id, zone := r.text(), int(r.uvarint())
			if n := t.live[id]; n != nil && r.err == nil {
				t.addAttempt(n, at, zone)
			}
		}
	case v1NeverRan:
		if n := t.live[r.text()]; n != nil && r.err == nil {
			t.neverRan(n)
		}
	case v1Pending:
		id, deferred, retryAfter := r.text(), r.uvarint(), r.uvarint()
		if n := t.live[id]; n != nil && r.err == nil {
			pending := &engine.PendingResult{Disposition: engine.Failed, RetryAfter: time.Duration(min(retryAfter, 1<<40)) * time.Millisecond}
			if deferred == 1 {
				pending.Disposition = engine.Refused
			}
			pending.Fingerprint = n.live.msg.Fingerprint() // computed while the body is still there
			t.setPending(n, pending)
		}
	case v1Ended:
		if n := t.live[r.text()]; n != nil && r.err == nil {
			t.end(n, 0, 0, 0, 0)
		}
	case v1State:
		id, tries, at, zone, newestAttempt := r.text(), r.uvarint(), r.v1Timestamp(), r.uvarint(), r.uvarint()
		if n := t.live[id]; n != nil && r.err == nil {
			t.setState(n, int(min(tries, 1<<30)), doubt{at, int(min(zone, 1<<30)), newestAttempt == 1})
		}
	default:
		return fmt.Errorf("record of unknown kind %d", payload[0])
	}
	return r.err
}

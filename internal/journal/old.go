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

// The first format: files journal-N, each a run of records: "cm", the length and CRC-32C of the payload, the payload. It
// is only read.

const oldHead = 10

// Kinds of record of the first format.
const (
	oldStart  = iota + 1 // what came before is void
	oldTaken             // a message was taken on
	oldOut               // attempts are about to be written to their endpoints
	oldNotRun            // the newest attempt of a message provably never ran
	oldOwed              // the end was decided: its notice is owed
	oldEnded             // nothing more is owed
	oldTried             // what a message has behind it
)

// oldNumber reads the name of a file of the first format. temp is a compaction that was cut off.
func oldNumber(name string) (n int, temp, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false, false
	}
	rest, temp = strings.CutSuffix(rest, ".tmp")
	if _, err := fmt.Sscanf(rest, "%d", &n); err != nil || fmt.Sprint(n) != rest {
		return 0, false, false
	}
	return n, temp, true
}

// oldFiles lists the files of the first format, oldest first.
func oldFiles(names []string) (segments, temps []string) {
	numbers := map[string]int{}
	for _, name := range names {
		switch n, temp, ok := oldNumber(name); {
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

// oldReplay gives the payload of each good record to apply. It returns where the good records end and how many bytes
// before that were damaged; what follows the last good one is an unfinished write.
func oldReplay(text []byte, apply func([]byte) error) (good, bad int) {
	for at := 0; at+oldHead <= len(text); {
		n := int64(binary.LittleEndian.Uint32(text[at+2:]))
		if text[at] == 'c' && text[at+1] == 'm' && n <= int64(len(text)-at-oldHead) {
			payload := text[at+oldHead:][:n]
			if binary.LittleEndian.Uint32(text[at+6:]) == sum(payload) {
				bad += at - good
				if apply(payload) != nil { // whole, but of no known form: what looks like a record inside is none
					bad += oldHead + int(n)
				}
				at += oldHead + int(n)
				good = at
				continue
			}
		}
		next := bytes.Index(text[at+1:], []byte("cm"))
		if next < 0 {
			break
		}
		at += 1 + next
	}
	return good, bad
}

func (r *reader) oldStamp() engine.Timestamp { return engine.Timestamp(r.num()) }

// applyOld changes the table by one record of the first format.
func (t *table) applyOld(payload []byte) error {
	if len(payload) == 0 {
		return io.ErrUnexpectedEOF
	}
	r := &reader{buf: payload[1:]}
	switch payload[0] {
	case oldStart:
		for n := t.oldest(); n != nil; n = t.oldest() {
			t.end(n, 0, 0, 0, 0)
		}
	case oldTaken:
		m := engine.Message{ID: r.text(), Class: r.text(), Tenant: r.text(), Destination: int(r.num())}
		deadline := r.oldStamp()
		m.Key, m.Body = r.text(), bytes.Clone(r.bytes())
		if r.err == nil && t.live[m.ID] == nil {
			t.take(t.num+1, 0, &m, deadline)
		}
	case oldOut:
		at := r.oldStamp()
		for n := r.num(); n > 0 && r.err == nil; n-- {
			id, zone := r.text(), int(r.num())
			if n := t.live[id]; n != nil && r.err == nil {
				t.attempt(n, at, zone)
			}
		}
	case oldNotRun:
		if n := t.live[r.text()]; n != nil && r.err == nil {
			t.neverRan(n)
		}
	case oldOwed:
		id, deferred, again := r.text(), r.num(), r.num()
		if n := t.live[id]; n != nil && r.err == nil {
			o := &engine.PendingResult{Disposition: engine.Failed, RetryAfter: time.Duration(min(again, 1<<40)) * time.Millisecond}
			if deferred == 1 {
				o.Disposition = engine.Refused
			}
			o.Fingerprint = n.life.msg.Fingerprint() // of the first format's, with the body still there
			t.owe(n, o)
		}
	case oldEnded:
		if n := t.live[r.text()]; n != nil && r.err == nil {
			t.end(n, 0, 0, 0, 0)
		}
	case oldTried:
		id, tries, at, zone, unproven := r.text(), r.num(), r.oldStamp(), r.num(), r.num()
		if n := t.live[id]; n != nil && r.err == nil {
			t.state(n, int(min(tries, 1<<30)), doubt{at, int(min(zone, 1<<30)), unproven == 1})
		}
	default:
		return fmt.Errorf("record of unknown kind %d", payload[0])
	}
	return r.err
}

package vnet

import (
	"crypto/sha256"
	"hash"
	"hash/crc32"
	"strconv"
)

// trace writes one line for each thing that happens: the time in seconds, then what it is. The line of a step that was
// picked out of several has their number behind a slash.
type trace struct {
	w   *World
	out Writer
	sha hash.Hash
	buf []byte
	err error
}

func newTrace(w *World, out Writer, sum bool) *trace {
	t := &trace{w: w, out: out, buf: make([]byte, 0, 8<<10)}
	if sum {
		t.sha = sha256.New()
	}
	return t
}

func appendInt(b []byte, n int64) []byte { return strconv.AppendInt(b, n, 10) }

// appendSum appends a checksum by which traces tell bytes apart.
func appendSum(b, p []byte) []byte {
	b = append(b, " #"...)
	return strconv.AppendUint(b, uint64(crc32.Checksum(p, castagnoli)), 16)
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (t *trace) begin() {
	now := t.w.sched.now
	t.buf = appendInt(t.buf, now/1e6)
	frac := now%1e6 + 1e6
	at := len(t.buf)
	t.buf = appendInt(t.buf, frac)
	t.buf[at] = '.'
	t.buf = append(t.buf, ' ')
}

func (t *trace) end() {
	t.buf = append(t.buf, '\n')
	if len(t.buf) > 7<<10 {
		t.flush()
	}
}

func (t *trace) flush() {
	if t.sha != nil {
		t.sha.Write(t.buf)
	}
	if t.out != nil && t.err == nil {
		_, t.err = t.out.Write(t.buf)
	}
	t.buf = t.buf[:0]
}

func (t *trace) sum() (sum [32]byte) {
	t.flush()
	if t.sha != nil {
		t.sha.Sum(sum[:0])
	}
	return sum
}

func (t *trace) note(text string) {
	t.begin()
	t.buf = append(t.buf, text...)
	t.end()
}

// step writes what comes next; others is how many were due besides it.
func (t *trace) step(e *event, others int) {
	t.begin()
	if others > 0 {
		t.buf = append(t.buf, '/')
		t.buf = appendInt(t.buf, int64(others+1))
		t.buf = append(t.buf, ' ')
	}
	if e.p != nil {
		t.buf = append(t.buf, e.p.m.name...)
		t.buf = append(t.buf, '#')
		t.buf = appendInt(t.buf, int64(e.p.n))
		t.buf = append(t.buf, ' ')
	}
	t.buf = append(t.buf, e.kind.String()...)
	t.buf = append(t.buf, ' ')
	t.buf = e.act.label(t.buf)
	t.end()
}

func (t *trace) conn(c *Conn, what string, p []byte) {
	t.begin()
	t.buf = c.label(t.buf)
	t.buf = append(t.buf, ' ')
	t.buf = append(t.buf, what...)
	if p != nil {
		t.buf = append(t.buf, ' ')
		t.buf = appendInt(t.buf, int64(len(p)))
		t.buf = appendSum(t.buf, p)
	}
	t.end()
}

func (t *trace) disk(p *Process, what, name string, data []byte, err error) {
	t.begin()
	t.buf = append(t.buf, p.m.name...)
	t.buf = append(t.buf, " disk "...)
	t.buf = append(t.buf, what...)
	t.buf = append(t.buf, ' ')
	t.buf = append(t.buf, name...)
	if data != nil {
		t.buf = append(t.buf, ' ')
		t.buf = appendInt(t.buf, int64(len(data)))
		t.buf = appendSum(t.buf, data)
	}
	if err != nil {
		t.buf = append(t.buf, ' ')
		t.buf = append(t.buf, err.Error()...)
	}
	t.end()
}

package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// firstLine returns the status in the line that comes next, which stays unread, or 0 as soon as it can't be one.
func (c *Conn) firstLine() int {
	const proto = "HTTP/1."
	for n := 1; ; n++ {
		if _, err := c.br.Peek(n); err != nil {
			return 0
		}
		n = c.br.Buffered()
		b, err := c.br.Peek(n)
		if known := min(n, len(proto)); err != nil || string(b[:known]) != proto[:known] {
			return 0
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			continue
		}
		field := 0
		for f := range bytes.FieldsSeq(b[:end]) {
			if field++; field == 2 {
				return threeDigits(f)
			}
		}
		return 0
	}
}

// threeDigits reads a status, or 0.
func threeDigits(b []byte) (n int) {
	if len(b) != 3 {
		return 0
	}
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0
		}
		n = 10*n + int(d-'0')
	}
	return n
}

// plainLines reads a head by hand if take takes each of its lines, and returns its fields, which saves most of what
// net/http allocates. Lines are numbered from 0, come without their ends, and an empty one is the last. Where take returns
// false, and with lines that end in other ways or a head that the buffer does not hold, nothing is taken from br, and
// net/http is to read it.
func plainLines(br *bufio.Reader, take func(n int, line []byte) bool) (fields string, ok bool) {
	begin := 0 // of the fields
	for n, at := 0, 0; ; {
		b, err := br.Peek(br.Buffered())
		if err != nil {
			return "", false
		}
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			if _, err := br.Peek(len(b) + 1); err != nil {
				return "", false
			}
			continue
		}
		line, found := bytes.CutSuffix(b[at:at+i], []byte{'\r'})
		if !found || !take(n, line) {
			return "", false
		}
		if n == 0 {
			begin = i + 1
		} else if len(line) == 0 {
			fields = string(b[begin:at])
			_, err := br.Discard(at + i + 1)
			return fields, err == nil
		}
		n, at = n+1, at+i+1
	}
}

// plainField splits a field of the common kind: a name of letters, digits and dashes, a value of printable ASCII.
func plainField(line []byte) (name, value []byte, ok bool) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !printable(line[colon+1:]) {
		return nil, nil, false
	}
	name, value = line[:colon], bytes.Trim(line[colon+1:], " \t")
	for _, b := range name {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_') {
			return nil, nil, false
		}
	}
	return name, value, true
}

// framing is what the fields of a plain head say of the body's length and of the connection.
type framing struct {
	length int // -1: not stated
	close  bool
}

// take takes one field, and returns false for one that may change how the body is to be read.
func (f *framing) take(name, value []byte) bool {
	switch {
	case is(name, "transfer-encoding"), is(name, "trailer"):
		return false
	case is(name, "content-length"):
		if f.length >= 0 || len(value) == 0 || len(value) > 9 {
			return false
		}
		f.length = 0
		for _, d := range value {
			if d < '0' || d > '9' {
				return false
			}
			f.length = 10*f.length + int(d-'0')
		}
	case is(name, "connection"):
		if f.close = f.close || is(value, "close"); !is(value, "close") && !is(value, "keep-alive") {
			return false
		}
	}
	return true
}

// plainHead is a head as endpoints usually send it: HTTP/1.1, and a body with one stated length.
type plainHead struct {
	framing
	status int
	fields string
}

// plainHead reads a head by hand if it is one of the common kind. For any other it takes nothing from the connection,
// and net/http reads it.
func (c *Conn) plainHead() (h plainHead, ok bool) {
	h.length = -1
	h.fields, ok = plainLines(c.br, func(n int, line []byte) bool {
		switch {
		case n == 0:
			return h.firstLine(line)
		case len(line) == 0:
			return h.length >= 0
		}
		name, value, ok := plainField(line)
		return ok && h.take(name, value)
	})
	return h, ok
}

func (h *plainHead) firstLine(line []byte) bool {
	const proto = "HTTP/1.1 "
	if len(line) < len(proto)+3 || string(line[:len(proto)]) != proto {
		return false
	}
	reason := line[len(proto)+3:]
	h.status = threeDigits(line[len(proto) : len(proto)+3])
	return h.status >= 200 && h.status != http.StatusNoContent && h.status != http.StatusNotModified &&
		(len(reason) == 0 || reason[0] == ' ') && printable(reason)
}

func printable(b []byte) bool {
	for _, c := range b {
		if (c < ' ' || c > '~') && c != '\t' {
			return false
		}
	}
	return true
}

// is compares with a name in small letters, whatever the case of b.
func is(b []byte, small string) bool {
	if len(b) != len(small) {
		return false
	}
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != small[i] {
			return false
		}
	}
	return true
}

// Get returns the first value of a header field, "" if there is none. The case of the name does not matter.
func (a *Response) Get(name string) string {
	if a.header != nil {
		return a.header.Get(name)
	}
	return plainValue(a.plain, name)
}

// plainValue is the first value of a field of a plain head.
func plainValue(fields, name string) string {
	for line := range strings.SplitSeq(fields, "\r\n") {
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(line[:len(name)], name) {
			return strings.Trim(line[len(name)+1:], " \t")
		}
	}
	return ""
}

package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// peekStatus returns the status code of the next status line without consuming it. It returns 0 as soon as the data can't
// be a status line.
func (c *Conn) peekStatus() int {
	const proto = protocolName
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
				return parseStatusCode(f)
			}
		}
		return 0
	}
}

// parseStatusCode returns the value of a three-digit status code, or 0 for anything else.
func parseStatusCode(b []byte) (n int) {
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

// readPlainLines reads a head if acceptLine accepts each of its lines, and returns its fields. This avoids most of the
// allocations of net/http. Lines are numbered from 0 and passed without their line ends. The last line is empty. If
// acceptLine returns false, a line does not end in CRLF, or the buffer can't hold the head, nothing is consumed from br
// and net/http has to read the head.
func readPlainLines(br *bufio.Reader, acceptLine func(n int, line []byte) bool) (fields string, ok bool) {
	begin := 0 // offset of the first field
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
		if !found || !acceptLine(n, line) {
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

// parsePlainField splits a field of the common kind: the name has only letters, digits, dashes and underscores, and the
// value only printable ASCII and tabs.
func parsePlainField(line []byte) (name, value []byte, ok bool) {
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

// framing holds what the fields of a plain head say about the length of the body and the connection.
type framing struct {
	length int // -1: not stated
	close  bool
}

// addField applies one field. It returns false for a field that may change how the body has to be read.
func (f *framing) addField(name, value []byte) bool {
	switch {
	case equalLower(name, "transfer-encoding"), equalLower(name, "trailer"):
		return false
	case equalLower(name, "content-length"):
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
	case equalLower(name, "connection"):
		if f.close = f.close || equalLower(value, "close"); !equalLower(value, "close") && !equalLower(value, "keep-alive") {
			return false
		}
	}
	return true
}

// plainHead is a head as endpoints usually send it: HTTP/1.1 and a body with exactly one stated length.
type plainHead struct {
	framing
	status  int
	fields  string
	spliced bool // another status line follows in the first line
}

// readPlainHead parses a head of the common kind without net/http. It consumes nothing of any other head, which net/http
// then reads.
func (c *Conn) readPlainHead() (h plainHead, ok bool) {
	h.length = -1
	h.fields, ok = readPlainLines(c.br, func(n int, line []byte) bool {
		switch {
		case n == 0:
			return h.parseStatusLine(line)
		case len(line) == 0:
			return h.length >= 0
		}
		name, value, ok := parsePlainField(line)
		return ok && h.addField(name, value)
	})
	return h, ok
}

// parseStatusLine parses the status line and returns false if net/http has to read the head.
func (h *plainHead) parseStatusLine(line []byte) bool {
	const proto = "HTTP/1.1 "
	if len(line) < len(proto)+3 || string(line[:len(proto)]) != proto {
		return false
	}
	reason := line[len(proto)+3:]
	h.spliced = bytes.Contains(reason, []byte(protocolName))
	h.status = parseStatusCode(line[len(proto) : len(proto)+3])
	return h.status >= 200 && h.status != http.StatusNoContent && h.status != http.StatusNotModified &&
		(len(reason) == 0 || reason[0] == ' ') && printable(reason)
}

// protocolName begins each status line.
const protocolName = "HTTP/1."

// isSpliced reports whether a head contains a second status line. That is what a copy of a response leaves that was cut
// short in its head, with the next response right behind it.
func (h *plainHead) isSpliced() bool { return h.spliced || strings.Contains(h.fields, protocolName) }

// isSplicedResponse is like plainHead.isSpliced for a head that net/http has parsed.
func isSplicedResponse(response *http.Response) bool {
	if strings.Contains(response.Status, protocolName) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if strings.Contains(value, protocolName) {
				return true
			}
		}
	}
	return false
}

func printable(b []byte) bool {
	for _, c := range b {
		if (c < ' ' || c > '~') && c != '\t' {
			return false
		}
	}
	return true
}

// equalLower reports whether b equals a lower-case name, ignoring the case of b.
func equalLower(b []byte, small string) bool {
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

// Get returns the first value of a header field, or "" if there is none. The name is not case-sensitive.
func (a *Response) Get(name string) string {
	if a.header != nil {
		return a.header.Get(name)
	}
	return rawFieldValue(a.rawFields, name)
}

// rawFieldValue returns the first value of a field of a plain head.
func rawFieldValue(fields, name string) string {
	for line := range strings.SplitSeq(fields, "\r\n") {
		if len(line) > len(name) && line[len(name)] == ':' && strings.EqualFold(line[:len(name)], name) {
			return strings.Trim(line[len(name)+1:], " \t")
		}
	}
	return ""
}

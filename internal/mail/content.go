package mail

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// LineMost is how long a line of a mail may be, without its CRLF (RFC 5321, 4.5.3.1.6).
const LineMost = 998

// ErrContent says that a content may not be sent as it is. It names the fault.
var ErrContent = errors.New("content")

// Content is what is told of a content line by line as it comes, or of one that is whole. The zero value is that of an
// empty one.
type Content struct {
	EightBit   bool // a byte over 127
	EightHead  bool // one in the header, which needs SMTPUTF8
	fault      string
	body       bool // the header is over
	line       int  // bytes of the line that is open
	cr         bool // its last byte was CR
	headerSize int
}

// HeaderMost is how many bytes the header may hold.
const HeaderMost = 64 << 10

// Write looks at more of the content. It never fails: Err tells.
func (c *Content) Write(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && !c.cr:
			c.note("a line feed without a carriage return")
		case b != '\n' && c.cr:
			c.note("a carriage return without a line feed")
		case b == 0:
			c.note("a NUL")
		}
		if !c.body {
			if c.headerSize++; c.headerSize > HeaderMost {
				c.note(fmt.Sprintf("a header over %d bytes", HeaderMost))
			}
		}
		if b >= 0x80 {
			c.EightBit = true
			c.EightHead = c.EightHead || !c.body
		}
		if b == '\n' {
			if c.line == 1 && c.cr {
				c.body = true
			}
			c.line, c.cr = 0, false
			continue
		}
		c.cr = b == '\r'
		if c.line++; c.line > LineMost+1 || c.line > LineMost && b != '\r' {
			c.note(fmt.Sprintf("a line over %d bytes", LineMost))
		}
	}
}

func (c *Content) note(fault string) {
	if c.fault == "" {
		c.fault = fault
	}
}

// Err is what is wrong with the content, nil if nothing is: a bare CR or LF, a NUL, a line or a header that is too long.
// These are never passed on, as another server may take them for the end of the mail.
func (c *Content) Err() error {
	if c.fault == "" && c.cr {
		return fmt.Errorf("%w: a carriage return without a line feed", ErrContent)
	}
	if c.fault != "" {
		return fmt.Errorf("%w: %s", ErrContent, c.fault)
	}
	return nil
}

// Whole tells that the content so far ends with a whole line: only then can DATA carry it unchanged.
func (c *Content) Whole() bool { return c.line == 0 }

// AppendDotted appends a content as DATA carries it: dots doubled where a line begins with one, and the final dot. The
// content must be Whole and without Err.
func AppendDotted(b, content []byte) []byte {
	for len(content) > 0 {
		if content[0] == '.' {
			b = append(b, '.')
		}
		n := bytes.IndexByte(content, '\n') + 1
		if n == 0 {
			n = len(content)
		}
		b = append(b, content[:n]...)
		content = content[n:]
	}
	return append(b, ".\r\n"...)
}

// Header returns the value of a header field's first line of that name, unfolded, "" if there is none, and how many
// fields of that name there are.
func Header(content []byte, name string) (value string, count int) {
	for len(content) > 0 {
		n := bytes.Index(content, []byte("\r\n"))
		if n < 0 {
			n = len(content)
		}
		line := content[:n]
		if len(line) == 0 {
			return value, count // the header is over
		}
		content = content[min(n+2, len(content)):]
		colon := bytes.IndexByte(line, ':')
		if colon < 0 || !strings.EqualFold(strings.TrimRight(string(line[:colon]), " \t"), name) {
			continue
		}
		if count++; count > 1 {
			continue
		}
		value = string(line[colon+1:])
		for len(content) > 0 && (content[0] == ' ' || content[0] == '\t') {
			n := bytes.Index(content, []byte("\r\n"))
			if n < 0 {
				n = len(content)
			}
			value += string(content[:n])
			content = content[min(n+2, len(content)):]
		}
		value = strings.TrimSpace(value)
	}
	return value, count
}

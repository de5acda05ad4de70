package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Memory limits the memory that incomplete heads take.
type Memory interface {
	// Take reserves more memory for a head that then has total bytes. It returns false if there is none left.
	Take(bytes, total int) bool
	// Give returns memory that Take reserved.
	Give(bytes int)
}

// ErrNoMemory is returned by ReadRequest if Memory.Take has refused. Data after it on the connection can't be trusted.
var ErrNoMemory = errors.New("no memory is left for the head of a request")

// headCollector collects the head of a request or a response that has to be read by net/http, or that the connection's buffer
// can't hold. It is parsed only once it has arrived completely: a parser that waits in the middle of a head of many short
// fields holds a multiple of the bytes that have arrived.
type headCollector struct {
	br      *bufio.Reader
	memory  Memory // nil: not limited
	scanner headScanner
	text    []byte // what did not fit into the buffer of br
}

// collect reads until the head is complete, or until it is known to be invalid. If it returns no error, the head begins in
// text, if there is any, and ends at end in the buffer of br.
func (h *headCollector) collect() (end int, err error) {
	for scanned := 0; ; {
		b, err := h.br.Peek(h.br.Buffered())
		if err != nil {
			return 0, err
		}
		n, over := h.scanner.scan(b[scanned:])
		if scanned += n; over {
			return scanned, nil
		}
		if len(b) == h.br.Size() {
			if !h.move(len(b)) {
				return 0, ErrNoMemory
			}
			scanned = 0
		}
		if _, err := h.br.Peek(h.br.Buffered() + 1); err != nil {
			return 0, err
		}
	}
}

// move moves n bytes from the buffer to text. It returns false if there is no memory left for them.
func (h *headCollector) move(n int) bool {
	if need := len(h.text) + n; need > cap(h.text) {
		room := max(need, 2*cap(h.text))
		if h.memory != nil && !h.memory.Take(room-cap(h.text), room) {
			return false
		}
		h.text = append(make([]byte, 0, room), h.text...)
	}
	b, err := h.br.Peek(n)
	h.text = append(h.text, b...)
	h.br.Discard(n)
	return err == nil
}

// readRequest reads and parses the head of a request. The parser gets what has arrived and no more, so that it never waits.
func (h *headCollector) readRequest() (Request, error) {
	defer h.release()
	end, err := h.collect()
	switch {
	case errors.Is(err, ErrNoMemory):
		return Request{}, err
	case err != nil && h.scanner.lines > 0:
		return Request{}, invalidHead(io.ErrUnexpectedEOF)
	case err != nil: // net/http says what is wrong with the first line
		end = h.br.Buffered()
	}
	rest, err := h.br.Peek(end)
	if err != nil {
		return Request{}, invalidHead(err)
	}
	defer h.br.Discard(end)
	whole := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(h.text), bytes.NewReader(rest)), len(h.text)+end)
	if len(h.text) > 0 { // otherwise it is known that it isn't plain
		if r, ok := readPlainRequest(whole); ok {
			return r, nil
		}
	}
	return readAnyRequest(whole)
}

// readAnyHead reads the head of a response with net/http once it has arrived completely. Of an interim response nothing else
// is read. The body of any other one comes from the reader that is returned; if that is not c.br, the head did not fit into
// the buffer, and the connection can't be used again.
func (c *Conn) readAnyHead(interim bool) (*http.Response, *bufio.Reader, error) {
	head := headCollector{br: c.br}
	end, err := head.collect()
	if err == nil && head.scanner.invalid {
		err = errInvalidHead
	}
	if err != nil {
		return nil, nil, err
	}
	br := c.br
	if len(head.text) > 0 {
		rest, err := c.br.Peek(end)
		if err != nil {
			return nil, nil, err
		}
		parts := []io.Reader{bytes.NewReader(head.text), bytes.NewReader(bytes.Clone(rest))}
		if !interim {
			parts = append(parts, c.br)
		}
		c.br.Discard(end)
		br = bufio.NewReaderSize(io.MultiReader(parts...), readBufferSize)
	}
	parsing.Lock()
	defer parsing.Unlock()
	res, err := http.ReadResponse(br, nil)
	return res, br, err
}

var errInvalidHead = errors.New("a line that is no field")

func (h *headCollector) release() {
	if h.memory != nil {
		h.memory.Give(cap(h.text))
	}
}

// headScanner finds the end of a head in data that arrives in parts.
type headScanner struct {
	lines  int  // complete lines so far
	length int  // bytes of the current line
	first  byte // of the current line
	colon  bool // the current line has a colon

	invalid bool // the head ended behind a line that is no field
}

// scan reads the data that follows what was scanned before. It returns how many bytes belong to the head, and over once the
// head ends there: behind its empty line, or behind a line with which it can't be valid.
func (s *headScanner) scan(b []byte) (n int, over bool) {
	for n < len(b) {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			s.add(b[n:])
			return len(b), false
		}
		s.add(b[n : n+end])
		if n += end + 1; s.endsHead() {
			return n, true
		}
		s.lines++
		s.length, s.first, s.colon = 0, 0, false
	}
	return n, false
}

// add adds a part of the current line.
func (s *headScanner) add(part []byte) {
	if s.length == 0 && len(part) > 0 {
		s.first = part[0]
	}
	s.length += len(part)
	s.colon = s.colon || bytes.IndexByte(part, ':') >= 0
}

// endsHead reports whether the head ends with the current line, which is complete: it is empty, or it makes the head invalid.
func (s *headScanner) endsHead() bool {
	isEmpty := s.length == 0 || s.length == 1 && s.first == '\r'
	if isEmpty || s.lines == 0 {
		return isEmpty
	}
	continues := (s.first == ' ' || s.first == '\t') && s.lines > 1
	s.invalid = !continues && (!s.colon || s.first == ':')
	return s.invalid
}

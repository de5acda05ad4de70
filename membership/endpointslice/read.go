package endpointslice

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// lineReader splits a stream into lines of at most maxBytes bytes.
type lineReader struct {
	r        io.Reader
	maxBytes int
	buf      []byte // buf[from:] was read and not yet returned
	start    int
	skipping bool // inside a line that is too long
}

var errTooLong = errors.New("line is too long")

const minBufferBytes = 16 << 10 // bytes

// next returns the next line without its newline. The line is valid until the next call. A line that is too long is skipped,
// and reported once as errTooLong. If the stream ends inside a line, the error is io.ErrUnexpectedEOF.
func (l *lineReader) next() ([]byte, error) {
	scanned := l.start
	for {
		if i := bytes.IndexByte(l.buf[scanned:], '\n'); i >= 0 {
			line := l.buf[l.start : scanned+i]
			l.start = scanned + i + 1
			if l.skipping {
				l.skipping = false
				scanned = l.start
				continue
			}
			if len(line) > l.maxBytes {
				return nil, errTooLong
			}
			return line, nil
		}
		scanned = len(l.buf)
		if l.skipping || len(l.buf)-l.start > l.maxBytes {
			first := !l.skipping
			l.skipping, l.buf, l.start, scanned = true, l.buf[:0], 0, 0
			if first {
				return nil, errTooLong
			}
		}
		if l.start > 0 { // move the unread rest to the front of the buffer
			n := copy(l.buf, l.buf[l.start:])
			l.buf, l.start, scanned = l.buf[:n], 0, n
		}
		switch room := cap(l.buf) - len(l.buf); {
		case room == 0:
			grown := make([]byte, len(l.buf), max(minBufferBytes, 2*cap(l.buf)))
			copy(grown, l.buf)
			l.buf = grown
		case len(l.buf) == 0 && cap(l.buf) > 1<<20: // free the memory that a long line needed
			l.buf = make([]byte, 0, minBufferBytes)
		}
		n, err := l.r.Read(l.buf[len(l.buf):cap(l.buf)])
		l.buf = l.buf[:len(l.buf)+n]
		if n > 0 {
			continue // the next read returns the error again
		}
		if err == io.EOF && (len(l.buf) > l.start || l.skipping) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// page holds the metadata of a page of a list.
type page struct {
	version       string
	continueToken string // continue token of the next page, "" on the last one
}

var errNotAList = errors.New("not a list of endpoint slices")

// readPage reads a page of a list and passes its items to take one by one, so that only one of them is in memory. Anything
// but an EndpointSliceList with a version is an error. Otherwise it could be mistaken for an empty list.
func readPage(r io.Reader, take func(o *object, bytes int)) (p page, err error) {
	in := &limitedReader{r: r}
	d := json.NewDecoder(in)
	in.remaining = 2 * maxObjectBytes // the decoder may read ahead by as much as it has buffered
	if err := wantDelim(d, '{'); err != nil {
		return p, err
	}
	kind, items := "", false
	for d.More() {
		in.remaining = 2 * maxObjectBytes
		key, err := d.Token()
		if err != nil {
			return p, err
		}
		switch key {
		case "kind":
			err = d.Decode(&kind)
		case "metadata":
			var m struct {
				ResourceVersion string
				Continue        string
			}
			err = d.Decode(&m)
			p = page{m.ResourceVersion, m.Continue}
		case "items":
			items = true
			err = readItems(d, in, take)
		default:
			var skipped json.RawMessage
			err = d.Decode(&skipped)
		}
		if err != nil {
			return p, err
		}
	}
	if err := wantDelim(d, '}'); err != nil {
		return p, err
	}
	if kind != "EndpointSliceList" || !items || p.version == "" {
		return page{}, fmt.Errorf("%w: kind %.40q, version %.40q", errNotAList, kind, p.version)
	}
	return p, nil
}

func readItems(d *json.Decoder, in *limitedReader, take func(o *object, bytes int)) error {
	t, err := d.Token()
	if err != nil {
		return err
	}
	if t == nil {
		return nil // null is an empty list
	}
	if t != json.Delim('[') {
		return fmt.Errorf("%w: items is no array", errNotAList)
	}
	for d.More() {
		in.remaining = 2 * maxObjectBytes
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return err
		}
		o, err := decodeSlice(raw)
		if err != nil {
			o = object{} // nested too deep: take counts an object without a name as unreadable
		}
		take(&o, len(raw))
	}
	return wantDelim(d, ']')
}

func wantDelim(d *json.Decoder, want json.Delim) error {
	t, err := d.Token()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if t != want {
		return fmt.Errorf("%w: %v in place of %v", errNotAList, t, want)
	}
	return nil
}

// limitedReader is a reader that limits how many bytes can be read before remaining is set again.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("an object is over %d bytes: %w", maxObjectBytes, errTooLong)
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

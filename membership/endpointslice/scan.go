package endpointslice

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/bits"
	"unsafe"
)

// scanner reads JSON (RFC 8259) in place. With encoding/json a slice of 100 endpoints takes half a millisecond, most of it
// for fields that are not used (see docs/design/endpointslices.md). A fuzz test checks the scanner against encoding/json.
//
// After the first error all calls do nothing.
type scanner struct {
	input []byte
	pos   int
	depth int
	err   error
}

// maxDepth limits the nesting of values. An EndpointSlice needs 7 levels, its managed fields some more.
const maxDepth = 200

var errSyntax = errors.New("malformed JSON")

func (s *scanner) fail(what string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s at byte %d", errSyntax, what, s.pos)
	}
}

// peek returns the next byte that is not white space, without consuming it. It returns 0 at the end or after an error.
func (s *scanner) peek() byte {
	if s.err != nil {
		return 0
	}
	b, i := s.input, s.pos
	for i < len(b) {
		if c := b[i]; c > ' ' || c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			s.pos = i
			return c
		}
		i++
	}
	s.pos = i
	return 0
}

// expectEnd fails if anything but white space is left.
func (s *scanner) expectEnd() {
	if s.err == nil && (s.peek() != 0 || s.pos < len(s.input)) {
		s.fail("more than one value")
	}
}

// object calls field for each key of an object. field must consume the value.
func (s *scanner) object(field func(key string)) {
	if s.peek() != '{' {
		s.fail("no object")
		return
	}
	s.members('}', func() {
		if s.peek() != '"' {
			s.fail("no key")
			return
		}
		key := s.stringValue()
		if s.peek() != ':' {
			s.fail("no colon")
			return
		}
		s.pos++
		field(key)
	})
}

// array calls element for each element of an array. element must consume it.
func (s *scanner) array(element func()) {
	if s.peek() != '[' {
		s.fail("no array")
		return
	}
	s.members(']', element)
}

// members reads the members of an object or array up to the closing byte.
func (s *scanner) members(closing byte, member func()) {
	if s.depth++; s.depth > maxDepth {
		s.fail("nested too deep")
		return
	}
	s.pos++
	if s.peek() == closing {
		s.pos++
		s.depth--
		return
	}
	for {
		member()
		switch s.peek() {
		case ',':
			s.pos++
		case closing:
			s.pos++
			s.depth--
			return
		default:
			s.fail("no comma or end")
			return
		}
	}
}

// specialBytes finds the first of eight bytes that needs special treatment in a string: a quote, a backslash, a control
// byte or a byte above 0x7f. It sets the high bit of that byte. The bits of higher bytes mean nothing. Most of the text is
// within strings, so checking eight bytes at once saves time.
func specialBytes(x uint64) uint64 {
	const ones, highs = 0x0101010101010101, 0x8080808080808080
	quote, slash := x^(ones*'"'), x^(ones*'\\')
	control := (x - ones*' ') &^ x // below ' '
	return ((quote-ones)&^quote | (slash-ones)&^slash | control | x) & highs
}

// rawString consumes a string and returns it with its quotes. plain is true if it has only ASCII and no escapes.
func (s *scanner) rawString() (text []byte, plain bool) {
	from := s.pos
	s.pos++
	plain = true
	for {
		b, i := s.input, s.pos
		for len(b)-i >= 8 {
			if m := specialBytes(binary.LittleEndian.Uint64(b[i:])); m != 0 {
				i += bits.TrailingZeros64(m) / 8
				break
			}
			i += 8
		}
		if s.pos = i; i == len(b) {
			break
		}
		switch c := b[i]; {
		case c == '"':
			s.pos++
			return s.input[from:s.pos], plain
		case c < ' ':
			s.fail("control byte in a string")
			return nil, false
		case c == '\\':
			if !s.escape() {
				s.fail("malformed escape")
				return nil, false
			}
		default:
			s.pos++
			if c < 0x80 {
				continue // one of the last bytes, where fewer than eight are left
			}
		}
		plain = false
	}
	s.fail("a string does not end")
	return nil, false
}

// escape consumes an escape sequence. It returns false if the sequence is malformed.
func (s *scanner) escape() bool {
	if s.pos+1 >= len(s.input) {
		return false
	}
	switch s.input[s.pos+1] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		s.pos += 2
		return true
	case 'u':
		if s.pos+6 > len(s.input) {
			return false
		}
		for _, c := range s.input[s.pos+2 : s.pos+6] {
			if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
				return false
			}
		}
		s.pos += 6
		return true
	}
	return false
}

// stringValue consumes a string. The result may share memory with the scanner's input, so it must be cloned before it is
// kept.
func (s *scanner) stringValue() string {
	text, plain := s.rawString()
	if s.err != nil {
		return ""
	}
	if plain {
		text = text[1 : len(text)-1]
		return unsafe.String(unsafe.SliceData(text), len(text))
	}
	var v string
	if err := json.Unmarshal(text, &v); err != nil {
		s.fail("malformed string")
	}
	return v
}

// skip consumes any value and checks its syntax.
func (s *scanner) skip() {
	switch c := s.peek(); c {
	case '{':
		s.object(func(string) { s.skip() })
	case '[':
		s.array(s.skip)
	case '"':
		s.rawString()
	case 't':
		s.literal("true")
	case 'f':
		s.literal("false")
	case 'n':
		s.literal("null")
	default:
		s.number()
	}
}

// literal consumes the literal w.
func (s *scanner) literal(w string) {
	if s.pos+len(w) > len(s.input) || string(s.input[s.pos:s.pos+len(w)]) != w {
		s.fail("unknown word")
		return
	}
	s.pos += len(w)
}

// number consumes a number and returns its text.
func (s *scanner) number() string {
	if s.err != nil {
		return ""
	}
	from := s.pos
	at := func() byte {
		if s.pos < len(s.input) {
			return s.input[s.pos]
		}
		return 0
	}
	digits := func() bool {
		n := s.pos
		for c := at(); '0' <= c && c <= '9'; c = at() {
			s.pos++
		}
		return s.pos > n
	}
	if at() == '-' {
		s.pos++
	}
	ok := true
	if at() == '0' {
		s.pos++
	} else {
		ok = digits()
	}
	if ok && at() == '.' {
		s.pos++
		ok = digits()
	}
	if c := at(); ok && (c == 'e' || c == 'E') {
		s.pos++
		if c := at(); c == '+' || c == '-' {
			s.pos++
		}
		ok = digits()
	}
	if !ok {
		s.fail("no value")
		return ""
	}
	return string(s.input[from:s.pos])
}

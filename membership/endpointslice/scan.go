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
	b     []byte
	i     int
	depth int
	err   error
}

// deepest limits the nesting of values. An EndpointSlice needs 7 levels, its managed fields some more.
const deepest = 200

var errSyntax = errors.New("malformed JSON")

func (s *scanner) fail(what string) {
	if s.err == nil {
		s.err = fmt.Errorf("%w: %s at byte %d", errSyntax, what, s.i)
	}
}

// next returns the next byte that is not white space, without consuming it. It returns 0 at the end or after an error.
func (s *scanner) next() byte {
	if s.err != nil {
		return 0
	}
	b, i := s.b, s.i
	for i < len(b) {
		if c := b[i]; c > ' ' || c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			s.i = i
			return c
		}
		i++
	}
	s.i = i
	return 0
}

// end fails if anything but white space is left.
func (s *scanner) end() {
	if s.err == nil && (s.next() != 0 || s.i < len(s.b)) {
		s.fail("more than one value")
	}
}

// object calls field for each key of an object. field must consume the value.
func (s *scanner) object(field func(key string)) {
	if s.next() != '{' {
		s.fail("no object")
		return
	}
	s.members('}', func() {
		if s.next() != '"' {
			s.fail("no key")
			return
		}
		key := s.str()
		if s.next() != ':' {
			s.fail("no colon")
			return
		}
		s.i++
		field(key)
	})
}

// array calls element for each element of an array. element must consume it.
func (s *scanner) array(element func()) {
	if s.next() != '[' {
		s.fail("no array")
		return
	}
	s.members(']', element)
}

// members reads the members of an object or array up to the closing byte.
func (s *scanner) members(closing byte, member func()) {
	if s.depth++; s.depth > deepest {
		s.fail("nested too deep")
		return
	}
	s.i++
	if s.next() == closing {
		s.i++
		s.depth--
		return
	}
	for {
		member()
		switch s.next() {
		case ',':
			s.i++
		case closing:
			s.i++
			s.depth--
			return
		default:
			s.fail("no comma or end")
			return
		}
	}
}

// odd finds the first of eight bytes that needs special treatment in a string: a quote, a backslash, a control byte or a
// byte above 0x7f. It sets the high bit of that byte. The bits of higher bytes mean nothing. Most of the text is within
// strings, so checking eight bytes at once saves time.
func odd(x uint64) uint64 {
	const ones, highs = 0x0101010101010101, 0x8080808080808080
	quote, slash := x^(ones*'"'), x^(ones*'\\')
	control := (x - ones*' ') &^ x // below ' '
	return ((quote-ones)&^quote | (slash-ones)&^slash | control | x) & highs
}

// raw consumes a string and returns it with its quotes. plain is true if it has only ASCII and no escapes.
func (s *scanner) raw() (text []byte, plain bool) {
	from := s.i
	s.i++
	plain = true
	for {
		b, i := s.b, s.i
		for len(b)-i >= 8 {
			if m := odd(binary.LittleEndian.Uint64(b[i:])); m != 0 {
				i += bits.TrailingZeros64(m) / 8
				break
			}
			i += 8
		}
		if s.i = i; i == len(b) {
			break
		}
		switch c := b[i]; {
		case c == '"':
			s.i++
			return s.b[from:s.i], plain
		case c < ' ':
			s.fail("control byte in a string")
			return nil, false
		case c == '\\':
			if !s.escape() {
				s.fail("malformed escape")
				return nil, false
			}
		default:
			s.i++
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
	if s.i+1 >= len(s.b) {
		return false
	}
	switch s.b[s.i+1] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		s.i += 2
		return true
	case 'u':
		if s.i+6 > len(s.b) {
			return false
		}
		for _, c := range s.b[s.i+2 : s.i+6] {
			if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F') {
				return false
			}
		}
		s.i += 6
		return true
	}
	return false
}

// str consumes a string. The result may share memory with the scanner's input, so it must be cloned before it is kept.
func (s *scanner) str() string {
	text, plain := s.raw()
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
	switch c := s.next(); c {
	case '{':
		s.object(func(string) { s.skip() })
	case '[':
		s.array(s.skip)
	case '"':
		s.raw()
	case 't':
		s.word("true")
	case 'f':
		s.word("false")
	case 'n':
		s.word("null")
	default:
		s.number()
	}
}

// word consumes the literal w.
func (s *scanner) word(w string) {
	if s.i+len(w) > len(s.b) || string(s.b[s.i:s.i+len(w)]) != w {
		s.fail("unknown word")
		return
	}
	s.i += len(w)
}

// number consumes a number and returns its text.
func (s *scanner) number() string {
	if s.err != nil {
		return ""
	}
	from := s.i
	at := func() byte {
		if s.i < len(s.b) {
			return s.b[s.i]
		}
		return 0
	}
	digits := func() bool {
		n := s.i
		for c := at(); '0' <= c && c <= '9'; c = at() {
			s.i++
		}
		return s.i > n
	}
	if at() == '-' {
		s.i++
	}
	ok := true
	if at() == '0' {
		s.i++
	} else {
		ok = digits()
	}
	if ok && at() == '.' {
		s.i++
		ok = digits()
	}
	if c := at(); ok && (c == 'e' || c == 'E') {
		s.i++
		if c := at(); c == '+' || c == '-' {
			s.i++
		}
		ok = digits()
	}
	if !ok {
		s.fail("no value")
		return ""
	}
	return string(s.b[from:s.i])
}

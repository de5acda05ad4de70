// Package mail is what the client's and the server's side of SMTP (RFC 5321) and LMTP (RFC 2033) have in common: paths,
// commands, replies, the content of a mail, and the envelope that a mail has inside the dispatcher. It does no I/O but
// on the connection that it is given, and bounds all that comes from there.
package mail

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode/utf8"
)

// Protocol is what a connection speaks.
type Protocol uint8

// Protocols.
const (
	SMTP Protocol = iota
	LMTP
)

func (p Protocol) String() string { return [...]string{"smtp", "lmtp"}[p] }

// Param is one parameter of MAIL or RCPT, its name in capitals.
type Param struct {
	Name, Value string // Value is "" for a parameter without one
}

// Path is what MAIL and RCPT name: an address with its parameters. The null reverse-path is "".
type Path struct {
	Addr   string
	Params []Param
}

// Bounds of RFC 5321, 4.5.3.1.
const (
	mostLocal  = 64
	mostDomain = 255
	mostPath   = 254 // without the angle brackets
	mostParams = 16
)

// ErrPath says that a path or its parameters are out of form.
var ErrPath = errors.New("path")

// Get returns the value of a parameter and whether it is there.
func (p *Path) Get(name string) (string, bool) {
	for _, x := range p.Params {
		if x.Name == name {
			return x.Value, true
		}
	}
	return "", false
}

// String is the path as it stands in a command, with its parameters.
func (p *Path) String() string {
	b := append(append([]byte{'<'}, p.Addr...), '>')
	for _, x := range p.Params {
		b = append(append(b, ' '), x.Name...)
		if x.Value != "" {
			b = append(append(b, '='), x.Value...)
		}
	}
	return string(b)
}

// ParsePath reads what stands behind "FROM:" or "TO:". A source route is dropped (RFC 5321, appendix C); letters beyond
// ASCII are taken where they are UTF-8: whether they may be there is the caller's to say. Its error wraps ErrPath.
func ParsePath(s string) (Path, error) {
	var p Path
	s = strings.TrimLeft(s, " ")
	if !strings.HasPrefix(s, "<") {
		return p, fmt.Errorf("%w: it must stand in angle brackets", ErrPath)
	}
	s = s[1:]
	if strings.HasPrefix(s, "@") { // a source route
		i := strings.IndexByte(s, ':')
		if i < 0 {
			return p, fmt.Errorf("%w: its source route has no end", ErrPath)
		}
		for hop := range strings.SplitSeq(s[:i], ",") {
			if !strings.HasPrefix(hop, "@") || !isDomain(hop[1:]) {
				return p, fmt.Errorf("%w: its source route is out of form", ErrPath)
			}
		}
		s = s[i+1:]
	}
	end, quoted := -1, false
	for i := 0; i < len(s) && end < 0; i++ {
		switch {
		case quoted && s[i] == '\\':
			i++
		case s[i] == '"':
			quoted = !quoted
		case !quoted && s[i] == '>':
			end = i
		}
	}
	if end < 0 {
		return p, fmt.Errorf("%w: it has no end", ErrPath)
	}
	p.Addr, s = s[:end], s[end+1:]
	if p.Addr != "" {
		if err := CheckAddress(p.Addr); err != nil {
			return p, err
		}
	}
	if s != "" && s[0] != ' ' {
		return p, fmt.Errorf("%w: a space must follow it", ErrPath)
	}
	for word := range strings.FieldsSeq(s) {
		name, value, has := strings.Cut(word, "=")
		switch {
		case len(p.Params) == mostParams:
			return p, fmt.Errorf("%w: more than %d parameters", ErrPath, mostParams)
		case !isKeyword(name), has && !isValue(value):
			return p, fmt.Errorf("%w: parameter %.40q is out of form", ErrPath, word)
		}
		name = strings.ToUpper(name)
		if _, twice := p.Get(name); twice {
			return p, fmt.Errorf("%w: parameter %s is there twice", ErrPath, name)
		}
		p.Params = append(p.Params, Param{name, value})
	}
	return p, nil
}

// CheckAddress tells whether a is a mailbox, or postmaster without a domain. Its error wraps ErrPath.
func CheckAddress(a string) error {
	if len(a) > mostPath {
		return fmt.Errorf("%w: over %d bytes", ErrPath, mostPath)
	}
	if !utf8.ValidString(a) {
		return fmt.Errorf("%w: it is no UTF-8", ErrPath)
	}
	if strings.EqualFold(a, "postmaster") {
		return nil
	}
	local, domain := Split(a)
	switch {
	case len(local) > mostLocal:
		return fmt.Errorf("%w: its local part is over %d bytes", ErrPath, mostLocal)
	case !isLocal(local):
		return fmt.Errorf("%w: its local part is out of form", ErrPath)
	case !isDomain(domain):
		return fmt.Errorf("%w: its domain is out of form", ErrPath)
	}
	return nil
}

// Split splits an address at its last "@".
func Split(a string) (local, domain string) {
	i := strings.LastIndexByte(a, '@')
	if i < 0 {
		return a, ""
	}
	return a[:i], a[i+1:]
}

// Canonical is an address by which two that name the same mailbox are known as one: domains know no case, and
// postmaster neither.
func Canonical(a string) string {
	if strings.EqualFold(a, "postmaster") {
		return "postmaster"
	}
	local, domain := Split(a)
	return local + "@" + strings.ToLower(domain)
}

func isLocal(s string) bool {
	if strings.HasPrefix(s, `"`) {
		return isQuoted(s)
	}
	for atom := range strings.SplitSeq(s, ".") {
		if atom == "" {
			return false
		}
		for i := range len(atom) {
			if !isAtext(atom[i]) {
				return false
			}
		}
	}
	return true
}

func isQuoted(s string) bool {
	if len(s) < 2 || s[len(s)-1] != '"' {
		return false
	}
	s = s[1 : len(s)-1]
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '"', s[i] < ' ', s[i] == 0x7f:
			return false
		case s[i] == '\\':
			if i++; i == len(s) || s[i] < ' ' || s[i] > '~' {
				return false
			}
		}
	}
	return true
}

// isAtext counts all letters beyond ASCII in (RFC 6531, 3.3).
func isAtext(c byte) bool {
	return isAlnum(c) || c >= 0x80 || strings.IndexByte("!#$%&'*+-/=?^_`{|}~", c) >= 0
}

func isAlnum(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func isDomain(s string) bool {
	if len(s) > mostDomain {
		return false
	}
	if literal, ok := strings.CutPrefix(s, "["); ok {
		literal, ok = strings.CutSuffix(literal, "]")
		if six, isSix := strings.CutPrefix(literal, "IPv6:"); isSix {
			ip, err := netip.ParseAddr(six)
			return ok && err == nil && ip.Is6() && ip.Zone() == ""
		}
		ip, err := netip.ParseAddr(literal)
		return ok && err == nil && ip.Is4()
	}
	for label := range strings.SplitSeq(s, ".") {
		if label == "" || len(label) > 63 || label[0] == '-' || label[len(label)-1] == '-' {
			return false
		}
		for i := range len(label) {
			if c := label[i]; !isAlnum(c) && c != '-' && c < 0x80 {
				return false
			}
		}
	}
	return true
}

func isKeyword(s string) bool {
	if s == "" || !isAlnum(s[0]) {
		return false
	}
	for i := range len(s) {
		if !isAlnum(s[i]) && s[i] != '-' {
			return false
		}
	}
	return true
}

func isValue(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == '=' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}

// ASCII tells that a text has no letter beyond ASCII.
func ASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= 0x80 {
			return false
		}
	}
	return true
}

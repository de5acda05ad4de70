package http1

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
)

// Request is the head of a request that was read.
type Request struct {
	Method   string
	Path     string // of the target, decoded
	Length   int64  // bytes of the body that follow, -1: it has a transfer coding
	Close    bool   // the connection ends with the answer: the client asks for it, or speaks HTTP/1.0
	Continue bool   // the client waits for 100 before it sends the body (RFC 9110, 10.1.1)

	plain  string      // the head's fields, if they were read by hand,
	header http.Header // else here
}

// Get returns the first value of a header field, "" if there is none. The case of the name does not matter.
func (r *Request) Get(name string) string {
	if r.header != nil {
		return r.header.Get(name)
	}
	return plainValue(r.plain, name)
}

// RequestError says that what came is no request that can be answered otherwise than with Status. Nothing behind it can
// be trusted.
type RequestError struct {
	Status int    // 400, 417, 501 or 505
	Reason string // at most some hundred bytes
}

func (e *RequestError) Error() string { return e.Reason }

const whyMost = 200 // bytes of a parser's own words that are passed on, which may hold the client's

// ReadRequest reads the head of a request; the body, if there is one, comes next from br. It reads as far as it needs to,
// and blocks as br's reader does; the bounds of size and time are that reader's. Any error is a *RequestError, also where
// br's reader failed: whoever calls looks at that first.
func ReadRequest(br *bufio.Reader) (Request, error) {
	if r, ok := plainRequest(br); ok {
		return r, nil
	}
	return anyRequest(br)
}

// plainRequest reads the head by hand if it is one of the common kind: a POST of HTTP/1.1 to a path without escapes, one
// host, a body with a stated length or none. For any other it takes nothing from br.
func plainRequest(br *bufio.Reader) (r Request, ok bool) {
	f, hosts := framing{length: -1}, 0
	r.plain, ok = plainLines(br, func(n int, line []byte) bool {
		switch {
		case n == 0:
			return r.plainLine(line)
		case len(line) == 0:
			return hosts == 1
		}
		name, value, ok := plainField(line)
		switch {
		case !ok || is(name, "expect"):
			return false
		case is(name, "host"):
			hosts++
			return len(value) > 0 && validHost(value)
		}
		return f.take(name, value)
	})
	r.Length, r.Close = int64(max(f.length, 0)), f.close
	return r, ok
}

func (r *Request) plainLine(line []byte) bool {
	const method, proto = "POST ", " HTTP/1.1"
	if len(line) <= len(method)+len(proto) || string(line[:len(method)]) != method ||
		string(line[len(line)-len(proto):]) != proto {
		return false
	}
	path := line[len(method) : len(line)-len(proto)]
	for _, b := range path {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '-' || b == '_' || b == '.' || b == '/') {
			return false
		}
	}
	r.Method, r.Path = http.MethodPost, string(path)
	return path[0] == '/'
}

// anyRequest has net/http read the head and adds what its server checks beyond that.
func anyRequest(br *bufio.Reader) (Request, error) {
	q, err := http.ReadRequest(br)
	if err != nil {
		why := err.Error()
		if len(why) > whyMost {
			why = why[:whyMost]
		}
		status := http.StatusBadRequest
		if strings.HasPrefix(why, "unsupported transfer encoding") || strings.HasPrefix(why, "too many transfer encodings") {
			status = http.StatusNotImplemented // net/http's type for it is its own
		}
		return Request{}, &RequestError{status, "request: " + why}
	}
	if q.ProtoMajor != 1 {
		return Request{}, &RequestError{http.StatusHTTPVersionNotSupported, fmt.Sprintf("request: HTTP/%d", q.ProtoMajor)}
	}
	if q.Host == "" && q.ProtoAtLeast(1, 1) || !validHost(q.Host) {
		return Request{}, &RequestError{http.StatusBadRequest, "Host: missing or malformed"}
	}
	for name := range q.Header {
		if strings.Contains(name, " ") { // one ahead of the colon, which others may overlook
			return Request{}, &RequestError{http.StatusBadRequest, "request: a space in the name of a field"}
		}
	}
	r := Request{
		Method: q.Method, Path: q.URL.Path, Length: q.ContentLength, Close: q.Close || !q.ProtoAtLeast(1, 1), header: q.Header,
	}
	if expect := q.Header.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return Request{}, &RequestError{http.StatusExpectationFailed, "Expect: only 100-continue is met"}
		}
		r.Continue = r.Length != 0 && q.ProtoAtLeast(1, 1)
	}
	return r, nil
}

// validHost tells whether all bytes of a Host field may stand there (RFC 3986, 3.2.2 and 3.2.3).
func validHost[T string | []byte](host T) bool {
	for i := range len(host) {
		b := host[i]
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' ||
			strings.IndexByte("!$%&'()*+,-.:;=[]_~", b) >= 0) {
			return false
		}
	}
	return true
}

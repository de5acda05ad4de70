package http1

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// Request is the parsed head of a request.
type Request struct {
	Method   string
	Path     string // of the request target, decoded
	Length   int64  // bytes of the body that follows; -1: it has a transfer coding
	Close    bool   // the connection ends with the response: the client asked for that or speaks HTTP/1.0
	Continue bool   // the client waits for status 100 before it sends the body (RFC 9110, 10.1.1)

	rawFields string      // fields of a head that was parsed here; unused if header is set
	header    http.Header // fields of a head that net/http parsed
}

// Get returns the first value of a header field, or "" if there is none. The name is not case-sensitive.
func (r *Request) Get(name string) string {
	if r.header != nil {
		return r.header.Get(name)
	}
	return rawFieldValue(r.rawFields, name)
}

// RequestError reports an invalid or unsupported request, to be answered with Status. Data after it on the connection
// can't be trusted.
type RequestError struct {
	Status int    // 400, 417, 501 or 505
	Reason string // at most a few hundred bytes
}

func (e *RequestError) Error() string { return e.Reason }

const maxReasonBytes = 200 // limit for the text of a net/http error, which may quote the client

// ReadRequest reads the head of a request. The body, if there is one, comes next from br. It reads no further than it has
// to and blocks as br's reader does. Limits of size and time are up to that reader. A head that the buffer of br can't hold
// takes memory until ReadRequest returns; nil does not limit it. Every error is ErrNoMemory or a *RequestError, also if br's
// reader failed: the caller has to check the reader's own error first.
func ReadRequest(br *bufio.Reader, memory Memory) (Request, error) {
	if r, ok := readPlainRequest(br); ok {
		return r, nil
	}
	head := headCollector{br: br, memory: memory}
	return head.readRequest()
}

// Release drops all but the lengths and flags, so that a request that is kept does not keep its head in memory.
func (r *Request) Release() {
	r.Method, r.Path, r.rawFields, r.header = "", "", "", nil
}

// readPlainRequest parses a head of the common kind without net/http: an HTTP/1.1 POST to a path without escapes, with one
// Host field and a body of stated length or none. It consumes nothing of any other head.
func readPlainRequest(br *bufio.Reader) (r Request, ok bool) {
	f, hosts := framing{length: -1}, 0
	r.rawFields, ok = readPlainLines(br, func(n int, line []byte) bool {
		switch {
		case n == 0:
			return r.parseRequestLine(line)
		case len(line) == 0:
			return hosts == 1
		}
		name, value, ok := parsePlainField(line)
		switch {
		case !ok || equalLower(name, "expect"):
			return false
		case equalLower(name, "host"):
			hosts++
			return len(value) > 0 && validHost(value)
		}
		return f.addField(name, value)
	})
	r.Length, r.Close = int64(max(f.length, 0)), f.close
	return r, ok
}

// parseRequestLine parses the request line and returns false if net/http has to read the head.
func (r *Request) parseRequestLine(line []byte) bool {
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

// invalidHead returns the error for a head that net/http refuses.
func invalidHead(err error) *RequestError {
	why := err.Error()
	why = strings.Clone(why[:min(len(why), maxReasonBytes)])
	status := http.StatusBadRequest
	if strings.HasPrefix(why, "unsupported transfer encoding") || strings.HasPrefix(why, "too many transfer encodings") {
		status = http.StatusNotImplemented // the error type of net/http for this is not exported
	}
	return &RequestError{status, "request: " + why}
}

// parsing lets net/http parse one head at a time: with many short fields its result takes a multiple of the head's memory.
var parsing sync.Mutex

// readAnyRequest reads the head with net/http and adds the checks that the server of net/http makes on top. The head must
// have arrived completely.
func readAnyRequest(br *bufio.Reader) (Request, error) {
	parsing.Lock()
	defer parsing.Unlock()
	q, err := http.ReadRequest(br)
	if err != nil {
		return Request{}, invalidHead(err)
	}
	if q.ProtoMajor != 1 {
		return Request{}, &RequestError{http.StatusHTTPVersionNotSupported, fmt.Sprintf("request: HTTP/%d", q.ProtoMajor)}
	}
	if q.Host == "" && q.ProtoAtLeast(1, 1) || !validHost(q.Host) {
		return Request{}, &RequestError{http.StatusBadRequest, "Host: missing or malformed"}
	}
	for name := range q.Header {
		if strings.Contains(name, " ") { // a space before the colon, which other parsers may ignore
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

// validHost reports whether a Host field has only allowed characters (RFC 3986, 3.2.2 and 3.2.3).
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

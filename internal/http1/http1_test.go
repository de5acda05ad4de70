package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/host"
)

const testTimeout = 20 * time.Second

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// newConnPair returns a Conn and the other end of its connection.
func newConnPair(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	h := host.System{}
	l, err := h.Listen("127.0.0.1:0")
	must(t, err)
	defer l.Close()
	nc, err := h.Dial(l.Addr().String(), time.Second, &host.Abort{})
	must(t, err)
	far, err := l.Accept()
	must(t, err)
	t.Cleanup(func() { nc.Close(); far.Close() })
	return NewConn(h, nc), far
}

func defaultLimits() Limits {
	return Limits{Deadline: time.Now().Add(testTimeout), ResponseTimeout: testTimeout, MaxBody: 1000}
}

// recordedProgress records the status lines that Progress receives.
type recordedProgress struct {
	statuses   []int
	onDeadline func() time.Time
}

func (p *recordedProgress) StatusLine(status int)      { p.statuses = append(p.statuses, status) }
func (p *recordedProgress) DeadlineReached() time.Time { return p.onDeadline() }

// net/http must read a request as this package wrote it. A line break in a field value must not start another field.
func TestAppendedRequestParses(t *testing.T) {
	t.Parallel()
	b := AppendRequest(nil, "POST", "a.example:80", "/x?y=1")
	b = AppendField(b, "X-Id", "a\r\nX-Evil: 1\nb")
	b = AppendIntField(b, "X-Num", -7)
	b = AppendBody(b, []byte("hello"))
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	must(t, err)
	body, err := io.ReadAll(r.Body)
	must(t, err)
	if r.Method != "POST" || r.Host != "a.example:80" || r.RequestURI != "/x?y=1" || r.Header.Get("X-Num") != "-7" ||
		r.Header.Get("X-Id") != "a  X-Evil: 1 b" || len(r.Header["X-Evil"]) > 0 || string(body) != "hello" {
		t.Errorf("net/http reads %+v with body %q", r, body)
	}
}

func TestReadSuccessiveResponses(t *testing.T) {
	t.Parallel()
	c, far := newConnPair(t)
	for _, a := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-a: 1\r\nx-A: 2\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: 1\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early\r\nX-A: 0\r\n\r\nHTTP/1.1 200\r\ncontent-length:4\r\nX-A:1\r\nConnection: Keep-Alive\r\n\r\nbody",
		"HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 4\n\nbody",
	} {
		_, err := io.WriteString(far, a)
		must(t, err)
		got, err := c.Read(defaultLimits())
		if err != nil || got.Status != 200 || string(got.Body) != "body" || got.Get("x-a") != "1" || got.Get("X-B") != "" || !got.Reusable {
			t.Errorf("response %q: got %+v, error %v", a, got, err)
		}
		must(t, c.Write([]byte("more"), time.Now().Add(testTimeout)))
	}
	l := defaultLimits()
	l.DiscardBody = true
	_, err := io.WriteString(far, "HTTP/1.1 204 No Content\r\n\r\n")
	must(t, err)
	if got, err := c.Read(l); err != nil || got.Status != 204 || got.Body != nil || !got.Reusable {
		t.Errorf("response without a body: got %+v, error %v", got, err)
	}
}

// A connection is not reusable if the peer closes it after the response or if data follows the response.
func TestResponsesThatPreventReuse(t *testing.T) {
	t.Parallel()
	for _, a := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: foo, close\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nxy",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\n\r\nx",
	} {
		c, far := newConnPair(t)
		_, err := io.WriteString(far, a)
		must(t, err)
		must(t, far.Close())
		if got, err := c.Read(defaultLimits()); err != nil || got.Reusable || string(got.Body) != "x" {
			t.Errorf("response %q: got %+v, error %v; want body x and not reusable", a, got, err)
		}
	}
}

func TestInvalidResponses(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 1001)
	for a, want := range map[string]error{
		"":          ErrNoResponse,
		"noise\r\n": ErrInvalidResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + long:                                     ErrInvalidResponse,
		"HTTP/1.1 200 OK\r\n\r\n" + long:                                                             ErrInvalidResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx":                                              ErrInvalidResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nxx":                        ErrInvalidResponse,
		"HTTP/1.1 101 x\r\n\r\n":                                                                     ErrInvalidResponse,
		"HTTP/1.1 100 x\r\n\r\n":                                                                     ErrNoResponse,
		strings.Repeat("HTTP/1.1 100 x\r\n\r\n", 9) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n": ErrInvalidResponse,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: aaaaaaaa\r\n", 32<<10/15+1) + "\r\n":            ErrInvalidResponse,
	} {
		c, far := newConnPair(t)
		go func() {
			io.WriteString(far, a)
			far.(*net.TCPConn).CloseWrite()
		}()
		if got, err := c.Read(defaultLimits()); !errors.Is(err, want) || got.Status != 0 {
			t.Errorf("input %.80q: got %+v, error %v; want error %v", a, got, err, want)
		}
	}
}

// A response that has begun must be complete within ResponseTimeout, even if the deadline is later.
func TestResponseTimeout(t *testing.T) {
	t.Parallel()
	c, far := newConnPair(t)
	_, err := io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Le")
	must(t, err)
	p := &recordedProgress{}
	l := defaultLimits()
	l.ResponseTimeout, l.Progress = 20*time.Millisecond, p
	if _, err := c.Read(l); !errors.Is(err, ErrInvalidResponse) || fmt.Sprint(p.statuses) != "[200]" {
		t.Errorf("error %v, reported status codes %v", err, p.statuses)
	}
}

// DeadlineReached is called at each deadline until it returns the zero time.
func TestDeadlineReachedExtendsRead(t *testing.T) {
	t.Parallel()
	for _, partial := range []string{"", "HTTP/1.1 50"} {
		c, far := newConnPair(t)
		_, err := io.WriteString(far, partial)
		must(t, err)
		asked := 0
		p := &recordedProgress{onDeadline: func() time.Time {
			if asked++; asked == 3 {
				return time.Time{}
			}
			return time.Now().Add(time.Millisecond)
		}}
		l := defaultLimits()
		l.Deadline, l.Progress = time.Now().Add(time.Millisecond), p
		if _, err := c.Read(l); !errors.Is(err, ErrTimeout) || asked != 3 {
			t.Errorf("after %q: error %v, DeadlineReached called %d times, want 3", partial, err, asked)
		}
	}
	// Without Progress, the deadline ends the read.
	c, _ := newConnPair(t)
	l := defaultLimits()
	l.Deadline = time.Now().Add(time.Millisecond)
	if _, err := c.Read(l); !errors.Is(err, ErrTimeout) {
		t.Errorf("without Progress: error %v", err)
	}
	// A response that arrives after the deadline was extended is read completely.
	c, far := newConnPair(t)
	p := &recordedProgress{onDeadline: func() time.Time {
		io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return time.Now().Add(testTimeout)
	}}
	l.Deadline, l.Progress = time.Now().Add(time.Millisecond), p
	if a, err := c.Read(l); err != nil || a.Status != 200 {
		t.Errorf("after an extended deadline: got %+v, error %v", a, err)
	}
}

func TestCloseEndsRead(t *testing.T) {
	t.Parallel()
	c, _ := newConnPair(t)
	back := make(chan error)
	go func() {
		_, err := c.Read(Limits{})
		back <- err
	}()
	must(t, c.Close())
	if err := <-back; !errors.Is(err, ErrNoResponse) || !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// textConn is a connection that delivers a text and then ends.
type textConn struct {
	net.Conn
	r io.Reader
}

func (c textConn) Read(b []byte) (int, error)    { return c.r.Read(b) }
func (textConn) SetReadDeadline(time.Time) error { return nil }

var seedResponses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 429 x\r\nRetry-After: 1\r\nContent-Length: 0\r\nconnection: CLOSE\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length:\t0 \r\n\r\n", "noise", "HTTP/1.1 200\r\nContent-Length: 1\r\n folded\r\n\r\nx",
	"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nxHTTP/1.1",
}

// FuzzAnswer checks that reading any input stays within its limits, and that a head parsed without net/http equals what
// net/http parses.
func FuzzAnswer(f *testing.F) {
	for _, a := range seedResponses {
		f.Add([]byte(a), false)
		f.Add([]byte(a), true)
	}
	f.Fuzz(func(t *testing.T, b []byte, discard bool) {
		p := &recordedProgress{}
		c := NewConn(host.System{}, textConn{r: bytes.NewReader(b)})
		a, err := c.Read(Limits{MaxBody: 100, DiscardBody: discard, Progress: p})
		switch {
		case err != nil && !errors.Is(err, ErrNoResponse) && !errors.Is(err, ErrInvalidResponse):
			t.Errorf("unexpected error %v", err)
		case err != nil && (a.Status != 0 || a.Body != nil || a.Reusable || a.Get("Retry-After") != ""):
			t.Errorf("an invalid response has content: %+v", a)
		case len(a.Body) > 100 || discard && a.Body != nil:
			t.Errorf("%d bytes of the body are kept", len(a.Body))
		case err == nil && (len(p.statuses) == 0 || p.statuses[len(p.statuses)-1] != a.Status || len(p.statuses) > maxInterimResponses+1):
			t.Errorf("reported status codes %v for a response with status %d", p.statuses, a.Status)
		}
		c = NewConn(host.System{}, textConn{r: bytes.NewReader(b)})
		c.remaining = maxHeadBytes
		h, ok := c.readPlainHead()
		if !ok {
			return
		}
		res, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if err != nil {
			t.Fatalf("plain parser: %+v; net/http: error %v", h, err)
		}
		ours := Response{rawFields: h.fields}
		if res.StatusCode != h.status || res.ContentLength != int64(h.length) || res.Close != h.close || len(res.TransferEncoding) > 0 {
			t.Errorf("plain parser: %+v; net/http: %+v", h, res)
		}
		for name := range res.Header {
			if name != "Cache-Control" && ours.Get(name) != res.Header.Get(name) { // net/http adds Cache-Control for Pragma
				t.Errorf("field %s: plain parser %q, net/http %q", name, ours.Get(name), res.Header.Get(name))
			}
		}
		rest, err := io.ReadAll(c.br)
		want := b[bytes.Index(b, []byte("\r\n\r\n"))+4:]
		if err == nil && !bytes.Equal(rest, want) {
			t.Errorf("data after the head is %q, want %q", rest, want)
		}
	})
}

package http1

import (
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/vnet"
)

// Guards against taking a late duplicate of a response, in a packet of its own, for the response to the next request. Data
// that arrives less than one round trip after a request was sent before the peer had read that request.
func TestLateDuplicateIsNotNextResponse(t *testing.T) {
	t.Parallel()
	const latency = 2 * time.Millisecond
	for _, c := range []struct {
		name  string
		delay time.Duration // between the response and its duplicate
		want  error
	}{
		{"right after the response", 600 * time.Microsecond, ErrUnsolicited},
		{"just before the next request arrives", 2*latency - 100*time.Microsecond, ErrUnsolicited},
		{"no duplicate", 0, nil},
	} {
		w := vnet.New(1, vnet.Options{Path: vnet.Quality{Latency: latency}})
		t.Cleanup(w.Close)
		const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		far := w.Machine("far")
		_, err := far.Boot(nil).Serve(":80", func(nc *vnet.Conn) {
			asked := 0
			nc.Handle(vnet.Events{Data: func() {
				nc.Discard(len(nc.Unread()))
				if asked++; asked > 1 && c.delay > 0 {
					return // the second request is never answered
				}
				nc.Send([]byte(ok))
				if c.delay > 0 {
					w.After(c.delay, func() { nc.Send([]byte(ok)) })
				}
			}})
		})
		must(t, err)
		done := false
		w.Machine("near").Boot(func(h host.Host) {
			nc, err := h.Dial("far:80", time.Second, &host.Abort{})
			if err != nil {
				t.Error(err)
				return
			}
			conn := NewConn(h, nc)
			for n := range 2 {
				if err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"), time.Time{}); err != nil {
					t.Error(err)
				}
				a, err := conn.Read(Limits{Deadline: h.Now().Add(time.Second), MaxBody: 10})
				switch {
				case n == 0 && (err != nil || !a.Reusable):
					t.Errorf("%s: first response: got %+v, error %v", c.name, a, err)
				case n == 1 && (!errors.Is(err, c.want) || c.want != nil && !errors.Is(err, ErrInvalidResponse)):
					t.Errorf("%s: second response: error %v, want %v", c.name, err, c.want)
				}
			}
			conn.Close()
			done = true
		})
		if err := w.Run(5*time.Second, nil); err != nil || !done {
			t.Errorf("%s: simulation error %v, client done %t", c.name, err, done)
		}
	}
}

// exchange sends one request and returns what is read as its response. The peer sends text in parts, each in a packet of its
// own, once it has the request. With closes it then closes the connection.
func exchange(t *testing.T, limits Limits, closes bool, parts ...string) (response Response, err error) {
	t.Helper()
	w := vnet.New(1, vnet.Options{Path: vnet.Quality{Latency: 2 * time.Millisecond}})
	t.Cleanup(w.Close)
	_, listenErr := w.Machine("far").Boot(nil).Serve(":80", func(nc *vnet.Conn) {
		nc.Handle(vnet.Events{Data: func() {
			nc.Discard(len(nc.Unread()))
			for i, part := range parts {
				w.After(time.Duration(i)*5*time.Millisecond, func() { nc.Send([]byte(part)) })
			}
			if closes {
				w.After(time.Duration(len(parts))*5*time.Millisecond, func() { nc.Close() })
			}
		}})
	})
	must(t, listenErr)
	w.Machine("near").Boot(func(h host.Host) {
		var nc net.Conn
		if nc, err = h.Dial("far:80", time.Second, &host.Abort{}); err != nil {
			return
		}
		defer nc.Close()
		c := NewConn(h, nc)
		if err = c.Write([]byte("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), time.Time{}); err == nil {
			limits.Deadline = h.Now().Add(time.Second)
			response, err = c.Read(limits)
		}
	})
	must(t, w.Run(5*time.Second, nil))
	return response, err
}

// statusLines records the status lines that are reported.
type statusLines struct{ list []int }

func (s *statusLines) StatusLine(status int)      { s.list = append(s.list, status) }
func (s *statusLines) DeadlineReached() time.Time { return time.Time{} }

// Guards against taking a copy of an earlier response, whole or cut short, for the response to the last request on a
// connection.
func TestResponseWithoutCloseOptionIsSkipped(t *testing.T) {
	t.Parallel()
	const (
		stale     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		chunked   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		confirmed = "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbusy"
	)
	for name, c := range map[string]struct {
		parts   []string
		closes  bool
		status  int
		skipped int
		err     error
	}{
		"response alone":               {parts: []string{confirmed}, status: 503},
		"response through net/http":    {parts: []string{"HTTP/1.1 503 Busy\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}, status: 503},
		"copy, then response":          {parts: []string{stale, confirmed}, status: 503, skipped: 1},
		"copies of both kinds":         {parts: []string{stale, chunked, stale, confirmed}, status: 503, skipped: 3},
		"copy and response together":   {parts: []string{stale + confirmed}, status: 503, skipped: 1},
		"copy, then the end":           {parts: []string{stale}, closes: true, skipped: 1, err: ErrNoResponse},
		"copy, then silence":           {parts: []string{stale}, skipped: 1, err: ErrTimeout},
		"copy cut short in its body":   {parts: []string{"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nok", confirmed}, closes: true, err: ErrInvalidResponse},
		"copy cut short in a field":    {parts: []string{"HTTP/1.1 200 OK\r\nX-Load: 1", confirmed}, err: ErrInvalidResponse},
		"copy cut short in its reason": {parts: []string{"HTTP/1.1 200 O", confirmed}, err: ErrInvalidResponse},
		"cut copy read by net/http":    {parts: []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Load: ", confirmed}, err: ErrInvalidResponse},
		"too many copies":              {parts: []string{strings.Repeat(stale, 20) + confirmed}, skipped: 9, err: ErrInvalidResponse},
	} {
		lines := &statusLines{}
		got, err := exchange(t, Limits{MaxBody: 100, RequireClose: true, Progress: lines}, c.closes, c.parts...)
		if !errors.Is(err, c.err) || got.Status != c.status || got.Skipped != c.skipped {
			t.Errorf("%s: status %d, %d skipped, error %v; want %d, %d, %v", name, got.Status, got.Skipped, err, c.status, c.skipped, c.err)
		}
		if want := c.status != 0; want != (len(lines.list) == 1) || want && lines.list[0] != c.status {
			t.Errorf("%s: status lines %v were reported", name, lines.list)
		}
	}
}

package http1

import (
	"errors"
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

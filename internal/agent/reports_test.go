package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A late copy of the platform's response must not acknowledge the next notices.
func TestLateCopyOfAResponseDoesNotAcknowledgeNotices(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer l.Close()
	go serveWithCopies(l)
	s := newServer(nil, l.Addr().String(), quiet())
	for n, want := range []int{http.StatusNoContent, http.StatusInternalServerError} {
		answer := httptest.NewRecorder()
		s.report(answer, httptest.NewRequest(http.MethodPost, "/reports", strings.NewReader(`{"id":"a","status":"undeliverable"}`)))
		if answer.Code != want {
			t.Errorf("request %d: status %d, want %d", n, answer.Code, want)
		}
	}
}

// serveWithCopies answers the first request with 204 and the others with 500, which comes behind a copy of the 204 on the
// first connection.
func serveWithCopies(l net.Listener) {
	for first := true; ; first = false {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer nc.Close()
			for br := bufio.NewReader(nc); ; {
				request, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				if first {
					io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
					if request, err = http.ReadRequest(br); err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
				}
				fmt.Fprintf(nc, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
			}
		}()
	}
}

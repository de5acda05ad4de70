package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	clientTimeout = 2 * time.Second // for an answer
	leastExpiry   = 300 * time.Millisecond
	mostExpiry    = 3300 * time.Millisecond
)

// submitUntil submits one message after the other until the given time, on one connection as long as it stays open.
func (r *run) submitUntil(end time.Time, client int, random *rand.Rand) {
	var nc net.Conn
	pause := calmPause
	if r.crowd {
		pause = crowdPause
	}
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("c%dm%d", client, n)
		class := []string{keyedClass, freeClass, unsafeClass}[random.IntN(3)]
		expires := leastExpiry + time.Duration(random.Int64N(int64(mostExpiry-leastExpiry)))
		r.mu.Lock()
		r.messages[id] = &message{class: class, deadline: time.Now().Add(expires)}
		r.mu.Unlock()
		nc = r.submit(nc, r.request(id, class, 1+random.IntN(destinations), expires), id)
		time.Sleep(time.Duration(random.Int64N(int64(pause))))
	}
	if nc != nil {
		nc.Close()
	}
}

// request returns the request that submits a message.
func (r *run) request(id, class string, dest int, expires time.Duration) []byte {
	body := "body of " + id
	return fmt.Appendf(nil, strings.Join([]string{
		"POST /%s HTTP/1.1", "Host: %s", "X-Trace-Id: %s", "X-Qos: %s", "X-Customer: %s", "X-Expires-In-Ms: %d", "Idempotency-Key: key-%s",
		"Envelope: dest=%d", "Content-Length: %d", "", "%s",
	}, "\r\n"), class, r.process.addr, id, class, tenant, expires.Milliseconds(), id, dest, len(body), body)
}

// submit submits a message on a connection, or on a new one if that is nil or was closed meanwhile. It returns the
// connection if it can be used again.
func (r *run) submit(nc net.Conn, request []byte, id string) net.Conn {
	began := time.Now()
	for {
		fresh := nc == nil
		if fresh {
			var err error
			if nc, err = net.DialTimeout("tcp", r.process.addr, clientTimeout); err != nil {
				r.unanswered(id, began, err)
				return nil
			}
		}
		response, err := exchange(nc, request)
		if err == nil {
			r.answered(id, response.StatusCode)
			if !response.Close {
				return nc
			}
		}
		nc.Close()
		nc = nil
		switch {
		case err == nil:
			return nil
		case fresh || errors.Is(err, os.ErrDeadlineExceeded):
			r.unanswered(id, began, err)
			return nil
		}
	}
}

// exchange sends a request and reads the response.
func exchange(nc net.Conn, request []byte) (*http.Response, error) {
	if err := nc.SetDeadline(time.Now().Add(clientTimeout)); err != nil {
		return nil, err
	}
	if _, err := nc.Write(request); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

func (r *run) answered(id string, status int) {
	if status == http.StatusAccepted {
		r.killNext.Store(false)
		r.edit(id, func(m *message) { m.accepted = true })
	}
}

// unanswered records that a request got no answer, unless a restart is the reason.
func (r *run) unanswered(id string, began time.Time, err error) {
	if !r.excused(began, time.Now()) {
		r.violation("message %s got no answer: %v", id, err)
	}
}

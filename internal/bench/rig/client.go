package rig

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Client is one connection of a client. It is used by one goroutine.
type Client struct {
	addr string
	nc   net.Conn
	br   *bufio.Reader
	out  []byte
	body string
}

// NewClient makes a client whose messages have bodies of so many bytes. It connects when it hands in.
func NewClient(addr string, body int) *Client {
	return &Client{addr: addr, body: strings.Repeat("b", body)}
}

// Patience is how long a client waits for an answer (the protocol's).
const Patience = 400 * time.Millisecond

// HandIn hands a message in, which may be delivered within expires, and returns the status, 0 for none within Patience.
func (c *Client) Submit(class string, message, dest int, expires time.Duration) (status int, again time.Duration) {
	until := time.Now().Add(Patience)
	if c.nc == nil {
		nc, err := net.DialTimeout("tcp", c.addr, Patience)
		if err != nil {
			return 0, 0
		}
		c.nc, c.br = nc, bufio.NewReaderSize(nc, 1<<10)
	}
	c.out = fmt.Appendf(c.out[:0], "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: m%d\r\nX-Qos: %s\r\nX-Customer: core\r\n"+
		"X-Expires-In-Ms: %d\r\nIdempotency-Key: k%d\r\nContent-Length: %d\r\nEnvelope: dest=%d\r\n\r\n%s",
		class, message, class, expires.Milliseconds(), message, len(c.body), dest, c.body)
	c.nc.SetDeadline(until)
	status, again, last, err := c.exchange()
	if err != nil || last {
		c.Close()
	}
	return status, again
}

// Close ends the connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// exchange writes the request and reads the answer.
func (c *Client) exchange() (status int, again time.Duration, last bool, err error) {
	if _, err = c.nc.Write(c.out); err != nil {
		return 0, 0, true, err
	}
	length := 0
	for first := true; ; first = false {
		line, err := c.br.ReadSlice('\n')
		if err != nil {
			return 0, 0, true, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case first:
			if len(line) < 12 {
				return 0, 0, true, errors.New("no status line")
			}
			if status, err = strconv.Atoi(string(line[9:12])); err != nil {
				return 0, 0, true, err
			}
			continue
		case len(line) == 0:
			_, err = c.br.Discard(length)
			return status, again, last, err
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			length, _ = strconv.Atoi(string(v))
		} else if v, ok := bytes.CutPrefix(line, []byte("Retry-After: ")); ok {
			s, _ := strconv.ParseFloat(string(v), 64)
			again = time.Duration(s * float64(time.Second))
		} else if bytes.Equal(line, []byte("Connection: close")) {
			last = true
		}
	}
}

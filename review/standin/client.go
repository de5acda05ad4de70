package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// patience is how long a client waits for an answer.
const patience = 400 * time.Millisecond

// Client hands in messages, one after the other, on one connection as long as that stays open.
type Client struct {
	Addr   string
	Record *Record
	nc     net.Conn
	br     *bufio.Reader
}

// Submission is a message that a client hands in.
type Submission struct {
	ID, Class, Key string
	Dest           int
	Expires        time.Duration
	Body           []byte
	Again          bool // a dispatcher had it that did not answer
}

// Submit hands in a message and returns the status, 0 for no answer within the client's patience.
func (c *Client) Submit(s Submission) int {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: %d\r\n",
		s.Class, s.ID, s.Class, Tenant, s.Expires.Milliseconds())
	if s.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", s.Key)
	}
	if s.Again {
		b.WriteString("X-Second-Try: again\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\nEnvelope: dest=%d\r\n\r\n", len(s.Body), s.Dest)
	b.Write(s.Body)
	began := time.Now()
	status := c.exchange(b.Bytes())
	c.Record.AddAt(began, "client: %s %s dest %d, answered %d after %v", s.ID, s.Class, s.Dest, status, time.Since(began).Round(time.Millisecond))
	return status
}

func (c *Client) exchange(request []byte) int {
	until := time.Now().Add(patience)
	for {
		fresh := c.nc == nil
		if fresh {
			nc, err := net.DialTimeout("tcp", c.Addr, time.Until(until))
			if err != nil {
				return 0
			}
			c.nc, c.br = nc, bufio.NewReader(nc)
		}
		c.nc.SetDeadline(until)
		_, err := c.nc.Write(request)
		if err == nil {
			var response *http.Response
			if response, err = http.ReadResponse(c.br, nil); err == nil {
				io.Copy(io.Discard, response.Body)
				if response.Close {
					c.Close()
				}
				return response.StatusCode
			}
		}
		c.Close()
		if fresh || !time.Now().Before(until) {
			return 0
		}
	}
}

// Close ends the connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Package badclient implements clients that misbehave: they send slowly, stop in the middle of a request, or send requests
// that can't be accepted. Tests use them against a dispatcher on a loopback address.
package badclient

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is what a bad client does on each connection.
type Behaviour int

// Behaviours.
const (
	ManyFields      Behaviour = iota // sends most of a head of very many short fields, then nothing
	ManyFieldsWhole                  // sends a complete head of very many short fields, then waits for the answer
	LongHead                         // sends a head that is longer than a server accepts
	SlowHead                         // sends a head byte by byte
	HalfBody                         // sends half of a large body, then nothing
	SlowBody                         // sends a large body in small parts
	LargeBody                        // announces and sends a body that is longer than a server accepts
	Chunked                          // sends a chunked body, whose length is not stated
	HalfHeadGone                     // sends half of a head and closes the connection
	Silent                           // sends nothing
	behaviours
)

var behaviourNames = [...]string{
	"many fields", "many fields, whole", "long head", "slow head", "half a body", "slow body", "large body", "chunked",
	"half a head, then gone", "silent",
}

// String names a behaviour.
func (b Behaviour) String() string { return behaviourNames[b] }

// All returns all behaviours.
func All() (list []Behaviour) {
	for b := range behaviours {
		list = append(list, b)
	}
	return list
}

const (
	fieldBytes   = 12 << 10 // of a head of many fields: as much as a server may accept
	longHead     = 64 << 10
	largeBody    = 60 << 10 // within the protocol's limit
	tooLargeBody = 256 << 10
	slowPart     = 64
	slowPause    = 20 * time.Millisecond
	dialTimeout  = time.Second
	retryPause   = 5 * time.Millisecond // before a closed connection is replaced
)

// Crowd is a number of clients that behave alike, each with one connection after the other.
type Crowd struct {
	Addr      string
	Behaviour Behaviour
	Clients   int
	Class     string // of the messages that they submit
	Tenant    string

	connected atomic.Int64 // connections that were established
}

// Connected returns how many connections were established so far.
func (c *Crowd) Connected() int64 { return c.connected.Load() }

// Run keeps the clients connected until ctx ends.
func (c *Crowd) Run(ctx context.Context) {
	var running sync.WaitGroup
	for n := range c.Clients {
		running.Go(func() {
			for attempt := 0; ctx.Err() == nil; attempt++ {
				c.connect(ctx, fmt.Sprintf("bad%d-%d-%d", c.Behaviour, n, attempt))
				time.Sleep(retryPause)
			}
		})
	}
	running.Wait()
}

// connect opens a connection and misbehaves on it until the server or ctx ends it.
func (c *Crowd) connect(ctx context.Context, id string) {
	nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return
	}
	c.connected.Add(1)
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	if c.send(nc, id) {
		drain(nc)
	}
}

// drain reads until the server closes the connection.
func drain(nc net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := nc.Read(buffer); err != nil {
			return
		}
	}
}

// send sends what the behaviour asks for, and reports whether the client stays.
func (c *Crowd) send(nc net.Conn, id string) (stays bool) {
	switch c.Behaviour {
	case ManyFields:
		nc.Write([]byte(c.startLine() + shortFields(fieldBytes-200)))
	case ManyFieldsWhole:
		nc.Write([]byte(c.startLine() + shortFields(fieldBytes-200) + "\r\n"))
	case LongHead:
		nc.Write([]byte(c.startLine() + "X-Long: " + strings.Repeat("l", longHead) + "\r\n\r\n"))
	case SlowHead:
		sendSlowly(nc, c.head(id, 10), 1)
	case HalfBody:
		nc.Write([]byte(c.head(id, largeBody) + strings.Repeat("b", largeBody/2)))
	case SlowBody:
		if _, err := nc.Write([]byte(c.head(id, largeBody))); err == nil {
			sendSlowly(nc, strings.Repeat("b", largeBody), slowPart)
		}
	case LargeBody:
		nc.Write([]byte(c.head(id, tooLargeBody) + strings.Repeat("b", tooLargeBody)))
	case Chunked:
		nc.Write([]byte(c.startLine() + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 1000)))
	case HalfHeadGone:
		head := c.head(id, 10)
		nc.Write([]byte(head[:len(head)/2]))
		return false
	}
	return true
}

func (c *Crowd) startLine() string {
	return "POST /" + c.Class + " HTTP/1.1\r\nHost: origin.svc\r\n"
}

// head returns the complete head of a request that submits a message.
func (c *Crowd) head(id string, length int) string {
	return c.startLine() + fmt.Sprintf("X-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: key-%s\r\n"+
		"Envelope: dest=1\r\nContent-Length: %d\r\n\r\n", id, c.Class, c.Tenant, id, length)
}

// shortFields returns header fields with different short names, of so many bytes together.
func shortFields(bytes int) string {
	var b strings.Builder
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// sendSlowly sends a text in parts with pauses between them.
func sendSlowly(nc net.Conn, text string, part int) {
	for len(text) > 0 {
		n := min(part, len(text))
		if _, err := nc.Write([]byte(text[:n])); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(slowPause)
	}
}

// Flood is one client that sends request after request on one connection, without waiting for the answers.
type Flood struct {
	Addr    string
	Request func(n int) string // the n-th request
	sent    atomic.Int64
}

// Sent returns how many requests were sent so far.
func (f *Flood) Sent() int64 { return f.sent.Load() }

// Run sends until ctx ends. A connection that ends is replaced.
func (f *Flood) Run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; {
		nc, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", f.Addr)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { nc.Close() })
		go drain(nc)
		for {
			if _, err := nc.Write([]byte(f.Request(n))); err != nil {
				break
			}
			n++
			f.sent.Add(1)
		}
		stop()
		nc.Close()
	}
}

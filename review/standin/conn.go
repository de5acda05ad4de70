package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

// server accepts connections and serves each on a goroutine of its own.
type server struct {
	l     net.Listener
	mu    sync.Mutex
	conns map[*Conn]bool
	shut  bool
}

func listen(serve func(*Conn)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{l: l, conns: map[*Conn]bool{}}
	go func() {
		for n := 1; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := newConn(nc, n)
			s.mu.Lock()
			if s.shut {
				s.mu.Unlock()
				nc.Close()
				return
			}
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				serve(c)
				c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
		}
	}()
	return s, nil
}

func (s *server) Addr() string { return s.l.Addr().String() }

func (s *server) Close() {
	s.l.Close()
	s.mu.Lock()
	s.shut = true
	for c := range s.conns {
		c.nc.Close()
	}
	s.mu.Unlock()
}

// Conn is a connection that a stand-in has accepted. A goroutine reads from it all the time, so that its end shows.
type Conn struct {
	Number int
	nc     net.Conn
	pipe   *io.PipeReader
	br     *bufio.Reader
	gone   chan struct{} // closed once the other side has ended the connection or its sending
	once   sync.Once
}

func newConn(nc net.Conn, number int) *Conn {
	pr, pw := io.Pipe()
	c := &Conn{Number: number, nc: nc, pipe: pr, br: bufio.NewReaderSize(pr, 128<<10), gone: make(chan struct{})}
	go func() {
		b := make([]byte, 64<<10)
		for {
			n, err := nc.Read(b)
			if n > 0 {
				if _, err := pw.Write(b[:n]); err != nil {
					return
				}
			}
			if err != nil {
				close(c.gone)
				pw.CloseWithError(io.EOF)
				return
			}
		}
	}()
	return c
}

// Read reads a request. first is when its first byte was seen; idle, if not nil, is stopped then.
func (c *Conn) Read(idle *time.Timer) (request *http.Request, body []byte, first time.Time, err error) {
	if _, err = c.br.Peek(1); err != nil {
		return nil, nil, first, err
	}
	first = time.Now()
	if idle != nil {
		idle.Stop()
	}
	if request, err = http.ReadRequest(c.br); err != nil {
		return nil, nil, first, err
	}
	body, err = io.ReadAll(request.Body)
	return request, body, first, err
}

// Gone reports whether the other side has ended the connection.
func (c *Conn) Gone() bool {
	select {
	case <-c.gone:
		return true
	default:
		return false
	}
}

// Ended returns a channel that is closed once the other side has ended the connection or its sending.
func (c *Conn) Ended() <-chan struct{} { return c.gone }

// WaitGone waits until the other side has ended the connection, or for a time.
func (c *Conn) WaitGone(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-c.gone:
		return true
	case <-timer.C:
		return false
	}
}

// Answer writes a whole answer.
func (c *Conn) Answer(status int, header http.Header, body []byte) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		for _, v := range values {
			fmt.Fprintf(&b, "%s: %s\r\n", name, v)
		}
	}
	if status != http.StatusNoContent {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return c.Write(b.Bytes())
}

// Write writes bytes as they stand.
func (c *Conn) Write(b []byte) error {
	_, err := c.nc.Write(b)
	return err
}

// Close ends the connection.
func (c *Conn) Close() {
	c.once.Do(func() {
		c.nc.Close()
		c.pipe.CloseWithError(io.ErrClosedPipe)
	})
}

// Reset ends the connection with a reset.
func (c *Conn) Reset() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

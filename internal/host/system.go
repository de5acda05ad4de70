package host

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// System is the real machine. Its zero value is ready for use.
type System struct{}

var _ Host = System{}

// Now is time.Now, which has a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Wall is time.Now without its monotonic reading.
func (System) Wall() time.Time { return time.Now().Round(0) }

// Go starts a goroutine.
func (System) Go(f func()) { go f() }

// AfterFunc is time.AfterFunc.
func (System) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }

// Dial dials with net.Dialer.
func (System) Dial(addr string, limit time.Duration, abort *Abort) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	abort.On(cancel)
	defer abort.On(nil)
	c, err := (&net.Dialer{Timeout: limit}).DialContext(ctx, "tcp", addr)
	switch {
	case abort.Done():
		if c != nil {
			c.Close()
		}
		return nil, fmt.Errorf("dial %s: %w", addr, ErrAborted)
	case err != nil:
		return nil, fmt.Errorf("dial: %w", err)
	}
	return c, nil
}

// Listen listens with net.ListenConfig.
func (System) Listen(addr string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// NewInbox returns an inbox that consists of a mutex and a channel.
func (System) NewInbox() Inbox { return &inbox{wake: make(chan struct{}, 1)} }

type inbox struct {
	wake chan struct{} // holds a value if there may be new values or the inbox was closed

	mu     sync.Mutex
	list   []any
	closed bool

	timer *time.Timer // reused; belongs to the goroutine in Take
}

func (b *inbox) Put(v any) bool {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return false
	}
	b.list = append(b.list, v)
	first := len(b.list) == 1
	b.mu.Unlock()
	if first {
		b.signal()
	}
	return true
}

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *inbox) Take(into []any, until time.Time) []any {
	var expired <-chan time.Time
	for {
		b.mu.Lock()
		n := len(b.list)
		into = append(into, b.list...)
		clear(b.list)
		b.list = b.list[:0]
		closed := b.closed
		b.mu.Unlock()
		if n > 0 || closed {
			return into
		}
		if !until.IsZero() && expired == nil {
			d := time.Until(until)
			if d <= 0 {
				return into
			}
			if b.timer == nil {
				b.timer = time.NewTimer(d)
			} else {
				b.timer.Reset(d)
			}
			defer b.timer.Stop()
			expired = b.timer.C
		}
		select {
		case <-b.wake:
		case <-expired:
			until = time.Unix(0, 0) // checks the list a last time, then returns
			expired = nil
		}
	}
}

func (b *inbox) Close() []any {
	b.mu.Lock()
	left := b.list
	b.closed, b.list = true, nil
	b.mu.Unlock()
	b.signal()
	return left
}

// AwaitReadable blocks until data or the end of the stream can be read from a connection, or until its read deadline, and
// reads nothing. It reports whether a read would not block. It returns false at once for a connection that can't be
// checked, such as a simulated one.
func AwaitReadable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	return err == nil && rc.Read(readReady) == nil // the caller gets an error from its own read
}

// readReady reports whether a read from a socket would return without blocking.
func readReady(fd uintptr) bool {
	for {
		var b [1]byte
		if _, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return err != syscall.EAGAIN
		}
	}
}

// Readable reports, without reading, whether data or the end of the stream can be read from a connection now. A connection
// of a simulated host has a method of that name.
func Readable(nc net.Conn) bool {
	if r, ok := nc.(interface{ Readable() bool }); ok {
		return r.Readable()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	ready := false
	err = rc.Control(func(fd uintptr) {
		ready = readReady(fd)
	})
	return ready || err != nil
}

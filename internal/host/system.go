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

// Now is time.Now, whose monotonic reading differences and deadlines go by.
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

// NewInbox makes an inbox of a mutex and a channel.
func (System) NewInbox() Inbox { return &inbox{wake: make(chan struct{}, 1)} }

type inbox struct {
	wake chan struct{} // holds a value when there may be something new

	mu     sync.Mutex
	list   []any
	closed bool

	timer *time.Timer // of the one that waits
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
			until = time.Unix(0, 0) // a last look, then back
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

// AwaitReadable blocks until something, or the end, can be read from a connection, or until its read deadline, and reads
// nothing. It tells whether there is something: at once no, where the connection can't tell, as a simulated one.
func AwaitReadable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	return err == nil && rc.Read(peeked) == nil // an error is that of the read to come
}

// peeked tells whether a read from a socket would not block.
func peeked(fd uintptr) bool {
	for {
		var b [1]byte
		if _, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return err != syscall.EAGAIN
		}
	}
}

// Readable tells, without reading, whether something, or the end, could be read from a connection now. A connection of
// a simulated host tells it by a method of that name.
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
	seen := false
	err = rc.Control(func(fd uintptr) {
		seen = peeked(fd)
	})
	return seen || err != nil
}

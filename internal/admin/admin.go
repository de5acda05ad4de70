// Package admin is how operators reach a running dispatcher: a Unix socket that only the dispatcher's own user and root
// may use. A connection carries one request, a line of JSON, and the answer to it, a line of JSON for each part; the last
// line says whether the command is through. What commands mean is the handler's.
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Errors.
var (
	ErrPath = errors.New("the path is too long for a socket") // of Listen
	ErrGone = errors.New("no dispatcher answers there")       // of Call: nothing was asked
	ErrCut  = errors.New("the answer ended early")            // of Call: what was asked may have been done
)

const (
	pathMost    = 107
	requestMost = 1 << 20
	connsMost   = 8
	requestTime = 5 * time.Second  // a request must be there within this
	replyTime   = 10 * time.Second // a line of an answer must be taken within this
)

// Handler answers one request; reply writes one line, and its error says that nobody reads on. It is called on a
// goroutine of its own; ctx ends when the server closes or the client has gone.
type Handler func(ctx context.Context, by Peer, request json.RawMessage, reply func(any) error) error

// Raw is a line of JSON that an answer holds as it is, without its end of line; several connections may write one at once.
type Raw []byte

// Peer is who asks, as the kernel says.
type Peer struct{ UID, PID int }

// end is the last line of an answer.
type end struct {
	End   bool   `json:"end"`
	Error string `json:"error,omitempty"`
}

// Server serves one socket.
type Server struct {
	l   *net.UnixListener
	log *slog.Logger

	mu    sync.Mutex
	conns map[net.Conn]context.CancelFunc
	done  sync.WaitGroup
	shut  bool
	told  time.Time // when a failed command was logged, last
}

// Listen makes the socket, mode 0600, in place of one that an earlier process has left: whoever calls owns the folder.
func Listen(path string, log *slog.Logger) (*Server, error) {
	if len(path) > pathMost {
		return nil, fmt.Errorf("%s: %w: %d bytes, %d are allowed", path, ErrPath, len(path), pathMost)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&fs.ModeSocket == 0 {
		return nil, fmt.Errorf("%s: is there and is no socket", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return &Server{l: l, log: log, conns: map[net.Conn]context.CancelFunc{}}, nil
}

// Serve answers requests until Close.
func (s *Server) Serve(h Handler) {
	for {
		c, err := s.l.AcceptUnix()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(100 * time.Millisecond) // descriptors run short: it passes
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		s.mu.Lock()
		if s.shut || len(s.conns) >= connsMost {
			s.mu.Unlock()
			cancel()
			c.Close()
			continue
		}
		s.conns[c] = cancel
		s.done.Add(1)
		s.mu.Unlock()
		go func() {
			defer s.done.Done()
			s.answer(ctx, c, h)
			cancel()
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

func (s *Server) answer(ctx context.Context, c *net.UnixConn, h Handler) {
	write := func(v any) error {
		b, raw := v.(Raw)
		if !raw {
			var err error
			if b, err = json.Marshal(v); err != nil {
				return err
			}
		}
		if err := c.SetWriteDeadline(time.Now().Add(replyTime)); err != nil {
			return err
		}
		parts := net.Buffers{b, []byte{'\n'}}
		_, err := parts.WriteTo(c)
		return err
	}
	by, err := peer(c)
	if err == nil && by.UID != 0 && by.UID != os.Geteuid() { // the mode has just been set, or was changed
		err = fmt.Errorf("user %d may not", by.UID)
	}
	var line []byte
	if err == nil {
		c.SetReadDeadline(time.Now().Add(requestTime))
		line, err = bufio.NewReader(io.LimitReader(c, requestMost)).ReadBytes('\n')
	}
	if err == nil && !json.Valid(line) {
		err = errors.New("the request is no JSON")
	}
	if err == nil {
		err = h(ctx, by, line, write)
	}
	last := end{End: true}
	if err != nil {
		last.Error = err.Error()
		s.complain(err, by)
	}
	write(last) // who has gone needs none
}

// complain logs that a command failed, once a second at most: who reads figures may ask often.
func (s *Server) complain(err error, by Peer) {
	now := time.Now()
	s.mu.Lock()
	quiet := now.Sub(s.told) < time.Second
	if !quiet {
		s.told = now
	}
	s.mu.Unlock()
	if !quiet {
		s.log.Warn("a command failed", "error", err, "uid", by.UID)
	}
}

func peer(c *net.UnixConn) (p Peer, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return p, err
	}
	ctlErr := raw.Control(func(fd uintptr) {
		var cred *syscall.Ucred
		if cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED); err == nil {
			p = Peer{UID: int(cred.Uid), PID: int(cred.Pid)}
		}
	})
	return p, errors.Join(ctlErr, err)
}

// Close ends all that is under way and removes the socket.
func (s *Server) Close() error {
	s.mu.Lock()
	s.shut = true
	for c, cancel := range s.conns {
		cancel()
		c.Close() // whoever reads can't know what was done, and gives the command again
	}
	s.mu.Unlock()
	err := s.l.Close() // it removes the socket, too
	s.done.Wait()
	return err
}

// Call asks at a socket. line is called for each part of the answer; its error ends the call. Other errors: ErrGone,
// ErrCut, or what the dispatcher says.
func Call(path string, request any, line func(json.RawMessage) error) error {
	c, err := net.DialTimeout("unix", path, requestTime)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrGone, err)
	}
	defer c.Close()
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	if _, err := c.Write(append(b, '\n')); err != nil {
		return fmt.Errorf("%w: %w", ErrCut, err)
	}
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		text, err := br.ReadBytes('\n')
		if err != nil {
			return fmt.Errorf("%w: %w", ErrCut, err)
		}
		var last end
		if json.Unmarshal(text, &last) == nil && last.End {
			if last.Error != "" {
				return errors.New(last.Error)
			}
			return nil
		}
		if err := line(text); err != nil {
			return err
		}
	}
}

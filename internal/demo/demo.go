// Package demo shows the dispatcher at work on this machine alone: stand-in partners and discovery on loopback, one of
// each trouble that they know, a few hundred messages, and the six rules judged from outside. It starts the same
// runtime as the daemon, with a configuration of its own in a temporary folder.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"curlewmux/internal/node"
)

// Messages is how many a demo hands in unless told otherwise.
const Messages = 300

const (
	traffic  = 3500 * time.Millisecond // messages are handed in over so long
	expires  = 2500 * time.Millisecond // and may be delivered for so long
	starting = 10 * time.Second        // the dispatcher must be ready within this
)

// Run plays the demo to its end, in about nine seconds, and reports what became of the messages. It writes its progress
// to progress as it goes. A rule that was broken is no error but stands in the report; errors tell that the demo could
// not be played, which ctx may cause.
func Run(ctx context.Context, messages int, progress io.Writer) (report *Report, err error) {
	begun := time.Now()
	stalls := watchStalls()
	defer stalls.end()
	say := func(format string, args ...any) {
		fmt.Fprintf(progress, "%4.1f s  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
	}
	s, err := newScene(say)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	folder, err := os.MkdirTemp("", "curlewmux-demo-")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	stop, err := startDispatcher(ctx, folder, addr, s.config(addr), progress)
	if err != nil {
		return nil, err
	}
	say("a dispatcher listens on %s; %d messages for 3 destinations, %v to live each", addr, messages, expires)

	playing, end := context.WithCancel(ctx)
	played := make(chan error, 1)
	go func() { played <- s.play(playing) }()
	sent := handIn(ctx, addr, messages)
	say("all are handed in")
	ended := s.awaitEnds(ctx, sent)
	end()
	err = <-played
	if ended {
		say("all that were taken on have ended; the dispatcher is stopped as SIGTERM would")
	}
	err = errors.Join(err, stop())
	if err = errors.Join(err, ctx.Err()); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	say("it has stopped")
	report = s.judge(sent, stalls.end())
	report.TookSeconds = time.Since(begun).Seconds()
	return report, nil
}

// startDispatcher runs a dispatcher in this process and returns when it is ready; stop ends it as SIGTERM does and
// waits. All that the demo knows of the runtime stands here.
func startDispatcher(ctx context.Context, folder, addr string, config []byte, log io.Writer) (stop func() error, err error) {
	file := filepath.Join(folder, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	state := filepath.Join(folder, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	cfg, err := node.ReadConfig(func(name string) string { // the environment itself has no part in a demo
		return map[string]string{"EDGE_CONFIG": file, "EDGE_STATE": state}[name]
	})
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	errorsOnly := slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelError}))
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan error, 1)
	go func() { done <- node.Run(running, cfg, nil, errorsOnly) }()
	stop = func() error {
		cancel()
		return <-done
	}
	limit, stopWaiting := context.WithTimeout(ctx, starting)
	defer stopWaiting()
	for !ready(limit, addr) {
		select {
		case err := <-done:
			cancel()
			return nil, fmt.Errorf("demo: the dispatcher ended: %w", err)
		case <-limit.Done():
			return nil, errors.Join(fmt.Errorf("demo: the dispatcher is not ready: %w", limit.Err()), stop())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return stop, nil
}

func ready(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// freeAddress finds a port on loopback that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	addr := l.Addr().String()
	if err := l.Close(); err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	return addr, nil
}

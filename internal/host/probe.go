package host

import (
	"fmt"
	"os"
)

// Prober is a Host that can measure how late its work is. A simulated host is never late by itself and is no Prober.
type Prober interface {
	// NewProbe returns a probe. For each Send, back runs on the probe's goroutine once everything has run that was ready
	// to run, or had data to read, at the time of Send. back must not block. An error means that the machine lacks the
	// resources.
	NewProbe(back func()) (Probe, error)
}

// Probe measures the delay of the run queue: it is queued behind all work that is ready. One goroutine uses it.
type Probe interface {
	// Send queues the probe without blocking. It must not be called again before the probe is back.
	Send()

	// Close ends the probe. One that is under way may still come back.
	Close()
}

// NewProbe returns a probe that sends a byte through a pipe. With few cores the Go runtime polls the network only when no
// goroutine is ready, so readable connections wait in no queue that could be inspected. A byte in a pipe waits behind them.
func (System) NewProbe(back func()) (Probe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("probe: %w", err)
	}
	go func() {
		defer r.Close()
		var b [1]byte
		for {
			if _, err := r.Read(b[:]); err != nil {
				return // the probe was closed
			}
			back()
		}
	}()
	return pipeProbe{w}, nil
}

type pipeProbe struct{ w *os.File }

func (p pipeProbe) Send()  { p.w.Write([]byte{0}) } // does not block, as the pipe is empty; on a closed pipe the probe does not come back
func (p pipeProbe) Close() { p.w.Close() }

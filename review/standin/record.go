// Package standin holds what the cases of the review share: stand-ins for clients, endpoints and discovery, and the
// start and end of a dispatcher as a process. All of it speaks HTTP/1.1 on loopback addresses and uses the real clock.
package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is a case's record.txt: one line for each thing that happened, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) { r.AddAt(time.Now(), format, args...) }

// AddAt writes a line for something that happened at the given time.
func (r *Record) AddAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the seconds from the start of the record to a time.
func (r *Record) Since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// Write writes a line as part of the dispatcher's log. It implements io.Writer.
func (r *Record) Write(b []byte) (int, error) {
	r.Add("  log: %s", trimLine(b))
	return len(b), nil
}

func trimLine(b []byte) []byte {
	for len(b) > 0 && b[len(b)-1] == '\n' {
		b = b[:len(b)-1]
	}
	return b
}

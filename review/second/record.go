package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	f     *os.File
	w     *bufio.Writer
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{start: time.Now(), f: f, w: bufio.NewWriter(f)}
}

func (r *record) line(what ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintln(r.w, what...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.f.Close()
}

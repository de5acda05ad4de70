package node

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/journal"
)

const testTimeout = 20 * time.Second // longest wait for any condition

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func waitFor(t *testing.T, ok func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the condition was not met in time")
		}
	}
}

// testMessage returns the message that testEnv.request submits for class unsafe and destination 3.
func testMessage(id string) engine.Message {
	return engine.Message{ID: id, Class: "unsafe", Tenant: "core", Destination: 3, Key: "key-" + id, Body: []byte("body of " + id)}
}

func inAMinute() engine.Timestamp { return engine.TimestampOf(time.Now().Add(time.Minute)) }

// writeRecords writes journal records, as an earlier process would have.
func (w *testEnv) writeRecords(records ...engine.Record) {
	w.t.Helper()
	j, _, err := journal.Open(journal.OSDir(w.dir), journal.Settings{Disk: 1e6, Owner: "n0", Random: rand.Uint64, Log: discardLog()})
	must(w.t, err)
	must(w.t, j.Append(1, records))
	_, err = j.Flush()
	must(w.t, err)
	must(w.t, j.Close())
}

// diskUse returns the disk space of a folder as the platform measures it, in blocks of 512 bytes.
func diskUse(t *testing.T, dir string) (n int64) {
	t.Helper()
	files, err := os.ReadDir(dir)
	must(t, err)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			n += (info.Size() + 511) / 512 * 512
		}
	}
	return n
}

// unreachableAddr returns an address where connections are never established, like that of a machine without network.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must(t, err)
	t.Cleanup(func() { syscall.Close(fd) })
	must(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(t, syscall.Listen(fd, 0))
	sa, err := syscall.Getsockname(fd)
	must(t, err)
	addr := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: sa.(*syscall.SockaddrInet4).Port}).String()
	for range 8 { // fill the backlog of the socket
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("the backlog of a socket can't be filled on this machine")
	return ""
}

// faultyDir is the state folder of a dispatcher in this process. Tests can make it fail or block.
type faultyDir struct {
	journal.Dir
	broken   atomic.Bool
	listGate chan struct{} // if not nil, List blocks until it is closed
}

func (d *faultyDir) List() ([]string, error) {
	if d.listGate != nil {
		<-d.listGate
	}
	return d.Dir.List()
}

func (d *faultyDir) Create(name string) (journal.File, error) {
	if d.broken.Load() {
		return nil, syscall.EIO
	}
	f, err := d.Dir.Create(name)
	return &faultyFile{f, d}, err
}

type faultyFile struct {
	journal.File
	dir *faultyDir
}

func (f *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	if f.dir.broken.Load() {
		return 0, syscall.EIO
	}
	return f.File.WriteAt(p, off)
}

// pendingRefusal is the result of a refused message whose notice is pending.
func pendingRefusal(id string) engine.PendingResult {
	m := testMessage(id)
	return engine.PendingResult{Disposition: engine.Refused, Fingerprint: m.Fingerprint()}
}

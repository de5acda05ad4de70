package vnet

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"syscall"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
)

// once boots the machine and runs f to its end, or to the end of its process.
func once(t *testing.T, w *World, m *Machine, f func(p *Process)) *Process {
	t.Helper()
	var p *Process
	p = m.Boot(func(host.Host) { f(p) })
	run(t, w, w.Now()+time.Hour, p.Dead)
	return p
}

func create(t *testing.T, p *Process, name, text string) journal.File {
	f, err := p.Folder().Create(name)
	if err != nil {
		t.Error(err)
		return nil
	}
	if _, err := f.WriteAt([]byte(text), 0); err != nil {
		t.Error(err)
	}
	return f
}

func TestTheFolderOutlastsItsProcessAndItsLockDoesNot(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, Options{})
	m := w.Machine("m")
	went := false
	p := once(t, w, m, func(p *Process) {
		if _, err := p.Folder().Lock("lock"); err != nil {
			t.Error(err)
		}
		if _, err := p.Folder().Lock("lock"); !errors.Is(err, journal.ErrLocked) {
			t.Errorf("locked twice: %v", err)
		}
		f := create(t, p, "a", "text")
		if n := p.Descriptors(); n != 2 {
			t.Errorf("%d descriptors with a file and a lock", n)
		}
		defer func() {
			f.Close()
			if _, err := f.WriteAt([]byte("late"), 0); !errors.Is(err, memdir.ErrCrashed) {
				t.Error(err)
			}
			sleep(p, 0)
			went = true
		}()
		m.Kill()
	})
	if went || p.Descriptors() != 0 {
		t.Errorf("went on %v, %d descriptors", went, p.Descriptors())
	}
	once(t, w, m, func(p *Process) {
		if _, err := p.Folder().Lock("lock"); err != nil {
			t.Error(err)
		}
		if names, err := p.Folder().List(); err != nil || fmt.Sprint(names) != "[a lock]" {
			t.Errorf("%v, %v", names, err)
		}
		f, err := p.Folder().Open("a")
		if err != nil {
			t.Error(err)
			return
		}
		defer func() {
			f.Close()
			if f.Close() == nil || p.Descriptors() != 1 {
				t.Errorf("%d descriptors with a lock", p.Descriptors())
			}
		}()
		if size, err := f.Size(); size != 4 || err != nil {
			t.Errorf("%d bytes, %v", size, err)
		}
	})
	if string(m.Disk().Read("a")) != "text" {
		t.Errorf("%q", m.Disk().Read("a"))
	}
}

func TestAPowerFailureLosesWhatWasNotSynced(t *testing.T) {
	t.Parallel()
	seen := make(map[string]int)
	for seed := range uint64(100) {
		w := New(seed, Options{})
		m := w.Machine("m")
		once(t, w, m, func(p *Process) {
			f := create(t, p, "a", strings.Repeat("s", 1024))
			if err := errors.Join(f.Sync(), p.Folder().Sync()); err != nil {
				t.Error(err)
			}
			f.WriteAt(bytes.Repeat([]byte("n"), 1024), 0)
			m.Lose()
		})
		got := m.Disk().Read("a")
		w.Close()
		if len(got) != 1024 {
			t.Fatalf("seed %d: %d bytes of 1024 synced ones", seed, len(got))
		}
		seen[string(got[:1])+string(got[1023:])]++
	}
	if len(seen) != 4 {
		t.Errorf("first and last block: %v", seen)
	}
}

func TestTheDiskFailsAsItIsTold(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, Options{})
	m := w.Machine("m")
	once(t, w, m, func(p *Process) {
		f := create(t, p, "a", "")
		m.Disk().Fault = func(op memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.EIO, WrittenBytes: 2} }
		if n, err := f.WriteAt([]byte("torn"), 0); n != 2 || !errors.Is(err, syscall.EIO) {
			t.Errorf("%d, %v", n, err)
		}
		if err := f.Sync(); !errors.Is(err, syscall.EIO) {
			t.Error(err)
		}
		m.Disk().Fault = nil
		m.Disk().SetCapacity(512)
		if n, err := f.WriteAt(make([]byte, 600), 0); n != 512 || !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%d, %v", n, err)
		}
		if _, err := p.Folder().Open("b"); !errors.Is(err, fs.ErrNotExist) {
			t.Error(err)
		}
	})
}

func TestACrashInAWriteKillsTheProcessWithTheWriteTorn(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, Options{})
	m := w.Machine("m")
	went := false
	p := once(t, w, m, func(p *Process) {
		f := create(t, p, "a", "")
		m.Disk().Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{WrittenBytes: 3, Crash: true} }
		if _, err := f.WriteAt([]byte("whole"), 0); !errors.Is(err, memdir.ErrCrashed) {
			t.Error(err)
			sleep(p, 0)
		}
		went = true // as code that takes the error for the disk's
	})
	m.Disk().Fault = nil
	if !went || p.Exited() || !p.Dead() || string(m.Disk().Read("a")) != "who" {
		t.Errorf("went on %v, exited %v, file %q", went, p.Exited(), m.Disk().Read("a"))
	}
}

func TestASlowDiskTakesTimeAndLetsOthersGoOn(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, Options{})
	m := w.Machine("m")
	m.SlowDisk(DiskTimes{Write: 50 * ms, Sync: time.Second})
	ticks := 0
	once(t, w, m, func(p *Process) {
		p.Go(func() {
			for {
				sleep(p, ms)
				ticks++
			}
		})
		f := create(t, p, "a", "")
		for range 10 {
			for what, do := range map[string]func(){
				"write": func() { f.WriteAt([]byte("x"), 0) }, "sync": func() { f.Sync() },
			} {
				start := w.Now()
				if do(); w.Now() == start {
					t.Errorf("a %s takes no time", what)
				}
			}
		}
	})
	if w.Now() < 500*ms || w.Now() > 10500*ms || ticks < int(w.Now()/ms)-1 {
		t.Errorf("at %v, %d ticks", w.Now(), ticks)
	}
}

// The journal of the daemon runs on a simulated folder, and its syncing goroutine in the simulated process: what it told
// as stored is there after each of several SIGKILLs or power failures, wherever they fall.
func TestWhatTheJournalToldAsStoredOutlastsItsProcess(t *testing.T) {
	t.Parallel()
	for _, how := range []journal.Sync{journal.SyncNone, journal.SyncAlways} {
		for seed := range uint64(30) {
			w := New(seed, Options{})
			m := w.Machine("m")
			m.SlowDisk(DiskTimes{Write: ms, Sync: 10 * ms})
			stored := 0 // messages, one in each batch
			for boot := range 5 {
				cut := time.Duration(w.net.n(200)) * ms
				var p *Process
				bad := func(err error) bool { // a killed process's files fail
					if err != nil && !p.Dead() {
						t.Errorf("sync %d, seed %d, boot %d: %v", how, seed, boot, err)
					}
					return err != nil
				}
				p = m.Boot(func(h host.Host) {
					told := h.NewInbox()
					j, state, err := journal.Open(p.Folder(), journal.Settings{
						Disk: 1 << 20, Random: w.net.next, Sync: how, Go: h.Go,
						OnStored: func(upTo engine.Batch) { told.Put(upTo) },
					})
					if bad(err) {
						return
					}
					had := len(state.Live)
					if had < stored {
						t.Errorf("sync %d, seed %d, boot %d: %d messages of %d that were stored", how, seed, boot, had, stored)
					}
					for b := engine.Batch(1); ; b++ {
						m := engine.Message{ID: fmt.Sprint(boot, "/", b), Class: "c", Body: []byte("body")}
						if bad(j.Append(b, []engine.Record{&engine.RecAccepted{Message: m, Deadline: 1 << 60}})) {
							return
						}
						upTo, err := j.Flush()
						if bad(err) {
							return
						}
						for _, v := range told.Take(nil, h.Now().Add(ms)) {
							upTo = v.(engine.Batch)
						}
						stored = max(stored, had+int(upTo))
					}
				})
				run(t, w, w.Now()+cut, nil)
				if how == journal.SyncNone {
					m.Kill()
				} else {
					m.Lose()
				}
			}
			if stored == 0 {
				t.Errorf("sync %d, seed %d: nothing was stored", how, seed)
			}
			w.Close()
		}
	}
}

package vnet

import (
	"errors"
	"io"
	"time"

	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
)

// DiskTimes are how long a machine's disk takes for an operation, at most: the time is drawn for each. 0 is no time.
type DiskTimes struct {
	Write time.Duration // a write or truncation, during which its caller waits
	Sync  time.Duration // a sync, of a file or of the folder
}

// Disk is the disk below the machine's folder, which outlasts its processes. Its Fault may be set at any time, to have
// operations fail (EIO), land in part, or crash the process; its SetRoom to have them fail with ENOSPC. Kill leaves what
// was written as it is, Lose tears what was not synced.
func (m *Machine) Disk() *memdir.Disk { return m.disk }

// SlowDisk sets how long the disk takes from now on.
func (m *Machine) SlowDisk(t DiskTimes) {
	m.slow = t
	m.w.Note("%s disk %+v", m.name, t)
}

// Folder is the machine's folder as the process sees it. Its operations are made by goroutines of the process. One in
// which the process is killed, and any after that, returns memdir.ErrCrashed: unlike a wait at a connection it does not
// end its goroutine, which may have handed over locks around it. That ends at its next wait.
func (p *Process) Folder() journal.Dir { return &folder{p: p, dir: p.m.disk.Dir()} }

type folder struct {
	p   *Process
	dir journal.Dir
}

// do makes an operation on a file, which takes up to so long, before it or behind it.
func (f *folder) do(name, file string, p []byte, most time.Duration, op func() error) (err error) {
	defer func() {
		if f.p.dead {
			recover()
			err = memdir.ErrCrashed
		}
	}()
	f.p.op(name, nil, len(p))
	early := most > 0 && f.p.w.net.n(2) == 0
	if most > 0 && !early {
		f.wait(most, name)
	}
	err = op()
	if tr := f.p.w.tr; tr != nil {
		tr.disk(f.p, name, file, p, err)
	}
	if errors.Is(err, memdir.ErrCrashed) {
		f.p.end(resets)
	}
	if early {
		f.wait(most, name)
	}
	return err
}

func (f *folder) wait(most time.Duration, why string) {
	s := &f.p.w.sched
	until := s.later(time.Duration(f.p.w.net.n(int(most) + 1)))
	for s.now < until {
		s.cur.park(until, why, nil)
	}
}

func (f *folder) List() (names []string, err error) {
	err = f.do("list", "", nil, 0, func() error {
		names, err = f.dir.List()
		return err
	})
	return names, err
}

func (f *folder) Create(name string) (journal.File, error) {
	return f.opened("create", name, f.dir.Create)
}

func (f *folder) Open(name string) (journal.File, error) { return f.opened("open", name, f.dir.Open) }

func (f *folder) Reopen(name string) (journal.File, error) {
	return f.opened("reopen", name, f.dir.Reopen)
}

func (f *folder) opened(what, name string, open func(string) (journal.File, error)) (journal.File, error) {
	out := &file{f: f, name: name}
	err := f.do(what, name, nil, 0, func() (err error) {
		out.File, err = open(name)
		return err
	})
	if err != nil {
		return nil, err
	}
	f.p.fds++
	return out, nil
}

func (f *folder) Remove(name string) error {
	return f.do("remove", name, nil, 0, func() error { return f.dir.Remove(name) })
}

func (f *folder) Sync() error { return f.do("sync", "", nil, f.p.m.slow.Sync, f.dir.Sync) }

func (f *folder) Lock(name string) (io.Closer, error) {
	out := &lock{f: f}
	err := f.do("lock", name, nil, 0, func() (err error) {
		out.Closer, err = f.dir.Lock(name)
		return err
	})
	if err != nil {
		return nil, err
	}
	f.p.fds++
	return out, nil
}

type lock struct {
	io.Closer
	f    *folder
	shut bool
}

func (l *lock) Close() error {
	l.f.closed(&l.shut)
	return l.Closer.Close()
}

// closed gives a descriptor back, once.
func (f *folder) closed(shut *bool) {
	if *shut || f.p.dead {
		return
	}
	*shut = true
	f.p.fds--
	f.p.freed()
}

type file struct {
	journal.File
	f    *folder
	name string
	shut bool
}

func (f *file) ReadAt(p []byte, off int64) (n int, err error) {
	err = f.f.do("readat", f.name, nil, 0, func() error {
		n, err = f.File.ReadAt(p, off)
		return err
	})
	return n, err
}

func (f *file) WriteAt(p []byte, off int64) (n int, err error) {
	err = f.f.do("writeat", f.name, p, f.f.p.m.slow.Write, func() error {
		n, err = f.File.WriteAt(p, off)
		return err
	})
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.f.do("truncate", f.name, nil, f.f.p.m.slow.Write, func() error { return f.File.Truncate(size) })
}

func (f *file) Sync() error { return f.f.do("sync", f.name, nil, f.f.p.m.slow.Sync, f.File.Sync) }

func (f *file) Close() error {
	f.f.closed(&f.shut)
	return f.File.Close()
}

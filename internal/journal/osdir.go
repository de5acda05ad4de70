package journal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// OSDir is an existing folder of the operating system.
type OSDir string

var _ Dir = OSDir("")

func (d OSDir) path(name string) string { return filepath.Join(string(d), name) }

func (d OSDir) List() ([]string, error) {
	files, err := os.ReadDir(string(d)) // sorted
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(files))
	for _, f := range files {
		if f.Type().IsRegular() {
			names = append(names, f.Name())
		}
	}
	return names, nil
}

func (d OSDir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d OSDir) Open(name string) (File, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d OSDir) Reopen(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (d OSDir) Remove(name string) error { return os.Remove(d.path(name)) }

func (d OSDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock uses flock, which the kernel releases when the process ends.
func (d OSDir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EINTR) {
			break
		}
	}
	if err == nil {
		return osLock{f}, nil
	}
	if errors.Is(err, syscall.EWOULDBLOCK) {
		err = fmt.Errorf("%s: %w", string(d), ErrLocked)
	}
	return nil, errors.Join(err, f.Close())
}

type osLock struct{ *os.File }

// Close unlocks the file explicitly, because a child process that is being started holds a copy of the descriptor until
// it runs its program.
func (l osLock) Close() error {
	return errors.Join(syscall.Flock(int(l.Fd()), syscall.LOCK_UN), l.File.Close())
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Sync uses fdatasync, as the times of files are not needed here. Close waits for a running Sync.
func (f osFile) Sync() error {
	rc, err := f.SyscallConn()
	if err != nil {
		return err
	}
	if e := rc.Control(func(fd uintptr) {
		for {
			if err = syscall.Fdatasync(int(fd)); !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	}); e != nil {
		return e
	}
	return os.NewSyscallError("fdatasync", err)
}

package journal

import (
	"errors"
	"io"
)

// ErrLocked is returned by Open if another process, or another Journal of this process, owns the folder.
var ErrLocked = errors.New("another process owns the journal's folder")

// Dir is the folder that holds a journal. Names are plain file names. All methods but Sync are called on the driver's
// goroutine. Errors are those of the operating system and are tested with errors.Is: fs.ErrNotExist, syscall.ENOSPC
// and so on.
type Dir interface {
	// List returns the names of all files, sorted.
	List() ([]string, error)

	// Create creates an empty file for reading and writing. The file must not exist.
	Create(name string) (File, error)

	// Open opens a file for reading.
	Open(name string) (File, error)

	// Reopen opens a file for reading and writing.
	Reopen(name string) (File, error)

	// Remove removes a file. Its space is free once it is also closed.
	Remove(name string) error

	// Sync makes the creation and removal of files survive a power failure. It is called on the syncing goroutine.
	Sync() error

	// Lock locks the folder with an empty file of that name, which is created if needed. It does not wait: it returns
	// ErrLocked if the folder has an owner. The lock ends with Close or with the process, in whatever way that ends.
	// A file that is left behind locks nothing.
	Lock(name string) (io.Closer, error)
}

// File is one file of a Dir. Sync may be called concurrently with the other methods, which are called on one
// goroutine.
type File interface {
	io.ReaderAt
	io.Closer

	// WriteAt writes at an offset. After an error any part of p may have been written.
	WriteAt(p []byte, off int64) (int, error)

	// Truncate shortens the file to a size.
	Truncate(size int64) error

	// Size returns the file's size in bytes.
	Size() (int64, error)

	// Sync makes what was written survive a power failure.
	Sync() error
}

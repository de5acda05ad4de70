// Package memdir is a folder in memory for tests and simulations. It survives a crash of the process that uses it. A
// power failure makes it lose or tear what was not synced, and its operations can be made to fail. The same calls
// with the same random numbers have the same effect.
package memdir

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
	"syscall"

	"curlewmux/internal/journal"
)

// ErrCrashed is returned by every call of a process that has crashed.
var ErrCrashed = errors.New("the process has crashed")

// blockSize is the unit that is written completely or not at all when the power fails, and in which disk use is
// counted.
const blockSize = 512

// OpKind is the kind of an Op.
type OpKind uint8

// Kinds of Op. Reading is not an Op, because it changes nothing.
const (
	Create OpKind = iota + 1
	Write
	Truncate
	Remove
	SyncFile
	SyncDir
)

func (k OpKind) String() string {
	return [...]string{"?", "create", "write", "truncate", "remove", "sync", "sync dir"}[k]
}

// Op is one operation that changes the disk.
type Op struct {
	Index int // 0 for the first one on the disk
	Kind  OpKind
	Name  string // of the file, empty for the folder
	Size  int    // bytes to be written

	disk   *Disk
	data   []byte
	offset int64 // of data, or the size to truncate to
}

// DiskAfterCrash returns a copy of the disk as it would be if the process crashed during the operation. Of a write, the
// first writtenBytes bytes are written. Any other operation is done unless writtenBytes is 0. Only Disk.Fault may call
// it.
func (op Op) DiskAfterCrash(writtenBytes int) *Disk {
	crashed := op.disk.clone()
	f := crashed.files[op.Name]
	switch {
	case op.Kind == Write:
		if f != nil {
			f.write(op.data[:min(writtenBytes, len(op.data))], op.offset)
		}
	case writtenBytes == 0:
	case op.Kind == Create:
		if f == nil {
			crashed.files[op.Name] = &inode{}
		}
	case op.Kind == Truncate:
		if f != nil {
			f.truncate(op.offset)
		}
	case op.Kind == Remove:
		delete(crashed.files, op.Name)
	case op.Kind == SyncFile:
		if f != nil {
			f.synced = slices.Clone(f.data)
		}
	case op.Kind == SyncDir:
		crashed.syncDir()
	}
	return crashed
}

// Fault says what happens instead of an operation. The zero value lets it succeed.
type Fault struct {
	Err          error // returned by the operation
	WrittenBytes int   // of a write: bytes that are written in spite of the fault
	Crash        bool  // the process crashes during the operation, after WrittenBytes bytes
}

// Disk is the disk below a folder. Its methods may be called from any goroutine.
type Disk struct {
	// Fault is called before each operation, if it is not nil. It must not call methods of the disk.
	Fault func(Op) Fault

	mu         sync.Mutex
	files      map[string]*inode
	durable    map[string]*inode // the files when the folder was last synced
	capacity   int64             // bytes that files may take, counted in blocks; 0 for no limit
	ops        int
	generation int // number of crashes so far; a handle of an earlier generation fails
	locked     bool
}

// inode is a file, which may have a name, or only open handles.
type inode struct {
	data   []byte
	synced []byte // data when it was last synced
}

func (f *inode) write(p []byte, off int64) {
	if end := int(off) + len(p); len(p) > 0 && end > len(f.data) {
		f.data = append(f.data, make([]byte, end-len(f.data))...)
	}
	copy(f.data[min(int(off), len(f.data)):], p)
}

func (f *inode) truncate(size int64) { f.data = f.data[:min(int64(len(f.data)), size)] }

// New returns an empty disk.
func New() *Disk { return &Disk{files: map[string]*inode{}, durable: map[string]*inode{}} }

// Dir returns the folder for the current process. It works until Crash or PowerFail.
func (d *Disk) Dir() journal.Dir {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &dir{d, d.generation}
}

// Ops returns the number of operations so far.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// SetCapacity sets how many bytes files may take, each rounded up to whole blocks; 0 sets no limit. A write that
// exceeds the capacity fills the disk and fails with ENOSPC.
func (d *Disk) SetCapacity(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = n
}

// Used returns the disk use of all files, each rounded up to whole blocks.
func (d *Disk) Used() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

func (d *Disk) used() (n int64) {
	for _, f := range d.files {
		n += blocks(len(f.data))
	}
	return n
}

func blocks(n int) int64 { return int64(n+blockSize-1) / blockSize * blockSize }

// Crash ends the process: its handles and locks become invalid, what it wrote stays.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
}

func (d *Disk) crash() { d.generation, d.locked = d.generation+1, false }

// PowerFail ends the process and the system below it. Each block that was not synced, and each file that was created
// or removed and not synced, is in its old or its new state. random, which returns numbers below n, decides which.
func (d *Disk) PowerFail(random func(n int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
	names := map[string]bool{}
	for name := range d.files {
		names[name] = true
	}
	for name := range d.durable {
		names[name] = true
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	for _, name := range list {
		f, durable := d.files[name], d.durable[name]
		if f != durable {
			if random(2) == 0 {
				f = durable
			}
			delete(d.files, name)
			if f != nil {
				d.files[name] = f
			}
		}
		if f != nil {
			f.tear(random)
		}
	}
	d.syncDir()
}

func (d *Disk) syncDir() { d.durable = maps.Clone(d.files) }

// tear sets the length and each block to the synced or the current one, at random.
func (f *inode) tear(random func(n int) int) {
	size := len(f.data)
	if random(2) == 0 {
		size = len(f.synced)
	}
	out := make([]byte, size)
	for at := 0; at < size; at += blockSize {
		source := f.data
		if random(2) == 0 {
			source = f.synced
		}
		if at < len(source) {
			copy(out[at:min(at+blockSize, size)], source[at:])
		}
	}
	f.data, f.synced = out, slices.Clone(out)
}

// Read returns the content of a file, or nil if it does not exist.
func (d *Disk) Read(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return append([]byte{}, f.data...)
	}
	return nil
}

// Put sets the content of a file, as if it had always been there. Nil removes the file.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if data == nil {
		delete(d.files, name)
		delete(d.durable, name)
		return
	}
	f := &inode{slices.Clone(data), slices.Clone(data)}
	d.files[name], d.durable[name] = f, f
}

// Names returns the names of all files, sorted.
func (d *Disk) Names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names()
}

func (d *Disk) names() []string {
	out := make([]string, 0, len(d.files))
	for name := range d.files {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Clone returns another disk with the same content, and with no process, fault or limit.
func (d *Disk) Clone() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clone()
}

func (d *Disk) clone() *Disk {
	out := New()
	same := map[*inode]*inode{}
	copied := func(f *inode) *inode {
		if same[f] == nil {
			same[f] = &inode{slices.Clone(f.data), slices.Clone(f.synced)}
		}
		return same[f]
	}
	for name, f := range d.files {
		out.files[name] = copied(f)
	}
	for name, f := range d.durable {
		out.durable[name] = copied(f)
	}
	return out
}

// beginOp counts an operation and returns its fault. The disk is locked.
func (d *Disk) beginOp(generation int, op Op) (Fault, error) {
	if generation != d.generation {
		return Fault{}, ErrCrashed
	}
	op.Index, op.disk = d.ops, d
	d.ops++
	if d.Fault == nil {
		return Fault{}, nil
	}
	f := d.Fault(op)
	if f.Err != nil {
		f.Err = fmt.Errorf("%s %s: %w", op.Kind, op.Name, f.Err)
	}
	return f, nil
}

// atomicOp runs an operation that is done completely or not at all. If the process crashes during it, it is done if
// WrittenBytes is not 0.
func (d *Disk) atomicOp(generation int, op Op, do func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.beginOp(generation, op)
	switch {
	case err != nil:
		return err
	case f.Crash:
		if f.WrittenBytes > 0 {
			do()
		}
		d.crash()
		return ErrCrashed
	case f.Err != nil:
		return f.Err
	}
	return do()
}

type dir struct {
	disk       *Disk
	generation int
}

func (v *dir) checkAlive() error {
	if v.generation != v.disk.generation {
		return ErrCrashed
	}
	return nil
}

func (v *dir) List() ([]string, error) {
	v.disk.mu.Lock()
	defer v.disk.mu.Unlock()
	return v.disk.names(), v.checkAlive()
}

func (v *dir) Create(name string) (f journal.File, err error) {
	err = v.disk.atomicOp(v.generation, Op{Kind: Create, Name: name}, func() error {
		if v.disk.files[name] != nil {
			return &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
		}
		n := &inode{}
		v.disk.files[name] = n
		f = &file{dir: v, name: name, inode: n}
		return nil
	})
	return f, err
}

func (v *dir) Open(name string) (journal.File, error) {
	v.disk.mu.Lock()
	defer v.disk.mu.Unlock()
	if err := v.checkAlive(); err != nil {
		return nil, err
	}
	n := v.disk.files[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{dir: v, name: name, inode: n}, nil
}

func (v *dir) Reopen(name string) (journal.File, error) { return v.Open(name) }

func (v *dir) Remove(name string) error {
	return v.disk.atomicOp(v.generation, Op{Kind: Remove, Name: name}, func() error {
		if v.disk.files[name] == nil {
			return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
		}
		delete(v.disk.files, name)
		return nil
	})
}

func (v *dir) Sync() error {
	return v.disk.atomicOp(v.generation, Op{Kind: SyncDir}, func() error {
		v.disk.syncDir()
		return nil
	})
}

func (v *dir) Lock(name string) (io.Closer, error) {
	v.disk.mu.Lock()
	defer v.disk.mu.Unlock()
	if err := v.checkAlive(); err != nil {
		return nil, err
	}
	if v.disk.locked {
		return nil, journal.ErrLocked
	}
	v.disk.locked = true
	if v.disk.files[name] == nil {
		v.disk.files[name] = &inode{}
	}
	return &lock{v, false}, nil
}

type lock struct {
	*dir
	released bool
}

func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	if l.checkAlive() == nil && !l.released {
		l.disk.locked = false
	}
	l.released = true
	return nil
}

type file struct {
	*dir
	name   string
	inode  *inode
	closed bool
}

func (f *file) checkUsable() error {
	if f.closed {
		return fs.ErrClosed
	}
	return f.checkAlive()
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if err := f.checkUsable(); err != nil {
		return 0, err
	}
	if off >= int64(len(f.inode.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.data[off:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) WriteAt(p []byte, off int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed {
		return 0, fs.ErrClosed
	}
	fault, err := f.disk.beginOp(f.generation, Op{Kind: Write, Name: f.name, Size: len(p), data: p, offset: off})
	if err != nil {
		return 0, err
	}
	n := len(p)
	if fault.Err != nil || fault.Crash {
		n = min(fault.WrittenBytes, n)
	}
	err = fault.Err
	if room := f.disk.capacity; room > 0 {
		free := room - f.disk.used() + blocks(len(f.inode.data)) - off
		if free = max(free, 0); free < int64(n) {
			n, err = int(free), &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
		}
	}
	f.inode.write(p[:n], off)
	if fault.Crash {
		f.disk.crash()
		return 0, ErrCrashed
	}
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.disk.atomicOp(f.generation, Op{Kind: Truncate, Name: f.name, offset: size}, func() error {
		if f.closed {
			return fs.ErrClosed
		}
		f.inode.truncate(size)
		return nil
	})
}

func (f *file) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(len(f.inode.data)), f.checkUsable()
}

func (f *file) Sync() error {
	return f.disk.atomicOp(f.generation, Op{Kind: SyncFile, Name: f.name}, func() error {
		if f.closed {
			return fs.ErrClosed
		}
		f.inode.synced = slices.Clone(f.inode.data)
		return nil
	})
}

func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}

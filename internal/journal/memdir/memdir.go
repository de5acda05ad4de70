// Package memdir is a folder in memory for tests and simulations: it outlasts a process that is crashed, loses or tears
// what was not synced when its power fails, and fails as it is told. The same calls with the same random numbers have the
// same effect.
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

// ErrCrashed is what every call returns once the process that made it has crashed.
var ErrCrashed = errors.New("the process has crashed")

// block is the unit that is written whole or not at all when the power fails, and that room is counted in.
const block = 512

// OpKind is the kind of an Op.
type OpKind uint8

// Kinds of Op. Reading is none: it changes nothing.
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
	Index int // 0 for the first since the disk was made
	Kind  OpKind
	Name  string // of the file, "" for the folder
	Size  int    // bytes to be written

	d    *Disk
	data []byte
	off  int64 // of data, or the size to truncate to
}

// DiskAfterCrash is a copy of the disk as the operation leaves it if the process crashes in it: a write lands up to so many
// bytes, any other operation is done unless land is 0. Only Disk.Fault may call it.
func (op Op) DiskAfterCrash(land int) *Disk {
	c := op.d.clone()
	f := c.files[op.Name]
	switch {
	case op.Kind == Write:
		if f != nil {
			f.write(op.data[:min(land, len(op.data))], op.off)
		}
	case land == 0:
	case op.Kind == Create:
		if f == nil {
			c.files[op.Name] = &inode{}
		}
	case op.Kind == Truncate:
		if f != nil {
			f.truncate(op.off)
		}
	case op.Kind == Remove:
		delete(c.files, op.Name)
	case op.Kind == SyncFile:
		if f != nil {
			f.synced = slices.Clone(f.data)
		}
	case op.Kind == SyncDir:
		c.syncDir()
	}
	return c
}

// Fault is what happens instead of an operation. Its zero value is that it succeeds.
type Fault struct {
	Err          error // returned
	WrittenBytes int   // of a write: bytes that land all the same
	Crash        bool  // the process crashes in it, after Land bytes
}

// Disk is the disk below a folder. Its methods may be called from any goroutine.
type Disk struct {
	// Fault is asked before each operation, if it is not nil. It must not call the disk.
	Fault func(Op) Fault

	mu      sync.Mutex
	files   map[string]*inode
	durable map[string]*inode // as the folder was when it was last synced
	room    int64             // bytes that files may take, counted in blocks; 0: no limit
	ops     int
	boot    int // of the process that the folder's handles belong to
	locked  bool
}

type inode struct {
	data   []byte
	synced []byte
}

func (f *inode) write(p []byte, off int64) {
	if end := int(off) + len(p); len(p) > 0 && end > len(f.data) {
		f.data = append(f.data, make([]byte, end-len(f.data))...)
	}
	copy(f.data[min(int(off), len(f.data)):], p)
}

func (f *inode) truncate(size int64) { f.data = f.data[:min(int64(len(f.data)), size)] }

// New makes an empty disk.
func New() *Disk { return &Disk{files: map[string]*inode{}, durable: map[string]*inode{}} }

// Dir is the folder as the process sees it that runs from now on, until Crash or PowerFail.
func (d *Disk) Dir() journal.Dir {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &dir{d, d.boot}
}

// Ops is how many operations there were.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// SetCapacity sets how many bytes files may take, each counted in whole blocks; 0 sets no limit. Writes that take more fail
// with ENOSPC once they have filled it.
func (d *Disk) SetCapacity(n int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.room = n
}

// Used is what the files take, each counted in whole blocks.
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

func blocks(n int) int64 { return int64(n+block-1) / block * block }

// Crash ends the process: its handles and locks go, what it wrote stays.
func (d *Disk) Crash() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crash()
}

func (d *Disk) crash() { d.boot, d.locked = d.boot+1, false }

// PowerFail ends the process and the system below it. Of what was not synced each block of a file, and each file that was
// made or removed, is as it was or as it was to be, as random numbers (below n) tell.
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
		f, old := d.files[name], d.durable[name]
		if f != old {
			if random(2) == 0 {
				f = old
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

func (f *inode) tear(random func(n int) int) {
	size := len(f.data)
	if random(2) == 0 {
		size = len(f.synced)
	}
	out := make([]byte, size)
	for at := 0; at < size; at += block {
		from := f.data
		if random(2) == 0 {
			from = f.synced
		}
		if at < len(from) {
			copy(out[at:min(at+block, size)], from[at:])
		}
	}
	f.data, f.synced = out, slices.Clone(out)
}

// Read is what a file holds, nil if it is not there.
func (d *Disk) Read(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return append([]byte{}, f.data...)
	}
	return nil
}

// Put makes a file hold something, as if it had always been there; nil removes it.
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

// Names lists the files, sorted.
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

// Clone is another disk that holds the same, with no process, fault or limit.
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

// begin counts an operation and says what becomes of it. The disk is locked.
func (d *Disk) begin(boot int, op Op) (Fault, error) {
	if boot != d.boot {
		return Fault{}, ErrCrashed
	}
	op.Index, op.d = d.ops, d
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

// simple carries out an operation that is done whole or not at all: before a crash, if Land is not 0, or not.
func (d *Disk) simple(boot int, op Op, do func() error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, err := d.begin(boot, op)
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
	d    *Disk
	boot int
}

func (v *dir) alive() error {
	if v.boot != v.d.boot {
		return ErrCrashed
	}
	return nil
}

func (v *dir) List() ([]string, error) {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	return v.d.names(), v.alive()
}

func (v *dir) Create(name string) (f journal.File, err error) {
	err = v.d.simple(v.boot, Op{Kind: Create, Name: name}, func() error {
		if v.d.files[name] != nil {
			return &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
		}
		n := &inode{}
		v.d.files[name] = n
		f = &file{dir: v, name: name, inode: n}
		return nil
	})
	return f, err
}

func (v *dir) Open(name string) (journal.File, error) {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if err := v.alive(); err != nil {
		return nil, err
	}
	n := v.d.files[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{dir: v, name: name, inode: n}, nil
}

func (v *dir) Reopen(name string) (journal.File, error) { return v.Open(name) }

func (v *dir) Remove(name string) error {
	return v.d.simple(v.boot, Op{Kind: Remove, Name: name}, func() error {
		if v.d.files[name] == nil {
			return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
		}
		delete(v.d.files, name)
		return nil
	})
}

func (v *dir) Sync() error {
	return v.d.simple(v.boot, Op{Kind: SyncDir}, func() error {
		v.d.syncDir()
		return nil
	})
}

func (v *dir) Lock(name string) (io.Closer, error) {
	v.d.mu.Lock()
	defer v.d.mu.Unlock()
	if err := v.alive(); err != nil {
		return nil, err
	}
	if v.d.locked {
		return nil, journal.ErrLocked
	}
	v.d.locked = true
	if v.d.files[name] == nil {
		v.d.files[name] = &inode{}
	}
	return &lock{v, false}, nil
}

type lock struct {
	*dir
	done bool
}

func (l *lock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	if l.alive() == nil && !l.done {
		l.d.locked = false
	}
	l.done = true
	return nil
}

type file struct {
	*dir
	name   string
	inode  *inode
	closed bool
}

func (f *file) usable() error {
	if f.closed {
		return fs.ErrClosed
	}
	return f.alive()
}

func (f *file) ReadAt(p []byte, off int64) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if err := f.usable(); err != nil {
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
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.closed {
		return 0, fs.ErrClosed
	}
	fault, err := f.d.begin(f.boot, Op{Kind: Write, Name: f.name, Size: len(p), data: p, off: off})
	if err != nil {
		return 0, err
	}
	n := len(p)
	if fault.Err != nil || fault.Crash {
		n = min(fault.WrittenBytes, n)
	}
	err = fault.Err
	if room := f.d.room; room > 0 {
		free := room - f.d.used() + blocks(len(f.inode.data)) - off
		if free = max(free, 0); free < int64(n) {
			n, err = int(free), &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
		}
	}
	f.inode.write(p[:n], off)
	if fault.Crash {
		f.d.crash()
		return 0, ErrCrashed
	}
	return n, err
}

func (f *file) Truncate(size int64) error {
	return f.d.simple(f.boot, Op{Kind: Truncate, Name: f.name, off: size}, func() error {
		if f.closed {
			return fs.ErrClosed
		}
		f.inode.truncate(size)
		return nil
	})
}

func (f *file) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return int64(len(f.inode.data)), f.usable()
}

func (f *file) Sync() error {
	return f.d.simple(f.boot, Op{Kind: SyncFile, Name: f.name}, func() error {
		if f.closed {
			return fs.ErrClosed
		}
		f.inode.synced = slices.Clone(f.inode.data)
		return nil
	})
}

func (f *file) Close() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.closed {
		return fs.ErrClosed
	}
	f.closed = true
	return nil
}

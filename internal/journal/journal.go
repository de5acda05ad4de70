// Package journal keeps what a dispatcher has taken on in a folder, so that it outlasts the process: it implements
// engine.Store.
//
// The journal is a log in segments. Records are appended to the newest one. What is still needed of the oldest is copied
// behind the newest records, a little with each Flush, and then the oldest is removed: no step grows with what is live.
// The table of what is live shares texts and bodies with the engine's messages.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"curlewmux/engine"
	"curlewmux/ledger"
)

// Settings of a journal. All but Disk may be left zero.
type Settings struct {
	Disk  int64  // bytes that the journal's files may take, each counted in whole blocks of 512; MinDisk at least
	Owner string // the dispatcher's name: segments of another one are not used; 200 bytes at most

	Sync      Sync
	SyncEvery time.Duration                   // between two syncs, for SyncInterval: more than 0
	Go        func(func())                    // runs a function on a goroutine of its own; needed to sync
	After     func(d time.Duration, f func()) // the same after a time; needed for SyncInterval
	OnStored  func(upTo engine.Batch)         // see SyncAlways; called on the syncing goroutine

	KeepLeaves bool // leaves of the books are kept; else those in the folder go

	Random func() uint64 // marks segments, so that none is taken for another; needed
	Log    *slog.Logger
}

// Sync says when what was written is made to outlast a power failure. What was written outlasts the process in any case.
type Sync uint8

const (
	// SyncNone leaves it to the system: a batch is stored once it is written.
	SyncNone Sync = iota

	// SyncInterval syncs every so often: a batch is stored once it is written.
	SyncInterval

	// SyncAlways stores a batch by syncing it. Flush does not wait for that: Stored is told later up to which batch all
	// are. When a sync fails Stored is told no more than before; the next Flush, which is to follow, then returns the
	// error, and no batch that is not stored by then ever will be.
	SyncAlways
)

// MinDisk is the least disk that a journal works with.
const MinDisk = 48 << 10

const (
	block      = 512 // the disk is counted in these
	lockName   = "journal.lock"
	leastSize  = 4 << 10 // of a segment
	mostSize   = 4 << 20
	copyFrame  = 4 << 10 // copies share frames of about this size
	stepCopies = 8 << 10 // what a Flush copies at most (half a segment, if that is less), and copyRate times what it writes
	copyRate   = 4
	stepRemove = 2 // segments that a Flush removes at most
	sweepNodes = 16
)

// Journal is a store in one folder, which it owns. One goroutine, the driver's, may call its methods.
type Journal struct {
	dir  Dir
	set  Settings
	lock io.Closer
	*table

	identity uint64
	size     int64 // segments are begun anew from here on
	alien    int64 // bytes of files that look like segments and are not this journal's
	grace    int64 // what the folder may take for now, if it was opened with more in it than Disk

	frame   uint64 // numbers of the next frame, fact and whole record
	fact    uint64
	whole   uint64
	segs    []*segment // what counts, oldest first
	head    *segment   // the last of segs, once it is this process's own
	first   uint64     // segments before this one are void
	lastSeq uint64     // the highest that any file had
	total   int64      // blocks of segs, in bytes
	most    int64      // of the largest of segs
	voids   []*segment // to be removed
	waiting int64      // blocks of all that are void and there, in bytes

	buf     []byte // what the next Flush writes
	starts  []int  // of the frames in buf
	facts   []byte // the facts in buf
	cur     flight // that is to be written with buf
	copying bool   // the last frame in buf is one for copies
	told    engine.Batch
	swept   *node // what sweep looks at next
	wall    engine.Timestamp
	pos     int64 // bytes written by this process
	echoes  echoes
	spare   spare

	syncer  syncer
	flights []flight   // written and not synced
	landed  uint64     // number of the last flight that is synced
	sure    numbers    // frames and facts before these are
	broken  error      // what was appended is not stored: the next Flush says so
	closing []*segment // complete, and perhaps not synced
	rewrite uint64     // segments up to this one are to be replaced
	kept    []*segment // void once they are
}

var _ engine.Store = (*Journal)(nil)

// segment is one file of the log.
type segment struct {
	seq   uint64
	salt  uint64
	name  string
	file  File   // nil if it is not open
	size  int64  // good bytes
	disk  int64  // bytes of the file, as far as they are known: not less than size
	torn  bool   // what is behind size can't be cut off
	flown uint64 // number of the last flight in it
}

// flight is what one Flush writes, with what takes it back.
type flight struct {
	number      uint64
	batch       engine.Batch // the last in it
	undo        int          // changes of the table before it
	fact, whole uint64       // as they were before it; so are the next four
	frame       uint64
	shift, last engine.Timestamp
	first       uint64
	near, far   int
	after       numbers // the next ones after it
	at          link
	voids       []*segment // that count no more once it is stored
	began       bool       // it began a segment
}

// State is what a journal held when it was opened.
type State struct {
	Live     []*engine.RestoredMessage // in the order in which they were taken
	Ended    []*engine.RestoredEnd
	Leaves   []ledger.Leaf // by number
	Last     engine.RestoreComplete
	Findings Findings
}

func blocks(n int64) int64 { return (n + block - 1) / block * block }

func (s *Settings) check() error {
	switch {
	case s.Disk < MinDisk:
		return fmt.Errorf("disk of %d bytes: it needs %d", s.Disk, int64(MinDisk))
	case len(s.Owner) > ownerMax:
		return fmt.Errorf("owner's name of %d bytes: %d are allowed", len(s.Owner), ownerMax)
	case s.Random == nil:
		return errors.New("Random is needed")
	case s.Sync != SyncNone && s.Go == nil:
		return errors.New("Go is needed to sync")
	case s.Sync == SyncAlways && s.OnStored == nil:
		return errors.New("Stored is needed to sync always")
	case s.Sync == SyncInterval && (s.After == nil || s.SyncEvery <= 0):
		return errors.New("After, and Every of more than 0, are needed to sync every so often")
	}
	return nil
}

// Capacity is how many messages a journal holds at least on a disk (bytes) if each has so many bytes in its texts and body.
// Ids of messages that ended and still count take their share of that, as messages without a body.
func Capacity(disk int64, size int) int {
	j := &Journal{set: Settings{Disk: disk}, size: segmentSize(disk)}
	return int(max(j.liveMost(), 0) / (nodeCost + int64(size)))
}

func segmentSize(disk int64) int64 { return min(max(disk/32, leastSize), mostSize) }

// Open takes the folder over, reads it and makes it ready for more. It fails with ErrLocked where the folder is in use,
// with ErrNewerFormat where a newer program wrote it, with ErrOtherOwner where another dispatcher did, and where it can't be read; in
// these cases it is left as it is. Damage is no error, nor is a full disk. What is in the folder stays but for files that
// count no more, unless it is of the first format: that is written anew.
func Open(dir Dir, set Settings) (_ *Journal, _ *State, err error) {
	if err := set.check(); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	lock, err := dir.Lock(lockName)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{dir: dir, set: set, lock: lock, size: segmentSize(set.Disk)}
	defer func() {
		if err != nil {
			err = errors.Join(err, j.Close())
		}
	}()
	r, err := read(dir, set.Owner, false)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.adopt(r); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if set.Sync != SyncNone {
		if err := j.syncOpened(); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	r.found.log(set.Log)
	if u := j.used() + j.reserve(0); u > set.Disk {
		set.Log.Warn("journal: the folder holds more than its disk; no message is taken on until it holds less",
			"disk", set.Disk, "used", j.used())
		j.grace = u
	}
	j.fillSpare()
	if !set.KeepLeaves {
		for _, l := range j.leaves() {
			j.forget(j.pages[l.Number])
		}
		j.keep(len(j.undo))
	}
	return j, j.list(r.found), nil
}

// adopt takes over what reading found, and writes what the first format held anew.
func (j *Journal) adopt(r *reading) error {
	j.table = r.table
	j.final = false
	j.identity, j.segs, j.first, j.alien = r.identity, r.segs, r.first, r.alien
	j.frame, j.fact, j.whole, j.lastSeq = r.frame, r.fact, r.whole, r.lastSeq
	j.sure = numbers{frame: j.frame, fact: j.fact}
	for j.identity == 0 {
		j.identity = j.set.Random()
	}
	for _, s := range j.segs {
		j.total += blocks(s.disk)
		j.most = max(j.most, s.disk)
	}
	for _, name := range r.useless {
		if err := j.dir.Remove(name); err != nil {
			j.set.Log.Warn("journal: removing a file that counts no more", "file", name, "error", err)
			j.alien += fileSize(j.dir, name)
		}
	}
	if r.found.damaged() {
		j.rewrite = j.lastSeq // the damage goes with the segments
	}
	if len(r.old) == 0 {
		return nil
	}
	j.alien += r.oldBytes // until they are gone both copies count
	for left := j.count; left > 0; left-- {
		j.copyNode(j.oldest())
		if int64(len(j.buf)) >= j.size {
			if err := j.write(); err != nil {
				return err
			}
		}
	}
	j.aside()
	j.buf = binary.AppendUvarint(append(j.buf, byte(kindFirst)), j.first) // all is there
	if err := j.write(); err != nil {
		return err
	}
	if j.set.Sync != SyncNone {
		if err := j.syncOpened(); err != nil {
			return err
		}
	}
	j.keep(len(j.undo))
	for _, name := range r.old {
		if err := j.dir.Remove(name); err != nil {
			return err
		}
	}
	j.alien -= r.oldBytes
	return nil
}

// fileSize is what a file takes, 0 if that can't be told.
func fileSize(dir Dir, name string) int64 {
	f, err := dir.Open(name)
	if err != nil {
		return 0
	}
	defer f.Close()
	n, _ := f.Size()
	return blocks(n)
}

// Close gives the folder up. What was appended and not flushed is not stored. Unless the journal does not sync, what was
// flushed is synced first; Stored is told nothing more.
func (j *Journal) Close() error {
	j.syncer.mu.Lock()
	j.syncer.closed = true
	files := j.syncer.files
	j.syncer.mu.Unlock()
	var err error
	if j.head != nil {
		j.closing = append(j.closing, j.head)
	}
	if len(j.flights) > 0 {
		for _, s := range j.closing {
			files = append(files, s.file)
		}
		err = syncAll(j.dir, files, true)
	}
	for _, s := range j.closing {
		err = errors.Join(err, s.file.Close())
	}
	j.head, j.closing = nil, nil
	return errors.Join(err, j.spare.close(), j.lock.Close())
}

// Leaf is the newest text that the journal has of a leaf, with what was appended and not flushed; nil if it has none.
func (j *Journal) Leaf(number uint64) []byte {
	if n := j.pages[number]; n != nil {
		return n.leaf.Text
	}
	return nil
}

// Tick says what the wall clock shows, after the events of a round were handled and their batches appended, so that a
// step of the clock is in a record first. Ids of messages that ended are forgotten by it. It is optional: without it
// they are by the times of attempts.
func (j *Journal) Tick(wall engine.Timestamp) { j.wall = wall }

// used is what the folder holds, as the disk is counted.
func (j *Journal) used() int64 { return j.alien + j.total + j.waiting + j.spare.size }

// reserve is what messages that are taken on leave free, so that the oldest segment can always be copied and what was
// taken has room for its end.
func (j *Journal) reserve(growth int64) int64 {
	return 2*blocks(j.size) + blocks(max(j.size, j.most, growth))
}

// liveMost is how much of the disk messages may take when copied. The rest is what makes copying cheap: a round that
// copies everything frees at least that.
func (j *Journal) liveMost() int64 { return (j.set.Disk - j.alien - 4*j.size - j.spareSize()) / 8 * 5 }

func (j *Journal) limit() int64 { return max(j.set.Disk, j.grace) }

// fresh tells whether the next write begins a segment.
func (j *Journal) fresh() bool { return j.head == nil || j.head.torn || j.head.size >= j.size }

// target is the segment that the next write goes to.
func (j *Journal) target() uint64 {
	if j.fresh() {
		return j.lastSeq + 1
	}
	return j.head.seq
}

// growth is by how much the next write lets the folder grow at most.
func (j *Journal) growth() int64 { return blocks(int64(len(j.buf))+headerCopy+headerMax) + block }

// Append encodes a batch for the next Flush. Records must not change until the batch is stored or has failed.
func (j *Journal) Append(b engine.Batch, records []engine.Record) error {
	j.settle()
	if j.broken != nil {
		return fmt.Errorf("journal: batch %d: %w", b, j.broken)
	}
	m := j.mark()
	size := j.bytes
	takes := false
	j.begin()
	for _, r := range records {
		if _, ok := r.(*engine.RecAccepted); ok {
			takes = true
		}
		if err := j.encode(r); err != nil {
			j.revert(m)
			return fmt.Errorf("journal: batch %d: %w", b, err)
		}
	}
	if takes && (j.bytes > size && j.bytes > j.liveMost() || j.spare.lost ||
		j.used()+j.growth()+j.reserve(j.growth()) > j.set.Disk) {
		j.revert(m)
		if len(j.buf) == 0 { // nobody may flush for what is refused, and that makes room
			j.flush()
		}
		return fmt.Errorf("journal: batch %d: %w", b, engine.ErrFull)
	}
	j.cur.batch = b
	return nil
}

// mark is how far buf and the table are.
type mark struct {
	undo, buf, starts, facts int
	frame, fact, whole       uint64
	near, far                int
}

func (j *Journal) mark() mark {
	return mark{len(j.undo), len(j.buf), len(j.starts), len(j.facts), j.frame, j.fact, j.whole, j.echoes.near, j.echoes.far}
}

// revert takes back what came into buf since.
func (j *Journal) revert(m mark) {
	j.back(m.undo)
	j.buf, j.starts, j.facts = j.buf[:m.buf], j.starts[:m.starts], j.facts[:m.facts]
	j.frame, j.fact, j.whole, j.copying = m.frame, m.fact, m.whole, false
	j.echoes.near, j.echoes.far = m.near, m.far
}

// begin begins a frame.
func (j *Journal) begin() {
	if len(j.buf) == 0 {
		j.cur = flight{
			undo: len(j.undo), fact: j.fact, whole: j.whole, frame: j.frame,
			shift: j.shift, last: j.last, first: j.first,
			near: j.echoes.near, far: j.echoes.far,
		}
		if n := len(j.segs); n > 0 {
			j.cur.at = link{j.segs[n-1].seq, j.segs[n-1].salt, j.segs[n-1].size}
		}
	}
	j.copying = false
	j.starts = append(j.starts, len(j.buf))
	j.buf = openFrame(j.buf)
	n := numbers{frame: j.frame, fact: j.fact, whole: j.whole}
	if j.set.Sync != SyncNone {
		n.openFrames, n.openFacts = j.frame-j.sure.frame, j.fact-j.sure.fact
	}
	j.buf = n.append(j.buf)
	j.frame++
}

// takeBack undoes a flight, the newest first.
func (j *Journal) takeBack(f *flight) {
	j.unvoid(f)
	j.back(f.undo)
	j.frame, j.fact, j.whole = f.frame, f.fact, f.whole
	j.echoes.takeBack(f)
}

// empty forgets what is in buf.
func (j *Journal) empty() {
	j.buf, j.starts, j.facts, j.cur = j.buf[:0], j.starts[:0], j.facts[:0], flight{}
}

// encode appends a record to the frame that is open and changes the table by it. Records of messages that are not live
// say nothing.
func (j *Journal) encode(r engine.Record) error {
	b := j.buf
	seq, fact := j.target(), j.fact
	find := func(id string, k kind) *node {
		n := j.live[id]
		if n != nil {
			b = binary.AppendUvarint(append(b, byte(k)), n.num)
			j.fact++
		}
		return n
	}
	switch r := r.(type) {
	case *engine.RecAccepted:
		if j.live[r.Message.ID] != nil {
			return fmt.Errorf("message %q is taken twice", r.Message.ID)
		}
		n := j.take(j.num+1, seq, &r.Message, r.Deadline)
		b = putMessage(append(b, byte(kindTaken)), n.num, &r.Message, r.Deadline)
		j.whole++
	case *engine.RecAttempts:
		b = putStamp(append(b, byte(kindAttempts)), r.At)
		b = binary.AppendUvarint(b, uint64(len(r.List)))
		for _, a := range r.List {
			num := uint64(0) // no message's
			if n := j.live[a.ID]; n != nil {
				num = n.num
				j.attempt(n, r.At, a.Zone)
			}
			b = binary.AppendVarint(binary.AppendUvarint(b, num), int64(a.Zone))
		}
		j.heard(r.At)
		j.fact++
	case *engine.RecNeverRan:
		if n := find(r.ID, kindNeverRan); n != nil {
			j.neverRan(n)
		}
	case *engine.RecState:
		if n := find(r.ID, kindState); n != nil {
			d := doubt{r.DoubtAt, r.DoubtZone, r.DoubtAt != 0 && !r.Settled}
			b = putDoubt(b, r.Tries, d)
			j.state(n, r.Tries, d)
		}
	case *engine.RecPendingResult:
		if n := find(r.ID, kindOwed); n != nil {
			owed := r.PendingResult
			b = putOwed(b, &owed)
			j.owe(n, &owed)
		}
	case *engine.RecEnded:
		if n := find(r.ID, kindEnded); n != nil {
			b = putFlag(append(b, byte(r.Disposition)), r.Until != 0)
			if r.Until != 0 {
				b = putStone(b, r.ID, r.Until, r.Fingerprint)
			}
			j.end(n, seq, r.Disposition, r.Until, r.Fingerprint)
		}
	case *engine.RecClockStep:
		b = binary.AppendVarint(append(b, byte(kindShift)), r.By)
		j.step(r.By)
		j.fact++
	case *engine.RecNoop:
		b = append(b, byte(kindMark))
	case *engine.RecLedgerLeaf:
		if len(r.Text) > ledger.MaxLeafBytes {
			return fmt.Errorf("leaf %d of %d bytes", r.Number, len(r.Text))
		}
		b = putLeaf(b, r.Number, r.Text)
		j.turn(seq, r)
	default:
		return fmt.Errorf("record of unknown type %T", r)
	}
	if j.fact > fact {
		j.facts = append(j.facts, b[len(j.buf):]...)
	}
	j.buf = b
	return nil
}

// Flush writes what was appended in one write, with some of what was written before once more: copies for the compaction
// (8 KiB, four times what was appended and one message more, at most) and echoes (twice the facts of the Flush before,
// at most in the mean). That and the removal of two segments is the most that it ever adds.
func (j *Journal) Flush() (engine.Batch, error) {
	j.settle()
	if err := j.broken; err != nil {
		j.broken = nil
		return j.told, fmt.Errorf("journal: %w", err)
	}
	return j.flush()
}

func (j *Journal) flush() (engine.Batch, error) {
	j.refillSpare()
	j.sweep()
	if len(j.kept) > 0 && j.used()+j.reserve(0) > j.limit() {
		// Syncs failed so often that there is no room to write what is live anew. A power failure now may take more than the
		// last span's; a journal that never again takes anything is worse.
		j.set.Log.Warn("journal: no room is left to keep what was void when a sync failed", "segments", len(j.kept))
		j.voids = append(j.voids, j.kept...)
		j.kept = nil
	}
	m := j.mark()
	j.echo()
	if j.wanted() {
		j.compact()
	}
	if len(j.buf) > m.buf && j.used()+j.growth() > j.limit() { // what was appended goes before
		j.unvoid(&j.cur)
		j.revert(m)
	}
	if len(j.buf) > 0 {
		last := j.cur.batch
		if err := j.write(); err != nil {
			if last == 0 { // only copies failed
				return j.told, nil
			}
			if j.settle(); j.set.Sync == SyncAlways { // nothing behind what is stored may come after all
				j.takeBackFlights()
			}
			j.broken = nil
			return j.told, fmt.Errorf("journal: %w", err)
		}
		if err := j.launch(); err != nil {
			return j.told, fmt.Errorf("journal: %w", err)
		}
	}
	j.clear()
	return j.told, nil
}

// launch hands the flight that was written to the syncing goroutine, or takes it as stored where there is none.
func (j *Journal) launch() error {
	f := j.cur
	f.after = numbers{frame: j.frame, fact: j.fact}
	j.empty()
	if f.batch > 0 && j.set.Sync != SyncAlways {
		j.told = f.batch
	}
	if j.rewrite > 0 && (len(j.segs) == 0 || j.segs[0].seq > j.rewrite) {
		j.rewrite = 0
		f.voids = append(f.voids, j.kept...)
		j.kept = nil
	}
	if j.set.Sync != SyncAlways { // it can't be taken back any more
		j.keep(len(j.undo))
		f.undo, f.far = 0, j.echoes.far
		j.echoes.trim(j.echoes.far)
	}
	if j.set.Sync == SyncNone {
		j.land(&f)
		return nil
	}
	err := j.fly(&f)
	j.head.flown = f.number
	j.flights = append(j.flights, f)
	if err != nil {
		j.settle()
		err, j.broken = j.broken, nil
	}
	return err
}

// land takes a flight as stored.
func (j *Journal) land(f *flight) {
	j.told = max(j.told, f.batch)
	j.landed, j.sure = f.number, f.after
	j.voids = append(j.voids, f.voids...)
}

// clear closes what is complete, and removes segments that count no more.
func (j *Journal) clear() {
	for len(j.closing) > 0 && j.closing[0].flown <= j.landed {
		s := j.closing[0]
		if err := s.file.Close(); err != nil {
			j.set.Log.Warn("journal: closing a segment", "segment", s.name, "error", err)
		}
		s.file = nil
		j.closing = j.closing[1:]
	}
	for range min(stepRemove, len(j.voids)) {
		s := j.voids[0]
		if s.file != nil { // being synced
			break
		}
		if err := j.dir.Remove(s.name); err != nil {
			j.set.Log.Warn("journal: removing an old segment", "segment", s.name, "error", err)
			break
		}
		j.waiting -= blocks(s.disk)
		j.voids = j.voids[1:]
	}
	if j.grace > 0 && j.used()+j.reserve(0) <= j.set.Disk {
		j.grace = 0
	}
}

// write writes buf behind the newest segment, or as the begin of a new one. With an error nothing of it counts.
func (j *Journal) write() error {
	err := j.writeOnce()
	if err != nil && noRoom(err) && j.spare.give() {
		j.set.Log.Warn("journal: the disk is full; no message is taken on until there is room again", "error", err)
		err = j.writeOnce()
	}
	if err != nil {
		j.takeBack(&j.cur)
		j.empty()
		return err
	}
	j.pos += int64(len(j.buf))
	if len(j.facts) > 0 {
		j.echoes.add(j.cur.fact, j.facts, j.head.seq, j.pos)
	}
	j.buf, j.starts, j.facts = j.buf[:0], j.starts[:0], j.facts[:0]
	return nil
}

func (j *Journal) writeOnce() error {
	if j.fresh() {
		return j.writeNew()
	}
	h := j.head
	grown := blocks(h.size+int64(len(j.buf))) - blocks(h.disk)
	if j.used()+grown > j.limit() {
		return engine.ErrFull
	}
	j.seal(j.buf, h.salt, h.size)
	if _, err := h.file.WriteAt(j.buf, h.size); err != nil {
		// What did land is cut off again, else what is written later would follow a torn record.
		if e := h.file.Truncate(h.size); e != nil {
			h.torn, h.disk = true, h.size+int64(len(j.buf))
			j.total += grown
			err = errors.Join(err, e)
		}
		return err
	}
	h.size += int64(len(j.buf))
	h.disk = h.size
	j.total += grown
	j.most = max(j.most, h.disk)
	return nil
}

// seal fills in the heads of the frames in b, which is buf, to be written at off.
func (j *Journal) seal(b []byte, salt uint64, off int64) {
	for i, s := range j.starts {
		end := len(b)
		if i+1 < len(j.starts) {
			end = j.starts[i+1]
		}
		sealFrame(b[s:end], salt, off+int64(s))
	}
}

// writeNew begins a segment with buf. It counts once it is written whole.
func (j *Journal) writeNew() error {
	h := header{
		identity: j.identity, seq: j.lastSeq + 1, salt: j.set.Random(), first: j.cur.first,
		frame: j.cur.frame, fact: j.cur.fact, whole: j.cur.whole, num: j.num,
		shift: j.cur.shift, owner: j.set.Owner, prev: j.cur.at, // as things are until all of this is there
	}
	if j.cur.last != 0 {
		h.last = j.cur.last + h.shift
	}
	b := h.append(make([]byte, 0, headerCopy+headerMax+len(j.buf)))
	at := len(b)
	b = append(b, j.buf...)
	grown := blocks(int64(len(b)))
	if j.used()+grown > j.limit() {
		return engine.ErrFull
	}
	s := &segment{seq: h.seq, salt: h.salt, name: segmentName(h.seq), disk: int64(len(b))}
	j.seal(b[at:], s.salt, int64(at))
	f, err := j.dir.Create(s.name)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(b, 0); err != nil {
		err = errors.Join(err, f.Close())
		if e := j.dir.Remove(s.name); e != nil { // it stays for now; its number is not used again
			j.lastSeq = s.seq
			j.voids = append(j.voids, s)
			j.waiting += grown
			err = errors.Join(err, e)
		}
		return err
	}
	s.file, s.size = f, int64(len(b))
	j.retire()
	j.head, j.lastSeq = s, s.seq
	j.segs = append(j.segs, s)
	j.total += grown
	j.most = max(j.most, s.disk)
	j.cur.began = true
	return nil
}

// Package journal stores accepted messages in a folder, so that they survive the end of the process. It implements
// engine.Store.
//
// The journal is a log that is split into segments. Records are appended to the newest segment. Each Flush also
// copies a bounded part of what is still needed in the oldest segments behind the newest records, and removes
// segments that hold nothing needed any more. So the work of one call does not grow with the number of live messages.
// The table of live messages shares texts and bodies with the engine's messages.
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

// Settings configure a journal. Disk and Random are required. The other fields may be left zero, except where they
// say otherwise.
type Settings struct {
	Disk  int64  // bytes that the journal's files may take, each rounded up to blocks of 512; at least MinDisk
	Owner string // name of the dispatcher, at most 200 bytes; segments of other owners are not used

	Sync      Sync
	SyncEvery time.Duration                   // interval between two syncs, for SyncInterval; more than 0
	Go        func(func())                    // runs a function on a goroutine of its own; required unless Sync is SyncNone
	After     func(d time.Duration, f func()) // runs a function on a goroutine of its own after a delay; required for SyncInterval
	OnStored  func(upTo engine.Batch)         // see SyncAlways; called on the syncing goroutine

	KeepLeaves bool // keep the leaves of the ledger; otherwise Open drops those in the folder

	Random func() uint64 // source of the numbers that tell segments and journals apart; required
	Log    *slog.Logger  // nil for none
}

// Sync says when written data is made to survive a power failure. It survives the end of the process in any case.
type Sync uint8

const (
	// SyncNone leaves syncing to the operating system: a batch is stored once it is written.
	SyncNone Sync = iota

	// SyncInterval syncs at regular intervals: a batch is stored once it is written.
	SyncInterval

	// SyncAlways stores a batch by syncing it. Flush does not wait for the sync: OnStored reports later up to which
	// batch everything is stored. When a sync fails, OnStored reports the same batch as before. The caller must then
	// call Flush, which returns the error. A batch that is not stored by then never will be.
	SyncAlways
)

// MinDisk is the smallest Settings.Disk that a journal works with.
const MinDisk = 48 << 10

const (
	blockSize         = 512 // unit in which disk use is counted
	lockName          = "journal.lock"
	minSegmentSize    = 4 << 10 // smallest size at which a segment is complete
	maxSegmentSize    = 4 << 20 // largest size at which a segment is complete
	copyFrameSize     = 4 << 10 // approximate size of a frame of copies
	copyBytesPerFlush = 8 << 10 // bytes that a Flush copies in addition to copyFactor; half a segment if that is less
	copyFactor        = 4       // bytes copied for each byte that a Flush writes
	removalsPerFlush  = 2       // segments that a Flush removes at most
	expiryScanNodes   = 16      // nodes that a Flush checks for expiry, in addition to two for each frame that it writes
)

// Journal is a store in one folder, which it owns. Its methods must be called from one goroutine, the driver's.
type Journal struct {
	dir      Dir
	settings Settings
	lock     io.Closer
	*table

	identity     uint64
	segmentSize  int64 // a segment of this size is complete, and the next write creates another one
	foreignBytes int64 // disk use of files in the folder that are not part of the log
	graceLimit   int64 // limit in place of Disk while the folder that was opened exceeds Disk, else 0

	nextFrame      uint64     // number of the next frame
	nextFact       uint64     // number of the next fact
	nextFull       uint64     // number of the next full record
	segments       []*segment // segments in use, oldest first
	newest         *segment   // last of segments if this process created it, else nil
	firstSeq       uint64     // segments before this one are obsolete
	lastSeq        uint64     // highest sequence number of any file
	segmentBytes   int64      // disk use of segments, in whole blocks
	largestSegment int64      // size of the largest of segments
	obsolete       []*segment // obsolete segments still to be removed
	obsoleteBytes  int64      // disk use of all obsolete segments that still exist, in whole blocks

	buf          []byte           // frames that the next Flush writes
	frameStarts  []int            // offsets of the frames in buf
	bufFacts     []byte           // encoded facts in buf
	current      pendingWrite     // the write that buf becomes
	copying      bool             // the last frame in buf is for copies
	storedBatch  engine.Batch     // last batch that is known to be stored
	expiryCursor *node            // next node that forgetExpired checks
	wallTime     engine.Timestamp // set by Tick, 0 before
	bytesWritten int64            // bytes written by this process
	repeats      repeatQueue
	spare        spare

	syncer        syncer
	pendingWrites []pendingWrite // written and not synced
	syncedWrite   uint64         // number of the last write that is synced
	synced        counters       // frames and facts before these numbers are synced
	failure       error          // appended batches were not stored: the next Flush returns this error
	retired       []*segment     // complete segments, perhaps not synced
	rewriteUpTo   uint64         // segments up to this one are to be replaced by copies
	heldObsolete  []*segment     // segments that become obsolete once that is done
}

var _ engine.Store = (*Journal)(nil)

// segment is one file of the log.
type segment struct {
	seq       uint64
	salt      uint64
	name      string
	file      File   // nil if it is not open
	validSize int64  // size of the part that holds valid frames
	diskSize  int64  // size of the file as far as it is known, at least validSize
	torn      bool   // a failed write behind validSize could not be truncated
	lastWrite uint64 // number of the last write to this segment
}

// pendingWrite is what one Flush writes, with the state that is needed to undo it.
type pendingWrite struct {
	number                uint64
	batch                 engine.Batch     // last batch in it
	undo                  int              // length of table.undo before it
	fact, full            uint64           // next numbers before it
	frame                 uint64           // next number before it
	shift, last           engine.Timestamp // of the table before it
	firstSeq              uint64           // of the journal before it
	nextFirst, nextSecond int              // positions in the repeat queue before it
	next                  counters         // next numbers after it
	previous              segmentLink      // end of the newest segment before it
	obsolete              []*segment       // segments that become obsolete once it is stored
	newSegment            bool             // it created a segment
}

// State is what a journal held when it was opened.
type State struct {
	Live     []*engine.RestoredMessage // in the order in which they were accepted
	Ended    []*engine.RestoredEnd
	Leaves   []ledger.Leaf // sorted by number
	Last     engine.RestoreComplete
	Findings Findings
}

// blocks rounds a size up to whole blocks.
func blocks(n int64) int64 { return (n + blockSize - 1) / blockSize * blockSize }

func (s *Settings) check() error {
	switch {
	case s.Disk < MinDisk:
		return fmt.Errorf("disk of %d bytes: at least %d are needed", s.Disk, int64(MinDisk))
	case len(s.Owner) > maxOwnerBytes:
		return fmt.Errorf("owner's name of %d bytes: at most %d are allowed", len(s.Owner), maxOwnerBytes)
	case s.Random == nil:
		return errors.New("Random is required")
	case s.Sync != SyncNone && s.Go == nil:
		return errors.New("Go is required to sync")
	case s.Sync == SyncAlways && s.OnStored == nil:
		return errors.New("OnStored is required for SyncAlways")
	case s.Sync == SyncInterval && (s.After == nil || s.SyncEvery <= 0):
		return errors.New("After and a positive SyncEvery are required for SyncInterval")
	}
	return nil
}

// Capacity returns how many messages a journal with this disk limit holds at least, if the texts and the body of each
// have size bytes in total. Ids of ended messages that are still kept count as messages without a body.
func Capacity(disk int64, size int) int {
	j := &Journal{settings: Settings{Disk: disk}, segmentSize: segmentSize(disk)}
	return int(max(j.maxLiveBytes(), 0) / (nodeCost + int64(size)))
}

func segmentSize(disk int64) int64 { return min(max(disk/32, minSegmentSize), maxSegmentSize) }

// Open locks the folder, reads it and prepares it for appending. It fails with ErrLocked if the folder is in use,
// with ErrNewerFormat if a newer program wrote it, with ErrOtherOwner if another dispatcher wrote it, and if it can't
// be read. In these cases the folder is not changed. Damage and a full disk are not errors. Files are kept, except
// for obsolete ones and those of the first format, whose content is written again in the current format.
func Open(dir Dir, settings Settings) (_ *Journal, _ *State, err error) {
	if err := settings.check(); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	lock, err := dir.Lock(lockName)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{dir: dir, settings: settings, lock: lock, segmentSize: segmentSize(settings.Disk)}
	defer func() {
		if err != nil {
			err = errors.Join(err, j.Close())
		}
	}()
	result, err := readFolder(dir, settings.Owner, false)
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.adopt(result); err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	if settings.Sync != SyncNone {
		if err := j.syncExisting(); err != nil {
			return nil, nil, fmt.Errorf("journal: %w", err)
		}
	}
	result.findings.log(settings.Log)
	if needed := j.used() + j.reserve(0); needed > settings.Disk {
		settings.Log.Warn("journal: the folder exceeds its disk limit; no message is accepted until it is within it",
			"disk", settings.Disk, "used", j.used())
		j.graceLimit = needed
	}
	j.fillSpare()
	if !settings.KeepLeaves {
		for _, l := range j.leaves() {
			j.forget(j.leafNodes[l.Number])
		}
		j.discardUndo(len(j.undo))
	}
	return j, j.toState(result.findings), nil
}

// adopt takes over the result of reading the folder, and writes content of the first format in the current one.
func (j *Journal) adopt(result *recovery) error {
	j.table = result.table
	j.noUndo = false
	j.identity, j.segments, j.firstSeq, j.foreignBytes = result.identity, result.segments, result.firstSeq, result.foreignBytes
	j.nextFrame, j.nextFact, j.nextFull, j.lastSeq = result.nextFrame, result.nextFact, result.nextFull, result.lastSeq
	j.synced = counters{frame: j.nextFrame, fact: j.nextFact}
	for j.identity == 0 {
		j.identity = j.settings.Random()
	}
	for _, s := range j.segments {
		j.segmentBytes += blocks(s.diskSize)
		j.largestSegment = max(j.largestSegment, s.diskSize)
	}
	for _, name := range result.obsolete {
		if err := j.dir.Remove(name); err != nil {
			j.settings.Log.Warn("journal: removing an obsolete file", "file", name, "error", err)
			j.foreignBytes += fileSize(j.dir, name)
		}
	}
	if result.findings.isDamaged() {
		j.rewriteUpTo = j.lastSeq // the damaged segments are removed once their content is copied
	}
	if len(result.v1Files) == 0 {
		return nil
	}
	j.foreignBytes += result.v1Bytes // both copies exist until the old files are removed
	for left := j.count; left > 0; left-- {
		j.copyNode(j.oldest())
		if int64(len(j.buf)) >= j.segmentSize {
			if err := j.write(); err != nil {
				return err
			}
		}
	}
	j.beginCopyFrame()
	j.buf = binary.AppendUvarint(append(j.buf, byte(kindFirstSegment)), j.firstSeq) // all of it is copied
	if err := j.write(); err != nil {
		return err
	}
	if j.settings.Sync != SyncNone {
		if err := j.syncExisting(); err != nil {
			return err
		}
	}
	j.discardUndo(len(j.undo))
	for _, name := range result.v1Files {
		if err := j.dir.Remove(name); err != nil {
			return err
		}
	}
	j.foreignBytes -= result.v1Bytes
	return nil
}

// fileSize returns the disk use of a file, or 0 if it can't be determined.
func fileSize(dir Dir, name string) int64 {
	f, err := dir.Open(name)
	if err != nil {
		return 0
	}
	defer f.Close()
	n, _ := f.Size()
	return blocks(n)
}

// Close releases the folder. Batches that were appended and not flushed are not stored. Unless Sync is SyncNone,
// flushed batches are synced first. OnStored is not called for them.
func (j *Journal) Close() error {
	j.syncer.mu.Lock()
	j.syncer.closed = true
	files := j.syncer.files
	j.syncer.mu.Unlock()
	var err error
	if j.newest != nil {
		j.retired = append(j.retired, j.newest)
	}
	if len(j.pendingWrites) > 0 {
		for _, s := range j.retired {
			files = append(files, s.file)
		}
		err = syncAll(j.dir, files, true)
	}
	for _, s := range j.retired {
		err = errors.Join(err, s.file.Close())
	}
	j.newest, j.retired = nil, nil
	return errors.Join(err, j.spare.close(), j.lock.Close())
}

// Leaf returns the newest text of a leaf, including appended batches that are not flushed, or nil if there is none.
func (j *Journal) Leaf(number uint64) []byte {
	if leafNode := j.leafNodes[number]; leafNode != nil {
		return leafNode.leaf.Text
	}
	return nil
}

// Tick sets the time of the wall clock. It is called after the events of a round were handled and their batches
// appended, so that a step of the clock is recorded first. Ids of ended messages expire by this time. Calling it is
// optional: without it they expire by the times of attempts.
func (j *Journal) Tick(wall engine.Timestamp) { j.wallTime = wall }

// used returns the disk use of the folder.
func (j *Journal) used() int64 {
	return j.foreignBytes + j.segmentBytes + j.obsoleteBytes + j.spare.size
}

// reserve returns the space that new messages must leave free, so that the oldest segment can always be copied and
// accepted messages can always be ended. growth is the size of the write that is to be checked, or 0.
func (j *Journal) reserve(growth int64) int64 {
	return 2*blocks(j.segmentSize) + blocks(max(j.segmentSize, j.largestSegment, growth))
}

// maxLiveBytes returns how many bytes the copies of all messages may take. The rest of the disk keeps compaction cheap:
// a round that copies everything frees at least that much.
func (j *Journal) maxLiveBytes() int64 {
	return (j.settings.Disk - j.foreignBytes - 4*j.segmentSize - j.spareSize()) / 8 * 5
}

// diskLimit returns the limit of the disk use at present.
func (j *Journal) diskLimit() int64 { return max(j.settings.Disk, j.graceLimit) }

// needsNewSegment reports whether the next write creates a segment.
func (j *Journal) needsNewSegment() bool {
	return j.newest == nil || j.newest.torn || j.newest.validSize >= j.segmentSize
}

// targetSegment returns the segment that the next write goes to.
func (j *Journal) targetSegment() uint64 {
	if j.needsNewSegment() {
		return j.lastSeq + 1
	}
	return j.newest.seq
}

// growth returns how many bytes the next write adds to the folder at most.
func (j *Journal) growth() int64 {
	return blocks(int64(len(j.buf))+headerCopyOffset+maxHeaderSize) + blockSize
}

// Append encodes a batch for the next Flush. The records must not change until the batch is stored or has failed.
func (j *Journal) Append(b engine.Batch, records []engine.Record) error {
	j.applySyncResults()
	if j.failure != nil {
		return fmt.Errorf("journal: batch %d: %w", b, j.failure)
	}
	m := j.checkpoint()
	liveBefore := j.liveBytes
	accepts := false
	j.beginFrame()
	for _, r := range records {
		if _, ok := r.(*engine.RecAccepted); ok {
			accepts = true
		}
		if err := j.encode(r); err != nil {
			j.revertTo(m)
			return fmt.Errorf("journal: batch %d: %w", b, err)
		}
	}
	if accepts && (j.liveBytes > liveBefore && j.liveBytes > j.maxLiveBytes() || j.spare.missing ||
		j.used()+j.growth()+j.reserve(j.growth()) > j.settings.Disk) {
		j.revertTo(m)
		if len(j.buf) == 0 { // a caller might not flush after a refusal, and a flush makes room
			j.flush()
		}
		return fmt.Errorf("journal: batch %d: %w", b, engine.ErrFull)
	}
	j.current.batch = b
	return nil
}

// checkpoint is a state of buf and of the table that revertTo goes back to.
type checkpoint struct {
	undo, buf, frameStarts, facts int
	frame, fact, full             uint64
	nextFirst, nextSecond         int
}

// checkpoint returns the current state of buf and of the table.
func (j *Journal) checkpoint() checkpoint {
	return checkpoint{len(j.undo), len(j.buf), len(j.frameStarts), len(j.bufFacts), j.nextFrame, j.nextFact, j.nextFull, j.repeats.nextFirst, j.repeats.nextSecond}
}

// revertTo removes everything that was added to buf and the table since the checkpoint.
func (j *Journal) revertTo(m checkpoint) {
	j.undoTo(m.undo)
	j.buf, j.frameStarts, j.bufFacts = j.buf[:m.buf], j.frameStarts[:m.frameStarts], j.bufFacts[:m.facts]
	j.nextFrame, j.nextFact, j.nextFull, j.copying = m.frame, m.fact, m.full, false
	j.repeats.nextFirst, j.repeats.nextSecond = m.nextFirst, m.nextSecond
}

// beginFrame starts a frame at the end of buf.
func (j *Journal) beginFrame() {
	if len(j.buf) == 0 {
		j.current = pendingWrite{
			undo: len(j.undo), fact: j.nextFact, full: j.nextFull, frame: j.nextFrame,
			shift: j.shift, last: j.last, firstSeq: j.firstSeq,
			nextFirst: j.repeats.nextFirst, nextSecond: j.repeats.nextSecond,
		}
		if n := len(j.segments); n > 0 {
			j.current.previous = segmentLink{j.segments[n-1].seq, j.segments[n-1].salt, j.segments[n-1].validSize}
		}
	}
	j.copying = false
	j.frameStarts = append(j.frameStarts, len(j.buf))
	j.buf = appendFrameHeader(j.buf)
	n := counters{frame: j.nextFrame, fact: j.nextFact, full: j.nextFull}
	if j.settings.Sync != SyncNone {
		n.unsyncedFrames, n.unsyncedFacts = j.nextFrame-j.synced.frame, j.nextFact-j.synced.fact
	}
	j.buf = n.append(j.buf)
	j.nextFrame++
}

// undoWrite undoes a write. Writes are undone newest first.
func (j *Journal) undoWrite(f *pendingWrite) {
	j.restoreObsolete(f)
	j.undoTo(f.undo)
	j.nextFrame, j.nextFact, j.nextFull = f.frame, f.fact, f.full
	j.repeats.undoWrite(f)
}

// clearBuffer discards the content of buf.
func (j *Journal) clearBuffer() {
	j.buf, j.frameStarts, j.bufFacts, j.current = j.buf[:0], j.frameStarts[:0], j.bufFacts[:0], pendingWrite{}
}

// encode appends a record to the open frame and applies it to the table. Records about messages that are not live
// have no effect.
func (j *Journal) encode(r engine.Record) error {
	b := j.buf
	seq, fact := j.targetSegment(), j.nextFact
	find := func(id string, k kind) *node {
		n := j.live[id]
		if n != nil {
			b = binary.AppendUvarint(append(b, byte(k)), n.num)
			j.nextFact++
		}
		return n
	}
	switch r := r.(type) {
	case *engine.RecAccepted:
		if j.live[r.Message.ID] != nil {
			return fmt.Errorf("message %q is accepted twice", r.Message.ID)
		}
		n := j.accept(j.num+1, seq, &r.Message, r.Deadline)
		b = putMessage(append(b, byte(kindAccepted)), n.num, &r.Message, r.Deadline)
		j.nextFull++
	case *engine.RecAttempts:
		b = putTimestamp(append(b, byte(kindAttempts)), r.At)
		b = binary.AppendUvarint(b, uint64(len(r.List)))
		for _, a := range r.List {
			num := uint64(0) // no message has this number
			if n := j.live[a.ID]; n != nil {
				num = n.num
				j.addAttempt(n, r.At, a.Zone)
			}
			b = binary.AppendVarint(binary.AppendUvarint(b, num), int64(a.Zone))
		}
		j.recordTime(r.At)
		j.nextFact++
	case *engine.RecNeverRan:
		if n := find(r.ID, kindNeverRan); n != nil {
			j.neverRan(n)
		}
	case *engine.RecState:
		if n := find(r.ID, kindState); n != nil {
			d := doubt{r.DoubtAt, r.DoubtZone, r.DoubtAt != 0 && !r.Settled}
			b = putDoubt(b, r.Tries, d)
			j.setState(n, r.Tries, d)
		}
	case *engine.RecPendingResult:
		if n := find(r.ID, kindPending); n != nil {
			pending := r.PendingResult
			b = putPending(b, &pending)
			j.setPending(n, &pending)
		}
	case *engine.RecEnded:
		if n := find(r.ID, kindEnded); n != nil {
			b = putFlag(append(b, byte(r.Disposition)), r.Until != 0)
			if r.Until != 0 {
				b = putTombstone(b, r.ID, r.Until, r.Fingerprint)
			}
			j.end(n, seq, r.Disposition, r.Until, r.Fingerprint)
		}
	case *engine.RecClockStep:
		b = binary.AppendVarint(append(b, byte(kindClockStep)), r.By)
		j.stepClock(r.By)
		j.nextFact++
	case *engine.RecNoop:
		b = append(b, byte(kindNoop))
	case *engine.RecLedgerLeaf:
		if len(r.Text) > ledger.MaxLeafBytes {
			return fmt.Errorf("leaf %d is too long: %d bytes", r.Number, len(r.Text))
		}
		b = putLeaf(b, r.Number, r.Text)
		j.setLeaf(seq, r)
	default:
		return fmt.Errorf("record of unknown type %T", r)
	}
	if j.nextFact > fact {
		j.bufFacts = append(j.bufFacts, b[len(j.buf):]...)
	}
	j.buf = b
	return nil
}

// Flush writes what was appended with one write. It adds copies for the compaction (at most 8 KiB, four times what
// was appended and one message) and repeats facts (on average at most twice the facts of the previous Flush). It
// removes two segments at most.
func (j *Journal) Flush() (engine.Batch, error) {
	j.applySyncResults()
	if err := j.failure; err != nil {
		j.failure = nil
		return j.storedBatch, fmt.Errorf("journal: %w", err)
	}
	return j.flush()
}

func (j *Journal) flush() (engine.Batch, error) {
	removed := j.cleanUp(removalsPerFlush) // the write may need the room of segments that a sync has made obsolete
	j.refillSpare()
	j.forgetExpired()
	if len(j.heldObsolete) > 0 && j.used()+j.reserve(0) > j.diskLimit() {
		// Syncs failed so often that there is no room to copy all live content. After this a power failure may lose
		// more than was written since the last sync. That is better than a journal that never accepts a message
		// again.
		j.settings.Log.Warn("journal: no room is left to keep what was void when a sync failed", "segments", len(j.heldObsolete))
		j.obsolete = append(j.obsolete, j.heldObsolete...)
		j.heldObsolete = nil
	}
	m := j.checkpoint()
	j.appendRepeats()
	if j.shouldCompact() {
		j.compact()
	}
	if len(j.buf) > m.buf && j.used()+j.growth() > j.diskLimit() { // appended batches take precedence over copies
		j.restoreObsolete(&j.current)
		j.revertTo(m)
	}
	if len(j.buf) > 0 {
		last := j.current.batch
		if err := j.write(); err != nil {
			if last == 0 { // only copies failed
				return j.storedBatch, nil
			}
			if j.applySyncResults(); j.settings.Sync == SyncAlways { // no batch after the stored ones may become stored later
				j.undoPendingWrites()
			}
			j.failure = nil
			return j.storedBatch, fmt.Errorf("journal: %w", err)
		}
		if err := j.finishWrite(); err != nil {
			return j.storedBatch, fmt.Errorf("journal: %w", err)
		}
	}
	j.cleanUp(removalsPerFlush - removed)
	return j.storedBatch, nil
}

// finishWrite hands the finished write to the syncing goroutine, or marks it as stored if the journal does not sync.
func (j *Journal) finishWrite() error {
	pending := j.current
	pending.next = counters{frame: j.nextFrame, fact: j.nextFact}
	j.clearBuffer()
	if pending.batch > 0 && j.settings.Sync != SyncAlways {
		j.storedBatch = pending.batch
	}
	if j.rewriteUpTo > 0 && (len(j.segments) == 0 || j.segments[0].seq > j.rewriteUpTo) {
		j.rewriteUpTo = 0
		pending.obsolete = append(pending.obsolete, j.heldObsolete...)
		j.heldObsolete = nil
	}
	if j.settings.Sync != SyncAlways { // it can't be undone any more
		j.discardUndo(len(j.undo))
		pending.undo, pending.nextSecond = 0, j.repeats.nextSecond
		j.repeats.trim(j.repeats.nextSecond)
	}
	if j.settings.Sync == SyncNone {
		j.markStored(&pending)
		return nil
	}
	err := j.handToSyncer(&pending)
	j.newest.lastWrite = pending.number
	j.pendingWrites = append(j.pendingWrites, pending)
	if err != nil {
		j.applySyncResults()
		err, j.failure = j.failure, nil
	}
	return err
}

// markStored records that a write is stored.
func (j *Journal) markStored(f *pendingWrite) {
	j.storedBatch = max(j.storedBatch, f.batch)
	j.syncedWrite, j.synced = f.number, f.next
	j.obsolete = append(j.obsolete, f.obsolete...)
}

// cleanUp closes complete segments, and removes some obsolete ones. It returns how many it has removed.
func (j *Journal) cleanUp(maxRemovals int) (removed int) {
	for len(j.retired) > 0 && j.retired[0].lastWrite <= j.syncedWrite {
		s := j.retired[0]
		if err := s.file.Close(); err != nil {
			j.settings.Log.Warn("journal: closing a segment", "segment", s.name, "error", err)
		}
		s.file = nil
		j.retired = j.retired[1:]
	}
	for removed < maxRemovals && len(j.obsolete) > 0 {
		s := j.obsolete[0]
		if s.file != nil { // not synced yet
			break
		}
		if err := j.dir.Remove(s.name); err != nil {
			j.settings.Log.Warn("journal: removing an obsolete segment", "segment", s.name, "error", err)
			break
		}
		j.obsoleteBytes -= blocks(s.diskSize)
		j.obsolete = j.obsolete[1:]
		removed++
	}
	if j.graceLimit > 0 && j.used()+j.reserve(0) <= j.settings.Disk {
		j.graceLimit = 0
	}
	return removed
}

// write writes buf to the end of the newest segment, or to a new one. After an error nothing of it counts.
func (j *Journal) write() error {
	err := j.tryWrite()
	if err != nil && isDiskFull(err) && j.spare.release() {
		j.settings.Log.Warn("journal: the disk is full; no message is accepted until there is room again", "error", err)
		err = j.tryWrite()
	}
	if err != nil {
		j.undoWrite(&j.current)
		j.clearBuffer()
		return err
	}
	j.bytesWritten += int64(len(j.buf))
	if len(j.bufFacts) > 0 {
		j.repeats.add(j.current.fact, j.bufFacts, j.newest.seq, j.bytesWritten)
	}
	j.buf, j.frameStarts, j.bufFacts = j.buf[:0], j.frameStarts[:0], j.bufFacts[:0]
	return nil
}

// tryWrite tries once to write buf.
func (j *Journal) tryWrite() error {
	if j.needsNewSegment() {
		return j.writeNewSegment()
	}
	newest := j.newest
	grown := blocks(newest.validSize+int64(len(j.buf))) - blocks(newest.diskSize)
	if j.used()+grown > j.diskLimit() {
		return engine.ErrFull
	}
	j.fillFrameHeaders(j.buf, newest.salt, newest.validSize)
	if _, err := newest.file.WriteAt(j.buf, newest.validSize); err != nil {
		// Truncate what was written, or else later frames would follow a torn one.
		if truncateErr := newest.file.Truncate(newest.validSize); truncateErr != nil {
			newest.torn, newest.diskSize = true, newest.validSize+int64(len(j.buf))
			j.segmentBytes += grown
			err = errors.Join(err, truncateErr)
		}
		return err
	}
	newest.validSize += int64(len(j.buf))
	newest.diskSize = newest.validSize
	j.segmentBytes += grown
	j.largestSegment = max(j.largestSegment, newest.diskSize)
	return nil
}

// fillFrameHeaders fills in the headers of the frames in b, which holds buf and is to be written at off.
func (j *Journal) fillFrameHeaders(b []byte, salt uint64, off int64) {
	for i, s := range j.frameStarts {
		end := len(b)
		if i+1 < len(j.frameStarts) {
			end = j.frameStarts[i+1]
		}
		fillFrameHeader(b[s:end], salt, off+int64(s))
	}
}

// writeNewSegment creates a segment that starts with buf. It counts once it is written completely.
func (j *Journal) writeNewSegment() error {
	h := header{
		identity: j.identity, seq: j.lastSeq + 1, salt: j.settings.Random(), firstSeq: j.current.firstSeq,
		nextFrame: j.current.frame, nextFact: j.current.fact, nextFull: j.current.full, lastMessage: j.num,
		clockShift: j.current.shift, owner: j.settings.Owner, prev: j.current.previous, // state before this write
	}
	if j.current.last != 0 {
		h.latestTime = j.current.last + h.clockShift
	}
	b := h.append(make([]byte, 0, headerCopyOffset+maxHeaderSize+len(j.buf)))
	headerSize := len(b)
	b = append(b, j.buf...)
	grown := blocks(int64(len(b)))
	if j.used()+grown > j.diskLimit() {
		return engine.ErrFull
	}
	created := &segment{seq: h.seq, salt: h.salt, name: segmentName(h.seq), diskSize: int64(len(b))}
	j.fillFrameHeaders(b[headerSize:], created.salt, int64(headerSize))
	f, err := j.dir.Create(created.name)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(b, 0); err != nil {
		err = errors.Join(err, f.Close())
		if removeErr := j.dir.Remove(created.name); removeErr != nil { // the file stays for now; its number is not used again
			j.lastSeq = created.seq
			j.obsolete = append(j.obsolete, created)
			j.obsoleteBytes += grown
			err = errors.Join(err, removeErr)
		}
		return err
	}
	created.file, created.validSize = f, int64(len(b))
	j.retireNewest()
	j.newest, j.lastSeq = created, created.seq
	j.segments = append(j.segments, created)
	j.segmentBytes += grown
	j.largestSegment = max(j.largestSegment, created.diskSize)
	j.current.newSegment = true
	return nil
}

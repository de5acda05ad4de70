package undelivered

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/resend"
)

// Settings of a store. Classes, MaxDiskBytes, Now, Wall and Random are required.
type Settings struct {
	MaxDiskBytes    int64           // limit for all files, each rounded up to whole blocks of 512 bytes
	EvictLeastWorth bool            // when the disk share is used up, evict the least worth first instead of the oldest
	Retention       Time            // entries kept for longer are removed; 0 is no limit
	ClassRetention  map[string]Time // overrides Retention, by class name
	EndedRetention  Time            // Retention of entries that ended
	RefusedSlots    int             // number of refused messages that are listed
	Classes         []resend.Class
	Sync            bool // sync each write before it counts

	Now    func() time.Time // the host's clock
	Wall   func() time.Time
	Random func() uint64
	Log    *slog.Logger
}

// MinDiskBytes is the smallest MaxDiskBytes that a store accepts.
const MinDiskBytes = 64 << 10

// Store holds the entries of one folder, which the caller owns. Only the driver's goroutine may call its methods. When
// a write fails, the change still applies in memory and the write is retried later. Keep, Claim and BeginSubmission
// fail instead.
type Store struct {
	dir      journal.Dir
	settings Settings
	log      *slog.Logger

	meta           meta
	metaFile       journal.File
	lastNumber     uint64 // last number given to an entry or a claim
	startedAt      time.Time
	baseTime       Time  // store time at startedAt
	lastWallOffset int64 // wall clock minus the host's clock at the last check, in microseconds
	refused        refusedList

	rows              []*row // sorted by number; removed rows are nil
	removedRows       int
	byID              map[uint64]*row
	byIdentity        map[uint64]*row // the newest row of each identity
	displacedRows     int             // rows that a newer one has replaced in byIdentity
	claimedEntries    map[uint64]*Entry
	endNotStored      map[uint64]engine.Batch // entries whose newest end the journal has not stored, with the end's batch, 0 if it has none yet
	unwritten         map[uint64]*Entry
	endedWithBody     map[uint64]bool // ended entries whose files still have their bodies
	manualClaimExpiry map[uint64]Time // expiry of manual claims under which nothing was submitted yet
	onRemove          func(*resend.Node)
	texts             textTable
	diskBytes         int64
	cleanupPosition   int
	lastFaultLog      time.Time
	Counts            Counts
}

// Counts are totals since the start. Void are entries removed at the start because the journal still had their messages.
// Lost are submissions whose result is not known after a restart. Damaged are entries whose files can't be read, all or in
// part. Unwritten are failed writes of events.
type Counts struct {
	Kept, NotKept, Refused         int
	Removed                        int // by age
	Evicted                        int // for lack of space
	Void, Damaged, Lost, Unwritten int
}

// row is the in-memory summary of an entry.
type row struct {
	resend.Node
	idHash, identity uint64
	keptAt, lastEnd  Time
	doubtAt          Time
	quietFrom        Time
	blockCount       uint32 // file size in blocks
	bodyBytes        uint32
	class            uint16 // index into Store.texts, like the next three
	tenant           uint16
	cause            uint16
	holdReason       uint16
	resends          uint8
	failedInquiries  uint8
	state            uint8 // index into states
	zone             int8
	generation       uint8
	flags            uint8
}

const (
	hasKey = 1 << iota
	removed
	tookEffect // ended by taking effect
	ageUnknown
)

// textTable interns repeated texts.
type textTable struct {
	values  []string
	indexes map[string]uint16
}

const maxTexts = 1 << 12

func (t *textTable) add(s string) uint16 {
	n, ok := t.indexes[s]
	if !ok {
		if len(t.values) >= maxTexts {
			return t.add("...")
		}
		n = uint16(len(t.values))
		t.values = append(t.values, s)
		t.indexes[s] = n
	}
	return n
}

const (
	maxHistoryEvents    = 200 // an entry with more is not claimed again
	reservedDiskDivisor = 16  // 1/16 of the disk share is reserved for events of existing entries
	maxRowsPerCleanup   = 500
	maxWritesPerCleanup = 50                     // rewrites or releases, for each reason
	maxEvictionBytes    = 256 << 10              // bytes freed at a time, which takes a few milliseconds
	clockStepTolerance  = 100 * time.Millisecond // a larger deviation of the wall clock counts as a step
	startClockTolerance = 500 * time.Millisecond // the same at a start; less than the error of ages that package resend tolerates
	maxClockReads       = 10
)

// Errors of the store. ClaimedError is another.
var (
	ErrNotFound     = errors.New("there is no such entry")
	ErrEnded        = errors.New("it has ended")
	ErrEndNotStored = errors.New("its end is not in the journal yet")
	ErrNoSpace      = errors.New("the store has no room")
)

// ClaimedError means that an entry is already claimed.
type ClaimedError struct{ Claim Claim }

func (e *ClaimedError) Error() string {
	c := &e.Claim
	text := fmt.Sprintf("claim %d of %s has it since %s", c.Number, c.By, c.ClaimedAt.UTC().Format(time.RFC3339))
	if c.SubmittedID != "" {
		text += ", and sends it as " + c.SubmittedID
	}
	return text
}

// Open reads the entries of a folder. Damaged files are not an error. Reconcile must be called next.
func Open(dir journal.Dir, settings Settings) (_ *Store, err error) {
	if settings.MaxDiskBytes < MinDiskBytes {
		return nil, fmt.Errorf("undelivered: a disk share of %d bytes is below the minimum of %d", settings.MaxDiskBytes, MinDiskBytes)
	}
	if settings.Log == nil {
		settings.Log = slog.New(slog.DiscardHandler)
	}
	s := &Store{
		dir: dir, settings: settings, log: settings.Log, startedAt: settings.Now(), byID: map[uint64]*row{}, byIdentity: map[uint64]*row{},
		claimedEntries: map[uint64]*Entry{}, endNotStored: map[uint64]engine.Batch{}, unwritten: map[uint64]*Entry{}, manualClaimExpiry: map[uint64]Time{}, endedWithBody: map[uint64]bool{}, texts: textTable{indexes: map[string]uint16{}},
		refused: refusedList{slots: int64(settings.RefusedSlots)},
	}
	defer func() {
		if err != nil {
			err = fmt.Errorf("undelivered: %w", errors.Join(err, s.Close()))
		}
	}()
	known, ok, err := readMeta(dir)
	if err != nil {
		return nil, err
	}
	newest, err := s.load()
	if err != nil {
		return nil, err
	}
	if err := s.setClock(known, ok, newest); err != nil {
		return nil, err
	}
	for _, r := range s.rows {
		if r != nil && r.doubtAt != 0 && r.doubtAt <= s.meta.ageUnknownUpTo {
			r.flags |= ageUnknown
		}
	}
	if err := s.refused.open(s); err != nil {
		return nil, err
	}
	s.diskBytes += 2*blockSize + roundUpToBlock(s.refused.slots*refusedSlotSize)
	return s, nil
}

// readClocks reads both clocks at one moment. It retries if the process was delayed between the two reads.
func (s *Store) readClocks() (now time.Time, wall int64) {
	for range maxClockReads {
		before := s.settings.Now()
		wall = s.settings.Wall().UnixMicro()
		if now = s.settings.Now(); now.Sub(before) < time.Millisecond {
			break
		}
	}
	return now, wall
}

// wallOffset returns the wall clock's lead over the host's clock, in microseconds.
func (s *Store) wallOffset() int64 {
	now, wall := s.readClocks()
	return wall - now.Sub(s.startedAt).Microseconds()
}

// setClock determines the store time at this start and writes it.
func (s *Store) setClock(m meta, known bool, newest Time) error {
	// The time starts here and not before all files were read, because reading them may have taken long.
	begun, wall := s.readClocks()
	s.startedAt, s.lastWallOffset = begun, wall
	switch {
	case !known && newest == 0:
		m = meta{storeID: s.settings.Random()}
		m.storeTime = 1000 * control.Second
	case !known: // both copies are damaged, so the age of all entries is unknown
		s.log.Error("undelivered: kept-meta is damaged; messages in doubt count as too old to ask their partners about")
		m.storeID = s.storeIDFromEntries()
		m.storeTime, m.ageUnknownUpTo = newest, newest
	default:
		gap := wall - m.wallMicros
		if now := m.storeTime + Time(gap); gap < -startClockTolerance.Microseconds() || now < newest-Time(startClockTolerance.Microseconds()) {
			s.log.Warn("undelivered: the clock was set back; messages in doubt count as too old to ask their partners about")
			m.storeTime = max(m.storeTime, newest)
			m.ageUnknownUpTo = m.storeTime
		} else {
			m.storeTime = max(now, m.storeTime, newest)
		}
	}
	m.reservedUpTo = max(m.reservedUpTo, s.lastNumber)
	s.lastNumber = m.reservedUpTo // the reserved numbers may have been used
	m.wallMicros = wall
	s.baseTime = m.storeTime
	return s.writeMeta(m)
}

// storeIDFromEntries returns the store id that the entries name, or a new one.
func (s *Store) storeIDFromEntries() uint64 {
	for _, r := range s.rows {
		if e, err := s.readEntry(r); err == nil {
			if n, err := strconv.ParseUint(e.Store, 16, 64); err == nil {
				return n
			}
		}
	}
	return s.settings.Random()
}

// Tick writes the pair of store time and wall time again if the wall clock was stepped.
func (s *Store) Tick() {
	now := s.wallOffset()
	if d := now - s.lastWallOffset; d < clockStepTolerance.Microseconds() && d > -clockStepTolerance.Microseconds() {
		return
	}
	s.writeTimes(now)
}

// writeTimes writes the current pair of store time and wall time.
func (s *Store) writeTimes(now int64) {
	m := s.meta
	at, wall := s.readClocks()
	m.storeTime, m.wallMicros = s.TimeAt(at), wall
	if err := s.writeMeta(m); err != nil {
		s.logFault("the time can't be recorded", err)
		return // the next Tick tries again
	}
	s.lastWallOffset = now
}

// Now returns the current store time.
func (s *Store) Now() Time { return s.TimeAt(s.settings.Now()) }

// TimeAt converts a time of the host's clock to store time.
func (s *Store) TimeAt(t time.Time) Time { return s.baseTime + Time(t.Sub(s.startedAt).Microseconds()) }

// WallTime converts store time to wall time, by the offset that this process last saw.
func (s *Store) WallTime(t Time) time.Time {
	return time.UnixMicro(s.lastWallOffset + int64(t-s.baseTime)).UTC()
}

// load reads all files and returns the newest store time in them.
func (s *Store) load() (newest Time, err error) {
	names, err := s.dir.List()
	if err != nil {
		return 0, err
	}
	var obsolete []string
	var previous *row
	for _, name := range names { // sorted by number, then by generation
		no, id, gen, ok := parseFileName(name)
		if !ok {
			continue
		}
		b, err := readFile(s.dir, name)
		if err != nil && !errors.Is(err, ErrDamaged) {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		s.lastNumber = max(s.lastNumber, no)
		e, hasBody, err := decodeWithBody(no, b)
		if err != nil {
			if previous != nil && previous.Number == no { // a rewrite was interrupted, and the older file is whole
				obsolete = append(obsolete, name)
				continue
			}
			e = &Entry{Number: no, State: Damaged, fileSize: int64(len(b))}
		}
		e.generation = gen
		r := &row{idHash: id}
		r.Number = no
		s.updateRow(r, e, int64(len(b)))
		if e.State != Damaged {
			m := e.Message("")
			r.identity = s.identity(&m)
			for _, ev := range e.History {
				newest = max(newest, ev.At)
				if ev.Claim != nil {
					s.lastNumber = max(s.lastNumber, ev.Claim.Number)
				}
			}
		}
		if previous != nil && previous.Number == no {
			obsolete = append(obsolete, fileName(no, previous.idHash, int(previous.generation)))
			s.forget(previous)
		}
		s.insert(r)
		previous = r
		if e.State == Ended && hasBody {
			s.endedWithBody[no] = true
		}
		e.Body = nil
		switch {
		case e.damaged || e.Claim != nil && (!e.Claim.Manual || e.Claim.SubmittedID != ""):
			s.claimedEntries[no] = e
		case e.Claim != nil: // there may be many, so only the expiry is kept in memory
			s.manualClaimExpiry[no] = e.Claim.ExpiresAt
		}
	}
	for _, name := range obsolete {
		if err := s.dir.Remove(name); err != nil {
			s.logFault("an old file of an entry can't be removed", err)
		}
	}
	return newest, nil
}

// updateRow sets a row from its entry.
func (s *Store) updateRow(r *row, e *Entry, size int64) {
	r.blockCount = uint32(roundUpToBlock(size) / blockSize)
	r.generation = uint8(e.generation)
	r.state = uint8(slices.Index(states[:], e.State))
	r.flags &= removed
	if e.State == Damaged {
		return
	}
	r.keptAt, r.lastEnd = e.KeptStoreTime, e.LastEnd
	r.doubtAt, r.quietFrom, r.zone = e.Doubt.FirstSent, e.Doubt.QuietFrom, int8(e.Doubt.Zone)
	r.bodyBytes = uint32(e.Bytes)
	r.class, r.tenant = s.texts.add(e.Class), s.texts.add(e.Tenant)
	r.cause, r.holdReason = s.texts.add(e.lastSubmission().Cause), s.texts.add(e.HoldReason)
	r.resends, r.failedInquiries = uint8(min(e.Resends, 255)), uint8(min(e.FailedInquiries, 255))
	r.SetDestination(e.Destination)
	if e.Key != "" {
		r.flags |= hasKey
	}
	if e.Disposition == EndDelivered || e.Disposition == EndTookEffect {
		r.flags |= tookEffect
	}
	if e.Doubt.AgeUnknown || e.Doubt.FirstSent != 0 && e.Doubt.FirstSent <= s.meta.ageUnknownUpTo {
		r.flags |= ageUnknown
	}
}

// Dispositions of entries that ended.
const (
	EndDelivered  = "delivered"
	EndTookEffect = "took effect" // reported by the partner when asked
	EndClosed     = "over"        // the endpoint reported that nothing more needs to be delivered
	EndDropped    = "dropped"
)

// identity returns a hash that recognises a message submitted again under another id: of its key, or of the whole
// message without one. 0 means that repeating it is harmless.
func (s *Store) identity(m *engine.Message) uint64 {
	c := s.class(m.Class)
	if c == nil || c.Effect == control.Free {
		return 0
	}
	if m.Key != "" && !c.Ordered {
		return hashID("k\x00"+m.Tenant+"\x00"+strconv.Itoa(m.Destination)+"\x00"+m.Key) | 1
	}
	return m.Fingerprint() | 1
}

func (s *Store) class(name string) *resend.Class {
	if i := slices.IndexFunc(s.settings.Classes, func(c resend.Class) bool { return c.Name == name }); i >= 0 {
		return &s.settings.Classes[i]
	}
	return nil
}

// insert adds a row. Its number must be the highest.
func (s *Store) insert(r *row) {
	s.rows = append(s.rows, r)
	s.byID[r.idHash] = r
	if r.identity != 0 {
		if s.byIdentity[r.identity] != nil {
			s.displacedRows++
		}
		s.byIdentity[r.identity] = r
	}
	s.diskBytes += int64(r.blockCount) * blockSize
}

// forget removes a row from memory.
func (s *Store) forget(r *row) {
	if r.flags&removed != 0 {
		return
	}
	r.flags |= removed
	s.diskBytes -= int64(r.blockCount) * blockSize
	if s.byID[r.idHash] == r {
		delete(s.byID, r.idHash)
	}
	if s.byIdentity[r.identity] == r {
		delete(s.byIdentity, r.identity)
		if s.displacedRows > 0 {
			for _, o := range s.rows {
				if o != nil && o.flags&removed == 0 && o.identity == r.identity {
					s.byIdentity[r.identity] = o
				}
			}
		}
	}
	delete(s.claimedEntries, r.Number)
	delete(s.endNotStored, r.Number)
	delete(s.unwritten, r.Number)
	delete(s.manualClaimExpiry, r.Number)
	delete(s.endedWithBody, r.Number)
	if i, ok := s.rowIndex(r.Number); ok && s.rows[i] == r {
		s.rows[i] = nil
		s.removedRows++
	}
	if s.removedRows > len(s.rows)/2+16 {
		s.rows = slices.DeleteFunc(s.rows, func(o *row) bool { return o == nil })
		s.rows = slices.Clip(s.rows)
		s.removedRows, s.cleanupPosition = 0, 0
	}
}

// rowIndex finds the index of a number by binary search. Removed rows are nil, so each probe moves on to the next one
// that is present.
func (s *Store) rowIndex(no uint64) (int, bool) {
	lo, hi := 0, len(s.rows)
	for lo < hi {
		mid := (lo + hi) / 2
		i := mid
		for i < hi && s.rows[i] == nil {
			i++
		}
		switch {
		case i == hi:
			hi = mid
		case s.rows[i].Number < no:
			lo = i + 1
		case s.rows[i].Number == no:
			return i, true
		default:
			hi = mid
		}
	}
	return lo, false
}

func (s *Store) row(no uint64) *row {
	if i, ok := s.rowIndex(no); ok {
		return s.rows[i]
	}
	return nil
}

// readEntry reads an entry's file.
func (s *Store) readEntry(r *row) (*Entry, error) {
	b, err := readFile(s.dir, fileName(r.Number, r.idHash, int(r.generation)))
	if err != nil {
		return nil, err
	}
	e, err := decode(r.Number, b)
	if err != nil {
		return nil, err
	}
	e.generation = int(r.generation)
	return e, nil
}

// currentEntry returns an entry from memory if it is there, else from its file.
func (s *Store) currentEntry(r *row) (*Entry, error) {
	if e := s.claimedEntries[r.Number]; e != nil {
		return e, nil
	}
	if e := s.unwritten[r.Number]; e != nil {
		return e, nil
	}
	return s.readEntry(r)
}

// Close closes the files.
func (s *Store) Close() error {
	var err error
	if s.metaFile != nil {
		err = s.metaFile.Close()
	}
	if s.refused.file != nil {
		err = errors.Join(err, s.refused.file.Close())
	}
	return err
}

// logFault logs an error, at most once a second.
func (s *Store) logFault(what string, err error) {
	if now := s.settings.Now(); s.lastFaultLog.IsZero() || now.Sub(s.lastFaultLog) >= time.Second {
		s.lastFaultLog = now
		s.log.Error("undelivered: "+what, "error", err, "counts", fmt.Sprintf("%+v", s.Counts))
	}
}

// Keep stores a message that failed, before the journal records its end. On error the message is not kept.
func (s *Store) Keep(m *engine.Message, submission Submission) (uint64, error) {
	if no, ok := s.numberOf(m.ID); ok {
		return no, nil
	}
	no, err := s.nextNumber()
	if err != nil {
		s.Counts.NotKept++
		return 0, err
	}
	at := s.Now()
	e := &Entry{
		Number: no, Store: strconv.FormatUint(s.meta.storeID, 16), ID: m.ID, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, Key: m.Key,
		Bytes: len(m.Body), Body: m.Body, KeptStoreTime: at, KeptAt: s.settings.Wall().UTC(),
	}
	e.addSubmission(&submission, at)
	e.History = []Event{{Kind: EventKept, At: at, WallTime: e.KeptAt, By: "dispatcher", Why: submission.Cause}}
	e.State = e.currentState()
	r := &row{idHash: hashID(m.ID)}
	r.Number = no
	size, err := s.createFile(r, e, true)
	if err != nil {
		s.Counts.NotKept++
		return 0, err
	}
	s.updateRow(r, e, size)
	r.identity = s.identity(m)
	s.insert(r)
	s.endNotStored[no] = 0
	s.Counts.Kept++
	return no, nil
}

// numberOf returns the number of the entry whose client submitted it under id.
func (s *Store) numberOf(id string) (uint64, bool) {
	r := s.byID[hashID(id)]
	if r == nil {
		return 0, false
	}
	return r.Number, true
}

// createFile writes an entry to a new file. A fresh entry must fit into the disk share.
func (s *Store) createFile(r *row, e *Entry, fresh bool) (int64, error) {
	b, err := encodeFrame(e.Number, 0, e, e.Body)
	if err != nil {
		return 0, err
	}
	if fresh {
		if err := s.makeRoom(roundUpToBlock(int64(len(b))), e); err != nil {
			return 0, err
		}
	}
	name := fileName(e.Number, r.idHash, e.generation)
	f, err := s.dir.Create(name)
	if err != nil {
		return 0, err
	}
	_, err = f.WriteAt(b, 0)
	if err == nil && s.settings.Sync {
		err = errors.Join(f.Sync(), s.dir.Sync())
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		if gone := s.dir.Remove(name); gone != nil { // part of the file may stay; its number is not used again
			err = errors.Join(err, gone)
		}
		return 0, err
	}
	e.fileSize, e.hasPartialFrame, e.damaged = int64(len(b)), false, false
	return e.fileSize, nil
}

// RecordRefused lists a message that was returned to its client.
func (s *Store) RecordRefused(h RefusedMessage) {
	s.Counts.Refused++
	h.At = s.settings.Wall().UTC().Truncate(time.Millisecond)
	if err := s.refused.add(h); err != nil {
		s.logFault("a refused message can't be listed", err)
	}
}

// makeRoom evicts entries until a new one of the given size fits.
func (s *Store) makeRoom(need int64, incoming *Entry) error {
	limit := s.settings.MaxDiskBytes - s.settings.MaxDiskBytes/reservedDiskDivisor
	if s.diskBytes+need <= limit {
		return nil
	}
	missing := s.diskBytes + max(need, min(s.settings.MaxDiskBytes/64, maxEvictionBytes)) - limit
	free := func(ok func(r *row) bool) {
		for i := 0; i < len(s.rows) && missing > 0; i++ {
			r := s.rows[i]
			if r == nil || !ok(r) {
				continue
			}
			n := int64(r.blockCount) * blockSize
			if s.remove(r) == nil {
				missing -= n
				s.Counts.Evicted++
				if i >= len(s.rows) || s.rows[i] != nil { // forget compacted the rows
					i = -1
				}
			}
		}
	}
	evictable := func(r *row) bool {
		st := states[r.state]
		return (st == Waiting || st == Held) && !s.EndNotStored(r.Number)
	}
	free(func(r *row) bool { return states[r.state] == Ended })
	if s.settings.EvictLeastWorth {
		incomingWorth := s.worth(s.texts.add(incoming.Class))
		evictableWorths := map[float64]bool{}
		for _, r := range s.rows {
			if r != nil && evictable(r) {
				evictableWorths[s.worth(r.class)] = true
			}
		}
		for _, w := range slices.Sorted(maps.Keys(evictableWorths)) {
			if w > incomingWorth { // the new entry is worth less than all that remain
				break
			}
			free(func(r *row) bool { return evictable(r) && s.worth(r.class) == w })
		}
	} else {
		free(evictable)
	}
	if s.diskBytes+need > limit {
		return ErrNoSpace
	}
	s.logFault("its share of the disk is used up: entries go", ErrNoSpace)
	return nil
}

func (s *Store) worth(class uint16) float64 {
	if c := s.class(s.texts.values[class]); c != nil {
		return c.Worth
	}
	return 0
}

// remove deletes an entry and its file.
func (s *Store) remove(r *row) error {
	if err := s.dir.Remove(fileName(r.Number, r.idHash, int(r.generation))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.logFault("an entry can't be removed", err)
		return err
	}
	if s.onRemove != nil {
		s.onRemove(&r.Node)
	}
	s.forget(r)
	return nil
}

// OnRemove sets the function that is called for each entry that ends or is removed.
func (s *Store) OnRemove(f func(*resend.Node)) { s.onRemove = f }

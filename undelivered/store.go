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

// Settings of a store. Classes, Disk, Now, Wall and Random are needed.
type Settings struct {
	MaxDiskBytes    int64 // bytes that its files may take, each counted in whole blocks of 512
	EvictLeastWorth bool  // where the disk is used up what is worth least goes first, else the oldest
	Retention       Time  // what lies there for longer goes; the same for a class by its name
	ClassRetention  map[string]Time
	EndedRetention  Time // the same for what has ended
	RefusedSlots    int  // how many of those handed back to their clients are listed
	Classes         []resend.Class
	Sync            bool // each write is synced before it counts

	Now    func() time.Time // the host's clock
	Wall   func() time.Time
	Random func() uint64
	Log    *slog.Logger
}

// MinDiskBytes is the least disk that a store works with.
const MinDiskBytes = 64 << 10

// Store is the entries of one folder, which the caller owns. One goroutine, the driver's, may call its methods. Where a
// write fails the entries are as if it had succeeded, but for Keep and Claim, and it is tried again later.
type Store struct {
	dir journal.Dir
	set Settings
	log *slog.Logger

	meta     meta
	metaFile journal.File
	last     uint64 // of the numbers
	begun    time.Time
	base     Time  // the store's time at begun
	offset   int64 // wall clock less the host's at the last look, in microseconds
	refused  refused

	rows   []*row // by number; some are gone
	gone   int
	byID   map[uint64]*row
	bySame map[uint64]*row // of several the newest
	shared int             // rows that another one has displaced there
	open   map[uint64]*Entry
	early  map[uint64]engine.Batch // the journal does not have the end of their newest life yet: it is in this batch, 0 in none
	dirty  map[uint64]*Entry
	fat    map[uint64]bool // ended, and the body is still there
	until  map[uint64]Time // of claims by hand under which nothing was handed in yet
	drop   func(*resend.Node)
	texts  texts
	used   int64
	swept  int
	told   time.Time
	Counts Counts
}

// Counts are what happened since the start.
type Counts struct {
	Kept, NotKept, Refused         int
	Removed                        int // by age
	Evicted                        int // for want of room
	Void, Damaged, Lost, Unwritten int
}

// row is what is in memory of an entry.
type row struct {
	resend.Node
	id, same   uint64
	kept, last Time
	doubtAt    Time
	quiet      Time
	size       uint32 // blocks
	body       uint32
	class      uint16 // texts
	tenant     uint16
	cause      uint16
	held       uint16
	tries      uint8
	asks       uint8
	state      uint8 // states
	zone       int8
	gen        uint8
	flags      uint8
}

const (
	hasKey = 1 << iota
	removed
	took // ended by taking effect
	ageless
)

// texts are those that come again and again.
type texts struct {
	list []string
	no   map[string]uint16
}

const mostTexts = 1 << 12

func (t *texts) add(s string) uint16 {
	n, ok := t.no[s]
	if !ok {
		if len(t.list) >= mostTexts {
			return t.add("...")
		}
		n = uint16(len(t.list))
		t.list = append(t.list, s)
		t.no[s] = n
	}
	return n
}

const (
	mostHistory = 200                    // events of an entry: then it is held
	spareShare  = 16                     // one part in so many of the disk is for what happens to entries that are there
	mostSwept   = 500                    // rows that a sweep looks at
	mostWritten = 50                     // entries that it writes, for each of its reasons
	mostEvicted = 256 << 10              // bytes that are made free at once, about: a few milliseconds
	lateClock   = 100 * time.Millisecond // a wall clock that is off by more is taken for one that was stepped
	lateStart   = 500 * time.Millisecond // the same at a start, under what package resend lets ages be off by
	clockTries  = 10
)

// Errors of the store. ClaimedError is another.
var (
	ErrNotFound     = errors.New("there is no such entry")
	ErrEnded        = errors.New("it has ended")
	ErrEndNotStored = errors.New("its end is not in the journal yet")
	ErrNoSpace      = errors.New("the store has no room")
)

// ClaimedError says that somebody else has an entry.
type ClaimedError struct{ Claim Claim }

func (e *ClaimedError) Error() string {
	c := &e.Claim
	text := fmt.Sprintf("claim %d of %s has it since %s", c.Number, c.By, c.ClaimedAt.UTC().Format(time.RFC3339))
	if c.SubmittedID != "" {
		text += ", and sends it as " + c.SubmittedID
	}
	return text
}

// Open reads what is in a folder. Damage is no error. Reconcile must follow, before anything else.
func Open(dir journal.Dir, set Settings) (_ *Store, err error) {
	if set.MaxDiskBytes < MinDiskBytes {
		return nil, fmt.Errorf("undelivered: disk of %d bytes: it needs %d", set.MaxDiskBytes, MinDiskBytes)
	}
	if set.Log == nil {
		set.Log = slog.New(slog.DiscardHandler)
	}
	s := &Store{
		dir: dir, set: set, log: set.Log, begun: set.Now(), byID: map[uint64]*row{}, bySame: map[uint64]*row{},
		open: map[uint64]*Entry{}, early: map[uint64]engine.Batch{}, dirty: map[uint64]*Entry{}, until: map[uint64]Time{}, fat: map[uint64]bool{}, texts: texts{no: map[string]uint16{}},
		refused: refused{slots: int64(set.RefusedSlots)},
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
		if r != nil && r.doubtAt != 0 && r.doubtAt <= s.meta.ageless {
			r.flags |= ageless
		}
	}
	if err := s.refused.open(s); err != nil {
		return nil, err
	}
	s.used += 2*block + blocks(s.refused.slots*refusedSlot)
	return s, nil
}

// clocks reads both clocks at one moment: where the process was held up between the two, once more.
func (s *Store) clocks() (now time.Time, wall int64) {
	for range clockTries {
		before := s.set.Now()
		wall = s.set.Wall().UnixMicro()
		if now = s.set.Now(); now.Sub(before) < time.Millisecond {
			break
		}
	}
	return now, wall
}

// wallOffset is what the wall clock shows beyond the host's clock.
func (s *Store) wallOffset() int64 {
	now, wall := s.clocks()
	return wall - now.Sub(s.begun).Microseconds()
}

// setClock finds out what time it is in the store, and writes it.
func (s *Store) setClock(m meta, known bool, newest Time) error {
	// From this moment on, not from before all files were read: that may have taken long.
	begun, wall := s.clocks()
	s.begun, s.offset = begun, wall
	switch {
	case !known && newest == 0:
		m = meta{store: s.set.Random()}
		m.at = 1000 * control.Second
	case !known: // its two copies are damaged: what there is is of unknown age
		s.log.Error("undelivered: the file of numbers is damaged; what may have taken effect counts as too old to be asked about")
		m.store = s.storeOf()
		m.at, m.ageless = newest, newest
	default:
		gap := wall - m.wall
		if now := m.at + Time(gap); gap < -lateStart.Microseconds() || now < newest-Time(lateStart.Microseconds()) {
			s.log.Warn("undelivered: the clock was set back; what may have taken effect counts as too old to be asked about")
			m.at = max(m.at, newest)
			m.ageless = m.at
		} else {
			m.at = max(now, m.at, newest)
		}
	}
	m.upTo = max(m.upTo, s.last)
	s.last = m.upTo // what was reserved may have been used
	m.wall = wall
	s.base = m.at
	return s.writeMeta(m)
}

// storeOf is the store that entries name.
func (s *Store) storeOf() uint64 {
	for _, r := range s.rows {
		if e, err := s.read(r); err == nil {
			if n, err := strconv.ParseUint(e.Store, 16, 64); err == nil {
				return n
			}
		}
	}
	return s.set.Random()
}

// Tick looks whether the wall clock was stepped: then the pair of times is written anew.
func (s *Store) Tick() {
	now := s.wallOffset()
	if d := now - s.offset; d < lateClock.Microseconds() && d > -lateClock.Microseconds() {
		return
	}
	s.writeTimes(now)
}

// writeTimes writes the pair of times.
func (s *Store) writeTimes(now int64) {
	m := s.meta
	at, wall := s.clocks()
	m.at, m.wall = s.TimeAt(at), wall
	if err := s.writeMeta(m); err != nil {
		s.fault("the time can't be recorded", err)
		return // tried again
	}
	s.offset = now
}

// Now is the store's time.
func (s *Store) Now() Time { return s.TimeAt(s.set.Now()) }

// TimeAt is the store's time at a moment of the host's clock.
func (s *Store) TimeAt(t time.Time) Time { return s.base + Time(t.Sub(s.begun).Microseconds()) }

// WallTime is what a wall clock showed, or will, at the store's time, as far as this process can tell.
func (s *Store) WallTime(t Time) time.Time {
	return time.UnixMicro(s.offset + int64(t-s.base)).UTC()
}

// load reads all files, and returns the newest time that any of them bears.
func (s *Store) load() (newest Time, err error) {
	names, err := s.dir.List()
	if err != nil {
		return 0, err
	}
	var old []string
	var before *row
	for _, name := range names { // sorted: by number, and then by gen
		no, id, gen, ok := parseName(name)
		if !ok {
			continue
		}
		b, err := readFile(s.dir, name)
		if err != nil && !errors.Is(err, ErrDamaged) {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		s.last = max(s.last, no)
		e, fat, err := decodeFat(no, b)
		if err != nil {
			if before != nil && before.Number == no { // it was being written anew, and the older one is whole
				old = append(old, name)
				continue
			}
			e = &Entry{Number: no, State: Damaged, size: int64(len(b))}
		}
		e.gen = gen
		r := &row{id: id}
		r.Number = no
		s.fill(r, e, int64(len(b)))
		if e.State != Damaged {
			m := e.Message("")
			r.same = s.identity(&m)
			for _, ev := range e.History {
				newest = max(newest, ev.At)
				if ev.Claim != nil {
					s.last = max(s.last, ev.Claim.Number)
				}
			}
		}
		if before != nil && before.Number == no {
			old = append(old, fileName(no, before.id, int(before.gen)))
			s.forget(before)
		}
		s.insert(r)
		before = r
		if e.State == Ended && fat {
			s.fat[no] = true
		}
		e.Body = nil
		switch {
		case e.damage || e.Claim != nil && (!e.Claim.Manual || e.Claim.SubmittedID != ""):
			s.open[no] = e
		case e.Claim != nil: // there may be many: their files have the rest
			s.until[no] = e.Claim.ExpiresAt
		}
	}
	for _, name := range old {
		if err := s.dir.Remove(name); err != nil {
			s.fault("an old file stays", err)
		}
	}
	return newest, nil
}

// fill sets a row by its entry.
func (s *Store) fill(r *row, e *Entry, size int64) {
	r.size = uint32(blocks(size) / block)
	r.gen = uint8(e.gen)
	r.state = uint8(slices.Index(states[:], e.State))
	r.flags &= removed
	if e.State == Damaged {
		return
	}
	r.kept, r.last = e.KeptStoreTime, e.LastEnd
	r.doubtAt, r.quiet, r.zone = e.Doubt.FirstSent, e.Doubt.QuietFrom, int8(e.Doubt.Zone)
	r.body = uint32(e.Bytes)
	r.class, r.tenant = s.texts.add(e.Class), s.texts.add(e.Tenant)
	r.cause, r.held = s.texts.add(e.life().Cause), s.texts.add(e.HoldReason)
	r.tries, r.asks = uint8(min(e.Resends, 255)), uint8(min(e.FailedInquiries, 255))
	r.SetDestination(e.Destination)
	if e.Key != "" {
		r.flags |= hasKey
	}
	if e.Disposition == EndDelivered || e.Disposition == EndTookEffect {
		r.flags |= took
	}
	if e.Doubt.AgeUnknown || e.Doubt.FirstSent != 0 && e.Doubt.FirstSent <= s.meta.ageless {
		r.flags |= ageless
	}
}

// Ways to end for good.
const (
	EndDelivered  = "delivered"
	EndTookEffect = "took effect" // as the partner said when it was asked
	EndClosed     = "over"        // the partner says that nothing more is owed
	EndDropped    = "dropped"
)

// identity is by what a message is known that comes again under another id: its key, or all of it if it has none. 0 is
// none: repeating it is harmless.
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
	if i := slices.IndexFunc(s.set.Classes, func(c resend.Class) bool { return c.Name == name }); i >= 0 {
		return &s.set.Classes[i]
	}
	return nil
}

// insert adds a row; its number is the highest.
func (s *Store) insert(r *row) {
	s.rows = append(s.rows, r)
	s.byID[r.id] = r
	if r.same != 0 {
		if s.bySame[r.same] != nil {
			s.shared++
		}
		s.bySame[r.same] = r
	}
	s.used += int64(r.size) * block
}

// forget takes a row out of memory.
func (s *Store) forget(r *row) {
	if r.flags&removed != 0 {
		return
	}
	r.flags |= removed
	s.used -= int64(r.size) * block
	if s.byID[r.id] == r {
		delete(s.byID, r.id)
	}
	if s.bySame[r.same] == r {
		delete(s.bySame, r.same)
		if s.shared > 0 {
			for _, o := range s.rows {
				if o != nil && o.flags&removed == 0 && o.same == r.same {
					s.bySame[r.same] = o
				}
			}
		}
	}
	delete(s.open, r.Number)
	delete(s.early, r.Number)
	delete(s.dirty, r.Number)
	delete(s.until, r.Number)
	delete(s.fat, r.Number)
	if i, ok := s.at(r.Number); ok && s.rows[i] == r {
		s.rows[i] = nil
		s.gone++
	}
	if s.gone > len(s.rows)/2+16 {
		s.rows = slices.DeleteFunc(s.rows, func(o *row) bool { return o == nil })
		s.rows = slices.Clip(s.rows)
		s.gone, s.swept = 0, 0
	}
}

// at finds a number's place; those that are gone are nil, so it looks on to the next that is there.
func (s *Store) at(no uint64) (int, bool) {
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
	if i, ok := s.at(no); ok {
		return s.rows[i]
	}
	return nil
}

// read reads an entry's file.
func (s *Store) read(r *row) (*Entry, error) {
	b, err := readFile(s.dir, fileName(r.Number, r.id, int(r.gen)))
	if err != nil {
		return nil, err
	}
	e, err := decode(r.Number, b)
	if err != nil {
		return nil, err
	}
	e.gen = int(r.gen)
	return e, nil
}

// entry is an entry as it stands.
func (s *Store) entry(r *row) (*Entry, error) {
	if e := s.open[r.Number]; e != nil {
		return e, nil
	}
	if e := s.dirty[r.Number]; e != nil {
		return e, nil
	}
	return s.read(r)
}

// Close gives the files back.
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

// fault tells operators, once a second at most.
func (s *Store) fault(what string, err error) {
	if now := s.set.Now(); s.told.IsZero() || now.Sub(s.told) >= time.Second {
		s.told = now
		s.log.Error("undelivered: "+what, "error", err, "counts", fmt.Sprintf("%+v", s.Counts))
	}
}

// ---- what comes in ----

// Keep keeps a message whose life ended, before the journal has that. An error says that it is not kept.
func (s *Store) Keep(m *engine.Message, l Submission) (uint64, error) {
	if no, ok := s.kept(m.ID); ok {
		return no, nil
	}
	no, err := s.number()
	if err != nil {
		s.Counts.NotKept++
		return 0, err
	}
	at := s.Now()
	e := &Entry{
		Number: no, Store: strconv.FormatUint(s.meta.store, 16), ID: m.ID, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, Key: m.Key,
		Bytes: len(m.Body), Body: m.Body, KeptStoreTime: at, KeptAt: s.set.Wall().UTC(),
	}
	e.lived(&l, at)
	e.History = []Event{{Kind: EventKept, At: at, WallTime: e.KeptAt, By: "dispatcher", Why: l.Cause}}
	e.State = e.state()
	r := &row{id: hashID(m.ID)}
	r.Number = no
	size, err := s.create(r, e, true)
	if err != nil {
		s.Counts.NotKept++
		return 0, err
	}
	s.fill(r, e, size)
	r.same = s.identity(m)
	s.insert(r)
	s.early[no] = 0
	s.Counts.Kept++
	return no, nil
}

// kept is the number under which a message is kept that its client handed in as id.
func (s *Store) kept(id string) (uint64, bool) {
	r := s.byID[hashID(id)]
	if r == nil {
		return 0, false
	}
	return r.Number, true
}

// create makes the file of an entry as it stands. What is new is kept only within the disk.
func (s *Store) create(r *row, e *Entry, fresh bool) (int64, error) {
	b, err := frame(e.Number, 0, e, e.Body)
	if err != nil {
		return 0, err
	}
	if fresh {
		if err := s.makeRoom(blocks(int64(len(b))), e); err != nil {
			return 0, err
		}
	}
	name := fileName(e.Number, r.id, e.gen)
	f, err := s.dir.Create(name)
	if err != nil {
		return 0, err
	}
	_, err = f.WriteAt(b, 0)
	if err == nil && s.set.Sync {
		err = errors.Join(f.Sync(), s.dir.Sync())
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		if gone := s.dir.Remove(name); gone != nil { // part of it may stay; its number is not used again
			err = errors.Join(err, gone)
		}
		return 0, err
	}
	e.size, e.torn, e.damage = int64(len(b)), false, false
	return e.size, nil
}

// RecordRefused lists a message that was handed back to its client.
func (s *Store) RecordRefused(h RefusedMessage) {
	s.Counts.Refused++
	h.At = s.set.Wall().UTC().Truncate(time.Millisecond)
	if err := s.refused.add(h); err != nil {
		s.fault("what is handed back can't be listed", err)
	}
}

// makeRoom takes entries out until there is room for so many bytes of an entry that is about to come.
func (s *Store) makeRoom(need int64, e *Entry) error {
	most := s.set.MaxDiskBytes - s.set.MaxDiskBytes/spareShare
	if s.used+need <= most {
		return nil
	}
	short := s.used + max(need, min(s.set.MaxDiskBytes/64, mostEvicted)) - most
	free := func(ok func(r *row) bool) {
		for i := 0; i < len(s.rows) && short > 0; i++ {
			r := s.rows[i]
			if r == nil || !ok(r) {
				continue
			}
			n := int64(r.size) * block
			if s.remove(r) == nil {
				short -= n
				s.Counts.Evicted++
				if i >= len(s.rows) || s.rows[i] != nil { // the list was made shorter
					i = -1
				}
			}
		}
	}
	lies := func(r *row) bool {
		st := states[r.state]
		return (st == Waiting || st == Held) && !s.EndNotStored(r.Number)
	}
	free(func(r *row) bool { return states[r.state] == Ended })
	if s.set.EvictLeastWorth {
		own := s.worth(s.texts.add(e.Class))
		worths := map[float64]bool{}
		for _, r := range s.rows {
			if r != nil && lies(r) {
				worths[s.worth(r.class)] = true
			}
		}
		for _, w := range slices.Sorted(maps.Keys(worths)) {
			if w > own { // it is worth less than all that lies here
				break
			}
			free(func(r *row) bool { return lies(r) && s.worth(r.class) == w })
		}
	} else {
		free(lies)
	}
	if s.used+need > most {
		return ErrNoSpace
	}
	s.fault("its share of the disk is used up: entries go", ErrNoSpace)
	return nil
}

func (s *Store) worth(class uint16) float64 {
	if c := s.class(s.texts.list[class]); c != nil {
		return c.Worth
	}
	return 0
}

// remove removes an entry with its file.
func (s *Store) remove(r *row) error {
	if err := s.dir.Remove(fileName(r.Number, r.id, int(r.gen))); err != nil && !errors.Is(err, fs.ErrNotExist) {
		s.fault("an entry can't be removed", err)
		return err
	}
	if s.drop != nil {
		s.drop(&r.Node)
	}
	s.forget(r)
	return nil
}

// OnRemove sets what is told of each entry that goes.
func (s *Store) OnRemove(f func(*resend.Node)) { s.drop = f }

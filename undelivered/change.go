package undelivered

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/resend"
)

// change adds what happened to an entry, in memory and in its file. With an error the file does not say so yet, and it is
// tried again.
func (s *Store) change(r *row, ev Event) (*Entry, error) {
	e, err := s.entry(r)
	if err != nil {
		s.fault("an entry can't be read", err)
		return nil, err
	}
	ev = s.now(ev)
	e.apply(ev)
	if err = s.write(r, e, &ev); err != nil {
		s.dirty[r.Number] = e
		s.Counts.Unwritten++
		s.fault("what happened to an entry can't be written; it is tried again", err)
	} else {
		delete(s.dirty, r.Number)
	}
	e.Body = nil
	s.settle(r, e)
	return e, err
}

func (s *Store) now(ev Event) Event {
	ev.At, ev.WallTime = s.Now(), s.set.Wall().UTC()
	if ev.By == "" {
		ev.By = "dispatcher"
	}
	return ev
}

// settle takes up how an entry stands.
func (s *Store) settle(r *row, e *Entry) {
	s.fill(r, e, int64(r.size)*block)
	delete(s.open, r.Number)
	delete(s.until, r.Number)
	switch {
	case e.Claim == nil:
	case e.Claim.Manual && e.Claim.SubmittedID == "": // there may be many: their files have the rest
		s.until[r.Number] = e.Claim.ExpiresAt
	default:
		e.Body = nil
		s.open[r.Number] = e
	}
}

// write writes an event, or the whole entry anew where its file lacks more than this event. The body of one that ended goes
// with a later sweep: to make a file and remove one takes longer than a line in one.
func (s *Store) write(r *row, e *Entry, ev *Event) error {
	if s.dirty[r.Number] != nil || e.damage {
		return s.rewrite(r, e)
	}
	err := s.append(r, e, ev)
	if err == nil && e.State == Ended {
		s.fat[r.Number] = true
	}
	return err
}

// append writes an event behind what an entry's file has.
func (s *Store) append(r *row, e *Entry, ev *Event) (err error) {
	b, err := frame(e.Number, e.size, ev, nil)
	if err != nil {
		return err
	}
	grown := blocks(e.size+int64(len(b))) - int64(r.size)*block
	if grown > 0 && s.used+grown > s.set.MaxDiskBytes {
		return ErrNoSpace
	}
	f, err := s.dir.Reopen(fileName(r.Number, r.id, int(r.gen)))
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	if e.torn {
		if err := f.Truncate(e.size); err != nil {
			return err
		}
	}
	e.torn = true // until all is there
	if _, err := f.WriteAt(b, e.size); err != nil {
		return err
	}
	if s.set.Sync {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	e.torn = false
	e.size += int64(len(b))
	s.resize(r, e.size)
	return nil
}

func (s *Store) resize(r *row, size int64) {
	s.used += blocks(size) - int64(r.size)*block
	r.size = uint32(blocks(size) / block)
}

// rewrite makes an entry's file anew, with all that it has behind it. Until the old one is gone the newer one counts.
func (s *Store) rewrite(r *row, e *Entry) error {
	was := int(r.gen)
	if e.State != Ended && e.Body == nil && e.Bytes > 0 {
		old, err := s.read(r)
		if err != nil {
			return err
		}
		e.Body = old.Body
	}
	if s.used+blocks(int64(len(e.Body))+8*block) > s.set.MaxDiskBytes {
		return ErrNoSpace
	}
	e.gen = was + 1
	size, err := s.create(r, e, false)
	if err != nil {
		e.gen = was
		return err
	}
	if err := s.dir.Remove(fileName(r.Number, r.id, was)); err != nil {
		s.fault("an old file stays", err) // it goes with the next start
	}
	r.gen = uint8(e.gen)
	s.resize(r, size)
	return nil
}

// ---- claims ----

// claimable is an entry that nobody has, as its file has it, with a new number for a claim.
func (s *Store) claimable(no uint64) (*row, *Entry, uint64, error) {
	r := s.row(no)
	switch {
	case r == nil:
		return nil, nil, 0, ErrNotFound
	case states[r.state] == Damaged:
		return nil, nil, 0, ErrDamaged
	case states[r.state] == Ended:
		return nil, nil, 0, ErrEnded
	case s.EndNotStored(no):
		return nil, nil, 0, ErrEndNotStored
	}
	e, err := s.entry(r)
	if err != nil {
		return nil, nil, 0, err
	}
	if e.Claim != nil {
		return nil, nil, 0, &ClaimedError{*e.Claim}
	}
	if len(e.History) >= mostHistory {
		return nil, nil, 0, fmt.Errorf("its history is full: %d events", len(e.History))
	}
	if s.dirty[no] != nil {
		if err := s.rewrite(r, e); err != nil {
			return nil, nil, 0, err
		}
		delete(s.dirty, no)
	}
	claim, err := s.number()
	return r, e, claim, err
}

// Claim gives an entry to somebody, or says who has it (ClaimedError). Nothing is claimed unless that is written.
func (s *Store) Claim(no uint64, c Claim) (*Entry, error) {
	r, e, claim, err := s.claimable(no)
	if err != nil {
		return nil, err
	}
	c.Number, c.ClaimedAt = claim, s.set.Wall().UTC()
	ev := s.now(Event{Kind: EventClaimed, By: c.By, Why: c.Why, Claim: &c, Token: c.Token})
	if err := s.append(r, e, &ev); err != nil {
		return nil, err
	}
	e.apply(ev)
	s.settle(r, e)
	return e, nil
}

// ClaimAndBeginSubmission is Claim and Hand in one write.
func (s *Store) ClaimAndBeginSubmission(no uint64, c Claim) (claim uint64, m engine.Message, err error) {
	r, e, claim, err := s.claimable(no)
	if err != nil {
		return 0, m, err
	}
	if e.Body == nil && e.Bytes > 0 {
		file, err := s.read(r)
		if err != nil {
			return 0, m, err
		}
		e.Body = file.Body
	}
	m = e.Message(lifeID(s.meta.store, no, claim))
	c.Number, c.ClaimedAt = claim, s.set.Wall().UTC()
	ev := s.now(Event{Kind: EventSubmitted, By: c.By, Why: c.Why, Claim: &c, ID: m.ID})
	if err := s.append(r, e, &ev); err != nil {
		return 0, m, err
	}
	e.apply(ev)
	s.settle(r, e)
	return claim, m, nil
}

// mine is the row of an entry that a claim has.
func (s *Store) mine(no, claim uint64) (*row, *Entry) {
	r := s.row(no)
	if r == nil {
		return nil, nil
	}
	e, err := s.entry(r)
	if err != nil || e.Claim == nil || e.Claim.Number != claim {
		return nil, nil
	}
	return r, e
}

// ActiveClaim is who has an entry, nil if nobody does.
func (s *Store) ActiveClaim(no uint64) *Claim {
	r := s.row(no)
	if r == nil || states[r.state] != Claimed && states[r.state] != InFlight {
		return nil
	}
	if e, err := s.entry(r); err == nil {
		return e.Claim
	}
	return nil
}

// Release gives a claim back; what was handed in under it was not taken.
func (s *Store) Release(no, claim uint64, why string) {
	if r, _ := s.mine(no, claim); r != nil {
		s.change(r, Event{Kind: EventReleased, Why: why})
	}
}

// RecordInquiry notes what a partner answered.
func (s *Store) RecordInquiry(no, claim uint64, a resend.Answer, why string) {
	if r, _ := s.mine(no, claim); r != nil {
		s.change(r, Event{Kind: EventInquired, Result: a.String(), Why: why})
	}
}

// ClearDoubt notes that an entry took no effect, and that no call of it can run any more.
func (s *Store) ClearDoubt(no, claim uint64, by, why string) error {
	r, _ := s.mine(no, claim)
	if r == nil {
		return ErrNotFound
	}
	_, err := s.change(r, Event{Kind: EventDoubtCleared, By: by, Why: why})
	return err
}

// BeginSubmission notes that an entry is about to be handed in, and returns what is. An error says that it must not be.
func (s *Store) BeginSubmission(no, claim uint64) (engine.Message, error) {
	r, e := s.mine(no, claim)
	if r == nil {
		return engine.Message{}, ErrNotFound
	}
	file, err := s.read(r)
	if err != nil {
		return engine.Message{}, err
	}
	if s.dirty[no] != nil { // the claim itself, or what was learned under it, may not be in the file
		return engine.Message{}, errors.New("what happened to it before is not written yet")
	}
	id := lifeID(s.meta.store, no, claim)
	ev := s.now(Event{Kind: EventSubmitted, ID: id})
	if err := s.append(r, e, &ev); err != nil {
		return engine.Message{}, err
	}
	e.apply(ev)
	s.settle(r, e)
	return file.Message(id), nil
}

// Hold leaves an entry to operators.
func (s *Store) Hold(no uint64, by, why string) {
	r := s.row(no)
	if r == nil || states[r.state] == Ended || states[r.state] == Damaged || s.texts.list[r.held] != "" {
		return
	}
	s.change(r, Event{Kind: EventHeld, By: by, Why: why})
}

// Disposition ends an entry for good. Its body goes, its history stays for a while.
func (s *Store) End(no uint64, how, by, why, token string) error {
	r := s.row(no)
	if r == nil {
		return ErrNotFound
	}
	if states[r.state] == Damaged { // there is nothing to write its end into
		return s.remove(r)
	}
	_, err := s.change(r, Event{Kind: EventEnded, Result: how, By: by, Why: why, Token: token})
	if s.drop != nil {
		s.drop(&r.Node)
	}
	return err
}

// SubmissionEnded takes up how a new life ended, before the journal has that. It returns the entry's number, 0 where there is none
// that waits for it.
func (s *Store) SubmissionEnded(id string, l Submission) (no uint64, taken bool) {
	store, no, claim, ok := parseLife(id)
	if !ok || store != s.meta.store {
		return 0, false
	}
	r, e := s.mine(no, claim)
	if r == nil || e.Claim.SubmittedID != id {
		return 0, false
	}
	s.change(r, Event{Kind: EventSubmissionEnded, ID: id, Result: l.Disposition, Submission: &l})
	if states[r.state] != Ended {
		s.early[no] = 0
	}
	return no, true
}

// await says that the ends of some entries' newest lives are in this batch of the journal's, 0: in none yet.
func (s *Store) await(b engine.Batch, list ...uint64) {
	for _, no := range list {
		if _, ok := s.early[no]; ok {
			s.early[no] = b
		}
	}
}

// lost says that the journal does not have the batches behind this one.
func (s *Store) lost(stored engine.Batch) {
	for no, b := range s.early {
		if b > stored {
			s.early[no] = 0
		}
	}
}

// stored says up to which batch the journal has all, and returns the entries that may be claimed from now on.
func (s *Store) stored(b engine.Batch) (list []uint64) {
	for no, at := range s.early {
		if at != 0 && at <= b {
			list = append(list, no)
			delete(s.early, no)
		}
	}
	slices.Sort(list)
	return list
}

// IsResentID tells whether an id is that of a new life from here.
func (s *Store) IsResentID(id string) bool {
	store, _, _, ok := parseLife(id)
	return ok && store == s.meta.store
}

// ---- the same message again ----

// CheckDuplicate says what speaks against a message that a client hands in (engine.Settings.Kept).
func (s *Store) CheckDuplicate(m *engine.Message) (engine.VerdictKind, string) {
	if len(s.rows) == s.gone {
		return engine.Accepted, ""
	}
	if s.IsResentID(m.ID) {
		return engine.AlreadyEnded, "id: it is one of those under which undelivered messages are sent again"
	}
	if r := s.byID[hashID(m.ID)]; r != nil {
		return engine.AlreadyEnded, fmt.Sprintf("id: its message failed and is kept as number %d", r.Number)
	}
	if m.Key == "" || s.orderly(m) {
		return engine.Accepted, ""
	}
	r := s.same(m)
	if r == nil {
		return engine.Accepted, ""
	}
	switch state := states[r.state]; {
	case state == Claimed || state == InFlight:
		return engine.Busy, fmt.Sprintf("key: its message is kept as number %d, and is being sent again", r.Number)
	case state == Ended && r.flags&took != 0:
		return engine.AlreadyEnded, fmt.Sprintf("key: its message was kept as number %d, and took effect", r.Number)
	case state != Ended && r.doubtAt != 0:
		return engine.AlreadyEnded, fmt.Sprintf("key: its message failed and is kept as number %d; it may have taken effect", r.Number)
	}
	return engine.Accepted, ""
}

func (s *Store) orderly(m *engine.Message) bool {
	c := s.class(m.Class)
	return c == nil || c.Ordered
}

func (s *Store) same(m *engine.Message) *row {
	if len(s.bySame) == 0 {
		return nil
	}
	if id := s.identity(m); id != 0 {
		return s.bySame[id]
	}
	return nil
}

// HoldDuplicates holds the entries whose message a client has handed in again.
func (s *Store) HoldDuplicates(m *engine.Message) {
	first := s.same(m)
	if first == nil || s.IsResentID(m.ID) {
		return
	}
	why := fmt.Sprintf("its client may have handed it in again, as %.100q", m.ID)
	if s.shared == 0 {
		s.Hold(first.Number, "dispatcher", why)
		return
	}
	for _, r := range slices.Clone(s.rows) {
		if r != nil && r.same == first.same {
			s.Hold(r.Number, "dispatcher", why)
		}
	}
}

// ---- a start ----

// Reconcile settles what the journal and the store say of the same messages: live and ended are what the journal has. It
// comes once, before anything else.
func (s *Store) Reconcile(live []*engine.RestoredMessage, ended []*engine.RestoredEnd) {
	alive := map[string]*engine.RestoredMessage{}
	for _, m := range live {
		alive[m.Message.ID] = m
		r := s.byID[hashID(m.Message.ID)]
		if m.Pending != nil || r == nil {
			continue
		}
		// The move was not made: the journal has it.
		if e := s.open[r.Number]; states[r.state] == Damaged || e == nil && r.tries == 0 {
			s.Counts.Void++
			s.remove(r)
		}
	}
	ends := map[string]*engine.RestoredEnd{}
	for _, p := range ended {
		if s.IsResentID(p.ID) {
			ends[p.ID] = p
		}
	}
	for _, m := range live { // also of those whose end is written here already, or whose record of being handed in was lost
		id := m.Message.ID
		store, no, claim, ok := parseLife(id)
		if r := s.row(no); ok && store == s.meta.store && r != nil && s.open[no] == nil && m.Pending == nil {
			if e, err := s.read(r); err == nil && e.State != Ended {
				c := Claim{Number: claim, By: "dispatcher", ClaimedAt: s.set.Wall().UTC()}
				s.change(r, Event{Kind: EventClaimed, Claim: &c, Why: "the journal has it"})
				s.change(r, Event{Kind: EventSubmitted, ID: id})
			}
		}
	}
	for _, r := range slices.Clone(s.rows) {
		if r == nil {
			continue
		}
		if states[r.state] == Damaged {
			s.Counts.Damaged++
			r.kept = s.Now()
			continue
		}
		e := s.open[r.Number]
		if e == nil {
			continue
		}
		if e.damage {
			s.mend(r, e)
		}
		s.resume(r, e, alive, ends)
	}
	if n := s.Counts.Damaged; n > 0 {
		s.log.Error("undelivered: files are damaged; nothing of them is sent but by an operator", "entries", n)
	}
}

// mend writes a damaged entry anew: what was told of it and can't be read may have been that it was sent.
func (s *Store) mend(r *row, e *Entry) {
	s.Counts.Damaged++
	if e.Doubt.FirstSent == 0 {
		e.Doubt.FirstSent = max(e.KeptStoreTime, 1)
	}
	e.Doubt.AgeUnknown, e.Doubt.QuietFrom = true, max(e.Doubt.QuietFrom, s.Now())
	if e.Claim != nil && e.Claim.SubmittedID == "" {
		e.Claim = nil
	}
	if _, err := s.change(r, Event{Kind: EventHeld, By: "dispatcher", Why: "some of what was told of it is damaged: it may have been sent since"}); err == nil {
		e.damage = false
	}
}

// resume takes up an entry that somebody had when the process before ended.
func (s *Store) resume(r *row, e *Entry, alive map[string]*engine.RestoredMessage, ends map[string]*engine.RestoredEnd) {
	s.settle(r, e)
	c := e.Claim
	switch {
	case c == nil:
		return
	case c.SubmittedID == "" && c.Manual:
		return
	case c.SubmittedID == "":
		s.change(r, Event{Kind: EventReleased, Why: "the dispatcher was started anew"})
		return
	}
	l := Submission{ID: c.SubmittedID, EndedAt: s.set.Wall().UTC(), QuietFrom: s.Now()}
	if m := alive[c.SubmittedID]; m != nil {
		if m.Pending == nil {
			return // the engine goes on with it
		}
		l.AttemptCount, l.Disposition, l.DoubtZone = m.Tries, howOf(m.Pending.Disposition), m.DoubtZone
		if m.DoubtAt != 0 {
			l.DoubtAt = s.handedAt(e)
		}
	} else if p := ends[c.SubmittedID]; p != nil {
		l.Disposition = howOf(p.Disposition)
		if p.Disposition == engine.Failed || p.Disposition == engine.Withdrawn {
			l.DoubtAt = s.handedAt(e)
		}
	} else {
		// Mostly it was never taken on. But its end may have been lost.
		s.Counts.Lost++
		l.Disposition, l.DoubtAt = "unknown", s.handedAt(e)
		l.Reason = "the dispatcher was started anew, and the journal has nothing of it"
	}
	if cl := s.class(e.Class); cl != nil && cl.Effect == control.Free {
		l.DoubtAt = 0
	}
	s.SubmissionEnded(c.SubmittedID, l)
	delete(s.early, r.Number)
}

// handedAt is when an entry's newest life was handed in: no attempt at it can be older.
func (s *Store) handedAt(e *Entry) Time {
	for i := len(e.History) - 1; i >= 0; i-- {
		if e.History[i].Kind == EventSubmitted {
			return max(e.History[i].At, 1)
		}
	}
	return max(e.KeptStoreTime, 1)
}

func howOf(h engine.Disposition) string {
	switch h {
	case engine.Delivered:
		return EndDelivered
	case engine.Closed:
		return EndClosed
	case engine.Refused:
		return "refused"
	case engine.Failed:
		return "failed"
	case engine.Withdrawn:
		return "withdrawn"
	}
	return fmt.Sprint("how ", uint8(h))
}

// ---- upkeep ----

// Cleanup looks at some entries, removes those whose time is over and gives back claims by hand whose time is, and tries
// writes again that failed: a few at a time, more tells that there are others.
func (s *Store) Cleanup() (released []uint64, more bool) {
	if s.Len() > 0 { // so that a clock that is set back while no process runs shows
		s.writeTimes(s.wallOffset())
	}
	for n, no := range slices.Sorted(maps.Keys(s.dirty)) {
		if n >= mostWritten {
			more = true
			break
		}
		r, e := s.row(no), s.dirty[no]
		if r == nil {
			continue
		}
		if s.rewrite(r, e) != nil { // what ails the disk ails the others, too
			break
		}
		e.Body = nil
		delete(s.dirty, no)
	}
	for n, no := range slices.Sorted(maps.Keys(s.fat)) {
		if n >= mostWritten {
			more = true
			break
		}
		delete(s.fat, no)
		r := s.row(no)
		if r == nil {
			continue
		}
		e, err := s.entry(r)
		if err == nil {
			e.Body = nil
			err = s.rewrite(r, e)
		}
		if err != nil { // it is tried again after the next start
			s.fault("the body of an entry that ended stays", err)
			break
		}
	}
	now := s.Now()
	for no, until := range s.until {
		if now < until {
			continue
		}
		if len(released) >= mostWritten {
			more = true
			break
		}
		if c := s.ActiveClaim(no); c != nil {
			s.Release(no, c.Number, "its time was over before it could be sent")
			released = append(released, no)
		}
	}
	slices.Sort(released)
	for n := 0; n < mostSwept && s.swept < len(s.rows); n++ {
		r := s.rows[s.swept]
		s.swept++
		if r == nil {
			continue
		}
		keep, since := s.set.Retention, r.kept
		switch states[r.state] {
		case Claimed, InFlight:
			continue
		case Ended:
			keep, since = s.set.EndedRetention, r.last
		default:
			if k, ok := s.set.ClassRetention[s.texts.list[r.class]]; ok {
				keep = k
			}
		}
		if keep > 0 && now-since > keep && !s.EndNotStored(r.Number) && s.remove(r) == nil {
			s.Counts.Removed++
		}
	}
	if s.swept >= len(s.rows) {
		s.swept = 0
	}
	return released, more
}

// ---- what there is ----

// Summary is how an entry stands, without its file.
type Summary struct {
	resend.Item
	State      State
	TookEffect bool
	node       *resend.Node
}

// Node is the entry's place in a planner.
func (s *Summary) Node() *resend.Node { return s.node }

// Get tells how an entry stands; false if there is none.
func (s *Store) Get(no uint64) (Summary, bool) {
	r := s.row(no)
	if r == nil {
		return Summary{}, false
	}
	return s.summary(r), true
}

func (s *Store) summary(r *row) Summary {
	out := Summary{State: states[r.state], TookEffect: r.flags&took != 0, node: &r.Node, Item: resend.Item{
		Number: r.Number, Destination: r.Destination(), Body: int(r.body), HasKey: r.flags&hasKey != 0, KeptAt: r.kept, LastEnd: r.last,
		Resends: int(r.tries), FailedInquiries: int(r.asks),
		Doubt: resend.Doubt{FirstSent: r.doubtAt, Zone: int(r.zone), QuietFrom: r.quiet, AgeUnknown: r.flags&ageless != 0},
	}}
	if out.State != Damaged {
		out.Class, out.Tenant, out.Cause, out.HoldReason = s.texts.list[r.class], s.texts.list[r.tenant], s.texts.list[r.cause], s.texts.list[r.held]
	}
	if out.Doubt.FirstSent != 0 { // calls of an earlier process may run on, whatever the wall clock says of its age
		out.Doubt.QuietFrom = max(out.Doubt.QuietFrom, s.base)
	}
	if out.FailedInquiries > 0 {
		if e, err := s.entry(r); err == nil {
			out.LastFailedInquiry = e.LastFailedInquiry
		}
	}
	return out
}

// Each tells of entries from a number on, as long as f returns true. f must not change the store.
func (s *Store) Each(from uint64, f func(Summary) bool) {
	i, _ := s.at(from)
	for ; i < len(s.rows); i++ {
		if r := s.rows[i]; r != nil && r.Number >= from && !f(s.summary(r)) {
			return
		}
	}
}

// Entry reads an entry, with its body if it has one.
func (s *Store) Entry(no uint64) (*Entry, error) {
	r := s.row(no)
	if r == nil {
		return nil, ErrNotFound
	}
	if e := s.dirty[no]; e != nil {
		return e, nil
	}
	return s.read(r)
}

// FileName is the file of an entry, "" if there is none.
func (s *Store) FileName(no uint64) string {
	if r := s.row(no); r != nil {
		return fileName(r.Number, r.id, int(r.gen))
	}
	return ""
}

// Len is how many entries there are, those that ended counted.
func (s *Store) Len() int { return len(s.rows) - s.gone }

// DiskBytes is what the files take, in bytes.
func (s *Store) DiskBytes() int64 { return s.used }

// EndNotStored tells that the journal does not have the end of an entry's newest life yet.
func (s *Store) EndNotStored(no uint64) bool {
	_, ok := s.early[no]
	return ok
}

// SubmittedID is the store's number, as files and ids have it.
func (s *Store) ID() uint64 { return s.meta.store }

// FindByID returns the numbers of entries that have an id: their client's, or one under which they were sent again.
func (s *Store) FindByID(id string) (list []uint64) {
	if store, no, _, ok := parseLife(id); ok && store == s.meta.store && s.row(no) != nil {
		list = append(list, no)
	}
	if no, ok := s.kept(id); ok {
		list = append(list, no)
	}
	return list
}

// HasAnyID tells whether an entry has one of these ids, or had it in one of its lives.
func (e *Entry) HasAnyID(ids []string) bool {
	return slices.Contains(ids, e.ID) || slices.ContainsFunc(e.Submissions, func(l Submission) bool { return slices.Contains(ids, l.ID) })
}

// Summary is how an entry stands that was read from a file.
func (e *Entry) Summary() Summary {
	out := Summary{State: e.State, TookEffect: e.Disposition == EndDelivered || e.Disposition == EndTookEffect, Item: resend.Item{
		Number: e.Number, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination, Cause: e.life().Cause, Body: e.Bytes, HasKey: e.Key != "",
		KeptAt: e.KeptStoreTime, LastEnd: e.LastEnd, Resends: e.Resends, FailedInquiries: e.FailedInquiries, LastFailedInquiry: e.LastFailedInquiry, HoldReason: e.HoldReason,
	}}
	out.Doubt = resend.Doubt{FirstSent: e.Doubt.FirstSent, Zone: e.Doubt.Zone, QuietFrom: e.Doubt.QuietFrom, AgeUnknown: e.Doubt.AgeUnknown}
	return out
}

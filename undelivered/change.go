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

// recordEvent applies an event in memory and writes it to the file. On error the file lacks the event, and the write
// is retried later.
func (s *Store) recordEvent(r *row, ev Event) (*Entry, error) {
	e, err := s.currentEntry(r)
	if err != nil {
		s.logFault("an entry can't be read", err)
		return nil, err
	}
	ev = s.stampEvent(ev)
	e.apply(ev)
	if err = s.writeEvent(r, e, &ev); err != nil {
		s.unwritten[r.Number] = e
		s.Counts.Unwritten++
		s.logFault("what happened to an entry can't be written; it is tried again", err)
	} else {
		delete(s.unwritten, r.Number)
	}
	e.Body = nil
	s.updateState(r, e)
	return e, err
}

func (s *Store) stampEvent(ev Event) Event {
	ev.At, ev.WallTime = s.Now(), s.settings.Wall().UTC()
	if ev.By == "" {
		ev.By = "dispatcher"
	}
	return ev
}

// updateState updates the row and the indexes of claims after a change of the entry.
func (s *Store) updateState(r *row, e *Entry) {
	s.updateRow(r, e, int64(r.blockCount)*blockSize)
	delete(s.claimedEntries, r.Number)
	delete(s.manualClaimExpiry, r.Number)
	switch {
	case e.Claim == nil:
	case e.Claim.Manual && e.Claim.SubmittedID == "": // there may be many, so only the expiry is kept in memory
		s.manualClaimExpiry[r.Number] = e.Claim.ExpiresAt
	default:
		e.Body = nil
		s.claimedEntries[r.Number] = e
	}
}

// writeEvent appends an event, or rewrites the whole file if the file lacks earlier events. The body of an entry that
// ended is removed by a later Cleanup, because creating and removing files takes longer than appending.
func (s *Store) writeEvent(r *row, e *Entry, ev *Event) error {
	if s.unwritten[r.Number] != nil || e.damaged {
		return s.rewrite(r, e)
	}
	err := s.appendEvent(r, e, ev)
	if err == nil && e.State == Ended {
		s.endedWithBody[r.Number] = true
	}
	return err
}

// appendEvent appends an event to an entry's file.
func (s *Store) appendEvent(r *row, e *Entry, ev *Event) (err error) {
	b, err := encodeFrame(e.Number, e.fileSize, ev, nil)
	if err != nil {
		return err
	}
	grown := roundUpToBlock(e.fileSize+int64(len(b))) - int64(r.blockCount)*blockSize
	if grown > 0 && s.diskBytes+grown > s.settings.MaxDiskBytes {
		return ErrNoSpace
	}
	f, err := s.dir.Reopen(fileName(r.Number, r.idHash, int(r.generation)))
	if err != nil {
		return err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	if e.hasPartialFrame {
		if err := f.Truncate(e.fileSize); err != nil {
			return err
		}
	}
	e.hasPartialFrame = true // until the write is complete
	if _, err := f.WriteAt(b, e.fileSize); err != nil {
		return err
	}
	if s.settings.Sync {
		if err := f.Sync(); err != nil {
			return err
		}
	}
	e.hasPartialFrame = false
	e.fileSize += int64(len(b))
	s.setFileSize(r, e.fileSize)
	return nil
}

func (s *Store) setFileSize(r *row, size int64) {
	s.diskBytes += roundUpToBlock(size) - int64(r.blockCount)*blockSize
	r.blockCount = uint32(roundUpToBlock(size) / blockSize)
}

// rewrite writes an entry to a new file of the next generation. Until the old file is removed, the newer one counts.
func (s *Store) rewrite(r *row, e *Entry) error {
	oldGeneration := int(r.generation)
	if e.State != Ended && e.Body == nil && e.Bytes > 0 {
		old, err := s.readEntry(r)
		if err != nil {
			return err
		}
		e.Body = old.Body
	}
	if s.diskBytes+roundUpToBlock(int64(len(e.Body))+8*blockSize) > s.settings.MaxDiskBytes {
		return ErrNoSpace
	}
	e.generation = oldGeneration + 1
	size, err := s.createFile(r, e, false)
	if err != nil {
		e.generation = oldGeneration
		return err
	}
	if err := s.dir.Remove(fileName(r.Number, r.idHash, oldGeneration)); err != nil {
		s.logFault("an old file of an entry can't be removed", err) // it is removed at the next start
	}
	r.generation = uint8(e.generation)
	s.setFileSize(r, size)
	return nil
}

// prepareClaim returns an entry that can be claimed, once its file is up to date, and a number for the claim.
func (s *Store) prepareClaim(no uint64) (*row, *Entry, uint64, error) {
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
	e, err := s.currentEntry(r)
	if err != nil {
		return nil, nil, 0, err
	}
	if e.Claim != nil {
		return nil, nil, 0, &ClaimedError{*e.Claim}
	}
	if len(e.History) >= maxHistoryEvents {
		return nil, nil, 0, fmt.Errorf("its history is full: %d events", len(e.History))
	}
	if s.unwritten[no] != nil {
		if err := s.rewrite(r, e); err != nil {
			return nil, nil, 0, err
		}
		delete(s.unwritten, no)
	}
	claim, err := s.nextNumber()
	return r, e, claim, err
}

// Claim claims an entry. It returns a ClaimedError if the entry is already claimed. Nothing is claimed unless the
// claim is written.
func (s *Store) Claim(no uint64, c Claim) (*Entry, error) {
	r, e, claim, err := s.prepareClaim(no)
	if err != nil {
		return nil, err
	}
	c.Number, c.ClaimedAt = claim, s.settings.Wall().UTC()
	ev := s.stampEvent(Event{Kind: EventClaimed, By: c.By, Why: c.Why, Claim: &c, Token: c.Token})
	if err := s.appendEvent(r, e, &ev); err != nil {
		return nil, err
	}
	e.apply(ev)
	s.updateState(r, e)
	return e, nil
}

// ClaimAndBeginSubmission is Claim and BeginSubmission in one write.
func (s *Store) ClaimAndBeginSubmission(no uint64, c Claim) (claim uint64, m engine.Message, err error) {
	r, e, claim, err := s.prepareClaim(no)
	if err != nil {
		return 0, m, err
	}
	if e.Body == nil && e.Bytes > 0 {
		file, err := s.readEntry(r)
		if err != nil {
			return 0, m, err
		}
		e.Body = file.Body
	}
	m = e.Message(resentID(s.meta.storeID, no, claim))
	c.Number, c.ClaimedAt = claim, s.settings.Wall().UTC()
	ev := s.stampEvent(Event{Kind: EventSubmitted, By: c.By, Why: c.Why, Claim: &c, ID: m.ID})
	if err := s.appendEvent(r, e, &ev); err != nil {
		return 0, m, err
	}
	e.apply(ev)
	s.updateState(r, e)
	return claim, m, nil
}

// claimedBy returns the entry if it is claimed under this claim's number, else nil.
func (s *Store) claimedBy(no, claim uint64) (*row, *Entry) {
	r := s.row(no)
	if r == nil {
		return nil, nil
	}
	e, err := s.currentEntry(r)
	if err != nil || e.Claim == nil || e.Claim.Number != claim {
		return nil, nil
	}
	return r, e
}

// ActiveClaim returns the claim on an entry, or nil.
func (s *Store) ActiveClaim(no uint64) *Claim {
	r := s.row(no)
	if r == nil || states[r.state] != Claimed && states[r.state] != InFlight {
		return nil
	}
	if e, err := s.currentEntry(r); err == nil {
		return e.Claim
	}
	return nil
}

// Release ends a claim. If a submission was made under it, that submission was not accepted.
func (s *Store) Release(no, claim uint64, why string) {
	if r, _ := s.claimedBy(no, claim); r != nil {
		s.recordEvent(r, Event{Kind: EventReleased, Why: why})
	}
}

// RecordInquiry records a partner's answer.
func (s *Store) RecordInquiry(no, claim uint64, a resend.Answer, why string) {
	if r, _ := s.claimedBy(no, claim); r != nil {
		s.recordEvent(r, Event{Kind: EventInquired, Result: a.String(), Why: why})
	}
}

// ClearDoubt records that a message had no effect and that no call of it can run any more.
func (s *Store) ClearDoubt(no, claim uint64, by, why string) error {
	r, _ := s.claimedBy(no, claim)
	if r == nil {
		return ErrNotFound
	}
	_, err := s.recordEvent(r, Event{Kind: EventDoubtCleared, By: by, Why: why})
	return err
}

// BeginSubmission records that an entry is about to be submitted and returns the message. On error it must not be
// submitted.
func (s *Store) BeginSubmission(no, claim uint64) (engine.Message, error) {
	r, e := s.claimedBy(no, claim)
	if r == nil {
		return engine.Message{}, ErrNotFound
	}
	file, err := s.readEntry(r)
	if err != nil {
		return engine.Message{}, err
	}
	if s.unwritten[no] != nil { // the file may lack the claim or events recorded under it
		return engine.Message{}, errors.New("what happened to it before is not written yet")
	}
	id := resentID(s.meta.storeID, no, claim)
	ev := s.stampEvent(Event{Kind: EventSubmitted, ID: id})
	if err := s.appendEvent(r, e, &ev); err != nil {
		return engine.Message{}, err
	}
	e.apply(ev)
	s.updateState(r, e)
	return file.Message(id), nil
}

// Hold reserves an entry for operators: no rule resends it.
func (s *Store) Hold(no uint64, by, why string) {
	r := s.row(no)
	if r == nil || states[r.state] == Ended || states[r.state] == Damaged || s.texts.values[r.holdReason] != "" {
		return
	}
	s.recordEvent(r, Event{Kind: EventHeld, By: by, Why: why})
}

// End ends an entry for good. Its body is removed; its history stays for EndedRetention.
func (s *Store) End(no uint64, how, by, why, token string) error {
	r := s.row(no)
	if r == nil {
		return ErrNotFound
	}
	if states[r.state] == Damaged { // the file can't take an event
		return s.remove(r)
	}
	_, err := s.recordEvent(r, Event{Kind: EventEnded, Result: how, By: by, Why: why, Token: token})
	if s.onRemove != nil {
		s.onRemove(&r.Node)
	}
	return err
}

// SubmissionEnded records the end of a resent message, before the journal does. taken is false if no entry has a claim
// with this id.
func (s *Store) SubmissionEnded(id string, submission Submission) (no uint64, taken bool) {
	store, no, claim, ok := parseResentID(id)
	if !ok || store != s.meta.storeID {
		return 0, false
	}
	r, e := s.claimedBy(no, claim)
	if r == nil || e.Claim.SubmittedID != id {
		return 0, false
	}
	s.recordEvent(r, Event{Kind: EventSubmissionEnded, ID: id, Result: submission.Disposition, Submission: &submission})
	if states[r.state] != Ended {
		s.endNotStored[no] = 0
	}
	return no, true
}

// setEndBatch records that the ends of these entries' newest submissions are in journal batch b.
func (s *Store) setEndBatch(b engine.Batch, list ...uint64) {
	for _, no := range list {
		if _, ok := s.endNotStored[no]; ok {
			s.endNotStored[no] = b
		}
	}
}

// batchesLost records that the journal did not store the batches after this one.
func (s *Store) batchesLost(stored engine.Batch) {
	for no, b := range s.endNotStored {
		if b > stored {
			s.endNotStored[no] = 0
		}
	}
}

// batchesStored records that the journal has all batches up to b, and returns the entries that may be claimed from now
// on.
func (s *Store) batchesStored(b engine.Batch) (list []uint64) {
	for no, at := range s.endNotStored {
		if at != 0 && at <= b {
			list = append(list, no)
			delete(s.endNotStored, no)
		}
	}
	slices.Sort(list)
	return list
}

// IsResentID reports whether an id was made by this store for a resent message.
func (s *Store) IsResentID(id string) bool {
	store, _, _, ok := parseResentID(id)
	return ok && store == s.meta.storeID
}

// CheckDuplicate returns the verdict on a message that a client submits, and the reason if an entry rules it out
// (engine.Settings.CheckUndelivered).
func (s *Store) CheckDuplicate(m *engine.Message) (engine.VerdictKind, string) {
	if len(s.rows) == s.removedRows {
		return engine.Accepted, ""
	}
	if s.IsResentID(m.ID) {
		return engine.AlreadyEnded, "id: it is one of those under which undelivered messages are sent again"
	}
	if r := s.byID[hashID(m.ID)]; r != nil {
		return engine.AlreadyEnded, fmt.Sprintf("id: its message failed and is kept as number %d", r.Number)
	}
	if m.Key == "" || s.inOrderedClass(m) {
		return engine.Accepted, ""
	}
	r := s.findIdentical(m)
	if r == nil {
		return engine.Accepted, ""
	}
	switch state := states[r.state]; {
	case state == Claimed || state == InFlight:
		return engine.Busy, fmt.Sprintf("key: its message is kept as number %d, and is being sent again", r.Number)
	case state == Ended && r.flags&tookEffect != 0:
		return engine.AlreadyEnded, fmt.Sprintf("key: its message was kept as number %d, and took effect", r.Number)
	case state != Ended && r.doubtAt != 0:
		return engine.AlreadyEnded, fmt.Sprintf("key: its message failed and is kept as number %d; it may have taken effect", r.Number)
	}
	return engine.Accepted, ""
}

func (s *Store) inOrderedClass(m *engine.Message) bool {
	c := s.class(m.Class)
	return c == nil || c.Ordered
}

func (s *Store) findIdentical(m *engine.Message) *row {
	if len(s.byIdentity) == 0 {
		return nil
	}
	if id := s.identity(m); id != 0 {
		return s.byIdentity[id]
	}
	return nil
}

// HoldDuplicates reserves for operators (Hold) the entries of a message that a client has submitted again.
func (s *Store) HoldDuplicates(m *engine.Message) {
	first := s.findIdentical(m)
	if first == nil || s.IsResentID(m.ID) {
		return
	}
	why := fmt.Sprintf("its client may have handed it in again, as %.100q", m.ID)
	if s.displacedRows == 0 {
		s.Hold(first.Number, "dispatcher", why)
		return
	}
	for _, r := range slices.Clone(s.rows) {
		if r != nil && r.identity == first.identity {
			s.Hold(r.Number, "dispatcher", why)
		}
	}
}

// Reconcile brings the store into line with the journal at a start. live and ended are the messages of the journal. It
// must be called once, before any other method.
func (s *Store) Reconcile(live []*engine.RestoredMessage, ended []*engine.RestoredEnd) {
	alive := map[string]*engine.RestoredMessage{}
	for _, m := range live {
		alive[m.Message.ID] = m
		r := s.byID[hashID(m.Message.ID)]
		if m.Pending != nil || r == nil {
			continue
		}
		// The message was not moved: the journal still has it.
		if e := s.claimedEntries[r.Number]; states[r.state] == Damaged || e == nil && r.resends == 0 {
			s.Counts.Void++
			s.remove(r)
		}
	}
	endedHere := map[string]*engine.RestoredEnd{}
	for _, p := range ended {
		if s.IsResentID(p.ID) {
			endedHere[p.ID] = p
		}
	}
	for _, m := range live { // the end may be recorded here already, or the record of the submission may be lost
		id := m.Message.ID
		store, no, claim, ok := parseResentID(id)
		if r := s.row(no); ok && store == s.meta.storeID && r != nil && s.claimedEntries[no] == nil && m.Pending == nil {
			if e, err := s.readEntry(r); err == nil && e.State != Ended {
				c := Claim{Number: claim, By: "dispatcher", ClaimedAt: s.settings.Wall().UTC()}
				s.recordEvent(r, Event{Kind: EventClaimed, Claim: &c, Why: "the journal has it"})
				s.recordEvent(r, Event{Kind: EventSubmitted, ID: id})
			}
		}
	}
	for _, r := range slices.Clone(s.rows) {
		if r == nil {
			continue
		}
		if states[r.state] == Damaged {
			s.Counts.Damaged++
			r.keptAt = s.Now()
			continue
		}
		e := s.claimedEntries[r.Number]
		if e == nil {
			continue
		}
		if e.damaged {
			s.repair(r, e)
		}
		s.resumeClaimed(r, e, alive, endedHere)
	}
	if n := s.Counts.Damaged; n > 0 {
		s.log.Error("undelivered: files are damaged; no rule resends their messages", "entries", n)
	}
}

// repair rewrites a damaged entry. It becomes Held and in doubt, because the unreadable events may have recorded a
// submission.
func (s *Store) repair(r *row, e *Entry) {
	s.Counts.Damaged++
	if e.Doubt.FirstSent == 0 {
		e.Doubt.FirstSent = max(e.KeptStoreTime, 1)
	}
	e.Doubt.AgeUnknown, e.Doubt.QuietFrom = true, max(e.Doubt.QuietFrom, s.Now())
	if e.Claim != nil && e.Claim.SubmittedID == "" {
		e.Claim = nil
	}
	if _, err := s.recordEvent(r, Event{Kind: EventHeld, By: "dispatcher", Why: "some of what was told of it is damaged: it may have been sent since"}); err == nil {
		e.damaged = false
	}
}

// resumeClaimed continues with an entry that was claimed when the previous process ended.
func (s *Store) resumeClaimed(r *row, e *Entry, alive map[string]*engine.RestoredMessage, ended map[string]*engine.RestoredEnd) {
	s.updateState(r, e)
	c := e.Claim
	switch {
	case c == nil:
		return
	case c.SubmittedID == "" && c.Manual:
		return
	case c.SubmittedID == "":
		s.recordEvent(r, Event{Kind: EventReleased, Why: "the dispatcher was started anew"})
		return
	}
	submission := Submission{ID: c.SubmittedID, EndedAt: s.settings.Wall().UTC(), QuietFrom: s.Now()}
	if m := alive[c.SubmittedID]; m != nil {
		if m.Pending == nil {
			return // the engine continues with it
		}
		submission.AttemptCount, submission.Disposition, submission.DoubtZone = m.Tries, dispositionName(m.Pending.Disposition), m.DoubtZone
		if m.DoubtAt != 0 {
			submission.DoubtAt = s.submittedAt(e)
		}
	} else if p := ended[c.SubmittedID]; p != nil {
		submission.Disposition = dispositionName(p.Disposition)
		if p.Disposition == engine.Failed || p.Disposition == engine.Withdrawn {
			submission.DoubtAt = s.submittedAt(e)
		}
	} else {
		// Usually it was never accepted, but its end may have been lost.
		s.Counts.Lost++
		submission.Disposition, submission.DoubtAt = "unknown", s.submittedAt(e)
		submission.Reason = "the dispatcher was started anew, and the journal has nothing of it"
	}
	if cl := s.class(e.Class); cl != nil && cl.Effect == control.Free {
		submission.DoubtAt = 0
	}
	s.SubmissionEnded(c.SubmittedID, submission)
	delete(s.endNotStored, r.Number)
}

// submittedAt returns when an entry's newest submission began. No attempt of it can be older.
func (s *Store) submittedAt(e *Entry) Time {
	for i := len(e.History) - 1; i >= 0; i-- {
		if e.History[i].Kind == EventSubmitted {
			return max(e.History[i].At, 1)
		}
	}
	return max(e.KeptStoreTime, 1)
}

func dispositionName(h engine.Disposition) string {
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

// Cleanup retries failed writes, removes the bodies of ended entries, releases expired manual claims and removes
// expired entries. Each call does a limited part of this work. more reports that a limit on writes or releases was
// reached.
func (s *Store) Cleanup() (released []uint64, more bool) {
	if s.Len() > 0 { // makes a clock that is set back while no process runs detectable
		s.writeTimes(s.wallOffset())
	}
	for n, no := range slices.Sorted(maps.Keys(s.unwritten)) {
		if n >= maxWritesPerCleanup {
			more = true
			break
		}
		r, e := s.row(no), s.unwritten[no]
		if r == nil {
			continue
		}
		if s.rewrite(r, e) != nil { // the other writes would fail, too
			break
		}
		e.Body = nil
		delete(s.unwritten, no)
	}
	for n, no := range slices.Sorted(maps.Keys(s.endedWithBody)) {
		if n >= maxWritesPerCleanup {
			more = true
			break
		}
		delete(s.endedWithBody, no)
		r := s.row(no)
		if r == nil {
			continue
		}
		e, err := s.currentEntry(r)
		if err == nil {
			e.Body = nil
			err = s.rewrite(r, e)
		}
		if err != nil { // it is retried after the next start
			s.logFault("the body of an entry that ended can't be removed", err)
			break
		}
	}
	now := s.Now()
	for no, until := range s.manualClaimExpiry {
		if now < until {
			continue
		}
		if len(released) >= maxWritesPerCleanup {
			more = true
			break
		}
		if c := s.ActiveClaim(no); c != nil {
			s.Release(no, c.Number, "its time was over before it could be sent")
			released = append(released, no)
		}
	}
	slices.Sort(released)
	for n := 0; n < maxRowsPerCleanup && s.cleanupPosition < len(s.rows); n++ {
		r := s.rows[s.cleanupPosition]
		s.cleanupPosition++
		if r == nil {
			continue
		}
		keep, since := s.settings.Retention, r.keptAt
		switch states[r.state] {
		case Claimed, InFlight:
			continue
		case Ended:
			keep, since = s.settings.EndedRetention, r.lastEnd
		default:
			if k, ok := s.settings.ClassRetention[s.texts.values[r.class]]; ok {
				keep = k
			}
		}
		if keep > 0 && now-since > keep && !s.EndNotStored(r.Number) && s.remove(r) == nil {
			s.Counts.Removed++
		}
	}
	if s.cleanupPosition >= len(s.rows) {
		s.cleanupPosition = 0
	}
	return released, more
}

// Summary is the state of an entry without its file.
type Summary struct {
	resend.Item
	State      State
	TookEffect bool
	node       *resend.Node
}

// Node returns the entry's node in a planner.
func (s *Summary) Node() *resend.Node { return s.node }

// Get returns the summary of an entry. ok is false if there is none.
func (s *Store) Get(no uint64) (Summary, bool) {
	r := s.row(no)
	if r == nil {
		return Summary{}, false
	}
	return s.summary(r), true
}

func (s *Store) summary(r *row) Summary {
	out := Summary{State: states[r.state], TookEffect: r.flags&tookEffect != 0, node: &r.Node, Item: resend.Item{
		Number: r.Number, Destination: r.Destination(), Body: int(r.bodyBytes), HasKey: r.flags&hasKey != 0, KeptAt: r.keptAt, LastEnd: r.lastEnd,
		Resends: int(r.resends), FailedInquiries: int(r.failedInquiries),
		Doubt: resend.Doubt{FirstSent: r.doubtAt, Zone: int(r.zone), QuietFrom: r.quietFrom, AgeUnknown: r.flags&ageUnknown != 0},
	}}
	if out.State != Damaged {
		out.Class, out.Tenant, out.Cause, out.HoldReason = s.texts.values[r.class], s.texts.values[r.tenant], s.texts.values[r.cause], s.texts.values[r.holdReason]
	}
	if out.Doubt.FirstSent != 0 { // calls of an earlier process may still run, whatever the wall clock says
		out.Doubt.QuietFrom = max(out.Doubt.QuietFrom, s.baseTime)
	}
	if out.FailedInquiries > 0 {
		if e, err := s.currentEntry(r); err == nil {
			out.LastFailedInquiry = e.LastFailedInquiry
		}
	}
	return out
}

// Each calls f for each entry, starting at a number, until f returns false. f must not change the store.
func (s *Store) Each(from uint64, f func(Summary) bool) {
	i, _ := s.rowIndex(from)
	for ; i < len(s.rows); i++ {
		if r := s.rows[i]; r != nil && r.Number >= from && !f(s.summary(r)) {
			return
		}
	}
}

// Entry returns an entry, with its body if that is still stored.
func (s *Store) Entry(no uint64) (*Entry, error) {
	r := s.row(no)
	if r == nil {
		return nil, ErrNotFound
	}
	if e := s.unwritten[no]; e != nil {
		return e, nil
	}
	return s.readEntry(r)
}

// FileName returns the name of an entry's file, or "" if there is none.
func (s *Store) FileName(no uint64) string {
	if r := s.row(no); r != nil {
		return fileName(r.Number, r.idHash, int(r.generation))
	}
	return ""
}

// Len returns the number of entries, including those that ended.
func (s *Store) Len() int { return len(s.rows) - s.removedRows }

// DiskBytes returns the disk space that the files take.
func (s *Store) DiskBytes() int64 { return s.diskBytes }

// EndNotStored reports whether the journal still lacks the end of an entry's newest submission.
func (s *Store) EndNotStored(no uint64) bool {
	_, ok := s.endNotStored[no]
	return ok
}

// ID returns the id of the store, as used in files and ids.
func (s *Store) ID() uint64 { return s.meta.storeID }

// FindByID returns the numbers of entries with an id, either of the client or of a later submission.
func (s *Store) FindByID(id string) (list []uint64) {
	if store, no, _, ok := parseResentID(id); ok && store == s.meta.storeID && s.row(no) != nil {
		list = append(list, no)
	}
	if no, ok := s.numberOf(id); ok {
		list = append(list, no)
	}
	return list
}

// HasAnyID reports whether the entry or any of its submissions has one of these ids.
func (e *Entry) HasAnyID(ids []string) bool {
	return slices.Contains(ids, e.ID) || slices.ContainsFunc(e.Submissions, func(l Submission) bool { return slices.Contains(ids, l.ID) })
}

// Summary returns the summary of an entry that was read from a file.
func (e *Entry) Summary() Summary {
	out := Summary{State: e.State, TookEffect: e.Disposition == EndDelivered || e.Disposition == EndTookEffect, Item: resend.Item{
		Number: e.Number, Class: e.Class, Tenant: e.Tenant, Destination: e.Destination, Cause: e.lastSubmission().Cause, Body: e.Bytes, HasKey: e.Key != "",
		KeptAt: e.KeptStoreTime, LastEnd: e.LastEnd, Resends: e.Resends, FailedInquiries: e.FailedInquiries, LastFailedInquiry: e.LastFailedInquiry, HoldReason: e.HoldReason,
	}}
	out.Doubt = resend.Doubt{FirstSent: e.Doubt.FirstSent, Zone: e.Doubt.Zone, QuietFrom: e.Doubt.QuietFrom, AgeUnknown: e.Doubt.AgeUnknown}
	return out
}

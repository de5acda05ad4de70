package journal

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"

	"curlewmux/engine"
)

// Findings says what is unusual or wrong in a folder. See HasDamage for what counts as damage.
type Findings struct {
	UnfinishedBytes  int64    // unfinished writes at the end, which never counted
	DamagedBytes     int64    // bytes before the end that can't be read
	MissingSegments  int      // segments that do not exist or are completely unreadable
	LostMessages     uint64   // full records of messages lost there, at most; some of the messages may have ended
	LostFacts        uint64   // facts lost there whose repetitions are lost, too
	RecoveredFacts   uint64   // facts lost there and read from a repetition
	DoubtfulMessages int      // live messages that lost facts may be about: it is not known whether they ran, or even ended
	ForeignFiles     []string // segments of other journals, left as they are
}

// OK reports whether there is neither damage nor a foreign file.
func (f *Findings) OK() bool { return !f.isDamaged() && len(f.ForeignFiles) == 0 }

func (f *Findings) isDamaged() bool {
	return f.DamagedBytes > 0 || f.MissingSegments > 0 || f.LostMessages > 0 || f.LostFacts > 0 || f.RecoveredFacts > 0
}

// HasDamage reports whether stored data may be lost. Foreign files and an unfinished write are no damage.
func (f *Findings) HasDamage() bool { return f.isDamaged() }

func (f *Findings) log(log *slog.Logger) {
	if f.UnfinishedBytes > 0 {
		log.Warn("journal: the log ends in an unfinished write, which is ignored", "bytes", f.UnfinishedBytes)
	}
	if !f.OK() {
		log.Error("journal: the folder is damaged; the rest of it is used", "bytes", f.DamagedBytes, "segments", f.MissingSegments,
			"messages", f.LostMessages, "records", f.LostFacts, "saved", f.RecoveredFacts, "doubtful", f.DoubtfulMessages, "foreign", f.ForeignFiles)
	}
}

// recovery is the state of reading a folder, and the result of it.
type recovery struct {
	*table
	findings         Findings
	owner            string
	anyOwner         bool   // any owner is accepted; owner is then set to that of the journal found
	identity         uint64 // 0 if there is no segment
	segments         []*segment
	nextFrame        uint64 // next number
	nextFact         uint64 // next number
	nextFull         uint64 // next number
	firstSeq         uint64 // segments before this one are obsolete
	gaplessFirst     uint64 // highest firstSeq with nothing missing between that segment and the record that names it
	lastSeq          uint64
	foreignBytes     int64
	migrated         bool     // the log holds a kindFirstSegment record, so everything of the first format is in it
	obsolete         []string // files whose content is no longer needed
	obsoleteBefore   int      // length of obsolete before the segments were read
	unfinishedBefore int64    // findings.UnfinishedBytes before the segments were read
	v1Files          []string // files of the first format
	v1Bytes          int64    // disk use of v1Files
	started          bool     // nextFrame, nextFact and nextFull are known
	byNum            map[uint64]known
	interned         map[string]string // classes and tenants, each stored once

	syncedFrame     uint64 // frames before this one were synced
	syncedFact      uint64 // facts before this one were synced
	unreadableBytes int64  // bytes since the last valid frame
	frameMissing    bool   // a frame is missing
	secondPass      bool   // the folder is read for the second time
	logEnded        bool   // the log ended before the current position
	gapCount        int32  // number of places so far where facts are lost
	losses          []loss
	missingFacts    []factRange
	recoveredFacts  map[uint64][]byte // missing facts that are repeated elsewhere, by number
}

// known is a message and what the recovery knows of it.
type known struct {
	*node
	fullAtGap  int32 // gapCount when its full state was last read
	aliveAtGap int32 // gapCount when a record last showed that it is live
}

// loss is what is missing before a place in a segment.
type loss struct {
	place                      uint64 // see advance
	bytes                      int64
	messages, facts, recovered uint64
}

// factRange is a range of fact numbers. The end is not part of it.
type factRange struct{ from, to uint64 }

// candidate is a file that is named like a segment.
type candidate struct {
	name         string
	number       uint64 // from its name
	size         int64
	header       header
	framesOffset int64 // offset of the first frame
	err          error // errBadHeader if the header can't be read
}

// readFolder reads the folder without changing it: the journal of one owner, or of any owner.
func readFolder(dir Dir, owner string, anyOwner bool) (*recovery, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	r := &recovery{owner: owner, anyOwner: anyOwner, interned: map[string]string{}}
	r.reset()
	var candidates []*candidate
	for _, name := range names {
		n, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		c, err := inspectFile(dir, name, n)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		r.lastSeq = max(r.lastSeq, n, c.header.seq)
		candidates = append(candidates, c)
	}
	chain := r.chooseChain(candidates)
	if len(chain) == 0 {
		for _, c := range candidates {
			if c.err == nil {
				return nil, fmt.Errorf("%w: that of %q", ErrOtherOwner, c.header.owner)
			}
		}
	}
	if err := r.replay(dir, chain); err != nil {
		return nil, err
	}
	// If something is missing, the folder is read again. By now it is known which of the missing frames had been
	// synced and which missing facts are repeated elsewhere. Obsolete segments are left out, as they need not follow
	// each other.
	for more := r.frameMissing; more; more = slices.ContainsFunc(chain, func(c *candidate) bool { return c.header.seq < r.gaplessFirst }) {
		var remaining []*candidate
		obsolete := r.obsolete[:r.obsoleteBefore:r.obsoleteBefore]
		for _, c := range chain {
			switch {
			case c.header.seq >= r.gaplessFirst:
				remaining = append(remaining, c)
			case !c.isMissing():
				obsolete = append(obsolete, c.name)
			}
		}
		chain = remaining
		r.reset()
		r.obsolete, r.findings.UnfinishedBytes, r.secondPass = obsolete, r.unfinishedBefore, true
		if err := r.replay(dir, chain); err != nil {
			return nil, err
		}
	}
	r.buildIndex()
	r.resolveLostFacts()
	v1Files, v1Temps := listV1Files(names)
	r.obsolete = append(r.obsolete, v1Temps...)
	if r.migrated {
		r.obsolete = append(r.obsolete, v1Files...)
		return r, nil
	}
	if len(v1Files) == 0 {
		return r, nil
	}
	// The conversion from the first format was interrupted: its segments are obsolete, and the old files are read.
	for _, c := range chain {
		if !c.isMissing() {
			r.obsolete = append(r.obsolete, c.name)
		}
	}
	r.reset()
	r.identity, r.deferIndex = 0, false
	return r, r.readV1(dir, v1Files)
}

// reset prepares for reading the segments from the beginning.
func (r *recovery) reset() {
	r.table, r.byNum = newTable(), map[uint64]known{}
	r.noUndo, r.deferIndex = true, true
	r.nextFrame, r.nextFact, r.nextFull, r.firstSeq, r.gaplessFirst, r.started, r.migrated = 0, 0, 0, 0, 0, false, false
	r.gapCount, r.unreadableBytes, r.logEnded, r.losses, r.missingFacts, r.segments, r.findings = 0, 0, false, nil, nil, nil, Findings{ForeignFiles: r.findings.ForeignFiles}
}

func (c *candidate) isMissing() bool { return c.name == "" }

// inspectFile reads the header of a file.
func inspectFile(dir Dir, name string, n uint64) (*candidate, error) {
	f, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := &candidate{name: name, number: n}
	if c.size, err = f.Size(); err != nil {
		return nil, err
	}
	text := make([]byte, min(c.size, headerCopyOffset+maxHeaderSize+64))
	if err := readFull(f, text); err != nil {
		return nil, err
	}
	c.header, c.framesOffset, c.err = readHeader(text)
	if errors.Is(c.err, ErrNewerFormat) {
		return nil, c.err
	}
	return c, nil
}

// readFull reads len(b) bytes from the start of a file.
func readFull(f File, b []byte) error {
	if n, err := f.ReadAt(b, 0); n < len(b) || err != nil && !errors.Is(err, io.EOF) {
		return cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return nil
}

// chooseChain returns the segments that make up the journal, oldest first. Segments that should exist and do not are
// in the list without a name.
func (r *recovery) chooseChain(candidates []*candidate) []*candidate {
	count, newest := map[uint64]int{}, map[uint64]uint64{}
	for _, c := range candidates {
		if c.err == nil && (r.anyOwner || c.header.owner == r.owner) {
			count[c.header.identity]++
			newest[c.header.identity] = max(newest[c.header.identity], c.header.seq)
		}
	}
	for _, c := range candidates { // the journal with the most segments, then the one with the highest sequence number
		if id := c.header.identity; count[id] > 0 && c.err == nil {
			if d := cmp.Or(cmp.Compare(count[id], count[r.identity]), cmp.Compare(newest[id], newest[r.identity])); d > 0 {
				r.identity, r.owner = id, c.header.owner
			}
		}
	}
	bySeq := map[uint64]*candidate{}
	var nameless []*candidate // files without a readable header
	for _, c := range candidates {
		switch {
		case c.err != nil:
			nameless = append(nameless, c)
		case c.header.identity != r.identity || c.header.owner != r.owner:
			r.foreignBytes += blocks(c.size)
			r.findings.ForeignFiles = append(r.findings.ForeignFiles, c.name)
		case bySeq[c.header.seq] == nil:
			bySeq[c.header.seq] = c
		default: // the same segment twice: the file with the matching name is used
			if c.number == c.header.seq {
				c, bySeq[c.header.seq] = bySeq[c.header.seq], c
			}
			r.obsolete = append(r.obsolete, c.name)
		}
	}
	var chain []*candidate
	link := segmentLink{seq: newest[r.identity]}
	if c := bySeq[link.seq]; c != nil {
		link = segmentLink{link.seq, c.header.salt, c.size}
	}
	for link.seq > 0 && (len(chain) == 0 || link.seq >= chain[0].header.firstSeq) {
		c := bySeq[link.seq]
		if c != nil && c.header.salt != link.salt {
			r.obsolete = append(r.obsolete, c.name)
			c = nil
		}
		if c == nil {
			for i, unnamed := range nameless { // the header is lost, but the next segment names the salt of its frames
				if unnamed.number == link.seq {
					c = unnamed
					c.header = header{identity: r.identity, seq: link.seq, salt: link.salt}
					nameless = slices.Delete(nameless, i, i+1)
					break
				}
			}
		}
		if c == nil {
			c = &candidate{header: header{seq: link.seq, salt: link.salt}}
		}
		delete(bySeq, link.seq)
		c.size, c.number = link.validSize, link.seq
		chain = append([]*candidate{c}, chain...)
		link = c.header.prev
		if c.err != nil || c.isMissing() || link.seq >= c.header.seq { // the segments before it are not known
			link = segmentLink{}
			for seq, other := range bySeq {
				if seq < c.header.seq && seq > link.seq {
					link = segmentLink{seq, other.header.salt, other.size}
				}
			}
		}
	}
	for _, c := range candidates { // no other segment links to it: it is from a failed write, or obsolete
		if bySeq[c.header.seq] == c && c.err == nil {
			r.obsolete = append(r.obsolete, c.name)
		}
	}
	for _, c := range nameless {
		r.obsolete = append(r.obsolete, c.name)
		r.findings.UnfinishedBytes += c.size
	}
	return chain
}

// replay applies the segments of a chain. The log ends at the first gap in frames that were never confirmed as
// synced.
func (r *recovery) replay(dir Dir, chain []*candidate) error {
	r.obsoleteBefore, r.unfinishedBefore = len(r.obsolete), r.findings.UnfinishedBytes
	var missing, lost []uint64
	for i, c := range chain {
		if c.isMissing() {
			missing = append(missing, c.header.seq)
			continue
		}
		if r.logEnded {
			r.obsolete = append(r.obsolete, c.name)
			continue
		}
		text, diskSize, err := readFile(dir, c.name)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		limit := min(c.size, diskSize)
		current := &segment{seq: c.header.seq, salt: c.header.salt, name: c.name, validSize: c.framesOffset, diskSize: diskSize}
		if c.err == nil {
			r.enterSegment(&c.header)
		}
		scanned := scanFrames(text[:limit], c.header.salt, c.framesOffset, func(payload []byte, at, after int64) {
			if r.unreadableBytes += at - after; r.logEnded {
				return
			}
			if !r.applyFrame(payload, current.seq) {
				r.findings.DamagedBytes += int64(len(payload))
			}
			if !r.logEnded {
				current.validSize = at + frameHeaderSize + int64(len(payload))
			}
		})
		switch {
		case r.logEnded && current.validSize == c.framesOffset, c.err != nil && scanned.frameCount == 0: // none of it counts, or can be read
			if !r.logEnded {
				missing = append(missing, c.header.seq)
			}
			r.obsolete = append(r.obsolete, c.name)
			continue
		case r.logEnded || i == len(chain)-1:
			r.findings.UnfinishedBytes += diskSize - current.validSize
		default:
			r.unreadableBytes += max(c.size-current.validSize, 0)
		}
		lost, missing = append(lost, missing...), nil
		r.segments = append(r.segments, current)
	}
	for _, seq := range lost { // between segments that are in use
		if seq >= r.firstSeq {
			r.findings.MissingSegments++
		}
	}
	for _, lost := range r.losses {
		if lost.place > 2*r.firstSeq { // a loss before the first frame of a segment belongs to the segment before it
			r.findings.DamagedBytes += lost.bytes
			r.findings.LostMessages += lost.messages
			r.findings.LostFacts += lost.facts
			r.findings.RecoveredFacts += lost.recovered
		}
	}
	for len(r.segments) > 0 && r.segments[0].seq < r.firstSeq {
		r.obsolete = append(r.obsolete, r.segments[0].name)
		r.segments = r.segments[1:]
	}
	return nil
}

// readFile reads a whole file. size is its length.
func readFile(dir Dir, name string) (text []byte, size int64, err error) {
	f, err := dir.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer f.Close()
	if size, err = f.Size(); err != nil {
		return nil, 0, err
	}
	text = make([]byte, size)
	return text, size, readFull(f, text)
}

// enterSegment starts reading a segment.
func (r *recovery) enterSegment(h *header) {
	if !r.advance(counters{frame: h.nextFrame, fact: h.nextFact, full: h.nextFull}, 2*h.seq) {
		return
	}
	r.dropBefore(min(h.firstSeq, h.seq))
	r.num = max(r.num, h.lastMessage)
	if h.clockShift != r.shift {
		r.stepClock(int64(h.clockShift - r.shift))
	}
	r.noteTime(h.latestTime)
}

// advance moves on to the numbers of a frame, or of a segment before its first frame, and notes what is missing before
// them. The place is twice the sequence number of the segment, plus one for a frame. advance returns false if the log
// ends before the place.
func (r *recovery) advance(n counters, place uint64) bool {
	if !r.started {
		r.started = true
	} else if n.frame > r.nextFrame {
		r.frameMissing = true
		if r.secondPass && n.frame > r.syncedFrame {
			r.logEnded = true
			n.frame, n.fact, n.full = max(r.nextFrame, r.syncedFrame), max(r.nextFact, min(n.fact, r.syncedFact)), r.nextFull
		}
		if n.frame == r.nextFrame {
			r.findings.UnfinishedBytes += r.unreadableBytes
		} else {
			r.addGap(n, place)
		}
	}
	r.unreadableBytes = 0
	r.nextFrame, r.nextFact, r.nextFull = n.frame, n.fact, n.full
	return !r.logEnded
}

// dropBefore removes what is only in segments before the given one.
func (r *recovery) dropBefore(first uint64) {
	r.firstSeq = max(r.firstSeq, first)
	if !slices.ContainsFunc(r.losses, func(l loss) bool { return l.place > 2*first }) {
		r.gaplessFirst = max(r.gaplessFirst, first)
	}
	for n := r.oldest(); n != nil && n.seg < r.firstSeq; n = r.oldest() {
		r.removeNode(n)
	}
}

// applyFrame applies a frame. It returns false if the content can't be decoded. The records before that point count.
func (r *recovery) applyFrame(payload []byte, seg uint64) bool {
	frame := &reader{buf: payload, interned: r.interned}
	numbers := frame.counters()
	if frame.err != nil {
		return false
	}
	r.syncedFrame = max(r.syncedFrame, numbers.frame-min(numbers.unsyncedFrames, numbers.frame))
	r.syncedFact = max(r.syncedFact, numbers.fact-min(numbers.unsyncedFacts, numbers.fact))
	if !r.advance(numbers, 2*seg+1) {
		return true
	}
	r.nextFrame++
	for len(frame.buf) > 0 {
		if kind(frame.buf[0]) == kindLeaf { // there are many leaves, so no record is allocated
			frame.byte()
			number, text := frame.uvarint(), frame.bytes()
			if frame.err != nil {
				return false
			}
			r.setLeafCopy(number, seg, text)
			continue
		}
		rec, err := frame.record()
		if err != nil {
			return false
		}
		r.applyRecord(&rec, seg)
		if rec.kind.isFact() {
			r.nextFact++
		}
	}
	return true
}

// addGap notes that something is missing between the current numbers and the given ones. It applies those of the
// missing facts that are repeated elsewhere.
func (r *recovery) addGap(n counters, place uint64) {
	gap := loss{place: place, bytes: r.unreadableBytes}
	if n.full > r.nextFull {
		gap.messages = n.full - r.nextFull
	}
	if n.fact > r.nextFact {
		r.missingFacts = append(r.missingFacts, factRange{r.nextFact, n.fact})
		gap.facts = n.fact - r.nextFact
		var here []uint64
		for number := range r.recoveredFacts {
			if number >= r.nextFact && number < n.fact {
				here = append(here, number)
			}
		}
		slices.Sort(here)
		for _, number := range here {
			decoder := &reader{buf: r.recoveredFacts[number]}
			if rec, err := decoder.record(); err == nil {
				r.applyRecord(&rec, place/2)
				gap.facts--
				gap.recovered++
			}
		}
	}
	if gap.facts > 0 {
		r.gapCount++
	}
	r.losses = append(r.losses, gap)
}

// saveRepeats keeps those of the repeated facts that are missing. first is the number of the first one.
func (r *recovery) saveRepeats(first uint64, facts []byte) {
	for decoder := (&reader{buf: facts}); len(decoder.buf) > 0; first++ {
		rest := decoder.buf
		if _, err := decoder.record(); err != nil {
			return
		}
		for _, missing := range r.missingFacts {
			if first >= missing.from && first < missing.to && r.recoveredFacts[first] == nil {
				if r.recoveredFacts == nil {
					r.recoveredFacts = map[uint64][]byte{}
				}
				r.recoveredFacts[first] = rest[:len(rest)-len(decoder.buf)]
			}
		}
	}
}

// resolveLostFacts decides about messages that lost facts may have been about. A message with a later record is live,
// and may have run. Of the others it is not even known whether they are live: they are not sent again, get a pending
// failure and remain in doubt.
func (r *recovery) resolveLostFacts() {
	if r.gapCount == 0 {
		return
	}
	for n := r.root.next; n != &r.root; n = n.next {
		k := r.byNum[n.num]
		if n.live == nil || k.fullAtGap == r.gapCount {
			continue
		}
		r.findings.DoubtfulMessages++
		r.setState(n, n.live.tries+1, doubt{since: 1}) // a time so long ago that no endpoint remembers the key
		if k.aliveAtGap < r.gapCount && n.live.pending == nil {
			r.setPending(n, &engine.PendingResult{Disposition: engine.Failed, Fingerprint: n.live.msg.Fingerprint()})
		}
	}
}

// applyRecord applies one record.
func (r *recovery) applyRecord(rec *record, seg uint64) {
	if rec.kind == kindState {
		r.noteTime(rec.doubt.since)
	}
	var k known
	if rec.num != 0 {
		k = r.byNum[rec.num]
	}
	if k.node == nil || k.live == nil {
		switch rec.kind {
		case kindNeverRan, kindState, kindPending:
			return
		case kindEnded: // the message's own record may be lost with its segment
			if k.node == nil && rec.until != 0 {
				r.addNode(r.addTombstone(rec.num, seg, rec.msg.ID, rec.disposition, rec.until, rec.fingerprint))
			}
			return
		}
	} else {
		r.markAlive(k)
	}
	switch rec.kind {
	case kindAccepted, kindCopy:
		r.nextFull++
		if k.node != nil {
			r.removeNode(k.node)
		}
		n := r.accept(rec.num, seg, &rec.msg, rec.deadline)
		r.addNode(n)
		if rec.kind == kindCopy {
			r.setState(n, rec.tries, rec.doubt)
			if rec.pending != nil {
				r.setPending(n, rec.pending)
			}
		}
	case kindTombstone:
		r.nextFull++
		if k.node != nil {
			r.removeNode(k.node)
		}
		r.addNode(r.addTombstone(rec.num, seg, rec.msg.ID, rec.disposition, rec.until, rec.fingerprint))
	case kindAttempts:
		r.noteTime(rec.at)
		for _, entry := range rec.attempts {
			if k := r.byNum[entry.num]; k.node != nil && k.live != nil {
				r.addAttempt(k.node, rec.at, entry.zone)
				r.markAlive(k)
			}
		}
	case kindNeverRan:
		r.neverRan(k.node)
	case kindState:
		r.setState(k.node, rec.tries, rec.doubt)
		r.byNum[rec.num] = known{k.node, r.gapCount, r.gapCount}
	case kindPending:
		r.setPending(k.node, rec.pending)
	case kindEnded:
		r.end(k.node, seg, rec.disposition, rec.until, rec.fingerprint)
		if rec.until == 0 {
			delete(r.byNum, rec.num)
		}
	case kindClockStep:
		r.stepClock(rec.clockStep)
	case kindFirstSegment:
		r.migrated = true
		r.dropBefore(min(rec.number, seg))
	case kindRepeat:
		r.saveRepeats(rec.number, rec.payload)
	}
}

// addNode adds a node to byNum.
func (r *recovery) addNode(n *node) { r.byNum[n.num] = known{n, r.gapCount, r.gapCount} }

// markAlive notes that a message is live.
func (r *recovery) markAlive(k known) {
	if k.aliveAtGap != r.gapCount {
		k.aliveAtGap = r.gapCount
		r.byNum[k.num] = k
	}
}

// removeNode removes a node from the table and from byNum.
func (r *recovery) removeNode(n *node) {
	delete(r.byNum, n.num)
	if n.live != nil {
		r.end(n, 0, 0, 0, 0)
	} else {
		r.forget(n)
	}
}

// readV1 reads files of the first format.
func (r *recovery) readV1(dir Dir, names []string) error {
	for i, name := range names {
		text, size, err := readFile(dir, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		validEnd, damaged := replayV1(text, r.applyV1)
		r.findings.DamagedBytes += int64(damaged)
		if i == len(names)-1 {
			r.findings.UnfinishedBytes += int64(len(text) - validEnd)
		} else {
			r.findings.DamagedBytes += int64(len(text) - validEnd)
		}
		r.v1Files = append(r.v1Files, name)
		r.v1Bytes += blocks(size)
	}
	return nil
}

// toState returns the content of the table for the engine.
func (t *table) toState(findings Findings) *State {
	state := &State{Last: engine.RestoreComplete{LatestTimestamp: t.toWall(t.last)}, Findings: findings, Leaves: t.leaves()}
	var live, ended []*node
	newest := map[string]*node{}
	for n := t.root.next; n != &t.root; n = n.next {
		if n.leaf != nil {
			continue
		}
		if n.live != nil {
			live = append(live, n)
		} else if other := newest[n.id]; t.live[n.id] == nil && (other == nil || other.num < n.num) {
			newest[n.id] = n
		}
	}
	for n := t.root.next; n != &t.root; n = n.next {
		if n.live == nil && n.leaf == nil && newest[n.id] == n {
			ended = append(ended, n)
		}
	}
	byNum := func(a, b *node) int { return cmp.Compare(a.num, b.num) }
	slices.SortFunc(live, byNum)
	slices.SortFunc(ended, byNum)
	for _, n := range live {
		message := n.live
		state.Live = append(state.Live, &engine.RestoredMessage{
			Message: message.msg, Deadline: t.toWall(message.deadline), Tries: message.tries, DoubtAt: t.toWall(message.doubt.since),
			DoubtZone: message.doubt.zone, Pending: message.pending,
		})
	}
	for _, n := range ended {
		state.Ended = append(state.Ended, &engine.RestoredEnd{ID: n.id, Disposition: n.disposition, Until: t.toWall(n.until), Fingerprint: n.fingerprint})
	}
	return state
}

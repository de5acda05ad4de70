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

// Findings is what was wrong with a folder. All of it but Cut is damage.
type Findings struct {
	UnfinishedBytes  int64    // bytes of unfinished writes at the end, which never counted
	DamagedBytes     int64    // bytes that can't be read, before the end
	MissingSegments  int      // segments that are not there, or of which nothing can be read
	LostMessages     uint64   // whole records of messages lost with these, at most; some may have ended
	LostFacts        uint64   // records about messages lost with these, and not found a second time
	RecoveredFacts   uint64   // the same, found a second time
	DoubtfulMessages int      // live messages that these may have been about: whether they ran, or even ended, is not known
	ForeignFiles     []string // segments of other journals, left as they are
}

// OK tells that nothing is wrong.
func (f *Findings) OK() bool { return !f.damaged() && len(f.ForeignFiles) == 0 }

func (f *Findings) damaged() bool {
	return f.DamagedBytes > 0 || f.MissingSegments > 0 || f.LostMessages > 0 || f.LostFacts > 0 || f.RecoveredFacts > 0
}

// HasDamage tells that something of what counted may be lost: not where only foreign files were found, or an unfinished
// write.
func (f *Findings) HasDamage() bool { return f.damaged() }

func (f *Findings) log(log *slog.Logger) {
	if f.UnfinishedBytes > 0 {
		log.Warn("journal: it ends in an unfinished write, which does not count", "bytes", f.UnfinishedBytes)
	}
	if !f.OK() {
		log.Error("journal: the folder is damaged; the rest of it is used", "bytes", f.DamagedBytes, "segments", f.MissingSegments,
			"messages", f.LostMessages, "records", f.LostFacts, "saved", f.RecoveredFacts, "doubtful", f.DoubtfulMessages, "foreign", f.ForeignFiles)
	}
}

// reading is a folder as it was read.
type reading struct {
	*table
	found    Findings
	owner    string
	anyone   bool   // owner is that of the journal that is found
	identity uint64 // 0 if there is no segment
	segs     []*segment
	frame    uint64 // next numbers
	fact     uint64
	whole    uint64
	first    uint64
	floor    uint64 // the same, as far as nothing is missing between that segment and what says so
	lastSeq  uint64
	alien    int64
	began    bool     // the log says where it begins: what was in the first format is all there
	useless  []string // files that hold nothing that counts
	unread   int      // of these, before the segments were read
	cut      int64    // found.Cut, the same
	old      []string // files of the first format
	oldBytes int64
	started  bool // fact and whole are known
	byNum    map[uint64]known
	names    map[string]string // of classes and tenants, each kept once

	sureFrame uint64 // frames and facts before these had been confirmed
	sureFact  uint64
	hole      int64 // bytes since the last good frame
	holes     bool  // a frame is missing
	again     bool  // the folder is read for the second time
	ended     bool  // the log ends before where reading is
	gaps      int32 // places so far where facts are missing
	losses    []loss
	missing   []span
	saved     map[uint64][]byte // facts that are missing, as an echo tells them
}

// known is a message as reading knows it.
type known struct {
	*node
	whole int32 // gaps that there were when all of it was told, last
	alive int32 // gaps that there were when it was last heard of
}

// loss is what is missing before a place in a segment.
type loss struct {
	place                  uint64 // see jump
	bytes                  int64
	messages, facts, again uint64
}

// span is a range of numbers of facts, the end not in it.
type span struct{ from, to uint64 }

// candidate is a file that looks like a segment.
type candidate struct {
	name   string
	number uint64 // in its name
	size   int64
	head   header
	frames int64 // offset
	err    error // of reading the header: errHeader
}

// read reads the folder without changing it: the journal of one owner, or of any.
func read(dir Dir, owner string, anyone bool) (*reading, error) {
	names, err := dir.List()
	if err != nil {
		return nil, err
	}
	r := &reading{owner: owner, anyone: anyone, names: map[string]string{}}
	r.reset()
	var list []*candidate
	for _, name := range names {
		n, ok := segmentNumber(name)
		if !ok {
			continue
		}
		c, err := inspect(dir, name, n)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		r.lastSeq = max(r.lastSeq, n, c.head.seq)
		list = append(list, c)
	}
	chain := r.choose(list)
	if len(chain) == 0 {
		for _, c := range list {
			if c.err == nil {
				return nil, fmt.Errorf("%w: that of %q", ErrOtherOwner, c.head.owner)
			}
		}
	}
	if err := r.replay(dir, chain); err != nil {
		return nil, err
	}
	// Where something is missing it is read once more, now that it is known what of it had been confirmed and what an echo
	// tells; without segments that are void, which need not follow each other.
	for more := r.holes; more; more = slices.ContainsFunc(chain, func(c *candidate) bool { return c.head.seq < r.floor }) {
		var left []*candidate
		useless := r.useless[:r.unread:r.unread]
		for _, c := range chain {
			switch {
			case c.head.seq >= r.floor:
				left = append(left, c)
			case !c.gone():
				useless = append(useless, c.name)
			}
		}
		chain = left
		r.reset()
		r.useless, r.found.UnfinishedBytes, r.again = useless, r.cut, true
		if err := r.replay(dir, chain); err != nil {
			return nil, err
		}
	}
	r.index()
	r.judge()
	old, temps := oldFiles(names)
	r.useless = append(r.useless, temps...)
	if r.began {
		r.useless = append(r.useless, old...)
		return r, nil
	}
	if len(old) == 0 {
		return r, nil
	}
	// What is there of this format is the begin of a change from the first one that was cut off.
	for _, c := range chain {
		if !c.gone() {
			r.useless = append(r.useless, c.name)
		}
	}
	r.reset()
	r.identity, r.bulk = 0, false
	return r, r.readOld(dir, old)
}

func (r *reading) reset() {
	r.table, r.byNum = newTable(), map[uint64]known{}
	r.final, r.bulk = true, true
	r.frame, r.fact, r.whole, r.first, r.floor, r.started, r.began = 0, 0, 0, 0, 0, false, false
	r.gaps, r.hole, r.ended, r.losses, r.missing, r.segs, r.found = 0, 0, false, nil, nil, nil, Findings{ForeignFiles: r.found.ForeignFiles}
}

func (c *candidate) gone() bool { return c.name == "" }

// inspect reads the header of a file.
func inspect(dir Dir, name string, n uint64) (*candidate, error) {
	f, err := dir.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := &candidate{name: name, number: n}
	if c.size, err = f.Size(); err != nil {
		return nil, err
	}
	text := make([]byte, min(c.size, headerCopy+headerMax+64))
	if err := readFull(f, text); err != nil {
		return nil, err
	}
	c.head, c.frames, c.err = readHeader(text)
	if errors.Is(c.err, ErrNewerFormat) {
		return nil, c.err
	}
	return c, nil
}

func readFull(f File, b []byte) error {
	if n, err := f.ReadAt(b, 0); n < len(b) || err != nil && !errors.Is(err, io.EOF) {
		return cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return nil
}

// choose finds the segments that make up the journal, oldest first. Segments that ought to be there and are not are in
// the list without a name.
func (r *reading) choose(list []*candidate) []*candidate {
	count, newest := map[uint64]int{}, map[uint64]uint64{}
	for _, c := range list {
		if c.err == nil && (r.anyone || c.head.owner == r.owner) {
			count[c.head.identity]++
			newest[c.head.identity] = max(newest[c.head.identity], c.head.seq)
		}
	}
	for _, c := range list { // the journal with the most segments, then with the highest number
		if id := c.head.identity; count[id] > 0 && c.err == nil {
			if d := cmp.Or(cmp.Compare(count[id], count[r.identity]), cmp.Compare(newest[id], newest[r.identity])); d > 0 {
				r.identity, r.owner = id, c.head.owner
			}
		}
	}
	bySeq := map[uint64]*candidate{}
	var nameless []*candidate // no header to be read
	for _, c := range list {
		switch {
		case c.err != nil:
			nameless = append(nameless, c)
		case c.head.identity != r.identity || c.head.owner != r.owner:
			r.alien += blocks(c.size)
			r.found.ForeignFiles = append(r.found.ForeignFiles, c.name)
		case bySeq[c.head.seq] == nil:
			bySeq[c.head.seq] = c
		default: // the same segment twice: the one in its place counts
			if c.number == c.head.seq {
				c, bySeq[c.head.seq] = bySeq[c.head.seq], c
			}
			r.useless = append(r.useless, c.name)
		}
	}
	var chain []*candidate
	at := link{seq: newest[r.identity]}
	if c := bySeq[at.seq]; c != nil {
		at = link{at.seq, c.head.salt, c.size}
	}
	for at.seq > 0 && (len(chain) == 0 || at.seq >= chain[0].head.first) {
		c := bySeq[at.seq]
		if c != nil && c.head.salt != at.salt {
			r.useless = append(r.useless, c.name)
			c = nil
		}
		if c == nil {
			for i, u := range nameless { // the header is lost, but the next one says with what its frames are checked
				if u.number == at.seq {
					c = u
					c.head = header{identity: r.identity, seq: at.seq, salt: at.salt}
					nameless = slices.Delete(nameless, i, i+1)
					break
				}
			}
		}
		if c == nil {
			c = &candidate{head: header{seq: at.seq, salt: at.salt}}
		}
		delete(bySeq, at.seq)
		c.size, c.number = at.size, at.seq
		chain = append([]*candidate{c}, chain...)
		at = c.head.prev
		if c.err != nil || c.gone() || at.seq >= c.head.seq { // what came before it is not known
			at = link{}
			for seq, o := range bySeq {
				if seq < c.head.seq && seq > at.seq {
					at = link{seq, o.head.salt, o.size}
				}
			}
		}
	}
	for _, c := range list { // begun and never linked: a write that failed, or was void already
		if bySeq[c.head.seq] == c && c.err == nil {
			r.useless = append(r.useless, c.name)
		}
	}
	for _, c := range nameless {
		r.useless = append(r.useless, c.name)
		r.found.UnfinishedBytes += c.size
	}
	return chain
}

// replay applies the segments of a chain, up to the first hole in what was never confirmed: that is where the log ends.
func (r *reading) replay(dir Dir, chain []*candidate) error {
	r.unread, r.cut = len(r.useless), r.found.UnfinishedBytes
	var missing, lost []uint64
	for i, c := range chain {
		if c.gone() {
			missing = append(missing, c.head.seq)
			continue
		}
		if r.ended {
			r.useless = append(r.useless, c.name)
			continue
		}
		text, disk, err := readFile(dir, c.name)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		limit := min(c.size, disk)
		s := &segment{seq: c.head.seq, salt: c.head.salt, name: c.name, size: c.frames, disk: disk}
		if c.err == nil {
			r.enter(&c.head)
		}
		sc := scanFrames(text[:limit], c.head.salt, c.frames, func(payload []byte, at, after int64) {
			if r.hole += at - after; r.ended {
				return
			}
			if !r.apply(payload, s.seq) {
				r.found.DamagedBytes += int64(len(payload))
			}
			if !r.ended {
				s.size = at + frameHead + int64(len(payload))
			}
		})
		switch {
		case r.ended && s.size == c.frames, c.err != nil && sc.frames == 0: // nothing of it counts, or can be read
			if !r.ended {
				missing = append(missing, c.head.seq)
			}
			r.useless = append(r.useless, c.name)
			continue
		case r.ended || i == len(chain)-1:
			r.found.UnfinishedBytes += disk - s.size
		default:
			r.hole += max(c.size-s.size, 0)
		}
		lost, missing = append(lost, missing...), nil
		r.segs = append(r.segs, s)
	}
	for _, seq := range lost { // between segments that count
		if seq >= r.first {
			r.found.MissingSegments++
		}
	}
	for _, l := range r.losses {
		if l.place > 2*r.first { // at the begin of a segment it is of the one before
			r.found.DamagedBytes += l.bytes
			r.found.LostMessages += l.messages
			r.found.LostFacts += l.facts
			r.found.RecoveredFacts += l.again
		}
	}
	for len(r.segs) > 0 && r.segs[0].seq < r.first {
		r.useless = append(r.useless, r.segs[0].name)
		r.segs = r.segs[1:]
	}
	return nil
}

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

// enter begins a segment.
func (r *reading) enter(h *header) {
	if !r.jump(numbers{frame: h.frame, fact: h.fact, whole: h.whole}, 2*h.seq) {
		return
	}
	r.void(min(h.first, h.seq))
	r.num = max(r.num, h.num)
	if h.shift != r.shift {
		r.step(int64(h.shift - r.shift))
	}
	r.seen(h.last)
}

// jump goes on with the numbers of a frame, or of a segment before its first one: the place is its number twice, and one
// more for a frame. It returns false where the log ends before it.
func (r *reading) jump(n numbers, place uint64) bool {
	if !r.started {
		r.started = true
	} else if n.frame > r.frame {
		r.holes = true
		if r.again && n.frame > r.sureFrame {
			r.ended = true
			n.frame, n.fact, n.whole = max(r.frame, r.sureFrame), max(r.fact, min(n.fact, r.sureFact)), r.whole
		}
		if n.frame == r.frame {
			r.found.UnfinishedBytes += r.hole
		} else {
			r.gap(n, place)
		}
	}
	r.hole = 0
	r.frame, r.fact, r.whole = n.frame, n.fact, n.whole
	return !r.ended
}

// void drops what is only in segments before one.
func (r *reading) void(first uint64) {
	r.first = max(r.first, first)
	if !slices.ContainsFunc(r.losses, func(l loss) bool { return l.place > 2*first }) {
		r.floor = max(r.floor, first)
	}
	for n := r.oldest(); n != nil && n.seg < r.first; n = r.oldest() {
		r.remove(n)
	}
}

// apply applies a frame. It returns false if its content is of no known form; what was read of it before that counts.
func (r *reading) apply(payload []byte, seg uint64) bool {
	f := &reader{buf: payload, names: r.names}
	n := f.numbers()
	if f.err != nil {
		return false
	}
	r.sureFrame = max(r.sureFrame, n.frame-min(n.openFrames, n.frame))
	r.sureFact = max(r.sureFact, n.fact-min(n.openFacts, n.fact))
	if !r.jump(n, 2*seg+1) {
		return true
	}
	r.frame++
	for len(f.buf) > 0 {
		if kind(f.buf[0]) == kindLeaf { // there are many: no record is made of them
			f.byte()
			number, text := f.num(), f.bytes()
			if f.err != nil {
				return false
			}
			r.turnCopy(number, seg, text)
			continue
		}
		rec, err := f.record()
		if err != nil {
			return false
		}
		r.one(&rec, seg)
		if rec.kind.fact() {
			r.fact++
		}
	}
	return true
}

// gap is a place where something is missing, up to the numbers given. Facts that an echo tells are put in.
func (r *reading) gap(n numbers, place uint64) {
	g := loss{place: place, bytes: r.hole}
	if n.whole > r.whole {
		g.messages = n.whole - r.whole
	}
	if n.fact > r.fact {
		r.missing = append(r.missing, span{r.fact, n.fact})
		g.facts = n.fact - r.fact
		var here []uint64
		for f := range r.saved {
			if f >= r.fact && f < n.fact {
				here = append(here, f)
			}
		}
		slices.Sort(here)
		for _, f := range here {
			rd := &reader{buf: r.saved[f]}
			if rec, err := rd.record(); err == nil {
				r.one(&rec, place/2)
				g.facts--
				g.again++
			}
		}
	}
	if g.facts > 0 {
		r.gaps++
	}
	r.losses = append(r.losses, g)
}

// echo saves what an echo tells of facts that are missing.
func (r *reading) echo(first uint64, facts []byte) {
	for rd := (&reader{buf: facts}); len(rd.buf) > 0; first++ {
		at := rd.buf
		if _, err := rd.record(); err != nil {
			return
		}
		for _, s := range r.missing {
			if first >= s.from && first < s.to && r.saved[first] == nil {
				if r.saved == nil {
					r.saved = map[uint64][]byte{}
				}
				r.saved[first] = at[:len(at)-len(rd.buf)]
			}
		}
	}
}

// judge settles what became of messages that missing facts may have been about. What was heard of since is alive, and
// may have run; of the others not even that is known: they are not sent again, and whoever waits is told that nothing is
// promised.
func (r *reading) judge() {
	if r.gaps == 0 {
		return
	}
	for n := r.root.next; n != &r.root; n = n.next {
		k := r.byNum[n.num]
		if n.life == nil || k.whole == r.gaps {
			continue
		}
		r.found.DoubtfulMessages++
		r.state(n, n.life.tries+1, doubt{at: 1}) // out of the time that any key is remembered
		if k.alive < r.gaps && n.life.owed == nil {
			r.owe(n, &engine.PendingResult{Disposition: engine.Failed, Fingerprint: n.life.msg.Fingerprint()})
		}
	}
}

// one applies one record.
func (r *reading) one(rec *record, seg uint64) {
	if rec.kind == kindState {
		r.seen(rec.doubt.at)
	}
	var k known
	if rec.num != 0 {
		k = r.byNum[rec.num]
	}
	if k.node == nil || k.life == nil {
		switch rec.kind {
		case kindNeverRan, kindState, kindOwed:
			return
		case kindEnded: // the message itself may be gone with its segment
			if k.node == nil && rec.until != 0 {
				r.add(r.stone(rec.num, seg, rec.msg.ID, rec.how, rec.until, rec.print))
			}
			return
		}
	} else {
		r.isAlive(k)
	}
	switch rec.kind {
	case kindTaken, kindCopy:
		r.whole++
		if k.node != nil {
			r.remove(k.node)
		}
		n := r.take(rec.num, seg, &rec.msg, rec.deadline)
		r.add(n)
		if rec.kind == kindCopy {
			r.state(n, rec.tries, rec.doubt)
			if rec.owed != nil {
				r.owe(n, rec.owed)
			}
		}
	case kindStone:
		r.whole++
		if k.node != nil {
			r.remove(k.node)
		}
		r.add(r.stone(rec.num, seg, rec.msg.ID, rec.how, rec.until, rec.print))
	case kindAttempts:
		r.seen(rec.at)
		for _, p := range rec.list {
			if k := r.byNum[p.num]; k.node != nil && k.life != nil {
				r.attempt(k.node, rec.at, p.zone)
				r.isAlive(k)
			}
		}
	case kindNeverRan:
		r.neverRan(k.node)
	case kindState:
		r.state(k.node, rec.tries, rec.doubt)
		r.byNum[rec.num] = known{k.node, r.gaps, r.gaps}
	case kindOwed:
		r.owe(k.node, rec.owed)
	case kindEnded:
		r.end(k.node, seg, rec.how, rec.until, rec.print)
		if rec.until == 0 {
			delete(r.byNum, rec.num)
		}
	case kindShift:
		r.step(rec.shift)
	case kindFirst:
		r.began = true
		r.void(min(rec.first, seg))
	case kindEcho:
		r.echo(rec.first, rec.facts)
	}
}

func (r *reading) add(n *node) { r.byNum[n.num] = known{n, r.gaps, r.gaps} }

// isAlive notes that a message is alive.
func (r *reading) isAlive(k known) {
	if k.alive != r.gaps {
		k.alive = r.gaps
		r.byNum[k.num] = k
	}
}

func (r *reading) remove(n *node) {
	delete(r.byNum, n.num)
	if n.life != nil {
		r.end(n, 0, 0, 0, 0)
	} else {
		r.forget(n)
	}
}

// readOld reads files of the first format.
func (r *reading) readOld(dir Dir, names []string) error {
	for i, name := range names {
		text, size, err := readFile(dir, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		good, bad := oldReplay(text, r.applyOld)
		r.found.DamagedBytes += int64(bad)
		if i == len(names)-1 {
			r.found.UnfinishedBytes += int64(len(text) - good)
		} else {
			r.found.DamagedBytes += int64(len(text) - good)
		}
		r.old = append(r.old, name)
		r.oldBytes += blocks(size)
	}
	return nil
}

// list is the table as the engine is told of it.
func (t *table) list(f Findings) *State {
	s := &State{Last: engine.RestoreComplete{LatestTimestamp: t.real(t.last)}, Findings: f, Leaves: t.leaves()}
	var live, ended []*node
	newest := map[string]*node{}
	for n := t.root.next; n != &t.root; n = n.next {
		if n.leaf != nil {
			continue
		}
		if n.life != nil {
			live = append(live, n)
		} else if o := newest[n.id]; t.live[n.id] == nil && (o == nil || o.num < n.num) {
			newest[n.id] = n
		}
	}
	for n := t.root.next; n != &t.root; n = n.next {
		if n.life == nil && n.leaf == nil && newest[n.id] == n {
			ended = append(ended, n)
		}
	}
	byNum := func(a, b *node) int { return cmp.Compare(a.num, b.num) }
	slices.SortFunc(live, byNum)
	slices.SortFunc(ended, byNum)
	for _, n := range live {
		l := n.life
		s.Live = append(s.Live, &engine.RestoredMessage{
			Message: l.msg, Deadline: t.real(l.deadline), Tries: l.tries, DoubtAt: t.real(l.doubt.at),
			DoubtZone: l.doubt.zone, Pending: l.owed,
		})
	}
	for _, n := range ended {
		s.Ended = append(s.Ended, &engine.RestoredEnd{ID: n.id, Disposition: n.how, Until: t.real(n.until), Fingerprint: n.print})
	}
	return s
}

package journal

import (
	"cmp"
	"encoding/binary"
	"slices"

	"curlewmux/engine"
	"curlewmux/ledger"
)

// node is an entry of the table: a live message, an ended message whose id is still kept, or a leaf of the ledger.
type node struct {
	prev, next  *node  // in the order of their newest full records in the log
	seg         uint64 // segment of that record, or an earlier one
	num         uint64
	id          string
	live        *liveState            // nil once the message ended
	leaf        *engine.RecLedgerLeaf // nil for a message; a leaf has neither number nor id
	disposition engine.Disposition
	until       engine.Timestamp
	fingerprint uint64
}

// liveState is what the table keeps of a live message. It shares the memory of texts and body with the engine's
// message. All times here and in node are without the clock steps so far: see table.shift.
type liveState struct {
	msg      engine.Message
	deadline engine.Timestamp
	tries    int
	doubt    doubt
	pending  *engine.PendingResult
}

// minLeafCost is the smallest estimated size of the text of a leaf, so that its counts can grow.
const minLeafCost = 160

// table is the result of the records so far. Each change can be undone, newest first.
type table struct {
	live       map[string]*node
	leafNodes  map[uint64]*node // leaves by number
	root       node             // of the ring of all nodes, oldest first
	count      int              // number of nodes
	liveBytes  int64            // bytes that copies of all nodes take at most
	num        uint64           // number of the last message
	shift      engine.Timestamp // sum of all clock steps, to be added to the times in the table
	last       engine.Timestamp // the latest time in any record, without the clock steps
	undo       []change         // since the last call of discardUndo
	noUndo     bool             // changes can't be undone
	deferIndex bool             // live is built later, by buildIndex
}

// change is what is needed to undo one change of the table.
type change struct {
	node        *node
	before      node
	live        liveState
	added       bool // node was added
	liveBytes   int64
	shift, last engine.Timestamp
}

func newTable() *table {
	t := &table{live: map[string]*node{}, leafNodes: map[uint64]*node{}}
	t.root.prev, t.root.next = &t.root, &t.root
	return t
}

// oldest returns the node whose newest full record is the oldest, or nil if there is no node.
func (t *table) oldest() *node {
	if t.root.next == &t.root {
		return nil
	}
	return t.root.next
}

// toRaw subtracts the clock steps from a time, and toWall adds them. 0 means no time and stays 0. No other time becomes
// 0.
func (t *table) toRaw(s engine.Timestamp) engine.Timestamp {
	if s == 0 {
		return 0
	}
	if s -= t.shift; s == 0 {
		return 1
	}
	return s
}

func (t *table) toWall(s engine.Timestamp) engine.Timestamp {
	if s == 0 {
		return 0
	}
	if s += t.shift; s == 0 {
		return 1
	}
	return s
}

// noteTime notes the time of a record.
func (t *table) noteTime(at engine.Timestamp) { t.last = max(t.last, t.toRaw(at)) }

// nodeCost is the most that a node takes in a segment besides its texts and body: kind, number, lengths, times and
// its share of a frame's header.
const nodeCost = 100

// cost returns the most that a full record of a message takes.
func cost(id string, l *liveState) int64 {
	n := int64(nodeCost + len(id))
	if l != nil {
		n += int64(len(l.msg.Class) + len(l.msg.Tenant) + len(l.msg.Key) + len(l.msg.Body))
	}
	return n
}

func (n *node) cost() int64 {
	if n.leaf != nil {
		return nodeCost + max(minLeafCost, int64(len(n.leaf.Text)))
	}
	return cost(n.id, n.live)
}

// saveUndo saves the state before a change.
func (t *table) saveUndo(n *node, added bool) {
	if t.noUndo {
		return
	}
	c := change{added: added, liveBytes: t.liveBytes, shift: t.shift, last: t.last, node: n}
	if n != nil {
		c.before = *n
		if n.live != nil {
			c.live = *n.live
		}
	}
	t.undo = append(t.undo, c)
}

// unlink removes a node from the ring.
func (t *table) unlink(n *node) {
	n.prev.next, n.next.prev = n.next, n.prev
	t.count--
}

// push adds a node at the end of the ring.
func (t *table) push(n *node) {
	n.prev, n.next = t.root.prev, &t.root
	n.prev.next, n.next.prev = n, n
	t.count++
}

// discardUndo forgets how to undo the changes before the given index.
func (t *table) discardUndo(from int) {
	n := copy(t.undo, t.undo[from:])
	clear(t.undo[n:])
	t.undo = t.undo[:n]
}

// undoTo undoes changes until the given number of them is left.
func (t *table) undoTo(left int) {
	for i := len(t.undo) - 1; i >= left; i-- {
		c := &t.undo[i]
		t.liveBytes, t.shift, t.last = c.liveBytes, c.shift, c.last
		n := c.node
		switch {
		case n == nil:
		case c.added:
			t.unlink(n)
			n.prev, n.next = nil, nil
			if n.live != nil {
				delete(t.live, n.id)
			}
			if n.leaf != nil {
				delete(t.leafNodes, n.leaf.Number)
			}
		default:
			if n.prev != nil {
				t.unlink(n)
			}
			*n = c.before
			if n.live != nil {
				*n.live = c.live
				t.live[n.id] = n
			}
			if n.leaf != nil {
				t.leafNodes[n.leaf.Number] = n
			}
			n.prev.next, n.next.prev = n, n
			t.count++
		}
	}
	clear(t.undo[left:])
	t.undo = t.undo[:left]
}

// accept adds a live message.
func (t *table) accept(num, seg uint64, m *engine.Message, deadline engine.Timestamp) *node {
	n := &node{seg: seg, num: num, id: m.ID, live: &liveState{msg: *m, deadline: t.toRaw(deadline)}}
	t.saveUndo(n, true)
	if !t.deferIndex {
		t.live[n.id] = n
	}
	t.push(n)
	t.liveBytes += n.cost()
	t.num = max(t.num, num)
	return n
}

// buildIndex builds the map of live messages. If two messages have the same id, the end of the one that was accepted
// first was lost.
func (t *table) buildIndex() {
	t.deferIndex = false
	t.live = make(map[string]*node, t.count)
	for n, next := t.root.next, (*node)(nil); n != &t.root; n = next {
		if next = n.next; n.live == nil {
			continue
		}
		older := t.live[n.id]
		if older == nil || older.num < n.num {
			t.live[n.id] = n
		} else {
			older = n
		}
		if older != nil {
			live := t.live[n.id]
			t.end(older, 0, 0, 0, 0)
			t.live[n.id] = live
		}
	}
}

// addTombstone adds a message that has ended.
func (t *table) addTombstone(num, seg uint64, id string, disposition engine.Disposition, until engine.Timestamp, fingerprint uint64) *node {
	n := &node{seg: seg, num: num, id: id, disposition: disposition, until: t.toRaw(until), fingerprint: fingerprint}
	t.saveUndo(n, true)
	t.push(n)
	t.liveBytes += n.cost()
	t.num = max(t.num, num)
	return n
}

// addAttempt counts an attempt, and begins a doubt unless there is one.
func (t *table) addAttempt(n *node, at engine.Timestamp, zone int) {
	t.saveUndo(n, false)
	l := n.live
	l.tries++
	if l.doubt.since == 0 {
		l.doubt = doubt{t.toRaw(at), zone, true}
	} else {
		l.doubt.newestAttempt = false
	}
	t.noteTime(at)
}

// neverRan ends the doubt if it is about the newest attempt alone.
func (t *table) neverRan(n *node) {
	if n.live.doubt.newestAttempt {
		t.saveUndo(n, false)
		n.live.doubt = doubt{}
	}
}

func (t *table) setState(n *node, tries int, d doubt) {
	t.saveUndo(n, false)
	t.noteTime(d.since)
	d.since = t.toRaw(d.since)
	n.live.tries, n.live.doubt = tries, d
}

// setPending sets the pending result and drops the body, which is no longer needed.
func (t *table) setPending(n *node, o *engine.PendingResult) {
	t.saveUndo(n, false)
	t.liveBytes -= n.cost()
	n.live.pending, n.live.msg.Body = o, nil
	t.liveBytes += n.cost()
}

// end ends a message. Its id is kept if until is not 0.
func (t *table) end(n *node, seg uint64, disposition engine.Disposition, until engine.Timestamp, fingerprint uint64) {
	t.saveUndo(n, false)
	t.liveBytes -= n.cost()
	t.unlink(n)
	if !t.deferIndex {
		delete(t.live, n.id)
	}
	n.prev, n.next, n.live = nil, nil, nil
	if until != 0 {
		n.seg, n.disposition, n.until, n.fingerprint = seg, disposition, t.toRaw(until), fingerprint
		t.push(n)
		t.liveBytes += n.cost()
	}
}

// setLeaf replaces the text of a leaf. The table keeps the record, which must not change after that.
func (t *table) setLeaf(seg uint64, r *engine.RecLedgerLeaf) {
	n := t.leafNodes[r.Number]
	if n == nil {
		n = &node{seg: seg, leaf: r}
		t.saveUndo(n, true)
		t.leafNodes[r.Number] = n
	} else {
		t.saveUndo(n, false)
		t.liveBytes -= n.cost()
		t.unlink(n)
		n.seg, n.leaf = seg, r
	}
	t.push(n)
	t.liveBytes += n.cost()
}

// setLeafCopy is setLeaf while a folder is read. It copies the text.
func (t *table) setLeafCopy(number, seg uint64, text []byte) {
	n := t.leafNodes[number]
	if n == nil {
		t.setLeaf(seg, &engine.RecLedgerLeaf{Number: number, Text: append([]byte(nil), text...)})
		return
	}
	t.liveBytes -= n.cost()
	t.unlink(n)
	n.seg, n.leaf.Text = seg, append(n.leaf.Text[:0], text...)
	t.push(n)
	t.liveBytes += n.cost()
}

// leaves returns the texts of all leaves, sorted by number.
func (t *table) leaves() (out []ledger.Leaf) {
	for _, n := range t.leafNodes {
		out = append(out, ledger.Leaf{Number: n.leaf.Number, Text: n.leaf.Text})
	}
	slices.SortFunc(out, func(a, b ledger.Leaf) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// forget removes the id of an ended message, or a leaf.
func (t *table) forget(n *node) {
	t.saveUndo(n, false)
	if n.leaf != nil {
		delete(t.leafNodes, n.leaf.Number)
	}
	t.liveBytes -= n.cost()
	t.unlink(n)
	n.prev, n.next = nil, nil
}

// moveToSegment notes that a node has a full record in a newer segment.
func (t *table) moveToSegment(n *node, seg uint64) {
	t.saveUndo(n, false)
	t.unlink(n)
	n.seg = seg
	t.push(n)
}

// recordTime notes the time of a record, as a change that can be undone.
func (t *table) recordTime(at engine.Timestamp) {
	t.saveUndo(nil, false)
	t.noteTime(at)
}

func (t *table) stepClock(by int64) {
	t.saveUndo(nil, false)
	t.shift += engine.Timestamp(by)
}

// appendNode appends a full record of a node.
func (t *table) appendNode(b []byte, n *node) []byte {
	l := n.live
	if n.leaf != nil {
		return putLeaf(b, n.leaf.Number, n.leaf.Text)
	}
	if l == nil {
		b = append(binary.AppendUvarint(append(b, byte(kindTombstone)), n.num), byte(n.disposition))
		return putTombstone(b, n.id, t.toWall(n.until), n.fingerprint)
	}
	b = putMessage(append(b, byte(kindCopy)), n.num, &l.msg, t.toWall(l.deadline))
	d := l.doubt
	d.since = t.toWall(d.since)
	b = putFlag(putDoubt(b, l.tries, d), l.pending != nil)
	if l.pending != nil {
		b = putPending(b, l.pending)
	}
	return b
}

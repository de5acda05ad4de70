package journal

import (
	"cmp"
	"encoding/binary"
	"slices"

	"curlewmux/engine"
	"curlewmux/ledger"
)

// node is a message in the table: alive, or ended with an id that still counts. Or it is a leaf of the books.
type node struct {
	prev, next *node  // in the order of their newest whole records in the log
	seg        uint64 // segment of that record, or one before it
	num        uint64
	id         string
	life       *life                 // nil once it ended
	leaf       *engine.RecLedgerLeaf // nil but for one of the books: it is no message then, and has neither number nor id
	how        engine.Disposition
	until      engine.Timestamp
	print      uint64
}

// life is what is kept of a message that is alive. It shares the memory of texts and body with the engine's. All stamps
// here and in node are without the shifts so far: see table.shift.
type life struct {
	msg      engine.Message
	deadline engine.Timestamp
	tries    int
	doubt    doubt
	owed     *engine.PendingResult
}

// leafCost is what a leaf of the engine's books is charged with at least, so that its figures can grow.
const leafCost = 160

// table is what the records written so far come to. Each change can be taken back, newest first.
type table struct {
	live  map[string]*node
	pages map[uint64]*node // of leaves, by their numbers
	root  node             // of the ring of all nodes
	count int              // of all nodes
	bytes int64            // that all nodes take when copied, at most
	num   uint64
	shift engine.Timestamp // sum of all shifts; what the table keeps is to be read with it added
	last  engine.Timestamp // the latest wall time in any record
	undo  []change         // since the last call of keep
	final bool             // nothing will be taken back
	bulk  bool             // live is made later, by index
}

// change is what takes one change of the table back.
type change struct {
	n           *node
	was         node
	life        life
	added       bool // n was not there before
	bytes       int64
	shift, last engine.Timestamp
}

func newTable() *table {
	t := &table{live: map[string]*node{}, pages: map[uint64]*node{}}
	t.root.prev, t.root.next = &t.root, &t.root
	return t
}

func (t *table) oldest() *node {
	if t.root.next == &t.root {
		return nil
	}
	return t.root.next
}

// raw takes the shifts off a stamp, and real puts them back. 0 stays 0.
func (t *table) raw(s engine.Timestamp) engine.Timestamp {
	if s == 0 {
		return 0
	}
	if s -= t.shift; s == 0 {
		return 1
	}
	return s
}

func (t *table) real(s engine.Timestamp) engine.Timestamp {
	if s == 0 {
		return 0
	}
	if s += t.shift; s == 0 {
		return 1
	}
	return s
}

func (t *table) seen(at engine.Timestamp) { t.last = max(t.last, t.raw(at)) }

// nodeCost is the most that a node takes in a segment besides its texts and body: kind, number, lengths, stamps and its
// part of a frame's head.
const nodeCost = 100

func cost(id string, l *life) int64 {
	n := int64(nodeCost + len(id))
	if l != nil {
		n += int64(len(l.msg.Class) + len(l.msg.Tenant) + len(l.msg.Key) + len(l.msg.Body))
	}
	return n
}

func (n *node) cost() int64 {
	if n.leaf != nil {
		return nodeCost + max(leafCost, int64(len(n.leaf.Text)))
	}
	return cost(n.id, n.life)
}

// note notes how things are before a change.
func (t *table) note(n *node, added bool) {
	if t.final {
		return
	}
	c := change{added: added, bytes: t.bytes, shift: t.shift, last: t.last, n: n}
	if n != nil {
		c.was = *n
		if n.life != nil {
			c.life = *n.life
		}
	}
	t.undo = append(t.undo, c)
}

func (t *table) unlink(n *node) {
	n.prev.next, n.next.prev = n.next, n.prev
	t.count--
}

func (t *table) push(n *node) {
	n.prev, n.next = t.root.prev, &t.root
	n.prev.next, n.next.prev = n, n
	t.count++
}

// keep forgets how to take back all but the newest changes, from the number given on.
func (t *table) keep(from int) {
	n := copy(t.undo, t.undo[from:])
	clear(t.undo[n:])
	t.undo = t.undo[:n]
}

// back takes changes back until so many are left.
func (t *table) back(left int) {
	for i := len(t.undo) - 1; i >= left; i-- {
		c := &t.undo[i]
		t.bytes, t.shift, t.last = c.bytes, c.shift, c.last
		n := c.n
		switch {
		case n == nil:
		case c.added:
			t.unlink(n)
			n.prev, n.next = nil, nil
			if n.life != nil {
				delete(t.live, n.id)
			}
			if n.leaf != nil {
				delete(t.pages, n.leaf.Number)
			}
		default:
			if n.prev != nil {
				t.unlink(n)
			}
			*n = c.was
			if n.life != nil {
				*n.life = c.life
				t.live[n.id] = n
			}
			if n.leaf != nil {
				t.pages[n.leaf.Number] = n
			}
			n.prev.next, n.next.prev = n, n
			t.count++
		}
	}
	clear(t.undo[left:])
	t.undo = t.undo[:left]
}

func (t *table) take(num, seg uint64, m *engine.Message, deadline engine.Timestamp) *node {
	n := &node{seg: seg, num: num, id: m.ID, life: &life{msg: *m, deadline: t.raw(deadline)}}
	t.note(n, true)
	if !t.bulk {
		t.live[n.id] = n
	}
	t.push(n)
	t.bytes += n.cost()
	t.num = max(t.num, num)
	return n
}

// index makes the map of what is live. Where two messages have one id, the end of the one that was taken first was lost.
func (t *table) index() {
	t.bulk = false
	t.live = make(map[string]*node, t.count)
	for n, next := t.root.next, (*node)(nil); n != &t.root; n = next {
		if next = n.next; n.life == nil {
			continue
		}
		o := t.live[n.id]
		if o == nil || o.num < n.num {
			t.live[n.id] = n
		} else {
			o = n
		}
		if o != nil {
			live := t.live[n.id]
			t.end(o, 0, 0, 0, 0)
			t.live[n.id] = live
		}
	}
}

// stone adds a message that has ended.
func (t *table) stone(num, seg uint64, id string, how engine.Disposition, until engine.Timestamp, print uint64) *node {
	n := &node{seg: seg, num: num, id: id, how: how, until: t.raw(until), print: print}
	t.note(n, true)
	t.push(n)
	t.bytes += n.cost()
	t.num = max(t.num, num)
	return n
}

func (t *table) attempt(n *node, at engine.Timestamp, zone int) {
	t.note(n, false)
	l := n.life
	l.tries++
	if l.doubt.at == 0 {
		l.doubt = doubt{t.raw(at), zone, true}
	} else {
		l.doubt.newest = false
	}
	t.seen(at)
}

func (t *table) neverRan(n *node) {
	if n.life.doubt.newest {
		t.note(n, false)
		n.life.doubt = doubt{}
	}
}

func (t *table) state(n *node, tries int, d doubt) {
	t.note(n, false)
	t.seen(d.at)
	d.at = t.raw(d.at)
	n.life.tries, n.life.doubt = tries, d
}

func (t *table) owe(n *node, o *engine.PendingResult) {
	t.note(n, false)
	t.bytes -= n.cost()
	n.life.owed, n.life.msg.Body = o, nil
	t.bytes += n.cost()
}

// end ends a message. With until 0 nothing stays of it, else its id does.
func (t *table) end(n *node, seg uint64, how engine.Disposition, until engine.Timestamp, print uint64) {
	t.note(n, false)
	t.bytes -= n.cost()
	t.unlink(n)
	if !t.bulk {
		delete(t.live, n.id)
	}
	n.prev, n.next, n.life = nil, nil, nil
	if until != 0 {
		n.seg, n.how, n.until, n.print = seg, how, t.raw(until), print
		t.push(n)
		t.bytes += n.cost()
	}
}

// turn puts a text in the place of the one that a leaf had. The record stays as it is from now on: a newer one takes its
// place.
func (t *table) turn(seg uint64, r *engine.RecLedgerLeaf) {
	n := t.pages[r.Number]
	if n == nil {
		n = &node{seg: seg, leaf: r}
		t.note(n, true)
		t.pages[r.Number] = n
	} else {
		t.note(n, false)
		t.bytes -= n.cost()
		t.unlink(n)
		n.seg, n.leaf = seg, r
	}
	t.push(n)
	t.bytes += n.cost()
}

// turnCopy is turn while a folder is read, of a text that does not last.
func (t *table) turnCopy(number, seg uint64, text []byte) {
	n := t.pages[number]
	if n == nil {
		t.turn(seg, &engine.RecLedgerLeaf{Number: number, Text: append([]byte(nil), text...)})
		return
	}
	t.bytes -= n.cost()
	t.unlink(n)
	n.seg, n.leaf.Text = seg, append(n.leaf.Text[:0], text...)
	t.push(n)
	t.bytes += n.cost()
}

// leaves are the texts of all leaves, by number.
func (t *table) leaves() (out []ledger.Leaf) {
	for _, n := range t.pages {
		out = append(out, ledger.Leaf{Number: n.leaf.Number, Text: n.leaf.Text})
	}
	slices.SortFunc(out, func(a, b ledger.Leaf) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// forget drops the id of a message that ended, or a leaf.
func (t *table) forget(n *node) {
	t.note(n, false)
	if n.leaf != nil {
		delete(t.pages, n.leaf.Number)
	}
	t.bytes -= n.cost()
	t.unlink(n)
	n.prev, n.next = nil, nil
}

// move says that a node has a whole record in a newer segment.
func (t *table) move(n *node, seg uint64) {
	t.note(n, false)
	t.unlink(n)
	n.seg = seg
	t.push(n)
}

// heard notes the time of a record.
func (t *table) heard(at engine.Timestamp) {
	t.note(nil, false)
	t.seen(at)
}

func (t *table) step(by int64) {
	t.note(nil, false)
	t.shift += engine.Timestamp(by)
}

// put appends the record that makes a node anew.
func (t *table) put(b []byte, n *node) []byte {
	l := n.life
	if n.leaf != nil {
		return putLeaf(b, n.leaf.Number, n.leaf.Text)
	}
	if l == nil {
		b = append(binary.AppendUvarint(append(b, byte(kindStone)), n.num), byte(n.how))
		return putStone(b, n.id, t.real(n.until), n.print)
	}
	b = putMessage(append(b, byte(kindCopy)), n.num, &l.msg, t.real(l.deadline))
	d := l.doubt
	d.at = t.real(d.at)
	b = putFlag(putDoubt(b, l.tries, d), l.owed != nil)
	if l.owed != nil {
		b = putOwed(b, l.owed)
	}
	return b
}

package journal

import (
	"encoding/binary"
)

// shouldCompact reports whether the oldest segment is to be copied: always if it is to be replaced, else if half of the
// log is obsolete and the log is not small, or if the disk fills up.
func (j *Journal) shouldCompact() bool {
	if len(j.segments) > 0 && j.segments[0].seq <= j.rewriteUpTo {
		return true
	}
	if j.segmentBytes-j.liveBytes < 2*j.segmentSize {
		return false
	}
	room := j.settings.Disk - j.foreignBytes - j.spareSize()
	return j.segmentBytes > min(2*j.liveBytes+6*j.segmentSize, room/4*3, room-j.reserve(0)-j.segmentSize)
}

// compact appends copies of the live content of the oldest segments to buf, and drops segments that hold nothing needed
// any more. The work of one call is bounded.
func (j *Journal) compact() {
	budget := min(copyBytesPerFlush, int(j.segmentSize)/2) + copyFactor*len(j.buf)
	copied := 0
	for dropped := 0; len(j.segments) > 0 && j.shouldCompact(); {
		s := j.segments[0]
		if s.seq == j.targetSegment() {
			return
		}
		n := j.oldest()
		switch empty := n == nil || n.seg > s.seq; {
		case empty && dropped == removalsPerFlush, !empty && copied >= budget:
			return
		case empty:
			j.dropOldest()
			dropped++
		case n.live == nil && j.expired(n):
			copied += nodeCost
			j.beginCopyFrame()
			j.forget(n)
		default:
			at := len(j.buf)
			j.copyNode(n)
			copied += len(j.buf) - at
		}
	}
}

// forgetExpired checks some nodes, a few more than are appended, and forgets expired ids. Forgetting writes nothing to
// the log.
func (j *Journal) forgetExpired() {
	for range min(expiryScanNodes+2*len(j.frameStarts), j.count) {
		n := j.expiryCursor
		if n == nil || n.next == nil || n == &j.root { // the end of the list, or a removed node
			n = j.root.next
		}
		j.expiryCursor = n.next
		if n != &j.root && n.live == nil && j.expired(n) {
			j.forget(n)
		}
	}
}

// expired reports whether the id of an ended message need not be kept any more.
func (j *Journal) expired(n *node) bool {
	if n.leaf != nil {
		return false
	}
	now := j.wallTime
	if now == 0 {
		now = j.toWall(j.last)
	}
	return j.toWall(n.until) < now
}

// beginCopyFrame makes sure that the last frame in buf is for copies, and not too large.
func (j *Journal) beginCopyFrame() {
	if n := len(j.frameStarts); !j.copying || n == 0 || len(j.buf)-j.frameStarts[n-1] >= copyFrameSize {
		j.beginFrame()
		j.copying = true
	}
}

// copyNode appends a full record of a node to buf.
func (j *Journal) copyNode(n *node) {
	j.beginCopyFrame()
	j.buf = j.appendNode(j.buf, n)
	if n.leaf == nil {
		j.nextFull++
	}
	j.moveToSegment(n, j.targetSegment())
}

// dropOldest makes the oldest segment obsolete.
func (j *Journal) dropOldest() {
	s := j.segments[0]
	j.segments = j.segments[1:]
	j.firstSeq = j.targetSegment()
	if len(j.segments) > 0 {
		j.firstSeq = j.segments[0].seq
	}
	j.segmentBytes -= blocks(s.diskSize)
	j.obsoleteBytes += blocks(s.diskSize)
	j.beginCopyFrame()
	j.buf = binary.AppendUvarint(append(j.buf, byte(kindFirstSegment)), j.firstSeq)
	j.current.obsolete = append(j.current.obsolete, s)
	j.updateLargest()
}

// restoreObsolete brings back the segments that a write made obsolete, as the write is undone.
func (j *Journal) restoreObsolete(f *pendingWrite) {
	if len(f.obsolete) == 0 {
		return
	}
	j.segments = append(f.obsolete, j.segments...)
	for _, s := range f.obsolete {
		j.segmentBytes += blocks(s.diskSize)
		j.obsoleteBytes -= blocks(s.diskSize)
	}
	j.firstSeq, f.obsolete = f.firstSeq, nil
	j.updateLargest()
}

// updateLargest sets largestSegment.
func (j *Journal) updateLargest() {
	j.largestSegment = 0
	for _, s := range j.segments {
		j.largestSegment = max(j.largestSegment, s.diskSize)
	}
}

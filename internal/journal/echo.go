package journal

import "encoding/binary"

// Facts are usually repeated twice: once when the log has grown by at least a block, and once in a later segment. So
// neither damage of up to one block nor the loss of one segment loses a fact, except for the newest ones. So it
// remains known which messages ended and which were attempted.

// repeatQueue holds the facts that are still to be repeated, oldest first. Each chunk has a number that only grows.
type repeatQueue struct {
	chunks     []factChunk
	base       int // number of the first chunk
	nextFirst  int // number of the next chunk to be repeated for the first time
	nextSecond int // number of the next chunk to be repeated in a later segment
}

// factChunk holds the facts of one write.
type factChunk struct {
	firstFact     uint64
	facts         []byte
	segment       uint64 // segment that they were written to
	end           int64  // end of the write, counted like Journal.bytesWritten
	repeatSegment uint64 // segment of the first repetition
}

// add appends the facts of a write.
func (e *repeatQueue) add(first uint64, facts []byte, seg uint64, end int64) {
	e.chunks = append(e.chunks, factChunk{first, append([]byte(nil), facts...), seg, end, 0})
}

// trim removes the chunks before a number once they are half of all chunks, so that trimming costs no more than
// adding them did.
func (e *repeatQueue) trim(n int) {
	if n-e.base < len(e.chunks)/2 || n == e.base {
		return
	}
	left := copy(e.chunks, e.chunks[n-e.base:])
	clear(e.chunks[left:])
	e.chunks, e.base = e.chunks[:left], n
}

// undoWrite removes the facts of a write that is undone, and takes back its repetitions.
func (e *repeatQueue) undoWrite(f *pendingWrite) {
	e.nextFirst, e.nextSecond = f.nextFirst, f.nextSecond
	n := len(e.chunks)
	for n > 0 && e.chunks[n-1].firstFact >= f.fact {
		n--
	}
	clear(e.chunks[n:])
	e.chunks = e.chunks[:n]
}

// appendRepeats repeats facts of earlier writes if something is to be written. First repetitions are always added,
// second ones up to about the size of what is written.
func (j *Journal) appendRepeats() {
	if len(j.buf) == 0 {
		return
	}
	queue := &j.repeats
	seg, room := j.targetSegment(), len(j.buf)+blockSize
	frameStart := j.bytesWritten + int64(len(j.buf)) // the repetitions of this write start in the frame that begins here
	for ; queue.nextFirst < queue.base+len(queue.chunks); queue.nextFirst++ {
		c := &queue.chunks[queue.nextFirst-queue.base]
		if c.segment == seg && c.end+blockSize > frameStart {
			break
		}
		c.repeatSegment = seg
		j.putRepeat(c)
	}
	for ; queue.nextSecond < queue.nextFirst && room > 0; queue.nextSecond++ {
		c := &queue.chunks[queue.nextSecond-queue.base]
		if c.segment == seg {
			break
		}
		if c.repeatSegment == c.segment {
			j.putRepeat(c)
			room -= len(c.facts)
		}
	}
}

// putRepeat appends the facts of a chunk to buf.
func (j *Journal) putRepeat(c *factChunk) {
	j.beginCopyFrame()
	j.buf = binary.AppendUvarint(append(j.buf, byte(kindRepeat)), c.firstFact)
	j.buf = putText(j.buf, c.facts)
}

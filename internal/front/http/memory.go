package httpfront

import (
	"net/http"
	"sync/atomic"
	"time"
)

const (
	memoryPause  = 5 * time.Millisecond
	memoryPauses = 20 // while memory is being freed
)

// noRoom turns a client away whose request is incomplete.
var noRoom = reply{status: http.StatusServiceUnavailable, why: "no room is left for slow or large requests", again: turnedAway, final: true}

// budget bounds the memory that requests may take together, in bytes.
type budget struct {
	most int64
	left atomic.Int64
}

func (b *budget) set(most int64) {
	b.most = most
	b.left.Store(most)
}

// take takes n more bytes for a request that then has total bytes, or none and tells so. A small request always has them.
func (b *budget) take(n, total int) bool {
	if b.left.Add(-int64(n)) < 0 && total > bodyPart {
		b.give(n)
		return false
	}
	return true
}

func (b *budget) give(n int) { b.left.Add(int64(n)) }

// taken returns how many bytes are taken.
func (b *budget) taken() int64 { return max(b.most-b.left.Load(), 0) }

// reserve takes n more bytes for a request that then has total bytes. If there is none left, slow requests have to give way,
// and it waits a moment for that.
func (f *Front) reserve(c *client, n, total int) bool {
	for pauses := 0; !f.transit.take(n, total); pauses++ {
		if pauses == memoryPauses || !f.table.preempt() && pauses == 0 || !c.wait(f.host.Now().Add(memoryPause)) {
			return false
		}
	}
	return true
}

// requestMemory is the memory for the head of a request.
type requestMemory struct {
	front  *Front
	client *client
}

// Take implements http1.Memory.
func (m *requestMemory) Take(bytes, total int) bool {
	return m.front.reserve(m.client, bytes, total)
}

// Give implements http1.Memory.
func (m *requestMemory) Give(bytes int) { m.front.transit.give(bytes) }

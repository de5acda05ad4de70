package sim

import (
	"encoding/json"
	"hash/crc32"
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/vnet"
)

// tap sees what crosses the dispatchers' own sockets: what they write counts when their kernel has taken it, and what
// they are answered when it has come to their kernel.
type tap struct{ f *Farm }

var _ vnet.Tap = tap{}

// track is a connection that a dispatcher has made, to an endpoint or to its agent.
type track struct {
	f     *Farm
	d     *Dispatcher
	place *place // nil: the agent
	out   []byte // of a request that is not whole
	first time.Duration
	calls []*sent // in the order in which they were written
	open  int     // the first of calls that is not answered
	read  int     // of calls, by the endpoint
	said  int     // bytes that the far side has sent
	heard int     // of these, that have come
	marks []mark
	late  int // bytes that have come while the process was stopped
	shut  bool

	last    *call // that was heard as a whole, and when
	heardAt time.Duration
}

// sent is one call as it was written.
type sent struct {
	id    judge.CallID
	probe bool
}

// mark is something that is heard once so many bytes have come.
type mark struct {
	at   int
	then func()
}

// Up begins a track.
func (t tap) Up(c *vnet.Conn) {
	f := t.f
	from := c.Process().Machine()
	for _, d := range f.dispatchers {
		if d.m != from && (f.api == nil || d.agent.m != from) {
			continue
		}
		k := &track{f: f, d: d}
		to := c.Far().Process().Machine()
		for _, p := range f.places {
			if p.m == to {
				k.place = p
			}
		}
		f.tracks[c.ID()] = k
	}
}

// Sent reads calls out of what dispatchers write.
func (t tap) Sent(c *vnet.Conn, p []byte) {
	k := t.f.tracks[c.ID()]
	if k == nil {
		return
	}
	if !c.Dialled() {
		k.said += len(p)
		return
	}
	if k.place == nil {
		return
	}
	if len(k.out) == 0 {
		k.first = t.f.w.Now()
	}
	k.out = append(k.out, p...)
	for {
		h, ok := readHead(k.out)
		if !ok || len(k.out) < h.size+max(h.length, 0) {
			return
		}
		body := k.out[h.size : h.size+max(h.length, 0)]
		k.wrote(&h, body)
		k.out = append(k.out[:0], k.out[h.size+len(body):]...)
		k.first = t.f.w.Now()
	}
}

// wrote tells of a call whose last byte was taken.
func (k *track) wrote(h *head, body []byte) {
	f := k.f
	f.calls++
	s := &sent{id: judge.CallID(f.calls), probe: h.word(1) == "/-/healthy"}
	k.calls = append(k.calls, s)
	e := judge.Call{
		Call: s.id, Dispatcher: k.d.name, Endpoint: k.place.now.ID, Addr: k.place.m.Addr(endpointPort), First: k.first, Later: true,
	}
	switch {
	case s.probe:
	case h.word(1) == "/v1/messages:batch":
		e.Batch = true
		var list []batchItem
		if json.Unmarshal(body, &list) == nil {
			for _, l := range list {
				e.Items = append(e.Items, judge.Item{ID: l.ID, Key: l.Key, Body: hash(l.Body)})
				f.fate(l.ID).inBatch = true
			}
		}
	default:
		e.Items = []judge.Item{{ID: h.get("X-Trace-Id"), Key: h.get("Idempotency-Key"), Body: hash(body)}}
	}
	f.tell(e)
}

// batchItem is one message in the body of a batch.
type batchItem struct {
	ID, Key string
	Body    []byte
}

func hash(p []byte) uint64 { return uint64(crc32.ChecksumIEEE(p)) + 1 }

// Arrived has dispatchers hear what came.
func (t tap) Arrived(c *vnet.Conn, p []byte) {
	k := t.f.tracks[c.ID()]
	if k == nil || !c.Dialled() {
		return
	}
	if k.d.paused && c.Process().Machine() == k.d.m {
		k.late += len(p)
		return
	}
	k.hears(len(p))
}

// hears is called when its process can read so many bytes more.
func (k *track) hears(n int) {
	k.heard += n
	for len(k.marks) > 0 && k.marks[0].at <= k.heard {
		then := k.marks[0].then
		k.marks = k.marks[1:]
		then()
	}
}

// Closed ends calls that had no whole answer.
func (t tap) Closed(c *vnet.Conn) {
	k := t.f.tracks[c.ID()]
	if k == nil || !c.Dialled() || k.shut {
		return
	}
	k.late = 0
	k.shut = true                                  // it stays known: what was written may still come to the endpoint
	if k.last != nil && k.heardAt == t.f.w.Now() { // its time was up in that instant, and nobody may have read it
		for _, m := range k.last.items {
			if m != nil {
				t.f.fate(m.ID).tied = true
			}
		}
	}
	for _, s := range k.calls[k.open:] {
		t.f.tell(judge.Cut{Call: s.id})
	}
	k.open = len(k.calls)
	k.marks = nil
}

// mark has then be done once the dispatcher has so many more bytes than the far side has sent so far.
func (k *track) mark(more int, then func()) {
	if !k.shut {
		k.marks = append(k.marks, mark{k.said + more, then})
	}
}

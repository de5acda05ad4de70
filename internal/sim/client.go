package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/vnet"
)

// Message is one hand-in: each has an id of its own.
type Message struct {
	ID         string
	Class      *ClassSite
	Dest       int
	Tenant     string
	Key        string
	Body       []byte
	Dispatcher int
	Sent       time.Duration // when its client began to send it
	Over       time.Duration // until when it may be delivered
	wish       *wish
	taken      bool // its client has heard so
}

// wish is what a client wants delivered, over all its hand-ins.
type wish struct {
	f      *Farm
	n      int
	class  *ClassSite
	dest   int
	tenant string
	key    string
	body   []byte
	first  int // the dispatcher that it goes to first
	born   time.Duration
	dice   *dice
	hands  int
	last   *Message
	ended  bool
}

// pool is the connections of usual clients to one dispatcher.
type pool struct {
	f    *Farm
	d    *Dispatcher
	idle []*cconn
}

type cconn struct {
	p     *pool
	c     *vnet.Conn
	try   *try
	kept  bool // it has carried a request before
	ended bool
}

// try is one request of a client.
type try struct {
	w       *wish
	m       *Message
	text    []byte
	expires time.Duration
	conn    *cconn
	over    bool
	again   bool // sent once more on a new connection
	whole   bool // its last byte was sent
	timer   *vnet.Script
}

// traffic plans what the usual clients hand in.
func (f *Farm) traffic() {
	d := stream(f.seed, "traffic", 0)
	keys := 0
	for i := range f.site.Messages {
		at := f.begin + d.span(0, f.site.Traffic)
		f.plan(i, at, d, &keys, -1)
	}
}

// plan plans one message of the usual clients; dest -1 draws it.
func (f *Farm) plan(n int, at time.Duration, d *dice, keys *int, dest int) {
	classes := make([]int, len(f.site.Classes))
	for i := range classes {
		classes[i] = f.site.Classes[i].Weight
	}
	class := &f.site.Classes[d.pick(classes...)]
	weights := make([]int, len(f.site.Dests))
	for i, t := range f.site.Dests {
		if class.Kinds == nil || slices.Contains(class.Kinds, t.Kind) {
			weights[i] = t.Weight
		}
	}
	w := &wish{f: f, n: n, class: class, dest: d.pick(weights...), first: d.n(f.site.Dispatchers),
		tenant: f.site.tenant(d.pick(3, 2, 1))}
	if dest >= 0 && weights[dest] > 0 {
		w.dest = dest
	}
	size := d.in(20, 300)
	if d.chance(0.05) {
		size = d.in(4<<10, 12<<10)
	}
	w.body = make([]byte, size)
	for i := range w.body {
		w.body[i] = byte(d.next())
	}
	*keys++
	switch {
	case w.class.Order:
		w.key = fmt.Sprintf("row-%d-%d", w.dest, d.n(4))
	case w.class.Effect == "guarded":
		w.key = fmt.Sprintf("key-%d", *keys)
	}
	w.dice = stream(f.seed, "wish", n)
	f.w.After(at-f.w.Now(), func() {
		w.born = f.w.Now()
		w.handIn(f.dispatchers[w.first])
	})
}

// handIn hands the message in at a dispatcher, under a new id.
func (w *wish) handIn(d *Dispatcher) {
	f := w.f
	now := f.w.Now()
	if w.ended || f.closing || now >= f.heal {
		return
	}
	w.hands++
	m := &Message{
		ID: fmt.Sprintf("m%d.%d", w.n, w.hands), Class: w.class, Dest: w.dest, Tenant: w.tenant, Key: w.key, Body: w.body,
		Dispatcher: d.n, Sent: now, wish: w,
	}
	expires := w.class.Deadline - w.dice.span(0, w.class.Deadline/4)
	expires = expires.Truncate(ms)
	w.last = m
	f.byID[m.ID] = m
	f.handIns++
	t := &try{w: w, m: m, expires: expires, text: m.request(expires.Milliseconds(), "")}
	t.timer = f.w.After(patience, t.late)
	f.pools[d.n].give(t)
}

// request is the hand-in as it is sent.
func (m *Message) request(expires int64, extra string) []byte {
	b := make([]byte, 0, 300+len(m.Body))
	b = fmt.Appendf(b, "POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n",
		m.Class.Name, m.ID, m.Class.Name, expires)
	if m.Tenant != "" {
		b = fmt.Appendf(b, "X-Customer: %s\r\n", m.Tenant)
	}
	if m.Key != "" {
		b = fmt.Appendf(b, "Idempotency-Key: %s\r\n", m.Key)
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\nEnvelope: dest=%d\r\n%s\r\n", len(m.Body), m.Dest, extra)
	return append(b, m.Body...)
}

// give sends a request on a kept connection, or on a new one.
func (p *pool) give(t *try) {
	for len(p.idle) > 0 && !t.again {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if c.ended {
			continue
		}
		c.send(t)
		return
	}
	p.f.clients.Process().Connect(p.d.m.Addr(clientPort), 0, func(nc *vnet.Conn, err error) {
		if err != nil {
			t.refused()
			return
		}
		if t.over {
			nc.Close()
			return
		}
		c := &cconn{p: p, c: nc}
		end := func() { c.end() }
		nc.Handle(vnet.Events{Data: c.data, End: end, Broken: func(error) { end() }})
		c.send(t)
	})
}

func (c *cconn) send(t *try) {
	c.try, t.conn = t, c
	f := c.p.f
	if !c.c.Send(t.text) {
		c.end()
		return
	}
	t.whole = true
	t.m.Over = f.w.Now() + t.expires // as the dispatcher reckons it: the field tells how long from now on
	f.handed(c.p.d, t.m)
}

func (c *cconn) data() {
	h, ok := readHead(c.c.Unread())
	if !ok || len(c.c.Unread()) < h.size+max(h.length, 0) {
		return
	}
	c.c.Discard(h.size + max(h.length, 0))
	t := c.try
	c.try, c.kept = nil, true
	if h.get("Connection") == "close" || t == nil {
		c.end()
	} else if len(c.p.idle) < 12 {
		c.p.idle = append(c.p.idle, c)
	} else {
		c.end()
	}
	if t != nil {
		t.answered(&h)
	}
}

// end is called when a connection is over.
func (c *cconn) end() {
	if c.ended {
		return
	}
	c.ended = true
	c.c.Close()
	for i, o := range c.p.idle {
		if o == c {
			c.p.idle = append(c.p.idle[:i], c.p.idle[i+1:]...)
			break
		}
	}
	t := c.try
	c.try = nil
	if t == nil || t.over {
		return
	}
	if c.kept && !t.again { // it crossed the close of an idle connection
		t.again, t.conn = true, nil
		c.p.f.tell(judge.ClientCut{ID: t.m.ID, Dispatcher: c.p.d.name, Crossed: true})
		c.p.give(t)
		return
	}
	t.over = true
	t.timer.Stop()
	// The first request on a connection that closes with nothing sent for it has failed, and is not lost.
	c.p.f.tell(judge.ClientCut{ID: t.m.ID, Dispatcher: c.p.d.name, Crossed: !c.kept})
	t.w.lost(t)
}

func (t *try) answered(h *head) {
	f := t.w.f
	t.over = true
	t.timer.Stop()
	status := h.status()
	var wait time.Duration
	if s, err := strconv.ParseFloat(h.get("Retry-After"), 64); err == nil {
		wait = time.Duration(s * float64(time.Second)).Truncate(time.Microsecond)
	}
	f.tell(judge.ClientAnswer{ID: t.m.ID, Dispatcher: f.dispatchers[t.m.Dispatcher].name, Status: status})
	switch status {
	case 200, 202:
		t.m.taken = true
		if d := stream(f.seed, "again", t.w.n); t.w.class.Effect != "free" && d.chance(0.05) {
			t.sendAgain(d.span(20*ms, 4*time.Second))
		}
	case 429, 503:
		f.count("refused")
		t.w.refused(wait)
	default:
		f.count("hand-in failed")
		t.w.ended = true
	}
}

// sendAgain has the same request come once more, as from a client that lost the answer. It must change nothing. (Ids of
// messages that may be repeated at will are not kept over restarts; those stay out of it.)
func (t *try) sendAgain(after time.Duration) {
	f := t.w.f
	f.w.After(after, func() {
		if f.fate(t.m.ID).noticed || f.closing {
			return // whoever was told to come again does so with a new id
		}
		f.count("the same request again")
		f.tallyOf(t.m.ID).unclear = true
		d := f.dispatchers[t.m.Dispatcher]
		f.clients.Process().Connect(d.m.Addr(clientPort), 200*ms, func(c *vnet.Conn, err error) {
			if err != nil {
				return
			}
			f.fate(t.m.ID).unread = true // if it is read late, its message may have ended long ago, and begins a further life
			heard := func() {
				f.fate(t.m.ID).unread = false
				c.Close()
			}
			end := func() { c.Close() }
			c.Handle(vnet.Events{Data: heard, End: end, Broken: func(error) { end() }})
			c.Send(t.text)
			f.w.After(patience, end)
		})
	})
}

// late is called when the client's patience is over.
func (t *try) late() {
	if t.over {
		return
	}
	t.over = true
	f := t.w.f
	if t.whole {
		f.tell(judge.ClientLeft{ID: t.m.ID, Dispatcher: f.dispatchers[t.m.Dispatcher].name})
	}
	if c := t.conn; c != nil {
		c.try = nil
		c.end()
	}
	t.w.lost(t)
}

// refused is called when no connection came up: nothing was handed in.
func (t *try) refused() {
	if t.over {
		return
	}
	t.over = true
	t.timer.Stop()
	t.w.elsewhere()
}

// lost goes on where a dispatcher did not answer.
func (w *wish) lost(t *try) {
	if t.whole && w.class.Effect == "single_shot" {
		w.ended = true
		return
	}
	w.elsewhere()
}

// elsewhere hands the message in at another dispatcher after a while.
func (w *wish) elsewhere() {
	if w.hands >= 4 {
		w.ended = true
		return
	}
	n := (w.last.Dispatcher + 1) % w.f.site.Dispatchers
	w.f.w.After(w.dice.span(320*ms, 1700*ms), func() {
		w.f.count("handed in elsewhere")
		w.handIn(w.f.dispatchers[n])
	})
}

// refused hands the message in again after a refusal, as often as clients do.
func (w *wish) refused(wait time.Duration) {
	if w.hands >= 4 {
		w.ended = true
		return
	}
	if wait == 0 || !w.dice.chance(0.8) {
		wait = w.dice.span(570*ms, 1400*ms)
	}
	d := w.f.dispatchers[w.last.Dispatcher]
	w.f.w.After(wait, func() { w.handIn(d) })
}

// noticed takes a notice.
func (f *Farm) noticed(d *Dispatcher, id, state string, again time.Duration) {
	m := f.byID[id]
	f.tell(judge.Notice{ID: id, Dispatcher: d.name, Deferred: state == "deferred", Later: true})
	if m == nil || m.wish == nil || m.wish.last != m {
		return
	}
	if state == "deferred" {
		m.wish.refused(again)
	} else {
		m.wish.ended = true
	}
}

// closeIdle lets all kept connections go.
func (p *pool) closeIdle() {
	for len(p.idle) > 0 {
		p.idle[0].end()
	}
}

// crowd hands in many messages for one destination within a moment.
func (f *Farm) crowd(d *dice, count, dest int, over time.Duration) {
	for range count {
		f.extra++
		f.plan(f.site.Messages+f.extra, f.w.Now()+d.span(0, over), d, &f.extraKeys, dest)
	}
}

// Ways of bad clients.
const (
	badNoise = iota
	badEndlessHead
	badNegativeLength
	badHugeLength
	badBoth
	badClass
	badDest
	badExpiry
	badNoID
	badOtherID
	badHalf
	badSilent
	badPipelined
	badWays
)

// bad has one bad client come. It is owed an error or a close within 3 s.
func (f *Farm) bad(d *Dispatcher, dice *dice, way int) {
	f.count(fmt.Sprintf("bad client, way %d", way))
	f.extra++
	class := f.site.free()
	m := &Message{
		ID: fmt.Sprintf("bad%d", f.extra), Class: class, Dest: dice.n(len(f.site.Dests)), Tenant: f.site.tenant(0),
		Body: []byte("bad"), Dispatcher: d.n, Sent: f.w.Now(), Over: f.w.Now() + time.Second}
	text := m.request(1000, "")
	begin := "POST /" + class.Name + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + m.ID + "\r\nX-Qos: " + class.Name + "\r\nX-Customer: core\r\n" +
		"X-Expires-In-Ms: 900\r\nEnvelope: dest=0\r\n"
	endless, owed := false, true
	switch way {
	case badNoise:
		text = []byte("\x16\x03\x01\x02\x00 nonsense\r\n\r\n")
	case badEndlessHead:
		text, endless = []byte(begin+"X-Junk: "), true
	case badNegativeLength:
		text = []byte(begin + "Content-Length: -1\r\n\r\n")
	case badHugeLength:
		text, endless = []byte(begin+"Content-Length: 60000000\r\n\r\n"), true
	case badBoth:
		hidden := *m
		hidden.ID += "x" // a request hidden in the body of another must not be taken on
		inner := hidden.request(1000, "")
		text = fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n0\r\n\r\n%s", begin, 5+len(inner), inner)
	case badClass:
		text = []byte(strings.ReplaceAll(begin, class.Name, "none") + "Content-Length: 0\r\n\r\n")
	case badDest:
		m.Dest = 60000
		text = m.request(1000, "")
	case badExpiry:
		text = []byte(strings.Replace(begin, "900", "soon", 1) + "Content-Length: 0\r\n\r\n")
	case badNoID:
		m.ID = ""
		text = m.request(1000, "")
	case badOtherID: // that of a message that came a moment ago, with another body
		if o := f.newest(d.n); o != nil && o.taken {
			copied := *o
			copied.Body = []byte("another body")
			text = copied.request(1000, "")
		} else {
			text = []byte("GET / HTTP/1.1\r\n\r\n")
		}
		owed = false // either answer will do
	case badHalf:
		text = text[:len(text)-2]
		owed = false // it goes itself
	case badSilent:
		text = nil
	case badPipelined:
		text = nil
		for range 20 {
			text = fmt.Appendf(text, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: !\r\nX-Qos: %[1]s\r\nContent-Length: 0\r\n\r\n", class.Name)
		}
	}
	f.clients.Process().Connect(d.m.Addr(clientPort), time.Second, func(c *vnet.Conn, err error) {
		if err != nil {
			return
		}
		p := d.p
		done := false
		finish := func() { done = true; c.Close() }
		c.Handle(vnet.Events{
			Data: func() {
				if h, ok := readHead(c.Unread()); ok && !done {
					if s := h.status(); s >= 400 {
						finish()
					} else if owed {
						f.violation("bad clients are told so", "%s: a bad client, way %d, was answered %d", d.name, way, s)
						finish()
					} else {
						finish()
					}
				}
			},
			End: finish, Broken: func(error) { finish() },
		})
		if text != nil && !c.Send(text) {
			return
		}
		if endless {
			f.pour(c, &done, 60)
		}
		if way == badHalf {
			f.w.After(30*ms, func() { finish() })
		}
		f.w.After(3*time.Second, func() {
			if !done && owed && d.p == p && p != nil && !f.cutFromClients(d) && !d.mutedAt(f.w.Now()) {
				f.violation("bad clients are told so", "%s: a bad client, way %d, got neither an error nor a close", d.name, way)
			}
			if !done {
				finish()
			}
		})
	})
}

// pour goes on sending for as long as it is read.
func (f *Farm) pour(c *vnet.Conn, done *bool, parts int) {
	if *done || parts == 0 {
		return
	}
	if c.Queued() < 64<<10 {
		parts--
		if !c.Send(make([]byte, 4<<10)) {
			return
		}
	}
	f.w.After(10*ms, func() { f.pour(c, done, parts) })
}

// newest is the message that a dispatcher was handed last.
func (f *Farm) newest(d int) *Message { return f.lastHanded[d] }

// handed tells that a hand-in was written.
func (f *Farm) handed(d *Dispatcher, m *Message) {
	f.lastHanded[d.n] = m
	f.open[d.n] = append(f.open[d.n], m)
	class := slices.IndexFunc(f.site.Classes, func(c ClassSite) bool { return c.Name == m.Class.Name })
	e := judge.HandIn{
		ID: m.ID, Dispatcher: d.name, Class: class, Dest: m.Dest, Key: m.Key, Body: hash(m.Body), Expires: m.Over - f.w.Now(),
	}
	if m.Class.Order {
		e.Order = fmt.Sprint(m.Dest, m.Key)
	}
	f.tell(e)
}

package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"whinrun/control"
)

// Calls to endpoints go over a pool of the project's own: http.Transport sends a request with an Idempotency-Key
// again by itself, and can't be stopped from sending once a late dial succeeds.

// item is one message of a call.
type item struct {
	id, key string
	body    []byte
	due     time.Time // we wait no longer than this
}

// outcome is how the attempt at one message of a call ended.
type outcome struct {
	index  int
	result control.Result
	wait   time.Duration // told wait
	over   bool          // the endpoint says that the message is over
	report []float32
}

// callHooks are what a call asks of and tells its owner.
type callHooks struct {
	may  func() []bool   // asked after a dial, just before the first byte: which items may still be sent
	ends func([]outcome) // told as items end; each ends once
}

// pool holds the connections to endpoints.
type pool struct {
	connectTimeout, idle time.Duration
	most                 int // idle connections kept over all endpoints
	reports              []string

	mu    sync.Mutex
	ready map[string][]*conn // idle, by address, oldest first
	count int
}

// idleMargin keeps a request from crossing the endpoint's own close of an idle connection.
const idleMargin = 300 * time.Millisecond

func newPool(s *control.Settings, reports []string, most int) *pool {
	p := &pool{connectTimeout: span(s.ConnectTimeout), reports: reports, most: most, ready: map[string][]*conn{}}
	if s.ConnIdle > 0 {
		p.idle = max(span(s.ConnIdle)-idleMargin, span(s.ConnIdle)/2)
	}
	return p
}

func span(t control.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// conn is a connection with a reader of its own, so that the endpoint's close is seen while it is idle.
type conn struct {
	net.Conn
	addr    string
	answers chan answer   // to the call that is out
	dead    chan struct{} // closed when reading ended
	expiry  *time.Timer   // while idle
	busy    bool          // a call is out; under the pool's lock
	gone    bool          // reading ended; under the pool's lock, so that it can't become idle after that
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // of the body
	keep   bool
}

const maxAnswer = 1 << 20

// read delivers the answers that come in, one for each call.
func (p *pool) read(c *conn) {
	defer close(c.dead)
	defer c.Close()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		c.gone = true
		p.remove(c)
	}()
	br := bufio.NewReader(c)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		p.mu.Lock()
		asked := c.busy
		p.mu.Unlock()
		if !asked {
			return // nobody asked: whatever follows can't be told from an answer
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		if res.StatusCode < 200 {
			continue
		}
		a := answer{status: res.StatusCode, header: res.Header}
		a.body, a.err = io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
		a.keep = a.err == nil && len(a.body) <= maxAnswer && !res.Close
		c.answers <- a
		if !a.keep {
			return
		}
	}
}

// get returns an idle connection, or dials; fresh tells which.
func (p *pool) get(ctx context.Context, addr string) (c *conn, fresh bool, err error) {
	p.mu.Lock()
	if l := p.ready[addr]; len(l) > 0 {
		c = l[len(l)-1] // the newest has been idle for the shortest time
		p.remove(c)
		c.busy = true
	}
	p.mu.Unlock()
	if c != nil {
		return c, false, nil
	}
	d := net.Dialer{Timeout: p.connectTimeout}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, true, fmt.Errorf("dial: %w", err)
	}
	c = &conn{Conn: nc, addr: addr, answers: make(chan answer, 1), dead: make(chan struct{}), busy: true}
	go p.read(c)
	return c, true, nil
}

// put makes a connection idle.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.busy = false
	if c.gone {
		return
	}
	if p.count >= p.most {
		c.Close()
		return
	}
	p.ready[c.addr] = append(p.ready[c.addr], c)
	p.count++
	if p.idle > 0 {
		c.expiry = time.AfterFunc(p.idle, func() {
			if p.forget(c) {
				c.Close()
			}
		})
	}
}

// remove takes an idle connection out; the lock is held.
func (p *pool) remove(c *conn) bool {
	l := p.ready[c.addr]
	for i, o := range l {
		if o == c {
			p.ready[c.addr] = append(l[:i:i], l[i+1:]...)
			if len(l) == 1 {
				delete(p.ready, c.addr)
			}
			p.count--
			if c.expiry != nil {
				c.expiry.Stop()
			}
			return true
		}
	}
	return false
}

// forget takes a connection out if it is idle.
func (p *pool) forget(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remove(c)
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.ready[addr] {
		p.remove(c)
		c.Close()
	}
}

// call is one call out. Its owner may cancel ctx: then we stop waiting and the connection closes.
type call struct {
	addr  string
	items []item
	left  []bool // items without an outcome
	hooks callHooks
}

// run makes the call and reports the outcome of each item exactly once.
func (p *pool) run(ctx context.Context, k *call) {
	k.left = make([]bool, len(k.items))
	last := time.Time{}
	for i := range k.items {
		k.left[i] = true
		if k.items[i].due.After(last) {
			last = k.items[i].due
		}
	}
	dialing, stop := context.WithDeadline(ctx, last)
	c, fresh, err := p.get(dialing, k.addr)
	// The dialer keeps the deadline by itself and may return just before the context is done.
	until, _ := dialing.Deadline()
	gone := dialing.Err() != nil || !time.Now().Before(until)
	stop()
	switch {
	case err != nil && gone: // given up by us: it says nothing about the endpoint
		k.end(outcome{result: control.Moot})
		return
	case err != nil:
		k.end(outcome{result: control.ConnectFailed})
		return
	}
	if fresh { // the dial may have taken long: much can have changed
		for i, ok := range k.hooks.may() {
			if !ok {
				k.endOne(i, outcome{result: control.Moot})
			}
		}
		if k.count() == 0 {
			p.put(c)
			return
		}
	}
	sent := make([]int, 0, len(k.items))
	for i, l := range k.left {
		if l {
			sent = append(sent, i)
		}
	}
	request, err := k.request(sent)
	if err != nil {
		p.put(c)
		k.end(outcome{result: control.Moot})
		return
	}
	stopWriting := context.AfterFunc(ctx, func() { c.Close() })
	if err = c.SetWriteDeadline(last); err == nil {
		_, err = c.Write(request)
	}
	stopWriting()
	if err != nil { // the call's last byte was not written: it never ran
		c.Close()
		k.end(outcome{result: control.ConnectFailed})
		return
	}
	p.await(ctx, k, c, sent)
}

// await waits for the answer to a call that has been written.
func (p *pool) await(ctx context.Context, k *call, c *conn, sent []int) {
	for {
		next := time.Time{}
		for i, it := range k.items {
			if k.left[i] && (next.IsZero() || it.due.Before(next)) {
				next = it.due
			}
		}
		if next.IsZero() {
			c.Close()
			return
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case a := <-c.answers:
			timer.Stop()
			p.answered(k, c, sent, a)
			return
		case <-c.dead:
			timer.Stop()
			select {
			case a := <-c.answers: // the last one on this connection
				p.answered(k, c, sent, a)
			default:
				o := outcome{result: control.Reset}
				if ctx.Err() != nil { // we closed it
					o.result = control.Cancelled
				}
				k.end(o)
			}
			return
		case <-ctx.Done():
			timer.Stop()
			p.silent(c)
			k.end(outcome{result: control.Cancelled})
			return
		case <-timer.C:
			// The others of a batch go on; an item past its time is never sent again, so no second copy can arise.
			late := k.due(time.Now())
			if k.count() == len(late) {
				p.silent(c)
			}
			for _, i := range late {
				k.endOne(i, outcome{result: control.TimedOut})
			}
		}
	}
}

// silent closes a connection that gave no answer, and the idle ones beside it: if the machine has vanished they are
// as dead, and a request written to one of them would end in doubt when it is back.
func (p *pool) silent(c *conn) {
	c.Close()
	p.closeIdle(c.addr)
}

func (p *pool) answered(k *call, c *conn, sent []int, a answer) {
	if a.keep {
		p.put(c)
	}
	outs := p.judge(a, len(sent) > 1, k.items, sent)
	kept := outs[:0]
	for _, o := range outs {
		if k.left[o.index] {
			k.left[o.index] = false
			kept = append(kept, o)
		}
	}
	if len(kept) > 0 {
		k.hooks.ends(kept)
	}
}

// judge turns an answer into the outcomes of the items that were sent.
func (p *pool) judge(a answer, batch bool, items []item, sent []int) []outcome {
	o := outcome{wait: retryAfter(a.header), report: loadReport(a.header, p.reports)}
	switch {
	case a.status == http.StatusOK && batch:
		return judgeBatch(a, o, items, sent)
	case a.status == http.StatusOK:
		o.result = control.OK
	case a.status == http.StatusTooManyRequests:
		o.result = control.Full
	case a.status == http.StatusServiceUnavailable:
		if o.result = control.Full; a.header.Get("Slots-Taken") == "1" {
			o.result = control.Moot
		}
	case a.status == http.StatusGatewayTimeout: // spent: its end is still owed
		o.result = control.Moot
	case a.status == http.StatusGone:
		o.result, o.over = control.Moot, true
	case batch && (a.status == http.StatusBadRequest || a.status == http.StatusRequestEntityTooLarge):
		o.result = control.Moot // none has run
	default:
		o.result = control.Errored // it may have run
	}
	outs := make([]outcome, len(sent))
	for n, i := range sent {
		outs[n] = o
		outs[n].index = i
	}
	return outs
}

// judgeBatch reads the states in an answer to several messages; one that is not told may have run.
func judgeBatch(a answer, o outcome, items []item, sent []int) []outcome {
	var list []struct{ ID, State string }
	states := map[string]string{}
	if a.err == nil && json.Unmarshal(a.body, &list) == nil {
		for _, l := range list {
			states[l.ID] = l.State
		}
	}
	outs := make([]outcome, len(sent))
	for n, i := range sent {
		one := o
		one.index = i
		switch states[items[i].id] {
		case "delivered":
			one.result = control.OK
		case "refused":
			one.result = control.Full
		case "over":
			one.result, one.over = control.Moot, true
		case "spent":
			one.result = control.Moot
		default:
			one.result = control.Errored
		}
		outs[n] = one
	}
	return outs
}

// end gives all items left the same outcome.
func (k *call) end(o outcome) {
	var outs []outcome
	for i, l := range k.left {
		if l {
			k.left[i] = false
			o.index = i
			outs = append(outs, o)
		}
	}
	if len(outs) > 0 {
		k.hooks.ends(outs)
	}
}

func (k *call) endOne(i int, o outcome) {
	if k.left[i] {
		k.left[i] = false
		o.index = i
		k.hooks.ends([]outcome{o})
	}
}

func (k *call) count() (n int) {
	for _, l := range k.left {
		if l {
			n++
		}
	}
	return n
}

// due lists the items whose time is up.
func (k *call) due(now time.Time) (out []int) {
	for i, it := range k.items {
		if k.left[i] && !it.due.After(now) {
			out = append(out, i)
		}
	}
	return out
}

// request is the call as it is written: one message, or several in a batch.
func (k *call) request(sent []int) ([]byte, error) {
	path, body := "/v1/messages", k.items[sent[0]].body
	if len(sent) > 1 {
		type line struct {
			ID   string `json:"id"`
			Key  string `json:"key,omitempty"`
			Body []byte `json:"body"`
		}
		list := make([]line, len(sent))
		for n, i := range sent {
			list[n] = line{k.items[i].id, k.items[i].key, append([]byte{}, k.items[i].body...)}
		}
		var err error
		if body, err = json.Marshal(list); err != nil {
			return nil, fmt.Errorf("batch: %w", err)
		}
		path += ":batch"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+k.addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	last := k.items[sent[0]].due
	for _, i := range sent {
		if k.items[i].due.After(last) {
			last = k.items[i].due
		}
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(time.Until(last).Milliseconds(), 1), 10))
	if len(sent) == 1 {
		it := &k.items[sent[0]]
		req.Header.Set("X-Trace-Id", it.id)
		if it.key != "" {
			req.Header.Set("Idempotency-Key", it.key)
		}
	} else {
		req.Header.Set("Content-Type", "application/json")
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	return out.Bytes(), nil
}

// retryAfter reads a told wait: seconds, with decimals.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(s > 0 && s < 1e6) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// loadReport reads the report that an answer may carry: TEXT x0=0.4, x1=25.
func loadReport(h http.Header, names []string) []float32 {
	text, ok := strings.CutPrefix(h.Get("Endpoint-Load-Metrics"), "TEXT")
	if !ok || len(names) == 0 {
		return nil
	}
	out := make([]float32, len(names))
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, n := range names {
			if v, err := strconv.ParseFloat(value, 32); n == name && err == nil {
				out[i] = float32(v)
			}
		}
	}
	return out
}

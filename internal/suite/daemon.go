package suite

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/driver"
	"curlewmux/internal/host"
	"curlewmux/internal/http1"
	"curlewmux/internal/node"
	"curlewmux/internal/vnet"
	"curlewmux/membership/partnerlist"
)

// Options change a play. The zero value changes nothing.
type Options struct {
	// Wrong replaces results that the daemon's transport tells, to prove that a wrong mapping is found.
	Wrong map[control.Result]control.Result

	// Seed draws the order of ties and the module's random numbers, 0: 1. Latency is that of all links, Tick the time between
	// rounds, 0: as usual. A play whose result depends on them is one in which milliseconds count.
	Seed    uint64
	Latency time.Duration
	Tick    time.Duration
}

// Daemon plays a script through the daemon as it is (internal/node: front, engine, driver, journal, HTTP transport, watch
// of discovery, notices) on a simulated world, with clients, discovery's agent and partners that speak HTTP. Messages
// that are called off are withdrawn at its driver, as its clients have no way to.
func Daemon(s *Script, o Options) (*Result, error) {
	w := vnet.New(max(o.Seed, 1), vnet.Options{Watchdog: 20 * time.Second, Path: vnet.Quality{Latency: o.Latency}})
	defer w.Close()
	d := &daemon{
		script: s, opt: o, world: w, ends: map[string]*httpEnd{}, fates: map[string]*Fate{}, keys: map[string]time.Duration{},
	}
	d.machine, d.platform = w.Machine("dispatcher"), w.Machine("platform")
	d.machine.Limit(vnet.Limits{SendBuffer: 8 << 10})
	for _, name := range s.Endpoints {
		e := &httpEnd{d: d, name: name, machine: w.Machine(name), calls: map[string]int{}}
		e.machine.Limit(vnet.Limits{ReadBuffer: 8 << 10})
		d.ends[name] = e
		e.up()
		if !s.later[name] {
			d.log = append(d.log, d.entry(name, engine.Active, name))
		}
	}
	d.platform.Boot(d.agent)
	w.After(time.Millisecond, d.boot)
	for _, ev := range s.events {
		w.After(begins+ev.at, func() { d.event(ev) })
	}
	if err := w.Run(begins+s.until, nil); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	if d.err != nil {
		return nil, d.err
	}
	r := &Result{Fates: map[string]Fate{}, Unmet: d.unmet}
	for id, f := range d.fates {
		r.Fates[id] = *f
	}
	return r, nil
}

// begins is when a script's time begins, both ways: the daemon is ready. The module reckons with how long it has been up.
const begins = 50 * time.Millisecond

// daemon is one play. All of it runs in the world, one goroutine at a time.
type daemon struct {
	script   *Script
	opt      Options
	world    *vnet.World
	machine  *vnet.Machine
	platform *vnet.Machine // of clients and of discovery's agent
	ends     map[string]*httpEnd
	fates    map[string]*Fate
	keys     map[string]time.Duration // when a key took effect
	unmet    int
	withdraw func(id string)
	err      error

	log     []partnerlist.Entry // what discovery has told; the revision is their number
	watches []host.Inbox        // of those that wait for more
}

func (d *daemon) fate(id string) *Fate {
	if d.fates[id] == nil {
		d.fates[id] = &Fate{}
	}
	return d.fates[id]
}

// boot starts the dispatcher's process, on what an earlier one left.
func (d *daemon) boot() {
	text := fmt.Sprintf(`{"name":"suite","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":192,
		"sockets":256,"disk_mb":8},"settings":{"classes":[{"effect":"free","name":"x","target":1,"hard-limit":1,"gain":1}],
		"instances":1,"tick":5000,"extra":{"slots":1},"limits":{"max-open":1,"most-tries":1}}}`,
		d.machine.Addr(80), d.platform.Addr(7000), max(d.opt.Seed, 1))
	cfg, err := node.ParseConfig([]byte(text), func(name string) string { return map[string]string{"EDGE_STATE": "folder"}[name] })
	if err != nil {
		d.err = err
		return
	}
	cfg.Settings, cfg.Zones = d.script.Settings, []string{"near"}
	if d.opt.Tick > 0 {
		cfg.Settings.Tick = control.Time(d.opt.Tick.Microseconds())
	}
	cfg.Interceptors = node.Interceptors{
		Intake: func(in engine.Intake) engine.Intake {
			d.withdraw = in.(interface{ Withdraw(string) }).Withdraw
			return in
		},
		Components: func(s driver.Components) driver.Components {
			s.Transport, s.Sink = &wrongly{s.Transport, d.opt.Wrong}, &ending{s.Sink, d}
			return s
		},
	}
	d.machine.Boot(func(h host.Host) {
		cfg.Dir = h.(*vnet.Process).Folder()
		if err := node.New(counting{h, d}, cfg, slog.New(slog.DiscardHandler)).Run(); err != nil {
			d.err = err
		}
	})
}

// ending hears the ends of messages on their way to the daemon's notices.
type ending struct {
	engine.Sink
	d *daemon
}

func (e *ending) Completed(x *engine.Done) {
	e.d.fate(x.ID).Final = finals[x.Disposition]
	e.Sink.Completed(x)
}

var finals = map[engine.Disposition]string{
	engine.Delivered: "answered", engine.Closed: "answered", engine.Refused: "refused", engine.Failed: "failed", engine.Withdrawn: "cancelled",
}

func (d *daemon) entry(name string, p engine.Phase, at string) partnerlist.Entry {
	return partnerlist.Entry{
		ID: name, HostPort: d.ends[at].machine.Addr(80), Locality: "near", Flavor: kindName, Cell: dest,
		Phase: map[engine.Phase]string{engine.Active: "active", engine.Leaving: "leaving", engine.Gone: "left"}[p],
	}
}

func (d *daemon) event(e event) {
	switch e.what {
	case "call":
		d.platform.Process().Go(func() { d.handIn(d.platform.Process(), e) })
	case "cancel":
		d.withdraw(e.name)
	case "list":
		at := e.name
		if e.moveTo != "" {
			at = e.moveTo
		}
		d.log = append(d.log, d.entry(e.name, e.phase, at))
		for _, w := range d.watches {
			w.Put(true)
		}
		d.watches = nil
	case "down":
		d.ends[e.name].machine.Kill()
	case "up":
		d.ends[e.name].up()
	case "lose":
		d.ends[e.name].machine.Lose()
	case "restart":
		d.machine.Kill()
		d.boot()
	}
}

// handIn is a client.
func (d *daemon) handIn(h host.Host, e event) {
	f := d.fate(e.name)
	size := 10
	if e.big {
		size = 60_000
	}
	b := http1.AppendRequest(nil, http.MethodPost, "daemon", "/"+e.class)
	for _, field := range [][2]string{
		{"X-Trace-Id", e.name}, {"X-Qos", e.class}, {"X-Customer", "suite"}, {"Envelope", fmt.Sprint("dest=", dest)},
		{"X-Expires-In-Ms", fmt.Sprint(e.time.Milliseconds())}, {"Idempotency-Key", e.key},
	} {
		if field[1] != "" {
			b = http1.AppendField(b, field[0], field[1])
		}
	}
	nc, err := h.Dial(d.machine.Addr(80), time.Second, &host.Abort{})
	if err != nil {
		d.err = fmt.Errorf("client of %s: %w", e.name, err)
		return
	}
	defer nc.Close()
	if _, err := nc.Write(http1.AppendBody(b, make([]byte, size))); err != nil {
		d.err = fmt.Errorf("client of %s: %w", e.name, err)
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	switch {
	case err != nil:
		d.err = fmt.Errorf("client of %s: %w", e.name, err)
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		f.Final = "refused"
	case res.StatusCode/100 != 2:
		d.err = fmt.Errorf("client of %s: status %d", e.name, res.StatusCode)
	}
}

// agent is discovery's agent: the list with its watch, and notices, which it takes.
func (d *daemon) agent(h host.Host) {
	l, err := h.Listen(d.platform.Addr(7000))
	if err != nil {
		d.err = err
		return
	}
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		h.Go(func() {
			defer nc.Close()
			br := bufio.NewReader(nc)
			for {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				if req.URL.Path == "/reports" {
					fmt.Fprintf(nc, "HTTP/1.1 204 No Content\r\n%s\r\n", closeField(req))
					if req.Close {
						return
					}
					continue
				}
				text, err := json.Marshal(d.watch(h, req.URL.Query()))
				if err != nil {
					d.err = err
					return
				}
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", closeField(req), len(text), text)
				if req.Close {
					return
				}
			}
		})
	}
}

// closeField is the field by which a response repeats the request's option to close the connection.
func closeField(req *http.Request) string {
	if req.Close {
		return "Connection: close\r\n"
	}
	return ""
}

// watch is the list, or what is new in it once there is something.
func (d *daemon) watch(h host.Host, q url.Values) partnerlist.List {
	after, err := strconv.Atoi(q.Get("after"))
	if err != nil {
		return partnerlist.List{Revision: int64(len(d.log)), Complete: true, Entries: slices.DeleteFunc(
			d.newest(), func(e partnerlist.Entry) bool { return e.Phase == "left" })}
	}
	if after >= len(d.log) {
		ms, err := strconv.Atoi(q.Get("wait_ms"))
		if err != nil {
			ms = 0
		}
		news := h.NewInbox()
		d.watches = append(d.watches, news)
		news.Take(nil, h.Now().Add(time.Duration(ms)*time.Millisecond))
	}
	return partnerlist.List{Revision: int64(len(d.log)), Entries: slices.Clone(d.log[min(after, len(d.log)):])}
}

// newest is what discovery has told of each endpoint last.
func (d *daemon) newest() (out []partnerlist.Entry) {
	for i, e := range d.log {
		if !slices.ContainsFunc(d.log[i+1:], func(o partnerlist.Entry) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}

// wrongly is a transport that tells other results than it has.
type wrongly struct {
	engine.Transport
	wrong map[control.Result]control.Result
}

func (w *wrongly) Start(c *engine.Call, on engine.CallEvents) {
	if w.wrong != nil {
		on = wrongEvents{on, w.wrong}
	}
	w.Transport.Start(c, on)
}

type wrongEvents struct {
	engine.CallEvents
	wrong map[control.Result]control.Result
}

func (w wrongEvents) Ended(id engine.CallID, outs []engine.Outcome) {
	for i := range outs {
		if r, ok := w.wrong[outs[i].Result]; ok {
			outs[i].Result = r
		}
	}
	w.CallEvents.Ended(id, outs)
}

// counting is a host that counts the dials which met nobody.
type counting struct {
	host.Host
	d *daemon
}

func (c counting) Dial(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
	nc, err := c.Host.Dial(addr, limit, abort)
	if err != nil && !abort.Done() && addr != c.d.platform.Addr(7000) {
		c.d.unmet++
	}
	return nc, err
}

// httpEnd is an endpoint of the partner, which speaks HTTP.
type httpEnd struct {
	d       *daemon
	name    string
	machine *vnet.Machine
	calls   map[string]int // of each message, begun
}

func (e *httpEnd) up() {
	if e.machine.Process() != nil {
		return
	}
	e.machine.Boot(func(h host.Host) {
		l, err := h.Listen(e.machine.Addr(80))
		if err != nil {
			e.d.err = err
			return
		}
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			h.Go(func() { e.serve(h, nc) })
		}
	})
}

func (e *httpEnd) serve(h host.Host, nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Trace-Id")
		f := e.d.fate(id)
		f.Endpoints = append(f.Endpoints, e.name)
		e.calls[id]++
		m := e.d.script.meet(e.name, e.calls[id])
		if m.early() {
			if m.Kind == "stall" {
				h.NewInbox().Take(nil, time.Time{}) // until the process ends
			}
			sleep(h, answerTime)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if m.ran() {
			e.ran(req.Header.Get("Idempotency-Key"), f)
		}
		if !e.answer(h, nc, br, m, closeField(req)) || req.Close {
			return
		}
	}
}

// ran notes an effect, unless the key is remembered.
func (e *httpEnd) ran(key string, f *Fate) {
	at, known := e.d.keys[key]
	if key != "" {
		if known && e.d.world.Now()-at < keyMemory {
			return
		}
		e.d.keys[key] = e.d.world.Now()
	}
	f.Effects++
}

// keyMemory is how long partners remember a key.
const keyMemory = 20 * time.Second

func sleep(h host.Host, d time.Duration) { h.NewInbox().Take(nil, h.Now().Add(d)) }

func (e *httpEnd) answer(h host.Host, nc net.Conn, br *bufio.Reader, m Meeting, fields string) (on bool) {
	write := func(status int, head string) bool {
		_, err := fmt.Fprintf(nc, "HTTP/1.1 %d %s\r\n%s%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), fields, head)
		return err == nil
	}
	wait := answerTime
	if m.Kind == "ok" && m.For > 0 {
		wait = m.For
	}
	sleep(h, wait)
	switch m.Kind {
	case "ok":
		return write(http.StatusOK, "")
	case "error":
		return write(http.StatusInternalServerError, "")
	case "wait", "pushback":
		return write(http.StatusTooManyRequests, "Retry-After: "+strconv.FormatFloat(m.For.Seconds(), 'f', 3, 64)+"\r\n")
	case "full":
		return write(http.StatusServiceUnavailable, "")
	case "moot":
		return write(http.StatusServiceUnavailable, "Slots-Taken: 1\r\n")
	case "over":
		return write(http.StatusGone, "")
	case "cut-answer":
		io.WriteString(nc, "HTTP/1.1 20")
		sleep(h, answerTime)
	case "hang":
		br.ReadByte() // until the caller has gone
	}
	return false
}

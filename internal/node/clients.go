package node

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"whinrun/control"
)

const (
	maxBody    = 64 << 10
	maxExpiry  = 24 * time.Hour
	clientIdle = time.Minute
	headerTime = 10 * time.Second
)

// intake is a message that a client hands in; the loop answers with a status and, on refusal, when to come again.
type intake struct {
	entry  *entry
	class  int
	tenant int
	reply  chan verdict
}

type verdict struct {
	status int
	again  time.Duration
	why    string
}

// clients serves those who hand in messages.
type clients struct {
	set     *control.Settings
	take    chan<- *intake
	quit    <-chan struct{}
	ready   atomic.Bool
	closing atomic.Bool // answers ask for the connection to be closed
	server  *http.Server
}

func newClients(set *control.Settings, take chan<- *intake, quit <-chan struct{}, log *slog.Logger) *clients {
	c := &clients{set: set, take: take, quit: quit}
	c.server = &http.Server{
		Handler: c, ReadHeaderTimeout: headerTime, ReadTimeout: 2 * headerTime, IdleTimeout: clientIdle,
		MaxHeaderBytes: 16 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return c
}

// serve answers on l, with at most so many connections at once.
func (c *clients) serve(l net.Listener, most int) error {
	if err := c.server.Serve(netutil.LimitListener(l, most)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("clients: %w", err)
	}
	return nil
}

func (c *clients) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/-/ready" {
		switch {
		case r.Method != http.MethodGet && r.Method != http.MethodHead:
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "method: want GET", http.StatusMethodNotAllowed)
		case !c.ready.Load():
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		default:
			w.WriteHeader(http.StatusOK)
		}
		return
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		http.Error(w, "method: want POST", http.StatusMethodNotAllowed)
		return
	}
	now := time.Now()
	in, err := c.parse(r, now)
	if err == nil {
		in.entry.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
			http.Error(w, fmt.Sprintf("body: over %d bytes", maxBody), http.StatusRequestEntityTooLarge)
			return
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := verdict{status: http.StatusServiceUnavailable, why: "stopping", again: time.Second}
	if c.ready.Load() {
		select {
		case c.take <- in:
			v = <-in.reply
		case <-c.quit:
		}
	}
	if v.status == http.StatusAccepted {
		w.WriteHeader(v.status)
		return
	}
	if v.again > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(v.again.Seconds(), 'f', 3, 64))
	}
	http.Error(w, v.why, v.status)
}

// parse reads all but the body; an error names the field at fault.
func (c *clients) parse(r *http.Request, now time.Time) (*intake, error) {
	in := &intake{entry: &entry{id: r.Header.Get("X-Trace-Id")}, class: -1, tenant: -1, reply: make(chan verdict, 1)}
	e := in.entry
	if !token(e.id) {
		return nil, fmt.Errorf("X-Trace-Id: %q is not an id", e.id)
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if e.class = r.Header.Get("X-Qos"); e.class != first {
		return nil, fmt.Errorf("X-Qos: %q is not the class in the path, %q", e.class, first)
	}
	if in.class = classOf(c.set, e.class); in.class < 0 {
		return nil, fmt.Errorf("X-Qos: class %q is unknown", e.class)
	}
	e.tenant = r.Header.Get("X-Customer")
	if in.tenant = tenantOf(c.set, e.tenant); in.tenant < 0 && len(c.set.Tenants) > 0 {
		return nil, fmt.Errorf("X-Customer: tenant %q is unknown", e.tenant)
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Expires-In-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxExpiry.Milliseconds() {
		return nil, fmt.Errorf("X-Expires-In-Ms: %q is not a time to expire in", r.Header.Get("X-Expires-In-Ms"))
	}
	e.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	if e.dest, err = destination(r.Header.Get("Envelope")); err != nil {
		return nil, err
	}
	e.key = r.Header.Get("Idempotency-Key")
	if c.set.Classes[in.class].Effect == control.Guarded && e.key == "" {
		return nil, fmt.Errorf("Idempotency-Key: missing, class %q needs it", e.class)
	}
	if len(e.key) > 256 {
		return nil, errors.New("Idempotency-Key: over 256 bytes")
	}
	return in, nil
}

// destination reads the number in an envelope: dest=7, perhaps among other entries.
func destination(envelope string) (int, error) {
	for part := range strings.FieldsFuncSeq(envelope, func(r rune) bool { return strings.ContainsRune(" ;,&", r) }) {
		if s, ok := strings.CutPrefix(part, "dest="); ok {
			if n, err := strconv.ParseUint(s, 10, 16); err == nil {
				return int(n), nil
			}
		}
	}
	return 0, fmt.Errorf("Envelope: %q names no dest", envelope)
}

// token tells whether s may be an id: short, and the same in a header, in JSON and in a log.
func token(s string) bool {
	for _, r := range s {
		if !(r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || strings.ContainsRune("._~:-", r)) {
			return false
		}
	}
	return s != "" && len(s) <= 128
}

func classOf(s *control.Settings, name string) int {
	for i, c := range s.Classes {
		if c.Name == plain(name) {
			return i
		}
	}
	return -1
}

func tenantOf(s *control.Settings, name string) int {
	for i, t := range s.Tenants {
		if t.Name == plain(name) {
			return i
		}
	}
	return -1
}

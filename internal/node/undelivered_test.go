package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/operator"
	"curlewmux/internal/standin/archive"
	"curlewmux/internal/vnet"
	"curlewmux/undelivered"
)

// undeliveredSim is a dispatcher on a simulated machine that keeps undelivered messages. Destination 1 is an archive that
// answers inquiries.
type undeliveredSim struct {
	*vnet.World
	t              *testing.T
	mux            *vnet.Machine
	archiveMachine *vnet.Machine // runs the archive and discovery
	archive        *archive.Server
	clients        host.Host
	node           *Node

	codes         map[string]int // last status code by message id
	notices       map[string]string
	latency       []time.Duration // latencies of fresh messages
	freshCount    int             // fresh messages submitted
	diagnose      func() string   // describes what is wrong, for failure messages
	checkInterval time.Duration   // simulated time between checks of a condition, since reading the disk is slow

	// Settings of the configuration:
	window          int
	disk            float64
	listedRate      int  // calls per second according to the endpoint list
	keysByZone      bool // keys are remembered by zone, so messages in doubt are not returned to the client
	instances       int  // number of dispatchers
	orderedIsUnsafe bool // the ordered class is unsafe

	// Settings of the operator's file:
	rememberSeconds   int
	firstDelaySeconds int
	maxResends        int
	sync              string

	monitor *ledgerMonitor // nil: no ledger is kept
}

const undeliveredOperatorFile = `
[journal]
sync = "%s"
[undelivered]
disk_share = 0.5
socket = ""
refused = 20
trial_s = 1
[[undelivered.partner]]
dest = 1
proof = "inquiry"
settle_s = 5
remembers_s = %d
address = "archive:24"
timeout_s = 2
[[undelivered.rule]]
name = "all"
first_s = %d
factor = 1.5
most_s = 3600
tries = %d
`

func newUndeliveredSim(t *testing.T, seed uint64) *undeliveredSim {
	w := vnet.New(seed, vnet.Options{Watchdog: testTimeout})
	s := &undeliveredSim{World: w, t: t, checkInterval: 50 * time.Millisecond, window: 60_000_000, disk: 4, listedRate: 1000, instances: 2, rememberSeconds: 100_000, sync: "none", firstDelaySeconds: 2, maxResends: 20, codes: map[string]int{}, notices: map[string]string{}, diagnose: func() string { return "" }}
	s.mux, s.archiveMachine = w.Machine("mux"), w.Machine("archive")
	s.clients = w.Machine("clients").Boot(nil)
	s.archive = &archive.Server{}
	s.startServers()
	return s
}

// startServers starts the archive and discovery.
func (s *undeliveredSim) startServers() {
	s.archiveMachine.Boot(func(h host.Host) {
		s.archive.Host = h
		l, err := h.Listen(":24")
		if err != nil {
			s.t.Error(err)
			return
		}
		d, err := h.Listen(":9")
		if err != nil {
			s.t.Error(err)
			return
		}
		h.Go(func() { s.serveDiscovery(h, d) })
		s.archive.Serve(l)
	})
}

const endpointListFormat = `{"revision":1,"complete":true,"members":[
	{"id":"a1","host_port":"archive:24","locality":"west","flavor":"hooks","cell":1,"phase":"active","size":%d}]}`

func (s *undeliveredSim) endpointList() string { return fmt.Sprintf(endpointListFormat, s.listedRate) }

// serveDiscovery accepts notices and serves a list that never changes.
func (s *undeliveredSim) serveDiscovery(h host.Host, l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		h.Go(func() {
			defer nc.Close()
			for br := bufio.NewReader(nc); ; {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				body, err := io.ReadAll(r.Body)
				switch {
				case err != nil:
					return
				case r.URL.Path == "/reports":
					for line := range strings.Lines(string(body)) {
						var n struct{ ID, Status string }
						if err := json.Unmarshal([]byte(line), &n); err != nil {
							s.t.Error(err)
						}
						s.notices[n.ID] = n.Status
					}
					io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
				case r.URL.Query().Get("after") != "":
					io.Copy(io.Discard, nc) // the list never changes
				default:
					fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s.endpointList()), s.endpointList())
				}
			}
		})
	}
}

func (s *undeliveredSim) config() *Config {
	settings := fmt.Sprintf(settingsJSON, s.window, 50)
	settings = strings.Replace(settings, `"instances":2`, fmt.Sprintf(`"instances":%d`, s.instances), 1)
	if s.orderedIsUnsafe {
		settings = strings.Replace(settings, `"by-arrival":true,"effect":"free"`, `"by-arrival":true,"effect":"single_shot"`, 1)
	}
	if s.keysByZone {
		settings = strings.Replace(settings, `"group":"all"`, `"group":"zone"`, 1)
	}
	text := fmt.Appendf(nil, `{"name":"n0","listen":":9000","discovery":"archive:9","seed":"8c1f30d27a5be964","known":%s,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":%g},"settings":%s}`, s.endpointList(), s.disk, settings)
	cfg, err := ParseConfig(text, func(name string) string { return map[string]string{"EDGE_STATE": "folder"}[name] })
	must(s.t, err)
	f, err := operator.Parse(fmt.Sprintf(undeliveredOperatorFile, s.sync, s.rememberSeconds, s.firstDelaySeconds, s.maxResends))
	must(s.t, err)
	must(s.t, cfg.ApplyOperatorFile(f))
	return cfg
}

// boot starts the dispatcher.
func (s *undeliveredSim) boot() {
	cfg := s.config()
	if s.monitor != nil {
		s.monitor.attach(cfg)
	}
	s.mux.Boot(func(h host.Host) {
		cfg.Dir = s.mux.Process().Folder()
		s.node = New(h, cfg, discardLog())
		if err := s.node.Run(); err != nil {
			s.t.Error(err)
		}
	})
}

// upload is a piece of work that a client wants done exactly once.
type upload struct {
	class   string
	body    string
	key     string
	expires time.Duration
	ids     []string
	done    bool // the client has finished with it
	inDoubt bool // a submission was answered 500, which promises nothing
}

// submitUntilDone submits an upload from its own goroutine until it is accepted, and again under a new id if it is
// returned as deferred.
func (s *undeliveredSim) submitUntilDone(u *upload, name string) {
	s.clients.Go(func() {
		pause := func(d time.Duration) { s.clients.NewInbox().Take(nil, s.clients.Now().Add(d)) }
		for try := 0; try < 500 && !u.done; try++ {
			id := fmt.Sprintf("%s.%d", name, try)
			u.ids = append(u.ids, id)
			for code := 0; code != 202 && code != 410; pause(100 * time.Millisecond) {
				code = s.post(u.class, id, u.key, u.body, u.expires)
				s.codes[id] = code
				switch code {
				case 0, 202, 410, 503:
				case 500:
					u.inDoubt, u.done = true, true
					return
				default:
					s.t.Errorf("%s: answered %d", id, code)
					return
				}
			}
			for s.notices[id] != "deferred" {
				if u.done = s.archive.Effect(u.body) > 0 || s.notices[id] == "undeliverable"; u.done {
					return
				}
				pause(200 * time.Millisecond)
			}
		}
	})
}

// post submits a message once and returns the status code, or 0 if there was no response.
func (s *undeliveredSim) post(class, id, key, body string, expires time.Duration) (code int) {
	c, err := s.clients.Dial("mux:9000", time.Second, &host.Abort{})
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(s.clients.Now().Add(time.Second))
	fmt.Fprintf(c, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: core\r\nX-Expires-In-Ms: %d\r\n%sEnvelope: dest=1\r\nContent-Length: %d\r\n\r\n%s",
		class, id, class, expires.Milliseconds(), keyField(key), len(body), body)
	b := make([]byte, 64)
	n, _ := c.Read(b)
	fmt.Sscanf(string(b[:n]), "HTTP/1.1 %d", &code)
	return code
}

func keyField(key string) string {
	if key == "" {
		return ""
	}
	return "Idempotency-Key: " + key + "\r\n"
}

// runUntil runs the simulation until a condition holds.
func (s *undeliveredSim) runUntil(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	nextCheck := s.Now()
	err := s.Run(s.Now()+limit, func() bool {
		if s.Now() < nextCheck {
			return false
		}
		nextCheck = s.Now() + s.checkInterval
		return ok()
	})
	if err != nil {
		s.t.Fatalf("%s: %v; store: %v%s", what, err, s.states(), s.diagnose())
	}
}

// entries reads the store's entries from a copy of the disk.
func (s *undeliveredSim) entries() (out []*undelivered.Entry) {
	list, err := undelivered.ReadAll(s.mux.Disk().Clone().Dir())
	must(s.t, err)
	return list
}

// states describes the store's entries for failure messages.
func (s *undeliveredSim) states() string {
	var b strings.Builder
	for _, e := range s.entries() {
		fmt.Fprintf(&b, " %d:%s:%s tries %d doubt %v held %q end %q;", e.Number, e.ID, e.State, e.Resends, e.Doubt.FirstSent != 0, e.HoldReason, e.Disposition)
	}
	return b.String()
}

// An upload whose only call hangs is kept in doubt. If the archive says that it took no effect, it is resent.
func TestUploadInDoubtIsInquiredAndResent(t *testing.T) {
	t.Parallel()
	for _, ran := range []bool{false, true} {
		s := newUndeliveredSim(t, 1)
		n := 0
		s.archive.Script = func([]archive.Item, bool) archive.Act {
			n++
			return archive.Act{Hang: n == 1, NoEffect: n == 1 && !ran}
		}
		s.boot()
		s.submitUntilDone(&upload{class: "unsafe", body: "upload 1", expires: 3 * time.Second}, "u1")
		s.runUntil(time.Minute, "it ends in the store", func() bool {
			list := s.entries()
			return len(list) == 1 && list[0].State == undelivered.Ended
		})
		calls, inquiries := s.archive.Counts()
		want := undelivered.EndDelivered
		if ran {
			want = undelivered.EndTookEffect
		}
		e := s.entries()[0]
		if s.archive.Effect("upload 1") != 1 || e.Disposition != want || inquiries == 0 || ran && calls != 1 {
			t.Errorf("took %v: %d effects, end %q, %d calls, %d inquiries", ran, s.archive.Effect("upload 1"), e.Disposition, calls, inquiries)
		}
		s.Close()
	}
}

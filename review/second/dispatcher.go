package main

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// settings are those of a small deployment, in the form of the WIRE page.
func settings() map[string]any {
	class := func(name, effect string, gain float64, target, limit, window int, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "gain": gain, "group": "all", "hard-limit": limit, "late-worth": late,
			"stream": false, "target": target, "window": window}
	}
	tenant := func(name string, fraction, quota float64) map[string]any {
		return map[string]any{"name": name, "fraction": fraction, "quota-per-s": quota}
	}
	return map[string]any{
		"callers": map[string]any{"marks-retry": false},
		"classes": []any{
			class("sync-request", "guarded", 1, 2500000, 24000000, 10000000, 0.5),
			class("build-status", "free", 2, 1500000, 5000000, 5000000, 0),
			class("release-upload", "single_shot", 5, 2500000, 28000000, 5000000, 0.4),
		},
		"dcs": []any{"east-hall", "west-hall"}, "domain-type": "deliver",
		"extra": map[string]any{"batch-by-kind": []any{10, 1}, "carriage": []any{0.0, 0.0}, "late": "linear", "refused-price": 0.05,
			"routes-apart": []any{false, false}, "slots": 13},
		"host-types": []any{"big-archives", "small-hooks"}, "instances": 2, "layer": 0,
		"limits": map[string]any{"conn-idle": 5000000, "connect-timeout": 1500000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 110000,
			"max-open": 313, "max-retry-after": 2000000, "may-cancel": true, "may-duplicate": false, "most-tries": 6,
			"peer-messages": false, "probes": true, "retry-after": true, "streams-per-conn": 8},
		"me": 0, "membership-mode": "automatic", "over-share-worth": 0.05,
		"report": map[string]any{"names": []any{}, "via": "none"},
		"rules": map[string]any{"answer-slack": 20000, "ask-every": 10000000, "cold-from": 0.19, "overload-for": 2000000,
			"stop-sending-within": 1000000, "tip-multiple": 2.0, "warm-up": 10000000},
		"stages": []any{"partners"},
		"tenants": []any{tenant("core", 0.42, 27), tenant("desktop", 0.24, 15), tenant("server", 0.16, 10), tenant("ports", 0.11, 7),
			tenant("docs", 0.07, 4)},
		"tick": 5000, "value-by": "request", "weights": "nominal", "zone": 0,
	}
}

// dispatcher is the project's program, started as the deploy file says.
type dispatcher struct {
	rec       *record
	addr      string
	root      string
	folder    string
	discovery string
	known     []member
	settings  map[string]any
	limits    map[string]any
	cmd       *exec.Cmd
	ended     chan error
}

func newDispatcher(rec *record, root, folder string, a *agent) *dispatcher {
	l := listen()
	addr := l.Addr().String()
	l.Close()
	d := &dispatcher{rec: rec, addr: addr, root: root, folder: folder, discovery: a.addr, settings: settings(),
		limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
	a.mu.Lock()
	d.known = append([]member{}, a.members...)
	a.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(folder, "state"), 0o755); err != nil {
		cannot("state: %v", err)
	}
	return d
}

// runLine is `run` of the deploy file.
func runLine(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		cannot("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if m == nil {
		cannot("deploy file: no run")
	}
	return string(m[1])
}

func (d *dispatcher) config() string {
	file := filepath.Join(d.folder, "config.json")
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": d.addr, "discovery": d.discovery, "seed": "8c1f30d27a5be964", "limits": d.limits,
		"known": map[string]any{"revision": 1, "complete": true, "members": d.known}, "settings": d.settings,
	})
	if err == nil {
		err = os.WriteFile(file, text, 0o644)
	}
	if err != nil {
		cannot("configuration: %v", err)
	}
	return file
}

// start starts the program and waits until it is ready.
func (d *dispatcher) start() {
	tmp := filepath.Join(d.folder, "tmp")
	os.MkdirAll(tmp, 0o755)
	log, err := os.OpenFile(filepath.Join(d.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannot("log: %v", err)
	}
	d.cmd = exec.Command("/bin/sh", "-c", runLine(d.root))
	d.cmd.Dir = d.root
	env := map[string]string{"EDGE_NAME": "n1", "EDGE_LISTEN": d.addr, "EDGE_DISCOVERY": d.discovery,
		"EDGE_STATE": filepath.Join(d.folder, "state"), "EDGE_CONFIG": d.config(), "TMPDIR": tmp, "PATH": os.Getenv("PATH")}
	for k := range maps.Keys(env) {
		d.cmd.Env = append(d.cmd.Env, k+"="+env[k])
	}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		cannot("start: %v", err)
	}
	cmd, ended := d.cmd, make(chan error, 1)
	d.ended = ended
	go func() { ended <- cmd.Wait() }()
	d.rec.line("dispatcher started")
	for until := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if r, err := http.Get("http://" + d.addr + "/-/ready"); err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == 200 {
				break
			}
		}
		select {
		case err := <-ended:
			cannot("the dispatcher ended at its start: %v", err)
		default:
		}
		if time.Now().After(until) {
			cannot("the dispatcher is not ready after 30 s")
		}
	}
	d.rec.line("dispatcher ready")
}

// signal sends a signal to the program.
func (d *dispatcher) signal(s syscall.Signal) {
	d.rec.line("signal", s)
	d.cmd.Process.Signal(s)
}

// stop ends the program at the end of a case.
func (d *dispatcher) stop() {
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Kill()
		select {
		case <-d.ended:
		case <-time.After(5 * time.Second):
		}
	}
}

// request is a message as a client hands it in.
type request struct {
	id, class, tenant, key string
	dest                   int
	expires                time.Duration
	body                   []byte
}

func (m *request) text() []byte {
	var b strings.Builder
	b.WriteString("POST /" + m.class + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + m.id + "\r\nX-Qos: " + m.class +
		"\r\nX-Customer: " + m.tenant + "\r\nX-Expires-In-Ms: " + num(m.expires.Milliseconds()) + "\r\n")
	if m.key != "" {
		b.WriteString("Idempotency-Key: " + m.key + "\r\n")
	}
	b.WriteString("Content-Length: " + num(int64(len(m.body))) + "\r\nEnvelope: dest=" + num(int64(m.dest)) + "\r\n\r\n")
	return append([]byte(b.String()), m.body...)
}

// timeout tells whether an error is that of a deadline.
func timeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

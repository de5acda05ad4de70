package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Config is what the platform tells a dispatcher.
type Config struct {
	Name, Listen, Discovery string
	Known                   []Member // the list as the dispatcher last had it, as far as the platform knows
	KnownRevision           int64
	Settings                map[string]any
	MemoryMB, Sockets       int
	DiskMB                  float64
}

// Class is a class of messages as the settings write it.
func Class(name, effect string, gain float64, target, hardLimit, window time.Duration) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "gain": gain, "group": "all", "stream": false, "late-worth": 0.4,
		"target": target.Microseconds(), "hard-limit": hardLimit.Microseconds(), "window": window.Microseconds(),
	}
}

// Names of the kinds of endpoint: the first takes batches of up to 10 messages, the second single messages.
const (
	BatchKind  = "big-archives"
	SingleKind = "small-hooks"
	Tenant     = "core"
)

// Settings are those of the example on the WIRE page, for one dispatcher.
func Settings() map[string]any {
	const second = time.Second
	return map[string]any{
		"classes": []any{
			Class("sync-request", "guarded", 1, 2500*time.Millisecond, 24*second, 10*second),
			Class("build-status", "free", 2, 1500*time.Millisecond, 5*second, 5*second),
			Class("release-upload", "single_shot", 5, 2500*time.Millisecond, 28*second, 5*second),
		},
		"dcs": []string{"east-hall", "west-hall"}, "host-types": []string{BatchKind, SingleKind},
		"instances": 1, "me": 0, "tick": 5000, "zone": 0, "layer": 0, "stages": []string{"partners"}, "domain-type": "deliver",
		"weights": "nominal", "over-share-worth": 0.05, "membership-mode": "automatic",
		"callers": map[string]any{"marks-retry": false},
		"extra": map[string]any{
			"batch-by-kind": []int{10, 1}, "late": "linear", "routes-apart": []bool{false, false}, "slots": 13,
		},
		"limits": map[string]any{
			"conn-idle": 5_000_000, "connect-timeout": 1_500_000, "cpu-us-per-s": 110_000, "max-open": 313,
			"max-retry-after": 2_000_000, "may-cancel": true, "may-duplicate": false, "most-tries": 6,
			"peer-messages": false, "probes": true, "retry-after": true, "streams-per-conn": 1,
		},
		"report": map[string]any{"names": []string{}, "via": "none"},
		"rules": map[string]any{
			"answer-slack": 20_000, "ask-every": 10_000_000, "cold-from": 0.19, "overload-for": 2_000_000,
			"stop-sending-within": 1_000_000, "tip-multiple": 2.0, "warm-up": 10_000_000,
		},
		"tenants": []any{map[string]any{"name": Tenant, "fraction": 1.0, "quota-per-s": 68.0}},
	}
}

// Dispatcher is one dispatcher: its folder, its address and its process, if it runs.
type Dispatcher struct {
	Root   string // of the project
	Dir    string // a temporary folder
	Config Config
	Record *Record
	Began  time.Time // when its process was last started

	Operator string // content of the operator's file, "" for none

	command string
	cmd     *exec.Cmd
	exited  chan error
}

// NewDispatcher prepares a dispatcher on a free port, in a temporary folder.
func NewDispatcher(root string, record *Record, config Config) (*Dispatcher, error) {
	command, err := runCommand(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	config.Listen = l.Addr().String()
	l.Close()
	d := &Dispatcher{Root: root, Dir: dir, Config: config, Record: record, command: command}
	started.Lock()
	if started.list == nil {
		started.list = map[*Dispatcher]bool{}
	}
	started.list[d] = true
	started.Unlock()
	if err := os.Mkdir(d.StateDir(), 0o700); err != nil {
		return nil, err
	}
	return d, nil
}

// runCommand reads the key run of the deploy file.
func runCommand(name string) (string, error) {
	f, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		key, rest, ok := strings.Cut(lines.Text(), "=")
		if !ok || strings.TrimSpace(key) != "run" {
			continue
		}
		if _, rest, ok = strings.Cut(rest, `"`); ok {
			if value, _, ok := strings.Cut(rest, `"`); ok {
				return value, nil
			}
		}
	}
	return "", fmt.Errorf("%s: no key run", name)
}

// StateDir is the folder that lasts.
func (d *Dispatcher) StateDir() string { return filepath.Join(d.Dir, "state") }

// WriteConfig writes the configuration's file.
func (d *Dispatcher) WriteConfig() error {
	c := &d.Config
	content := map[string]any{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.MemoryMB, "sockets": c.Sockets, "disk_mb": c.DiskMB},
		"settings": c.Settings,
	}
	if c.Known != nil {
		content["known"] = map[string]any{"revision": c.KnownRevision, "complete": true, "members": c.Known}
	}
	text, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(d.Dir, "config.json"), text, 0o600)
}

// Start starts the process with the command of the deploy file and waits until it is ready.
func (d *Dispatcher) Start() error {
	if err := d.WriteConfig(); err != nil {
		return err
	}
	command := d.command
	if d.Operator != "" {
		name := filepath.Join(d.Dir, "operator.toml")
		if err := os.WriteFile(name, []byte(d.Operator), 0o600); err != nil {
			return err
		}
		command += " --operator " + name
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = d.Root
	cmd.Env = append(os.Environ(),
		"EDGE_CONFIG="+filepath.Join(d.Dir, "config.json"), "EDGE_STATE="+d.StateDir(), "EDGE_NAME="+d.Config.Name,
		"EDGE_LISTEN="+d.Config.Listen, "EDGE_DISCOVERY="+d.Config.Discovery)
	cmd.Stdout, cmd.Stderr = d.Record, d.Record
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	d.cmd, d.exited, d.Began = cmd, exited, time.Now()
	d.Record.Add("dispatcher started, pid %d", cmd.Process.Pid)
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		select {
		case err := <-exited:
			return fmt.Errorf("the dispatcher ended before it was ready: %v", err)
		default:
		}
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + d.Config.Listen + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			d.Record.Add("dispatcher ready")
			return nil
		}
	}
	return fmt.Errorf("the dispatcher was not ready within 30 s")
}

// Pid is the id of the process.
func (d *Dispatcher) Pid() int { return d.cmd.Process.Pid }

// Signal sends a signal to the process.
func (d *Dispatcher) Signal(s syscall.Signal) {
	d.Record.Add("%v sent to the dispatcher", s)
	d.cmd.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the end of the process.
func (d *Dispatcher) Kill() {
	if d.cmd == nil {
		return
	}
	d.Record.Add("SIGKILL sent to the dispatcher")
	d.cmd.Process.Kill()
	<-d.exited
	d.cmd = nil
}

// Ended reports whether the process has ended by itself.
func (d *Dispatcher) Ended() bool {
	select {
	case err := <-d.exited:
		d.exited <- err
		return true
	default:
		return false
	}
}

// Remove ends the process and removes the folder.
func (d *Dispatcher) Remove() {
	d.Kill()
	os.RemoveAll(d.Dir)
	started.Lock()
	delete(started.list, d)
	started.Unlock()
}

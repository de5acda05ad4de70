package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	killDelay   = 3700 * time.Millisecond // between SIGTERM and SIGKILL, the shortest that the platform allows
	downTime    = 600 * time.Millisecond  // between SIGKILL and the next start
	stopTime    = 150 * time.Millisecond  // between SIGSTOP and SIGCONT
	frontCloses = 2900 * time.Millisecond // after SIGTERM
	readyTime   = 20 * time.Second
	pollTime    = 5 * time.Millisecond
)

// Classes of the messages, by what repeating them does.
const (
	keyedClass  = "keyed"
	freeClass   = "free"
	unsafeClass = "unsafe"
)

// process is the dispatcher.
type process struct {
	addr   string
	config string // file with the configuration
	cmd    *exec.Cmd
}

func class(name, effect string, gain, window int) map[string]any {
	return map[string]any{
		"effect": effect, "gain": gain, "group": "all", "hard-limit": 60_000_000, "late-worth": 0.5, "name": name,
		"target": 30_000_000, "window": window,
	}
}

// settings are the settings of the site.
func settings() map[string]any {
	return map[string]any{
		"classes": []any{
			class(keyedClass, "guarded", 1, 10_000_000), class(freeClass, "free", 2, 5_000_000),
			class(unsafeClass, "single_shot", 5, 5_000_000),
		},
		"dcs": []string{"east", "west"}, "host-types": []string{batchKind, singleKind}, "instances": 1, "me": 0, "tick": 5000, "zone": 1,
		"weights": "nominal", "over-share-worth": 0.05,
		"extra": map[string]any{"batch-by-kind": []int{maxBatch, 1}, "late": "linear", "routes-apart": []bool{false, false}, "slots": 8},
		"limits": map[string]any{
			"conn-idle": 5_000_000, "connect-timeout": 1_500_000, "max-open": 200, "max-retry-after": 2_000_000, "may-cancel": true,
			"most-tries": 6, "probes": false, "retry-after": true, "streams-per-conn": 8,
		},
		"report": map[string]any{"names": []string{}, "via": "none"},
		"rules": map[string]any{
			"cold-from": 0.19, "overload-for": 2_000_000, "settle-after-doubt": 300_000, "stop-sending-within": 1_000_000,
			"tip-multiple": 2.0, "warm-up": 10_000_000,
		},
		"tenants": []any{map[string]any{"fraction": 1.0, "name": tenant, "quota-per-s": 1000}},
	}
}

// startProcess writes the configuration and starts the dispatcher.
func (r *run) startProcess(ctx context.Context) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	r.process.addr = l.Addr().String()
	l.Close()
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": r.process.addr, "discovery": r.discoveryAddr(), "seed": fmt.Sprintf("%x", r.settings.Seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 1},
		"settings": settings(),
	})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	r.process.config = filepath.Join(r.settings.Dir, "config.json")
	if err := os.WriteFile(r.process.config, config, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	if err := os.MkdirAll(r.stateDir(), 0o700); err != nil {
		return fmt.Errorf("state folder: %w", err)
	}
	return r.start(ctx)
}

func (r *run) stateDir() string { return filepath.Join(r.settings.Dir, "state") }

// start starts the program and waits until it is ready.
func (r *run) start(ctx context.Context) error {
	cmd := exec.Command(r.settings.Program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+r.process.config, "EDGE_STATE="+r.stateDir())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	r.process.cmd = cmd
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for !r.isReady(ctx) {
		if ctx.Err() != nil {
			return fmt.Errorf("never ready: %w", ctx.Err())
		}
		time.Sleep(pollTime)
	}
	return nil
}

func (r *run) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.process.addr+"/-/ready", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the program if it runs.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.cmd.Process.Kill() // it may have ended by itself
	p.cmd.Wait()
	p.cmd = nil
}

// disturbUntil sends signals to the process until the given time.
func (r *run) disturbUntil(ctx context.Context, end time.Time) error {
	defer r.hanging.Store(false)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(1+r.random.IntN(3)) * time.Second)
		r.hanging.Store(r.random.IntN(3) == 0)
		if err := r.disturb(ctx); err != nil {
			return err
		}
	}
	return nil
}

// disturb sends one signal, or a series that ends the process, and starts it again.
func (r *run) disturb(ctx context.Context) error {
	switch r.random.IntN(5) {
	case 0:
		r.process.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(stopTime)
		return r.process.cmd.Process.Signal(syscall.SIGCONT)
	case 1:
		r.killNext.Store(true)
		for limit := time.Now().Add(readyTime); r.killNext.Load() && time.Now().Before(limit); {
			time.Sleep(time.Millisecond)
		}
		return r.restart(ctx, false)
	case 2:
		return r.restart(ctx, false)
	}
	return r.restart(ctx, true)
}

// restart ends the process, by SIGTERM and then SIGKILL if it is planned, and starts the next one.
func (r *run) restart(ctx context.Context, planned bool) error {
	now := time.Now()
	one := restart{signal: now, silent: now}
	if planned {
		one.silent = now.Add(frontCloses)
	}
	r.mu.Lock()
	r.restarts = append(r.restarts, one)
	r.mu.Unlock()
	if planned {
		r.process.cmd.Process.Signal(syscall.SIGTERM)
		time.Sleep(killDelay)
	}
	r.process.kill()
	time.Sleep(downTime)
	err := r.start(ctx)
	r.mu.Lock()
	r.restarts[len(r.restarts)-1].ready = time.Now()
	r.mu.Unlock()
	return err
}

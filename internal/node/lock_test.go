package node

import (
	"context"
	"curlewmux/engine"
	"curlewmux/internal/journal"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// runSecond runs a second process with the given folder and address until it exits.
func (w *testEnv) runSecond(dir, addr string) (code int, out string) {
	w.t.Helper()
	path := filepath.Join(w.t.TempDir(), "config.json")
	must(w.t, os.WriteFile(path, w.config(), 0o600))
	ctx, cancel := context.WithTimeout(w.t.Context(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, program)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_STATE="+dir, "EDGE_LISTEN="+addr)
	text, _ := cmd.CombinedOutput() // the exit code is checked instead
	return cmd.ProcessState.ExitCode(), string(text)
}

// contents returns the contents of a folder's files by name.
func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := os.ReadDir(dir)
	must(t, err)
	out := map[string]string{}
	for _, f := range files {
		text, err := os.ReadFile(filepath.Join(dir, f.Name()))
		must(t, err)
		out[f.Name()] = string(text)
	}
	return out
}

// Two processes must not write one journal. The second exits whatever its address is, and the first goes on.
func TestSecondProcessDoesNotTouchStateFolder(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	cmd := w.spawn()
	w.submit("unsafe", "first", 3) // no endpoint serves the destination
	for _, addr := range []string{w.addr, "127.0.0.1:0"} {
		before := contents(t, w.dir)
		code, out := w.runSecond(w.dir, addr)
		clear := strings.Contains(out, "EDGE_STATE") && strings.Contains(out, w.dir) || // the address is bound first
			addr == w.addr && strings.Contains(out, "EDGE_LISTEN") && strings.Contains(out, w.addr)
		if code != 1 || !clear {
			t.Errorf("at %s it ended with %d: %s", addr, code, out)
		}
		after := contents(t, w.dir)
		for name, text := range before {
			if after[name] != text || len(after) != len(before) {
				t.Errorf("at %s it changed the folder: %d bytes of %s, now %d", addr, len(text), name, len(after[name]))
			}
		}
	}
	w.submit("unsafe", "second", 3)
	if now := w.journalled(); now["first"] == nil || now["second"] == nil {
		t.Errorf("journalled %v", now)
	}
	w.kill(cmd) // releases its lock
	w.endpoint("e", 3, "hooks", respond(200))
	w.spawn()
	w.awaitCalls("first", 1)
	w.awaitCalls("second", 1)
	w.awaitEmpty()
}

// A process whose address is in use must exit before it opens the state folder.
func TestAddressInUseLeavesJournalUntouched(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	l, err := net.Listen("tcp", w.addr)
	must(t, err)
	defer l.Close()
	w.writeRecords(&engine.RecAccepted{Message: testMessage("a"), Deadline: inAMinute()})
	before := contents(t, w.dir)
	code, out := w.runSecond(w.dir, w.addr)
	if code != 1 || !strings.Contains(out, "EDGE_LISTEN") {
		t.Errorf("it ended with %d: %s", code, out)
	}
	after := contents(t, w.dir)
	for name, text := range before {
		if after[name] != text {
			t.Errorf("%s was changed", name)
		}
	}
}

// While the journal is read, clients get responses but no message is accepted.
func TestClientsAreRejectedBeforeReady(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.writeRecords(&engine.RecAccepted{Message: testMessage("old"), Deadline: inAMinute()})
	slow := &faultyDir{Dir: journal.OSDir(w.dir), listGate: make(chan struct{})}
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	cfg.stopSchedule, cfg.Dir = stopSchedule{giveUp: time.Second}, slow
	w.listDestinations(1, 2, 3, 4)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
	waitFor(t, func() bool {
		res, err := http.Get("http://" + w.addr + "/-/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		if res.StatusCode != 503 {
			t.Fatalf("answered %d before the journal was read", res.StatusCode)
		}
		return true
	})
	if code, h, _ := w.do(w.request("unsafe", "u", 3)); code != 503 || h.Get("Retry-After") == "" {
		t.Errorf("a message is answered %d %v", code, h)
	}
	close(slow.listGate)
	w.awaitReady()
	w.endpoint("e", 3, "hooks", respond(200))
	w.awaitCalls("old", 1)
	w.awaitEmpty()
	if n := w.called("u"); n != 0 {
		t.Errorf("%d calls of the rejected message", n)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A lock file left behind does not lock the folder, and a stopped dispatcher releases the folder.
func TestStaleLockFileDoesNotLock(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	must(t, os.WriteFile(filepath.Join(w.dir, "journal.lock"), nil, 0o600))
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	cfg.stopSchedule = stopSchedule{giveUp: time.Second}
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
		w.awaitReady()
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

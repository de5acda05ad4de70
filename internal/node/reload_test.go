package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewmux/membership/partnerlist"
)

// reconfigure replaces the configuration file of a running program and sends SIGHUP.
func (w *testEnv) reconfigure(cmd *exec.Cmd, text string) {
	w.t.Helper()
	path := configPath(cmd)
	must(w.t, os.WriteFile(path+".new", []byte(text), 0o600))
	must(w.t, os.Rename(path+".new", path))
	must(w.t, cmd.Process.Signal(syscall.SIGHUP))
}

// configPath returns the path of a program's configuration file.
func configPath(cmd *exec.Cmd) string {
	for _, v := range cmd.Env {
		if path, ok := strings.CutPrefix(v, "EDGE_CONFIG="); ok {
			return path
		}
	}
	return ""
}

// On a reload the file's address of discovery overrides the variable, which still holds the old one. The whole list is
// requested again, and notices that the old address never acknowledged go to the new one. A hanging request to the old
// address must not block this.
func TestReloadMovesDiscovery(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	old := w.agent.Listener.Addr().String()
	w.extraEnv = []string{"EDGE_DISCOVERY=" + old}
	w.update(func() { w.rejectNotices = true })
	w.endpoint("e", 3, "hooks", respond(500))
	cmd := w.spawn()
	w.submit("unsafe", "u", 3)
	waitFor(t, func() bool { e := w.journalled()["u"]; return e != nil && e.Pending != nil })

	v := newTestEnv(t) // a second discovery agent with its own list
	v.setEntry(partnerlist.Entry{ID: "f", Cell: 5, Phase: "leaving"})
	f := w.endpoint("f", 5, "hooks", respond(200))
	v.setEntry(f)
	w.update(func() { w.blockWatch = true })
	w.reconfigure(cmd, strings.Replace(string(w.config()), old, v.agent.Listener.Addr().String(), 1))
	v.awaitNotice("u", "undeliverable")
	waitFor(t, func() bool { code, _, _ := w.do(w.request("unsafe", "n", 5)); return code == 202 })
	w.awaitCalls("n", 1)
	w.awaitEmpty()
	must(t, cmd.Process.Signal(syscall.SIGTERM))
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// What the agent at a new address has counts as known 4 s after the reload. If it is silent until then, no endpoint is called by
// the list of the old address any more, as endpoints may have begun to drain. They were called until an answer came.
func TestNoCallsByTheOldAddressesListWhenTheNewOneIsSilent(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	e := w.endpoint("e", 3, "hooks", respond(200))
	cmd := w.spawn()
	w.submit("free", "before", 3)
	w.awaitCalls("before", 1)

	v := newTestEnv(t) // a second discovery agent, which knows that the endpoint drains
	e.Phase = "leaving"
	v.setEntry(e)
	v.update(func() { v.blockWatch = true })
	w.reconfigure(cmd, strings.Replace(string(w.config()), w.agentAddr, v.agentAddr, 1))
	reloaded := time.Now()
	w.submit("free", "in-time", 3)
	w.awaitCalls("in-time", 1)
	waitFor(t, func() bool { return time.Since(reloaded) > 4500*time.Millisecond })
	w.submit("free", "held", 3)
	time.Sleep(500 * time.Millisecond) // a call would come within a few ticks
	if n := w.called("held"); n > 0 {
		t.Errorf("%d calls to an endpoint that drains", n)
	}
	v.setEntry(w.endpoint("f", 3, "hooks", respond(200)))
	v.update(func() { v.blockWatch = false })
	w.awaitCalls("held", 1)
	w.awaitEmpty()
}

// A faulty file changes nothing, and the log names the setting at fault.
func TestReloadOfFaultyFile(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.endpoint("e", 3, "hooks", respond(200))
	logs := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(logs)
	must(t, err)
	w.stderr = out
	cmd := w.spawn()
	good := string(w.config())
	for text, want := range map[string]string{
		strings.Replace(good, `"slots":8`, `"slots":"many"`, 1):               "extra.slots",
		strings.Replace(good, w.agent.Listener.Addr().String(), "nowhere", 1): "discovery",
		strings.Replace(good, `"discovery"`, `"directory"`, 1):                "discovery: missing",
		good[:len(good)/2]: "configuration",
		strings.Replace(good, `"sockets":256`, `"sockets":-1`, 1):           "limits.sockets",
		strings.Replace(good, `"memory_mb":192`, `"memory_mb":"plenty"`, 1): "memory_mb",
		strings.Replace(good, `"disk_mb":1`, `"disk_mb":2`, 1):              "setting=limits", // valid, but needs a restart
	} {
		w.reconfigure(cmd, text)
		waitFor(t, func() bool {
			log, err := os.ReadFile(logs)
			must(t, err)
			return strings.Contains(string(log), want)
		})
	}
	w.submit("unsafe", "u", 3)
	w.awaitCalls("u", 1)
	w.awaitEmpty()
}

// Repeated reloads, also during a stop, must neither end the process early nor lose a message.
func TestRepeatedReloadsAndReloadsDuringStop(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	var calls atomic.Int32
	w.endpoint("e", 3, "hooks", func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	cmd := w.spawn()
	text := string(w.config())
	other := httptest.NewServer(http.HandlerFunc(w.discovery))
	t.Cleanup(func() { other.CloseClientConnections(); other.Close() })
	moved := strings.Replace(text, w.agent.Listener.Addr().String(), other.Listener.Addr().String(), 1)
	for i := range 20 {
		w.reconfigure(cmd, []string{text, moved}[i%2])
	}
	w.submit("unsafe", "a", 3)
	w.awaitCalls("a", 1)
	w.awaitEmpty()
	must(t, cmd.Process.Signal(syscall.SIGTERM))
	w.submit("unsafe", "b", 4)
	for i := range 6 {
		w.reconfigure(cmd, []string{text, moved}[i%2])
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("ended with %v", err)
	}
	if left := w.journalled(); len(left) != 1 || left["b"] == nil {
		t.Errorf("journalled %v", left)
	}
	if c, err := net.Dial("tcp", w.addr); err == nil {
		c.Close()
		t.Error("still listening")
	}
}

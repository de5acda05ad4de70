package redeliver_test

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/standin/archive"
)

// Runs the operators' commands with the real programs: listing, a dry run, an invalid command, a repeated command, a
// drop, an export, and reading a folder without a dispatcher.
func TestOperatorCommands(t *testing.T) {
	t.Parallel()
	f := newHarness(t, 2, 2)
	f.archive.Script = func(items []archive.Item, _ bool) archive.Act {
		if strings.HasPrefix(items[0].ID, "u") { // first submissions fail
			return archive.Act{Status: 500, NoEffect: true}
		}
		return archive.Act{}
	}
	f.start()
	for n := range 4 {
		if code := f.post("release", fmt.Sprint("u", n), fmt.Sprint("upload ", n), n%2); code != 202 {
			t.Fatal(code)
		}
	}
	count := func() int { n, _ := f.countEntries(); return n }
	f.until("four entries are kept", func() bool { return count() == 4 })
	run := func(status int, want string, args ...string) string {
		t.Helper()
		out, got := f.ctl(append([]string{"undelivered"}, args...)...)
		if got != status || !strings.Contains(out, want) {
			t.Errorf("%v: exit status %d, want %d and output with %q:\n%s", args, got, status, want, out)
		}
		return out
	}
	if info, err := os.Lstat(filepath.Join(f.state, "curlewmux.sock")); err != nil || info.Mode().Perm() != 0o600 || info.Mode()&fs.ModeSocket == 0 {
		t.Errorf("the socket: %v %v", info, err)
	}
	run(0, "operators: no rule fits it", "list", f.state)
	run(0, `"u3"`, "list", f.state, "--dest", "1")
	if out := run(0, `"u2"`, "list", f.state, "--id", "u2", "--json"); strings.Contains(out, `"u1"`) {
		t.Error(out)
	}
	if out := run(0, "NUMBER", "list", f.state, "--class", "upload"); strings.Contains(out, "u1") {
		t.Error(out)
	}
	run(0, `"how": "error"`, "show", f.state, "--id", "u1")
	run(1, "neither numbers nor a filter", "resend", f.state, "--why", "x")
	run(2, "--why", "resend", f.state, "--all")
	run(0, "would claim", "resend", f.state, "--all", "--why", "x", "--dry-run")
	run(0, "would drop: 4", "drop", f.state, "--all", "--why", "x", "--dry-run")
	if n := count(); n != 4 {
		t.Fatalf("%d entries after dry runs, want 4", n)
	}
	run(1, "none", "resend", f.state, "99999", "--why", "x")
	run(0, "1 messages", "export", f.state, "--id", "u0", "-o", filepath.Join(t.TempDir(), "out.json"))
	out := run(0, `"body":"dXBsb2FkIDE="`, "export", f.state, "--id", "u1")
	if !strings.Contains(out, `"number"`) {
		t.Error(out)
	}
	run(0, "dropped", "drop", f.state, "--id", "u3", "--by", "ana", "--why", "handed in by hand", "--token", "t1")
	run(0, "done before", "drop", f.state, "--id", "u3", "--state", "ended", "--by", "ana", "--why", "handed in by hand", "--token", "t1")
	run(0, `"by": "ana (user `, "show", f.state, "--id", "u3", "--state", "ended")
	run(0, "now ended: 3", "resend", f.state, "--all", "--by", "ana", "--why", "the partner is back", "--wait")
	for n := range 4 {
		want := 1
		if n == 3 {
			want = 0
		}
		if got := f.archive.Effect(fmt.Sprint("upload ", n)); got != want {
			t.Errorf("upload %d took effect %d times", n, got)
		}
	}
	f.cmd.Process.Kill()
	f.cmd.Wait()
	run(0, `"dropped"`, "list", f.state, "--state", "ended", "--json")
	run(1, "only a dispatcher that runs", "resend", f.state, "--all", "--why", "x")
	run(1, "is no folder", "list", filepath.Join(f.state, "missing"))
	var lines int
	out, _ = f.ctl("undelivered", "show", f.state, "--state", "ended")
	for dec := json.NewDecoder(strings.NewReader(out)); dec.More(); lines++ {
		var e struct {
			ID      string
			History []struct {
				Kind, By, Why string
				Wall          time.Time
			}
		}
		if err := dec.Decode(&e); err != nil {
			t.Fatal(err)
		}
		last := e.History[len(e.History)-1]
		if e.ID == "u3" && (last.Why != "handed in by hand" || last.Wall.IsZero()) {
			t.Errorf("%+v", last)
		}
	}
	if lines != 4 {
		t.Errorf("%d entries in the folder, want 4", lines)
	}
}

// With an empty operator's file there must be no admin socket and no file of the store.
func TestOffWithEmptyOperatorFile(t *testing.T) {
	t.Parallel()
	f := newHarness(t, 1, 1)
	f.archive.Script = func([]archive.Item, bool) archive.Act { return archive.Act{Status: 500, NoEffect: true} }
	must(t, os.WriteFile(f.op, nil, 0o600))
	f.start()
	if code := f.post("release", "u", "upload", 0); code != 202 {
		t.Fatal(code)
	}
	f.until("the message has failed", func() bool { return len(f.agent.Of("u")) > 0 })
	files, err := os.ReadDir(f.state)
	must(t, err)
	for _, file := range files {
		if !strings.HasPrefix(file.Name(), "journal") {
			t.Errorf("unexpected file %s", file.Name())
		}
	}
}

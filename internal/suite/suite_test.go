package suite

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"curlewmux/control"

	"google.golang.org/grpc/codes"
)

func scripts(t *testing.T) (list []*Script) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(strings.TrimSuffix(filepath.Base(f), ".txt"), string(text))
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
	}
	return list
}

// TestTwoWaysThroughAreOne plays every script both ways: what became of each message is the same. A script of a row that
// gRPC can't prove is counted apart, and there the plug-in does less.
func TestTwoWaysThroughAreOne(t *testing.T) {
	t.Parallel()
	all := scripts(t)
	apart := 0
	for _, s := range all {
		if s.Unprovable {
			apart++
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			d, err := Daemon(s, Options{})
			if err != nil {
				t.Fatal(err)
			}
			p := Plugin(t, s)
			for _, r := range []*Result{d, p} {
				for id, f := range r.Fates {
					if f.Final == "" {
						t.Errorf("%s has no end: %+v", id, f)
					}
				}
			}
			lines, less := Diff(d, p)
			switch {
			case len(lines) > 0 && !s.Unprovable:
				t.Errorf("not the same:\n%s", strings.Join(lines, "\n"))
			case len(lines) > 0 && !less:
				t.Errorf("the plug-in is the bolder side:\n%s", strings.Join(lines, "\n"))
			case len(lines) == 0 && s.Unprovable:
				t.Error("it is the same: the script need not be counted apart")
			}
		})
	}
	if len(all) < 80 {
		t.Errorf("%d scripts, want 80", len(all))
	}
	if apart*20 > len(all) {
		t.Errorf("%d of %d scripts are counted apart: as few as can be", apart, len(all))
	}
	t.Logf("%d scripts, %d of them counted apart", len(all), apart)
}

// TestAWrongMappingIsFound maps on purpose what may have run to what never did, in either way through.
func TestAWrongMappingIsFound(t *testing.T) {
	t.Parallel()
	var s *Script
	for _, x := range scripts(t) {
		if x.Name == "error-unsafe" {
			s = x
		}
	}
	d, err := Daemon(s, Options{})
	if err != nil {
		t.Fatal(err)
	}
	p := Plugin(t, s)
	if lines, _ := Diff(d, p); len(lines) > 0 {
		t.Fatal(lines)
	}
	wrong, err := Daemon(s, Options{Wrong: map[control.Result]control.Result{control.Errored: control.Refused}})
	if err != nil {
		t.Fatal(err)
	}
	if lines, _ := Diff(wrong, p); len(lines) == 0 {
		t.Error("a wrong mapping in the daemon makes no difference")
	}
	if lines, less := Diff(d, Plugin(t, s, codes.Unavailable)); len(lines) == 0 || less {
		t.Error("a wrong mapping in the plug-in makes no difference")
	}
}

// TestAPartOnSockets plays some scripts through the plug-in on real sockets.
func TestAPartOnSockets(t *testing.T) {
	t.Parallel()
	n := 0
	for _, s := range scripts(t) {
		if !s.Loopback {
			continue
		}
		n++
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			d, err := Daemon(s, Options{})
			if err != nil {
				t.Fatal(err)
			}
			if lines, _ := Diff(d, Sockets(t, s)); len(lines) > 0 {
				t.Errorf("not the same:\n%s", strings.Join(lines, "\n"))
			}
		})
	}
	if n < 12 {
		t.Errorf("%d scripts on sockets", n)
	}
}

func TestScriptsThatAreWrongAreNamed(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"", "endpoint a\nuntil 1s", "endpoint a\non a 1 nothing\n1ms call m free\nuntil 1s", "endpoint a\non b 1 ok\n1ms call m free\nuntil 1s",
		"endpoint a\n1ms jump m\nuntil 1s", "endpoint a\n1ms call m free time=x\nuntil 1s", "settings x=1", "endpoint a\n1ms list a away\nuntil 1s",
		"endpoint a\n1ms down b\nuntil 1s", "endpoint a\n1ms call m free\nuntil x",
	} {
		if s, err := Parse("x", text); err == nil {
			t.Errorf("%q is taken: %+v", text, s)
		}
	}
}

func TestADifferenceIsToldByMessage(t *testing.T) {
	t.Parallel()
	a := &Result{Fates: map[string]Fate{"m": {"answered", []string{"a", "a"}, 1}, "n": {"failed", nil, 0}}}
	b := &Result{Fates: map[string]Fate{"m": {"answered", []string{"a"}, 1}, "n": {"failed", nil, 0}}}
	if lines, less := Diff(a, b); len(lines) != 1 || !less || !strings.HasPrefix(lines[0], "m: ") {
		t.Errorf("%q, less %v", lines, less)
	}
	if _, less := Diff(b, a); less {
		t.Error("more attempts are not less")
	}
	if lines, _ := Diff(a, a); len(lines) > 0 {
		t.Error(slices.Clip(lines))
	}
}

// TestTheTableOfOutcomesIsPlayed holds the operators' table and the scripts together: each row that both transports have
// is played for a harmless, a keyed and an unsafe message, and each meeting has a row.
func TestTheTableOfOutcomesIsPlayed(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("../../docs/operators/outcomes.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for line := range strings.Lines(string(text)) {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			rows = append(rows, name[:strings.IndexByte(name, '`')])
		}
	}
	if len(rows) < 16 {
		t.Fatalf("rows %q", rows)
	}
	played := map[string]bool{}
	for _, s := range scripts(t) {
		played[s.Name] = true
	}
	for _, row := range rows {
		for _, class := range []string{"free", "keyed", "unsafe"} {
			if !played[row+"-"+class] {
				t.Errorf("row %s is not played for class %s", row, class)
			}
		}
	}
	for _, kind := range kinds {
		if !slices.Contains(rows, kind) {
			t.Errorf("meeting %s has no row", kind)
		}
	}
}

package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The debug log tells what became of each message, under its id.
func TestDebugLogTellsTheStoryOfAMessage(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.operatorText = "[log]\nlevel = \"debug\"\n"
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	must(t, err)
	defer file.Close()
	w.stderr = file
	w.endpoint("ok", 1, "hooks", respond(200))
	w.endpoint("failing", 2, "hooks", respond(500))
	cmd := w.spawn()
	w.submit("free", "delivered", 1)
	w.submit("unsafe", "undeliverable", 2)
	w.awaitNotice("undeliverable", "undeliverable")
	w.awaitEmpty()
	w.kill(cmd)
	text, err := os.ReadFile(path)
	must(t, err)
	for id, want := range map[string][]string{
		"delivered":     {"verdict=accepted", "endpoint=ok", "result=ok status=200", "disposition=delivered"},
		"undeliverable": {"verdict=accepted", "endpoint=failing", "result=error status=500", "disposition=failed doubt=true", "notice accepted"},
	} {
		story := linesAbout(string(text), id)
		for _, part := range want {
			if !strings.Contains(story, part) {
				t.Errorf("no %q in the story of %s:\n%s", part, id, story)
			}
		}
	}
}

// linesAbout returns the lines of a log that bear the id of a message.
func linesAbout(log, id string) string {
	var b strings.Builder
	for line := range strings.Lines(log) {
		if strings.Contains(line, "message="+id+" ") || strings.Contains(line, "message="+id+"\n") {
			b.WriteString(line)
		}
	}
	return b.String()
}

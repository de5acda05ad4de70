package node

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"curlewmux/internal/operator"
)

// lines is a log that a test reads while it is written.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) count(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), part)
}

// The operator's file, read anew, changes the number of dispatchers; without it the settings' stays until the next start.
func TestTheNumberOfDispatchersFollowsTheOperatorsFile(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.endpoint("e", 3, "hooks", respond(200))
	read := func(instances int) *Config {
		cfg, err := ParseConfig(w.config(), w.env)
		must(t, err)
		f := &operator.File{}
		if instances > 0 {
			f.Fleet = &operator.Fleet{Instances: instances}
		}
		must(t, cfg.ReapplyOperatorFile(f))
		return cfg
	}
	log, reloads := &lines{}, make(chan *Config)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	cfg := read(0)
	go func() { done <- Run(ctx, cfg, reloads, slog.New(slog.NewTextHandler(log, nil))) }()
	w.awaitReady()
	const changed = "the number of dispatchers has changed"
	for i, step := range []struct{ instances, changes int }{{7, 1}, {7, 1}, {2, 2}, {0, 2}} {
		reloads <- read(step.instances)
		waitFor(t, func() bool { return log.count("configuration reloaded") == i+1 })
		if n := log.count(changed); n != step.changes {
			t.Errorf("with %d dispatchers: %d changes, want %d", step.instances, n, step.changes)
		}
	}
	if log.count("was=7 is=2") != 1 {
		t.Errorf("the log does not say what has changed: %s", log.text.String())
	}
	w.hand("unsafe", "u", 3) // it goes on
	w.awaitCalls("u", 1)
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestADispatcherIsOneOfThoseThatThereAre(t *testing.T) {
	t.Parallel()
	cfg := &Config{}
	cfg.Settings.Me = 3
	for instances, ok := range map[int]bool{3: false, 4: true} {
		err := cfg.ApplyOperatorFile(&operator.File{Fleet: &operator.Fleet{Instances: instances}})
		if (err == nil) != ok || err != nil && !strings.Contains(err.Error(), "fleet.instances") {
			t.Errorf("%d dispatchers: %v", instances, err)
		}
	}
	if !cfg.OperatorSetsInstances || cfg.Settings.Instances != 4 {
		t.Errorf("%+v", cfg.Settings)
	}
}

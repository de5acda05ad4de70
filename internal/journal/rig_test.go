package journal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
)

const now = engine.Timestamp(1_764_550_000_000_000)

// store is a journal under test, with the state that Open returned. batch is the number of the last batch.
type store struct {
	*journal.Journal
	*journal.State
	batch engine.Batch
}

// settings returns valid settings without syncing.
func settings(disk int64) journal.Settings {
	r := rand.New(rand.NewPCG(1, 2))
	return journal.Settings{Disk: disk, Random: r.Uint64, KeepLeaves: true}
}

func open(t testing.TB, dir journal.Dir, disk int64) *store {
	t.Helper()
	s, err := tryOpen(dir, settings(disk))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func tryOpen(dir journal.Dir, set journal.Settings) (*store, error) {
	j, st, err := journal.Open(dir, set)
	return &store{Journal: j, State: st}, err
}

// reopen crashes the process and opens the folder again.
func reopen(t testing.TB, d *memdir.Disk, disk int64) *store {
	t.Helper()
	d.Crash()
	return open(t, d.Dir(), disk)
}

// put stores records as one batch.
func (s *store) put(records ...engine.Record) error {
	s.batch++
	if err := s.Append(s.batch, records); err != nil {
		return err
	}
	switch b, err := s.Flush(); {
	case err != nil:
		return err
	case b != s.batch:
		return fmt.Errorf("stored up to batch %d, want %d", b, s.batch)
	}
	return nil
}

// putWithRetry stores records as one batch. While the journal is full it tries again, often enough for the journal to
// notice that there is room.
func (s *store) putWithRetry(records ...engine.Record) (err error) {
	for range 20 {
		if err = s.put(records...); !errors.Is(err, engine.ErrFull) {
			return err
		}
		if _, err := s.Flush(); err != nil {
			return err
		}
	}
	return err
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func message(id string) engine.Message {
	return engine.Message{
		ID: id, Class: "release-upload", Tenant: "core", Destination: 7, Key: "k", Body: []byte("\x00cm\xffbody of " + id),
	}
}

func accepted(id string) *engine.RecAccepted { return acceptedOfSize(id, 0) }

// acceptedOfSize is a message with a body of the given size, or with the default body if size is 0.
func acceptedOfSize(id string, size int) *engine.RecAccepted {
	m := message(id)
	if size > 0 {
		m.Body = []byte(strings.Repeat("x", size))
	}
	return &engine.RecAccepted{Message: m, Deadline: now + 3_600_000_000}
}

func attempt(at engine.Timestamp, id string, zone int) *engine.RecAttempts {
	return &engine.RecAttempts{At: at, List: []engine.RecAttempt{{ID: id, Zone: zone}}}
}

func ended(id string) *engine.RecEnded {
	return &engine.RecEnded{ID: id, Disposition: engine.Delivered}
}

// ids returns the ids of the live messages as Open restored them.
func (s *store) ids() string {
	var out []string
	for _, r := range s.Live {
		out = append(out, r.Message.ID)
	}
	return strings.Join(out, " ")
}

// message returns the live message with an id as Open restored it, or nil.
func (s *store) message(id string) *engine.RestoredMessage {
	for _, r := range s.Live {
		if r.Message.ID == id {
			return r
		}
	}
	return nil
}

// segments returns the names of the segment files, oldest first.
func segments(d *memdir.Disk) (out []string) {
	for _, name := range d.Names() {
		if strings.HasSuffix(name, ".seg") {
			out = append(out, name)
		}
	}
	return out
}

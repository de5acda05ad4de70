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

// store is a journal under test and what it held when it was opened.
type store struct {
	*journal.Journal
	*journal.State
	batch engine.Batch
}

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

// reopen crashes the process and opens the folder anew.
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

// soon stores records as one batch, trying again while there is no room, as often as the journal needs to find out that
// there is some again.
func (s *store) soon(records ...engine.Record) (err error) {
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

func taken(id string) *engine.RecAccepted { return sized(id, 0) }

// sized is a message with a body of a size, or of message's.
func sized(id string, size int) *engine.RecAccepted {
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

// ids lists the live messages' ids.
func (s *store) ids() string {
	var out []string
	for _, r := range s.Live {
		out = append(out, r.Message.ID)
	}
	return strings.Join(out, " ")
}

func (s *store) of(id string) *engine.RestoredMessage {
	for _, r := range s.Live {
		if r.Message.ID == id {
			return r
		}
	}
	return nil
}

// segments lists the files of the log.
func segments(d *memdir.Disk) (out []string) {
	for _, name := range d.Names() {
		if strings.HasSuffix(name, ".seg") {
			out = append(out, name)
		}
	}
	return out
}

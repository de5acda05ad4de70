package journal_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
)

// Check reports the live messages while the folder is in use, does not change it, and finds a damaged segment.
func TestCheckReportsAndChangesNothing(t *testing.T) {
	t.Parallel()
	sim := newSimulation(6, journal.SyncNone, 64<<10)
	sim.set.Owner = "first"
	must(t, sim.start(true))
	for range 80 {
		must(t, sim.round())
		ops := sim.disk.Ops()
		r, err := journal.Check(sim.disk.Dir()) // its owner still holds the lock
		must(t, err)
		if why := sim.confirmed.differs(&store{State: &r.State}); why != "" {
			t.Fatal(why)
		}
		if !r.Findings.OK() || r.Owner != "first" || r.Format != 2 || r.Bytes != sim.disk.Used() || sim.disk.Ops() != ops {
			t.Fatalf("owner %q, format %d, findings %+v, %d bytes of %d", r.Owner, r.Format, r.Findings, r.Bytes, sim.disk.Used())
		}
	}
	id := sim.confirmed.order[0]
	must(t, sim.batch(&engine.RecPendingResult{ID: id, PendingResult: engine.PendingResult{Disposition: engine.Refused}}))
	must(t, sim.flush())
	name := segments(sim.disk)[1]
	b := sim.disk.Read(name)
	b[len(b)/2] ^= 1
	sim.disk.Put(name, b)
	r, err := journal.Check(sim.disk.Dir())
	must(t, err)
	var text strings.Builder
	must(t, r.Print(&text, true))
	for _, want := range []string{"DAMAGED", fmt.Sprintf("%q", id), "refused", name, `"release-upload"`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the report lacks %s:\n%s", want, text.String())
		}
	}
	if r.Findings.OK() {
		t.Error("the damage is not reported")
	}
}

// Check reads a folder of the first format, and refuses one of a newer format.
func TestCheckOfOtherFormats(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join("testdata", "format1", "journal-2"))
	must(t, err)
	d := memdir.New()
	d.Put("journal-2", text)
	r, err := journal.Check(d.Dir())
	must(t, err)
	if r.Format != 1 || len(r.Live) != 8 || len(r.Segments) != 1 || r.Bytes != d.Used() {
		t.Errorf("report %+v", r)
	}
	d.Put("journal-00000001.seg", journal.NewerSegment())
	if _, err := journal.Check(d.Dir()); !errors.Is(err, journal.ErrNewerFormat) {
		t.Errorf("error %v, want ErrNewerFormat", err)
	}
}

// Check reports no damage in a folder to which a process is writing as fast as it can.
func TestCheckDuringWrites(t *testing.T) {
	t.Parallel()
	dir := journal.OSDir(t.TempDir())
	j := open(t, dir, 128<<10)
	stop, done := make(chan struct{}), make(chan error)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				done <- j.Close()
				return
			default:
			}
			id := fmt.Sprint("m", i)
			err := errors.Join(j.put(acceptedOfSize(id, 500)), j.put(attempt(now, id, 1)), j.put(ended(id)))
			if err != nil {
				done <- err
				return
			}
		}
	}()
	for range 100 {
		r, err := journal.Check(dir)
		must(t, err)
		if !r.Findings.OK() || len(r.Live) > 1 {
			t.Errorf("%d live, findings %+v", len(r.Live), r.Findings)
		}
	}
	close(stop)
	must(t, <-done)
}

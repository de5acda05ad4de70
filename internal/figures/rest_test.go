package figures

import (
	"errors"
	"fmt"
	"testing"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/ledger"
)

// A folder at rest shows the books that it holds, and tells where they and its live messages differ.
func TestAFolderAtRestIsCountedAgainstItsMessages(t *testing.T) {
	t.Parallel()
	for live, breaches := range []int{1, 1, 0, 1} { // 2 are open in the books
		dir := journal.OSDir(t.TempDir())
		j, _, err := journal.Open(dir, journal.Settings{Disk: 1 << 20, Owner: "n0", KeepLeaves: true, Random: func() uint64 { return 7 }})
		if err != nil {
			t.Fatal(err)
		}
		b := newBooks(t, 10)
		k := ledger.Key{Class: "free", Destination: 7, Tenant: "core"}
		b.post(k, ledger.Accepted, ledger.Accepted, ledger.Accepted, ledger.Delivered)
		var records []engine.Record
		b.l.WriteLeaves(10, func(l ledger.Leaf) { records = append(records, &engine.RecLedgerLeaf{Number: l.Number, Text: l.Text}) })
		for i := range live {
			records = append(records, &engine.RecAccepted{
				Message: engine.Message{ID: fmt.Sprint("m", i), Class: k.Class, Destination: k.Destination, Tenant: k.Tenant}, Deadline: 1 << 50,
			})
		}
		j.Append(1, records)
		if _, err := j.Flush(); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		s, err := ReadFolder(dir)
		if err != nil {
			t.Fatal(err)
		}
		bad := s.Check()
		if len(bad) != breaches || s.Instance != "n0" || s.Total.Accepted != 3 || s.Epoch != ledger.NewEpoch(7, 1, ledger.ReasonNoLedger, "") {
			t.Errorf("with %d live: %+v in %+v", live, bad, s)
		}
		if breaches > 0 && (bad[0].Key != k || bad[0].Booked != 2 || bad[0].Counted != ledger.Count(live)) {
			t.Errorf("with %d live: %+v", live, bad)
		}
	}
	if _, err := ReadFolder(journal.OSDir(t.TempDir())); !errors.Is(err, ErrNoLedger) {
		t.Errorf("an empty folder: %v", err)
	}
}

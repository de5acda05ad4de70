package journal_test

import (
	"fmt"
	"testing"

	"curlewmux/engine"
	"curlewmux/internal/journal/memdir"
)

// The newest text of a leaf is copied to newer segments when old ones are removed.
func TestLeavesSurviveCompaction(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	j := open(t, d.Dir(), 64<<10)
	for n := range uint64(20) {
		must(t, j.put(&engine.RecLedgerLeaf{Number: n, Text: fmt.Append(nil, "old ", n)}))
		must(t, j.put(&engine.RecLedgerLeaf{Number: n, Text: fmt.Append(nil, "new ", n)}))
	}
	first := segments(d)[0]
	for i := range 2000 {
		id := fmt.Sprint("m", i)
		must(t, j.putWithRetry(accepted(id)))
		must(t, j.putWithRetry(ended(id)))
		if i%500 == 499 {
			j = reopen(t, d, 64<<10)
			if len(j.Leaves) != 20 {
				t.Fatalf("%d leaves after %d messages", len(j.Leaves), i)
			}
			for _, l := range j.Leaves {
				if want := fmt.Sprint("new ", l.Number); string(l.Text) != want || string(j.Leaf(l.Number)) != want {
					t.Fatalf("leaf %d is %q", l.Number, l.Text)
				}
			}
		}
	}
	if segments(d)[0] == first {
		t.Error("no segment was removed, so compaction was not tested")
	}
}

// Without KeepLeaves the leaves in the folder are dropped, and a leaf that is too long is refused.
func TestLeavesAreDroppedWithoutKeepLeaves(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	must(t, open(t, d.Dir(), 64<<10).put(&engine.RecLedgerLeaf{Number: 1, Text: []byte("figures")}))
	d.Crash()
	set := settings(64 << 10)
	set.KeepLeaves = false
	j, err := tryOpen(d.Dir(), set)
	must(t, err)
	if len(j.Leaves) > 0 || j.Leaf(1) != nil {
		t.Errorf("leaves are not dropped: %+v", j.Leaves)
	}
	if err := j.put(&engine.RecLedgerLeaf{Number: 1, Text: make([]byte, 1000)}); err == nil {
		t.Error("a leaf of 1000 bytes is accepted")
	}
}

package endpointslice

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"curlewmux/membership"
)

// BenchmarkChange is what one change costs from the line of the watch to the table: one pod of 100 is replaced.
func BenchmarkChange(b *testing.B) {
	line := sample(100)
	at := bytes.Index(line, []byte("0b0a5b0e-1111-4444-8888-000000000050")) + 24
	set := NewSet(Partner{Name: "archive", PortName: "http"})
	table, err := membership.New(membership.Settings{Sources: []string{"s"}})
	if err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		copy(line[at:], fmt.Sprintf("%012d", 1000+i))
		ev, err := decodeEvent(line, set.Slice)
		if err != nil {
			b.Fatal(err)
		}
		now = now.Add(time.Millisecond)
		set.Put(now, ev.Slice)
		changes, _ := set.TakeChanges(now, 0)
		if _, _, err := table.Apply(now, "s", membership.Update{Endpoints: changes}); err != nil {
			b.Fatal(err)
		}
	}
}

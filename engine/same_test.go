package engine

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
)

// asked is in the environment of the second process of TestTheSameEventsGiveTheSameEffects.
const asked = "ENGINE_TEST_EFFECTS"

// recorded is a stream of events, as a world told them to its engines.
type recorded struct {
	set    Settings
	events []struct {
		now Now
		ev  Event // nil: a new process
	}
}

// record plays worlds until there are so many events.
func record(t *testing.T, events int) (streams []recorded) {
	for seed := uint64(0); events > 0; seed++ {
		var r recorded
		w, fault := runWorld(seedDice{rand.New(rand.NewPCG(seed, 7))}, 300, true, func(now Now, ev Event) {
			r.events = append(r.events, struct {
				now Now
				ev  Event
			}{now, ev})
		})
		if fault != "" {
			t.Fatal(fault)
		}
		r.set = w.set
		events -= len(r.events)
		streams = append(streams, r)
	}
	return streams
}

// sum plays streams and returns the SHA-256 of all effects with all that they hold, and how many there were.
func sum(t *testing.T, streams []recorded) (string, int) {
	h := sha256.New()
	n := 0
	for i := range streams {
		var e *Engine
		for _, x := range streams[i].events {
			if x.ev == nil {
				var err error
				if e, err = New(streams[i].set); err != nil {
					t.Fatal(err)
				}
				continue
			}
			for _, f := range e.Handle(x.now, x.ev) {
				n++
				write(t, h, f)
			}
			at, ok := e.NextWake()
			fmt.Fprintln(h, at, ok)
		}
	}
	return fmt.Sprintf("%x", h.Sum(nil)), n
}

func write(t *testing.T, h hash.Hash, f Effect) {
	if a, ok := f.(*Append); ok {
		fmt.Fprintln(h, a.Batch)
		for _, r := range a.Records {
			b, err := json.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(h, "%T %s\n", r, b)
		}
		return
	}
	b, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(h, "%T %d %s\n", f, f.RequiredBatch(), b)
}

// The same events give the same effects, byte for byte, in one process and in two.
func TestTheSameEventsGiveTheSameEffects(t *testing.T) {
	t.Parallel()
	const events = 20_000
	streams := record(t, events)
	first, n := sum(t, streams)
	if os.Getenv(asked) != "" {
		fmt.Printf("effects %s\n", first)
		return
	}
	if n < events/4 {
		t.Fatalf("%d events gave %d effects: too few to prove anything", events, n)
	}
	if second, _ := sum(t, streams); second != first {
		t.Errorf("the second run gave %s, the first %s", second, first)
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestTheSameEventsGiveTheSameEffects$", "-test.v")
	cmd.Env = append(os.Environ(), asked+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("second process: %v\n%s", err, out)
	}
	if !strings.Contains(string(out), "effects "+first+"\n") {
		t.Errorf("another process gave\n%s\nthis one %s", out, first)
	}
}

// The effects of recorded streams are those of the last change of decisions, byte for byte: what the module and the
// engine look at may change, what they do may not.
func TestTheEffectsAreThoseRecorded(t *testing.T) {
	t.Parallel()
	if runtime.GOARCH != "amd64" {
		t.Skip("the sums are of amd64: elsewhere multiplications and additions may be fused, and last bits differ")
	}
	const want = "ae7f3420f6c2ef60594d386c098f4de8c015ba396abff1d64f845b4a8da02cdb"
	if got, n := sum(t, record(t, 60_000)); got != want {
		t.Errorf("%d effects have the sum %s, recorded %s", n, got, want)
	}
}

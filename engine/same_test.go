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

// secondProcess is the environment variable that marks the second process of TestTheSameEventsGiveTheSameEffects.
const secondProcess = "ENGINE_TEST_EFFECTS"

// recorded is a stream of events that a world passed to its engines.
type recorded struct {
	set    Settings
	events []struct {
		now Now
		ev  Event // nil for a new process
	}
}

// record runs worlds until they have produced so many events.
func record(t *testing.T, events int) (streams []recorded) {
	for seed := uint64(0); events > 0; seed++ {
		var r recorded
		w, fault := runWorld(seededSource{rand.New(rand.NewPCG(seed, 7))}, 300, true, func(now Now, ev Event) {
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

// sum replays streams and returns the SHA-256 of all effects with their contents, and the number of effects.
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
	if os.Getenv(secondProcess) != "" {
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
	cmd.Env = append(os.Environ(), secondProcess+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("second process: %v\n%s", err, out)
	}
	if !strings.Contains(string(out), "effects "+first+"\n") {
		t.Errorf("another process gave\n%s\nthis one %s", out, first)
	}
}

// The effects of recorded streams must stay the same, byte for byte: the module and the engine may change how they
// decide, but not what they do.
func TestTheEffectsAreThoseRecorded(t *testing.T) {
	t.Parallel()
	if runtime.GOARCH != "amd64" {
		t.Skip("the sums are of amd64: elsewhere multiplications and additions may be fused, and last bits differ")
	}
	const want = "1be1d3acf164791bf62aa07c5a0c3e4af0ef98aab9671efd8d4ad58132e77d43"
	if got, n := sum(t, record(t, 60_000)); got != want {
		t.Errorf("%d effects have the sum %s, recorded %s", n, got, want)
	}
}

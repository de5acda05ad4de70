package sim

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"curlewmux/engine"
)

const memorySeeds = "SIM_MEMORY_SEEDS"

// An idle dispatcher keeps no more in memory at the end of a seed than it should, and one that does is found. It takes a
// process of its own, in which nothing else uses memory.
func TestDispatchersKeepNoMemory(t *testing.T) {
	t.Parallel()
	if raceOn {
		withoutRace(t)
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestMemoryInAProcessOfItsOwn$", "-test.v")
	cmd.Env = append(os.Environ(), memorySeeds+"=25")
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for line := range strings.Lines(string(out)) {
		if strings.Contains(line, "keeps") {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// It is what the test above starts.
func TestMemoryInAProcessOfItsOwn(t *testing.T) {
	var last uint64
	if _, err := fmt.Sscan(os.Getenv(memorySeeds), &last); err != nil {
		t.Skip("started by another test alone")
	}
	o := quiet()
	o.Memory = true
	most := 0
	for seed := uint64(1); seed <= last; seed++ {
		r := Run(seed, o)
		most = max(most, r.Kept)
		for _, v := range r.Violations {
			if v.Rule != returning {
				t.Errorf("seed %d: %v", seed, v)
			}
		}
	}
	// A leak: 4 KB for each message.
	o.Break = Break{Seams: records(func(*dice) func(engine.Record) engine.Record {
		var kept [][]byte
		return func(r engine.Record) engine.Record {
			if _, ok := r.(*engine.RecAccepted); ok {
				kept = append(kept, make([]byte, 4<<10))
			}
			return r
		}
	})}
	found := 0
	for seed := uint64(1); seed <= 5; seed++ {
		if r := Run(seed, o); breaks(r, "leftovers") {
			found++
		}
	}
	if found < 4 {
		t.Errorf("a leak was found in %d of 5 seeds", found)
	}
	fmt.Printf("an idle dispatcher keeps %d bytes at most; a leak of 4 KB for each message is found in %d of 5 seeds\n", most, found)
}

package control_test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	. "curlewmux/control"
)

var (
	record    = flag.Bool("record", false, "write testdata/actions.txt anew")
	moreSeeds = flag.Uint64("more", 0, "so many more seeds of each scene, with looks at all beside as few as can be")
)

const goldenFile = "actions.txt"

// The module's actions are those recorded, byte for byte: testdata has the SHA-256 of each stream's. A change that is meant
// to decide nothing anew leaves them as they are.
func TestActionsAreThoseRecorded(t *testing.T) {
	t.Parallel()
	if runtime.GOARCH != "amd64" {
		t.Skip("the sums are of amd64: elsewhere multiplications and additions may be fused, and last bits differ")
	}
	want := map[string]string{}
	path := filepath.Join("testdata", goldenFile)
	if f, err := os.Open(path); err == nil {
		for lines := bufio.NewScanner(f); lines.Scan(); {
			if name, sum, ok := strings.Cut(lines.Text(), " "); ok {
				want[name] = sum
			}
		}
		f.Close()
	} else if !*record {
		t.Fatal(err)
	}
	var lines []string
	for _, c := range scenarios() {
		count := map[ActionKind]int{}
		for seed := range c.seeds {
			p := c.stream(seed)
			m, err := New(p.set, seed)
			if err != nil {
				t.Fatal(err)
			}
			if err := p.play(m, nil); err != nil {
				t.Fatal(err)
			}
			name, sum := fmt.Sprintf("%s/%d", c.name, seed), fmt.Sprintf("%x", p.hash.Sum(nil))
			lines = append(lines, name+" "+sum)
			if !*record && want[name] != sum {
				t.Errorf("%s: actions %s, recorded %q", name, sum, want[name])
			}
			for k, n := range p.count {
				count[k] += n
			}
		}
		t.Logf("%s: %d sent, %d handed back, %d failed, %d cancelled, %d closed", c.name, count[Send], count[Refuse],
			count[Fail], count[Cancel], count[Close])
		if count[Send] == 0 || count[Refuse] == 0 {
			t.Errorf("%s: nothing happens: %v", c.name, count)
		}
	}
	if *record {
		if err := errors.Join(os.MkdirAll("testdata", 0o755), os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)); err != nil {
			t.Fatal(err)
		}
	}
}

// Looks change nothing: a module that looks at all in each Step does the same, in the same Step, as one that sleeps until
// something can have changed.
func TestLooksChangeNothing(t *testing.T) {
	t.Parallel()
	for _, c := range scenarios() {
		if c.large && *moreSeeds == 0 || testing.Short() {
			continue
		}
		for seed := range 1 + *moreSeeds {
			compareWithFullScans(t, c, 1000+seed, 0)
			if !c.large {
				compareWithFullScans(t, c, 1000+seed, 50*Millisecond<<(seed%7)) // no sum is recorded with this setting on
			}
		}
		switch c.name {
		case "grow": // a first window goes by the newest list also where its first call ended without a look since
			compareWithFullScans(t, c, 1003, 0)
		case "hoard": // unsafe ones alone are held, and the trial that they may make comes due while they sleep
			compareWithFullScans(t, c, 1001, 100*Millisecond)
		case "wide": // woken by a change of what counts as sure
			compareWithFullScans(t, c, 1008, 0)
		}
	}
}

func compareWithFullScans(t *testing.T, c scenario, seed uint64, riskAfter Time) {
	p := c.stream(seed)
	p.set.RiskAfter = riskAfter
	d, err := New(p.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	looks, err := New(p.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	var acts []Action
	steps := 0
	if err := p.play(d, func(now Time, events []Event, got []Action) error {
		looks.WakeAll()
		acts = looks.Step(now, events, acts[:0])
		if steps++; steps%5 == 0 {
			if err := d.CheckHeaps(); err != nil {
				return err
			}
		}
		return compareActions(got, acts)
	}); err != nil {
		t.Errorf("%s, seed %d, RiskAfter %v: %v", c.name, seed, riskAfter, err)
	}
}

package soak

import (
	"flag"
	"fmt"
	"testing"

	"curlewmux/internal/bench/rig"
)

var seeds = flag.Int("seeds", 3, "number of seeds")

// Bounds by which a run that serves nothing fails.
const (
	leastAccepted  = 80
	leastDelivered = 5 // one in so many accepted messages, without a crowd
)

// The rules on lost messages and on duplicates hold for a real dispatcher behind faulty connections, with restarts.
func TestRulesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	program, err := rig.Build(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			report, err := Run(t.Context(), Settings{Program: program, Dir: t.TempDir(), Seed: uint64(seed + 1)})
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range report.Violations {
				t.Error(v)
			}
			if report.Accepted < leastAccepted || !report.Crowd && report.Delivered*leastDelivered < report.Accepted {
				t.Errorf("%d messages were accepted and %d delivered", report.Accepted, report.Delivered)
			}
			t.Logf("%+v", report)
		})
	}
}

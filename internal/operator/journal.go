package operator

import (
	"fmt"
	"time"
)

// Journal is how the journal of curlewmux outlasts a power failure.
type Journal struct {
	Sync    string `toml:"sync"`     // none, interval or always; "" is none
	EveryMS int    `toml:"every_ms"` // between two syncs of interval, 0 for 100
}

const (
	defaultEvery = 100 // ms
	mostEvery    = 60_000
)

// Every is the time between two syncs.
func (j *Journal) Every() time.Duration { return time.Duration(j.EveryMS) * time.Millisecond }

func (f *File) checkJournal() error {
	j := f.Journal
	if j == nil {
		return nil
	}
	switch j.Sync {
	case "":
		j.Sync = "none"
	case "none", "interval", "always":
	default:
		return fmt.Errorf("journal.sync: %q is none of none, interval, always", j.Sync)
	}
	if j.EveryMS < 0 || j.EveryMS > mostEvery {
		return fmt.Errorf("journal.every_ms: %d is out of range, 1 to %d", j.EveryMS, mostEvery)
	}
	if j.EveryMS == 0 {
		j.EveryMS = defaultEvery
	}
	return nil
}

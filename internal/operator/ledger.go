package operator

import "fmt"

// Ledger is what has a dispatcher keep figures that add up.
type Ledger struct {
	Enabled      *bool `toml:"enabled"`        // nil: true
	MostAccounts int   `toml:"most_accounts"`  // 0 for 256
	SweepEveryMS int   `toml:"sweep_every_ms"` // 0 for 300
	SweepPart    int   `toml:"sweep_part"`     // messages, 0 for 1000
	HTTP         bool  `toml:"http"`           // shown at the front's port as well
}

func (f *File) checkLedger() error {
	l := f.Ledger
	if l == nil {
		return nil
	}
	if l.Enabled == nil {
		on := true
		l.Enabled = &on
	}
	for _, v := range []struct {
		name        string
		v           *int
		preset      int
		least, most int
	}{
		{"most_accounts", &l.MostAccounts, 256, 1, 10_000},
		{"sweep_every_ms", &l.SweepEveryMS, 300, 10, 400}, // a breach is to be found within a second
		{"sweep_part", &l.SweepPart, 1000, 500, 2000},     // a part is to take less than 0.2 ms
	} {
		if *v.v == 0 {
			*v.v = v.preset
		}
		if *v.v < v.least || *v.v > v.most {
			return fmt.Errorf("ledger.%s: %d is out of range, %d to %d", v.name, *v.v, v.least, v.most)
		}
	}
	return nil
}

package ledger

import (
	"cmp"
	"fmt"
	"slices"
)

// Decrease is a count that fell within an epoch although it may only grow.
type Decrease struct {
	Key     Key    `json:"account"`
	Counter string `json:"figure"`
	Before  Count  `json:"before"`
	After   Count  `json:"after"`
}

// Change holds the counts of an account in two snapshots.
type Change struct {
	Key    Key    `json:"account"`
	Before Counts `json:"before"`
	After  Counts `json:"after"`
}

// Difference describes what changed between two snapshots of one dispatcher.
type Difference struct {
	Instance         string     `json:"instance"`
	Elapsed          int64      `json:"span,string"` // wall time from the older to the newer one, in microseconds; negative if the clock was stepped back
	EpochChanged     bool       `json:"anew"`        // the epochs differ: counting began again in between, so Decreases is empty
	Epochs           [2]Epoch   `json:"epochs"`
	Changes          []Change   `json:"changes"` // accounts that changed, sorted by Key.Compare
	Total            Change     `json:"total"`
	Decreases        []Decrease `json:"back"`
	OlderProvisional bool       `json:"excused"` // the older one was provisional, so that a crash may explain decreases
}

// Diff compares two snapshots of one dispatcher, the older first. It fails if they are of different dispatchers.
func Diff(older, newer *Snapshot) (*Difference, error) {
	if older.Instance != newer.Instance {
		return nil, fmt.Errorf("diff: snapshots of two dispatchers, %q and %q", older.Instance, newer.Instance)
	}
	difference := &Difference{
		Instance: older.Instance, Elapsed: newer.Wall - older.Wall, EpochChanged: older.Epoch.ID != newer.Epoch.ID, Epochs: [2]Epoch{older.Epoch, newer.Epoch},
		Changes: []Change{}, Decreases: []Decrease{}, Total: Change{Before: older.Total, After: newer.Total}, OlderProvisional: older.Provisional,
	}
	changes := map[Key]*Change{}
	changeOf := func(k Key) *Change {
		c := changes[k]
		if c == nil {
			c = &Change{Key: k}
			changes[k] = c
		}
		return c
	}
	for _, l := range older.Accounts {
		changeOf(l.Key).Before = l.Counts
	}
	for _, l := range newer.Accounts {
		changeOf(l.Key).After = l.Counts
	}
	for _, c := range changes {
		if c.Before != c.After {
			difference.Changes = append(difference.Changes, *c)
		}
	}
	slices.SortFunc(difference.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	for _, c := range difference.Changes {
		before, after := c.Before.fields(), c.After.fields()
		for i := range firstGauge {
			if !difference.EpochChanged && *after[i] < *before[i] {
				difference.Decreases = append(difference.Decreases, Decrease{c.Key, countNames[i], *before[i], *after[i]})
			}
		}
	}
	return difference, nil
}

// FleetPart describes one ledger in the sum over a fleet: one epoch of one instance.
type FleetPart struct {
	Instance         string `json:"instance"`
	Epoch            Epoch  `json:"epoch"`
	Wall             int64  `json:"wall,string"`
	Behind           int64  `json:"behind,string"` // microseconds by which its snapshot is older than the newest one of the fleet
	Open             Count  `json:"open"`          // messages open in the snapshot
	Unaccounted      Count  `json:"left"`          // open messages of an ended epoch that were not carried over into the next one
	StandingBreaches int    `json:"standing"`      // breaches that are not resolved
}

// Fleet is the sum over several ledgers. Open counts messages of current epochs only. What ended epochs left open is in
// Unaccounted. Messages that were carried over from an epoch that is part of the sum count once. Hence
//
//	CarriedOver + Accepted + MovedIn = Delivered + Refused + Failed + MovedOut + Open + Unaccounted
type Fleet struct {
	Format      int             `json:"format"`
	Accounts    []AccountCounts `json:"accounts"`
	Total       Counts          `json:"total"`
	Parts       []FleetPart     `json:"parts"` // by instance, then by the time at which the epoch began
	Unaccounted []Unaccounted   `json:"left"`  // by account
}

// Unaccounted counts messages of an account that an ended epoch left open. What became of them is unknown.
type Unaccounted struct {
	Key      Key    `json:"account"`
	Instance string `json:"instance"`
	Epoch    string `json:"epoch"`
	Open     Count  `json:"open"`
}

// Sum adds up the snapshots of a fleet. Of several snapshots of one epoch of an instance, the most advanced one counts. The
// epoch of an instance that began last is its current one, the others have ended: messages that they had open and the next
// epoch did not carry over are unaccounted for. An instance whose machine is lost has no next epoch. Its part says how old
// its newest snapshot is and how many messages were open then.
func Sum(snapshots ...*Snapshot) (*Fleet, error) {
	type ledgerID struct{ instance, epoch string }
	newest := map[ledgerID]*Snapshot{}
	var newestWall int64
	for _, s := range snapshots {
		if s.Format != Format {
			return nil, fmt.Errorf("sum: %q: format %d: %w", s.Instance, s.Format, ErrFormat)
		}
		newestWall = max(newestWall, s.Wall)
		k := ledgerID{s.Instance, s.Epoch.ID}
		if old := newest[k]; old == nil || moreAdvanced(s, old) {
			newest[k] = s
		}
	}
	var epochs []*Snapshot
	for _, s := range newest {
		epochs = append(epochs, s)
	}
	slices.SortFunc(epochs, func(a, b *Snapshot) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch.Began, b.Epoch.Began), cmp.Compare(a.Epoch.ID, b.Epoch.ID))
	})
	fleet := &Fleet{Format: Format, Parts: []FleetPart{}, Unaccounted: []Unaccounted{}, Accounts: []AccountCounts{}}
	sums := map[Key]*Counts{}
	for i, s := range epochs {
		part := FleetPart{Instance: s.Instance, Epoch: s.Epoch, Wall: s.Wall, Behind: newestWall - s.Wall, Open: s.Total.Open}
		for _, b := range s.Breaches {
			if b.ResolvedAt == 0 {
				part.StandingBreaches++
			}
		}
		ended := i+1 < len(epochs) && epochs[i+1].Instance == s.Instance
		carriedOver := map[Key]Count{}
		if ended && epochs[i+1].Epoch.Previous == s.Epoch.ID {
			for _, a := range epochs[i+1].Accounts {
				carriedOver[a.Key] = a.CarriedOver
			}
		}
		counted := map[Key]Count{} // what the previous epoch had open: it counted these messages already
		if i > 0 && epochs[i-1].Instance == s.Instance && s.Epoch.Previous == epochs[i-1].Epoch.ID {
			for _, a := range epochs[i-1].Accounts {
				counted[a.Key] = a.Open
			}
		}
		for _, a := range s.Accounts {
			sum := sums[a.Key]
			if sum == nil {
				sum = &Counts{}
				sums[a.Key] = sum
			}
			if ended {
				if left := a.Open - min(a.Open, carriedOver[a.Key]); left > 0 {
					part.Unaccounted += left
					fleet.Unaccounted = append(fleet.Unaccounted, Unaccounted{a.Key, s.Instance, s.Epoch.ID, left})
				}
				a.Open = 0
			}
			a.CarriedOver -= min(a.CarriedOver, counted[a.Key])
			sum.Add(&a.Counts)
		}
		fleet.Parts = append(fleet.Parts, part)
	}
	for k, v := range sums {
		fleet.Accounts = append(fleet.Accounts, AccountCounts{k, *v})
		fleet.Total.Add(v)
	}
	slices.SortFunc(fleet.Accounts, func(a, b AccountCounts) int { return a.Key.Compare(b.Key) })
	slices.SortFunc(fleet.Unaccounted, func(a, b Unaccounted) int {
		return cmp.Or(a.Key.Compare(b.Key), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch, b.Epoch))
	})
	return fleet, nil
}

// moreAdvanced reports whether a is more advanced than b, a snapshot of the same epoch. Counts decide before wall times,
// because clocks may be stepped.
func moreAdvanced(a, b *Snapshot) bool {
	countsA, countsB := a.Total.fields(), b.Total.fields()
	var sumA, sumB Count
	for i := range firstGauge {
		sumA, sumB = sumA+*countsA[i], sumB+*countsB[i]
	}
	if sumA != sumB {
		return sumA > sumB
	}
	return a.Wall > b.Wall
}

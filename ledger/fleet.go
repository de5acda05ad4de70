package ledger

import (
	"cmp"
	"fmt"
	"slices"
)

// Decreases is a figure that stepped back within an epoch, which none ever may.
type Decrease struct {
	Key     Key    `json:"account"`
	Counter string `json:"figure"`
	Before  Count  `json:"before"`
	After   Count  `json:"after"`
}

// Change is an account in two snapshots.
type Change struct {
	Key    Key    `json:"account"`
	Before Counts `json:"before"`
	After  Counts `json:"after"`
}

// Difference is what changed between two snapshots.
type Difference struct {
	Instance         string     `json:"instance"`
	Elapsed          int64      `json:"span,string"` // wall time from the first to the second, in microseconds; a stepped clock may make it negative
	EpochChanged     bool       `json:"anew"`        // the epochs differ: figures began anew in between, and Back is empty
	Epochs           [2]Epoch   `json:"epochs"`
	Changes          []Change   `json:"changes"` // accounts that changed
	Total            Change     `json:"total"`
	Decreases        []Decrease `json:"back"`
	OlderProvisional bool       `json:"excused"` // the first one was provisional: a crash may have taken figures back
}

// Diff compares two snapshots of one dispatcher, the older first. It fails where they are of two.
func Diff(a, b *Snapshot) (*Difference, error) {
	if a.Instance != b.Instance {
		return nil, fmt.Errorf("diff: snapshots of two dispatchers, %q and %q", a.Instance, b.Instance)
	}
	d := &Difference{
		Instance: a.Instance, Elapsed: b.Wall - a.Wall, EpochChanged: a.Epoch.ID != b.Epoch.ID, Epochs: [2]Epoch{a.Epoch, b.Epoch},
		Changes: []Change{}, Decreases: []Decrease{}, Total: Change{Before: a.Total, After: b.Total}, OlderProvisional: a.Provisional,
	}
	list := map[Key]*Change{}
	at := func(k Key) *Change {
		c := list[k]
		if c == nil {
			c = &Change{Key: k}
			list[k] = c
		}
		return c
	}
	for _, l := range a.Accounts {
		at(l.Key).Before = l.Counts
	}
	for _, l := range b.Accounts {
		at(l.Key).After = l.Counts
	}
	for _, c := range list {
		if c.Before != c.After {
			d.Changes = append(d.Changes, *c)
		}
	}
	slices.SortFunc(d.Changes, func(a, b Change) int { return a.Key.Compare(b.Key) })
	for _, c := range d.Changes {
		before, after := c.Before.all(), c.After.all()
		for i := range levels {
			if !d.EpochChanged && *after[i] < *before[i] {
				d.Decreases = append(d.Decreases, Decrease{c.Key, columnNames[i], *before[i], *after[i]})
			}
		}
	}
	return d, nil
}

// FleetPart is what one ledger of a fleet brings to its sum.
type FleetPart struct {
	Instance         string `json:"instance"`
	Epoch            Epoch  `json:"epoch"`
	Wall             int64  `json:"wall,string"`
	Behind           int64  `json:"behind,string"` // microseconds by which it is older than the newest of all
	Open             Count  `json:"open"`          // when it was taken
	Unaccounted      Count  `json:"left"`          // of an epoch that is over: open then, and not brought into the next one
	StandingBreaches int    `json:"standing"`      // breaches
}

// Fleet is the sum over several ledgers. In Total and Accounts Open is of ledgers that go on; what epochs that are over
// left open is in Left. So Brought + Taken + In = Served + Refused + Failed + Out + Open + Left, less what was brought from
// an epoch that is summed as well, which counts once.
type Fleet struct {
	Format      int             `json:"format"`
	Accounts    []AccountCounts `json:"accounts"`
	Total       Counts          `json:"total"`
	Parts       []FleetPart     `json:"parts"` // by instance, then by begin
	Unaccounted []Unaccounted   `json:"left"`  // by account
}

// Unaccounted is what epochs that are over left open in an account: nobody knows what became of these messages.
type Unaccounted struct {
	Key      Key    `json:"account"`
	Instance string `json:"instance"`
	Epoch    string `json:"epoch"`
	Open     Count  `json:"open"`
}

// Sum adds snapshots of a fleet up. Of several of one ledger (instance and epoch) the one that has got on most counts. Of
// one instance the epoch that began last goes on, and the others are over: what these had open and the next one did not
// bring along is left. A machine that is lost has no next epoch: its Part says how long ago it was heard of, and its Open
// is what it leaves.
func Sum(list ...*Snapshot) (*Fleet, error) {
	type id struct{ instance, epoch string }
	newest := map[id]*Snapshot{}
	var last int64
	for _, s := range list {
		if s.Format != Format {
			return nil, fmt.Errorf("sum: %q: format %d: %w", s.Instance, s.Format, ErrFormat)
		}
		last = max(last, s.Wall)
		k := id{s.Instance, s.Epoch.ID}
		if old := newest[k]; old == nil || further(s, old) {
			newest[k] = s
		}
	}
	var all []*Snapshot
	for _, s := range newest {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Snapshot) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch.Began, b.Epoch.Began), cmp.Compare(a.Epoch.ID, b.Epoch.ID))
	})
	f := &Fleet{Format: Format, Parts: []FleetPart{}, Unaccounted: []Unaccounted{}, Accounts: []AccountCounts{}}
	sums := map[Key]*Counts{}
	for i, s := range all {
		p := FleetPart{Instance: s.Instance, Epoch: s.Epoch, Wall: s.Wall, Behind: last - s.Wall, Open: s.Total.Open}
		for _, b := range s.Breaches {
			if b.ResolvedAt == 0 {
				p.StandingBreaches++
			}
		}
		over := i+1 < len(all) && all[i+1].Instance == s.Instance
		brought := map[Key]Count{}
		if over && all[i+1].Epoch.Previous == s.Epoch.ID {
			for _, a := range all[i+1].Accounts {
				brought[a.Key] = a.CarriedOver
			}
		}
		before := map[Key]Count{} // what the epoch before had open: it is among what that one took
		if i > 0 && all[i-1].Instance == s.Instance && s.Epoch.Previous == all[i-1].Epoch.ID {
			for _, a := range all[i-1].Accounts {
				before[a.Key] = a.Open
			}
		}
		for _, a := range s.Accounts {
			sum := sums[a.Key]
			if sum == nil {
				sum = &Counts{}
				sums[a.Key] = sum
			}
			if over {
				if left := a.Open - min(a.Open, brought[a.Key]); left > 0 {
					p.Unaccounted += left
					f.Unaccounted = append(f.Unaccounted, Unaccounted{a.Key, s.Instance, s.Epoch.ID, left})
				}
				a.Open = 0
			}
			a.CarriedOver -= min(a.CarriedOver, before[a.Key])
			sum.Add(&a.Counts)
		}
		f.Parts = append(f.Parts, p)
	}
	for k, v := range sums {
		f.Accounts = append(f.Accounts, AccountCounts{k, *v})
		f.Total.Add(v)
	}
	slices.SortFunc(f.Accounts, func(a, b AccountCounts) int { return a.Key.Compare(b.Key) })
	slices.SortFunc(f.Unaccounted, func(a, b Unaccounted) int {
		return cmp.Or(a.Key.Compare(b.Key), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Epoch, b.Epoch))
	})
	return f, nil
}

// further tells that of two snapshots of one epoch the first has got on more: by its figures, as clocks step.
func further(a, b *Snapshot) bool {
	x, y := a.Total.all(), b.Total.all()
	var sa, sb Count
	for i := range levels {
		sa, sb = sa+*x[i], sb+*y[i]
	}
	if sa != sb {
		return sa > sb
	}
	return a.Wall > b.Wall
}

package figures

import (
	"slices"
	"strconv"
	"strings"

	"curlewmux/ledger"
)

// MaxSeries is the number of accounts that have series of their own in metrics. A ledger may have more accounts, which are
// summed up in one further series. The accounts that were seen first keep their series while a process runs.
const MaxSeries = 256

// OtherDestination is the value of the label dest in the sum of the accounts without series of their own. The other labels
// are empty there.
const OtherDestination = "other"

// AccountLabels are the label names of an account's series.
var AccountLabels = [...]string{"class", "dest", "tenant"}

// Series selects the accounts that have series of their own. The zero value is ready for use by one goroutine at a time.
type Series struct{ own map[ledger.Key]bool }

// AccountSeries holds the label values and counts of one account.
type AccountSeries struct {
	Labels [len(AccountLabels)]string // values of AccountLabels
	ledger.Counts
}

// Select returns all series of a snapshot. Their labels are unique, and their sum is the total of the snapshot.
func (s *Series) Select(snapshot *ledger.Snapshot) []AccountSeries {
	if s.own == nil {
		s.own = map[ledger.Key]bool{}
	}
	out := make([]AccountSeries, 0, min(len(snapshot.Accounts), MaxSeries+1))
	indexes := map[[len(AccountLabels)]string]int{}
	for i := range snapshot.Accounts {
		a := &snapshot.Accounts[i]
		if !a.Other && len(s.own) < MaxSeries {
			s.own[a.Key] = true
		}
		labels := [...]string{"", OtherDestination, ""}
		if !a.Other && s.own[a.Key] {
			labels = [...]string{ValidLabel(a.Class), strconv.Itoa(a.Destination), ValidLabel(a.Tenant)}
		}
		index, exists := indexes[labels] // also if two names differ only in invalid UTF-8, which labels cannot have
		if !exists {
			index = len(out)
			indexes[labels] = index
			out = append(out, AccountSeries{Labels: labels})
		}
		out[index].Counts.Add(&a.Counts)
	}
	return out
}

// ValidLabel makes a name valid as a label value. Names come from clients and may hold any bytes.
func ValidLabel(name string) string { return strings.ToValidUTF8(name, "\uFFFD") }

// Family describes one metric.
type Family struct {
	Name  string // without the suffix _total
	Help  string
	Gauge bool // a gauge, otherwise a counter
}

// AccountFamilies are the metrics of an account's counts, in the order of ledger.Counts.Each.
var AccountFamilies = func() []Family {
	help := map[string]string{
		"brought": "Messages that were open when the epoch began.", "taken": "Messages taken on.",
		"in": "Messages that came from another account, or were sent again after their end.", "served": "Messages delivered.",
		"refused": "Messages handed back.", "failed": "Messages given up of which nothing is promised.",
		"out": "Messages that went to another account.", "again": "Messages that had ended here and were sent again.",
		"open": "Messages that are open.", "attempts.sent": "Attempts begun.", "attempts.answered": "Attempts that were answered.",
		"attempts.refused": "Attempts that never ran.", "attempts.silent": "Attempts of which nobody knows.",
		"attempts.out": "Attempts that are under way.", "doubt.opened": "Messages that may have taken effect while they were open.",
		"doubt.twice": "Messages whose effect may have happened twice.", "doubt.unsure": "Messages whose effect may have happened or not.",
		"doubt.open": "Open messages that may have taken effect.",
	}
	var out []Family
	(&ledger.Counts{}).Each(func(name string, _ ledger.Count, level bool) {
		metric := strings.ReplaceAll(name, ".", "_")
		if metric == name {
			metric = "messages_" + name
		}
		out = append(out, Family{"curlewmux_" + metric, help[name], level})
	})
	return out
}()

// LedgerMetric is a metric of the ledger as a whole with its value in a snapshot.
type LedgerMetric struct {
	Family
	LabelNames  []string // label names
	LabelValues []string // label values
	Value       float64
}

// LedgerMetrics returns the metrics of a snapshot as a whole.
func LedgerMetrics(snapshot *ledger.Snapshot) []LedgerMetric {
	standing := 0
	for _, b := range snapshot.Breaches {
		if b.ResolvedAt == 0 {
			standing++
		}
	}
	provisional := 0.0
	if snapshot.Provisional {
		provisional = 1
	}
	const prefix = "curlewmux_ledger_"
	return []LedgerMetric{
		{Family{prefix + "epoch_info", "The epoch: within one, no counter steps back.", true}, []string{"epoch", "instance", "why"},
			[]string{snapshot.Epoch.ID, ValidLabel(snapshot.Instance), ValidLabel(snapshot.Epoch.Reason)}, 1},
		{Family{prefix + "epoch_began_seconds", "When the epoch began, since 1970.", true}, nil, nil, float64(snapshot.Epoch.Began) / 1e6},
		{Family{prefix + "cut_seconds", "When all of these figures were taken, at one moment, since 1970.", true}, nil, nil, float64(snapshot.Wall) / 1e6},
		{Family{prefix + "accounts", "Accounts that there are.", true}, nil, nil, float64(len(snapshot.Accounts))},
		{Family{prefix + "breaches_standing", "Figures that do not add up now.", true}, nil, nil, float64(standing)},
		{Family{prefix + "breaches", "Figures that were found not to add up.", false}, nil, nil, float64(len(snapshot.Breaches)) + float64(snapshot.MoreBreaches)},
		{Family{prefix + "provisional", "1 where the store lacks some of these figures: a crash may take them back.", true}, nil, nil, provisional},
	}
}

// visitByName visits all metrics of a snapshot in the order of their names: account gets an index of AccountFamilies, whole a
// metric of the ledger as a whole.
func visitByName(wholes []LedgerMetric, account func(at int), whole func(w *LedgerMetric)) {
	type entry struct {
		name string
		at   int
	}
	var list []entry
	for i := range AccountFamilies {
		list = append(list, entry{AccountFamilies[i].Name, i})
	}
	for i := range wholes {
		list = append(list, entry{wholes[i].Name, len(AccountFamilies) + i})
	}
	slices.SortFunc(list, func(a, b entry) int { return strings.Compare(a.name, b.name) })
	for _, e := range list {
		if e.at < len(AccountFamilies) {
			account(e.at)
		} else {
			whole(&wholes[e.at-len(AccountFamilies)])
		}
	}
}

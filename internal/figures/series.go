package figures

import (
	"slices"
	"strconv"
	"strings"

	"curlewmux/ledger"
)

// MaxSeries is how many accounts have series of their own in metrics; a ledger may have more. What is beyond is summed
// up in other. Those that were seen first stay, so that no series moves while a process runs.
const MaxSeries = 256

// OtherDestination is the value of label dest for all accounts without series of their own; the other labels are empty there.
const OtherDestination = "other"

// AccountLabels are the names of the labels of an account's series.
var AccountLabels = [...]string{"class", "dest", "tenant"}

// Series picks the accounts that have series of their own. The zero value is ready for use, by one goroutine at a time.
type Series struct{ own map[ledger.Key]bool }

// AccountSeries is the series of one account.
type AccountSeries struct {
	Labels [len(AccountLabels)]string // values
	ledger.Counts
}

// Select are all series of a snapshot. No two have the same labels, and their sums are the snapshot's.
func (s *Series) Select(cut *ledger.Snapshot) []AccountSeries {
	if s.own == nil {
		s.own = map[ledger.Key]bool{}
	}
	out := make([]AccountSeries, 0, min(len(cut.Accounts), MaxSeries+1))
	at := map[[len(AccountLabels)]string]int{}
	for i := range cut.Accounts {
		a := &cut.Accounts[i]
		if !a.Other && len(s.own) < MaxSeries {
			s.own[a.Key] = true
		}
		labels := [...]string{"", OtherDestination, ""}
		if !a.Other && s.own[a.Key] {
			labels = [...]string{ValidLabel(a.Class), strconv.Itoa(a.Destination), ValidLabel(a.Tenant)}
		}
		n, there := at[labels] // also where two names differ in bytes only that no label can have
		if !there {
			n = len(out)
			at[labels] = n
			out = append(out, AccountSeries{Labels: labels})
		}
		out[n].Counts.Add(&a.Counts)
	}
	return out
}

// ValidLabel is a name as a label may have it: those of clients may hold any bytes.
func ValidLabel(name string) string { return strings.ToValidUTF8(name, "\uFFFD") }

// Family is one metric.
type Family struct {
	Name  string // without the suffix _total
	Help  string
	Gauge bool // a gauge; else a counter
}

// AccountFamilies are the metrics of an account's figures, in the order of ledger.Figures.Each.
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

// LedgerMetric is a metric of the ledger as a whole, with its value in a snapshot.
type LedgerMetric struct {
	Family
	LabelNames, LabelValues []string // of its labels
	Value                   float64
}

// LedgerMetrics are the metrics of a snapshot as a whole.
func LedgerMetrics(s *ledger.Snapshot) []LedgerMetric {
	standing := 0
	for _, b := range s.Breaches {
		if b.ResolvedAt == 0 {
			standing++
		}
	}
	provisional := 0.0
	if s.Provisional {
		provisional = 1
	}
	const p = "curlewmux_ledger_"
	return []LedgerMetric{
		{Family{p + "epoch_info", "The epoch: within one, no counter steps back.", true}, []string{"epoch", "instance", "why"},
			[]string{s.Epoch.ID, ValidLabel(s.Instance), ValidLabel(s.Epoch.Reason)}, 1},
		{Family{p + "epoch_began_seconds", "When the epoch began, since 1970.", true}, nil, nil, float64(s.Epoch.Began) / 1e6},
		{Family{p + "cut_seconds", "When all of these figures were taken, at one moment, since 1970.", true}, nil, nil, float64(s.Wall) / 1e6},
		{Family{p + "accounts", "Accounts that there are.", true}, nil, nil, float64(len(s.Accounts))},
		{Family{p + "breaches_standing", "Figures that do not add up now.", true}, nil, nil, float64(standing)},
		{Family{p + "breaches", "Figures that were found not to add up.", false}, nil, nil, float64(len(s.Breaches)) + float64(s.MoreBreaches)},
		{Family{p + "provisional", "1 where the store lacks some of these figures: a crash may take them back.", true}, nil, nil, provisional},
	}
}

// names puts all metrics of a snapshot in the order of their names, as scrapers are used to; each is called with one.
func names(wholes []LedgerMetric, account func(at int), whole func(w *LedgerMetric)) {
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

package figures

import (
	"bytes"
	"strconv"

	"curlewmux/ledger"
)

// ContentTypeMetrics is the type of content of metrics.
const ContentTypeMetrics = "application/openmetrics-text; version=1.0.0; charset=utf-8"

// metrics writes a snapshot in the OpenMetrics text format. Package exporter has the same from prometheus/client_golang,
// by which its tests judge this text; a dispatcher does not link that (docs/design/ledger-shown.md says why).
func metrics(b *bytes.Buffer, s *ledger.Snapshot, series []AccountSeries) {
	figures := make([]ledger.Count, 0, len(series)*len(AccountFamilies)) // of a series all together
	labels := make([]string, len(series))
	var buf []byte
	for i := range series {
		series[i].Each(func(_ string, v ledger.Count, _ bool) { figures = append(figures, v) })
		buf = appendLabels(buf[:0], AccountLabels[:], series[i].Labels[:])
		labels[i] = string(buf)
	}
	names(LedgerMetrics(s), func(at int) {
		f := &AccountFamilies[at]
		head(b, f)
		for i := range series {
			buf = append(append(sample(buf[:0], f), labels[i]...), ' ')
			buf = append(strconv.AppendUint(buf, uint64(figures[i*len(AccountFamilies)+at]), 10), '\n')
			b.Write(buf)
		}
	}, func(w *LedgerMetric) {
		head(b, &w.Family)
		buf = append(appendLabels(sample(buf[:0], &w.Family), w.LabelNames, w.LabelValues), ' ')
		buf = append(strconv.AppendFloat(buf, w.Value, 'f', -1, 64), '\n')
		b.Write(buf)
	})
	b.WriteString("# EOF\n")
}

func head(b *bytes.Buffer, f *Family) {
	kind := " counter\n"
	if f.Gauge {
		kind = " gauge\n"
	}
	for _, s := range [...]string{"# HELP ", f.Name, " ", f.Help, "\n# TYPE ", f.Name, kind} {
		b.WriteString(s)
	}
}

func sample(b []byte, f *Family) []byte {
	b = append(b, f.Name...)
	if !f.Gauge {
		b = append(b, "_total"...)
	}
	return b
}

func appendLabels(b []byte, names, values []string) []byte {
	if len(names) == 0 {
		return b
	}
	sep := byte('{')
	for i, name := range names {
		b = append(append(append(b, sep), name...), `="`...)
		for j := range len(values[i]) {
			switch c := values[i][j]; c {
			case '\\', '"':
				b = append(b, '\\', c)
			case '\n':
				b = append(b, `\n`...)
			default:
				b = append(b, c)
			}
		}
		b = append(b, '"')
		sep = ','
	}
	return append(b, '}')
}

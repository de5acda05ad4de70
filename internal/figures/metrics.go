package figures

import (
	"bytes"
	"strconv"

	"curlewmux/ledger"
)

// ContentTypeMetrics is the media type of metrics.
const ContentTypeMetrics = "application/openmetrics-text; version=1.0.0; charset=utf-8"

// writeMetrics writes a snapshot in the OpenMetrics text format. Package exporter produces the same with
// prometheus/client_golang, and its tests compare both. A dispatcher does not link that library, see
// docs/design/ledger-shown.md.
func writeMetrics(out *bytes.Buffer, snapshot *ledger.Snapshot, series []AccountSeries, counters []Counter) {
	counts := make([]ledger.Count, 0, len(series)*len(AccountFamilies)) // the counts of one series after the other
	labels := make([]string, len(series))
	var buf []byte
	for i := range series {
		series[i].Each(func(_ string, v ledger.Count, _ bool) { counts = append(counts, v) })
		buf = appendLabels(buf[:0], AccountLabels[:], series[i].Labels[:])
		labels[i] = string(buf)
	}
	visitByName(LedgerMetrics(snapshot), func(at int) {
		family := &AccountFamilies[at]
		writeHeader(out, family)
		for i := range series {
			buf = append(append(appendSampleName(buf[:0], family), labels[i]...), ' ')
			buf = append(strconv.AppendUint(buf, uint64(counts[i*len(AccountFamilies)+at]), 10), '\n')
			out.Write(buf)
		}
	}, func(w *LedgerMetric) {
		writeHeader(out, &w.Family)
		buf = append(appendLabels(appendSampleName(buf[:0], &w.Family), w.LabelNames, w.LabelValues), ' ')
		buf = append(strconv.AppendFloat(buf, w.Value, 'f', -1, 64), '\n')
		out.Write(buf)
	})
	for i := range counters {
		writeHeader(out, &counters[i].Family)
		buf = append(appendSampleName(buf[:0], &counters[i].Family), ' ')
		buf = append(strconv.AppendUint(buf, counters[i].Value, 10), '\n')
		out.Write(buf)
	}
	out.WriteString("# EOF\n")
}

// Counter is a metric that is not in the ledger. It counts from the start of the process.
type Counter struct {
	Family
	Value uint64
}

func writeHeader(out *bytes.Buffer, family *Family) {
	kind := " counter\n"
	if family.Gauge {
		kind = " gauge\n"
	}
	for _, s := range [...]string{"# HELP ", family.Name, " ", family.Help, "\n# TYPE ", family.Name, kind} {
		out.WriteString(s)
	}
}

func appendSampleName(b []byte, family *Family) []byte {
	b = append(b, family.Name...)
	if !family.Gauge {
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

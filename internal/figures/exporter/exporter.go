// Package exporter shows ledgers with prometheus/client_golang. It is for other programs than the dispatcher, which does not
// link that library.
package exporter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"curlewmux/internal/figures"
	"curlewmux/ledger"
)

// Collector is a prometheus.Collector that takes one snapshot for each scrape, so that all metrics of a scrape agree.
type Collector struct {
	// Snapshot returns a snapshot for a scrape. It is called by one goroutine at a time and may block. An error fails
	// the scrape.
	Snapshot func() (*ledger.Snapshot, error)

	mu     sync.Mutex
	series figures.Series
}

// Describe sends nothing, which makes this an unchecked collector: its metrics are checked at each scrape.
func (c *Collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the metrics of a new snapshot.
func (c *Collector) Collect(to chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot, err := c.Snapshot()
	if err != nil {
		to <- prometheus.NewInvalidMetric(newDesc(&figures.Family{Name: "curlewmux_ledger", Help: "The ledger."}), err)
		return
	}
	descriptions := make([]*prometheus.Desc, len(figures.AccountFamilies))
	for i := range descriptions {
		descriptions[i] = newDesc(&figures.AccountFamilies[i], figures.AccountLabels[:]...)
	}
	for _, s := range c.series.Select(snapshot) {
		at := 0
		s.Each(func(_ string, v ledger.Count, _ bool) {
			to <- newMetric(descriptions[at], &figures.AccountFamilies[at], float64(v), s.Labels[:])
			at++
		})
	}
	for _, w := range figures.LedgerMetrics(snapshot) {
		to <- newMetric(newDesc(&w.Family, w.LabelNames...), &w.Family, w.Value, w.LabelValues)
	}
}

func newDesc(f *figures.Family, labels ...string) *prometheus.Desc {
	name := f.Name
	if !f.Gauge {
		name += "_total"
	}
	return prometheus.NewDesc(name, f.Help, labels, nil)
}

func newMetric(d *prometheus.Desc, f *figures.Family, v float64, labels []string) prometheus.Metric {
	kind := prometheus.CounterValue
	if f.Gauge {
		kind = prometheus.GaugeValue
	}
	m, err := prometheus.NewConstMetric(d, kind, v, labels...)
	if err != nil {
		return prometheus.NewInvalidMetric(d, err)
	}
	return m
}

// Package exporter shows ledgers by prometheus/client_golang: for programs beside a dispatcher, which does not link it.
package exporter

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"curlewmux/internal/figures"
	"curlewmux/ledger"
)

// Collector tells one snapshot a scrape: all of its metrics are of one cut. It is a prometheus.Collector.
type Collector struct {
	// Snapshot is asked for a snapshot at each scrape, by one goroutine at a time. It may block; its error fails the scrape.
	Snapshot func() (*ledger.Snapshot, error)

	mu     sync.Mutex
	series figures.Series
}

// Describe tells nothing: what a scrape brings is checked when it is there.
func (c *Collector) Describe(chan<- *prometheus.Desc) {}

// Collect asks for a cut and tells it.
func (c *Collector) Collect(to chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cut, err := c.Snapshot()
	if err != nil {
		to <- prometheus.NewInvalidMetric(desc(&figures.Family{Name: "curlewmux_ledger", Help: "The ledger."}), err)
		return
	}
	list := make([]*prometheus.Desc, len(figures.AccountFamilies))
	for i := range list {
		list[i] = desc(&figures.AccountFamilies[i], figures.AccountLabels[:]...)
	}
	for _, s := range c.series.Select(cut) {
		at := 0
		s.Each(func(_ string, v ledger.Count, _ bool) {
			to <- metric(list[at], &figures.AccountFamilies[at], float64(v), s.Labels[:])
			at++
		})
	}
	for _, w := range figures.LedgerMetrics(cut) {
		to <- metric(desc(&w.Family, w.LabelNames...), &w.Family, w.Value, w.LabelValues)
	}
}

func desc(f *figures.Family, labels ...string) *prometheus.Desc {
	name := f.Name
	if !f.Gauge {
		name += "_total"
	}
	return prometheus.NewDesc(name, f.Help, labels, nil)
}

func metric(d *prometheus.Desc, f *figures.Family, v float64, labels []string) prometheus.Metric {
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

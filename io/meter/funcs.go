package meter

import "github.com/prometheus/client_golang/prometheus"

// CounterFunc adds a counter whose value the function read returns at each scrape. The
// name gets the prefix anvilstand_.
func (m *Meter) CounterFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

// CounterFuncWith is CounterFunc with a value of one label. The name may be added once
// for each value.
func (m *Meter) CounterFuncWith(name, help, label, value string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}}, read))
}

// GaugeFunc adds a gauge whose value the function read returns at each scrape. The
// name gets the prefix anvilstand_.
func (m *Meter) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

// GaugeVecFunc adds a gauge with labels, whose values the function read passes to emit
// at each scrape. The name gets the prefix anvilstand_.
func (m *Meter) GaugeVecFunc(name, help string, labels []string, read func(emit func(value float64, labels ...string))) {
	m.registry.MustRegister(vecFunc{desc: prometheus.NewDesc("anvilstand_"+name, help, labels, nil), read: read})
}

// vecFunc is a collector of the values that a function emits.
type vecFunc struct {
	desc *prometheus.Desc
	read func(emit func(value float64, labels ...string))
}

// Describe implements prometheus.Collector.
func (v vecFunc) Describe(ch chan<- *prometheus.Desc) { ch <- v.desc }

// Collect implements prometheus.Collector.
func (v vecFunc) Collect(ch chan<- prometheus.Metric) {
	v.read(func(value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(v.desc, prometheus.GaugeValue, value, labels...)
	})
}

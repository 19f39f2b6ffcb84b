package meter

import "github.com/prometheus/client_golang/prometheus"

// CounterFunc adds a counter whose value the function read returns at each scrape. The
// name gets the prefix anvilstand_.
func (m *Meter) CounterFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

// GaugeFunc adds a gauge whose value the function read returns at each scrape. The
// name gets the prefix anvilstand_.
func (m *Meter) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

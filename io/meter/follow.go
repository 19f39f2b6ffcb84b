package meter

import "github.com/prometheus/client_golang/prometheus"

// Follow adds a counter whose value is read when the counters are.
func (m *Meter) Follow(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(
		prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

// State adds a gauge whose value is read when the counters are.
func (m *Meter) State(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(
		prometheus.GaugeOpts{Namespace: "anvilstand", Name: name, Help: help}, read))
}

// Package meter holds the counters of a daemon.
package meter

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"anvilstand/core/model"
	"anvilstand/core/query"
	"anvilstand/core/retry"
)

// Meter counts what a daemon does.
type Meter struct {
	registry *prometheus.Registry
	served   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	denied   *prometheus.CounterVec
	retried  *prometheus.CounterVec
	stranger *prometheus.CounterVec
	took     *prometheus.HistogramVec
	mu       sync.Mutex
	counts   map[model.Org]*tally
}

type tally struct {
	served  uint64
	refused map[string]uint64
}

// New returns a meter at zero.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		served:   counter("served_total", "Whole answers given, by organisation and service.", "org", "service"),
		refused:  counter("refused_total", "Requests refused, by organisation and reason.", "org", "reason"),
		retried:  counter("retried_total", "Attempts repeated, by service and reason.", "service", "reason"),
		denied:   counter("unretried_total", "Attempts not repeated although their reason would allow it, by service and cause.", "service", "cause"),
		stranger: counter("strangers_total", "Requests to the operators' address without an operator's key, by path.", "path"),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "anvilstand", Name: "request_seconds",
			Help: "Time from a caller's request to its end, by service and outcome.", Buckets: timeBuckets,
		}, []string{"service", "outcome"}),
		counts: map[model.Org]*tally{},
	}
	m.registry.MustRegister(m.served, m.refused, m.retried, m.denied, m.stranger, m.took)
	for _, r := range model.Reasons() {
		m.refused.WithLabelValues("", model.ReasonName(r))
	}
	return m
}

// timeBuckets are the bounds of the histogram of times, in seconds: from a hop
// within the fleet to the longest time that callers wait.
var timeBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Outcomes of a request, as the histogram of times tells them apart.
const (
	outcomeServed  = "served"
	outcomeFailed  = "failed"
	outcomeRefused = "refused"
)

// Took counts the time of a request: an answer of a target, or a refusal of a
// request that did or did not run.
func (m *Meter) Took(service model.Service, d time.Duration, refusal *model.Refusal) {
	outcome := outcomeServed
	if refusal != nil {
		outcome = outcomeFailed
		if _, not := refusal.Run().(model.NotRun); not {
			outcome = outcomeRefused
		}
	}
	m.took.WithLabelValues(string(service), outcome).Observe(d.Seconds())
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help}, labels)
}

// Handler serves the counters in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Serve counts a whole answer.
func (m *Meter) Serve(org model.Org, service model.Service) {
	m.served.WithLabelValues(string(org), string(service)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tally(org).served++
}

// Refuse counts a refusal.
func (m *Meter) Refuse(org model.Org, r model.Reason) {
	name := model.ReasonName(r)
	m.refused.WithLabelValues(string(org), name).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tally(org).refused[name]++
}

// Retry counts a repeated attempt.
func (m *Meter) Retry(service model.Service, r model.Retry) {
	m.retried.WithLabelValues(string(service), model.RetryName(r)).Inc()
}

// Deny counts a retry that was not made.
func (m *Meter) Deny(service model.Service, why retry.DenyReason) {
	m.denied.WithLabelValues(string(service), retry.DenyReasonName(why)).Inc()
}

// Count returns what was counted for an organisation.
func (m *Meter) Count(org model.Org) query.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tally(org)
	refused := make(map[string]uint64, len(t.refused))
	for k, n := range t.refused {
		refused[k] = n
	}
	return query.NewCount(t.served, refused)
}

func (m *Meter) tally(org model.Org) *tally {
	t := m.counts[org]
	if t == nil {
		t = &tally{refused: map[string]uint64{}}
		m.counts[org] = t
	}
	return t
}

// Stranger counts a request to a path of the operators' address that came
// without an operator's key.
func (m *Meter) Stranger(path string) { m.stranger.WithLabelValues(path).Inc() }

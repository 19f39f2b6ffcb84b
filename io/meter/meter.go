// Package meter counts what happens to the requests of a daemon, and serves the
// metrics in the Prometheus format. It reads other state only through functions
// that are given to it.
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

// Meter counts requests, refusals and retries, and observes durations. It is safe
// for concurrent use.
type Meter struct {
	registry     *prometheus.Registry
	served       *prometheus.CounterVec
	refused      *prometheus.CounterVec
	denied       *prometheus.CounterVec
	retried      *prometheus.CounterVec
	unauthorized *prometheus.CounterVec
	versions     *prometheus.CounterVec
	closed       *prometheus.CounterVec
	starved      *prometheus.CounterVec
	leases       *prometheus.CounterVec
	duration     *prometheus.HistogramVec
	mu           sync.Mutex
	counts       map[model.Org]*orgCount
}

// orgCount has the counts of one organisation, for operators' queries.
type orgCount struct {
	served  uint64
	refused map[string]uint64
}

// New returns a meter with all counts at zero. The refusals of every reason show
// from the start, with an empty organisation.
func New() *Meter {
	m := &Meter{
		registry:     prometheus.NewRegistry(),
		served:       counter("served_total", "Whole answers given, by organisation and service.", "org", "service"),
		refused:      counter("refused_total", "Requests refused, by organisation and reason.", "org", "reason"),
		retried:      counter("retried_total", "Attempts repeated, by service and reason.", "service", "reason"),
		denied:       counter("unretried_total", "Attempts not repeated although their reason would allow it, by service and cause.", "service", "cause"),
		unauthorized: counter("strangers_total", "Requests to the operators' address without an operator's key, by path.", "path"),
		versions:     counter("version_answers_total", "Answers during a rollout, by service, version and outcome.", "service", "version", "outcome"),
		closed:       counter("connections_closed_total", "Heads refused and connections closed by a listener, by reason.", "listener", "reason"),
		starved:      counter("starved_total", "Requests that failed after a call of their chain was refused for lack of capacity, by service.", "service"),
		leases:       counter("leases_gained_total", "Quota leases gained, by what became of the holder before.", "origin"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "anvilstand", Name: "request_seconds",
			Help: "Time from a caller's request to its end, by service and outcome.", Buckets: durationBuckets,
		}, []string{"service", "outcome"}),
		counts: map[model.Org]*orgCount{},
	}
	m.registry.MustRegister(m.served, m.refused, m.retried, m.denied, m.unauthorized, m.versions, m.closed, m.starved, m.leases, m.duration)
	for _, r := range model.Reasons() {
		m.refused.WithLabelValues("", model.ReasonName(r))
	}
	return m
}

// durationBuckets are the upper bounds of the histogram's buckets, in seconds:
// from the time of a hop within the fleet to the longest time that callers wait.
var durationBuckets = []float64{0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Values of the histogram's label outcome.
const (
	outcomeServed  = "served"
	outcomeFailed  = "failed" // may have run; in "requests left out" lines, kind "failed" includes refusals
	outcomeRefused = "refused"
)

// ObserveDuration observes the duration of a request. The outcome is served without a
// refusal, refused if the request did not run, and failed if it may have run.
func (m *Meter) ObserveDuration(service model.Service, d time.Duration, refusal *model.Refusal) {
	outcome := outcomeServed
	if refusal != nil {
		outcome = outcomeFailed
		if _, notRun := refusal.Run().(model.NotRun); notRun {
			outcome = outcomeRefused
		}
	}
	m.duration.WithLabelValues(string(service), outcome).Observe(d.Seconds())
}

// CountLease counts a quota lease that this daemon gained, by its origin.
func (m *Meter) CountLease(origin string) { m.leases.WithLabelValues(origin).Inc() }

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "anvilstand", Name: name, Help: help}, labels)
}

// Handler returns the handler that serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// CountServed counts a request whose response was passed on completely, whatever its
// status.
func (m *Meter) CountServed(org model.Org, service model.Service) {
	m.served.WithLabelValues(string(org), string(service)).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orgCount(org).served++
}

// CountRefused counts a request that was refused, or whose response was truncated, by
// the reason.
func (m *Meter) CountRefused(org model.Org, r model.Reason) {
	name := model.ReasonName(r)
	m.refused.WithLabelValues(string(org), name).Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orgCount(org).refused[name]++
}

// CountRetry counts a repeated attempt.
func (m *Meter) CountRetry(service model.Service, r model.RetryReason) {
	m.retried.WithLabelValues(string(service), model.RetryReasonName(r)).Inc()
}

// CountVersion counts how an attempt ended at a target of a version, during a rollout.
func (m *Meter) CountVersion(service model.Service, version, outcome string) {
	m.versions.WithLabelValues(string(service), version, outcome).Inc()
}

// CountDenied counts a retry that was not made although its reason would allow it.
func (m *Meter) CountDenied(service model.Service, r retry.DenyReason) {
	m.denied.WithLabelValues(string(service), retry.DenyReasonName(r)).Inc()
}

// Counts returns how many requests of an organisation were served, and how many
// were refused by reason.
func (m *Meter) Counts(org model.Org) query.Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.orgCount(org)
	refused := make(map[string]uint64, len(c.refused))
	for reason, n := range c.refused {
		refused[reason] = n
	}
	return query.NewCount(c.served, refused)
}

// orgCount returns the counts of an organisation. The lock is held.
func (m *Meter) orgCount(org model.Org) *orgCount {
	c := m.counts[org]
	if c == nil {
		c = &orgCount{refused: map[string]uint64{}}
		m.counts[org] = c
	}
	return c
}

// CountUnauthorized counts a request to a path of the operators' address that came
// without an operator's key.
func (m *Meter) CountUnauthorized(path string) { m.unauthorized.WithLabelValues(path).Inc() }

// CountStarved counts a request that failed after a call of its chain was refused for
// lack of capacity.
func (m *Meter) CountStarved(service model.Service) {
	m.starved.WithLabelValues(string(service)).Inc()
}

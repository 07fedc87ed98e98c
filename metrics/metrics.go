// Package metrics holds a router's Prometheus metrics.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the metrics of one router. Use New to create it.
type Metrics struct {
	// Registry is the registry of all metrics.
	Registry *prometheus.Registry
	// Requests counts finished requests by result code.
	Requests *prometheus.CounterVec
	// Attempts counts dispatch attempts by backend server and result code.
	Attempts *prometheus.CounterVec
	// Tokens counts served tokens by budget.
	Tokens *prometheus.CounterVec
	// Dropped counts response fragments that matched no request.
	Dropped prometheus.Counter
	// Seconds is the time from receipt to completion, by kind of request.
	Seconds *prometheus.HistogramVec
	// Unrecorded is the number of billing records not yet written to the store.
	Unrecorded prometheus.Gauge
	// Revision is the effective configuration revision.
	Revision prometheus.Gauge
}

// New creates and registers the metrics.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		Requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_requests_total", Help: "Ended requests by result code.",
		}, []string{"code"}),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_attempts_total", Help: "Dispatch attempts by backend server and result code.",
		}, []string{"server", "code"}),
		Tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_tokens_total", Help: "Served tokens by budget.",
		}, []string{"budget"}),
		Dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gaplink_dropped_pieces_total", Help: "Pieces of answers that matched no request.",
		}),
		Seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gaplink_request_seconds", Help: "Time from receipt to end.", Buckets: prometheus.DefBuckets,
		}, []string{"kind"}),
		Unrecorded: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gaplink_unrecorded_bills", Help: "Bills that wait for the store.",
		}),
		Revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gaplink_table_revision", Help: "Configuration revision in force.",
		}),
	}
	m.Registry.MustRegister(m.Requests, m.Attempts, m.Tokens, m.Dropped, m.Seconds, m.Unrecorded, m.Revision)
	return m
}

// Counter registers a counter whose value is returned by read.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

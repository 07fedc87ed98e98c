// Package metrics holds a router's Prometheus metrics.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of one router. Use New.
type Metrics struct {
	// Registry holds all of them.
	Registry *prometheus.Registry
	// Requests counts ended requests by result code.
	Requests *prometheus.CounterVec
	// Attempts counts dispatch attempts by backend server and result code.
	Attempts *prometheus.CounterVec
	// Tokens counts served tokens by budget.
	Tokens *prometheus.CounterVec
	// Dropped counts pieces of answers that matched no request.
	Dropped prometheus.Counter
	// Seconds is the time from receipt to end, by kind of request.
	Seconds *prometheus.HistogramVec
	// Unrecorded is the number of bills that wait for the store.
	Unrecorded prometheus.Gauge
	// Revision is the configuration revision in force.
	Revision prometheus.Gauge
}

// New returns registered metrics.
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

// Counter registers a counter that is read from a function.
func (m *Metrics) Counter(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

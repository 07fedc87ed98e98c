package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/retryafter"
)

// Metrics are the gateway's counters and histograms.
type Metrics struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	tokens   *prometheus.CounterVec
	replies  *prometheus.CounterVec
	ages     prometheus.Histogram
	returns  *prometheus.HistogramVec
	held     *prometheus.CounterVec
	retries  *prometheus.CounterVec
	silent   *prometheus.CounterVec
}

// latencyBuckets span the latency objectives, in seconds.
var latencyBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3, 6, 15}

// ageBuckets span the staleness bounds on servers that leave, in seconds.
var ageBuckets = []float64{0.1, 0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3, 4, 8}

// returnBuckets span the Retry-After values, in seconds.
var returnBuckets = []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 15}

// NewMetrics returns metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_requests_total", Help: "Ended requests by route and result code.",
		}, []string{"route", "code"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_attempts_total", Help: "Attempts by service and outcome.",
		}, []string{"service", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gaplink_gateway_request_seconds", Help: "Time from receipt to end, by route.", Buckets: latencyBuckets,
		}, []string{"route"}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_tokens_total", Help: "Tokens charged, in and out, by account.",
		}, []string{"account"}),
		replies: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_replies_total", Help: "Ended requests by result code and by what their callers could take the answer for.",
		}, []string{"code", "claim"}),
		ages: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gaplink_gateway_servers_age_seconds", Help: "Age of what was known of the backend servers when a request was sent to one.", Buckets: ageBuckets,
		}),
		returns: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "gaplink_gateway_retry_after_seconds", Help: "Computed Retry-After of refusals, by cause.", Buckets: returnBuckets,
		}, []string{"cause"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_held_total", Help: "Requests held for predicted room, by cause and by whether there was room.",
		}, []string{"cause", "room"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_retries_total", Help: "Attempts that a server may have received after an earlier one of the same request, by service and by how that one ended.",
		}, []string{"service", "cause"}),
		silent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gaplink_gateway_unanswered_total", Help: "Attempts that ended without a byte of a response, and may still arrive at their server, by service.",
		}, []string{"service"}),
	}
	reg.MustRegister(m.requests, m.attempts, m.seconds, m.tokens, m.replies, m.ages, m.returns, m.held, m.retries, m.silent)
	return m
}

func (m *Metrics) ended(c *call) {
	route := "none"
	if c.route != nil {
		route = c.route.Name
	}
	code := strconv.Itoa(int(c.outcome))
	m.requests.WithLabelValues(route, code).Inc()
	m.replies.WithLabelValues(code, c.reply.claim()).Inc()
	m.seconds.WithLabelValues(route).Observe(clock.Since(c.arrived).Seconds())
	if c.reserved > 0 {
		m.tokens.WithLabelValues(c.account.Name).Add(float64(c.spent()))
	}
}

// planned observes a computed Retry-After.
func (m *Metrics) planned(cause retryafter.Cause, after time.Duration) {
	if m != nil {
		m.returns.WithLabelValues(cause.String()).Observe(after.Seconds())
	}
}

// ceasedHolding counts a request that was held.
func (m *Metrics) ceasedHolding(cause retryafter.Cause, room bool) {
	if m != nil {
		m.held.WithLabelValues(cause.String(), strconv.FormatBool(room)).Inc()
	}
}

// registrationAge observes the staleness of the server registrations at the time a request
// is sent.
func (m *Metrics) registrationAge(age time.Duration) {
	if age >= 0 {
		m.ages.Observe(age.Seconds())
	}
}

// retried counts an attempt that followed an earlier one, which ended as given.
func (m *Metrics) retried(service string, after disposition) {
	cause := "failed"
	if after == notRun {
		cause = "refused"
	}
	m.retries.WithLabelValues(service, cause).Inc()
}

// unanswered counts an attempt that ended without a byte of a response.
func (m *Metrics) unanswered(service string) { m.silent.WithLabelValues(service).Inc() }

func (m *Metrics) attempt(service, outcome string) {
	m.attempts.WithLabelValues(service, outcome).Inc()
}

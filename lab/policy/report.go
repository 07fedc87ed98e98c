package policy

import (
	"sort"
	"time"
)

// Result is the result of a run.
type Result struct {
	Scenario string `json:"scenario"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
	// Overspend is in tokens.
	Overspend int64 `json:"overspend_tokens"`
	// False counts refusals of requests that the budget could have covered after
	// deducting the worst-case costs of other requests in flight; FalseStrict
	// deducts their actual costs instead.
	False       int     `json:"false_refusals"`
	FalseStrict int     `json:"false_refusals_strict"`
	FalseShare  float64 `json:"false_share_percent"`
	// Causes breaks False down by cause.
	Causes map[string]int `json:"causes"`
	// LeftShare is the share left unspent at the end, in percent, of the budgets
	// that had refusals.
	LeftShare float64 `json:"left_percent"`
	// Traffic per second and per 1,000 requests.
	ReadsPerSecond  float64 `json:"store_reads_per_s"`
	WritesPerSecond float64 `json:"store_writes_per_s"`
	WritesPerK      float64 `json:"store_writes_per_1000"`
	MessagesPerK    float64 `json:"messages_per_1000"`
	BytesPerK       float64 `json:"bytes_per_1000"`
	// WaitP50 and WaitP99 are the latencies that a reservation adds, in
	// milliseconds.
	WaitP50 float64 `json:"wait_p50_ms"`
	WaitP99 float64 `json:"wait_p99_ms"`
}

// report computes the final figures of the run.
func (w *simulation) report() Result {
	r := &w.result
	var left, limits int64
	for _, b := range w.budgets {
		if b.refused == 0 {
			continue
		}
		limits += b.limit
		left += b.limit - b.spent - b.reserved
	}
	if limits > 0 {
		r.LeftShare = percent(float64(left), float64(limits))
	}
	r.FalseShare = percent(float64(r.False), float64(r.Requests))
	seconds := (w.scenario.Length - w.scenario.Warm).Seconds()
	thousands := float64(w.measured) / 1000
	r.ReadsPerSecond = float64(w.counts.Reads) / seconds
	r.WritesPerSecond = float64(w.counts.Writes) / seconds
	r.WritesPerK = float64(w.counts.Writes) / thousands
	r.MessagesPerK = float64(w.counts.Messages) / thousands
	r.BytesPerK = float64(w.counts.Bytes) / thousands
	r.WaitP50, r.WaitP99 = quantiles(w.waits)
	return *r
}

func percent(part, whole float64) float64 { return 100 * part / whole }

// quantiles returns the median and the 99th percentile in milliseconds.
func quantiles(waits []time.Duration) (p50, p99 float64) {
	if len(waits) == 0 {
		return 0, 0
	}
	sorted := append([]time.Duration(nil), waits...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := func(q float64) float64 {
		return float64(sorted[int(q*float64(len(sorted)-1))]) / float64(time.Millisecond)
	}
	return at(0.5), at(0.99)
}

package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/placement"
)

// A registration that is missing after this router had lost the store may have lapsed,
// because its server did not reach the store either, or it is gone for good. Where only
// routers were cut off, the servers have renewed theirs all the while: then nothing has
// lapsed, and a server that is missing must not be kept for two seconds more.
const (
	// comparedFor is the least time between two versions that says anything.
	comparedFor = 3 * time.Second
	// renewedPart is the part of the renewals that must have come; some come late.
	renewedPart = 0.75
	// renewedMost is the part of the servers that must have renewed, and may not be
	// missing: after an outage of the store many are.
	renewedMost = 0.75
	// comparedLeast is how many servers must have been compared.
	comparedLeast = 4
)

// SetRenewal says how often servers renew their registrations. Call it before the first
// is taken.
func (c *Controller) SetRenewal(every time.Duration) { c.renewEvery = every }

// renewedThroughout tells whether a list shows that servers reached the store all the
// time since this router heard of them.
func (c *Controller) renewedThroughout(objects []Heard) bool {
	if c.renewEvery <= 0 {
		return false
	}
	now := clock.Now()
	var compared, renewed, present int
	for _, o := range objects {
		known, had := c.entries[o.Key]
		if !had || !known.readable {
			continue
		}
		present++
		span := now.Add(-o.Age).Sub(known.heard)
		if span < comparedFor {
			continue
		}
		compared++
		if c.renewals(o)-known.server.Renewals >= c.expected(span) {
			renewed++
		}
	}
	enough := compared >= comparedLeast && float64(renewed) >= renewedMost*float64(compared)
	throughout := enough && float64(present) >= renewedMost*float64(len(c.entries))
	if !c.regained.IsZero() && present < len(c.entries) {
		c.log.Info("registrations missing after the store was lost", zap.Bool("may_have_lapsed", !throughout), zap.Int("known", len(c.entries)),
			zap.Int("present", present), zap.Int("compared", compared), zap.Int("renewed", renewed), zap.Duration("regained_ms_ago", now.Sub(c.regained)))
	}
	return throughout
}

// expected is the least number of renewals in a time.
func (c *Controller) expected(span time.Duration) int64 {
	return int64(renewedPart * float64(span) / float64(c.renewEvery))
}

// renewals returns the count that a registration tells, 0 if it cannot be read.
func (c *Controller) renewals(o Heard) int64 {
	s, err := guard.Call(func() (placement.Server, error) { return c.decode(idOf(o.Key), o.Value) })
	if err != nil {
		return 0 // put logs it
	}
	return s.Renewals
}

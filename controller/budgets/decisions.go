package budgets

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
)

// decisionLogInterval is the minimum time between two log lines about the same kind of decision.
const decisionLogInterval = time.Second

// The kinds of decisions that have a rate-limited log line.
const (
	ownNeedDecision = "own need"
	surplusDecision = "surplus"
	holderDecision  = "holder"
	rankDecision    = "rank"
	aheadDecision   = "ahead"
	nearEndDecision = "near end"
	moveDecision    = "move"
	deferDecision   = "defer"
)

func newDecisionLogs() map[string]*logs.RateLimit {
	return map[string]*logs.RateLimit{ownNeedDecision: {}, surplusDecision: {}, holderDecision: {}, rankDecision: {}, aheadDecision: {}, nearEndDecision: {}, moveDecision: {}, deferDecision: {}}
}

// logDecision logs a decision of the agent, unless a line about its kind was written recently.
func (c *Controller) logDecision(e budget.Effect) {
	switch e := e.(type) {
	case budget.DrawnForItself:
		if suppressed, ok := c.allowLine(ownNeedDecision); ok {
			c.log.Info("budget drawn for this router only", zap.String("budget", e.Budget), zap.Int64("target", e.Target),
				zap.Bool("just_started", e.Starting), zap.Int64("suppressed", suppressed))
		}
	case budget.SurplusReturned:
		if suppressed, ok := c.allowLine(surplusDecision); ok {
			c.log.Info("surplus of a budget returned", zap.String("budget", e.Budget), zap.Int64("tokens", e.Tokens),
				zap.Int64("kept", e.Kept), zap.String("owner", e.Owner), zap.Int64("suppressed", suppressed))
		}
	case budget.HolderAsked:
		if suppressed, ok := c.allowLine(holderDecision); ok {
			c.log.Info("asking a holder of a budget for tokens", zap.String("budget", e.Budget), zap.String("holder", e.Holder),
				zap.Int64("short_of", e.Need), zap.Int64("suppressed", suppressed))
		}
	case budget.RefusedByRank:
		if suppressed, ok := c.allowLine(rankDecision); ok {
			c.log.Info("tokens kept for more urgent requests", zap.String("budget", e.Budget), zap.Int("rank", e.Rank),
				zap.Int64("wanted", e.Need), zap.Int64("usable", e.Usable), zap.String("cause", string(e.Cause)), zap.Int64("suppressed", suppressed))
		}
	case budget.DrawnAhead:
		if suppressed, ok := c.allowLine(aheadDecision); ok {
			c.log.Info("tokens drawn ahead for urgent requests", zap.String("budget", e.Budget), zap.Int64("target", e.Target),
				zap.Float64("urgent_share", e.Urgent), zap.Int64("suppressed", suppressed))
		}
	case budget.MoveBeyondUsable:
		if suppressed, ok := c.allowLine(moveDecision); ok {
			c.log.Error("tokens beyond the usable balance asked for", zap.String("budget", e.Budget), zap.String("kind", string(e.Kind)),
				zap.String("receiver", e.To.Incarnation), zap.Int64("asked", e.Asked), zap.Int64("sent", e.Sent),
				zap.Int64("escrow", e.Escrow), zap.Duration("escrow_age_ms", e.EscrowAge), zap.Int64("suppressed", suppressed))
		}
	case budget.GrantDeferred:
		if suppressed, ok := c.allowLine(deferDecision); ok {
			c.log.Info("draw of a budget granted in part", zap.String("budget", e.Budget), zap.String("receiver", e.To.Incarnation),
				zap.Int64("wanted", e.Wanted), zap.Int64("granted", e.Granted), zap.Int64("usable", e.Usable),
				zap.Int64("escrow", e.Escrow), zap.Duration("escrow_age_ms", e.EscrowAge), zap.Int64("suppressed", suppressed))
		}
	case budget.NearEnd:
		if suppressed, ok := c.allowLine(nearEndDecision); ok {
			c.log.Info("budget nearly used up", zap.String("budget", e.Budget), zap.Bool("held_short", e.Near),
				zap.Int64("store_free", e.Free), zap.Int64("limit", e.Limit), zap.Int64("suppressed", suppressed))
		}
	}
}

func (c *Controller) allowLine(kind string) (suppressed int64, ok bool) {
	return c.decisionLogs[kind].Allow(clock.Now(), decisionLogInterval)
}

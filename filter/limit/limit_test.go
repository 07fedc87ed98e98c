package limit_test

import (
	"context"
	"errors"
	"testing"

	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/filter/limit"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

// fixedConfig is a configuration with one row, at one router.
type fixedConfig struct{ state *table.State }

func (c fixedConfig) State() *table.State       { return c.state }
func (fixedConfig) Blocked(string, string) bool { return false }
func (fixedConfig) Routers() int                { return 1 }

type served struct{}

func (served) Serve(context.Context, *filter.Exchange) error { return nil }

// TestRequestRefusedForItsTokensUsesNoRequest guards against requests that are refused for the rate
// of tokens and use up the rate of requests, so that small requests are refused as well.
func TestRequestRefusedForItsTokensUsesNoRequest(t *testing.T) {
	state := table.NewState()
	state.Pools["old"] = table.Pool{Name: "old", Target: "m", Site: "old"}
	row := table.Row{Account: "acme", Target: "m", Site: "old", RatePerSecond: 2, TokensPerSecond: 100}
	state.Rows[row.Name()] = row
	h := limit.New(served{}, fixedConfig{state})
	serve := func(tokens int64) result.Code {
		x := &filter.Exchange{Account: table.Account{ID: "acme"}, Target: "m", MaxTokens: tokens}
		var refusal *result.Error
		if err := h.Serve(t.Context(), x); errors.As(err, &refusal) {
			return refusal.Code
		} else if err != nil {
			t.Fatal(err)
		}
		return result.OK
	}
	for i, c := range []struct {
		tokens int64
		want   result.Code
	}{{100, result.RateLimited}, {100, result.RateLimited}, {0, result.OK}, {0, result.RateLimited}} { // both limiters begin with one
		if got := serve(c.tokens); got != c.want {
			t.Errorf("request %d: %s, want %s", i, got, c.want)
		}
	}
}

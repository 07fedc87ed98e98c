package gateway

import (
	"testing"

	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/result"
)

// Covers responses that are lost on the way: the server generates all of a response and the
// router sees none or part of it. On a simulated day with a tenth of the responses lost,
// charging only the observed tokens overspent a budget by 0.3%.
func TestSpentIsNeverLessThanWhatServersMayHaveGenerated(t *testing.T) {
	cases := []struct {
		name   string
		ran    bool
		unseen int
		seen   int64
		end    result.Code
		want   int64
	}{
		{name: "not run", want: 0},
		{name: "whole answer", ran: true, seen: 60, end: result.OK, want: 860},
		{name: "cut before the first event", ran: true, unseen: 1, end: result.BackendCut, want: 1000},
		{name: "cut midway", ran: true, unseen: 1, seen: 60, end: result.BackendCut, want: 1000},
		{name: "caller gone midway", ran: true, unseen: 1, seen: 60, end: result.CallerGone, want: 1000},
		{name: "cut and resumed elsewhere", ran: true, unseen: 1, seen: 90, end: result.OK, want: 1090},
		{name: "cut twice", ran: true, unseen: 2, seen: 90, end: result.BackendCut, want: 1200},
	}
	for _, k := range cases {
		c := &call{mayHaveRun: k.ran, unobserved: k.unseen, outcome: k.end}
		c.Request = exchange.Request{TokensIn: 800, MaxTokensOut: 200}
		c.stream.tokens = k.seen
		c.reserved = c.MaxTokens() + int64(max(k.unseen-1, 0))*c.MaxTokensOut
		if k.unseen > 0 && k.end == result.OK {
			c.reserved = c.MaxTokens() + int64(k.unseen)*c.MaxTokensOut
		}
		if got := c.spent(); got != k.want {
			t.Errorf("%s: %d tokens charged, the servers may have generated %d", k.name, got, k.want)
		}
	}
}

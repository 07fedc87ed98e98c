package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/lab/policy"
	"github.com/gaplink/gaplink/lab/routing"
)

// Bounds of the chosen policy, checked by `policy --check`. They apply to
// deterministic results of seeded runs.
const (
	maxFalseNoFaults = 0.1 // percent of requests, without faults
	maxFalseFaults   = 1.0 // percent of requests, with the fault mix
	maxLeftNoFaults  = 0.5 // percent of the budgets that ran out, without faults
	minImprovement   = 10  // minimum factor between the false refusals of equal static shares and those of the chosen policy
	maxWrites        = 100 // store writes per second
)

var errBoundExceeded = errors.New("a bound is not kept")

func policyCommand() *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use: "policy", Short: "Compare ways to share budgets out, in seeded virtual time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return comparePolicies(cmd.OutOrStdout(), check) },
	}
	cmd.Flags().BoolVar(&check, "check", false, "fail when a bound of the chosen policy is not kept")
	return cmd
}

// candidate is one of the compared policies.
type candidate struct {
	name string
	run  func(policy.Scenario) policy.Result
}

func candidates() []candidate {
	return []candidate{
		{"static shares", func(s policy.Scenario) policy.Result { return policy.Run(s, "static shares", policy.Static) }},
		{"fixed grants", func(s policy.Scenario) policy.Result { return policy.Run(s, "fixed grants", policy.Fixed) }},
		{"one home", func(s policy.Scenario) policy.Result { return policy.Run(s, "one home", policy.Owner) }},
		{"chosen", func(s policy.Scenario) policy.Result { return policy.Run(s, "chosen", policy.Chosen) }},
	}
}

func scenarios() []policy.Scenario {
	three := policy.Base(3, time.Millisecond)
	four := policy.Base(4, 500*time.Microsecond)
	return []policy.Scenario{three, four, three.WithFaults(), four.WithFaults()}
}

func comparePolicies(out io.Writer, check bool) error {
	var violations []error
	for _, s := range scenarios() {
		var results []policy.Result
		for _, c := range candidates() {
			r := c.run(s)
			results = append(results, r)
			printResult(out, r)
		}
		violations = append(violations, checkBounds(s, results))
	}
	violations = append(violations, compareLedgers(out))
	compareRouting(out)
	if !check {
		return nil
	}
	return errors.Join(violations...)
}

// ledgerLoads returns the loads of the current and of the target fleet size.
func ledgerLoads() []policy.LedgerLoad {
	today := policy.LedgerLoad{
		Name: "ledger, 8 routers", Seed: 1, PerSecond: 166, NotRepeatable: 0.2, Shards: 2,
		MinCommitInterval: 20 * time.Millisecond, MaxCommitDelay: 80 * time.Millisecond,
		RoundTrip: 2 * time.Millisecond, StoreDelay: 5 * time.Millisecond, Length: time.Minute,
	}
	target := today
	target.Name, target.PerSecond, target.Shards = "ledger, 390 routers", 8100, 40
	target.MinCommitInterval, target.MaxCommitDelay, target.RoundTrip = 350*time.Millisecond, 350*time.Millisecond, 10*time.Millisecond
	return []policy.LedgerLoad{today, target}
}

// ledgerBounds are the bounds for the loads of ledgerLoads: store writes per second, not
// counting those of grants, and the wait of a claim in milliseconds.
var ledgerBounds = []struct{ writes, notRepeatableP99 float64 }{{90, 50}, {150, 500}}

func compareRouting(out io.Writer) {
	for _, r := range []routing.Result{
		routing.Run("round robin", routing.RoundRobin()),
		routing.Run("least in flight", routing.LeastInFlight()),
		routing.Run("chosen", routing.Chosen()),
	} {
		_, _ = fmt.Fprintf(out, "routing %-16s requests %d first token p50 %.0f p95 %.0f ms, cache hits %.1f%%, busiest server %.2f of the mean\n",
			r.Policy, r.Requests, r.FirstP50, r.FirstP95, r.Hits, r.Imbalance)
	}
}

func compareLedgers(out io.Writer) error {
	var violations []error
	for i, load := range ledgerLoads() {
		r := policy.RunLedger(load)
		_, _ = fmt.Fprintf(out, "%-28s requests %d writes/s %.1f bytes/s %.0f claim wait not-repeatable p50 %.1f p99 %.1f ms, repeatable p50 %.1f p99 %.1f ms, bill wait p50 %.1f p99 %.1f ms\n",
			r.Name, r.Requests, r.WritesPerSecond, r.BytesPerSecond, r.NotRepeatableP50, r.NotRepeatableP99, r.RepeatableP50, r.RepeatableP99, r.BillP50, r.BillP99)
		if r.WritesPerSecond > ledgerBounds[i].writes || r.NotRepeatableP99 > ledgerBounds[i].notRepeatableP99 {
			violations = append(violations, fmt.Errorf("%w: %s", errBoundExceeded, r.Name))
		}
	}
	return errors.Join(violations...)
}

func printResult(out io.Writer, r policy.Result) {
	_, _ = fmt.Fprintf(out, "%-28s %-14s requests %d refused %d overspend %d false %d (%.3f%%) strict %d left %.2f%% reads/s %.1f writes/s %.1f msgs/1000 %.0f bytes/1000 %.0f wait p50 %.1f p99 %.1f ms\n",
		r.Scenario, r.Policy, r.Requests, r.Refused, r.Overspend, r.False, r.FalseShare, r.FalseStrict, r.LeftShare,
		r.ReadsPerSecond, r.WritesPerSecond, r.MessagesPerK, r.BytesPerK, r.WaitP50, r.WaitP99)
	if len(r.Causes) > 0 {
		causes, _ := json.Marshal(r.Causes)
		_, _ = fmt.Fprintf(out, "%43s causes %s\n", "", causes)
	}
}

// checkBounds checks the chosen policy, which is the last of the results, against its bounds
// and against static shares, which are the first.
func checkBounds(s policy.Scenario, results []policy.Result) error {
	static, chosen := results[0], results[len(results)-1]
	maxFalse := maxFalseNoFaults
	if len(s.Faults) > 0 {
		maxFalse = maxFalseFaults
	}
	switch {
	case chosen.Overspend != 0:
		return fmt.Errorf("%w: %s: overspend %d", errBoundExceeded, s.Name, chosen.Overspend)
	case chosen.FalseShare > maxFalse:
		return fmt.Errorf("%w: %s: false refusals %.3f%%, at most %.1f%%", errBoundExceeded, s.Name, chosen.FalseShare, maxFalse)
	case chosen.False*minImprovement > static.False:
		return fmt.Errorf("%w: %s: %d false refusals against %d of static shares", errBoundExceeded, s.Name, chosen.False, static.False)
	case len(s.Faults) == 0 && chosen.LeftShare > maxLeftNoFaults:
		return fmt.Errorf("%w: %s: %.2f%% left", errBoundExceeded, s.Name, chosen.LeftShare)
	case chosen.WritesPerSecond > maxWrites:
		return fmt.Errorf("%w: %s: %.1f writes a second", errBoundExceeded, s.Name, chosen.WritesPerSecond)
	}
	return nil
}

package lab

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gaplink/gaplink/lab/policy"
)

func curveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use: "curve", Short: "Plot what budgets.hold trades: service in an outage against tokens written off", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return curve(cmd.OutOrStdout(), file) },
	}
	cmd.Flags().StringVar(&file, "file", "docs/hold-curve.png", "the plot to write")
	return cmd
}

// holds are the compared values of the setting budgets.hold.
var holds = []time.Duration{
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
	5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second,
}

// curveScenario has a store outage while most tokens are unspent, and later kills two
// routers at the same time, so that the tokens they hold are written off.
func curveScenario(hold time.Duration) policy.Scenario {
	s := policy.Base(3, time.Millisecond)
	s.Hold = hold
	s.Faults = []policy.Fault{
		{Kind: policy.Outage, At: 60 * time.Second, Span: 20 * time.Second},
		{Kind: policy.Kill, At: 120 * time.Second, Span: 5 * time.Second, Router: 1},
		{Kind: policy.Kill, At: 120 * time.Second, Span: 5 * time.Second, Router: 3},
	}
	return s
}

func curve(out io.Writer, file string) error {
	refused := make(plotter.XYs, len(holds))
	left := make(plotter.XYs, len(holds))
	for i, hold := range holds {
		r := policy.Run(curveScenario(hold), "chosen", policy.Chosen)
		share := 100 * float64(r.Causes["store out"]) / float64(r.Requests)
		_, _ = fmt.Fprintf(out, "hold %-6s refused for want of the store %.3f%% of requests, left unspent %.3f%% of the budgets, overspend %d, store writes/s %.1f\n",
			hold, share, r.LeftShare, r.Overspend, r.WritesPerSecond)
		refused[i] = plotter.XY{X: hold.Seconds(), Y: share}
		left[i] = plotter.XY{X: hold.Seconds(), Y: r.LeftShare}
	}
	p := plot.New()
	p.Title.Text = "budgets.hold: an outage of 20 s, and two routers dying together"
	p.X.Label.Text = "hold, seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "percent"
	if err := plotutil.AddLinePoints(p, "refused in the outage, % of requests", refused, "written off, % of the budgets", left); err != nil {
		return err
	}
	p.Legend.Top = true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, file)
}

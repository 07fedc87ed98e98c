package account

import (
	"cmp"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// maxCurves is the maximum number of curves in a plot.
const maxCurves = 6

// Size of a plot.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// PlotRefusals writes a plot of the refused requests per second, by result code, to a file. The
// extension of the file selects the format (.png, .svg).
func (r *Run) PlotRefusals(file string) error {
	p := plot.New()
	p.Title.Text = "Requests that were not served"
	p.X.Label.Text = "seconds of the run"
	p.Y.Label.Text = "requests a second"
	begin, byName := r.PerSecond()
	var lines []any
	for _, name := range mostFrequent(byName) {
		points := make(plotter.XYs, len(byName[name]))
		for i, n := range byName[name] {
			points[i] = plotter.XY{X: float64(begin + i), Y: float64(n)}
		}
		lines = append(lines, name, points)
	}
	return save(p, file, lines)
}

// mostFrequent returns the names of the result codes with the most requests.
func mostFrequent(byName map[string][]int) []string {
	sum := func(list []int) (n int) {
		for _, each := range list {
			n += each
		}
		return n
	}
	var names []string
	for name := range byName {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(sum(byName[b]), sum(byName[a])), cmp.Compare(a, b))
	})
	return names[:min(len(names), maxCurves)]
}

// PlotTokens writes a plot of the tokens left in the store, for the budgets with the most refused
// requests, to a file. The extension of the file selects the format.
func (r *Run) PlotTokens(file string) error {
	p := plot.New()
	p.Title.Text = "Tokens left in the store"
	p.X.Label.Text = "seconds of the run"
	p.Y.Label.Text = "part of the budget"
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	accounts := sortByRefusals(r.Tokens())
	for _, a := range accounts[:min(len(accounts), maxCurves)] {
		var points plotter.XYs
		for _, t := range a.History {
			if t.Limit > 0 {
				points = append(points, plotter.XY{X: t.At.Seconds(), Y: float64(t.Free) / float64(t.Limit)})
			}
		}
		if len(points) > 0 {
			lines = append(lines, fmt.Sprintf("%s (%d refused)", a.Account, a.Exhausted+a.Unreachable), points)
		}
	}
	return save(p, file, lines)
}

func save(p *plot.Plot, file string, lines []any) error {
	if len(lines) > 0 {
		if err := plotutil.AddLines(p, lines...); err != nil {
			return fmt.Errorf("plotting: %w", err)
		}
	}
	p.Legend.Top = true
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("writing %s: %w", file, err)
	}
	return nil
}

package account

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// maxRows is the maximum number of rows of a table.
const maxRows = 12

// WriteTables writes a summary of the run as tables.
func (r *Run) WriteTables(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	served := 0
	for _, q := range r.Requests {
		if q.Name == "OK" {
			served++
		}
	}
	row(w, "%d lines of requests that were not served, %d of served ones (a sample), %d unreadable lines\n", len(r.Requests)-served, served, r.Unreadable)
	r.writeRefusals(w)
	r.writeTokens(w)
	r.writeRouters(w)
	return w.Flush()
}

// row writes to a tabwriter, which reports errors when flushed.
func row(w *tabwriter.Writer, format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }

func (r *Run) writeRefusals(w *tabwriter.Writer) {
	row(w, "\nresult\tcause\trequests\tfrom\tto\tmedian time\tmost at\n")
	for _, f := range first(r.Refusals()) {
		row(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s (%d)\n", f.Name, f.Cause, f.Count, seconds(f.First), seconds(f.Last), f.MedianDuration.Round(time.Millisecond), f.Router, f.AtRouter)
	}
}

func (r *Run) writeTokens(w *tabwriter.Writer) {
	row(w, "\naccount\tbudget\tfree\theld by writers\telsewhere\tstore empty from\texhausted\tbefore that\tunreachable\n")
	for _, a := range first(sortByRefusals(r.Tokens())) {
		t := a.History[len(a.History)-1]
		row(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", a.Account, t.Limit, share(t.Free, t.Limit), share(t.Held+t.Reserved, t.Limit),
			share(t.Elsewhere(), t.Limit), since(a.EmptySince), a.Exhausted, a.Early, a.Unreachable)
	}
}

func (r *Run) writeRouters(w *tabwriter.Writer) {
	row(w, "\nrouter\tstarts\tpauses\tlink full or free\tno descriptor\tstore lost\trefused for old knowledge\n")
	for _, router := range first(r.Routers()) {
		row(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", router.Name, router.Starts, router.Pauses, router.LinkLoadChanges, router.NoDescriptor, router.StoreLost, router.RefusedStale)
	}
}

// first returns the first rows of a table.
func first[T any](all []T) []T { return all[:min(len(all), maxRows)] }

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }

// since formats a time, or "never" if it is negative.
func since(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return seconds(d)
}

// share formats part/whole, or "-" if whole is 0.
func share(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", float64(part)/float64(whole))
}

package table_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

func twoRows() []table.RowRevision {
	return []table.RowRevision{
		{Row: table.Row{Account: "a", Target: "m", Site: "new", Weight: 30, Priority: 1}, Revision: 12},
		{Row: table.Row{Account: "a", Target: "m", Site: "old", Weight: 70, RatePerSecond: 0.5}, Revision: 345},
	}
}

func csvText(t *testing.T) string {
	t.Helper()
	var b bytes.Buffer
	if err := table.WriteCSV(&b, twoRows()); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestTruncatedCSVIsRejected checks that every truncated file is refused. Without an end
// mark, a file truncated between two lines read as a complete table, so that an edit with
// a base deleted the missing rows; a file truncated in its last number had another value.
func TestTruncatedCSVIsRejected(t *testing.T) {
	complete := strings.TrimRight(csvText(t), "\n")
	for n := range len(complete) {
		if rows, err := table.ReadCSV(strings.NewReader(complete[:n])); err == nil {
			t.Errorf("cut at %d, after %q: %d rows", n, complete[max(n-20, 0):n], len(rows))
		}
	}
	if rows, err := table.ReadCSV(strings.NewReader(complete)); err != nil || len(rows) != 2 {
		t.Errorf("whole: %+v, %v", rows, err)
	}
}

// TestCSVOfASpreadsheetIsRead checks files as spreadsheet programs save them: each line
// is padded to the number of columns and may end in CR LF.
func TestCSVOfASpreadsheetIsRead(t *testing.T) {
	lines := strings.Split(strings.TrimRight(csvText(t), "\n"), "\n")
	for i, l := range lines {
		lines[i] = l + strings.Repeat(",", len(table.Columns)-1-strings.Count(l, ","))
	}
	rows, err := table.ReadCSV(strings.NewReader(strings.Join(lines, "\r\n") + "\r\n"))
	if err != nil || len(rows) != 2 || rows[1] != twoRows()[1] {
		t.Errorf("%+v, %v", rows, err)
	}
}

// TestCSVErrorsNameTheLine checks that the error for a row with too few or too many
// columns names its line, and that rows after the end mark are refused.
func TestCSVErrorsNameTheLine(t *testing.T) {
	lines := strings.SplitAfter(csvText(t), "\n")
	for name, text := range map[string]string{
		"too few":        lines[0] + lines[1] + "a,m,x,1\n" + strings.Join(lines[3:], ""),
		"too many":       lines[0] + lines[1] + "a,m,x,1,0,0,0,0,9,9\n" + strings.Join(lines[3:], ""),
		"not a number":   lines[0] + lines[1] + "a,m,x,one,0,0,0,0,9\n" + strings.Join(lines[3:], ""),
		"empty revision": lines[0] + lines[1] + "a,m,x,1,0,0,0,0,\n" + strings.Join(lines[3:], ""),
	} {
		_, err := table.ReadCSV(strings.NewReader(text))
		if result.From(err).Code != result.BadRow || !strings.Contains(err.Error(), "line 3") {
			t.Errorf("%s: %v", name, err)
		}
	}
	if rows, err := table.ReadCSV(strings.NewReader(csvText(t) + lines[1])); err == nil {
		t.Errorf("rows behind the end: %+v", rows)
	}
}

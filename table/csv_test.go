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

func written(t *testing.T) string {
	t.Helper()
	var b bytes.Buffer
	if err := table.WriteCSV(&b, twoRows()); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestCutCSVIsNotATable: a file that was cut between two lines was the whole
// table, so that an edit with a base deleted the rows behind the cut, and one
// that was cut in its last number had another. Nothing in the file told its end.
func TestCutCSVIsNotATable(t *testing.T) {
	whole := strings.TrimRight(written(t), "\n")
	for n := range len(whole) {
		if rows, err := table.ReadCSV(strings.NewReader(whole[:n])); err == nil {
			t.Errorf("cut at %d, after %q: %d rows", n, whole[max(n-20, 0):n], len(rows))
		}
	}
	if rows, err := table.ReadCSV(strings.NewReader(whole)); err != nil || len(rows) != 2 {
		t.Errorf("whole: %+v, %v", rows, err)
	}
}

// TestCSVOfASpreadsheetIsRead: programs that save a table fill each line up to
// the number of columns, and may end lines in CR LF.
func TestCSVOfASpreadsheetIsRead(t *testing.T) {
	lines := strings.Split(strings.TrimRight(written(t), "\n"), "\n")
	for i, l := range lines {
		lines[i] = l + strings.Repeat(",", len(table.Columns)-1-strings.Count(l, ","))
	}
	rows, err := table.ReadCSV(strings.NewReader(strings.Join(lines, "\r\n") + "\r\n"))
	if err != nil || len(rows) != 2 || rows[1] != twoRows()[1] {
		t.Errorf("%+v, %v", rows, err)
	}
}

// TestCSVErrorsNameTheLine: a row of too few or too many columns is an error
// with its line, and so is a row behind the end.
func TestCSVErrorsNameTheLine(t *testing.T) {
	lines := strings.SplitAfter(written(t), "\n")
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
	if rows, err := table.ReadCSV(strings.NewReader(written(t) + lines[1])); err == nil {
		t.Errorf("rows behind the end: %+v", rows)
	}
}

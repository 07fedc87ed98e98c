package ctl

import (
	"errors"
	"io"
	"testing"

	"github.com/gaplink/gaplink/table"
)

var errFull = errors.New("no space left on device")

// fullWriter accepts room bytes; further writes fail with errFull.
type fullWriter struct{ room int }

func (f *fullWriter) Write(p []byte) (int, error) {
	n := min(f.room, len(p))
	f.room -= n
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}

// TestShortOutputIsAnError checks that incomplete output is an error. When a table could
// be written only in part, for example to a full disk, the command succeeded, and the
// part read as a complete table.
func TestShortOutputIsAnError(t *testing.T) {
	rows := []table.RowRevision{{Row: table.Row{Account: "a", Target: "m", Site: "new"}, Revision: 12}}
	text := func(w io.Writer) { _ = table.WriteCSV(w, rows) }
	for _, output := range []string{"text", "json"} {
		c := &client{output: output, out: &fullWriter{room: 50}}
		if err := c.show(rows, text); !errors.Is(err, errFull) {
			t.Errorf("%s: %v", output, err)
		}
	}
	c := &client{output: "text", out: &fullWriter{room: 50}}
	if err := c.show(rows, func(w io.Writer) { printLine(w, "%060d", 1); printLine(w, "more") }); !errors.Is(err, errFull) {
		t.Errorf("lines: %v", err)
	}
}

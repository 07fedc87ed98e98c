package ctl

import (
	"errors"
	"io"
	"testing"

	"github.com/gaplink/gaplink/table"
)

var errFull = errors.New("no space left on device")

// full takes a few bytes and then none.
type full struct{ room int }

func (f *full) Write(p []byte) (int, error) {
	n := min(f.room, len(p))
	f.room -= n
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}

// TestShortOutputIsAnError: a table of which a part could be written, to a full
// disk for example, ended the command as successful; the part was a table.
func TestShortOutputIsAnError(t *testing.T) {
	rows := []table.RowRevision{{Row: table.Row{Account: "a", Target: "m", Site: "new"}, Revision: 12}}
	text := func(w io.Writer) { _ = table.WriteCSV(w, rows) }
	for _, output := range []string{"text", "json"} {
		c := &client{output: output, out: &full{room: 50}}
		if err := c.show(rows, text); !errors.Is(err, errFull) {
			t.Errorf("%s: %v", output, err)
		}
	}
	c := &client{output: "text", out: &full{room: 50}}
	if err := c.show(rows, func(w io.Writer) { line(w, "%060d", 1); line(w, "more") }); !errors.Is(err, errFull) {
		t.Errorf("lines: %v", err)
	}
}

package logs_test

import (
	"errors"
	"testing"

	"github.com/gaplink/gaplink/logs"
)

// brokenOutput blocks its first write until released, and fails every write.
type brokenOutput struct{ release chan struct{} }

func (o brokenOutput) Write([]byte) (int, error) {
	<-o.release
	return 0, errors.New("broken pipe")
}

// TestFailedWriteCountsAllItsLines guards against lines that are lost without being counted: a
// failed write of a batch counted as one line.
func TestFailedWriteCountsAllItsLines(t *testing.T) {
	const lines = 50
	out := brokenOutput{make(chan struct{})}
	w := logs.NewWriter(out)
	for range lines {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	if err := w.Sync(); err != nil {
		t.Fatal(err)
	}
	if n := w.Dropped(); n != lines {
		t.Errorf("%d of %d lost lines were counted", n, lines)
	}
}

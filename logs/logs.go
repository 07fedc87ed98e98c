// Package logs writes structured log lines without ever making the process
// wait for them: lines go through a bounded queue, and what does not fit is
// counted and left out.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queued is how many lines may wait; at 300 bytes a line, 600 KB.
	queued = 2048
	// batch bounds the bytes of one write.
	batch = 32 << 10
	// sampleFirst lines of one kind a second are written whole, then one in
	// sampleThereafter. Only lines about requests that were served are sampled.
	sampleFirst      = 2
	sampleThereafter = 50
)

// Writer is a bounded, non-blocking zapcore.WriteSyncer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer over out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queued), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// flushWithin bounds the wait for queued lines at the end of the process.
const flushWithin = 200 * time.Millisecond

// Sync writes what is queued. It is called at the end of the process and gives
// up when the reader of the logs does not read.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(flushWithin)
	defer timer.Stop()
	select {
	case w.flush <- done:
	case <-timer.C:
		return nil
	}
	select {
	case <-done:
	case <-timer.C:
	}
	return nil
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case done := <-w.flush:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			close(done)
		}
	}
}

// write writes a line and those that wait behind it. An error has nowhere to
// be told; it counts as a line left out.
func (w *Writer) write(line []byte) {
	for len(line) < batch && len(w.lines) > 0 {
		line = append(line, <-w.lines...)
	}
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

// Loggers are the two loggers of a process.
type Loggers struct {
	// All writes every line.
	All *zap.Logger
	// Sampled writes a part of the lines; it is for requests that were served.
	Sampled *zap.Logger
}

// New returns JSON loggers over w.
func New(w *Writer, level zapcore.Level) Loggers {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)
	return Loggers{All: zap.New(core), Sampled: zap.New(sampled)}
}

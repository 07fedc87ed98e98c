// Package logs writes structured log lines without blocking the process: lines go
// through a bounded queue, and lines that do not fit are dropped and counted.
package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueCapacity is the number of lines in the queue: 600 KB at 300 bytes per line.
	queueCapacity = 2048
	// batchBytes is the size from which no further line is added to a write.
	batchBytes = 32 << 10
	// sampleFirst lines with the same level and message are written each second, then one in
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

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and drops the line if the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or whose write failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// flushTimeout bounds the wait for queued lines at process exit.
const flushTimeout = 200 * time.Millisecond

// Sync writes the queued lines. It is called at process exit and returns after a timeout if the
// reader of the logs is stalled.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timer := time.NewTimer(flushTimeout)
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

// write writes a line together with queued ones. An error cannot be logged, so all of them
// count as dropped, although some may have been written.
func (w *Writer) write(batch []byte) {
	lines := int64(1)
	for len(batch) < batchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
		lines++
	}
	if _, err := w.out.Write(batch); err != nil {
		w.dropped.Add(lines)
	}
}

// Loggers are the two loggers of a process.
type Loggers struct {
	// All writes every line.
	All *zap.Logger
	// Sampled writes a sample of the lines; it is for requests that were served.
	Sampled *zap.Logger
}

// New returns loggers that write JSON lines to w.
func New(w *Writer, level zapcore.Level) Loggers {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), w, level)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)
	return Loggers{All: zap.New(core), Sampled: zap.New(sampled)}
}

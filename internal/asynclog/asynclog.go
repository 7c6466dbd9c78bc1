// Package asynclog writes log lines without ever blocking the caller: lines
// wait in a bounded queue, and what does not fit, or exceeds the rate, is
// counted and dropped.
package asynclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a slow output: at 512 bytes a
	// line about 2 MB.
	queueLines = 4096
	// LinesPerSecond bounds the volume: four lines for each of the 100 requests
	// a second of an entry in a burst of four times the usual.
	LinesPerSecond = 400
	// burstLines lets a start or the loss of a failure domain be told in full:
	// some lines for each upstream within a second.
	burstLines = 8 * LinesPerSecond
	// batchBytes bounds one write to the output.
	batchBytes = 64 << 10
)

// Writer is a zapcore.WriteSyncer over an output.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	flush   chan chan struct{}

	mu      sync.Mutex
	dropped int
	failed  error
}

// New returns a writer with a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, limiter: rate.NewLimiter(LinesPerSecond, burstLines),
		queue: make(chan []byte, queueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// syncTimeout bounds Sync, so that a blocked output does not delay the end of
// the process.
const syncTimeout = 200 * time.Millisecond

// Sync waits a short time for the queued lines to be written.
func (w *Writer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(syncTimeout)
	select {
	case w.flush <- done:
	case <-timeout:
		return fmt.Errorf("log output did not accept %d lines", len(w.queue))
	}
	select {
	case <-done:
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.failed
	case <-timeout:
		return fmt.Errorf("log output did not accept %d lines", len(w.queue))
	}
}

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = w.gather(append(batch[:0], line...))
			w.write(batch)
		case done := <-w.flush:
			for len(w.queue) > 0 {
				batch = w.gather(batch[:0])
				w.write(batch)
			}
			close(done)
		}
	}
}

// gather adds the lines that wait, so that they share one write.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		default:
			return w.appendDropped(batch)
		}
	}
	return batch
}

func (w *Writer) appendDropped(batch []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	return batch
}

func (w *Writer) write(batch []byte) {
	if _, err := w.out.Write(batch); err != nil {
		w.mu.Lock()
		w.failed = err
		w.mu.Unlock()
	}
}

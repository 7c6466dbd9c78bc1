// Package asynclog writes log lines without blocking the caller. Lines wait in a
// bounded queue; lines that do not fit or exceed the rate limit are dropped and
// counted.
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
	// queueLines is the number of lines that can wait for a slow output, about
	// 2 MB at 512 bytes per line.
	queueLines = 4096
	// linesPerSecond is the rate limit. It allows four lines per request at 100
	// requests per second, which is four times the usual rate of an entry.
	linesPerSecond = 400
	// burstLines is the burst limit. It allows several lines per upstream within
	// a second, so that a start or the loss of a failure domain is logged in
	// full.
	burstLines = 8 * linesPerSecond
	// batchBytes is the size at which a batch of lines is written to the output.
	batchBytes = 64 << 10
)

// Writer is a zapcore.WriteSyncer that writes to an output in the background.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	flush   chan chan struct{}

	mu        sync.Mutex
	dropped   int
	lastError error
}

// New returns a writer and starts its goroutine, which runs until the process
// ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines),
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

// Dropped returns the number of dropped lines that the log does not report yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// syncTimeout bounds Sync, so that a blocked output does not delay the exit of
// the process.
const syncTimeout = 200 * time.Millisecond

// Sync waits up to syncTimeout for the queued lines to be written. It returns
// the latest write error.
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
		return w.lastError
	case <-timeout:
		return fmt.Errorf("log output did not accept %d lines", len(w.queue))
	}
}

func (w *Writer) run() {
	var batch []byte
	for {
		select {
		case line := <-w.queue:
			batch = w.fillBatch(append(batch[:0], line...))
			w.write(batch)
		case done := <-w.flush:
			for len(w.queue) > 0 {
				batch = w.fillBatch(batch[:0])
				w.write(batch)
			}
			close(done)
		}
	}
}

// fillBatch appends queued lines to batch, so that they share one write.
func (w *Writer) fillBatch(batch []byte) []byte {
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

// appendDropped appends a line with the number of dropped lines, if any, and
// resets it.
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
		w.lastError = err
		w.mu.Unlock()
	}
}

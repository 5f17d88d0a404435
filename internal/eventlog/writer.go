// Package eventlog writes the log of a process without ever blocking the code that logs: lines wait in a bounded queue, and
// lines that do not fit are dropped and counted.
package eventlog

import (
	"bytes"
	"io"
	"sync"
)

// maxQueued bounds the queue of lines to be written, in bytes.
const maxQueued = 1 << 20

// Writer queues lines and writes them in the background.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	queued  bytes.Buffer
	dropped int64
	closed  bool
	more    *sync.Cond
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out in the background.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, done: make(chan struct{})}
	w.more = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer: it queues one line, or drops it if the queue is full or the Writer is closed.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.queued.Len()+len(line) > maxQueued {
		w.dropped++
		return len(line), nil
	}
	w.queued.Write(line)
	w.more.Signal()
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes the queued lines and stops the background writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.more.Signal()
	w.mu.Unlock()
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for {
		w.mu.Lock()
		for w.queued.Len() == 0 && !w.closed {
			w.more.Wait()
		}
		batch.Reset()
		_, _ = w.queued.WriteTo(&batch)
		closed := w.closed
		w.mu.Unlock()
		_, _ = w.out.Write(batch.Bytes())
		if closed {
			return
		}
	}
}

// Package logs provides a logger that never blocks the request path: lines go to a bounded
// queue; when it is full, they are counted and dropped.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// queueSize limits the lines that wait to be written, and so their memory.
const queueSize = 2048

// New returns a logger that writes JSON lines to out.
func New(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000", DisableHTMLEscape: true})
	l.SetOutput(newQueue(out))
	return l
}

// Flush waits until all lines logged so far are written, or the time is over. Processes
// call it before they exit so that the last lines are not lost.
func Flush(l *logrus.Logger, within time.Duration) {
	q, ok := l.Out.(*queue)
	if !ok {
		return
	}
	timer := time.NewTimer(within)
	defer timer.Stop()
	done := make(chan struct{})
	select {
	case q.lines <- entry{written: done}:
	case <-timer.C:
		return
	}
	select {
	case <-done:
	case <-timer.C:
	}
}

// entry is a line, or a marker whose channel is closed once all lines before it are written.
type entry struct {
	line    []byte
	written chan struct{}
}

// queue is a non-blocking writer.
type queue struct {
	lines   chan entry
	dropped atomic.Uint64
	out     io.Writer
}

func newQueue(out io.Writer) *queue {
	q := &queue{lines: make(chan entry, queueSize), out: out}
	go q.run()
	return q
}

func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- entry{line: append([]byte(nil), line...)}:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes until the process ends. Write errors are ignored, as there is nowhere to report
// them.
func (q *queue) run() {
	for e := range q.lines {
		if e.written != nil {
			close(e.written)
			continue
		}
		_, _ = q.out.Write(e.line)
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "{\"level\":\"warning\",\"msg\":\"logs: lines dropped\",\"lines\":%d}\n", n)
		}
	}
}

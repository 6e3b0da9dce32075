// Package logs writes log lines without ever making the request path wait: lines
// go to a bounded queue, and those that find it full are counted and dropped.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// queued bounds the lines that wait for the output. At some 400 bytes a line they
// are about 1 MB, four seconds of a VM's busiest traffic.
const queued = 2048

// New returns a logger that writes JSON lines to out.
func New(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000", DisableHTMLEscape: true})
	l.SetOutput(newQueue(out))
	return l
}

// Flush waits until the lines written so far are on the output, or the time is over. A
// process calls it before it exits: its last lines tell how it ended.
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

// entry is a line, or a mark that is closed once all lines before it are written.
type entry struct {
	line    []byte
	written chan struct{}
}

// queue is a writer that never waits.
type queue struct {
	lines   chan entry
	dropped atomic.Uint64
	out     io.Writer
}

func newQueue(out io.Writer) *queue {
	q := &queue{lines: make(chan entry, queued), out: out}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- entry{line: append([]byte(nil), line...)}:
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes until the process ends. An output that cannot be written to takes no
// line about that either.
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

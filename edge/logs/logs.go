// Package logs writes log lines without ever making the request path wait: lines
// go to a bounded queue, and those that find it full are counted and dropped.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"

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

// queue is a writer that never waits.
type queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	out     io.Writer
}

func newQueue(out io.Writer) *queue {
	q := &queue{lines: make(chan []byte, queued), out: out}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// run writes until the process ends. An output that cannot be written to takes no
// line about that either.
func (q *queue) run() {
	for line := range q.lines {
		_, _ = q.out.Write(line)
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.out, "{\"level\":\"warning\",\"msg\":\"logs: lines dropped\",\"lines\":%d}\n", n)
		}
	}
}

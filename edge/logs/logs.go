// Package logs provides a logger that never blocks the request path: lines go to a bounded
// queue; when it is full, they are counted and dropped, lines to keep last.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueSize limits the lines that wait to be written, and so their memory.
	queueSize = 2048
	// ordinarySize is how many lines may wait when an ordinary one is added: the rest is for lines to keep.
	ordinarySize = queueSize * 3 / 4
)

// New returns a logger that writes JSON lines to out.
func New(out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetFormatter(&formatter{logrus.JSONFormatter{TimestampFormat: "15:04:05.000", DisableHTMLEscape: true}})
	l.SetOutput(newQueue(out))
	return l
}

// keptContext marks the lines to keep.
var keptContext = context.WithValue(context.Background(), keptKey{}, true)

type keptKey struct{}

// Keep returns an entry whose line is written before ordinary ones are when lines are dropped.
func Keep(e *logrus.Entry) *logrus.Entry { return e.WithContext(keptContext) }

// keptMark begins a line to keep on its way to the queue, which removes it.
const keptMark = '!'

// formatter marks the lines to keep, warnings and errors among them.
type formatter struct{ logrus.JSONFormatter }

// Format implements logrus.Formatter.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level > logrus.WarnLevel && (e.Context == nil || e.Context.Value(keptKey{}) == nil) {
		return f.JSONFormatter.Format(e)
	}
	if e.Buffer != nil {
		e.Buffer.WriteByte(keptMark)
		return f.JSONFormatter.Format(e)
	}
	line, err := f.JSONFormatter.Format(e)
	return append([]byte{keptMark}, line...), err
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

// Write implements io.Writer: it adds one line.
func (q *queue) Write(line []byte) (int, error) {
	written := len(line)
	kept := written > 0 && line[0] == keptMark
	if kept {
		line = line[1:]
	} else if len(q.lines) >= ordinarySize {
		q.dropped.Add(1)
		return written, nil
	}
	select {
	case q.lines <- entry{line: append([]byte(nil), line...)}:
	default:
		q.dropped.Add(1)
	}
	return written, nil
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

package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is let.
type blocked struct {
	let  chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
	done chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.let
	b.mu.Lock()
	defer b.mu.Unlock()
	n, err := b.text.Write(p)
	if strings.Contains(b.text.String(), "lines dropped") {
		select {
		case <-b.done:
		default:
			close(b.done)
		}
	}
	return n, err
}

// Nobody reads the log. Requests must not wait for it: lines are dropped, and the first
// line after that says how many.
func TestFullOutputDropsLines(t *testing.T) {
	out := &blocked{let: make(chan struct{}), done: make(chan struct{})}
	log := New(out)
	for range 2 * queued {
		log.Info("line")
	}
	close(out.let)
	<-out.done
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), `"lines":`) {
		t.Errorf("%.300s", out.text.String())
	}
}

// A process exits right after its last line. The line was still in the queue, so that
// the log did not tell how the process ended. An output that nobody reads must not keep
// the process from its end.
func TestFlushWritesTheLastLines(t *testing.T) {
	out := &blocked{let: make(chan struct{}), done: make(chan struct{})}
	log := New(out)
	log.Info("last")
	Flush(log, time.Millisecond)
	close(out.let)
	Flush(log, time.Minute)
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), "last") {
		t.Errorf("%.300s", out.text.String())
	}
}

package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// blockedWriter blocks all writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
	done    chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
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

// A blocked output must not block logging: lines are dropped and their number is logged.
func TestFullQueueDropsLines(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{}), done: make(chan struct{})}
	log := New(out)
	for range 2 * queueSize {
		log.Info("line")
	}
	close(out.unblock)
	<-out.done
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), `"lines":`) {
		t.Errorf("%.300s", out.text.String())
	}
}

// A flood of ordinary lines must not displace the lines of refused, failed or repeated requests.
func TestKeptLinesOutliveOrdinaryOnes(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{}), done: make(chan struct{})}
	log := New(out)
	for range 2 * queueSize {
		log.Info("ordinary")
	}
	const kept = queueSize - ordinarySize - 1
	for range kept {
		Keep(logrus.NewEntry(log)).Info("kept")
	}
	log.Info("ordinary")
	close(out.unblock)
	<-out.done
	Flush(log, time.Minute)
	out.mu.Lock()
	defer out.mu.Unlock()
	lines := strings.Split(out.text.String(), "\n")
	n := 0
	for _, line := range lines {
		if strings.Contains(line, `"msg":"kept"`) {
			n++
		}
		if line != "" && line[0] != '{' {
			t.Errorf("%q is no JSON", line)
		}
	}
	if n != kept {
		t.Errorf("%d of %d lines kept", n, kept)
	}
}

// Flush must write the last lines before the process exits, and must not hang on a blocked
// output.
func TestFlushWritesTheLastLines(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{}), done: make(chan struct{})}
	log := New(out)
	log.Info("last")
	Flush(log, time.Millisecond)
	close(out.unblock)
	Flush(log, time.Minute)
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.Contains(out.text.String(), "last") {
		t.Errorf("%.300s", out.text.String())
	}
}

package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
)

const (
	terminalEvery = 500 * time.Millisecond
	plainEvery    = 5 * time.Second
	clearLine     = "\r\033[K"
)

// progress writes live lines: one line that is rewritten on a terminal, plain
// lines elsewhere.
type progress struct {
	out      io.Writer
	terminal bool
	mu       sync.Mutex
}

func newProgress(out io.Writer, terminal bool) *progress {
	return &progress{out: out, terminal: terminal}
}

// line writes a line that stays.
func (p *progress) line(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, clearLine)
	}
	fmt.Fprintf(p.out, format+"\n", args...)
}

// watch shows counts until the returned function is called.
func (p *progress) watch(recorder *check.Recorder, duration time.Duration) (stop func()) {
	every := plainEvery
	if p.terminal {
		every = terminalEvery
	}
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		began := time.Now()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				p.counts(recorder, time.Since(began), duration)
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}

func (p *progress) counts(recorder *check.Recorder, elapsed, duration time.Duration) {
	var ran, notRun, unknown int
	for _, told := range recorder.Told() {
		switch told.Outcome {
		case result.Ran:
			ran++
		case result.NotRun:
			notRun++
		default:
			unknown++
		}
	}
	text := fmt.Sprintf("%3.0f s of %.0f s: %d ran, %d not run, %d unknown",
		elapsed.Seconds(), duration.Seconds(), ran, notRun, unknown)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminal {
		fmt.Fprint(p.out, clearLine, text)
		return
	}
	fmt.Fprintln(p.out, text)
}

// Package lib has the stand-ins that the review's cases share.
package lib

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run, with the milliseconds since its start.
type Record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates a record's file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Write adds a line.
func (r *Record) Write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f "+format+"\n", append([]any{float64(time.Since(r.began).Microseconds()) / 1000}, values...)...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// collectThresholdBytes is the length above which a body of known length is
	// collected here rather than in the parser, which would buffer it twice.
	collectThresholdBytes = 64 << 10
	// bodyBufferBytes is the size of the buffers of a collected body.
	bodyBufferBytes = 64 << 10
	// stallTimeout bounds the wait for the rest of a body after its request was
	// dispatched, in addition to Reservation.LeadTime.
	stallTimeout = 2 * time.Second
)

// Errors of Body.At.
var (
	// ErrBodyStalled reports that the rest of a body did not arrive in time.
	ErrBodyStalled = errors.New("ingress: timed out waiting for the rest of the request body")
	// ErrBodyAborted reports that the client closed the connection, or the
	// request was answered, before the body was complete.
	ErrBodyAborted = errors.New("ingress: request body aborted before it was complete")
)

// Body is a request body collected in memory. Its request may be dispatched
// before the body is complete. All bytes are kept until the request ends, so
// that it can be sent again. Body is safe for concurrent use.
type Body struct {
	length    int64
	startedAt time.Time

	mu       sync.Mutex
	buffers  [][]byte
	received int64
	// completedAt is when the last byte arrived; At gives up at stallDeadline.
	completedAt, stallDeadline time.Time
	// changed is closed when bytes arrive or the body is aborted; nil without
	// waiters.
	changed chan struct{}
	// aborted makes write discard further bytes.
	aborted bool
	// readOffset is the position of Read.
	readOffset int64
}

func newBody(length int64) *Body { return &Body{length: length, startedAt: time.Now()} }

// write consumes the body's bytes at the front of data and returns their
// number.
func (b *Body) write(data []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	data = data[:min(int64(len(data)), b.length-b.received)]
	if b.aborted {
		return len(data)
	}
	for left := data; len(left) > 0; {
		left = left[b.appendBuffer(left):]
	}
	if b.received == b.length {
		b.completedAt = time.Now()
	}
	b.notifyLocked()
	return len(data)
}

// appendBuffer copies data to the last buffer, or to a new one, and returns the
// number of bytes copied. Bytes that readers may hold are never modified.
func (b *Body) appendBuffer(data []byte) int {
	last := len(b.buffers) - 1
	if last < 0 || len(b.buffers[last]) == cap(b.buffers[last]) {
		b.buffers = append(b.buffers, make([]byte, 0, min(bodyBufferBytes, b.length-b.received)))
		last++
	}
	buf := b.buffers[last]
	n := min(len(data), cap(buf)-len(buf))
	b.buffers[last] = append(buf, data[:n]...)
	b.received += int64(n)
	return n
}

// readyForDispatch reports whether the request should be dispatched: the body
// is complete, or at least half of it has arrived and the rest is expected
// within leadTime at the same rate.
func (b *Body) readyForDispatch(leadTime time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := b.length - b.received
	if rest == 0 {
		return true
	}
	if rest > b.received || b.aborted {
		return false
	}
	restTime := time.Since(b.startedAt).Seconds() * float64(rest) / float64(b.received)
	return restTime <= leadTime.Seconds()
}

// setStallDeadline sets when At stops waiting for the rest.
func (b *Body) setStallDeadline(deadline time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stallDeadline = deadline
}

// abort discards the rest of the body and reports whether the body was
// complete.
func (b *Body) abort() (complete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.received == b.length {
		return true
	}
	b.aborted = true
	b.buffers = nil
	b.notifyLocked()
	return false
}

// isAborted reports whether the body was aborted before it was complete.
func (b *Body) isAborted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
}

// notifyLocked wakes all waiters. The caller holds mu.
func (b *Body) notifyLocked() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Buffers returns the buffers and whether the body is complete.
func (b *Body) Buffers() ([][]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffers, b.received == b.length
}

// CompletedAt returns when the last byte arrived, and whether it has.
func (b *Body) CompletedAt() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.completedAt, b.received == b.length
}

// At returns the bytes available from an offset, which the caller must not
// modify, and blocks until there is at least one. It returns io.EOF after the
// last byte, ErrBodyStalled, ErrBodyAborted or the context's error.
func (b *Body) At(ctx context.Context, offset int64) ([]byte, error) {
	for {
		data, changed, err := b.availableFrom(offset)
		if err != nil || len(data) > 0 {
			return data, err
		}
		if err := b.wait(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// availableFrom returns the bytes available from an offset, or a channel that
// is closed when the state changes.
func (b *Body) availableFrom(offset int64) (data []byte, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.aborted:
		return nil, nil, ErrBodyAborted
	case offset >= b.length:
		return nil, nil, io.EOF
	case offset < b.received:
		return b.buffers[offset/bodyBufferBytes][offset%bodyBufferBytes:], nil, nil
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return nil, b.changed, nil
}

func (b *Body) wait(ctx context.Context, changed <-chan struct{}) error {
	b.mu.Lock()
	stall := time.NewTimer(time.Until(b.stallDeadline))
	b.mu.Unlock()
	defer stall.Stop()
	select {
	case <-changed:
		return nil
	case <-stall.C:
		return ErrBodyStalled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements io.Reader. It must not be called concurrently.
func (b *Body) Read(p []byte) (int, error) {
	data, err := b.At(context.Background(), b.readOffset)
	n := copy(p, data)
	b.readOffset += int64(n)
	return n, err
}

// Close implements io.Closer. The server discards unread bytes.
func (b *Body) Close() error { return nil }

// requestState belongs to one request, from its first byte.
type requestState struct {
	// startedAt is when the request line was received.
	startedAt   time.Time
	reservation Reservation
	// body is set if it is collected outside the parser.
	body *Body
}

func (s requestState) release() {
	if s.reservation.Release != nil {
		s.reservation.Release()
	}
}

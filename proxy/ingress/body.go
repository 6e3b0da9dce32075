package ingress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// collectOverBytes is the length from which on a body of known length is
	// collected here instead of by the parser, which would hold it twice.
	collectOverBytes = 64 << 10
	// pieceBytes is the length of a collected body's pieces.
	pieceBytes = 64 << 10
	// stallTime is how long the rest of a body may take once its request was
	// handed over, beyond Reservation.Ahead.
	stallTime = 2 * time.Second
)

// Errors of Body.At.
var (
	// ErrBodyStalled tells that the rest of a body did not come in time.
	ErrBodyStalled = errors.New("ingress: the body's rest did not come in time")
	// ErrBodyAborted tells that the body ended before it was whole: its caller has
	// gone, or the request was answered.
	ErrBodyAborted = errors.New("ingress: the body ended before it was whole")
)

// Body is a collected request body. Its request may be handed over before it is
// whole. Every byte is kept until the request has ended, so that the request
// can be sent again. It is safe for use by several goroutines.
type Body struct {
	length int64
	began  time.Time

	mu      sync.Mutex
	pieces  [][]byte
	arrived int64
	// wholeAt is when the last byte came, stallAt when At gives up.
	wholeAt, stallAt time.Time
	// more is closed when bytes come or the body ends, while somebody waits.
	more chan struct{}
	// ended tells that bytes that come are dropped.
	ended bool
	// next is where Read goes on.
	next int64
}

func newBody(length int64) *Body { return &Body{length: length, began: time.Now()} }

// add takes the body's bytes from the front of data and returns how many.
func (b *Body) add(data []byte) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	data = data[:min(int64(len(data)), b.length-b.arrived)]
	if b.ended {
		return len(data)
	}
	for left := data; len(left) > 0; {
		left = left[b.addToLast(left):]
	}
	if b.arrived == b.length {
		b.wholeAt = time.Now()
	}
	b.wake()
	return len(data)
}

// addToLast fills the last piece, or a new one, and returns how many bytes it
// took. Readers hold slices of what was there before, which stays as it is.
func (b *Body) addToLast(data []byte) int {
	last := len(b.pieces) - 1
	if last < 0 || len(b.pieces[last]) == cap(b.pieces[last]) {
		b.pieces = append(b.pieces, make([]byte, 0, min(pieceBytes, b.length-b.arrived)))
		last++
	}
	piece := b.pieces[last]
	n := min(len(data), cap(piece)-len(piece))
	b.pieces[last] = append(piece, data[:n]...)
	b.arrived += int64(n)
	return n
}

// due reports whether the request is to be handed over: the body is whole, or
// half of it has come and the rest will within ahead at the same rate.
func (b *Body) due(ahead time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	rest := b.length - b.arrived
	if rest == 0 {
		return true
	}
	if rest > b.arrived || b.ended {
		return false
	}
	restTime := time.Since(b.began).Seconds() * float64(rest) / float64(b.arrived)
	return restTime <= ahead.Seconds()
}

// limit bounds how long At waits for the rest.
func (b *Body) limit(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stallAt = until
}

// end drops what comes from now on and reports whether the body was whole.
func (b *Body) end() (whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrived == b.length {
		return true
	}
	b.ended = true
	b.pieces = nil
	b.wake()
	return false
}

// hasEnded reports whether the body ended before it was whole.
func (b *Body) hasEnded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// wake is called with the lock held.
func (b *Body) wake() {
	if b.more != nil {
		close(b.more)
		b.more = nil
	}
}

// Buffers returns the whole body, or false if it is not whole yet.
func (b *Body) Buffers() ([][]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pieces, b.arrived == b.length
}

// CompletedAt returns when the last byte came, or false if the body is not whole.
func (b *Body) CompletedAt() (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wholeAt, b.arrived == b.length
}

// At returns bytes of the body from an offset on, which are only to be read,
// and waits for the first of them. Errors: io.EOF after the last byte,
// ErrStalled, ErrEnded, or the context's.
func (b *Body) At(ctx context.Context, offset int64) ([]byte, error) {
	for {
		data, more, err := b.from(offset)
		if err != nil || len(data) > 0 {
			return data, err
		}
		if err := b.wait(ctx, more); err != nil {
			return nil, err
		}
	}
}

// from returns what is there from an offset on, or what tells of more.
func (b *Body) from(offset int64) (data []byte, more <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.ended:
		return nil, nil, ErrBodyAborted
	case offset >= b.length:
		return nil, nil, io.EOF
	case offset < b.arrived:
		return b.pieces[offset/pieceBytes][offset%pieceBytes:], nil, nil
	}
	if b.more == nil {
		b.more = make(chan struct{})
	}
	return nil, b.more, nil
}

func (b *Body) wait(ctx context.Context, more <-chan struct{}) error {
	b.mu.Lock()
	stall := time.NewTimer(time.Until(b.stallAt))
	b.mu.Unlock()
	defer stall.Stop()
	select {
	case <-more:
		return nil
	case <-stall.C:
		return ErrBodyStalled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read implements io.Reader for one goroutine.
func (b *Body) Read(p []byte) (int, error) {
	data, err := b.At(context.Background(), b.next)
	n := copy(p, data)
	b.next += int64(n)
	return n, err
}

// Close implements io.Closer. What is left is the server's to drop.
func (b *Body) Close() error { return nil }

// taken is what belongs to one request from its first byte on.
type taken struct {
	// began is when the request's first line was there.
	began       time.Time
	reservation Reservation
	// body is set if it is collected outside of the parser.
	body *Body
}

func (t taken) release() {
	if t.reservation.Release != nil {
		t.reservation.Release()
	}
}

// Package kept holds, at one node and for a short time, the answers to requests
// with an idempotency key, so that a caller whose answer was lost gets it when
// it sends the request again.
package kept

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// Defaults of Options.
const (
	DefaultRetention        = 10 * time.Minute
	DefaultMaxResponseBytes = 16 << 10
)

// Options configure a Store. Zero values take the defaults, but for Bytes.
type Options struct {
	// MaxBytes bounds what is kept of requests that have ended, in sum. The oldest
	// go first.
	MaxBytes int64
	// MaxResponseBytes bounds one answer, head and body; a larger one is not kept.
	MaxResponseBytes int64
	// Retention is how long an answer is kept at most. It must be below the time for
	// which keys are recorded: an answer must not be given for a key that may be
	// used anew.
	Retention time.Duration
}

// Store holds requests by their keys, those in hand and those that ended. It is
// safe for use by several goroutines.
type Store struct {
	options Options

	mu      sync.Mutex
	entries map[keys.Key]*Entry
	// ended holds the requests that ended in the order of their ends; bytes is
	// their size in sum.
	ended []*Entry
	bytes int64
}

// Entry is one request with a key.
type Entry struct {
	// Fingerprint is the request's that made the entry.
	Fingerprint Fingerprint

	key keys.Key
	// done is closed when the request has ended; what follows is then fixed.
	done    chan struct{}
	dropped bool
	answer  *Response
	size    int64
	until   time.Time
}

// New returns an empty store.
func New(o Options) *Store {
	option.Default(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	option.Default(&o.Retention, DefaultRetention)
	return &Store{options: o, entries: make(map[keys.Key]*Entry)}
}

// Begin returns the entry of a key and whether this request made it. The one
// that did must call End or Drop; any other must look at the entry's Print
// before it uses its answer.
func (s *Store) Begin(key keys.Key, print Fingerprint) (entry *Entry, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(time.Now())
	if old := s.entries[key]; old != nil {
		return old, false
	}
	entry = &Entry{Fingerprint: print, key: key, done: make(chan struct{})}
	s.entries[key] = entry
	return entry, true
}

// Find returns the entry of a key, or nil.
func (s *Store) Find(key keys.Key) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trim(time.Now())
	return s.entries[key]
}

// End tells that the request ran or may have run. A nil answer, or one that is
// too large, is not kept; the request's print still is.
func (s *Store) End(entry *Entry, answer *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.size = entryBytes + int64(len(entry.key.Text))
	if answer != nil {
		if size := sizeOf(answer); size <= s.options.MaxResponseBytes {
			entry.answer = copied(answer)
			entry.size += size
		}
	}
	now := time.Now()
	entry.until = now.Add(s.options.Retention)
	s.ended = append(s.ended, entry)
	s.bytes += entry.size
	close(entry.done)
	s.trim(now)
}

// Drop tells that the request certainly did not run, or that it is not the one
// that its key stands for: nothing is known of the key any more.
func (s *Store) Drop(entry *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.dropped = true
	close(entry.done)
	delete(s.entries, entry.key)
}

// Bytes returns the size of what is kept.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// trim forgets what is too old or too much. It is called with the lock held.
func (s *Store) trim(now time.Time) {
	for len(s.ended) > 0 {
		oldest := s.ended[0]
		if s.bytes <= s.options.MaxBytes && now.Before(oldest.until) {
			return
		}
		s.ended[0] = nil
		s.ended = s.ended[1:]
		s.bytes -= oldest.size
		delete(s.entries, oldest.key)
	}
}

// Wait returns once the entry's request has ended: its answer, nil if there is
// none, or dropped if nothing is known of the key any more. Error: the context's.
func (e *Entry) Wait(ctx context.Context) (answer *Response, dropped bool, err error) {
	select {
	case <-e.done:
		return e.answer, e.dropped, nil
	default:
	}
	select {
	case <-e.done:
		return e.answer, e.dropped, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

// Package kept caches the responses to requests with an idempotency key at one
// node for a short time, so that a caller that lost a response receives it when it
// repeats the request.
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

// Options configures a Store. Zero values take the defaults, except for MaxBytes.
type Options struct {
	// MaxBytes bounds the total size of the entries of ended requests. The oldest
	// are evicted first.
	MaxBytes int64
	// MaxResponseBytes bounds the header and body of one response; larger ones are
	// not stored.
	MaxResponseBytes int64
	// Retention is the maximum age of a response. It must be below the retention of
	// recorded keys, so that no response is returned for a key that is valid again.
	Retention time.Duration
}

// Store holds the requests in flight and those that ended recently, by key. It is
// safe for concurrent use.
type Store struct {
	options Options

	mu      sync.Mutex
	entries map[keys.Key]*Entry
	// ended holds the ended requests, oldest first; bytes is their total size.
	ended []*Entry
	bytes int64
}

// Entry is one request with a key.
type Entry struct {
	// Fingerprint is that of the request that created the entry.
	Fingerprint Fingerprint

	key keys.Key
	// done is closed when the request has ended; the fields below are then
	// immutable.
	done     chan struct{}
	dropped  bool
	response *Response
	size     int64
	expires  time.Time
}

// New returns an empty store.
func New(o Options) *Store {
	option.Default(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	option.Default(&o.Retention, DefaultRetention)
	return &Store{options: o, entries: make(map[keys.Key]*Entry)}
}

// Begin returns the entry of a key and whether this request created it. The request
// that did must call End or Drop; any other must compare the entry's Fingerprint
// with its own before it uses the response.
func (s *Store) Begin(key keys.Key, fingerprint Fingerprint) (entry *Entry, first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(time.Now())
	if existing := s.entries[key]; existing != nil {
		return existing, false
	}
	entry = &Entry{Fingerprint: fingerprint, key: key, done: make(chan struct{})}
	s.entries[key] = entry
	return entry, true
}

// Find returns the entry of a key, or nil.
func (s *Store) Find(key keys.Key) *Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(time.Now())
	return s.entries[key]
}

// End records that the request ran or may have run. A response that is nil or too
// large is not stored, but the entry with its fingerprint is.
func (s *Store) End(entry *Entry, response *Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.size = entryOverhead + int64(len(entry.key.Text))
	if response != nil {
		if size := sizeOf(response); size <= s.options.MaxResponseBytes {
			entry.response = clone(response)
			entry.size += size
		}
	}
	now := time.Now()
	entry.expires = now.Add(s.options.Retention)
	s.ended = append(s.ended, entry)
	s.bytes += entry.size
	close(entry.done)
	s.evict(now)
}

// Drop removes the entry of a request that definitely did not run or that was not
// the one recorded under its key.
func (s *Store) Drop(entry *Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry.dropped = true
	close(entry.done)
	delete(s.entries, entry.key)
}

// Bytes returns the total size of the entries of ended requests.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// evict removes expired entries and the oldest ones above MaxBytes. It must be
// called with mu held.
func (s *Store) evict(now time.Time) {
	for len(s.ended) > 0 {
		oldest := s.ended[0]
		if s.bytes <= s.options.MaxBytes && now.Before(oldest.expires) {
			return
		}
		s.ended[0] = nil
		s.ended = s.ended[1:]
		s.bytes -= oldest.size
		delete(s.entries, oldest.key)
	}
}

// Wait waits until the request of the entry has ended. It returns its response, nil
// if none was stored, and whether the entry was dropped, or the context's error.
func (e *Entry) Wait(ctx context.Context) (response *Response, dropped bool, err error) {
	select {
	case <-e.done:
		return e.response, e.dropped, nil
	default:
	}
	select {
	case <-e.done:
		return e.response, e.dropped, nil
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

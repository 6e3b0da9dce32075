package changelog

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/store"
)

// Defaults of Options.
const (
	DefaultCacheBytes = 16 << 20
	DefaultTries      = 100
	defaultPause      = 5 * time.Millisecond
	maxPause          = 250 * time.Millisecond
)

// Options configures a Log. The zero value is usable.
type Options struct {
	// Guard is shared with the Source of the same process.
	Guard *Guard
	// Now is the clock for records.
	Now func() time.Time
	// CacheBytes bounds the documents kept in memory.
	CacheBytes int
	// Tries bounds the compare-and-swaps of one change.
	Tries int
	// Seed makes the pauses between tries differ between nodes.
	Seed uint64
}

// Log reads and changes templates and accounts. It is safe for use by several
// goroutines and several processes.
type Log struct {
	kv      store.KV
	guard   *Guard
	now     func() time.Time
	objects *objects
	memory  memory
	tries   int

	mu     sync.Mutex
	random *rand.Rand
	// turns lets the changes of one template made through this process take
	// turns, so that they do not conflict with each other.
	turns map[string]chan struct{}
}

// New returns a log over the store.
func New(kv store.KV, options Options) *Log {
	if options.Guard == nil {
		options.Guard = NewGuard()
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	option.Default(&options.CacheBytes, DefaultCacheBytes)
	option.Default(&options.Tries, DefaultTries)
	return &Log{
		kv:      kv,
		guard:   options.Guard,
		now:     options.Now,
		objects: newObjects(kv, options.CacheBytes),
		tries:   options.Tries,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		turns:   map[string]chan struct{}{},
	}
}

// Guard returns the guard, to be shared with other readers of the heads.
func (l *Log) Guard() *Guard { return l.guard }

// headAt is a head and the store's revision of its key, 0 when the key does
// not exist.
type headAt struct {
	*Head
	revision store.Revision
}

// readHead returns the head, an empty one when there is none yet. Errors:
// store.ErrUnavailable, WentBackError.
func (l *Log) readHead(ctx context.Context, template string) (headAt, error) {
	before := l.guard.Seen(template)
	entry, err := l.kv.Get(ctx, headKey(template))
	at := headAt{Head: newHead(), revision: entry.Revision}
	switch {
	case errors.Is(err, store.ErrNotFound):
		at.revision = 0
	case err != nil:
		return headAt{}, err
	default:
		if at.Head, err = DecodeHead(entry.Value); err != nil {
			return headAt{}, err
		}
	}
	if err := l.guard.Admit(template, before, at.Sighting()); err != nil {
		return headAt{}, err
	}
	if at.revision != 0 {
		l.Remember(template, at.Head)
	}
	return at, nil
}

// pause waits before the next try, longer with each one, and reports false
// when the context ended.
func (l *Log) pause(ctx context.Context, try int) bool {
	longest := min(defaultPause<<min(try, 8), maxPause)
	l.mu.Lock()
	d := time.Duration(l.random.Int64N(int64(longest)))
	l.mu.Unlock()
	return wait.For(ctx, d)
}

// takeTurn waits for the template's turn and returns the function that ends
// it. Errors: the context's.
func (l *Log) takeTurn(ctx context.Context, template string) (func(), error) {
	l.mu.Lock()
	turn := l.turns[template]
	if turn == nil {
		turn = make(chan struct{}, 1)
		l.turns[template] = turn
	}
	l.mu.Unlock()
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

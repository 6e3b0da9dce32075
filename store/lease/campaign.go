package lease

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// session is a lease granted by the service and the record to write under it.
type session struct {
	id     store.LeaseID
	sentAt instant
	record []byte
	token  string
	term   *term
}

// campaign makes one attempt to acquire the key: it waits until the key is
// free, obtains a lease and writes the record. It returns false when the
// attempt failed and the caller should retry.
func (e *Election) campaign(ctx context.Context) (*session, bool) {
	if !e.waitUntilFree(ctx) {
		return nil, false
	}
	s, err := e.openSession(ctx)
	if err != nil {
		e.backOff(ctx)
		return nil, false
	}
	epoch, err := e.acquire(ctx, s)
	if err != nil {
		e.release(ctx, s.id)
		e.backOff(ctx)
		return nil, false
	}
	s.term = newTerm(epoch, e.clock, e.validity(), s.sentAt)
	return s, true
}

// waitUntilFree reports whether the key was seen to be free.
//
// When the history after the record's revision has been compacted, the watch is
// reset. The next watch then starts at the service's current revision, since
// watching from the record's revision again would retry in a tight loop. The
// key is read again before each watch, so that no deletion is missed.
func (e *Election) waitUntilFree(ctx context.Context) bool {
	after := store.Revision(0)
	for resets := 0; ctx.Err() == nil; resets++ {
		if resets > 1 {
			e.backOff(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, e.callTimeout())
		entry, err := e.options.KV.Get(callCtx, e.options.Key)
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			return true
		}
		if err != nil {
			e.backOff(ctx)
			return false
		}
		at, free, err := e.watchUntilFree(ctx, max(after, entry.Revision))
		if err != nil {
			e.backOff(ctx)
			return false
		}
		if free {
			return true
		}
		after = at
	}
	return false
}

// watchUntilFree watches the key until it is deleted or the watch is reset. at
// is the service's revision at that time.
func (e *Election) watchUntilFree(ctx context.Context, after store.Revision) (at store.Revision, free bool, err error) {
	for {
		batch, err := e.options.KV.Watch(ctx, e.options.Key, after)
		if err != nil {
			return 0, false, err
		}
		if batch.Reset {
			return batch.At, false, nil
		}
		if removed(batch, e.options.Key) {
			return batch.At, true, nil
		}
		after = batch.At
	}
}

func removed(batch store.Batch, key string) bool {
	for i := len(batch.Events) - 1; i >= 0; i-- {
		if batch.Events[i].Entry.Key == key {
			return batch.Events[i].Deleted
		}
	}
	return false
}

func (e *Election) openSession(ctx context.Context) (*session, error) {
	token := newToken()
	text, err := encodeRecord(record{Token: token, Value: e.options.Value})
	if err != nil {
		return nil, err
	}
	sent := e.clock.now()
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	id, err := e.options.KV.Grant(ctx, e.options.TTL)
	if err != nil {
		return nil, err
	}
	return &session{id: id, sentAt: sent, record: text, token: token}, nil
}

var errHeldByOther = errors.New("lease: key is held by another candidate")

// acquire writes the record and returns the revision of that write.
//
// When the response is lost, the write may have been applied, may be applied
// later, or never. The key is read back, and the token tells whether it is this
// session's write. If the key does not exist or cannot be read, the same write
// is sent again. Every copy expects the key not to exist, so only the first to
// arrive is applied. A copy that arrives after the lease ended is refused, since
// it is bound to that lease.
func (e *Election) acquire(ctx context.Context, s *session) (epoch uint64, err error) {
	for ctx.Err() == nil && e.leaseTrusted(s) {
		revision, err := e.write(ctx, s)
		if err == nil {
			return uint64(revision), nil
		}
		if errors.Is(err, store.ErrLeaseGone) {
			return 0, err
		}
		epoch, err := e.readBack(ctx, s)
		if err == nil || errors.Is(err, errHeldByOther) {
			return epoch, err
		}
		e.backOff(ctx)
	}
	return 0, store.ErrUnknown
}

func (e *Election) write(ctx context.Context, s *session) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	return e.options.KV.Swap(ctx, e.options.Key, s.record, 0, s.id)
}

// readBack returns the revision of this session's write, errHeldByOther when
// the key holds another token, or another error while the outcome is unknown.
func (e *Election) readBack(ctx context.Context, s *session) (epoch uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	entry, err := e.options.KV.Get(ctx, e.options.Key)
	if err != nil {
		return 0, err
	}
	found, err := decodeRecord(entry.Value)
	if err != nil || found.Token != s.token {
		return 0, errHeldByOther
	}
	return uint64(entry.Revision), nil
}

// leaseTrusted reports whether the session's lease may still be relied on.
func (e *Election) leaseTrusted(s *session) bool {
	return elapsed(s.sentAt, e.clock.now()) < e.validity()
}

package lease

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// session is one lease at the service, and the record to be written under it.
type session struct {
	id     store.LeaseID
	sent   instant
	record []byte
	token  string
	term   *term
}

// campaign makes one attempt to take the key: it waits until the key is free,
// makes a lease and writes the record. ok is false when the key was not taken;
// the caller tries again.
func (e *Election) campaign(ctx context.Context) (*session, bool) {
	if !e.awaitFree(ctx) {
		return nil, false
	}
	s, err := e.open(ctx)
	if err != nil {
		e.pause(ctx)
		return nil, false
	}
	epoch, err := e.take(ctx, s)
	if err != nil {
		e.release(ctx, s.id)
		e.pause(ctx)
		return nil, false
	}
	s.term = newTerm(epoch, e.watch, e.safeFor(), s.sent)
	return s, true
}

// awaitFree returns true when the key was seen free.
//
// Guard against a loop without a pause: a record that was written longer ago than
// the service keeps changes cannot be watched from its own revision, and every
// candidate that comes reads and watches again at once, hundreds of thousands of
// times a second. The guard holds because the next watch begins where the service
// said it is; the key is read after that, so that no removal is missed.
func (e *Election) awaitFree(ctx context.Context) bool {
	after := store.Revision(0)
	for resets := 0; ctx.Err() == nil; resets++ {
		if resets > 1 {
			e.pause(ctx)
		}
		callCtx, cancel := context.WithTimeout(ctx, e.callTimeout())
		entry, err := e.options.KV.Get(callCtx, e.options.Key)
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			return true
		}
		if err != nil {
			e.pause(ctx)
			return false
		}
		at, free, err := e.watchFree(ctx, max(after, entry.Revision))
		if err != nil {
			e.pause(ctx)
			return false
		}
		if free {
			return true
		}
		after = at
	}
	return false
}

// watchFree watches the key until it is removed, or until the service no longer
// has the changes after a revision: then it returns where the service is.
func (e *Election) watchFree(ctx context.Context, after store.Revision) (at store.Revision, free bool, err error) {
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

func (e *Election) open(ctx context.Context) (*session, error) {
	token := newToken()
	text, err := encodeRecord(record{Token: token, Value: e.options.Value})
	if err != nil {
		return nil, err
	}
	sent := e.watch.now()
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	id, err := e.options.KV.Grant(ctx, e.options.TTL)
	if err != nil {
		return nil, err
	}
	return &session{id: id, sent: sent, record: text, token: token}, nil
}

// errTaken tells that another candidate holds the key.
var errTaken = errors.New("lease: key taken")

// take writes the record and returns the revision of that write.
//
// A lost answer leaves three cases: the write took effect, it never will, or
// it will later. Reading back tells the first from the others by the token.
// In the others the write is sent again with the same token and the same
// expectation, that the key does not exist: whichever of the copies takes
// effect first, the key holds our token at that copy's revision, and the
// other copies conflict. A copy that arrives after the lease has ended is
// refused by the service, as it is bound to that lease.
func (e *Election) take(ctx context.Context, s *session) (epoch uint64, err error) {
	for ctx.Err() == nil && e.fresh(s) {
		revision, err := e.write(ctx, s)
		if err == nil {
			return uint64(revision), nil
		}
		if errors.Is(err, store.ErrLeaseGone) {
			return 0, err
		}
		epoch, err := e.readBack(ctx, s)
		if err == nil || errors.Is(err, errTaken) {
			return epoch, err
		}
		e.pause(ctx)
	}
	return 0, store.ErrUnknown
}

func (e *Election) write(ctx context.Context, s *session) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	return e.options.KV.Swap(ctx, e.options.Key, s.record, 0, s.id)
}

// readBack returns the revision of our write, errTaken when another holds the
// key, or another error while the outcome is not known.
func (e *Election) readBack(ctx context.Context, s *session) (epoch uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.callTimeout())
	defer cancel()
	entry, err := e.options.KV.Get(ctx, e.options.Key)
	if err != nil {
		return 0, err
	}
	found, err := decodeRecord(entry.Value)
	if err != nil || found.Token != s.token {
		return 0, errTaken
	}
	return uint64(entry.Revision), nil
}

// fresh reports whether the lease just made may still be trusted.
func (e *Election) fresh(s *session) bool {
	return elapsed(s.sent, e.watch.now()) < e.safeFor()
}

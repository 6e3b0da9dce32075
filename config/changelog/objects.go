package changelog

import (
	"container/list"
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// writeTries bounds the attempts to write an immutable key.
const writeTries = 5

// objects reads and writes immutable documents and keeps the last ones used.
type objects struct {
	kv       store.KV
	maxBytes int

	mu    sync.Mutex
	bytes int
	// order holds cached objects, the one used last at the front.
	order  *list.List
	byHash map[string]*list.Element
}

type cachedObject struct {
	hash string
	text []byte
}

func newObjects(kv store.KV, maxBytes int) *objects {
	return &objects{kv: kv, maxBytes: maxBytes, order: list.New(), byHash: map[string]*list.Element{}}
}

// read returns a document's text. Errors: store.ErrUnavailable, or that the
// store does not have the document or has another one under its name.
func (o *objects) read(ctx context.Context, hash string) ([]byte, error) {
	if text, ok := o.cached(hash); ok {
		return text, nil
	}
	entry, err := o.kv.Get(ctx, objectKey(hash))
	if err != nil {
		return nil, errors.Wrap(err, "changelog: read document "+hash)
	}
	if Hash(entry.Value) != hash {
		return nil, errors.Errorf("changelog: document %s does not have the content of its name", hash)
	}
	o.keep(hash, entry.Value)
	return entry.Value, nil
}

// write stores a document. After it returned nil the document can be read. It
// does so also for a document that this process has read before: the store may
// have lost it by a restore, and a head that names it would be unreadable.
func (o *objects) write(ctx context.Context, hash string, text []byte) error {
	if err := writeOnce(ctx, o.kv, objectKey(hash), text); err != nil {
		return err
	}
	o.keep(hash, text)
	return nil
}

// rewrite stores a kept document again. The error tells that it is not kept.
func (o *objects) rewrite(ctx context.Context, hash string) error {
	text, ok := o.cached(hash)
	if !ok {
		return errors.Errorf("changelog: document %s is not kept on this node", hash)
	}
	return writeOnce(ctx, o.kv, objectKey(hash), text)
}

// writeOnce writes a key that has the same value whoever writes it. A lost
// answer needs no care beyond writing again: the key then exists, and a late
// write meets a conflict.
func writeOnce(ctx context.Context, kv store.KV, key string, value []byte) error {
	var err error
	for range writeTries {
		_, err = kv.Swap(ctx, key, value, 0, 0)
		if err == nil || store.IsConflict(err) {
			return nil
		}
		if !errors.Is(err, store.ErrUnknown) {
			return err
		}
	}
	return err
}

func (o *objects) cached(hash string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	element := o.byHash[hash]
	if element == nil {
		return nil, false
	}
	o.order.MoveToFront(element)
	return element.Value.(*cachedObject).text, true
}

func (o *objects) keep(hash string, text []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byHash[hash] != nil {
		return
	}
	o.byHash[hash] = o.order.PushFront(&cachedObject{hash: hash, text: text})
	o.bytes += len(text)
	for o.bytes > o.maxBytes && o.order.Len() > 1 {
		oldest := o.order.Remove(o.order.Back()).(*cachedObject)
		delete(o.byHash, oldest.hash)
		o.bytes -= len(oldest.text)
	}
}

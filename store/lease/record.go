package lease

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// record is the stored value of the key.
type record struct {
	// Token is random for each lease and identifies the holder's own write.
	Token string `json:"token"`
	// Value is Options.Value of the holder.
	Value []byte `json:"value"`
}

// Holder is the holder of a key as read from the service.
type Holder struct {
	Value []byte
	// Epoch is the revision of the write that acquired the key.
	Epoch uint64
}

// Lookup reads the holder of the key. It returns store.ErrNotFound when there is none.
func Lookup(ctx context.Context, kv store.KV, key string) (Holder, error) {
	entry, err := kv.Get(ctx, key)
	if err != nil {
		return Holder{}, err
	}
	found, err := decodeRecord(entry.Value)
	if err != nil {
		return Holder{}, err
	}
	return Holder{Value: found.Value, Epoch: uint64(entry.Revision)}, nil
}

func newToken() string {
	return uuid.NewString()
}

func encodeRecord(r record) ([]byte, error) {
	text, err := json.Marshal(r)
	return text, errors.Wrap(err, "lease: encode record")
}

func decodeRecord(text []byte) (record, error) {
	var r record
	err := json.Unmarshal(text, &r)
	return r, errors.Wrap(err, "lease: decode record")
}

package spread

import (
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// Limits of an item. A body may exceed the store's value size, because an
// account is expanded from a template and parameters that are stored
// separately.
const (
	MaxKeyBytes  = 1 << 10
	MaxBodyBytes = 3 << 20
)

// chunkBytes is the size of items after which a message is closed.
const chunkBytes = 256 << 10

// itemOverheadBytes is the encoded size of an item without key and body.
const itemOverheadBytes = 40

// validate rejects an item that cannot be sent to peers.
func validate(key string, body []byte) error {
	if key == "" || len(key) > MaxKeyBytes || !utf8.ValidString(key) {
		return errors.Errorf("spread: key %q is empty, too long or not UTF-8", key)
	}
	if len(body) > MaxBodyBytes {
		return errors.Errorf("spread: item %s has %d bytes, at most %d are permitted", key, len(body), MaxBodyBytes)
	}
	if content.IsKey(key) && !content.Matches(key, body) {
		return errors.Errorf("spread: content does not match the hash in its key %s", key)
	}
	return nil
}

func toProto(it item.Item) *peerpb.Item {
	return &peerpb.Item{Version: versionOf(it), Body: it.Body, Deleted: it.Deleted}
}

func versionOf(it item.Item) *peerpb.Version {
	return &peerpb.Version{Key: it.Key, Epoch: it.Epoch, Sequence: it.Sequence, Sum: it.Sum}
}

// fromProto decodes an item and recomputes its sum, because the sender's sum is
// not trusted.
func fromProto(p *peerpb.Item) (item.Item, error) {
	v := p.GetVersion()
	if err := validate(v.GetKey(), p.GetBody()); err != nil {
		return item.Item{}, err
	}
	body := p.GetBody()
	if content.IsKey(v.GetKey()) {
		return item.New(v.GetKey(), 0, 0, body), nil
	}
	if p.GetDeleted() {
		body = nil
	} else if body == nil {
		body = []byte{}
	}
	return item.New(v.GetKey(), v.GetEpoch(), v.GetSequence(), body), nil
}

// chunks splits items into messages of bounded size.
func chunks(items []item.Item) [][]*peerpb.Item {
	var out [][]*peerpb.Item
	var part []*peerpb.Item
	size := 0
	for _, it := range items {
		if size >= chunkBytes {
			out = append(out, part)
			part, size = nil, 0
		}
		part = append(part, toProto(it))
		size += len(it.Key) + len(it.Body) + itemOverheadBytes
	}
	if len(part) > 0 {
		out = append(out, part)
	}
	return out
}

package exchange

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Counts are requests in flight by the key of their target, see placing.TargetKey. A
// listener tells those of all targets, so they are sent as bytes: the sorted keys,
// each as its distance to the one before, with its count. That takes a third of a map.
type Counts map[uint32]int

var errCounts = errors.New("exchange: counts not understood")

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c Counts) EncodeMsgpack(enc *msgpack.Encoder) error { return enc.EncodeBytes(c.pack()) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Counts) DecodeMsgpack(dec *msgpack.Decoder) error {
	text, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*c, err = unpack(text)
	return err
}

func (c Counts) pack() []byte {
	keys := make([]uint32, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	text, last := []byte{}, uint32(0)
	for _, key := range keys {
		text = binary.AppendUvarint(text, uint64(key-last))
		text = binary.AppendUvarint(text, uint64(max(0, c[key])))
		last = key
	}
	return text
}

func unpack(text []byte) (Counts, error) {
	c, last := make(Counts), uint64(0)
	for len(text) > 0 {
		step, n := binary.Uvarint(text)
		if n <= 0 {
			return nil, errCounts
		}
		count, m := binary.Uvarint(text[n:])
		if m <= 0 {
			return nil, errCounts
		}
		last += step
		if last > 1<<32-1 || count > 1<<31-1 {
			return nil, errCounts
		}
		c[uint32(last)] = int(count)
		text = text[n+m:]
	}
	return c, nil
}

package exchange

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Counts are requests in flight by the key of their target, see placing.TargetKey. They are encoded
// compactly, as an aggregator sends those of all targets: the sorted keys as differences, each
// with its count, as unsigned varints, which takes a third of a map.
type Counts map[uint32]int

var errMalformedCounts = errors.New("exchange: malformed counts")

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c Counts) EncodeMsgpack(enc *msgpack.Encoder) error { return enc.EncodeBytes(c.encode()) }

// DecodeMsgpack implements msgpack.CustomDecoder.
func (c *Counts) DecodeMsgpack(dec *msgpack.Decoder) error {
	data, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	*c, err = decodeCounts(data)
	return err
}

func (c Counts) encode() []byte {
	keys := make([]uint32, 0, len(c))
	for key := range c {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	data, last := []byte{}, uint32(0)
	for _, key := range keys {
		data = binary.AppendUvarint(data, uint64(key-last))
		data = binary.AppendUvarint(data, uint64(max(0, c[key])))
		last = key
	}
	return data
}

func decodeCounts(data []byte) (Counts, error) {
	c, last := make(Counts), uint64(0)
	for len(data) > 0 {
		delta, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, errMalformedCounts
		}
		count, m := binary.Uvarint(data[n:])
		if m <= 0 {
			return nil, errMalformedCounts
		}
		last += delta
		if last > 1<<32-1 || count > 1<<31-1 {
			return nil, errMalformedCounts
		}
		c[uint32(last)] = int(count)
		data = data[n+m:]
	}
	return c, nil
}

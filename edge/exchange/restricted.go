package exchange

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Restricted is demand in slots that may run in some regions only, by service and by set of regions,
// see regionplan.Set. For each service it is encoded compactly as an aggregator sends that of all regions:
// the sorted sets, each with its demand in units of demandUnit, as unsigned varints, which takes a fourth
// of a map.
type Restricted map[string]map[uint32]float64

// demandUnit is the precision of restricted demand in reports, in slots.
const demandUnit = 0.01

var errMalformedRestricted = errors.New("exchange: malformed restricted demand")

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r Restricted) EncodeMsgpack(enc *msgpack.Encoder) error {
	if err := enc.EncodeMapLen(len(r)); err != nil {
		return err
	}
	for _, service := range slices.Sorted(maps.Keys(r)) {
		if err := enc.EncodeString(service); err != nil {
			return err
		}
		if err := enc.EncodeBytes(encodeSets(r[service])); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *Restricted) DecodeMsgpack(dec *msgpack.Decoder) error {
	services, err := dec.DecodeMapLen()
	if err != nil {
		return err
	}
	*r = make(Restricted)
	for range services {
		service, err := dec.DecodeString()
		if err != nil {
			return err
		}
		data, err := dec.DecodeBytes()
		if err != nil {
			return err
		}
		if (*r)[service], err = decodeSets(data); err != nil {
			return err
		}
	}
	return nil
}

func encodeSets(sets map[uint32]float64) []byte {
	data := []byte{}
	for _, set := range slices.Sorted(maps.Keys(sets)) {
		data = binary.AppendUvarint(data, uint64(set))
		data = binary.AppendUvarint(data, uint64(max(0, min(math.MaxUint32, math.Round(sets[set]/demandUnit)))))
	}
	return data
}

func decodeSets(data []byte) (map[uint32]float64, error) {
	sets := make(map[uint32]float64)
	for len(data) > 0 {
		set, n := binary.Uvarint(data)
		if n <= 0 || set > math.MaxUint32 {
			return nil, errMalformedRestricted
		}
		units, m := binary.Uvarint(data[n:])
		if m <= 0 || units > math.MaxUint32 {
			return nil, errMalformedRestricted
		}
		sets[uint32(set)] = float64(units) * demandUnit
		data = data[n+m:]
	}
	return sets, nil
}

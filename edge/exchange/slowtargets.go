package exchange

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

// SlowTargets are targets that are slow at this moment. Each takes slowTargetBytes: the three bytes of its
// key, the pace and the age.
type SlowTargets []targetload.Slow

const (
	slowTargetBytes = 5
	// paceUnit and ageUnit are what one byte counts in. Higher values are encoded as the highest one.
	paceUnit = 0.05
	ageUnit  = 10 * time.Millisecond
)

var errMalformedSlowTargets = errors.New("exchange: malformed slow targets")

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s SlowTargets) EncodeMsgpack(enc *msgpack.Encoder) error {
	data := make([]byte, 0, slowTargetBytes*len(s))
	for _, t := range s {
		// The age is rounded up, so that a VM does not take its own statement for a newer one.
		age := (t.Age + ageUnit - 1) / ageUnit
		data = append(data, byte(t.Key>>16), byte(t.Key>>8), byte(t.Key),
			byte(min(max(math.Round(t.Pace/paceUnit), 0), math.MaxUint8)), byte(min(max(age, 0), math.MaxUint8)))
	}
	return enc.EncodeBytes(data)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *SlowTargets) DecodeMsgpack(dec *msgpack.Decoder) error {
	data, err := dec.DecodeBytes()
	if err != nil {
		return err
	}
	if len(data)%slowTargetBytes != 0 {
		return errMalformedSlowTargets
	}
	list := make(SlowTargets, 0, len(data)/slowTargetBytes)
	for ; len(data) > 0; data = data[slowTargetBytes:] {
		list = append(list, targetload.Slow{
			Key:  uint32(data[0])<<16 | uint32(data[1])<<8 | uint32(data[2]),
			Pace: float64(data[3]) * paceUnit, Age: time.Duration(data[4]) * ageUnit,
		})
	}
	*s = list
	return nil
}

package workingset

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// rateUnit is the unit in which rates are sent, per second, and busyUnit that of busy times.
	rateUnit = 0.01
	busyUnit = time.Millisecond
	// maxRate and maxInFlight bound what is believed of one VM or region, so that a damaged message does
	// not close a region: far more than the largest deployment has.
	maxRate     = 1e7
	maxInFlight = 1 << 20
	maxNumber   = 1 << 48
)

var errMalformed = errors.New("workingset: malformed message")

// RankLoad is the load of one rank of a scope.
type RankLoad struct {
	Scope ScopeID
	Rank  int
	Load
}

// EncodeLoads encodes loads for a report: 4 bytes for the scope, 1 for the rank, and varints.
func EncodeLoads(loads []RankLoad) []byte {
	var data []byte
	for _, l := range loads {
		data = binary.BigEndian.AppendUint32(data, uint32(l.Scope))
		data = append(data, byte(l.Rank))
		data = binary.AppendUvarint(data, uint64(max(0, l.Arrivals/rateUnit+0.5)))
		data = binary.AppendUvarint(data, uint64(max(0, l.Answered/rateUnit+0.5)))
		data = binary.AppendUvarint(data, uint64(max(0, l.Busy/busyUnit)))
		data = binary.AppendUvarint(data, uint64(max(0, l.Shortest/busyUnit)))
		data = binary.AppendUvarint(data, uint64(max(0, l.InFlight)))
	}
	return data
}

// DecodeLoads decodes the loads of a report. It returns an error if they are damaged or implausible.
func DecodeLoads(data []byte) (loads []RankLoad, err error) {
	r := reader{data: data}
	for len(r.data) > 0 && !r.failed {
		l := RankLoad{Scope: ScopeID(r.uint32()), Rank: int(r.byte())}
		l.Arrivals, l.Answered = float64(r.uvarint(maxRate/rateUnit))*rateUnit, float64(r.uvarint(maxRate/rateUnit))*rateUnit
		l.Busy = time.Duration(r.uvarint(maxRate*1000)) * busyUnit
		l.Shortest = time.Duration(r.uvarint(maxRate)) * busyUnit
		l.InFlight = int(r.uvarint(maxInFlight))
		if l.Rank >= Ranks {
			r.failed = true
		}
		loads = append(loads, l)
	}
	if r.failed {
		return nil, errMalformed
	}
	return loads, nil
}

// fractionUnits is the number of units of a fraction in a message, which takes 2 bytes.
const fractionUnits = math.MaxUint16

// Encode encodes a message: the names, 4 bytes for the start, and 7 bytes for each limited rank.
func (m Message) Encode() []byte {
	data := appendString(nil, m.Region)
	data = appendString(data, m.Decider)
	data = binary.AppendUvarint(data, m.Number)
	data = binary.BigEndian.AppendUint32(data, uint32(m.Start*math.MaxUint32))
	for scope, f := range m.Scopes {
		for rank, fraction := range f {
			if fraction >= 1 {
				continue
			}
			data = binary.BigEndian.AppendUint32(data, uint32(scope))
			data = append(data, byte(rank))
			// Never rounds a fraction to 0.
			data = binary.BigEndian.AppendUint16(data, uint16(max(1, fraction*fractionUnits)))
		}
	}
	return data
}

// DecodeMessage decodes a message. It returns an error if it is damaged.
func DecodeMessage(data []byte) (Message, error) {
	r := reader{data: data}
	m := Message{Region: r.string(), Decider: r.string(), Number: r.uvarint(maxNumber), Scopes: make(map[ScopeID]Fractions)}
	m.Start = float64(r.uint32()) / math.MaxUint32
	for len(r.data) > 0 && !r.failed {
		scope, rank, fraction := ScopeID(r.uint32()), int(r.byte()), r.uint16()
		if rank >= Ranks || fraction == 0 {
			r.failed = true
			break
		}
		f, known := m.Scopes[scope]
		if !known {
			f = AllAdmitted()
		}
		f[rank] = float64(fraction) / fractionUnits
		m.Scopes[scope] = f
	}
	if r.failed || m.Region == "" || m.Decider == "" {
		return Message{}, errMalformed
	}
	return m, nil
}

func appendString(data []byte, s string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(s))), s...)
}

// reader takes values from the front of data. After a failure all values are 0.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || n > len(r.data) {
		r.failed = true
		return make([]byte, min(n, 8))
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

// uvarint takes an integer, and fails if it is more than limit.
func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) string() string {
	n := r.uvarint(math.MaxUint8)
	return string(r.take(int(n)))
}

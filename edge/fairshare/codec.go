package fairshare

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxParts bounds the accounts in a message and maxWork the work of one, so that a damaged message
	// neither takes much memory nor overflows a sum.
	maxParts = MaxAccounts
	maxWork  = 1_000_000 * time.Second
)

var errMalformed = errors.New("fairshare: malformed message")

// Encode encodes parts that are ordered by service and region: for each such group both names and the
// number of accounts, and for each account 4 bytes of its hash and the work in milliseconds.
func Encode(parts []Part) []byte {
	var data []byte
	for len(parts) > 0 {
		n := 1
		for n < len(parts) && parts[n].Service == parts[0].Service && parts[n].Region == parts[0].Region {
			n++
		}
		data = appendString(data, parts[0].Service)
		data = appendString(data, parts[0].Region)
		data = binary.AppendUvarint(data, uint64(n))
		for _, p := range parts[:n] {
			data = binary.BigEndian.AppendUint32(data, p.Account)
			data = binary.AppendUvarint(data, uint64(min(max(0, p.Work), maxWork)/time.Millisecond))
		}
		parts = parts[n:]
	}
	return data
}

func appendString(data []byte, s string) []byte {
	s = s[:min(len(s), math.MaxUint8)]
	return append(append(data, byte(len(s))), s...)
}

// Decode decodes what Encode has encoded. It returns an error if that is damaged or implausible.
func Decode(data []byte) (parts []Part, err error) {
	for len(data) > 0 {
		var key Key
		var ok bool
		if key.Service, data, ok = takeString(data); !ok {
			return nil, errMalformed
		}
		if key.Region, data, ok = takeString(data); !ok {
			return nil, errMalformed
		}
		n, size := binary.Uvarint(data)
		if size <= 0 || n == 0 || n > uint64(maxParts-len(parts)) {
			return nil, errMalformed
		}
		data = data[size:]
		for range n {
			if len(data) < 4 {
				return nil, errMalformed
			}
			key.Account = binary.BigEndian.Uint32(data)
			work, size := binary.Uvarint(data[4:])
			if size <= 0 || work > uint64(maxWork/time.Millisecond) {
				return nil, errMalformed
			}
			parts = append(parts, Part{Key: key, Work: time.Duration(work) * time.Millisecond})
			data = data[4+size:]
		}
	}
	return parts, nil
}

func takeString(data []byte) (s string, rest []byte, ok bool) {
	if len(data) == 0 || int(data[0]) >= len(data) {
		return "", nil, false
	}
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:], true
}

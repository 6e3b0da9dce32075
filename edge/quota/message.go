package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

// request is a report of a VM to a coordinator.
type request struct {
	// vm and incarnation identify the sender and its start; sequence orders its reports.
	vm, incarnation, sequence uint64
	// group is the group of the accounts, among so many groups.
	group, groups int
	// transfer is set if the sender is a coordinator that asks for tokens of another region. It
	// has no entitlement, and each accountReport only says how many tokens are needed.
	transfer bool
	// received is the sequence number of the newest reply that the sender has received.
	received uint64
	// entitlement is the sender's share of all rates since its last report, in seconds.
	entitlement float64
	accounts    []accountReport
}

// accountReport is a VM's state of one account.
type accountReport struct {
	id uint32
	// held is the number of unused tokens, returned how many the VM gives back. needed is the
	// number of requests that wait for a token, wanted how many more tokens to hold in advance.
	held, needed, wanted, returned int
}

// reply answers the request with the same sequence number.
type reply struct {
	incarnation, sequence uint64
	group, groups         int
	// transfer is that of the request.
	transfer bool
	// leaving is set if the coordinator stops and VMs should use another one.
	leaving bool
	grants  []grant
}

// grant is the answer to one accountReport that needs or wants tokens.
type grant struct {
	id     uint32
	tokens int
	// wait is set if the account has no token left: when there will be one.
	wait time.Duration
	// unknown is set if the coordinator does not know the account.
	unknown bool
}

const (
	// maxAccountReports bounds the accounts of one report, so that it fits into a datagram.
	maxAccountReports = 600
	maxCount          = math.MaxUint16
	// entitlementUnit is the resolution of entitlements, in seconds.
	entitlementUnit = 1e-7

	flagLeaving  = 1
	flagTransfer = 2
	flagUnknown  = 1
)

var errMalformed = errors.New("quota: malformed message")

func (m *request) encode() []byte {
	b := make([]byte, 0, 32+8*len(m.accounts))
	b = binary.BigEndian.AppendUint64(b, m.vm)
	b = binary.BigEndian.AppendUint64(b, m.incarnation)
	b = binary.AppendUvarint(b, uint64(m.group))
	b = binary.AppendUvarint(b, uint64(m.groups))
	b = binary.AppendUvarint(b, m.sequence)
	b = binary.AppendUvarint(b, m.received)
	b = append(b, flag(m.transfer, flagTransfer))
	b = binary.AppendUvarint(b, uint64(m.entitlement/entitlementUnit))
	for _, a := range m.accounts {
		b = binary.BigEndian.AppendUint32(b, a.id)
		for _, n := range [...]int{a.held, a.needed, a.wanted, a.returned} {
			b = binary.AppendUvarint(b, uint64(min(max(0, n), maxCount)))
		}
	}
	return b
}

func decodeRequest(data []byte) (*request, error) {
	d := decoder{data: data}
	m := &request{
		vm: d.uint64(), incarnation: d.uint64(), group: d.count(), groups: d.count(), sequence: d.uvarint(), received: d.uvarint(),
		transfer: d.byte()&flagTransfer != 0,
	}
	m.entitlement = float64(d.uvarint()) * entitlementUnit
	for !d.done() && len(m.accounts) < maxAccountReports {
		m.accounts = append(m.accounts, accountReport{id: d.uint32(), held: d.count(), needed: d.count(), wanted: d.count(), returned: d.count()})
	}
	return m, d.err()
}

func (m *reply) encode() []byte {
	b := make([]byte, 0, 24+8*len(m.grants))
	b = binary.BigEndian.AppendUint64(b, m.incarnation)
	b = binary.AppendUvarint(b, uint64(m.group))
	b = binary.AppendUvarint(b, uint64(m.groups))
	b = binary.AppendUvarint(b, m.sequence)
	b = append(b, flag(m.leaving, flagLeaving)|flag(m.transfer, flagTransfer))
	for _, g := range m.grants {
		b = binary.BigEndian.AppendUint32(b, g.id)
		b = binary.AppendUvarint(b, uint64(min(max(0, g.tokens), maxCount)))
		b = binary.AppendUvarint(b, uint64(max(0, g.wait.Milliseconds())))
		b = append(b, flag(g.unknown, flagUnknown))
	}
	return b
}

func decodeReply(data []byte) (*reply, error) {
	d := decoder{data: data}
	m := &reply{incarnation: d.uint64(), group: d.count(), groups: d.count(), sequence: d.uvarint()}
	flags := d.byte()
	m.leaving, m.transfer = flags&flagLeaving != 0, flags&flagTransfer != 0
	for !d.done() && len(m.grants) < maxAccountReports {
		m.grants = append(m.grants, grant{
			id: d.uint32(), tokens: d.count(), wait: time.Duration(d.count()) * time.Millisecond, unknown: d.byte()&flagUnknown != 0,
		})
	}
	return m, d.err()
}

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

// decoder reads the fields of a message. After the first error it returns zeros.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) done() bool { return d.failed || len(d.data) == 0 }

func (d *decoder) err() error {
	if d.failed || len(d.data) > 0 {
		return errMalformed
	}
	return nil
}

func (d *decoder) take(n int) []byte {
	if d.failed || len(d.data) < n {
		d.failed = true
		return make([]byte, n)
	}
	field := d.data[:n]
	d.data = d.data[n:]
	return field
}

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }
func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) byte() byte     { return d.take(1)[0] }

func (d *decoder) uvarint() uint64 {
	n, size := binary.Uvarint(d.data)
	if d.failed || size <= 0 {
		d.failed = true
		return 0
	}
	d.data = d.data[size:]
	return n
}

func (d *decoder) count() int {
	n := d.uvarint()
	if n > maxCount {
		d.failed = true
		return 0
	}
	return int(n)
}

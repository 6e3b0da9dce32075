package ledger

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// ErrSuperseded means that the stored ledger has the reader's epoch or a newer
// one: another decider has taken over.
var ErrSuperseded = errors.New("ledger: superseded by a newer decider")

// Stamp identifies one write of a ledger.
type Stamp struct {
	Epoch, Write uint64
}

// DecodeStamp reads the stamp of a stored ledger. A writer that lost the
// response compares it with its own to learn whether the write took effect.
func DecodeStamp(value []byte) (Stamp, error) {
	record, err := parse(value)
	if err != nil {
		return Stamp{}, err
	}
	return Stamp{Epoch: record.Epoch, Write: record.Write}, nil
}

// Stamp returns the stamp of the last proposed write.
func (l *Ledger) Stamp() Stamp { return Stamp{Epoch: l.epoch, Write: l.writeNumber} }

func parse(value []byte) (*peerpb.LedgerRecord, error) {
	record := &peerpb.LedgerRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		return nil, errors.Wrap(err, "ledger: decode stored record")
	}
	return record, nil
}

func (l *Ledger) encode(removed map[grant.NodeID]bool, now time.Time) []byte {
	record := &peerpb.LedgerRecord{
		Epoch:          l.epoch,
		Write:          l.writeNumber,
		ConfigRevision: l.revision,
		Plan:           l.plan.Body,
		PlanSequence:   l.plan.Sequence,
	}
	for _, key := range l.keys {
		record.Keys = append(record.Keys, &peerpb.LedgerKey{Service: string(key.Service), Place: string(key.Place)})
	}
	regions := make(map[model.RegionName]uint32)
	for _, h := range l.order {
		if removed[h.node.ID] {
			continue
		}
		record.Nodes = append(record.Nodes, encodeNode(h.node, h.next, regions, record))
	}
	record.Moves = l.encodeMoves(now)
	value, err := proto.Marshal(record)
	if err != nil {
		// Only invalid UTF-8 in a name causes an error, and names are validated
		// on input.
		return nil
	}
	return value
}

func encodeNode(node Node, amounts []Amounts, regions map[model.RegionName]uint32, record *peerpb.LedgerRecord) *peerpb.LedgerNode {
	region, ok := regions[node.Region]
	if !ok {
		region = uint32(len(record.Regions))
		regions[node.Region] = region
		record.Regions = append(record.Regions, string(node.Region))
	}
	n := &peerpb.LedgerNode{
		Vm:          node.ID.VM,
		Incarnation: node.ID.Incarnation,
		Address:     node.Address,
		Region:      region,
		Listed:      node.ListSequence,
	}
	var floors, surpluses grant.Amount
	for _, a := range amounts {
		floors += a.Floor
		surpluses += a.Surplus
	}
	if floors > 0 {
		n.Floors = make([]uint64, len(amounts))
	}
	if surpluses > 0 {
		n.Surpluses = make([]uint64, len(amounts))
	}
	for k, a := range amounts {
		if floors > 0 {
			n.Floors[k] = uint64(a.Floor)
		}
		if surpluses > 0 {
			n.Surpluses[k] = uint64(a.Surplus)
		}
	}
	return n
}

// Load decodes a stored ledger for a new decider that takes over at now. Every
// surplus counts as in force for a full TTL from now, because the previous
// decider may have issued it until the end of its lease.
func Load(value []byte, params Params, epoch uint64, limits *Limits, now time.Time) (*Ledger, error) {
	record, err := parse(value)
	if err != nil {
		return nil, err
	}
	if record.Epoch >= epoch {
		return nil, ErrSuperseded
	}
	l := New(params, epoch, &Limits{})
	l.revision = record.ConfigRevision
	for _, key := range record.Keys {
		l.addKey(Key{Service: model.ServiceName(key.Service), Place: model.PlaceName(key.Place)})
	}
	l.SetLimits(limits)
	for _, n := range record.Nodes {
		if int(n.Region) >= len(record.Regions) {
			return nil, errors.Errorf("ledger: node %s has an invalid region index", n.Vm)
		}
		l.loadNode(n, model.RegionName(record.Regions[n.Region]), now)
	}
	l.loadMoves(record.Moves, now)
	l.plan = Plan{Body: record.Plan, Sequence: record.PlanSequence}
	return l, nil
}

func (l *Ledger) loadNode(n *peerpb.LedgerNode, region model.RegionName, now time.Time) {
	h := l.addNode(Node{
		ID:           grant.NodeID{VM: n.Vm, Incarnation: n.Incarnation},
		Region:       region,
		Address:      n.Address,
		ListSequence: n.Listed,
	})
	for k := range h.reserved {
		if k < len(n.Floors) {
			h.reserved[k].Floor = grant.Amount(n.Floors[k])
		}
		if k < len(n.Surpluses) {
			h.reserved[k].Surplus = grant.Amount(n.Surpluses[k])
		}
	}
	copy(h.older, h.reserved)
	copy(h.allowed, h.reserved)
	copy(h.wanted, h.reserved)
	h.olderUntil = now.Add(l.params.surplusTTLWithMargin())
	if l.params.Faults.DropSurplusOnTakeover {
		h.olderUntil = now
	}
	// The previous decider may have had contact with the node until just now.
	h.lastContact = now
}

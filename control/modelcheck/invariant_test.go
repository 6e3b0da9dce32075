package modelcheck

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// check verifies the limits for the load that all live processes would permit now,
// each by its own clock. Paused processes count because they may resume at any time.
func (w *world) check() {
	use := ledger.NewUsage()
	for _, p := range w.processes {
		if p.ended {
			continue
		}
		for _, key := range w.keys {
			use.Add(w.limits(), regionOf(p), key, p.allowed(key))
		}
	}
	for _, a := range use.Keys {
		w.peak = max(w.peak, a)
	}
	if err := use.Check(w.limits()); err != nil {
		w.fail("permitted load: %v", err)
	}
	if w.storedUsage == nil {
		return
	}
	if err := exceeded(use, w.storedUsage); err != "" {
		w.fail("permitted load exceeds the stored ledger: %s", err)
	}
}

func regionOf(p *process) model.RegionName { return model.RegionName(p.ref.Region) }

// limits returns the largest capacities of all revisions. checkRecord verifies that
// nothing is raised above a lowered capacity.
func (w *world) limits() *ledger.Limits { return w.maxLimits }

func decodeRecord(value []byte) *peerpb.LedgerRecord {
	record := &peerpb.LedgerRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		panic(err)
	}
	return record
}

func usageOf(record *peerpb.LedgerRecord, limits *ledger.Limits) *ledger.Usage {
	use := ledger.NewUsage()
	for _, n := range record.Nodes {
		for k, key := range record.Keys {
			name := ledger.Key{Service: model.ServiceName(key.Service), Place: model.PlaceName(key.Place)}
			sum := uint64(0)
			if k < len(n.Floors) {
				sum += n.Floors[k]
			}
			if k < len(n.Surpluses) {
				sum += n.Surpluses[k]
			}
			use.Add(limits, model.RegionName(record.Regions[n.Region]), name, ledger.AmountFromRPS(float64(sum)/1000))
		}
	}
	return use
}

// exceeded names a sum in use that exceeds the stored ledger, "" if there is none.
func exceeded(use, counted *ledger.Usage) string {
	for key, a := range use.Keys {
		if a > counted.Keys[key]+roundingSlack {
			return string(key.Place)
		}
	}
	for r, a := range use.Regions {
		if a > counted.Regions[r]+roundingSlack {
			return string(r)
		}
	}
	for r, a := range use.Links {
		if a > counted.Links[r]+roundingSlack {
			return "link into " + string(r)
		}
	}
	return ""
}

// roundingSlack allows for rounding when amounts are converted from requests per second.
const roundingSlack = 10

// checkRecord verifies a write of the ledger: neither its epoch nor its configuration
// is older, and nothing is raised above a capacity.
func (w *world) checkRecord(before, after []byte) {
	next := decodeRecord(after)
	w.storedUsage = usageOf(next, w.limits())
	w.terms = max(w.terms, next.Epoch)
	limits := ledger.NewLimits(w.accounts[min(int(next.ConfigRevision), len(w.accounts))-1])
	use := usageOf(next, limits)
	if len(before) == 0 {
		return
	}
	old := decodeRecord(before)
	if next.Epoch < old.Epoch {
		w.fail("write of epoch %d over epoch %d", next.Epoch, old.Epoch)
	}
	if next.ConfigRevision < old.ConfigRevision {
		w.fail("write by configuration %d over configuration %d", next.ConfigRevision, old.ConfigRevision)
	}
	previous := usageOf(old, limits)
	for key, a := range use.Keys {
		if a > max(limits.Capacity(key), previous.Keys[key])+roundingSlack {
			w.fail("raised %s above its capacity", key.Place)
		}
	}
	for r, a := range use.Regions {
		if a > max(limits.Region(r).Capacity, previous.Regions[r])+roundingSlack {
			w.fail("raised region %s above its capacity", r)
		}
	}
	for r, a := range use.Links {
		if a > max(limits.Region(r).LinkIn, previous.Links[r])+roundingSlack {
			w.fail("raised the link into %s above its capacity", r)
		}
	}
}

// movedShare is the share of traffic that a published plan moved.
type movedShare struct {
	at  time.Time
	ppm uint32
}

type planVersion struct{ epoch, sequence uint64 }

// recordPlan records a published plan and verifies the move cap over the last window,
// across deciders.
func (w *world) recordPlan(p *plan.Plan) {
	version := planVersion{p.Epoch, p.Sequence}
	if version.epoch < w.lastPlan.epoch || version.epoch == w.lastPlan.epoch && version.sequence <= w.lastPlan.sequence {
		return
	}
	w.lastPlan = version
	w.moved = append(w.moved, movedShare{at: w.now, ppm: w.largestMove(p)})
	moves := w.accounts[0].Moves
	sum := uint32(0)
	for _, m := range w.moved {
		if w.now.Sub(m.at) < moves.Window {
			sum += m.ppm
		}
	}
	if limit := uint32(moves.Share * plan.Whole); sum > limit {
		w.fail("moved %d ppm in a window, limit %d", sum, limit)
	}
}

// largestMove returns the largest share that a plan moves in any flow.
func (w *world) largestMove(p *plan.Plan) uint32 {
	var most uint32
	for _, f := range p.Flows {
		sum := uint32(0)
		for _, s := range f.Shares {
			name := string(f.Caller) + "/" + string(s.Place)
			old, known := w.shares[name]
			if known && s.PPM > old {
				sum += s.PPM - old
			}
			w.shares[name] = s.PPM
		}
		most = max(most, sum)
	}
	return most
}

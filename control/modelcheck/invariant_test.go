package modelcheck

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// check sums what the admissions of all processes that have not ended would
// permit now, each by its own clock. A paused one counts: it may go on at any
// moment.
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
		w.fail("permitted: %v", err)
	}
	if w.counted == nil {
		return
	}
	if err := within(use, w.counted); err != "" {
		w.fail("permitted more than the stored ledger counts: %s", err)
	}
}

func regionOf(p *process) model.RegionName { return model.RegionName(p.ref.Region) }

// limits are the largest capacities there ever were. After an operator lowered
// one, checkRecord watches that nothing is raised.
func (w *world) limits() *ledger.Limits { return w.largest }

// recordOf sums what a stored ledger counts.
func recordOf(value []byte) *peerpb.LedgerRecord {
	record := &peerpb.LedgerRecord{}
	if err := proto.Unmarshal(value, record); err != nil {
		panic(err)
	}
	return record
}

func useOf(record *peerpb.LedgerRecord, limits *ledger.Limits) *ledger.Usage {
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

// within names what passes the sums of the stored ledger, "" for nothing.
func within(use, counted *ledger.Usage) string {
	for key, a := range use.Keys {
		if a > counted.Keys[key]+slack {
			return string(key.Place)
		}
	}
	for r, a := range use.Regions {
		if a > counted.Regions[r]+slack {
			return string(r)
		}
	}
	for r, a := range use.Links {
		if a > counted.Links[r]+slack {
			return "link into " + string(r)
		}
	}
	return ""
}

// slack allows for rounding when amounts are summed as requests per second.
const slack = 10

// checkRecord watches the writes: a newer epoch or write number, a
// configuration that is not older, and nothing raised over a capacity.
func (w *world) checkRecord(before, after []byte) {
	next := recordOf(after)
	w.counted = useOf(next, w.limits())
	w.terms = max(w.terms, next.Epoch)
	limits := ledger.NewLimits(w.accounts[min(int(next.ConfigRevision), len(w.accounts))-1])
	use := useOf(next, limits)
	if len(before) == 0 {
		return
	}
	old := recordOf(before)
	if next.Epoch < old.Epoch {
		w.fail("a write of epoch %d over one of %d", next.Epoch, old.Epoch)
	}
	if next.ConfigRevision < old.ConfigRevision {
		w.fail("a write by configuration %d over one by %d", next.ConfigRevision, old.ConfigRevision)
	}
	previous := useOf(old, limits)
	for key, a := range use.Keys {
		if a > max(limits.Capacity(key), previous.Keys[key])+slack {
			w.fail("raised %s over its capacity", key.Place)
		}
	}
	for r, a := range use.Regions {
		if a > max(limits.Region(r).Capacity, previous.Regions[r])+slack {
			w.fail("raised region %s over its capacity", r)
		}
	}
	for r, a := range use.Links {
		if a > max(limits.Region(r).LinkIn, previous.Links[r])+slack {
			w.fail("raised the link into %s over its capacity", r)
		}
	}
}

// movedShare is a part of the traffic that a plan given out moved.
type movedShare struct {
	at  time.Time
	ppm uint32
}

type planVersion struct{ epoch, sequence uint64 }

// planned takes a plan that was given out and sums the moves of the last
// window, whoever decided them.
func (w *world) planned(p *plan.Plan) {
	version := planVersion{p.Epoch, p.Sequence}
	if version.epoch < w.lastPlan.epoch || version.epoch == w.lastPlan.epoch && version.sequence <= w.lastPlan.sequence {
		return
	}
	w.lastPlan = version
	w.moved = append(w.moved, movedShare{at: w.now, ppm: w.movedBy(p)})
	moves := w.accounts[0].Moves
	sum := uint32(0)
	for _, m := range w.moved {
		if w.now.Sub(m.at) < moves.Window {
			sum += m.ppm
		}
	}
	if limit := uint32(moves.Share * plan.Whole); sum > limit {
		w.fail("moved %d ppm in a window of %d", sum, limit)
	}
}

// movedBy is the largest part that a plan moves of any flow.
func (w *world) movedBy(p *plan.Plan) uint32 {
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

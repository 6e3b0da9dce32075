package spread

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

const (
	// surveyDepth is the deepest tree a survey goes down.
	surveyDepth = 5
	// surveyMargin is the part of its time that each level leaves to the one
	// above, so that a level with a node that hangs still answers for the rest.
	surveyMargin = 4
	// surveyAtOnce bounds the nodes that one node asks at a time.
	surveyAtOnce = 64
)

// NodeVersion tells which state of a key a node had when it answered.
type NodeVersion struct {
	VM          string
	Incarnation uint64
	// Has is false when it knew no state of the key.
	Has      bool
	Epoch    uint64
	Sequence uint64
	Sum      uint64
}

// VersionReport is the answer of the nodes that could be reached.
type VersionReport struct {
	Key string
	// Rows holds one row for each node that answered, sorted by VM.
	Rows []NodeVersion
	// Unreachable names listed VMs that did not answer in time; what they have
	// is not known.
	Unreachable []string
}

// QueryVersions asks all nodes for their state of a key: down the tree from the
// watchers, then those directly for whom nobody answered. It returns what it
// has when the context ends, at the latest after four heartbeats.
func (s *Service) QueryVersions(ctx context.Context, key string) VersionReport {
	ctx, cancel := context.WithTimeout(ctx, 4*s.options.Heartbeat)
	defer cancel()
	rows := newRowSet()
	rows.add(s.row(key))
	plan := s.plan.Load()
	first, done := shorter(ctx, 2)
	s.ask(first, plan.Watchers, key, surveyDepth, rows)
	done()
	s.ask(ctx, rows.missing(plan.Peers), key, 0, rows)
	return rows.survey(key, plan.Peers)
}

// Survey implements peerpb.SpreadServer.
func (v *server) Survey(ctx context.Context, req *peerpb.SurveyRequest) (*peerpb.SurveyResponse, error) {
	s := v.service
	rows := newRowSet()
	rows.add(s.row(req.GetKey()))
	if req.GetDepth() > 0 {
		depth := min(req.GetDepth(), surveyDepth) - 1
		below, done := shorter(ctx, surveyMargin)
		defer done()
		s.ask(below, s.below(), req.GetKey(), depth, rows)
	}
	return &peerpb.SurveyResponse{Rows: rows.list()}, nil
}

// below returns the subscribers that are not watchers: those are asked by the
// node that began the survey, and follow each other in a circle.
func (s *Service) below() []topology.Member {
	watchers := map[string]bool{}
	for _, m := range s.plan.Load().Watchers {
		watchers[m.VM] = true
	}
	var out []topology.Member
	for _, ref := range s.server.list() {
		if !watchers[ref.Vm] {
			out = append(out, topology.Member{VM: ref.Vm, Address: ref.PeerAddress})
		}
	}
	return out
}

// ask adds the answers of the members, many of them asked at once.
func (s *Service) ask(ctx context.Context, members []topology.Member, key string, depth uint32, rows *rowSet) {
	var wg sync.WaitGroup
	turns := make(chan struct{}, surveyAtOnce)
	for _, m := range members {
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			s.askOne(ctx, m, &peerpb.SurveyRequest{Key: key, Depth: depth}, rows)
		})
	}
	wg.Wait()
}

// askOne gives a node that asks no others one heartbeat, so that a few that
// hang leave time for the rest.
func (s *Service) askOne(ctx context.Context, m topology.Member, req *peerpb.SurveyRequest, rows *rowSet) {
	if req.Depth == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.options.Heartbeat)
		defer cancel()
	}
	client, err := s.client(m)
	if err != nil {
		return
	}
	if res, err := client.Survey(ctx, req); err == nil {
		rows.add(res.GetRows()...)
	}
}

// row is the node's own row. Of keys that InForce does not know of, a deletion is
// in force as soon as it arrives.
func (s *Service) row(key string) *peerpb.SurveyRow {
	it, ok := s.Snapshot().Get(key)
	row := &peerpb.SurveyRow{
		Vm:          s.options.Ref.Vm,
		Incarnation: s.options.Ref.Incarnation,
		Has:         ok,
		Epoch:       it.Epoch,
		Sequence:    it.Sequence,
		Sum:         it.Sum,
	}
	if s.options.ActiveVersion == nil {
		return row
	}
	used, known := s.options.ActiveVersion(key)
	if !known {
		return row
	}
	row.Has = used.Has
	if used.Epoch != it.Epoch || used.Sequence != it.Sequence {
		row.Epoch, row.Sequence, row.Sum = used.Epoch, used.Sequence, 0
	}
	return row
}

// shorter returns a context that ends one part of n before its parent.
func shorter(ctx context.Context, n int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	left := time.Until(deadline)
	return context.WithTimeout(ctx, left-left/time.Duration(n))
}

// rowSet gathers rows; of two lives of a VM the later one counts.
type rowSet struct {
	mu   sync.Mutex
	rows map[string]*peerpb.SurveyRow
}

func newRowSet() *rowSet { return &rowSet{rows: map[string]*peerpb.SurveyRow{}} }

func (r *rowSet) add(rows ...*peerpb.SurveyRow) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		old, ok := r.rows[row.GetVm()]
		if !ok || row.GetIncarnation() >= old.GetIncarnation() {
			r.rows[row.GetVm()] = row
		}
	}
}

func (r *rowSet) list() []*peerpb.SurveyRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*peerpb.SurveyRow, 0, len(r.rows))
	for _, row := range r.rows {
		out = append(out, row)
	}
	return out
}

func (r *rowSet) missing(members []topology.Member) []topology.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []topology.Member
	for _, m := range members {
		if _, ok := r.rows[m.VM]; !ok {
			out = append(out, m)
		}
	}
	return out
}

func (r *rowSet) survey(key string, members []topology.Member) VersionReport {
	out := VersionReport{Key: key}
	for _, row := range r.list() {
		out.Rows = append(out.Rows, NodeVersion{
			VM:          row.GetVm(),
			Incarnation: row.GetIncarnation(),
			Has:         row.GetHas(),
			Epoch:       row.GetEpoch(),
			Sequence:    row.GetSequence(),
			Sum:         row.GetSum(),
		})
	}
	for _, m := range r.missing(members) {
		out.Unreachable = append(out.Unreachable, m.VM)
	}
	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].VM < out.Rows[j].VM })
	sort.Strings(out.Unreachable)
	return out
}

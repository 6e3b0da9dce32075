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
	// maxQueryDepth bounds how many levels of the tree a version query
	// descends.
	maxQueryDepth = 5
	// queryTimeShare is the divisor n: each level reserves 1/n of its remaining
	// time for the level above, so that a hung node does not lose the answers
	// of the others.
	queryTimeShare = 4
	// maxConcurrentQueries bounds the concurrent queries of one node.
	maxConcurrentQueries = 64
)

// NodeVersion is the version of a key that a node had when it answered.
type NodeVersion struct {
	VM          string
	Incarnation uint64
	// Has is false when the node has no state of the key.
	Has      bool
	Epoch    uint64
	Sequence uint64
	Sum      uint64
}

// VersionReport holds the answers of all reachable nodes.
type VersionReport struct {
	Key string
	// Rows holds one row per node that answered, sorted by VM.
	Rows []NodeVersion
	// Unreachable lists the VMs that did not answer in time; their versions are
	// unknown.
	Unreachable []string
}

// QueryVersions asks all nodes for their version of a key: first down the tree
// from the watchers, then directly those that have not answered. It returns the
// answers received when the context ends or after four heartbeats.
func (s *Service) QueryVersions(ctx context.Context, key string) VersionReport {
	ctx, cancel := context.WithTimeout(ctx, 4*s.options.Heartbeat)
	defer cancel()
	rows := newRowSet()
	rows.add(s.ownVersion(key))
	plan := s.plan.Load()
	subCtx, done := withShorterDeadline(ctx, 2)
	s.query(subCtx, plan.Watchers, key, maxQueryDepth, rows)
	done()
	s.query(ctx, rows.missing(plan.Peers), key, 0, rows)
	return rows.report(key, plan.Peers)
}

// Survey implements peerpb.SpreadServer.
func (v *server) Survey(ctx context.Context, req *peerpb.SurveyRequest) (*peerpb.SurveyResponse, error) {
	s := v.service
	rows := newRowSet()
	rows.add(s.ownVersion(req.GetKey()))
	if req.GetDepth() > 0 {
		depth := min(req.GetDepth(), maxQueryDepth) - 1
		subCtx, done := withShorterDeadline(ctx, queryTimeShare)
		defer done()
		s.query(subCtx, s.nonWatcherSubscribers(), req.GetKey(), depth, rows)
	}
	return &peerpb.SurveyResponse{Rows: rows.list()}, nil
}

// nonWatcherSubscribers returns the subscribers that are not watchers. Watchers
// are queried by the originating node and subscribe to each other, so
// forwarding to them would loop.
func (s *Service) nonWatcherSubscribers() []topology.Member {
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

// query queries the members concurrently and adds their answers.
func (s *Service) query(ctx context.Context, members []topology.Member, key string, depth uint32, rows *rowSet) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
	for _, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s.queryPeer(ctx, m, &peerpb.SurveyRequest{Key: key, Depth: depth}, rows)
		})
	}
	wg.Wait()
}

// queryPeer queries one peer. Peers that do not forward the query get one
// heartbeat to answer, so that hung peers leave time for the others.
func (s *Service) queryPeer(ctx context.Context, m topology.Member, req *peerpb.SurveyRequest, rows *rowSet) {
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

// ownVersion returns the node's own row. For keys that ActiveVersion does not
// track, a deletion is active as soon as it is received.
func (s *Service) ownVersion(key string) *peerpb.SurveyRow {
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

// withShorterDeadline returns a context that reserves 1/n of the remaining time
// for the caller.
func withShorterDeadline(ctx context.Context, n int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	left := time.Until(deadline)
	return context.WithTimeout(ctx, left-left/time.Duration(n))
}

// rowSet collects rows and keeps the one of the latest incarnation of each VM.
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

func (r *rowSet) report(key string, members []topology.Member) VersionReport {
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

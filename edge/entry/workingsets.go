package entry

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

const (
	// workingSetInterval is the shortest time between two reports with what a VM tells of working sets.
	// It is less than the interval of reports to other regions, so that each of those has it.
	workingSetInterval = 400 * time.Millisecond
	// workingSetIntervalSmall is the same within a region in which each VM reports to all others.
	workingSetIntervalSmall = 800 * time.Millisecond
	// loggedChange is the factor by which a fraction must have changed since its last log line.
	loggedChange = 1.25
)

// workingSets exchanges what VMs measure and decide of working sets, logs the changes of this VM's view
// and updates its metrics.
type workingSets struct {
	entry *Entry
	log   *logrus.Entry
	scope tally.Scope
	on    bool

	mu sync.Mutex
	// sameRegionAt and otherRegionsAt are when reports to this region, and to others, last told of
	// working sets.
	sameRegionAt, otherRegionsAt time.Time

	// known is what was logged last of each scope. Only maintain uses it.
	known map[workingSetTags]*knownWorkingSet
}

type workingSetTags struct{ service, region string }

// knownWorkingSet is what was last logged of a scope, and its metrics.
type knownWorkingSet struct {
	logged   workingset.Fractions
	refused  int
	fraction tally.Gauge
	refusals tally.Counter
}

func newWorkingSets(e *Entry) *workingSets {
	return &workingSets{
		entry: e, log: e.component("workingsets"), scope: e.metrics.Scope, on: e.options.Policy.WorkingSet,
		known: make(map[workingSetTags]*knownWorkingSet),
	}
}

// addTo adds what this VM tells of working sets to a report, if that is due.
func (w *workingSets) addTo(s *exchange.State, otherRegions bool) {
	now := time.Now()
	if !w.on || !w.isDue(now, otherRegions) {
		return
	}
	s.WorkingLoad = w.entry.balancer.WorkingSetLoads(now, s.Sum)
	s.Arcs = w.entry.balancer.WorkingSetArcs(now, false)
}

func (w *workingSets) isDue(now time.Time, otherRegions bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := &w.sameRegionAt
	if otherRegions {
		at = &w.otherRegionsAt
	}
	since := now.Sub(*at)
	if since < workingSetInterval {
		return false
	}
	if since < workingSetIntervalSmall && !otherRegions && !w.entry.members.Topology(w.entry.now()).Large {
		return false
	}
	*at = now
	return true
}

// digestArcs returns the arcs of all regions for the VMs of this one.
func (w *workingSets) digestArcs(now time.Time) [][]byte {
	if !w.on {
		return nil
	}
	return w.entry.balancer.WorkingSetArcs(now, true)
}

// apply takes over what another VM tells of working sets.
func (w *workingSets) apply(now time.Time, s *exchange.State) {
	report := placing.WorkingSetReport{From: s.VM.Name, Region: s.VM.Region, Loads: s.WorkingLoad, Arcs: s.Arcs}
	if s.Sum {
		report.From = regionPeerName(s.VM.Region)
	}
	if s.Digest != nil {
		report.Arcs = s.Digest.Arcs
	}
	if len(report.Loads) == 0 && len(report.Arcs) == 0 {
		return
	}
	if err := w.entry.balancer.SetWorkingSetReport(now, report); err != nil {
		w.log.WithError(err).WithField("from", s.VM.Name).Warn("entry: cannot decode working sets")
	}
}

// maintain updates this VM's role, logs and metrics.
func (w *workingSets) maintain(now time.Time) {
	if !w.on {
		return
	}
	w.entry.balancer.SetWorkingSetRole(w.role())
	for _, set := range w.entry.balancer.WorkingSets(now) {
		w.observe(&set)
	}
}

// role returns whether this VM decides for its region, or does if the one that does is not heard.
func (w *workingSets) role() placing.WorkingSetRole {
	order, ok := w.entry.members.DecidingOrder(w.entry.now())
	switch {
	case !ok:
		return placing.NoWorkingSetRole
	case order == 0:
		return placing.WorkingSetDecider
	case order == 1:
		return placing.WorkingSetStandby
	}
	return placing.NoWorkingSetRole
}

// observe updates the metrics of a scope and logs the ranks whose fractions have changed.
func (w *workingSets) observe(set *placing.WorkingSet) {
	tags := workingSetTags{set.Service, set.Region}
	known := w.known[tags]
	if known == nil {
		scope := w.scope.Tagged(map[string]string{"service": set.Service, "region": set.Region})
		known = &knownWorkingSet{
			logged: workingset.AllAdmitted(), fraction: scope.Gauge("working_set_fraction"), refusals: scope.Counter("working_set_refused"),
		}
		w.known[tags] = known
	}
	known.fraction.Update(set.Fractions.Lowest())
	known.refusals.Inc(int64(set.Refused - known.refused))
	known.refused = set.Refused
	for rank, fraction := range set.Fractions {
		if isLoggedChange(known.logged[rank], fraction) {
			known.logged[rank] = fraction
			w.logChange(set, rank)
		}
	}
}

// isLoggedChange reports whether a fraction has changed much since it was logged, or is the first or the
// last one below 1.
func isLoggedChange(logged, fraction float64) bool {
	if (logged < 1) != (fraction < 1) {
		return true
	}
	return fraction >= loggedChange*logged || logged >= loggedChange*fraction
}

func (w *workingSets) logChange(set *placing.WorkingSet, rank int) {
	fields := logrus.Fields{
		"service": set.Service, "region": set.Region, "rank": rank, "fraction": rounded(set.Fractions[rank]), "decider": set.Decider,
	}
	if d := set.Decided; d != (workingset.Decided{}) {
		fields["load"], fields["capacity"], fields["mean_run_ms"] = rounded(d.Load), rounded(d.Capacity), d.MeanRun.Milliseconds()
	}
	w.log.WithFields(fields).Info("placing: working set changed")
}

// rounded returns a value with three decimals, for the log.
func rounded(v float64) float64 { return math.Round(v*1000) / 1000 }

package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// MoveHistoryWindows is the number of move-cap windows for which moves must be
// retained. The hold-down after repeated failures spans more than one window.
const MoveHistoryWindows = 16

const (
	// quantum is the smallest share moved at a time, in parts per million.
	quantum = plan.Whole / 100
	// minFit is the smallest spare capacity for which a place is considered, in
	// parts per million. It keeps the search from filling places in tiny steps.
	minFit = quantum / 10
	// deadBand is the minimum saving for an optional move. It prevents oscillation
	// between places of similar cost.
	deadBand = 0.02
	// optionalMoveShare is the fraction of the move cap available to optional
	// moves. The rest is reserved for failures and drains.
	optionalMoveShare = 0.5
	// minBalanceWeight is the minimum weight of utilisation, so that the failure
	// domains of a region share the load even when only latency is weighted.
	minBalanceWeight = 0.2
	// overloadCost is the cost added between target utilisation and full capacity.
	// It outweighs latency, so that headroom is used only when all places are at
	// their target.
	overloadCost = 4.0
	// forcedMoveCost is the cost of traffic in a place that it must leave.
	forcedMoveCost = 1000.0
	// minTargetUtilisation and minHeadroom prevent divisions by 0 in the costs.
	minTargetUtilisation = 0.05
	minHeadroom          = 0.05
	// maxUtilisation caps every utilisation, also that of a zero capacity, so that
	// costs and reasons stay finite.
	maxUtilisation = 2.0
	// maxLatencyFactor limits how far a service time may deviate from the middle
	// of the places, so that one wrong report does not decide alone.
	maxLatencyFactor = 4
	// roundingError is the relative error tolerated in sums of loads.
	roundingError = 1e-9
)

const (
	// freshAge is the age up to which a measurement needs no extra margin.
	freshAge = 5 * time.Second
	// FreezeAge is the age from which a measurement permits no increase.
	FreezeAge = 30 * time.Second
	// staleMargin is the margin added to a demand at FreezeAge.
	staleMargin = 0.25
)

const (
	// stepInterval is the time until the effect of an increase is visible in the
	// measurements.
	stepInterval = 10 * time.Second
	// stepShare is the largest step, as a fraction of a place's capacity.
	stepShare = 0.1
	// slowHoldRatio and slowBackoffRatio are the ratios of P99 to its warm value
	// from which a place takes no more traffic and sheds traffic.
	slowHoldRatio    = 1.5
	slowBackoffRatio = 3.0
	// backoffShare is the fraction of the recent increase that a slow place sheds.
	backoffShare = 0.5
	// maxBackoffHalvings limits how often backoffs halve the step.
	maxBackoffHalvings = 3
	// maxFailureHalvings limits how often failures halve the step.
	maxFailureHalvings = 5
	// minProbeShare is the fraction of its capacity that a place must carry after a
	// failure to count as probed.
	minProbeShare = 0.002
	// backoffRetention is the time for which a backoff reduces the step.
	backoffRetention = 15 * time.Minute
	// maxUnknownShare is the largest share of a flow in an unmeasured place.
	maxUnknownShare = plan.Whole / 100
)

const (
	// failedShare is the failure share from which an outlier gets no traffic.
	failedShare = 0.5
	// degradedShare is the failure share from which traffic leaves an outlier.
	degradedShare = 0.2
	// outlierFactor is the ratio to the lowest failure share among the other places
	// above which a place is an outlier.
	outlierFactor = 2.0
	// failingShare is the failure share from which a place takes no more traffic.
	failingShare = 0.05
	// minSentRPS is the rate from which failure shares and latencies are reliable.
	minSentRPS = 0.5
	// holdDown is the time for which traffic does not return to a failed place. It
	// doubles with each failure after a return.
	holdDown             = 30 * time.Second
	maxHoldDownDoublings = 4
)

const (
	// drainMargin is the fraction added to the estimated time of a drain, to allow
	// for other moves under the cap.
	drainMargin = 0.25
	// defaultOneWay is the delay assumed between regions without a configured one.
	defaultOneWay = 100 * time.Millisecond
)

package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// MoveHistoryWindows is the number of move-cap windows for which moves must be
// retained. The hold-down after repeated failures spans more than one window.
const MoveHistoryWindows = 16

const (
	// quantum is the least change that is weighed, parts per million.
	quantum = plan.Whole / 100
	// leastFit is the least room for which a place is considered, parts per
	// million: below it the search would creep towards a full place.
	leastFit = quantum / 10
	// deadBand is the gain in cost below which nothing moves. Without it two
	// places of like cost would swap traffic at every measurement.
	deadBand = 0.02
	// optionalPart is the part of the cap that moves for gain may use. The
	// rest is kept for failures and drains that may come at any moment.
	optionalPart = 0.5
	// leastEvenness is the least weight of even use, so that the failure
	// domains of a region are used alike when only latency is weighed.
	leastEvenness = 0.2
	// fullPressure is the cost of a place at its capacity above the cost at
	// its target: far more than any latency, so that headroom is used up only
	// where all places have used theirs.
	fullPressure = 4.0
	// forcedCost is the cost of work in a place that it must leave.
	forcedCost = 1000.0
	// leastTarget and leastHeadroom keep the target utilisation and the part
	// above it from 0, by which costs are divided.
	leastTarget   = 0.05
	leastHeadroom = 0.05
	// mostUtilised stands for every utilisation beyond it, and for that of
	// what has no capacity: a quotient by nothing would be no number, and a
	// decision that holds one can neither be compared nor written as JSON.
	mostUtilised = 2.0
	// mostLatencyFactor is how far a service time may be from the middle of
	// the places: one wrong report must not decide alone.
	mostLatencyFactor = 4
	// rounding is the relative error that sums of loads may have.
	rounding = 1e-9
)

const (
	// freshAge is the age up to which a measurement is taken as it is.
	freshAge = 5 * time.Second
	// FreezeAge is the age from which on a measurement permits no increase.
	FreezeAge = 30 * time.Second
	// staleMargin is what a demand is widened by at FreezeAge.
	staleMargin = 0.25
)

const (
	// stepInterval is how long the effect of an increase needs to be seen in
	// the measurements: a report interval, its way, and enough requests.
	stepInterval = 10 * time.Second
	// stepPart is the part of a place's capacity it takes more of in a step.
	stepPart = 0.1
	// slowHold and slowBackoff are the ratios of P99 to its warm value from which
	// on a place takes no more, and gives back.
	slowHold    = 1.5
	slowBackoff = 3.0
	// backoffPart is the part of what was raised lately that a place gives back.
	backoffPart = 0.5
	// stepHalvings is how often a step is halved at most.
	stepHalvings = 3
	// failureHalvings is how often it is halved at most for failures.
	failureHalvings = 5
	// triedPart is the part of its capacity a place must carry to have been
	// tried after a failure.
	triedPart = 0.002
	// backoffMemory is how long a place that gave back takes smaller steps.
	backoffMemory = 15 * time.Minute
	// unknownShare is the most a place nothing is known of gets of a flow.
	unknownShare = plan.Whole / 100
)

const (
	// failedShare is the failure share from which on all work leaves and
	// nothing more is sent.
	failedShare = 0.5
	// poorShare is the failure share from which on work leaves.
	poorShare = 0.2
	// worseFactor is by how much more of the requests must fail in a place
	// than elsewhere, for the place to be the cause.
	worseFactor = 2.0
	// failingShare is the failure share from which on a place takes no more.
	failingShare = 0.05
	// leastSentRPS is the rate from which on a failure share or latency is
	// taken for a measurement.
	leastSentRPS = 0.5
	// holdDown is the time for which work does not return to a place that
	// failed; it doubles with each return that failed.
	holdDown          = 30 * time.Second
	holdDownDoublings = 4
)

const (
	// drainSlack is the part a drain is begun earlier by, for other moves
	// that use up the cap.
	drainSlack = 0.25
	// defaultOneWay is the delay assumed between regions that have none
	// configured.
	defaultOneWay = 100 * time.Millisecond
)

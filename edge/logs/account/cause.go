package account

// Cause is why a request was late, refused or failed.
type Cause string

// Causes. Those of late requests are told apart by their last sending.
const (
	// FirstRun: no target had run the key before.
	FirstRun Cause = "late: first run of the key"
	// DuringFirstRun: it ran while the target ran the key for the first time.
	DuringFirstRun Cause = "late: beside the first run"
	// WarmElsewhere: another target was warm for the key.
	WarmElsewhere Cause = "late: warm at another target"
	// Evicted: the target had run it, and runs other keys as fast as ever.
	Evicted Cause = "late: forgotten by the target"
	// TargetSlow: the target runs all keys slowly.
	TargetSlow Cause = "late: target slow"
	// QueueWait: more than a third of the objective went in the queue.
	QueueWait Cause = "late: waited in the queue"
	// Retried: an earlier sending had failed.
	Retried Cause = "late: sent again"
	// OtherRegion: it ran at its usual speed in another region.
	OtherRegion Cause = "late: far region"
	// LateUnexplained: none of these.
	LateUnexplained Cause = "late: could not be told"

	// SlotsFree: a tenth of the region's slots or more were free.
	SlotsFree Cause = "refused: slots were free"
	// SlotsTaken: nearly all slots were taken.
	SlotsTaken Cause = "refused: slots were taken"
	// NoTarget: no target may run it.
	NoTarget Cause = "refused: no target"
	// NotServing: the VM was stopping, or had no configuration yet.
	NotServing Cause = "refused: VM not serving"
	// Quarantined: targets ended when they ran it.
	Quarantined Cause = "refused: ends targets"
	// RefusedUnexplained: none of these.
	RefusedUnexplained Cause = "refused: could not be told"

	// ResponseLost: the connection to the target ended before the answer.
	ResponseLost Cause = "failed: answer lost"
	// ResponseTimeout: the time was over before the answer.
	ResponseTimeout Cause = "failed: no answer in time"
	// TargetRefused: each target that it was sent to refused it unrun.
	TargetRefused Cause = "failed: refused by targets"
	// OwnerLost: the VM that decides on its key did not answer.
	OwnerLost Cause = "failed: owner did not answer"
	// Unreachable: no target could be reached.
	Unreachable Cause = "failed: target not reachable"
	// TargetFailed: the target answered that it failed.
	TargetFailed Cause = "failed: target's failure"
	// FailedUnexplained: none of these.
	FailedUnexplained Cause = "failed: could not be told"
)

// freeShare of a region's slots makes a refusal one that need not have been.
const freeShare = 0.1

// mayHaveRun reports whether the VM could not tell that the request did not run.
func (e *entry) mayHaveRun() bool {
	return e.Result == "connection-lost" || e.Result == "deadline-after-send"
}

// causeOfRefusal tells by what the VM said and what it counted.
func causeOfRefusal(e *entry) Cause {
	switch {
	case e.Why == "no target" || e.Result == "no-target":
		return NoTarget
	case e.Result == "node-leaving" || e.Result == "no-plan":
		return NotServing
	case e.Result == "quarantined":
		return Quarantined
	case e.Result != "queue-full" || e.Slots == 0:
		return RefusedUnexplained
	case float64(e.InFlight) < (1-freeShare)*float64(e.Slots):
		return SlotsFree
	}
	return SlotsTaken
}

func causeOfFailure(e *entry) Cause {
	switch e.Result {
	case "connection-lost", "answer-truncated":
		return ResponseLost
	case "deadline-after-send", "deadline-before-send":
		return ResponseTimeout
	case "ok":
		return TargetFailed
	case "target-shed":
		return TargetRefused
	case "connect-failed":
		return Unreachable
	case "queue-full":
		// A target had refused it, and then there was no slot.
		return TargetRefused
	}
	return FailedUnexplained
}

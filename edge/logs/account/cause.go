package account

// Cause is why a request was late, refused or failed.
type Cause string

// Causes. Late requests are classified by their last attempt.
const (
	// FirstRun: no target had run the key before.
	FirstRun Cause = "late: first run of the key"
	// DuringFirstRun: it ran concurrently with the key's first run.
	DuringFirstRun Cause = "late: beside the first run"
	// WarmElsewhere: only other targets were warm for the key.
	WarmElsewhere Cause = "late: warm at another target"
	// Evicted: the target had run the key, and runs other keys at normal speed.
	Evicted Cause = "late: forgotten by the target"
	// TargetSlow: the target was slow for all keys.
	TargetSlow Cause = "late: target slow"
	// QueueWait: it spent more than a third of the objective in the queue.
	QueueWait Cause = "late: waited in the queue"
	// Retried: an earlier attempt had failed.
	Retried Cause = "late: sent again"
	// OtherRegion: it ran at normal speed in another region.
	OtherRegion Cause = "late: far region"
	// LateUnexplained: none of the above.
	LateUnexplained Cause = "late: could not be told"

	// SlotsFree: at least a tenth of the region's slots were free.
	SlotsFree Cause = "refused: slots were free"
	// SlotsTaken: nearly all slots were taken.
	SlotsTaken Cause = "refused: slots were taken"
	// TargetsLimited: limits that targets state permitted no request in time.
	TargetsLimited Cause = "refused: limits of targets"
	// TargetsAtRest: targets had refused requests and asked for a rest.
	TargetsAtRest Cause = "refused: targets at rest"
	// NotInWorkingSet: the region served other keys, as its targets cannot carry all.
	NotInWorkingSet Cause = "refused: not in the working set"
	// NoTarget: no target was eligible.
	NoTarget Cause = "refused: no target"
	// TargetsUnreached: neither the VM nor one that it asked reached a target.
	TargetsUnreached Cause = "refused: targets not reached"
	// TargetsLeaving: all targets were leaving.
	TargetsLeaving Cause = "refused: all targets leave"
	// NotServing: the VM was shutting down or had no configuration yet.
	NotServing Cause = "refused: VM not serving"
	// Quarantined: the request had crashed targets.
	Quarantined Cause = "refused: ends targets"
	// OverQuota: the client account was over its limit, QuotaUnknown: no coordinator of the quota
	// answered.
	OverQuota    Cause = "refused: account over its quota"
	QuotaUnknown Cause = "refused: quota not known"
	// UnknownKey: no client account holds the key, RemovedKey: it was taken away, StaleConfig: the
	// VM may have lacked the newest configuration.
	UnknownKey  Cause = "refused: unknown key"
	RemovedKey  Cause = "refused: key taken away"
	StaleConfig Cause = "refused: configuration out of date"
	// RefusedUnexplained: none of the above.
	RefusedUnexplained Cause = "refused: could not be told"

	// ResponseLost: the connection to the target broke before the complete response.
	ResponseLost Cause = "failed: answer lost"
	// ResponseTimeout: the deadline passed before the response.
	ResponseTimeout Cause = "failed: no answer in time"
	// TargetRefused: all targets tried refused it without running it.
	TargetRefused Cause = "failed: refused by targets"
	// OwnerLost: the VM that owns its affinity key did not respond.
	OwnerLost Cause = "failed: owner did not answer"
	// Unreachable: no connection to a target succeeded.
	Unreachable Cause = "failed: target not reachable"
	// TargetFailed: the target responded with a server error.
	TargetFailed Cause = "failed: target's failure"
	// FailedUnexplained: none of the above.
	FailedUnexplained Cause = "failed: could not be told"
)

// freeSlotShare is the share of free slots from which a refusal counts as avoidable.
const freeSlotShare = 0.1

// mayHaveRun reports whether the request may have run at a target.
func (e *entry) mayHaveRun() bool {
	switch e.Result {
	case "connection-lost", "deadline-after-send", "unproven-refusal":
		return true
	}
	return false
}

// refusals are the causes that follow from the result alone.
var refusals = map[string]Cause{
	"over-quota": OverQuota, "quota-unknown": QuotaUnknown, "unknown-key": UnknownKey, "key-removed": RemovedKey,
	"config-stale": StaleConfig, "quarantined": Quarantined, "node-leaving": NotServing, "no-plan": NotServing,
}

func causeOfRefusal(e *entry) Cause {
	if cause, ok := refusals[e.Result]; ok {
		return cause
	}
	switch {
	case e.Why == "all targets leave":
		return TargetsLeaving
	case e.Why == "targets not reached":
		return TargetsUnreached
	case e.Why == "no target" || e.Result == "no-target":
		return NoTarget
	case e.Why == "no permit":
		return TargetsLimited
	case e.Why == "targets at rest":
		return TargetsAtRest
	case e.Why == "not in the working set":
		return NotInWorkingSet
	case e.Result != "queue-full" || e.Slots == 0:
		return RefusedUnexplained
	case float64(e.InFlight) < (1-freeSlotShare)*float64(e.Slots):
		return SlotsFree
	}
	return SlotsTaken
}

func causeOfFailure(e *entry) Cause {
	switch e.Result {
	case "connection-lost", "answer-truncated", "unproven-refusal":
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
		// A target refused it, and no other slot was free.
		return TargetRefused
	}
	return FailedUnexplained
}

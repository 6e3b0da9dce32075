package result

// Headers between callers, entry VMs and targets.
const (
	// HeaderAccount and HeaderService tell what a request is for.
	HeaderAccount = "Yucca-Account"
	HeaderService = "Yucca-Service"
	// HeaderDeadline is the time left, in milliseconds, at the moment of sending.
	HeaderDeadline = "Yucca-Deadline-Ms"
	// HeaderKey is the idempotency key of a non-idempotent request.
	HeaderKey = "Idempotency-Key"
	// HeaderToken is an optional identifier of a request, unique for the
	// caller. A target repeats it in its answer, so that a caller can tell that
	// an answer is its own.
	HeaderToken = "Yucca-Token"
	// HeaderResult is the numbered result and HeaderOutcome one of ran,
	// not-run, unknown. Both are on every answer of an entry VM.
	HeaderResult  = "Yucca-Result"
	HeaderOutcome = "Yucca-Outcome"
	// HeaderPlace names the place that served, HeaderTarget the target.
	HeaderPlace  = "Yucca-Place"
	HeaderTarget = "Yucca-Target"
	// HeaderRefusedPlace names the place that a refused request fell to. A caller
	// that sends the request again sends the field along.
	HeaderRefusedPlace = "Yucca-Refused-Place"
	// HeaderRetryAfter tells, in milliseconds, when to come back.
	HeaderRetryAfter = "Yucca-Retry-After-Ms"
	// HeaderShed is set by a target that refused a request before running it.
	HeaderShed = "Yucca-Shed"
	// HeaderLeaving is set by a target that takes no new work.
	HeaderLeaving = "Yucca-Leaving"
	// HeaderExchange numbers an exchange between an entry VM and a target; a
	// target that repeats it lets a stray answer be told from the awaited one.
	HeaderExchange = "Yucca-Exchange"
	// HeaderTargetStatus is the target's status when HTTP has no name for it.
	HeaderTargetStatus = "Yucca-Target-Status"
	// HeaderLoad is a target's own load report: requests in service.
	HeaderLoad = "Yucca-Load"
)

package target

// Faults are ways in which a target misbehaves. They may change at any time,
// by SetFaults or PUT /faults.
type Faults struct {
	// FailFast answers every request at once with 500, while /health is fine.
	FailFast bool `json:"fail_fast"`
	// Silent accepts requests and never answers them.
	Silent bool `json:"silent"`
	// Unhealthy makes /health say so although requests are served.
	Unhealthy bool `json:"unhealthy"`
	// StuckLoad freezes the load report.
	StuckLoad bool `json:"stuck_load"`
	// IdleLoad reports a load of 0 whatever the load is.
	IdleLoad bool `json:"idle_load"`
	// SlowFactor multiplies the service time, 0 reads as 1.
	SlowFactor float64 `json:"slow_factor"`
}

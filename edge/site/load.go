package site

// Load is the load that a target states in an answer.
type Load struct {
	// Known is set if Running, Waiting and Slots are stated.
	Known bool
	// Running and Waiting count the requests at the target, Slots is how many may run at once.
	Running, Waiting, Slots int
	// Pace is how long work takes at this moment relative to the usual time, 1; 0 if it is not stated.
	Pace float64
	// Malformed is set if the field could not be read or its values are implausible.
	Malformed bool
}

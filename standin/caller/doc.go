// Package caller stands in for the callers of a client account. It sends a
// seeded open-loop load: requests are due at times drawn from a Poisson
// process, whether earlier ones were answered or not, and latency counts from
// when a request was due. Requests in progress are bounded; what comes due
// beyond the bound is counted as skipped and not sent.
package caller

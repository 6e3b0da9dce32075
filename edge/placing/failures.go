package placing

const (
	// serviceFailureSmoothing is the weight of one outcome in a service's share of failures:
	// some twenty requests.
	serviceFailureSmoothing = 0.05
	// widespreadFailures is the share of failures of a service from which on a refusal
	// says nothing of the target that refused.
	widespreadFailures = 0.25
)

// serviceFailures is the share of requests that the targets of a service fail or refuse.
//
// Load pattern: all targets of a service refuse half of what they get for seconds. A
// refused request that is sent to another target is refused there as often, and runs cold
// if it is not. What fails everywhere is therefore no reason to go elsewhere: a target is
// dearer only for what it fails beyond the others.
type serviceFailures struct{ share float64 }

func (f *serviceFailures) record(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share += serviceFailureSmoothing * (outcome - f.share)
}

// excess is by how much a target's share of failures is above that of its service.
func (f *serviceFailures) excess(share float64) float64 { return max(0, share-f.share) }

// areWidespread reports whether a request that a target refused may as well be sent to the
// same one again.
func (f *serviceFailures) areWidespread() bool { return f.share > widespreadFailures }

package placing

const (
	// serviceFailureSmoothing is the weight of one outcome in a service's failure ratio, which
	// covers about the last twenty requests.
	serviceFailureSmoothing = 0.05
	// widespreadFailures is the failure ratio of a service above which a refusal is not
	// attributed to the target.
	widespreadFailures = 0.25
)

// serviceFailures measures the failure ratio of a service. While all targets fail alike, for
// example when all refuse half of their requests, another target refuses a request as often and
// runs it cold if it does not. A target is therefore penalized only for failures above this ratio.
type serviceFailures struct{ ratio float64 }

func (f *serviceFailures) record(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.ratio += serviceFailureSmoothing * (outcome - f.ratio)
}

// excess returns how far a target's failure ratio is above that of its service.
func (f *serviceFailures) excess(ratio float64) float64 { return max(0, ratio-f.ratio) }

// areWidespread reports whether a refused request may be retried on the same target.
func (f *serviceFailures) areWidespread() bool { return f.ratio > widespreadFailures }

package steering

// detectOutliers marks the cells of a service that fail more than the others. When
// requests fail equally everywhere, the places are not the cause: moving traffic
// would not help, and closing all places would reject requests that succeed.
func detectOutliers(row []cell) {
	first, second := leastFailing(row)
	for i := range row {
		least := first
		if i == first {
			least = second
		}
		c := &row[i]
		c.outlier = least >= 0 && c.measured() && c.state.FailureShare > outlierFactor*row[least].failureShare()
	}
}

// leastFailing returns the two cells with the lowest failure shares among those
// with capacity and usable targets, -1 for each that is missing.
func leastFailing(row []cell) (first, second int) {
	first, second = -1, -1
	for i := range row {
		c := &row[i]
		if c.configuredCapacity <= 0 || c.state == nil || c.targetShare(c.state.Unstable) == 0 {
			continue
		}
		switch {
		case first < 0 || c.failureShare() < row[first].failureShare():
			first, second = i, first
		case second < 0 || c.failureShare() < row[second].failureShare():
			second = i
		}
	}
	return first, second
}

// failureShare is 0 for a cell without enough traffic to measure.
func (c *cell) failureShare() float64 {
	if !c.measured() {
		return 0
	}
	return c.state.FailureShare
}

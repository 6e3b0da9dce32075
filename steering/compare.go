package steering

// compareFailures tells which cells of one service fail more than the others.
// When requests fail in all places alike, the cause is not the place: to leave
// one would move work for nothing, and to shut all of them would refuse the
// requests that still succeed.
func compareFailures(row []cell) {
	first, second := leastFailing(row)
	for i := range row {
		least := first
		if i == first {
			least = second
		}
		c := &row[i]
		c.worse = least >= 0 && c.measured() && c.state.FailureShare > worseFactor*row[least].failureShare()
	}
}

// leastFailing returns the two cells that fail least of those that could take
// work, -1 for each that is missing.
func leastFailing(row []cell) (first, second int) {
	first, second = -1, -1
	for i := range row {
		c := &row[i]
		if c.configured <= 0 || c.state == nil || c.partOf(c.state.Unstable) == 0 {
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

// failureShare is 0 for a cell without traffic: its targets are there.
func (c *cell) failureShare() float64 {
	if !c.measured() {
		return 0
	}
	return c.state.FailureShare
}

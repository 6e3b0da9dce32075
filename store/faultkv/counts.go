package faultkv

// Counts holds the number of calls of each kind. A watch counts as one call,
// however long it waits.
type Counts [kindCount]uint64

// Of returns the count of one kind.
func (c Counts) Of(kind Kind) uint64 {
	return c[kind]
}

// Total returns the sum over all kinds.
func (c Counts) Total() uint64 {
	var total uint64
	for _, n := range c {
		total += n
	}
	return total
}

// Sub returns the number of calls made since earlier.
func (c Counts) Sub(earlier Counts) Counts {
	for i := range c {
		c[i] -= earlier[i]
	}
	return c
}

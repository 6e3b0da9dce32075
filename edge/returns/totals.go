package returns

const (
	// MaxPromises bounds the promises of a VM. One takes about 250 bytes.
	MaxPromises = 4096
	// maxWithNotes is the number of promises from which no times without a place are kept, so that
	// these leave room for places.
	maxWithNotes = MaxPromises * 3 / 4
)

// Totals bounds and counts the promises of all ledgers of a VM.
type Totals struct {
	held int
	// Promised counts the places that were kept, Kept those that were used and Lapsed those that
	// were not.
	Promised, Kept, Lapsed int64
}

// Counts are the promises of one ledger.
type Counts struct {
	// Pending is the number of places whose callers have not come back.
	Pending int
	// Promised, Kept and Lapsed are as in Totals.
	Promised, Kept, Lapsed int64
}

// Counts returns the promises of this ledger up to the last call with a time.
func (l *Ledger) Counts() Counts {
	c := l.counts
	c.Pending = len(l.places.list)
	return c
}

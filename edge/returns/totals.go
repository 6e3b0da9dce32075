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

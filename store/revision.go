package store

// Revision orders all states of the service. It combines the service's era, which increases when the
// service is restored from a copy, with its revision number, which increases with each write and goes back
// to that of the copy. Revisions of a later era are therefore higher than all those of earlier ones.
// The zero Revision means none.
type Revision uint64

// numberBits is the size of the part that holds the revision number.
const numberBits = 48

// Limits of the parts of a Revision.
const (
	MaxEra    = 1<<(64-numberBits) - 1
	MaxNumber = 1<<numberBits - 1
)

// NewRevision combines an era of at most MaxEra and a revision number of at most MaxNumber. Services
// without eras are in era 0.
func NewRevision(era, number uint64) Revision { return Revision(era<<numberBits | number&MaxNumber) }

// Era returns how often the service had been restored.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the revision number within the era.
func (r Revision) Number() uint64 { return uint64(r) & MaxNumber }

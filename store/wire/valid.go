package wire

// Validator is an answer that can tell whether it was written by the service.
// Any JSON object decodes into any answer, so a mere "{}" with status 200 from
// something in between would else pass for a write that took effect.
type Validator interface {
	Valid() bool
}

// Valid implements Validator.
func (e *Entry) Valid() bool { return e.Revision != 0 }

// Valid implements Validator: the service sends an empty list for no entries.
func (a *ListAnswer) Valid() bool { return a.Entries != nil }

// Valid implements Validator.
func (a *SwapAnswer) Valid() bool { return a.Revision != 0 }

// Valid implements Validator.
func (a *GrantAnswer) Valid() bool { return a.Lease != 0 }

// Valid implements Validator.
func (d *Done) Valid() bool { return d.Done }

package changelog

import (
	"fmt"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// MaxHeadBytes bounds a head below the store's value limit; the rest is left
// for what the store may count besides the value.
const MaxHeadBytes = store.MaxValueBytes - 16<<10

// recentChanges is how many changes the head lists. It must be larger than the
// number of changes that are not yet in the audit, which is one.
const recentChanges = 32

// Version orders the states of a head. Epoch grows when a head is repaired
// after the store went back; Sequence grows with every change and never
// starts again.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Sequence < w.Sequence
}

// String writes the version as epoch.sequence.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Sequence) }

// Head is the value of a head key. A Head that was read is never changed;
// changes are made to a copy.
type Head struct {
	Version
	// Audited is the sequence up to which all changes are in the audit.
	Audited  uint64            `json:"audited"`
	Template Object            `json:"template"`
	Accounts map[string]Object `json:"accounts,omitempty"`
	// Gone holds the sequence at which each deleted account was deleted, so
	// that a node which still has it learns of the deletion.
	Gone map[string]uint64 `json:"gone,omitempty"`
	// Recent lists the last changes, newest first.
	Recent []Record `json:"recent,omitempty"`
}

// Object is one document in force. The zero value means that there is none.
type Object struct {
	Hash string `json:"h"`
	// Sequence is the head's sequence at the object's last change.
	Sequence uint64 `json:"s"`
}

// firstEpoch is the epoch of a head that was never repaired.
const firstEpoch = 1

func newHead() *Head { return &Head{Version: Version{Epoch: firstEpoch}} }

// DecodeHead reads a head's value.
func DecodeHead(value []byte) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(value, h); err != nil {
		return nil, errors.Wrap(err, "changelog: decode head")
	}
	return h, nil
}

func (h *Head) encode(template string) ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "changelog: encode head")
	}
	if len(value) > MaxHeadBytes {
		return nil, &TooLargeError{Template: template, Bytes: len(value), Limit: MaxHeadBytes}
	}
	return value, nil
}

// object returns an object's entry, the zero value when it does not exist.
func (h *Head) object(kind Kind, name string) Object {
	if kind == KindTemplate {
		return h.Template
	}
	return h.Accounts[name]
}

// ItemVersion returns the version of an account in force: the later of its own
// last change and its template's.
func (h *Head) ItemVersion(account string) Version {
	return Version{Epoch: h.Epoch, Sequence: max(h.Template.Sequence, h.Accounts[account].Sequence)}
}

// find returns a recent change by its identifier, or nil.
func (h *Head) find(id string) *Record {
	for i := range h.Recent {
		if h.Recent[i].ID == id {
			return &h.Recent[i]
		}
	}
	return nil
}

// forgets reports whether changes may have left Recent.
func (h *Head) forgets() bool { return len(h.Recent) >= recentChanges }

// last returns the identifier of the newest change.
func (h *Head) last() string {
	if len(h.Recent) == 0 {
		return ""
	}
	return h.Recent[0].ID
}

// unaudited returns the changes that are not yet in the audit.
func (h *Head) unaudited() []Record {
	for i := range h.Recent {
		if h.Recent[i].Sequence <= h.Audited {
			return h.Recent[:i]
		}
	}
	return h.Recent
}

// with returns the head after a change.
func (h *Head) with(record Record) *Head {
	next := *h
	next.Sequence++
	next.Audited = h.Sequence
	record.Sequence = next.Sequence
	record.Previous = h.last()
	next.Recent = append([]Record{record}, h.Recent...)
	if len(next.Recent) > recentChanges {
		next.Recent = next.Recent[:recentChanges]
	}
	object := Object{Hash: record.Hash, Sequence: next.Sequence}
	if record.Kind == KindTemplate {
		next.Template = object
		if record.Deleted() {
			next.Template = Object{}
		}
		return &next
	}
	next.Accounts = copyMap(h.Accounts)
	next.Gone = copyMap(h.Gone)
	if record.Deleted() {
		delete(next.Accounts, record.Name)
		next.Gone[record.Name] = next.Sequence
	} else {
		next.Accounts[record.Name] = object
		delete(next.Gone, record.Name)
	}
	return &next
}

func copyMap[V any](in map[string]V) map[string]V {
	out := make(map[string]V, len(in)+1)
	for key, value := range in {
		out[key] = value
	}
	return out
}

// AccountNames returns the names of the accounts in force, sorted.
func (h *Head) AccountNames() []string { return sortedKeys(h.Accounts) }

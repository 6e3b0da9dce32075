package changelog

import (
	"context"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// maxWalk bounds how many records one call reads.
	maxWalk = 1000
	// maxConflictChanges bounds the changes that a ConflictError lists.
	maxConflictChanges = 10
)

// Filter selects records of the history.
type Filter struct {
	// Kind and Name select one object; empty ones select all.
	Kind Kind
	Name string
	// Before selects changes with a smaller sequence; 0 selects all.
	Before uint64
	// Limit bounds the number of records.
	Limit int
}

func (f *Filter) selects(r *Record) bool {
	if f.Before != 0 && r.Sequence >= f.Before {
		return false
	}
	return (f.Kind == "" || f.Kind == r.Kind) && (f.Name == "" || f.Name == r.Name)
}

// History returns the changes of a template and its accounts, newest first.
// Errors: store.ErrUnavailable, WentBackError.
func (l *Log) History(ctx context.Context, template string, filter Filter) ([]Record, error) {
	head, err := l.readHead(ctx, template)
	if err != nil {
		return nil, err
	}
	var records []Record
	err = l.walk(ctx, template, head.Head, func(r *Record) bool {
		if filter.selects(r) {
			records = append(records, *r)
		}
		return filter.Limit <= 0 || len(records) < filter.Limit
	})
	return records, err
}

// walk calls visit for each change, newest first, until it returns false. It
// reads the head's own list first and then the audit.
func (l *Log) walk(ctx context.Context, template string, head *Head, visit func(*Record) bool) error {
	previous := ""
	for i := range head.Recent {
		if !visit(&head.Recent[i]) {
			return nil
		}
		previous = head.Recent[i].Previous
	}
	for range maxWalk {
		if previous == "" {
			return nil
		}
		record, err := l.auditRecord(ctx, template, previous)
		// A restored store may lack records; the history then begins later.
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		if !visit(record) {
			return nil
		}
		previous = record.Previous
	}
	return nil
}

// auditRecord returns a record of the audit, or store.ErrNotFound.
func (l *Log) auditRecord(ctx context.Context, template, id string) (*Record, error) {
	entry, err := l.kv.Get(ctx, auditKey(template, id))
	if err != nil {
		return nil, err
	}
	record := &Record{}
	return record, errors.Wrap(json.Unmarshal(entry.Value, record), "changelog: decode record")
}

// lookUp returns the change with an identifier, nil when the head does not
// include it. A change that left the head's list is in the audit, because it
// was written there before the change after it was made.
func (l *Log) lookUp(ctx context.Context, template string, head *Head, id string) (*Record, error) {
	if record := head.find(id); record != nil {
		return record, nil
	}
	if !head.forgets() {
		return nil, nil
	}
	record, err := l.auditRecord(ctx, template, id)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return record, nil
}

// Outcome returns the change with an identifier. ErrNotFound tells that it has
// not taken effect; it may still do so while its sender tries.
func (l *Log) Outcome(ctx context.Context, template, id string) (Record, error) {
	if !idPattern.MatchString(id) {
		return Record{}, ErrNotFound
	}
	head, err := l.readHead(ctx, template)
	if err != nil {
		return Record{}, err
	}
	record, err := l.lookUp(ctx, template, head.Head, id)
	if err != nil {
		return Record{}, err
	}
	if record == nil {
		return Record{}, ErrNotFound
	}
	return *record, nil
}

// changesSince returns what was done to the object since the operator saw it.
// It helps the operator only, so a store that fails here shortens the list.
func (l *Log) changesSince(ctx context.Context, c *checked, head *Head) []Record {
	var changes []Record
	_ = l.walk(ctx, c.Template, head, func(r *Record) bool {
		if r.Sequence <= c.IfSequence {
			return false
		}
		if r.Kind == c.Kind && r.Name == c.Name {
			changes = append(changes, *r)
		}
		return len(changes) < maxConflictChanges
	})
	return changes
}

// RollBack makes an earlier document the one in force again, as a new change.
// c names the change and the object; its text is taken from the change that
// made the sequence to. Errors are those of Apply.
func (l *Log) RollBack(ctx context.Context, c Change, to uint64) (Result, error) {
	earlier, err := l.DocumentAt(ctx, c.Template, c.Kind, c.Name, to)
	if err != nil {
		return Result{}, err
	}
	c.Text = earlier.Text
	return l.Apply(ctx, c)
}

// DocumentAt returns the document of an object as it was at a sequence of its
// template. Its own sequence is that of the change that made it. Errors:
// ErrNotFound when the object did not exist then, store.ErrUnavailable,
// WentBackError.
func (l *Log) DocumentAt(ctx context.Context, template string, kind Kind, name string, at uint64) (Document, error) {
	head, err := l.readHead(ctx, template)
	if err != nil {
		return Document{}, err
	}
	var made *Record
	err = l.walk(ctx, template, head.Head, func(r *Record) bool {
		if r.Sequence <= at && r.Kind == kind && r.Name == name {
			found := *r
			made = &found
		}
		return made == nil
	})
	if err != nil {
		return Document{}, err
	}
	if made == nil || made.Deleted() {
		return Document{}, errors.Wrapf(ErrNotFound, "%s %s at sequence %d", kind, name, at)
	}
	return l.document(ctx, name, Object{Hash: made.Hash, Sequence: made.Sequence})
}

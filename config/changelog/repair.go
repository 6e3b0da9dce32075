package changelog

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// ForkError tells that the store's head was changed after the store went back:
// it holds changes that the head seen before does not have, and the other way
// round. Only an operator can tell which to keep.
type ForkError struct {
	Template string
	// Seen has changes that Found lacks, and Found ends with another one.
	Seen  Sighting
	Found Sighting
}

// Error implements error.
func (e *ForkError) Error() string {
	return fmt.Sprintf("changelog: template %s was changed in the store after the store went back: it is at %s (change %s) and was seen at %s (change %s)",
		e.Template, e.Found.Version, e.Found.Last, e.Seen.Version, e.Seen.Last)
}

// ErrNotNewest tells that this process does not hold the newest head that is
// known to have been in force, so it cannot put it back.
var ErrNotNewest = errors.New("changelog: this node does not hold the newest state that was in force")

// Repair puts the head that this process remembers back into a store that
// went back. The store's head must be an earlier state of the same history, so
// that nothing that was accepted is lost by it. It does nothing to a store
// that did not go back.
//
// The new head has a higher epoch: every node takes it for newer than all that
// both histories hold.
func (l *Log) Repair(ctx context.Context, template string) error {
	seen := l.guard.Seen(template)
	found, err := l.rawHead(ctx, template)
	if err != nil {
		return err
	}
	at := found.Sighting()
	if !at.Less(seen.Version) && !at.forks(seen) {
		return nil
	}
	newest, err := l.newest(template, seen)
	if err != nil {
		return err
	}
	if !newest.descendsFrom(found.Head) {
		return &ForkError{Template: template, Seen: seen, Found: at}
	}
	if err := l.restore(ctx, template, newest, found.Sequence); err != nil {
		return notRun(err)
	}
	next := *newest
	next.Epoch++
	return l.replace(ctx, template, &next, found.revision)
}

// rawHead reads the head without the guard.
func (l *Log) rawHead(ctx context.Context, template string) (headAt, error) {
	entry, err := l.kv.Get(ctx, headKey(template))
	if errors.Is(err, store.ErrNotFound) {
		return headAt{Head: &Head{}}, nil
	}
	if err != nil {
		return headAt{}, err
	}
	head, err := DecodeHead(entry.Value)
	return headAt{Head: head, revision: entry.Revision}, err
}

// newest returns the remembered head if it is the newest one known.
func (l *Log) newest(template string, seen Sighting) (*Head, error) {
	for _, remembered := range l.Remembered() {
		if remembered.Template == template && !remembered.Head.Less(seen.Version) {
			return remembered.Head, nil
		}
	}
	return nil, ErrNotNewest
}

// descendsFrom reports whether old is certainly an earlier state of h: h lists
// old's newest change at the same sequence. An empty head is an earlier state
// of every head.
func (h *Head) descendsFrom(old *Head) bool {
	if old.Sequence == 0 {
		return true
	}
	record := h.find(old.last())
	return record != nil && record.Sequence == old.Sequence
}

// restore writes again what the store lost since the sequence: documents,
// audit records and owners of accounts.
func (l *Log) restore(ctx context.Context, template string, head *Head, since uint64) error {
	if head.Template.Sequence > since {
		if err := l.objects.rewrite(ctx, head.Template.Hash); err != nil {
			return err
		}
	}
	for name, object := range head.Accounts {
		if object.Sequence <= since {
			continue
		}
		if err := l.objects.rewrite(ctx, object.Hash); err != nil {
			return err
		}
		if err := l.own(ctx, name, template); err != nil {
			return err
		}
	}
	l.restoreEarlier(ctx, head, since)
	lost := *head
	lost.Audited = since
	return l.audit(ctx, template, &lost)
}

// restoreEarlier writes documents that are no longer in force, so that they can
// be rolled back to. What this process does not keep, or the store does not
// take, is left out.
func (l *Log) restoreEarlier(ctx context.Context, head *Head, since uint64) {
	for i := range head.Recent {
		if record := &head.Recent[i]; record.Sequence > since && !record.Deleted() {
			_ = l.objects.rewrite(ctx, record.Hash)
		}
	}
}

// replace swaps the head. A lost answer needs no care: the caller sees the
// store's state when it reads it again.
func (l *Log) replace(ctx context.Context, template string, head *Head, expected store.Revision) error {
	value, err := head.encode(template)
	if err != nil {
		return err
	}
	if _, err = l.kv.Swap(ctx, headKey(template), value, expected, 0); err != nil {
		return errors.Wrap(err, "changelog: replace head")
	}
	l.guard.Learn(template, head.Sighting())
	l.Remember(template, head)
	return nil
}

// Adopt takes the store's head as it is for the newest state, although newer
// ones were seen. It gives up accepted changes, so only an operator asks for
// it, when no node can Repair or after a ForkError. c names the change under
// which the audit keeps it; only its ID, Who, Template and Note are used.
func (l *Log) Adopt(ctx context.Context, c Change) (Version, error) {
	c.Kind, c.Name, c.Text, c.Delete = KindTemplate, c.Template, nil, true
	if problems := c.fields(); len(problems) > 0 {
		return Version{}, problems
	}
	seen := l.guard.Seen(c.Template)
	found, err := l.rawHead(ctx, c.Template)
	if err != nil {
		return Version{}, err
	}
	if found.Template.Hash == "" {
		return Version{}, ErrNotFound
	}
	if err := l.audit(ctx, c.Template, found.Head); err != nil {
		return Version{}, notRun(err)
	}
	object := found.Template
	next := found.with(Record{
		ID: c.ID, Who: c.Who, At: l.now().UTC(), Kind: KindTemplate, Name: c.Template, Hash: object.Hash, Note: c.Note,
	})
	next.Epoch = max(seen.Epoch, found.Epoch) + 1
	next.Sequence = max(seen.Sequence, found.Sequence) + 1
	next.Audited = next.Sequence - 1
	next.Recent[0].Sequence = next.Sequence
	next.Template.Sequence = next.Sequence
	l.forget(c.Template, next)
	return next.Version, l.replace(ctx, c.Template, next, found.revision)
}

// forget marks accounts as deleted that this process remembers and the adopted
// head does not have. Without it nodes would keep them in force, as nothing
// newer ever came for them.
func (l *Log) forget(template string, adopted *Head) {
	adopted.Gone = copyMap(adopted.Gone)
	for _, remembered := range l.Remembered() {
		if remembered.Template != template {
			continue
		}
		for name := range remembered.Head.Accounts {
			if _, kept := adopted.Accounts[name]; !kept {
				adopted.Gone[name] = adopted.Sequence
			}
		}
	}
}

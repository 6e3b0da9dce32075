package changelog

import (
	"context"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Result tells what a change did.
type Result struct {
	Record Record
	// Version is the head's version that the change made.
	Version Version
	// Repeated tells that the change had taken effect before this call.
	Repeated bool
}

// Apply makes a change. The error tells what is known:
//
//   - nil: the change is in force or was (Repeated).
//   - UnknownError: it may take effect later; repeat it under its ID.
//   - any other: it was not made and will not be. These are config.Problems,
//     ConflictError, ReusedError, TooLargeError, OwnedError, WentBackError,
//     ErrNotFound, ErrBusy and store.ErrUnavailable.
func (l *Log) Apply(ctx context.Context, c Change) (Result, error) {
	checked, err := checkChange(c)
	if err != nil {
		return Result{}, err
	}
	done, err := l.takeTurn(ctx, c.Template)
	if err != nil {
		return Result{}, errors.Wrap(store.ErrUnavailable, "changelog: gave up waiting for other changes")
	}
	defer done()
	a := &attempt{log: l, change: checked}
	return a.run(ctx)
}

// attempt is one run of Apply.
type attempt struct {
	log    *Log
	change *checked
	// pending tells that a swap was sent at the revision pendingAt and its
	// answer was lost. It can take effect for as long as the head stays at
	// that revision.
	pending   bool
	pendingAt store.Revision
	lastError error
}

func (a *attempt) run(ctx context.Context) (Result, error) {
	for try := range a.log.tries {
		if try > 0 && !a.log.pause(ctx, try) {
			break
		}
		result, done, err := a.once(ctx)
		if done {
			return result, err
		}
		a.lastError = err
	}
	if a.pending {
		return Result{}, &UnknownError{ID: a.change.ID, Cause: a.lastError}
	}
	if ctx.Err() != nil {
		return Result{}, errors.Wrap(store.ErrUnavailable, "changelog: the time for the change ended")
	}
	return Result{}, ErrBusy
}

// once tries the change once. It reports done when the outcome is settled.
func (a *attempt) once(ctx context.Context) (Result, bool, error) {
	head, err := a.log.readHead(ctx, a.change.Template)
	if err != nil {
		return a.failed(err)
	}
	earlier, err := a.log.lookUp(ctx, a.change.Template, head.Head, a.change.ID)
	if err != nil {
		return a.failed(err)
	}
	if earlier != nil {
		result, err := a.repeated(head.Head, earlier)
		return result, true, err
	}
	// The head does not hold the change. If it moved on from where the swap
	// was sent, that swap meets a conflict whenever it arrives.
	if a.pending && head.revision != a.pendingAt {
		a.pending = false
	}
	next, err := a.prepare(ctx, head)
	if err != nil {
		return a.failed(err)
	}
	return a.commit(ctx, head, next)
}

// failed settles the attempt on an error, unless an earlier swap is still
// pending: then the change may yet take effect and only more reading can tell.
func (a *attempt) failed(err error) (Result, bool, error) {
	return Result{}, !a.pending, err
}

func (a *attempt) repeated(head *Head, earlier *Record) (Result, error) {
	c := a.change
	if earlier.Kind != c.Kind || earlier.Name != c.Name || earlier.Hash != c.hash {
		return Result{}, &ReusedError{Earlier: *earlier}
	}
	return Result{
		Record:   *earlier,
		Version:  Version{Epoch: head.Epoch, Sequence: earlier.Sequence},
		Repeated: !a.pending,
	}, nil
}

// prepare checks the change against the head and writes all that must be in
// the store before the head is swapped.
func (a *attempt) prepare(ctx context.Context, head headAt) (*Head, error) {
	c := a.change
	if err := a.match(ctx, head.Head); err != nil {
		return nil, err
	}
	if err := a.log.validate(ctx, head.Head, c); err != nil {
		return nil, err
	}
	next := head.with(Record{ID: c.ID, Who: c.Who, At: a.log.now().UTC(), Kind: c.Kind, Name: c.Name, Hash: c.hash, Note: c.Note})
	if _, err := next.encode(c.Template); err != nil {
		return nil, err
	}
	if err := a.log.audit(ctx, c.Template, head.Head); err != nil {
		return nil, notRun(err)
	}
	if c.Delete {
		return next, nil
	}
	if c.Kind == KindAccount && head.Accounts[c.Name].Hash == "" {
		if err := a.log.own(ctx, c.Name, c.Template); err != nil {
			return nil, notRun(err)
		}
	}
	return next, notRun(a.log.objects.write(ctx, c.hash, c.Text))
}

// notRun maps a lost answer to a preparing write onto "not made": as long as
// the head does not name it, such a write has no effect.
func notRun(err error) error {
	if errors.Is(err, store.ErrUnknown) {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	return err
}

// match enforces IfSequence against the head that will be swapped.
func (a *attempt) match(ctx context.Context, head *Head) error {
	c := a.change
	current := head.object(c.Kind, c.Name)
	if c.IfSequence != AnySequence && c.IfSequence != current.Sequence {
		conflict := &ConflictError{Kind: c.Kind, Name: c.Name, Wanted: c.IfSequence, Current: current.Sequence}
		conflict.Changes = a.log.changesSince(ctx, c, head)
		return conflict
	}
	if c.Delete && current.Hash == "" {
		return errors.Wrapf(ErrNotFound, "%s %s", c.Kind, c.Name)
	}
	return nil
}

func (a *attempt) commit(ctx context.Context, head headAt, next *Head) (Result, bool, error) {
	template := a.change.Template
	value, err := next.encode(template)
	if err != nil {
		return a.failed(err)
	}
	_, err = a.log.kv.Swap(ctx, headKey(template), value, head.revision, 0)
	switch {
	case err == nil:
		a.log.guard.Learn(template, next.Sighting())
		a.log.Remember(template, next)
		return Result{Record: next.Recent[0], Version: next.Version}, true, nil
	case errors.Is(err, store.ErrUnknown):
		a.pending, a.pendingAt = true, head.revision
		return Result{}, false, err
	case store.IsConflict(err):
		return Result{}, false, err
	default:
		return a.failed(err)
	}
}

// audit writes the records of changes that are in the head only.
func (l *Log) audit(ctx context.Context, template string, head *Head) error {
	for _, record := range head.unaudited() {
		value, err := json.Marshal(&record)
		if err != nil {
			return errors.Wrap(err, "changelog: encode record")
		}
		if err := writeOnce(ctx, l.kv, auditKey(template, record.ID), value); err != nil {
			return errors.Wrap(err, "changelog: write audit record")
		}
	}
	return nil
}

// own reserves an account's name for a template, for good.
func (l *Log) own(ctx context.Context, account, template string) error {
	key := ownerKey(account)
	if err := writeOnce(ctx, l.kv, key, []byte(template)); err != nil {
		return errors.Wrap(err, "changelog: reserve account name")
	}
	entry, err := l.kv.Get(ctx, key)
	if err != nil {
		return errors.Wrap(err, "changelog: read owner of account")
	}
	if owner := string(entry.Value); owner != template {
		return &OwnedError{Account: account, Owner: owner}
	}
	return nil
}

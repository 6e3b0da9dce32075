package changelog

import (
	"context"

	"github.com/yuccaroute/yuccaroute/config"
)

// Effect is what a change would do to one account.
type Effect struct {
	Account string
	// Before is nil for an account that does not exist yet, After for one that
	// would be deleted.
	Before, After *config.Resolved
}

// Preview checks a change as Apply does and returns what it would do, without
// making it. The errors are those of Apply that mean "not made".
func (l *Log) Preview(ctx context.Context, c Change) ([]Effect, error) {
	checked, err := checkChange(c)
	if err != nil {
		return nil, err
	}
	head, err := l.readHead(ctx, c.Template)
	if err != nil {
		return nil, err
	}
	a := &attempt{log: l, change: checked}
	if err := a.match(ctx, head.Head); err != nil {
		return nil, err
	}
	if err := l.validate(ctx, head.Head, checked); err != nil {
		return nil, err
	}
	if c.Kind == KindAccount {
		effect, err := l.accountEffect(ctx, head.Head, checked)
		return []Effect{effect}, err
	}
	return l.templateEffects(ctx, head.Head, checked)
}

func (l *Log) accountEffect(ctx context.Context, head *Head, c *checked) (Effect, error) {
	effect := Effect{Account: c.Name}
	template, err := l.ParsedTemplate(ctx, head, c.Template)
	if err != nil {
		return effect, err
	}
	if effect.Before, err = l.resolved(ctx, head, template, c.Name); err != nil {
		return effect, err
	}
	if !c.Delete {
		effect.After, err = config.Resolve(template, c.account)
	}
	return effect, err
}

func (l *Log) templateEffects(ctx context.Context, head *Head, c *checked) ([]Effect, error) {
	if c.Delete || len(head.Accounts) == 0 {
		return nil, nil
	}
	old, err := l.ParsedTemplate(ctx, head, c.Template)
	if err != nil {
		return nil, err
	}
	var effects []Effect
	for _, name := range head.AccountNames() {
		effect := Effect{Account: name}
		if effect.Before, err = l.resolved(ctx, head, old, name); err != nil {
			return nil, err
		}
		if effect.After, err = l.resolved(ctx, head, c.template, name); err != nil {
			return nil, err
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

// resolved returns an account of the head under a template, nil when the head
// does not have it.
func (l *Log) resolved(ctx context.Context, head *Head, template *config.Template, name string) (*config.Resolved, error) {
	if head.Accounts[name].Hash == "" {
		return nil, nil
	}
	document, err := l.ParsedAccount(ctx, head, name)
	if err != nil {
		return nil, err
	}
	return config.Resolve(template, document)
}

// Resolved returns an account in force with the origin of its values. Errors:
// ErrNotFound, store.ErrUnavailable, WentBackError.
func (l *Log) Resolved(ctx context.Context, template, account string) (*config.Resolved, error) {
	resolved, _, err := l.ResolvedAt(ctx, template, account)
	return resolved, err
}

// ResolvedAt is Resolved together with the sequence of the account's own last
// change at the same cut.
func (l *Log) ResolvedAt(ctx context.Context, template, account string) (*config.Resolved, uint64, error) {
	head, err := l.Head(ctx, template)
	if err != nil {
		return nil, 0, err
	}
	if head.Accounts[account].Hash == "" {
		return nil, 0, ErrNotFound
	}
	parsed, err := l.ParsedTemplate(ctx, head, template)
	if err != nil {
		return nil, 0, err
	}
	resolved, err := l.resolved(ctx, head, parsed, account)
	return resolved, head.Accounts[account].Sequence, err
}

package admin

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store"
)

// heads returns the heads of all templates. While the store is out they are
// the ones this node last read, each with its age.
func (c *call) heads() ([]changelog.Remembered, wire.Source, error) {
	heads, err := c.api.options.Log.Heads(c.ctx)
	if err != nil {
		return c.rememberedHeads(err)
	}
	return heads, wire.Source{}, nil
}

func (c *call) rememberedHeads(err error) ([]changelog.Remembered, wire.Source, error) {
	if !errors.Is(err, store.ErrUnavailable) {
		return nil, wire.Source{}, err
	}
	heads := c.api.options.Log.Remembered()
	if len(heads) == 0 {
		return nil, wire.Source{}, err
	}
	oldest := heads[0].At
	for i := range heads {
		if heads[i].At.Before(oldest) {
			oldest = heads[i].At
		}
	}
	return heads, c.memorySource(oldest), nil
}

func (c *call) memorySource(at time.Time) wire.Source {
	return wire.Source{FromMemory: true, AgeMS: c.api.options.Now().Sub(at).Milliseconds()}
}

// head returns the head of one template, from memory while the store is out.
func (c *call) head(template string) (*changelog.Head, wire.Source, error) {
	head, err := c.api.options.Log.Head(c.ctx, template)
	if !errors.Is(err, store.ErrUnavailable) {
		return head, wire.Source{}, err
	}
	for _, remembered := range c.api.options.Log.Remembered() {
		if remembered.Template == template {
			return remembered.Head, c.memorySource(remembered.At), nil
		}
	}
	return nil, wire.Source{}, err
}

// templateOf returns the template of the account in the path.
func (c *call) templateOf(account string) (string, error) {
	for _, remembered := range c.api.options.Log.Remembered() {
		if _, found := remembered.Head.Accounts[account]; found {
			return remembered.Template, nil
		}
	}
	template, err := c.api.options.Log.Owner(c.ctx, account)
	if errors.Is(err, store.ErrNotFound) {
		return "", notFound("there is no account " + account)
	}
	return template, err
}

// object returns the template, kind and name that the path is for.
func (c *call) object() (template string, kind changelog.Kind, name string, err error) {
	if c.template != "" {
		return c.template, changelog.KindTemplate, c.template, nil
	}
	template, err = c.templateOf(c.account)
	return template, changelog.KindAccount, c.account, err
}

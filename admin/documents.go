package admin

import (
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

func (c *call) whoami() (any, error) {
	return &wire.Whoami{
		Identity:  c.who.Name,
		Accounts:  c.who.Accounts,
		Templates: c.who.Templates,
		Role:      string(c.who.Role),
	}, nil
}

func (c *call) listTemplates() (any, error) {
	heads, from, err := c.heads()
	if err != nil {
		return nil, err
	}
	list := &wire.TemplateList{Source: from, Templates: []wire.TemplateEntry{}}
	for i := range heads {
		if !c.who.MayTouchTemplate(heads[i].Template) {
			continue
		}
		list.Templates = append(list.Templates, wire.TemplateEntry{
			Name:     heads[i].Template,
			Sequence: heads[i].Head.Template.Sequence,
			Accounts: len(heads[i].Head.Accounts),
		})
	}
	return list, nil
}

func (c *call) listAccounts() (any, error) {
	heads, from, err := c.heads()
	if err != nil {
		return nil, err
	}
	list := &wire.AccountList{Source: from, Accounts: []wire.AccountEntry{}}
	for i := range heads {
		for _, name := range heads[i].Head.AccountNames() {
			if !c.who.MayTouchAccount(name) {
				continue
			}
			list.Accounts = append(list.Accounts, wire.AccountEntry{
				Name:     name,
				Template: heads[i].Template,
				Sequence: heads[i].Head.Accounts[name].Sequence,
			})
		}
	}
	return list, nil
}

func (c *call) getDocument() (any, error) {
	template, kind, name, err := c.object()
	if err != nil {
		return nil, err
	}
	at, err := c.sequenceParam("at")
	if err != nil {
		return nil, err
	}
	if at != 0 {
		return c.documentAt(template, kind, name, at)
	}
	head, from, err := c.head(template)
	if err != nil {
		return nil, err
	}
	object := head.Template
	if kind == changelog.KindAccount {
		object = head.Accounts[name]
	}
	if object.Hash == "" {
		return nil, notFound("there is no " + string(kind) + " " + name)
	}
	text, err := c.api.options.Log.Text(c.ctx, object.Hash)
	if err != nil {
		return nil, err
	}
	c.etag(object.Sequence)
	return &wire.Document{
		Source: from, Kind: string(kind), Name: name, Template: template,
		Sequence: object.Sequence, Text: string(text),
	}, nil
}

// documentAt returns an earlier document. It sets no ETag: a change made from
// an earlier state must name the state in force.
func (c *call) documentAt(template string, kind changelog.Kind, name string, at uint64) (any, error) {
	document, err := c.api.options.Log.DocumentAt(c.ctx, template, kind, name, at)
	if err != nil {
		return nil, err
	}
	return &wire.Document{
		Kind: string(kind), Name: name, Template: template,
		Sequence: document.Sequence, Text: string(document.Text),
	}, nil
}

func (c *call) values() (any, error) {
	template, err := c.templateOf(c.account)
	if err != nil {
		return nil, err
	}
	resolved, err := c.api.options.Log.Resolved(c.ctx, template, c.account)
	if err != nil {
		return nil, err
	}
	return &wire.Values{Account: c.account, Values: resolved.Values(), Merged: string(resolved.ExportMerged())}, nil
}

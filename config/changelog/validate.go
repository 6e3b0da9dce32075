package changelog

import (
	"context"

	"github.com/yuccaroute/yuccaroute/config"
)

// validate checks every account that would result from the change.
func (l *Log) validate(ctx context.Context, head *Head, c *checked) error {
	switch {
	case c.Kind == KindAccount && c.Delete:
		return nil
	case c.Kind == KindAccount:
		return l.validateAccount(ctx, head, c)
	case c.Delete:
		return unusedTemplate(head, c)
	default:
		return l.validateTemplate(ctx, head, c)
	}
}

// validateAccount checks the one account that changes; the others were checked
// with the same template when they or it last changed.
func (l *Log) validateAccount(ctx context.Context, head *Head, c *checked) error {
	if head.Template.Hash == "" {
		return config.Problems{{
			File: c.file(), Section: "account", Key: "template", Value: c.Template,
			Message: "there is no such template",
		}}
	}
	template, err := l.ParsedTemplate(ctx, head, c.Template)
	if err != nil {
		return err
	}
	_, err = config.Resolve(template, c.account)
	return err
}

// validateTemplate checks all accounts of the template and reports the
// problems of all of them.
func (l *Log) validateTemplate(ctx context.Context, head *Head, c *checked) error {
	var problems config.Problems
	for _, name := range head.AccountNames() {
		account, err := l.ParsedAccount(ctx, head, name)
		if err != nil {
			return err
		}
		_, err = config.Resolve(c.template, account)
		found, ok := err.(config.Problems)
		if err != nil && !ok {
			return err
		}
		problems = append(problems, found...)
	}
	return problems.Err()
}

func unusedTemplate(head *Head, c *checked) error {
	if len(head.Accounts) == 0 {
		return nil
	}
	return config.Problems{{
		File:    c.file(),
		Message: "accounts use the template: " + listSome(head.AccountNames()),
	}}
}

// ParsedTemplate returns the template of a head.
func (l *Log) ParsedTemplate(ctx context.Context, head *Head, name string) (*config.Template, error) {
	text, err := l.objects.read(ctx, head.Template.Hash)
	if err != nil {
		return nil, err
	}
	return config.ParseTemplate(fileName(KindTemplate, name), text)
}

// ParsedAccount returns the document of an account of a head.
func (l *Log) ParsedAccount(ctx context.Context, head *Head, name string) (*config.AccountDocument, error) {
	text, err := l.objects.read(ctx, head.Accounts[name].Hash)
	if err != nil {
		return nil, err
	}
	return config.ParseAccount(fileName(KindAccount, name), text)
}

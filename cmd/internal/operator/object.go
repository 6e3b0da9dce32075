package operator

import (
	"github.com/yuccaroute/yuccaroute/admin/client"
)

// Kind tells templates from accounts.
type Kind string

// The kinds of objects.
const (
	KindTemplate Kind = "template"
	KindAccount  Kind = "account"
)

// Object is a template or a client account.
type Object struct {
	Kind Kind
	Name string
}

// String returns for example "account daehan".
func (o Object) String() string { return string(o.Kind) + " " + o.Name }

// API returns the object as the administration API names it.
func (o Object) API() client.Object {
	if o.Kind == KindTemplate {
		return client.Template(o.Name)
	}
	return client.Account(o.Name)
}

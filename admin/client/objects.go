package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/google/uuid"

	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Object names a template or an account.
type Object struct {
	collection string
	name       string
}

// Template names a template.
func Template(name string) Object { return Object{"templates", name} }

// Account names an account.
func Account(name string) Object { return Object{"accounts", name} }

func (o Object) path(more ...string) []string {
	return append([]string{o.collection, o.name}, more...)
}

// Whoami tells who the token is for.
func (c *Client) Whoami(ctx context.Context) (*wire.Whoami, error) {
	return get[wire.Whoami](ctx, c, []string{"whoami"}, nil)
}

// Templates lists templates.
func (c *Client) Templates(ctx context.Context) (*wire.TemplateList, error) {
	return get[wire.TemplateList](ctx, c, []string{"templates"}, nil)
}

// Accounts lists accounts.
func (c *Client) Accounts(ctx context.Context) (*wire.AccountList, error) {
	return get[wire.AccountList](ctx, c, []string{"accounts"}, nil)
}

// Get returns a document with its sequence.
func (c *Client) Get(ctx context.Context, o Object) (*wire.Document, error) {
	return get[wire.Document](ctx, c, o.path(), nil)
}

// GetAt returns the document that was in force at a sequence of the history.
func (c *Client) GetAt(ctx context.Context, o Object, sequence uint64) (*wire.Document, error) {
	query := url.Values{"at": {strconv.FormatUint(sequence, 10)}}
	return get[wire.Document](ctx, c, o.path(), query)
}

// Put creates or changes a document. A change without an ID gets one.
func (c *Client) Put(ctx context.Context, o Object, match Match, change wire.ChangeRequest) (*wire.ChangeAnswer, error) {
	change.ID = withID(change.ID)
	return send[wire.ChangeAnswer](ctx, c, request{method: http.MethodPut, path: o.path(), match: &match, body: change, changeID: change.ID})
}

// Delete deletes a document. id "" makes one.
func (c *Client) Delete(ctx context.Context, o Object, match Match, id, note string) (*wire.ChangeAnswer, error) {
	return remove(ctx, c, o.path(), match, id, note)
}

func remove(ctx context.Context, c *Client, path []string, match Match, id, note string) (*wire.ChangeAnswer, error) {
	id = withID(id)
	query := url.Values{"id": {id}, "note": {note}}
	return send[wire.ChangeAnswer](ctx, c, request{method: http.MethodDelete, path: path, query: query, match: &match, changeID: id})
}

// DryRun checks a change and tells what it would do.
func (c *Client) DryRun(ctx context.Context, o Object, match Match, change wire.ChangeRequest) (*wire.Preview, error) {
	return send[wire.Preview](ctx, c, request{method: http.MethodPost, path: o.path("dry-run"), match: &match, body: change})
}

// RollBack puts an earlier document in force again.
func (c *Client) RollBack(ctx context.Context, o Object, match Match, to wire.RollBackRequest) (*wire.ChangeAnswer, error) {
	to.ID = withID(to.ID)
	return send[wire.ChangeAnswer](ctx, c, request{method: http.MethodPost, path: o.path("roll-back"), match: &match, body: to, changeID: to.ID})
}

// History lists changes before a sequence, newest first; 0 starts at the
// newest, and limit 0 takes the server's.
func (c *Client) History(ctx context.Context, o Object, before uint64, limit int) (*wire.History, error) {
	query := url.Values{}
	if before != 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	if limit != 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return get[wire.History](ctx, c, o.path("history"), query)
}

// Outcome tells whether a change took effect.
func (c *Client) Outcome(ctx context.Context, o Object, id string) (*wire.Outcome, error) {
	return get[wire.Outcome](ctx, c, o.path("changes", id), nil)
}

// AdoptStore gives up states of a template that are newer than the store's.
func (c *Client) AdoptStore(ctx context.Context, template string, adopt wire.AdoptRequest) (*wire.AdoptAnswer, error) {
	adopt.ID = withID(adopt.ID)
	path := Template(template).path("adopt-store")
	return send[wire.AdoptAnswer](ctx, c, request{method: http.MethodPost, path: path, body: adopt, changeID: adopt.ID})
}

// Identities returns the document of identities.
func (c *Client) Identities(ctx context.Context) (*wire.IdentitiesDocument, error) {
	return get[wire.IdentitiesDocument](ctx, c, []string{"identities"}, nil)
}

// PutIdentities replaces the document of identities.
func (c *Client) PutIdentities(ctx context.Context, match Match, text string) (*wire.IdentitiesDocument, error) {
	r := request{method: http.MethodPut, path: []string{"identities"}, match: &match, body: wire.ChangeRequest{Text: text}, changeID: "identities"}
	return send[wire.IdentitiesDocument](ctx, c, r)
}

func withID(id string) string {
	if id == "" {
		return uuid.NewString()
	}
	return id
}

func get[T any](ctx context.Context, c *Client, path []string, query url.Values) (*T, error) {
	return send[T](ctx, c, request{method: http.MethodGet, path: path, query: query})
}

func send[T any](ctx context.Context, c *Client, r request) (*T, error) {
	into := new(T)
	if err := c.do(ctx, r, into); err != nil {
		return nil, err
	}
	return into, nil
}

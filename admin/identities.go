package admin

import (
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store"
)

func (c *call) getIdentities() (any, error) {
	entry, err := c.api.options.KV.Get(c.ctx, identity.StoreKey)
	if errors.Is(err, store.ErrNotFound) {
		return &wire.IdentitiesDocument{}, nil
	}
	if err != nil {
		return nil, err
	}
	c.etag(uint64(entry.Revision))
	return &wire.IdentitiesDocument{Text: string(entry.Value), Revision: uint64(entry.Revision)}, nil
}

// putIdentities replaces the document. A document without an owner is refused:
// nobody could mend it through the API.
func (c *call) putIdentities() (any, error) {
	var request wire.ChangeRequest
	if err := c.read(&request); err != nil {
		return nil, err
	}
	expected, err := c.ifSequence()
	if err != nil {
		return nil, err
	}
	if expected == changelog.AnySequence {
		return nil, badRequest("the document of identities is only changed at a known revision")
	}
	set, err := identity.Parse("identities", []byte(request.Text))
	if err != nil {
		return nil, err
	}
	if !set.HasOwner() {
		return nil, config.Problems{{File: "identities", Key: "role", Message: "no identity is an owner", Permitted: "at least one owner"}}
	}
	revision, err := c.api.options.KV.Swap(c.ctx, identity.StoreKey, []byte(request.Text), store.Revision(expected), 0)
	if store.IsConflict(err) {
		return nil, &changelog.ConflictError{Kind: "identities", Wanted: expected, Current: conflictRevision(err)}
	}
	if err != nil {
		return nil, err
	}
	c.api.options.Logger.Infof("admin: identities changed by %s at revision %d", c.who.Name, revision)
	c.etag(uint64(revision))
	return &wire.IdentitiesDocument{Text: request.Text, Revision: uint64(revision)}, nil
}

func conflictRevision(err error) uint64 {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return uint64(conflict.Current)
	}
	return 0
}

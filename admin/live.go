package admin

import (
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

func (c *call) listLive() (any, error) {
	if c.api.options.Live == nil {
		return nil, notFound("this node holds no accounts")
	}
	list := &wire.LiveList{Accounts: []wire.LiveAccount{}}
	for _, live := range c.api.options.Live.Live() {
		if c.who.MayTouchAccount(string(live.Account.Name)) {
			list.Accounts = append(list.Accounts, live)
		}
	}
	return list, nil
}

func (c *call) live() (any, error) {
	if c.api.options.Live == nil {
		return nil, notFound("this node holds no accounts")
	}
	for _, live := range c.api.options.Live.Live() {
		if string(live.Account.Name) == c.account {
			return &live, nil
		}
	}
	return nil, notFound("account " + c.account + " is not in force on this node")
}

// status tells where a state is in force: the one asked for, or else the
// newest that the store has.
func (c *call) status() (any, error) {
	if c.api.options.Status == nil {
		return nil, notFound("this node does not know other nodes")
	}
	version, err := c.wantedVersion()
	if err != nil {
		return nil, err
	}
	spreading, err := c.api.options.Status.Spreading(c.ctx, model.AccountName(c.account), version)
	if err != nil {
		return nil, err
	}
	spreading.Account = c.account
	spreading.Epoch, spreading.Sequence = version.Epoch, version.Sequence
	return spreading, nil
}

func (c *call) wantedVersion() (changelog.Version, error) {
	var version changelog.Version
	var err error
	if version.Sequence, err = c.sequenceParam("sequence"); err != nil {
		return version, err
	}
	if version.Epoch, err = c.sequenceParam("epoch"); err != nil {
		return version, err
	}
	if version.Sequence != 0 && version.Epoch != 0 {
		return version, nil
	}
	template, err := c.templateOf(c.account)
	if err != nil {
		return version, err
	}
	head, _, err := c.head(template)
	if err != nil {
		return version, err
	}
	if version.Sequence == 0 {
		return head.ItemVersion(c.account), nil
	}
	version.Epoch = head.Epoch
	return version, nil
}

func (c *call) explain() (any, error) {
	if c.api.options.Explainer == nil {
		return nil, notFound("this node explains no decisions")
	}
	report, err := c.api.options.Explainer.Explain(c.ctx, model.AccountName(c.account))
	if err != nil {
		return nil, notFound("there is no decision to explain: " + err.Error())
	}
	return report, nil
}

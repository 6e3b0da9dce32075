package admin

import (
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// maxPreviewed bounds the accounts that a preview lists.
const maxPreviewed = 50

func (c *call) dryRun() (any, error) {
	change, err := c.readChange()
	if err != nil {
		return nil, err
	}
	effects, err := c.api.options.Log.Preview(c.ctx, change)
	if err != nil {
		return nil, err
	}
	preview := &wire.Preview{Accounts: []wire.AccountPreview{}}
	for i := range effects {
		// An account that is not in the caller's scope is counted only.
		if len(preview.Accounts) == maxPreviewed || !c.who.MayTouchAccount(effects[i].Account) {
			preview.MoreAccounts++
			continue
		}
		preview.Accounts = append(preview.Accounts, c.preview(&effects[i]))
	}
	return preview, nil
}

func (c *call) preview(effect *changelog.Effect) wire.AccountPreview {
	p := wire.AccountPreview{Account: effect.Account, Values: config.Diff(effect.Before, effect.After)}
	if c.api.options.Forecaster == nil {
		p.ForecastMissing = "this node makes no forecasts"
		return p
	}
	if effect.After == nil {
		p.ForecastMissing = "the account would be deleted"
		return p
	}
	var before *model.Account
	if effect.Before != nil {
		before = effect.Before.Account
	}
	forecast, err := c.api.options.Forecaster.Forecast(c.ctx, before, effect.After.Account)
	if err != nil {
		p.ForecastMissing = err.Error()
		return p
	}
	p.Forecast = forecast
	return p
}

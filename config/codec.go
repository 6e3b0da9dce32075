package config

import (
	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Encode writes an account for spreading between nodes.
func Encode(account *model.Account) ([]byte, error) {
	body, err := json.Marshal(account)
	return body, errors.Wrap(err, "config: encode account")
}

// Decode is the inverse of Encode.
func Decode(body []byte) (*model.Account, error) {
	account := &model.Account{}
	if err := json.Unmarshal(body, account); err != nil {
		return nil, errors.Wrap(err, "config: decode account")
	}
	return account, nil
}

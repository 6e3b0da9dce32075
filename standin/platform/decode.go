package platform

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// decode reads a request. A call that can't be read is not done.
func decode[T any](body []byte) (T, error) {
	var request T
	if err := json.Unmarshal(body, &request); err != nil {
		return request, errors.WithMessage(store.ErrUnavailable, err.Error())
	}
	return request, nil
}

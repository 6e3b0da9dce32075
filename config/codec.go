package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// maxDecodedBytes bounds what a body may unpack to. Compressed bytes can
// unpack to a thousand times their size, which would take a node's memory.
const maxDecodedBytes = 8 << 20

// Encode writes an account for spreading between nodes, as compressed JSON:
// every node receives every account in force.
func Encode(account *model.Account) ([]byte, error) {
	text, err := json.Marshal(account)
	if err != nil {
		return nil, errors.Wrap(err, "config: encode account")
	}
	var body bytes.Buffer
	packer, err := flate.NewWriter(&body, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "config: pack account")
	}
	if _, err = packer.Write(text); err != nil {
		return nil, errors.Wrap(err, "config: pack account")
	}
	if err = packer.Close(); err != nil {
		return nil, errors.Wrap(err, "config: pack account")
	}
	return body.Bytes(), nil
}

// Decode is the inverse of Encode.
func Decode(body []byte) (*model.Account, error) {
	unpacker := flate.NewReader(bytes.NewReader(body))
	text, err := io.ReadAll(io.LimitReader(unpacker, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "config: unpack account")
	}
	if len(text) > maxDecodedBytes {
		return nil, errors.Errorf("config: account has more than %d bytes", maxDecodedBytes)
	}
	account := &model.Account{}
	if err := json.Unmarshal(text, account); err != nil {
		return nil, errors.Wrap(err, "config: decode account")
	}
	compact(account)
	return account, nil
}

// compact frees what decoding leaves behind: spare room in the list of caller
// blocks, which is by far the largest, and a copy of the region's name for each
// block. A node holds hundreds of thousands of blocks.
func compact(account *model.Account) {
	account.Callers = append([]model.CallerBlock(nil), account.Callers...)
	names := make(map[model.RegionName]model.RegionName, len(account.Regions))
	for i := range account.Callers {
		block := &account.Callers[i]
		name, seen := names[block.Region]
		if !seen {
			name = block.Region
			names[name] = name
		}
		block.Region = name
	}
}

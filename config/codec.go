package config

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"sync"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// maxDecodedBytes bounds what a body may unpack to. Compressed bytes can
// unpack to a thousand times their size, which would take a node's memory.
const maxDecodedBytes = 8 << 20

// dividedMark begins the body of an account whose caller blocks are content of
// their own. Compressed data never begins with this byte, as the kind of block
// it names is reserved. A node of a release that knows no such bodies refuses
// it and keeps the state in force; it would else take the account for one
// without any callers.
const dividedMark = 0x07

// divided is an account without its caller blocks, as it is spread.
type divided struct {
	*model.Account
	NamedRegions []model.RegionName `json:",omitempty"`
}

// Encode writes an account with all its caller blocks, as compressed JSON.
func Encode(account *model.Account) ([]byte, error) {
	return pack(account, "account")
}

// EncodeDivided writes an account for spreading between nodes, and the sets of
// caller blocks that it names. Few blocks stay inside the account. Every node
// receives every account in force, but a set only if no account held named it.
func EncodeDivided(account *model.Account) ([]byte, []Content, error) {
	if len(account.Callers) <= inlineBlocks {
		body, err := Encode(account)
		return body, nil, err
	}
	contents, err := contentOf(callerSets(account.Callers))
	if err != nil {
		return nil, nil, err
	}
	rest := *account
	rest.Callers = nil
	packed, err := pack(divided{Account: &rest, NamedRegions: regionsOf(account.Callers)}, "account")
	if err != nil {
		return nil, nil, err
	}
	return append(appendNames(nil, contents), packed...), contents, nil
}

// appendNames writes the names that cutNames reads.
func appendNames(body []byte, contents []Content) []byte {
	body = append(body, dividedMark)
	body = binary.AppendUvarint(body, uint64(len(contents)))
	for i := range contents {
		body = append(body, contents[i].Name[:]...)
	}
	return body
}

// CallerSets returns the names of the sets of caller blocks that an account's
// body needs, without decoding the account. It is empty for a body that holds
// its blocks itself or is no account.
func CallerSets(body []byte) []content.Name {
	names, _, _ := cutNames(body)
	return names
}

// cutNames returns the names at the head of a body and what follows them.
func cutNames(body []byte) (names []content.Name, rest []byte, err error) {
	if len(body) == 0 || body[0] != dividedMark {
		return nil, body, nil
	}
	count, size := binary.Uvarint(body[1:])
	rest = body[1+max(size, 0):]
	if size <= 0 || count > uint64(len(rest)/len(content.Name{})) {
		return nil, nil, errors.New("config: the names of an account's caller blocks are cut off")
	}
	names = make([]content.Name, count)
	for i := range names {
		rest = rest[copy(names[i][:], rest):]
	}
	return names, rest, nil
}

// Decode reads what Encode or EncodeDivided wrote. An account whose blocks are
// content of their own has CallerSets in place of Callers; see DecodeCallers.
func Decode(body []byte) (*model.Account, error) {
	names, packed, err := cutNames(body)
	if err != nil {
		return nil, err
	}
	account := &model.Account{}
	read := divided{Account: account}
	if err := unpack(packed, &read, "account"); err != nil {
		return nil, err
	}
	account.CallerSets = names
	account.CallerRegions = read.NamedRegions
	// Decoding leaves spare room in the list.
	account.Callers = append([]model.CallerBlock(nil), account.Callers...)
	shareNames(account.Callers)
	return account, nil
}

func pack(value any, what string) ([]byte, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "config: encode %s", what)
	}
	var body bytes.Buffer
	packer, err := flate.NewWriter(&body, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrapf(err, "config: pack %s", what)
	}
	if _, err = packer.Write(text); err != nil {
		return nil, errors.Wrapf(err, "config: pack %s", what)
	}
	if err = packer.Close(); err != nil {
		return nil, errors.Wrapf(err, "config: pack %s", what)
	}
	return body.Bytes(), nil
}

// unpackers keeps readers: each has a window of 32 KB, and a merge of all accounts
// of a template would make one for each.
var unpackers = sync.Pool{New: func() any { return flate.NewReader(nil) }}

func unpack(body []byte, value any, what string) error {
	unpacker := unpackers.Get().(io.Reader)
	defer unpackers.Put(unpacker)
	if err := unpacker.(flate.Resetter).Reset(bytes.NewReader(body), nil); err != nil {
		return errors.Wrapf(err, "config: unpack %s", what)
	}
	text, err := io.ReadAll(io.LimitReader(unpacker, maxDecodedBytes+1))
	if err != nil {
		return errors.Wrapf(err, "config: unpack %s", what)
	}
	if len(text) > maxDecodedBytes {
		return errors.Errorf("config: %s has more than %d bytes", what, maxDecodedBytes)
	}
	return errors.Wrapf(json.Unmarshal(text, value), "config: decode %s", what)
}

// shareNames keeps one copy of each region's name. Decoding leaves one for each
// block, and a node reads hundreds of thousands of blocks.
func shareNames(blocks []model.CallerBlock) {
	names := make(map[model.RegionName]model.RegionName)
	for i := range blocks {
		name, seen := names[blocks[i].Region]
		if !seen {
			name = blocks[i].Region
			names[name] = name
		}
		blocks[i].Region = name
	}
}

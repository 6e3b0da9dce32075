package client

import (
	"context"
	"io"
	"net/http"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// LookupPath is where every node answers look-ups.
const LookupPath = "/v1/lookup"

// maxLookupBytes bounds a look-up answer.
const maxLookupBytes = 1 << 20

// ask asks the nodes one after the other until one answers.
func (c *entryCache) ask() (Entries, error) {
	var last error
	for _, address := range c.nodes() {
		if c.ctx.Err() != nil {
			return Entries{}, c.ctx.Err()
		}
		entries, err := c.askNode(address)
		if err == nil {
			return entries, nil
		}
		last = errors.Wrapf(err, "look-up at %s", address)
	}
	return Entries{}, last
}

// nodes returns whom to ask: the entry VMs held, then the nodes of the options.
func (c *entryCache) nodes() []string {
	var addresses []string
	seen := make(map[string]bool)
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	if held := c.current.Load(); held != nil {
		for _, vm := range held.entries.VMs {
			add(vm.Address)
		}
	}
	for _, address := range c.options.Nodes {
		add(address)
	}
	return addresses
}

func (c *entryCache) askNode(address string) (Entries, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.LookupTimeout)
	defer cancel()
	req, err := newHTTPRequest(ctx, http.MethodGet, address, LookupPath, nil)
	if err != nil {
		return Entries{}, err
	}
	req.Header.Set(result.HeaderAccount, string(c.options.Account))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return Entries{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLookupBytes))
	if err != nil {
		return Entries{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Entries{}, errors.Errorf("status %d, result %s", resp.StatusCode, resp.Header.Get(result.HeaderResult))
	}
	return c.parse(body)
}

// parse checks a look-up answer. An answer from an older configuration than
// the one held comes from a node that lags; taking it would send callers back
// to entry VMs that were taken away.
func (c *entryCache) parse(body []byte) (Entries, error) {
	var entries Entries
	if err := json.Unmarshal(body, &entries); err != nil {
		return Entries{}, errors.Wrap(err, "parse")
	}
	if len(entries.VMs) == 0 {
		return Entries{}, errors.New("no entry VM in the answer")
	}
	if held := c.current.Load(); held != nil && entries.Revision < held.entries.Revision {
		return Entries{}, errors.Errorf("revision %d is older than %d", entries.Revision, held.entries.Revision)
	}
	return entries, nil
}

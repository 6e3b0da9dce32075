package scenario

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

// configRepetitions is how often a step is done; the least time counts.
const configRepetitions = 3

// configByBlocks measures one account's document by its caller blocks: its
// size in the store and between nodes, and the time to check and to read it.
func configByBlocks() Scenario {
	return Scenario{
		Name:     "config-blocks",
		SizeName: "blocks",
		Summary:  "an account's document by caller blocks: bytes, time to check, to encode and to read",
		MaxSize:  targetBlocks,
		Untimed:  true,
		Run:      runConfig,
	}
}

func runConfig(_ context.Context, p Params) ([]report.Metric, error) {
	text := accountWithBlocks(int(p.Size), p.Seed)
	template := examples.Text(examples.DealerTemplate)
	var resolved *config.Resolved
	check, err := least(func() (err error) {
		resolved, err = config.ResolveText("template", template, "account", text)
		return err
	})
	if err != nil {
		return nil, err
	}
	var body []byte
	var contents []config.Content
	encode, err := least(func() (err error) {
		body, contents, err = config.EncodeDivided(resolved.Account)
		return err
	})
	if err != nil {
		return nil, err
	}
	content := 0
	sets := make([][]byte, 0, len(contents))
	for i := range contents {
		content += len(contents[i].Body)
		sets = append(sets, contents[i].Body)
	}
	decode, err := least(func() error {
		if _, err := config.Decode(body); err != nil {
			return err
		}
		_, err := config.DecodeCallers(sets)
		return err
	})
	if err != nil {
		return nil, err
	}
	before := liveHeap()
	account, err := config.Decode(body)
	if err != nil {
		return nil, err
	}
	kept := liveHeap() - before
	runtime.KeepAlive(account)
	return []report.Metric{
		{Name: "document", Unit: "B", Value: float64(len(text))},
		{Name: "item", Unit: "B", Value: float64(len(body))},
		{Name: "content", Unit: "B", Value: float64(content)},
		{Name: "check", Unit: "ms", Value: check.Seconds() * 1000},
		{Name: "encode", Unit: "ms", Value: encode.Seconds() * 1000},
		{Name: "decode", Unit: "ms", Value: decode.Seconds() * 1000},
		{Name: "account kept", Unit: "B", Value: float64(kept)},
	}, nil
}

// accountWithBlocks is the example account with other caller blocks.
func accountWithBlocks(count int, seed uint64) []byte {
	regions := []string{"kr-seoul", "kr-busan", "kr-daejeon"}
	sample := blocktest.New(count, len(regions), seed)
	lists := make([][]string, len(regions))
	for i, block := range sample.Blocks {
		lists[i%len(regions)] = append(lists[i%len(regions)], block.Prefix.String())
	}
	text := examples.Text(examples.DaehanAccount)
	head, _, _ := bytes.Cut(text, []byte("[callers "))
	out := slices.Clone(head)
	for i, region := range regions {
		out = fmt.Appendf(out, "[callers %s]\nblocks = %s\n\n", region, strings.Join(lists[i], ", "))
	}
	return out
}

// least returns the shortest time of several calls, the one least disturbed.
func least(call func() error) (time.Duration, error) {
	shortest := time.Duration(1<<63 - 1)
	for range configRepetitions {
		started := time.Now()
		if err := call(); err != nil {
			return 0, err
		}
		shortest = min(shortest, time.Since(started))
	}
	return shortest, nil
}

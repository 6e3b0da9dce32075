package config_test

import (
	"bytes"
	"compress/flate"
	"io"
	"net/netip"
	"slices"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
)

// manyBlocks is as many caller blocks as an account of the target has.
const manyBlocks = 12_222

func accountOf(blocks int) *model.Account {
	a := &model.Account{Name: "large", Regions: []model.Region{{Name: "kr-seoul"}}}
	for i := range blocks {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 0}), 24)
		a.Callers = append(a.Callers, model.CallerBlock{Prefix: prefix, Region: []model.RegionName{"kr-seoul", "kr-busan"}[i%2]})
	}
	return a
}

// divide returns the body of an account, its content, and the names of that.
func divide(t *testing.T, a *model.Account) (body []byte, sets [][]byte, names []content.Name) {
	t.Helper()
	body, contents, err := config.EncodeDivided(a)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range contents {
		sets = append(sets, c.Body)
		names = append(names, c.Name)
	}
	return body, sets, names
}

// TestDividedRoundTrips also bounds what a change of an account with 12,222
// blocks costs every node: its item had 78.8 KB before.
func TestDividedRoundTrips(t *testing.T) {
	a := accountOf(manyBlocks)
	body, sets, names := divide(t, a)
	t.Logf("item of %d bytes, %d sets of %d bytes in sum", len(body), len(sets), len(bytes.Join(sets, nil)))
	if len(body) > 1000 {
		t.Errorf("item of %d bytes", len(body))
	}
	decoded, err := config.Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(decoded.CallerSets, names) || !slices.Equal(config.CallerSets(body), names) {
		t.Error("other names after decoding")
	}
	if !slices.Equal(decoded.CallerRegions, []model.RegionName{"kr-seoul", "kr-busan"}) {
		t.Errorf("regions %v", decoded.CallerRegions)
	}
	callers, err := config.DecodeCallers(sets)
	if err != nil || !slices.Equal(callers, a.Callers) {
		t.Errorf("other blocks after decoding: %v", err)
	}
	few, sets, _ := divide(t, accountOf(3))
	if len(sets) != 0 || len(config.CallerSets(few)) != 0 {
		t.Error("three blocks are content of their own")
	}
}

// Story: an operator adds one block to an account of 12,222. Every node of the
// fleet receives all blocks again, as the hash over them is another one.
func TestOneBlockChangesOneSet(t *testing.T) {
	a := accountOf(manyBlocks)
	_, _, before := divide(t, a)
	for _, at := range []int{0, manyBlocks / 2, manyBlocks} {
		changed := *a
		added := model.CallerBlock{Prefix: netip.MustParsePrefix("10.0.0.0/30"), Region: "kr-seoul"}
		added.Prefix = netip.PrefixFrom(netip.AddrFrom4([4]byte{10, byte(at >> 8), byte(at), 4}), 30)
		changed.Callers = slices.Insert(slices.Clone(a.Callers), manyBlocks-at, added)
		_, _, after := divide(t, &changed)
		fresh := 0
		for _, name := range after {
			if !slices.Contains(before, name) {
				fresh++
			}
		}
		// Two, if the added block ends a set.
		if fresh < 1 || fresh > 2 {
			t.Errorf("%d of %d sets are new", fresh, len(after))
		}
	}
}

// Nodes of the release before must fail to read an account without its blocks, and so keep the
// state in force, rather than refuse all its callers.
func TestReleaseBeforeRefusesDividedAccounts(t *testing.T) {
	body, _, _ := divide(t, accountOf(manyBlocks))
	if text, err := io.ReadAll(flate.NewReader(bytes.NewReader(body))); err == nil {
		t.Errorf("unpacked to %d bytes", len(text))
	}
	for cut := range 1 + len(content.Name{}) {
		if _, err := config.Decode(body[:1+cut]); err == nil {
			t.Fatalf("%d bytes of a body are accepted", 1+cut)
		}
	}
}

package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/parts"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// maxVMs bounds the rows of a list.
const maxVMs = 20_000

// membersByVMs measures one reading of a VM list that has changed.
func membersByVMs() Scenario {
	return Scenario{
		Name:     "membership",
		SizeName: "vms",
		Summary:  "one changed VM list, a fifth of it entry VMs: bytes, time to read, to use in look-up and spreading",
		MaxSize:  maxVMs,
		Untimed:  true,
		Run: func(_ context.Context, p Params) ([]report.Metric, error) {
			return measureMembers(int(p.Size))
		},
	}
}

// mixedList returns entry VMs and four times as many targets.
func mixedList(count int) membership.List {
	list := fleet(max(count/5, 1))
	for i := range list.VMs {
		list.VMs[i].Peer = list.VMs[i].Address
	}
	for i := range count - len(list.VMs) {
		site := i % targetSites
		list.VMs = append(list.VMs, membership.VM{
			ID: fmt.Sprintf("target-%05d", i), Role: membership.RoleTarget,
			Region: regionName(site % targetRegions), Place: model.PlaceName(fmt.Sprintf("site-%03d", site)),
			Account: accountName, Service: serviceName(i / targetSites % services),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 8080),
		})
	}
	return list
}

func measureMembers(count int) ([]report.Metric, error) {
	list := mixedList(count)
	answer := wire.ListResponse{Sequence: 1}
	for _, vm := range list.VMs {
		answer.VMs = append(answer.VMs, wire.FromVM(vm))
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	read, err := least(func() error { return readList(body) })
	if err != nil {
		return nil, err
	}
	before := liveHeap()
	kept := mixedList(count)
	bytes := liveHeap() - before
	runtime.KeepAlive(kept)
	before = liveHeap()
	bodies, err := parts.Split(list.VMs)
	if err != nil {
		return nil, err
	}
	bodiesKept := liveHeap() - before
	divide, err := least(func() error { _, err := parts.Split(list.VMs); return err })
	if err != nil {
		return nil, err
	}
	l := lookup.New(lookup.Options{})
	set, _ := least(func() error { l.SetVMs(list); return nil })
	members := topology.FromList(list)
	build, _ := least(func() error { topology.Build(members, members[0]); return nil })
	return []report.Metric{
		{Name: "list", Unit: "B", Value: float64(len(body))},
		{Name: "read", Unit: "us", Value: float64(read.Microseconds())},
		{Name: "list kept", Unit: "B", Value: float64(bytes)},
		{Name: "parts", Unit: "B", Value: float64(sizeOf(bodies))},
		{Name: "parts kept", Unit: "B", Value: float64(bodiesKept)},
		{Name: "divide", Unit: "us", Value: float64(divide.Microseconds())},
		{Name: "look-up", Unit: "us", Value: float64(set.Microseconds())},
		{Name: "topology", Unit: "us", Value: float64(build.Microseconds())},
	}, nil
}

func sizeOf(bodies parts.Bodies) int {
	size := 0
	for _, body := range bodies {
		size += len(body)
	}
	return size
}

func readList(body []byte) error {
	var answer wire.ListResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return err
	}
	for _, message := range answer.VMs {
		if _, err := message.VM(); err != nil {
			return err
		}
	}
	return nil
}

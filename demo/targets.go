package demo

import (
	"fmt"
	"sync"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/standin/target"
)

// runningTarget is one target with its row in the VM list.
type runningTarget struct {
	vm     membership.VM
	target *target.Target
	stop   sync.Once
}

// end stops the target once, however often it is asked to.
func (r *runningTarget) end() { r.stop.Do(r.target.Stop) }

// startTargets starts all targets of an account.
func startTargets(account *model.Account, seed uint64) ([]*runningTarget, error) {
	var all []*runningTarget
	for i := range account.Services {
		service := &account.Services[i]
		for _, place := range account.Places {
			for number := range targetsIn(service, place.Name) {
				t, err := startTarget(account, service, place, number, seed+uint64(len(all)))
				if err != nil {
					return all, err
				}
				all = append(all, t)
			}
		}
	}
	return all, nil
}

func startTarget(account *model.Account, service *model.Service, place model.Place, number int, seed uint64) (*runningTarget, error) {
	name := fmt.Sprintf("%s-%s-%d", service.Name, place.Name, number+1)
	t := target.New(target.Options{
		Name:           name,
		Slots:          service.SlotsPerTarget,
		Queue:          service.SlotsPerTarget,
		ServiceTime:    serviceTime,
		Spread:         timeSpread,
		Seed:           seed,
		ColdRequests:   coldRequests,
		ColdFactor:     coldFactor,
		ConnectionCost: connectionCost,
		ProbeCost:      probeCost,
		LoadLag:        loadLag,
		MaxBodyBytes:   int(service.MaxRequestBytes),
	})
	if err := t.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	vm := membership.VM{
		ID:      name,
		Role:    membership.RoleTarget,
		State:   membership.StateLive,
		Region:  place.Region,
		Place:   place.Name,
		Account: account.Name,
		Service: service.Name,
		Address: t.Addr(),
	}
	return &runningTarget{vm: vm, target: t}, nil
}

// ran returns the target's ledger for the checker.
func (r *runningTarget) ran() []check.Ran {
	var lines []check.Ran
	for _, run := range r.target.Ledger() {
		lines = append(lines, check.Ran{
			Token:   run.Token,
			Target:  r.vm.ID,
			Account: r.vm.Account,
			Service: r.vm.Service,
			Place:   r.vm.Place,
			At:      run.At,
			Count:   run.Count,
		})
	}
	return lines
}

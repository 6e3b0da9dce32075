package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy"
	"github.com/yuccaroute/yuccaroute/standin/target"
)

// Sizes of the farm within the test.
const (
	localTargets = 4
	localEntries = 2
	ample        = 1_000_000 * grant.PerRequest
	bodyLimit    = 1 << 20
	stopPatience = 5 * time.Second
)

var places = []model.Place{{Name: "tirol-a", Region: "tirol"}, {Name: "tirol-b", Region: "tirol"}}

func localAccount() *model.Account {
	return &model.Account{
		Name: account, Revision: 1, Places: places,
		Regions: []model.Region{{Name: "tirol"}},
		Services: []model.Service{{
			Name:           service,
			Routes:         []model.Route{{Method: http.MethodGet, PathPrefix: "/", Class: model.Idempotent}},
			SlotsPerTarget: 4, ConnectionsPerTarget: 360, Deadline: time.Second, RetryBudget: 0.5,
			MaxRequestBytes: bodyLimit, MaxAnswerBytes: bodyLimit,
		}},
	}
}

func localPlan() *plan.Plan {
	half := []plan.Share{{Place: "tirol-a", PPM: plan.Whole / 2}, {Place: "tirol-b", PPM: plan.Whole / 2}}
	return &plan.Plan{Account: account, Epoch: 1, Sequence: 1,
		Flows: []plan.Flow{{Service: service, Caller: "tirol", Shares: half}}}
}

func localGrants() *grant.Set {
	set := &grant.Set{Account: account, Epoch: 1, Sequence: 1}
	for _, p := range places {
		set.Grants = append(set.Grants, grant.Grant{Key: grant.Key{Account: account, Service: service, Place: p.Name}, Floor: ample})
	}
	return set
}

// newLocalFarm runs the request path within the test, so that the race
// detector sees it: two entry VMs with a fixed plan, four targets, and faults
// on every path.
func newLocalFarm(t *testing.T) *farm {
	t.Helper()
	f := newFarm(t)
	var targets []*target.Target
	var vms []membership.VM
	for i := range localTargets {
		made := target.New(target.Options{Name: fmt.Sprintf("target-%d", i), Slots: 4, Queue: 64, ServiceTime: 2 * time.Millisecond, Spread: 0.5, Seed: uint64(i)})
		if err := made.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(made.Stop)
		targets = append(targets, made)
		path := startFaultProxy(t, f.freeAddress(), fmt.Sprintf("to target-%d", i), made.Addr().String())
		f.targetPaths = append(f.targetPaths, path)
		vms = append(vms, targetVM(i, path))
	}
	f.ledger = func() []check.Ran { return localLedger(targets, vms) }
	for i := range localEntries {
		f.startLocalEntry(i, membership.List{Sequence: 1, VMs: vms})
	}
	return f
}

func targetVM(i int, path *faultProxy) membership.VM {
	place := places[i%len(places)]
	return membership.VM{
		ID: fmt.Sprintf("target-%d", i), Role: membership.RoleTarget, Region: place.Region, Place: place.Name,
		Account: account, Service: service, Address: path.address(),
	}
}

func localLedger(targets []*target.Target, vms []membership.VM) []check.Ran {
	var all []check.Ran
	for i, made := range targets {
		for _, run := range made.Ledger() {
			all = append(all, check.Ran{
				Token: run.Token, Target: vms[i].ID, Account: account, Service: service,
				Place: vms[i].Place, At: run.At, Count: run.Count,
			})
		}
	}
	return all
}

func (f *farm) startLocalEntry(i int, list membership.List) {
	f.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := proxy.New(proxy.Options{
		Node: grant.NodeID{VM: fmt.Sprintf("entry-%d", i), Incarnation: 1}, Region: "tirol", Place: "tirol-a", Logger: log,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	p.SetAccount(localAccount())
	p.SetTargets(list)
	p.SetPlan(localPlan())
	p.SetGrants(localGrants())
	mux := http.NewServeMux()
	mux.HandleFunc(client.LookupPath, f.serveLookup)
	mux.Handle("/", p)
	httpserver.QuietLibraryLogs()
	server, err := httpserver.Start(httpserver.Options{Address: "127.0.0.1:0", Handler: mux, MaxBodyBytes: bodyLimit})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopPatience)
		defer cancel()
		_ = p.Drain(ctx)
		p.Close()
		_ = server.Stop(ctx)
	})
	f.entryPaths = append(f.entryPaths, startFaultProxy(f.t, f.freeAddress(), fmt.Sprintf("to entry-%d", i), server.Address()))
}

func (f *farm) serveLookup(w http.ResponseWriter, _ *http.Request) {
	answer := client.Entries{Account: account, Revision: 1, LifetimeMs: time.Minute.Milliseconds()}
	for i, path := range f.entryPaths {
		answer.VMs = append(answer.VMs, client.Entry{ID: fmt.Sprintf("entry-%d", i), Address: path.address().String()})
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}

package node

import (
	"context"
	"fmt"
	"time"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin"
	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/steering/explain"
	"github.com/yuccaroute/yuccaroute/steering/forecast"
)

// operatorPorts answers the administration API from this node and its peers.
type operatorPorts struct{ node *Node }

var (
	_ admin.Explainer    = operatorPorts{}
	_ admin.Forecaster   = operatorPorts{}
	_ admin.LiveAccounts = operatorPorts{}
	_ admin.StatusSource = operatorPorts{}
)

// errNoDecider tells that no node is known to decide for the account.
var errNoDecider = errors.New("node: no decider is known for the account")

// insight returns a connection to the account's decider.
func (p operatorPorts) insight(account model.AccountName) (peerpb.InsightClient, error) {
	ref, _, ok := p.node.deciderOf(account)
	if !ok {
		return nil, errNoDecider
	}
	conn, err := p.node.peers.Dial(ref.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peerpb.NewInsightClient(conn), nil
}

// Explain implements admin.Explainer.
func (p operatorPorts) Explain(ctx context.Context, account model.AccountName) (*explain.Report, error) {
	client, err := p.insight(account)
	if err != nil {
		return nil, err
	}
	answer, err := client.Explain(ctx, &peerpb.ExplainRequest{Account: string(account)})
	if err != nil {
		return nil, errors.Wrap(err, "node: ask the decider")
	}
	if code := result.Code(answer.Code); code != result.OK {
		return nil, errors.Errorf("node: the decider answered %d %s", code, code)
	}
	report := &explain.Report{}
	return report, json.Unmarshal(answer.Report, report)
}

// Forecast implements admin.Forecaster.
func (p operatorPorts) Forecast(ctx context.Context, _, after *model.Account) (*wire.Forecast, error) {
	client, err := p.insight(after.Name)
	if err != nil {
		return nil, err
	}
	changed, err := config.Encode(after)
	if err != nil {
		return nil, err
	}
	answer, err := client.Forecast(ctx, &peerpb.ForecastRequest{Account: string(after.Name), Changed: changed})
	if err != nil {
		return nil, errors.Wrap(err, "node: ask the decider")
	}
	if code := result.Code(answer.Code); code != result.OK {
		return nil, errors.Errorf("node: the decider answered %d %s", code, code)
	}
	f := &forecast.Forecast{}
	if err := json.Unmarshal(answer.Forecast, f); err != nil {
		return nil, err
	}
	return wireForecast(f, answer.PictureAgeMs), nil
}

func wireForecast(f *forecast.Forecast, pictureAgeMs int64) *wire.Forecast {
	out := &wire.Forecast{
		MovedPercent:  f.MovedPercent,
		DurationMS:    f.DurationMS,
		CapacityHolds: f.CapacityHolds,
		PictureAgeMS:  pictureAgeMs,
	}
	for _, c := range f.Changes {
		out.Moves = append(out.Moves, wire.ForecastMove{
			Service:     string(c.Service),
			Caller:      string(c.Caller),
			Place:       string(c.Place),
			FromPercent: c.Before,
			ToPercent:   c.After,
		})
	}
	for _, o := range f.Shortfalls {
		out.Reasons = append(out.Reasons, fmt.Sprintf("%s asks for %.0f requests/s and may carry %.0f", o.Service, o.DemandRPS, o.CarriedRPS))
	}
	if !f.Settled {
		out.Reasons = append(out.Reasons, "the shares do not come to rest within an hour")
	}
	return out
}

// Live implements admin.LiveAccounts.
func (p operatorPorts) Live() []wire.LiveAccount {
	status := p.node.spread.Status()
	var live []wire.LiveAccount
	for _, a := range p.node.accounts.allInForce() {
		whole, err := withCallers(a.account, a.callers)
		if err != nil {
			p.node.log.WithError(err).WithField("account", a.account.Name).Error("node: cannot read an account")
			continue
		}
		live = append(live, wire.LiveAccount{
			Account:  whole,
			Epoch:    a.state.Version.Epoch,
			Sequence: a.state.Version.Sequence,
			Since:    a.since,
			AgeMS:    storeAge(&status),
		})
	}
	return live
}

// storeAge is how long ago a watcher that this node knows of last read the
// store, in ms; -1 when it knows of none. What was accepted since may be missing
// here.
func storeAge(s *spread.Status) int64 {
	if s.StoreAge < 0 {
		return -1
	}
	return s.StoreAge.Milliseconds()
}

// The states of a node in wire.NodeState.
const (
	stateInForce     = "in-force"
	stateOlder       = "older"
	stateUnreachable = "unreachable"
)

// Spreading implements admin.StatusSource: it asks all nodes now.
func (p operatorPorts) Spreading(ctx context.Context, account model.AccountName, version changelog.Version) (*wire.Spreading, error) {
	survey := p.node.spread.QueryVersions(ctx, source.Key(string(account)))
	list, age, ok := p.node.membersWithAge()
	out := &wire.Spreading{VMListAgeMS: -1}
	if ok {
		out.VMListAgeMS = age.Milliseconds()
	}
	places := placesOf(list)
	for _, row := range survey.Rows {
		state := wire.NodeState{
			VM:       row.VM,
			Place:    places[row.VM],
			State:    stateOlder,
			Epoch:    row.Epoch,
			Sequence: row.Sequence,
		}
		had := changelog.Version{Epoch: row.Epoch, Sequence: row.Sequence}
		if row.Has && !had.Less(version) {
			state.State = stateInForce
			out.InForce++
		} else {
			out.Older++
		}
		out.Nodes = append(out.Nodes, state)
	}
	for _, vm := range survey.Unreachable {
		out.Unreachable++
		out.Nodes = append(out.Nodes, wire.NodeState{VM: vm, Place: places[vm], State: stateUnreachable, AgeMS: -1})
	}
	out.Everywhere = ok && out.Older == 0 && out.Unreachable == 0 && out.InForce >= len(places)
	return out, nil
}

// placesOf returns the place of each listed entry VM.
func placesOf(list membership.List) map[string]string {
	places := make(map[string]string)
	for i := range list.VMs {
		if vm := &list.VMs[i]; vm.Role == membership.RoleEntry {
			places[vm.ID] = string(vm.Place)
		}
	}
	return places
}

// identities returns who may call the API, nil for everybody.
func (n *Node) identities() *identity.Keeper {
	a := n.options.Settings.Admin
	if a.Open {
		return nil
	}
	load := identity.FromStore(n.store)
	if a.IdentitiesFile != "" {
		load = identity.FromFile(a.IdentitiesFile)
	}
	return identity.NewKeeper(load, 0, nil)
}

// newAPI makes the administration API over this node.
func (n *Node) newAPI() *admin.API {
	ports := operatorPorts{node: n}
	return admin.New(admin.Options{
		Log:        n.changes,
		KV:         n.store,
		Identities: n.identities(),
		Forecaster: ports,
		Status:     ports,
		Explainer:  ports,
		Live:       ports,
		Logger:     n.log,
		Now:        time.Now,
	})
}

package demo

import (
	"context"

	"github.com/yuccaroute/yuccaroute/standin/platform"
)

// Scenario is one named run.
type Scenario struct {
	Name string
	// Summary is one line for the list of scenarios.
	Summary string
	// Peak multiplies the base load in the second half; 0 reads as 1.
	Peak   float64
	Events []Event
}

// Event is something that happens during a run.
type Event struct {
	// At is when, as a part of the run's duration, 0 to 1.
	At float64
	// What is the line that the progress shows.
	What string
	Do   func(ctx context.Context, r *run)
}

// eachTenant is an event that happens to every tenant.
func eachTenant(do func(ctx context.Context, r *run, t *Tenant)) func(context.Context, *run) {
	return func(ctx context.Context, r *run) {
		for _, t := range r.world.Tenants {
			do(ctx, r, t)
		}
	}
}

// storeFault is an event from which on the key-value service has a fault, or
// none.
func storeFault(fault platform.Fault) func(context.Context, *run) {
	return func(_ context.Context, r *run) { r.world.Platform.SetFault(fault) }
}

// Scenarios returns all named runs.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", Summary: "both tenants at their usual load"},
		{Name: "dawn-rush", Summary: "the load doubles within an eighth of the run", Peak: 2},
		drainScenario(),
		entryStopScenario(),
		failureDomainScenario(),
		storeOutageScenario(),
		regionCutScenario(),
		operatorsScenario(),
	}
}

// ScenarioByName returns the named scenario.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func drainScenario() Scenario {
	return Scenario{
		Name:    "drain",
		Summary: "one target of each tenant's main service is stopped as planned and returns",
		Events: []Event{
			{At: 0.25, What: "a target of each tenant begins to leave", Do: eachTenant(func(ctx context.Context, r *run, t *Tenant) {
				r.drainTarget(ctx, t.Targets[0])
			})},
			{At: 0.75, What: "the targets return", Do: eachTenant(func(_ context.Context, r *run, t *Tenant) {
				r.returnTarget(t.Targets[0])
			})},
		},
	}
}

func entryStopScenario() Scenario {
	return Scenario{
		Name:    "entry-stop",
		Summary: "one entry VM of each tenant is stopped as planned",
		Events: []Event{
			{At: 0.3, What: "an entry VM of each tenant begins to leave", Do: eachTenant(func(ctx context.Context, r *run, t *Tenant) {
				r.stopEntry(ctx, t, 0)
			})},
		},
	}
}

func failureDomainScenario() Scenario {
	return Scenario{
		Name:    "failure-domain",
		Summary: "one failure domain of each tenant is lost, targets and entry VM at once",
		Events: []Event{
			{At: 0.3, What: "the first failure domain of each tenant is lost", Do: eachTenant(func(_ context.Context, r *run, t *Tenant) {
				r.loseFailureDomain(t, t.Account.Places[0].Name)
			})},
		},
	}
}

func storeOutageScenario() Scenario {
	return Scenario{
		Name:    "store-outage",
		Summary: "the key-value service is out for most of the run",
		Events: []Event{
			{At: 0.2, What: "the key-value service is out", Do: storeFault(platform.Fault{Outage: true})},
			{At: 0.8, What: "the key-value service is back", Do: storeFault(platform.Fault{})},
		},
	}
}

func regionCutScenario() Scenario {
	return Scenario{
		Name:    "region-cut",
		Summary: "the first region of each tenant loses the others and the platform, and returns",
		Events: []Event{
			{At: 0.3, What: "the first region of each tenant is cut off", Do: eachTenant(func(_ context.Context, r *run, t *Tenant) {
				t.network.cutOff(t.Account.Regions[0].Name)
			})},
			{At: 0.7, What: "the regions are back", Do: eachTenant(func(_ context.Context, r *run, t *Tenant) {
				if err := t.network.restore(); err != nil {
					r.progress.line("%v", err)
				}
			})},
		},
	}
}

func operatorsScenario() Scenario {
	return Scenario{
		Name:    "operators",
		Summary: "three operators change each tenant's account at the same time; the store fails for a while",
		Events: []Event{
			{At: 0.1, What: "operators begin to change the accounts", Do: eachTenant(func(ctx context.Context, r *run, t *Tenant) {
				r.operate(ctx, t)
			})},
			{At: 0.4, What: "the key-value service loses answers and applies writes late", Do: failStore},
			{At: 0.6, What: "the key-value service is well", Do: storeFault(platform.Fault{})},
		},
	}
}

// failStore lets the key-value service lose answers and writes, and apply some
// writes late.
func failStore(_ context.Context, r *run) {
	r.world.Platform.SetFault(platform.Fault{
		LoseAnswer:     0.1,
		ApplyLate:      0.1,
		Drop:           0.05,
		MaxDelayMillis: 200,
		Seed:           r.options.Seed,
	})
}

package proxy

import (
	"fmt"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// The connections of a large fleet must not exceed the limit of any target.
func TestConnectionsOfALargeFleet(t *testing.T) {
	const nodes, targets, perTarget = 550, 48, 330
	service := &model.Service{ConnectionsPerTarget: perTarget}
	share := subsetShare(service, nodes)
	perNode := make([]int, nodes)
	for target := range targets {
		used := 0
		for node := range nodes {
			if usesTarget(fmt.Sprintf("entry-%d", node), fmt.Sprintf("target-%d", target), share) {
				used += connectionLimit(perTarget, nodes)
				perNode[node]++
			}
		}
		if used > perTarget || used < perTarget/2 {
			t.Errorf("target %d gets %d connections", target, used)
		}
	}
	for node, n := range perNode {
		if n < targets/5 {
			t.Errorf("node %d uses %d targets", node, n)
		}
	}
}

// A fleet that fits the connection limit uses every target from every node.
func TestSmallFleetUsesAllTargets(t *testing.T) {
	for _, perTarget := range []int{330, 360, 0} {
		if share := subsetShare(&model.Service{ConnectionsPerTarget: perTarget}, 10); share != 1 {
			t.Errorf("share %f with a limit of %d connections", share, perTarget)
		}
	}
}

// A node must have at least one target in a place that has any.
func TestEveryNodeHasATarget(t *testing.T) {
	few := func(o *Options, m *model.Account) {
		o.Nodes = func() int { return 10_000 }
		m.Services[0].ConnectionsPerTarget = 1
	}
	p := newTestProxy(t, few, "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
	if n := len(onlyPlace(p).targets.Load().members); n != 1 {
		t.Fatalf("%d targets, want 1", n)
	}
}

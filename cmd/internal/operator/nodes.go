package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Node is one node's administration API.
type Node struct {
	Address string
	API     *client.Client
}

// Nodes are asked in their order: the next one when one does not answer. They
// are used by one goroutine.
type Nodes struct {
	list    []Node
	timeout time.Duration
	// first is the node that answered last. It is asked first, so that a node
	// that is down costs its time once.
	first int
	// passed is told of each node that was passed over.
	passed func(address string, cause error)
}

// NewNodes returns the nodes. timeout bounds one call; passed may be nil.
func NewNodes(list []Node, timeout time.Duration, passed func(address string, cause error)) *Nodes {
	if passed == nil {
		passed = func(string, error) {}
	}
	return &Nodes{list: list, timeout: timeout, passed: passed}
}

func (n *Nodes) addresses() []string {
	var all []string
	for _, node := range n.list {
		all = append(all, node.Address)
	}
	return all
}

// Read asks a question that changes nothing. Another node is asked when one
// does not answer or cannot reach the store.
func Read[T any](ctx context.Context, n *Nodes, ask func(context.Context, *client.Client) (T, error)) (T, error) {
	var last error
	var none T
	for _, i := range n.order() {
		answer, err := call(ctx, n, i, ask)
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil || !anotherMayAnswer(err) {
			return none, err
		}
		n.passed(n.list[i].Address, err)
		last = err
	}
	return none, n.unavailable(last)
}

// order returns the indices of the nodes, the one that answered last first.
func (n *Nodes) order() []int {
	order := make([]int, len(n.list))
	for i := range order {
		order[i] = (n.first + i) % len(n.list)
	}
	return order
}

// call asks one node within the time of one call.
func call[T any](ctx context.Context, n *Nodes, node int, ask func(context.Context, *client.Client) (T, error)) (T, error) {
	bounded, cancel := context.WithTimeout(ctx, n.timeout)
	defer cancel()
	answer, err := ask(bounded, n.list[node].API)
	if err == nil {
		n.first = node
	}
	return answer, err
}

// unavailable keeps an answer of a node, which tells more than that no node
// answered.
func (n *Nodes) unavailable(last error) error {
	var answer *wire.Error
	if errors.As(last, &answer) {
		return last
	}
	return &UnavailableError{Nodes: n.addresses(), Cause: last}
}

// anotherMayAnswer tells whether another node may give a better answer: after
// no answer at all, and after one that is about this node's own state.
func anotherMayAnswer(err error) bool {
	var answer *wire.Error
	if !errors.As(err, &answer) {
		return true
	}
	switch answer.Code {
	case result.StoreUnavailable, result.StoreUnknown, result.Internal, result.NodeLeaving:
		return true
	}
	return false
}

package proxy

import (
	"context"
	"math/rand/v2"
)

// baseCount is how many contexts share the requests: each request takes its
// parent's lock twice, and one parent for all would be where they wait.
const baseCount = 64

// bases are the parents of the contexts of requests; all end at once.
type bases struct {
	parents [baseCount]context.Context
}

func newBases(root context.Context) *bases {
	b := &bases{}
	for i := range b.parents {
		b.parents[i] = newBase(root)
	}
	return b
}

// newBase returns a child that only its parent ends.
func newBase(root context.Context) context.Context {
	child, cancel := context.WithCancel(context.Background())
	context.AfterFunc(root, cancel)
	return child
}

// one returns any of the parents.
func (b *bases) one() context.Context { return b.parents[rand.IntN(baseCount)] }

package proxy

import (
	"context"
	"math/rand/v2"
)

// parentContextCount is the number of contexts that requests are spread over:
// each request takes its parent's lock twice, and a single parent would be
// contended.
const parentContextCount = 64

// parentContexts are the parents of request contexts; all are cancelled
// together.
type parentContexts struct {
	parents [parentContextCount]context.Context
}

func newParentContexts(root context.Context) *parentContexts {
	b := &parentContexts{}
	for i := range b.parents {
		b.parents[i] = newParentContext(root)
	}
	return b
}

// newParentContext returns a context that is cancelled with root.
func newParentContext(root context.Context) context.Context {
	child, cancel := context.WithCancel(context.Background())
	context.AfterFunc(root, cancel)
	return child
}

func (b *parentContexts) random() context.Context { return b.parents[rand.IntN(parentContextCount)] }

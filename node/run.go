package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/wait"
)

// handBackTime bounds the return of leases and grants at a planned stop; what
// is not handed back by then lapses or is removed later.
const handBackTime = 2 * time.Second

// A planned stop's notice. The node goes on serving after it left the look-up
// answers, since other nodes still name it until they have read the VM list, and
// callers may use a cached answer for its lifetime. In the last part of the
// notice each answer ends its connection.
const (
	leaveNotice = 3 * time.Second
	partTime    = time.Second
)

// settlePoll is how often a node that starts looks whether it has merged all.
const settlePoll = 20 * time.Millisecond

// settleWarning is after how many looks the node says that it waits.
const settleWarning = 500

// Start begins all work. It returns at once.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.running.Go(func() {
		if err := n.grpc.Serve(n.peerTCP); err != nil {
			n.log.WithError(err).Error("node: the listener for peers failed")
		}
	})
	n.running.Go(func() { n.feed.Run(ctx) })
	n.running.Go(func() { n.spread.Run(ctx) })
	n.running.Go(func() { n.merger.Run(ctx) })
	if n.keys != nil {
		n.running.Go(func() { n.keys.Watch(ctx) })
	}
	n.running.Go(func() { n.runControl(ctx) })
	n.log.WithField("callers", n.callers.Address()).WithField("peers", n.ref.PeerAddress).
		WithField("admin", n.admin.Address()).Info("node: started")
}

// runControl waits until the node knows what is in force, since a decider that
// does not would plan by an older configuration.
func (n *Node) runControl(ctx context.Context) {
	if err := n.spread.WaitReady(ctx); err != nil {
		return
	}
	if !n.settle(ctx) {
		return
	}
	n.log.Info("node: ready")
	if err := n.control.Run(ctx); err != nil {
		n.log.WithError(err).Error("node: the control work failed")
	}
}

// settle waits until what the node holds is in force, and reports whether it is.
func (n *Node) settle(ctx context.Context) bool {
	for polls := 1; !n.merger.Settled(); polls++ {
		if polls == settleWarning {
			n.log.Warn("node: waits for documents of one state of a template; callers are refused until then")
		}
		if !wait.For(ctx, settlePoll) {
			return false
		}
	}
	n.settled.Store(true)
	return true
}

// Leave is the planned stop. The node leaves the look-up answers and serves
// callers that still hold a cached one, with the grants it has; then it ends
// their connections with their answers; then it refuses new requests as not run
// and waits until those in hand have ended or the context ends. It hands back
// its leases and grants at the end.
func (n *Node) Leave(ctx context.Context) error {
	began := time.Now()
	n.leaving.Store(true)
	n.lookup.SetLeaving(true)
	n.log.Info("node: leaving")
	n.pause(ctx, leaveNotice)
	n.proxy.DisableKeepAlives()
	n.pause(ctx, partTime)
	n.refusing.Store(true)
	err := n.proxy.Drain(ctx)
	if left := awaitDelivery(ctx, n.callers.Undelivered); left > 0 {
		n.log.WithField("connections", left).Warn("node: callers have not got their last answers")
	}
	handBack, cancel := context.WithTimeout(context.WithoutCancel(ctx), handBackTime)
	defer cancel()
	n.control.Stop(handBack)
	n.log.WithField("took", time.Since(began)).Info("node: empty")
	return errors.Wrap(err, "node: requests in hand at the end of the planned stop")
}

// deliveryPoll is how often a node that stops looks whether its callers have got their answers.
const deliveryPoll = 10 * time.Millisecond

// awaitDelivery waits until all answers are delivered or the context ends, and returns the number of connections
// with answers that are not.
func awaitDelivery(ctx context.Context, undelivered func() int) int {
	for undelivered() > 0 && wait.For(ctx, deliveryPoll) {
	}
	return undelivered()
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.options.After(d):
	}
}

// Kill ends the node as a crash does: nothing is handed back, and requests in
// hand are lost. It is for demonstrations and tests.
func (n *Node) Kill() { n.Close() }

// Close ends all work at once; requests in hand get their true outcome. Call
// Leave first for a planned stop.
func (n *Node) Close() {
	if n.closed.Swap(true) {
		return
	}
	n.proxy.Close()
	n.cancel()
	n.grpc.Stop()
	stop, cancel := context.WithTimeout(context.Background(), handBackTime)
	defer cancel()
	_ = n.callers.Stop(stop)
	_ = n.admin.Stop(stop)
	n.running.Wait()
	n.close()
}

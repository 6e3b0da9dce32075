package catalog

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// newReplica returns a replica of a VM, which reports its changes to a catalog.
func newReplica(f *fixture, kv store.KV, peers map[string]*replica.Replica) *replica.Replica {
	always := func() bool { return true }
	return replica.New(replica.Options{
		KV: kv, Logger: f.options.Logger, Changed: f.Apply, ShouldWatch: always, IsWatchLeader: always, IsDefaultWatcher: always,
		FetchSnapshot: func(_ context.Context, peer string, after store.Revision) (replica.Snapshot, error) {
			if peers[peer] == nil {
				return replica.Snapshot{}, errors.New("no such peer")
			}
			return peers[peer].SnapshotAfter(after), nil
		},
	})
}

// A target that deregisters must get no further requests at a VM that learns of it from a VM
// that has just started and has no record of changes yet.
func TestLeavingTargetIsDroppedAfterCopyFromRestartedVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		kv := memkv.New(memkv.Options{WatchWait: time.Second})
		for _, id := range []string{"a", "b"} {
			if _, err := kv.Swap(ctx, "target/"+id, []byte("ready"), 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		listing, err := kv.List(ctx, "")
		if err != nil {
			t.Fatal(err)
		}
		peers := make(map[string]*replica.Replica)
		follower := newFixture()
		copied := newReplica(follower, kv, peers)
		copied.ApplySnapshot(replica.Snapshot{At: listing.At, Items: listing.Entries})

		if err := kv.Delete(ctx, "target/a", listing.Entries[0].Revision); err != nil {
			t.Fatal(err)
		}
		peers["restarted"] = newReplica(newFixture(), kv, nil)
		go peers["restarted"].Run(ctx)
		synctest.Wait()
		at, _ := peers["restarted"].Revision()
		copied.ObservePeer(ctx, "restarted", true, at, time.Now())
		synctest.Wait()
		if got := follower.targets(); !slices.Equal(got, []string{"b"}) {
			t.Errorf("targets %v, want only b: a has left", got)
		}
		cancel()
		synctest.Wait()
	})
}

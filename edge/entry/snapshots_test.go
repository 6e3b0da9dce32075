package entry

import (
	"fmt"
	"io"
	"sort"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
)

// items returns n registrations of targets.
func items(n int) []store.Entry {
	var all []store.Entry
	for i := range n {
		all = append(all, store.Entry{
			Key: fmt.Sprintf("target/i-%010x", i*7919), Revision: store.Revision(i + 1), Lease: store.LeaseID(i + 70000),
			Value: fmt.Appendf(nil, `{"service":"booking","address":"10.%d.%d.%d:8687","domain":"tirol-inn","release":"v1",`+
				`"slots":4,"ready":true,"cold_seconds":0,"heartbeats":%d}`, i%4, i/200, i%200, i%13),
		})
	}
	return all
}

func newSnapshots(entries []store.Entry, at store.Revision) *snapshots {
	l := logrus.New()
	l.SetOutput(io.Discard)
	m := replica.New(replica.Options{Logger: logrus.NewEntry(l), Changed: func([]replica.Change) {}})
	m.ApplySnapshot(replica.Snapshot{At: at, Items: entries})
	return &snapshots{replica: m, log: logrus.NewEntry(l)}
}

// Guards against memory exhaustion when many VMs request a full snapshot at once: it must be
// encoded once per revision, and compressed.
func TestFullSnapshotIsEncodedOncePerRevision(t *testing.T) {
	entries := items(3000)
	c := newSnapshots(entries, 5000)
	first, err := c.encode(0)
	if err != nil {
		t.Fatal(err)
	}
	if len(first.data) > 150_000 {
		t.Errorf("%d bytes for 3,000 targets", len(first.data))
	}
	second, err := c.encode(0)
	if err != nil || &second.data[0] != &first.data[0] {
		t.Errorf("encoded again, error %v", err)
	}
	got, err := second.decode()
	if err != nil {
		t.Fatal(err)
	}
	sort.Slice(got.Items, func(i, j int) bool { return got.Items[i].Revision < got.Items[j].Revision })
	if diff := cmp.Diff(replica.Snapshot{At: 5000, Items: entries}, got); diff != "" {
		t.Error(diff)
	}
	c.replica.ApplySnapshot(replica.Snapshot{At: 5001, After: 5000, Partial: true, Removed: []store.Entry{{Key: entries[0].Key, Revision: 5001}}})
	third, err := c.encode(0)
	if err != nil {
		t.Fatal(err)
	}
	if newer, err := third.decode(); err != nil || newer.At != 5001 || len(newer.Items) != 2999 {
		t.Errorf("at %d with %d items, error %v, after a change", newer.At, len(newer.Items), err)
	}
}

// A VM that is one change behind must get only that change.
func TestPartialSnapshotRoundTrip(t *testing.T) {
	c := newSnapshots(items(3000), 5000)
	changed := store.Entry{Key: "config", Revision: 5001, Value: []byte(`{"version":2}`)}
	c.replica.ApplySnapshot(replica.Snapshot{At: 5001, After: 5000, Partial: true, Items: []store.Entry{changed}})
	r, err := c.encode(5000)
	if err != nil {
		t.Fatal(err)
	}
	got, err := r.decode()
	want := replica.Snapshot{At: 5001, After: 5000, Partial: true, Items: []store.Entry{changed}}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("error %v: %s", err, diff)
	}
	if r.compressed || len(r.data) > 200 {
		t.Errorf("%d bytes", len(r.data))
	}
}

// A response that is not a snapshot, for example from another program on the port, must be rejected.
func TestInvalidSnapshotIsRejected(t *testing.T) {
	for _, text := range []string{"", "{}", "<html>", "\xff\xff\xff\xff"} {
		for _, compressed := range []bool{false, true} {
			if c, err := (encodedSnapshot{data: []byte(text), compressed: compressed}).decode(); err == nil {
				t.Errorf("%q decoded as %+v", text, c)
			}
		}
	}
}

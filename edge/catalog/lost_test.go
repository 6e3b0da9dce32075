package catalog

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
)

// lose applies the loss of a key by a restored store.
func (f *fixture) lose(key string) {
	at := store.NewRevision(1, 1)
	f.Apply([]replica.Change{{Entry: store.Entry{Key: key, Revision: at}, Removed: true, Lost: true, LostAt: f.now}})
}

// restore applies an item as a restored store has it.
func (f *fixture) restore(key, value string) {
	f.Apply([]replica.Change{{Entry: store.Entry{Key: key, Value: []byte(value), Revision: store.NewRevision(1, 1)}}})
}

// Guards against requests to an evacuated failure domain, and VMs that are taken for gone, until what the
// restored store lacks is written again. Both end if it is not.
func TestLostEvacuationAndVMStayUntilWrittenAgain(t *testing.T) {
	for _, again := range []bool{false, true} {
		f := newFixture()
		f.put("evacuated/z", "1")
		f.put("vm/a", `{"name":"a"}`)
		f.lose("evacuated/z")
		f.lose("vm/a")
		f.now = f.now.Add(lostEvacuationTime - time.Millisecond)
		f.Expire(f.now)
		if v := f.View(); !v.Evacuated["z"] || len(v.VMs) != 1 {
			t.Fatalf("evacuated %v, VMs %v before the time has passed", v.Evacuated, v.VMs)
		}
		if again {
			f.restore("evacuated/z", "1")
			f.restore("vm/a", `{"name":"a"}`)
		}
		f.now = f.now.Add(time.Minute)
		f.Expire(f.now)
		if v := f.View(); v.Evacuated["z"] != again || (len(v.VMs) == 1) != again {
			t.Errorf("written again %t: evacuated %v, VMs %v", again, v.Evacuated, v.VMs)
		}
	}
}

// Guards against a configuration that is out of force, as the restored store lacks it or has an older one.
func TestConfigurationSurvivesRestore(t *testing.T) {
	f := newFixture()
	f.put("config", "xxxx")
	f.lose("config")
	f.restore("config", "xx")
	if v := f.View().Config.Version; v != 4 {
		t.Errorf("configuration %d is in force, want 4", v)
	}
	f.restore("config", "xxxxx")
	if v := f.View().Config.Version; v != 5 {
		t.Errorf("configuration %d is in force, want 5", v)
	}
}

// Guards against targets that are taken for cold anew, as each registration comes once more when the store
// is restored.
func TestRestoreDoesNotRestartColdTime(t *testing.T) {
	f := newFixture()
	f.put("target/a", "ready 7 1")
	received := f.View().Targets[0].ReceivedAt
	f.now = f.now.Add(time.Minute)
	f.restore("target/a", "ready 7 1")
	if got := f.View().Targets[0].ReceivedAt; !got.Equal(received) {
		t.Errorf("received at %s, was %s", got, received)
	}
}

// Guards against requests to a target that said that it leaves, or has left, of which a restored store says
// that it is ready; one that has registered since is used.
func TestTargetThatLeftStaysLeftAfterRestore(t *testing.T) {
	f := newFixture()
	f.put("target/a", "ready 7 1")
	f.put("target/a", "draining 7 2")
	f.put("target/b", "ready 7 1")
	f.remove("target/b")
	f.put("target/c", "ready 7 1")
	f.remove("target/c")
	f.restore("target/a", "ready 7 1")
	f.restore("target/b", "ready 7 1")
	f.restore("target/c", "ready 7 2")
	usable := map[string]bool{}
	for _, target := range f.View().Targets {
		usable[target.ID] = !target.Draining
	}
	if usable["a"] || usable["b"] || !usable["c"] {
		t.Errorf("usable %v, want only c, which has registered since", usable)
	}
}

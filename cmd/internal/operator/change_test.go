package operator

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

var daehan = Object{Kind: KindAccount, Name: "daehan"}

// put sends one change through the nodes.
func put(nodes *Nodes) error {
	id := NewChangeID(daehan)
	_, err := nodes.Do(context.Background(), Change{Object: daehan, ID: id, Send: func(ctx context.Context, api *client.Client) (*wire.ChangeAnswer, error) {
		return api.Put(ctx, daehan.API(), client.At(1), wire.ChangeRequest{ID: id, Text: "text"})
	}})
	return err
}

// A change that is in force or may come into force must never be reported as not run, nor be made under
// two identifiers, when nodes fail.
func TestChangeThroughFailingNodes(t *testing.T) {
	lost := reaction{lose: true}
	taken := reaction{accept: true, lose: true}
	out := reaction{refuse: result.StoreUnavailable}
	tests := []struct {
		name          string
		first, second []reaction
		exit, sends   int
	}{
		{"the first node takes it", []reaction{{accept: true}}, []reaction{lost}, program.ExitOK, 1},
		{"a refusal is final", []reaction{{refuse: result.RevisionConflict}}, []reaction{{accept: true}}, program.ExitFailed, 1},
		{"a node without the store is passed over", []reaction{out}, []reaction{{accept: true}}, program.ExitOK, 2},
		{"no node reaches the store", []reaction{out}, []reaction{out}, program.ExitUnavailable, 2},
		{"a lost answer is repeated", []reaction{taken}, []reaction{{accept: true}}, program.ExitOK, 2},
		{"all answers are lost, but it is in force", []reaction{taken}, []reaction{lost}, program.ExitOK, 4},
		{"all answers are lost and it is not seen", []reaction{lost}, []reaction{lost}, program.ExitUnknown, 4},
		{"lost, then the store is out", []reaction{lost, out}, []reaction{out}, program.ExitUnknown, 4},
		{"lost, then the object is gone by it", []reaction{lost, {refuse: result.NotFound}}, []reaction{{refuse: result.NotFound}}, program.ExitUnknown, 4},
		{"lost, then a conflict proves it failed", []reaction{lost}, []reaction{{refuse: result.RevisionConflict}}, program.ExitFailed, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			system := &fakeSystem{inForce: map[string]bool{}}
			err := put(nodesAt(system.start(t, test.first...), system.start(t, test.second...)))
			if code := ExitCode(err); code != test.exit {
				t.Errorf("exit code %d, want %d: %v", code, test.exit, err)
			}
			if len(system.sent) != test.sends {
				t.Errorf("sent %d times, want %d", len(system.sent), test.sends)
			}
			for _, id := range system.sent {
				if id != system.sent[0] {
					t.Errorf("sent under %s and %s", system.sent[0], id)
				}
			}
		})
	}
}

// A node is down: the next one is asked, and it alone from then on.
func TestNodeDown(t *testing.T) {
	down := httptest.NewServer(nil)
	down.Close()
	system := &fakeSystem{inForce: map[string]bool{}}
	nodes := nodesAt(down.URL, system.start(t, reaction{accept: true}))
	passed := 0
	nodes.passed = func(string, error) { passed++ }
	for range 2 {
		if err := put(nodes); err != nil {
			t.Fatal(err)
		}
	}
	if passed != 1 || len(system.sent) != 2 {
		t.Errorf("passed over %d times, sent %d times", passed, len(system.sent))
	}
	err := put(nodesAt(down.URL, down.URL))
	var unavailable *UnavailableError
	if !errors.As(err, &unavailable) || ExitCode(err) != program.ExitUnavailable {
		t.Errorf("with all nodes down: %v", err)
	}
}

package exchange

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against VMs of a large region that never learn which others reach no target.
func TestDigestTellsWhatVMsReach(t *testing.T) {
	sent := State{
		Unreached: []uint32{3}, CutOff: true,
		Digest: &Digest{Details: &DigestDetails{
			VMs: []VMStatus{{Name: "a", Serving: true}}, Cut: []VMReach{{Name: "a", Unreached: []uint32{1, 2}, CutOff: true}},
		}},
	}
	data, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent.Digest.Details.Cut, got.Digest.Details.Cut, cmp.AllowUnexported(VMReach{})); diff != "" || !got.CutOff || len(got.Unreached) != 1 {
		t.Errorf("cut off %v, unreached %v, %s", got.CutOff, got.Unreached, diff)
	}
}

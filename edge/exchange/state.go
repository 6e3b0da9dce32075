package exchange

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// State is what one VM reports.
type State struct {
	// VM is how the VM registered itself: the store may have lost that.
	VM site.VM `msgpack:"v"`
	// Number orders the datagrams of one incarnation.
	Number uint64 `msgpack:"n"`
	// Leaving tells that the VM takes no new callers, Serving that it can.
	Leaving bool `msgpack:"l"`
	Serving bool `msgpack:"s"`
	// Linked tells that the VM watches the store and is answered.
	Linked bool `msgpack:"k"`
	// Revision is that of its copy of the store.
	Revision uint64 `msgpack:"x"`
	// Sum tells that InHand and Demand are those of the whole region.
	Sum bool `msgpack:"w"`
	// InHand counts requests by target, Demand the slots needed by service.
	InHand Counts             `msgpack:"h"`
	Demand map[string]float64 `msgpack:"d"`
	// NoDigest tells that the VM should get digests and gets none.
	NoDigest bool `msgpack:"f,omitempty"`
	// Digest is set in what a listener sends to VMs that are none.
	Digest *Digest `msgpack:"g,omitempty"`
	// Via is the relay that passed this on, nil if it came from the VM itself.
	Via *Via `msgpack:"-"`
}

// Via is a relay of the receiver's failure domain.
type Via struct {
	Peer string `msgpack:"p"`
	// Revision is that of the relay's copy of the store.
	Revision uint64 `msgpack:"x"`
}

// Digest is what a listener heard of all VMs of its region, the receiver among them.
type Digest struct {
	InHand Counts             `msgpack:"h"`
	Demand map[string]float64 `msgpack:"d"`
	// Rest is set in some digests only.
	Rest *Rest `msgpack:"r,omitempty"`
}

// Rest is the part of a digest that is needed less often.
type Rest struct {
	// InHand are the requests of other regions, Demand is by region and service.
	InHand Counts                        `msgpack:"h"`
	Demand map[string]map[string]float64 `msgpack:"d"`
	// Seen are the VMs of the own region.
	Seen []Seen `msgpack:"s"`
}

// Seen is what a listener knows of one VM.
type Seen struct {
	//lint:ignore U1000 the msgpack library reads its tag: an array, without field names
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	Age      time.Duration
	Leaving  bool
	Serving  bool
	Linked   bool
}

// decode reads a state and, after it, by whom it was passed on.
func decode(text []byte) (State, error) {
	var s State
	dec := msgpack.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&s); err != nil {
		return s, err
	}
	var via Via
	err := dec.Decode(&via)
	if errors.Is(err, io.EOF) {
		return s, nil
	}
	s.Via = &via
	return s, err
}

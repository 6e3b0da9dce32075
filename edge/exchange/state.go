package exchange

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// State is what one VM reports.
type State struct {
	// VM is how the VM registered itself: the store may have lost that.
	VM site.VM `msgpack:"v"`
	// Sequence orders the datagrams of one incarnation.
	Sequence uint64 `msgpack:"n"`
	// Leaving tells that the VM takes no new callers, Serving that it can.
	Leaving bool `msgpack:"l"`
	Serving bool `msgpack:"s"`
	// StoreConnected tells that the VM watches the store and is answered.
	StoreConnected bool `msgpack:"k"`
	// Revision is that of its copy of the store.
	Revision uint64 `msgpack:"x"`
	// Sum tells that InFlight and Demand are those of the whole region.
	Sum bool `msgpack:"w"`
	// InFlight counts requests by target, Demand the slots needed by service.
	InFlight Counts             `msgpack:"h"`
	Demand   map[string]float64 `msgpack:"d"`
	// Events are what was seen lately of requests that end targets: by the VM itself, and in a
	// large region by others of it, or of other regions in what a listener sends to its own.
	Events []quarantine.Event `msgpack:"e,omitempty"`
	// NoDigest tells that the VM should get digests and gets none.
	NoDigest bool `msgpack:"f,omitempty"`
	// Digest is set in what a listener sends to VMs that are none.
	Digest *Digest `msgpack:"g,omitempty"`
	// Relay is the relay that passed this on, nil if it came from the VM itself.
	Relay *Relay `msgpack:"-"`
}

// Relay is a relay of the receiver's failure domain.
type Relay struct {
	Peer string `msgpack:"p"`
	// Revision is that of the relay's copy of the store.
	Revision uint64 `msgpack:"x"`
}

// Digest is what a listener received from all VMs of its region, the receiver among them.
type Digest struct {
	InFlight Counts             `msgpack:"h"`
	Demand   map[string]float64 `msgpack:"d"`
	// Details is set in some digests only.
	Details *DigestDetails `msgpack:"r,omitempty"`
}

// DigestDetails is the part of a digest that is needed less often.
type DigestDetails struct {
	// InFlight are the requests of other regions, Demand is by region and service.
	InFlight Counts                        `msgpack:"h"`
	Demand   map[string]map[string]float64 `msgpack:"d"`
	// VMs are the VMs of the own region.
	VMs []VMStatus `msgpack:"s"`
}

// VMStatus is what a listener knows of one VM.
type VMStatus struct {
	//lint:ignore U1000 the msgpack library reads its tag: an array, without field names
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	Age            time.Duration
	Leaving        bool
	Serving        bool
	StoreConnected bool
}

// decode reads a state and, after it, by whom it was passed on.
func decode(text []byte) (State, error) {
	var s State
	dec := msgpack.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(&s); err != nil {
		return s, err
	}
	var relay Relay
	err := dec.Decode(&relay)
	if errors.Is(err, io.EOF) {
		return s, nil
	}
	s.Relay = &relay
	return s, err
}

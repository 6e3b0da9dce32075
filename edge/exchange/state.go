package exchange

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// State is the report of one VM.
type State struct {
	// VM is the VM's registration, which the store may have lost.
	VM site.VM `msgpack:"v"`
	// Sequence orders the datagrams of one incarnation.
	Sequence uint64 `msgpack:"n"`
	// Leaving is true if the VM is stopping and takes no new callers, Serving if it is ready.
	Leaving bool `msgpack:"l"`
	Serving bool `msgpack:"s"`
	// StoreConnected is true if the VM's watch of the store works.
	StoreConnected bool `msgpack:"k"`
	// Revision is the revision of its replica of the store.
	Revision uint64 `msgpack:"x"`
	// Sum is true if InFlight and Demand are sums over the whole region.
	Sum bool `msgpack:"w"`
	// InFlight counts requests by target, Demand is the number of slots needed by service.
	InFlight Counts             `msgpack:"h"`
	Demand   map[string]float64 `msgpack:"d"`
	// Restricted is the part of Demand that may run in some regions only, by service and by set of
	// regions, in slots. A VM of an earlier version sends none.
	Restricted Restricted `msgpack:"rd,omitempty"`
	// Events are recent quarantine events: those of the VM itself, and those that it forwards as
	// an aggregator.
	Events []quarantine.Event `msgpack:"e,omitempty"`
	// LeavingTargets are the incarnations of targets that have lately stated that they leave.
	LeavingTargets []uint64 `msgpack:"t,omitempty"`
	// SlowTargets are targets that have lately stated a slow pace to the VM. Only reports and digests to
	// VMs of the region have them.
	SlowTargets SlowTargets `msgpack:"tl,omitempty"`
	// Unreached are the groups of targets that the VM does not reach; CutOff is true if these are all.
	Unreached []uint32 `msgpack:"u,omitempty"`
	CutOff    bool     `msgpack:"c,omitempty"`
	// Retained is what the VM keeps from before the store was restored, nil for nothing.
	Retained *replica.Span `msgpack:"y,omitempty"`
	// Limits are some of the newest observations of limits that targets have stated. They are in
	// few reports.
	Limits []ratelimit.Announced `msgpack:"q,omitempty"`
	// WorkingLoad is the load of the working sets, of the VM or of its region if Sum is true, and Arcs are
	// the arcs of its region, both as package workingset encodes them. They are in few reports.
	WorkingLoad []byte   `msgpack:"wl,omitempty"`
	Arcs        [][]byte `msgpack:"ws,omitempty"`
	// AccountWork is the work of client accounts, of the VM or of its region if Sum is true, as package
	// fairshare encodes it. It is in few reports.
	AccountWork []byte `msgpack:"fs,omitempty"`
	// NoDigest is true if the VM expects digests and receives none.
	NoDigest bool `msgpack:"f,omitempty"`
	// Digest is set if an aggregator sends to VMs that are not aggregators.
	Digest *Digest `msgpack:"g,omitempty"`
	// Relay is the relay that forwarded this state, nil if the VM sent it directly.
	Relay *Relay `msgpack:"-"`
}

// Relay identifies the VM that forwarded a digest in the receiver's failure domain.
type Relay struct {
	Peer string `msgpack:"p"`
	// Revision is the revision of the relay's replica of the store.
	Revision uint64 `msgpack:"x"`
}

// Digest has the sums over all VMs of a region, including the receiver.
type Digest struct {
	InFlight Counts             `msgpack:"h"`
	Demand   map[string]float64 `msgpack:"d"`
	// SlowTargets are those that the VMs of the region know of, as in State.
	SlowTargets SlowTargets `msgpack:"tl,omitempty"`
	// Restricted is as that of State.
	Restricted Restricted `msgpack:"rd,omitempty"`
	// Arcs are those of all regions, in digests with details.
	Arcs [][]byte `msgpack:"ws,omitempty"`
	// AccountWork is that of all VMs of all regions, in few digests.
	AccountWork []byte `msgpack:"fs,omitempty"`
	// Details is set in every detailedDigestEvery-th digest.
	Details *DigestDetails `msgpack:"r,omitempty"`
}

// DigestDetails is the part of a digest that is sent less often.
type DigestDetails struct {
	// InFlight counts requests of other regions, Demand is by region and service.
	InFlight Counts                        `msgpack:"h"`
	Demand   map[string]map[string]float64 `msgpack:"d"`
	// Restricted is as that of State, by region.
	Restricted map[string]Restricted `msgpack:"rd,omitempty"`
	// VMs are the VMs of the aggregator's region.
	VMs []VMStatus `msgpack:"s"`
	// Cut are the VMs of the region that do not reach all groups of targets.
	Cut []VMReach `msgpack:"u,omitempty"`
	// Limits are as those of State.
	Limits []ratelimit.Announced `msgpack:"q,omitempty"`
}

// VMStatus is an aggregator's view of one VM. Age is the time since its last report.
type VMStatus struct {
	//lint:ignore U1000 the msgpack library reads its tag: an array, without field names
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	Age            time.Duration
	Leaving        bool
	Serving        bool
	StoreConnected bool
}

// VMReach tells which groups of targets a VM does not reach, as its State does.
type VMReach struct {
	//lint:ignore U1000 the msgpack library reads its tag: an array, without field names
	_msgpack  struct{} `msgpack:",as_array"`
	Name      string
	Unreached []uint32
	CutOff    bool
}

// decode decodes a state and the relay that may follow it.
func decode(data []byte) (State, error) {
	var s State
	dec := msgpack.NewDecoder(bytes.NewReader(data))
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

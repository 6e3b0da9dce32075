package control

import (
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/lease"

	"github.com/pkg/errors"
)

// Options wires the control part of a node.
type Options struct {
	// Ref and Node name this life of the node.
	Ref  *peerpb.NodeRef
	Node grant.NodeID
	// Store is the platform's key-value service.
	Store store.KV
	// Accounts returns the accounts in force. It is called once a second.
	Accounts func() []*model.Account
	// Members returns the last reading of the VM list and its age; ok is false
	// while there is none.
	Members func() (list membership.List, age time.Duration, ok bool)
	// Dial returns a connection to another node and keeps it for later calls.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Reports returns what was measured since the last call, one report for
	// each account.
	Reports func(interval time.Duration) []observe.Report
	// ApplyGrants puts a set in force before it returns. The set replaces
	// the one before for its account, whatever its sequence: a loan or its end
	// changes the set within one sequence.
	ApplyGrants func(*grant.Set)
	// Publish sends an item to all nodes without waiting for them.
	Publish func(key string, epoch, sequence uint64, body []byte)
	// DeciderOf returns the decider last published for an account.
	DeciderOf func(model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Leaving reports whether the node is in a planned stop: it takes no office
	// any more. AdmissionClosed reports whether it takes no requests any more. Nil means
	// never.
	//
	// Guard against a node that gives its grants away while callers still use
	// it: it shows as no-capacity during a planned stop. The guard holds because
	// the decider is told that the node leaves only once it refuses.
	Leaving, AdmissionClosed func() bool
	// Planner makes the plans; nil means the nearest place with capacity.
	Planner decider.Planner
	// Ledger and Allocate are the times and weights; zero means the defaults.
	Ledger   ledger.Params
	Allocate allocate.Params
	// LeaseTTL is the time to live of a decider's lease; 0 means the default.
	LeaseTTL time.Duration
	// RelayMinFleet is from how many live entry VMs on reports go by way of a
	// relay of the failure domain; 0 means never.
	RelayMinFleet int
	Logger        logrus.FieldLogger
	// Clock is a monotonic clock; nil means time.Now.
	Clock func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Ledger.SurplusTTL == 0 {
		o.Ledger = ledger.DefaultParams()
	}
	if o.Allocate.FloorShare == 0 {
		o.Allocate = allocate.DefaultParams()
	}
	if o.LeaseTTL == 0 {
		o.LeaseTTL = lease.DefaultTTL
	}
	if o.Planner == nil {
		o.Planner = decider.Nearest{}
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Leaving == nil {
		o.Leaving = func() bool { return false }
	}
	if o.AdmissionClosed == nil {
		o.AdmissionClosed = func() bool { return false }
	}
	return o
}

func (o Options) check() error {
	switch {
	case o.Ref == nil || o.Node.VM == "":
		return errors.New("control: the node is not named")
	case o.Store == nil:
		return errors.New("control: no store given")
	case o.Accounts == nil || o.Members == nil || o.Dial == nil || o.Reports == nil:
		return errors.New("control: a source is missing")
	case o.ApplyGrants == nil || o.Publish == nil || o.DeciderOf == nil:
		return errors.New("control: a receiver is missing")
	}
	return o.Ledger.Check()
}

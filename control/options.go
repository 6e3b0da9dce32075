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

// Options configures the control system of a node.
type Options struct {
	// Ref and Node identify this incarnation of the node.
	Ref  *peerpb.NodeRef
	Node grant.NodeID
	// Store is the platform's key-value service.
	Store store.KV
	// Accounts returns the configured accounts. It is called at least once per round.
	Accounts func() []*model.Account
	// Members returns the last VM list and its age; ok is false if there is none.
	Members func() (list membership.List, age time.Duration, ok bool)
	// Dial returns a connection to another node and keeps it for reuse.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// Reports returns the measurements since the last call, one report per account.
	Reports func(interval time.Duration) []observe.Report
	// ApplyGrants puts a set in force before it returns. The set replaces the
	// account's previous one regardless of its sequence, because a loan changes the
	// set within a sequence.
	ApplyGrants func(*grant.Set)
	// Publish sends an item to all nodes without waiting for them.
	Publish func(key string, epoch, sequence uint64, body []byte)
	// DeciderOf returns the last published decider of an account.
	DeciderOf func(model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Leaving reports whether the node is in a planned stop and must not become the
	// decider. AdmissionClosed reports whether it accepts no more requests. Only then
	// is the decider told of the stop, so that the node keeps its grants while callers
	// still use it. Nil means never.
	Leaving, AdmissionClosed func() bool
	// Planner makes the plans; nil means decider.Nearest.
	Planner decider.Planner
	// Ledger and Allocate are protocol parameters; zero means the defaults.
	Ledger   ledger.Params
	Allocate allocate.Params
	// LeaseTTL is the TTL of a decider's lease; 0 means the default.
	LeaseTTL time.Duration
	// RelayMinFleet is the number of live entry VMs from which reports go through a
	// relay of the failure domain; 0 disables relays.
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
		return errors.New("control: node reference and VM are required")
	case o.Store == nil:
		return errors.New("control: store is required")
	case o.Accounts == nil || o.Members == nil || o.Dial == nil || o.Reports == nil:
		return errors.New("control: Accounts, Members, Dial and Reports are required")
	case o.ApplyGrants == nil || o.Publish == nil || o.DeciderOf == nil:
		return errors.New("control: ApplyGrants, Publish and DeciderOf are required")
	}
	return o.Ledger.Check()
}

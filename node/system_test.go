package node_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/standin/target"
)

// patience bounds every wait. It is far above what a wait takes, so that it
// decides only whether something happens at all.
const patience = 2 * time.Minute

const (
	templateName = "shop"
	accountName  = "one"
	serviceName  = "desk"
)

const templateText = `[template]
name = shop

[moves]
move_cap_percent = 100
move_window_seconds = 1

[service desk]
slots_per_target = 8
connections_per_target = 64
deadline_ms = 20000

[route desk/stock]
method = GET
path_prefix = /stock
class = idempotent

[service forms]
slots_per_target = 8
connections_per_target = 64
deadline_ms = 60000

[route forms/forms]
method = POST
path_prefix = /forms
class = non-idempotent
`

const accountText = `[account]
name = one
template = shop

[region north]
capacity_rps = 3000
link_in_rps = 3000

[place north-a]
region = north

[place north-b]
region = north

[place north-c]
region = north

[capacity desk/north-a]
capacity_rps = 1000

[capacity desk/north-b]
capacity_rps = 1000

[capacity desk/north-c]
capacity_rps = 1000

[capacity forms/north-a]
capacity_rps = 1000

[callers north]
blocks = 127.0.0.0/8
`

var (
	anyPort = netip.MustParseAddrPort("127.0.0.1:0")
	places  = []model.PlaceName{"north-a", "north-b", "north-c"}
)

// system is a platform, one target in each place, and nodes.
type system struct {
	t        *testing.T
	ctx      context.Context
	platform *platform.Server
	targets  []*target.Target
	nodes    []*node.Node
	// adjust changes the options of the nodes made from then on.
	adjust func(*node.Options)
}

func newSystem(t *testing.T) *system {
	t.Helper()
	httpserver.QuietLibraryLogs()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	s := &system{t: t, ctx: ctx, adjust: func(*node.Options) {}}
	s.platform = platform.New(platform.Options{Address: "127.0.0.1:0"})
	if err := s.platform.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.platform.Stop() })
	s.apply(changelog.KindTemplate, templateName, templateText)
	s.apply(changelog.KindAccount, accountName, accountText)
	s.startTargets()
	return s
}

// changes reads and changes documents as a process of its own.
func (s *system) changes() *changelog.Log {
	return changelog.New(s.platform.KV(), changelog.Options{})
}

// apply puts a document in force and returns its sequence.
func (s *system) apply(kind changelog.Kind, name, text string) uint64 {
	s.t.Helper()
	changes := s.changes()
	change := changelog.Change{
		ID: "change-" + strconv.FormatInt(time.Now().UnixNano(), 36), Who: "test",
		Template: templateName, Kind: kind, Name: name, Text: []byte(text),
	}
	if head, err := changes.Head(s.ctx, templateName); err == nil {
		change.IfSequence = head.Accounts[name].Sequence
	}
	applied, err := changes.Apply(s.ctx, change)
	if err != nil {
		s.t.Fatal(err)
	}
	return applied.Record.Sequence
}

// withCapacity is the account with another capacity of its region, so that
// its states can be told apart.
func withCapacity(rps int) string {
	return strings.Replace(accountText, "capacity_rps = 3000", "capacity_rps = "+strconv.Itoa(rps), 1)
}

func (s *system) startTargets() {
	for _, place := range places {
		one := target.New(target.Options{Name: "target-" + string(place), Slots: 8, Queue: 8, ServiceTime: time.Millisecond})
		if err := one.Start("127.0.0.1:0"); err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(one.Stop)
		s.targets = append(s.targets, one)
		s.platform.SetVMs(membership.VM{
			ID: "target-" + string(place), Role: membership.RoleTarget, State: membership.StateLive,
			Region: "north", Place: place, Account: accountName, Service: serviceName, Address: one.Addr(),
		})
	}
}

// add makes a node, lists it and starts it.
func (s *system) add(name string, place model.PlaceName) *node.Node {
	s.t.Helper()
	address := netip.MustParseAddrPort(s.platform.Addr())
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	options := node.Options{Logger: logger}
	options.Settings = settings.Defaults(
		settings.Node{VM: name, Region: "north", FailureDomain: place},
		settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort}, address, address)
	options.Settings.Admin.Open = true
	s.adjust(&options)
	n, err := node.New(options)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(n.Close)
	s.platform.SetVMs(n.VM())
	n.Start()
	s.nodes = append(s.nodes, n)
	return n
}

// addThree starts a node in each place and waits until all serve.
func (s *system) addThree() {
	s.t.Helper()
	for i, place := range places {
		s.add("entry-"+strconv.Itoa(i), place)
	}
	for _, n := range s.nodes {
		if err := n.WaitServing(s.ctx, accountName); err != nil {
			s.t.Fatal("a node does not serve: ", err)
		}
	}
}

// until waits for a condition.
func (s *system) until(what string, holds func() bool) {
	s.t.Helper()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-s.ctx.Done():
			s.t.Fatal("never: ", what)
		case <-tick.C:
		}
	}
}

// told is an answer to a caller.
type told struct {
	status  int
	code    result.Code
	outcome string
	body    string
}

// ask asks a node for stock.
func (s *system) ask(n *node.Node) told {
	return s.send(n, serviceName, http.MethodGet, "/stock/6204")
}

func (s *system) send(n *node.Node, service, method, path string) told {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://"+n.VM().Address.String()+path, nil)
	if err != nil {
		return told{body: err.Error()}
	}
	r.Header.Set(result.HeaderAccount, accountName)
	r.Header.Set(result.HeaderService, service)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return told{body: err.Error()}
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	code, _ := strconv.Atoi(answer.Header.Get(result.HeaderResult))
	return told{answer.StatusCode, result.Code(code), answer.Header.Get(result.HeaderOutcome), string(body)}
}

func (t told) served() bool { return t.status == http.StatusOK && t.outcome == result.Ran.String() }

// named reports whether the look-up answers of a node name an entry VM.
func (s *system) named(asked *node.Node, vm string) bool {
	answer, err := http.Get("http://" + asked.VM().Address.String() + lookup.Path + "?account=" + accountName)
	if err != nil {
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	var a lookup.Answer
	if err := json.NewDecoder(answer.Body).Decode(&a); err != nil {
		return false
	}
	for _, entry := range a.EntryVMs {
		if entry.ID == vm {
			return true
		}
	}
	return false
}

// revision is that of the account in force on a node, 0 for none.
func revision(n *node.Node) uint64 {
	for _, a := range n.Status().Accounts {
		if a.Account == accountName {
			return a.Revision
		}
	}
	return 0
}
